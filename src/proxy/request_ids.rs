//! The ids of client requests that are open or may have run. A request whose id is known is not sent again, whether its
//! client has left, or comes again at the other process of a replacement.

mod id_hash;
mod shared_table;

pub use shared_table::SharedTable;

use crate::proxy::sync::lock;
use id_hash::IdHash;
use std::collections::{HashSet, VecDeque};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

/// The ids of finished requests may use the memory limit divided by this.
const MEMORY_SHARE_DIVISOR: usize = 64;
/// Maximum length of the part of an id that is logged, in characters.
const MAX_LOGGED_LENGTH: usize = 40;
/// Memory of the id of a finished request, in bytes: in the set and in the queue.
const FINISHED_ID_BYTES: usize = 32;

/// The ids that are known to this process, and to the other process of a replacement.
pub struct RequestIds {
    known: Mutex<KnownIds>,
    /// The ids of all processes of this balancer; `None` if there is only one.
    shared: Option<SharedTable>,
}

/// The ids that are known to this process.
struct KnownIds {
    /// The ids of requests that are open or may have run.
    ids: HashSet<IdHash>,
    /// The ids of finished requests that may have run, the latest one last.
    finished: VecDeque<IdHash>,
    /// Maximum number of ids in `finished`.
    max_finished: usize,
}

impl RequestIds {
    /// Creates an empty set for a process with this memory limit, in bytes.
    pub fn new(memory_limit: usize, shared: Option<SharedTable>) -> Arc<Self> {
        let max_finished = memory_limit / MEMORY_SHARE_DIVISOR / FINISHED_ID_BYTES;
        let known = KnownIds { ids: HashSet::new(), finished: VecDeque::new(), max_finished };
        Arc::new(Self { known: Mutex::new(known), shared })
    }

    /// Claims the id of a request, or returns `None` if a request with this id is open or may have run.
    pub fn claim(self: &Arc<Self>, id: &str) -> Option<RequestIdGuard> {
        let hash = IdHash::new(id);
        if !lock(&self.known).ids.insert(hash) {
            return None;
        }
        let may_have_run = AtomicBool::new(false);
        let text = id.chars().take(MAX_LOGGED_LENGTH).collect();
        let guard = RequestIdGuard { ids: self.clone(), text, hash, may_have_run };
        let is_free = self.shared.as_ref().is_none_or(|shared| shared.claim(hash));
        is_free.then_some(guard)
    }

    /// Ends the claim of an id. The id of a request that may have run stays known.
    fn release(&self, id: IdHash, may_have_run: bool) {
        let mut known = lock(&self.known);
        if may_have_run {
            known.finish(id);
            return;
        }
        known.ids.remove(&id);
        if let Some(shared) = &self.shared {
            shared.release(id);
        }
    }
}

impl KnownIds {
    /// Keeps the id of a finished request, and forgets the oldest one if there are too many.
    fn finish(&mut self, id: IdHash) {
        self.finished.push_back(id);
        if self.finished.len() > self.max_finished
            && let Some(oldest) = self.finished.pop_front()
        {
            self.ids.remove(&oldest);
        }
    }
}

/// The claim of a request's id. Held for as long as the request may still be sent or is being sent.
pub struct RequestIdGuard {
    ids: Arc<RequestIds>,
    /// The start of the id as its client gave it, for the log.
    text: Box<str>,
    hash: IdHash,
    may_have_run: AtomicBool,
}

impl RequestIdGuard {
    /// The start of the id as its client gave it.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Records that the request may have run at an upstream.
    pub fn mark_may_have_run(&self) {
        self.may_have_run.store(true, Ordering::Relaxed);
    }
}

impl Drop for RequestIdGuard {
    fn drop(&mut self) {
        self.ids.release(self.hash, self.may_have_run.load(Ordering::Relaxed));
    }
}

#[cfg(test)]
mod tests;
