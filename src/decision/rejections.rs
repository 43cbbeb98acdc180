//! Rejections and errors of one endpoint, tracked for each request class.
//!
//! An endpoint may reject one class and serve all others. Skipping it for every class would overload the other
//! endpoints.

use super::backoff::Backoff;
use super::circuit_breaker;
use super::event::{Duration, SECOND, Time};

/// Longest time that an endpoint is skipped for rejecting a class. The time starts at the duration of a request and
/// doubles up to this cap: where an endpoint keeps rejecting a class, each request sent there wastes an attempt.
const MAX_SKIP_TIME: Duration = 4 * SECOND;
/// Consecutive errors of a class that are tolerated before the endpoint is skipped for the class: a single error may be
/// chance.
const TOLERATED_ERRORS: u32 = 1;
/// Number of classes rejected at the same time from which the endpoint is skipped for all classes.
const REJECTED_CLASSES_LIMIT: usize = 2;

/// The rejections and errors of one request class at one endpoint.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassRejections {
    /// The endpoint is skipped for the class until this time.
    skipped_until: Time,
    /// Number of consecutive rejections or errors.
    consecutive: u32,
}

impl ClassRejections {
    /// Records that the endpoint rejected a request, and skips it for at least the duration of a request,
    /// `request_duration`, so that it can finish one. Rejections return at once and never fill the in-flight limit:
    /// without the pause, a rejecting endpoint would be the only one below its limit and receive all requests.
    pub fn on_rejection(&mut self, now: Time, request_duration: Duration) {
        self.record(now, request_duration, 0);
    }

    /// Records that the endpoint responded with an error. The circuit breaker alone would stay closed, because
    /// responses to other classes reset it.
    pub fn on_error(&mut self, now: Time) {
        self.record(now, circuit_breaker::OPEN_BACKOFF.first, TOLERATED_ERRORS);
    }

    /// Counts a failure and, beyond the tolerated number, skips the endpoint for a time that doubles with each one.
    fn record(&mut self, now: Time, first: Duration, tolerated: u32) {
        self.consecutive += 1;
        if self.consecutive > tolerated {
            let backoff = Backoff { first, cap: MAX_SKIP_TIME };
            self.skipped_until = now + backoff.delay(self.consecutive - tolerated);
        }
    }

    fn is_active(&self, now: Time) -> bool {
        now < self.skipped_until
    }
}

/// Whether an endpoint is expected to reject a request of this class.
pub(crate) fn rejects(rejections: &[ClassRejections], class: usize, now: Time) -> bool {
    if rejections[class].is_active(now) {
        return true;
    }
    let active = rejections.iter().filter(|rejections| rejections.is_active(now));
    active.count() >= REJECTED_CLASSES_LIMIT
}
