//! The hollow mode: a whole fleet in one process on virtual time, with the balancer's own decision module.
//!
//! Each module instance receives its events and has its actions carried out as in the real balancer, while clients,
//! upstreams, the network and discovery are simulated. The same configuration and seed always give the same outcome.

mod config;
mod outcome;

pub use config::{Config, Shape};

use crate::discovery::{self, Discovery, Notification};
use crate::engine::{Key, Queue, SECOND, Slab, Time, millis, seconds};
use crate::faults::FaultStep;
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

/// Initial value of the virtual clock: large, so that an upstream may have started long before the run without a
/// negative start time.
const START: Time = 1_000 * SECOND;
/// Number of buckets of the sliding window over which attempts to a cold upstream are counted.
const OVERLOAD_WINDOW_BUCKETS: usize = 10;
/// Interval between two progress reports, in virtual time.
const PROGRESS_INTERVAL: Time = SECOND / 10;

/// Runs a checked configuration. `progress` receives the virtual nanoseconds that have passed and their total.
pub fn run(config: &Config, seed: u64, progress: &dyn Fn(u64, u64)) -> report::Outcome {
    let mut fleet = Fleet::new(config, seed);
    fleet.run(progress);
    fleet.outcome()
}

/// An event on the virtual clock. Upstreams, instances, fronts, fault steps and updates are given by their index.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// The next client request arrives.
    Arrival,
    /// An attempt reaches its upstream.
    AttemptReceived(Key),
    /// An upstream has processed an attempt; requests to its callees follow.
    ProcessingDone(Key),
    /// The response to an attempt, or its failure, reaches the balancer.
    ResponseReceived(Key),
    /// The time limit of an attempt is reached.
    AttemptTimedOut(Key),
    /// An upstream sees that the balancer closed the connection of an attempt.
    AttemptCancelled(Key),
    /// A timer of a module instance fires.
    Timer(u32, u64),
    /// An event of the simulated discovery service.
    Discovery(discovery::Event),
    /// Discovery lists a change of an endpoint's state.
    EndpointUpdate(u32),
    /// A step of the fault plan is due.
    Fault(u32),
    /// The process of an upstream ends.
    UpstreamStop(u32),
    /// A new process of an upstream starts.
    UpstreamStart(u32),
    /// The balancer of a new process has its endpoint lists.
    UpstreamReady(u32),
    /// Clients stop using a lost front balancer.
    FrontRemoved(u32),
    /// A new front balancer has its endpoint lists.
    FrontReady(u32),
    /// The listed capacity of a random endpoint changes.
    CapacityChange,
}

impl From<discovery::Event> for Event {
    fn from(event: discovery::Event) -> Self {
        Self::Discovery(event)
    }
}

/// The sender of a request to a balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestSource {
    Client,
    /// An upstream, on behalf of the attempt that it processes.
    Attempt(Key),
}

/// A request at a balancer, kept until it has its response and no active attempt.
#[derive(Debug)]
struct Request {
    instance: usize,
    id: RequestId,
    source: RequestSource,
    class: usize,
    arrived_at: Time,
    deadline: Time,
    /// Whether neither a response was sent nor the client disconnected.
    awaiting_response: bool,
    attempt_count: u32,
    active_attempt: Option<Key>,
    /// Whether the client request that led to this request arrived in the measured interval.
    measured: bool,
}

/// The progress of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptStage {
    InTransit,
    Queued,
    Processing,
    /// The upstream waits for the response to a request of its own.
    WaitingForCallee(Key),
    Responding,
    /// No response will arrive.
    Lost,
}

/// An attempt: a request that a balancer sent to an upstream.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    request: Key,
    number: u32,
    upstream: usize,
    class: usize,
    sent_at: Time,
    until: Time,
    /// Whether the attempt opens a connection.
    opens_connection: bool,
    /// Whether the attempt uses a connection to a process that has ended.
    connection_stale: bool,
    /// Whether the balancer still waits for the response.
    awaited: bool,
    stage: AttemptStage,
    outcome: AttemptOutcome,
    /// Index of the next callee of the upstream's service.
    next_callee: usize,
    measured: bool,
}

/// The state of an upstream's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProcessState {
    Up,
    /// The machine is up, but no process runs: connections are reset or refused.
    Down,
    /// The machine has vanished: nothing is sent in response.
    Silent,
}

/// The state of an upstream.
#[derive(Debug)]
struct UpstreamState {
    process_state: ProcessState,
    /// Number of processes that have ended; identifies the present or the next process.
    incarnation: u32,
    /// Start of the latest process; `None` if it was warm when the run began.
    started: Option<Time>,
    /// Number of attempts being processed.
    processing: u32,
    queue: VecDeque<Key>,
    /// Number of attempts in each bucket of the overload window, while the upstream is cold.
    recent_attempts: [u32; OVERLOAD_WINDOW_BUCKETS],
    /// Number of the bucket of the latest attempt, counted from time 0.
    last_bucket: Time,
}

/// A module instance, with the state that the dispatcher of a real balancer keeps for it.
struct InstanceState {
    balancer: LoadBalancer,
    alive: bool,
    next_id: u32,
    requests: HashMap<RequestId, Key>,
    /// Idle connections to each upstream of its service.
    idle_connections: Vec<IdleConnections>,
}

/// Idle connections of a module instance to one upstream.
#[derive(Clone, Copy, Debug, Default)]
struct IdleConnections {
    count: u32,
    /// When a connection was last used.
    last_used: Time,
    /// Incarnation of the upstream that the connections lead to.
    incarnation: u32,
}

/// The condition under which a scheduled endpoint update still applies when discovery lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ValidWhile {
    /// The upstream still has this incarnation.
    Incarnation(u32),
    /// The regions are still separated by this partition.
    Partition(u32),
}

/// A change of an endpoint's state that discovery lists after a delay.
#[derive(Clone, Copy, Debug)]
struct EndpointUpdate {
    upstream: usize,
    endpoint_state: EndpointState,
    changed_at: Time,
    valid_while: ValidWhile,
}

/// The state of a run.
struct Fleet<'a> {
    config: &'a Config,
    topology: Topology,
    queue: Queue<Event>,
    rng: ChaCha8Rng,
    service_time_factor: LogNormal<f64>,
    classes: Vec<RequestClass>,
    load: Load,
    next_arrival: Arrival,
    instance_states: Vec<InstanceState>,
    upstream_states: Vec<UpstreamState>,
    discovery: Discovery,
    requests: Slab<Request>,
    attempts: Slab<Attempt>,
    endpoint_updates: Vec<EndpointUpdate>,
    fault_plan: Vec<FaultStep>,
    restart_order: Vec<usize>,
    tier_failing: bool,
    regions_partitioned: bool,
    partition_count: u32,
    /// Whether each front balancer runs.
    front_up: Vec<bool>,
    /// Whether clients send requests to each front balancer.
    front_in_rotation: Vec<bool>,
    actions: Vec<Action>,
    pending_attempt_ends: VecDeque<(usize, RequestId, AttemptEnd)>,
    counts: Counts,
    latency: Histogram<u64>,
    measured_in_flight: u64,
    measurement_start: Time,
    arrivals_end: Time,
}

impl<'a> Fleet<'a> {
    fn new(config: &'a Config, seed: u64) -> Self {
        let random_stream = |purpose| crate::seeded_rng(seed, purpose);
        let topology = Topology::new(config, &mut random_stream(1));
        let mut rng = random_stream(2);
        let upstream_states: Vec<UpstreamState> = topology
            .upstreams
            .iter()
            .map(|_| UpstreamState {
                process_state: ProcessState::Up,
                incarnation: 0,
                started: rng.random_bool(config.cold_share).then_some(START),
                processing: 0,
                queue: VecDeque::new(),
                recent_attempts: [0; OVERLOAD_WINDOW_BUCKETS],
                last_bucket: 0,
            })
            .collect();
        let entry = |upstream: usize| EndpointEntry {
            endpoint: EndpointId(upstream as u32),
            zone: ZoneId(topology.upstreams[upstream].zone as u8),
            cell: 0,
            state: EndpointState::InService,
            capacity: 1.0,
            started: upstream_states[upstream].started,
        };
        let lists =
            topology.services.iter().map(|service| service.upstreams.clone().map(entry).collect()).collect();
        let watchers = topology.instances.iter().map(|instance| instance.service);
        let discovery = Discovery::new(config.discovery.clone(), random_stream(3), lists, watchers);
        let entry_services = topology.entry_services.len();
        let mut load = Load::new(config, topology.request_rate, entry_services, START, random_stream(4));
        let next_arrival = load.next_arrival();
        let classes = load::classes(config);
        let instance_states = topology
            .instances
            .iter()
            .map(|instance| InstanceState {
                balancer: new_balancer(config, &classes, &topology, instance, rng.random(), START),
                alive: true,
                next_id: 0,
                requests: HashMap::new(),
                idle_connections: vec![
                    IdleConnections::default();
                    topology.services[instance.service].upstreams.len()
                ],
            })
            .collect();
        let measurement_start = START + seconds(config.warmup_s);
        let arrivals_end = measurement_start + seconds(config.duration_s);
        let faults = config.faults();
        let mut restart_order: Vec<usize> = (0..topology.upstreams.len()).collect();
        restart_order.shuffle(&mut rng);
        let mut queue = Queue::new(START);
        let steps = faults.plan(START, topology.upstreams.len());
        for (index, &(time, _)) in steps.iter().enumerate() {
            queue.push(time, Event::Fault(index as u32));
        }
        queue.push(next_arrival.at, Event::Arrival);
        let variance = (1.0 + config.work_variation * config.work_variation).ln();
        let mut fleet = Self {
            service_time_factor: LogNormal::new(-variance / 2.0, variance.sqrt())
                .expect("the checked variation gives a finite deviation"),
            counts: Counts {
                tiers: vec![TierCount::default(); config.depth as usize],
                seconds: vec![
                    RequestCount::default();
                    (config.warmup_s + config.duration_s).ceil() as usize + 1
                ],
                ..Counts::default()
            },
            front_up: vec![true; config.fronts],
            front_in_rotation: vec![true; config.fronts],
            config,
            queue,
            rng,
            classes,
            load,
            next_arrival,
            instance_states,
            upstream_states,
            discovery,
            requests: Slab::default(),
            attempts: Slab::default(),
            endpoint_updates: Vec::new(),
            fault_plan: steps.into_iter().map(|(_, step)| step).collect(),
            restart_order,
            tier_failing: false,
            regions_partitioned: false,
            partition_count: 0,
            actions: Vec::new(),
            pending_attempt_ends: VecDeque::new(),
            latency: Histogram::new_with_max(3_600 * SECOND, 3)
                .expect("the bounds of the latency histogram are valid"),
            measured_in_flight: 0,
            measurement_start,
            arrivals_end,
            topology,
        };
        fleet.schedule_capacity_change();
        for instance in 0..fleet.instance_states.len() {
            fleet.send_endpoint_list(instance);
        }
        fleet
    }

    fn run(&mut self, progress: &dyn Fn(u64, u64)) {
        let latest_end = self.arrivals_end + millis(self.config.deadline_ms) + SECOND;
        let run_length = self.arrivals_end - START;
        let mut next_progress_at = START;
        while let Some(event) = self.queue.pop() {
            let now = self.queue.now();
            if now >= next_progress_at {
                progress((now - START).min(run_length), run_length);
                next_progress_at = now + PROGRESS_INTERVAL;
            }
            if now >= self.arrivals_end && (self.measured_in_flight == 0 || now >= latest_end) {
                break;
            }
            self.on_event(event);
        }
        progress(run_length, run_length);
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Arrival => self.on_arrival(),
            Event::AttemptReceived(key) => self.on_attempt_received(key),
            Event::ProcessingDone(key) => self.on_processing_done(key),
            Event::ResponseReceived(key) => self.on_response_received(key),
            Event::AttemptTimedOut(key) => self.on_attempt_timed_out(key),
            Event::AttemptCancelled(key) => self.on_attempt_cancelled(key),
            Event::Timer(instance, token) => {
                self.notify_instance(instance as usize, ModuleEvent::Timer(token))
            }
            Event::Discovery(event) => {
                let (instance, notification) = self.discovery.handle(event, &mut self.queue);
                match notification {
                    Notification::Nothing => {}
                    Notification::Changes(entries) if entries.is_empty() => {}
                    Notification::Changes(entries) => {
                        self.notify_instance(instance, ModuleEvent::EndpointsChanged(&entries))
                    }
                    Notification::Failed => self.notify_instance(instance, ModuleEvent::DiscoveryFailed),
                }
            }
            Event::EndpointUpdate(update) => self.on_endpoint_update(update as usize),
            Event::Fault(step) => self.on_fault(self.fault_plan[step as usize]),
            // The process has ended already, for example because its zone was lost.
            Event::UpstreamStop(upstream)
                if self.upstream_states[upstream as usize].process_state != ProcessState::Up => {}
            Event::UpstreamStop(upstream) => {
                self.stop_upstream(upstream as usize, ProcessState::Down);
                let downtime = seconds(self.config.rolling_restart.down_s);
                self.queue.push(self.queue.now() + downtime, Event::UpstreamStart(upstream));
            }
            Event::UpstreamStart(upstream) => self.on_upstream_start(upstream as usize),
            Event::UpstreamReady(upstream) => self.on_upstream_ready(upstream as usize),
            Event::FrontRemoved(front) => {
                self.front_in_rotation[front as usize] = self.front_up[front as usize];
            }
            Event::FrontReady(front) => {
                let front = front as usize;
                (self.front_up[front], self.front_in_rotation[front]) = (true, true);
                self.restart_instances(self.topology.fronts[front].instances.clone());
            }
            Event::CapacityChange => self.on_capacity_change(),
        }
    }

    // ---- Client requests ----

    /// Sends the next client request to a front balancer in rotation. It is lost if there is none, or if the
    /// balancer is down.
    fn on_arrival(&mut self) {
        let Arrival { at, class, entry } = self.next_arrival;
        self.next_arrival = self.load.next_arrival();
        if self.next_arrival.at < self.arrivals_end {
            self.queue.push(self.next_arrival.at, Event::Arrival);
        }
        let measured = at >= self.measurement_start;
        self.count_request(at, measured, |count| &mut count.arrived);
        let first_front = self.rng.random_range(0..self.front_in_rotation.len());
        let fronts = (0..self.front_in_rotation.len())
            .map(|offset| (first_front + offset) % self.front_in_rotation.len());
        let Some(front) = fronts.into_iter().find(|&front| self.front_in_rotation[front]) else {
            return self.count_request(at, measured, |count| &mut count.lost);
        };
        if !self.front_up[front] {
            return self.count_request(at, measured, |count| &mut count.lost);
        }
        self.measured_in_flight += u64::from(measured);
        let instance = self.topology.fronts[front].instances.start + entry;
        let deadline = at + self.classes[class].deadline;
        self.start_request(instance, RequestSource::Client, class, deadline, measured);
    }

    /// Counts a client request for its second of arrival, and for the whole run if it is measured.
    fn count_request(
        &mut self,
        arrived_at: Time,
        measured: bool,
        field: impl Fn(&mut RequestCount) -> &mut u64,
    ) {
        let second_index = ((arrived_at - START) / SECOND) as usize;
        if let Some(count) = self.counts.seconds.get_mut(second_index) {
            *field(count) += 1;
        }
        if measured {
            *field(&mut self.counts.client_requests) += 1;
        }
    }

    // ---- Requests at a balancer ----

    /// Hands a new request to a module instance.
    fn start_request(
        &mut self,
        instance: usize,
        source: RequestSource,
        class: usize,
        deadline: Time,
        measured: bool,
    ) -> Key {
        let now = self.queue.now();
        let instance_state = &mut self.instance_states[instance];
        let id = RequestId(instance_state.next_id);
        instance_state.next_id = instance_state.next_id.wrapping_add(1);
        let request = Request {
            instance,
            id,
            source,
            class,
            arrived_at: now,
            deadline,
            awaiting_response: true,
            attempt_count: 0,
            active_attempt: None,
            measured,
        };
        let key = self.requests.insert(request);
        instance_state.requests.insert(id, key);
        self.counts.max_in_flight = self.counts.max_in_flight.max(instance_state.requests.len());
        let time_left = deadline.saturating_sub(now);
        let incoming = IncomingRequest { class, tenant: 0, time_left, work: None, body_incomplete: false };
        if let RequestSource::Attempt(source) = source
            && let Some(attempt) = self.attempts.get_mut(source)
        {
            attempt.stage = AttemptStage::WaitingForCallee(key);
        }
        self.notify_instance(instance, ModuleEvent::Request(id, incoming));
        key
    }

    /// Gives a request its final response, unless it already has one or its client disconnected.
    fn respond(&mut self, key: Key, response: Response) {
        let Some(request) = self.requests.get_mut(key) else { return };
        if !std::mem::replace(&mut request.awaiting_response, false) {
            return;
        }
        let (source, arrived_at, measured) = (request.source, request.arrived_at, request.measured);
        self.counts.refused_requests += u64::from(response == Response::Refused);
        self.remove_if_done(key);
        match source {
            RequestSource::Client => {
                self.measured_in_flight -= u64::from(measured);
                self.count_request(arrived_at, measured, |count| match response {
                    Response::Served => &mut count.served,
                    Response::Refused => &mut count.refused,
                    Response::Failed => &mut count.failed,
                });
                if measured && response == Response::Served {
                    self.latency.saturating_record(self.queue.now() - arrived_at);
                }
            }
            RequestSource::Attempt(attempt) => match response {
                Response::Served => self.continue_attempt(attempt),
                // An upstream responds with an error if any of its own requests fails.
                Response::Refused | Response::Failed => self.finish_attempt(attempt, AttemptOutcome::Error),
            },
        }
    }

    /// Removes a request that has its response and no active attempt.
    fn remove_if_done(&mut self, key: Key) {
        if self
            .requests
            .get(key)
            .is_some_and(|request| !request.awaiting_response && request.active_attempt.is_none())
            && let Some(request) = self.requests.remove(key)
        {
            self.instance_states[request.instance].requests.remove(&request.id);
        }
    }

    // ---- Attempts: balancer side ----

    /// Sends an attempt, or reports it as not sent. `times` are its time limit and, if there is one, the time before
    /// which it must reach the network.
    fn send_attempt(
        &mut self,
        instance: usize,
        id: RequestId,
        endpoint: EndpointId,
        times: (Time, Option<Time>),
    ) {
        let now = self.queue.now();
        let (until, begin_by) = times;
        let instance_state = &mut self.instance_states[instance];
        let Some(&key) = instance_state.requests.get(&id) else { return };
        let Some(request) = self.requests.get_mut(key) else { return };
        let (number, until) = (request.attempt_count, until.min(request.deadline));
        request.attempt_count += 1;
        let upstream = endpoint.0 as usize;
        let (zone, upstream_zone) =
            (self.topology.instances[instance].zone, self.topology.upstreams[upstream].zone);
        let delay = network_delay(self.config, zone, upstream_zone);
        let idle_connections = &mut instance_state.idle_connections[self.topology.index_in_service(upstream)];
        let opens_connection = idle_connections.count == 0
            || now.saturating_sub(idle_connections.last_used) >= seconds(self.config.conn_idle_s);
        let handshake = if opens_connection { 2 * delay } else { 0 };
        let starts_at = now + balancer_service_time(self.config) + handshake;
        if !request.awaiting_response
            || now >= until
            || begin_by.is_some_and(|end| starts_at >= end)
            || number >= self.config.max_attempts
        {
            let closed = !request.awaiting_response;
            let end = AttemptEnd {
                attempt: number,
                outcome: AttemptOutcome::NotSent,
                elapsed: 0,
                request_closed: closed,
                body_consumed: false,
                load: None,
            };
            return self.pending_attempt_ends.push_back((instance, id, end));
        }
        idle_connections.count = if opens_connection { 0 } else { idle_connections.count - 1 };
        let connection_stale =
            !opens_connection && idle_connections.incarnation != self.upstream_states[upstream].incarnation;
        let attempt = Attempt {
            request: key,
            number,
            upstream,
            class: request.class,
            sent_at: now,
            until,
            opens_connection,
            connection_stale,
            awaited: true,
            stage: AttemptStage::InTransit,
            outcome: AttemptOutcome::Success,
            next_callee: 0,
            measured: request.measured,
        };
        let tier = self.topology.service_of(upstream).tier as usize;
        let active_attempt = self.attempts.insert(attempt);
        request.active_attempt = Some(active_attempt);
        self.counts.tiers[tier].attempts += u64::from(request.measured);
        self.counts.retries += u64::from(request.measured && number > 0);
        self.counts.attempts_sent += 1;
        self.counts.attempts_in_interval +=
            u64::from(now >= self.measurement_start && now < self.arrivals_end);
        self.counts.connections_opened += u64::from(opens_connection);
        self.counts.cross_zone += u64::from(zone != upstream_zone);
        self.counts.cross_region += u64::from(Topology::regions_differ(self.config, zone, upstream_zone));
        self.queue.push(starts_at + delay, Event::AttemptReceived(active_attempt));
        self.queue.push(until, Event::AttemptTimedOut(active_attempt));
    }

    /// Network delay between a balancer and the upstream of its attempt; `None` while they are partitioned or if
    /// the request was removed.
    fn upstream_delay(&self, attempt: &Attempt) -> Option<Time> {
        let zone = self.topology.instances[self.requests.get(attempt.request)?.instance].zone;
        let upstream_zone = self.topology.upstreams[attempt.upstream].zone;
        let partitioned =
            self.regions_partitioned && Topology::regions_differ(self.config, zone, upstream_zone);
        (!partitioned).then(|| network_delay(self.config, zone, upstream_zone))
    }

    fn on_response_received(&mut self, key: Key) {
        let Some(attempt) = self.attempts.remove(key) else { return };
        if attempt.awaited {
            self.on_attempt_ended(&attempt, attempt.outcome);
        }
    }

    fn on_attempt_timed_out(&mut self, key: Key) {
        let Some(attempt) = self.attempts.get(key).filter(|attempt| attempt.awaited) else { return };
        let lost = attempt.stage == AttemptStage::Lost;
        let outcome = if lost && attempt.opens_connection {
            AttemptOutcome::ConnectFailed
        } else {
            AttemptOutcome::Timeout
        };
        let timed_out = *attempt;
        self.abandon_attempt(key, false);
        self.on_attempt_ended(&timed_out, outcome);
    }

    /// Stops waiting for an attempt and closes its connection. The upstream sees that the connection was closed, unless
    /// its own machine has vanished, the balancer's has (`silent`), or the regions are partitioned.
    fn abandon_attempt(&mut self, key: Key, silent: bool) {
        let Some(attempt) = self.attempts.get_mut(key) else { return };
        attempt.awaited = false;
        let lost = attempt.stage == AttemptStage::Lost;
        let delay = self.attempts.get(key).and_then(|attempt| self.upstream_delay(attempt));
        match delay.filter(|_| !silent) {
            _ if lost => drop(self.attempts.remove(key)),
            Some(delay) => self.queue.push(self.queue.now() + delay, Event::AttemptCancelled(key)),
            None => {}
        }
    }

    /// Records the outcome of an attempt and notifies the module instance that sent it.
    fn on_attempt_ended(&mut self, attempt: &Attempt, outcome: AttemptOutcome) {
        let now = self.queue.now();
        let tier = self.topology.service_of(attempt.upstream).tier as usize;
        if attempt.measured {
            let count = &mut self.counts.tiers[tier];
            *match outcome {
                AttemptOutcome::Success | AttemptOutcome::InvalidRequest | AttemptOutcome::Undeliverable => {
                    &mut count.ok
                }
                AttemptOutcome::Error => &mut count.errors,
                AttemptOutcome::Rejected => &mut count.rejected,
                AttemptOutcome::Timeout => &mut count.timeouts,
                AttemptOutcome::ConnectFailed => &mut count.connect_failures,
                AttemptOutcome::Reset => &mut count.resets,
                AttemptOutcome::Cancelled | AttemptOutcome::NotSent => &mut count.cancelled,
            } += 1;
        }
        let key = attempt.request;
        let Some(request) = self.requests.get_mut(key) else { return };
        request.active_attempt = None;
        let (instance, id, awaiting_response) = (request.instance, request.id, request.awaiting_response);
        if matches!(outcome, AttemptOutcome::Success | AttemptOutcome::Error | AttemptOutcome::Rejected) {
            let idle_connections = &mut self.instance_states[instance].idle_connections
                [self.topology.index_in_service(attempt.upstream)];
            let incarnation = self.upstream_states[attempt.upstream].incarnation;
            let count =
                if idle_connections.incarnation == incarnation { idle_connections.count + 1 } else { 1 };
            *idle_connections = IdleConnections { count, last_used: now, incarnation };
        }
        let served = outcome == AttemptOutcome::Success && awaiting_response;
        let end = AttemptEnd {
            attempt: attempt.number,
            outcome,
            elapsed: now - attempt.sent_at,
            request_closed: served || !awaiting_response,
            body_consumed: false,
            load: None,
        };
        self.notify_instance(instance, ModuleEvent::AttemptEnded(id, end));
        if served {
            self.respond(key, Response::Served);
        } else {
            self.remove_if_done(key);
        }
    }

    // ---- Attempts: upstream side ----

    fn on_attempt_received(&mut self, key: Key) {
        let now = self.queue.now();
        let Some(attempt) = self.attempts.get(key) else { return };
        if !attempt.awaited {
            self.attempts.remove(key);
            return;
        }
        let (upstream, opens_connection, connection_stale, sent_at) =
            (attempt.upstream, attempt.opens_connection, attempt.connection_stale, attempt.sent_at);
        let reachable = self.upstream_delay(attempt).is_some();
        let process_state = self.upstream_states[upstream].process_state;
        if !reachable || process_state == ProcessState::Silent {
            let Some(attempt) = self.attempts.get_mut(key) else { return };
            attempt.stage = AttemptStage::Lost;
            if opens_connection {
                (attempt.stage, attempt.outcome) = (AttemptStage::Responding, AttemptOutcome::ConnectFailed);
                self.queue
                    .push(sent_at + millis(self.config.connect_timeout_ms), Event::ResponseReceived(key));
            }
            return;
        }
        if process_state == ProcessState::Down {
            return self.finish_attempt(key, AttemptOutcome::ConnectFailed);
        }
        if connection_stale {
            return self.finish_attempt(key, AttemptOutcome::Reset);
        }
        if self.record_cold_attempt(upstream) {
            self.counts.cold_crashes += 1;
            let incarnation = self.upstream_states[upstream].incarnation;
            self.stop_upstream(upstream, ProcessState::Down);
            self.schedule_endpoint_update(
                upstream,
                EndpointState::Removed,
                false,
                ValidWhile::Incarnation(incarnation + 1),
            );
            return self.finish_attempt(key, AttemptOutcome::ConnectFailed);
        }
        let concurrency = self.topology.service_of(upstream).concurrency;
        let state = &mut self.upstream_states[upstream];
        if state.processing < concurrency {
            self.start_processing(key);
        } else if state.queue.len() < self.config.queue_limit {
            state.queue.push_back(key);
            if let Some(attempt) = self.attempts.get_mut(key) {
                attempt.stage = AttemptStage::Queued;
            }
        } else {
            self.finish_attempt(key, AttemptOutcome::Rejected);
        }
        debug_assert!(now >= sent_at);
    }

    /// The fraction of its capacity that an upstream has reached; 1 once it is warm.
    fn capacity_fraction(&self, upstream: usize) -> f64 {
        let Some(started) = self.upstream_states[upstream].started else { return 1.0 };
        let warm_up_progress = (self.queue.now() - started) as f64 / (self.config.ramp_s * 1e9).max(1.0);
        (self.config.start_capacity + (1.0 - self.config.start_capacity) * warm_up_progress).min(1.0)
    }

    /// Counts an attempt to a cold upstream and returns whether the upstream crashes: whether the attempts in the
    /// window exceed the allowed multiple of its capacity, plus a margin for the variance of random arrivals.
    fn record_cold_attempt(&mut self, upstream: usize) -> bool {
        let capacity_fraction = self.capacity_fraction(upstream);
        if capacity_fraction >= 1.0 {
            return false;
        }
        self.counts.cold_attempts += 1;
        let service = self.topology.service_of(upstream);
        let capacity = f64::from(service.concurrency) / service.mean_service_time * 1e9 * capacity_fraction;
        let bucket = self.queue.now() / seconds(self.config.fall_s / OVERLOAD_WINDOW_BUCKETS as f64).max(1);
        let state = &mut self.upstream_states[upstream];
        for skipped in state.last_bucket + 1..=bucket.min(state.last_bucket + OVERLOAD_WINDOW_BUCKETS as Time)
        {
            state.recent_attempts[(skipped % OVERLOAD_WINDOW_BUCKETS as Time) as usize] = 0;
        }
        if bucket > state.last_bucket + OVERLOAD_WINDOW_BUCKETS as Time {
            state.recent_attempts = [0; OVERLOAD_WINDOW_BUCKETS];
        }
        state.last_bucket = bucket;
        state.recent_attempts[(bucket % OVERLOAD_WINDOW_BUCKETS as Time) as usize] += 1;
        let limit = self.config.tip_multiple * capacity * self.config.fall_s;
        f64::from(state.recent_attempts.iter().sum::<u32>()) > limit + 2.0 * limit.sqrt() + 2.0
    }

    /// Starts to process an attempt and draws its service time.
    fn start_processing(&mut self, key: Key) {
        let Some(attempt) = self.attempts.get_mut(key) else { return };
        attempt.stage = AttemptStage::Processing;
        let upstream = attempt.upstream;
        self.upstream_states[upstream].processing += 1;
        let mean = self.topology.service_of(upstream).mean_service_time;
        let service_time =
            mean * self.service_time_factor.sample(&mut self.rng) / self.capacity_fraction(upstream);
        self.queue.push(self.queue.now() + service_time as Time, Event::ProcessingDone(key));
    }

    fn on_processing_done(&mut self, key: Key) {
        let Some(attempt) =
            self.attempts.get(key).filter(|attempt| attempt.stage == AttemptStage::Processing)
        else {
            return;
        };
        let (upstream, awaited) = (attempt.upstream, attempt.awaited);
        self.upstream_states[upstream].processing -= 1;
        self.start_next_queued(upstream);
        if !awaited {
            self.attempts.remove(key);
            return;
        }
        let tier = self.topology.service_of(upstream).tier as usize;
        let fault = &self.config.tier_fault;
        let failing = self.tier_failing && (fault.all_tiers || tier == self.config.watched_tier());
        if failing && self.rng.random_bool(fault.share) {
            self.finish_attempt(key, AttemptOutcome::Error);
        } else {
            self.continue_attempt(key);
        }
    }

    /// Starts to process the next attempt in an upstream's queue. Attempts that reached their time limit are rejected.
    fn start_next_queued(&mut self, upstream: usize) {
        let now = self.queue.now();
        while let Some(key) = self.upstream_states[upstream].queue.pop_front() {
            match self.attempts.get(key).map(|attempt| (attempt.awaited, now < attempt.until)) {
                Some((true, true)) => return self.start_processing(key),
                Some((true, false)) => self.finish_attempt(key, AttemptOutcome::Rejected),
                Some((false, _)) => drop(self.attempts.remove(key)),
                None => {}
            }
        }
    }

    /// Sends the upstream's next request for an attempt, or finishes the attempt if there is none.
    fn continue_attempt(&mut self, key: Key) {
        let Some(attempt) = self.attempts.get_mut(key) else { return };
        let (class, until, measured, upstream) =
            (attempt.class, attempt.until, attempt.measured, attempt.upstream);
        let processing_upstream = &self.topology.upstreams[upstream];
        let callees = &self.topology.services[processing_upstream.service].callees;
        while let Some(callee) = callees.get(attempt.next_callee) {
            let instance = processing_upstream.instances.start + attempt.next_callee;
            attempt.next_callee += 1;
            if callee.probability >= 1.0 || self.rng.random_bool(callee.probability) {
                self.start_request(instance, RequestSource::Attempt(key), class, until, measured);
                return;
            }
        }
        self.finish_attempt(key, AttemptOutcome::Success);
    }

    /// Sends the upstream's response to an attempt.
    fn finish_attempt(&mut self, key: Key, outcome: AttemptOutcome) {
        let Some(attempt) = self.attempts.get(key) else { return };
        let delay = self.upstream_delay(attempt).filter(|_| attempt.awaited);
        let awaited = attempt.awaited;
        match delay {
            Some(delay) => {
                let at = self.queue.now() + delay + balancer_service_time(self.config);
                self.queue.push(at, Event::ResponseReceived(key));
                if let Some(attempt) = self.attempts.get_mut(key) {
                    (attempt.stage, attempt.outcome) = (AttemptStage::Responding, outcome);
                }
            }
            None if awaited => {
                if let Some(attempt) = self.attempts.get_mut(key) {
                    attempt.stage = AttemptStage::Lost;
                    attempt.opens_connection = false; // may have been processed, so it is not a failed connect
                }
            }
            None => drop(self.attempts.remove(key)),
        }
    }

    fn on_attempt_cancelled(&mut self, key: Key) {
        let Some(attempt) = self.attempts.get(key) else { return };
        match attempt.stage {
            AttemptStage::Queued => {
                let upstream = attempt.upstream;
                self.upstream_states[upstream].queue.retain(|&queued| queued != key);
                self.attempts.remove(key);
            }
            AttemptStage::WaitingForCallee(request) => {
                self.attempts.remove(key);
                self.on_client_disconnected(request);
            }
            AttemptStage::Lost => drop(self.attempts.remove(key)),
            // Noticed when the stage ends, as the attempt is no longer awaited.
            AttemptStage::InTransit | AttemptStage::Processing | AttemptStage::Responding => {}
        }
    }

    fn on_client_disconnected(&mut self, key: Key) {
        let Some(request) = self.requests.get_mut(key).filter(|request| request.awaiting_response) else {
            return;
        };
        request.awaiting_response = false;
        let (instance, id) = (request.instance, request.id);
        self.notify_instance(instance, ModuleEvent::ClientDisconnected(id));
        self.remove_if_done(key);
    }

    // ---- Endpoint lists ----

    /// Schedules a change of an endpoint's state, which discovery lists after a delay.
    fn schedule_endpoint_update(
        &mut self,
        upstream: usize,
        endpoint_state: EndpointState,
        silent: bool,
        valid_while: ValidWhile,
    ) {
        let changed_at = self.queue.now();
        let at = self.discovery.listing_time(changed_at, silent);
        self.queue.push(at, Event::EndpointUpdate(self.endpoint_updates.len() as u32));
        self.endpoint_updates.push(EndpointUpdate { upstream, endpoint_state, changed_at, valid_while });
    }

    fn on_endpoint_update(&mut self, update: usize) {
        let EndpointUpdate { upstream, endpoint_state, changed_at, valid_while } =
            self.endpoint_updates[update];
        let still_valid = match valid_while {
            ValidWhile::Incarnation(incarnation) => self.upstream_states[upstream].incarnation == incarnation,
            ValidWhile::Partition(partition) => self.regions_partitioned && self.partition_count == partition,
        };
        if still_valid {
            self.update_endpoint(upstream, endpoint_state, changed_at);
        }
    }

    /// Lists the state of an endpoint, with the start time of its latest process.
    fn update_endpoint(&mut self, upstream: usize, endpoint_state: EndpointState, changed_at: Time) {
        let (service, entry) =
            (self.topology.upstreams[upstream].service, self.topology.index_in_service(upstream));
        let started = self.upstream_states[upstream].started;
        let change = |entry: &mut EndpointEntry| (entry.state, entry.started) = (endpoint_state, started);
        self.discovery.change(service, entry, change, changed_at, &mut self.queue);
        self.counts.list_changes += 1;
    }

    /// Schedules the next change of a listed capacity.
    fn schedule_capacity_change(&mut self) {
        let rate = self.config.discovery.changes_per_day / 86_400.0;
        if rate > 0.0 {
            let wait: f64 = Exp1.sample(&mut self.rng);
            self.queue.push(self.queue.now() + seconds(wait / rate), Event::CapacityChange);
        }
    }

    /// Toggles the listed capacity of a random endpoint between 1 and 0.9.
    fn on_capacity_change(&mut self) {
        self.schedule_capacity_change();
        let upstream = self.rng.random_range(0..self.upstream_states.len());
        let (service, entry) =
            (self.topology.upstreams[upstream].service, self.topology.index_in_service(upstream));
        let change =
            |entry: &mut EndpointEntry| entry.capacity = if entry.capacity < 1.0 { 1.0 } else { 0.9 };
        self.discovery.change(service, entry, change, self.queue.now(), &mut self.queue);
        self.counts.list_changes += 1;
    }

    // ---- Faults ----

    fn on_fault(&mut self, step: FaultStep) {
        match step {
            FaultStep::TierFailing(failing) => self.tier_failing = failing,
            FaultStep::ZoneLost(zone, lost) => self.set_zone_lost(zone, lost),
            FaultStep::RegionsPartitioned(partitioned) => self.set_regions_partitioned(partitioned),
            FaultStep::DiscoveryDown(down) => self.discovery.set_down(down, &mut self.queue),
            FaultStep::Restart(position) => {
                let upstream = self.restart_order[position as usize];
                if self.upstream_states[upstream].process_state == ProcessState::Up {
                    self.counts.restarts += 1;
                    self.update_endpoint(upstream, EndpointState::Draining, self.queue.now());
                    let at = self.queue.now() + seconds(self.config.rolling_restart.drain_s);
                    self.queue.push(at, Event::UpstreamStop(upstream as u32));
                }
            }
        }
    }

    /// Makes all machines of a zone vanish, with their upstreams and front balancers, or starts new processes on them.
    fn set_zone_lost(&mut self, zone: usize, lost: bool) {
        let now = self.queue.now();
        for upstream in (0..self.upstream_states.len())
            .filter(|&upstream| self.topology.upstreams[upstream].zone == zone)
            .collect::<Vec<_>>()
        {
            if lost {
                self.stop_upstream(upstream, ProcessState::Silent);
                let incarnation = self.upstream_states[upstream].incarnation;
                self.schedule_endpoint_update(
                    upstream,
                    EndpointState::Removed,
                    true,
                    ValidWhile::Incarnation(incarnation),
                );
            } else {
                self.on_upstream_start(upstream);
            }
        }
        for front in (0..self.front_up.len())
            .filter(|&front| self.topology.fronts[front].zone == zone)
            .collect::<Vec<_>>()
        {
            let instances = self.topology.fronts[front].instances.clone();
            if lost {
                self.front_up[front] = false;
                self.stop_instances(instances, true);
                let at = now + seconds(self.config.front_notice_s);
                self.queue.push(at, Event::FrontRemoved(front as u32));
            } else {
                let ready_at = self.first_lists_at(instances);
                self.queue.push(ready_at, Event::FrontReady(front as u32));
            }
        }
    }

    /// Starts or ends a partition between the regions. Discovery is in the first region, so it removes the endpoints
    /// of the others, and lists them again after the partition.
    fn set_regions_partitioned(&mut self, partitioned: bool) {
        self.regions_partitioned = partitioned;
        self.partition_count += u32::from(partitioned);
        for instance in 0..self.instance_states.len() {
            if Topology::regions_differ(self.config, 0, self.topology.instances[instance].zone) {
                self.discovery.set_partitioned(instance, partitioned, &mut self.queue);
            }
        }
        for upstream in 0..self.upstream_states.len() {
            if Topology::regions_differ(self.config, 0, self.topology.upstreams[upstream].zone) {
                let list = self.discovery.list(self.topology.upstreams[upstream].service);
                let removed = list[self.topology.index_in_service(upstream)].state == EndpointState::Removed;
                if partitioned {
                    self.schedule_endpoint_update(
                        upstream,
                        EndpointState::Removed,
                        true,
                        ValidWhile::Partition(self.partition_count),
                    );
                } else if removed && self.upstream_states[upstream].process_state == ProcessState::Up {
                    let incarnation = self.upstream_states[upstream].incarnation;
                    self.schedule_endpoint_update(
                        upstream,
                        EndpointState::InService,
                        false,
                        ValidWhile::Incarnation(incarnation),
                    );
                }
            }
        }
    }

    /// Ends the process of an upstream and its balancer. If the machine is still up, connections are reset; if it
    /// vanished, balancers only notice when they use a connection.
    fn stop_upstream(&mut self, upstream: usize, process_state: ProcessState) {
        if process_state == ProcessState::Down {
            let index = self.topology.index_in_service(upstream);
            self.topology
                .service_of(upstream)
                .client_instances
                .iter()
                .for_each(|&instance| self.instance_states[instance].idle_connections[index].count = 0);
        }
        let state = &mut self.upstream_states[upstream];
        state.process_state = process_state;
        state.incarnation += 1;
        state.processing = 0;
        state.queue.clear();
        let at_upstream = |attempt: &Attempt| {
            let in_upstream = matches!(
                attempt.stage,
                AttemptStage::Queued | AttemptStage::Processing | AttemptStage::WaitingForCallee(_)
            );
            attempt.upstream == upstream && in_upstream
        };
        for key in self.attempts.keys(at_upstream) {
            if process_state == ProcessState::Silent {
                if let Some(attempt) = self.attempts.get_mut(key) {
                    (attempt.stage, attempt.opens_connection) = (AttemptStage::Lost, false);
                }
                if self.attempts.get(key).is_some_and(|attempt| !attempt.awaited) {
                    self.attempts.remove(key);
                }
            } else {
                self.finish_attempt(key, AttemptOutcome::Reset);
            }
        }
        self.stop_instances(
            self.topology.upstreams[upstream].instances.clone(),
            process_state == ProcessState::Silent,
        );
    }

    /// Ends module instances: their attempts are abandoned, and pending client requests are lost.
    fn stop_instances(&mut self, instances: Range<usize>, silent: bool) {
        for key in self.requests.keys(|request| instances.contains(&request.instance)) {
            let Some(request) = self.requests.get(key) else { continue };
            let (active_attempt, source, arrived_at, measured, awaiting_response) = (
                request.active_attempt,
                request.source,
                request.arrived_at,
                request.measured,
                request.awaiting_response,
            );
            if awaiting_response && source == RequestSource::Client {
                self.measured_in_flight -= u64::from(measured);
                self.count_request(arrived_at, measured, |count| &mut count.lost);
            }
            if let Some(active_attempt) = active_attempt {
                self.abandon_attempt(active_attempt, silent);
            }
            self.requests.remove(key);
        }
        for instance in instances {
            let instance_state = &mut self.instance_states[instance];
            instance_state.alive = false;
            instance_state.requests.clear();
            instance_state.idle_connections.fill(IdleConnections::default());
            self.discovery.instance_stopped(instance);
        }
    }

    /// Starts a new process of an upstream. The upstream is cold, and accepts requests once its balancer has its lists.
    fn on_upstream_start(&mut self, upstream: usize) {
        let now = self.queue.now();
        self.upstream_states[upstream].started = Some(now);
        let instances = self.topology.upstreams[upstream].instances.clone();
        let ready_at = self.first_lists_at(instances);
        self.counts.max_start_time = self.counts.max_start_time.max(ready_at - now);
        self.queue.push(ready_at, Event::UpstreamReady(upstream as u32));
    }

    /// Returns when module instances that start now have their first lists.
    fn first_lists_at(&mut self, instances: Range<usize>) -> Time {
        let now = self.queue.now();
        instances.map(|instance| self.discovery.first_list_at(instance, now)).max().unwrap_or(now)
    }

    /// Puts a started upstream in service, and schedules its listing.
    fn on_upstream_ready(&mut self, upstream: usize) {
        let state = &mut self.upstream_states[upstream];
        if state.process_state == ProcessState::Up {
            return; // started twice: by a restart and by the return of its zone
        }
        state.process_state = ProcessState::Up;
        (state.recent_attempts, state.last_bucket) = ([0; OVERLOAD_WINDOW_BUCKETS], 0);
        let incarnation = state.incarnation;
        self.restart_instances(self.topology.upstreams[upstream].instances.clone());
        self.schedule_endpoint_update(
            upstream,
            EndpointState::InService,
            false,
            ValidWhile::Incarnation(incarnation),
        );
    }

    /// Replaces module instances by new ones and gives them their endpoint lists.
    fn restart_instances(&mut self, instances: Range<usize>) {
        let now = self.queue.now();
        for instance in instances {
            let topology_instance = &self.topology.instances[instance];
            let seed = self.rng.random();
            let balancer =
                new_balancer(self.config, &self.classes, &self.topology, topology_instance, seed, now);
            let instance_state = &mut self.instance_states[instance];
            (instance_state.balancer, instance_state.alive) = (balancer, true);
            self.send_endpoint_list(instance);
        }
    }

    // ---- Decision module ----

    /// Gives a module instance the whole endpoint list of its service.
    fn send_endpoint_list(&mut self, instance: usize) {
        let list = self.discovery.list(self.topology.instances[instance].service).to_vec();
        self.notify_instance(instance, ModuleEvent::EndpointList(&list));
    }

    /// Passes an event to a module instance and carries out its actions, then does the same for the attempt ends that
    /// these actions caused.
    fn notify_instance(&mut self, instance: usize, event: ModuleEvent<'_>) {
        self.dispatch_event(instance, event);
        while let Some((instance, id, end)) = self.pending_attempt_ends.pop_front() {
            self.dispatch_event(instance, ModuleEvent::AttemptEnded(id, end));
            if let Some(&key) = self.instance_states[instance].requests.get(&id) {
                self.remove_if_done(key);
            }
        }
    }

    /// Passes one event to a module instance and carries out its actions.
    fn dispatch_event(&mut self, instance: usize, event: ModuleEvent<'_>) {
        let instance_state = &mut self.instance_states[instance];
        if !instance_state.alive {
            return;
        }
        self.counts.module_events += 1;
        let mut actions = std::mem::take(&mut self.actions);
        instance_state.balancer.handle(self.queue.now(), event, &mut actions);
        actions.drain(..).for_each(|action| self.apply_action(instance, action));
        self.actions = actions;
    }

    fn apply_action(&mut self, instance: usize, action: Action) {
        match action {
            Action::Send { id, endpoint, times_out_at, begin_by } => {
                self.send_attempt(instance, id, endpoint, (times_out_at, begin_by))
            }
            Action::Reject { id, .. } => self.respond_by_id(instance, id, Response::Refused),
            Action::Fail(id) => self.respond_by_id(instance, id, Response::Failed),
            Action::Cancel { id, attempt } => self.cancel_attempt(instance, id, attempt),
            Action::CloseIdle(endpoint) => {
                self.instance_states[instance].idle_connections
                    [self.topology.index_in_service(endpoint.0 as usize)]
                .count = 0;
            }
            Action::SetTimer { after, token } => {
                self.queue.push(self.queue.now().saturating_add(after), Event::Timer(instance as u32, token));
            }
            Action::WatchEndpoints => self.discovery.start_watch(instance, &mut self.queue),
            Action::QueryLoad(_) => self.counts.load_queries += 1, // not allowed by the settings
            Action::Log(_) => self.counts.log_lines += 1,
        }
    }

    fn respond_by_id(&mut self, instance: usize, id: RequestId, response: Response) {
        if let Some(&key) = self.instance_states[instance].requests.get(&id) {
            self.respond(key, response);
        }
    }

    /// Cancels an attempt on behalf of the module and queues the notification of its end.
    fn cancel_attempt(&mut self, instance: usize, id: RequestId, number: u32) {
        let Some(&key) = self.instance_states[instance].requests.get(&id) else { return };
        let Some(active_attempt) = self.requests.get(key).and_then(|request| request.active_attempt) else {
            return;
        };
        let Some(attempt) = self.attempts.get(active_attempt).filter(|attempt| attempt.number == number)
        else {
            return;
        };
        let sent_at = attempt.sent_at;
        self.counts.cancellations += 1;
        self.abandon_attempt(active_attempt, false);
        let Some(request) = self.requests.get_mut(key) else { return };
        request.active_attempt = None;
        let (elapsed, closed) = (self.queue.now() - sent_at, !request.awaiting_response);
        let end = AttemptEnd {
            attempt: number,
            outcome: AttemptOutcome::Cancelled,
            elapsed,
            request_closed: closed,
            body_consumed: false,
            load: None,
        };
        self.pending_attempt_ends.push_back((instance, id, end));
    }
}

/// The final response to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Response {
    Served,
    Refused,
    Failed,
}

/// Creates the decision module of a module instance.
fn new_balancer(
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
        replicas: topology.services[instance.service].client_instances.len() as u32,
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
        in_flight_value_position: None,
        load_on_query: false,
        cross_zone_price: config.cross_price,
        load_query_price: 1.0,
    };
    LoadBalancer::new(settings, seed, now).expect("a checked configuration gives valid settings")
}

/// Time that a balancer adds to each request and to each response.
fn balancer_service_time(config: &Config) -> Time {
    (config.balancer_us * 1e3) as Time
}

/// One-way network delay between two zones.
fn network_delay(config: &Config, from_zone: usize, to_zone: usize) -> Time {
    millis(match (from_zone == to_zone, Topology::regions_differ(config, from_zone, to_zone)) {
        (true, _) => config.same_zone_ms,
        (_, true) => config.cross_region_ms,
        (_, false) => config.cross_zone_ms,
    })
}
