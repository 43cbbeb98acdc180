//! A wall clock that a test can step while a program runs by it.

use super::fault_injector::Faults;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

/// The wall clock of a program and, as it stands for one that all machines share, of the test's upstreams.
pub struct WallClock {
    file: PathBuf,
    step_ms: i64,
    injector: Faults,
}

impl WallClock {
    /// One that shows the true time.
    pub fn new() -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let file = Path::new(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("wall-clock-{}-{number}", std::process::id()));
        std::fs::remove_file(&file).ok();
        Self { file, step_ms: 0, injector: Faults::new("") }
    }

    /// What a program needs in its environment to run by it.
    pub fn environment(&self) -> Vec<(&'static str, String)> {
        let file = self.file.to_str().expect("a path in UTF-8").to_owned();
        let mut environment = self.injector.environment();
        environment.push(("WALL_CLOCK_STEP", file));
        environment
    }

    /// Steps it by so many milliseconds, forward or back.
    pub fn step(&mut self, by_ms: i64) {
        self.step_ms += by_ms;
        let next = self.file.with_extension("next");
        std::fs::write(&next, self.step_ms.to_string()).unwrap();
        std::fs::rename(next, &self.file).unwrap(); // never half written
    }

    /// What it shows, in milliseconds of Unix time.
    pub fn unix_millis(&self) -> u64 {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("after the epoch");
        let now = u64::try_from(now.as_millis()).expect("within u64");
        now.checked_add_signed(self.step_ms).expect("after the epoch")
    }
}

impl Drop for WallClock {
    fn drop(&mut self) {
        std::fs::remove_file(&self.file).ok();
    }
}
