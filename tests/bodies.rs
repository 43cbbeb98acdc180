//! Long bodies on loopback sockets: larger in total than the memory limit, in every encoding and at any pace.

mod common;

use common::process::*;
use std::io::{BufRead, Read, Write};
use std::net::TcpStream;
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Length of a body that is streamed rather than buffered.
const LENGTH: usize = 300_000;
/// The head of a response with a chunked body.
const CHUNKED_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Runs this on the upstream's connection, then closes it.
fn run_action(act: impl Fn(&mut TcpStream) + Send + Sync + 'static) -> UpstreamAction {
    UpstreamAction::Run(Arc::new(act))
}

/// Bytes without repetition, so that lost, repeated or swapped parts show.
fn pseudo_random_bytes(length: usize) -> Vec<u8> {
    (0..length as u32).map(|index| (index.wrapping_mul(2_654_435_761) >> 13) as u8).collect()
}

/// A chunked body with these trailers.
fn encode_chunks(body: &[u8], chunk_size: usize, trailers: &str) -> Vec<u8> {
    let mut text = Vec::new();
    for piece in body.chunks(chunk_size) {
        text.extend(format!("{:x}\r\n", piece.len()).into_bytes());
        text.extend(piece);
        text.extend(b"\r\n");
    }
    text.extend(format!("0\r\n{trailers}\r\n").into_bytes());
    text
}

/// The head of a request with these headers instead of its Content-Length.
fn request_head(class: &str, headers: &str) -> String {
    request_text(class, LONG_BUDGET, "").replace("Content-Length: 0\r\n", headers)
}

#[test]
fn long_responses_arrive_in_every_form() {
    let body = pseudo_random_bytes(LENGTH);
    let with_length = format!("HTTP/1.1 200 OK\r\nContent-Length: {LENGTH}\r\n\r\n").into_bytes();
    let forms = [
        [with_length.clone(), body.clone()].concat(),
        [CHUNKED_HEAD.as_bytes().to_vec(), encode_chunks(&body, 7000, "")].concat(),
        [CHUNKED_HEAD.as_bytes().to_vec(), encode_chunks(&body, 50_000, "X-Sum: 1\r\n")].concat(),
        [b"HTTP/1.1 200 OK\r\n\r\n".to_vec(), body.clone()].concat(),
        [b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n".to_vec(), body.clone()].concat(),
    ];
    for text in forms {
        let upstream = Upstream::start(move |_| {
            let text = text.clone();
            run_action(move |stream| stream.write_all(&text).unwrap())
        });
        let response = start_with_upstream(&upstream).request("post");
        assert_eq!(response.status(), 200);
        assert!(response.body == body, "received {} bytes of {LENGTH}", response.body.len());
    }
}

#[test]
fn a_response_in_tiny_pieces_arrives() {
    let upstream = Upstream::start(|_| {
        run_action(|stream| {
            let text =
                [CHUNKED_HEAD.as_bytes().to_vec(), encode_chunks(&pseudo_random_bytes(1000), 1, "")].concat();
            stream.set_nodelay(true).unwrap();
            text.chunks(3).for_each(|piece| stream.write_all(piece).unwrap());
        })
    });
    assert!(start_with_upstream(&upstream).request("post").body == pseudo_random_bytes(1000));
}

/// A client waits for the first bytes of a long response; the rest may take longer than the client's budget.
#[test]
fn a_long_response_is_streamed_and_not_cut_off_by_the_deadline() {
    let (release, released) = channel::<()>();
    let released = Arc::new(Mutex::new(released));
    let upstream = Upstream::start(move |_| {
        let released = released.clone();
        run_action(move |stream| {
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {LENGTH}\r\n\r\n");
            stream.write_all(head.as_bytes()).unwrap();
            stream.write_all(&pseudo_random_bytes(LENGTH)[..100_000]).unwrap();
            released.lock().unwrap().recv().unwrap();
            stream.write_all(&pseudo_random_bytes(LENGTH)[100_000..]).unwrap();
        })
    });
    let program = start_with_upstream(&upstream);
    let mut client = program.connect();
    let sent_at = Instant::now();
    client.send("post", "0.5", "b");
    let mut received = vec![0; 100_000];
    let mut line = String::new();
    while line != "\r\n" {
        line.clear();
        client.input.read_line(&mut line).unwrap();
    }
    client.input.read_exact(&mut received).unwrap();
    std::thread::sleep(Duration::from_millis(700).saturating_sub(sent_at.elapsed())); // past the budget
    release.send(()).unwrap();
    let mut remaining = vec![0; LENGTH - received.len()];
    client.input.read_exact(&mut remaining).unwrap();
    assert!([received, remaining].concat() == pseudo_random_bytes(LENGTH));
}

/// Guards a client against taking a partial response for a complete one.
#[test]
fn a_long_response_that_breaks_off_is_not_completed() {
    let heads = [format!("HTTP/1.1 200 OK\r\nContent-Length: {LENGTH}\r\n\r\n"), CHUNKED_HEAD.to_owned()];
    for head in heads {
        let upstream = Upstream::start(move |_| {
            let head = head.clone();
            run_action(move |stream| {
                stream.write_all(head.as_bytes()).unwrap();
                let body = pseudo_random_bytes(LENGTH / 2);
                let text = if head == CHUNKED_HEAD { encode_chunks(&body, 9000, "") } else { body };
                stream.write_all(&text[..text.len() - 5]).unwrap();
            })
        });
        let program = start_with_upstream(&upstream);
        let mut client = program.connect();
        client.send("post", LONG_BUDGET, "b");
        assert!(client.read_response().is_none(), "the connection ends before the response does");
        upstream.next_request();
        assert_eq!(upstream.take_request_count(), 0, "no retry after the response has begun");
    }
}

/// An HTTP/1.0 client gets no chunks: only a reset tells it that a response of unknown length broke off.
#[test]
fn a_broken_response_without_a_length_is_reset_for_an_http_1_0_client() {
    for is_complete in [true, false] {
        let upstream = Upstream::start(move |_| {
            run_action(move |stream| {
                let text =
                    [CHUNKED_HEAD.as_bytes().to_vec(), encode_chunks(&pseudo_random_bytes(LENGTH), 9000, "")]
                        .concat();
                stream.write_all(&text[..if is_complete { text.len() } else { LENGTH / 2 }]).unwrap();
            })
        });
        let program = start_with_upstream(&upstream);
        let mut client = program.connect();
        client.write(&request_text("post", LONG_BUDGET, "").replace("HTTP/1.1", "HTTP/1.0"));
        let mut received = Vec::new();
        let end = client.input.read_to_end(&mut received);
        assert_eq!(end.is_ok(), is_complete, "{end:?}");
        assert!(!is_complete || received.ends_with(&pseudo_random_bytes(LENGTH)));
    }
}

/// Guards the memory: 100 clients that do not read leave 800 MB waiting, of which the balancer must buffer hardly any.
#[test]
fn responses_wait_at_their_upstreams_while_clients_do_not_read() {
    let upstream = Upstream::start(|_| {
        run_action(|stream| {
            stream.write_all(CHUNKED_HEAD.as_bytes()).unwrap();
            let text = encode_chunks(&vec![7; 8 << 20], 1 << 16, "");
            stream.write_all(&text).ok(); // fails when the client disconnects
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
    let reader = clients.pop().unwrap().input;
    let mut body_bytes = 0;
    for byte in reader.bytes().map_while(Result::ok).take(2 << 20) {
        body_bytes += usize::from(byte == 7);
    }
    assert!(body_bytes > 1 << 20, "the response arrives once the client reads, but only {body_bytes} bytes");
}

#[test]
fn long_requests_arrive_in_every_form() {
    let body = pseudo_random_bytes(LENGTH);
    let expected_body = body.clone();
    let upstream = Upstream::start(move |message| {
        UpstreamAction::Respond(ok_response(&format!("{}", message.body == expected_body)))
    });
    let program = start_with_upstream(&upstream);
    let length = format!("Content-Length: {LENGTH}\r\n");
    let chunked = "Transfer-Encoding: chunked\r\n";
    let forms = [
        (length.as_str(), body.clone()),
        (chunked, encode_chunks(&body, 1000, "")),
        (chunked, encode_chunks(&body, 100_000, "X-Sum: 1\r\n")),
    ];
    for (headers, text) in forms {
        let mut client = program.connect();
        client.write(&request_head("post", headers));
        let mut output = client.input.get_ref().try_clone().unwrap();
        text.chunks(777).for_each(|piece| output.write_all(piece).unwrap());
        let response = client.read_response().expect("no response");
        assert_eq!((response.status(), &response.body[..]), (200, &b"true"[..]), "{headers}");
        assert_eq!(
            client.request("look", LONG_BUDGET, "").expect("no response to the next request").status(),
            200
        );
    }
}

/// The budget of a request runs from its last byte, however long the request takes to arrive.
#[test]
fn the_budget_of_a_slow_long_request_runs_from_its_last_byte() {
    let upstream =
        Upstream::start(|message| UpstreamAction::Respond(ok_response(&message.body.len().to_string())));
    let program = start_with_upstream(&upstream);
    let mut client = program.connect();
    // The request takes twice its budget, which is long enough for a response by a machine with all cores busy.
    let text = request_text("post", "2", "").replace("Length: 0", &format!("Length: {LENGTH}"));
    let body = pseudo_random_bytes(LENGTH);
    client.write(&text);
    let mut output = client.input.get_ref().try_clone().unwrap();
    for piece in body.chunks(LENGTH / 10) {
        std::thread::sleep(Duration::from_millis(400));
        output.write_all(piece).unwrap();
    }
    let response = client.read_response().expect("no response");
    assert_eq!((response.status(), response.body), (200, LENGTH.to_string().into_bytes()));
}

/// Guards a partly streamed request against a retry that would lack its beginning.
#[test]
fn a_partly_streamed_request_is_not_retried() {
    let upstream = DisconnectingUpstream::start();
    let targets =
        [target("s-0", upstream.address, "in_service"), target("s-1", upstream.address, "in_service")];
    let program = Program::start(&config(refusing_address(), &targets));
    let body = pseudo_random_bytes(4 << 20);
    let mut client = program.connect();
    client.write(&request_head("pay", &format!("Content-Length: {}\r\n", body.len())));
    let mut output = client.input.get_ref().try_clone().unwrap();
    let writer = std::thread::spawn(move || output.write_all(&body).is_ok());
    let response = client.read_response().expect("no response");
    assert!([502, 503].contains(&response.status()), "{}", response.status());
    assert_eq!(upstream.received_lengths.lock().unwrap().len(), 1, "one attempt");
    drop(client);
    writer.join().unwrap();
}

/// Guards a client whose long request no upstream reads any further: its own budget does not run yet.
#[test]
fn an_upstream_that_stops_reading_a_long_request_is_given_up() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let targets = [target("s-0", listener.local_addr().unwrap(), "in_service")];
    let program = Program::start(&config(refusing_address(), &targets));
    // Built before connecting, as a connection without a request is closed after some time.
    let body = pseudo_random_bytes(30 << 20);
    let mut client = program.connect();
    client.write(&request_head("post", &format!("Content-Length: {}\r\n", body.len())));
    let mut output = client.input.get_ref().try_clone().unwrap();
    let writer = std::thread::spawn(move || output.write_all(&body).is_ok());
    let _unread_connection = listener.accept().unwrap();
    assert_eq!(client.read_response().expect("no response").status(), 502);
    drop(client);
    assert!(!writer.join().unwrap(), "the rest of the request was not read");
}

/// An upstream that closes each connection after the first 200 kB of a request and records the bytes read.
struct DisconnectingUpstream {
    address: std::net::SocketAddr,
    received_lengths: Arc<Mutex<Vec<usize>>>,
}

impl DisconnectingUpstream {
    fn start() -> Self {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let (address, received_lengths) = (listener.local_addr().unwrap(), Arc::new(Mutex::new(Vec::new())));
        let thread_lengths = received_lengths.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let mut start_of_request = stream.take(200_000);
                let received = start_of_request.read_to_end(&mut Vec::new());
                thread_lengths.lock().unwrap().push(received.unwrap_or(0));
                drop(start_of_request); // the balancer responds once the connection is closed
            }
        });
        Self { address, received_lengths }
    }
}

#[test]
fn a_client_that_expects_100_continue_gets_it() {
    let upstream =
        Upstream::start(|message| UpstreamAction::Respond(ok_response(&message.body.len().to_string())));
    let program = start_with_upstream(&upstream);
    for length in [5, LENGTH] {
        let mut client = program.connect();
        client.write(&request_head("post", &format!("Expect: 100-continue\r\nContent-Length: {length}\r\n")));
        let mut line = String::new();
        client.input.read_line(&mut line).unwrap();
        assert!(line.starts_with("HTTP/1.1 100"), "{line}");
        client.input.read_line(&mut line).unwrap();
        client.input.get_mut().write_all(&pseudo_random_bytes(length)).unwrap();
        let response = client.read_response().expect("no response");
        assert_eq!((response.status(), response.body), (200, length.to_string().into_bytes()));
    }
}

/// A response to HEAD has a Content-Length but no body.
#[test]
fn a_head_request_gets_no_body() {
    for length in [0, 5, LENGTH] {
        let upstream = Upstream::start(move |message| {
            let body_length = if message.first_line.starts_with("HEAD") { 0 } else { length };
            let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
            UpstreamAction::Respond(text + &"a".repeat(body_length))
        });
        let program = start_with_upstream(&upstream);
        let mut client = program.connect();
        client.write(&request_text("look", LONG_BUDGET, "").replace("GET", "HEAD"));
        let mut lines = Vec::new();
        while lines.last().is_none_or(|line| line != "\r\n") {
            let mut line = String::new();
            assert!(client.input.read_line(&mut line).unwrap() > 0, "{lines:?}");
            lines.push(line);
        }
        assert!(lines[0].contains("200"), "{lines:?}");
        let length_header = format!("content-length: {length}\r\n");
        assert!(lines.iter().any(|line| line.to_lowercase() == length_header), "{lines:?}");
        assert_eq!(
            client.request("look", LONG_BUDGET, "").expect("no response to the next request").body.len(),
            length
        );
    }
}

/// A client may take 2 s for its head, and then be slow with a small body.
#[test]
fn a_slow_head_and_a_slow_body_are_awaited() {
    let upstream =
        Upstream::start(|message| UpstreamAction::Respond(ok_response(&message.body.len().to_string())));
    let program = start_with_upstream(&upstream);
    let mut client = program.connect();
    let text = request_head("post", "Content-Length: 60000\r\n");
    let mut output = client.input.get_ref().try_clone().unwrap();
    for piece in text.as_bytes().chunks(text.len().div_ceil(8)) {
        std::thread::sleep(Duration::from_millis(250));
        output.write_all(piece).unwrap();
    }
    for piece in pseudo_random_bytes(60_000).chunks(6000) {
        std::thread::sleep(Duration::from_millis(90));
        output.write_all(piece).unwrap();
    }
    let response = client.read_response().expect("no response");
    assert_eq!((response.status(), response.body), (200, b"60000".to_vec()));
}

/// Guards a client that is slow with its head against many clients that connect but never complete a request.
#[test]
fn a_slow_head_is_served_among_many_incomplete_clients() {
    let upstream = Upstream::start(|_| UpstreamAction::Respond(ok_response("")));
    let mut config = config(refusing_address(), &in_service(&[&upstream]));
    // Allows 54 client connections, half of them for clients that have not completed a request yet.
    config["limits"]["sockets"] = 128.into();
    let program = Program::start(&config);
    let mut idle_clients: Vec<Client> = (0..24).map(|_| program.connect()).collect();
    for client in &mut idle_clients {
        assert_eq!(client.request("look", LONG_BUDGET, "").expect("served").status(), 200);
    }
    let mut slow_client = program.connect();
    let text = request_text("look", LONG_BUDGET, "");
    let mut output = slow_client.input.get_ref().try_clone().unwrap();
    let mut incomplete_clients = Vec::new();
    for piece in text.as_bytes().chunks(text.len().div_ceil(10)) {
        output.write_all(piece).unwrap();
        for index in 0..12 {
            incomplete_clients.push(program.connect());
            let text = ["", "GET /look HTTP/1.1\r\n", "GET /healthz HTTP/1.1\r\nHost: b\r\n\r\n"];
            incomplete_clients.last_mut().unwrap().write(text[index % 3]);
        }
        std::thread::sleep(Duration::from_millis(50)); // long enough for the pieces to arrive separately
    }
    assert_eq!(slow_client.read_response().expect("no response").status(), 200);
    let served = idle_clients.iter_mut().filter_map(|client| client.request("look", LONG_BUDGET, "")).count();
    assert_eq!(served, 24, "incomplete clients use only their part of the connections");
}
