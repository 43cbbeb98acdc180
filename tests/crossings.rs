//! Races between events on different sockets. Each is forced: the test blocks one peer at a step and lets it go on at
//! the other event. docs/design.md lists them.

mod common;

use common::process::*;
use std::io::Read;
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A configuration with discovery in this mode, polled (`ask`) or pushed (`push`).
fn config_with_discovery(mode: &str, discovery: &ManualPeer, known: &[String]) -> serde_json::Value {
    let mut config = config(discovery.address, known);
    config["settings"]["Discovery"] = mode.into();
    config["settings"]["Safety"]["AskWithinNs"] = 10_000_000_000_u64.into();
    config
}

/// Guards the drain rule: a change that a silent watch misses counts as notified 6 s after the watch fell silent, or
/// 2 s after its `wait_ms` if that is later. The balancer has to open another watch before then.
#[test]
fn a_silent_watch_is_replaced_in_time() {
    let list_text = list_response(2, true, &[]);
    for mode in ["push", "ask"] {
        for written_bytes in [0, "HTTP/1.1 200".len(), list_text.len() / 2] {
            let (old, new) = (
                Upstream::start(|_| UpstreamAction::Respond(ok_response("old"))),
                Upstream::start(|_| UpstreamAction::Respond(ok_response("new"))),
            );
            let discovery = ManualPeer::open();
            let program = Program::start(&config_with_discovery(mode, &discovery, &in_service(&[&old])));
            let mut watch = discovery.accept();
            let mut request = watch.read().first_line;
            if request.contains("wait_ms=0 ") {
                watch.write(&list_response(1, false, &[])); // no change was missed before
                request = watch.read().first_line;
            }
            let wait = request.split("wait_ms=").nth(1).and_then(|wait| wait.split(' ').next()).unwrap();
            let silent_since = Instant::now();
            watch.write(&list_text[..written_bytes]);
            let mut next_watch = discovery.accept();
            assert!(
                next_watch.read().first_line.contains("after=1&"),
                "asks for the changes after revision 1"
            );
            let notification_limit =
                Duration::from_secs(6).max(Duration::from_millis(wait.parse().unwrap()) + 2 * SECOND);
            assert!(
                silent_since.elapsed() + SECOND < notification_limit,
                "{mode}, {written_bytes} bytes: after {:?}",
                silent_since.elapsed()
            );
            next_watch.write(&list_response(2, true, &[target("s-new", new.address, "in_service")]));
            next_watch.read(); // the list has been applied
            assert_eq!(program.request("post").body, b"new", "{mode}, {written_bytes} bytes");
            assert_eq!(old.take_request_count(), 0);
        }
    }
}

const SECOND: Duration = Duration::from_secs(1);

/// Guards the drain rule at a start: whatever the discovery agent has counts as notified from the first moment.
#[test]
fn the_first_request_waits_for_the_first_list() {
    let (old, new) = (
        Upstream::start(|_| UpstreamAction::Respond(ok_response("old"))),
        Upstream::start(|_| UpstreamAction::Respond(ok_response("new"))),
    );
    let discovery = ManualPeer::open();
    let program = Program::start(&config_with_discovery("push", &discovery, &in_service(&[&old])));
    let mut agent = discovery.accept();
    agent.read();
    let mut client = program.connect();
    client.send("post", LONG_BUDGET, "b"); // while the agent's response is still held back
    agent.write(&list_response(
        2,
        false,
        &[target("s-0", old.address, "terminating"), target("s-1", new.address, "in_service")],
    ));
    assert_eq!(client.read_response().expect("no response").body, b"new");
    assert_eq!(old.take_request_count(), 0);
}

/// A discovery agent that is down sends no response; the balancer then serves with the known list.
#[test]
fn a_silent_agent_does_not_keep_a_balancer_from_serving() {
    let upstream = Upstream::start(|_| UpstreamAction::Respond(ok_response("known")));
    let discovery = ManualPeer::open();
    let program = Program::start(&config_with_discovery("push", &discovery, &in_service(&[&upstream])));
    discovery.accept().read();
    assert_eq!(program.request("post").body, b"known");
}

// ---- A connection that is not established in time ----

/// A configuration with a single upstream at this address, where attempts may or may not be cancelled.
fn config_with_upstream_at(
    address: std::net::SocketAddr,
    discovery: std::net::SocketAddr,
    may_cancel: bool,
) -> serde_json::Value {
    let mut config = config(discovery, &[target("s-0", address, "in_service")]);
    config["settings"]["Limits"]["Cancelling"] = may_cancel.into();
    config
}

/// Guards the drain rule: a request must not be written to an upstream that began to drain while the connection to it
/// was being established.
#[test]
fn a_request_that_waits_for_a_connection_is_moved_off_a_draining_upstream() {
    for is_removed in [false, true] {
        let (blocked, new) =
            (BlockedListener::open(), Upstream::start(|_| UpstreamAction::Respond(ok_response("new"))));
        let discovery = Discovery::start();
        let program = Program::start(&config_with_upstream_at(blocked.address, discovery.address, true));
        let mut client = program.connect();
        client.send("post", LONG_BUDGET, "b");
        blocked.wait_for_pending(1);
        let mut list = vec![target("s-1", new.address, "in_service")];
        list.extend((!is_removed).then(|| target("s-0", blocked.address, "terminating")));
        discovery.publish(&list);
        let old = blocked.accept_connections(|_| UpstreamAction::Respond(ok_response("old")));
        assert_eq!(
            client.read_response().expect("no response").body,
            b"new",
            "removed from the list: {is_removed}"
        );
        assert_eq!(old.take_request_count(), 0);
    }
}

/// Guards the rule on duplicates: a retry that waits for its connection must not be written after the upstreams have
/// forgotten its idempotency key.
#[test]
fn a_retry_that_waits_for_a_connection_past_its_deduplication_window_is_not_sent() {
    let window = 3 * SECOND;
    let (release, released) = channel::<()>();
    let released = Mutex::new(released);
    let failing = Upstream::start(move |_| {
        released.lock().unwrap().recv().ok();
        UpstreamAction::Respond("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n".into())
    });
    let (blocked, discovery) = (BlockedListener::open(), Discovery::start());
    let mut config = config_with_upstream_at(failing.address, discovery.address, true);
    config["settings"]["Classes"][1]["WindowNs"] = (window.as_nanos() as u64).into();
    let program = Program::start(&config);
    let mut client = program.connect();
    client.send("pay", LONG_BUDGET, "b");
    let sent_at = Instant::now();
    failing.next_request();
    discovery.publish(&[
        target("s-0", failing.address, "in_service"),
        target("s-1", blocked.address, "in_service"),
    ]);
    release.send(()).unwrap();
    blocked.wait_for_pending(1); // the retry has no connection yet
    eventually("the deduplication window is over", || sent_at.elapsed() > window);
    let upstream = blocked.accept_connections(|_| UpstreamAction::Respond(ok_response("")));
    assert_eq!(client.read_response().expect("no response").status(), 502);
    assert_eq!(upstream.take_request_count(), 0);
}

/// Guards upstreams against work whose client has disconnected, also where attempts in flight must not be cancelled.
#[test]
fn a_request_whose_client_disconnects_during_a_connect_is_not_sent_on() {
    for may_cancel in [true, false] {
        for disconnect_mode in DISCONNECT_MODES {
            let blocked = BlockedListener::open();
            let program =
                Program::start(&config_with_upstream_at(blocked.address, refusing_address(), may_cancel));
            let mut client = program.connect();
            client.send("post", LONG_BUDGET, "b");
            blocked.wait_for_pending(1);
            client.disconnect(disconnect_mode);
            blocked.wait_until_none_pending();
            // The upstream must receive the later request only.
            let upstream = blocked.accept_connections(|_| UpstreamAction::Respond(ok_response("")));
            assert_eq!(
                program.connect().request("post", LONG_BUDGET, "later").unwrap().status(),
                200,
                "{disconnect_mode:?}"
            );
            assert_eq!(
                upstream.next_request().body,
                b"later",
                "{disconnect_mode:?}, may cancel: {may_cancel}"
            );
        }
    }
}

/// Guards upstreams against work whose client has disconnected, for a body too long to be buffered: nobody reads its
/// rest during the connect, so the end of the client's connection lies unread behind it.
#[test]
fn a_request_whose_client_disconnects_within_a_long_body_during_a_connect_is_not_sent_on() {
    let body = "b".repeat(100_000);
    let check_disconnect = |missing_bytes: usize, disconnect_mode: DisconnectMode, may_cancel: bool| {
        let blocked = BlockedListener::open();
        let mut config = config_with_upstream_at(blocked.address, refusing_address(), may_cancel);
        // Long enough that the connect does not end by its timeout.
        config["settings"]["Limits"]["ConnectTimeoutNs"] = 120_000_000_000_u64.into();
        let program = Program::start(&config);
        let mut client = program.connect();
        let complete_request = request_text("post", LONG_BUDGET, &body);
        client.write(&complete_request[..complete_request.len() - missing_bytes]);
        blocked.wait_for_pending(1);
        client.disconnect(disconnect_mode);
        blocked.wait_until_none_pending();
        let upstream = blocked.accept_connections(|_| UpstreamAction::Respond(ok_response("")));
        assert_eq!(
            program.connect().request("post", LONG_BUDGET, "later").unwrap().status(),
            200,
            "{disconnect_mode:?}"
        );
        let first = upstream.next_request().body;
        assert_eq!(
            first, b"later",
            "{disconnect_mode:?}, {missing_bytes} bytes short, may cancel: {may_cancel}"
        );
    };
    let check_disconnect = &check_disconnect;
    std::thread::scope(|scope| {
        for may_cancel in [true, false] {
            let with_missing_bytes =
                [DisconnectMode::Fin, DisconnectMode::Rst, DisconnectMode::FinAfterBytes(3)]
                    .map(|disconnect_mode| (5, disconnect_mode));
            for (missing_bytes, disconnect_mode) in with_missing_bytes
                .into_iter()
                .chain(DISCONNECT_MODES.map(|disconnect_mode| (0, disconnect_mode)))
            {
                scope.spawn(move || check_disconnect(missing_bytes, disconnect_mode, may_cancel));
            }
        }
    });
}

/// No attempt may begin later than this after its client has disconnected.
const DISCONNECT_GRACE: Duration = Duration::from_millis(100);

/// Guards upstreams against work whose client has disconnected where the balancer, after a pause, finds the established
/// connection and the client's disconnect in the same poll of its sockets, the connection first.
#[test]
fn a_request_whose_client_disconnects_as_its_connection_comes_up_is_not_sent_on() {
    let check_disconnect =
        |body: &str, missing_bytes: usize, disconnect_mode: DisconnectMode, may_cancel: bool| {
            let blocked = BlockedListener::open();
            let mut config = config_with_upstream_at(blocked.address, refusing_address(), may_cancel);
            // Long enough that the connect does not end by its timeout.
            config["settings"]["Limits"]["ConnectTimeoutNs"] = 120_000_000_000_u64.into();
            let program = Program::start(&config);
            let mut client = program.connect();
            let complete_request = request_text("post", LONG_BUDGET, body);
            client.write(&complete_request[..complete_request.len() - missing_bytes]);
            blocked.wait_for_pending(1);
            program.pause();
            let upstream = blocked.accept_connections(|_| UpstreamAction::Respond(ok_response("")));
            eventually("the connection is established", || pending_connections(upstream.address) == 0);
            client.disconnect(disconnect_mode);
            program.wait_until_clients_disconnected();
            std::thread::sleep(2 * DISCONNECT_GRACE);
            program.resume();
            assert_eq!(
                program.connect().request("post", LONG_BUDGET, "later").unwrap().status(),
                200,
                "{disconnect_mode:?}"
            );
            let first = upstream.next_request().body;
            let case = format!(
                "{disconnect_mode:?}, {missing_bytes} bytes short of {}, may cancel: {may_cancel}",
                body.len()
            );
            assert!(first == b"later", "{case}: received {} bytes", first.len());
            assert_eq!(upstream.take_request_count(), 0, "{case}");
        };
    let (check_disconnect, short, long) = (&check_disconnect, "b", &"b".repeat(100_000));
    std::thread::scope(|scope| {
        for may_cancel in [true, false] {
            for disconnect_mode in DISCONNECT_MODES {
                scope.spawn(move || check_disconnect(short, 0, disconnect_mode, may_cancel));
                scope.spawn(move || check_disconnect(long, 0, disconnect_mode, may_cancel));
            }
            for disconnect_mode in
                [DisconnectMode::Fin, DisconnectMode::Rst, DisconnectMode::FinAfterBytes(3)]
            {
                scope.spawn(move || check_disconnect(long, 5, disconnect_mode, may_cancel));
            }
        }
    });
}

/// Guards the client's right to retry: an attempt whose connection was never established was never sent, so the
/// response must say that the request may be repeated.
#[test]
fn a_request_that_times_out_during_a_connect_is_refused_not_failed() {
    let blocked = BlockedListener::open();
    let program = Program::start(&config_with_upstream_at(blocked.address, refusing_address(), true));
    let response = program.connect().request("post", "0.3", "b").expect("no response");
    assert_eq!(response.status(), 503);
}

// ---- Clients that disconnect while their request waits elsewhere ----

/// A rejected request is retried at once, but not after its client has disconnected.
#[test]
fn a_request_whose_client_disconnects_before_a_retry_is_not_sent_again() {
    for disconnect_mode in DISCONNECT_MODES {
        let upstream = ManualPeer::open();
        let program = Program::start(&config_with_upstream_at(upstream.address, refusing_address(), false));
        let mut client = program.connect();
        client.send("post", LONG_BUDGET, "first");
        let mut connection = upstream.accept();
        assert_eq!(connection.read().body, b"first");
        disconnect_and_wait(&program, client, disconnect_mode);
        connection.write(&rejected_response());
        let mut later_client = program.connect();
        later_client.send("post", LONG_BUDGET, "later");
        assert_eq!(connection.read().body, b"later", "{disconnect_mode:?}");
        connection.write(&ok_response(""));
        assert_eq!(later_client.read_response().expect("no response").status(), 200);
    }
}

/// The same where the balancer, after a pause, finds the rejection and the client's disconnect in the same poll.
#[test]
fn a_request_whose_client_disconnects_as_it_is_rejected_is_not_sent_again() {
    for may_cancel in [true, false] {
        for disconnect_mode in DISCONNECT_MODES {
            let upstream = ManualPeer::open();
            let program =
                Program::start(&config_with_upstream_at(upstream.address, refusing_address(), may_cancel));
            let mut client = program.connect();
            client.send("post", LONG_BUDGET, "first");
            let mut connection = upstream.accept();
            assert_eq!(connection.read().body, b"first");
            program.pause();
            connection.write(&rejected_response());
            client.disconnect(disconnect_mode);
            program.wait_until_clients_disconnected();
            std::thread::sleep(2 * DISCONNECT_GRACE);
            program.resume();
            let mut later_client = program.connect();
            later_client.send("post", LONG_BUDGET, "later");
            let first = connection.try_read().unwrap_or_else(|| {
                connection = upstream.accept();
                connection.read()
            });
            assert_eq!(first.body, b"later", "{disconnect_mode:?}, may cancel: {may_cancel}");
            connection.write(&ok_response(""));
            assert_eq!(later_client.read_response().expect("no response").status(), 200);
        }
    }
}

/// Guards the upstream's circuit breaker: a request body that breaks off is the client's fault.
#[test]
fn clients_that_break_off_within_a_long_body_do_not_count_as_upstream_failures() {
    for may_cancel in [true, false] {
        let upstream = ManualPeer::open();
        let program =
            Program::start(&config_with_upstream_at(upstream.address, refusing_address(), may_cancel));
        for _ in 0..10 {
            for disconnect_mode in
                [DisconnectMode::Fin, DisconnectMode::Rst, DisconnectMode::FinAfterBytes(3)]
            {
                let mut client = program.connect();
                let complete_request = request_text("post", LONG_BUDGET, &"b".repeat(200_000));
                client.write(&complete_request[..complete_request.len() - 5]);
                let mut connection = upstream.accept();
                connection.input.read_exact(&mut vec![0; 190_000]).unwrap(); // well beyond what is buffered
                client.disconnect(disconnect_mode);
                assert!(connection.try_read().is_none(), "the upstream's request breaks off as well");
            }
        }
        let mut later_client = program.connect();
        later_client.send("post", LONG_BUDGET, "later");
        let mut connection = upstream.accept();
        assert_eq!(connection.read().body, b"later");
        connection.write(&ok_response(""));
        assert_eq!(later_client.read_response().expect("no response").status(), 200);
        program.terminate();
        let (_, log) = program.wait_for_exit();
        assert!(!log.contains("breaker"), "may cancel: {may_cancel}: {log}");
    }
}

/// Disconnects a client and waits until the program has closed its side in response.
fn disconnect_and_wait(program: &Program, client: Client, disconnect_mode: DisconnectMode) {
    let connections_before = program.client_connections();
    client.disconnect(disconnect_mode);
    eventually("the program has closed the client's connection", || {
        program.client_connections() < connections_before
    });
}

/// Guards against requests that a balancer finds after a pause although their clients have already disconnected.
#[test]
fn requests_of_clients_that_disconnected_in_the_backlog_are_not_sent_on() {
    let upstream = Upstream::start(|_| UpstreamAction::Respond(ok_response("")));
    let program = Program::start(&config_with_upstream_at(upstream.address, refusing_address(), false));
    assert_eq!(program.request("post").status(), 200);
    upstream.next_request();
    program.pause();
    for disconnect_mode in DISCONNECT_MODES {
        let mut client = program.connect();
        client.send("post", LONG_BUDGET, "left");
        client.disconnect(disconnect_mode);
    }
    let mut later_client = program.connect();
    later_client.send("post", LONG_BUDGET, "later");
    program.resume();
    assert_eq!(later_client.read_response().expect("no response").status(), 200);
    assert_eq!(upstream.next_request().body, b"later");
    assert_eq!(upstream.take_request_count(), 0);
}

/// Guards against forwarding a request whose body was cut off.
#[test]
fn a_request_whose_client_disconnects_within_its_body_is_not_sent_on() {
    let upstream = Upstream::start(|_| UpstreamAction::Respond(ok_response("")));
    let program = Program::start(&config_with_upstream_at(upstream.address, refusing_address(), false));
    for size in [10, 60 << 10] {
        for disconnect_mode in [DisconnectMode::Fin, DisconnectMode::Rst, DisconnectMode::FinAfterBytes(3)] {
            let mut client = program.connect();
            let complete_request = request_text("post", LONG_BUDGET, &"b".repeat(size));
            client.write(&complete_request[..complete_request.len() - 5]);
            disconnect_and_wait(&program, client, disconnect_mode);
        }
    }
    assert_eq!(program.connect().request("post", LONG_BUDGET, "later").unwrap().status(), 200);
    assert_eq!(upstream.next_request().body, b"later");
}

// ---- The signal to stop ----

/// Connections are closed at most 0.7 s after the signal to stop; the process may be killed 1.1 s after it.
fn config_with_short_deadlines(upstream: std::net::SocketAddr) -> serde_json::Value {
    let mut config = config_with_upstream_at(upstream, refusing_address(), true);
    for class in config["settings"]["Classes"].as_array_mut().unwrap() {
        class["AimNs"] = 300_000_000_u64.into();
        class["DeadlineNs"] = 400_000_000_u64.into();
        class["LateWorth"] = 0.0.into();
    }
    config
}

/// Guards requests that are half read when connections are closed: each gets a final response with `Connection: close`.
/// One that is completed too late to be served before the process is killed is refused.
#[test]
fn a_request_half_read_when_connections_are_closed_gets_its_answer() {
    let upstream = Upstream::start(|_| UpstreamAction::Respond(ok_response("")));
    for (split, part) in [(7, "its head"), (request_text("pay", "0.4", "a body").len() - 3, "its body")] {
        let program = Program::start(&config_with_short_deadlines(upstream.address));
        let (mut idle, mut half_read) = (program.connect(), program.connect());
        assert_eq!(idle.request("look", "0.4", "").unwrap().status(), 200);
        assert_eq!(half_read.request("look", "0.4", "").unwrap().status(), 200);
        let complete_request = request_text("pay", "0.4", "a body");
        half_read.write(&complete_request[..split]);
        program.terminate();
        assert!(idle.read_response().is_none(), "idle connections are closed");
        std::thread::sleep(SECOND); // beyond the time in which requests are still served
        upstream.take_request_count();
        half_read.write(&complete_request[split..]);
        let response = half_read
            .read_response()
            .unwrap_or_else(|| panic!("no response to a request half read in {part}"));
        assert_eq!((response.status(), &response.headers["connection"][..]), (503, "close"));
        assert!(half_read.read_response().is_none());
        assert_eq!(upstream.take_request_count(), 0);
        assert!(program.wait_for_exit().0.success());
    }
}

/// Guards against closing a connection whose request the runtime has not reported yet.
#[test]
fn requests_in_the_backlog_at_the_signal_are_answered() {
    let upstream = Upstream::start(|_| UpstreamAction::Respond(ok_response("")));
    let program = Program::start(&config_with_short_deadlines(upstream.address));
    let mut idle_client = program.connect();
    assert_eq!(idle_client.request("look", "0.4", "").unwrap().status(), 200);
    program.pause();
    program.terminate();
    let mut waiting_clients: Vec<Client> = (0..50).map(|_| program.connect()).collect();
    waiting_clients.push(idle_client);
    waiting_clients.iter_mut().for_each(|client| client.send("look", "60", ""));
    std::thread::sleep(SECOND); // longer than clients are served after the signal
    program.resume();
    for client in &mut waiting_clients {
        assert!([200, 503].contains(&client.read_response().expect("no final response").status()));
    }
    assert!(program.wait_for_exit().0.success());
}

/// Guards the endpoint list during the last requests: discovery may move while they are served, and a second signal to
/// stop changes nothing.
#[test]
fn applies_sighup_after_the_signal_to_stop() {
    let (old, new) = (
        Upstream::start(|_| UpstreamAction::Respond(ok_response("old"))),
        Upstream::start(|_| UpstreamAction::Respond(ok_response("new"))),
    );
    let (first, second) = (Discovery::start(), Discovery::start());
    let mut settings = config(first.address, &in_service(&[&old]));
    for class in settings["settings"]["Classes"].as_array_mut().unwrap() {
        class["AimNs"] = 100_000_000_u64.into();
        class["DeadlineNs"] = 60_000_000_000_u64.into();
        class["LateWorth"] = 0.0.into();
    }
    let program = Program::start(&settings);
    first.publish(&in_service(&[&old]));
    let mut client = program.connect();
    assert_eq!(client.request("look", LONG_BUDGET, "").unwrap().body, b"old");
    program.terminate();
    settings["discovery"] = second.address.to_string().into();
    second.set_targets(&[target("s-new", new.address, "in_service")]);
    program.reload(&settings.to_string());
    program.terminate();
    second.wait_until_watched();
    assert_eq!(client.request("look", LONG_BUDGET, "").unwrap().body, b"new");
    assert!(client.read_response().is_none());
    assert!(program.wait_for_exit().0.success());
}

// ---- Connections to upstreams ----

/// Guards the descriptor limit: a connection that is being established uses a descriptor like any other.
#[test]
fn connections_being_established_count_as_open() {
    let blocked = BlockedListener::open();
    let mut config = config_with_upstream_at(blocked.address, refusing_address(), true);
    config["limits"]["sockets"] = 150.into(); // 50 upstream connections and 68 client connections
    let program = Program::start(&config);
    let mut clients: Vec<Client> = (0..60).map(|_| program.connect()).collect();
    clients[..50].iter_mut().for_each(|client| client.send("post", LONG_BUDGET, "b"));
    blocked.wait_for_pending(50);
    for client in &mut clients[50..] {
        let response = client.request("post", LONG_BUDGET, "b").expect("no response");
        assert_eq!(response.status(), 503, "no upstream connection is available");
    }
    clients.drain(..10).for_each(|client| client.disconnect(DisconnectMode::Rst));
    blocked.wait_for_pending(40);
    let mut later_clients: Vec<Client> = (0..10).map(|_| program.connect()).collect();
    later_clients.iter_mut().for_each(|client| client.send("post", LONG_BUDGET, "b"));
    blocked.wait_for_pending(50); // the connections of the disconnected clients are available again
}

// ---- Discovery that fails, moves or does not respond ----

/// Seeds that lead to different backoff times.
const SEEDS: [&str; 4] = ["8c1f30d27a5be964", "1", "2", "3"];
/// A change counts as notified this long after discovery had it and could be reached.
const NOTIFICATION_LIMIT: Duration = Duration::from_secs(6);
/// The same after a SIGHUP.
const NOTIFICATION_LIMIT_AFTER_SIGHUP: Duration = Duration::from_secs(4);

/// How discovery fails a request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum DiscoveryFailure {
    /// Closes the connection at once.
    Close,
    /// Responds with a 503.
    ErrorResponse,
    /// Sends nothing until the balancer gives the request up.
    NoResponse,
}

impl DiscoveryFailure {
    const ALL: [Self; 3] = [Self::Close, Self::ErrorResponse, Self::NoResponse];

    /// Accepts the next request and fails it.
    fn fail_next(self, discovery: &ManualPeer) {
        let mut connection = discovery.accept();
        connection.try_read();
        match self {
            // Dropping the connection is not enough: a program that another test is just spawning may hold a copy.
            Self::Close => connection.close(),
            Self::ErrorResponse => {
                connection.try_write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
            }
            Self::NoResponse => assert!(connection.is_closed_by_peer(), "the request is given up"),
        }
    }
}

/// Guards the waits of this file: a signal that interrupts a read, such as the SIGCHLD of a child process of another
/// test, says nothing about the peer.
#[test]
fn a_wait_for_the_end_of_a_connection_goes_on_after_a_signal() {
    /// Is interrupted once, then reads the remaining bytes.
    struct InterruptedOnce<'a> {
        was_interrupted: bool,
        remaining: &'a [u8],
    }

    impl Read for InterruptedOnce<'_> {
        fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
            if !std::mem::replace(&mut self.was_interrupted, true) {
                return Err(std::io::ErrorKind::Interrupted.into());
            }
            self.remaining.read(buffer)
        }
    }

    assert!(
        reads_eof(&mut InterruptedOnce { was_interrupted: false, remaining: b"" }),
        "closed after a signal"
    );
    assert!(!reads_eof(&mut InterruptedOnce { was_interrupted: false, remaining: b"a byte" }), "still open");
}

/// Serves a list of this upstream alone until the balancer has applied it and watches for the next one; returns the
/// request that was served. On a busy machine a response may come after the balancer gave its request up: then the next
/// request is served.
fn serve_list(discovery: &ManualPeer, revision: u64, upstream: &Upstream) -> Message {
    loop {
        let mut connection = discovery.accept();
        let Some(request) = connection.try_read() else { continue };
        let received_at = Instant::now();
        connection.try_write(&list_response(
            revision,
            true,
            &[target("s-new", upstream.address, "in_service")],
        ));
        let written = received_at.elapsed();
        if connection.try_read().is_some() {
            return request;
        }
        eprintln!(
            "list not applied: {}, written after {written:?}, connection ended after {:?}",
            request.first_line,
            received_at.elapsed()
        );
    }
}

/// Guards the drain rule: whatever failed before, and however often, a list must be applied in time once discovery
/// responds. The worst moment for its recovery is just after a request that it leaves unanswered, followed by a
/// failure.
#[test]
fn a_list_is_applied_in_time_after_discovery_failed() {
    for mode in ["push", "ask"] {
        for failure in DiscoveryFailure::ALL {
            let (old, new) = (
                Upstream::start(|_| UpstreamAction::Respond(ok_response("old"))),
                Upstream::start(|_| UpstreamAction::Respond(ok_response("new"))),
            );
            let discovery = ManualPeer::open();
            let program = Program::start(&config_with_discovery(mode, &discovery, &in_service(&[&old])));
            (0..5).for_each(|_| failure.fail_next(&discovery));
            let mut unanswered = discovery.accept();
            unanswered.read();
            let restored = Instant::now(); // discovery has the change and responds from the next request on
            assert!(unanswered.is_closed_by_peer(), "the request is given up");
            DiscoveryFailure::ErrorResponse.fail_next(&discovery);
            serve_list(&discovery, 2, &new);
            assert!(
                restored.elapsed() < NOTIFICATION_LIMIT,
                "{mode}, {failure:?}: applied after {:?}",
                restored.elapsed()
            );
            assert_eq!(program.request("post").body, b"new", "{mode}, {failure:?}");
            assert_eq!(old.take_request_count(), 0);
        }
    }
}

/// The same where discovery's machine is lost: connections to it stay pending until it is back.
#[test]
fn a_list_is_applied_in_time_after_connections_to_discovery_hung() {
    for (mode, seed) in [("push", SEEDS[0]), ("ask", SEEDS[0]), ("ask", SEEDS[1]), ("ask", SEEDS[2])] {
        let (old, new) = (
            Upstream::start(|_| UpstreamAction::Respond(ok_response("old"))),
            Upstream::start(|_| UpstreamAction::Respond(ok_response("new"))),
        );
        let blocked = BlockedListener::open();
        let mut settings = config(blocked.address, &in_service(&[&old]));
        settings["seed"] = seed.into();
        settings["settings"]["Discovery"] = mode.into();
        settings["settings"]["Safety"]["AskWithinNs"] = 10_000_000_000_u64.into();
        let program = Program::start(&settings);
        for _ in 0..5 {
            blocked.wait_for_pending(1);
            blocked.wait_until_none_pending();
        }
        blocked.wait_for_pending(1);
        let restored = Instant::now();
        let list = list_response(2, true, &[target("s-new", new.address, "in_service")]);
        let discovery =
            blocked.accept_connections(move |request| match request.first_line.contains("after=2&") {
                true => UpstreamAction::NeverRespond,
                false => UpstreamAction::Respond(list.clone()),
            });
        while !discovery.next_request().first_line.contains("after=2&") {}
        assert!(
            restored.elapsed() < NOTIFICATION_LIMIT,
            "{mode}, {seed}: applied after {:?}",
            restored.elapsed()
        );
        assert_eq!(program.request("post").body, b"new", "{mode}, {seed}");
        assert_eq!(old.take_request_count(), 0);
    }
}

/// What the balancer does with the old discovery address when SIGHUP arrives.
#[derive(Clone, Copy, Debug)]
enum StateAtSighup {
    /// Its connection is being established.
    Connecting,
    /// Its request has no response.
    Requesting,
    /// Requests failed several times, and the backoff before the next one runs.
    BackingOff,
    /// Its watch is open.
    Watching,
}

/// Guards the drain rule at a SIGHUP, which leaves 4 s: neither an operation with the old address nor the failures
/// there may delay the new one, also where the first request to the new address fails.
#[test]
fn sighup_is_applied_in_time_whatever_the_state_of_the_old_discovery_connection() {
    for mode in ["push", "ask"] {
        for state in [
            StateAtSighup::Connecting,
            StateAtSighup::Requesting,
            StateAtSighup::BackingOff,
            StateAtSighup::Watching,
        ] {
            for failure in DiscoveryFailure::ALL {
                check_sighup(mode, state, failure, SEEDS[0]);
            }
        }
    }
    // The seed determines the length of the backoff.
    for seed in &SEEDS[1..] {
        check_sighup("ask", StateAtSighup::BackingOff, DiscoveryFailure::Close, seed);
    }
}

/// Moves discovery to another address by SIGHUP in this state, with a first request there that fails.
fn check_sighup(mode: &str, state: StateAtSighup, failure: DiscoveryFailure, seed: &str) {
    let (old, new) = (
        Upstream::start(|_| UpstreamAction::Respond(ok_response("old"))),
        Upstream::start(|_| UpstreamAction::Respond(ok_response("new"))),
    );
    let (first, second) = (ManualPeer::open(), ManualPeer::open());
    let blocked = matches!(state, StateAtSighup::Connecting).then(BlockedListener::open);
    let mut settings = config_with_discovery(mode, &first, &in_service(&[&old]));
    settings["seed"] = seed.into();
    if let Some(blocked) = &blocked {
        settings["discovery"] = blocked.address.to_string().into();
    }
    let program = Program::start(&settings);
    let old_connection = match (state, &blocked) {
        (StateAtSighup::Connecting, Some(blocked)) => {
            blocked.wait_for_pending(1);
            None
        }
        (StateAtSighup::BackingOff, _) => {
            (0..5).for_each(|_| DiscoveryFailure::Close.fail_next(&first));
            None
        }
        (StateAtSighup::Requesting, _) => {
            let mut connection = first.accept();
            connection.read();
            Some(connection)
        }
        _ => {
            let mut connection = first.accept();
            connection.read();
            connection.write(&list_response(7, true, &[target("s-0", old.address, "in_service")]));
            connection.read(); // the watch that follows
            Some(connection)
        }
    };
    settings["discovery"] = second.address.to_string().into();
    let signalled = Instant::now();
    program.reload(&settings.to_string());
    failure.fail_next(&second);
    let request = serve_list(&second, 2, &new);
    let case = format!("{mode}, {state:?}, {failure:?}, {seed}");
    assert!(
        signalled.elapsed() < NOTIFICATION_LIMIT_AFTER_SIGHUP,
        "{case}: applied after {:?}",
        signalled.elapsed()
    );
    assert!(
        request.first_line.starts_with("GET /v1/servers HTTP"),
        "{case}: expected a request for the whole list, not {}",
        request.first_line
    );
    if let Some(mut old_connection) = old_connection {
        assert!(old_connection.is_closed_by_peer(), "{case}: the old connection is closed");
    }
    assert_eq!(program.request("post").body, b"new", "{case}");
    assert_eq!(old.take_request_count(), 0);
}

/// Guards restarts: whether discovery refuses, hangs or stays silent, a new process serves with its configured list.
#[test]
fn a_new_process_is_ready_without_discovery() {
    for mode in ["push", "ask"] {
        let upstream = Upstream::start(|_| UpstreamAction::Respond(ok_response("known")));
        let (silent, blocked) = (ManualPeer::open(), BlockedListener::open());
        for address in [refusing_address(), silent.address, blocked.address] {
            let mut settings = config_with_discovery(mode, &silent, &in_service(&[&upstream]));
            settings["discovery"] = address.to_string().into();
            settings["settings"]["Siblings"] = 870.into();
            let started = Instant::now();
            let program = Program::start(&settings);
            let mut client = program.connect();
            client.write("GET /healthz HTTP/1.1\r\nHost: b\r\n\r\n");
            assert_eq!(client.read_response().expect("no response").status(), 200, "{mode}");
            assert!(started.elapsed() < Duration::from_secs(3), "{mode}: {:?}", started.elapsed());
            assert_eq!(program.request("post").body, b"known", "{mode}");
        }
    }
}

/// Guards the first list of a new process in a large fleet: whatever discovery had counts as notified 6 s after the
/// start, also where the first request gets no response and the next one fails. The process knows no upstream before.
#[test]
fn a_new_process_without_a_list_is_notified_in_time() {
    for mode in ["push", "ask"] {
        let new = Upstream::start(|_| UpstreamAction::Respond(ok_response("new")));
        let discovery = ManualPeer::open();
        let mut settings = config_with_discovery(mode, &discovery, &[]);
        settings["settings"]["Siblings"] = 870.into();
        let started = Instant::now();
        let program = Program::start(&settings);
        DiscoveryFailure::NoResponse.fail_next(&discovery);
        DiscoveryFailure::ErrorResponse.fail_next(&discovery);
        serve_list(&discovery, 2, &new);
        assert!(started.elapsed() < NOTIFICATION_LIMIT, "{mode}: applied after {:?}", started.elapsed());
        let mut client = program.connect();
        client.write("GET /healthz HTTP/1.1\r\nHost: b\r\n\r\n");
        assert_eq!(client.read_response().expect("no response").status(), 200, "{mode}");
        assert_eq!(program.request("post").body, b"new", "{mode}");
    }
}

// ---- Idle clients that use up the descriptors ----

/// A small descriptor limit.
const MAX_DESCRIPTORS: usize = 96;
/// Connections to upstreams that the balancer allows with this limit.
const MAX_UPSTREAM_CONNECTIONS: usize = 32;
/// Connections from clients that the balancer allows with this limit.
const MAX_CLIENT_CONNECTIONS: usize = 32;
/// Descriptors of the standard streams, the listener and the runtime.
const PROCESS_DESCRIPTORS: usize = 10;

/// What each idle client writes: nothing, a request, or a part of one.
const INITIAL_TEXTS: [fn() -> String; 3] = [
    String::new,
    || request_text("look", LONG_BUDGET, ""),
    || request_text("look", LONG_BUDGET, "")[..20].into(),
];
/// Index of the partial request in `INITIAL_TEXTS`.
const PARTIAL_REQUEST_INDEX: usize = 2;

/// A configuration with the small descriptor limit.
fn config_with_few_descriptors(
    mode: &str,
    discovery: std::net::SocketAddr,
    known: &[String],
) -> serde_json::Value {
    let mut config = config(discovery, known);
    config["settings"]["Discovery"] = mode.into();
    config["settings"]["Safety"]["AskWithinNs"] = 10_000_000_000_u64.into();
    config["limits"]["sockets"] = MAX_DESCRIPTORS.into();
    config
}

/// Waits until a new client among the idle ones is served by the upstream with this response body.
fn wait_until_served_by(program: &Program, body: &str) {
    eventually(body, || {
        program
            .connect()
            .request("look", LONG_BUDGET, "")
            .is_some_and(|response| response.body == body.as_bytes())
    });
}

/// Terminates the program and asserts that it never ran out of descriptors.
fn assert_never_out_of_descriptors(program: Program, case: &str) {
    program.terminate();
    let (status, log) = program.wait_for_exit();
    assert!(status.success() && !log.contains("os error 24"), "{case}: {log}");
}

/// Guards discovery and upstreams against idle clients while requests use all but two of the upstream connections: the
/// first list after discovery's return, the watch, SIGHUP and connections to new upstreams must find descriptors as if
/// there were no idle clients.
#[test]
fn idle_clients_leave_descriptors_to_discovery_and_to_upstreams() {
    std::thread::scope(|scope| {
        for mode in ["push", "ask"] {
            (0..INITIAL_TEXTS.len()).for_each(|text_index| {
                drop(scope.spawn(move || check_discovery_with_idle_clients(mode, text_index)))
            });
        }
    });
}

/// Changes the list by each way in turn, with idle clients that write `INITIAL_TEXTS[text_index]`.
fn check_discovery_with_idle_clients(mode: &str, text_index: usize) {
    let case = format!("{mode}, {text_index}");
    let response_gate = Arc::new(Mutex::new(()));
    let gate_guard = response_gate.lock().unwrap();
    let upstream_gate = response_gate.clone();
    let old = Upstream::start(move |message| {
        if message.first_line.starts_with("POST") {
            drop(upstream_gate.lock());
        }
        UpstreamAction::Respond(ok_response("old"))
    });
    let [new, newer, last] = ["new", "newer", "last"]
        .map(|body| Upstream::start(move |_| UpstreamAction::Respond(ok_response(body))));
    let (unavailable, second) = (UnavailableDiscovery::open(), Discovery::start());
    let mut config = config_with_few_descriptors(mode, unavailable.address, &in_service(&[&old]));
    let program = Program::start_with_descriptor_limit(&config);
    let mut busy_clients: Vec<Client> = (2..MAX_UPSTREAM_CONNECTIONS).map(|_| program.connect()).collect();
    for client in &mut busy_clients {
        client.send("post", LONG_BUDGET, "b");
        old.next_request();
    }
    let idle_clients =
        IdleClients::connect(program.address, 2 * MAX_CLIENT_CONNECTIONS, INITIAL_TEXTS[text_index]);
    eventually("all client connections are in use", || {
        program.descriptor_count() >= PROCESS_DESCRIPTORS + busy_clients.len() + MAX_CLIENT_CONNECTIONS
    });
    // A client that sent a part of a request keeps its connection for some time and keeps other clients out, but not
    // discovery.
    let wait_unless_partial_request = |body| {
        if text_index != PARTIAL_REQUEST_INDEX {
            wait_until_served_by(&program, body);
        }
    };
    // All idle clients reconnect at the moment of the event.
    let reconnect_during = |event: &dyn Fn()| {
        program.pause();
        eventually("the idle clients are connected", || {
            program.client_connections() >= busy_clients.len() + 2 * MAX_CLIENT_CONNECTIONS
        });
        event();
        program.resume();
        Instant::now()
    };

    let first = unavailable.restore(&[target("s-new", new.address, "in_service")]);
    let changed_at = Instant::now();
    first.wait_until_watched();
    assert!(
        changed_at.elapsed() < NOTIFICATION_LIMIT,
        "{case}: discovery restored, applied after {:?}",
        changed_at.elapsed()
    );
    wait_unless_partial_request("new");

    let changed_at =
        reconnect_during(&|| first.set_targets(&[target("s-newer", newer.address, "in_service")]));
    first.wait_until_watched();
    assert!(
        changed_at.elapsed() < NOTIFICATION_LIMIT,
        "{case}: watch, applied after {:?}",
        changed_at.elapsed()
    );
    wait_unless_partial_request("newer");

    second.set_targets(&[target("s-last", last.address, "in_service")]);
    config["discovery"] = second.address.to_string().into();
    let changed_at = reconnect_during(&|| program.reload(&config.to_string()));
    second.wait_until_watched();
    assert!(
        changed_at.elapsed() < NOTIFICATION_LIMIT_AFTER_SIGHUP,
        "{case}: SIGHUP, applied after {:?}",
        changed_at.elapsed()
    );
    wait_unless_partial_request("last");

    drop((gate_guard, idle_clients));
    busy_clients
        .iter_mut()
        .for_each(|client| assert_eq!(client.read_response().expect("no response").body, b"old", "{case}"));
    drop(busy_clients);
    assert_never_out_of_descriptors(program, &case);
}

/// Guards the first list of a process that knows no upstream against clients that are connected before it.
#[test]
fn idle_clients_leave_a_descriptor_to_the_first_list() {
    for mode in ["push", "ask"] {
        let new = Upstream::start(|_| UpstreamAction::Respond(ok_response("new")));
        let unavailable = UnavailableDiscovery::open();
        let program = Program::start_with_descriptor_limit(&config_with_few_descriptors(
            mode,
            unavailable.address,
            &[],
        ));
        let idle_clients = IdleClients::connect(program.address, MAX_DESCRIPTORS, INITIAL_TEXTS[0]);
        eventually("all client connections are in use", || {
            program.descriptor_count() >= PROCESS_DESCRIPTORS + MAX_CLIENT_CONNECTIONS
        });
        program.pause();
        eventually("the idle clients are connected", || program.client_connections() >= MAX_DESCRIPTORS);
        let discovery = unavailable.restore(&in_service(&[&new]));
        program.resume();
        let restored = Instant::now();
        discovery.wait_until_watched();
        assert!(restored.elapsed() < NOTIFICATION_LIMIT, "{mode}: applied after {:?}", restored.elapsed());
        wait_until_served_by(&program, "new");
        drop(idle_clients);
        assert_never_out_of_descriptors(program, mode);
    }
}

/// Connections that certainly fit into the backlog; the connect of one more might not complete.
const BACKLOG_SIZE: usize = 120;

/// Starts a program that finds this many requests in its backlog after the time in which clients are served.
fn shut_down_with_backlog(upstream: &Upstream, size: usize) -> (Program, Vec<Client>) {
    let mut config = config_with_short_deadlines(upstream.address);
    config["limits"]["sockets"] = MAX_DESCRIPTORS.into();
    let program = Program::start_with_descriptor_limit(&config);
    program.terminate();
    program.wait_until_signals_delivered();
    program.pause();
    let mut waiting_clients: Vec<Client> = (0..size).map(|_| program.connect()).collect();
    waiting_clients.iter_mut().for_each(|client| client.send("look", "60", ""));
    std::thread::sleep(SECOND); // beyond the time in which requests are still served
    program.resume();
    (program, waiting_clients)
}

/// Asserts that each client gets a final response.
fn assert_all_responses(waiting_clients: &mut [Client]) {
    for client in waiting_clients {
        assert!([200, 503].contains(&client.read_response().expect("no final response").status()));
    }
}

/// Guards the descriptor limit at the end of serving: requests in the backlog are accepted and answered within it.
#[test]
fn a_backlog_at_the_end_of_serving_is_answered_within_the_descriptors() {
    let upstream = Upstream::start(|_| UpstreamAction::Respond(ok_response("")));
    let (program, mut waiting_clients) = shut_down_with_backlog(&upstream, MAX_DESCRIPTORS);
    assert_all_responses(&mut waiting_clients);
    assert!(program.wait_for_exit().0.success());
}

/// The same where a busy machine delays the process just after it has accepted the first of them.
#[test]
fn a_backlog_at_the_end_of_serving_is_answered_by_a_process_that_is_held_up() {
    let upstream = Upstream::start(|_| UpstreamAction::Respond(ok_response("")));
    let (program, mut waiting_clients) = shut_down_with_backlog(&upstream, BACKLOG_SIZE);
    assert_all_responses(&mut waiting_clients[..1]);
    program.pause();
    std::thread::sleep(SECOND / 4); // longer than the last check of the backlog takes
    program.resume();
    assert_all_responses(&mut waiting_clients[1..]);
    assert!(program.wait_for_exit().0.success());
}
