//! The table of requests that await their final response or have an attempt in flight.

use super::event::{Duration, RequestId, Time};
use super::idle_connections::IdleTimeBucket;
use super::settings::{Idempotency, Settings};
use std::collections::HashMap;

/// The requests with an attempt in flight, by id.
pub(crate) type RequestTable = HashMap<RequestId, PendingRequest>;

/// An attempt that was sent to an endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SentAttempt {
    /// Position of the endpoint in the endpoint table.
    pub endpoint: usize,
    pub sent_at: Time,
}

/// How far an attempt in flight has exceeded the usual latency.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Lateness {
    /// The timer after which it is late has not fired.
    #[default]
    OnTime,
    /// It takes far longer than usual for its class.
    Late,
    /// A timeout of the attempt does not count as a failure: the attempt already counts as one, or its lateness is not
    /// monitored because the request arrived with an incomplete body.
    Overdue,
}

/// A request that awaits its final response or has an attempt in flight.
#[derive(Debug, Default)]
pub(crate) struct PendingRequest {
    pub class: usize,
    /// Its contribution to the load: the reciprocal of its latency objective, in 1/ns.
    pub load_weight: f64,
    pub deadline: Time,
    /// Estimated work that the request causes at an endpoint, in nanoseconds, if known.
    pub work: Option<Duration>,
    /// Number of attempts sent so far.
    pub attempts: u32,
    /// The last attempt.
    pub last_attempt: Option<SentAttempt>,
    /// Lateness of the attempt in flight.
    pub lateness: Lateness,
    /// Requests in flight at the endpoint of the current attempt, including this one, as reported to a load query; 0 if
    /// the endpoint was not queried or did not respond.
    pub reported_in_flight: f64,
    /// Cost charged for the attempt in flight to the slow-start budget of a cold endpoint; 0 for a warm one.
    pub warm_up_cost: f64,
    /// The attempt in flight is the trial request of a half-open circuit breaker.
    pub is_trial: bool,
    /// How long the connection of the attempt in flight had been idle before.
    pub idle_bucket: IdleTimeBucket,
    /// The first attempt that may have executed the request.
    pub first_possible_execution: Option<SentAttempt>,
    /// The request has its final response, or its client has disconnected.
    pub closed: bool,
    /// The body was still being received when the request arrived. The client then determines when an attempt ends, so
    /// lateness is not monitored and a response that starts early is not timed.
    pub body_was_incomplete: bool,
    /// The response to the attempt in flight has started.
    pub response_started: bool,
}

impl PendingRequest {
    /// End of the idempotency window, in which endpoints drop repeats, if the request has a key and may have run.
    pub fn idempotency_window_end(&self, settings: &Settings) -> Option<Time> {
        match (settings.classes[self.class].idempotency, self.first_possible_execution) {
            (Idempotency::Keyed(_, window), Some(first)) => Some(first.sent_at.saturating_add(window)),
            _ => None,
        }
    }

    /// Whether another attempt is safe, provided that it goes to an endpoint of the deduplication group.
    pub fn is_safe_to_send(&self, settings: &Settings, now: Time) -> bool {
        let may_repeat = settings.is_repeatable(self.class) || self.first_possible_execution.is_none();
        may_repeat && self.idempotency_window_end(settings).is_none_or(|end| now < end)
    }

    /// Positions of the endpoints that the request refers to.
    pub fn referenced_endpoints(&self) -> impl Iterator<Item = usize> {
        let attempts = [self.last_attempt, self.first_possible_execution];
        attempts.into_iter().flatten().map(|attempt| attempt.endpoint)
    }
}
