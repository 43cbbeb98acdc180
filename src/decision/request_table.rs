//! The requests that are not answered yet, or have an attempt in flight.

use super::event::{Duration, RequestId, Time};
use super::idle_connections::IdleTimeBucket;
use super::settings::{Idempotency, Settings};
use std::collections::HashMap;

/// The requests with an attempt in flight.
pub(crate) type RequestTable = HashMap<RequestId, PendingRequest>;

/// An attempt: where it was sent, and when.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SentAttempt {
    /// Position of the endpoint in the table.
    pub endpoint: usize,
    pub sent: Time,
}

/// What has been seen of an attempt that does not end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Lateness {
    /// Nothing yet.
    #[default]
    OnTime,
    /// It takes far longer than usual.
    Late,
    /// It counts as a failure, or cannot be told to be late.
    Overdue,
}

/// A request that is not answered yet, or has an attempt in flight.
#[derive(Debug, Default)]
pub(crate) struct PendingRequest {
    pub class: usize,
    /// What it adds to the load: one over its latency objective, in 1/ns.
    pub weight: f64,
    pub deadline: Time,
    /// Its work in nanoseconds, where that is known.
    pub work: Option<Duration>,
    /// Attempts made so far.
    pub attempts: u32,
    /// The last attempt.
    pub last_attempt: Option<SentAttempt>,
    /// Of the attempt in flight.
    pub lateness: Lateness,
    /// Requests that the endpoint of the attempt in flight held, this one included, if it was asked.
    pub reported_in_flight: f64,
    /// What the budget of a cold endpoint was charged for the attempt in flight.
    pub warm_up_cost: f64,
    /// The attempt in flight is the trial of a breaker.
    pub is_trial: bool,
    /// How long the connection of the attempt in flight had been idle.
    pub idle: IdleTimeBucket,
    /// The first attempt that may have run.
    pub may_have_run: Option<SentAttempt>,
    /// It has its final answer, or is owed none.
    pub closed: bool,
    /// Its body was still being received when it was sent: how long that took says nothing of its endpoint.
    pub streaming: bool,
    /// The response to the attempt in flight has begun.
    pub response_started: bool,
}

impl PendingRequest {
    /// Until when its endpoints drop repeats, if it has an idempotency key and may have run.
    pub fn window_end(&self, settings: &Settings) -> Option<Time> {
        match (settings.classes[self.class].idempotency, self.may_have_run) {
            (Idempotency::Keyed(_, window), Some(first)) => Some(first.sent.saturating_add(window)),
            _ => None,
        }
    }

    /// Whether one more attempt can do no harm, at an endpoint of the group that drops its repeats.
    pub fn is_safe_to_send(&self, settings: &Settings, now: Time) -> bool {
        let may_repeat = settings.is_repeatable(self.class) || self.may_have_run.is_none();
        may_repeat && self.window_end(settings).is_none_or(|end| now < end)
    }

    /// The endpoints that it refers to.
    pub fn referenced_endpoints(&self) -> impl Iterator<Item = usize> {
        let attempts = [self.last_attempt, self.may_have_run];
        attempts.into_iter().flatten().map(|attempt| attempt.endpoint)
    }
}
