//! Replays generated traffic through the decision module, and compares every action with those of an earlier
//! version.
//!
//! The traffic is generated from a seed and reacts to the module: attempts end, time out and are cancelled;
//! endpoints fail, reject, restart, drain and are taken offline. The bytes that the simulator adapter would
//! write are compared, without log lines. A change that alters decisions on purpose has to say so, and to
//! replace the digests in `tests/golden/decision_actions.txt` by those that the failing test prints.

mod common;

use balancer::decision::*;
use balancer::simulator::Reply;
use common::*;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// Name, digest and number of actions of each scenario, as recorded.
const RECORDED: &str = include_str!("golden/decision_actions.txt");
const ENDPOINTS: u32 = 12;
const ZONES: u8 = 3;
/// Duration of a scenario on virtual time.
const DURATION: u64 = 12 * SECOND;
/// Average number of requests a second.
const BUSY_RATE: f64 = 400.0;
/// A rate so low that connections are idle between requests.
const SPARSE_RATE: f64 = 30.0;
/// Multiple of the rate during the burst, which exceeds the capacity of the endpoints.
const BURST_MULTIPLE: f64 = 10.0;
/// Period of the burst.
const BURST_PERIOD: std::ops::Range<u64> = 7 * SECOND..8 * SECOND;
/// Period in which some endpoints fail, reject, or refuse connections.
const FAULT_PERIOD: std::ops::Range<u64> = 2 * SECOND..6 * SECOND;
/// During the fault period, connections that are idle for longer get cut.
const IDLE_CUT_AFTER: u64 = 300 * MS;

/// A future event outside of the module.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum ScheduledEvent {
    Arrival,
    Timer(u64),
    AttemptEnds { id: u32, attempt: u32 },
    ClientDisconnects(u32),
    LoadQueryEnds(u32),
    ScriptStep(usize),
}

/// A request and its attempt in flight: the endpoint, the time when it was sent, and its outcome.
#[derive(Default)]
struct Request {
    class: usize,
    body_incomplete: bool,
    response_started: bool,
    closed: bool,
    attempts: u32,
    in_flight: Option<(u32, u64, AttemptOutcome)>,
}

/// Counts of the actions, by kind.
#[derive(Debug, Default)]
struct ActionCounts {
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

/// FNV-1a with 64 bits: a digest without a library dependency that never changes.
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

/// The clients, endpoints, operators and discovery around the module under test.
struct Simulation {
    balancer: LoadBalancer,
    may_cancel: bool,
    rate: f64,
    rng: fastrand::Rng,
    now: u64,
    sequence: u64,
    scheduled: BinaryHeap<Reverse<(u64, u64, ScheduledEvent)>>,
    requests: HashMap<u32, Request>,
    next_id: u32,
    in_flight: [u32; ENDPOINTS as usize],
    /// When the latest attempt at each endpoint ended.
    idle_since: [u64; ENDPOINTS as usize],
    list: Vec<EndpointEntry>,
    digest: Digest,
    counts: ActionCounts,
}

impl Simulation {
    fn new(settings: Settings, rate: f64, seed: u64) -> Self {
        let mut simulation = Self {
            may_cancel: settings.may_cancel,
            rate,
            balancer: LoadBalancer::new(settings, seed, SECOND).unwrap(),
            rng: fastrand::Rng::with_seed(seed ^ 0x5eed),
            now: SECOND,
            sequence: 0,
            scheduled: BinaryHeap::new(),
            requests: HashMap::new(),
            next_id: 0,
            in_flight: [0; ENDPOINTS as usize],
            idle_since: [SECOND; ENDPOINTS as usize],
            list: endpoints_in_zones(ZONES, ENDPOINTS / u32::from(ZONES)),
            digest: Digest::new(),
            counts: ActionCounts::default(),
        };
        simulation.send_list();
        simulation.schedule_after(0, ScheduledEvent::Arrival);
        for step in 0..40 {
            simulation.schedule_after(step as u64 * DURATION / 40, ScheduledEvent::ScriptStep(step));
        }
        simulation
    }

    fn schedule_after(&mut self, delay: u64, event: ScheduledEvent) {
        self.sequence += 1;
        self.scheduled.push(Reverse((self.now + delay, self.sequence, event)));
    }

    fn run(mut self) -> (u64, ActionCounts) {
        while let Some(Reverse((time, _, event))) = self.scheduled.pop() {
            if time > SECOND + DURATION {
                break;
            }
            self.now = time;
            self.process(event);
        }
        (self.digest.0, self.counts)
    }

    fn process(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Arrival => self.on_arrival(),
            ScheduledEvent::Timer(token) => self.handle(Event::Timer(token)),
            ScheduledEvent::AttemptEnds { id, attempt } => self.on_attempt_ends(id, attempt),
            ScheduledEvent::ClientDisconnects(id) => self.on_client_disconnects(id),
            ScheduledEvent::LoadQueryEnds(endpoint) => {
                let load = load_report(self.in_flight[endpoint as usize] as f32);
                self.handle(Event::LoadQueryEnded(EndpointId(endpoint), AttemptOutcome::Success, load));
            }
            ScheduledEvent::ScriptStep(step) => self.run_script_step(step),
        }
    }

    fn since_start(&self) -> u64 {
        self.now - SECOND
    }

    // ---- Clients ----

    fn on_arrival(&mut self) {
        let multiple = if BURST_PERIOD.contains(&self.since_start()) { BURST_MULTIPLE } else { 1.0 };
        let rate = self.rate * multiple;
        let gap = (-self.rng.f64().max(1e-9).ln() / rate * SECOND as f64) as u64;
        self.schedule_after(gap, ScheduledEvent::Arrival);
        let id = self.next_id;
        self.next_id += 1;
        let class = self.rng.usize(..5);
        let body_incomplete = self.rng.f64() < 0.03;
        self.requests.insert(id, Request { class, body_incomplete, ..Request::default() });
        let work = (self.rng.f64() < 0.5).then(|| self.rng.u64(..10 * MS));
        let tenant = self.rng.usize(..3);
        let incoming = IncomingRequest { class, tenant, time_left: 1500 * MS, work, body_incomplete };
        if self.rng.f64() < 0.04 {
            let delay = self.rng.u64(..100 * MS);
            self.schedule_after(delay, ScheduledEvent::ClientDisconnects(id));
        }
        self.handle(Event::Request(RequestId(id), incoming));
    }

    fn on_client_disconnects(&mut self, id: u32) {
        if self.requests.get(&id).is_some_and(|request| !request.closed) {
            self.requests.entry(id).and_modify(|request| request.closed = true);
            self.handle(Event::ClientDisconnected(RequestId(id)));
        }
    }

    // ---- Endpoints ----

    fn send(&mut self, id: u32, endpoint: u32, until: u64) {
        let outcome = self.outcome(id, endpoint);
        let load = f64::from(self.in_flight[endpoint as usize]);
        let base = 4.0 + 8.0 * self.rng.f64();
        let slowdown = if FAULT_PERIOD.contains(&self.since_start()) && endpoint == 5 { 20.0 } else { 1.0 };
        let duration = match outcome {
            AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed => MS / 2,
            _ => (base * slowdown * (1.0 + load * load / 12.0) * MS as f64) as u64,
        };
        let time_left = until.saturating_sub(self.now);
        let (duration, outcome) =
            if duration >= time_left { (time_left, AttemptOutcome::Timeout) } else { (duration, outcome) };
        let now = self.now;
        let request = self.requests.get_mut(&id).expect("the request was sent by a client");
        let attempt = request.attempts;
        request.attempts += 1;
        request.in_flight = Some((endpoint, now, outcome));
        self.in_flight[endpoint as usize] += 1;
        self.counts.attempts += 1;
        self.counts.retries += u64::from(attempt > 0);
        self.schedule_after(duration, ScheduledEvent::AttemptEnds { id, attempt });
    }

    fn outcome(&mut self, id: u32, endpoint: u32) -> AttemptOutcome {
        let chance = self.rng.f64();
        let class = self.requests[&id].class;
        if endpoint == 0 && self.since_start() >= FAULT_PERIOD.start && chance < 0.9 {
            return AttemptOutcome::Error; // until the end, so that its breaker opens for longer and longer
        }
        if FAULT_PERIOD.contains(&self.since_start()) {
            match endpoint {
                1 if class == NON_IDEMPOTENT || class == KEYED_ALL => return AttemptOutcome::Rejected,
                2 if chance < 0.8 => return AttemptOutcome::ConnectFailed,
                3 if chance < 0.7 => return AttemptOutcome::Reset,
                6.. if self.is_idle_cut(endpoint) => return AttemptOutcome::Reset,
                _ => {}
            }
        }
        match chance {
            ..0.005 => AttemptOutcome::Error,
            ..0.010 => AttemptOutcome::Reset,
            ..0.012 => AttemptOutcome::NotSent,
            ..0.014 => AttemptOutcome::InvalidRequest,
            _ => AttemptOutcome::Success,
        }
    }

    /// Whether the connections to an endpoint have been idle for so long that a middlebox cuts them.
    fn is_idle_cut(&self, endpoint: u32) -> bool {
        let index = endpoint as usize;
        self.in_flight[index] == 0 && self.now - self.idle_since[index] > IDLE_CUT_AFTER
    }

    fn on_attempt_ends(&mut self, id: u32, attempt: u32) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some((endpoint, sent_at, outcome)) =
            request.in_flight.filter(|_| request.attempts == attempt + 1)
        else {
            return;
        };
        if request.body_incomplete && !request.response_started && outcome == AttemptOutcome::Success {
            request.response_started = true;
            request.closed = true;
            self.handle(Event::ResponseStarted(RequestId(id), attempt));
            return self.schedule_after(30 * MS, ScheduledEvent::AttemptEnds { id, attempt });
        }
        request.in_flight = None;
        let closed =
            request.closed || matches!(outcome, AttemptOutcome::Success | AttemptOutcome::InvalidRequest);
        request.closed = closed;
        self.in_flight[endpoint as usize] -= 1;
        self.idle_since[endpoint as usize] = self.now;
        let body_consumed = request.body_incomplete;
        let elapsed = self.now - sent_at;
        let end = AttemptEnd { attempt, outcome, elapsed, request_closed: closed, body_consumed, load: None };
        self.handle(Event::AttemptEnded(RequestId(id), end));
    }

    // ---- Discovery and operators ----

    fn run_script_step(&mut self, step: usize) {
        match step {
            4 => self.handle(Event::DiscoveryFailed),
            5 => self.restart(7),
            8 => self.change_state(8, EndpointState::Draining),
            9 => self.change_state(8, EndpointState::Removed),
            12 => self.handle(Event::Offline(EndpointId(9))),
            15 => self.handle(Event::Online(EndpointId(9))),
            16 => self.handle(Event::DiscoveryMoved),
            18 => (0..4).for_each(|endpoint| self.restart(endpoint)),
            20 => self.handle(Event::DiscoveryFailed),
            22 => self.send_list(),
            30 => (0..ENDPOINTS).for_each(|endpoint| self.restart(endpoint)),
            _ => {}
        }
    }

    fn restart(&mut self, endpoint: u32) {
        let now = self.now;
        let Some(entry) = self.list.iter_mut().find(|entry| entry.endpoint.0 == endpoint) else { return };
        entry.started = Some(now);
        let entry = entry.clone();
        self.handle(Event::EndpointsChanged(&[entry]));
    }

    fn change_state(&mut self, endpoint: u32, state: EndpointState) {
        let position =
            self.list.iter().position(|entry| entry.endpoint.0 == endpoint).expect("the endpoint is listed");
        self.list[position].state = state;
        let entry = self.list[position].clone();
        if state == EndpointState::Removed {
            self.list.remove(position);
        }
        self.handle(Event::EndpointsChanged(&[entry]));
    }

    fn send_list(&mut self) {
        let list = self.list.clone();
        self.handle(Event::EndpointList(&list));
    }

    // ---- The module ----

    fn handle(&mut self, event: Event<'_>) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in actions {
            self.record(&action);
            self.execute(&action);
        }
    }

    fn record(&mut self, action: &Action) {
        if let Action::Log(text) = action {
            self.counts.breaker_openings += u64::from(text.contains("breaker"));
            self.counts.shedding_began += u64::from(text.contains("shedding began"));
            return;
        }
        let mut reply = Reply::default();
        reply.push(0, action);
        let mut bytes = Vec::new();
        reply.finish(0, &mut bytes);
        self.digest.add(&bytes);
        self.counts.actions += 1;
    }

    fn execute(&mut self, action: &Action) {
        match *action {
            Action::Send { id, endpoint, times_out_at, begin_by } => {
                self.digest.add(&begin_by.unwrap_or(0).to_le_bytes()); // not part of the adapter's protocol
                self.send(id.0, endpoint.0, times_out_at);
            }
            Action::SetTimer { after, token } => self.schedule_after(after, ScheduledEvent::Timer(token)),
            Action::Reject { id, .. } => {
                self.counts.rejected += 1;
                self.close(id);
            }
            Action::Fail(id) => {
                self.counts.failed += 1;
                self.close(id);
            }
            Action::Cancel { id, attempt } => self.cancel(id, attempt),
            Action::QueryLoad(endpoint) => {
                self.counts.queries += 1;
                let delay = self.rng.u64(..7 * MS);
                self.schedule_after(delay, ScheduledEvent::LoadQueryEnds(endpoint.0));
            }
            Action::CloseIdle(_) => self.counts.closed_idle += 1,
            Action::WatchEndpoints => self.counts.watches += 1,
            Action::Log(_) => {}
        }
    }

    fn close(&mut self, id: RequestId) {
        self.requests.entry(id.0).and_modify(|request| request.closed = true);
    }

    fn cancel(&mut self, id: RequestId, attempt: u32) {
        assert!(self.may_cancel);
        self.counts.cancelled += 1;
        if let Some(request) = self.requests.get_mut(&id.0)
            && let Some((_, _, outcome)) = &mut request.in_flight
        {
            *outcome = AttemptOutcome::Cancelled;
            self.schedule_after(MS, ScheduledEvent::AttemptEnds { id: id.0, attempt });
        }
    }
}

fn run_scenario(name: &str, settings: Settings, rate: f64) -> (String, ActionCounts) {
    let (digest, counts) = Simulation::new(settings, rate, 17).run();
    (format!("{name} {digest:016x} {}", counts.actions), counts)
}

/// Settings that exercise every part of the module.
fn base_settings() -> Settings {
    let tenant = Tenant { quota_rps: 300.0 };
    Settings { tenants: vec![tenant; 3], warm_up_time: 3 * SECOND, max_retry_after: SECOND, ..settings() }
}

/// Guards the decisions against unintended changes.
#[test]
fn actions_are_those_that_were_recorded() {
    let polled = Settings {
        polls_discovery: true,
        replicas: 40,
        cross_zone_price: 0.02,
        idle_timeout: SECOND / 2,
        ..base_settings()
    };
    let queried = Settings {
        in_flight_value_position: Some(0),
        load_on_query: true,
        weight_by_work: true,
        ..base_settings()
    };
    let deeper = Settings { tier: 1, may_cancel: false, propagates_deadline: false, ..base_settings() };
    let (pushed_line, pushed) = run_scenario("pushed", base_settings(), BUSY_RATE);
    let (polled_line, polled) = run_scenario("polled", polled, BUSY_RATE);
    let (queried_line, queried) = run_scenario("queried", queried, BUSY_RATE);
    let (deeper_line, deeper) = run_scenario("deeper", deeper, BUSY_RATE);
    let (sparse_line, sparse) = run_scenario("sparse", base_settings(), SPARSE_RATE);
    for counts in [&pushed, &polled, &queried, &deeper] {
        assert!(counts.retries > 50 && counts.breaker_openings > 0 && counts.closed_idle > 20, "{counts:?}");
    }
    for counts in [&pushed, &polled, &queried] {
        assert!(counts.rejected > 100 && counts.shedding_began > 0 && counts.cancelled > 20, "{counts:?}");
    }
    assert!(polled.watches > 0 && queried.queries > 1000 && pushed.failed > 0, "{polled:?} {queried:?}");
    assert!(sparse.closed_idle > 20 && sparse.retries > 0, "{sparse:?}");
    let results = [pushed_line, polled_line, queried_line, deeper_line, sparse_line].join("\n");
    assert_eq!(results, RECORDED.trim_end(), "results of this version:\n{results}\n");
}
