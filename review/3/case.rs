//! Upstreams write some long answers in pieces of 64 KiB, one a second. The first bytes come in time, and the rest must
//! be passed on for as long as the upstream gives it.

#[path = "../stand_ins/common.rs"]
mod common;

use common::*;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

const UPSTREAMS: usize = 4;
const PIECE: usize = 64 << 10;
const PIECES: usize = 8;
const PAUSE: Duration = Duration::from_secs(1);
/// Long answers that are asked for, one after another, beside short ones.
const LONG_REQUESTS: usize = 8;
/// The class `check` asks for long answers by this in its target.
const LONG_TARGET: &str = "/check/long";
const SHORT_CLIENTS: usize = 3;

#[derive(Default)]
struct Counts {
    short_served: AtomicU64,
    whole: AtomicU64,
    cut: AtomicU64,
    other: AtomicU64,
}

/// The body of a long answer: the pattern depends on the position, so that a gap is noticed.
fn long_body() -> Vec<u8> {
    (0..PIECE * PIECES).map(|index| (index / 7 % 251) as u8).collect()
}

fn case() -> Verdict {
    let counts = Arc::new(Counts::default());
    // The ids whose long answer an upstream is still writing, or was prevented from writing.
    let prevented = Arc::new(Mutex::new(Vec::<String>::new()));
    let mut entries = Vec::new();
    for number in 0..UPSTREAMS {
        let (random, prevented) = (Mutex::new(Random(number as u64 + 17)), prevented.clone());
        let address = upstream(move |request, output| {
            let id = request.header("x-call-id").to_owned();
            record(&format!("upstream {number} runs {id} {}", request.target()));
            let work = random.lock().unwrap().between(0.02, 0.06);
            sleep(Duration::from_secs_f64(work));
            if !request.target().starts_with(LONG_TARGET) {
                output.write_all(&answer(b"short"))?;
                return Ok(true);
            }
            let body = long_body();
            output
                .write_all(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len()).as_bytes())?;
            for (index, piece) in body.chunks(PIECE).enumerate() {
                if index > 0 && has_trouble() {
                    sleep(PAUSE);
                }
                let written = output.write_all(piece);
                record(&format!("upstream {number} writes piece {index} of the answer to {id}: {written:?}"));
                if written.is_err() {
                    prevented.lock().unwrap().push(id);
                    return Ok(false);
                }
            }
            Ok(true)
        });
        entries.push(entry(&format!("s-{number}"), address, "in_service"));
    }
    let agent = Agent::start(&entries);
    let Some(balancer) = Balancer::start(agent.address, &entries) else { return Verdict::CouldNotRun };
    let address = balancer.address;
    let short_clients: Vec<_> = (0..SHORT_CLIENTS)
        .map(|number| {
            let counts = counts.clone();
            thread::spawn(move || run_short_client(address, Random(number as u64 + 3), &counts))
        })
        .collect();
    sleep(Duration::from_secs(3));
    let mut random = Random(29);
    let mut long_clients = Vec::new();
    for _ in 0..LONG_REQUESTS {
        // A try is given up after 70 to 100% of the deadline of its class.
        let (counts, budget) = (counts.clone(), CLASSES[0].3 * random.between(0.7, 1.0));
        long_clients.push(thread::spawn(move || run_long_client(address, budget, &counts)));
        sleep(Duration::from_secs(4));
    }
    for client in long_clients {
        client.join().ok();
    }
    STOP.store(true, Ordering::Relaxed);
    for client in short_clients {
        client.join().ok();
    }
    sleep(PAUSE * 2); // an upstream notices at its next piece that its connection was closed
    let get = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    report(&format!(
        "long answers: {} whole, {} cut off, {} other; upstreams prevented from going on: {}; {} short answers",
        get(&counts.whole),
        get(&counts.cut),
        get(&counts.other),
        prevented.lock().unwrap().len(),
        get(&counts.short_served)
    ));
    match () {
        () if get(&counts.cut) > 0 && !prevented.lock().unwrap().is_empty() => Verdict::Broken,
        () if get(&counts.whole) == 0 || get(&counts.short_served) < 50 => Verdict::CouldNotRun,
        () => Verdict::Held,
    }
}

/// Asks for a long answer, and reads it as it comes.
fn run_long_client(address: SocketAddr, budget: f64, counts: &Counts) {
    let id = fresh_id();
    let text = String::from_utf8(request(0, &id, budget, b"")).unwrap().replace("/check/v1", LONG_TARGET);
    let Ok(mut client) = Client::connect(address) else { return };
    record(&format!("client sends {id} with a budget of {budget:.3} s"));
    let sent_at = Instant::now();
    let head = client.send(text.as_bytes()).and_then(|()| Message::read_head(&mut client.input));
    let Ok(Some(head)) = head else {
        counts.other.fetch_add(1, Ordering::Relaxed);
        return record(&format!("client has no answer to {id}"));
    };
    let first_bytes = sent_at.elapsed().as_secs_f64();
    record(&format!(
        "client has the head of the answer to {id} after {first_bytes:.3} s: {}",
        head.first_line
    ));
    if head.status() != 200 || first_bytes > budget {
        counts.other.fetch_add(1, Ordering::Relaxed);
        return;
    }
    let (mut body, mut buffer) = (Vec::new(), vec![0; 32 << 10]);
    let end = loop {
        match client.input.read(&mut buffer) {
            Ok(0) => break "closed".to_owned(),
            Ok(length) => body.extend_from_slice(&buffer[..length]),
            Err(error) => break error.to_string(),
        }
        if body.len() >= PIECE * PIECES {
            break "whole".to_owned();
        }
    };
    let elapsed = sent_at.elapsed().as_secs_f64();
    record(&format!("client has {} bytes of the answer to {id} after {elapsed:.3} s: {end}", body.len()));
    let is_whole = body == long_body();
    if !is_whole {
        record(&format!("BROKEN: the answer to {id} was cut off while its upstream went on"));
    }
    let counter = if is_whole { &counts.whole } else { &counts.cut };
    counter.fetch_add(1, Ordering::Relaxed);
}

/// Sends short requests until the end of the case.
fn run_short_client(address: SocketAddr, mut random: Random, counts: &Counts) {
    let Ok(mut client) = Client::connect(address) else { return };
    while !is_stopped() {
        sleep(random.waiting_time(0.15));
        let class = draw_class(&mut random);
        let (id, budget) = (fresh_id(), CLASSES[class].3);
        let sent = client.send(&request(class, &id, budget, b"{\"amount\":1}"));
        match sent.and_then(|()| Message::read(&mut client.input)) {
            Ok(Some(message)) if message.status() == 200 => {
                counts.short_served.fetch_add(1, Ordering::Relaxed);
            }
            Ok(Some(_)) => {}
            _ => match Client::connect(address) {
                Ok(connection) => client = connection,
                Err(_) => return,
            },
        }
    }
}

fn main() {
    run_case(case)
}
