//! Log lines on standard error, which never delay a request.
//!
//! An event of `tracing` becomes one line: its message, followed by its fields as `name=value`. A thread of its own writes
//! the lines, which wait in a queue of fixed size. Lines of the same kind, that is, of the same place in the code, are
//! limited on their own, so that many lines of one kind do not hide the others.

use crate::proxy::sync::lock;
use std::collections::HashMap;
use std::fmt::{self, Write as _};
use std::io::{self, Write as _};
use std::sync::Mutex;
use std::time::{Duration, Instant};
use tracing::callsite::Identifier;
use tracing::field::{Field, Visit};
use tracing::{Event, Subscriber};
use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::layer::{Context, Layer, SubscriberExt};

/// Maximum number of lines of one kind in each interval.
const MAX_LINES_OF_KIND: u32 = 10;
/// The interval in which the lines of a kind are counted.
const COUNT_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of lines that wait to be written. Further ones are dropped.
const MAX_QUEUED_LINES: usize = 512;
/// Maximum length of a line, in bytes. The rest of a longer one is cut off.
const MAX_LINE_LENGTH: usize = 400;

/// Sends the events of the process to standard error. Once the returned guard is dropped, the lines that wait are
/// written, unless standard error takes none.
pub fn start() -> WorkerGuard {
    let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(MAX_QUEUED_LINES);
    let (writer, guard) = builder.thread_name("log").finish(io::stderr());
    let layer = LineLayer {
        lost_lines: writer.error_counter(),
        state: Mutex::new(WriterState { writer, reported_losses: 0, kinds: HashMap::new() }),
    };
    let subscriber = tracing_subscriber::registry().with(layer);
    tracing::subscriber::set_global_default(subscriber).ok(); // fails only if it was called before
    guard
}

/// Formats events as lines.
struct LineLayer {
    /// Counts the lines that found the queue full.
    lost_lines: ErrorCounter,
    state: Mutex<WriterState>,
}

struct WriterState {
    writer: NonBlocking,
    /// Number of lost lines that the log has stated so far.
    reported_losses: usize,
    /// The lines of each kind within the current interval.
    kinds: HashMap<Identifier, KindCount>,
}

/// The lines of one kind within an interval.
struct KindCount {
    started: Instant,
    written: u32,
    dropped: u32,
}

impl KindCount {
    fn new() -> Self {
        Self { started: Instant::now(), written: 0, dropped: 0 }
    }

    /// Counts a line. Returns `None` if it is to be dropped, and otherwise how many lines were dropped in the interval
    /// that has just ended.
    fn admit(&mut self) -> Option<u32> {
        let mut dropped = 0;
        if self.started.elapsed() >= COUNT_INTERVAL {
            dropped = self.dropped;
            *self = Self::new();
        }
        if self.written >= MAX_LINES_OF_KIND {
            self.dropped = self.dropped.saturating_add(1);
            return None;
        }
        self.written += 1;
        Some(dropped)
    }
}

impl<S: Subscriber> Layer<S> for LineLayer {
    fn on_event(&self, event: &Event<'_>, _: Context<'_, S>) {
        if !event.metadata().target().starts_with(env!("CARGO_PKG_NAME")) {
            return; // of a library
        }
        let mut state = lock(&self.state);
        let kind = state.kinds.entry(event.metadata().callsite()).or_insert_with(KindCount::new);
        let Some(dropped) = kind.admit() else { return };
        let mut line = Line(String::from("balancer: "));
        event.record(&mut line);
        if dropped > 0 {
            line.append(format_args!(" similar_lines_dropped={dropped}"));
        }
        let losses = self.lost_lines.dropped_lines();
        if losses > state.reported_losses {
            line.append(format_args!(" lines_lost={}", losses - state.reported_losses));
            state.reported_losses = losses;
        }
        line.append(format_args!("\n"));
        state.writer.write_all(line.0.as_bytes()).ok(); // a lost line is counted
    }
}

/// A line while it is formatted.
struct Line(String);

impl Line {
    fn append(&mut self, text: fmt::Arguments<'_>) {
        self.0.write_fmt(text).ok(); // a string takes any text
    }

    /// Cuts the line off at its maximum length.
    fn truncate(&mut self) {
        let mut length = MAX_LINE_LENGTH.min(self.0.len());
        while !self.0.is_char_boundary(length) {
            length -= 1;
        }
        self.0.truncate(length);
    }
}

impl Visit for Line {
    fn record_str(&mut self, field: &Field, value: &str) {
        self.record_debug(field, &format_args!("{value:?}"));
    }

    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        match field.name() {
            "message" => self.append(format_args!("{value:?}")),
            name => self.append(format_args!(" {name}={value:?}")),
        }
        self.truncate();
    }
}
