//! The endpoints that a round robin goes through: those of a zone, or all.

use super::endpoint::Endpoint;
use super::event::{Duration, SECOND, Time};
use super::statistics::{DecayingRatio, LatencyStatistics, OUTCOME_GAIN};

/// Time over which what is known of a zone fades: then it is tried again.
pub(crate) const ZONE_TIME_CONSTANT: Duration = 10 * SECOND;
/// Weight of an attempt in the lateness of its zone: some ten of them, so that small balancers follow.
const LATENESS_GAIN: f64 = 0.1;

/// A pool of endpoints that are in service.
#[derive(Debug, Default)]
pub(crate) struct EndpointPool {
    /// Positions of its endpoints in the table, in the order of the round robin.
    pub members: Vec<usize>,
    /// Position among the members that was picked last.
    pub cursor: usize,
    /// Sum of the capacities.
    pub capacity: f64,
    /// Members whose breaker is tripped.
    pub tripped: usize,
    /// Requests in flight at the members.
    pub in_flight: u32,
    failure_ratio: DecayingRatio,
    /// How long attempts take, as part of their objective, and when that was learned last.
    pub lateness: LatencyStatistics,
    lateness_updated_at: Time,
}

impl EndpointPool {
    /// Part of the attempts that failed lately.
    pub fn failure_ratio(&self, now: Time) -> f64 {
        self.failure_ratio.get(now, ZONE_TIME_CONSTANT)
    }

    /// Learns whether an attempt failed.
    pub fn learn_failure_ratio(&mut self, failed: bool, now: Time) {
        self.failure_ratio.learn(failed, now, OUTCOME_GAIN, ZONE_TIME_CONSTANT);
    }

    /// Learns how long an attempt took, as part of its objective.
    pub fn learn_lateness(&mut self, lateness: f64, now: Time) {
        self.lateness.learn(lateness, LATENESS_GAIN);
        self.lateness_updated_at = now;
    }

    /// Lateness that a request can expect; what is known of it fades towards what is calm.
    pub fn expected_lateness(&self, baseline: f64, now: Time) -> f64 {
        let age = now.saturating_sub(self.lateness_updated_at) as f64 / ZONE_TIME_CONSTANT as f64;
        baseline + (self.lateness.mean - baseline) * (-age).exp()
    }

    /// Members whose breaker is closed.
    pub fn healthy_count(&self) -> usize {
        self.members.len().saturating_sub(self.tripped)
    }

    /// Requests in flight for each unit of capacity.
    pub fn load(&self) -> f64 {
        f64::from(self.in_flight) / self.capacity.max(f64::MIN_POSITIVE)
    }

    /// Removes all members; what is known of the zone stays.
    pub fn clear(&mut self) {
        self.members.clear();
        self.capacity = 0.0;
        self.tripped = 0;
        self.in_flight = 0;
    }

    /// Adds an endpoint that is in service.
    pub fn add(&mut self, position: usize, endpoint: &Endpoint) {
        self.members.push(position);
        self.capacity += endpoint.capacity;
        self.tripped += usize::from(endpoint.breaker.tripped);
        self.in_flight += endpoint.in_flight;
    }
}

/// The pools that an endpoint of a zone is in: its zone's, and the last one, which has all endpoints.
pub(crate) fn pools_of(pools: &mut [EndpointPool], zone: usize) -> impl Iterator<Item = &mut EndpointPool> {
    let all = pools.len() - 1;
    let covers_zone = move |position: usize| position == zone || position == all;
    pools.iter_mut().enumerate().filter(move |(position, _)| covers_zone(*position)).map(|(_, pool)| pool)
}
