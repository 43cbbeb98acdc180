//! Simulates a fleet of load balancers, each a real decision module, on virtual time in front of one tier of
//! endpoints. The endpoints queue requests and answer late under load, so that in-flight limits, traffic to
//! other zones and load shedding take part. Some endpoints restart cold, and the requests that the whole
//! fleet sends to them are compared with the limit of slow start.

use super::{MS, SECOND, endpoints_in_zones, settings};
use balancer::decision::*;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

/// Mean time in nanoseconds for which a request occupies a slot of a warm endpoint.
const MEAN_WORK: f64 = 40e6;
/// Requests that an endpoint works on at a time.
const SLOTS: usize = 2;
/// Work of a load query, relative to the mean work of a request.
const LOAD_QUERY_WORK: f64 = 0.02;
/// Requests that an endpoint queues before it rejects.
const QUEUE_LIMIT: usize = 30;
/// When endpoints restart cold, how long they warm up, and when a simulation ends.
const COLD_START: Time = 12 * SECOND;
const WARM_UP_TIME: Duration = 8 * SECOND;
const END: Time = COLD_START + WARM_UP_TIME + SECOND;
/// Length and number of the time bins in which requests to cold endpoints are counted.
const BIN_LENGTH: Duration = SECOND / 2;
pub const BIN_COUNT: usize = ((END - COLD_START) / BIN_LENGTH) as usize;

/// The parameters of a simulation.
#[derive(Clone)]
pub struct Case {
    /// Label of the case in the report.
    pub name: String,
    /// Number of balancers in the fleet.
    pub balancers: usize,
    /// Some balancers get many times the requests of others.
    pub skewed: bool,
    /// The tier that the balancers send to. Tier 0 sheds load; deeper tiers finish the requests that have
    /// begun.
    pub tier: u32,
    /// Number of zones, and of the endpoints in each.
    pub zones: u8,
    pub endpoints_per_zone: u32,
    /// Endpoints that restart cold.
    pub cold_endpoints: Vec<u32>,
    /// Requests offered, relative to the capacity of the warm tier: before the cold start, and from it on.
    pub load: (f64, f64),
    /// Length of the sliding window in which the work sent to a cold endpoint is limited.
    pub window: Duration,
    /// Fraction of heavy requests, and their work as a multiple of that of light ones.
    pub heavy: (f64, f64),
    /// Requests carry a hint of their work.
    pub work_hinted: bool,
    /// Fraction of the attempts that fail.
    pub failure_rate: f64,
    /// Fraction of the attempts that are never sent.
    pub not_sent_rate: f64,
    /// Fraction of the balancers that restart during the warm-up.
    pub restart_rate: f64,
    /// Longest delay of the endpoint list after the cold start; each balancer has its own.
    pub max_list_delay: Duration,
    /// Relative capacity that a cold endpoint starts with, and the multiple of its current capacity that
    /// overloads it.
    pub initial_capacity: f64,
    pub overload_multiple: f64,
    /// The cold endpoints are listed as draining for 3 s before they restart.
    pub drained: bool,
    /// Endpoints answer load queries.
    pub answers_load_queries: bool,
    /// A lull of 2 s after the cold start and a burst of 1 s after that, as multiples of the load.
    pub burst: Option<(f64, f64)>,
}

/// The base case, which the tests vary: one of twelve endpoints in three zones restarts cold behind thirty
/// balancers. The overload multiple is the smallest that any known deployment sets.
pub fn base_case(name: &str) -> Case {
    Case {
        name: name.into(),
        balancers: 30,
        skewed: true,
        tier: 0,
        zones: 3,
        endpoints_per_zone: 4,
        cold_endpoints: vec![0],
        load: (0.6, 0.6),
        window: SECOND,
        heavy: (0.0, 1.0),
        work_hinted: false,
        failure_rate: 0.0,
        not_sent_rate: 0.0,
        restart_rate: 0.0,
        max_list_delay: 0,
        initial_capacity: 0.3,
        overload_multiple: 2.0,
        drained: true,
        answers_load_queries: false,
        burst: None,
    }
}

/// A tenth of the requests have eight times the work of the others.
pub const HEAVY: (f64, f64) = (0.1, 8.0);
/// Load that exceeds the capacity of the tier from the cold start on.
pub const OVERLOAD: (f64, f64) = (0.6, 1.4);

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum SimulationEvent {
    Arrival(usize),
    /// Balancer, its generation, token.
    Timer(usize, u32, u64),
    /// Endpoint, its generation, attempt. An endpoint of `usize::MAX` ends the attempt without work, and the
    /// generation is then the index of the outcome: see [`Simulation::end_soon`].
    WorkDone(usize, u32, usize),
    AttemptTimedOut(usize),
    /// Balancer, its generation, endpoint.
    LoadQueryAnswered(usize, u32, usize),
    EndpointListReceived(usize),
    BalancerRestart(usize),
    Drain,
    ColdStart,
}

struct Attempt {
    balancer: usize,
    generation: u32,
    id: RequestId,
    attempt_number: u32,
    endpoint: usize,
    work: f64,
    sent_at: Time,
    in_flight: bool,
}

#[derive(Default)]
struct Endpoint {
    busy: usize,
    queue: VecDeque<usize>,
    generation: u32,
    /// Requests answered during the warm-up after the cold start.
    answered: usize,
    /// Arrivals since the cold start: the time, the work relative to the mean, and whether the sender had
    /// been notified of the restart.
    arrivals: Vec<(Time, f64, bool)>,
}

struct BalancerNode {
    load_balancer: LoadBalancer,
    generation: u32,
    notified: bool,
    rate: f64,
}

/// A discrete-event simulation of the balancers, the endpoints and the clients.
pub struct Simulation {
    case: Case,
    rng: fastrand::Rng,
    now: Time,
    pending_events: BinaryHeap<Reverse<(Time, u64, SimulationEvent)>>,
    sequence: u64,
    nodes: Vec<BalancerNode>,
    endpoints: Vec<Endpoint>,
    attempts: Vec<Attempt>,
    /// Work and number of attempts of each request.
    requests: HashMap<RequestId, (f64, u32)>,
    next_id: u32,
    served: usize,
    offered: usize,
}

/// The result of one simulation.
pub struct SimulationResult {
    /// The window in which a cold endpoint got the most work relative to its limit: the work, and the limit.
    pub worst: (f64, f64),
    /// Fraction of the requests that were served.
    pub served: f64,
    /// Requests that the cold endpoints answered during their warm-up, relative to what they could answer.
    pub cold_served: f64,
    /// Requests to the cold endpoints in each time bin from the cold start on.
    pub cold_requests: [usize; BIN_COUNT],
}

impl Simulation {
    /// A simulation of `case` whose random numbers all come from `seed`.
    pub fn new(case: Case, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let share = |draw: f64| if case.skewed { 0.15 + 4.0 * draw.powi(3) } else { 1.0 };
        let shares: Vec<f64> = (0..case.balancers).map(|_| share(rng.f64())).collect();
        let endpoint_count = f64::from(case.endpoints_per_zone) * f64::from(case.zones);
        let warm_rate = endpoint_count * SLOTS as f64 / (MEAN_WORK / 1e9);
        let total: f64 = shares.iter().sum();
        let mut simulation = Self {
            now: SECOND,
            pending_events: BinaryHeap::new(),
            sequence: 0,
            nodes: Vec::new(),
            endpoints: (0..endpoint_count as usize).map(|_| Endpoint::default()).collect(),
            attempts: Vec::new(),
            requests: HashMap::new(),
            next_id: 0,
            served: 0,
            offered: 0,
            rng,
            case,
        };
        for (balancer, share) in shares.into_iter().enumerate() {
            let load_balancer = simulation.new_balancer(balancer);
            simulation.nodes.push(BalancerNode {
                load_balancer,
                generation: 0,
                notified: false,
                rate: warm_rate * share / total,
            });
            let list = endpoints_in_zones(simulation.case.zones, simulation.case.endpoints_per_zone);
            simulation.handle(balancer, Event::EndpointList(&list));
            simulation.schedule_arrival(balancer);
        }
        if simulation.case.drained {
            simulation.schedule(COLD_START - 3 * SECOND, SimulationEvent::Drain);
        }
        simulation.schedule(COLD_START, SimulationEvent::ColdStart);
        simulation
    }

    fn new_balancer(&mut self, balancer: usize) -> LoadBalancer {
        let settings = Settings {
            zone: ZoneId((balancer % usize::from(self.case.zones)) as u8),
            zones: usize::from(self.case.zones),
            replicas: self.case.balancers as u32,
            tier: self.case.tier,
            initial_capacity: self.case.initial_capacity,
            overload_multiple: self.case.overload_multiple,
            warm_up_time: WARM_UP_TIME,
            in_flight_value_position: self.case.answers_load_queries.then_some(0),
            load_on_query: self.case.answers_load_queries,
            classes: {
                let class = |priority_weight| RequestClass {
                    idempotency: Idempotency::Idempotent,
                    priority_weight,
                    ..settings().classes[0].clone()
                };
                vec![class(1.0), class(self.case.heavy.1)]
            },
            ..settings()
        };
        LoadBalancer::new(settings, self.rng.u64(..), self.now).expect("valid settings")
    }

    fn schedule(&mut self, time: Time, event: SimulationEvent) {
        self.sequence += 1;
        self.pending_events.push(Reverse((time, self.sequence, event)));
    }

    /// Schedules the next arrival at a balancer. Arrivals are a Poisson process at the current rate.
    fn schedule_arrival(&mut self, balancer: usize) {
        let (before, after) = self.case.load;
        let mut load = if self.now < COLD_START { before } else { after };
        if let Some((lull, burst)) = self.case.burst {
            let since_cold_start = self.now.saturating_sub(COLD_START);
            load *= if self.now < COLD_START || since_cold_start > 3 * SECOND {
                1.0
            } else if since_cold_start > 2 * SECOND {
                burst
            } else {
                lull
            };
        }
        let rate = self.nodes[balancer].rate * load;
        // The rate can change within a longer wait: the wait is then drawn anew after a step. Bit 32 of the
        // index marks such a step, which is no arrival.
        let wait = -(1.0 - self.rng.f64()).ln() / rate;
        let step = SECOND / 4;
        if wait * 1e9 > step as f64 {
            return self.schedule(self.now + step, SimulationEvent::Arrival(balancer | 1 << 32));
        }
        self.schedule(self.now + (wait * 1e9) as u64, SimulationEvent::Arrival(balancer));
    }

    /// Runs the simulation to its end.
    pub fn run(mut self) -> SimulationResult {
        self.process_events();
        let (cold_served, cold_requests) = self.cold_endpoint_service();
        let served = self.served as f64 / self.offered as f64;
        SimulationResult { worst: self.worst_window(), served, cold_served, cold_requests }
    }

    fn process_events(&mut self) {
        while let Some(Reverse((time, _, event))) = self.pending_events.pop() {
            if time > END {
                return;
            }
            self.now = time;
            match event {
                SimulationEvent::Arrival(balancer) if balancer >> 32 > 0 => {
                    self.schedule_arrival(balancer & 0xffff_ffff)
                }
                SimulationEvent::Arrival(balancer) => self.handle_arrival(balancer),
                SimulationEvent::Timer(balancer, generation, token)
                    if self.nodes[balancer].generation == generation =>
                {
                    self.handle(balancer, Event::Timer(token));
                }
                SimulationEvent::Timer(..) => {}
                SimulationEvent::WorkDone(endpoint, generation, attempt) => {
                    self.finish_work(endpoint, generation, attempt)
                }
                SimulationEvent::AttemptTimedOut(attempt) => {
                    self.end_attempt(attempt, AttemptOutcome::Timeout)
                }
                SimulationEvent::LoadQueryAnswered(balancer, generation, endpoint)
                    if self.nodes[balancer].generation == generation =>
                {
                    let in_flight =
                        (self.endpoints[endpoint].busy + self.endpoints[endpoint].queue.len()) as f32;
                    self.handle(
                        balancer,
                        Event::LoadQueryEnded(
                            EndpointId(endpoint as u32),
                            AttemptOutcome::Success,
                            super::load_report(in_flight),
                        ),
                    );
                }
                SimulationEvent::LoadQueryAnswered(..) => {}
                SimulationEvent::EndpointListReceived(balancer) => {
                    self.nodes[balancer].notified = true;
                    let list = self.endpoint_list();
                    self.handle(balancer, Event::EndpointsChanged(&list));
                }
                SimulationEvent::BalancerRestart(balancer) => self.restart_balancer(balancer),
                SimulationEvent::Drain => self.drain(),
                SimulationEvent::ColdStart => self.cold_start(),
            }
        }
    }

    fn handle_arrival(&mut self, balancer: usize) {
        self.schedule_arrival(balancer);
        let (heavy_fraction, multiple) = self.case.heavy;
        let class = usize::from(self.rng.f64() < heavy_fraction);
        let light = MEAN_WORK / (1.0 - heavy_fraction + heavy_fraction * multiple);
        let mean = if class == 1 { light * multiple } else { light };
        let work = mean * (0.6 + 0.8 * self.rng.f64());
        let id = RequestId(self.next_id);
        self.next_id += 1;
        self.offered += 1;
        self.requests.insert(id, (work, 0));
        let work = self.case.work_hinted.then_some(work as Duration);
        let incoming =
            IncomingRequest { class, tenant: 0, time_left: 2 * SECOND, work, body_incomplete: false };
        self.handle(balancer, Event::Request(id, incoming));
    }

    fn handle(&mut self, balancer: usize, event: Event<'_>) {
        let mut actions = Vec::new();
        let now = self.now;
        self.nodes[balancer].load_balancer.handle(now, event, &mut actions);
        let generation = self.nodes[balancer].generation;
        for action in actions {
            match action {
                Action::Send { id, endpoint, times_out_at, .. } => {
                    self.send(balancer, id, endpoint.0 as usize, times_out_at)
                }
                Action::SetTimer { after, token } => {
                    self.schedule(now + after, SimulationEvent::Timer(balancer, generation, token))
                }
                Action::QueryLoad(endpoint) => self.query_load(balancer, endpoint.0 as usize),
                Action::Cancel { .. } => panic!("a request was cancelled though no client disconnects"),
                _ => {}
            }
        }
    }

    fn query_load(&mut self, balancer: usize, endpoint: usize) {
        let (generation, notified) = (self.nodes[balancer].generation, self.nodes[balancer].notified);
        self.schedule(self.now + MS, SimulationEvent::LoadQueryAnswered(balancer, generation, endpoint));
        let endpoint_state = &mut self.endpoints[endpoint];
        if endpoint_state.generation > 0 {
            endpoint_state.arrivals.push((self.now, LOAD_QUERY_WORK, notified));
        }
    }

    fn send(&mut self, balancer: usize, id: RequestId, endpoint: usize, until: Time) {
        let request = self.requests.get_mut(&id).expect("a request that arrived");
        let (generation, work, attempt_number) = (self.nodes[balancer].generation, request.0, request.1);
        request.1 += 1;
        let attempt = self.attempts.len();
        self.attempts.push(Attempt {
            balancer,
            generation,
            id,
            attempt_number,
            endpoint,
            work,
            sent_at: self.now,
            in_flight: true,
        });
        if self.rng.f64() < self.case.not_sent_rate {
            return self.end_soon(attempt, AttemptOutcome::NotSent);
        }
        let endpoint_state = &mut self.endpoints[endpoint];
        if endpoint_state.generation > 0 {
            endpoint_state.arrivals.push((self.now, work / MEAN_WORK, self.nodes[balancer].notified));
        }
        if self.rng.f64() < self.case.failure_rate {
            return self.end_soon(attempt, AttemptOutcome::Error);
        }
        if endpoint_state.busy < SLOTS {
            self.start_work(endpoint, attempt);
        } else if endpoint_state.queue.len() < QUEUE_LIMIT {
            endpoint_state.queue.push_back(attempt);
        } else {
            return self.end_soon(attempt, AttemptOutcome::Rejected);
        }
        self.schedule(until, SimulationEvent::AttemptTimedOut(attempt));
    }

    /// Ends an attempt 1 ms after it was sent, without any work at an endpoint.
    fn end_soon(&mut self, attempt: usize, outcome: AttemptOutcome) {
        // Encoded as work at an endpoint that does not exist; the generation is the index of the outcome.
        let code = match outcome {
            AttemptOutcome::NotSent => 0,
            AttemptOutcome::Error => 1,
            _ => 2,
        };
        self.schedule(self.now + MS, SimulationEvent::WorkDone(usize::MAX, code, attempt));
    }

    fn start_work(&mut self, endpoint: usize, attempt: usize) {
        let relative_capacity = self.relative_capacity(endpoint, self.now);
        let endpoint_state = &mut self.endpoints[endpoint];
        endpoint_state.busy += 1;
        let (generation, duration) =
            (endpoint_state.generation, (self.attempts[attempt].work / relative_capacity) as u64);
        self.schedule(self.now + duration, SimulationEvent::WorkDone(endpoint, generation, attempt));
    }

    fn finish_work(&mut self, endpoint: usize, generation: u32, attempt: usize) {
        if endpoint == usize::MAX {
            let outcome = [AttemptOutcome::NotSent, AttemptOutcome::Error, AttemptOutcome::Rejected]
                [generation as usize];
            return self.end_attempt(attempt, outcome);
        }
        if self.endpoints[endpoint].generation != generation {
            return;
        }
        self.endpoints[endpoint].busy -= 1;
        let warming = generation > 0 && self.now < COLD_START + WARM_UP_TIME;
        self.endpoints[endpoint].answered += usize::from(warming);
        self.end_attempt(attempt, AttemptOutcome::Success);
        if let Some(next) = self.endpoints[endpoint].queue.pop_front() {
            self.start_work(endpoint, next);
        }
    }

    fn end_attempt(&mut self, attempt: usize, outcome: AttemptOutcome) {
        let Attempt { balancer, generation, id, attempt_number, sent_at, in_flight, .. } =
            self.attempts[attempt];
        self.attempts[attempt].in_flight = false;
        if !in_flight || self.nodes[balancer].generation != generation {
            return;
        }
        self.served += usize::from(outcome == AttemptOutcome::Success);
        let elapsed = self.now - sent_at;
        let closed = outcome == AttemptOutcome::Success;
        let end = AttemptEnd {
            attempt: attempt_number,
            outcome,
            elapsed,
            request_closed: closed,
            body_consumed: false,
            load: None,
        };
        self.handle(balancer, Event::AttemptEnded(id, end));
    }

    /// Current capacity of an endpoint relative to a warm one. It grows as slowly as the settings allow.
    fn relative_capacity(&self, endpoint: usize, time: Time) -> f64 {
        if self.endpoints[endpoint].generation == 0 {
            return 1.0;
        }
        let progress = time.saturating_sub(COLD_START) as f64 / WARM_UP_TIME as f64;
        (self.case.initial_capacity + (1.0 - self.case.initial_capacity) * progress).min(1.0)
    }

    fn endpoint_list(&self) -> Vec<EndpointEntry> {
        let mut list = endpoints_in_zones(self.case.zones, self.case.endpoints_per_zone);
        self.case
            .cold_endpoints
            .iter()
            .for_each(|&cold_endpoint| list[cold_endpoint as usize].started = Some(COLD_START));
        list
    }

    fn drain(&mut self) {
        let mut list = endpoints_in_zones(self.case.zones, self.case.endpoints_per_zone);
        list.retain(|entry| self.case.cold_endpoints.contains(&entry.endpoint.0));
        list.iter_mut().for_each(|entry| entry.state = EndpointState::Draining);
        (0..self.case.balancers).for_each(|balancer| self.handle(balancer, Event::EndpointsChanged(&list)));
    }

    fn cold_start(&mut self) {
        for cold_endpoint in self.case.cold_endpoints.clone() {
            let endpoint = &mut self.endpoints[cold_endpoint as usize];
            *endpoint = Endpoint { generation: 1, ..Endpoint::default() };
            for attempt in 0..self.attempts.len() {
                if self.attempts[attempt].in_flight
                    && self.attempts[attempt].endpoint == cold_endpoint as usize
                {
                    self.end_attempt(attempt, AttemptOutcome::Reset);
                }
            }
        }
        for balancer in 0..self.case.balancers {
            let delay = self.rng.u64(..=self.case.max_list_delay);
            self.schedule(self.now + delay, SimulationEvent::EndpointListReceived(balancer));
            if self.rng.f64() < self.case.restart_rate {
                let restart_delay = self.rng.u64(..WARM_UP_TIME / 2);
                self.schedule(self.now + restart_delay, SimulationEvent::BalancerRestart(balancer));
            }
        }
    }

    fn restart_balancer(&mut self, balancer: usize) {
        let load_balancer = self.new_balancer(balancer);
        let node = &mut self.nodes[balancer];
        (node.load_balancer, node.generation, node.notified) = (load_balancer, node.generation + 1, true);
        let list = self.endpoint_list();
        self.handle(balancer, Event::EndpointList(&list));
    }

    /// The window in which a cold endpoint got the most work relative to its limit: the work, and the limit.
    /// Only windows count in which over two thirds of the work came from balancers that had been notified of
    /// the restart.
    fn worst_window(&self) -> (f64, f64) {
        let warm_work = SLOTS as f64 / MEAN_WORK * self.case.window as f64;
        let mut worst = (0.0, f64::INFINITY);
        for &cold_endpoint in &self.case.cold_endpoints {
            // A warm endpoint is no longer limited by slow start.
            let arrivals = &self.endpoints[cold_endpoint as usize].arrivals;
            let arrivals =
                &arrivals[..arrivals.partition_point(|&(time, ..)| time <= COLD_START + WARM_UP_TIME)];
            let (mut first, mut sum, mut notified) = (0, 0.0, 0.0);
            for &(time, work, sender_notified) in arrivals {
                sum += work;
                notified += if sender_notified { work } else { 0.0 };
                while arrivals[first].0 + self.case.window < time {
                    sum -= arrivals[first].1;
                    notified -= if arrivals[first].2 { arrivals[first].1 } else { 0.0 };
                    first += 1;
                }
                let allowed = self.case.overload_multiple
                    * warm_work
                    * self.relative_capacity(cold_endpoint as usize, arrivals[first].0);
                if notified > sum * 2.0 / 3.0
                    && sum / with_random_variation(allowed) > worst.0 / with_random_variation(worst.1)
                {
                    worst = (sum, allowed);
                }
            }
        }
        worst
    }

    /// Requests that the cold endpoints answered during their warm-up, relative to what they could answer,
    /// and the requests that they got in each time bin.
    fn cold_endpoint_service(&self) -> (f64, [usize; BIN_COUNT]) {
        let (mut answered, mut requests) = (0, [0; BIN_COUNT]);
        for &cold_endpoint in &self.case.cold_endpoints {
            let endpoint = &self.endpoints[cold_endpoint as usize];
            answered += endpoint.answered;
            let received = endpoint.arrivals.iter().filter(|&&(_, work, _)| work > LOAD_QUERY_WORK);
            received.for_each(|&(time, ..)| {
                requests[(((time - COLD_START) / BIN_LENGTH) as usize).min(BIN_COUNT - 1)] += 1
            });
        }
        let mean_relative_capacity = (1.0 + self.case.initial_capacity) / 2.0;
        let load = self.case.load.1.min(1.0);
        let possible = mean_relative_capacity * load * SLOTS as f64 / MEAN_WORK
            * WARM_UP_TIME as f64
            * self.case.cold_endpoints.len() as f64;
        (answered as f64 / possible, requests)
    }
}

/// Requests a second that a cold endpoint gets once it has its full share.
pub fn full_share(case: &Case) -> f64 {
    case.load.1.min(1.0) * SLOTS as f64 / (MEAN_WORK / 1e9)
}

/// The limit plus the random variation expected where `allowed` requests of mean work are allowed.
pub fn with_random_variation(allowed: f64) -> f64 {
    let (deviations, margin) = if allowed < 30.0 { (3.0, 3.0) } else { (2.0, 2.0) };
    allowed + deviations * allowed.sqrt() + margin
}

/// The result of a case over several seeds.
pub struct Summary {
    /// The report line of the case.
    pub line: String,
    /// Number of seeds in which a cold endpoint received more than its limit.
    pub violations: u64,
}

/// Runs the simulation of a case once for each seed.
pub fn run_seeds(case: &Case, seeds: std::ops::RangeInclusive<u64>) -> Summary {
    let runs = (seeds.end() - seeds.start() + 1) as f64;
    let (mut worst, mut violations, mut served, mut cold_served) = ((0.0, f64::INFINITY), 0, 0.0, 0.0);
    let mut cold_requests = [0; BIN_COUNT];
    for seed in seeds {
        let result = Simulation::new(case.clone(), seed).run();
        served += result.served / runs;
        cold_served += result.cold_served / runs;
        cold_requests.iter_mut().zip(result.cold_requests).for_each(|(sum, requests)| *sum += requests);
        let (received, allowed) = result.worst;
        violations += u64::from(received > with_random_variation(allowed));
        if received / with_random_variation(allowed) > worst.0 / with_random_variation(worst.1) {
            worst = result.worst;
        }
    }
    let share = full_share(case) * case.cold_endpoints.len() as f64 * runs * BIN_LENGTH as f64 / 1e9;
    let full_share_bin = cold_requests.iter().position(|&requests| requests as f64 >= 0.8 * share);
    let time_to_share = full_share_bin
        .map_or("over 9".into(), |bin| format!("{:.1}", (bin as u64 * BIN_LENGTH) as f64 / 1e9));
    let (received, allowed) = worst;
    let line = format!(
        "{}: worst window {received:.1} at a limit of {allowed:.1} ({:.1} with random variation), exceeded \
         for {violations} of {runs} seeds; {:.0}% served, cold endpoints answered {:.0}% of their capacity, \
         four fifths of their share after {time_to_share} s",
        case.name,
        with_random_variation(allowed),
        100.0 * served,
        100.0 * cold_served,
    );
    Summary { line, violations }
}

/// Runs each case with seeds 1 to `seeds`, or up to `SLOW_START_SEEDS` if that is set, prints the worst
/// window of each, and fails if a cold endpoint got more than slow start allows.
pub fn assert_slow_start_limits(cases: &[Case], seeds: u64) {
    let seed_override = std::env::var("SLOW_START_SEEDS").ok().and_then(|seeds| seeds.parse().ok());
    let mut violating = Vec::new();
    for case in cases {
        let summary = run_seeds(case, 1..=seed_override.unwrap_or(seeds));
        println!("{}", summary.line);
        violating.extend((summary.violations > 0).then_some(summary.line));
    }
    assert!(violating.is_empty(), "{violating:#?}");
}
