//! Load shedding: rejects new requests in an overload, by their value and their tenant's quota.

use super::event::{Duration, SECOND, Time};
use super::settings::Settings;
use super::statistics::{
    DecayingSum, LatencyStatistics, RATE_TIME_CONSTANT, TRUSTED_SAMPLES, TrafficStatistics,
};

/// Expected response time, as a multiple of the latency objective, from which load is shed. If this and
/// [`SHED_ALL_LATENCY_RATIO`] were higher, the slowest responses would miss the objective; if they were lower, requests
/// that are slow by nature would be rejected without an overload.
const SHED_START_LATENCY_RATIO: f64 = 0.5;
/// Expected response time, as a multiple of the latency objective, from which the maximum fraction of the load is shed.
const SHED_ALL_LATENCY_RATIO: f64 = 0.65;
/// Maximum fraction of the load that is shed: the remaining requests show when the overload ends.
const MAX_SHED_FRACTION: f64 = 0.9;
/// Minimum time constant of the rate at which requests end.
const MIN_RATE_TIME_CONSTANT: Duration = SECOND;
/// Maximum of this time constant at a balancer with few requests, as a multiple of the longest latency
/// objective: an overload builds up and ends within a few objectives.
const MAX_RATE_TIME_CONSTANT_OBJECTIVES: u64 = 2;

/// The start or end of load shedding.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct SheddingChange {
    /// Load shedding has started.
    pub active: bool,
    /// Expected response time, as a multiple of the latency objective.
    pub latency_ratio: f64,
}

/// The decision on a new request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Admission {
    pub admitted: bool,
    /// The start or end of load shedding, to be logged.
    pub change: Option<SheddingChange>,
}

/// State of load shedding: the load, the rate at which requests end and the requested work.
#[derive(Debug)]
pub(crate) struct LoadShedding {
    /// Sum over the open requests of the reciprocal of their latency objective, in 1/ns.
    load: f64,
    /// Integral of the load over time.
    accumulated_load: DecayingSum,
    /// Decaying number of requests that ended and may have run, with or without success.
    ended_requests: DecayingSum,
    /// Decaying work requested of each class, within and over the quotas of the tenants, by [`DemandBucket`].
    demand: Vec<DecayingSum>,
    /// Decaying number of requests of each tenant.
    tenant_requests: Vec<DecayingSum>,
    /// Whether load was shed at the last request.
    active: bool,
}

/// The requests of one class that are within, or over, the quota of their tenant.
#[derive(Clone, Copy)]
struct DemandBucket(usize);

impl DemandBucket {
    fn new(class: usize, over_quota: bool) -> Self {
        Self(2 * class + usize::from(over_quota))
    }

    fn class(self) -> usize {
        self.0 / 2
    }

    fn is_over_quota(self) -> bool {
        self.0 % 2 == 1
    }

    /// Weight per unit of work.
    fn value(self, settings: &Settings, class_latencies: &[LatencyStatistics]) -> f64 {
        let work = if settings.weight_by_work { 1.0 } else { class_latencies[self.class()].mean.max(1.0) };
        let quota_factor = if self.is_over_quota() { settings.over_quota_weight } else { 1.0 };
        settings.classes[self.class()].priority_weight * quota_factor / work
    }
}

impl LoadShedding {
    /// Creates the state of a balancer without open requests.
    pub fn new(settings: &Settings) -> Self {
        Self {
            load: 0.0,
            accumulated_load: DecayingSum::default(),
            ended_requests: DecayingSum::default(),
            demand: vec![DecayingSum::default(); 2 * settings.classes.len()],
            tenant_requests: vec![DecayingSum::default(); settings.tenants.len()],
            active: false,
        }
    }

    /// Decides whether a new request is admitted. The shed level determines the fraction of the requested work that is
    /// shed, lowest value first. Deeper tiers admit everything, because other tiers have already worked on it.
    pub fn admit(
        &mut self,
        class: usize,
        tenant: usize,
        now: Time,
        settings: &Settings,
        traffic: &TrafficStatistics,
        rng: &mut fastrand::Rng,
    ) -> Admission {
        if settings.tier > 0 {
            return Admission { admitted: true, change: None };
        }
        let bucket = DemandBucket::new(class, self.is_over_quota(tenant, now, settings, rng));
        self.demand[bucket.0].add(now, traffic.class_latencies[class].mean.max(1.0), RATE_TIME_CONSTANT);
        let demand = self.demand_relative_to(bucket, now, settings, &traffic.class_latencies);
        let time_constant = rate_time_constant(now, settings, traffic);
        self.update_load(0.0, now, time_constant);
        let latency_ratio = self.expected_latency_ratio(now, time_constant);
        let level =
            (latency_ratio - SHED_START_LATENCY_RATIO) / (SHED_ALL_LATENCY_RATIO - SHED_START_LATENCY_RATIO);
        let change = self.update_active(level, latency_ratio);
        let shed_work = level.clamp(0.0, MAX_SHED_FRACTION) * demand.total - demand.lower_value;
        let is_shed = rng.f64() * demand.equal_value < shed_work;
        Admission { admitted: !is_shed, change }
    }

    /// Updates whether load is being shed, and returns the change if there is one.
    fn update_active(&mut self, level: f64, latency_ratio: f64) -> Option<SheddingChange> {
        let active = level > 0.0;
        if active == self.active {
            return None;
        }
        self.active = active;
        Some(SheddingChange { active, latency_ratio })
    }

    /// Adds the load of a new request, or changes that of an open one.
    pub fn change_load(&mut self, change: f64, now: Time, settings: &Settings, traffic: &TrafficStatistics) {
        self.update_load(change, now, rate_time_constant(now, settings, traffic));
    }

    /// Removes the load of a request that ended, and counts the request if it may have run. Failed requests count too,
    /// because they no longer occupy an endpoint. Requests that never ran do not count: quick rejections would look
    /// like quick responses.
    pub fn on_request_ended(
        &mut self,
        load_weight: f64,
        may_have_run: bool,
        now: Time,
        settings: &Settings,
        traffic: &TrafficStatistics,
    ) {
        let time_constant = rate_time_constant(now, settings, traffic);
        self.update_load(-load_weight, now, time_constant);
        self.ended_requests.add(now, if may_have_run { 1.0 } else { 0.0 }, time_constant);
    }

    /// Integrates the load up to now and then changes the load.
    fn update_load(&mut self, change: f64, now: Time, time_constant: Duration) {
        let elapsed_time_constants =
            now.saturating_sub(self.accumulated_load.updated_at) as f64 / time_constant as f64;
        let accumulated = self.load * time_constant as f64 * (1.0 - (-elapsed_time_constants).exp());
        self.accumulated_load.add(now, accumulated, time_constant);
        self.load = (self.load + change).max(0.0);
    }

    /// Response time that a new request can expect, as a multiple of the latency objective: the load divided by the
    /// rate at which requests end (Little's law). Unlike the measured latency, this ratio shows an overload while the
    /// overload builds up. Where all endpoints are stuck no requests end, so the number of ended requests counts as at
    /// least [`TRUSTED_SAMPLES`].
    fn expected_latency_ratio(&self, now: Time, time_constant: Duration) -> f64 {
        let ended_requests = self.ended_requests.get(now, time_constant);
        self.accumulated_load.get(now, time_constant) / ended_requests.max(f64::from(TRUSTED_SAMPLES))
    }

    /// Whether a request counts as over its tenant's quota: a random one, for the part of the tenant's requests that
    /// exceeds the quota if all replicas receive them at the same rate.
    fn is_over_quota(
        &mut self,
        tenant: usize,
        now: Time,
        settings: &Settings,
        rng: &mut fastrand::Rng,
    ) -> bool {
        let Some(recent) = self.tenant_requests.get_mut(tenant) else { return false };
        recent.add(now, 1.0, RATE_TIME_CONSTANT);
        let rate = recent.sum * SECOND as f64 / RATE_TIME_CONSTANT as f64;
        rng.f64() * rate * f64::from(settings.replicas) > settings.tenants[tenant].quota_rps
    }

    /// The work requested recently, split by its value relative to that of a bucket.
    fn demand_relative_to(
        &self,
        bucket: DemandBucket,
        now: Time,
        settings: &Settings,
        class_latencies: &[LatencyStatistics],
    ) -> Demand {
        let value = bucket.value(settings, class_latencies);
        let mut demand = Demand::default();
        for (position, recent) in self.demand.iter().enumerate() {
            let work = recent.get(now, RATE_TIME_CONSTANT);
            let other_value = DemandBucket(position).value(settings, class_latencies);
            demand.total += work;
            demand.lower_value += if other_value < value { work } else { 0.0 };
            demand.equal_value += if other_value == value { work } else { 0.0 };
        }
        demand
    }
}

/// Work requested recently: in total, and of lower and equal value than a given bucket.
#[derive(Default)]
struct Demand {
    total: f64,
    lower_value: f64,
    equal_value: f64,
}

/// Time constant of the rate at which requests end. A balancer with few requests needs a longer one to count
/// [`TRUSTED_SAMPLES`] requests, because it could not tell an overload from chance otherwise.
fn rate_time_constant(now: Time, settings: &Settings, traffic: &TrafficStatistics) -> Duration {
    let objectives = settings.classes.iter().map(|class| class.latency_objective);
    let longest = objectives.max().unwrap_or(0).saturating_mul(MAX_RATE_TIME_CONSTANT_OBJECTIVES);
    let max_time_constant = longest.clamp(MIN_RATE_TIME_CONSTANT, RATE_TIME_CONSTANT);
    let rate = traffic.successful_response_rate(now).max(1.0);
    let needed_time_constant = (f64::from(TRUSTED_SAMPLES) / rate * SECOND as f64) as Duration;
    needed_time_constant.clamp(MIN_RATE_TIME_CONSTANT, max_time_constant)
}
