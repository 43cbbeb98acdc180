//! The dispatcher: owns the decision module, passes events to it and carries out its actions. The decision module
//! chooses endpoints, retries and rejections. The dispatcher refuses attempts that can no longer be sent, and fails
//! requests that the decision module has left open past their deadline.

mod actions;
mod attempts;
mod endpoint_list;
mod load_queries;
mod operators;
mod requests;
mod timers;
mod withdrawn;

use crate::config::Config;
use crate::config::endpoint_listing::Listing;
use crate::proxy::body::memory::MemoryBudget;
use crate::proxy::body::request_body::RequestBody;
use crate::proxy::clock::Clock;
use crate::proxy::downstream::connection::ClientLiveness;
use crate::proxy::messages::{DispatcherMessage, FinalResponse};
use crate::proxy::metrics::{self, Counters};
use crate::proxy::minimum_rate::PauseHistory;
use crate::proxy::orders::OfflineList;
use crate::proxy::request_ids::RequestIdGuard;
use crate::proxy::shared_folder::{FolderState, SharedFolder};
use crate::proxy::shutdown_schedule::ShutdownReceiver;
use crate::proxy::start_times::{ListOrigin, StartTimes};
use crate::proxy::upstream::pool::IdlePool;
use crate::proxy::withdrawn_endpoints::WithdrawnEndpoints;
use balancer::decision::LoadBalancer;
use balancer::decision::{Action, AttemptEnd, EndpointId, Event, LoadReport, RequestId, Time};
use hyper::Request;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::{oneshot, watch};
use tokio::time::{Instant, sleep_until};

/// How long after a request's deadline its deadline guard expires, in nanoseconds. The guard is a timer of the
/// dispatcher, which fails the request if it has no response by then. The decision module should have ended the request
/// long before.
const DEADLINE_GUARD_DELAY: Time = 25_000_000;

/// Interval at which idle connections are checked and both clocks are read, in nanoseconds.
const IDLE_SWEEP_INTERVAL: Time = 500_000_000;

/// Interval at which the shared folder is checked and the host counts are updated, in nanoseconds.
const SHARED_FOLDER_CHECK_INTERVAL: Time = 100_000_000;

/// Maximum number of removed endpoints whose uids are kept, so that orders about them are not rejected as unknown.
const MAX_REMOVED_UIDS: usize = 1024;

/// Time after which a load query is abandoned.
const LOAD_QUERY_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum number of messages that are handled in a row before due timers are run.
const MAX_MESSAGES_PER_TURN: usize = 32;

/// A request that has no response yet, or has attempts in flight.
struct PendingRequest {
    /// The claim of the id that the client gave the request.
    request_id_guard: Arc<RequestIdGuard>,
    request: Request<RequestBody>,
    client: ClientLiveness,
    class: usize,
    /// When the request times out; `None` while its body is still being received, as its time runs from the last byte.
    request_deadline: Option<Time>,
    /// When the client stops waiting, as known when the request was accepted: the same as `request_deadline`, or, if
    /// the body was still being received, counted from the end of its buffered part.
    client_deadline: Time,
    /// When the request was received completely; `None` while its body is still being received. The time limit of
    /// attempts that started earlier is counted from then on.
    received_at: watch::Sender<Option<Instant>>,
    /// Where the final response is sent; `None` once it is sent or the client has disconnected.
    response_sender: Option<oneshot::Sender<FinalResponse>>,
    /// The number of attempts so far, including those that could not be sent.
    attempts: u32,
    attempts_in_flight: Vec<AttemptInFlight>,
}

/// An attempt that has not ended.
struct AttemptInFlight {
    number: u32,
    endpoint: EndpointId,
    /// The process that the attempt is sent to.
    upstream: Upstream,
    started_at: Time,
    /// Set once the response is streamed to the client: the outcome that the request is counted with if the response
    /// completes, and the load report in the head of the response.
    started_response: Option<(metrics::RequestOutcome, Option<LoadReport>)>,
    /// Set right before the first byte of the request is written. Until then, the attempt can be cancelled as never
    /// sent.
    write_started: Arc<AtomicBool>,
    /// Dropping this sender cancels the attempt.
    cancel_sender: Option<oneshot::Sender<()>>,
}

impl AttemptInFlight {
    /// Cancels the attempt unless a part of the request may have been written.
    fn cancel_if_unwritten(&mut self) {
        if !self.write_started.load(Ordering::Relaxed) {
            self.cancel_sender = None;
        }
    }
}

/// What is due when a timer fires.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    /// A timer of the decision module, with its token.
    Decision(u64),
    /// Check idle connections and record the clocks.
    IdleSweep,
    /// Check the shared folder.
    SharedFolderCheck,
}

/// The end of an attempt that was not sent, queued until the decision module has handled the current event.
type QueuedAttemptEnd = (RequestId, AttemptEnd);

/// The task that owns the decision module.
pub struct Dispatcher {
    config: Arc<Config>,
    balancer: LoadBalancer,
    clock: Clock,
    /// The sender of messages to this dispatcher, for the tasks that it spawns.
    dispatcher_sender: UnboundedSender<DispatcherMessage>,
    /// Asks discovery to watch the endpoint list.
    watch_request_sender: UnboundedSender<()>,
    /// Set to true once an endpoint is in service.
    ready_sender: watch::Sender<bool>,
    counters: Arc<Counters>,
    /// The folder shared with the process before or after this one.
    shared_folder: Option<SharedFolder>,
    /// The endpoints that operators have taken offline.
    offline: OfflineList,
    /// Whether another process of this balancer may serve at the same time.
    overlapping: bool,
    /// The uids of endpoints that are no longer listed, the most recently removed last.
    removed_uids: VecDeque<String>,
    /// When the listed and the recently removed endpoints started.
    start_times: StartTimes,
    requests: HashMap<RequestId, PendingRequest>,
    /// The ids of endpoints that are listed or in the offline list, by uid.
    endpoint_ids: HashMap<String, EndpointId>,
    /// The last id that was assigned; ids are never reused.
    last_endpoint_id: u32,
    /// The latest list that was applied.
    applied_list: AppliedList,
    /// The endpoints that get no new requests, for a process that starts beside this one.
    withdrawn: Option<Arc<WithdrawnEndpoints>>,
    /// The listed endpoints.
    endpoints: HashMap<EndpointId, Upstream>,
    /// How the pauses within the responses of listed endpoints ended.
    response_pauses: HashMap<EndpointId, Arc<PauseHistory>>,
    idle_pool: IdlePool,
    memory: Arc<MemoryBudget>,
    /// The schedule of the shutdown, once a stop is requested.
    shutdown: ShutdownReceiver,
    timers: BinaryHeap<Reverse<(Time, Timer)>>,
    /// The deadline guards of the requests that have no response yet, by the time at which each guard expires.
    deadline_guards: BTreeSet<(Time, RequestId)>,
    /// An empty buffer for the decision module's actions, kept to reuse its allocation.
    actions: Vec<Action>,
    /// Ends of attempts that were not sent, of which the decision module has not been notified yet.
    queued_attempt_ends: VecDeque<QueuedAttemptEnd>,
}

/// The latest list that was applied.
#[derive(Clone, Copy)]
struct AppliedList {
    /// The address of the discovery service that it is from.
    discovery: SocketAddr,
    revision: u64,
    /// It is the configured one, to which discovery has added nothing.
    is_configured: bool,
}

/// The process behind an endpoint, as the endpoint list describes it.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Upstream {
    /// `None` if the listed address is invalid.
    address: Option<SocketAddr>,
    /// The start of the process, in milliseconds of Unix time.
    boot_ms: u64,
    /// Whether the process accepts new requests.
    in_service: bool,
}

impl Dispatcher {
    /// Creates a dispatcher that starts with the configured endpoint list. `ready_sender` is set to true once an
    /// endpoint is in service.
    pub fn new(
        config: Arc<Config>,
        dispatcher_sender: UnboundedSender<DispatcherMessage>,
        watch_request_sender: UnboundedSender<()>,
        ready_sender: watch::Sender<bool>,
        (counters, memory): (Arc<Counters>, Arc<MemoryBudget>),
        shared_folder: Option<(SharedFolder, FolderState)>,
        shutdown: ShutdownReceiver,
    ) -> Result<Self, String> {
        let clock = Clock::new();
        let balancer = LoadBalancer::new(config.settings.clone(), config.seed, clock.now())
            .map_err(|error| format!("settings: {error}"))?;
        let idle_pool = IdlePool::new(
            Duration::from_nanos(config.settings.idle_timeout),
            config.limits.upstreams,
            memory.clone(),
        );
        let (shared_folder, folder_state) = shared_folder.unzip();
        let mut dispatcher = Self {
            balancer,
            clock,
            dispatcher_sender,
            watch_request_sender,
            ready_sender,
            counters,
            shared_folder,
            offline: OfflineList::new(),
            overlapping: false,
            removed_uids: VecDeque::new(),
            start_times: StartTimes::default(),
            requests: HashMap::new(),
            endpoint_ids: HashMap::new(),
            last_endpoint_id: 0,
            applied_list: AppliedList {
                discovery: config.discovery,
                revision: config.known.rev,
                is_configured: true,
            },
            withdrawn: None,
            endpoints: HashMap::new(),
            response_pauses: HashMap::new(),
            idle_pool,
            memory,
            shutdown,
            timers: BinaryHeap::new(),
            deadline_guards: BTreeSet::new(),
            actions: Vec::new(),
            queued_attempt_ends: VecDeque::new(),
            config,
        };
        let mut withdrawn_elsewhere = Vec::new();
        if let Some(mut state) = folder_state {
            withdrawn_elsewhere = std::mem::take(&mut state.withdrawn);
            dispatcher.on_folder_state(state); // the offline list must be known before anything is sent
        }
        let known = Listing { all: true, ..dispatcher.config.known.clone() };
        dispatcher.on_endpoint_list(known, ListOrigin::Configuration);
        dispatcher.apply_withdrawn(&withdrawn_elsewhere);
        dispatcher.set_timer(IDLE_SWEEP_INTERVAL, Timer::IdleSweep);
        if dispatcher.shared_folder.is_some() {
            dispatcher.set_timer(SHARED_FOLDER_CHECK_INTERVAL, Timer::SharedFolderCheck);
        }
        Ok(dispatcher)
    }

    /// Handles messages and timers until all senders of the inbox are dropped.
    pub async fn run(mut self, mut inbox: UnboundedReceiver<DispatcherMessage>) {
        let mut messages = Vec::new();
        loop {
            let timer = self.timers.peek().map(|Reverse((at, _))| *at);
            let deadline_guard = self.deadline_guards.first().map(|(at, _)| *at);
            let next_wakeup =
                timer.into_iter().chain(deadline_guard).min().unwrap_or_else(|| self.clock.now());
            tokio::select! {
                biased;
                () = sleep_until(self.clock.instant(next_wakeup)) => {}
                received_count = inbox.recv_many(&mut messages, MAX_MESSAGES_PER_TURN) => if received_count == 0 { return },
            }
            for message in messages.drain(..) {
                self.on_message(message);
            }
            self.run_due_timers();
        }
    }

    /// Dispatches a message to its handler.
    fn on_message(&mut self, message: DispatcherMessage) {
        match message {
            DispatcherMessage::Request(request) => self.on_request(*request),
            DispatcherMessage::ClientDisconnected(id) => self.on_client_disconnected(id),
            DispatcherMessage::RequestReceived(received) => self.on_request_received(&received),
            DispatcherMessage::ResponseStarted(id, number, started) => {
                self.on_response_started(id, number, *started)
            }
            DispatcherMessage::AttemptEnded(id, number, result) => self.on_attempt_ended(id, number, result),
            DispatcherMessage::LoadQueryEnded(endpoint, result) => self.on_load_query_ended(endpoint, result),
            DispatcherMessage::ResourceShortage => self.idle_pool.close_all(),
            DispatcherMessage::EndpointList { listing, discovery } => {
                self.applied_list = AppliedList { discovery, revision: listing.rev, is_configured: false };
                self.on_endpoint_list(listing, ListOrigin::Discovery);
            }
            DispatcherMessage::DiscoveryFailed => self.handle_event(Event::DiscoveryFailed),
            DispatcherMessage::DiscoveryMoved => self.handle_event(Event::DiscoveryMoved),
            DispatcherMessage::OperatorOrder(request) => self.on_operator_order(request),
            DispatcherMessage::SharedFolder(event) => self.on_shared_folder(event),
        }
    }
}
