//! The hollow mode: a whole fleet in one process on virtual time, with the balancer's own decision module.
//!
//! Each module instance receives its events and has its actions carried out as in the real balancer, while clients,
//! upstreams, the network and discovery are simulated. The same configuration and seed always give the same outcome.

mod attempts;
mod config;
mod decision_module;
mod endpoint_updates;
mod faults;
mod outcome;
mod requests;
mod upstreams;

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
    RequestClass, RequestId, Settings, ZoneId,
};
use hdrhistogram::Histogram;
use outcome::{Counts, RequestCount, TierCount};
use rand::Rng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use rand_distr::LogNormal;
use std::collections::{HashMap, VecDeque};

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
