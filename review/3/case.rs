//! A crowd connects, stops in the middle of a request and stays. Beside it, clients send proper requests, each on a new
//! connection.

#[path = "../stand_ins/common.rs"]
mod common;

use common::*;
use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

/// The limits of the balancer: the lowest number of descriptors that the pages state for a day, and a usual memory.
const SOCKETS: usize = 256;
const MEMORY_MB: u64 = 64;
/// Number of clients of the crowd, over how many seconds they connect, and when the first does.
const CROWD: usize = 700;
const CROWD_ARRIVES_OVER: f64 = 1.5;
const CROWD_AT: f64 = 3.0;
/// Proper requests per second, and when the last is sent.
const RATE: f64 = 20.0;
const LAST_REQUEST_AT: f64 = 12.0;
/// When the case ends.
const END: f64 = 32.0;
/// A final answer counts up to half a second after the time of its request, and 50 ms on sockets. The last part is for
/// delays of the stand-ins.
const LATEST_ANSWER: f64 = 0.5 + 0.05 + 0.1;

/// How proper requests ended.
#[derive(Default)]
struct Ends {
    answered: HashMap<u16, usize>,
    closed_unanswered: usize,
    not_taken: usize,
    lost: usize,
    /// The latest answer, in seconds after the last byte of its request.
    latest: f64,
}

/// A client of the crowd: the head of a request and a part of its body, and then nothing.
fn crowd(address: SocketAddr) {
    let (mut waiting, mut stay, mut next) = (Vec::<(Instant, TcpStream)>::new(), Vec::new(), 0);
    let (mut ended, mut ended_late, mut latest) = (0, 0, 0.0_f64);
    while now() < END - 1.0 {
        while next < CROWD && now() >= CROWD_AT + CROWD_ARRIVES_OVER * next as f64 / CROWD as f64 {
            next += 1;
            let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
                continue;
            };
            let head = request_head(1, &fresh_id(), 3.0, 400);
            stream.write_all(head.as_bytes()).ok();
            stream.write_all(&[b'x'; 150]).ok();
            stream.set_nonblocking(true).ok();
            waiting.push((Instant::now(), stream));
        }
        let ends = waiting.extract_if(.., |(_, stream)| {
            !matches!(stream.read(&mut [0; 512]), Err(error) if error.kind() == ErrorKind::WouldBlock)
        });
        for (since, stream) in ends {
            let waited = since.elapsed().as_secs_f64();
            (ended, latest) = (ended + 1, latest.max(waited));
            ended_late += usize::from(waited > 3.0);
            stay.push(stream);
        }
        sleep(Duration::from_millis(2));
    }
    report(&format!(
        "crowd: {next} connected, {ended} got an error or a close, {ended_late} of them after more than 3 s, the \
         latest after {latest:.1} s; {} got nothing",
        waiting.len()
    ));
}

/// A client that opens a connection for one request.
fn proper_request(address: SocketAddr, class: usize, ends: &Mutex<Ends>) {
    let (id, budget) = (fresh_id(), CLASSES[class].3);
    let connected = TcpStream::connect_timeout(&address, Duration::from_secs(1));
    let sent = connected.and_then(|stream| {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(20)))?;
        let mut client = Client { input: std::io::BufReader::new(stream) };
        client.send(&request(class, &id, budget, &[b'b'; 120]))?;
        Ok(client)
    });
    let Ok(mut client) = sent else {
        ends.lock().unwrap().not_taken += 1;
        return record(&format!("request {id}: not connected, or not sent"));
    };
    let sent_at = Instant::now();
    record(&format!("request {id} {} sent, X-Budget {budget}", CLASSES[class].0));
    let answer = Message::read(&mut client.input);
    let waited = sent_at.elapsed().as_secs_f64();
    let mut ends = ends.lock().unwrap();
    ends.latest = ends.latest.max(waited);
    let is_late = waited > budget + LATEST_ANSWER;
    let end = match answer {
        Ok(Some(answer)) => {
            if !is_late {
                *ends.answered.entry(answer.status()).or_default() += 1;
            }
            format!("status {}", answer.status())
        }
        // The first request on a connection that is closed before anything was sent on has failed and is not lost.
        Ok(None) => "closed".to_owned(),
        Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
            "nothing".to_owned()
        }
        Err(error) => format!("closed, {error}"),
    };
    let is_closed = end.starts_with("closed");
    let is_lost = is_late && !is_closed;
    ends.closed_unanswered += usize::from(is_closed);
    ends.lost += usize::from(is_lost);
    record(&format!("request {id}: {end} after {waited:.3} s{}", if is_lost { ", LOST" } else { "" }));
}

fn case() -> Verdict {
    // The time that the request has left at its upstream, against what the upstream is told.
    let upstreams: Vec<SocketAddr> = (0..6)
        .map(|number| {
            upstream(move |request, output| {
                record(&format!(
                    "upstream s-{number}: {} told X-Budget {}",
                    request.header("x-call-id"),
                    request.header("x-budget")
                ));
                sleep(Duration::from_millis(100));
                output.write_all(&answer(request.header("x-call-id").as_bytes())).map(|()| true)
            })
        })
        .collect();
    let entries: Vec<String> = upstreams
        .iter()
        .enumerate()
        .map(|(number, address)| entry(&format!("s-{number}"), *address, "in_service"))
        .collect();
    let agent = Agent::start(&entries);
    let Some(balancer) = Balancer::start_with(agent.address, &entries, MEMORY_MB, SOCKETS) else {
        return Verdict::CouldNotRun;
    };
    let address = balancer.address;
    let crowd = has_trouble().then(|| thread::spawn(move || crowd(address)));
    let ends = Arc::new(Mutex::new(Ends::default()));
    let mut random = Random(7);
    let mut clients = Vec::new();
    let start = now() + 0.5;
    let mut at = start;
    while at < LAST_REQUEST_AT {
        sleep(Duration::from_secs_f64((at - now()).max(0.0)));
        let (class, ends) = (draw_class(&mut random), ends.clone());
        clients.push(thread::spawn(move || proper_request(address, class, &ends)));
        at += random.waiting_time(1.0 / RATE).as_secs_f64();
    }
    let sent = clients.len();
    clients.into_iter().for_each(|client| client.join().unwrap_or(()));
    if let Some(crowd) = crowd {
        crowd.join().unwrap_or(());
    }
    let ends = ends.lock().unwrap();
    report(&format!(
        "proper requests: {sent}, answered in time by status {:?}, closed without an answer {}, not taken {}, lost {}; \
         the latest end after {:.1} s",
        ends.answered, ends.closed_unanswered, ends.not_taken, ends.lost, ends.latest
    ));
    if ends.lost > 0 { Verdict::Broken } else { Verdict::Held }
}

fn main() {
    run_case(case)
}
