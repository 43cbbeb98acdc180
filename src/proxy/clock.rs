//! Monotonic time, which everything is scheduled by, and the one place that reads wall time.
//!
//! A wall clock may be stepped at any moment. So wall time is only read to place the moments that others tell in it,
//! and never kept as a time to compare with later.

use balancer::decision::Time;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::{Duration, Instant};

/// The clock's reading when the process starts: what happened before the process can be told, too.
pub const PROCESS_START: Time = 1 << 60;

/// A moment as a wall clock showed it: the time since the Unix epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WallTime(Duration);

impl WallTime {
    /// Unix time in milliseconds.
    pub fn from_unix_millis(milliseconds: u64) -> Self {
        Self(Duration::from_millis(milliseconds))
    }

    /// Unix time in nanoseconds.
    pub fn unix_nanos(self) -> i128 {
        i128::try_from(self.0.as_nanos()).unwrap_or(i128::MAX)
    }

    fn now() -> Self {
        Self(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default())
    }
}

/// What both clocks show at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    pub monotonic: Time,
    pub wall: WallTime,
}

/// The monotonic clock, in the decision module's unit.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    process_start: Instant,
}

impl Clock {
    pub fn new() -> Self {
        Self { process_start: Instant::now() }
    }

    pub fn now(&self) -> Time {
        self.time(Instant::now())
    }

    pub fn time(&self, at: Instant) -> Time {
        let elapsed = at.saturating_duration_since(self.process_start);
        PROCESS_START.saturating_add(u64::try_from(elapsed.as_nanos()).unwrap_or(Time::MAX))
    }

    pub fn instant(&self, time: Time) -> Instant {
        self.process_start + Duration::from_nanos(time.saturating_sub(PROCESS_START))
    }

    /// Reads both clocks, wall time first: a process that is held up in between takes a start for later than it was,
    /// never for earlier.
    pub fn read(&self) -> ClockReading {
        let wall = WallTime::now();
        ClockReading { monotonic: self.now(), wall }
    }
}
