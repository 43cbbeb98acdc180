//! The downstream side: accepts client connections, reads and validates requests, and writes responses.

mod admission;
mod arrival;
mod client;
mod client_task;
pub mod closing;
pub mod connection;
mod draining;
mod guards;
mod request_framing;
mod request_head;
mod requests;
mod responses;
mod serving;
mod timing;

use crate::config::Config;
use crate::proxy::body::memory::MemoryBudget;
use crate::proxy::downstream::client::ClientHandle;
use crate::proxy::messages::DispatcherMessage;
use crate::proxy::metrics::Counters;
use crate::proxy::request_ids::RequestIds;
use crate::proxy::shutdown_schedule::{ShutdownReceiver, wait_for_shutdown};
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64};
use std::sync::{Arc, Mutex};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep_until};

/// Number of consecutive failures to accept after which a shortage of descriptors or memory counts as persistent. With
/// the pauses between them, that is after about 0.2 s. Failures are counted rather than timed, as the process itself
/// may have been stalled.
const PERSISTENT_SHORTAGE_FAILURES: u32 = 8;

/// The state that all client connections share.
pub struct DownstreamServer {
    /// The configuration of this process.
    pub config: Arc<Config>,
    /// The sender of messages to the dispatcher.
    pub dispatcher_sender: UnboundedSender<DispatcherMessage>,
    /// Whether the balancer is ready to serve, as reported by health checks.
    pub ready: watch::Receiver<bool>,
    /// Turns true once the first request to discovery has succeeded or failed, or at once where discovery is polled.
    /// Before that, no request is dispatched.
    pub discovery_attempted: watch::Receiver<bool>,
    /// The request counters.
    pub counters: Arc<Counters>,
    /// The id for the next request.
    pub next_request_id: AtomicU32,
    /// The id for the next client connection.
    pub next_client_id: AtomicU64,
    /// The client connections by their ids.
    pub clients: Mutex<HashMap<u64, Arc<ClientHandle>>>,
    /// The ids that clients gave their requests, the values of X-Call-Id.
    pub request_ids: Arc<RequestIds>,
    /// The memory budget that connections, streams and buffered bodies count towards.
    pub memory: Arc<MemoryBudget>,
    /// Notified when a client connection is closed.
    pub client_closed: Notify,
    /// The process is being replaced or stopped: each connection is closed after its next response.
    pub draining: AtomicBool,
    /// The schedule of the shutdown, once a stop is requested.
    pub shutdown: ShutdownReceiver,
    /// The process is shutting down: each open request gets a response at once.
    pub shutting_down: AtomicBool,
}

/// What other tasks signal to the server.
pub struct ServerSignals {
    /// See [`DownstreamServer::ready`].
    pub ready: watch::Receiver<bool>,
    /// See [`DownstreamServer::discovery_attempted`].
    pub discovery_attempted: watch::Receiver<bool>,
    /// See [`DownstreamServer::shutdown`].
    pub shutdown: ShutdownReceiver,
}

impl DownstreamServer {
    /// Creates a server that hands its requests to the dispatcher.
    pub fn new(
        config: Arc<Config>,
        dispatcher_sender: UnboundedSender<DispatcherMessage>,
        signals: ServerSignals,
        counters: Arc<Counters>,
        memory: Arc<MemoryBudget>,
        request_ids: Arc<RequestIds>,
    ) -> Self {
        Self {
            config,
            dispatcher_sender,
            ready: signals.ready,
            discovery_attempted: signals.discovery_attempted,
            shutdown: signals.shutdown,
            counters,
            next_request_id: AtomicU32::new(0),
            next_client_id: AtomicU64::new(0),
            clients: Mutex::default(),
            request_ids,
            memory,
            client_closed: Notify::new(),
            draining: AtomicBool::new(false),
            shutting_down: AtomicBool::new(false),
        }
    }

    /// Waits until `discovery_attempted` is true.
    async fn wait_for_discovery_attempt(&self) {
        self.discovery_attempted.clone().wait_for(|discovery_attempted| *discovery_attempted).await.ok();
    }

    /// Waits until requests are rejected.
    async fn wait_until_rejecting(&self) {
        sleep_until(wait_for_shutdown(self.shutdown.clone()).await.reject_at).await;
    }

    /// Whether requests are rejected, as they might not be answered before the process is killed.
    fn is_rejecting(&self) -> bool {
        self.shutdown.borrow().is_some_and(|schedule| Instant::now() >= schedule.reject_at)
    }
}
