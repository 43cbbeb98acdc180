//! The retry policy: a retry budget, and no retries for classes whose retries keep failing.
//!
//! Retries multiply from tier to tier, so the balancer also tracks whether its retries succeed. docs/design.md has the
//! sources and the measurements.

use super::event::{AttemptOutcome, Duration, SECOND, Time};
use super::request_table::PendingRequest;
use super::settings::Settings;
use super::statistics::{DecayingSum, LatencyStatistics};

/// Retries that each request adds to the budget. Each success that is not a repeat also offsets this many futile
/// retries.
const BUDGET_PER_REQUEST: f64 = 0.2;
/// Maximum number of retries in the budget.
const MAX_BUDGET: f64 = 10.0;
/// Decay time of the number of futile retries. A class is not retried any more after as many futile retries as a single
/// request may make, because retries multiply from tier to tier. The number decays because a balancer with few requests
/// sees too few successes to offset it.
const FUTILE_RETRY_TIME_CONSTANT: Duration = 30 * SECOND;
/// Lower bound of the tolerated number of futile retries. It is above 0 because a decaying number never reaches 0, and
/// below 1 so that a single futile retry exceeds it.
const MIN_TOLERATED_FUTILE: f64 = 0.5;

/// Decides which failed attempts are retried.
#[derive(Debug)]
pub(crate) struct RetryPolicy {
    /// Number of retries that may be sent now.
    budget: f64,
    /// For each class, failed retries of requests that may have run before, minus the credit for successes.
    futile_retries: Vec<DecayingSum>,
}

impl RetryPolicy {
    /// Creates a policy with a full budget and no futile retries.
    pub fn new(settings: &Settings) -> Self {
        Self { budget: MAX_BUDGET, futile_retries: vec![DecayingSum::default(); settings.classes.len()] }
    }

    /// Adds the share of a new request to the budget.
    pub fn on_request(&mut self) {
        self.budget = (self.budget + BUDGET_PER_REQUEST).min(MAX_BUDGET);
    }

    /// Updates the number of futile retries at the end of an attempt.
    pub fn on_attempt_end(
        &mut self,
        request: &PendingRequest,
        outcome: AttemptOutcome,
        now: Time,
        settings: &Settings,
    ) {
        let may_be_repeat = request.first_possible_execution.is_some();
        let change = match outcome {
            AttemptOutcome::Success if may_be_repeat => -1.0, // the retry succeeded
            AttemptOutcome::Success => -BUDGET_PER_REQUEST,
            AttemptOutcome::Error | AttemptOutcome::Timeout | AttemptOutcome::Reset if may_be_repeat => 1.0,
            _ => 0.0,
        };
        let max_futile_retries = f64::from(settings.max_attempts - 1);
        self.futile_retries[request.class].add_clamped(
            max_futile_retries,
            now,
            change,
            FUTILE_RETRY_TIME_CONSTANT,
        );
    }

    /// Whether a request may be retried. If so, takes one retry from the budget.
    pub fn try_retry(
        &mut self,
        request: &PendingRequest,
        latency: &LatencyStatistics,
        now: Time,
        settings: &Settings,
    ) -> bool {
        let has_time_left = request.deadline.saturating_sub(now) as f64 > latency.mean / 2.0;
        // The budget also covers requests that never ran: where no endpoint can be reached, each request would
        // otherwise make all its attempts.
        let has_attempts_left = request.attempts < settings.max_attempts;
        // A request that never ran causes no work at deeper tiers that could multiply, and a failure to reach an
        // endpoint that restarts says nothing about the next endpoint.
        let may_help = request.first_possible_execution.is_none()
            || !self.has_futile_retries(request.class, now, settings);
        let is_safe = request.is_safe_to_send(settings, now);
        if !(is_safe && has_time_left && has_attempts_left && may_help && self.budget >= 1.0) {
            return false;
        }
        self.budget -= 1.0;
        true
    }

    fn has_futile_retries(&self, class: usize, now: Time, settings: &Settings) -> bool {
        let tolerated = (f64::from(settings.max_attempts) - 2.0).max(MIN_TOLERATED_FUTILE);
        self.futile_retries[class].get(now, FUTILE_RETRY_TIME_CONSTANT) > tolerated
    }
}
