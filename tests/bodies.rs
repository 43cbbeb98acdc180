//! Long bodies over loopback sockets: more of them than the memory holds, in any form and at any pace.

mod common;

use common::process::*;
use std::io::{BufRead, Read, Write};
use std::net::TcpStream;
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const LENGTH: usize = 300_000;
const CHUNKED_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

fn served_by(upstream: &Upstream) -> Program {
    Program::start(&config(refusing_address(), &in_service(&[upstream])))
}

fn does(act: impl Fn(&mut TcpStream) + Send + Sync + 'static) -> UpstreamAction {
    UpstreamAction::Run(Arc::new(act))
}

/// Bytes of which no two stretches are alike.
fn noise(length: usize) -> Vec<u8> {
    (0..length as u32).map(|at| (at.wrapping_mul(2_654_435_761) >> 13) as u8).collect()
}

fn in_chunks(body: &[u8], each: usize, trailers: &str) -> Vec<u8> {
    let mut text = Vec::new();
    for piece in body.chunks(each) {
        text.extend(format!("{:x}\r\n", piece.len()).into_bytes());
        text.extend(piece);
        text.extend(b"\r\n");
    }
    text.extend(format!("0\r\n{trailers}\r\n").into_bytes());
    text
}

/// The head of a request, with these headers in place of its length.
fn head(class: &str, headers: &str) -> String {
    request_text(class, LONG_BUDGET, "").replace("Content-Length: 0\r\n", headers)
}

#[test]
fn long_answers_come_through_in_every_form() {
    let body = noise(LENGTH);
    let with_length = format!("HTTP/1.1 200 OK\r\nContent-Length: {LENGTH}\r\n\r\n").into_bytes();
    let forms = [
        [with_length.clone(), body.clone()].concat(),
        [CHUNKED_HEAD.as_bytes().to_vec(), in_chunks(&body, 7000, "")].concat(),
        [CHUNKED_HEAD.as_bytes().to_vec(), in_chunks(&body, 50_000, "X-Sum: 1\r\n")].concat(),
        [b"HTTP/1.1 200 OK\r\n\r\n".to_vec(), body.clone()].concat(),
        [b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n".to_vec(), body.clone()].concat(),
    ];
    for text in forms {
        let upstream = Upstream::start(move |_| {
            let text = text.clone();
            does(move |stream| stream.write_all(&text).unwrap())
        });
        let answer = served_by(&upstream).request("post");
        assert_eq!(answer.status(), 200);
        assert!(answer.body == body, "{} bytes came of {LENGTH}", answer.body.len());
    }
}

#[test]
fn an_answer_in_tiny_pieces_comes_through() {
    let upstream = Upstream::start(|_| {
        does(|stream| {
            let text = [CHUNKED_HEAD.as_bytes().to_vec(), in_chunks(&noise(1000), 1, "")].concat();
            stream.set_nodelay(true).unwrap();
            text.chunks(3).for_each(|piece| stream.write_all(piece).unwrap());
        })
    });
    assert!(served_by(&upstream).request("post").body == noise(1000));
}

/// The first bytes of a long answer are what its client waits for; its rest may take longer than the client's time.
#[test]
fn a_long_answer_is_passed_on_as_it_comes_and_not_cut_by_the_deadline() {
    let (go_on, wait) = channel::<()>();
    let wait = Arc::new(Mutex::new(wait));
    let upstream = Upstream::start(move |_| {
        let wait = wait.clone();
        does(move |stream| {
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {LENGTH}\r\n\r\n");
            stream.write_all(head.as_bytes()).unwrap();
            stream.write_all(&noise(LENGTH)[..100_000]).unwrap();
            wait.lock().unwrap().recv().unwrap();
            stream.write_all(&noise(LENGTH)[100_000..]).unwrap();
        })
    });
    let program = served_by(&upstream);
    let mut client = program.connect();
    let asked = Instant::now();
    client.send("post", "0.5", "b");
    let mut got = vec![0; 100_000];
    let mut line = String::new();
    while line != "\r\n" {
        line.clear();
        client.input.read_line(&mut line).unwrap();
    }
    client.input.read_exact(&mut got).unwrap();
    std::thread::sleep(Duration::from_millis(700).saturating_sub(asked.elapsed())); // past its time
    go_on.send(()).unwrap();
    let mut rest = vec![0; LENGTH - got.len()];
    client.input.read_exact(&mut rest).unwrap();
    assert!([got, rest].concat() == noise(LENGTH));
}

/// Guards a client against half an answer that passes for a whole one.
#[test]
fn a_long_answer_that_breaks_off_is_seen_to() {
    let heads = [format!("HTTP/1.1 200 OK\r\nContent-Length: {LENGTH}\r\n\r\n"), CHUNKED_HEAD.to_owned()];
    for head in heads {
        let upstream = Upstream::start(move |_| {
            let head = head.clone();
            does(move |stream| {
                stream.write_all(head.as_bytes()).unwrap();
                let body = noise(LENGTH / 2);
                let text = if head == CHUNKED_HEAD { in_chunks(&body, 9000, "") } else { body };
                stream.write_all(&text[..text.len() - 5]).unwrap();
            })
        });
        let program = served_by(&upstream);
        let mut client = program.connect();
        client.send("post", LONG_BUDGET, "b");
        assert!(client.read_response().is_none(), "it ends before its end");
        upstream.next_request();
        assert_eq!(upstream.take_request_count(), 0, "what has begun is not asked for again");
    }
}

/// A client of HTTP/1.0 gets no chunks: only a reset tells it that an answer of unknown length broke off.
#[test]
fn a_broken_answer_without_a_length_is_reset_for_an_old_client() {
    for whole in [true, false] {
        let upstream = Upstream::start(move |_| {
            does(move |stream| {
                let text = [CHUNKED_HEAD.as_bytes().to_vec(), in_chunks(&noise(LENGTH), 9000, "")].concat();
                stream.write_all(&text[..if whole { text.len() } else { LENGTH / 2 }]).unwrap();
            })
        });
        let program = served_by(&upstream);
        let mut client = program.connect();
        client.write(&request_text("post", LONG_BUDGET, "").replace("HTTP/1.1", "HTTP/1.0"));
        let mut got = Vec::new();
        let end = client.input.read_to_end(&mut got);
        assert_eq!(end.is_ok(), whole, "{end:?}");
        assert!(!whole || got.ends_with(&noise(LENGTH)));
    }
}

/// Guards the memory: 100 clients that do not read hold up 800 MB, and the balancer holds hardly any of it.
#[test]
fn answers_wait_at_their_upstreams_while_clients_do_not_read() {
    let upstream = Upstream::start(|_| {
        does(|stream| {
            stream.write_all(CHUNKED_HEAD.as_bytes()).unwrap();
            let text = in_chunks(&vec![7; 8 << 20], 1 << 16, "");
            stream.write_all(&text).ok(); // to a client that leaves
        })
    });
    let mut config = config(refusing_address(), &in_service(&[&upstream]));
    config["limits"]["memory_mb"] = 32.into();
    let program = Program::start(&config);
    let mut clients: Vec<Client> = (0..100).map(|_| program.connect()).collect();
    for client in &mut clients {
        client.send("post", LONG_BUDGET, "b");
    }
    for client in &mut clients {
        let mut line = String::new();
        client.input.read_line(&mut line).unwrap();
        assert!(line.contains("200"), "{line}");
    }
    assert!(program.resident_kib() < 24 << 10, "{} KiB", program.resident_kib());
    let last = clients.pop().unwrap().input;
    let mut counted = 0;
    for byte in last.bytes().map_while(Result::ok).take(2 << 20) {
        counted += usize::from(byte == 7);
    }
    assert!(counted > 1 << 20, "and it comes when it is read");
}

#[test]
fn long_requests_come_through_in_every_form() {
    let body = noise(LENGTH);
    let sent = body.clone();
    let upstream = Upstream::start(move |message| {
        UpstreamAction::Respond(ok_response(&format!("{}", message.body == sent)))
    });
    let program = served_by(&upstream);
    let length = format!("Content-Length: {LENGTH}\r\n");
    let chunked = "Transfer-Encoding: chunked\r\n";
    let forms = [
        (length.as_str(), body.clone()),
        (chunked, in_chunks(&body, 1000, "")),
        (chunked, in_chunks(&body, 100_000, "X-Sum: 1\r\n")),
    ];
    for (headers, text) in forms {
        let mut client = program.connect();
        client.write(&head("post", headers));
        let mut output = client.input.get_ref().try_clone().unwrap();
        text.chunks(777).for_each(|piece| output.write_all(piece).unwrap());
        let answer = client.read_response().expect("an answer");
        assert_eq!((answer.status(), &answer.body[..]), (200, &b"true"[..]), "{headers}");
        assert_eq!(client.request("look", LONG_BUDGET, "").expect("the next answer").status(), 200);
    }
}

/// The time of a request runs from its last byte, however long it is in coming.
#[test]
fn a_slow_long_request_has_its_time_from_its_last_byte() {
    let upstream =
        Upstream::start(|message| UpstreamAction::Respond(ok_response(&message.body.len().to_string())));
    let program = served_by(&upstream);
    let mut client = program.connect();
    // It comes for twice its time, and that is long enough for an answer from a machine with all cores busy.
    let text = request_text("post", "2", "").replace("Length: 0", &format!("Length: {LENGTH}"));
    let body = noise(LENGTH);
    client.write(&text);
    let mut output = client.input.get_ref().try_clone().unwrap();
    for piece in body.chunks(LENGTH / 10) {
        std::thread::sleep(Duration::from_millis(400));
        output.write_all(piece).unwrap();
    }
    let answer = client.read_response().expect("an answer");
    assert_eq!((answer.status(), answer.body), (200, LENGTH.to_string().into_bytes()));
}

/// Guards a request against being resent without its start.
#[test]
fn a_request_streamed_in_part_is_not_sent_again() {
    let breaking = TcpBreak::start();
    let targets =
        [target("s-0", breaking.address, "in_service"), target("s-1", breaking.address, "in_service")];
    let program = Program::start(&config(refusing_address(), &targets));
    let body = noise(4 << 20);
    let mut client = program.connect();
    client.write(&head("pay", &format!("Content-Length: {}\r\n", body.len())));
    let mut output = client.input.get_ref().try_clone().unwrap();
    let writing = std::thread::spawn(move || output.write_all(&body).is_ok());
    let answer = client.read_response().expect("an answer");
    assert!([502, 503].contains(&answer.status()), "{}", answer.status());
    assert_eq!(breaking.connections.lock().unwrap().len(), 1, "one attempt");
    drop(client);
    writing.join().unwrap();
}

/// Guards a client whose request nobody takes any further: no time of its own runs yet.
#[test]
fn an_upstream_that_stops_reading_a_long_request_is_given_up() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let targets = [target("s-0", listener.local_addr().unwrap(), "in_service")];
    let program = Program::start(&config(refusing_address(), &targets));
    let body = noise(30 << 20); // made before the connection is, on which its client is cut if it says nothing
    let mut client = program.connect();
    client.write(&head("post", &format!("Content-Length: {}\r\n", body.len())));
    let mut output = client.input.get_ref().try_clone().unwrap();
    let writing = std::thread::spawn(move || output.write_all(&body).is_ok());
    let _unread = listener.accept().unwrap();
    assert_eq!(client.read_response().expect("an answer").status(), 502);
    drop(client);
    assert!(!writing.join().unwrap(), "the rest was not taken");
}

/// An upstream that breaks each connection after the first 200 kB of a request.
struct TcpBreak {
    address: std::net::SocketAddr,
    connections: Arc<Mutex<Vec<usize>>>,
}

impl TcpBreak {
    fn start() -> Self {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let (address, connections) = (listener.local_addr().unwrap(), Arc::new(Mutex::new(Vec::new())));
        let seen = connections.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let got = stream.take(200_000).read_to_end(&mut Vec::new());
                seen.lock().unwrap().push(got.unwrap_or(0));
            }
        });
        Self { address, connections }
    }
}

#[test]
fn a_client_that_expects_a_go_ahead_gets_it() {
    let upstream =
        Upstream::start(|message| UpstreamAction::Respond(ok_response(&message.body.len().to_string())));
    let program = served_by(&upstream);
    for length in [5, LENGTH] {
        let mut client = program.connect();
        client.write(&head("post", &format!("Expect: 100-continue\r\nContent-Length: {length}\r\n")));
        let mut line = String::new();
        client.input.read_line(&mut line).unwrap();
        assert!(line.starts_with("HTTP/1.1 100"), "{line}");
        client.input.read_line(&mut line).unwrap();
        client.input.get_mut().write_all(&noise(length)).unwrap();
        let answer = client.read_response().expect("an answer");
        assert_eq!((answer.status(), answer.body), (200, length.to_string().into_bytes()));
    }
}

/// An answer to HEAD tells a length and brings no body.
#[test]
fn a_head_is_answered_without_a_body() {
    for length in [0, 5, LENGTH] {
        let upstream = Upstream::start(move |message| {
            let kept = if message.first_line.starts_with("HEAD") { 0 } else { length };
            let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
            UpstreamAction::Respond(text + &"a".repeat(kept))
        });
        let program = served_by(&upstream);
        let mut client = program.connect();
        client.write(&request_text("look", LONG_BUDGET, "").replace("GET", "HEAD"));
        let mut lines = Vec::new();
        while lines.last().is_none_or(|line| line != "\r\n") {
            let mut line = String::new();
            assert!(client.input.read_line(&mut line).unwrap() > 0, "{lines:?}");
            lines.push(line);
        }
        assert!(lines[0].contains("200"), "{lines:?}");
        let told = format!("content-length: {length}\r\n");
        assert!(lines.iter().any(|line| line.to_lowercase() == told), "{lines:?}");
        assert_eq!(client.request("look", LONG_BUDGET, "").expect("the next answer").body.len(), length);
    }
}

/// A client may take 2 s over a head, and be slow over a small body then.
#[test]
fn a_slow_head_and_a_slow_body_are_waited_for() {
    let upstream =
        Upstream::start(|message| UpstreamAction::Respond(ok_response(&message.body.len().to_string())));
    let program = served_by(&upstream);
    let mut client = program.connect();
    let text = head("post", "Content-Length: 60000\r\n");
    let mut output = client.input.get_ref().try_clone().unwrap();
    for piece in text.as_bytes().chunks(text.len().div_ceil(8)) {
        std::thread::sleep(Duration::from_millis(250));
        output.write_all(piece).unwrap();
    }
    for piece in noise(60_000).chunks(6000) {
        std::thread::sleep(Duration::from_millis(90));
        output.write_all(piece).unwrap();
    }
    let answer = client.read_response().expect("an answer");
    assert_eq!((answer.status(), answer.body), (200, b"60000".to_vec()));
}

/// Guards a client that is slow over its head against a crowd that connects, and never brings a call.
#[test]
fn a_slow_head_is_served_in_a_crowd() {
    let upstream = Upstream::start(|_| UpstreamAction::Respond(ok_response("")));
    let mut config = config(refusing_address(), &in_service(&[&upstream]));
    config["limits"]["sockets"] = 128.into(); // room for 54 clients, half of it for those without a whole request
    let program = Program::start(&config);
    let mut resting: Vec<Client> = (0..24).map(|_| program.connect()).collect();
    for client in &mut resting {
        assert_eq!(client.request("look", LONG_BUDGET, "").expect("served").status(), 200);
    }
    let mut slow = program.connect();
    let text = request_text("look", LONG_BUDGET, "");
    let mut output = slow.input.get_ref().try_clone().unwrap();
    let mut crowd = Vec::new();
    for piece in text.as_bytes().chunks(text.len().div_ceil(10)) {
        output.write_all(piece).unwrap();
        for at in 0..12 {
            crowd.push(program.connect());
            let text = ["", "GET /look HTTP/1.1\r\n", "GET /healthz HTTP/1.1\r\nHost: b\r\n\r\n"];
            crowd.last_mut().unwrap().write(text[at % 3]);
        }
        std::thread::sleep(Duration::from_millis(50)); // as slow as it takes for the pieces to come apart
    }
    assert_eq!(slow.read_response().expect("an answer").status(), 200);
    let served = resting.iter_mut().filter_map(|client| client.request("look", LONG_BUDGET, "")).count();
    assert_eq!(served, 24, "the crowd stays within its part of the room");
}
