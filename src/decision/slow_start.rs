//! Slow start: how much work may be sent to endpoints that have just started.
//!
//! A cold endpoint has a budget that grows with the work that this balancer gets answered, by the endpoint's share and
//! its warmth, and each request is charged its work. All amounts are in requests of typical work, so that a heavy request
//! costs as much as many light ones. As all replicas of the balancer do likewise, the sum stays near what the endpoint can
//! do.

use super::event::{Duration, SECOND, Time};
use super::settings::Settings;
use super::statistics::{DecayingSum, RATE_WINDOW};
use std::cmp::Reverse;

/// Time over which the work of a typical request is averaged: heavy requests are rare at a small balancer.
const TYPICAL_WORK_TIME_CONSTANT: Duration = 30 * SECOND;
/// Weight of an answer that shows a class to be lighter than thought.
const WORK_DECREASE_GAIN: f64 = 0.05;
/// Time over which a class comes to look heavier: in a jam all classes wait alike, and would look alike.
const WORK_INCREASE_TIME_CONSTANT: Duration = 300 * SECOND;
/// Weight of an answer in the part of the requests that the own zone serves.
const OWN_ZONE_SHARE_GAIN: f64 = 0.05;
/// Weight of a request in the mean work that is told of its class.
const DECLARED_WORK_GAIN: f64 = 0.05;

/// The warm-up of one endpoint.
#[derive(Debug, Default)]
pub(crate) struct WarmUp {
    /// When its process started last, as far as that is known.
    pub started: Option<Time>,
    /// When an operator brought it back last.
    pub brought_online_at: Option<Time>,
    /// What may still be sent to it while it is cold, in requests of typical work.
    budget: f64,
    budget_started_at: Time,
    budget_updated_at: Time,
    /// The least that is saved up before a request is sent: what the budget began below.
    min_budget: f64,
}

impl WarmUp {
    /// Begins anew with a budget whose first request comes at a random time: no sooner on average than later ones, and
    /// not at once from all replicas. `draw` lies between 0 and 1; `least_cost` is what the lightest requests cost.
    pub fn restart(&mut self, now: Time, random_fraction: f64, min_cost: f64) {
        self.budget = random_fraction * min_cost;
        self.budget_started_at = now;
        self.budget_updated_at = now;
        self.min_budget = min_cost;
    }

    /// Part of its capacity that the endpoint surely has by now: it may warm up faster, but never slower.
    pub fn capacity_fraction(&self, now: Time, settings: &Settings) -> f64 {
        let Some(started) = self.started.max(self.brought_online_at) else { return 1.0 };
        let age = now.saturating_sub(started) as f64 / settings.warm_up_time.max(1) as f64;
        (settings.initial_capacity + (1.0 - settings.initial_capacity) * age).min(1.0)
    }

    /// Whether the endpoint is warm.
    pub fn is_warm(&self, now: Time, settings: &Settings) -> bool {
        self.capacity_fraction(now, settings) >= 1.0
    }

    /// When the endpoint is warm for sure; 0 if it is.
    pub fn warm_at(&self, settings: &Settings) -> Time {
        let started = self.started.max(self.brought_online_at);
        started.map_or(0, |started| started.saturating_add(settings.warm_up_time))
    }

    /// Whether a request of a class that costs so much may be sent, after the budget has grown by so much a second.
    pub fn allows(&mut self, now: Time, refill_rate: f64, class_cost: f64) -> bool {
        let elapsed = now.saturating_sub(self.budget_updated_at) as f64 / SECOND as f64;
        self.budget = (self.budget + refill_rate * elapsed).min(class_cost.max(1.0));
        self.budget_updated_at = now;
        self.budget >= class_cost.max(self.min_budget)
    }

    /// Charges a request that is sent.
    pub fn charge(&mut self, cost: f64) {
        self.budget -= cost;
    }

    /// Gives back what an attempt was charged that was never sent, unless the endpoint has been restarted since.
    pub fn refund(&mut self, charged_at: Time, cost: f64) {
        if charged_at >= self.budget_started_at {
            self.budget += cost;
        }
    }
}

/// What the budgets of cold endpoints grow by, and what requests cost.
#[derive(Debug)]
pub(crate) struct SlowStart {
    work: AnsweredWork,
    own_zone_share: OwnZoneShare,
    /// Until then, a balancer that has just started goes by what it admits.
    startup_until: Time,
}

/// A pool as slow start sees it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PoolCapacities {
    /// Capacity of the whole tier.
    pub tier_capacity: f64,
    /// Capacity of the own zone, if the pool is that of the own zone.
    pub own_zone_capacity: Option<f64>,
}

impl SlowStart {
    /// Nothing is known yet.
    pub fn new(settings: &Settings, now: Time) -> Self {
        Self {
            work: AnsweredWork::new(settings.classes.len(), now),
            own_zone_share: OwnZoneShare::new(settings.replicas, settings.zones),
            startup_until: now.saturating_add(RATE_WINDOW),
        }
    }

    /// A request was admitted.
    pub fn on_admitted(&mut self, now: Time, class: usize) {
        self.work.admitted.add(now, class);
    }

    /// A request was answered. `mean` is the mean time that answers of its class take, in nanoseconds, and `told_work` the
    /// work of the request itself where that is known.
    pub fn on_answered(&mut self, now: Time, class: usize, mean: f64, declared_work: Option<Duration>) {
        self.work.learn(now, class, mean, declared_work);
    }

    /// A request was answered while requests stay in the own zone: by a warm endpoint of that zone, or by another one.
    pub fn learn_own_zone_share(&mut self, now: Time, from_warm_own_zone: bool) {
        self.own_zone_share.learn(now, from_warm_own_zone);
    }

    /// The endpoints of the own zone have changed: when each is warm, and its capacity.
    pub fn set_own_zone_endpoints(&mut self, endpoints: Vec<(Time, f64)>) {
        self.own_zone_share.set_endpoints(endpoints);
    }

    /// What a request costs: by its own work where that is known, else what its class costs.
    pub fn cost(&self, class: usize, declared_work: Option<Duration>) -> f64 {
        self.work.cost(class, declared_work)
    }

    /// What the requests of a class cost on average; one as long as that is not known.
    pub fn class_cost(&self, class: usize) -> f64 {
        self.work.class_cost(class)
    }

    /// What the requests of the lightest class cost.
    pub fn min_cost(&self) -> f64 {
        self.work.min_cost()
    }

    /// How fast the budget of a cold endpoint grows for each unit of its capacity, before its warmth, in requests of
    /// typical work a second.
    ///
    /// To another zone only some requests cross, yet from every zone: by the capacity of that zone, all of them together
    /// would send its cold endpoints many times their share. Of what is served at home, no more comes than the home
    /// zone's endpoints can do, however few balancers send to it.
    pub fn budget_growth_rate(&self, now: Time, pool: PoolCapacities) -> f64 {
        let work_rate = self.expected_work_rate(now);
        let tier_growth = work_rate / pool.tier_capacity.max(f64::MIN_POSITIVE);
        match pool.own_zone_capacity {
            Some(capacity) => tier_growth.max(work_rate * self.own_zone_share.get(capacity)),
            None => tier_growth,
        }
    }

    /// Work a second that can be expected to be answered. A balancer that has just started has had nothing answered: where
    /// all endpoints are cold as well, after a release, nothing would ever be. It goes by what it admits until it knows
    /// better.
    fn expected_work_rate(&self, now: Time) -> f64 {
        let answered = self.work.answered_per_second(now);
        if now >= self.startup_until {
            return answered;
        }
        answered.max(self.work.admitted_per_second(now))
    }
}

/// How much faster the budget of cold endpoints grows. Where endpoints tell their load before they get a request, a
/// busy cold one is seen: half the multiple that overloads it is safe, and its share alone would leave it idle.
pub(crate) fn budget_multiple(settings: &Settings, queries_load: bool) -> f64 {
    if queries_load { (settings.overload_multiple / 2.0).max(1.0) } else { 1.0 }
}

/// The work of a class of requests, judged by the time that its answers take in calm times.
#[derive(Clone, Debug, Default)]
struct ClassWork {
    /// Nanoseconds.
    estimated_work: f64,
    answers: u32,
    answered_at: Time,
    /// Requests answered, the older ones counting less.
    requests: f64,
    /// Mean work of those whose work was told.
    mean_declared_work: f64,
}

impl ClassWork {
    /// Takes in the mean time that answers of the class take by now.
    fn learn(&mut self, now: Time, mean: f64, declared_work: Option<Duration>) {
        self.answers = self.answers.saturating_add(1);
        let elapsed = now.saturating_sub(self.answered_at) as f64;
        let increase_gain = (elapsed / WORK_INCREASE_TIME_CONSTANT as f64).min(WORK_DECREASE_GAIN);
        let gain = if mean < self.estimated_work { WORK_DECREASE_GAIN } else { increase_gain };
        self.estimated_work += gain.max(1.0 / f64::from(self.answers)) * (mean - self.estimated_work);
        self.answered_at = now;
        if let Some(work) = declared_work {
            let gain = if self.mean_declared_work > 0.0 { DECLARED_WORK_GAIN } else { 1.0 };
            self.mean_declared_work += gain * (work as f64 - self.mean_declared_work);
        }
    }
}

/// Requests of each class, the older ones counting less. What a class costs is weighed in when the rate is asked for:
/// a balancer that has just started learns it with every answer.
#[derive(Debug)]
struct ClassRates {
    started_at: Time,
    updated_at: Time,
    requests: Vec<f64>,
}

impl ClassRates {
    fn new(classes: usize, now: Time) -> Self {
        Self { started_at: now, updated_at: now, requests: vec![0.0; classes] }
    }

    fn add(&mut self, now: Time, class: usize) {
        let decay_factor = (-(now.saturating_sub(self.updated_at) as f64) / RATE_WINDOW as f64).exp();
        self.updated_at = now;
        self.requests.iter_mut().for_each(|requests| *requests *= decay_factor);
        self.requests[class] += 1.0;
    }

    fn per_second(&self, now: Time, cost: impl Fn(usize) -> f64) -> f64 {
        let requests = self.requests.iter().enumerate();
        let sum = requests.map(|(class, requests)| requests * cost(class)).sum();
        DecayingSum::new(sum, self.updated_at, self.started_at).per_second(now, RATE_WINDOW)
    }
}

/// The work that a balancer gets answered, and what its classes of requests cost.
#[derive(Debug)]
struct AnsweredWork {
    classes: Vec<ClassWork>,
    /// The work of a typical request, and when it was averaged last.
    typical_work: f64,
    averaged_at: Time,
    admitted: ClassRates,
    answered: ClassRates,
}

impl AnsweredWork {
    fn new(classes: usize, now: Time) -> Self {
        Self {
            classes: vec![ClassWork::default(); classes],
            typical_work: 0.0,
            averaged_at: now,
            admitted: ClassRates::new(classes, now),
            answered: ClassRates::new(classes, now),
        }
    }

    fn learn(&mut self, now: Time, class: usize, mean: f64, declared_work: Option<Duration>) {
        self.classes[class].learn(now, mean, declared_work);
        let decay_factor =
            (-(now.saturating_sub(self.averaged_at) as f64) / TYPICAL_WORK_TIME_CONSTANT as f64).exp();
        self.averaged_at = now;
        self.classes.iter_mut().for_each(|class| class.requests *= decay_factor);
        self.classes[class].requests += 1.0;
        let requests: f64 = self.classes.iter().map(|class| class.requests).sum();
        let work: f64 = self.classes.iter().map(|class| class.requests * class.estimated_work).sum();
        self.typical_work = work / requests;
        self.answered.add(now, class);
    }

    fn answered_per_second(&self, now: Time) -> f64 {
        self.answered.per_second(now, |class| self.class_cost(class))
    }

    fn admitted_per_second(&self, now: Time) -> f64 {
        self.admitted.per_second(now, |class| self.class_cost(class))
    }

    fn cost(&self, class: usize, declared_work: Option<Duration>) -> f64 {
        let mean = self.classes[class].mean_declared_work;
        let relative_work = declared_work.filter(|_| mean > 0.0).map_or(1.0, |work| work as f64 / mean);
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

/// The part of a balancer's requests that a warm endpoint of its own zone serves, for each unit of its capacity.
#[derive(Debug)]
struct OwnZoneShare {
    /// As long as nothing is known: with fewer balancers than zones, each also sends to zones that have none.
    expected_share: f64,
    share_per_capacity: Option<f64>,
    /// Capacity of the zone's warm endpoints, and of those that are still cold: when each is warm, the last one first.
    warm_capacity: f64,
    cold_endpoints: Vec<(Time, f64)>,
}

impl OwnZoneShare {
    fn new(replicas: u32, zones: usize) -> Self {
        let expected_share = (f64::from(replicas) / zones.max(1) as f64).min(1.0);
        Self { expected_share, share_per_capacity: None, warm_capacity: 0.0, cold_endpoints: Vec::new() }
    }

    /// What an endpoint of the zone would serve for each unit of its capacity, where the zone has so much; no more than
    /// an even part.
    fn get(&self, zone_capacity: f64) -> f64 {
        let capacity = zone_capacity.max(f64::MIN_POSITIVE);
        self.share_per_capacity.map_or(self.expected_share / capacity, |share| share.min(1.0 / capacity))
    }

    fn set_endpoints(&mut self, mut endpoints: Vec<(Time, f64)>) {
        endpoints.sort_unstable_by_key(|&(warm_at, _)| Reverse(warm_at));
        self.warm_capacity = 0.0;
        self.cold_endpoints = endpoints;
    }

    /// Tells nothing while no endpoint of the zone is warm.
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
