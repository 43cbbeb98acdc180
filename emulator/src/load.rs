//! The load of clients: an open loop of requests, in classes that differ in their idempotency.

use crate::engine::{SECOND, Time, millis};
use crate::hollow::Config;
use balancer::decision::{DeduplicationGroup, Idempotency, RequestClass};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1};

/// How long the upstreams of a group drop repeats of a keyed request.
const DEDUPLICATION_WINDOW: Time = 10 * SECOND;

/// Creates the request classes of a configuration. Of every four, two are idempotent, one is keyed and one is
/// non-idempotent; the first class is idempotent.
pub fn classes(config: &Config) -> Vec<RequestClass> {
    let idempotency = |class: usize| match class % 4 {
        1 => Idempotency::Keyed(DeduplicationGroup::Zone, DEDUPLICATION_WINDOW),
        2 => Idempotency::NonIdempotent,
        _ => Idempotency::Idempotent,
    };
    let class = |index| RequestClass {
        latency_objective: millis(config.aim_ms),
        objective_stretch: 0.0,
        deadline: millis(config.deadline_ms),
        idempotency: idempotency(index),
        late_weight: 0.0,
        priority_weight: 1.0,
    };
    (0..config.classes).map(class).collect()
}

/// A request of a client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// When the request arrives.
    pub at: Time,
    /// Index of its request class.
    pub class: usize,
    /// Index of the entry service that receives the request.
    pub entry: usize,
}

/// An open-loop Poisson process: requests arrive whether or not earlier ones have been answered.
#[derive(Debug)]
pub struct Load {
    rng: ChaCha8Rng,
    /// Mean time between requests, in nanoseconds.
    mean_gap: f64,
    /// Time of the arrival drawn last, in nanoseconds; not rounded, so that rounding errors do not add up.
    latest_at: f64,
    /// Classes and their fraction of the requests: idempotent, keyed and non-idempotent.
    groups: [(Vec<usize>, f64); 3],
    /// Number of entry services.
    entry_services: usize,
}

impl Load {
    /// Creates a load of `rate` requests per second over all entry services, beginning at `from`.
    pub fn new(config: &Config, rate: f64, entry_services: usize, from: Time, rng: ChaCha8Rng) -> Self {
        let classes_of = |remainders: &[usize]| -> Vec<usize> {
            (0..config.classes).filter(|class| remainders.contains(&(class % 4))).collect()
        };
        let (keyed, non_idempotent) = (classes_of(&[1]), classes_of(&[2]));
        let keyed_share = if keyed.is_empty() { 0.0 } else { config.keyed_share };
        let unsafe_share = if non_idempotent.is_empty() { 0.0 } else { config.unsafe_share };
        let groups = [
            (classes_of(&[0, 3]), 1.0 - keyed_share - unsafe_share),
            (keyed, keyed_share),
            (non_idempotent, unsafe_share),
        ];
        Self { rng, mean_gap: SECOND as f64 / rate, latest_at: from as f64, groups, entry_services }
    }

    /// Draws the next request.
    pub fn next_arrival(&mut self) -> Arrival {
        let wait: f64 = Exp1.sample(&mut self.rng);
        self.latest_at += wait * self.mean_gap;
        let mut draw: f64 = self.rng.random();
        let mut group = 0;
        while group + 1 < self.groups.len() && draw >= self.groups[group].1 {
            draw -= self.groups[group].1;
            group += 1;
        }
        let classes = if self.groups[group].0.is_empty() { &self.groups[0].0 } else { &self.groups[group].0 };
        let class = classes[self.rng.random_range(0..classes.len())];
        Arrival { at: self.latest_at as Time, class, entry: self.rng.random_range(0..self.entry_services) }
    }
}
