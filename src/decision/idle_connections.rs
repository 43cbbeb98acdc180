//! Idle connections: how likely they are to have been dropped unseen, and how many are worth keeping.

use super::event::{Duration, SECOND, Time};
use super::statistics::DecayingRatio;

/// Idle connections that an endpoint is left with: a fuller table takes its capacity, and at last refuses.
pub(crate) const MAX_IDLE_CONNECTIONS: u32 = 2;
/// Time after which an endpoint that took no more connections is tried with one more.
const CONNECTION_LIMIT_GROWTH_INTERVAL: Duration = 5 * SECOND;
/// Least time that makes a connection idle: what cuts idle ones waits longer than a round trip.
const MIN_IDLE_TIME: Duration = SECOND / 4;
/// Weight of an attempt in the risk of an idle time, and the time over which that is forgotten.
const RISK_GAIN: f64 = 0.3;
const RISK_TIME_CONSTANT: Duration = 30 * SECOND;
/// Risk from which an idle connection is replaced before it is used: work that must not run twice would be lost with
/// it, other work only takes another attempt, and so tells when the risk is over.
const MAX_RISK_NON_REPEATABLE: f64 = 0.1;
const MAX_RISK_REPEATABLE: f64 = 0.3;
/// The risk of an idle connection counts only if it is so many times that of a new one.
const MIN_RISK_MULTIPLE: f64 = 2.0;
/// Steps of idle time that are told apart.
const BUCKET_COUNT: usize = 10;

/// How long a connection has been idle: 0 for new or busy ones, each further step for twice the idle time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct IdleTimeBucket(usize);

impl IdleTimeBucket {
    /// The step of an idle time.
    pub fn of(idle_time: Duration) -> Self {
        let bucket = (2 * idle_time / MIN_IDLE_TIME).checked_ilog2().unwrap_or(0) as usize;
        Self(bucket.min(BUCKET_COUNT - 1))
    }

    /// Whether the connection was idle at all.
    pub fn was_idle(self) -> bool {
        self.0 > 0
    }
}

/// How often attempts fail, by how long their connection had been idle.
#[derive(Debug, Default)]
pub(crate) struct IdleRisk {
    failure_ratios: [DecayingRatio; BUCKET_COUNT],
}

impl IdleRisk {
    /// Learns how an attempt ended whose connection had been idle for so long.
    pub fn learn(&mut self, bucket: IdleTimeBucket, failed: bool, now: Time) {
        self.failure_ratios[bucket.0].learn(failed, now, RISK_GAIN, RISK_TIME_CONSTANT);
    }

    /// Whether a connection idle for so long is better replaced than used.
    pub fn should_replace(&self, bucket: IdleTimeBucket, now: Time, repeatable: bool) -> bool {
        let max_risk = if repeatable { MAX_RISK_REPEATABLE } else { MAX_RISK_NON_REPEATABLE };
        self.exceeds(bucket, now, max_risk)
    }

    /// Whether a failure on a connection idle for so long is the connection's, not the endpoint's.
    pub fn explains_failure(&self, bucket: IdleTimeBucket, now: Time) -> bool {
        bucket.was_idle() && self.exceeds(bucket, now, MAX_RISK_REPEATABLE)
    }

    /// Whether connections idle for so long fail too often, and more often than new ones.
    fn exceeds(&self, bucket: IdleTimeBucket, now: Time, max_risk: f64) -> bool {
        let new_connection_risk = self.failure_ratios[0].get(now, RISK_TIME_CONSTANT);
        self.highest_risk_up_to(bucket, now) > max_risk.max(MIN_RISK_MULTIPLE * new_connection_risk)
    }

    /// The highest risk of an idle time up to a step.
    fn highest_risk_up_to(&self, bucket: IdleTimeBucket, now: Time) -> f64 {
        let buckets = self.failure_ratios.iter().take(bucket.0 + 1).skip(1);
        buckets.map(|ratio| ratio.get(now, RISK_TIME_CONSTANT)).fold(0.0, f64::max)
    }
}

/// The connections that an endpoint let us have when it last took no more.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionLimit {
    /// Connections in use then.
    pub connections: u32,
    /// When that was.
    pub learned_at: Time,
}

impl ConnectionLimit {
    /// How many connections may be in use by now: the limit grows, so that its end shows.
    pub fn allowed(&self, now: Time) -> u64 {
        u64::from(self.connections) + now.saturating_sub(self.learned_at) / CONNECTION_LIMIT_GROWTH_INTERVAL
    }
}
