//! Retries: their budget, and their end where they are futile.
//!
//! Retries multiply from tier to tier, so a balancer also goes by whether its retries help. docs/design.md has the
//! sources and what was measured.

use super::event::{AttemptOutcome, Duration, SECOND, Time};
use super::request_table::PendingRequest;
use super::settings::Settings;
use super::statistics::{DecayingSum, LatencyStatistics};

/// What each request earns of a retry.
const EARNED_PER_REQUEST: f64 = 0.2;
/// Most retries that are saved up.
const LARGEST_BUDGET: f64 = 10.0;
/// Time over which futile retries are forgotten. As retries multiply from tier to tier, a class gets none after as
/// many as one request may make: a balancer with few requests gets few answers to make them good.
const FUTILE_FADE: Duration = 30 * SECOND;
/// Least number of futile retries that end the retries of a class; under one, as fading never ends.
const LEAST_FUTILE: f64 = 0.5;

/// Which failed attempts are made again.
#[derive(Debug)]
pub(crate) struct RetryPolicy {
    /// Retries that may be made now.
    budget: f64,
    /// Retries of failed work that failed again, less what answers made good, for each class.
    futile: Vec<DecayingSum>,
}

impl RetryPolicy {
    /// A full budget, and no futile retry.
    pub fn new(settings: &Settings) -> Self {
        Self { budget: LARGEST_BUDGET, futile: vec![DecayingSum::default(); settings.classes.len()] }
    }

    /// A request earns a part of a retry.
    pub fn on_request(&mut self) {
        self.budget = (self.budget + EARNED_PER_REQUEST).min(LARGEST_BUDGET);
    }

    /// Learns from the end of an attempt whether retries help.
    pub fn on_attempt_end(
        &mut self,
        request: &PendingRequest,
        outcome: AttemptOutcome,
        now: Time,
        settings: &Settings,
    ) {
        let was_retry = request.may_have_run.is_some();
        let change = match outcome {
            AttemptOutcome::Success if was_retry => -1.0, // it helped
            AttemptOutcome::Success => -EARNED_PER_REQUEST,
            AttemptOutcome::Error | AttemptOutcome::Timeout | AttemptOutcome::Reset if was_retry => 1.0,
            _ => 0.0,
        };
        let most = f64::from(settings.max_attempts - 1);
        self.futile[request.class].add_clamped(most, now, change, FUTILE_FADE);
    }

    /// Whether a request is sent again; takes the retry out of the budget.
    pub fn try_retry(
        &mut self,
        request: &PendingRequest,
        class: &LatencyStatistics,
        now: Time,
        settings: &Settings,
    ) -> bool {
        let in_time = request.deadline.saturating_sub(now) as f64 > class.mean / 2.0;
        // What never ran is bounded too: where nothing can be reached, each request would make all its attempts.
        let attempts_left = request.attempts < settings.max_attempts;
        // Where nothing ran, nothing multiplies: an endpoint that restarts says nothing of the next one.
        let hopeful = request.may_have_run.is_none() || !self.is_futile(request.class, now, settings);
        let safe = request.is_safe_to_send(settings, now);
        if !(safe && in_time && attempts_left && hopeful && self.budget >= 1.0) {
            return false;
        }
        self.budget -= 1.0;
        true
    }

    fn is_futile(&self, class: usize, now: Time, settings: &Settings) -> bool {
        let tolerated = (f64::from(settings.max_attempts) - 2.0).max(LEAST_FUTILE);
        self.futile[class].get(now, FUTILE_FADE) > tolerated
    }
}
