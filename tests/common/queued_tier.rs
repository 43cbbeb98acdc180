//! Simulates balancers in front of endpoints with queues on virtual time. An endpoint processes every attempt
//! that it was sent, including those that the balancer has given up, and slows down once its queue is long,
//! until it is idle again. Every balancer is a real decision module; the endpoints and the clients are
//! simulated.

use super::{SECOND, endpoint_entry};
use balancer::decision::*;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

/// The topology and the traffic of a simulation.
#[derive(Clone, Copy)]
pub struct Workload {
    /// Number of balancers and of endpoints.
    pub balancers: usize,
    pub endpoints: usize,
    /// Requests a second that each balancer gets.
    pub rate: f64,
    /// Mean work of a request, in nanoseconds.
    pub mean_work: f64,
    /// Queue length from which an endpoint is slower, and the factor by which its work takes longer then.
    pub congestion_threshold: usize,
    pub slowdown: f64,
    /// A burst: the second in which it begins, the second in which it is over, and the multiple of the rate
    /// meanwhile.
    pub burst: (u64, u64, f64),
}

/// Counters of one second of the simulation.
#[derive(Clone, Copy, Default, Debug)]
pub struct Counts {
    /// Requests that arrived in this second, and how many of them were served.
    pub requests: u32,
    pub served: u32,
    /// Attempts sent to endpoints.
    pub attempts: u32,
}

enum ScheduledEvent {
    Arrival { balancer: usize },
    Timer { balancer: usize, token: u64 },
    WorkDone { endpoint: usize },
    AttemptTimeout { attempt: AttemptKey },
}

/// Identifies an attempt at an endpoint.
#[derive(Clone, Copy, PartialEq, Eq)]
struct AttemptKey {
    balancer: usize,
    request: u32,
    number: u32,
}

/// The attempt of a request that is in flight.
struct InFlightAttempt {
    attempt: AttemptKey,
    sent_at: u64,
    arrival_second: usize,
}

#[derive(Default)]
struct Endpoint {
    queue: VecDeque<AttemptKey>,
    congested: bool,
}

/// The simulation: its clients, balancers and endpoints.
pub struct QueuedTier {
    workload: Workload,
    class: usize,
    time_left: u64,
    rng: fastrand::Rng,
    now: u64,
    sequence: u64,
    scheduled: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, ScheduledEvent>,
    balancers: Vec<LoadBalancer>,
    endpoints: Vec<Endpoint>,
    in_flight: HashMap<(usize, u32), InFlightAttempt>,
    arrival_seconds: HashMap<(usize, u32), usize>,
    next_request: u32,
    pub counts: Vec<Counts>,
}

impl QueuedTier {
    /// Endpoints are spread round robin over the zones of `settings`. The clients' requests are of one class,
    /// and have `time_left` to their deadline.
    pub fn new(workload: Workload, settings: &Settings, class: usize, time_left: u64, seed: u64) -> Self {
        let zones = settings.zones as u8;
        let list: Vec<EndpointEntry> = (0..workload.endpoints as u32)
            .map(|endpoint| endpoint_entry(endpoint, endpoint as u8 % zones))
            .collect();
        let mut tier = Self {
            workload,
            class,
            time_left,
            rng: fastrand::Rng::with_seed(seed),
            now: SECOND,
            sequence: 0,
            scheduled: BinaryHeap::new(),
            events: HashMap::new(),
            balancers: Vec::new(),
            endpoints: (0..workload.endpoints).map(|_| Endpoint::default()).collect(),
            in_flight: HashMap::new(),
            arrival_seconds: HashMap::new(),
            next_request: 0,
            counts: Vec::new(),
        };
        for balancer in 0..workload.balancers {
            let zone = ZoneId(balancer as u8 % zones);
            let settings = Settings { zone, replicas: workload.balancers as u32, ..settings.clone() };
            let load_balancer = LoadBalancer::new(settings, seed << 8 | balancer as u64, tier.now).unwrap();
            tier.balancers.push(load_balancer);
            tier.handle(balancer, Event::EndpointList(&list));
            tier.schedule(tier.now, ScheduledEvent::Arrival { balancer });
        }
        tier
    }

    /// Runs the simulation until `seconds` after its start.
    pub fn run(&mut self, seconds: u64) -> &mut Self {
        let end = (1 + seconds) * SECOND;
        self.counts.resize(seconds as usize + 2, Counts::default());
        while let Some(&Reverse((time, sequence))) =
            self.scheduled.peek().filter(|Reverse((time, _))| *time < end)
        {
            self.scheduled.pop();
            self.now = time;
            let event = self.events.remove(&sequence).expect("each event is scheduled once");
            self.process(event);
        }
        self
    }

    /// Fraction of the requests that arrived from second `from` up to, but not including, second `to` and
    /// were served.
    pub fn served_share(&self, from: usize, to: usize) -> f64 {
        let served: u32 = self.counts[from..to].iter().map(|counts| counts.served).sum();
        let requests: u32 = self.counts[from..to].iter().map(|counts| counts.requests).sum();
        f64::from(served) / f64::from(requests.max(1))
    }

    fn current_second(&self) -> usize {
        (self.now / SECOND - 1) as usize
    }

    fn schedule(&mut self, time: u64, event: ScheduledEvent) {
        self.sequence += 1;
        self.scheduled.push(Reverse((time, self.sequence)));
        self.events.insert(self.sequence, event);
    }

    fn exponential(&mut self, mean: f64) -> u64 {
        (-(1.0 - self.rng.f64()).ln() * mean) as u64
    }

    fn process(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Arrival { balancer } => self.handle_arrival(balancer),
            ScheduledEvent::Timer { balancer, token } => self.handle(balancer, Event::Timer(token)),
            ScheduledEvent::WorkDone { endpoint } => self.finish_work(endpoint),
            ScheduledEvent::AttemptTimeout { attempt } => self.end_attempt(attempt, AttemptOutcome::Timeout),
        }
    }

    fn handle_arrival(&mut self, balancer: usize) {
        let (from, to, multiple) = self.workload.burst;
        let bursting = (from..to).contains(&(self.current_second() as u64));
        let rate = self.workload.rate * if bursting { multiple } else { 1.0 };
        let gap = self.exponential(SECOND as f64 / rate);
        self.schedule(self.now + gap, ScheduledEvent::Arrival { balancer });
        let (request, second) = (self.next_request, self.current_second());
        self.next_request += 1;
        self.counts[second].requests += 1;
        self.arrival_seconds.insert((balancer, request), second);
        let incoming = IncomingRequest {
            class: self.class,
            tenant: 0,
            time_left: self.time_left,
            work: None,
            body_incomplete: false,
        };
        self.handle(balancer, Event::Request(RequestId(request), incoming));
    }

    fn handle(&mut self, balancer: usize, event: Event<'_>) {
        let mut actions = Vec::new();
        self.balancers[balancer].handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { id, endpoint, times_out_at, .. } => {
                    self.send(balancer, id.0, endpoint.0 as usize, times_out_at)
                }
                Action::SetTimer { after, token } => {
                    self.schedule(self.now + after, ScheduledEvent::Timer { balancer, token });
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, balancer: usize, request: u32, endpoint: usize, until: u64) {
        let number =
            self.in_flight.get(&(balancer, request)).map_or(0, |in_flight| in_flight.attempt.number + 1);
        let attempt = AttemptKey { balancer, request, number };
        let arrival_second = self.arrival_seconds[&(balancer, request)];
        self.in_flight
            .insert((balancer, request), InFlightAttempt { attempt, sent_at: self.now, arrival_second });
        let second = self.current_second();
        self.counts[second].attempts += 1;
        self.schedule(until, ScheduledEvent::AttemptTimeout { attempt });
        let idle = self.endpoints[endpoint].queue.is_empty();
        self.endpoints[endpoint].queue.push_back(attempt);
        self.endpoints[endpoint].congested |=
            self.endpoints[endpoint].queue.len() >= self.workload.congestion_threshold;
        if idle {
            self.start_work(endpoint);
        }
    }

    /// The endpoint starts on the first attempt of its queue.
    fn start_work(&mut self, endpoint: usize) {
        let slowdown = if self.endpoints[endpoint].congested { self.workload.slowdown } else { 1.0 };
        let work = self.exponential(self.workload.mean_work * slowdown);
        self.schedule(self.now + work, ScheduledEvent::WorkDone { endpoint });
    }

    fn finish_work(&mut self, endpoint: usize) {
        let Some(attempt) = self.endpoints[endpoint].queue.pop_front() else { return };
        if self.endpoints[endpoint].queue.is_empty() {
            self.endpoints[endpoint].congested = false;
        } else {
            self.start_work(endpoint);
        }
        self.end_attempt(attempt, AttemptOutcome::Success);
    }

    /// Ends an attempt, unless the balancer has given it up before.
    fn end_attempt(&mut self, attempt: AttemptKey, outcome: AttemptOutcome) {
        let Some(in_flight) = self
            .in_flight
            .get(&(attempt.balancer, attempt.request))
            .filter(|in_flight| in_flight.attempt == attempt)
        else {
            return;
        };
        let (elapsed, arrival_second) = (self.now - in_flight.sent_at, in_flight.arrival_second);
        let closed = outcome == AttemptOutcome::Success;
        let end = AttemptEnd {
            attempt: attempt.number,
            outcome,
            elapsed,
            request_closed: closed,
            body_consumed: false,
            load: None,
        };
        self.handle(attempt.balancer, Event::AttemptEnded(RequestId(attempt.request), end));
        let is_this_attempt = |in_flight: &InFlightAttempt| in_flight.attempt == attempt;
        if self.in_flight.get(&(attempt.balancer, attempt.request)).is_some_and(is_this_attempt) {
            self.in_flight.remove(&(attempt.balancer, attempt.request));
            self.counts[arrival_second].served += u32::from(closed);
        }
    }
}
