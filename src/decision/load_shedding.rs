//! Load shedding: which new requests are rejected at once, by their value and their tenant's quota.

use super::event::{Duration, SECOND, Time};
use super::settings::Settings;
use super::statistics::{DecayingSum, LatencyStatistics, RATE_WINDOW, TRUSTED_SAMPLES, TrafficStatistics};

/// Expected time to an answer, as part of the objective, from which load is shed, and at which all is: above them the
/// tail of the answers misses it, and below them what is slow by nature would be rejected on a calm day.
const SHED_FROM: f64 = 0.5;
const SHED_ALL_FROM: f64 = 0.65;
/// Most of the load that is ever shed: some requests must show when the overload is over.
const SHED_MOST: f64 = 0.9;
/// Time over which answers are counted to tell how fast they come, and where that is too short for a balancer with
/// few requests, at most so many of the longest objective: a jam comes and goes within some.
const ANSWER_WINDOW: Duration = SECOND;
const ANSWER_WINDOW_OBJECTIVES: u64 = 2;

/// Whether load shedding has just begun or ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct SheddingChange {
    /// It has begun.
    pub active: bool,
    /// Expected time to an answer, as part of the objective.
    pub lateness: f64,
}

/// What becomes of a new request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Admission {
    pub admitted: bool,
    /// What is worth a log line.
    pub change: Option<SheddingChange>,
}

/// What load shedding goes by.
#[derive(Debug)]
pub(crate) struct LoadShedding {
    /// Requests in hand, each counted as one over its objective.
    waiting: f64,
    /// The same summed over time.
    in_hand: DecayingSum,
    answers: DecayingSum,
    /// Work asked for, for each class within and beyond the tenant's quota.
    demand: Vec<DecayingSum>,
    /// Requests of each tenant.
    tenants: Vec<DecayingSum>,
    /// Whether load was shed when last looked at.
    active: bool,
}

/// A class of requests, within or beyond the quota of their tenant.
#[derive(Clone, Copy)]
struct Bucket(usize);

impl Bucket {
    fn new(class: usize, over_quota: bool) -> Self {
        Self(2 * class + usize::from(over_quota))
    }

    fn class(self) -> usize {
        self.0 / 2
    }

    fn is_over_quota(self) -> bool {
        self.0 % 2 == 1
    }

    /// Weight for each unit of work.
    fn value(self, settings: &Settings, classes: &[LatencyStatistics]) -> f64 {
        let work = if settings.weight_by_work { 1.0 } else { classes[self.class()].mean.max(1.0) };
        let part = if self.is_over_quota() { settings.over_quota_weight } else { 1.0 };
        settings.classes[self.class()].priority_weight * part / work
    }
}

impl LoadShedding {
    /// Nothing is in hand.
    pub fn new(settings: &Settings) -> Self {
        Self {
            waiting: 0.0,
            in_hand: DecayingSum::default(),
            answers: DecayingSum::default(),
            demand: vec![DecayingSum::default(); 2 * settings.classes.len()],
            tenants: vec![DecayingSum::default(); settings.tenants.len()],
            active: false,
        }
    }

    /// Whether a new request is admitted. The lowest value is shed first, as much of the work as the shed level
    /// says. Deeper tiers finish what was begun.
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
        let bucket = Bucket::new(class, self.is_over_quota(tenant, now, settings, rng));
        self.demand[bucket.0].add(now, traffic.classes[class].mean.max(1.0), RATE_WINDOW);
        let demand = self.demand_around(bucket, now, settings, &traffic.classes);
        let window = answer_window(now, settings, traffic);
        self.change_in_hand(0.0, now, window);
        let lateness = self.expected_lateness(now, window);
        let level = (lateness - SHED_FROM) / (SHED_ALL_FROM - SHED_FROM);
        let change = self.note_level(level, lateness);
        let shed_work = level.clamp(0.0, SHED_MOST) * demand.total - demand.lower;
        let is_shed = rng.f64() * demand.equal < shed_work;
        Admission { admitted: !is_shed, change }
    }

    fn note_level(&mut self, level: f64, lateness: f64) -> Option<SheddingChange> {
        let active = level > 0.0;
        if active == self.active {
            return None;
        }
        self.active = active;
        Some(SheddingChange { active, lateness })
    }

    /// A request is in hand from now on, or is of another weight.
    pub fn change_weight(
        &mut self,
        change: f64,
        now: Time,
        settings: &Settings,
        traffic: &TrafficStatistics,
    ) {
        self.change_in_hand(change, now, answer_window(now, settings, traffic));
    }

    /// A request is over. Failed answers count like others: they hold nothing up. What no endpoint has worked on does
    /// not: quick rejections would pass for quick answers.
    pub fn on_answered(
        &mut self,
        weight: f64,
        worked_on: bool,
        now: Time,
        settings: &Settings,
        traffic: &TrafficStatistics,
    ) {
        let window = answer_window(now, settings, traffic);
        self.change_in_hand(-weight, now, window);
        self.answers.add(now, if worked_on { 1.0 } else { 0.0 }, window);
    }

    /// Changes what is in hand, and sums what was in hand until now.
    fn change_in_hand(&mut self, change: f64, now: Time, window: Duration) {
        let passed = now.saturating_sub(self.in_hand.updated_at) as f64 / window as f64;
        let held = self.waiting * window as f64 * (1.0 - (-passed).exp());
        self.in_hand.add(now, held, window);
        self.waiting = (self.waiting + change).max(0.0);
    }

    /// Time to an answer, as part of the objective, that a new request can expect: the requests in hand over the
    /// answers a second. Unlike the latency of answers, it shows a jam while that builds up. In a full jam no answers
    /// come, so fewer than tell more than chance are taken for that many.
    fn expected_lateness(&self, now: Time, window: Duration) -> f64 {
        let answers = self.answers.get(now, window);
        self.in_hand.get(now, window) / answers.max(f64::from(TRUSTED_SAMPLES))
    }

    /// Whether a request is beyond its tenant's quota, if all replicas get as many of them.
    fn is_over_quota(
        &mut self,
        tenant: usize,
        now: Time,
        settings: &Settings,
        rng: &mut fastrand::Rng,
    ) -> bool {
        let Some(recent) = self.tenants.get_mut(tenant) else { return false };
        recent.add(now, 1.0, RATE_WINDOW);
        let rate = recent.sum * SECOND as f64 / RATE_WINDOW as f64;
        rng.f64() * rate * f64::from(settings.replicas) > settings.tenants[tenant].quota_rps
    }

    /// The work asked for lately, compared with that of a bucket by its value.
    fn demand_around(
        &self,
        bucket: Bucket,
        now: Time,
        settings: &Settings,
        classes: &[LatencyStatistics],
    ) -> Demand {
        let value = bucket.value(settings, classes);
        let mut demand = Demand::default();
        for (position, recent) in self.demand.iter().enumerate() {
            let work = recent.get(now, RATE_WINDOW);
            let other = Bucket(position).value(settings, classes);
            demand.total += work;
            demand.lower += if other < value { work } else { 0.0 };
            demand.equal += if other == value { work } else { 0.0 };
        }
        demand
    }
}

/// Work asked for lately: all of it, and that of lower and of equal value to some request's.
#[derive(Default)]
struct Demand {
    total: f64,
    lower: f64,
    equal: f64,
}

/// Time over which answers are counted. A balancer with few requests needs longer to see enough answers, or a jam
/// looks like chance to it.
fn answer_window(now: Time, settings: &Settings, traffic: &TrafficStatistics) -> Duration {
    let objectives = settings.classes.iter().map(|class| class.latency_objective);
    let longest = objectives.max().unwrap_or(0).saturating_mul(ANSWER_WINDOW_OBJECTIVES);
    let most = longest.clamp(ANSWER_WINDOW, RATE_WINDOW);
    let rate = traffic.answer_rate(now).max(1.0);
    let needed = (f64::from(TRUSTED_SAMPLES) / rate * SECOND as f64) as Duration;
    needed.clamp(ANSWER_WINDOW, most)
}
