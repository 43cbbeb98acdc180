//! Simulates a chain of tiers on virtual time. Every balancer is a real decision module; the endpoints and
//! the clients are simulated. Each endpoint of a tier sends one request to the next tier, through a balancer
//! of its own, for each request that it gets.

use super::{IDEMPOTENT, SECOND, settings};
use balancer::decision::*;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// Number of endpoints in each tier.
pub const ENDPOINTS_PER_TIER: usize = 6;
/// Work of an endpoint for each request, in nanoseconds: the minimum, and the mean of the exponentially
/// distributed rest.
const WORK_NS: (f64, f64) = (1e6, 1e6);

/// Time until a client gives up. No response takes that long, so that there is time for all attempts.
const CLIENT_TIMEOUT: u64 = 10 * SECOND;

/// Decides whether a request fails at an endpoint, and how. The arguments are the tier, the endpoint, the
/// class, the time since the start, and the random numbers.
pub type FaultRule = Box<dyn Fn(usize, usize, usize, u64, &mut fastrand::Rng) -> Option<AttemptOutcome>>;

/// Counters of one second of the simulation.
#[derive(Clone, Copy, Default, Debug)]
pub struct Counts {
    /// Client requests that arrived in this second, and how many of them were served.
    pub requests: u32,
    pub served: u32,
    /// Attempts sent to the last tier.
    pub last_tier_attempts: u32,
    /// Retries of all balancers, and those of the front balancer alone.
    pub retries: u32,
    pub front_retries: u32,
}

impl std::ops::AddAssign for Counts {
    fn add_assign(&mut self, other: Self) {
        self.requests += other.requests;
        self.served += other.served;
        self.last_tier_attempts += other.last_tier_attempts;
        self.retries += other.retries;
        self.front_retries += other.front_retries;
    }
}

impl Counts {
    /// Attempts at the last tier for each client request.
    pub fn amplification(&self) -> f64 {
        f64::from(self.last_tier_attempts) / f64::from(self.requests.max(1))
    }

    /// Fraction of the client requests that were served.
    pub fn served_share(&self) -> f64 {
        f64::from(self.served) / f64::from(self.requests.max(1))
    }
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum ScheduledEvent {
    Arrival,
    Timer {
        balancer: usize,
        token: u64,
    },
    /// An endpoint has finished its own work on an attempt.
    WorkDone {
        balancer: usize,
        id: u32,
        attempt: u32,
        endpoint: usize,
    },
    /// The timeout of an attempt expires.
    AttemptTimeout {
        balancer: usize,
        id: u32,
        attempt: u32,
    },
}

/// A request at a balancer, and its attempt in flight.
struct Request {
    /// The attempt of the tier above for which the request is made; `None` for a request of a client.
    parent: Option<(usize, u32, u32)>,
    arrival_second: usize,
    class: usize,
    /// Number of attempts so far; start and timeout of the latest one.
    attempts: u32,
    sent_at: u64,
    until: u64,
    in_flight: bool,
    /// The request to the next tier that the attempt in flight has caused.
    child: Option<(usize, u32)>,
}

/// The simulation: its clients, balancers and endpoints. Balancer 0 serves the clients.
pub struct Chain {
    depth: usize,
    rate: f64,
    classes: Vec<usize>,
    fault_rule: FaultRule,
    rng: fastrand::Rng,
    now: u64,
    sequence: u64,
    scheduled: BinaryHeap<Reverse<(u64, u64, ScheduledEvent)>>,
    balancers: Vec<LoadBalancer>,
    requests: Vec<HashMap<u32, Request>>,
    next_ids: Vec<u32>,
    pub counts: Vec<Counts>,
}

impl Chain {
    /// A chain of `depth` tiers, to which the clients send `rate` requests a second.
    pub fn new(depth: usize, rate: f64, seed: u64, fault_rule: FaultRule) -> Self {
        let balancer_count = 1 + ENDPOINTS_PER_TIER * (depth - 1);
        let list: Vec<EndpointEntry> =
            (0..ENDPOINTS_PER_TIER as u32).map(|endpoint| super::endpoint_entry(endpoint, 0)).collect();
        let mut chain = Self {
            depth,
            rate,
            classes: vec![IDEMPOTENT],
            fault_rule,
            rng: fastrand::Rng::with_seed(seed),
            now: 0,
            sequence: 0,
            scheduled: BinaryHeap::new(),
            balancers: Vec::new(),
            requests: (0..balancer_count).map(|_| HashMap::new()).collect(),
            next_ids: vec![0; balancer_count],
            counts: Vec::new(),
        };
        for balancer in 0..balancer_count {
            let tier = Self::tier_of(balancer) as u32;
            let replicas = if tier == 0 { 1 } else { ENDPOINTS_PER_TIER as u32 };
            let mut settings = Settings { zones: 1, max_attempts: 3, tier, replicas, ..settings() };
            settings.classes.iter_mut().for_each(|class| class.deadline = CLIENT_TIMEOUT);
            chain.balancers.push(LoadBalancer::new(settings, seed << 16 | balancer as u64, 0).unwrap());
            chain.handle(balancer, Event::EndpointList(&list));
        }
        chain.schedule(0, ScheduledEvent::Arrival);
        chain
    }

    /// Client requests are of a random one of these classes.
    pub fn with_classes(self, classes: &[usize]) -> Self {
        Self { classes: classes.to_vec(), ..self }
    }

    fn tier_of(balancer: usize) -> usize {
        balancer.div_ceil(ENDPOINTS_PER_TIER)
    }

    /// Runs the simulation until `seconds` after its start.
    pub fn run(&mut self, seconds: usize) -> &mut Self {
        self.counts.resize(seconds + 1, Counts::default());
        while let Some(Reverse((time, ..))) = self.scheduled.peek() {
            if *time >= seconds as u64 * SECOND {
                break;
            }
            let Some(Reverse((time, _, event))) = self.scheduled.pop() else { break };
            self.now = time;
            self.process(event);
        }
        self
    }

    /// Sum of the counters from second `from` up to, but not including, second `to`.
    pub fn total(&self, from: usize, to: usize) -> Counts {
        let mut total = Counts::default();
        self.counts[from..to].iter().for_each(|&counts| total += counts);
        total
    }

    fn schedule(&mut self, time: u64, event: ScheduledEvent) {
        self.sequence += 1;
        self.scheduled.push(Reverse((time, self.sequence, event)));
    }

    fn exponential(&mut self, mean: f64) -> u64 {
        (-(1.0 - self.rng.f64()).ln() * mean) as u64
    }

    fn current_counts(&mut self) -> &mut Counts {
        &mut self.counts[(self.now / SECOND) as usize]
    }

    fn process(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Arrival => {
                let gap = self.exponential(SECOND as f64 / self.rate);
                self.schedule(self.now + gap, ScheduledEvent::Arrival);
                let class = self.classes[self.rng.usize(..self.classes.len())];
                self.current_counts().requests += 1;
                self.start_request(0, None, class, CLIENT_TIMEOUT);
            }
            ScheduledEvent::Timer { balancer, token } => self.handle(balancer, Event::Timer(token)),
            ScheduledEvent::WorkDone { balancer, id, attempt, endpoint } => {
                self.finish_work(balancer, id, attempt, endpoint)
            }
            ScheduledEvent::AttemptTimeout { balancer, id, attempt } => {
                self.end_attempt(balancer, id, attempt, AttemptOutcome::Timeout)
            }
        }
    }

    fn start_request(
        &mut self,
        balancer: usize,
        parent: Option<(usize, u32, u32)>,
        class: usize,
        time_left: u64,
    ) -> u32 {
        let id = self.next_ids[balancer];
        self.next_ids[balancer] += 1;
        let arrival_second = (self.now / SECOND) as usize;
        let (sent_at, until) = (self.now, self.now);
        let request = Request {
            parent,
            arrival_second,
            class,
            attempts: 0,
            sent_at,
            until,
            in_flight: false,
            child: None,
        };
        self.requests[balancer].insert(id, request);
        let incoming = IncomingRequest { class, tenant: 0, time_left, work: None, body_incomplete: false };
        self.handle(balancer, Event::Request(RequestId(id), incoming));
        id
    }

    fn handle(&mut self, balancer: usize, event: Event<'_>) {
        let mut actions = Vec::new();
        self.balancers[balancer].handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { id, endpoint, times_out_at, .. } => {
                    self.send(balancer, id.0, endpoint.0 as usize, times_out_at)
                }
                Action::Reject { id, .. } | Action::Fail(id) => {
                    self.finish_request(balancer, id.0, AttemptOutcome::Error)
                }
                Action::Cancel { id, attempt } => {
                    self.end_attempt(balancer, id.0, attempt, AttemptOutcome::Cancelled)
                }
                Action::SetTimer { after, token } => {
                    self.schedule(self.now + after, ScheduledEvent::Timer { balancer, token });
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, balancer: usize, id: u32, endpoint: usize, until: u64) {
        let work = WORK_NS.0 as u64 + self.exponential(WORK_NS.1);
        let (now, is_last_tier) = (self.now, Self::tier_of(balancer) + 1 == self.depth);
        let request = self.requests[balancer].get_mut(&id).expect("the request is open");
        (request.sent_at, request.until, request.in_flight, request.child) = (now, until, true, None);
        let attempt = request.attempts;
        request.attempts += 1;
        let counts = self.current_counts();
        counts.last_tier_attempts += u32::from(is_last_tier);
        counts.retries += u32::from(attempt > 0);
        counts.front_retries += u32::from(attempt > 0 && balancer == 0);
        self.schedule(now + work, ScheduledEvent::WorkDone { balancer, id, attempt, endpoint });
        self.schedule(until, ScheduledEvent::AttemptTimeout { balancer, id, attempt });
    }

    fn finish_work(&mut self, balancer: usize, id: u32, attempt: u32, endpoint: usize) {
        let Some(request) = self.requests[balancer].get(&id) else { return };
        if !request.in_flight || request.attempts != attempt + 1 {
            return;
        }
        let (class, until, tier) = (request.class, request.until, Self::tier_of(balancer));
        match (self.fault_rule)(tier, endpoint, class, self.now, &mut self.rng) {
            Some(outcome) => self.end_attempt(balancer, id, attempt, outcome),
            None if tier + 1 == self.depth => {
                self.end_attempt(balancer, id, attempt, AttemptOutcome::Success)
            }
            None => {
                let next_balancer = 1 + tier * ENDPOINTS_PER_TIER + endpoint;
                let child = self.next_ids[next_balancer];
                self.requests[balancer].get_mut(&id).expect("the request is open").child =
                    Some((next_balancer, child));
                self.start_request(
                    next_balancer,
                    Some((balancer, id, attempt)),
                    class,
                    until.saturating_sub(self.now),
                );
            }
        }
    }

    fn end_attempt(&mut self, balancer: usize, id: u32, attempt: u32, outcome: AttemptOutcome) {
        let Some(request) = self.requests[balancer].get_mut(&id) else { return };
        if !request.in_flight || request.attempts != attempt + 1 {
            return;
        }
        request.in_flight = false;
        let (child, elapsed) = (request.child.take(), self.now - request.sent_at);
        let abandoned =
            child.filter(|_| matches!(outcome, AttemptOutcome::Timeout | AttemptOutcome::Cancelled));
        if let Some((next_balancer, child)) = abandoned {
            self.cancel_request(next_balancer, child);
        }
        let closed = outcome == AttemptOutcome::Success;
        let end = AttemptEnd {
            attempt,
            outcome,
            elapsed,
            request_closed: closed,
            body_consumed: false,
            load: None,
        };
        self.handle(balancer, Event::AttemptEnded(RequestId(id), end));
        if closed {
            self.finish_request(balancer, id, AttemptOutcome::Success);
        }
    }

    /// Cancels a request that the tier above has given up: the balancer sees its client disconnect.
    fn cancel_request(&mut self, balancer: usize, id: u32) {
        if self.requests[balancer].contains_key(&id) {
            self.handle(balancer, Event::ClientDisconnected(RequestId(id)));
            self.requests[balancer].remove(&id);
        }
    }

    fn finish_request(&mut self, balancer: usize, id: u32, outcome: AttemptOutcome) {
        let Some(request) = self.requests[balancer].remove(&id) else { return };
        match request.parent {
            Some((parent, id, attempt)) => self.end_attempt(parent, id, attempt, outcome),
            None => {
                self.counts[request.arrival_second].served += u32::from(outcome == AttemptOutcome::Success)
            }
        }
    }
}

/// Attempts fail at random with probability `failure_rate` in the tiers that `in_tier` selects.
pub fn random_failures(failure_rate: f64, in_tier: impl Fn(usize) -> bool + 'static) -> FaultRule {
    Box::new(move |tier, _, _, _, rng| {
        (in_tier(tier) && rng.f64() < failure_rate).then_some(AttemptOutcome::Error)
    })
}

/// All attempts at the last tier fail from second `from` up to second `to`; at other times they fail with
/// probability `failure_rate`.
pub fn outage(depth: usize, from: u64, to: u64, failure_rate: f64) -> FaultRule {
    Box::new(move |tier, _, _, now, rng| {
        let in_outage = (from * SECOND..to * SECOND).contains(&now);
        (tier + 1 == depth && (in_outage || rng.f64() < failure_rate)).then_some(AttemptOutcome::Error)
    })
}
