//! What is known of one endpoint.

use super::action::Action;
use super::circuit_breaker::CircuitBreaker;
use super::event::{Duration, EndpointId, SECOND, Time};
use super::idle_connections::{ConnectionLimit, IdleRisk, IdleTimeBucket, MAX_IDLE_CONNECTIONS};
use super::rejections::ClassRejections;
use super::settings::Settings;
use super::slow_start::WarmUp;
use super::statistics::LatencyStatistics;

/// Weight of an attempt in its endpoint's slowness: a balancer with few requests sees few a second of each.
const SLOWNESS_GAIN: f64 = 0.3;
/// Most by which one attempt raises the slowness, before its weight.
const MAX_SLOWNESS_STEP: f64 = 4.0;
/// An endpoint that answered so lately is alive: a connection that fails is one too many for it.
const ALIVE_WINDOW: Duration = SECOND;
/// A turn counts as complete within this rounding error.
const TURN_TOLERANCE: f64 = 1e-9;

/// An endpoint.
#[derive(Debug, Default)]
pub(crate) struct Endpoint {
    pub id: EndpointId,
    pub zone: usize,
    pub cell: u16,
    /// Listed as in service.
    pub listed_in_service: bool,
    /// Gets requests: listed as in service, and not taken offline by an operator.
    pub in_service: bool,
    /// It is on no list any more, and is forgotten once nothing refers to it.
    pub removed: bool,
    /// Its capacity, to be compared with that of others.
    pub capacity: f64,
    /// Place in the round robin.
    pub round_robin_order: u64,
    /// Fraction of a turn that has come together.
    turn_credit: f64,
    pub warm_up: WarmUp,
    pub in_flight: u32,
    /// Responses of it that are being streamed: each has a connection, and none of its work is left.
    pub streaming_responses: u32,
    /// Its rejections, for each class.
    pub rejections: Vec<ClassRejections>,
    connection_limit: Option<ConnectionLimit>,
    /// Our connections to it, in use or idle.
    open_connections: u32,
    /// When an attempt at it ended last, and left its connection idle.
    idle_since: Time,
    /// When it answered last.
    answered_at: Time,
    /// How long its attempts take, as a multiple of their class's mean.
    slowness: f64,
    pub breaker: CircuitBreaker,
}

impl Endpoint {
    /// An endpoint that nothing is known of yet.
    pub fn new(id: EndpointId, round_robin_order: u64, turn_credit: f64, classes: usize) -> Self {
        let rejections = vec![ClassRejections::default(); classes];
        Self { id, round_robin_order, turn_credit, slowness: 1.0, rejections, ..Self::default() }
    }

    /// A new process: the failures of its predecessor say nothing of it, nor do its connections. For its warm-up, `draw`
    /// is a random number from 0 to 1, and `least_cost` what the lightest requests cost.
    pub fn on_restart(&mut self, now: Time, random_fraction: f64, min_cost: f64) {
        self.breaker = CircuitBreaker::default();
        self.rejections.fill(ClassRejections::default());
        self.warm_up.restart(now, random_fraction, min_cost);
        self.slowness = 1.0;
        self.open_connections = self.connections_in_use();
        self.connection_limit = None;
    }

    /// Connections in use.
    pub fn connections_in_use(&self) -> u32 {
        self.in_flight + self.streaming_responses
    }

    /// Takes its turn in the round robin, if that is complete. A smaller or slower endpoint takes a fraction of the
    /// turns: a slow one that still answers would else be swamped before it is at its limit. A cold one has its
    /// budget instead.
    pub fn take_turn(&mut self, largest_capacity: f64, now: Time, settings: &Settings) -> bool {
        self.turn_credit += self.capacity / largest_capacity * self.slowness.max(1.0).powi(-2);
        let is_complete = self.turn_credit >= 1.0 - TURN_TOLERANCE;
        if is_complete {
            self.turn_credit -= 1.0;
        }
        is_complete || !self.warm_up.is_warm(now, settings)
    }

    /// Learns how long an attempt of a class took.
    pub fn learn_slowness(&mut self, class: &LatencyStatistics, elapsed: Duration) {
        if class.is_trusted() {
            self.slowness +=
                SLOWNESS_GAIN * (elapsed as f64 / class.mean - self.slowness).min(MAX_SLOWNESS_STEP);
        }
    }

    /// It has answered.
    pub fn on_answer(&mut self, now: Time) {
        self.answered_at = now;
    }

    /// Whether it has answered so lately that it must be alive.
    pub fn is_alive(&self, now: Time) -> bool {
        now < self.answered_at.saturating_add(ALIVE_WINDOW)
    }

    // ---- Connections ----

    /// Chooses the connection for a request, and gives how long it has been idle. Something between may have
    /// dropped it unseen: where requests on such connections fail and others don't, the idle ones are closed and a
    /// new one is opened. Guards against reapers of idle connections and restarts; costs a handshake.
    pub fn choose_connection(
        &mut self,
        risk: &IdleRisk,
        now: Time,
        idle_timeout: Duration,
        repeatable: bool,
        actions: &mut Vec<Action>,
    ) -> IdleTimeBucket {
        let idle_time = now.saturating_sub(self.idle_since);
        if self.has_no_idle_connection() || idle_time >= idle_timeout {
            self.open_connections = self.connections_in_use();
            return IdleTimeBucket::default();
        }
        let idle_bucket = IdleTimeBucket::of(idle_time);
        if !risk.should_replace(idle_bucket, now, repeatable) {
            return idle_bucket;
        }
        self.close_idle(actions);
        IdleTimeBucket::default()
    }

    /// Counts a connection for the request that was just sent.
    pub fn use_connection(&mut self) {
        self.open_connections = self.open_connections.max(self.connections_in_use());
    }

    /// A connection is idle again. Those of a burst would stay for long, and keep those of other balancers out.
    pub fn release_connection(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.idle_since = now;
        if self.open_connections > self.connections_in_use() + MAX_IDLE_CONNECTIONS {
            self.close_idle(actions);
        }
    }

    /// Closes the idle connections.
    pub fn close_idle(&mut self, actions: &mut Vec<Action>) {
        self.open_connections = self.connections_in_use();
        actions.push(Action::CloseIdle(self.id));
    }

    /// It answers, but took no further connection: it is at its limit with those it let us have.
    pub fn learn_connection_limit(&mut self, now: Time) {
        let connections = self.connections_in_use();
        self.open_connections = connections;
        self.connection_limit = Some(ConnectionLimit { connections, learned_at: now });
    }

    /// Whether a request would need a connection that the endpoint did not let us have lately. Guards against
    /// endpoints that accept fewer than usual: each attempt costs the whole time of a failed connection.
    pub fn is_at_connection_limit(&self, now: Time) -> bool {
        let Some(limit) = self.connection_limit else { return false };
        self.has_no_idle_connection() && u64::from(self.connections_in_use()) >= limit.allowed(now)
    }

    fn has_no_idle_connection(&self) -> bool {
        self.open_connections <= self.connections_in_use()
    }
}
