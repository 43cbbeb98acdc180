//! The circuit breaker of an endpoint: closed, open or half-open.
//!
//! A breaker trips after a few consecutive failures, fewer where failures are rare. It stays open for a time
//! that doubles with each opening, and a successful trial request closes it.

use super::backoff::Backoff;
use super::event::{AttemptOutcome, Duration, SECOND, Time};

/// How long a breaker stays open. The cap bounds how long a recovered endpoint is left unused.
pub(crate) const OPEN_BACKOFF: Backoff = Backoff { first: SECOND, cap: 8 * SECOND };
/// Probability that the breaker of an endpoint no worse than the rest trips by chance; it determines the
/// consecutive failures needed.
const FALSE_TRIP_PROBABILITY: f64 = 0.01;
/// Minimum number of consecutive failures that trip a breaker: a single failure is not a series.
const MIN_FAILURES: f64 = 2.0;
/// Maximum number of consecutive failures that trip a breaker, so that in a failing tier the worst endpoints
/// still trip.
const MAX_FAILURES: f64 = 6.0;
/// Lower bound of the failure ratio of all attempts, so that its logarithm is finite.
const MIN_FAILURE_RATIO: f64 = 0.001;
/// Upper bound of the failure ratio of all attempts, so that its logarithm, a divisor, is not 0.
const MAX_FAILURE_RATIO: f64 = 0.999;
/// Consecutive successes after which a single failure no longer reopens the breaker.
const PROBATION_SUCCESSES: u32 = 3;
/// Consecutive successes after which the open time restarts at its first value.
const RECOVERY_SUCCESSES: u32 = 10;

/// What a failed attempt implies for the work left at its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FailureKind {
    /// No response came in time: the endpoint may still be working on the request.
    Unfinished,
    /// Any other failure: no work of the request is left at the endpoint.
    Ended,
}

impl FailureKind {
    /// The kind of an outcome that is a failure.
    pub fn of(outcome: AttemptOutcome) -> Self {
        if outcome == AttemptOutcome::Timeout { Self::Unfinished } else { Self::Ended }
    }
}

/// The circuit breaker of one endpoint.
#[derive(Debug, Default)]
pub(crate) struct CircuitBreaker {
    consecutive_failures: u32,
    consecutive_successes: u32,
    /// Openings since the last recovery.
    pub recent_openings: u32,
    /// Open or half-open.
    pub tripped: bool,
    opened_at: Time,
    open_until: Time,
    /// A trial request is in flight.
    pub trial_in_flight: bool,
    /// The last opening was due to an attempt without a response in time: the endpoint may still be working on
    /// abandoned requests.
    opened_by_unfinished_attempt: bool,
}

impl CircuitBreaker {
    /// Whether a request may be sent: the breaker is closed, or half-open without a trial in flight. A trial
    /// may be lost, so it is left to repeatable requests, unless none arrives for another open time.
    pub fn admits(&self, now: Time, repeatable: bool) -> bool {
        if !self.tripped {
            return true;
        }
        let extra_wait: Duration = if repeatable { 0 } else { OPEN_BACKOFF.delay(self.recent_openings) };
        !self.trial_in_flight && now >= self.open_until.saturating_add(extra_wait)
    }

    /// Whether the endpoint may still be working on abandoned requests, and gets no request before its next
    /// trial.
    /// If all endpoints are in this state, further requests would keep them busy with abandoned work forever.
    pub fn may_be_backlogged(&self, now: Time, repeatable: bool) -> bool {
        self.opened_by_unfinished_attempt && !self.admits(now, repeatable)
    }

    /// Records a failed attempt, and returns whether the breaker opens; `failure_ratio` is that of all
    /// attempts. A failure of an attempt sent before the last opening is ignored, as it adds no information:
    /// one burst would open the breaker repeatedly, up to the longest open time.
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
        self.opened_by_unfinished_attempt = kind == FailureKind::Unfinished;
        true
    }

    /// Records a successful attempt. The caller then closes the breaker.
    pub fn on_success(&mut self) {
        self.consecutive_failures = 0;
        self.consecutive_successes = self.consecutive_successes.saturating_add(1);
        if self.consecutive_successes >= RECOVERY_SUCCESSES {
            self.recent_openings = 0;
        }
    }
}

/// Consecutive failures that trip a breaker at a failure ratio of all attempts: within the bounds, a run of
/// that length occurs by chance with a probability of at most [`FALSE_TRIP_PROBABILITY`].
fn failures_to_trip(failure_ratio: f64) -> f64 {
    let failure_ratio = failure_ratio.clamp(MIN_FAILURE_RATIO, MAX_FAILURE_RATIO);
    (FALSE_TRIP_PROBABILITY.ln() / failure_ratio.ln()).ceil().clamp(MIN_FAILURES, MAX_FAILURES)
}
