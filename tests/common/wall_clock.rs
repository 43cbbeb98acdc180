//! A wall clock that a test can step while a program uses it.

use super::fault_injector::Faults;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

/// The wall clock of a program. The test's upstreams read the same clock, as if all machines shared one.
pub struct WallClock {
    file: PathBuf,
    step_ms: i64,
    injector: Faults,
}

impl WallClock {
    /// A clock that shows the machine's time until it is stepped.
    pub fn new() -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let file = Path::new(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("wall-clock-{}-{number}", std::process::id()));
        std::fs::remove_file(&file).ok();
        Self { file, step_ms: 0, injector: Faults::new("") }
    }

    /// The environment variables that make a program use this clock.
    pub fn environment(&self) -> Vec<(&'static str, String)> {
        let file = self.file.to_str().expect("path is UTF-8").to_owned();
        let mut environment = self.injector.environment();
        environment.push(("WALL_CLOCK_STEP", file));
        environment
    }

    /// Steps the clock by this many milliseconds, forward or back.
    pub fn step(&mut self, by_ms: i64) {
        self.step_ms += by_ms;
        let next = self.file.with_extension("next");
        std::fs::write(&next, self.step_ms.to_string()).unwrap();
        std::fs::rename(next, &self.file).unwrap(); // atomic, so that the program never reads a partial value
    }

    /// The time shown by the clock, in milliseconds of Unix time.
    pub fn unix_millis(&self) -> u64 {
        let now =
            SystemTime::now().duration_since(UNIX_EPOCH).expect("the machine's clock is after the epoch");
        let now = u64::try_from(now.as_millis()).expect("milliseconds fit into u64");
        now.checked_add_signed(self.step_ms).expect("the stepped clock is after the epoch")
    }
}

impl Drop for WallClock {
    fn drop(&mut self) {
        std::fs::remove_file(&self.file).ok();
    }
}
