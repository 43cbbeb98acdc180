//! Owns the decision module: tells it what happened and does what it says. Nothing is decided here.

mod actions;
mod attempts;
mod endpoint_list;
mod load_queries;
mod operators;
mod requests;
mod timers;

use crate::config::Config;
use crate::config::endpoint_listing::Listing;
use crate::proxy::body::memory::BodyMemory;
use crate::proxy::body::request_body::RequestBody;
use crate::proxy::clock::Clock;
use crate::proxy::downstream::connection::ClientLiveness;
use crate::proxy::messages::{DispatcherMessage, FinalResponse};
use crate::proxy::metrics::{self, Counters};
use crate::proxy::orders::OfflineList;
use crate::proxy::shared_folder::{FolderState, SharedFolder};
use crate::proxy::start_times::{ListOrigin, StartTimes};
use crate::proxy::upstream::pool::IdlePool;
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

/// Time after a request's deadline at which the dispatcher fails the request itself, in nanoseconds. The decision module
/// should have ended it long before.
const DEADLINE_GUARD_DELAY: Time = 25_000_000;

/// How often idle connections are looked through.
const SWEEP_EVERY: Time = 500_000_000;

/// How often operators' figures and orders given to another process are looked at.
const FOLLOW_EVERY: Time = 100_000_000;

/// Upstreams that are on no list any more whose names are kept: an order about them is no mistake.
const MOST_FORMER: usize = 1024;

/// How long a load query may take.
const LOAD_QUERY_TIMEOUT: Duration = Duration::from_millis(250);

/// Inputs taken in a row before timers get their turn.
const BURST: usize = 32;

/// A request that has no response yet, or has attempts in flight.
struct PendingRequest {
    request: Request<RequestBody>,
    client: ClientLiveness,
    class: usize,
    /// When its caller stops waiting; not known as long as the request is still coming.
    deadline: Option<Time>,
    /// When its caller stops waiting; of a request that is still coming, if its last byte came with the first.
    client_deadline: Time,
    /// When all of it had come, for attempts whose time runs from then on.
    whole: watch::Sender<Option<Instant>>,
    /// Where the answer goes; `None` once it is given or not owed any more.
    response_sender: Option<oneshot::Sender<FinalResponse>>,
    attempts: u32,
    attempts_in_flight: Vec<AttemptInFlight>,
}

/// An attempt that has not ended.
struct AttemptInFlight {
    number: u32,
    endpoint: EndpointId,
    /// The process that it was sent to.
    upstream: Upstream,
    sent: Time,
    /// How the request ends if the answer that has begun comes to its end, and the figures that came with it.
    begun: Option<(metrics::RequestOutcome, Option<LoadReport>)>,
    /// It has its connection: from here on it may be written. Before, it can be taken back as if never sent.
    write_started: Arc<AtomicBool>,
    /// Dropping it withdraws the attempt.
    cancel: Option<oneshot::Sender<()>>,
}

impl AttemptInFlight {
    /// Withdraws the attempt, unless it may have been written.
    fn withdraw(&mut self) {
        if !self.write_started.load(Ordering::Relaxed) {
            self.cancel = None;
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Module(u64),
    Sweep,
    Follow,
}

/// The end of an attempt, queued until the decision module has handled the current event.
type QueuedAttemptEnd = (RequestId, AttemptEnd);

/// The task that owns the decision module.
pub struct Dispatcher {
    config: Arc<Config>,
    balancer: LoadBalancer,
    clock: Clock,
    messages: UnboundedSender<DispatcherMessage>,
    subscribe: UnboundedSender<()>,
    ready: watch::Sender<bool>,
    counters: Arc<Counters>,
    /// What is shared with the process before or after this one, and the upstreams taken out by hand.
    shared: Option<SharedFolder>,
    offline: OfflineList,
    /// Another process of this balancer serves beside this one.
    overlapping: bool,
    /// The names of upstreams that were listed, the latest last.
    former: VecDeque<String>,
    /// When upstreams started that are listed, or were lately.
    start_times: StartTimes,
    requests: HashMap<RequestId, PendingRequest>,
    /// The upstreams that are listed, and the number of the next new one: none is given out twice.
    ids: HashMap<String, EndpointId>,
    next_endpoint: u32,
    endpoints: HashMap<EndpointId, Upstream>,
    idle: IdlePool,
    body_memory: Arc<BodyMemory>,
    timers: BinaryHeap<Reverse<(Time, Timer)>>,
    /// The times at which requests without a response are failed by the deadline guard.
    deadline_guards: BTreeSet<(Time, RequestId)>,
    actions: Vec<Action>,
    pending: VecDeque<QueuedAttemptEnd>,
}

/// Where an upstream listens, since when it runs, and whether it takes work.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Upstream {
    address: Option<SocketAddr>,
    boot_ms: u64,
    in_service: bool,
}

impl Dispatcher {
    /// Creates a dispatcher that starts with the configured list. `ready` turns true once an endpoint is in service.
    pub fn new(
        config: Arc<Config>,
        messages: UnboundedSender<DispatcherMessage>,
        subscribe: UnboundedSender<()>,
        ready: watch::Sender<bool>,
        (counters, body_memory): (Arc<Counters>, Arc<BodyMemory>),
        shared: Option<(SharedFolder, FolderState)>,
    ) -> Result<Self, String> {
        let clock = Clock::new();
        let balancer = LoadBalancer::new(config.settings.clone(), config.seed, clock.now())
            .map_err(|error| format!("settings: {error}"))?;
        let idle = IdlePool::new(Duration::from_nanos(config.settings.idle_timeout), config.limits.upstreams);
        let (shared, folder_state) = shared.unzip();
        let mut dispatcher = Self {
            balancer,
            clock,
            messages,
            subscribe,
            ready,
            counters,
            shared,
            offline: OfflineList::new(),
            overlapping: false,
            former: VecDeque::new(),
            start_times: StartTimes::default(),
            requests: HashMap::new(),
            ids: HashMap::new(),
            next_endpoint: 0,
            endpoints: HashMap::new(),
            idle,
            body_memory,
            timers: BinaryHeap::new(),
            deadline_guards: BTreeSet::new(),
            actions: Vec::new(),
            pending: VecDeque::new(),
            config,
        };
        if let Some(state) = folder_state {
            dispatcher.on_folder_state(state); // before anything can be sent
        }
        let known = Listing { all: true, ..dispatcher.config.known.clone() };
        dispatcher.on_endpoint_list(known, ListOrigin::Configuration);
        dispatcher.set_timer(SWEEP_EVERY, Timer::Sweep);
        if dispatcher.shared.is_some() {
            dispatcher.set_timer(FOLLOW_EVERY, Timer::Follow);
        }
        Ok(dispatcher)
    }

    /// Serves until nobody can tell it anything any more.
    pub async fn run(mut self, mut inbox: UnboundedReceiver<DispatcherMessage>) {
        let mut messages = Vec::new();
        loop {
            let timer = self.timers.peek().map(|Reverse((at, _))| *at);
            let deadline_guard = self.deadline_guards.first().map(|(at, _)| *at);
            let next = timer.into_iter().chain(deadline_guard).min().unwrap_or_else(|| self.clock.now());
            tokio::select! {
                biased;
                () = sleep_until(self.clock.instant(next)) => {}
                got = inbox.recv_many(&mut messages, BURST) => if got == 0 { return },
            }
            for message in messages.drain(..) {
                self.on_message(message);
            }
            self.ring();
        }
    }

    fn on_message(&mut self, message: DispatcherMessage) {
        match message {
            DispatcherMessage::Request(call) => self.on_request(*call),
            DispatcherMessage::ClientDisconnected(id) => self.on_client_disconnected(id),
            DispatcherMessage::RequestReceived(id, deadline) => self.on_request_received(id, deadline),
            DispatcherMessage::ResponseStarted(id, number, begun) => {
                self.on_response_started(id, number, *begun)
            }
            DispatcherMessage::AttemptEnded(id, number, finished) => {
                self.on_attempt_ended(id, number, finished)
            }
            DispatcherMessage::LoadQueryEnded(endpoint, finished) => {
                self.on_load_query_ended(endpoint, finished)
            }
            DispatcherMessage::DescriptorShortage => self.idle.close_all(),
            DispatcherMessage::EndpointList(listing) => self.on_endpoint_list(listing, ListOrigin::Discovery),
            DispatcherMessage::DiscoveryFailed => self.tell(Event::DiscoveryFailed),
            DispatcherMessage::DiscoveryMoved => self.tell(Event::DiscoveryMoved),
            DispatcherMessage::OperatorOrder(request) => self.on_operator_order(request),
            DispatcherMessage::SharedFolder(event) => self.on_shared_folder(event),
        }
    }
}
