//! Permits for connections to upstreams: each counts until it is dropped.

use crate::proxy::upstream::connect::Reachability;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The number of open upstream connections, and what they show of the network's state.
#[derive(Default)]
pub struct SharedConnectionState {
    /// How many are open, or coming up.
    pub open: AtomicUsize,
    pub reachability: Reachability,
}

/// A permit for one connection, open or being established; it counts until it is dropped.
pub struct ConnectionPermit(pub Arc<SharedConnectionState>);

impl ConnectionPermit {
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
