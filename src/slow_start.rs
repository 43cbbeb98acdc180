//! Slow start: how much work a balancer may send to servers that have just started.
//!
//! A cold server has a budget that grows with the work that this balancer gets answered, and each call is charged
//! its work. All amounts are in calls of typical work, so that a heavy call costs as much as many light ones.

use crate::api::{Duration, Time};
use crate::state::Recent;

/// Time over which the work of a typical call is averaged: heavy calls are rare at a small balancer.
const TYPICAL_WINDOW: Duration = 30_000_000_000;
/// Weight of an answer that shows a class to be lighter than thought.
const LIGHTER_GAIN: f64 = 0.05;
/// Weight of an answer in the part of the calls that the own zone serves.
const HOME_GAIN: f64 = 0.05;
/// Weight of a call in the mean work that is told of its class.
const HINT_GAIN: f64 = 0.05;
/// Time over which a class comes to look heavier: in a jam all classes wait alike, and would look alike.
const HEAVIER_WINDOW: Duration = 300_000_000_000;

/// The work of a class of calls, judged by the time that its answers take in calm times.
#[derive(Clone, Debug, Default)]
struct ClassWork {
    estimate: f64,
    answers: u32,
    answered_at: Time,
    /// Calls answered, the older ones counting less.
    calls: f64,
    /// Mean work of those whose work was told.
    mean_hint: f64,
}

impl ClassWork {
    /// Takes in the mean time that answers of the class take by now.
    fn learn(&mut self, now: Time, mean: f64, hint: Option<Duration>) {
        self.answers = self.answers.saturating_add(1);
        let passed = now.saturating_sub(self.answered_at) as f64;
        let heavier_gain = (passed / HEAVIER_WINDOW as f64).min(LIGHTER_GAIN);
        let gain = if mean < self.estimate { LIGHTER_GAIN } else { heavier_gain };
        self.estimate += gain.max(1.0 / f64::from(self.answers)) * (mean - self.estimate);
        self.answered_at = now;
        if let Some(hint) = hint {
            let gain = if self.mean_hint > 0.0 { HINT_GAIN } else { 1.0 };
            self.mean_hint += gain * (hint as f64 - self.mean_hint);
        }
    }
}

/// Calls of each class, the older ones counting less. What a class costs is weighed in when the rate is asked for:
/// a balancer that has just started learns it with every answer.
#[derive(Debug)]
struct ClassRates {
    since: Time,
    at: Time,
    calls: Vec<f64>,
}

impl ClassRates {
    fn new(classes: usize, now: Time) -> Self {
        Self { since: now, at: now, calls: vec![0.0; classes] }
    }

    fn add(&mut self, now: Time, class: usize, window: Duration) {
        let kept = (-(now.saturating_sub(self.at) as f64) / window as f64).exp();
        self.at = now;
        self.calls.iter_mut().for_each(|calls| *calls *= kept);
        self.calls[class] += 1.0;
    }

    fn per_second(&self, now: Time, window: Duration, cost: impl Fn(usize) -> f64) -> f64 {
        let sum = self.calls.iter().enumerate().map(|(class, calls)| calls * cost(class)).sum();
        let recent = Recent { sum, at: self.at, since: self.since };
        recent.per_second(now, window)
    }
}

/// The work that a balancer gets answered, and what its classes of calls cost.
#[derive(Debug)]
pub(crate) struct AnsweredWork {
    classes: Vec<ClassWork>,
    /// The work of a typical call, and when it was averaged last.
    typical: f64,
    averaged_at: Time,
    /// Calls taken on, and answered.
    taken_on: ClassRates,
    answered: ClassRates,
}

impl AnsweredWork {
    pub fn new(classes: usize, now: Time) -> Self {
        Self {
            classes: vec![ClassWork::default(); classes],
            typical: 0.0,
            averaged_at: now,
            taken_on: ClassRates::new(classes, now),
            answered: ClassRates::new(classes, now),
        }
    }

    /// A call was answered; `mean` is the mean time that answers of its class take, and `hint` the work of the
    /// call itself where that is known.
    pub fn learn(&mut self, now: Time, class: usize, mean: f64, hint: Option<Duration>, window: Duration) {
        self.classes[class].learn(now, mean, hint);
        let kept = (-(now.saturating_sub(self.averaged_at) as f64) / TYPICAL_WINDOW as f64).exp();
        self.averaged_at = now;
        self.classes.iter_mut().for_each(|class| class.calls *= kept);
        self.classes[class].calls += 1.0;
        let calls: f64 = self.classes.iter().map(|class| class.calls).sum();
        let work: f64 = self.classes.iter().map(|class| class.calls * class.estimate).sum();
        self.typical = work / calls;
        self.answered.add(now, class, window);
    }

    /// A call was taken on.
    pub fn take_on(&mut self, now: Time, class: usize, window: Duration) {
        self.taken_on.add(now, class, window);
    }

    /// Calls of typical work answered in a second.
    pub fn answered_per_second(&self, now: Time, window: Duration) -> f64 {
        self.answered.per_second(now, window, |class| self.class_cost(class))
    }

    /// Calls of typical work taken on in a second.
    pub fn taken_on_per_second(&self, now: Time, window: Duration) -> f64 {
        self.taken_on.per_second(now, window, |class| self.class_cost(class))
    }

    /// What a call costs: by its own work where that is known, else what its class costs.
    pub fn cost(&self, class: usize, hint: Option<Duration>) -> f64 {
        let mean_hint = self.classes[class].mean_hint;
        let part = hint.filter(|_| mean_hint > 0.0).map_or(1.0, |hint| hint as f64 / mean_hint);
        self.class_cost(class) * part
    }

    /// What the calls of a class cost on average; one as long as that is not known.
    pub fn class_cost(&self, class: usize) -> f64 {
        let cost = self.classes[class].estimate / self.typical;
        if cost.is_finite() && cost > 0.0 { cost } else { 1.0 }
    }

    /// What the calls of the lightest class cost.
    pub fn least_cost(&self) -> f64 {
        (0..self.classes.len()).map(|class| self.class_cost(class)).fold(1.0, f64::min)
    }
}

/// The part of a balancer's calls that a warm server of its own zone serves, for each unit of its size.
#[derive(Debug)]
pub(crate) struct HomeShare {
    /// As long as nothing is known: with fewer balancers than zones, each also sends to zones that have none.
    expected_part: f64,
    per_size: Option<f64>,
    /// Size of the zone's warm servers, and of those that are still cold: when each is warm, the last one first.
    warm_size: f64,
    cold_sizes: Vec<(Time, f64)>,
}

impl HomeShare {
    pub fn new(siblings: u32, zones: usize) -> Self {
        let expected_part = (f64::from(siblings) / zones.max(1) as f64).min(1.0);
        Self { expected_part, per_size: None, warm_size: 0.0, cold_sizes: Vec::new() }
    }

    /// What a server of the zone would serve for each unit of its size, where that has such a size; no more
    /// than an even part.
    pub fn get(&self, zone_size: f64) -> f64 {
        let size = zone_size.max(f64::MIN_POSITIVE);
        self.per_size.map_or(self.expected_part / size, |per_size| per_size.min(1.0 / size))
    }

    /// The list has changed: when each of the zone's servers is warm, and its size.
    pub fn follow(&mut self, mut sizes: Vec<(Time, f64)>) {
        sizes.sort_unstable_by_key(|&(warm_from, _)| std::cmp::Reverse(warm_from));
        (self.warm_size, self.cold_sizes) = (0.0, sizes);
    }

    /// A call was answered, by a warm server of the own zone or by another one. Tells nothing while no server
    /// of the zone is warm.
    pub fn learn(&mut self, now: Time, warm_home: bool) {
        while let Some((_, size)) = self.cold_sizes.pop_if(|(warm_from, _)| *warm_from <= now) {
            self.warm_size += size;
        }
        if self.warm_size <= 0.0 {
            return;
        }
        let served = f64::from(u8::from(warm_home)) / self.warm_size;
        let per_size = self.per_size.get_or_insert(self.expected_part / self.warm_size);
        *per_size += HOME_GAIN * (served - *per_size);
    }
}

/// What a balancer may still send to a cold server, in calls of typical work.
#[derive(Debug, Default)]
pub(crate) struct ColdBudget {
    left: f64,
    begun_at: Time,
    counted_at: Time,
    /// The least that is saved up before a call is sent: what the budget began below.
    least: f64,
}

impl ColdBudget {
    /// A budget whose first call comes at a random time: no sooner on average than later ones, and not at
    /// once from all siblings. `draw` is between 0 and 1, and `least_cost` what the lightest calls cost.
    pub fn new(now: Time, draw: f64, least_cost: f64) -> Self {
        Self { left: draw * least_cost, begun_at: now, counted_at: now, least: least_cost }
    }

    /// Whether a call of a class that costs so much may be sent, after earning at a rate for each second.
    pub fn allows(&mut self, now: Time, rate: f64, class_cost: f64) -> bool {
        let passed = now.saturating_sub(self.counted_at) as f64 / 1e9;
        self.left = (self.left + rate * passed).min(class_cost.max(1.0));
        self.counted_at = now;
        self.left >= class_cost.max(self.least)
    }

    /// Gives back what an attempt was charged that was never sent, unless the server has been restarted since.
    pub fn give_back(&mut self, sent: Time, cost: f64) {
        if sent >= self.begun_at {
            self.left += cost;
        }
    }

    /// Charges a call that is sent.
    pub fn charge(&mut self, cost: f64) {
        self.left -= cost;
    }
}
