//! The project's own decision module, unchanged, for a whole fleet in one process on virtual time.
//!
//! Each module instance gets the events, and has its actions carried out, as the real balancer does it; all around
//! it is hollow. The same configuration and seed always give the same outcome.

mod config;
mod outcome;

pub use config::{Config, Shape};

use crate::discovery::{self, Discovery, Told};
use crate::engine::{Key, Queue, SECOND, Slab, Time, millis, seconds};
use crate::faults::Step;
use crate::load::{self, Arrival, Load};
use crate::report;
use crate::topology::{Instance, Owner, Topology};
use balancer::decision::LoadBalancer;
use balancer::decision::{
    Action, AttemptEnd, AttemptOutcome, EndpointEntry, EndpointId, EndpointState, Event as ModuleEvent,
    IncomingRequest, RequestClass, RequestId, Settings, ZoneId,
};
use hdrhistogram::Histogram;
use outcome::{Counts, RequestCount, TierCount};
use rand::Rng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1, LogNormal};
use std::collections::{HashMap, VecDeque};
use std::ops::Range;

/// Where the virtual clock starts: a server may have started long before.
const START: Time = 1_000 * SECOND;
/// Steps of the window in which the calls of a cold server are counted.
const FALL_STEPS: usize = 10;
/// How often progress is told of.
const PROGRESS_EVERY: Time = SECOND / 10;

/// Runs a configuration that has been checked. `progress` is told of the virtual nanoseconds that are done, and
/// of how many.
pub fn run(config: &Config, seed: u64, progress: &dyn Fn(u64, u64)) -> report::Outcome {
    let mut fleet = Fleet::new(config, seed);
    fleet.run(progress);
    fleet.outcome()
}

/// An event on the virtual clock.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// The next request of a client.
    Arrival,
    /// An attempt reaches its upstream.
    Reached(Key),
    /// An upstream's own work on an attempt is done.
    Worked(Key),
    /// The end of an attempt reaches its balancer.
    Answered(Key),
    /// An attempt has had its time.
    Expired(Key),
    /// An upstream sees that an attempt was given up.
    Withdrawn(Key),
    /// A timer of a module instance.
    Timer(u32, u64),
    Discovery(discovery::Event),
    /// A change of a list is noticed.
    Notice(u32),
    /// A step of the plan of faults.
    Fault(u32),
    /// An upstream's process ends, starts, and has its lists.
    Stop(u32),
    Start(u32),
    Ready(u32),
    /// Clients leave a front balancer that is lost, or a new one has its lists.
    FrontLeft(u32),
    FrontReady(u32),
    /// A list changes for no fault's sake.
    Change,
}

impl From<discovery::Event> for Event {
    fn from(event: discovery::Event) -> Self {
        Self::Discovery(event)
    }
}

/// Who a call is made for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Caller {
    Client,
    /// An upstream, for the attempt that it works on.
    Attempt(Key),
}

/// A request at a balancer that is not answered yet, or has an attempt out.
#[derive(Debug)]
struct Call {
    instance: usize,
    id: RequestId,
    caller: Caller,
    class: usize,
    came: Time,
    deadline: Time,
    /// An answer is owed.
    owed: bool,
    attempts: u32,
    out: Option<Key>,
    /// Its client's request came in the time that is measured.
    measured: bool,
}

/// Where an attempt is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    Coming,
    Queued,
    Working,
    /// The upstream has made a call of its own for it.
    Calling(Key),
    Answering,
    /// Nothing will come of it any more.
    Lost,
}

/// An attempt.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    call: Key,
    number: u32,
    upstream: usize,
    class: usize,
    sent: Time,
    until: Time,
    /// It opens a connection, or goes out on one to a process that is gone.
    connects: bool,
    stale: bool,
    /// Its balancer waits for it.
    waited: bool,
    place: Place,
    outcome: AttemptOutcome,
    /// The next callee of its service to be called or not.
    callee: usize,
    measured: bool,
}

/// Whether a process runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Life {
    Up,
    /// Its connections are reset and refused.
    Down,
    /// Its machine is gone, and says nothing.
    Silent,
}

/// An upstream at work.
#[derive(Debug)]
struct Server {
    life: Life,
    /// Its processes so far.
    process: u32,
    started: Option<Time>,
    busy: u32,
    queue: VecDeque<Key>,
    /// Calls in the last steps of the window over which a cold one is judged, and the last step.
    recent: [u32; FALL_STEPS],
    step: Time,
}

/// A module instance with what the driver of a real balancer keeps beside it.
struct Node {
    balancer: LoadBalancer,
    alive: bool,
    next_id: u32,
    calls: HashMap<RequestId, Key>,
    /// Idle connections to each upstream of its service.
    idle: Vec<Idle>,
}

/// Idle connections of an instance to an upstream.
#[derive(Clone, Copy, Debug, Default)]
struct Idle {
    count: u32,
    /// When the last was used, and the process of the upstream that it leads to.
    used: Time,
    process: u32,
}

/// When a change of a list holds, once it is noticed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Holds {
    /// As long as the upstream's process is this one.
    Process(u32),
    /// As long as the regions are cut for this time.
    Cut(u32),
}

#[derive(Clone, Copy, Debug)]
struct Notice {
    upstream: usize,
    lifecycle: EndpointState,
    happened: Time,
    holds: Holds,
}

struct Fleet<'a> {
    config: &'a Config,
    topology: Topology,
    queue: Queue<Event>,
    rng: ChaCha8Rng,
    work: LogNormal<f64>,
    classes: Vec<RequestClass>,
    load: Load,
    next: Arrival,
    nodes: Vec<Node>,
    servers: Vec<Server>,
    discovery: Discovery,
    calls: Slab<Call>,
    attempts: Slab<Attempt>,
    notices: Vec<Notice>,
    plan: Vec<Step>,
    restart_order: Vec<usize>,
    tier_fails: bool,
    regions_cut: bool,
    cuts: u32,
    /// Front balancers that run, and those that clients call.
    front_up: Vec<bool>,
    front_called: Vec<bool>,
    actions: Vec<Action>,
    pending: VecDeque<(usize, RequestId, AttemptEnd)>,
    counts: Counts,
    latency: Histogram<u64>,
    open_measured: u64,
    measure_from: Time,
    arrivals_end: Time,
}

impl<'a> Fleet<'a> {
    fn new(config: &'a Config, seed: u64) -> Self {
        let stream = |purpose| crate::random(seed, purpose);
        let topology = Topology::new(config, &mut stream(1));
        let mut rng = stream(2);
        let servers: Vec<Server> = topology
            .upstreams
            .iter()
            .map(|_| Server {
                life: Life::Up,
                process: 0,
                started: rng.random_bool(config.cold_share).then_some(START),
                busy: 0,
                queue: VecDeque::new(),
                recent: [0; FALL_STEPS],
                step: 0,
            })
            .collect();
        let entry = |upstream: usize| EndpointEntry {
            endpoint: EndpointId(upstream as u32),
            zone: ZoneId(topology.upstreams[upstream].zone as u8),
            cell: 0,
            state: EndpointState::InService,
            capacity: 1.0,
            started: servers[upstream].started,
        };
        let lists =
            topology.services.iter().map(|service| service.upstreams.clone().map(entry).collect()).collect();
        let watchers = topology.instances.iter().map(|instance| instance.service);
        let discovery = Discovery::new(config.discovery.clone(), stream(3), lists, watchers);
        let entries = topology.entries.len();
        let mut load = Load::new(config, topology.request_rate, entries, START, stream(4));
        let next = load.next_arrival();
        let classes = load::classes(config);
        let nodes = topology
            .instances
            .iter()
            .map(|instance| Node {
                balancer: balancer(config, &classes, &topology, instance, rng.random(), START),
                alive: true,
                next_id: 0,
                calls: HashMap::new(),
                idle: vec![Idle::default(); topology.services[instance.service].upstreams.len()],
            })
            .collect();
        let measure_from = START + seconds(config.warmup_s);
        let arrivals_end = measure_from + seconds(config.duration_s);
        let faults = config.faults();
        let mut restart_order: Vec<usize> = (0..topology.upstreams.len()).collect();
        restart_order.shuffle(&mut rng);
        let mut queue = Queue::new(START);
        let steps = faults.plan(START, topology.upstreams.len());
        for (at, &(time, _)) in steps.iter().enumerate() {
            queue.push(time, Event::Fault(at as u32));
        }
        queue.push(next.at, Event::Arrival);
        let variance = (1.0 + config.work_variation * config.work_variation).ln();
        let mut fleet = Self {
            work: LogNormal::new(-variance / 2.0, variance.sqrt()).expect("the variation has been checked"),
            counts: Counts {
                tiers: vec![TierCount::default(); config.depth as usize],
                seconds: vec![
                    RequestCount::default();
                    (config.warmup_s + config.duration_s).ceil() as usize + 1
                ],
                ..Counts::default()
            },
            front_up: vec![true; config.fronts],
            front_called: vec![true; config.fronts],
            config,
            queue,
            rng,
            classes,
            load,
            next,
            nodes,
            servers,
            discovery,
            calls: Slab::default(),
            attempts: Slab::default(),
            notices: Vec::new(),
            plan: steps.into_iter().map(|(_, step)| step).collect(),
            restart_order,
            tier_fails: false,
            regions_cut: false,
            cuts: 0,
            actions: Vec::new(),
            pending: VecDeque::new(),
            latency: Histogram::new_with_max(3_600 * SECOND, 3).expect("these bounds are allowed"),
            open_measured: 0,
            measure_from,
            arrivals_end,
            topology,
        };
        fleet.next_change();
        for instance in 0..fleet.nodes.len() {
            fleet.tell_list(instance);
        }
        fleet
    }

    fn run(&mut self, progress: &dyn Fn(u64, u64)) {
        let last = self.arrivals_end + millis(self.config.deadline_ms) + SECOND;
        let length = self.arrivals_end - START;
        let mut tell_at = START;
        while let Some(event) = self.queue.pop() {
            let now = self.queue.now();
            if now >= tell_at {
                progress((now - START).min(length), length);
                tell_at = now + PROGRESS_EVERY;
            }
            if now >= self.arrivals_end && (self.open_measured == 0 || now >= last) {
                break;
            }
            self.on_event(event);
        }
        progress(length, length);
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Arrival => self.on_arrival(),
            Event::Reached(key) => self.on_reached(key),
            Event::Worked(key) => self.on_worked(key),
            Event::Answered(key) => self.on_answered(key),
            Event::Expired(key) => self.on_expired(key),
            Event::Withdrawn(key) => self.on_withdrawn(key),
            Event::Timer(instance, token) => self.tell(instance as usize, ModuleEvent::Timer(token)),
            Event::Discovery(event) => {
                let (instance, told) = self.discovery.handle(event, &mut self.queue);
                match told {
                    Told::Nothing => {}
                    Told::Changes(entries) if entries.is_empty() => {}
                    Told::Changes(entries) => self.tell(instance, ModuleEvent::EndpointsChanged(&entries)),
                    Told::Failed => self.tell(instance, ModuleEvent::DiscoveryFailed),
                }
            }
            Event::Notice(notice) => self.on_notice(notice as usize),
            Event::Fault(step) => self.on_fault(self.plan[step as usize]),
            Event::Stop(upstream) if self.servers[upstream as usize].life != Life::Up => {} // its zone was lost
            Event::Stop(upstream) => {
                self.stop(upstream as usize, Life::Down);
                let after = seconds(self.config.rolling_restart.down_s);
                self.queue.push(self.queue.now() + after, Event::Start(upstream));
            }
            Event::Start(upstream) => self.on_start(upstream as usize),
            Event::Ready(upstream) => self.on_ready(upstream as usize),
            Event::FrontLeft(front) => {
                self.front_called[front as usize] = self.front_up[front as usize];
            }
            Event::FrontReady(front) => {
                let front = front as usize;
                (self.front_up[front], self.front_called[front]) = (true, true);
                self.renew(self.topology.fronts[front].instances.clone());
            }
            Event::Change => self.on_change(),
        }
    }

    // ---- Clients ----

    fn on_arrival(&mut self) {
        let Arrival { at, class, entry } = self.next;
        self.next = self.load.next_arrival();
        if self.next.at < self.arrivals_end {
            self.queue.push(self.next.at, Event::Arrival);
        }
        let measured = at >= self.measure_from;
        self.count_request(at, measured, |count| &mut count.came);
        let first = self.rng.random_range(0..self.front_called.len());
        let fronts = (0..self.front_called.len()).map(|step| (first + step) % self.front_called.len());
        let Some(front) = fronts.into_iter().find(|&front| self.front_called[front]) else {
            return self.count_request(at, measured, |count| &mut count.lost);
        };
        if !self.front_up[front] {
            return self.count_request(at, measured, |count| &mut count.lost);
        }
        self.open_measured += u64::from(measured);
        let instance = self.topology.fronts[front].instances.start + entry;
        let deadline = at + self.classes[class].deadline;
        self.call(instance, Caller::Client, class, deadline, measured);
    }

    fn count_request(&mut self, came: Time, measured: bool, field: impl Fn(&mut RequestCount) -> &mut u64) {
        let second = ((came - START) / SECOND) as usize;
        if let Some(count) = self.counts.seconds.get_mut(second) {
            *field(count) += 1;
        }
        if measured {
            *field(&mut self.counts.requests) += 1;
        }
    }

    // ---- Calls ----

    /// A request comes to a balancer.
    fn call(&mut self, instance: usize, caller: Caller, class: usize, deadline: Time, measured: bool) -> Key {
        let now = self.queue.now();
        let node = &mut self.nodes[instance];
        let id = RequestId(node.next_id);
        node.next_id = node.next_id.wrapping_add(1);
        let call = Call {
            instance,
            id,
            caller,
            class,
            came: now,
            deadline,
            owed: true,
            attempts: 0,
            out: None,
            measured,
        };
        let key = self.calls.insert(call);
        node.calls.insert(id, key);
        self.counts.most_held = self.counts.most_held.max(node.calls.len());
        let time_left = deadline.saturating_sub(now);
        let demand = IncomingRequest { class, tenant: 0, time_left, work: None, streaming: false };
        if let Caller::Attempt(caller) = caller
            && let Some(attempt) = self.attempts.get_mut(caller)
        {
            attempt.place = Place::Calling(key);
        }
        self.tell(instance, ModuleEvent::Request(id, demand));
        key
    }

    /// Gives a request its final answer, if one is owed still.
    fn answer(&mut self, key: Key, answer: Answer) {
        let Some(call) = self.calls.get_mut(key) else { return };
        if !std::mem::replace(&mut call.owed, false) {
            return;
        }
        let (caller, came, measured) = (call.caller, call.came, call.measured);
        self.counts.refused_calls += u64::from(answer == Answer::Refused);
        self.forget_if_done(key);
        match caller {
            Caller::Client => {
                self.open_measured -= u64::from(measured);
                self.count_request(came, measured, |count| match answer {
                    Answer::Served => &mut count.served,
                    Answer::Refused => &mut count.refused,
                    Answer::Failed => &mut count.failed,
                });
                if measured && answer == Answer::Served {
                    self.latency.saturating_record(self.queue.now() - came);
                }
            }
            Caller::Attempt(attempt) => match answer {
                Answer::Served => self.call_on(attempt),
                // An upstream fails if any of its calls does.
                Answer::Refused | Answer::Failed => self.finish(attempt, AttemptOutcome::Error),
            },
        }
    }

    fn forget_if_done(&mut self, key: Key) {
        if self.calls.get(key).is_some_and(|call| !call.owed && call.out.is_none())
            && let Some(call) = self.calls.remove(key)
        {
            self.nodes[call.instance].calls.remove(&call.id);
        }
    }

    // ---- Attempts, at the balancer ----

    /// `times` are when the attempt is given up, and when it must have begun.
    fn send(&mut self, instance: usize, id: RequestId, server: EndpointId, times: (Time, Option<Time>)) {
        let now = self.queue.now();
        let (until, begin_by) = times;
        let node = &mut self.nodes[instance];
        let Some(&key) = node.calls.get(&id) else { return };
        let Some(call) = self.calls.get_mut(key) else { return };
        let (number, until) = (call.attempts, until.min(call.deadline));
        call.attempts += 1;
        let upstream = server.0 as usize;
        let (zone, other) = (self.topology.instances[instance].zone, self.topology.upstreams[upstream].zone);
        let way = way(self.config, zone, other);
        let idle = &mut node.idle[self.topology.place(upstream)];
        let connects = idle.count == 0 || now.saturating_sub(idle.used) >= seconds(self.config.conn_idle_s);
        let handshake = if connects { 2 * way } else { 0 };
        let begins = now + own_time(self.config) + handshake;
        if !call.owed
            || now >= until
            || begin_by.is_some_and(|end| begins >= end)
            || number >= self.config.max_attempts
        {
            let closed = !call.owed;
            let end = AttemptEnd {
                attempt: number,
                outcome: AttemptOutcome::NotSent,
                elapsed: 0,
                request_closed: closed,
                body_consumed: false,
                load: None,
            };
            return self.pending.push_back((instance, id, end));
        }
        idle.count = if connects { 0 } else { idle.count - 1 };
        let stale = !connects && idle.process != self.servers[upstream].process;
        let attempt = Attempt {
            call: key,
            number,
            upstream,
            class: call.class,
            sent: now,
            until,
            connects,
            stale,
            waited: true,
            place: Place::Coming,
            outcome: AttemptOutcome::Success,
            callee: 0,
            measured: call.measured,
        };
        let tier = self.topology.service_of(upstream).tier as usize;
        let out = self.attempts.insert(attempt);
        call.out = Some(out);
        self.counts.tiers[tier].calls += u64::from(call.measured);
        self.counts.retries += u64::from(call.measured && number > 0);
        self.counts.sends += 1;
        self.counts.sends_in_time += u64::from(now >= self.measure_from && now < self.arrivals_end);
        self.counts.connects += u64::from(connects);
        self.counts.cross_zone += u64::from(zone != other);
        self.counts.cross_region += u64::from(Topology::regions_differ(self.config, zone, other));
        self.queue.push(begins + way, Event::Reached(out));
        self.queue.push(until, Event::Expired(out));
    }

    /// Time from a balancer to the upstream of an attempt; `None` if nothing gets through.
    fn way_of(&self, attempt: &Attempt) -> Option<Time> {
        let zone = self.topology.instances[self.calls.get(attempt.call)?.instance].zone;
        let other = self.topology.upstreams[attempt.upstream].zone;
        let cut = self.regions_cut && Topology::regions_differ(self.config, zone, other);
        (!cut).then(|| way(self.config, zone, other))
    }

    fn on_answered(&mut self, key: Key) {
        let Some(attempt) = self.attempts.remove(key) else { return };
        if attempt.waited {
            self.ended(&attempt, attempt.outcome);
        }
    }

    fn on_expired(&mut self, key: Key) {
        let Some(attempt) = self.attempts.get(key).filter(|attempt| attempt.waited) else { return };
        let lost = attempt.place == Place::Lost;
        let outcome =
            if lost && attempt.connects { AttemptOutcome::ConnectFailed } else { AttemptOutcome::Timeout };
        let ended = *attempt;
        self.give_up(key, false);
        self.ended(&ended, outcome);
    }

    /// A balancer stops waiting for an attempt: it closes the connection, which the upstream sees unless its own
    /// machine or the balancer's has fallen silent.
    fn give_up(&mut self, key: Key, silent: bool) {
        let Some(attempt) = self.attempts.get_mut(key) else { return };
        attempt.waited = false;
        let lost = attempt.place == Place::Lost;
        let way = self.attempts.get(key).and_then(|attempt| self.way_of(attempt));
        match way.filter(|_| !silent) {
            _ if lost => drop(self.attempts.remove(key)),
            Some(way) => self.queue.push(self.queue.now() + way, Event::Withdrawn(key)),
            None => {}
        }
    }

    /// The balancer of an attempt hears how it ended.
    fn ended(&mut self, attempt: &Attempt, outcome: AttemptOutcome) {
        let now = self.queue.now();
        let tier = self.topology.service_of(attempt.upstream).tier as usize;
        if attempt.measured {
            let count = &mut self.counts.tiers[tier];
            *match outcome {
                AttemptOutcome::Success | AttemptOutcome::InvalidRequest => &mut count.ok,
                AttemptOutcome::Error => &mut count.errors,
                AttemptOutcome::Rejected => &mut count.full,
                AttemptOutcome::Timeout => &mut count.timeouts,
                AttemptOutcome::ConnectFailed => &mut count.unconnected,
                AttemptOutcome::Reset => &mut count.resets,
                AttemptOutcome::Cancelled | AttemptOutcome::NotSent => &mut count.withdrawn,
            } += 1;
        }
        let key = attempt.call;
        let Some(call) = self.calls.get_mut(key) else { return };
        call.out = None;
        let (instance, id, owed) = (call.instance, call.id, call.owed);
        if matches!(outcome, AttemptOutcome::Success | AttemptOutcome::Error | AttemptOutcome::Rejected) {
            let idle = &mut self.nodes[instance].idle[self.topology.place(attempt.upstream)];
            let process = self.servers[attempt.upstream].process;
            let count = if idle.process == process { idle.count + 1 } else { 1 };
            *idle = Idle { count, used: now, process };
        }
        let served = outcome == AttemptOutcome::Success && owed;
        let end = AttemptEnd {
            attempt: attempt.number,
            outcome,
            elapsed: now - attempt.sent,
            request_closed: served || !owed,
            body_consumed: false,
            load: None,
        };
        self.tell(instance, ModuleEvent::AttemptEnded(id, end));
        if served {
            self.answer(key, Answer::Served);
        } else {
            self.forget_if_done(key);
        }
    }

    // ---- Attempts, at the upstream ----

    fn on_reached(&mut self, key: Key) {
        let now = self.queue.now();
        let Some(attempt) = self.attempts.get(key) else { return };
        if !attempt.waited {
            self.attempts.remove(key);
            return;
        }
        let (upstream, connects, stale, sent) =
            (attempt.upstream, attempt.connects, attempt.stale, attempt.sent);
        let through = self.way_of(attempt).is_some();
        let life = self.servers[upstream].life;
        if !through || life == Life::Silent {
            let Some(attempt) = self.attempts.get_mut(key) else { return };
            attempt.place = Place::Lost;
            if connects {
                (attempt.place, attempt.outcome) = (Place::Answering, AttemptOutcome::ConnectFailed);
                self.queue.push(sent + millis(self.config.connect_timeout_ms), Event::Answered(key));
            }
            return;
        }
        if life == Life::Down {
            return self.finish(key, AttemptOutcome::ConnectFailed);
        }
        if stale {
            return self.finish(key, AttemptOutcome::Reset);
        }
        if self.falls(upstream) {
            self.counts.cold_falls += 1;
            let process = self.servers[upstream].process;
            self.stop(upstream, Life::Down);
            self.notice(upstream, EndpointState::Removed, false, Holds::Process(process + 1));
            return self.finish(key, AttemptOutcome::ConnectFailed);
        }
        let slots = self.topology.service_of(upstream).slots;
        let server = &mut self.servers[upstream];
        if server.busy < slots {
            self.begin(key);
        } else if server.queue.len() < self.config.queue_limit {
            server.queue.push_back(key);
            if let Some(attempt) = self.attempts.get_mut(key) {
                attempt.place = Place::Queued;
            }
        } else {
            self.finish(key, AttemptOutcome::Rejected);
        }
        debug_assert!(now >= sent);
    }

    /// Part of its capacity that an upstream has: all of it once it is warm.
    fn warmth(&self, upstream: usize) -> f64 {
        let Some(started) = self.servers[upstream].started else { return 1.0 };
        let age = (self.queue.now() - started) as f64 / (self.config.ramp_s * 1e9).max(1.0);
        (self.config.start_capacity + (1.0 - self.config.start_capacity) * age).min(1.0)
    }

    /// Counts a call of a cold upstream, and tells whether it falls over: more came in the window than the
    /// multiple of what it can do, and than chance adds to that.
    fn falls(&mut self, upstream: usize) -> bool {
        let warmth = self.warmth(upstream);
        if warmth >= 1.0 {
            return false;
        }
        self.counts.cold_calls += 1;
        let service = self.topology.service_of(upstream);
        let capacity = f64::from(service.slots) / service.work * 1e9 * warmth;
        let step = self.queue.now() / seconds(self.config.fall_s / FALL_STEPS as f64).max(1);
        let server = &mut self.servers[upstream];
        for passed in server.step + 1..=step.min(server.step + FALL_STEPS as Time) {
            server.recent[(passed % FALL_STEPS as Time) as usize] = 0;
        }
        if step > server.step + FALL_STEPS as Time {
            server.recent = [0; FALL_STEPS];
        }
        server.step = step;
        server.recent[(step % FALL_STEPS as Time) as usize] += 1;
        let most = self.config.tip_multiple * capacity * self.config.fall_s;
        f64::from(server.recent.iter().sum::<u32>()) > most + 2.0 * most.sqrt() + 2.0
    }

    fn begin(&mut self, key: Key) {
        let Some(attempt) = self.attempts.get_mut(key) else { return };
        attempt.place = Place::Working;
        let upstream = attempt.upstream;
        self.servers[upstream].busy += 1;
        let mean = self.topology.service_of(upstream).work;
        let took = mean * self.work.sample(&mut self.rng) / self.warmth(upstream);
        self.queue.push(self.queue.now() + took as Time, Event::Worked(key));
    }

    fn on_worked(&mut self, key: Key) {
        let Some(attempt) = self.attempts.get(key).filter(|attempt| attempt.place == Place::Working) else {
            return;
        };
        let (upstream, waited) = (attempt.upstream, attempt.waited);
        self.servers[upstream].busy -= 1;
        self.begin_next(upstream);
        if !waited {
            self.attempts.remove(key);
            return;
        }
        let tier = self.topology.service_of(upstream).tier as usize;
        let fault = &self.config.tier_fault;
        let failing = self.tier_fails && (fault.all_tiers || tier == self.config.watched_tier());
        if failing && self.rng.random_bool(fault.share) {
            self.finish(key, AttemptOutcome::Error);
        } else {
            self.call_on(key);
        }
    }

    /// Takes the next call from an upstream's queue; one whose time is over is not begun any more.
    fn begin_next(&mut self, upstream: usize) {
        let now = self.queue.now();
        while let Some(key) = self.servers[upstream].queue.pop_front() {
            match self.attempts.get(key).map(|attempt| (attempt.waited, now < attempt.until)) {
                Some((true, true)) => return self.begin(key),
                Some((true, false)) => self.finish(key, AttemptOutcome::Rejected),
                Some((false, _)) => drop(self.attempts.remove(key)),
                None => {}
            }
        }
    }

    /// An upstream makes the next of its calls for an attempt, or has its answer.
    fn call_on(&mut self, key: Key) {
        let Some(attempt) = self.attempts.get_mut(key) else { return };
        let (class, until, measured, upstream) =
            (attempt.class, attempt.until, attempt.measured, attempt.upstream);
        let place = &self.topology.upstreams[upstream];
        let callees = &self.topology.services[place.service].callees;
        while let Some(callee) = callees.get(attempt.callee) {
            let instance = place.instances.start + attempt.callee;
            attempt.callee += 1;
            if callee.chance >= 1.0 || self.rng.random_bool(callee.chance) {
                self.call(instance, Caller::Attempt(key), class, until, measured);
                return;
            }
        }
        self.finish(key, AttemptOutcome::Success);
    }

    /// An upstream answers an attempt.
    fn finish(&mut self, key: Key, outcome: AttemptOutcome) {
        let Some(attempt) = self.attempts.get(key) else { return };
        let way = self.way_of(attempt).filter(|_| attempt.waited);
        let waited = attempt.waited;
        match way {
            Some(way) => {
                let at = self.queue.now() + way + own_time(self.config);
                self.queue.push(at, Event::Answered(key));
                if let Some(attempt) = self.attempts.get_mut(key) {
                    (attempt.place, attempt.outcome) = (Place::Answering, outcome);
                }
            }
            None if waited => {
                if let Some(attempt) = self.attempts.get_mut(key) {
                    attempt.place = Place::Lost;
                    attempt.connects = false; // it has reached the upstream: nothing says that it never ran
                }
            }
            None => drop(self.attempts.remove(key)),
        }
    }

    fn on_withdrawn(&mut self, key: Key) {
        let Some(attempt) = self.attempts.get(key) else { return };
        match attempt.place {
            Place::Queued => {
                let upstream = attempt.upstream;
                self.servers[upstream].queue.retain(|&queued| queued != key);
                self.attempts.remove(key);
            }
            Place::Calling(call) => {
                self.attempts.remove(key);
                self.caller_gone(call);
            }
            Place::Lost => drop(self.attempts.remove(key)),
            Place::Coming | Place::Working | Place::Answering => {} // seen when that is over
        }
    }

    fn caller_gone(&mut self, key: Key) {
        let Some(call) = self.calls.get_mut(key).filter(|call| call.owed) else { return };
        call.owed = false;
        let (instance, id) = (call.instance, call.id);
        self.tell(instance, ModuleEvent::ClientDisconnected(id));
        self.forget_if_done(key);
    }

    // ---- Lists ----

    /// A change of an upstream's entry comes into the list once discovery has noticed it.
    fn notice(&mut self, upstream: usize, lifecycle: EndpointState, silent: bool, holds: Holds) {
        let happened = self.queue.now();
        let at = self.discovery.notice(happened, silent);
        self.queue.push(at, Event::Notice(self.notices.len() as u32));
        self.notices.push(Notice { upstream, lifecycle, happened, holds });
    }

    fn on_notice(&mut self, notice: usize) {
        let Notice { upstream, lifecycle, happened, holds } = self.notices[notice];
        let holds = match holds {
            Holds::Process(process) => self.servers[upstream].process == process,
            Holds::Cut(cut) => self.regions_cut && self.cuts == cut,
        };
        if holds {
            self.list(upstream, lifecycle, happened);
        }
    }

    fn list(&mut self, upstream: usize, lifecycle: EndpointState, happened: Time) {
        let (service, entry) = (self.topology.upstreams[upstream].service, self.topology.place(upstream));
        let started = self.servers[upstream].started;
        let change = |entry: &mut EndpointEntry| (entry.state, entry.started) = (lifecycle, started);
        self.discovery.change(service, entry, change, happened, &mut self.queue);
        self.counts.changes += 1;
    }

    /// Sets the time of the next change that no fault brings about.
    fn next_change(&mut self) {
        let rate = self.config.discovery.changes_per_day / 86_400.0;
        if rate > 0.0 {
            let wait: f64 = Exp1.sample(&mut self.rng);
            self.queue.push(self.queue.now() + seconds(wait / rate), Event::Change);
        }
    }

    /// An upstream is given another size, in turn a little less and all of it.
    fn on_change(&mut self) {
        self.next_change();
        let upstream = self.rng.random_range(0..self.servers.len());
        let (service, entry) = (self.topology.upstreams[upstream].service, self.topology.place(upstream));
        let change =
            |entry: &mut EndpointEntry| entry.capacity = if entry.capacity < 1.0 { 1.0 } else { 0.9 };
        self.discovery.change(service, entry, change, self.queue.now(), &mut self.queue);
        self.counts.changes += 1;
    }

    // ---- Faults ----

    fn on_fault(&mut self, step: Step) {
        match step {
            Step::TierFails(fails) => self.tier_fails = fails,
            Step::ZoneLost(zone, lost) => self.on_zone(zone, lost),
            Step::RegionsCut(cut) => self.on_regions(cut),
            Step::DiscoveryDown(down) => self.discovery.set_down(down, &mut self.queue),
            Step::Restart(at) => {
                let upstream = self.restart_order[at as usize];
                if self.servers[upstream].life == Life::Up {
                    self.counts.restarts += 1;
                    self.list(upstream, EndpointState::Draining, self.queue.now());
                    let at = self.queue.now() + seconds(self.config.rolling_restart.drain_s);
                    self.queue.push(at, Event::Stop(upstream as u32));
                }
            }
        }
    }

    fn on_zone(&mut self, zone: usize, lost: bool) {
        let now = self.queue.now();
        for upstream in
            (0..self.servers.len()).filter(|&at| self.topology.upstreams[at].zone == zone).collect::<Vec<_>>()
        {
            if lost {
                self.stop(upstream, Life::Silent);
                let process = self.servers[upstream].process;
                self.notice(upstream, EndpointState::Removed, true, Holds::Process(process));
            } else {
                self.on_start(upstream);
            }
        }
        for front in
            (0..self.front_up.len()).filter(|&at| self.topology.fronts[at].zone == zone).collect::<Vec<_>>()
        {
            let instances = self.topology.fronts[front].instances.clone();
            if lost {
                self.front_up[front] = false;
                self.end_instances(instances, true);
                let at = now + seconds(self.config.front_notice_s);
                self.queue.push(at, Event::FrontLeft(front as u32));
            } else {
                let ready = self.first_lists(instances);
                self.queue.push(ready, Event::FrontReady(front as u32));
            }
        }
    }

    fn on_regions(&mut self, cut: bool) {
        self.regions_cut = cut;
        self.cuts += u32::from(cut);
        for instance in 0..self.nodes.len() {
            if Topology::regions_differ(self.config, 0, self.topology.instances[instance].zone) {
                self.discovery.set_cut(instance, cut, &mut self.queue);
            }
        }
        for upstream in 0..self.servers.len() {
            if Topology::regions_differ(self.config, 0, self.topology.upstreams[upstream].zone) {
                let list = self.discovery.list(self.topology.upstreams[upstream].service);
                let gone = list[self.topology.place(upstream)].state == EndpointState::Removed;
                if cut {
                    self.notice(upstream, EndpointState::Removed, true, Holds::Cut(self.cuts));
                } else if gone && self.servers[upstream].life == Life::Up {
                    let process = self.servers[upstream].process;
                    self.notice(upstream, EndpointState::InService, false, Holds::Process(process));
                }
            }
        }
    }

    /// The process of an upstream ends, and with it its balancer. Connections to it are reset, unless its machine
    /// is gone: then they are found out when they are used.
    fn stop(&mut self, upstream: usize, life: Life) {
        if life == Life::Down {
            let place = self.topology.place(upstream);
            self.topology
                .service_of(upstream)
                .callers
                .iter()
                .for_each(|&caller| self.nodes[caller].idle[place].count = 0);
        }
        let server = &mut self.servers[upstream];
        server.life = life;
        server.process += 1;
        server.busy = 0;
        server.queue.clear();
        let held = |attempt: &Attempt| {
            let there = matches!(attempt.place, Place::Queued | Place::Working | Place::Calling(_));
            attempt.upstream == upstream && there
        };
        for key in self.attempts.keys(held) {
            if life == Life::Silent {
                if let Some(attempt) = self.attempts.get_mut(key) {
                    (attempt.place, attempt.connects) = (Place::Lost, false);
                }
                if self.attempts.get(key).is_some_and(|attempt| !attempt.waited) {
                    self.attempts.remove(key);
                }
            } else {
                self.finish(key, AttemptOutcome::Reset);
            }
        }
        self.end_instances(self.topology.upstreams[upstream].instances.clone(), life == Life::Silent);
    }

    /// Module instances end: nobody waits for their attempts any more, and clients' requests are lost.
    fn end_instances(&mut self, instances: Range<usize>, silent: bool) {
        for key in self.calls.keys(|call| instances.contains(&call.instance)) {
            let Some(call) = self.calls.get(key) else { continue };
            let (out, caller, came, measured, owed) =
                (call.out, call.caller, call.came, call.measured, call.owed);
            if owed && caller == Caller::Client {
                self.open_measured -= u64::from(measured);
                self.count_request(came, measured, |count| &mut count.lost);
            }
            if let Some(out) = out {
                self.give_up(out, silent);
            }
            self.calls.remove(key);
        }
        for instance in instances {
            let node = &mut self.nodes[instance];
            node.alive = false;
            node.calls.clear();
            node.idle.fill(Idle::default());
            self.discovery.gone(instance);
        }
    }

    /// A new process starts: cold, and of use once its balancer has its lists.
    fn on_start(&mut self, upstream: usize) {
        let now = self.queue.now();
        self.servers[upstream].started = Some(now);
        let instances = self.topology.upstreams[upstream].instances.clone();
        let ready = self.first_lists(instances);
        self.counts.longest_start = self.counts.longest_start.max(ready - now);
        self.queue.push(ready, Event::Ready(upstream as u32));
    }

    /// When module instances that start now have their lists.
    fn first_lists(&mut self, instances: Range<usize>) -> Time {
        let now = self.queue.now();
        instances.map(|at| self.discovery.first_list(at, now)).max().unwrap_or(now)
    }

    fn on_ready(&mut self, upstream: usize) {
        let server = &mut self.servers[upstream];
        if server.life == Life::Up {
            return; // started twice: after a restart, and with its zone
        }
        server.life = Life::Up;
        (server.recent, server.step) = ([0; FALL_STEPS], 0);
        let process = server.process;
        self.renew(self.topology.upstreams[upstream].instances.clone());
        self.notice(upstream, EndpointState::InService, false, Holds::Process(process));
    }

    /// Module instances start anew, and know their lists.
    fn renew(&mut self, instances: Range<usize>) {
        let now = self.queue.now();
        for instance in instances {
            let of = &self.topology.instances[instance];
            let seed = self.rng.random();
            let balancer = balancer(self.config, &self.classes, &self.topology, of, seed, now);
            let node = &mut self.nodes[instance];
            (node.balancer, node.alive) = (balancer, true);
            self.tell_list(instance);
        }
    }

    // ---- The module ----

    fn tell_list(&mut self, instance: usize) {
        let list = self.discovery.list(self.topology.instances[instance].service).to_vec();
        self.tell(instance, ModuleEvent::EndpointList(&list));
    }

    /// Tells an instance of an event, does what it says, and tells it of what came of that at once.
    fn tell(&mut self, instance: usize, event: ModuleEvent<'_>) {
        self.handle(instance, event);
        while let Some((instance, id, end)) = self.pending.pop_front() {
            self.handle(instance, ModuleEvent::AttemptEnded(id, end));
            if let Some(&key) = self.nodes[instance].calls.get(&id) {
                self.forget_if_done(key);
            }
        }
    }

    fn handle(&mut self, instance: usize, event: ModuleEvent<'_>) {
        let node = &mut self.nodes[instance];
        if !node.alive {
            return;
        }
        self.counts.module_events += 1;
        let mut actions = std::mem::take(&mut self.actions);
        node.balancer.handle(self.queue.now(), event, &mut actions);
        actions.drain(..).for_each(|action| self.act(instance, action));
        self.actions = actions;
    }

    fn act(&mut self, instance: usize, action: Action) {
        match action {
            Action::Send { id, endpoint: server, until, begin_by } => {
                self.send(instance, id, server, (until, begin_by))
            }
            Action::Reject { id, .. } => self.answer_id(instance, id, Answer::Refused),
            Action::Fail(id) => self.answer_id(instance, id, Answer::Failed),
            Action::Cancel { id, attempt } => self.withdraw(instance, id, attempt),
            Action::CloseIdle(server) => {
                self.nodes[instance].idle[self.topology.place(server.0 as usize)].count = 0;
            }
            Action::SetTimer { after, token } => {
                self.queue.push(self.queue.now().saturating_add(after), Event::Timer(instance as u32, token));
            }
            Action::WatchEndpoints => self.discovery.watch(instance, &mut self.queue),
            Action::QueryLoad(_) => self.counts.probes += 1, // the settings allow none
            Action::Log(_) => self.counts.logs += 1,
        }
    }

    fn answer_id(&mut self, instance: usize, id: RequestId, answer: Answer) {
        if let Some(&key) = self.nodes[instance].calls.get(&id) {
            self.answer(key, answer);
        }
    }

    fn withdraw(&mut self, instance: usize, id: RequestId, number: u32) {
        let Some(&key) = self.nodes[instance].calls.get(&id) else { return };
        let Some(out) = self.calls.get(key).and_then(|call| call.out) else { return };
        let Some(attempt) = self.attempts.get(out).filter(|attempt| attempt.number == number) else { return };
        let sent = attempt.sent;
        self.counts.withdrawals += 1;
        self.give_up(out, false);
        let Some(call) = self.calls.get_mut(key) else { return };
        call.out = None;
        let (elapsed, closed) = (self.queue.now() - sent, !call.owed);
        let end = AttemptEnd {
            attempt: number,
            outcome: AttemptOutcome::Cancelled,
            elapsed,
            request_closed: closed,
            body_consumed: false,
            load: None,
        };
        self.pending.push_back((instance, id, end));
    }
}

/// A final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answer {
    Served,
    Refused,
    Failed,
}

/// A module instance as its balancer starts it.
fn balancer(
    config: &Config,
    classes: &[RequestClass],
    topology: &Topology,
    instance: &Instance,
    seed: u64,
    now: Time,
) -> LoadBalancer {
    let tier = match instance.owner {
        Owner::Front(_) => 0,
        Owner::Upstream(upstream) => topology.services[topology.upstreams[upstream].service].tier + 1,
    };
    let settings = Settings {
        classes: classes.to_vec(),
        tenants: Vec::new(),
        over_quota_weight: 1.0,
        weight_by_work: false,
        zone: ZoneId(instance.zone as u8),
        zones: config.zones,
        replicas: topology.services[instance.service].callers.len() as u32,
        tier,
        propagates_deadline: true,
        polls_discovery: config.discovery.ask,
        poll_within: seconds(config.discovery.ask_within_s),
        may_cancel: true,
        max_retry_after: SECOND,
        max_attempts: config.max_attempts,
        idle_timeout: seconds(config.conn_idle_s),
        initial_capacity: config.start_capacity,
        overload_multiple: config.tip_multiple,
        warm_up_time: seconds(config.ramp_s),
        in_flight_figure_position: None,
        load_on_request: false,
        cross_zone_price: config.cross_price,
        load_query_price: 1.0,
    };
    LoadBalancer::new(settings, seed, now).expect("settings that come from a checked configuration hold")
}

/// What a balancer adds to a call, or to its answer.
fn own_time(config: &Config) -> Time {
    (config.balancer_us * 1e3) as Time
}

/// Time from one zone to another.
fn way(config: &Config, zone: usize, other: usize) -> Time {
    millis(match (zone == other, Topology::regions_differ(config, zone, other)) {
        (true, _) => config.same_zone_ms,
        (_, true) => config.cross_region_ms,
        (_, false) => config.cross_zone_ms,
    })
}
