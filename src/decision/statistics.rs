//! Exponentially decaying averages and sums, and statistics of the balancer's traffic as a whole.

use super::event::{Duration, SECOND, Time};
use super::settings::Settings;

/// Samples needed to trust a latency or a response rate.
pub(crate) const TRUSTED_SAMPLES: u32 = 10;
/// Smoothing factor of averages over the outcomes and latencies of attempts. They span about 20 attempts, a second's
/// worth at a small balancer.
pub(crate) const ATTEMPT_GAIN: f64 = 0.05;
/// Time constant of request rates: long enough for a few requests at the smallest balancer.
pub(crate) const RATE_TIME_CONSTANT: Duration = 5 * SECOND;
/// Smoothing factor of the baseline latency while the mean is below it.
const BASELINE_GAIN_DOWN: f64 = 0.05;
/// Smoothing factor of the baseline latency while the mean is above it: much smaller than downwards, so that
/// congestion does not become the baseline.
const BASELINE_GAIN_UP: f64 = 0.001;
/// Lower bound of a limit derived from a latency, in nanoseconds.
const MIN_LATENCY_LIMIT_NS: f64 = 1e6;
/// Lower bound of the observed fraction of a rate's averaging window. The rate is divided by this fraction, and
/// without a bound the first samples would inflate it.
const MIN_OBSERVED_FRACTION: f64 = 0.05;

/// Mean, mean deviation and baseline of a latency, of a latency ratio (latency divided by objective) or of the latency
/// per request in flight, as exponentially weighted moving averages.
#[derive(Clone, Debug, Default)]
pub(crate) struct LatencyStatistics {
    pub mean: f64,
    pub deviation: f64,
    /// Baseline latency at low load: follows the mean, faster downwards than upwards.
    pub baseline: f64,
    pub samples: u32,
}

impl LatencyStatistics {
    /// The mean plus a number of mean deviations, in nanoseconds.
    pub fn mean_plus_deviations(&self, deviations: f64) -> Duration {
        (self.mean + deviations * self.deviation).max(MIN_LATENCY_LIMIT_NS) as Duration
    }

    /// Whether there are enough samples to rely on.
    pub fn is_trusted(&self) -> bool {
        self.samples >= TRUSTED_SAMPLES
    }

    /// Adds a sample with at least the weight `gain`; the first samples weigh more.
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

/// A sum whose parts decay exponentially with a time constant.
#[derive(Clone, Debug, Default)]
pub(crate) struct DecayingSum {
    pub sum: f64,
    pub updated_at: Time,
    started_at: Time,
}

impl DecayingSum {
    /// Creates an empty sum that starts now.
    pub fn starting_at(now: Time) -> Self {
        Self::new(0.0, now, now)
    }

    /// Creates a sum that counts amounts since `started_at` and has the value `sum` at `updated_at`.
    pub fn new(sum: f64, updated_at: Time, started_at: Time) -> Self {
        Self { sum, updated_at, started_at }
    }

    /// The rate per second. It is corrected for the part of the averaging window that lies before `started_at`, so that
    /// it is right from the first second on.
    pub fn per_second(&self, now: Time, time_constant: Duration) -> f64 {
        let observed_fraction =
            1.0 - (-(now.saturating_sub(self.started_at) as f64) / time_constant as f64).exp();
        self.get(now, time_constant) * 1e9
            / (time_constant as f64 * observed_fraction.max(MIN_OBSERVED_FRACTION))
    }

    /// The decayed sum.
    pub fn get(&self, now: Time, time_constant: Duration) -> f64 {
        self.sum * decay(now, self.updated_at, time_constant)
    }

    /// Adds an amount.
    pub fn add(&mut self, now: Time, amount: f64, time_constant: Duration) {
        self.sum = self.get(now, time_constant) + amount;
        self.updated_at = now;
    }

    /// Adds or subtracts an amount, and limits the sum to between 0 and `max`.
    pub fn add_clamped(&mut self, max: f64, now: Time, amount: f64, time_constant: Duration) {
        self.add(now, amount, time_constant);
        self.sum = self.sum.clamp(0.0, max);
    }
}

/// Fraction of attempts that fail: an exponentially weighted moving average that also decays towards 0 over time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingFailureRatio {
    value: f64,
    updated_at: Time,
}

impl DecayingFailureRatio {
    /// The decayed ratio.
    pub fn get(&self, now: Time, time_constant: Duration) -> f64 {
        self.value * decay(now, self.updated_at, time_constant)
    }

    /// Updates the ratio with the outcome of an attempt.
    pub fn learn(&mut self, failed: bool, now: Time, gain: f64, time_constant: Duration) {
        let previous = self.get(now, time_constant);
        self.value = previous + gain * (f64::from(u8::from(failed)) - previous);
        self.updated_at = now;
    }
}

/// Fraction that remains of a quantity that decays exponentially with a time constant, from 1 to 0.
fn decay(now: Time, updated_at: Time, time_constant: Duration) -> f64 {
    (-(now.saturating_sub(updated_at) as f64) / time_constant as f64).exp()
}

/// Statistics of the balancer's traffic as a whole.
#[derive(Debug)]
pub(crate) struct TrafficStatistics {
    /// Latency of each request class.
    pub class_latencies: Vec<LatencyStatistics>,
    /// Latency over all classes.
    pub overall: LatencyStatistics,
    /// Latency divided by the requests in flight at the endpoint.
    pub latency_per_in_flight: LatencyStatistics,
    successful_responses: DecayingSum,
    /// Fraction of all attempts that fail.
    failure_ratio: f64,
}

impl TrafficStatistics {
    /// Creates empty statistics.
    pub fn new(settings: &Settings, now: Time) -> Self {
        Self {
            class_latencies: vec![LatencyStatistics::default(); settings.classes.len()],
            overall: LatencyStatistics::default(),
            latency_per_in_flight: LatencyStatistics::default(),
            successful_responses: DecayingSum::starting_at(now),
            failure_ratio: 0.0,
        }
    }

    /// Counts a successful response.
    pub fn count_successful_response(&mut self, now: Time) {
        self.successful_responses.add(now, 1.0, RATE_TIME_CONSTANT);
    }

    /// Successful responses per second.
    pub fn successful_response_rate(&self, now: Time) -> f64 {
        self.successful_responses.per_second(now, RATE_TIME_CONSTANT)
    }

    /// Requests that would be in flight if all had the baseline latency (Little's law).
    pub fn baseline_in_flight(&self, now: Time) -> f64 {
        self.successful_response_rate(now) * self.overall.baseline / SECOND as f64
    }

    /// Records a failed attempt, and returns the updated failure ratio.
    pub fn learn_failure(&mut self) -> f64 {
        self.failure_ratio += ATTEMPT_GAIN * (1.0 - self.failure_ratio);
        self.failure_ratio
    }

    /// Records a successful attempt.
    pub fn learn_success(&mut self) {
        self.failure_ratio -= ATTEMPT_GAIN * self.failure_ratio;
    }

    /// Records the latency of an attempt of a class, in nanoseconds.
    pub fn learn_latency(&mut self, class: usize, latency_ns: f64) {
        self.class_latencies[class].learn(latency_ns, ATTEMPT_GAIN);
        self.overall.learn(latency_ns, ATTEMPT_GAIN);
    }
}
