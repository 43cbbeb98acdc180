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

/// The safety net answers this much after a request's time, when the module should long have done so.
const NET_AFTER: Time = 25_000_000;

/// How often idle connections are looked through.
const SWEEP_EVERY: Time = 500_000_000;

/// How often operators' figures and orders given to another process are looked at.
const FOLLOW_EVERY: Time = 100_000_000;

/// Upstreams that are on no list any more whose names are kept: an order about them is no mistake.
const MOST_FORMER: usize = 1024;

/// How long a probe may take.
const PROBE_PATIENCE: Duration = Duration::from_millis(250);

/// Inputs taken in a row before timers get their turn.
const BURST: usize = 32;

/// A request that is not answered yet, or has attempts out.
struct Open {
    request: Request<RequestBody>,
    caller: ClientLiveness,
    class: usize,
    /// When its caller stops waiting; not known as long as the request is still coming.
    deadline: Option<Time>,
    /// When its caller stops waiting; of a request that is still coming, if its last byte came with the first.
    client_deadline: Time,
    /// When all of it had come, for attempts whose time runs from then on.
    whole: watch::Sender<Option<Instant>>,
    /// Where the answer goes; `None` once it is given or not owed any more.
    answer: Option<oneshot::Sender<FinalResponse>>,
    attempts: u32,
    out: Vec<Out>,
}

/// An attempt that has not ended.
struct Out {
    number: u32,
    server: EndpointId,
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

impl Out {
    /// Withdraws the attempt, unless it may have been written.
    fn take_back(&mut self) {
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

/// An event that waits for the module to be done with the one before.
type Pending = (RequestId, AttemptEnd);

/// The task that owns the decision module.
pub struct Driver {
    config: Arc<Config>,
    balancer: LoadBalancer,
    clock: Clock,
    inputs: UnboundedSender<DispatcherMessage>,
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
    requests: HashMap<RequestId, Open>,
    /// The upstreams that are listed, and the number of the next new one: none is given out twice.
    ids: HashMap<String, EndpointId>,
    next_server: u32,
    servers: HashMap<EndpointId, Upstream>,
    idle: IdlePool,
    body_memory: Arc<BodyMemory>,
    timers: BinaryHeap<Reverse<(Time, Timer)>>,
    /// When the safety net is due for each request that is owed an answer.
    nets: BTreeSet<(Time, RequestId)>,
    actions: Vec<Action>,
    pending: VecDeque<Pending>,
}

/// Where an upstream listens, since when it runs, and whether it takes work.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Upstream {
    address: Option<SocketAddr>,
    boot_ms: u64,
    in_service: bool,
}

impl Driver {
    /// A driver that knows the configured list. `ready` turns true once there is an upstream to send to.
    pub fn new(
        config: Arc<Config>,
        inputs: UnboundedSender<DispatcherMessage>,
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
        let mut driver = Self {
            balancer,
            clock,
            inputs,
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
            next_server: 0,
            servers: HashMap::new(),
            idle,
            body_memory,
            timers: BinaryHeap::new(),
            nets: BTreeSet::new(),
            actions: Vec::new(),
            pending: VecDeque::new(),
            config,
        };
        if let Some(state) = folder_state {
            driver.on_folder_state(state); // before anything can be sent
        }
        let known = Listing { all: true, ..driver.config.known.clone() };
        driver.on_listed(known, ListOrigin::Configuration);
        driver.set_timer(SWEEP_EVERY, Timer::Sweep);
        if driver.shared.is_some() {
            driver.set_timer(FOLLOW_EVERY, Timer::Follow);
        }
        Ok(driver)
    }

    /// Serves until nobody can tell it anything any more.
    pub async fn run(mut self, mut inbox: UnboundedReceiver<DispatcherMessage>) {
        let mut inputs = Vec::new();
        loop {
            let timer = self.timers.peek().map(|Reverse((at, _))| *at);
            let net = self.nets.first().map(|(at, _)| *at);
            let next = timer.into_iter().chain(net).min().unwrap_or_else(|| self.clock.now());
            tokio::select! {
                biased;
                () = sleep_until(self.clock.instant(next)) => {}
                got = inbox.recv_many(&mut inputs, BURST) => if got == 0 { return },
            }
            for input in inputs.drain(..) {
                self.on_input(input);
            }
            self.ring();
        }
    }

    fn on_input(&mut self, input: DispatcherMessage) {
        match input {
            DispatcherMessage::Request(call) => self.on_called(*call),
            DispatcherMessage::ClientDisconnected(id) => self.on_caller_gone(id),
            DispatcherMessage::RequestReceived(id, deadline) => self.on_whole(id, deadline),
            DispatcherMessage::ResponseStarted(id, number, begun) => self.on_begun(id, number, *begun),
            DispatcherMessage::AttemptEnded(id, number, finished) => self.on_ended(id, number, finished),
            DispatcherMessage::LoadQueryEnded(server, finished) => self.on_probed(server, finished),
            DispatcherMessage::DescriptorShortage => self.idle.close_all(),
            DispatcherMessage::EndpointList(listing) => self.on_listed(listing, ListOrigin::Discovery),
            DispatcherMessage::DiscoveryFailed => self.tell(Event::DiscoveryFailed),
            DispatcherMessage::DiscoveryMoved => self.tell(Event::DiscoveryMoved),
            DispatcherMessage::OperatorOrder(request) => self.on_ordered(request),
            DispatcherMessage::SharedFolder(event) => self.on_folder(event),
        }
    }
}
