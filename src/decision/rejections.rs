//! What an endpoint rejects, by class of requests.
//!
//! An endpoint may reject one class and serve all others: passing it over for those too would swamp the rest.

use super::backoff::Backoff;
use super::circuit_breaker;
use super::event::{Duration, SECOND, Time};

/// Longest time that an endpoint is passed over for rejecting requests, doubling up to it from the time that a
/// request takes: what rejects a class for long would cost each of its requests an attempt.
const LONGEST_REJECTING: Duration = 4 * SECOND;
/// Errors in a row that a class may get from an endpoint before it is passed over for it: one is chance.
const TOLERATED_ERRORS: u32 = 1;
/// Classes rejected at a time that make an endpoint full for all.
const REJECTED_CLASSES: usize = 2;

/// Requests of one class that an endpoint rejected, or failed.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassRejections {
    /// It presumably goes on until then.
    until: Time,
    /// So many in a row.
    consecutive: u32,
}

impl ClassRejections {
    /// The endpoint rejected a request. Answered at once, rejections never fill the limit in flight, and the only
    /// endpoint that is not at its limit would get all turns: it is passed over until a request, which takes
    /// `request_time`, has had the time to end.
    pub fn on_rejection(&mut self, now: Time, request_time: Duration) {
        self.extend(now, request_time, 0);
    }

    /// The endpoint answered with an error. Answers to other classes would keep its breaker closed.
    pub fn on_error(&mut self, now: Time) {
        self.extend(now, circuit_breaker::OPEN_BACKOFF.first, TOLERATED_ERRORS);
    }

    /// Passes the endpoint over, longer each time, once so many in a row were tolerated.
    fn extend(&mut self, now: Time, first: Duration, tolerated: u32) {
        self.consecutive += 1;
        if self.consecutive > tolerated {
            let backoff = Backoff { first, cap: LONGEST_REJECTING };
            self.until = now + backoff.delay(self.consecutive - tolerated);
        }
    }

    fn is_active(&self, now: Time) -> bool {
        now < self.until
    }
}

/// Whether an endpoint is taken to reject a class of requests.
pub(crate) fn rejects(rejections: &[ClassRejections], class: usize, now: Time) -> bool {
    if rejections[class].is_active(now) {
        return true;
    }
    let active = rejections.iter().filter(|rejections| rejections.is_active(now));
    active.count() >= REJECTED_CLASSES
}
