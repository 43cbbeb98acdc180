//! The memory of a crowd: whatever many peers send or leave unread, the process stays within `memory_mb`, and true
//! requests beside them are served. The kinds of peers are drawn from a seed.

mod common;

use common::crowd::{Crowd, PeerKind};
use common::process::*;
use common::streams::LongResponses;
use std::time::{Duration, Instant};

/// Bytes in a megabyte, as the platform may count `memory_mb`.
const MEGABYTE: u64 = 1_000_000;
/// How long each crowd stays.
const CROWD_TIME: Duration = Duration::from_secs(4);
/// Time between two true requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
/// The `X-Budget` of a true request, in seconds.
const TRUE_BUDGET: &str = "2";
/// Number of upstreams.
const UPSTREAMS: usize = 4;

/// The limits of the balancer, and the crowd that it meets.
struct Scenario {
    memory_mb: u64,
    sockets: usize,
    clients: usize,
    kinds: Vec<PeerKind>,
    /// Number of kills, after each of which a new process meets the same crowd at once.
    kills: usize,
}

/// What was observed in one life of a process.
#[derive(Debug)]
struct Observation {
    /// The highest private memory (RssAnon), in bytes.
    private: u64,
    /// The highest resident memory (VmHWM), in bytes.
    resident: u64,
    true_requests: usize,
    true_served: usize,
}

/// Sends true requests on new connections, one after the other, until `end`. Returns how many there were, and how many
/// of them were served.
fn send_true_requests(program: &Program, end: Instant) -> (usize, usize) {
    let (mut requests, mut served) = (0, 0);
    while Instant::now() < end {
        for class in ["look", "post"] {
            let response =
                program.try_connect().and_then(|mut client| client.request(class, TRUE_BUDGET, "body"));
            requests += 1;
            served += usize::from(response.is_some_and(|response| response.status() == 200));
        }
        std::thread::sleep(REQUEST_INTERVAL);
    }
    (requests, served)
}

/// Lets the crowd loose on a new process, and observes it until the crowd's time is over.
fn observe_crowd(program: &Program, scenario: &Scenario, seed: u64) -> Observation {
    let end = Instant::now() + CROWD_TIME;
    let crowd = Crowd::start(program.address, scenario.clients, scenario.kinds.clone(), seed);
    let mut private = 0;
    let (true_requests, true_served) = std::thread::scope(|scope| {
        let requests = scope.spawn(|| send_true_requests(program, end));
        while !requests.is_finished() {
            private = private.max(program.private_kib() << 10);
            std::thread::sleep(Duration::from_millis(5));
        }
        requests.join().unwrap()
    });
    let resident = program.peak_resident_kib() << 10;
    drop(crowd);
    Observation { private, resident, true_requests, true_served }
}

/// Plays a scenario, and returns what was observed in each life, with a description.
fn play(scenario: &Scenario, seed: u64) -> Vec<(Observation, String)> {
    let upstreams: Vec<LongResponses> = (0..UPSTREAMS).map(|_| LongResponses::start()).collect();
    let targets = in_service_at(upstreams.iter().map(|upstream| upstream.address));
    let mut config = config(refusing_address(), &targets);
    config["limits"]["memory_mb"] = scenario.memory_mb.into();
    config["limits"]["sockets"] = scenario.sockets.into();
    let mut observations = Vec::new();
    for life in 0..=scenario.kills {
        let program = Program::start(&config);
        let observation = observe_crowd(&program, scenario, seed + life as u64);
        program.kill();
        let (_, log) = program.wait_for_exit();
        let description = format!(
            "seed {seed}, life {life}: {} MB, {} descriptors, {} clients: {observation:?}",
            scenario.memory_mb, scenario.sockets, scenario.clients
        );
        println!("{description}\n{:?}\n{log}", scenario.kinds);
        observations.push((observation, description));
    }
    observations
}

/// The descriptions of the lives for which a condition does not hold.
fn broken(scenario: &Scenario, seed: u64, holds: impl Fn(&Scenario, &Observation) -> bool) -> Vec<String> {
    let observations = play(scenario, seed).into_iter();
    observations
        .filter(|(observation, _)| !holds(scenario, observation))
        .map(|(_, description)| description)
        .collect()
}

/// Whether the process stays within its memory limit.
fn fits(scenario: &Scenario, observation: &Observation) -> bool {
    let limit = scenario.memory_mb * MEGABYTE;
    observation.private <= limit && observation.resident <= limit
}

/// Whether nine in ten true requests are served.
fn serves_true_requests(_: &Scenario, observation: &Observation) -> bool {
    observation.true_served * 10 >= observation.true_requests * 9
}

/// The crowd of incident 6315b2: slow heads, bodies that stop, many short fields, and long responses read slowly.
fn incident_kinds() -> Vec<PeerKind> {
    vec![
        PeerKind::slow_head(88),
        PeerKind::stopped_body(88, 4_000_000, 200_000),
        PeerKind::tiny_chunks(88),
        PeerKind::slow_reader(88),
    ]
}

/// Guards against a process that is killed for memory as a crowd connects, and again after each restart.
#[test]
fn a_crowd_that_returns_after_each_kill_fits_into_the_least_memory() {
    let scenario =
        Scenario { memory_mb: 32, sockets: 1024, clients: 1000, kinds: incident_kinds(), kills: 2 };
    let broken = broken(&scenario, 6315, |scenario, observation| {
        fits(scenario, observation) && serves_true_requests(scenario, observation)
    });
    assert!(broken.is_empty(), "{broken:#?}");
}

/// Crowds whose kinds and limits are drawn from the seed. `MEMORY_CROWD_SEEDS` sets the number of seeds.
fn random_scenarios() -> impl Iterator<Item = (u64, Scenario)> {
    let seeds = std::env::var("MEMORY_CROWD_SEEDS").map_or(4, |seeds| seeds.parse().unwrap());
    (1..=seeds).map(|seed| {
        let mut random = fastrand::Rng::with_seed(seed);
        let scenario = Scenario {
            memory_mb: [32, 48, 96, 192][random.usize(..4)],
            sockets: [256, 512, 1024][random.usize(..3)],
            clients: [340, 700, 1200][random.usize(..3)],
            kinds: (0..random.usize(1..6)).map(|_| PeerKind::random(&mut random)).collect(),
            kills: random.usize(..2),
        };
        (seed, scenario)
    })
}

/// Guards against peers whose memory is not bounded, whatever they send.
#[test]
fn crowds_of_any_kind_fit_into_any_memory() {
    let broken: Vec<String> =
        random_scenarios().flat_map(|(seed, scenario)| broken(&scenario, seed, fits)).collect();
    assert!(broken.is_empty(), "{broken:#?}");
}

/// Guards true requests against crowds that hold all connections.
#[test]
fn nine_in_ten_true_requests_are_served_beside_crowds_of_any_kind() {
    let broken: Vec<String> = random_scenarios()
        .flat_map(|(seed, scenario)| broken(&scenario, seed, serves_true_requests))
        .collect();
    assert!(broken.is_empty(), "{broken:#?}");
}
