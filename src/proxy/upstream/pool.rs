//! The pool of idle upstream connections, and the limit on the number of open connections.

use crate::proxy::body::memory::MemoryBudget;
use crate::proxy::upstream::connection::Connection;
use crate::proxy::upstream::permit::{ConnectionPermit, SharedConnectionState};
use balancer::decision::EndpointId;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::time::{Duration, Instant};

/// How long before the upstream's idle timeout a connection is closed here; at most half of that timeout.
pub const IDLE_MARGIN: Duration = Duration::from_millis(500);

/// Where an attempt gets its connection from.
pub enum ConnectionSource {
    /// An idle connection from the pool.
    Idle(Connection),
    /// A permit to open a new connection.
    New(ConnectionPermit),
}

/// Idle connections by endpoint.
pub struct IdlePool {
    /// How long a connection may be idle and still be reused.
    pub max_idle_time: Duration,
    /// Maximum number of open connections, idle or not.
    pub max_open: usize,
    /// The number of open connections, and which upstreams were reached last.
    pub shared: Arc<SharedConnectionState>,
    /// The connections and when they became idle, the most recently used one last.
    pub idle: HashMap<EndpointId, Vec<(Instant, Connection)>>,
}

impl IdlePool {
    /// Creates a pool for upstreams that close idle connections after `idle_timeout`. At most `max_open` connections
    /// are open, idle or not, and count towards `memory`.
    pub fn new(idle_timeout: Duration, max_open: usize, memory: Arc<MemoryBudget>) -> Self {
        let max_idle_time = idle_timeout - IDLE_MARGIN.min(idle_timeout / 2);
        Self { max_idle_time, max_open, shared: SharedConnectionState::new(memory), idle: HashMap::new() }
    }

    /// Changes the maximum number of open connections. While it is exceeded, closes the connections idle for longest.
    pub fn set_max_open(&mut self, max_open: usize) {
        self.max_open = max_open;
        while self.shared.open.load(Ordering::Relaxed) > max_open && self.close_oldest() {}
    }

    /// Returns the connection for an attempt: the most recently used idle one that is still usable, or a permit for a
    /// new one. `None` if the limit is reached even after closing the connection idle for longest.
    pub fn acquire(&mut self, endpoint: EndpointId) -> Option<ConnectionSource> {
        while let Some((idle_since, connection)) = self.idle.get_mut(&endpoint).and_then(Vec::pop) {
            if idle_since.elapsed() < self.max_idle_time && connection.is_usable() {
                return Some(ConnectionSource::Idle(connection));
            }
        }
        self.make_room().then(|| ConnectionSource::New(ConnectionPermit::acquire(&self.shared)))
    }

    /// Returns a connection to the pool for reuse.
    pub fn release(&mut self, endpoint: EndpointId, connection: Connection) {
        self.idle.entry(endpoint).or_default().push((Instant::now(), connection));
    }

    /// Closes the idle connections to an endpoint.
    pub fn close(&mut self, endpoint: EndpointId) {
        self.idle.remove(&endpoint);
    }

    /// Closes all idle connections.
    pub fn close_all(&mut self) {
        self.idle.clear();
    }

    /// Closes connections that have been idle for too long or were closed by the upstream.
    pub fn sweep(&mut self) {
        self.idle.retain(|_, idle| {
            idle.retain(|(idle_since, connection)| {
                idle_since.elapsed() < self.max_idle_time && connection.is_usable()
            });
            !idle.is_empty()
        });
    }

    /// Whether one more connection may be opened. At the limit, the connection idle for longest is closed first.
    pub fn make_room(&mut self) -> bool {
        let is_full = |pool: &Self| {
            pool.shared.open.load(Ordering::Relaxed) >= pool.max_open
                || !pool.shared.memory.may_open_upstream_connection()
        };
        if is_full(self) {
            self.close_oldest();
        }
        if is_full(self) {
            self.shared.memory.refuse_waiting_streams(); // a response that waits keeps its connection
        }
        !is_full(self)
    }

    /// Closes the connection that has been idle for longest. Returns whether there was one.
    pub fn close_oldest(&mut self) -> bool {
        let oldest = self.idle.iter().filter_map(|(endpoint, idle)| Some((idle.first()?.0, *endpoint))).min();
        let idle = oldest.and_then(|(_, endpoint)| self.idle.get_mut(&endpoint));
        idle.map(|idle| idle.remove(0)).is_some()
    }
}
