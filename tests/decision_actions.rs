//! Replays recorded traffic through the decision module, and compares every action with those of the version before.
//!
//! The traffic is generated from a seed and reacts to the module: attempts end, time out and are cancelled, endpoints
//! fail, reject, restart, drain and are taken offline. What is compared are the bytes that the simulator adapter would
//! write, log lines aside. A change that is meant to alter decisions has to say so, and to replace the digests in
//! `tests/golden/decision_actions.txt` by those that the failing test prints.

mod common;

use common::*;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use woadstall::Balancer;
use woadstall::api::*;
use woadstall::wire::Reply;

const RECORDED: &str = include_str!("golden/decision_actions.txt");
const ENDPOINTS: u32 = 12;
const ZONES: u8 = 3;
/// How long a scenario lasts on virtual time.
const LENGTH: u64 = 12 * SECOND;
/// Requests a second, on average.
const BUSY: f64 = 400.0;
/// So few requests a second that connections are idle in between.
const SPARSE: f64 = 30.0;
/// How many times the rate is in the burst, which is more than the endpoints can do.
const BURST_RISE: f64 = 10.0;
const BURST: std::ops::Range<u64> = 7 * SECOND..8 * SECOND;
/// While this lasts, some endpoints fail, reject, or take no connections.
const FAULTS: std::ops::Range<u64> = 2 * SECOND..6 * SECOND;
/// Idle connections are cut after this time while the faults last.
const REAPED_AFTER: u64 = 300 * MS;

/// What happens next in the world around the module.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Arrival,
    Timer(u64),
    AttemptOver { id: u32, attempt: u32 },
    ClientLeaves(u32),
    QueryOver(u32),
    Step(usize),
}

/// A request, and its attempt in flight.
#[derive(Default)]
struct Call {
    class: usize,
    streaming: bool,
    started: bool,
    closed: bool,
    attempts: u32,
    in_flight: Option<(u32, u64, Outcome)>,
}

/// How often each kind of action was seen.
#[derive(Debug, Default)]
struct Seen {
    attempts: u64,
    retries: u64,
    rejected: u64,
    failed: u64,
    cancelled: u64,
    queries: u64,
    closed_idle: u64,
    watches: u64,
    breaker_openings: u64,
    shedding_began: u64,
    actions: u64,
}

/// FNV-1a, 64 bits: a digest that needs no library and never changes.
struct Digest(u64);

impl Digest {
    fn new() -> Self {
        Self(0xcbf2_9ce4_8422_2325)
    }

    fn add(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
}

struct World {
    balancer: Balancer,
    may_cancel: bool,
    rate: f64,
    rng: fastrand::Rng,
    now: u64,
    order: u64,
    due: BinaryHeap<Reverse<(u64, u64, Due)>>,
    calls: HashMap<u32, Call>,
    next_id: u32,
    in_flight: [u32; ENDPOINTS as usize],
    /// When an attempt ended last at each endpoint.
    idle_since: [u64; ENDPOINTS as usize],
    list: Vec<ListEntry>,
    digest: Digest,
    seen: Seen,
}

impl World {
    fn new(settings: Settings, rate: f64, seed: u64) -> Self {
        let mut world = Self {
            may_cancel: settings.may_cancel,
            rate,
            balancer: Balancer::new(settings, seed, SECOND).unwrap(),
            rng: fastrand::Rng::with_seed(seed ^ 0x5eed),
            now: SECOND,
            order: 0,
            due: BinaryHeap::new(),
            calls: HashMap::new(),
            next_id: 0,
            in_flight: [0; ENDPOINTS as usize],
            idle_since: [SECOND; ENDPOINTS as usize],
            list: zones(ZONES, ENDPOINTS / u32::from(ZONES)),
            digest: Digest::new(),
            seen: Seen::default(),
        };
        world.tell_list();
        world.after(0, Due::Arrival);
        for step in 0..40 {
            world.after(step as u64 * LENGTH / 40, Due::Step(step));
        }
        world
    }

    fn after(&mut self, delay: u64, due: Due) {
        self.order += 1;
        self.due.push(Reverse((self.now + delay, self.order, due)));
    }

    fn run(mut self) -> (u64, Seen) {
        while let Some(Reverse((at, _, due))) = self.due.pop() {
            if at > SECOND + LENGTH {
                break;
            }
            self.now = at;
            self.on_due(due);
        }
        (self.digest.0, self.seen)
    }

    fn on_due(&mut self, due: Due) {
        match due {
            Due::Arrival => self.on_arrival(),
            Due::Timer(token) => self.tell(Event::Timer(token)),
            Due::AttemptOver { id, attempt } => self.on_attempt_over(id, attempt),
            Due::ClientLeaves(id) => self.on_client_leaves(id),
            Due::QueryOver(endpoint) => {
                let load = held(self.in_flight[endpoint as usize] as f32);
                self.tell(Event::Probed(ServerId(endpoint), Outcome::Ok, load));
            }
            Due::Step(step) => self.on_step(step),
        }
    }

    fn since_start(&self) -> u64 {
        self.now - SECOND
    }

    // ---- Clients ----

    fn on_arrival(&mut self) {
        let rise = if BURST.contains(&self.since_start()) { BURST_RISE } else { 1.0 };
        let rate = self.rate * rise;
        let gap = (-self.rng.f64().max(1e-9).ln() / rate * SECOND as f64) as u64;
        self.after(gap, Due::Arrival);
        let id = self.next_id;
        self.next_id += 1;
        let class = self.rng.usize(..5);
        let streaming = self.rng.f64() < 0.03;
        self.calls.insert(id, Call { class, streaming, ..Call::default() });
        let work = (self.rng.f64() < 0.5).then(|| self.rng.u64(..10 * MS));
        let tenant = self.rng.usize(..3);
        let demand = Demand { class, tenant, time_left: 1500 * MS, work, streamed: streaming };
        if self.rng.f64() < 0.04 {
            let delay = self.rng.u64(..100 * MS);
            self.after(delay, Due::ClientLeaves(id));
        }
        self.tell(Event::Request(RequestId(id), demand));
    }

    fn on_client_leaves(&mut self, id: u32) {
        if self.calls.get(&id).is_some_and(|call| !call.closed) {
            self.calls.entry(id).and_modify(|call| call.closed = true);
            self.tell(Event::ClientGone(RequestId(id)));
        }
    }

    // ---- Endpoints ----

    fn send(&mut self, id: u32, endpoint: u32, until: u64) {
        let outcome = self.outcome(id, endpoint);
        let load = f64::from(self.in_flight[endpoint as usize]);
        let base = 4.0 + 8.0 * self.rng.f64();
        let slow = if FAULTS.contains(&self.since_start()) && endpoint == 5 { 20.0 } else { 1.0 };
        let took = match outcome {
            Outcome::Full | Outcome::ConnectFailed => MS / 2,
            _ => (base * slow * (1.0 + load * load / 12.0) * MS as f64) as u64,
        };
        let left = until.saturating_sub(self.now);
        let (took, outcome) = if took >= left { (left, Outcome::Timeout) } else { (took, outcome) };
        let now = self.now;
        let call = self.calls.get_mut(&id).expect("a request that was made");
        let attempt = call.attempts;
        call.attempts += 1;
        call.in_flight = Some((endpoint, now, outcome));
        self.in_flight[endpoint as usize] += 1;
        self.seen.attempts += 1;
        self.seen.retries += u64::from(attempt > 0);
        self.after(took, Due::AttemptOver { id, attempt });
    }

    fn outcome(&mut self, id: u32, endpoint: u32) -> Outcome {
        let chance = self.rng.f64();
        let class = self.calls[&id].class;
        if endpoint == 0 && self.since_start() >= FAULTS.start && chance < 0.9 {
            return Outcome::Error; // to the end: its breaker opens for longer and longer
        }
        if FAULTS.contains(&self.since_start()) {
            match endpoint {
                1 if class == UNSAFE || class == KEYED_ALL => return Outcome::Full,
                2 if chance < 0.8 => return Outcome::ConnectFailed,
                3 if chance < 0.7 => return Outcome::Reset,
                6.. if self.is_reaped(endpoint) => return Outcome::Reset,
                _ => {}
            }
        }
        match chance {
            ..0.005 => Outcome::Error,
            ..0.010 => Outcome::Reset,
            ..0.012 => Outcome::Moot,
            ..0.014 => Outcome::Declined,
            _ => Outcome::Ok,
        }
    }

    /// Whether the connections to an endpoint have been idle for so long that something between cuts them.
    fn is_reaped(&self, endpoint: u32) -> bool {
        let at = endpoint as usize;
        self.in_flight[at] == 0 && self.now - self.idle_since[at] > REAPED_AFTER
    }

    fn on_attempt_over(&mut self, id: u32, attempt: u32) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let Some((endpoint, sent, outcome)) = call.in_flight.filter(|_| call.attempts == attempt + 1) else {
            return;
        };
        if call.streaming && !call.started && outcome == Outcome::Ok {
            call.started = true;
            call.closed = true;
            self.tell(Event::Started(RequestId(id), attempt));
            return self.after(30 * MS, Due::AttemptOver { id, attempt });
        }
        call.in_flight = None;
        let closed = call.closed || matches!(outcome, Outcome::Ok | Outcome::Declined);
        call.closed = closed;
        self.in_flight[endpoint as usize] -= 1;
        self.idle_since[endpoint as usize] = self.now;
        let spent = call.streaming;
        let elapsed = self.now - sent;
        let end = End { attempt, outcome, elapsed, closed, spent, load: None };
        self.tell(Event::Ended(RequestId(id), end));
    }

    // ---- Discovery and operators ----

    fn on_step(&mut self, step: usize) {
        match step {
            4 => self.tell(Event::ListFailed),
            5 => self.restart(7),
            8 => self.change(8, Lifecycle::Draining),
            9 => self.change(8, Lifecycle::Gone),
            12 => self.tell(Event::Offline(ServerId(9))),
            15 => self.tell(Event::Online(ServerId(9))),
            16 => self.tell(Event::ListMoved),
            18 => (0..4).for_each(|endpoint| self.restart(endpoint)),
            20 => self.tell(Event::ListFailed),
            22 => self.tell_list(),
            30 => (0..ENDPOINTS).for_each(|endpoint| self.restart(endpoint)),
            _ => {}
        }
    }

    fn restart(&mut self, endpoint: u32) {
        let now = self.now;
        let Some(entry) = self.list.iter_mut().find(|entry| entry.server.0 == endpoint) else { return };
        entry.started = Some(now);
        let entry = entry.clone();
        self.tell(Event::ListChange(&[entry]));
    }

    fn change(&mut self, endpoint: u32, lifecycle: Lifecycle) {
        let position = self.list.iter().position(|entry| entry.server.0 == endpoint).expect("a listed one");
        self.list[position].lifecycle = lifecycle;
        let entry = self.list[position].clone();
        if lifecycle == Lifecycle::Gone {
            self.list.remove(position);
        }
        self.tell(Event::ListChange(&[entry]));
    }

    fn tell_list(&mut self) {
        let list = self.list.clone();
        self.tell(Event::List(&list));
    }

    // ---- The module ----

    fn tell(&mut self, event: Event<'_>) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in actions {
            self.record(&action);
            self.act(&action);
        }
    }

    fn record(&mut self, action: &Action) {
        if let Action::Log(text) = action {
            self.seen.breaker_openings += u64::from(text.contains("breaker"));
            self.seen.shedding_began += u64::from(text.contains("shedding began"));
            return;
        }
        let mut reply = Reply::default();
        reply.push(0, action);
        let mut bytes = Vec::new();
        reply.finish(0, &mut bytes);
        self.digest.add(&bytes);
        self.seen.actions += 1;
    }

    fn act(&mut self, action: &Action) {
        match *action {
            Action::Send { id, server, until, begin_by } => {
                self.digest.add(&begin_by.unwrap_or(0).to_le_bytes()); // the adapter's wire does not carry it
                self.send(id.0, server.0, until);
            }
            Action::SetTimer { after, token } => self.after(after, Due::Timer(token)),
            Action::Refuse { id, .. } => {
                self.seen.rejected += 1;
                self.close(id);
            }
            Action::Fail(id) => {
                self.seen.failed += 1;
                self.close(id);
            }
            Action::Cancel { id, attempt } => self.cancel(id, attempt),
            Action::Probe(endpoint) => {
                self.seen.queries += 1;
                let delay = self.rng.u64(..7 * MS);
                self.after(delay, Due::QueryOver(endpoint.0));
            }
            Action::Close(_) => self.seen.closed_idle += 1,
            Action::Watch => self.seen.watches += 1,
            Action::Log(_) => {}
        }
    }

    fn close(&mut self, id: RequestId) {
        self.calls.entry(id.0).and_modify(|call| call.closed = true);
    }

    fn cancel(&mut self, id: RequestId, attempt: u32) {
        assert!(self.may_cancel);
        self.seen.cancelled += 1;
        if let Some(call) = self.calls.get_mut(&id.0)
            && let Some((_, _, outcome)) = &mut call.in_flight
        {
            *outcome = Outcome::Cancelled;
            self.after(MS, Due::AttemptOver { id: id.0, attempt });
        }
    }
}

fn play(name: &str, settings: Settings, rate: f64) -> (String, Seen) {
    let (digest, seen) = World::new(settings, rate, 17).run();
    (format!("{name} {digest:016x} {}", seen.actions), seen)
}

/// Settings in which every part of the module has something to do.
fn busy() -> Settings {
    let tenant = Tenant { quota_rps: 300.0 };
    Settings { tenants: vec![tenant; 3], ramp_time: 3 * SECOND, max_retry_after: SECOND, ..settings() }
}

/// Guards the decisions over a change that should not alter any.
#[test]
fn actions_are_those_that_were_recorded() {
    let polled =
        Settings { ask_discovery: true, siblings: 40, cross_price: 0.02, conn_idle: SECOND / 2, ..busy() };
    let queried = Settings { report_inflight: Some(0), load_by_probe: true, worth_by_work: true, ..busy() };
    let deeper = Settings { tier: 1, may_cancel: false, passes_deadline: false, ..busy() };
    let (pushed_line, pushed) = play("pushed", busy(), BUSY);
    let (polled_line, polled) = play("polled", polled, BUSY);
    let (queried_line, queried) = play("queried", queried, BUSY);
    let (deeper_line, deeper) = play("deeper", deeper, BUSY);
    let (sparse_line, sparse) = play("sparse", busy(), SPARSE);
    for seen in [&pushed, &polled, &queried, &deeper] {
        assert!(seen.retries > 50 && seen.breaker_openings > 0 && seen.closed_idle > 20, "{seen:?}");
    }
    for seen in [&pushed, &polled, &queried] {
        assert!(seen.rejected > 100 && seen.shedding_began > 0 && seen.cancelled > 20, "{seen:?}");
    }
    assert!(polled.watches > 0 && queried.queries > 1000 && pushed.failed > 0, "{polled:?} {queried:?}");
    assert!(sparse.closed_idle > 20 && sparse.retries > 0, "{sparse:?}");
    let played = [pushed_line, polled_line, queried_line, deeper_line, sparse_line].join("\n");
    assert_eq!(played, RECORDED.trim_end(), "now:\n{played}\n");
}
