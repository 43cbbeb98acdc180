//! The connections to upstreams: idle ones, and room for new ones.

use crate::proxy::upstream::connection::Connection;
use crate::proxy::upstream::permit::{ConnectionPermit, SharedConnectionState};
use balancer::decision::EndpointId;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::time::{Duration, Instant};

/// An idle connection is dropped by this much, or by half its time, before its upstream may close it.
pub const IDLE_MARGIN: Duration = Duration::from_millis(500);

/// The connection that an attempt uses: an idle one, or a permit to open a new one.
pub enum ConnectionSource {
    Idle(Connection),
    New(ConnectionPermit),
}

/// Idle connections to endpoints; in each list the most recently used one is last.
pub struct IdlePool {
    pub keep: Duration,
    pub most: usize,
    pub shared: Arc<SharedConnectionState>,
    pub idle: HashMap<EndpointId, Vec<(Instant, Connection)>>,
}

impl IdlePool {
    /// Connections are kept for less than `limit`, and no more than `most` are open, idle or not.
    pub fn new(limit: Duration, most: usize) -> Self {
        let keep = limit - IDLE_MARGIN.min(limit / 2);
        Self { keep, most, shared: Arc::default(), idle: HashMap::new() }
    }

    /// Changes how many may be open, and closes idle ones that are too many then.
    pub fn set_max_open(&mut self, most: usize) {
        self.most = most;
        while self.shared.open.load(Ordering::Relaxed) > most && self.close_oldest() {}
    }

    /// What an attempt at an upstream goes on: the latest used connection that is sound, or a new one if there is room.
    pub fn acquire(&mut self, endpoint: EndpointId) -> Option<ConnectionSource> {
        while let Some((since, connection)) = self.idle.get_mut(&endpoint).and_then(Vec::pop) {
            if since.elapsed() < self.keep && connection.is_quiet() {
                return Some(ConnectionSource::Idle(connection));
            }
        }
        self.make_room().then(|| ConnectionSource::New(ConnectionPermit::acquire(&self.shared)))
    }

    /// Keeps a connection for the next attempt.
    pub fn release(&mut self, endpoint: EndpointId, connection: Connection) {
        self.idle.entry(endpoint).or_default().push((Instant::now(), connection));
    }

    /// Closes the idle connections to an upstream.
    pub fn close(&mut self, endpoint: EndpointId) {
        self.idle.remove(&endpoint);
    }

    /// Closes all idle connections.
    pub fn close_all(&mut self) {
        self.idle.clear();
    }

    /// Closes what has been idle for too long, or has ended.
    pub fn sweep(&mut self) {
        self.idle.retain(|_, idle| {
            idle.retain(|(since, connection)| since.elapsed() < self.keep && connection.is_quiet());
            !idle.is_empty()
        });
    }

    /// Whether one more connection may be opened, after closing the one idle for longest if need be.
    pub fn make_room(&mut self) -> bool {
        let full = |idle: &Self| idle.shared.open.load(Ordering::Relaxed) >= idle.most;
        if full(self) {
            self.close_oldest();
        }
        !full(self)
    }

    /// Closes the connection that has been idle for longest, if there is one.
    pub fn close_oldest(&mut self) -> bool {
        let oldest = self.idle.iter().filter_map(|(endpoint, idle)| Some((idle.first()?.0, *endpoint))).min();
        let idle = oldest.and_then(|(_, endpoint)| self.idle.get_mut(&endpoint));
        idle.map(|idle| idle.remove(0)).is_some()
    }
}
