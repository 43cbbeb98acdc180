//! The state of one endpoint: its requests in flight, connections, latency and breaker.

use super::action::Action;
use super::circuit_breaker::CircuitBreaker;
use super::event::{Duration, EndpointId, SECOND, Time};
use super::idle_connections::{ConnectionLimit, IdleRisk, IdleTimeBucket, MAX_IDLE_CONNECTIONS};
use super::rejections::ClassRejections;
use super::settings::Settings;
use super::slow_start::WarmUp;
use super::statistics::LatencyStatistics;

/// Smoothing factor of an endpoint's slowness: large, as a balancer with few requests sends few per second to
/// each endpoint.
const SLOWNESS_GAIN: f64 = 0.3;
/// Largest amount by which one attempt may raise the slowness, before smoothing.
const MAX_SLOWNESS_STEP: f64 = 4.0;
/// An endpoint that responded successfully within this time is alive: a connection that fails then exceeds
/// its connection limit.
const ALIVE_WINDOW: Duration = SECOND;
/// Rounding error within which a turn counts as complete.
const TURN_TOLERANCE: f64 = 1e-9;

/// One endpoint, and what has been learned about it.
#[derive(Debug, Default)]
pub(crate) struct Endpoint {
    pub id: EndpointId,
    pub zone: usize,
    pub cell: u16,
    /// Listed as in service.
    pub listed_in_service: bool,
    /// Gets requests: listed as in service, and not taken offline by an operator.
    pub in_service: bool,
    /// No longer listed; forgotten once nothing refers to it.
    pub removed: bool,
    /// Capacity relative to that of other endpoints.
    pub capacity: f64,
    /// Sort key in the round robin.
    pub round_robin_order: u64,
    /// Accumulated fraction of a turn in the round robin.
    turn_credit: f64,
    pub warm_up: WarmUp,
    pub in_flight: u32,
    /// Responses that are being streamed. Each occupies a connection, but its work at the endpoint is done.
    pub streaming_responses: u32,
    /// Recent rejections and errors, by request class.
    pub rejections: Vec<ClassRejections>,
    connection_limit: Option<ConnectionLimit>,
    /// This balancer's connections to the endpoint, in use or idle.
    open_connections: u32,
    /// When an attempt last ended and left its connection idle.
    idle_since: Time,
    /// When the endpoint last responded successfully.
    last_response_at: Time,
    /// Exponentially weighted moving average of the latency of attempts, as a multiple of the mean of their
    /// class.
    slowness: f64,
    pub breaker: CircuitBreaker,
}

impl Endpoint {
    /// Creates an endpoint without any history.
    pub fn new(id: EndpointId, round_robin_order: u64, turn_credit: f64, classes: usize) -> Self {
        let rejections = vec![ClassRejections::default(); classes];
        Self { id, round_robin_order, turn_credit, slowness: 1.0, rejections, ..Self::default() }
    }

    /// Resets the state for a new process or an endpoint brought back online, to which earlier failures and
    /// connections don't apply. The slow-start budget begins at `random_fraction`, from 0 to 1, of `min_cost`, the
    /// cost of a request of the lightest class.
    pub fn on_restart(&mut self, now: Time, random_fraction: f64, min_cost: f64) {
        self.breaker = CircuitBreaker::default();
        self.rejections.fill(ClassRejections::default());
        self.warm_up.restart(now, random_fraction, min_cost);
        self.slowness = 1.0;
        self.open_connections = self.connections_in_use();
        self.connection_limit = None;
    }

    /// Number of connections in use.
    pub fn connections_in_use(&self) -> u32 {
        self.in_flight + self.streaming_responses
    }

    /// Adds to the turn credit, and takes a turn in the round robin if the credit is complete. A smaller or
    /// slower endpoint takes a fraction of the turns; otherwise a slow one that still responds would be
    /// overloaded before it reaches its in-flight limit. A cold endpoint is limited by its slow-start budget
    /// instead.
    pub fn take_turn(&mut self, largest_capacity: f64, now: Time, settings: &Settings) -> bool {
        self.turn_credit += self.capacity / largest_capacity * self.slowness.max(1.0).powi(-2);
        let is_complete = self.turn_credit >= 1.0 - TURN_TOLERANCE;
        if is_complete {
            self.turn_credit -= 1.0;
        }
        is_complete || !self.warm_up.is_warm(now, settings)
    }

    /// Updates the slowness with the latency of an attempt of a class.
    pub fn learn_slowness(&mut self, class_latency: &LatencyStatistics, elapsed: Duration) {
        if class_latency.is_trusted() {
            self.slowness +=
                SLOWNESS_GAIN * (elapsed as f64 / class_latency.mean - self.slowness).min(MAX_SLOWNESS_STEP);
        }
    }

    /// Records a successful response.
    pub fn on_response(&mut self, now: Time) {
        self.last_response_at = now;
    }

    /// Whether the endpoint responded so recently that it must be alive.
    pub fn is_alive(&self, now: Time) -> bool {
        now < self.last_response_at.saturating_add(ALIVE_WINDOW)
    }

    // ---- Connections ----

    /// Chooses the connection for a request, and returns how long it has been idle. Something on the path
    /// may have dropped an idle connection silently: where requests on such connections fail and others
    /// don't, the idle ones are closed and a new one is opened. This guards against reapers of idle connections
    /// and restarts, at the cost of a handshake.
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

    /// Counts the connection of the request that was just sent.
    pub fn use_connection(&mut self) {
        self.open_connections = self.open_connections.max(self.connections_in_use());
    }

    /// Records that a connection is idle again, and closes the idle ones if they are more than
    /// [`MAX_IDLE_CONNECTIONS`]: those of a burst would stay open for long and keep out those of other
    /// balancers.
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

    /// Sets the connection limit of an endpoint that responds but refused a further connection: those now in
    /// use.
    pub fn learn_connection_limit(&mut self, now: Time) {
        let connections = self.connections_in_use();
        self.open_connections = connections;
        self.connection_limit = Some(ConnectionLimit { connections, learned_at: now });
    }

    /// Whether a request would need a connection beyond the learned limit. This guards against endpoints
    /// that accept fewer connections than usual, where each attempt would take the whole time of a failed
    /// connection.
    pub fn is_at_connection_limit(&self, now: Time) -> bool {
        let Some(limit) = self.connection_limit else { return false };
        self.has_no_idle_connection() && u64::from(self.connections_in_use()) >= limit.allowed(now)
    }

    fn has_no_idle_connection(&self) -> bool {
        self.open_connections <= self.connections_in_use()
    }
}
