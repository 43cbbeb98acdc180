//! An outage of discovery during which an upstream begins to drain: the agents learn of the drain at the return.

#[path = "../stand_ins/common.rs"]
mod common;

use common::*;
use std::io::Write;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

const UPSTREAMS: usize = 4;
/// Balancers, each with an agent of its own on its machine.
const BALANCERS: usize = 8;
/// Clients of each balancer, which together send some tens of requests a second.
const CLIENTS: u64 = 10;
const ROUNDS: usize = 6;
/// Length of an outage, in seconds.
const OUTAGE: (f64, f64) = (8.0, 10.0);
/// The grace of the settings, 750 ms, the 50 ms that sockets get on top, and 20 ms for the stand-ins.
const GRACE: f64 = 0.82;

/// A request as an upstream received it.
#[derive(Clone, Copy)]
struct Arrival {
    balancer: usize,
    upstream: usize,
    at: f64,
}

type Arrivals = Arc<Mutex<Vec<Arrival>>>;

/// Sends requests one after another until the case is over.
fn run_client(balancer: usize, number: u64, address: std::net::SocketAddr) -> Option<()> {
    let mut random = Random(1000 * balancer as u64 + number);
    let mut client = Client::connect(address).ok()?;
    while !is_stopped() {
        sleep(random.waiting_time(0.15));
        let class = draw_class(&mut random);
        let text = String::from_utf8(request(class, &fresh_id(), CLASSES[class].3, b"body")).ok()?;
        // The upstreams see by this header which balancer sent the request.
        let text = text.replacen("\r\n", &format!("\r\nX-Balancer: {balancer}\r\n"), 1);
        if client.send(text.as_bytes()).is_err() || Message::read(&mut client.input).ok().flatten().is_none()
        {
            client = Client::connect(address).ok()?;
        }
    }
    Some(())
}

fn case() -> Verdict {
    let arrivals: Arrivals = Arc::default();
    let upstreams: Vec<_> = (0..UPSTREAMS)
        .map(|number| {
            let arrivals = arrivals.clone();
            upstream(move |request, output| {
                let balancer = request.header("x-balancer").parse().unwrap_or(usize::MAX);
                arrivals.lock().unwrap().push(Arrival { balancer, upstream: number, at: now() });
                sleep(Duration::from_millis(80));
                output.write_all(&answer(format!("answer to {}", request.header("x-call-id")).as_bytes()))?;
                Ok(true)
            })
        })
        .collect();
    // The list, with one upstream draining.
    let list = |draining: Option<usize>| -> Vec<String> {
        let state = |number| if draining == Some(number) { "terminating" } else { "in_service" };
        upstreams
            .iter()
            .enumerate()
            .map(|(n, address)| entry(&format!("s-{n}"), *address, state(n)))
            .collect()
    };
    let mut random = Random(u64::from(std::process::id()));
    let mut agents = Vec::new();
    for balancer in 0..BALANCERS {
        let agent = Agent::start(&list(None));
        let Some(Balancer { address, .. }) = Balancer::start(agent.address, &list(None)) else {
            return Verdict::CouldNotRun;
        };
        agents.push(agent);
        for number in 0..CLIENTS {
            thread::spawn(move || run_client(balancer, number, address));
        }
    }
    let mut late_count = 0;
    let start = Instant::now();
    for round in 0..ROUNDS {
        // Discovery works. Its lists reach the machines up to 2 s apart.
        let mut delays: Vec<(f64, usize)> = (0..BALANCERS).map(|n| (random.between(0.0, 2.0), n)).collect();
        delays.sort_by(|a, b| a.0.total_cmp(&b.0));
        let begin = Instant::now();
        for (delay, number) in delays {
            sleep(Duration::from_secs_f64(delay).saturating_sub(begin.elapsed()));
            agents[number].tell(&list(None));
        }
        sleep(Duration::from_millis(500));
        if has_trouble() {
            record(&format!("round {round}: discovery goes down"));
            agents.iter().for_each(Agent::fall_silent);
        }
        sleep(Duration::from_secs_f64(random.between(OUTAGE.0, OUTAGE.1)));
        let draining = round % UPSTREAMS;
        let told_at: Vec<f64> = agents
            .iter()
            .map(|agent| {
                agent.tell(&list(Some(draining)));
                now()
            })
            .collect();
        record(&format!("round {round}: discovery answers, and tells that s-{draining} drains"));
        sleep(Duration::from_millis(2500));
        for arrival in arrivals.lock().unwrap().drain(..) {
            let Some(told_at) = told_at.get(arrival.balancer).filter(|_| arrival.upstream == draining) else {
                continue;
            };
            let after = arrival.at - told_at;
            if after > GRACE {
                late_count += 1;
                record(&format!(
                    "round {round}: balancer {} sent a request to s-{draining} {after:.3} s after its agent had the drain",
                    arrival.balancer
                ));
            }
        }
    }
    STOP.store(true, Ordering::Relaxed);
    sleep(Duration::from_millis(500));
    report(&format!(
        "{late_count} requests sent to a draining upstream too late, in {ROUNDS} rounds with {BALANCERS} balancers, {:.0} s",
        start.elapsed().as_secs_f64()
    ));
    if late_count > 0 { Verdict::Broken } else { Verdict::Held }
}

fn main() {
    run_case(case)
}
