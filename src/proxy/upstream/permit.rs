//! Permits for upstream connections. Each permit counts its connection in the state that all connections share.

use crate::proxy::upstream::connect::Reachability;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// State shared by all upstream connections.
#[derive(Default)]
pub struct SharedConnectionState {
    /// Number of connections that are open or being established.
    pub open: AtomicUsize,
    /// Which upstreams were reached last.
    pub reachability: Reachability,
}

/// A permit for one connection, open or being established. Dropping it releases the permit.
pub struct ConnectionPermit(pub Arc<SharedConnectionState>);

impl ConnectionPermit {
    /// Counts one more connection. Does not check the limit, which is up to the pool.
    pub fn acquire(shared: &Arc<SharedConnectionState>) -> Self {
        shared.open.fetch_add(1, Ordering::Relaxed);
        Self(shared.clone())
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}
