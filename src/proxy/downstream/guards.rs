//! What a request holds and gives back when it is dropped.

use crate::proxy::body::memory::MemoryPermit;
use crate::proxy::downstream::request_framing::Seen;
use crate::proxy::messages::DispatcherMessage;
use crate::proxy::metrics::InFlightGuard;
use crate::proxy::sync::lock;
use balancer::decision::RequestId;
use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use tokio::sync::mpsc::UnboundedSender;

/// Tells the driver that a caller has gone, unless it got its answer.
pub struct Owed<'a>(pub Option<RequestId>, pub &'a UnboundedSender<DispatcherMessage>);

impl Drop for Owed<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.0 {
            self.1.send(DispatcherMessage::ClientDisconnected(id)).ok();
        }
    }
}

/// The name of an open request. Guards against a second one under it: upstreams and callers could not tell
/// their answers apart.
pub struct Named(pub Arc<Mutex<HashSet<String>>>, pub String);

impl Named {
    pub fn take(open: &Arc<Mutex<HashSet<String>>>, name: String) -> Option<Self> {
        lock(open).insert(name.clone()).then(|| Self(open.clone(), name))
    }
}

impl Drop for Named {
    fn drop(&mut self) {
        lock(&self.0).remove(&self.1);
    }
}

/// What a request holds until its answer is over.
pub struct Held {
    /// Its connection, where its answer goes on after it has begun.
    pub seen: Option<Arc<Mutex<Seen>>>,
    pub _in_flight: Option<InFlightGuard>,
    pub _named: Named,
    pub _memory_permit: MemoryPermit,
}

impl Drop for Held {
    fn drop(&mut self) {
        if let Some(seen) = &self.seen {
            lock(seen).answered(true);
        }
    }
}
