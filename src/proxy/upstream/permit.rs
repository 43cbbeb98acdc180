//! Permits for connections to upstreams: each counts until it is dropped.

use crate::proxy::upstream::connect::Reachability;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// What all connections to upstreams share.
#[derive(Default)]
pub struct Links {
    /// How many are open, or coming up.
    pub open: AtomicUsize,
    pub reachability: Reachability,
}

/// A connection that is open, or coming up; it counts until this is dropped.
pub struct Slot(pub Arc<Links>);

impl Slot {
    pub fn take(links: &Arc<Links>) -> Self {
        links.open.fetch_add(1, Ordering::Relaxed);
        Self(links.clone())
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}
