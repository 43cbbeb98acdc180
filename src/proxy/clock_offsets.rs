//! How far the wall clock stood ahead of the monotonic clock, and when: steps of the wall clock are seen here.

use super::clock::{ClockReading, WallTime};
use balancer::decision::Time;
use std::collections::VecDeque;

/// An offset that changes by less since the last reading was slewed, or the process was held up while it read.
const LEAST_STEP: u128 = 200_000_000;
/// Steps that are remembered: a start is told within seconds.
const MOST_OFFSETS: usize = 8;

/// The offset of the wall clock between two steps.
#[derive(Clone, Copy, Debug)]
struct Offset {
    /// Nanoseconds by which the wall clock is ahead.
    ahead: i128,
    /// The last reading before the step to it; `None` if it held before the first reading.
    earliest: Option<Time>,
    /// The last reading that showed it.
    seen: Time,
    /// The first reading after the step that ended it; `None` if it still holds.
    latest: Option<Time>,
}

impl Offset {
    /// When the wall clock would have shown this time.
    fn monotonic(&self, wall: WallTime) -> i128 {
        wall.unix_nanos() - self.ahead
    }

    /// The same, if the offset may have held at that moment.
    fn possible(&self, wall: WallTime, now: Time) -> Option<Time> {
        let at = self.monotonic(wall);
        let is_early_enough = at <= i128::from(self.latest.unwrap_or(now));
        let is_late_enough = self.earliest.is_none_or(|earliest| at >= i128::from(earliest));
        (is_early_enough && is_late_enough).then(|| saturate(at))
    }
}

/// The latest offsets, the present one last.
#[derive(Debug, Default)]
pub struct ClockOffsets {
    offsets: VecDeque<Offset>,
}

impl ClockOffsets {
    /// Learns what both clocks show now.
    pub fn learn(&mut self, reading: ClockReading) {
        let now = reading.monotonic;
        let ahead = reading.wall.unix_nanos() - i128::from(now);
        let Some(present) = self.offsets.back_mut() else {
            return self.offsets.push_back(Offset { ahead, earliest: None, seen: now, latest: None });
        };
        if present.ahead.abs_diff(ahead) < LEAST_STEP {
            present.ahead = ahead;
            present.seen = now;
            return;
        }
        present.latest = Some(now);
        let earliest = Some(present.seen);
        self.offsets.push_back(Offset { ahead, earliest, seen: now, latest: None });
        if self.offsets.len() > MOST_OFFSETS {
            self.offsets.pop_front();
        }
    }

    /// When the wall clock showed this time. It may have shown it twice, or before and after a step by turns: the
    /// latest of these moments counts. A time that it did not show by now counts as now.
    pub fn monotonic(&self, wall: WallTime, now: Time) -> Time {
        let possible = self.offsets.iter().filter_map(|offset| offset.possible(wall, now)).max();
        possible.unwrap_or_else(|| match self.offsets.back() {
            Some(present) => saturate(present.monotonic(wall)).clamp(present.earliest.unwrap_or(0), now),
            None => now,
        })
    }
}

/// Times before the clock's zero are long past.
fn saturate(at: i128) -> Time {
    Time::try_from(at.max(0)).unwrap_or(Time::MAX)
}
