//! Long requests and responses around the end of the process: none of them is left unfinished when the platform kills
//! the process, and the process does not cut one off by its own end.

mod common;

use common::process::*;
use common::streams::*;
use std::io::Write;
use std::os::fd::AsRawFd;
use std::time::{Duration, Instant};

/// The deadline of all classes.
const DEADLINE: Duration = Duration::from_secs(3);
/// When the platform kills the process, counted from the signal to stop: the deadline and 0.7 s.
const KILL_DELAY: Duration = Duration::from_millis(3700);
/// Counted from the signal to stop: a request that is received now has to have its whole response before the kill.
const LATE: Duration = Duration::from_millis(1000);
/// Length of a body that is streamed rather than buffered.
const LONG_LENGTH: usize = 150_000;
/// A stand-in upstream writes a long response in this many pieces.
const PIECES: usize = 35;
/// Pause between two pieces of a body.
const PIECE_PAUSE: Duration = Duration::from_millis(100);

/// A configuration whose responses take 1.2 s at most, so that requests are served for 2.3 s after the signal to stop.
fn config_with_upstream(upstream: &Upstream) -> serde_json::Value {
    let mut config = config(refusing_address(), &in_service(&[upstream]));
    for class in config["settings"]["Classes"].as_array_mut().unwrap() {
        class["AimNs"] = 1_200_000_000_u64.into();
        class["DeadlineNs"] = u64::try_from(DEADLINE.as_nanos()).unwrap().into();
        class["LateWorth"] = 0.0.into();
    }
    config
}

/// A long response of 3.4 s.
fn long_response() -> UpstreamAction {
    let body = vec![b'a'; LONG_LENGTH];
    let mut pieces: Vec<Vec<u8>> = body.chunks(LONG_LENGTH.div_ceil(PIECES)).map(<[u8]>::to_vec).collect();
    pieces[0].splice(0..0, head_with_length(LONG_LENGTH).into_bytes());
    write_paced(pieces, PIECE_PAUSE)
}

/// An upstream that responds to requests whose id starts with `long` as `late_response` does, and at once to others.
fn upstream_with(late_response: fn() -> UpstreamAction) -> Upstream {
    Upstream::start(move |message| match message.headers["x-call-id"].starts_with("long") {
        true => late_response(),
        false => UpstreamAction::Respond(ok_response("short")),
    })
}

/// Sends a request whose id starts with `long`.
fn send_long(client: &mut Client, class: &str) {
    client.write(&request_text_with_id("long-1", class, "3.0", "body"));
}

/// Sends SIGTERM, and SIGKILL as early as the platform does. Runs `clients` meanwhile, with the time of SIGTERM.
fn stop_as_platform(program: &Program, clients: impl FnOnce(Instant)) {
    let signalled_at = Instant::now();
    program.terminate();
    std::thread::scope(|scope| {
        scope.spawn(|| {
            sleep_until(signalled_at + KILL_DELAY);
            program.kill();
        });
        clients(signalled_at);
    });
}

fn sleep_until(time: Instant) {
    std::thread::sleep(time.saturating_duration_since(Instant::now()));
}

/// Guards clients that send on open connections more than 0.7 s after SIGTERM: a long response, whose end no deadline
/// bounds, was begun for them and cut off by the kill. Short responses are still served.
#[test]
fn a_long_response_to_a_late_request_is_not_cut_off_by_the_kill() {
    std::thread::scope(|scope| {
        for (class, status) in [("look", 503), ("pay", 502), ("post", 502)] {
            for inherited in [false, true] {
                scope.spawn(move || check_late_long_response(class, status, inherited));
            }
        }
    });
}

fn check_late_long_response(class: &str, status: u16, inherited: bool) {
    let upstream = upstream_with(long_response);
    let socket = inherited.then(inheritable_listener);
    let environment: Vec<_> =
        socket.iter().map(|socket| ("LB_LISTEN_FD", socket.as_raw_fd().to_string())).collect();
    let program = Program::start_with(&config_with_upstream(&upstream), &environment);
    let mut client = program.connect();
    assert_eq!(client.request(class, "3.0", "body").expect("served before the signal").status(), 200);
    stop_as_platform(&program, |signalled_at| {
        sleep_until(signalled_at + LATE);
        send_long(&mut client, class);
        let response = client.read_response();
        let response = response.unwrap_or_else(|| panic!("{class}, inherited: {inherited}: cut off"));
        assert_eq!(response.status(), status, "{class}, inherited: {inherited}");
        if !inherited {
            let response = client.request(class, "3.0", "body").expect("the connection stays open");
            assert_eq!(response.status(), 200, "{class}");
        }
    });
}

/// Guards clients where long responses are frequent: their late requests would fail, while another balancer may serve
/// them. Their connections are closed between requests at the end of the 0.7 s.
#[test]
fn connections_are_closed_early_where_long_responses_are_frequent() {
    let upstream = upstream_with(long_response);
    let program = Program::start(&config_with_upstream(&upstream));
    let mut client = program.connect();
    send_long(&mut client, "look");
    assert_eq!(client.read_response().expect("served before the signal").status(), 200);
    stop_as_platform(&program, |signalled_at| {
        assert!(client.read_response().is_none(), "the connection is closed between requests");
        assert!(signalled_at.elapsed() < KILL_DELAY / 2, "closed after {:?}", signalled_at.elapsed());
    });
}

/// Guards late requests against a refusal only because the length of their response is not known.
#[test]
fn a_short_response_without_a_length_to_a_late_request_is_served() {
    let chunked_response = || {
        let last_piece = [chunk(b"the end"), chunk(b"")].concat();
        write_paced(vec![CHUNKED_HEAD.into(), chunk(b"a start, and "), last_piece], PIECE_PAUSE)
    };
    let upstream = upstream_with(chunked_response);
    let program = Program::start(&config_with_upstream(&upstream));
    let mut client = program.connect();
    assert_eq!(client.request("look", "3.0", "").expect("served before the signal").status(), 200);
    stop_as_platform(&program, |signalled_at| {
        sleep_until(signalled_at + LATE);
        send_long(&mut client, "look");
        let response = client.read_response().expect("no response");
        assert_eq!((response.status(), &response.body[..]), (200, &b"a start, and the end"[..]));
    });
}

/// Guards clients that are still sending a long request near the kill: it was read to its last byte and got no
/// response. It is rejected before that, and no upstream receives all of it.
#[test]
fn a_long_request_that_is_still_being_received_near_the_kill_is_rejected() {
    const SENT_BEFORE_THE_SIGNAL: usize = 100_000;
    let upstream = Upstream::start(|_| UpstreamAction::NeverRespond);
    let program = Program::start(&config_with_upstream(&upstream));
    let mut client = program.connect();
    let request = request_text("post", "3.0", &"b".repeat(500_000));
    client.write(&request[..SENT_BEFORE_THE_SIGNAL]);
    stop_as_platform(&program, |signalled_at| {
        let mut output = client.input.get_ref().try_clone().unwrap();
        let writer = std::thread::spawn(move || {
            for piece in request.as_bytes()[SENT_BEFORE_THE_SIGNAL..].chunks(10_000) {
                std::thread::sleep(PIECE_PAUSE);
                if output.write_all(piece).is_err() {
                    return; // the program has closed the connection
                }
            }
        });
        let response = client.read_response().expect("no response before the kill");
        assert_eq!(response.status(), 503);
        assert!(signalled_at.elapsed() < KILL_DELAY);
        writer.join().unwrap();
    });
    assert_eq!(upstream.take_request_count(), 0, "the upstream has received the whole request");
}

/// Guards long responses against the end of the process where the platform kills it later: they were cut off once the
/// longest deadline had passed.
#[test]
fn the_process_ends_only_after_the_responses_that_it_streams() {
    const LENGTH: usize = 600_000;
    let upstream = Upstream::start(|_| {
        let pieces =
            [vec![head_with_length(LENGTH).into_bytes()], vec![vec![b'a'; LENGTH / 60]; 60]].concat();
        write_paced(pieces, PIECE_PAUSE)
    });
    let mut config = config_with_upstream(&upstream);
    for class in config["settings"]["Classes"].as_array_mut().unwrap() {
        class["DeadlineNs"] = 400_000_000_u64.into();
    }
    let program = Program::start(&config);
    let mut client = program.connect();
    client.send("post", "0.4", "body");
    client.input.get_mut().peek(&mut [0]).expect("the response does not begin");
    program.terminate();
    let response = client.read_response().expect("cut off");
    assert_eq!((response.status(), response.body.len()), (200, LENGTH));
    assert!(client.read_response().is_none(), "the connection is closed");
    let (status, log) = program.wait_for_exit();
    assert!(status.success(), "{log}");
}
