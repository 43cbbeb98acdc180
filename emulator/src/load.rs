//! What clients ask for: an open loop of requests, in classes that differ in what repeating them does.

use crate::engine::{SECOND, Time, millis};
use crate::hollow::Config;
use balancer::decision::{DeduplicationGroup, Idempotency, RequestClass};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1};

/// How long the servers of a group drop the repeats of a keyed request.
const KEY_WINDOW: Time = 10 * SECOND;

/// The classes of a configuration: their effects go round, safe ones first and most often.
pub fn classes(config: &Config) -> Vec<RequestClass> {
    let effect = |at: usize| match at % 4 {
        1 => Idempotency::Keyed(DeduplicationGroup::Zone, KEY_WINDOW),
        2 => Idempotency::NonIdempotent,
        _ => Idempotency::Idempotent,
    };
    let class = |at| RequestClass {
        latency_objective: millis(config.aim_ms),
        objective_stretch: 0.0,
        deadline: millis(config.deadline_ms),
        idempotency: effect(at),
        late_weight: 0.0,
        priority_weight: 1.0,
    };
    (0..config.classes).map(class).collect()
}

/// A request of a client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// When it comes.
    pub at: Time,
    /// Its class.
    pub class: usize,
    /// Which of the entries it calls.
    pub entry: usize,
}

/// Requests that come whether or not the ones before are answered: a Poisson process.
#[derive(Debug)]
pub struct Load {
    rng: ChaCha8Rng,
    /// Mean time between requests, in nanoseconds.
    gap: f64,
    at: f64,
    /// The classes of each effect, safe, keyed and unsafe, and the part of the requests that these get.
    kinds: [(Vec<usize>, f64); 3],
    entries: usize,
}

impl Load {
    /// Requests from a time on, so many a second over all entries.
    pub fn new(config: &Config, rate: f64, entries: usize, from: Time, rng: ChaCha8Rng) -> Self {
        let of_kind = |kinds: &[usize]| -> Vec<usize> {
            (0..config.classes).filter(|at| kinds.contains(&(at % 4))).collect()
        };
        let (keyed, not_safe) = (of_kind(&[1]), of_kind(&[2]));
        let keyed_share = if keyed.is_empty() { 0.0 } else { config.keyed_share };
        let unsafe_share = if not_safe.is_empty() { 0.0 } else { config.unsafe_share };
        let kinds = [
            (of_kind(&[0, 3]), 1.0 - keyed_share - unsafe_share),
            (keyed, keyed_share),
            (not_safe, unsafe_share),
        ];
        Self { rng, gap: SECOND as f64 / rate, at: from as f64, kinds, entries }
    }

    /// The next request.
    pub fn next_arrival(&mut self) -> Arrival {
        let wait: f64 = Exp1.sample(&mut self.rng);
        self.at += wait * self.gap;
        let mut draw: f64 = self.rng.random();
        let mut kind = 0;
        while kind + 1 < self.kinds.len() && draw >= self.kinds[kind].1 {
            draw -= self.kinds[kind].1;
            kind += 1;
        }
        let classes = if self.kinds[kind].0.is_empty() { &self.kinds[0].0 } else { &self.kinds[kind].0 };
        let class = classes[self.rng.random_range(0..classes.len())];
        Arrival { at: self.at as Time, class, entry: self.rng.random_range(0..self.entries) }
    }
}
