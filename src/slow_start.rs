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
/// Weight of a call in the mean work that is told of its class.
const HINT_GAIN: f64 = 0.05;
/// Time over which a class comes to look heavier: in a jam all classes wait alike, and would look alike.
const HEAVIER_WINDOW: Duration = 60_000_000_000;

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

/// The work that a balancer gets answered, and what its classes of calls cost.
#[derive(Debug)]
pub(crate) struct AnsweredWork {
    classes: Vec<ClassWork>,
    /// The work of a typical call, and when it was averaged last.
    typical: f64,
    averaged_at: Time,
    /// Work answered lately.
    lately: Recent,
}

impl AnsweredWork {
    pub fn new(classes: usize, now: Time) -> Self {
        Self {
            classes: vec![ClassWork::default(); classes],
            typical: 0.0,
            averaged_at: now,
            lately: Recent::since(now),
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
        self.lately.add(now, self.cost(class, hint), window);
    }

    /// Calls of typical work answered in a second.
    pub fn per_second(&self, now: Time, window: Duration) -> f64 {
        self.lately.per_second(now, window)
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

/// What a balancer may still send to a cold server, in calls of typical work.
#[derive(Debug, Default)]
pub(crate) struct ColdBudget {
    left: f64,
    counted_at: Time,
}

impl ColdBudget {
    /// A budget whose first call comes at a random time: no sooner on average than later ones, and not at
    /// once from all siblings. `draw` is between 0 and 1, and `least_cost` what the lightest calls cost.
    pub fn new(now: Time, draw: f64, least_cost: f64) -> Self {
        Self { left: draw * least_cost, counted_at: now }
    }

    /// Whether a call of a class that costs so much may be sent, after earning at a rate for each second.
    pub fn allows(&mut self, now: Time, rate: f64, class_cost: f64) -> bool {
        let passed = now.saturating_sub(self.counted_at) as f64 / 1e9;
        self.left = (self.left + rate * passed).min(class_cost.max(1.0));
        self.counted_at = now;
        self.left >= class_cost
    }

    /// Charges a call that is sent.
    pub fn charge(&mut self, cost: f64) {
        self.left -= cost;
    }
}
