//! Balancers before servers with queues, on virtual time. A server works off whatever it was sent, also what its
//! caller has given up, and works more slowly from a long queue on until it is idle again. Every balancer is a real
//! decision module, the servers and the clients are played.

use super::{SECOND, entry};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use woadstall::Balancer;
use woadstall::api::*;

/// What the balancers are placed before, and what the clients send.
#[derive(Clone, Copy)]
pub struct Load {
    pub balancers: usize,
    pub servers: usize,
    /// Requests a second of each balancer's clients.
    pub rate: f64,
    /// Mean work of a request, in nanoseconds.
    pub work: f64,
    /// Calls in the queue of a server from which it works more slowly, and by how much.
    pub congested_from: usize,
    pub slowdown: f64,
    /// A burst: its first and its last second, and the multiple of the rate in between.
    pub burst: (u64, u64, f64),
}

/// What became of the requests that came within a second.
#[derive(Clone, Copy, Default, Debug)]
pub struct Tally {
    pub requests: u32,
    pub served: u32,
    /// Attempts that were sent to servers.
    pub attempts: u32,
}

enum Step {
    Arrival { balancer: usize },
    Timer { balancer: usize, token: u64 },
    Worked { server: usize },
    Over { call: Call },
}

/// An attempt at a server.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Call {
    balancer: usize,
    request: u32,
    attempt: u32,
}

/// The attempt of a request that is out.
struct Out {
    call: Call,
    sent: u64,
    arrived_in: usize,
}

#[derive(Default)]
struct Server {
    queue: VecDeque<Call>,
    congested: bool,
}

pub struct QueuedTier {
    load: Load,
    class: usize,
    time_left: u64,
    rng: fastrand::Rng,
    now: u64,
    order: u64,
    due: BinaryHeap<Reverse<(u64, u64)>>,
    steps: HashMap<u64, Step>,
    balancers: Vec<Balancer>,
    servers: Vec<Server>,
    open: HashMap<(usize, u32), Out>,
    arrivals: HashMap<(usize, u32), usize>,
    next_request: u32,
    pub tallies: Vec<Tally>,
}

impl QueuedTier {
    /// Servers of one zone each in turn; the clients' requests are of one class and wait for `time_left`.
    pub fn new(load: Load, settings: &Settings, class: usize, time_left: u64, seed: u64) -> Self {
        let zones = settings.zones as u8;
        let list: Vec<ListEntry> =
            (0..load.servers as u32).map(|server| entry(server, server as u8 % zones)).collect();
        let mut tier = Self {
            load,
            class,
            time_left,
            rng: fastrand::Rng::with_seed(seed),
            now: SECOND,
            order: 0,
            due: BinaryHeap::new(),
            steps: HashMap::new(),
            balancers: Vec::new(),
            servers: (0..load.servers).map(|_| Server::default()).collect(),
            open: HashMap::new(),
            arrivals: HashMap::new(),
            next_request: 0,
            tallies: Vec::new(),
        };
        for balancer in 0..load.balancers {
            let zone = ZoneId(balancer as u8 % zones);
            let settings = Settings { zone, siblings: load.balancers as u32, ..settings.clone() };
            let module = Balancer::new(settings, seed << 8 | balancer as u64, tier.now).unwrap();
            tier.balancers.push(module);
            tier.tell(balancer, Event::List(&list));
            tier.schedule(tier.now, Step::Arrival { balancer });
        }
        tier
    }

    /// Runs until `seconds` after the start.
    pub fn run(&mut self, seconds: u64) -> &mut Self {
        let end = (1 + seconds) * SECOND;
        self.tallies.resize(seconds as usize + 2, Tally::default());
        while let Some(&Reverse((time, order))) = self.due.peek().filter(|Reverse((time, _))| *time < end) {
            self.due.pop();
            self.now = time;
            let step = self.steps.remove(&order).expect("each step is scheduled once");
            self.step(step);
        }
        self
    }

    /// Served part of the requests that came from one second to before another one.
    pub fn share(&self, from: usize, to: usize) -> f64 {
        let served: u32 = self.tallies[from..to].iter().map(|tally| tally.served).sum();
        let requests: u32 = self.tallies[from..to].iter().map(|tally| tally.requests).sum();
        f64::from(served) / f64::from(requests.max(1))
    }

    fn second(&self) -> usize {
        (self.now / SECOND - 1) as usize
    }

    fn schedule(&mut self, time: u64, step: Step) {
        self.order += 1;
        self.due.push(Reverse((time, self.order)));
        self.steps.insert(self.order, step);
    }

    fn exponential(&mut self, mean: f64) -> u64 {
        (-(1.0 - self.rng.f64()).ln() * mean) as u64
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Arrival { balancer } => self.arrival(balancer),
            Step::Timer { balancer, token } => self.tell(balancer, Event::Timer(token)),
            Step::Worked { server } => self.worked(server),
            Step::Over { call } => self.ended(call, Outcome::Timeout),
        }
    }

    fn arrival(&mut self, balancer: usize) {
        let (from, to, multiple) = self.load.burst;
        let bursting = (from..to).contains(&(self.second() as u64));
        let rate = self.load.rate * if bursting { multiple } else { 1.0 };
        let gap = self.exponential(SECOND as f64 / rate);
        self.schedule(self.now + gap, Step::Arrival { balancer });
        let (request, second) = (self.next_request, self.second());
        self.next_request += 1;
        self.tallies[second].requests += 1;
        self.arrivals.insert((balancer, request), second);
        let demand =
            Demand { class: self.class, tenant: 0, time_left: self.time_left, work: None, streamed: false };
        self.tell(balancer, Event::Request(RequestId(request), demand));
    }

    fn tell(&mut self, balancer: usize, event: Event<'_>) {
        let mut actions = Vec::new();
        self.balancers[balancer].handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { id, server, until, .. } => self.send(balancer, id.0, server.0 as usize, until),
                Action::SetTimer { after, token } => {
                    self.schedule(self.now + after, Step::Timer { balancer, token });
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, balancer: usize, request: u32, server: usize, until: u64) {
        let attempt = self.open.get(&(balancer, request)).map_or(0, |out| out.call.attempt + 1);
        let call = Call { balancer, request, attempt };
        let arrived_in = self.arrivals[&(balancer, request)];
        self.open.insert((balancer, request), Out { call, sent: self.now, arrived_in });
        let second = self.second();
        self.tallies[second].attempts += 1;
        self.schedule(until, Step::Over { call });
        let idle = self.servers[server].queue.is_empty();
        self.servers[server].queue.push_back(call);
        self.servers[server].congested |= self.servers[server].queue.len() >= self.load.congested_from;
        if idle {
            self.work_on(server);
        }
    }

    /// The server begins with the first call of its queue.
    fn work_on(&mut self, server: usize) {
        let slowdown = if self.servers[server].congested { self.load.slowdown } else { 1.0 };
        let work = self.exponential(self.load.work * slowdown);
        self.schedule(self.now + work, Step::Worked { server });
    }

    fn worked(&mut self, server: usize) {
        let Some(call) = self.servers[server].queue.pop_front() else { return };
        if self.servers[server].queue.is_empty() {
            self.servers[server].congested = false;
        } else {
            self.work_on(server);
        }
        self.ended(call, Outcome::Ok);
    }

    /// An attempt ends, unless it has been given up before.
    fn ended(&mut self, call: Call, outcome: Outcome) {
        let Some(out) = self.open.get(&(call.balancer, call.request)).filter(|out| out.call == call) else {
            return;
        };
        let (elapsed, arrived_in) = (self.now - out.sent, out.arrived_in);
        let closed = outcome == Outcome::Ok;
        let end = End { attempt: call.attempt, outcome, elapsed, closed, spent: false, load: None };
        self.tell(call.balancer, Event::Ended(RequestId(call.request), end));
        let is_over = |out: &Out| out.call == call;
        if self.open.get(&(call.balancer, call.request)).is_some_and(is_over) {
            self.open.remove(&(call.balancer, call.request));
            self.tallies[arrived_in].served += u32::from(closed);
        }
    }
}
