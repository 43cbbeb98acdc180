//! The time of a long request runs from the last byte that its client has written, wherever the bytes wait.

mod common;

use common::join_all;
use common::process::*;
use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// The `X-Budget` of the requests.
const BUDGET: Duration = Duration::from_millis(800);
/// A final response is due within this time of the end of the budget.
const MAX_RESPONSE_DELAY: Duration = Duration::from_millis(500);
/// Receive buffer of a slow upstream, in bytes. It keeps the kernel from taking a whole body.
const RECEIVE_BUFFER: usize = 4096;
/// Segment size of a slow upstream, in bytes, as over Ethernet. With the segments of the loopback device, the kernel
/// would take megabytes of each body.
const SEGMENT_SIZE: u32 = 1460;
/// An upstream that reads this many bytes per second has the buffers of the loopback device.
const MIN_FAST_RATE: usize = 1_000_000;

/// How an upstream reads a body.
#[derive(Clone, Copy, Debug)]
enum Reading {
    /// It stops after this many bytes.
    StopsAfter(usize),
    /// It reads this many bytes per second, and responds at the end.
    BytesPerSecond(usize),
}

/// An upstream that reads slowly or stops.
fn slow_upstream(reading: Reading) -> SocketAddr {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    if !matches!(reading, Reading::BytesPerSecond(MIN_FAST_RATE..)) {
        socket.set_recv_buffer_size(RECEIVE_BUFFER).unwrap();
        socket.set_tcp_mss(SEGMENT_SIZE).unwrap();
    }
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    socket.listen(16).unwrap();
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || read_slowly(stream, reading));
        }
    });
    address
}

/// Reads one request, whose head and body end with an empty line and a final `Z`.
fn read_slowly(mut stream: TcpStream, reading: Reading) {
    const INTERVALS_PER_SECOND: usize = 100;
    let mut total = 0;
    let mut ends = false;
    while !ends {
        let size = match reading {
            Reading::StopsAfter(limit) => limit.saturating_sub(total).min(4096),
            Reading::BytesPerSecond(rate) => rate / INTERVALS_PER_SECOND,
        };
        if size == 0 {
            std::thread::sleep(TEST_TIMEOUT);
            return;
        }
        let mut buffer = vec![0; size];
        let Ok(length @ 1..) = stream.read(&mut buffer) else { return };
        total += length;
        ends = buffer[..length].contains(&b'Z');
        std::thread::sleep(Duration::from_secs(1) / INTERVALS_PER_SECOND as u32);
    }
    stream.write_all(ok_response("done").as_bytes()).ok();
}

/// How a body is framed.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Length,
    Chunked,
}

/// A request whose body is filler up to its last byte.
fn request_with_body(class: &str, body_length: usize, framing: Framing) -> Vec<u8> {
    let mut body = vec![b'x'; body_length];
    body[body_length - 1] = b'Z';
    let head = request_text(class, &BUDGET.as_secs_f64().to_string(), "");
    match framing {
        Framing::Length => {
            let head = head.replace("Content-Length: 0", &format!("Content-Length: {body_length}"));
            [head.into_bytes(), body].concat()
        }
        Framing::Chunked => {
            let head = head.replace("Content-Length: 0", "Transfer-Encoding: chunked");
            let mut text = head.into_bytes();
            for piece in body.chunks(30_000) {
                text.extend(common::streams::chunk(piece));
            }
            text.extend(b"0\r\n\r\n");
            text
        }
    }
}

/// When a request was written to its end, and when its response came.
struct Exchange {
    written_at: Option<Instant>,
    response: Option<Message>,
    ended_at: Instant,
}

/// Writes a request, `piece` bytes and then a pause, and reads its response.
fn send(program: &Program, text: Vec<u8>, piece: usize, pause: Duration) -> Exchange {
    let mut client = program.connect();
    let mut output = client.input.get_ref().try_clone().unwrap();
    let writer = std::thread::spawn(move || {
        for piece in text.chunks(piece) {
            output.write_all(piece).ok()?;
            std::thread::sleep(pause);
        }
        Some(Instant::now())
    });
    let response = client.read_response();
    let ended_at = Instant::now();
    drop(client);
    Exchange { written_at: writer.join().unwrap(), response, ended_at }
}

/// The requests whose upstream reads too slowly or not at all, by the length of the body.
const STUCK: [(usize, Reading); 5] = [
    (111_166, Reading::StopsAfter(7818)),
    (984_873, Reading::BytesPerSecond(70_436)),
    (2_000_000, Reading::StopsAfter(30_000)),
    (5_200_000, Reading::StopsAfter(30_000)),
    (9_000_000, Reading::BytesPerSecond(2_000_000)),
];

/// Guards against a final response that comes seconds late: the budget did not run while bytes waited in the sockets.
#[test]
fn a_request_that_its_upstream_reads_slowly_has_its_answer_in_time() {
    let mut threads = Vec::new();
    for (body_length, reading) in STUCK {
        for framing in [Framing::Length, Framing::Chunked] {
            for class in ["pay", "post"] {
                threads.push(std::thread::spawn(move || {
                    let upstream = slow_upstream(reading);
                    let targets = in_service_at([upstream]);
                    let program = Program::start(&config(refusing_address(), &targets));
                    let text = request_with_body(class, body_length, framing);
                    let Exchange { written_at, response, ended_at } =
                        send(&program, text, 1 << 20, Duration::ZERO);
                    let case = format!("{class}, {framing:?}, {body_length} bytes, {reading:?}");
                    let response = response.unwrap_or_else(|| panic!("{case}: no response"));
                    // A client that could not write all gets its response while it writes.
                    let delay = written_at.map(|written_at| ended_at - written_at);
                    println!("{case}: {} after {delay:?}", response.status());
                    assert!(
                        delay.is_none_or(|delay| delay < BUDGET + MAX_RESPONSE_DELAY),
                        "{case}: {delay:?}"
                    );
                }));
            }
        }
    }
    join_all(threads);
}

/// Guards requests that are still arriving: their budget does not run, however long they take.
#[test]
fn a_long_request_that_is_still_arriving_is_not_ended() {
    let cases = [
        // The client is the slower one.
        (300_000, 100_000, 10_000_000, Framing::Length),
        (300_000, 100_000, 10_000_000, Framing::Chunked),
        // The upstream is the slower one, but keeps up with what the buffers hold.
        (400_000, 150_000, 180_000, Framing::Length),
        (400_000, 150_000, 180_000, Framing::Chunked),
        (24_000_000, 100_000_000, 12_000_000, Framing::Length),
        (24_000_000, 100_000_000, 12_000_000, Framing::Chunked),
    ];
    let threads = cases.map(|(body_length, client_rate, upstream_rate, framing)| {
        std::thread::spawn(move || {
            let upstream = slow_upstream(Reading::BytesPerSecond(upstream_rate));
            let targets = in_service_at([upstream]);
            let program = Program::start(&config(refusing_address(), &targets));
            let text = request_with_body("post", body_length, framing);
            let started_at = Instant::now();
            let exchange = send(&program, text, client_rate / 50, Duration::from_millis(20));
            let case = format!("{framing:?}, {body_length} bytes at {client_rate}, read at {upstream_rate}");
            let status = exchange.response.map(|response| response.status());
            println!("{case}: {status:?} after {:?}", started_at.elapsed());
            assert_eq!(status, Some(200), "{case}");
        })
    });
    join_all(threads);
}
