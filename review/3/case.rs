//! Planned restarts, one balancer after the other, while some answers are long and take seconds.

#[path = "../stand_ins/common.rs"]
mod common;

use common::*;
use std::collections::HashMap;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

/// Length of a long answer, in bytes; it is over 64 KiB and has a Content-Length.
const LONG: usize = 150_000;
/// Pause between two pieces of a long answer. An upstream takes 1.5 to 3.5 s to write all of them.
const PIECE_PAUSE: Duration = Duration::from_millis(100);
const PIECES: (f64, f64) = (15.0, 35.0);
const UPSTREAMS: u64 = 4;
const CLIENTS: u64 = 30;
const SECONDS: u64 = 75;
/// How long after SIGTERM the platform sends SIGKILL: the longest deadline, 3 s, plus 0.7 s, and a little more.
const KILL_DELAY: Duration = Duration::from_millis(3720);
/// A request that came later than this after SIGTERM and finds no whole answer is lost: 0.7 s, and a little more.
const EXCUSED: f64 = 0.72;

fn long_body(id: &str) -> Vec<u8> {
    format!("long answer to {id}\n").bytes().cycle().take(LONG).collect()
}

fn serve(number: u64, request: &Message, output: &mut std::net::TcpStream) -> std::io::Result<bool> {
    let id = request.header("x-call-id").to_owned();
    let mut random = Random(u64::from_str_radix(&id, 16).unwrap_or(1) ^ number);
    sleep(Duration::from_secs_f64(random.between(0.04, 0.12)));
    if !request.target().contains("long") {
        output.write_all(&answer(format!("answer to {id}").as_bytes()))?;
        return Ok(true);
    }
    let whole = answer(&long_body(&id));
    let pieces = random.between(PIECES.0, PIECES.1) as usize;
    for (position, piece) in whole.chunks(whole.len().div_ceil(pieces)).enumerate() {
        if let Err(error) = output.write_all(piece) {
            record(&format!(
                "upstream {number}: piece {position} of {pieces} of {id} cannot be written: {error}"
            ));
            return Err(error);
        }
        sleep(PIECE_PAUSE);
    }
    Ok(true)
}

/// One of the two balancers, as the front and the platform see it.
#[derive(Clone, Copy)]
struct Node {
    balancer: Balancer,
    /// Whether the front sends new connections there.
    admitted: bool,
}

/// When each process got SIGTERM, in seconds since the start of the case, by its process id.
type Stops = Mutex<HashMap<u32, f64>>;

#[derive(Default)]
struct Seen {
    whole: u32,
    not_served: u32,
    /// The connection ended without an answer: the request is sent once more over a new connection.
    not_read: u32,
    /// A cut answer to a request that came before SIGTERM or soon after it.
    not_counted: u32,
    lost: u32,
}

/// Connects to a node that the front admits. Returns the id of its process, too.
fn connect(nodes: &Mutex<[Node; 2]>, random: &mut Random) -> Option<(u32, Client)> {
    for _ in 0..100 {
        let number = (random.next() % 2) as usize;
        let number = if nodes.lock().unwrap()[number].admitted { number } else { 1 - number };
        let Node { balancer, admitted } = nodes.lock().unwrap()[number];
        if admitted && let Ok(client) = Client::connect(balancer.address) {
            return Some((balancer.pid, client));
        }
        sleep(Duration::from_millis(20));
    }
    None
}

/// Reads an answer. Returns its status, the bytes read of its body and the length of its body.
fn read_answer(client: &mut Client, random: &mut Random) -> Option<(u16, bool, usize, usize)> {
    let head = Message::read_head(&mut client.input).ok()??;
    let length: usize = head.header("content-length").parse().unwrap_or(0);
    let mut buffer = vec![0; 16 << 10];
    let mut received = 0;
    while received < length {
        let wanted = (length - received).min(1 + (random.next() % (16 << 10)) as usize);
        match client.read_some(&mut buffer[..wanted]) {
            Ok(0) | Err(_) => break,
            Ok(bytes) => received += bytes,
        }
    }
    Some((head.status(), head.header("connection") == "close", received, length))
}

fn run_client(number: u64, nodes: &Mutex<[Node; 2]>, stops: &Stops, seen: &Mutex<Seen>) -> Option<()> {
    let mut random = Random(0x4e57 + number);
    let mut connection = None;
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(SECONDS) {
        sleep(random.waiting_time(0.4));
        let (pid, mut client) = match connection.take() {
            Some(connection) => connection,
            None => connect(nodes, &mut random)?,
        };
        let (class, id) = (draw_class(&mut random), fresh_id());
        let is_long = random.fraction() < 0.15;
        let text = String::from_utf8(request(class, &id, CLASSES[class].3, b"body")).ok()?;
        let text = if is_long { text.replace("n=7", "n=long") } else { text };
        client.send(text.as_bytes()).ok();
        let sent_at = now();
        let outcome = read_answer(&mut client, &mut random);
        let stopped_at = stops.lock().unwrap().get(&pid).copied();
        let since_stop = stopped_at.map_or(f64::NEG_INFINITY, |stopped_at| sent_at - stopped_at);
        let mut seen = seen.lock().unwrap();
        match outcome {
            Some((status, closes, received, length)) if received == length => {
                seen.whole += u32::from(status == 200);
                seen.not_served += u32::from(status != 200);
                if !closes {
                    connection = Some((pid, client));
                }
            }
            Some((status, _, received, length)) => {
                let is_lost = since_stop > EXCUSED;
                record(&format!(
                    "client {number}: {id} {}, sent {since_stop:.3} s after SIGTERM: {status}, cut off after {received} of {length} bytes: {}",
                    CLASSES[class].0,
                    if is_lost { "lost" } else { "not counted" }
                ));
                seen.lost += u32::from(is_lost);
                seen.not_counted += u32::from(!is_lost);
            }
            None => seen.not_read += 1,
        }
    }
    Some(())
}

/// Restarts one node after the other, as the platform does.
fn restart(nodes: &Mutex<[Node; 2]>, stops: &Stops, agents: &[Agent; 2], entries: &[String]) -> Option<()> {
    let start = Instant::now();
    let mut random = Random(0x9e1 + u64::from(std::process::id()));
    for number in [0, 1].into_iter().cycle() {
        sleep(Duration::from_secs(3));
        if start.elapsed() + KILL_DELAY + Duration::from_secs(6) > Duration::from_secs(SECONDS) {
            break;
        }
        let Balancer { address, pid } = nodes.lock().unwrap()[number].balancer;
        record(&format!("SIGTERM to balancer {number}"));
        stops.lock().unwrap().insert(pid, now());
        send_signal(pid, "TERM");
        let front_notices = Duration::from_secs_f64(random.between(0.2, 0.4));
        sleep(front_notices);
        nodes.lock().unwrap()[number].admitted = false;
        sleep(KILL_DELAY - front_notices);
        record(&format!("SIGKILL to balancer {number}, if it still runs"));
        send_signal(pid, "KILL");
        sleep(Duration::from_millis(300));
        let balancer = Balancer::start_at(address, agents[number].address, entries, 96, 512)?;
        nodes.lock().unwrap()[number] = Node { balancer, admitted: true };
    }
    Some(())
}

fn case() -> Verdict {
    let entries: Vec<String> = (0..UPSTREAMS)
        .map(|number| {
            let address = upstream(move |request, output| serve(number, request, output));
            entry(&format!("s-{number}"), address, "in_service")
        })
        .collect();
    let agents = [Agent::start(&entries), Agent::start(&entries)];
    let start = |agent: &Agent| Balancer::start(agent.address, &entries);
    let (Some(first), Some(second)) = (start(&agents[0]), start(&agents[1])) else {
        return Verdict::CouldNotRun;
    };
    let node = |balancer| Node { balancer, admitted: true };
    let nodes = Arc::new(Mutex::new([node(first), node(second)]));
    let stops: Arc<Stops> = Arc::default();
    let seen: Arc<Mutex<Seen>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (nodes, stops, seen) = (nodes.clone(), stops.clone(), seen.clone());
            thread::spawn(move || run_client(number, &nodes, &stops, &seen))
        })
        .collect();
    if has_trouble() && restart(&nodes, &stops, &agents, &entries).is_none() {
        return Verdict::CouldNotRun;
    }
    for client in clients {
        if client.join().ok().flatten().is_none() {
            return Verdict::CouldNotRun;
        }
    }
    let seen = seen.lock().unwrap();
    report(&format!(
        "answers: {} served whole, {} not served, {} cut off and not counted, {} lost; {} requests not read",
        seen.whole, seen.not_served, seen.not_counted, seen.lost, seen.not_read
    ));
    match (seen.lost > 0, seen.whole > 0) {
        (true, _) => Verdict::Broken,
        (false, true) => Verdict::Held,
        (false, false) => Verdict::CouldNotRun,
    }
}

fn main() {
    run_case(case)
}
