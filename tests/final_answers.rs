//! A request gets its final response within its budget and half a second, whatever its upstream and other clients do.

mod common;

use common::join_all;
use common::process::*;
use common::streams::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The `X-Budget` of requests that run out of time, in seconds.
const SHORT_BUDGET: &str = "0.8";
/// `SHORT_BUDGET` as a duration.
const SHORT_BUDGET_DURATION: Duration = Duration::from_millis(800);
/// A final response is due within this time of the end of the budget.
const MAX_RESPONSE_DELAY: Duration = Duration::from_millis(500);
/// Length of a body that is streamed rather than buffered.
const LENGTH: usize = 300_000;

/// How a request ended.
struct RequestOutcome {
    /// Time from sending the request to the end of the response or the connection.
    elapsed: Duration,
    /// The response, if it is complete.
    response: Option<Message>,
}

/// Sends one request with a short budget on a new connection.
fn send_short_request(program: &Program) -> RequestOutcome {
    let mut client = program.connect();
    let sent_at = Instant::now();
    let response = client.request("post", SHORT_BUDGET, "b");
    RequestOutcome { elapsed: sent_at.elapsed(), response }
}

/// Guards a client whose upstream stalls for good within its response. The response has to break off in time and so
/// that the client can tell; delays by the machine are not the program's fault.
#[test]
fn a_response_that_stalls_or_trickles_ends_in_time() {
    let filler = |length| vec![b'a'; length];
    let started_body = |head: &str, length| [head.as_bytes(), &filler(length)].concat();
    let pause = Duration::from_millis(100);
    let cases = [
        ("the head stalls", stall_after("HTTP/1.1 200 OK\r\nContent-Le"), Some(502)),
        ("no length, no body", stall_after(HEAD_WITHOUT_LENGTH), None),
        ("no length, stalls", stall_after(started_body(HEAD_WITHOUT_LENGTH, 100)), None),
        ("no length, trickles", trickle_after(started_body(HEAD_WITHOUT_LENGTH, 100), "a", pause), None),
        ("no length, stalls late", stall_after(started_body(HEAD_WITHOUT_LENGTH, 60_000)), None),
        ("stalls in a chunk", stall_after(started_body(&format!("{CHUNKED_HEAD}ffff\r\n"), 100)), None),
        (
            "stalls behind a chunk",
            stall_after([CHUNKED_HEAD.as_bytes(), &chunk(&filler(100))].concat()),
            None,
        ),
        ("chunks trickle", trickle_after(CHUNKED_HEAD, chunk(b"a"), pause), None),
        ("a short body stalls", stall_after(started_body(&head_with_length(200), 100)), Some(502)),
    ];
    let threads = cases.map(|(case, act, status)| {
        std::thread::spawn(move || {
            let upstream = Upstream::start(move |_| act.clone());
            let program = start_with_upstream(&upstream);
            assert_in_time(case, || {
                let RequestOutcome { elapsed, response } = send_short_request(&program);
                upstream.wait_for_close(); // the rest of the response is not read
                let received = response.map(|response| response.status());
                // A busy machine may delay the start of the response so that it never begins.
                assert!(received == status || received == Some(502), "{case}: {received:?}");
                assert!(
                    elapsed >= SHORT_BUDGET_DURATION - Duration::from_millis(50),
                    "{case}: cut off after {elapsed:?}"
                );
                elapsed
            });
        })
    });
    threads.into_iter().for_each(|thread| thread.join().unwrap());
}

/// Guards a client whose upstream stops for good within a long response. What is still given is forwarded, so that the
/// response is broken off only after a long time without enough bytes.
#[test]
fn a_long_response_that_stops_for_good_is_broken_off() {
    const MIN_ELAPSED: Duration = Duration::from_secs(14);
    const MAX_ELAPSED: Duration = Duration::from_secs(20);
    let started_body = |head: &str| [head.as_bytes(), &[b'a'; 100_000]].concat();
    let pause = Duration::from_millis(100);
    let cases = [
        ("no length, stalls", stall_after(started_body(HEAD_WITHOUT_LENGTH))),
        ("stalls", stall_after(started_body(&head_with_length(LENGTH)))),
        ("trickles", trickle_after(started_body(&head_with_length(LENGTH)), "a", pause)),
        (
            "chunks trickle",
            trickle_after([CHUNKED_HEAD.as_bytes(), &chunk(&[b'a'; 100_000])].concat(), chunk(b"a"), pause),
        ),
    ];
    join_all(cases.map(|(case, act)| {
        std::thread::spawn(move || {
            let upstream = Upstream::start(move |_| act.clone());
            let RequestOutcome { elapsed, response } = send_short_request(&start_with_upstream(&upstream));
            assert!(response.is_none(), "{case}");
            assert!((MIN_ELAPSED..MAX_ELAPSED).contains(&elapsed), "{case}: {elapsed:?}");
        })
    }));
}

/// Repeats a request until its final response comes in time. A busy machine delays one now and then, but not for long.
fn assert_in_time(case: &str, mut send_request: impl FnMut() -> Duration) {
    const MAX_TRIES: usize = 5;
    const MAX_ELAPSED: Duration = Duration::from_secs(4);
    let times: Vec<Duration> = (0..MAX_TRIES)
        .map(|_| send_request())
        .take_while(|elapsed| *elapsed >= SHORT_BUDGET_DURATION + MAX_RESPONSE_DELAY)
        .collect();
    assert!(
        times.len() < MAX_TRIES && times.iter().all(|elapsed| *elapsed < MAX_ELAPSED),
        "{case}: {times:?}"
    );
}

/// An HTTP/1.0 client gets no chunks: only a reset tells it that the response broke off.
#[test]
fn a_stalled_response_is_reset_for_an_http_1_0_client() {
    let upstream = Upstream::start(|_| stall_after(format!("{HEAD_WITHOUT_LENGTH}some")));
    let program = start_with_upstream(&upstream);
    let mut client = program.connect();
    client.write(&request_text("post", SHORT_BUDGET, "").replace("HTTP/1.1", "HTTP/1.0"));
    let mut received = Vec::new();
    assert!(client.input.read_to_end(&mut received).is_err(), "{:?}", String::from_utf8_lossy(&received));
}

/// The pieces of a response that takes 3 s: an eightieth every 40 ms.
fn slow_pieces(head: &str, body: &[u8], chunked: bool) -> Vec<Vec<u8>> {
    let mut pieces: Vec<Vec<u8>> = body
        .chunks(body.len().div_ceil(80))
        .map(|piece| if chunked { chunk(piece) } else { piece.to_vec() })
        .collect();
    pieces[0].splice(0..0, head.bytes());
    if chunked {
        pieces.push(b"0\r\n\r\n".to_vec());
    }
    pieces
}

/// Repeats a request until the response is complete. A response that broke off counts only if its upstream wrote in
/// time.
fn assert_complete_response(upstream: &Upstream, body: &[u8], max_delay: &MaxDelay) {
    let program = start_with_upstream(upstream);
    const MAX_TRIES: usize = 20;
    const TOLERATED_DELAY: Duration = Duration::from_millis(100);
    for _ in 0..MAX_TRIES {
        max_delay.reset();
        let RequestOutcome { elapsed, response } = send_short_request(&program);
        match response {
            Some(response) if response.body == body => return,
            Some(response) if response.status() == 502 => continue, // delayed by the machine before it began
            _ => upstream.wait_for_close(), // the delay of its last piece is recorded by now
        }
        let delay = max_delay.max();
        assert!(
            delay > TOLERATED_DELAY,
            "a response that goes on broke off after {elapsed:?}, with a delay of {delay:?}"
        );
    }
    panic!("the machine delayed the upstream in all {MAX_TRIES} tries");
}

/// Guards a long response from a slow upstream: what it still sends past its request's budget must not be cut off.
#[test]
fn a_slow_response_that_goes_on_is_completed() {
    let cases = [
        (head_with_length(100_000), 100_000, false),
        (CHUNKED_HEAD.to_owned(), 100_000, true),
        (HEAD_WITHOUT_LENGTH.to_owned(), 100_000, false),
        (HEAD_WITHOUT_LENGTH.to_owned(), 30_000, false),
    ];
    let threads = cases.map(|(head, length, chunked)| {
        std::thread::spawn(move || {
            let body: Vec<u8> = (0..length).map(|index| index as u8).collect();
            let pieces = slow_pieces(&head, &body, chunked);
            let (max_delay, pause) = (MaxDelay::default(), Duration::from_millis(40));
            let upstream_delay = max_delay.clone();
            let upstream = Upstream::start(move |_| {
                write_paced_recording(pieces.clone(), pause, upstream_delay.clone())
            });
            assert_complete_response(&upstream, &body, &max_delay);
        })
    });
    threads.into_iter().for_each(|thread| thread.join().unwrap());
}

/// A long response that has gone on past its request's budget may pause then.
#[test]
fn a_long_response_may_pause_past_its_budget() {
    let body = vec![b'a'; LENGTH];
    let pieces = slow_pieces(&head_with_length(LENGTH), &body, false);
    let max_delay = MaxDelay::default();
    let upstream_delay = max_delay.clone();
    let upstream = Upstream::start(move |_| {
        let (first, remaining) = (pieces[..40].to_vec(), pieces[40..].concat()); // up to 1.6 s, twice the budget
        let UpstreamAction::Run(write_first) =
            write_paced_recording(first, Duration::from_millis(40), upstream_delay.clone())
        else {
            unreachable!()
        };
        UpstreamAction::Run(Arc::new(move |stream| {
            write_first(stream);
            std::thread::sleep(Duration::from_millis(1400));
            stream.write_all(&remaining).ok();
        }))
    });
    assert_complete_response(&upstream, &body, &max_delay);
}

/// Guards a long response that pauses across the deadline of its request: it was cut off 0.37 s later.
#[test]
fn a_long_response_in_uneven_lumps_arrives_whole() {
    let cases = [(66_000, 135_332), (108_801, 135_332), (90_000, 300_000)];
    let pauses = [900, 1500, 1900, 4000].map(Duration::from_millis);
    let mut threads = Vec::new();
    for (first_length, length) in cases {
        for pause in pauses {
            for is_chunked in [false, true] {
                threads.push(std::thread::spawn(move || {
                    let body = vec![b'a'; length];
                    let (first, rest) = body.split_at(first_length);
                    // The upstream closes its connection, which must not be used for the next request.
                    let closing = |head: &str| head.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n");
                    let pieces = match is_chunked {
                        false => vec![
                            [closing(&head_with_length(length)).as_bytes(), first].concat(),
                            rest.to_vec(),
                        ],
                        true => vec![
                            [closing(CHUNKED_HEAD).as_bytes(), &chunk(first)].concat(),
                            [chunk(rest), b"0\r\n\r\n".to_vec()].concat(),
                        ],
                    };
                    let upstream = Upstream::start(move |_| write_paced(pieces.clone(), pause));
                    let program = start_with_upstream(&upstream);
                    for class in ["look", "post"] {
                        let response = program.connect().request(class, SHORT_BUDGET, "b");
                        let case = format!("{class}: {first_length} of {length} bytes, then {pause:?}");
                        let response = response.unwrap_or_else(|| panic!("{case}: cut off"));
                        assert_eq!((response.status(), response.body.len()), (200, length), "{case}");
                        assert!(response.body == body, "{case}");
                    }
                }));
            }
        }
    }
    join_all(threads);
}

/// Reads the head of a response.
fn read_head(input: &mut impl BufRead) -> String {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        assert!(input.read_line(&mut head).unwrap() > 0, "{head:?}");
    }
    head
}

/// Reads the counters of the admin listener.
fn read_counters(admin: SocketAddr) -> serde_json::Value {
    let mut stream = TcpStream::connect(admin).unwrap();
    stream.write_all(b"GET /control/counters HTTP/1.1\r\nHost: door\r\n\r\n").unwrap();
    let response = Message::read(&mut BufReader::new(stream)).expect("no response");
    serde_json::from_slice(&response.body).unwrap()
}

/// Guards memory, client connections and counters: a response that broke off must leave nothing behind.
#[test]
fn stalled_responses_release_all_resources() {
    const STALLED_RESPONSES: usize = 200; // of 64 KiB each, more than the 8 MB available for bodies
    const CONCURRENT_CLIENTS: usize = 50;
    let upstream = Upstream::start(|message| match message.first_line.contains("/post") {
        true => stall_after(format!("{HEAD_WITHOUT_LENGTH}some")),
        false => UpstreamAction::Respond(ok_response("served")),
    });
    let mut config = config(refusing_address(), &in_service(&[&upstream]));
    config["admin_addr"] = "127.0.0.1:0".into();
    config["limits"]["memory_mb"] = 32.into();
    let mut program = Program::start(&config);
    let admin =
        program.wait_for_log("operators are served").trim().rsplit(' ').next().unwrap().parse().unwrap();
    let body = "b".repeat(60_000); // uses as much memory as one stalled response
    assert_eq!(program.connect().request("pay", LONG_BUDGET, &body).expect("no response").status(), 200);
    let descriptors_before = program.descriptor_count();
    let mut failures = 0;
    while failures < STALLED_RESPONSES {
        let mut clients: Vec<Client> = (0..CONCURRENT_CLIENTS).map(|_| program.connect()).collect();
        clients.iter_mut().for_each(|client| client.send("post", "0.2", "b"));
        for client in &mut clients {
            let status = client.read_response().map(|response| response.status());
            assert!([None, Some(502), Some(503)].contains(&status), "{status:?}");
            failures += usize::from(status != Some(503)); // an open circuit breaker refuses some
        }
        // An open circuit breaker lets a trial request through now and then; other requests would only be refused.
        eventually("the program serves again", || {
            program.connect().request("pay", LONG_BUDGET, &body).expect("no response").status() == 200
        });
    }
    eventually("all descriptors are released", || program.descriptor_count() <= descriptors_before);
    eventually("no request is in flight", || read_counters(admin)["inflight"] == 0);
    eventually("all failures are counted", || read_counters(admin)["calls"]["post"]["failure"] == failures);
}

/// An upstream whose long responses to `post` stall, so that their clients are served until their budgets end.
fn stall_posts() -> Upstream {
    Upstream::start(|message| match message.first_line.contains("/post") {
        true => stall_after([head_with_length(LENGTH).as_bytes(), &[b'a'; 100_000]].concat()),
        false => UpstreamAction::Respond(ok_response("served")),
    })
}

/// Opens a client connection that has requested a long response.
fn request_long_body(program: &Program) -> Client {
    let mut client = program.connect();
    client.send("post", LONG_BUDGET, "b");
    client
}

/// How long a final response takes; `None` if the connection is closed.
fn response_time(program: &Program, class: &str, body: &str) -> Option<Duration> {
    let mut client = program.connect();
    let sent_at = Instant::now();
    let response = client.request(class, SHORT_BUDGET, body)?;
    assert!([200, 502, 503].contains(&response.status()), "{}", response.first_line);
    Some(sent_at.elapsed())
}

/// Guards small requests against others that use up the memory for bodies and never read their responses.
#[test]
fn small_requests_are_answered_in_time_while_bulk_clients_use_up_the_memory() {
    const BULK_CLIENTS: usize = 200; // of 64 KiB each, more than the 8 MB available for bodies
    let upstream = stall_posts();
    let mut config = config(refusing_address(), &in_service(&[&upstream]));
    config["limits"]["memory_mb"] = 32.into();
    let program = Program::start(&config);
    let mut bulk_clients: Vec<Client> = (0..BULK_CLIENTS).map(|_| request_long_body(&program)).collect();
    bulk_clients.iter_mut().for_each(|client| drop(read_head(&mut client.input)));
    let body = "b".repeat(65_500); // does not fit into the memory that the other bodies leave
    for class in ["look", "pay"].repeat(20) {
        assert_in_time(class, || response_time(&program, class, &body).expect("no final response"));
    }
}

/// Guards requests against others that use up all connections with responses that they never read, beside many clients
/// that send nothing, half a head or garbage.
#[test]
fn requests_are_answered_in_time_while_others_use_up_all_connections() {
    const MAX_CONNECTS: usize = 10;
    let upstream = stall_posts();
    let mut config = config(refusing_address(), &in_service(&[&upstream]));
    config["limits"]["sockets"] = 128.into(); // allows 54 client connections
    let program = Program::start_with_descriptor_limit(&config);
    let stalled_clients: Vec<Client> = (0..54).map(|_| request_long_body(&program)).collect();
    eventually("all client connections are in use", || program.client_connections() >= stalled_clients.len());
    let idle_clients: Vec<IdleClients> =
        [String::new, || "GET /look HTT".to_owned(), || "\u{16}\u{3}\u{1}".to_owned()]
            .map(|initial_text: fn() -> String| IdleClients::connect(program.address, 60, initial_text))
            .into();
    for _ in 0..50 {
        // With this many clients a new connection may be closed before its request is read; its client connects again.
        let mut response_times = (0..MAX_CONNECTS).filter_map(|_| response_time(&program, "look", ""));
        assert_in_time("look", || response_times.next().expect("no final response"));
    }
    drop(idle_clients);
    stalled_clients.iter().for_each(|client| drop(client.input.get_ref().shutdown(Shutdown::Both)));
    eventually("the connections are closed", || program.client_connections() < 20);
}
