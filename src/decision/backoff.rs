//! Exponential backoff.

use super::event::Duration;

/// Number of doublings after which the delay stops growing, whatever the cap, so that the shift cannot overflow.
const MAX_DOUBLINGS: u32 = 8;

/// A delay that doubles with each consecutive failure, up to a cap.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Backoff {
    /// The delay after the first failure, in nanoseconds.
    pub first: Duration,
    /// The longest delay, in nanoseconds.
    pub cap: Duration,
}

impl Backoff {
    /// The delay after this number of consecutive failures.
    pub fn delay(self, failures: u32) -> Duration {
        (self.first << failures.saturating_sub(1).min(MAX_DOUBLINGS)).min(self.cap)
    }
}
