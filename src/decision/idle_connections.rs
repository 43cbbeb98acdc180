//! Idle connections: how likely they are to have been dropped silently, and how many are kept.

use super::event::{Duration, SECOND, Time};
use super::statistics::DecayingFailureRatio;

/// Maximum number of idle connections kept open to an endpoint: a fuller connection table costs the endpoint
/// capacity, until it refuses connections.
pub(crate) const MAX_IDLE_CONNECTIONS: u32 = 2;
/// Interval at which the learned connection limit of an endpoint grows by one.
const CONNECTION_LIMIT_GROWTH_INTERVAL: Duration = 5 * SECOND;
/// Shortest time for which a connection counts as idle: whatever drops idle connections waits longer than a
/// round trip.
const MIN_IDLE_TIME: Duration = SECOND / 4;
/// Smoothing factor of the failure ratio of an idle time.
const RISK_GAIN: f64 = 0.3;
/// Time constant at which the failure ratio of an idle time decays.
const RISK_TIME_CONSTANT: Duration = 30 * SECOND;
/// Risk above which an idle connection is replaced before a request that must not run twice: the request
/// would be lost with the connection.
const MAX_RISK_NON_REPEATABLE: f64 = 0.1;
/// Risk above which an idle connection is replaced before a repeatable request: a failure only costs
/// another attempt, and attempts on idle connections show when the risk is over.
const MAX_RISK_REPEATABLE: f64 = 0.3;
/// The risk of an idle connection counts only above this multiple of the risk of a new one.
const MIN_RISK_MULTIPLE: f64 = 2.0;
/// Number of buckets of idle time.
const BUCKET_COUNT: usize = 10;

/// Bucket of the time that a connection has been idle: 0 below [`MIN_IDLE_TIME`], as for new
/// connections, and each further bucket for twice the idle time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct IdleTimeBucket(usize);

impl IdleTimeBucket {
    /// The bucket of an idle time.
    pub fn of(idle_time: Duration) -> Self {
        let bucket = (2 * idle_time / MIN_IDLE_TIME).checked_ilog2().unwrap_or(0) as usize;
        Self(bucket.min(BUCKET_COUNT - 1))
    }

    /// Whether the connection counts as idle: unused for at least [`MIN_IDLE_TIME`].
    pub fn was_idle(self) -> bool {
        self.0 > 0
    }
}

/// Failure ratios of attempts, by how long their connection had been idle.
#[derive(Debug, Default)]
pub(crate) struct IdleRisk {
    failure_ratios: [DecayingFailureRatio; BUCKET_COUNT],
}

impl IdleRisk {
    /// Records whether an attempt on a connection with this idle time failed.
    pub fn learn(&mut self, bucket: IdleTimeBucket, failed: bool, now: Time) {
        self.failure_ratios[bucket.0].learn(failed, now, RISK_GAIN, RISK_TIME_CONSTANT);
    }

    /// Whether a connection with this idle time should be replaced rather than used.
    pub fn should_replace(&self, bucket: IdleTimeBucket, now: Time, repeatable: bool) -> bool {
        let max_risk = if repeatable { MAX_RISK_REPEATABLE } else { MAX_RISK_NON_REPEATABLE };
        self.exceeds(bucket, now, max_risk)
    }

    /// Whether a failure on a connection with this idle time is due to the connection, not to the endpoint.
    pub fn explains_failure(&self, bucket: IdleTimeBucket, now: Time) -> bool {
        bucket.was_idle() && self.exceeds(bucket, now, MAX_RISK_REPEATABLE)
    }

    /// Whether connections with this idle time fail too often, and more often than new ones.
    fn exceeds(&self, bucket: IdleTimeBucket, now: Time, max_risk: f64) -> bool {
        let new_connection_risk = self.failure_ratios[0].get(now, RISK_TIME_CONSTANT);
        self.highest_risk_up_to(bucket, now) > max_risk.max(MIN_RISK_MULTIPLE * new_connection_risk)
    }

    /// The highest risk of the idle times up to a bucket.
    fn highest_risk_up_to(&self, bucket: IdleTimeBucket, now: Time) -> f64 {
        let buckets = self.failure_ratios.iter().take(bucket.0 + 1).skip(1);
        buckets.map(|ratio| ratio.get(now, RISK_TIME_CONSTANT)).fold(0.0, f64::max)
    }
}

/// The connections that an endpoint accepted when it last refused a further one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionLimit {
    /// Connections in use at that time.
    pub connections: u32,
    /// When the limit was learned.
    pub learned_at: Time,
}

impl ConnectionLimit {
    /// How many connections may be in use now. The limit grows with time, so that the balancer
    /// notices when the endpoint accepts more connections again.
    pub fn allowed(&self, now: Time) -> u64 {
        u64::from(self.connections) + now.saturating_sub(self.learned_at) / CONNECTION_LIMIT_GROWTH_INTERVAL
    }
}
