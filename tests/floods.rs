//! A client that sends small or unsound requests at full speed delays no other client, and takes no memory without end.

mod common;

use common::process::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// How long each flood lasts.
const FLOOD_TIME: Duration = Duration::from_secs(2);
/// The `X-Budget` of the other clients, in seconds.
const BUDGET: &str = "1";
/// A final response is due within this time: the budget and half a second.
const MAX_ELAPSED: Duration = Duration::from_millis(1500);
/// Memory that a flood may take, in KiB.
const MAX_GROWTH: u64 = 4 << 10;

/// What the flooding client sends, given the number of the request.
type Flood = fn(usize) -> String;

/// A sound request under a new name.
fn new_id(number: usize) -> String {
    request_text_with_id(&format!("{number:x}{}", "i".repeat(200)), "look", BUDGET, "")
}

/// The floods by name.
const FLOODS: [(&str, Flood); 6] = [
    ("new ids", new_id),
    ("new classes", |number| new_id(number).replace("look", &format!("class-{number}"))),
    ("new tenants", |number| new_id(number).replace("acme", &format!("tenant-{number}"))),
    ("new field names", |number| new_id(number).replace("Host: b", &format!("F{number}: 1\r\nHost: b"))),
    ("unsound budgets", |number| new_id(number).replace("X-Budget: 1", &format!("X-Budget: -{number}e999"))),
    ("garbage", |number| format!("{number} \x01\x02 nothing\r\n\r\n")),
];

/// Whether the flooding client reads its responses.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Reading {
    Always,
    Never,
}

/// Floods until `ended` is set, and connects anew whenever the connection ends.
fn flood(program: &Program, text: Flood, reading: Reading, ended: &AtomicBool) -> usize {
    let mut number = 0;
    while !ended.load(Ordering::Relaxed) {
        let Ok(mut stream) = TcpStream::connect(program.address) else { continue };
        stream.set_write_timeout(Some(Duration::from_millis(50))).unwrap();
        stream.set_nonblocking(reading == Reading::Always).unwrap();
        while !ended.load(Ordering::Relaxed) {
            number += 1;
            let is_open = match stream.write_all(text(number).as_bytes()) {
                Err(error) => error.kind() == std::io::ErrorKind::WouldBlock && reading == Reading::Always,
                Ok(()) => true,
            };
            let is_at_end = reading == Reading::Always && matches!(stream.read(&mut [0; 4096]), Ok(0));
            if !is_open || is_at_end {
                break;
            }
        }
    }
    number
}

/// Guards other clients, and the memory, against one client at full speed.
#[test]
fn a_flood_of_one_client_delays_no_other_and_takes_little_memory() {
    for (name, text) in FLOODS {
        for reading in [Reading::Always, Reading::Never] {
            let upstream = Upstream::start(|_| UpstreamAction::Respond(ok_response("done")));
            let program = Program::start(&config(refusing_address(), &in_service(&[&upstream])));
            assert_eq!(program.request("look").status(), 200);
            let memory_before = program.private_kib();
            let ended = AtomicBool::new(false);
            let (mut requests, mut slowest, mut unserved) = (0, Duration::ZERO, 0);
            let sent = std::thread::scope(|scope| {
                let flooding = scope.spawn(|| flood(&program, text, reading, &ended));
                let end = Instant::now() + FLOOD_TIME;
                while Instant::now() < end {
                    let started = Instant::now();
                    let response = program.connect().request("post", BUDGET, "body");
                    slowest = slowest.max(started.elapsed());
                    requests += 1;
                    unserved += usize::from(response.is_none_or(|response| response.status() != 200));
                    std::thread::sleep(Duration::from_millis(10));
                }
                ended.store(true, Ordering::Relaxed);
                flooding.join().unwrap()
            });
            let growth = program.private_kib().saturating_sub(memory_before);
            let case = format!(
                "{name}, read: {reading:?}: {sent} sent; {unserved} of {requests} others unserved, \
                 slowest {slowest:?}; {growth} KiB more"
            );
            println!("{case}");
            assert!(slowest < MAX_ELAPSED && unserved * 10 <= requests && growth < MAX_GROWTH, "{case}");
        }
    }
}
