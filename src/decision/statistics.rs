//! Decaying averages and counters, and what the balancer has learned of its traffic as a whole.

use super::event::{Duration, SECOND, Time};
use super::settings::Settings;

/// Samples before a latency is trusted, or a rate of answers.
pub(crate) const TRUSTED_SAMPLES: u32 = 10;
/// Weight of a new outcome in the averages: about a second's worth of requests at a small balancer.
pub(crate) const OUTCOME_GAIN: f64 = 0.05;
/// Time over which request rates are averaged: a few requests at the smallest balancer.
pub(crate) const RATE_WINDOW: Duration = 5 * SECOND;
/// The calm latency falls much faster towards the mean than it rises: a jam must not come to look calm.
const BASELINE_GAIN_DOWN: f64 = 0.05;
const BASELINE_GAIN_UP: f64 = 0.001;
/// Shortest latency that a limit is derived from, in nanoseconds.
const MIN_LATENCY_LIMIT_NS: f64 = 1e6;
/// Least part of its window that a rate counts as having seen, so that the first samples don't blow it up.
const MIN_OBSERVED_FRACTION: f64 = 0.05;

/// Mean and mean deviation of a latency, or of a lateness.
#[derive(Clone, Debug, Default)]
pub(crate) struct LatencyStatistics {
    pub mean: f64,
    pub deviation: f64,
    /// Follows the mean, faster downwards than upwards: the latency of calm times.
    pub baseline: f64,
    pub samples: u32,
}

impl LatencyStatistics {
    /// So many mean deviations above the mean, in nanoseconds.
    pub fn mean_plus_deviations(&self, deviations: f64) -> Duration {
        (self.mean + deviations * self.deviation).max(MIN_LATENCY_LIMIT_NS) as Duration
    }

    /// Whether there are enough samples to go by.
    pub fn is_trusted(&self) -> bool {
        self.samples >= TRUSTED_SAMPLES
    }

    /// Learns a sample with at least this weight; the first samples weigh more.
    pub fn learn(&mut self, sample: f64, gain: f64) {
        self.samples = self.samples.saturating_add(1);
        let min_gain = 1.0 / f64::from(self.samples);
        let gain = gain.max(min_gain);
        self.mean += gain * (sample - self.mean);
        self.deviation += gain * ((sample - self.mean).abs() - self.deviation);
        let baseline_gain = if self.mean < self.baseline { BASELINE_GAIN_DOWN } else { BASELINE_GAIN_UP };
        self.baseline += baseline_gain.max(min_gain) * (self.mean - self.baseline);
    }
}

/// A sum whose older parts fade over a window.
#[derive(Clone, Debug, Default)]
pub(crate) struct DecayingSum {
    pub sum: f64,
    pub updated_at: Time,
    started_at: Time,
}

impl DecayingSum {
    /// An empty sum that begins to count now.
    pub fn starting_at(now: Time) -> Self {
        Self::new(0.0, now, now)
    }

    /// A sum as it was when it was updated last, of what has come since a time.
    pub fn new(sum: f64, updated_at: Time, started_at: Time) -> Self {
        Self { sum, updated_at, started_at }
    }

    /// The sum for each second, right from the first second on.
    pub fn per_second(&self, now: Time, time_constant: Duration) -> f64 {
        let observed_fraction =
            1.0 - (-(now.saturating_sub(self.started_at) as f64) / time_constant as f64).exp();
        self.get(now, time_constant) * 1e9
            / (time_constant as f64 * observed_fraction.max(MIN_OBSERVED_FRACTION))
    }

    /// What is left of the sum.
    pub fn get(&self, now: Time, time_constant: Duration) -> f64 {
        self.sum * decay(now, self.updated_at, time_constant)
    }

    /// Adds an amount.
    pub fn add(&mut self, now: Time, amount: f64, time_constant: Duration) {
        self.sum = self.get(now, time_constant) + amount;
        self.updated_at = now;
    }

    /// Adds or takes off, but the sum stays between nothing and a most.
    pub fn add_clamped(&mut self, max: f64, now: Time, amount: f64, time_constant: Duration) {
        self.add(now, amount, time_constant);
        self.sum = self.sum.clamp(0.0, max);
    }
}

/// Part of the attempts that fail, where what is known fades with time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingRatio {
    value: f64,
    updated_at: Time,
}

impl DecayingRatio {
    /// The ratio as it is known now.
    pub fn get(&self, now: Time, time_constant: Duration) -> f64 {
        self.value * decay(now, self.updated_at, time_constant)
    }

    /// Learns whether one more attempt failed.
    pub fn learn(&mut self, failed: bool, now: Time, gain: f64, time_constant: Duration) {
        let previous = self.get(now, time_constant);
        self.value = previous + gain * (f64::from(u8::from(failed)) - previous);
        self.updated_at = now;
    }
}

/// What is left after a while of what fades over a window, from 1 to 0.
fn decay(now: Time, updated_at: Time, time_constant: Duration) -> f64 {
    (-(now.saturating_sub(updated_at) as f64) / time_constant as f64).exp()
}

/// What the balancer has learned of its traffic as a whole.
#[derive(Debug)]
pub(crate) struct TrafficStatistics {
    /// Latency of each request class.
    pub classes: Vec<LatencyStatistics>,
    /// Latency over all classes.
    pub overall: LatencyStatistics,
    /// Time to an answer for each request that the endpoint held in flight.
    pub per_in_flight: LatencyStatistics,
    answered: DecayingSum,
    /// Part of all attempts that fail.
    failure_ratio: f64,
}

impl TrafficStatistics {
    /// Nothing is known yet.
    pub fn new(settings: &Settings, now: Time) -> Self {
        Self {
            classes: vec![LatencyStatistics::default(); settings.classes.len()],
            overall: LatencyStatistics::default(),
            per_in_flight: LatencyStatistics::default(),
            answered: DecayingSum::starting_at(now),
            failure_ratio: 0.0,
        }
    }

    /// Counts an attempt that was answered.
    pub fn count_answered(&mut self, now: Time) {
        self.answered.add(now, 1.0, RATE_WINDOW);
    }

    /// Answers a second.
    pub fn answer_rate(&self, now: Time) -> f64 {
        self.answered.per_second(now, RATE_WINDOW)
    }

    /// Requests that would be in flight if all were answered as fast as in calm times (Little's law).
    pub fn baseline_in_flight(&self, now: Time) -> f64 {
        self.answer_rate(now) * self.overall.baseline / SECOND as f64
    }

    /// Learns that an attempt failed, and gives the part that fails now.
    pub fn learn_failure(&mut self) -> f64 {
        self.failure_ratio += OUTCOME_GAIN * (1.0 - self.failure_ratio);
        self.failure_ratio
    }

    /// Learns that an attempt succeeded.
    pub fn learn_success(&mut self) {
        self.failure_ratio -= OUTCOME_GAIN * self.failure_ratio;
    }

    /// Learns how long an attempt of a class took, in nanoseconds.
    pub fn learn_latency(&mut self, class: usize, elapsed: f64) {
        self.classes[class].learn(elapsed, OUTCOME_GAIN);
        self.overall.learn(elapsed, OUTCOME_GAIN);
    }
}
