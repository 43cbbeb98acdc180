//! A chain of tiers on virtual time: every balancer is a real decision module, the servers and the clients are
//! played. Each server of a tier calls the next tier through a balancer of its own, once for each call it gets.

use super::{SAFE, SECOND, settings};
use balancer::decision::*;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// Servers of each tier.
pub const EACH: usize = 6;
/// Own work of a server for each call: at least the first, the second more on average.
const WORK: (f64, f64) = (1e6, 1e6);

/// How long a client waits: longer than any answer takes, so that all attempts have the time to be made.
const PATIENCE: u64 = 10 * SECOND;

/// What befalls a call at a server: tier, server, class, and the time since the start.
pub type Fate = Box<dyn Fn(usize, usize, usize, u64, &mut fastrand::Rng) -> Option<AttemptOutcome>>;

/// What is counted, each within a second of the start.
#[derive(Clone, Copy, Default, Debug)]
pub struct Tally {
    /// Requests of the clients, by the second in which they came, and how many were served.
    pub requests: u32,
    pub served: u32,
    /// Calls that reached the last tier's servers.
    pub last_tier: u32,
    /// Further attempts of all balancers, and those of the front balancer alone.
    pub further: u32,
    pub front_further: u32,
}

impl std::ops::AddAssign for Tally {
    fn add_assign(&mut self, other: Self) {
        self.requests += other.requests;
        self.served += other.served;
        self.last_tier += other.last_tier;
        self.further += other.further;
        self.front_further += other.front_further;
    }
}

impl Tally {
    /// Calls of the last tier for each request.
    pub fn amplification(&self) -> f64 {
        f64::from(self.last_tier) / f64::from(self.requests.max(1))
    }

    /// Served part of the requests.
    pub fn share(&self) -> f64 {
        f64::from(self.served) / f64::from(self.requests.max(1))
    }
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Arrival,
    Timer {
        at: usize,
        token: u64,
    },
    /// A server has done its own work on a call.
    Worked {
        at: usize,
        id: u32,
        attempt: u32,
        server: usize,
    },
    /// The time of an attempt is over.
    Over {
        at: usize,
        id: u32,
        attempt: u32,
    },
}

/// A call of a balancer: who made it, what it is, and its attempt that is out.
struct Call {
    /// The attempt above that it belongs to; none for a client's request, which came in that second.
    parent: Option<(usize, u32, u32)>,
    second: usize,
    class: usize,
    /// Number of the attempts so far, the time and the limit of the last.
    attempts: u32,
    sent: u64,
    until: u64,
    out: bool,
    /// The call that the attempt out makes of the next tier.
    child: Option<(usize, u32)>,
}

pub struct Chain {
    depth: usize,
    rate: f64,
    classes: Vec<usize>,
    fate: Fate,
    rng: fastrand::Rng,
    now: u64,
    order: u64,
    due: BinaryHeap<Reverse<(u64, u64, Due)>>,
    balancers: Vec<LoadBalancer>,
    calls: Vec<HashMap<u32, Call>>,
    next: Vec<u32>,
    pub tallies: Vec<Tally>,
}

impl Chain {
    /// A chain `depth` tiers deep, with `rate` requests a second of the clients.
    pub fn new(depth: usize, rate: f64, seed: u64, fate: Fate) -> Self {
        let count = 1 + EACH * (depth - 1);
        let list: Vec<EndpointEntry> = (0..EACH as u32).map(|server| super::entry(server, 0)).collect();
        let mut chain = Self {
            depth,
            rate,
            classes: vec![SAFE],
            fate,
            rng: fastrand::Rng::with_seed(seed),
            now: 0,
            order: 0,
            due: BinaryHeap::new(),
            balancers: Vec::new(),
            calls: (0..count).map(|_| HashMap::new()).collect(),
            next: vec![0; count],
            tallies: Vec::new(),
        };
        for at in 0..count {
            let tier = Self::tier(at) as u32;
            let siblings = if tier == 0 { 1 } else { EACH as u32 };
            let mut settings = Settings { zones: 1, max_attempts: 3, tier, replicas: siblings, ..settings() };
            settings.classes.iter_mut().for_each(|class| class.deadline = PATIENCE);
            chain.balancers.push(LoadBalancer::new(settings, seed << 16 | at as u64, 0).unwrap());
            chain.tell(at, Event::EndpointList(&list));
        }
        chain.schedule(0, Due::Arrival);
        chain
    }

    /// The clients' requests are of these classes, in turn.
    pub fn of_classes(self, classes: &[usize]) -> Self {
        Self { classes: classes.to_vec(), ..self }
    }

    fn tier(at: usize) -> usize {
        at.div_ceil(EACH)
    }

    /// Runs until `seconds` after the start.
    pub fn run(&mut self, seconds: usize) -> &mut Self {
        self.tallies.resize(seconds + 1, Tally::default());
        while let Some(Reverse((time, ..))) = self.due.peek() {
            if *time >= seconds as u64 * SECOND {
                break;
            }
            let Some(Reverse((time, _, due))) = self.due.pop() else { break };
            self.now = time;
            self.step(due);
        }
        self
    }

    /// What was counted from one second to before another one.
    pub fn total(&self, from: usize, to: usize) -> Tally {
        let mut total = Tally::default();
        self.tallies[from..to].iter().for_each(|&tally| total += tally);
        total
    }

    fn schedule(&mut self, time: u64, due: Due) {
        self.order += 1;
        self.due.push(Reverse((time, self.order, due)));
    }

    fn exponential(&mut self, mean: f64) -> u64 {
        (-(1.0 - self.rng.f64()).ln() * mean) as u64
    }

    fn tally(&mut self) -> &mut Tally {
        &mut self.tallies[(self.now / SECOND) as usize]
    }

    fn step(&mut self, due: Due) {
        match due {
            Due::Arrival => {
                let gap = self.exponential(SECOND as f64 / self.rate);
                self.schedule(self.now + gap, Due::Arrival);
                let class = self.classes[self.rng.usize(..self.classes.len())];
                self.tally().requests += 1;
                self.request(0, None, class, PATIENCE);
            }
            Due::Timer { at, token } => self.tell(at, Event::Timer(token)),
            Due::Worked { at, id, attempt, server } => self.worked(at, id, attempt, server),
            Due::Over { at, id, attempt } => self.ended(at, id, attempt, AttemptOutcome::Timeout),
        }
    }

    fn request(&mut self, at: usize, parent: Option<(usize, u32, u32)>, class: usize, time_left: u64) -> u32 {
        let id = self.next[at];
        self.next[at] += 1;
        let second = (self.now / SECOND) as usize;
        let (sent, until) = (self.now, self.now);
        let call = Call { parent, second, class, attempts: 0, sent, until, out: false, child: None };
        self.calls[at].insert(id, call);
        let demand = IncomingRequest { class, tenant: 0, time_left, work: None, streaming: false };
        self.tell(at, Event::Request(RequestId(id), demand));
        id
    }

    fn tell(&mut self, at: usize, event: Event<'_>) {
        let mut actions = Vec::new();
        self.balancers[at].handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { id, endpoint: server, until, .. } => {
                    self.send(at, id.0, server.0 as usize, until)
                }
                Action::Reject { id, .. } | Action::Fail(id) => {
                    self.answered(at, id.0, AttemptOutcome::Error)
                }
                Action::Cancel { id, attempt } => self.ended(at, id.0, attempt, AttemptOutcome::Cancelled),
                Action::SetTimer { after, token } => {
                    self.schedule(self.now + after, Due::Timer { at, token });
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, at: usize, id: u32, server: usize, until: u64) {
        let work = WORK.0 as u64 + self.exponential(WORK.1);
        let (now, last) = (self.now, Self::tier(at) + 1 == self.depth);
        let call = self.calls[at].get_mut(&id).expect("a call that is open");
        (call.sent, call.until, call.out, call.child) = (now, until, true, None);
        let attempt = call.attempts;
        call.attempts += 1;
        let tally = self.tally();
        tally.last_tier += u32::from(last);
        tally.further += u32::from(attempt > 0);
        tally.front_further += u32::from(attempt > 0 && at == 0);
        self.schedule(now + work, Due::Worked { at, id, attempt, server });
        self.schedule(until, Due::Over { at, id, attempt });
    }

    fn worked(&mut self, at: usize, id: u32, attempt: u32, server: usize) {
        let Some(call) = self.calls[at].get(&id) else { return };
        if !call.out || call.attempts != attempt + 1 {
            return;
        }
        let (class, until, tier) = (call.class, call.until, Self::tier(at));
        match (self.fate)(tier, server, class, self.now, &mut self.rng) {
            Some(outcome) => self.ended(at, id, attempt, outcome),
            None if tier + 1 == self.depth => self.ended(at, id, attempt, AttemptOutcome::Success),
            None => {
                let below = 1 + tier * EACH + server;
                let next = self.next[below];
                self.calls[at].get_mut(&id).expect("just seen").child = Some((below, next));
                self.request(below, Some((at, id, attempt)), class, until.saturating_sub(self.now));
            }
        }
    }

    fn ended(&mut self, at: usize, id: u32, attempt: u32, outcome: AttemptOutcome) {
        let Some(call) = self.calls[at].get_mut(&id) else { return };
        if !call.out || call.attempts != attempt + 1 {
            return;
        }
        call.out = false;
        let (child, elapsed) = (call.child.take(), self.now - call.sent);
        let below = child.filter(|_| matches!(outcome, AttemptOutcome::Timeout | AttemptOutcome::Cancelled));
        if let Some((below, child)) = below {
            self.left(below, child);
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
        self.tell(at, Event::AttemptEnded(RequestId(id), end));
        if closed {
            self.answered(at, id, AttemptOutcome::Success);
        }
    }

    /// The caller of a call has left it.
    fn left(&mut self, at: usize, id: u32) {
        if self.calls[at].contains_key(&id) {
            self.tell(at, Event::ClientDisconnected(RequestId(id)));
            self.calls[at].remove(&id);
        }
    }

    fn answered(&mut self, at: usize, id: u32, outcome: AttemptOutcome) {
        let Some(call) = self.calls[at].remove(&id) else { return };
        match call.parent {
            Some((parent, id, attempt)) => self.ended(parent, id, attempt, outcome),
            None => self.tallies[call.second].served += u32::from(outcome == AttemptOutcome::Success),
        }
    }
}

/// Calls that fail at random, a part of those of the tiers given.
pub fn failing(part: f64, tiers: impl Fn(usize) -> bool + 'static) -> Fate {
    Box::new(move |tier, _, _, _, rng| (tiers(tier) && rng.f64() < part).then_some(AttemptOutcome::Error))
}

/// The last tier fails wholly from one second to before another one, and a part of its calls else.
pub fn outage(depth: usize, from: u64, to: u64, part: f64) -> Fate {
    Box::new(move |tier, _, _, now, rng| {
        let out = (from * SECOND..to * SECOND).contains(&now);
        (tier + 1 == depth && (out || rng.f64() < part)).then_some(AttemptOutcome::Error)
    })
}
