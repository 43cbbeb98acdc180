//! Owns the decision module: tells it what happened and does what it says. Nothing is decided here.

use super::body::{Budget, Payload, Reply, Rest};
use super::clock::{Clock, ClockReading};
use super::config::Config;
use super::counters::{self, Counters};
use super::discovery::{Listing, State, Target};
use super::gate::Presence;
use super::minimum_rate::IDLE_TIMEOUT;
use super::orders::{OfflineList, Order, OrderRequest, Verdict};
use super::send_check::budget;
use super::shared_folder::{FolderEvent, FolderState, SharedFolder};
use super::start_times::{ListOrigin, StartTimes};
use super::upstream::{Begun, Exchanged, Finished, Idle, Link, Means, exchange};
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, Response, StatusCode, Uri, Version};
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap, HashSet, VecDeque};
use std::future::pending;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::{oneshot, watch};
use tokio::time::{Instant, sleep_until, timeout};
use woadstall::Balancer;
use woadstall::api::{
    Action, Demand, End, Event, Lifecycle, ListEntry, LoadReport, Outcome, RequestId, ServerId, Time, ZoneId,
};

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

/// What the other tasks tell the driver.
pub enum Input {
    /// A caller's request, read to its last byte or for as much as is kept of it.
    Called(Box<Call>),
    /// All of a request that was still coming has come; its caller waits until then.
    Whole(RequestId, Instant),
    /// The caller of a request has closed its connection.
    CallerGone(RequestId),
    /// An attempt's answer has begun.
    Begun(RequestId, u32, Box<Begun>),
    /// An attempt ended.
    Ended(RequestId, u32, Finished),
    /// A probe of an upstream ended.
    Probed(ServerId, Finished),
    /// There are no descriptors left to take callers with.
    DescriptorsShort,
    /// Discovery has answered.
    Listed(Listing),
    /// A watch on discovery failed.
    ListFailed,
    /// Lists have to be asked for at another address.
    ListMoved,
    /// An operator takes an upstream out, or puts it back.
    Ordered(OrderRequest),
    /// The folder that processes share was looked at, or an order was carried out there.
    Folder(FolderEvent),
}

/// A caller's request.
pub struct Call {
    pub id: RequestId,
    pub request: Request<Payload>,
    pub caller: Presence,
    pub class: usize,
    pub tenant: usize,
    /// Its work, in nanoseconds, where the caller has a guess.
    pub work: Option<u64>,
    /// When the caller stops waiting; of a request that is still coming, if its last byte came now.
    pub deadline: Instant,
    pub answer: oneshot::Sender<Answer>,
}

/// The final answer to a request.
pub enum Answer {
    /// An upstream's answer.
    Served(Response<Reply>),
    /// Refused, with advice on how long to stay away; zero for none.
    Refused(Duration),
    /// Failed, with no promise on its effect.
    Failed,
}

impl Answer {
    /// How the request ends with it.
    fn end(&self) -> counters::End {
        match self {
            Self::Served(response) if response.status() == StatusCode::OK => counters::End::Success,
            Self::Refused(_) => counters::End::Busy,
            Self::Served(_) | Self::Failed => counters::End::Failure,
        }
    }
}

/// A request that is not answered yet, or has attempts out.
struct Open {
    request: Request<Payload>,
    caller: Presence,
    class: usize,
    /// When its caller stops waiting; not known as long as the request is still coming.
    deadline: Option<Time>,
    /// When its caller stops waiting; of a request that is still coming, if its last byte came with the first.
    caller_until: Time,
    /// When all of it had come, for attempts whose time runs from then on.
    whole: watch::Sender<Option<Instant>>,
    /// Where the answer goes; `None` once it is given or not owed any more.
    answer: Option<oneshot::Sender<Answer>>,
    attempts: u32,
    out: Vec<Out>,
}

/// An attempt that has not ended.
struct Out {
    number: u32,
    server: ServerId,
    /// The process that it was sent to.
    upstream: Upstream,
    sent: Time,
    /// How the request ends if the answer that has begun comes to its end, and the figures that came with it.
    begun: Option<(counters::End, Option<LoadReport>)>,
    /// It has its connection: from here on it may be written. Before, it can be taken back as if never sent.
    under_way: Arc<AtomicBool>,
    /// Dropping it withdraws the attempt.
    cancel: Option<oneshot::Sender<()>>,
}

impl Out {
    /// Withdraws the attempt, unless it may have been written.
    fn take_back(&mut self) {
        if !self.under_way.load(Ordering::Relaxed) {
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
type Pending = (RequestId, End);

/// The task that owns the decision module.
pub struct Driver {
    config: Arc<Config>,
    balancer: Balancer,
    clock: Clock,
    inputs: UnboundedSender<Input>,
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
    ids: HashMap<String, ServerId>,
    next_server: u32,
    servers: HashMap<ServerId, Upstream>,
    idle: Idle,
    budget: Arc<Budget>,
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
        inputs: UnboundedSender<Input>,
        subscribe: UnboundedSender<()>,
        ready: watch::Sender<bool>,
        (counters, budget): (Arc<Counters>, Arc<Budget>),
        shared: Option<(SharedFolder, FolderState)>,
    ) -> Result<Self, String> {
        let clock = Clock::new();
        let balancer = Balancer::new(config.settings.clone(), config.seed, clock.now())
            .map_err(|error| format!("settings: {error}"))?;
        let idle = Idle::new(Duration::from_nanos(config.settings.conn_idle), config.limits.upstreams);
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
            budget,
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
    pub async fn run(mut self, mut inbox: UnboundedReceiver<Input>) {
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

    fn on_input(&mut self, input: Input) {
        match input {
            Input::Called(call) => self.on_called(*call),
            Input::CallerGone(id) => self.on_caller_gone(id),
            Input::Whole(id, deadline) => self.on_whole(id, deadline),
            Input::Begun(id, number, begun) => self.on_begun(id, number, *begun),
            Input::Ended(id, number, finished) => self.on_ended(id, number, finished),
            Input::Probed(server, finished) => self.on_probed(server, finished),
            Input::DescriptorsShort => self.idle.close_all(),
            Input::Listed(listing) => self.on_listed(listing, ListOrigin::Discovery),
            Input::ListFailed => self.tell(Event::ListFailed),
            Input::ListMoved => self.tell(Event::ListMoved),
            Input::Ordered(request) => self.on_ordered(request),
            Input::Folder(event) => self.on_folder(event),
        }
    }

    // ---- Timers ----

    fn set_timer(&mut self, after: Time, timer: Timer) {
        self.timers.push(Reverse((self.clock.now().saturating_add(after), timer)));
    }

    fn ring(&mut self) {
        let now = self.clock.now();
        while let Some(&Reverse((_, timer))) = self.timers.peek().filter(|Reverse((at, _))| *at <= now) {
            self.timers.pop();
            match timer {
                Timer::Module(token) => self.tell(Event::Timer(token)),
                Timer::Sweep => {
                    self.idle.sweep();
                    self.start_times.learn_clocks(self.clock.read());
                    self.set_timer(SWEEP_EVERY, Timer::Sweep);
                }
                Timer::Follow => {
                    self.shared.iter_mut().for_each(SharedFolder::check);
                    self.show_hosts();
                    self.set_timer(FOLLOW_EVERY, Timer::Follow);
                }
            }
        }
        while let Some(&(_, id)) = self.nets.first().filter(|(at, _)| *at <= now) {
            self.on_net(id);
        }
    }

    /// Guards the callers: what the module has left open past its time is answered all the same.
    fn on_net(&mut self, id: RequestId) {
        super::log(format_args!("request {} was left open past its time", id.0));
        self.answer(id, Answer::Failed);
        self.tell(Event::ClientGone(id));
    }

    // ---- Operators ----

    fn on_folder(&mut self, event: FolderEvent) {
        match event {
            FolderEvent::Checked(state) => {
                self.shared.iter_mut().for_each(SharedFolder::checked);
                self.on_folder_state(state);
            }
            FolderEvent::Kept(request, offline) => {
                self.enforce(offline);
                self.on_kept(&request.order);
                request.answer.send(Verdict::Done).ok(); // one that left has its order all the same
            }
            FolderEvent::NotKept(request) => {
                request.answer.send(Verdict::NotKept).ok();
            }
        }
    }

    /// Takes over what operators told another process, and whether one is there.
    fn on_folder_state(&mut self, state: FolderState) {
        let FolderState { offline, overlapping } = state;
        if offline != self.offline {
            self.enforce(offline);
        }
        if overlapping != self.overlapping {
            // The descriptors are for both.
            let most = self.config.limits.upstreams;
            self.idle.limit(if overlapping { most / 2 } else { most });
            let beside = if overlapping { "beside another process" } else { "alone" };
            super::log(format_args!("this process serves {beside}"));
            self.overlapping = overlapping;
        }
        self.show_hosts();
    }

    fn show_hosts(&self) {
        self.counters.set_hosts(self.servers.len(), self.balancer.avoided());
    }

    fn on_ordered(&mut self, request: OrderRequest) {
        let verdict = match &self.shared {
            _ if !self.was_listed(&request.order.uid) => Verdict::Unknown,
            Some(shared) => return shared.keep(request),
            None => Verdict::NotKept,
        };
        request.answer.send(verdict).ok();
    }

    /// Whether an upstream is or was listed, here or in a process before.
    fn was_listed(&self, uid: &str) -> bool {
        let is_listed = self.ids.get(uid).is_some_and(|server| self.servers.contains_key(server));
        is_listed || self.offline.contains(uid) || self.former.iter().any(|former| former == uid)
    }

    fn on_kept(&mut self, order: &Order) {
        self.show_hosts();
        let uid = &order.uid;
        super::log(format_args!("upstream {uid} is {} by hand", if order.offline { "out" } else { "back" }));
    }

    fn enforce(&mut self, offline: OfflineList) {
        let before = std::mem::replace(&mut self.offline, offline.clone());
        for uid in offline.difference(&before) {
            let server = self.id(uid);
            self.take_back(server);
            self.tell(Event::Offline(server));
        }
        for uid in before.difference(&offline) {
            let server = self.id(uid);
            self.tell(Event::Online(server));
            self.remember_former(uid, server);
        }
    }

    /// An order outlives the entry of its upstream on the list, and the name outlives the order.
    fn remember_former(&mut self, uid: &str, server: ServerId) {
        let is_listed = self.servers.contains_key(&server);
        if !is_listed && !self.former.iter().any(|former| former == uid) {
            self.former.push_back(uid.to_owned());
        }
    }

    // ---- Discovery ----

    fn on_listed(&mut self, listing: Listing, origin: ListOrigin) {
        let reading = self.clock.read();
        self.start_times.learn_clocks(reading);
        let entry = |target| self.entry(target, origin, reading);
        let entries: Vec<ListEntry> = listing.targets.iter().map(entry).collect();
        if listing.all {
            self.tell(Event::List(&entries));
        } else if !entries.is_empty() {
            self.tell(Event::ListChange(&entries));
        }
        self.forget_gone(&listing);
        if entries.iter().any(|entry| entry.lifecycle == Lifecycle::Ready) {
            self.ready.send_if_modified(|ready| !std::mem::replace(ready, true));
        }
        self.show_hosts();
    }

    /// Forgets the upstreams that are gone, by name or by not being on a whole list, and closes their idle
    /// connections. Guards the memory where upstreams are ever new.
    fn forget_gone(&mut self, listing: &Listing) {
        let names = |gone: bool| {
            let targets = listing.targets.iter().filter(move |t| (t.state == State::Terminated) == gone);
            targets.map(|target| target.uid.as_str()).collect::<HashSet<_>>()
        };
        let (named, gone) = (names(false), names(true));
        let (servers, idle, former) = (&mut self.servers, &mut self.idle, &mut self.former);
        let offline = &self.offline;
        let mut left = Vec::new();
        self.ids.retain(|uid, server| {
            let stays = !gone.contains(uid.as_str()) && (!listing.all || named.contains(uid.as_str()));
            if !stays && servers.remove(server).is_some() {
                idle.close(*server);
                former.push_back(uid.clone());
                left.push(*server);
            }
            stays || offline.contains(uid) // what is out by hand is so when it is listed again
        });
        left.into_iter().for_each(|server| self.take_back(server));
        let former = &mut self.former;
        former.drain(..former.len().saturating_sub(MOST_FORMER));
        self.forget_starts();
    }

    /// Forgets when the upstreams started whose names are forgotten.
    fn forget_starts(&mut self) {
        if self.start_times.len() <= self.ids.len() + MOST_FORMER {
            return;
        }
        let former: HashSet<&str> = self.former.iter().map(String::as_str).collect();
        let ids = &self.ids;
        self.start_times.retain(|uid| ids.contains_key(uid) || former.contains(uid));
    }

    /// Withdraws the attempts that still wait for a connection to an upstream: once it is there, they would be
    /// written. The module hears that they were never sent.
    fn take_back(&mut self, server: ServerId) {
        let out = self.requests.values_mut().flat_map(|open| &mut open.out);
        out.filter(|out| out.server == server).for_each(Out::take_back);
    }

    fn id(&mut self, uid: &str) -> ServerId {
        *self.ids.entry(uid.to_owned()).or_insert_with(|| {
            self.next_server += 1;
            ServerId(self.next_server)
        })
    }

    fn entry(&mut self, target: &Target, origin: ListOrigin, reading: ClockReading) -> ListEntry {
        let server = self.id(&target.uid);
        let address: Option<SocketAddr> = target.endpoint.parse().ok();
        if address.is_none() {
            super::log(format_args!("upstream {}: no address in {:?}", target.uid, target.endpoint));
        }
        let in_service = target.state == State::InService;
        let upstream = Upstream { address, boot_ms: target.boot_ms, in_service };
        // Connections to a former process, or to one that takes nothing new, are of no use, nor is waiting for one.
        if !in_service || self.servers.get(&server) != Some(&upstream) {
            self.idle.close(server);
            self.take_back(server);
        }
        self.servers.insert(server, upstream);
        let started = self.start_times.started(&target.uid, target.boot_ms, origin, reading.monotonic);
        let zone = self.config.names.zones.iter().position(|zone| *zone == target.az);
        ListEntry {
            server,
            zone: ZoneId(zone.and_then(|zone| u8::try_from(zone).ok()).unwrap_or(u8::MAX)),
            cell: target.pod_group,
            lifecycle: match target.state {
                State::InService => Lifecycle::Ready,
                State::Terminating => Lifecycle::Draining,
                State::Terminated => Lifecycle::Gone,
            },
            size: target.capacity_hint,
            started,
        }
    }

    // ---- Requests ----

    fn on_called(&mut self, call: Call) {
        let (id, deadline, now) = (call.id, self.clock.time(call.deadline), self.clock.now());
        let time_left = deadline.saturating_sub(now);
        let streamed = call.request.body().rest.is_some();
        let demand = Demand { class: call.class, tenant: call.tenant, time_left, work: call.work, streamed };
        let caller_until = deadline;
        let deadline = Some(deadline).filter(|_| !streamed);
        self.requests.insert(
            id,
            Open {
                request: call.request,
                caller: call.caller,
                class: call.class,
                deadline,
                caller_until,
                whole: watch::Sender::new(None),
                answer: Some(call.answer),
                attempts: 0,
                out: Vec::new(),
            },
        );
        self.nets.extend(deadline.map(|deadline| (deadline.saturating_add(NET_AFTER), id)));
        self.tell(Event::Request(id, demand));
    }

    /// The time of a request runs from its last byte.
    fn on_whole(&mut self, id: RequestId, deadline: Instant) {
        let deadline = self.clock.time(deadline);
        let Some(open) = self.requests.get_mut(&id).filter(|open| open.answer.is_some()) else { return };
        open.deadline = Some(deadline);
        open.whole.send_replace(Some(Instant::now()));
        self.nets.insert((deadline.saturating_add(NET_AFTER), id));
    }

    fn on_caller_gone(&mut self, id: RequestId) {
        if self.take_answer(id).is_some() {
            self.tell(Event::ClientGone(id));
            self.forget_if_done(id);
        }
    }

    /// Where the answer to a request goes, if it is owed one still. Nothing else is, then: an attempt that waits
    /// for its connection is not sent any more, also where those that are out must not be cancelled.
    fn take_answer(&mut self, id: RequestId) -> Option<(oneshot::Sender<Answer>, usize)> {
        let open = self.requests.get_mut(&id)?;
        let answer = open.answer.take()?;
        open.out.iter_mut().for_each(Out::take_back);
        if let Some(deadline) = open.deadline {
            self.nets.remove(&(deadline.saturating_add(NET_AFTER), id));
        }
        Some((answer, open.class))
    }

    fn answer(&mut self, id: RequestId, answer: Answer) {
        if let Some((sender, class)) = self.take_answer(id) {
            let end = answer.end();
            // A caller that has just gone needs none.
            if sender.send(answer).is_ok() {
                self.counters.count(class, end);
            }
        }
        self.forget_if_done(id);
    }

    fn forget_if_done(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|open| open.answer.is_none() && open.out.is_empty()) {
            self.requests.remove(&id);
        }
    }

    // ---- Attempts ----

    fn send(&mut self, id: RequestId, server: ServerId, until: Time, begin_by: Option<Time>) {
        let now = self.clock.now();
        let Some(open) = self.requests.get_mut(&id) else { return };
        let (number, until) = (open.attempts, open.deadline.map_or(until, |deadline| until.min(deadline)));
        open.attempts += 1;
        let upstream = self.servers.get(&server).copied();
        let caller_until = open.caller_until;
        let has_time = budget(Duration::from_nanos(caller_until.saturating_sub(now))).is_some();
        let in_time = has_time && now < until && begin_by.is_none_or(|end| now < end);
        let allowed = in_time && number < self.config.settings.max_attempts;
        let possible = open.answer.is_some() && allowed && !open.request.body().is_spent();
        let target = upstream.filter(|_| possible).and_then(|upstream| Some((upstream, upstream.address?)));
        let Some((upstream, address)) = target else { return self.not_sent(id, number) };
        let Some(link) = self.idle.link(server) else { return self.not_sent(id, number) };
        let request = forwarded(&open.request, address);
        let (cancel, cancelled) = oneshot::channel::<()>();
        let under_way = Arc::new(AtomicBool::new(false));
        let mark = under_way.clone();
        open.out.push(Out {
            number,
            server,
            upstream,
            sent: now,
            begun: None,
            under_way,
            cancel: Some(cancel),
        });
        let rest = open.request.body().rest.clone().filter(|_| open.deadline.is_none());
        let expiry = expiry(self.clock.instant(until), rest.map(|rest| (open.whole.subscribe(), rest)));
        let (inputs, caller) = (self.inputs.clone(), Some(open.caller.clone()));
        let tally = Some(self.counters.attempts());
        let begin_by = begin_by.map(|end| self.clock.instant(end));
        let deadline = open.deadline.map(|deadline| self.clock.instant(deadline));
        let means = self.means(link, address, self.clock.instant(until), tally);
        let held_up = means.held_up.clone();
        let caller_until = Some(self.clock.instant(caller_until));
        let means = Means { under_way: mark.clone(), deadline, begin_by, caller, caller_until, ..means };
        let exchange = exchange(request, means);
        let expiry = async move {
            expiry.await;
            if let Some(deadline) = deadline.filter(|_| held_up.load(Ordering::Relaxed)) {
                sleep_until(deadline).await;
            }
        };
        tokio::spawn(async move {
            let unless_sent = |outcome, unsent| if mark.load(Ordering::Relaxed) { outcome } else { unsent };
            let exchanged = tokio::select! {
                biased; // nobody wants the answer to what is withdrawn, while one that comes just in time counts
                _ = cancelled => unless_sent(Outcome::Cancelled, Outcome::Moot).into(),
                exchanged = exchange => exchanged,
                () = expiry => unless_sent(Outcome::Timeout, Outcome::ConnectFailed).into(),
            };
            let input = match exchanged {
                Exchanged::Ended(finished) => Input::Ended(id, number, finished),
                Exchanged::CallerLeft(finished) => {
                    inputs.send(Input::CallerGone(id)).ok(); // first, or the request would be sent again
                    Input::Ended(id, number, finished)
                }
                Exchanged::Begun(begun) => Input::Begun(id, number, begun),
            };
            inputs.send(input).ok();
        });
    }

    fn means(&self, link: Link, address: SocketAddr, until: Instant, tally: Option<Arc<AtomicU64>>) -> Means {
        Means {
            link,
            address,
            connect_timeout: self.config.names.connect_timeout,
            until,
            deadline: None,
            held_up: Arc::default(),
            begin_by: None,
            tally,
            budget: self.budget.clone(),
            caller: None,
            caller_until: None,
            under_way: Arc::default(),
        }
    }

    /// The module hears of it once it is done with what it is at.
    fn not_sent(&mut self, id: RequestId, attempt: u32) {
        let open = self.requests.get(&id);
        let closed = open.is_none_or(|open| open.answer.is_none());
        let spent = open.is_some_and(|open| open.request.body().is_spent());
        let end = End { attempt, outcome: Outcome::Moot, elapsed: 0, closed, spent, load: None };
        self.pending.push_back((id, end));
    }

    /// The answer is passed on as it comes: past its request's time, for as long as it goes on.
    fn on_begun(&mut self, id: RequestId, number: u32, begun: Begun) {
        let deadline = self.requests.get(&id).and_then(|open| open.deadline);
        let deadline = deadline.map(|deadline| self.clock.instant(deadline));
        let Some((sender, _)) = self.take_answer(id) else {
            return self.on_ended(id, number, Outcome::Cancelled.into());
        };
        let load = self.load_report(&begun.head);
        let open = self.requests.get_mut(&id);
        let out = open.and_then(|open| open.out.iter_mut().find(|out| out.number == number));
        let inputs = self.inputs.clone();
        let report = Box::new(move |finished| {
            inputs.send(Input::Ended(id, number, finished)).ok();
        });
        let Begun { head, body, connection, room } = begun;
        let passing = |kept| Reply::passing(kept, body, connection, room, deadline, report);
        let answer = Answer::Served(head.map(passing));
        if let Some(out) = out {
            out.begun = Some((answer.end(), load));
        }
        self.tell(Event::Started(id, number));
        sender.send(answer).ok(); // dropped by a caller that has gone, it ends the attempt
    }

    fn on_ended(&mut self, id: RequestId, attempt: u32, finished: Finished) {
        let now = self.clock.now();
        let Some(open) = self.requests.get_mut(&id) else { return };
        let Some(at) = open.out.iter().position(|out| out.number == attempt) else { return };
        let out = open.out.swap_remove(at);
        let (class, spent) = (open.class, open.request.body().is_spent());
        // A request that was still coming held up its attempt.
        let whole = open.whole.borrow().map_or(0, |whole| self.clock.time(whole));
        let elapsed = now.saturating_sub(out.sent.max(whole));
        // One to a process that has drained, gone or been replaced since is of no use.
        let current = out.upstream.in_service && self.servers.get(&out.server) == Some(&out.upstream);
        if let Some(connection) = finished.connection.filter(|_| current) {
            self.idle.put(out.server, connection);
        }
        let mut load = finished.response.as_ref().and_then(|response| self.load_report(response));
        if let Some((end, figures)) = out.begun {
            load = figures;
            match finished.outcome {
                Outcome::Ok => self.counters.count(class, end),
                Outcome::Cancelled => {} // its caller left
                _ => self.counters.count(class, counters::End::Failure),
            }
        }
        let closing = matches!(finished.outcome, Outcome::Ok | Outcome::Declined);
        if let Some(response) = finished.response.filter(|_| closing) {
            self.answer(id, Answer::Served(response.map(Reply::from)));
        }
        let closed = self.requests.get(&id).is_none_or(|open| open.answer.is_none());
        let end = End { attempt, outcome: finished.outcome, elapsed, closed, spent, load };
        self.tell(Event::Ended(id, end));
        self.forget_if_done(id);
    }

    /// The load figures that came with an answer.
    fn load_report<B>(&self, response: &Response<B>) -> Option<LoadReport> {
        let report = response.headers().get("x-load-report")?;
        load_report(report.as_bytes(), &self.config.names.report_fields)
    }

    // ---- Probes, where the settings allow them ----

    fn probe(&mut self, server: ServerId) {
        let Some(address) = self.servers.get(&server).and_then(|upstream| upstream.address) else { return };
        let Some(link) = self.idle.link(server) else { return }; // the module does not wait for a probe's end
        let mut request = Request::new(Payload::default());
        *request.uri_mut() = Uri::from_static("/load");
        let request = forwarded(&request, address);
        let exchange = exchange(request, self.means(link, address, Instant::now() + PROBE_PATIENCE, None));
        let inputs = self.inputs.clone();
        tokio::spawn(async move {
            let finished = match timeout(PROBE_PATIENCE, exchange).await {
                Ok(Exchanged::Ended(finished) | Exchanged::CallerLeft(finished)) => finished,
                Ok(Exchanged::Begun(_)) => Outcome::Error.into(), // no figures are so long
                Err(_) => Outcome::Timeout.into(),
            };
            inputs.send(Input::Probed(server, finished)).ok();
        });
    }

    fn on_probed(&mut self, server: ServerId, finished: Finished) {
        if let Some(connection) = finished.connection.filter(|_| self.servers.contains_key(&server)) {
            self.idle.put(server, connection);
        }
        let load = finished
            .response
            .and_then(|response| load_report(response.body(), &self.config.names.report_fields));
        self.tell(Event::Probed(server, finished.outcome, load));
    }

    // ---- The module ----

    /// Tells the module of an event, does what it says, and tells it of what came of that at once.
    fn tell(&mut self, event: Event<'_>) {
        self.handle(event);
        while let Some((id, end)) = self.pending.pop_front() {
            self.handle(Event::Ended(id, end));
        }
    }

    fn handle(&mut self, event: Event<'_>) {
        let mut actions = std::mem::take(&mut self.actions);
        self.balancer.handle(self.clock.now(), event, &mut actions);
        actions.drain(..).for_each(|action| self.act(action));
        self.actions = actions;
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Send { id, server, until, begin_by } => self.send(id, server, until, begin_by),
            Action::Refuse { id, retry_after } => {
                self.answer(id, Answer::Refused(Duration::from_nanos(retry_after)));
            }
            Action::Fail(id) => self.answer(id, Answer::Failed),
            Action::Cancel { id, attempt } => {
                let out = self.requests.get_mut(&id).map(|open| &mut open.out);
                let out = out.and_then(|out| out.iter_mut().find(|out| out.number == attempt));
                if let Some(out) = out {
                    out.cancel = None;
                }
            }
            Action::Probe(server) => self.probe(server),
            Action::Close(server) => self.idle.close(server),
            Action::SetTimer { after, token } => self.set_timer(after, Timer::Module(token)),
            Action::Watch => {
                self.subscribe.send(()).ok(); // discovery ends only with the program
            }
            Action::Log(text) => super::log(format_args!("{text}")),
        }
    }
}

/// Waits until an attempt is given up: at a time, or as much after its request has come whole, or when that
/// gets no further.
async fn expiry(until: Instant, coming: Option<(watch::Receiver<Option<Instant>>, Arc<Rest>)>) {
    let Some((mut whole, rest)) = coming else { return sleep_until(until).await };
    let limit = until.saturating_duration_since(Instant::now());
    let (mut left, mut moved) = (rest.left(), Instant::now());
    loop {
        let came = timeout(IDLE_TIMEOUT / 10, whole.wait_for(Option::is_some)).await;
        match came.map(|came| came.ok().and_then(|came| *came)) {
            Ok(Some(came)) => return sleep_until(came + limit).await,
            Ok(None) => return pending().await, // nobody waits for its end any more
            Err(_) if rest.left() != left => (left, moved) = (rest.left(), Instant::now()),
            Err(_) if moved.elapsed() > IDLE_TIMEOUT => return,
            Err(_) => {}
        }
    }
}

/// The request as an upstream gets it: as it came, in the form for an origin.
fn forwarded(request: &Request<Payload>, address: SocketAddr) -> Request<Payload> {
    let mut request = request.clone();
    *request.version_mut() = Version::HTTP_11;
    if let Some(path) = request.uri().path_and_query().filter(|_| request.uri().authority().is_some()) {
        *request.uri_mut() = path.clone().into();
    }
    let headers = request.headers_mut();
    if !headers.contains_key(HOST) {
        let host = HeaderValue::from_str(&address.to_string());
        headers.insert(HOST, host.unwrap_or(HeaderValue::from_static("upstream")));
    }
    request
}

/// The load figures in a report, in the order of the settings.
fn load_report(text: &[u8], fields: &[String]) -> Option<LoadReport> {
    let values: HashMap<String, f32> = serde_json::from_slice(text).ok()?;
    let mut report = LoadReport::default();
    for (figure, field) in report.figures.iter_mut().zip(fields) {
        *figure = *values.get(field)?;
        report.len += 1;
    }
    (report.len > 0).then_some(report)
}
