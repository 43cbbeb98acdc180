//! The monotonic clock, which everything is scheduled by, and the only code that reads the wall clock.
//!
//! The wall clock may be stepped at any moment. It is therefore read only to convert wall times that discovery reports,
//! and a wall time is never stored for a later comparison.

use balancer::decision::Time;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::{Duration, Instant};

/// The monotonic time at the start of the process. It is not zero, so that earlier moments can be represented.
pub const PROCESS_START: Time = 1 << 60;

/// A time on the wall clock, as the time since the Unix epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WallTime(Duration);

impl WallTime {
    /// Converts Unix time in milliseconds.
    pub fn from_unix_millis(milliseconds: u64) -> Self {
        Self(Duration::from_millis(milliseconds))
    }

    /// Returns Unix time in nanoseconds.
    pub fn unix_nanos(self) -> i128 {
        i128::try_from(self.0.as_nanos()).unwrap_or(i128::MAX)
    }

    /// Reads the wall clock.
    fn now() -> Self {
        Self(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default())
    }
}

/// A reading of the monotonic clock and the wall clock at the same moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    pub monotonic: Time,
    pub wall: WallTime,
}

/// The monotonic clock, in the decision module's unit (nanoseconds).
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    process_start: Instant,
}

impl Clock {
    /// Creates a clock that reads [`PROCESS_START`] now.
    pub fn new() -> Self {
        Self { process_start: Instant::now() }
    }

    /// The present time.
    pub fn now(&self) -> Time {
        self.time(Instant::now())
    }

    /// Converts an instant to the decision module's time.
    pub fn time(&self, instant: Instant) -> Time {
        let elapsed = instant.saturating_duration_since(self.process_start);
        PROCESS_START.saturating_add(u64::try_from(elapsed.as_nanos()).unwrap_or(Time::MAX))
    }

    /// Converts the decision module's time to an instant. Times before the start of the process become its start.
    pub fn instant(&self, time: Time) -> Instant {
        self.process_start + Duration::from_nanos(time.saturating_sub(PROCESS_START))
    }

    /// Reads both clocks, the wall clock first. If the process is paused in between, wall times that are converted by
    /// this reading become too late, never too early.
    pub fn read(&self) -> ClockReading {
        let wall = WallTime::now();
        ClockReading { monotonic: self.now(), wall }
    }
}
