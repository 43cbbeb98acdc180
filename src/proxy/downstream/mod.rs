//! The callers' side: takes connections, reads and checks requests, writes answers.

mod admission;
mod client;
mod client_task;
pub mod closing;
pub mod connection;
mod draining;
mod guards;
mod request_framing;
mod requests;
mod responses;
mod serving;
mod timing;

use crate::config::Config;
use crate::proxy::body::memory::BodyMemory;
use crate::proxy::downstream::client::ClientHandle;
use crate::proxy::messages::DispatcherMessage;
use crate::proxy::metrics::Counters;
use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64};
use std::sync::{Arc, Mutex};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{Notify, watch};

/// Failures in a row, some 0.2 s with their pauses, after which a lack of descriptors is no matter of a moment. They
/// are counted and not timed: the process may have been held up itself.
const PERSISTENT_SHORTAGE_FAILURES: u32 = 8;

/// The state that all client connections share.
pub struct DownstreamServer {
    pub config: Arc<Config>,
    pub dispatcher: UnboundedSender<DispatcherMessage>,
    pub ready: watch::Receiver<bool>,
    /// Whether the first list has been told: before that, nothing is sent on.
    pub first_list_received: watch::Receiver<bool>,
    pub counters: Arc<Counters>,
    pub next_request_id: AtomicU32,
    pub next_client_id: AtomicU64,
    pub clients: Mutex<HashMap<u64, Arc<ClientHandle>>>,
    /// The callers' own ids of the requests that are open.
    pub open_request_ids: Arc<Mutex<HashSet<String>>>,
    /// What bodies may hold of the memory.
    pub body_memory: Arc<BodyMemory>,
    /// A caller's connection has ended.
    pub client_closed: Notify,
    /// Another process takes the new connections, or nobody does: each answer is the last on its own.
    pub draining: AtomicBool,
    /// The answer to what comes now might come too late: it is refused.
    pub rejecting: AtomicBool,
    /// The process ends: whatever is open is answered now.
    pub shutting_down: AtomicBool,
}

impl DownstreamServer {
    /// Creates a server that passes its requests to the dispatcher.
    pub fn new(
        config: Arc<Config>,
        dispatcher: UnboundedSender<DispatcherMessage>,
        (ready, first_list_received): (watch::Receiver<bool>, watch::Receiver<bool>),
        counters: Arc<Counters>,
        body_memory: Arc<BodyMemory>,
    ) -> Self {
        Self {
            config,
            dispatcher,
            ready,
            first_list_received,
            counters,
            next_request_id: AtomicU32::new(0),
            next_client_id: AtomicU64::new(0),
            clients: Mutex::default(),
            open_request_ids: Arc::default(),
            body_memory,
            client_closed: Notify::new(),
            draining: AtomicBool::new(false),
            rejecting: AtomicBool::new(false),
            shutting_down: AtomicBool::new(false),
        }
    }

    /// Waits until the first list is told.
    async fn wait_for_first_list(&self) {
        self.first_list_received.clone().wait_for(|first_list_received| *first_list_received).await.ok();
    }
}
