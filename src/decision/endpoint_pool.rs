//! Pools of endpoints, over which the round robin goes: one for each zone, and one of all endpoints.

use super::endpoint::Endpoint;
use super::event::{Duration, SECOND, Time};
use super::statistics::{ATTEMPT_GAIN, DecayingFailureRatio, LatencyStatistics};

/// Time constant at which the statistics of a zone decay, after which the zone is tried again.
pub(crate) const ZONE_TIME_CONSTANT: Duration = 10 * SECOND;
/// Smoothing factor of the latency ratio of a zone: about ten attempts, so that small balancers follow a change.
const LATENCY_RATIO_GAIN: f64 = 0.1;

/// A pool of endpoints in service, and the statistics of their attempts.
#[derive(Debug, Default)]
pub(crate) struct EndpointPool {
    /// Positions of the members in the endpoint table, in round-robin order.
    pub members: Vec<usize>,
    /// Index into `members` of the endpoint that was picked last.
    pub cursor: usize,
    /// Sum of the members' capacities.
    pub capacity: f64,
    /// Number of members whose breaker is tripped.
    pub tripped_count: usize,
    /// Requests in flight at the members.
    pub in_flight: u32,
    /// Fraction of the attempts that failed.
    failure_ratio: DecayingFailureRatio,
    /// Latency ratio: the latency of attempts divided by their latency objective.
    pub latency_ratio: LatencyStatistics,
    latency_ratio_updated_at: Time,
}

impl EndpointPool {
    /// Fraction of the recent attempts that failed.
    pub fn failure_ratio(&self, now: Time) -> f64 {
        self.failure_ratio.get(now, ZONE_TIME_CONSTANT)
    }

    /// Updates the failure ratio with the outcome of an attempt.
    pub fn learn_failure_ratio(&mut self, failed: bool, now: Time) {
        self.failure_ratio.learn(failed, now, ATTEMPT_GAIN, ZONE_TIME_CONSTANT);
    }

    /// Updates the latency ratio with that of an attempt.
    pub fn learn_latency_ratio(&mut self, latency_ratio: f64, now: Time) {
        self.latency_ratio.learn(latency_ratio, LATENCY_RATIO_GAIN);
        self.latency_ratio_updated_at = now;
    }

    /// Expected latency ratio of a request. Without new samples it decays from the mean to `baseline`.
    pub fn expected_latency_ratio(&self, baseline: f64, now: Time) -> f64 {
        let age = now.saturating_sub(self.latency_ratio_updated_at) as f64 / ZONE_TIME_CONSTANT as f64;
        baseline + (self.latency_ratio.mean - baseline) * (-age).exp()
    }

    /// Number of members whose breaker is closed.
    pub fn healthy_count(&self) -> usize {
        self.members.len().saturating_sub(self.tripped_count)
    }

    /// Requests in flight per unit of capacity.
    pub fn load(&self) -> f64 {
        f64::from(self.in_flight) / self.capacity.max(f64::MIN_POSITIVE)
    }

    /// Removes all members, and keeps the statistics of the zone.
    pub fn clear(&mut self) {
        self.members.clear();
        self.capacity = 0.0;
        self.tripped_count = 0;
        self.in_flight = 0;
    }

    /// Adds an endpoint that is in service.
    pub fn add(&mut self, position: usize, endpoint: &Endpoint) {
        self.members.push(position);
        self.capacity += endpoint.capacity;
        self.tripped_count += usize::from(endpoint.breaker.tripped);
        self.in_flight += endpoint.in_flight;
    }
}

/// The pools of an endpoint in a zone: the zone's pool, and the last one, which has all endpoints.
pub(crate) fn pools_of(pools: &mut [EndpointPool], zone: usize) -> impl Iterator<Item = &mut EndpointPool> {
    let all = pools.len() - 1;
    let covers_zone = move |position: usize| position == zone || position == all;
    pools.iter_mut().enumerate().filter(move |(position, _)| covers_zone(*position)).map(|(_, pool)| pool)
}
