//! One circuit breaker for each endpoint: trip, open, half-open, close.
//!
//! A breaker trips after a few failures in a row, fewer where failures are rare, stays open for a time that
//! doubles, and closes by one trial request.

use super::backoff::Backoff;
use super::event::{AttemptOutcome, Duration, SECOND, Time};

/// How long a breaker stays open. The cap bounds how long a healed endpoint idles.
pub(crate) const OPEN_BACKOFF: Backoff = Backoff { first: SECOND, cap: 8 * SECOND };
/// Chance that an endpoint no worse than the rest trips: sets how many failures in a row it takes ...
const FALSE_TRIP_PROBABILITY: f64 = 0.01;
/// ... within these bounds: one failure is no row, and a broken tier must still show its worst.
const MIN_FAILURES: f64 = 2.0;
const MAX_FAILURES: f64 = 6.0;
/// The failing part of all attempts is taken to lie between these, whose logarithms are finite.
const MIN_FAILURE_RATIO: f64 = 0.001;
const MAX_FAILURE_RATIO: f64 = 0.999;
/// Successes in a row after which one failure no longer reopens.
const PROBATION_SUCCESSES: u32 = 3;
/// Successes in a row after which the open time starts again from its first value.
const RECOVERY_SUCCESSES: u32 = 10;

/// How an attempt failed, as far as that tells what its endpoint is busy with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FailureKind {
    /// No answer came in time: the endpoint may still be at work on it.
    Unanswered,
    /// Any other: nothing of it is left at the endpoint.
    Ended,
}

impl FailureKind {
    /// The kind of an outcome that is a failure.
    pub fn of(outcome: AttemptOutcome) -> Self {
        if outcome == AttemptOutcome::Timeout { Self::Unanswered } else { Self::Ended }
    }
}

/// A circuit breaker.
#[derive(Debug, Default)]
pub(crate) struct CircuitBreaker {
    /// Failures in a row.
    consecutive_failures: u32,
    /// Successes in a row.
    consecutive_successes: u32,
    /// How often it opened lately.
    pub recent_openings: u32,
    /// It is open, or half-open.
    pub tripped: bool,
    opened_at: Time,
    open_until: Time,
    /// A trial request is out.
    pub trial_in_flight: bool,
    /// It opened last for an attempt without an answer: the endpoint may be behind with work that was given up.
    opened_by_unanswered: bool,
}

impl CircuitBreaker {
    /// Whether a request may be sent: the breaker is closed, or half-open with no trial out. A trial may be lost,
    /// so it is left to requests that can be repeated, unless none came by for another open time.
    pub fn admits(&self, now: Time, repeatable: bool) -> bool {
        if !self.tripped {
            return true;
        }
        let extra_wait: Duration = if repeatable { 0 } else { OPEN_BACKOFF.delay(self.recent_openings) };
        !self.trial_in_flight && now >= self.open_until.saturating_add(extra_wait)
    }

    /// Whether the endpoint has to be left alone until its next trial. It goes on with requests that were given up, and
    /// where all endpoints do, work that nobody waits for any more would keep them busy for ever.
    pub fn may_be_backlogged(&self, now: Time, repeatable: bool) -> bool {
        self.opened_by_unanswered && !self.admits(now, repeatable)
    }

    /// Takes note of a failed attempt; `failing` is the part of all attempts that fails. Gives whether the breaker
    /// opens. A failure of an attempt that was sent before it opened tells nothing that the breaker does not know:
    /// one burst would open it many times over, up to the longest open time.
    pub fn on_failure(&mut self, now: Time, sent_at: Time, failure_ratio: f64, kind: FailureKind) -> bool {
        if sent_at < self.opened_at {
            return false;
        }
        let on_probation = self.recent_openings > 0 && self.consecutive_successes < PROBATION_SUCCESSES;
        self.consecutive_failures += 1;
        self.consecutive_successes = 0;
        if f64::from(self.consecutive_failures) < failures_to_trip(failure_ratio) && !on_probation {
            return false;
        }
        self.consecutive_failures = 0;
        self.recent_openings += 1;
        self.opened_at = now;
        self.open_until = now + OPEN_BACKOFF.delay(self.recent_openings);
        self.opened_by_unanswered = kind == FailureKind::Unanswered;
        true
    }

    /// Takes note of an answered attempt, which closes the breaker.
    pub fn on_success(&mut self) {
        self.consecutive_failures = 0;
        self.consecutive_successes = self.consecutive_successes.saturating_add(1);
        if self.consecutive_successes >= RECOVERY_SUCCESSES {
            self.recent_openings = 0;
        }
    }
}

/// Failures in a row that trip a breaker, where so large a part of all attempts fails.
fn failures_to_trip(failure_ratio: f64) -> f64 {
    let failure_ratio = failure_ratio.clamp(MIN_FAILURE_RATIO, MAX_FAILURE_RATIO);
    (FALSE_TRIP_PROBABILITY.ln() / failure_ratio.ln()).ceil().clamp(MIN_FAILURES, MAX_FAILURES)
}
