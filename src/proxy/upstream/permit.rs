//! Permits for upstream connections. Each permit counts its connection in the state that all connections share.

use crate::proxy::body::memory::{MemoryBudget, MemoryPermit, UPSTREAM_CONNECTION_BYTES};
use crate::proxy::upstream::connect::Reachability;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// State shared by all upstream connections.
pub struct SharedConnectionState {
    /// Number of connections that are open or being established.
    pub open: AtomicUsize,
    /// Which upstreams were reached last.
    pub reachability: Reachability,
    /// The memory budget that the connections count towards.
    pub memory: Arc<MemoryBudget>,
}

impl SharedConnectionState {
    /// Creates the state of no connections.
    pub fn new(memory: Arc<MemoryBudget>) -> Arc<Self> {
        Arc::new(Self { open: AtomicUsize::new(0), reachability: Reachability::default(), memory })
    }
}

/// A permit for one connection, open or being established. Dropping it releases the permit.
pub struct ConnectionPermit {
    /// The state that counts the connection.
    pub shared: Arc<SharedConnectionState>,
    _memory_permit: MemoryPermit,
}

impl ConnectionPermit {
    /// Counts one more connection. Does not check the limit, which is up to the pool.
    pub fn acquire(shared: &Arc<SharedConnectionState>) -> Self {
        shared.open.fetch_add(1, Ordering::Relaxed);
        let memory_permit = shared.memory.reserve_connection(UPSTREAM_CONNECTION_BYTES);
        Self { shared: shared.clone(), _memory_permit: memory_permit }
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.shared.open.fetch_sub(1, Ordering::Relaxed);
    }
}
