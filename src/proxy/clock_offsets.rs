//! The offsets between the wall clock and the monotonic clock over time. A change of the offset shows a step of the
//! wall clock. The recorded offsets convert wall times from before and after a step to monotonic time.

use super::clock::{ClockReading, WallTime};
use balancer::decision::Time;
use std::collections::VecDeque;

/// The smallest change of the offset between two readings that counts as a step, in nanoseconds. Smaller changes come
/// from slewing, or from a pause of the process between reading the two clocks.
const MIN_STEP: u128 = 200_000_000;
/// Number of offsets that are kept. Discovery reports a start within seconds, so older offsets are not needed.
const MAX_OFFSETS: usize = 8;

/// The offset of the wall clock from the monotonic clock between two steps.
#[derive(Clone, Copy, Debug)]
struct Offset {
    /// Wall time minus monotonic time, in nanoseconds.
    wall_minus_monotonic: i128,
    /// The last reading before the step that led to this offset; `None` for the offset of the first reading.
    earliest_start: Option<Time>,
    /// The last reading with this offset.
    last_seen: Time,
    /// The first reading after the step that ended this offset; `None` for the current offset.
    latest_end: Option<Time>,
}

impl Offset {
    /// The monotonic time in nanoseconds at which the wall clock shows `wall` under this offset; may be negative.
    fn monotonic(&self, wall: WallTime) -> i128 {
        wall.unix_nanos() - self.wall_minus_monotonic
    }

    /// Like [`monotonic`](Self::monotonic), but `None` if this offset cannot have applied at that time.
    fn possible_monotonic(&self, wall: WallTime, now: Time) -> Option<Time> {
        let monotonic = self.monotonic(wall);
        let is_early_enough = monotonic <= i128::from(self.latest_end.unwrap_or(now));
        let is_late_enough =
            self.earliest_start.is_none_or(|earliest_start| monotonic >= i128::from(earliest_start));
        (is_early_enough && is_late_enough).then(|| saturate(monotonic))
    }
}

/// The most recent offsets, the current one last.
#[derive(Debug, Default)]
pub struct ClockOffsets {
    offsets: VecDeque<Offset>,
}

impl ClockOffsets {
    /// Records a reading of both clocks.
    pub fn record(&mut self, reading: ClockReading) {
        let now = reading.monotonic;
        let wall_minus_monotonic = reading.wall.unix_nanos() - i128::from(now);
        let Some(current) = self.offsets.back_mut() else {
            return self.offsets.push_back(Offset {
                wall_minus_monotonic,
                earliest_start: None,
                last_seen: now,
                latest_end: None,
            });
        };
        if current.wall_minus_monotonic.abs_diff(wall_minus_monotonic) < MIN_STEP {
            current.wall_minus_monotonic = wall_minus_monotonic;
            current.last_seen = now;
            return;
        }
        current.latest_end = Some(now);
        let earliest_start = Some(current.last_seen);
        self.offsets.push_back(Offset {
            wall_minus_monotonic,
            earliest_start,
            last_seen: now,
            latest_end: None,
        });
        if self.offsets.len() > MAX_OFFSETS {
            self.offsets.pop_front();
        }
    }

    /// Converts a wall time to monotonic time. If steps made the wall clock show the time more than once, the latest of
    /// these moments is returned. A time that no recorded offset has shown is clamped to the span of the current
    /// offset: a wall time in the future becomes `now`.
    pub fn monotonic(&self, wall: WallTime, now: Time) -> Time {
        let latest_possible =
            self.offsets.iter().filter_map(|offset| offset.possible_monotonic(wall, now)).max();
        latest_possible.unwrap_or_else(|| match self.offsets.back() {
            Some(current) => {
                saturate(current.monotonic(wall)).clamp(current.earliest_start.unwrap_or(0), now)
            }
            None => now,
        })
    }
}

/// Converts to [`Time`]; negative values become 0.
fn saturate(monotonic: i128) -> Time {
    Time::try_from(monotonic.max(0)).unwrap_or(Time::MAX)
}
