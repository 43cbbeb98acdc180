//! Log lines on standard error.

use std::fmt;
use std::io::{self, Write};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Maximum number of lines written per second, as the same failure may occur many times a second.
const MAX_LINES_PER_SECOND: u32 = 20;

/// Writes a line to standard error, unless too many lines were written within the current second. Unlike `eprintln`,
/// this does not panic if standard error is closed.
pub fn log(text: fmt::Arguments<'_>) {
    static CURRENT_WINDOW: Mutex<Option<(Instant, u32)>> = Mutex::new(None);
    let mut window = CURRENT_WINDOW.lock().unwrap_or_else(PoisonError::into_inner);
    let (started, lines) = window
        .filter(|(started, _)| started.elapsed() < Duration::from_secs(1))
        .unwrap_or_else(|| (Instant::now(), 0));
    *window = Some((started, lines.saturating_add(1)));
    match lines {
        ..MAX_LINES_PER_SECOND => writeln!(io::stderr().lock(), "balancer: {text}").ok(),
        MAX_LINES_PER_SECOND => writeln!(
            io::stderr().lock(),
            "balancer: over {MAX_LINES_PER_SECOND} lines logged within a second, dropping further ones"
        )
        .ok(),
        _ => None,
    };
}
