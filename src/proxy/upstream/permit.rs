//! Permits that count upstream connections and share the state that all of them have in common.

use crate::proxy::upstream::connect::Reachability;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// State shared by all upstream connections: their number, and which peers they reached last.
#[derive(Default)]
pub struct SharedConnectionState {
    /// Number of connections that are open or being established.
    pub open: AtomicUsize,
    pub reachability: Reachability,
}

/// A permit for one connection, open or being established. Dropping it releases the permit.
pub struct ConnectionPermit(pub Arc<SharedConnectionState>);

impl ConnectionPermit {
    /// Counts one more connection. The caller checks the limit.
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
