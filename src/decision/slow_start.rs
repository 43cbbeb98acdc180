//! Slow start: limits the work sent to endpoints that have just started.
//!
//! A cold endpoint has a budget, a token bucket that refills at the rate of the work that this balancer's
//! requests complete, times the endpoint's share and its warm-up progress; each request is charged its work.
//! Work is measured in requests of typical work, so a heavy request costs as much as many light ones. All
//! replicas of the balancer do the same, so the sum stays near the endpoint's capacity.

use super::event::{Duration, SECOND, Time};
use super::settings::Settings;
use super::statistics::{DecayingSum, RATE_TIME_CONSTANT};
use std::cmp::Reverse;

/// Time constant of the mean work of a request: long, as heavy requests are rare at a small balancer.
const TYPICAL_WORK_TIME_CONSTANT: Duration = 30 * SECOND;
/// Smoothing factor of a class's estimated work when its mean latency is below the estimate.
const WORK_DECREASE_GAIN: f64 = 0.05;
/// Time constant at which a class's estimated work rises: long, as in congestion all classes wait alike and
/// would look equally heavy.
const WORK_INCREASE_TIME_CONSTANT: Duration = 300 * SECOND;
/// Smoothing factor of the fraction of requests that the own zone serves.
const OWN_ZONE_SHARE_GAIN: f64 = 0.05;
/// Smoothing factor of the mean work that the requests of a class declare.
const DECLARED_WORK_GAIN: f64 = 0.05;

/// The warm-up state of one endpoint.
#[derive(Debug, Default)]
pub(crate) struct WarmUp {
    /// When the endpoint's process last started, if known.
    pub started: Option<Time>,
    /// When an operator last brought the endpoint back online.
    pub brought_online_at: Option<Time>,
    /// Work that may still be sent while the endpoint is cold, in requests of typical work.
    budget: f64,
    budget_started_at: Time,
    budget_updated_at: Time,
    /// Minimum budget at which a request is sent. `restart` sets the initial budget to a random value below it.
    min_budget: f64,
}

impl WarmUp {
    /// Restarts the budget at a random level, so that the first request is sent at a random time: the replicas
    /// do not all send theirs at once, and together send first requests at no higher rate than later ones.
    /// `random_fraction` lies between 0 and 1; `min_cost` is the cost of a request of the lightest class.
    pub fn restart(&mut self, now: Time, random_fraction: f64, min_cost: f64) {
        self.budget = random_fraction * min_cost;
        self.budget_started_at = now;
        self.budget_updated_at = now;
        self.min_budget = min_cost;
    }

    /// Fraction of its capacity that the endpoint has reached for certain, rising linearly over the warm-up
    /// time: the endpoint may warm up faster, but never slower.
    pub fn capacity_fraction(&self, now: Time, settings: &Settings) -> f64 {
        let Some(started) = self.started.max(self.brought_online_at) else { return 1.0 };
        let age = now.saturating_sub(started) as f64 / settings.warm_up_time.max(1) as f64;
        (settings.initial_capacity + (1.0 - settings.initial_capacity) * age).min(1.0)
    }

    /// Whether the endpoint is warm.
    pub fn is_warm(&self, now: Time, settings: &Settings) -> bool {
        self.capacity_fraction(now, settings) >= 1.0
    }

    /// Time at which the endpoint is warm for certain; 0 if no start is known.
    pub fn warm_at(&self, settings: &Settings) -> Time {
        let started = self.started.max(self.brought_online_at);
        started.map_or(0, |started| started.saturating_add(settings.warm_up_time))
    }

    /// Whether a request may be sent whose class costs `class_cost`, once the budget has been refilled
    /// with `refill_rate` per second since the last call.
    pub fn allows(&mut self, now: Time, refill_rate: f64, class_cost: f64) -> bool {
        let elapsed = now.saturating_sub(self.budget_updated_at) as f64 / SECOND as f64;
        self.budget = (self.budget + refill_rate * elapsed).min(class_cost.max(1.0));
        self.budget_updated_at = now;
        self.budget >= class_cost.max(self.min_budget)
    }

    /// Charges the cost of a request that is sent.
    pub fn charge(&mut self, cost: f64) {
        self.budget -= cost;
    }

    /// Refunds the charge of an attempt that was never sent, unless the endpoint has restarted since.
    pub fn refund(&mut self, charged_at: Time, cost: f64) {
        if charged_at >= self.budget_started_at {
            self.budget += cost;
        }
    }
}

/// The refill rate of the budgets of cold endpoints, and the cost of requests.
#[derive(Debug)]
pub(crate) struct SlowStart {
    work: WorkStatistics,
    own_zone_share: OwnZoneShare,
    /// Until this time, a balancer that has just started uses the work it admits if that exceeds
    /// the completed work.
    startup_ends_at: Time,
}

/// Capacities that determine an endpoint's share of the work.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PoolCapacities {
    /// Capacity of the whole tier.
    pub tier_capacity: f64,
    /// Capacity of the own zone, if the pool is that of the own zone.
    pub own_zone_capacity: Option<f64>,
}

impl SlowStart {
    /// Creates the state of a balancer that has handled no requests.
    pub fn new(settings: &Settings, now: Time) -> Self {
        Self {
            work: WorkStatistics::new(settings.classes.len(), now),
            own_zone_share: OwnZoneShare::new(settings.replicas, settings.zones),
            startup_ends_at: now.saturating_add(RATE_TIME_CONSTANT),
        }
    }

    /// Records an admitted request.
    pub fn on_admitted(&mut self, now: Time, class: usize) {
        self.work.admitted.add(now, class);
    }

    /// Records a successfully completed request. `mean_latency` is that of its class, in nanoseconds,
    /// and `declared_work` the request's own work, if known.
    pub fn on_response(
        &mut self,
        now: Time,
        class: usize,
        mean_latency: f64,
        declared_work: Option<Duration>,
    ) {
        self.work.learn(now, class, mean_latency, declared_work);
    }

    /// Updates the own zone's share with a response; `from_warm_own_zone` says whether a warm endpoint of the own
    /// zone sent it. Not called while zone routing avoids the own zone.
    pub fn learn_own_zone_share(&mut self, now: Time, from_warm_own_zone: bool) {
        self.own_zone_share.learn(now, from_warm_own_zone);
    }

    /// Sets the endpoints of the own zone: the time at which each is warm, and its capacity.
    pub fn set_own_zone_endpoints(&mut self, endpoints: Vec<(Time, f64)>) {
        self.own_zone_share.set_endpoints(endpoints);
    }

    /// Cost of a request: by its own work if known, otherwise the mean cost of its class.
    pub fn cost(&self, class: usize, declared_work: Option<Duration>) -> f64 {
        self.work.cost(class, declared_work)
    }

    /// Mean cost of the requests of a class; 1 while unknown.
    pub fn class_cost(&self, class: usize) -> f64 {
        self.work.class_cost(class)
    }

    /// Cost of the requests of the lightest class, at most 1.
    pub fn min_cost(&self) -> f64 {
        self.work.min_cost()
    }

    /// Refill rate of a cold endpoint's budget per unit of its capacity, before warm-up progress, in requests
    /// of typical work per second.
    ///
    /// Only some requests cross to another zone, yet they come from every zone: with a rate based on the
    /// capacity of that zone, the balancers together would send its cold endpoints many times their share.
    /// In the own zone, the rate follows the share of this balancer's requests that the zone serves, if that is
    /// larger: the requests served there never exceed the capacity of the zone's endpoints, however few balancers
    /// send requests to the zone.
    pub fn budget_refill_rate(&self, now: Time, pool: PoolCapacities) -> f64 {
        let work_rate = self.expected_work_rate(now);
        let tier_refill_rate = work_rate / pool.tier_capacity.max(f64::MIN_POSITIVE);
        match pool.own_zone_capacity {
            Some(capacity) => tier_refill_rate.max(work_rate * self.own_zone_share.per_capacity(capacity)),
            None => tier_refill_rate,
        }
    }

    /// Work expected to be completed per second. A balancer that has just started has had none completed; if
    /// all endpoints are cold too, after a release, none ever would be. The balancer therefore uses the
    /// work it admits, if that is more, until `startup_ends_at`.
    fn expected_work_rate(&self, now: Time) -> f64 {
        let completed = self.work.completed_per_second(now);
        if now >= self.startup_ends_at {
            return completed;
        }
        completed.max(self.work.admitted_per_second(now))
    }
}

/// Factor by which the budget of a cold endpoint is refilled faster than at the endpoint's share. With load
/// queries, a busy cold endpoint is detected before it gets a request, so half of `overload_multiple`, the
/// multiple of its capacity that overloads it, is safe; refilling at its share alone would leave it idle.
pub(crate) fn refill_multiple(settings: &Settings, queries_load: bool) -> f64 {
    if queries_load { (settings.overload_multiple / 2.0).max(1.0) } else { 1.0 }
}

/// Work of a class of requests, estimated from the mean latency of its responses. The estimate falls quickly and
/// rises slowly, so that it reflects the latency at low load.
#[derive(Clone, Debug, Default)]
struct ClassWork {
    /// Estimated work in nanoseconds.
    estimated_work: f64,
    responses: u32,
    last_response_at: Time,
    /// Exponentially decaying number of completed requests.
    decayed_requests: f64,
    /// Mean work of the requests that declared it, in nanoseconds.
    mean_declared_work: f64,
}

impl ClassWork {
    /// Updates the estimate with the current mean latency of the class.
    fn learn(&mut self, now: Time, mean_latency: f64, declared_work: Option<Duration>) {
        self.responses = self.responses.saturating_add(1);
        let elapsed = now.saturating_sub(self.last_response_at) as f64;
        let increase_gain = (elapsed / WORK_INCREASE_TIME_CONSTANT as f64).min(WORK_DECREASE_GAIN);
        let gain = if mean_latency < self.estimated_work { WORK_DECREASE_GAIN } else { increase_gain };
        self.estimated_work +=
            gain.max(1.0 / f64::from(self.responses)) * (mean_latency - self.estimated_work);
        self.last_response_at = now;
        if let Some(work) = declared_work {
            let gain = if self.mean_declared_work > 0.0 { DECLARED_WORK_GAIN } else { 1.0 };
            self.mean_declared_work += gain * (work as f64 - self.mean_declared_work);
        }
    }
}

/// Exponentially decaying numbers of requests, by class. The cost of a class is applied when the rate is
/// read, as a balancer that has just started learns that cost with every response.
#[derive(Debug)]
struct ClassRates {
    started_at: Time,
    updated_at: Time,
    decayed_requests: Vec<f64>,
}

impl ClassRates {
    fn new(classes: usize, now: Time) -> Self {
        Self { started_at: now, updated_at: now, decayed_requests: vec![0.0; classes] }
    }

    fn add(&mut self, now: Time, class: usize) {
        let decay_factor = (-(now.saturating_sub(self.updated_at) as f64) / RATE_TIME_CONSTANT as f64).exp();
        self.updated_at = now;
        self.decayed_requests.iter_mut().for_each(|requests| *requests *= decay_factor);
        self.decayed_requests[class] += 1.0;
    }

    fn per_second(&self, now: Time, cost: impl Fn(usize) -> f64) -> f64 {
        let requests = self.decayed_requests.iter().enumerate();
        let sum = requests.map(|(class, requests)| requests * cost(class)).sum();
        DecayingSum::new(sum, self.updated_at, self.started_at).per_second(now, RATE_TIME_CONSTANT)
    }
}

/// The work that a balancer admits and completes, and the cost of its request classes.
#[derive(Debug)]
struct WorkStatistics {
    classes: Vec<ClassWork>,
    /// Mean work of a request over all classes, in nanoseconds.
    typical_work: f64,
    /// When `typical_work` was last updated.
    typical_work_updated_at: Time,
    admitted: ClassRates,
    completed: ClassRates,
}

impl WorkStatistics {
    fn new(classes: usize, now: Time) -> Self {
        Self {
            classes: vec![ClassWork::default(); classes],
            typical_work: 0.0,
            typical_work_updated_at: now,
            admitted: ClassRates::new(classes, now),
            completed: ClassRates::new(classes, now),
        }
    }

    fn learn(&mut self, now: Time, class: usize, mean_latency: f64, declared_work: Option<Duration>) {
        self.classes[class].learn(now, mean_latency, declared_work);
        let decay_factor = (-(now.saturating_sub(self.typical_work_updated_at) as f64)
            / TYPICAL_WORK_TIME_CONSTANT as f64)
            .exp();
        self.typical_work_updated_at = now;
        self.classes.iter_mut().for_each(|class| class.decayed_requests *= decay_factor);
        self.classes[class].decayed_requests += 1.0;
        let requests: f64 = self.classes.iter().map(|class| class.decayed_requests).sum();
        let work: f64 = self.classes.iter().map(|class| class.decayed_requests * class.estimated_work).sum();
        self.typical_work = work / requests;
        self.completed.add(now, class);
    }

    fn completed_per_second(&self, now: Time) -> f64 {
        self.completed.per_second(now, |class| self.class_cost(class))
    }

    fn admitted_per_second(&self, now: Time) -> f64 {
        self.admitted.per_second(now, |class| self.class_cost(class))
    }

    fn cost(&self, class: usize, declared_work: Option<Duration>) -> f64 {
        let mean_declared_work = self.classes[class].mean_declared_work;
        let relative_work = declared_work
            .filter(|_| mean_declared_work > 0.0)
            .map_or(1.0, |work| work as f64 / mean_declared_work);
        self.class_cost(class) * relative_work
    }

    fn class_cost(&self, class: usize) -> f64 {
        let cost = self.classes[class].estimated_work / self.typical_work;
        if cost.is_finite() && cost > 0.0 { cost } else { 1.0 }
    }

    fn min_cost(&self) -> f64 {
        (0..self.classes.len()).map(|class| self.class_cost(class)).fold(1.0, f64::min)
    }
}

/// The fraction of a balancer's requests served by the warm endpoints of its own zone, per unit of their
/// capacity.
#[derive(Debug)]
struct OwnZoneShare {
    /// Fraction assumed without data: with fewer balancers than zones, each also sends to zones without a
    /// balancer.
    expected_share: f64,
    share_per_capacity: Option<f64>,
    /// Capacity of the warm endpoints of the zone.
    warm_capacity: f64,
    /// For each cold endpoint of the zone, the time at which it is warm and its capacity, latest first.
    cold_endpoints: Vec<(Time, f64)>,
}

impl OwnZoneShare {
    fn new(replicas: u32, zones: usize) -> Self {
        let expected_share = (f64::from(replicas) / zones.max(1) as f64).min(1.0);
        Self { expected_share, share_per_capacity: None, warm_capacity: 0.0, cold_endpoints: Vec::new() }
    }

    /// Fraction of the balancer's requests that an endpoint serves per unit of its capacity, in a zone of this
    /// capacity; at most 1 / `zone_capacity`, as the zone cannot serve more than all requests.
    fn per_capacity(&self, zone_capacity: f64) -> f64 {
        let capacity = zone_capacity.max(f64::MIN_POSITIVE);
        self.share_per_capacity.map_or(self.expected_share / capacity, |share| share.min(1.0 / capacity))
    }

    fn set_endpoints(&mut self, mut endpoints: Vec<(Time, f64)>) {
        endpoints.sort_unstable_by_key(|&(warm_at, _)| Reverse(warm_at));
        self.warm_capacity = 0.0;
        self.cold_endpoints = endpoints;
    }

    /// Updates the fraction with a response, which is ignored while no endpoint of the zone is warm.
    fn learn(&mut self, now: Time, from_warm_own_zone: bool) {
        while let Some((_, capacity)) = self.cold_endpoints.pop_if(|(warm_at, _)| *warm_at <= now) {
            self.warm_capacity += capacity;
        }
        if self.warm_capacity <= 0.0 {
            return;
        }
        let served = f64::from(u8::from(from_warm_own_zone)) / self.warm_capacity;
        let share = self.share_per_capacity.get_or_insert(self.expected_share / self.warm_capacity);
        *share += OWN_ZONE_SHARE_GAIN * (served - *share);
    }
}
