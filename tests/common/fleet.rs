//! A fleet of balancers, each a real decision module, on virtual time against one tier whose servers queue and get
//! late, so that limits, spills and shedding act too. Some servers come back cold, and what the whole fleet sends to
//! them is held against the rule of slow start.

use super::{MS, SECOND, settings, zones};
use balancer::decision::*;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

/// Mean time that a call takes a slot of a warm server, and the slots of one.
const MEAN_WORK: f64 = 40e6;
const SLOTS: usize = 2;
/// Work of a probe, as part of the mean work of a call.
const PROBE_WORK: f64 = 0.02;
const QUEUE: usize = 30;
/// When servers come back cold, how long they warm up, and the end of a play.
const COLD_AT: Time = 12 * SECOND;
const RAMP: Duration = 8 * SECOND;
const END: Time = COLD_AT + RAMP + SECOND;
/// Length of the bins in which the calls to cold servers are counted, and how many there are.
const BIN: Duration = SECOND / 2;
pub const BINS: usize = ((END - COLD_AT) / BIN) as usize;

/// What a play is like.
#[derive(Clone)]
pub struct Case {
    pub name: String,
    pub balancers: usize,
    /// Some balancers get many times the calls of others.
    pub skewed: bool,
    /// The tier that the balancers send to; 0 sheds load, a deeper one finishes what was begun.
    pub tier: u32,
    pub zones: u8,
    pub each: u32,
    /// Servers that come back cold.
    pub cold: Vec<u32>,
    /// Calls asked for, as part of what the tier does while warm; and the same from the cold start on.
    pub load: (f64, f64),
    /// Time over which too much counts.
    pub window: Duration,
    /// Part of the calls that are heavy, and their work as a multiple of the light ones'.
    pub heavy: (f64, f64),
    pub hinted: bool,
    /// Part of the attempts that fail.
    pub failing: f64,
    /// Part of the attempts that are never sent.
    pub unsent: f64,
    /// Part of the balancers that are restarted in the ramp.
    pub restarted: f64,
    /// The most by which the list reaches a balancer late.
    pub late: Duration,
    /// The part of its capacity that a cold server starts with, and the multiple of it that is too much.
    pub initial_capacity: f64,
    pub overload_multiple: f64,
    /// The list has them out for 3 s before they come back.
    pub drained: bool,
    /// Servers tell their load when asked.
    pub asked: bool,
    /// A lull of 2 s right before a burst of 1 s, 2 s after the cold start: multiples of the load.
    pub burst: Option<(f64, f64)>,
}

/// One of twelve servers in three zones comes back cold under thirty balancers; the multiple is the least that any
/// deployment at hand names.
pub fn case(name: &str) -> Case {
    Case {
        name: name.into(),
        balancers: 30,
        skewed: true,
        tier: 0,
        zones: 3,
        each: 4,
        cold: vec![0],
        load: (0.6, 0.6),
        window: SECOND,
        heavy: (0.0, 1.0),
        hinted: false,
        failing: 0.0,
        unsent: 0.0,
        restarted: 0.0,
        late: 0,
        initial_capacity: 0.3,
        overload_multiple: 2.0,
        drained: true,
        asked: false,
        burst: None,
    }
}

pub const HEAVY: (f64, f64) = (0.1, 8.0);
pub const OVERLOAD: (f64, f64) = (0.6, 1.4);

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    Arrival(usize),
    Timer(usize, u32, u64),
    /// Server, its life, job.
    Done(usize, u32, usize),
    TimedOut(usize),
    Probed(usize, u32, usize),
    Told(usize),
    Restart(usize),
    Drain,
    ColdStart,
}

struct Job {
    balancer: usize,
    life: u32,
    id: RequestId,
    attempt: u32,
    server: usize,
    work: f64,
    sent: Time,
    out: bool,
}

#[derive(Default)]
struct Tier {
    busy: usize,
    queue: VecDeque<usize>,
    life: u32,
    /// Calls answered within the ramp after the cold start.
    answered: usize,
    /// What arrived since the cold start: when, its work over the mean, and whether its sender had been told.
    arrivals: Vec<(Time, f64, bool)>,
}

struct Node {
    balancer: LoadBalancer,
    life: u32,
    told: bool,
    rate: f64,
}

pub struct Play {
    case: Case,
    rng: fastrand::Rng,
    now: Time,
    agenda: BinaryHeap<Reverse<(Time, u64, Happening)>>,
    order: u64,
    nodes: Vec<Node>,
    servers: Vec<Tier>,
    jobs: Vec<Job>,
    /// Work and attempts of each request.
    calls: HashMap<RequestId, (f64, u32)>,
    next_id: u32,
    served: usize,
    asked_for: usize,
}

/// What came of a play.
pub struct Outline {
    /// The window in which a cold server got most of what the rule allows: what it got, and what N is there.
    pub worst: (f64, f64),
    /// Part of the calls that were served.
    pub served: f64,
    /// Calls that the cold servers answered in their ramp, as part of what they could have.
    pub cold_served: f64,
    /// Calls to the cold servers, for each bin of time from the cold start on.
    pub cold_calls: [usize; BINS],
}

impl Play {
    pub fn new(case: Case, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let share = |draw: f64| if case.skewed { 0.15 + 4.0 * draw.powi(3) } else { 1.0 };
        let shares: Vec<f64> = (0..case.balancers).map(|_| share(rng.f64())).collect();
        let servers = f64::from(case.each) * f64::from(case.zones);
        let warm = servers * SLOTS as f64 / (MEAN_WORK / 1e9);
        let total: f64 = shares.iter().sum();
        let mut play = Self {
            now: SECOND,
            agenda: BinaryHeap::new(),
            order: 0,
            nodes: Vec::new(),
            servers: (0..servers as usize).map(|_| Tier::default()).collect(),
            jobs: Vec::new(),
            calls: HashMap::new(),
            next_id: 0,
            served: 0,
            asked_for: 0,
            rng,
            case,
        };
        for (at, share) in shares.into_iter().enumerate() {
            let balancer = play.new_balancer(at);
            play.nodes.push(Node { balancer, life: 0, told: false, rate: warm * share / total });
            let list = zones(play.case.zones, play.case.each);
            play.tell(at, Event::EndpointList(&list));
            play.next_arrival(at);
        }
        if play.case.drained {
            play.at(COLD_AT - 3 * SECOND, Happening::Drain);
        }
        play.at(COLD_AT, Happening::ColdStart);
        play
    }

    fn new_balancer(&mut self, at: usize) -> LoadBalancer {
        let settings = Settings {
            zone: ZoneId((at % usize::from(self.case.zones)) as u8),
            zones: usize::from(self.case.zones),
            replicas: self.case.balancers as u32,
            tier: self.case.tier,
            initial_capacity: self.case.initial_capacity,
            overload_multiple: self.case.overload_multiple,
            warm_up_time: RAMP,
            reported_in_flight: self.case.asked.then_some(0),
            load_on_request: self.case.asked,
            classes: {
                let class = |worth| RequestClass {
                    idempotency: Idempotency::Idempotent,
                    priority_weight: worth,
                    ..settings().classes[0].clone()
                };
                vec![class(1.0), class(self.case.heavy.1)]
            },
            ..settings()
        };
        LoadBalancer::new(settings, self.rng.u64(..), self.now).expect("sound settings")
    }

    fn at(&mut self, time: Time, what: Happening) {
        self.order += 1;
        self.agenda.push(Reverse((time, self.order, what)));
    }

    /// Poisson arrivals, at the rate of the moment.
    fn next_arrival(&mut self, at: usize) {
        let (before, after) = self.case.load;
        let mut load = if self.now < COLD_AT { before } else { after };
        if let Some((lull, burst)) = self.case.burst {
            let since = self.now.saturating_sub(COLD_AT);
            load *= if self.now < COLD_AT || since > 3 * SECOND {
                1.0
            } else if since > 2 * SECOND {
                burst
            } else {
                lull
            };
        }
        let rate = self.nodes[at].rate * load;
        // No further than the load stays as it is.
        let wait = -(1.0 - self.rng.f64()).ln() / rate;
        let step = SECOND / 4;
        if wait * 1e9 > step as f64 {
            return self.at(self.now + step, Happening::Arrival(at | 1 << 32));
        }
        self.at(self.now + (wait * 1e9) as u64, Happening::Arrival(at));
    }

    pub fn run(mut self) -> Outline {
        self.play();
        let (cold_served, cold_calls) = self.cold_service();
        let served = self.served as f64 / self.asked_for as f64;
        Outline { worst: self.worst(), served, cold_served, cold_calls }
    }

    fn play(&mut self) {
        while let Some(Reverse((time, _, what))) = self.agenda.pop() {
            if time > END {
                return;
            }
            self.now = time;
            match what {
                Happening::Arrival(at) if at >> 32 > 0 => self.next_arrival(at & 0xffff_ffff),
                Happening::Arrival(at) => self.arrive(at),
                Happening::Timer(at, life, token) if self.nodes[at].life == life => {
                    self.tell(at, Event::Timer(token));
                }
                Happening::Timer(..) => {}
                Happening::Done(server, life, job) => self.done(server, life, job),
                Happening::TimedOut(job) => self.end(job, AttemptOutcome::Timeout),
                Happening::Probed(at, life, server) if self.nodes[at].life == life => {
                    let held = (self.servers[server].busy + self.servers[server].queue.len()) as f32;
                    self.tell(
                        at,
                        Event::LoadQueryEnded(
                            EndpointId(server as u32),
                            AttemptOutcome::Success,
                            super::held(held),
                        ),
                    );
                }
                Happening::Probed(..) => {}
                Happening::Told(at) => {
                    self.nodes[at].told = true;
                    let list = self.list();
                    self.tell(at, Event::EndpointsChanged(&list));
                }
                Happening::Restart(at) => self.restart(at),
                Happening::Drain => self.drain(),
                Happening::ColdStart => self.cold_start(),
            }
        }
    }

    fn arrive(&mut self, at: usize) {
        self.next_arrival(at);
        let (part, times) = self.case.heavy;
        let class = usize::from(self.rng.f64() < part);
        let light = MEAN_WORK / (1.0 - part + part * times);
        let mean = if class == 1 { light * times } else { light };
        let work = mean * (0.6 + 0.8 * self.rng.f64());
        let id = RequestId(self.next_id);
        self.next_id += 1;
        self.asked_for += 1;
        self.calls.insert(id, (work, 0));
        let work = self.case.hinted.then_some(work as Duration);
        let demand = IncomingRequest { class, tenant: 0, time_left: 2 * SECOND, work, streaming: false };
        self.tell(at, Event::Request(id, demand));
    }

    fn tell(&mut self, at: usize, event: Event<'_>) {
        let mut actions = Vec::new();
        let now = self.now;
        self.nodes[at].balancer.handle(now, event, &mut actions);
        let life = self.nodes[at].life;
        for action in actions {
            match action {
                Action::Send { id, endpoint: server, until, .. } => {
                    self.send(at, id, server.0 as usize, until)
                }
                Action::SetTimer { after, token } => self.at(now + after, Happening::Timer(at, life, token)),
                Action::QueryLoad(server) => self.probe(at, server.0 as usize),
                Action::Cancel { .. } => panic!("no client leaves"),
                _ => {}
            }
        }
    }

    fn probe(&mut self, at: usize, server: usize) {
        let (life, told) = (self.nodes[at].life, self.nodes[at].told);
        self.at(self.now + MS, Happening::Probed(at, life, server));
        let tier = &mut self.servers[server];
        if tier.life > 0 {
            tier.arrivals.push((self.now, PROBE_WORK, told));
        }
    }

    fn send(&mut self, at: usize, id: RequestId, server: usize, until: Time) {
        let call = self.calls.get_mut(&id).expect("a request that arrived");
        let (life, work, attempt) = (self.nodes[at].life, call.0, call.1);
        call.1 += 1;
        let job = self.jobs.len();
        self.jobs.push(Job { balancer: at, life, id, attempt, server, work, sent: self.now, out: true });
        if self.rng.f64() < self.case.unsent {
            return self.at_once(job, AttemptOutcome::NotSent);
        }
        let tier = &mut self.servers[server];
        if tier.life > 0 {
            tier.arrivals.push((self.now, work / MEAN_WORK, self.nodes[at].told));
        }
        if self.rng.f64() < self.case.failing {
            return self.at_once(job, AttemptOutcome::Error);
        }
        if tier.busy < SLOTS {
            self.begin(server, job);
        } else if tier.queue.len() < QUEUE {
            tier.queue.push_back(job);
        } else {
            return self.at_once(job, AttemptOutcome::Rejected);
        }
        self.at(until, Happening::TimedOut(job));
    }

    /// Ends an attempt a moment after it was sent.
    fn at_once(&mut self, job: usize, outcome: AttemptOutcome) {
        // Told as a server that never worked on it.
        let code = match outcome {
            AttemptOutcome::NotSent => 0,
            AttemptOutcome::Error => 1,
            _ => 2,
        };
        self.at(self.now + MS, Happening::Done(usize::MAX, code, job));
    }

    fn begin(&mut self, server: usize, job: usize) {
        let warmth = self.warmth(server, self.now);
        let tier = &mut self.servers[server];
        tier.busy += 1;
        let (life, took) = (tier.life, (self.jobs[job].work / warmth) as u64);
        self.at(self.now + took, Happening::Done(server, life, job));
    }

    fn done(&mut self, server: usize, life: u32, job: usize) {
        if server == usize::MAX {
            let outcome =
                [AttemptOutcome::NotSent, AttemptOutcome::Error, AttemptOutcome::Rejected][life as usize];
            return self.end(job, outcome);
        }
        if self.servers[server].life != life {
            return;
        }
        self.servers[server].busy -= 1;
        let warming = life > 0 && self.now < COLD_AT + RAMP;
        self.servers[server].answered += usize::from(warming);
        self.end(job, AttemptOutcome::Success);
        if let Some(next) = self.servers[server].queue.pop_front() {
            self.begin(server, next);
        }
    }

    fn end(&mut self, job: usize, outcome: AttemptOutcome) {
        let Job { balancer, life, id, attempt, sent, out, .. } = self.jobs[job];
        self.jobs[job].out = false;
        if !out || self.nodes[balancer].life != life {
            return;
        }
        self.served += usize::from(outcome == AttemptOutcome::Success);
        let elapsed = self.now - sent;
        let closed = outcome == AttemptOutcome::Success;
        let end = AttemptEnd {
            attempt,
            outcome,
            elapsed,
            request_closed: closed,
            body_consumed: false,
            load: None,
        };
        self.tell(balancer, Event::AttemptEnded(id, end));
    }

    /// Capacity of a server as part of its warm one: as slowly as the settings allow.
    fn warmth(&self, server: usize, time: Time) -> f64 {
        if self.servers[server].life == 0 {
            return 1.0;
        }
        let age = time.saturating_sub(COLD_AT) as f64 / RAMP as f64;
        (self.case.initial_capacity + (1.0 - self.case.initial_capacity) * age).min(1.0)
    }

    fn list(&self) -> Vec<EndpointEntry> {
        let mut list = zones(self.case.zones, self.case.each);
        self.case.cold.iter().for_each(|&cold| list[cold as usize].started = Some(COLD_AT));
        list
    }

    fn drain(&mut self) {
        let mut list = zones(self.case.zones, self.case.each);
        list.retain(|entry| self.case.cold.contains(&entry.endpoint.0));
        list.iter_mut().for_each(|entry| entry.state = EndpointState::Draining);
        (0..self.case.balancers).for_each(|at| self.tell(at, Event::EndpointsChanged(&list)));
    }

    fn cold_start(&mut self) {
        for cold in self.case.cold.clone() {
            let server = &mut self.servers[cold as usize];
            *server = Tier { life: 1, ..Tier::default() };
            for job in 0..self.jobs.len() {
                if self.jobs[job].out && self.jobs[job].server == cold as usize {
                    self.end(job, AttemptOutcome::Reset);
                }
            }
        }
        for at in 0..self.case.balancers {
            let late = self.rng.u64(..=self.case.late);
            self.at(self.now + late, Happening::Told(at));
            if self.rng.f64() < self.case.restarted {
                let when = self.rng.u64(..RAMP / 2);
                self.at(self.now + when, Happening::Restart(at));
            }
        }
    }

    fn restart(&mut self, at: usize) {
        let balancer = self.new_balancer(at);
        let node = &mut self.nodes[at];
        (node.balancer, node.life, node.told) = (balancer, node.life + 1, true);
        let list = self.list();
        self.tell(at, Event::EndpointList(&list));
    }

    /// The window in which a cold server got most of what the rule allows, of those in which over two thirds came
    /// from balancers that had been told: what it got, and what the settings allow.
    fn worst(&self) -> (f64, f64) {
        let warm = SLOTS as f64 / MEAN_WORK * self.case.window as f64;
        let mut worst = (0.0, f64::INFINITY);
        for &cold in &self.case.cold {
            // Once it is warm it does not fall any more.
            let arrivals = &self.servers[cold as usize].arrivals;
            let arrivals = &arrivals[..arrivals.partition_point(|&(time, ..)| time <= COLD_AT + RAMP)];
            let (mut first, mut sum, mut told) = (0, 0.0, 0.0);
            for &(time, work, was_told) in arrivals {
                sum += work;
                told += if was_told { work } else { 0.0 };
                while arrivals[first].0 + self.case.window < time {
                    sum -= arrivals[first].1;
                    told -= if arrivals[first].2 { arrivals[first].1 } else { 0.0 };
                    first += 1;
                }
                let allowed =
                    self.case.overload_multiple * warm * self.warmth(cold as usize, arrivals[first].0);
                if told > sum * 2.0 / 3.0 && sum / bound(allowed) > worst.0 / bound(worst.1) {
                    worst = (sum, allowed);
                }
            }
        }
        worst
    }

    /// Calls that the cold servers answered within their ramp, as part of what they could have, and the calls that
    /// they got in each bin of time.
    fn cold_service(&self) -> (f64, [usize; BINS]) {
        let (mut answered, mut calls) = (0, [0; BINS]);
        for &cold in &self.case.cold {
            let server = &self.servers[cold as usize];
            answered += server.answered;
            let got = server.arrivals.iter().filter(|&&(_, work, _)| work > PROBE_WORK);
            got.for_each(|&(time, ..)| calls[(((time - COLD_AT) / BIN) as usize).min(BINS - 1)] += 1);
        }
        let mean_warmth = (1.0 + self.case.initial_capacity) / 2.0;
        let demand = self.case.load.1.min(1.0);
        let able =
            mean_warmth * demand * SLOTS as f64 / MEAN_WORK * RAMP as f64 * self.case.cold.len() as f64;
        (answered as f64 / able, calls)
    }
}

/// Calls a second that a cold server gets once it has its whole share.
pub fn whole_share(case: &Case) -> f64 {
    case.load.1.min(1.0) * SLOTS as f64 / (MEAN_WORK / 1e9)
}

/// What is still chance, where so many requests of mean work are allowed.
pub fn bound(allowed: f64) -> f64 {
    let (deviations, more) = if allowed < 30.0 { (3.0, 3.0) } else { (2.0, 2.0) };
    allowed + deviations * allowed.sqrt() + more
}

/// What came of many plays of a case.
pub struct Summary {
    pub line: String,
    pub breaks: u64,
}

/// Plays a case once for each seed.
pub fn play_all(case: &Case, seeds: std::ops::RangeInclusive<u64>) -> Summary {
    let plays = (seeds.end() - seeds.start() + 1) as f64;
    let (mut worst, mut breaks, mut served, mut cold_served) = ((0.0, f64::INFINITY), 0, 0.0, 0.0);
    let mut cold_calls = [0; BINS];
    for seed in seeds {
        let outline = Play::new(case.clone(), seed).run();
        served += outline.served / plays;
        cold_served += outline.cold_served / plays;
        cold_calls.iter_mut().zip(outline.cold_calls).for_each(|(sum, calls)| *sum += calls);
        let (got, allowed) = outline.worst;
        breaks += u64::from(got > bound(allowed));
        if got / bound(allowed) > worst.0 / bound(worst.1) {
            worst = outline.worst;
        }
    }
    let share = whole_share(case) * case.cold.len() as f64 * plays * BIN as f64 / 1e9;
    let ramped = cold_calls.iter().position(|&calls| calls as f64 >= 0.8 * share);
    let ramp = ramped.map_or("over 9".into(), |bin| format!("{:.1}", (bin as u64 * BIN) as f64 / 1e9));
    let (got, allowed) = worst;
    let line = format!(
        "{}: at most {got:.1} where {allowed:.1} are allowed and {:.1} break it, broken on {breaks} of {plays} plays; \
         {:.0}% served, cold servers {:.0}% of what they can, four fifths of their share after {ramp} s",
        case.name,
        bound(allowed),
        100.0 * served,
        100.0 * cold_served,
    );
    Summary { line, breaks }
}

/// Plays each case with seeds 1 to `seeds`, or as many as `SLOW_START_SEEDS` says for a long look, and reports the
/// worst window of each.
pub fn assert_kept(cases: &[Case], seeds: u64) {
    let told = std::env::var("SLOW_START_SEEDS").ok().and_then(|seeds| seeds.parse().ok());
    let mut broken = Vec::new();
    for case in cases {
        let summary = play_all(case, 1..=told.unwrap_or(seeds));
        println!("{}", summary.line);
        broken.extend((summary.breaks > 0).then_some(summary.line));
    }
    assert!(broken.is_empty(), "{broken:#?}");
}
