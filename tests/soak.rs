//! Soak runs: clients keep using their open connections through reloads, restarts and upgrades, up to the kill, which comes
//! at the earliest moment that the platform allows. Everything is drawn from a seed. `SOAK_SEEDS` sets the number of seeds.

mod common;

use common::crowd::{Crowd, PeerKind};
use common::process::*;
use fastrand::Rng;
use std::collections::{HashMap, HashSet};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::os::fd::AsRawFd;
use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// The longest deadline of a class.
const DEADLINE: Duration = Duration::from_secs(1);
/// A process may be killed this long after its deadline, counted from SIGTERM. What comes later than this after SIGTERM
/// must not be unanswered at the kill.
const TERMINATION_GRACE: Duration = Duration::from_millis(700);
/// A final response is due within this time of the end of the budget.
const MAX_RESPONSE_DELAY: Duration = Duration::from_millis(500);
/// How long each process runs before the next signals.
const SERVING_TIME: Duration = Duration::from_millis(1200);
/// Number of clients.
const CLIENTS: usize = 10;
/// Number of peers of a crowd.
const CROWD_SIZE: usize = 150;

/// What happened to the processes, as far as it excuses an unanswered request.
#[derive(Default)]
struct Signals {
    /// When SIGTERM and SIGKILL were sent, for each process in turn.
    kills: Mutex<Vec<(Instant, Instant)>>,
    /// The soak is over.
    ended: AtomicBool,
}

impl Signals {
    /// Whether a request that was sent at this time may be unanswered, as a kill came too early for it.
    fn excuse(&self, sent_at: Instant) -> bool {
        let kills = self.kills.lock().unwrap();
        kills.iter().any(|(term, kill)| sent_at < *kill && sent_at <= *term + TERMINATION_GRACE)
            || self.ended.load(Ordering::Relaxed)
    }
}

/// How a request ended.
#[derive(Clone, Copy, Debug)]
enum End {
    Response {
        status: u16,
        elapsed: Duration,
    },
    /// The connection ended without a response, also on a new connection.
    Closed {
        excused: bool,
    },
}

/// A request as its client saw it.
struct Record {
    class: &'static str,
    budget: Duration,
    end: End,
}

/// Requests by their ids.
type Records = HashMap<String, Record>;

/// A client that sends one request after the other, on the same connection for as long as it stays open.
struct SoakClient<'a> {
    number: usize,
    address: SocketAddr,
    signals: &'a Signals,
    connection: Option<Client>,
}

impl SoakClient<'_> {
    /// Sends requests until the soak ends.
    fn run(mut self, mut random: Rng) -> Records {
        let mut records = Records::new();
        while !self.signals.ended.load(Ordering::Relaxed) {
            let id = format!("soak-{}-{}", self.number, records.len());
            let class = ["look", "pay", "post"][random.usize(..3)];
            let budget = Duration::from_millis(random.u64(300..900));
            let body = if random.usize(..8) == 0 { "x".repeat(100_000) } else { "body".into() };
            let text = request_text_with_id(&id, class, &format!("{}", budget.as_secs_f64()), &body);
            if let Some(end) = self.request(&text) {
                records.insert(id, Record { class, budget, end });
            }
            std::thread::sleep(Duration::from_millis(random.u64(5..60)));
        }
        records
    }

    /// Sends a request, and once more on a new connection if the first one ends without a response. Returns `None` if the
    /// balancer could not be reached.
    fn request(&mut self, text: &str) -> Option<End> {
        let mut sent_at = Instant::now();
        for _ in 0..2 {
            if self.connection.is_none() {
                self.connection = Some(connect(self.address)?);
                sent_at = Instant::now();
            }
            let mut connection = self.connection.take()?;
            let is_written = std::io::Write::write_all(connection.input.get_mut(), text.as_bytes()).is_ok();
            if let Some(response) = connection.read_response() {
                let elapsed = sent_at.elapsed();
                let closes = response.headers.get("connection").is_some_and(|value| value == "close");
                self.connection = (is_written && !closes).then_some(connection);
                return Some(End::Response { status: response.status(), elapsed });
            }
            if self.signals.excuse(sent_at) {
                return Some(End::Closed { excused: true });
            }
        }
        Some(End::Closed { excused: false })
    }
}

/// Connects to the balancer; `None` if it does not listen at present.
fn connect(address: SocketAddr) -> Option<Client> {
    let stream = match std::net::TcpStream::connect(address) {
        Ok(stream) => stream,
        Err(error) => {
            assert!(
                matches!(error.kind(), ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset),
                "{error}"
            );
            std::thread::sleep(Duration::from_millis(5));
            return None;
        }
    };
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    Some(Client { input: std::io::BufReader::new(stream) })
}

/// An upstream whose responses take a time drawn from the seed, and are sometimes errors, resets or missing.
fn start_upstream(seed: u64) -> Upstream {
    let random = Mutex::new(Rng::with_seed(seed));
    Upstream::start(move |_| {
        let (delay, kind) = {
            let mut random = random.lock().unwrap();
            (Duration::from_millis(random.u64(..80)), random.usize(..40))
        };
        std::thread::sleep(delay);
        match kind {
            0 => UpstreamAction::NeverRespond,
            1 => UpstreamAction::RespondAndClose("HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n".into()),
            2 => UpstreamAction::RespondAndClose(String::new()),
            _ => UpstreamAction::Respond(ok_response("done")),
        }
    })
}

/// The processes of one soak: where they listen, and how one follows the other.
struct Processes {
    config: serde_json::Value,
    environment: Vec<(&'static str, String)>,
    /// The next process starts before SIGTERM, and inherits the listener.
    upgrades: bool,
}

impl Processes {
    fn start(&self) -> Program {
        Program::start_with(&self.config, &self.environment)
    }

    /// Replaces a process by the next one, with SIGTERM and, at the earliest, SIGKILL.
    fn replace(&self, old: Program, signals: &Signals, random: &mut Rng) -> Program {
        let next = self.upgrades.then(|| self.start());
        if random.bool() {
            old.reload(&self.config.to_string());
        }
        let term = Instant::now();
        let kill = term + DEADLINE + TERMINATION_GRACE;
        signals.kills.lock().unwrap().push((term, kill));
        old.terminate();
        if random.bool() {
            old.terminate(); // a second signal changes nothing
        }
        std::thread::sleep(kill.saturating_duration_since(Instant::now()));
        drop(old); // SIGKILL
        next.unwrap_or_else(|| self.start())
    }
}

/// Plays one soak, and returns what broke a rule.
fn play(seed: u64) -> Vec<String> {
    let mut random = Rng::with_seed(seed);
    let upstreams: Vec<Upstream> = (0..3).map(|number| start_upstream(seed * 100 + number)).collect();
    let listener = inheritable_listener();
    let address = listener.local_addr().unwrap().as_socket().unwrap();
    let folder =
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{}-{seed}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let mut config = config(refusing_address(), &in_service(&upstreams.iter().collect::<Vec<_>>()));
    for class in config["settings"]["Classes"].as_array_mut().unwrap() {
        class["DeadlineNs"] = (DEADLINE.as_nanos() as u64).into();
    }
    let upgrades = seed.is_multiple_of(2);
    let mut environment = vec![("TMPDIR", folder.to_str().unwrap().to_owned())];
    match upgrades {
        true => environment.push(("LB_LISTEN_FD", listener.as_raw_fd().to_string())),
        false => {
            config["listen"] = address.to_string().into();
            drop(listener);
        }
    }
    let has_crowd = seed.is_multiple_of(3);
    if has_crowd {
        config["limits"]["memory_mb"] = 32.into();
        config["limits"]["sockets"] = 512.into();
    }
    let processes = Processes { config, environment, upgrades };
    let signals = Signals::default();
    let program = processes.start();
    let records = std::thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|number| {
                let client = SoakClient { number, address, signals: &signals, connection: None };
                let random = random.fork();
                scope.spawn(move || client.run(random))
            })
            .collect();
        let kinds = (0..4).map(|_| PeerKind::random(&mut random)).collect();
        let crowd = has_crowd.then(|| Crowd::start(address, CROWD_SIZE, kinds, seed));
        let mut program = program;
        for _ in 0..2 {
            std::thread::sleep(SERVING_TIME);
            program = processes.replace(program, &signals, &mut random);
        }
        std::thread::sleep(SERVING_TIME);
        signals.ended.store(true, Ordering::Relaxed);
        drop((crowd, program));
        clients.into_iter().flat_map(|client| client.join().unwrap()).collect::<Records>()
    });
    std::fs::remove_dir_all(&folder).ok();
    check_rules(seed, &records, &upstreams)
}

/// Checks that each request has its answer in time, and that none has run twice.
fn check_rules(seed: u64, records: &Records, upstreams: &[Upstream]) -> Vec<String> {
    let mut broken = Vec::new();
    let mut received = HashSet::new();
    for upstream in upstreams {
        for event in upstream.events.try_iter() {
            let UpstreamEvent::Request(message) = event else { continue };
            let id = message.headers["x-call-id"].clone();
            let is_unsafe = message.first_line.contains("/post");
            if !received.insert(id.clone()) && is_unsafe {
                broken.push(format!("seed {seed}: {id} ran twice"));
            }
        }
    }
    for (id, record) in records {
        let is_broken = match record.end {
            End::Response { status, elapsed } => {
                status == 409 || elapsed > record.budget + MAX_RESPONSE_DELAY
            }
            End::Closed { excused } => !excused && received.contains(id),
        };
        if is_broken {
            let Record { class, budget, end } = record;
            broken.push(format!("seed {seed}: {id}, {class}, budget {budget:?}: {end:?}"));
        }
    }
    let served =
        records.values().filter(|record| matches!(record.end, End::Response { status: 200, .. })).count();
    let unanswered = records.values().filter(|record| matches!(record.end, End::Closed { .. })).count();
    println!("seed {seed}: {} requests, {served} served, {unanswered} without a response", records.len());
    if served * 2 < records.len() {
        broken.push(format!("seed {seed}: {served} of {} requests served", records.len()));
    }
    broken
}

/// Guards the rules on lost and repeated requests through reloads, restarts, upgrades and crowds.
#[test]
fn requests_are_answered_once_and_in_time_through_restarts() {
    let seeds = std::env::var("SOAK_SEEDS").map_or(6, |seeds| seeds.parse().unwrap());
    let broken: Vec<String> = (1..=seeds).flat_map(play).collect();
    assert!(broken.is_empty(), "{broken:#?}");
}
