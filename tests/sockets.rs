//! The real program on loopback sockets: each test guards against one failure that a balancer must not have.

mod common;

use common::process::*;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Barrier};
use std::time::{Duration, Instant};

/// Handles the first request by this action and responds to all later ones with the body `second`.
fn first_then_ok(first: UpstreamAction) -> impl Fn(&Message) -> UpstreamAction + Send + Sync {
    let count = AtomicUsize::new(0);
    move |_| match count.fetch_add(1, Ordering::Relaxed) {
        0 => first.clone(),
        _ => UpstreamAction::Respond(ok_response("second")),
    }
}

#[test]
fn forwards_a_request_and_its_response_unchanged() {
    let upstream = Upstream::start(|_| UpstreamAction::Respond(ok_response("the answer")));
    let program = start_with_upstream(&upstream);
    let mut client = program.connect();
    client.write(&request_text_with_id("9b1f03aa5c7e2d41", "pay", "12.5", "the body"));
    let response = client.read_response().unwrap();
    assert_eq!((response.status(), &response.body[..]), (200, &b"the answer"[..]));
    let received = upstream.next_request();
    assert_eq!(received.first_line, "POST /pay?x=1 HTTP/1.1");
    assert_eq!(received.body, b"the body");
    assert_eq!(received.headers["x-call-id"], "9b1f03aa5c7e2d41");
    assert_eq!(received.headers["idempotency-key"], "5c0f6e1a");
    let budget: f64 = received.headers["x-budget"].parse().unwrap();
    assert!(budget > 0.0 && budget < 12.5, "the upstream receives a budget of {budget} s");
}

/// Guards the next tiers against work for a response that no client waits for any more.
#[test]
fn forwards_the_time_for_which_a_response_is_awaited() {
    let upstream = Upstream::start(|_| UpstreamAction::Respond(ok_response("")));
    let mut config = config(refusing_address(), &in_service(&[&upstream]));
    config["settings"]["Classes"][0]["LateWorth"] = 0.0.into();
    config["settings"]["Classes"][0]["AimNs"] = 20_000_000_000_u64.into();
    assert_eq!(Program::start(&config).request("look").status(), 200);
    let budget: f64 = upstream.next_request().headers["x-budget"].parse().unwrap();
    assert!(
        budget <= 20.0,
        "the client waits for {LONG_BUDGET} s, the balancer for 20 s, the upstream receives a budget of {budget} s"
    );
}

#[test]
fn reuses_a_connection() {
    let upstream = Upstream::start(|_| UpstreamAction::Respond(ok_response("")));
    let program = start_with_upstream(&upstream);
    let mut client = program.connect();
    for _ in 0..20 {
        assert_eq!(client.request("post", LONG_BUDGET, "b").unwrap().status(), 200);
    }
    let connections =
        upstream.events.try_iter().filter(|event| matches!(event, UpstreamEvent::Connected)).count();
    assert_eq!(connections, 1);
}

#[test]
fn does_not_write_to_a_connection_that_its_upstream_closed() {
    let upstream = Upstream::start(|_| UpstreamAction::RespondAndClose(ok_response("")));
    let program = start_with_upstream(&upstream);
    let mut client = program.connect();
    for _ in 0..50 {
        assert_eq!(client.request("post", LONG_BUDGET, "b").unwrap().status(), 200);
        upstream.wait_for_close();
    }
}

#[test]
fn never_retries_a_non_idempotent_request_that_may_have_run() {
    let partial = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nonly a part";
    let error = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
    let unmarked_rejection = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
    for first in ["", partial, error, unmarked_rejection] {
        let upstream = Upstream::start(first_then_ok(UpstreamAction::RespondAndClose(first.into())));
        let program = start_with_upstream(&upstream);
        let response = program.request("post");
        assert!(![200, 429, 503].contains(&response.status()), "{first:?} became {}", response.first_line);
        assert_eq!(upstream.take_request_count(), 1, "{first:?}");
    }
}

#[test]
fn retries_a_keyed_request_after_a_response_that_broke_off() {
    let partial = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nonly a part";
    for first in ["", partial] {
        let upstream = Upstream::start(first_then_ok(UpstreamAction::RespondAndClose(first.into())));
        let response = start_with_upstream(&upstream).request("pay");
        assert_eq!((response.status(), &response.body[..]), (200, &b"second"[..]), "{first:?}");
    }
}

#[test]
fn retries_a_non_idempotent_request_that_never_ran() {
    let upstream = Upstream::start(first_then_ok(UpstreamAction::Respond(rejected_response())));
    assert_eq!(start_with_upstream(&upstream).request("post").status(), 200, "rejected, then served");

    let upstream = Upstream::start(|_| UpstreamAction::Respond(ok_response("")));
    let list =
        [target("s-dead", refusing_address(), "in_service"), target("s-0", upstream.address, "in_service")];
    let program = Program::start(&config(refusing_address(), &list));
    for _ in 0..4 {
        assert_eq!(program.request("post").status(), 200, "refused by one upstream, served by the other");
    }
}

#[test]
fn refuses_with_retry_after_when_all_upstreams_reject() {
    let upstream = Upstream::start(|_| UpstreamAction::Respond(rejected_response()));
    let response = start_with_upstream(&upstream).request("post");
    assert_eq!(response.status(), 503);
    let retry_after: f64 = response.headers["retry-after"].parse().unwrap();
    assert!(retry_after > 0.0 && retry_after <= 1.0);
}

#[test]
fn responds_in_time_where_an_upstream_is_silent() {
    let upstream = Upstream::start(|_| UpstreamAction::NeverRespond);
    let program = start_with_upstream(&upstream);
    let started = Instant::now();
    let response =
        program.connect().request("post", "0.300", "b").expect("the connection ended without a response");
    assert_eq!(response.status(), 502);
    assert!(started.elapsed() >= Duration::from_millis(300), "the balancer waits as long as the client");
    upstream.next_request();
    upstream.wait_for_close(); // otherwise the upstream would keep working without a client
}

#[test]
fn withdraws_the_attempt_of_a_client_that_disconnected() {
    let upstream = Upstream::start(|_| UpstreamAction::NeverRespond);
    let program = start_with_upstream(&upstream);
    let mut client = program.connect();
    client.send("post", LONG_BUDGET, "b");
    upstream.next_request();
    drop(client);
    upstream.wait_for_close();
}

#[test]
fn responds_to_bad_requests_itself() {
    let upstream = Upstream::start(|_| UpstreamAction::Respond(ok_response("")));
    let program = start_with_upstream(&upstream);
    let valid = request_text_with_id("9b1f03aa5c7e2d41", "pay", "1.0", "body");
    let cases = [
        (valid.replace("X-Budget: 1.0\r\n", ""), 400),
        (valid.replace("1.0", "soon"), 400),
        (valid.replace("1.0", "-1"), 400),
        (valid.replace("1.0", "NaN"), 400),
        (valid.replace("1.0", "1e300"), 400),
        (valid.replace("acme", "nobody"), 400),
        (valid.replace("X-Caller: acme\r\n", ""), 400),
        (valid.replace("X-Call-Id: 9b1f03aa5c7e2d41", "X-Call-Id: "), 400),
        (valid.replace("X-Call-Class: pay", "X-Call-Class: post"), 400),
        (valid.replace("Idempotency-Key: 5c0f6e1a\r\n", ""), 400),
        (valid.replace("X-Caller", "X-Call-Cost: much\r\nX-Caller"), 400),
        (valid.replace("/pay", "/other").replace("Class: pay", "Class: other"), 404),
        (valid.replace("/pay", "/"), 404),
        (valid.replace("POST", "GET"), 405),
        (valid.replace("Content-Length: 4", "Content-Length: 67108864"), 413),
        (valid.replace("Content-Length: 4", "Content-Length: four"), 400),
        ("nonsense\r\n\r\n".into(), 400),
    ];
    for (text, status) in cases {
        let mut client = program.connect();
        client.write(&text);
        let response = client.read_response().unwrap_or_else(|| panic!("no response to {text:?}"));
        assert_eq!(response.status(), status, "{text:?}");
    }
    assert_eq!(upstream.take_request_count(), 0);
    assert_eq!(program.request("pay").status(), 200, "the program still serves");
}

/// Guards against request smuggling: with both headers, one side may go by Content-Length and the other by the chunks.
#[test]
fn refuses_a_request_with_both_lengths() {
    let upstream = Upstream::start(|_| UpstreamAction::Respond(ok_response("")));
    let program = start_with_upstream(&upstream);
    let hidden_request = format!("0\r\n\r\n{}", request_text("post", LONG_BUDGET, "hidden"));
    let plain = request_text("pay", LONG_BUDGET, "");
    let (length, chunked) =
        (format!("Content-Length: {}\r\n", hidden_request.len()), "Transfer-Encoding: chunked\r\n");
    for length_headers in [format!("{length}{chunked}"), format!("{chunked}{length}")] {
        let mut client = program.connect();
        client.write(&(plain.replace("Content-Length: 0\r\n", &length_headers) + &hidden_request));
        assert_eq!(client.read_response().expect("no response").status(), 400, "{length_headers}");
        assert!(client.read_response().is_none(), "the connection is closed");
    }
    assert_eq!(upstream.take_request_count(), 0);
    let mut client = program.connect();
    client.write(&plain.replace("Content-Length: 0\r\n\r\n", &format!("{chunked}\r\n3\r\nabc\r\n0\r\n\r\n")));
    assert_eq!(client.read_response().unwrap().status(), 200, "chunks without a Content-Length are accepted");
    assert_eq!(upstream.next_request().body, b"abc");
}

/// Guards client connections and memory: a request must be complete within a few seconds, and the size of its head is
/// limited.
#[test]
fn rejects_clients_that_never_finish_a_request() {
    let upstream = Upstream::start(|_| UpstreamAction::Respond(ok_response("")));
    let program = start_with_upstream(&upstream);
    let valid = request_text("pay", LONG_BUDGET, "body");
    let head = valid.split("X-Budget").next().unwrap();
    let cases =
        ["", head, &valid[..valid.len() - 2], &valid.replace("Content-Length: 4", "Content-Length: 5")];
    for partial_request in cases {
        let mut client = program.connect();
        client.write(partial_request);
        // Without an error or a close, the program would wait for the rest and this read would time out.
        assert!(
            client.read_response().is_none_or(|response| response.status() == 408),
            "{partial_request:?}"
        );
    }
    let mut client = program.connect();
    client.write(&format!("{head}X-Pad: {}", "p".repeat(20 << 10)));
    assert!(client.read_response().is_none_or(|response| response.status() == 431), "a head over 8 KiB");
    assert_eq!(upstream.take_request_count(), 0);
    let mut client = program.connect();
    assert_eq!(client.request("pay", LONG_BUDGET, "b").unwrap().status(), 200);
    std::thread::sleep(Duration::from_secs(4));
    assert_eq!(
        client.request("pay", LONG_BUDGET, "b").unwrap().status(),
        200,
        "a client that has sent a request may be idle"
    );
}

/// Guards regular clients against many silent ones: connections that never sent a request are closed first.
#[test]
fn silent_clients_do_not_displace_others() {
    let upstream = Upstream::start(|_| UpstreamAction::Respond(ok_response("")));
    let mut config = config(refusing_address(), &in_service(&[&upstream]));
    config["limits"]["sockets"] = 100.into();
    let program = Program::start(&config);
    let mut client = program.connect();
    assert_eq!(client.request("pay", LONG_BUDGET, "b").unwrap().status(), 200);
    let idle_clients: Vec<Client> = (0..150).map(|_| program.connect()).collect();
    assert_eq!(program.request("post").status(), 200, "a new client is accepted");
    assert_eq!(client.request("pay", LONG_BUDGET, "b").unwrap().status(), 200);
    drop(idle_clients);
}

/// Guards against responses that cannot be told apart.
#[test]
fn refuses_a_second_request_with_the_same_id() {
    let upstream = Upstream::start(|_| UpstreamAction::NeverRespond);
    let program = start_with_upstream(&upstream);
    let duplicate = request_text_with_id("9b1f03aa5c7e2d41", "post", LONG_BUDGET, "b");
    let send_duplicate = || {
        let mut client = program.connect();
        client.write(&duplicate);
        client
    };
    let first = send_duplicate();
    upstream.next_request();
    assert_eq!(send_duplicate().read_response().unwrap().status(), 409);
    drop(first);
    upstream.wait_for_close();
    assert_eq!(send_duplicate().read_response().unwrap().status(), 409, "the request may have run");
    assert_eq!(upstream.take_request_count(), 0);
    let mut client = program.connect();
    client.write(&duplicate.replace("X-Budget", "X-Call-Id: 9b1f03aa5c7e2d42\r\nX-Budget"));
    assert_eq!(client.read_response().unwrap().status(), 400);
}

/// Guards against a pipelined request whose time begins only after the response in front of it, and against missing the
/// disconnect of a client behind the requests that it has pipelined.
#[test]
fn a_pipelined_request_keeps_its_deadline_and_its_client() {
    let upstream = Upstream::start(|message| match message.body == b"quick" {
        true => UpstreamAction::Respond(ok_response("quick")),
        false => UpstreamAction::NeverRespond,
    });
    let program = start_with_upstream(&upstream);
    let mut client = program.connect();
    let requests = [("1.0", "slow"), ("0.2", "quick"), (LONG_BUDGET, "quick")];
    client.write(&requests.map(|(budget, body)| request_text("post", budget, body)).concat());
    assert_eq!(client.read_response().unwrap().status(), 502);
    assert_ne!(client.read_response().unwrap().status(), 200, "the request's time is over");
    assert_eq!(client.read_response().unwrap().body, b"quick");
    assert_eq!(upstream.take_request_count(), 2);
    upstream.events.try_iter().for_each(drop);

    let mut client = program.connect();
    client.write(&(request_text("post", LONG_BUDGET, "slow") + &request_text("post", LONG_BUDGET, "quick")));
    upstream.next_request();
    drop(client);
    upstream.wait_for_close();
}

#[test]
fn takes_a_body_of_the_largest_size() {
    let upstream =
        Upstream::start(|message| UpstreamAction::Respond(ok_response(&"a".repeat(message.body.len()))));
    let program = start_with_upstream(&upstream);
    let response = program.connect().request("post", LONG_BUDGET, &"b".repeat(64 << 10)).unwrap();
    assert_eq!((response.status(), response.body.len()), (200, 64 << 10));
}

#[test]
fn is_ready_once_there_is_an_upstream() {
    let upstream = Upstream::start(|_| UpstreamAction::Respond(ok_response("")));
    let discovery = Discovery::start();
    let program = Program::start(&config(discovery.address, &[]));
    let health_status = || {
        let mut client = program.connect();
        client.write("GET /healthz HTTP/1.1\r\nHost: b\r\n\r\n");
        client.read_response().unwrap().status()
    };
    assert_eq!(health_status(), 503);
    discovery.publish(&in_service(&[&upstream]));
    assert_eq!(health_status(), 200);
    assert_eq!(program.request("post").status(), 200);
}

#[test]
fn retries_discovery_after_a_failure() {
    let upstream = Upstream::start(|_| UpstreamAction::Respond(ok_response("")));
    let failure = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
    let truncated_list = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n{\"rev\":";
    for (mode, first) in [("push", failure), ("push", truncated_list), ("ask", failure)] {
        let discovery = Discovery::start_with_first_response(first);
        let mut config = config(discovery.address, &[target("s-old", refusing_address(), "in_service")]);
        config["settings"]["Discovery"] = mode.into();
        config["settings"]["Safety"]["AskWithinNs"] = 10_000_000_000_u64.into();
        let program = Program::start(&config);
        discovery.publish(&in_service(&[&upstream]));
        assert_eq!(program.request("post").status(), 200, "{mode} after {first:?}");
    }
}

/// Guards against a connection that outlives the process at its other end: a new upstream may have the same uid.
#[test]
fn does_not_keep_a_connection_to_a_former_upstream_process() {
    let release = Arc::new(Barrier::new(2));
    let upstream_gate = release.clone();
    let old = Upstream::start(move |_| {
        upstream_gate.wait();
        UpstreamAction::Respond(ok_response("old"))
    });
    let new = Upstream::start(|_| UpstreamAction::Respond(ok_response("new")));
    let discovery = Discovery::start();
    let program = Program::start(&config(discovery.address, &in_service(&[&old])));
    let mut client = program.connect();
    client.send("post", LONG_BUDGET, "b");
    old.next_request();
    discovery.publish(&in_service(&[&new]));
    release.wait();
    assert_eq!(client.read_response().unwrap().body, b"old");
    assert_eq!(program.request("post").body, b"new");
}

/// Guards the memory where upstreams are replaced again and again: removed ones must be forgotten.
#[test]
fn forgets_removed_upstreams() {
    let upstream = Upstream::start(|_| UpstreamAction::Respond(ok_response("")));
    let discovery = Discovery::start();
    let program = Program::start(&config(discovery.address, &in_service(&[&upstream])));
    let publish = |round: usize| {
        let uid = |index: usize| format!("s-{round}-{index}-{}", "x".repeat(200));
        let fleet: Vec<String> =
            (0..300).map(|index| target(&uid(index), upstream.address, "in_service")).collect();
        discovery.publish(&fleet);
        assert_eq!(program.request("post").status(), 200);
    };
    (0..20).for_each(publish);
    let before_kib = program.resident_kib();
    (20..120).for_each(publish);
    let growth_kib = program.resident_kib().saturating_sub(before_kib);
    assert!(growth_kib < 8 << 10, "memory grew by {growth_kib} KiB over 30,000 upstreams");
}

/// Guards against bytes that belong to no request: they must not become the response to the next one.
#[test]
fn takes_no_response_for_another_request() {
    for extra in [ok_response("stale"), "noise".into()] {
        let single_write = ok_response("first") + &extra;
        for first in [
            UpstreamAction::Respond(single_write),
            UpstreamAction::RespondWithExtra(ok_response("first"), extra),
        ] {
            let is_separate = matches!(first, UpstreamAction::RespondWithExtra(..));
            let upstream = Upstream::start(first_then_ok(first));
            let program = start_with_upstream(&upstream);
            let mut client = program.connect();
            assert_eq!(client.request("post", LONG_BUDGET, "b").unwrap().body, b"first");
            if is_separate {
                upstream.wait_for_extra();
            }
            assert_eq!(client.request("post", LONG_BUDGET, "b").unwrap().body, b"second");
        }
    }
}

/// Guards the client against responses that are malformed or have no end: they fail at once, and their connection is
/// closed.
#[test]
fn gives_up_invalid_responses_at_once() {
    let endless_head = format!("HTTP/1.1 200 OK\r\n{}", "X-Pad: pppppppppp\r\n".repeat(2000));
    let oversized_body = "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nbegun".to_owned();
    let chunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\n".to_owned();
    for invalid in [endless_head, oversized_body, chunks, "noise\r\n\r\n".to_owned()] {
        let upstream = Upstream::start(first_then_ok(UpstreamAction::Respond(invalid.clone())));
        let program = start_with_upstream(&upstream);
        assert_eq!(program.request("post").status(), 502, "{}", &invalid[..20]);
        upstream.wait_for_close();
        assert_eq!(upstream.take_request_count(), 0, "no retry, as the request may have run");
        assert_eq!(program.request("post").body, b"second");
    }
    let valid_response =
        "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nX-Load-Report: {{\r\nContent-Length: 2\r\n\r\nok";
    let upstream = Upstream::start(move |_| UpstreamAction::Respond(valid_response.into()));
    assert_eq!(start_with_upstream(&upstream).request("post").body, b"ok");
}

/// Guards upstreams against being blamed for a client's faulty request, and against receiving it again.
#[test]
fn forwards_client_errors_without_a_retry() {
    let upstream = Upstream::start(|message| match message.body == b"bad" {
        true => UpstreamAction::Respond("HTTP/1.1 422 Unprocessable\r\nContent-Length: 3\r\n\r\nwhy".into()),
        false => UpstreamAction::Respond(ok_response("")),
    });
    let program = start_with_upstream(&upstream);
    for _ in 0..12 {
        let response = program.connect().request("pay", LONG_BUDGET, "bad").unwrap();
        assert_eq!((response.status(), &response.body[..]), (422, &b"why"[..]));
    }
    assert_eq!(upstream.take_request_count(), 12);
    assert_eq!(program.request("post").status(), 200);
}

/// Guards against SIGHUP ending the program, and against carrying a list's revision over to another discovery service,
/// whose revisions are unrelated.
#[test]
fn follows_another_discovery_after_sighup() {
    let (old, new) = (
        Upstream::start(|_| UpstreamAction::Respond(ok_response("old"))),
        Upstream::start(|_| UpstreamAction::Respond(ok_response("new"))),
    );
    let (first, second) = (Discovery::start(), Discovery::start());
    let mut config = config(second.address, &in_service(&[&old]));
    let mut program = Program::start_with(&config, &[("LB_DISCOVERY", first.address.to_string())]);
    first.publish(&[target("s-old", old.address, "in_service")]);
    assert_eq!(program.request("post").body, b"old");
    program.reload("{");
    assert!(program.wait_for_log("configuration kept").contains("not sound"));
    first.publish(&[target("s-old", old.address, "in_service")]);
    assert_eq!(program.request("post").body, b"old", "the previous configuration stays in force");

    config["discovery"] = second.address.to_string().into();
    second.set_targets(&[target("s-new", new.address, "in_service")]);
    program.reload(&config.to_string());
    second.wait_until_watched();
    for _ in 0..4 {
        assert_eq!(program.request("post").body, b"new");
    }
}

#[test]
fn sends_nothing_new_to_a_draining_or_removed_upstream() {
    let (old, new) = (
        Upstream::start(|_| UpstreamAction::Respond(ok_response(""))),
        Upstream::start(|_| UpstreamAction::Respond(ok_response(""))),
    );
    for old_entry in [vec![target("s-0", old.address, "terminating")], vec![]] {
        let discovery = Discovery::start();
        let program = Program::start(&config(discovery.address, &in_service(&[&old])));
        assert_eq!(program.request("post").status(), 200);
        old.next_request();
        let mut list = vec![target("s-1", new.address, "in_service")];
        list.extend(old_entry);
        discovery.publish(&list);
        old.wait_for_close(); // its idle connection is closed
        for _ in 0..10 {
            assert_eq!(program.request("post").status(), 200);
        }
        assert_eq!((old.take_request_count(), new.take_request_count()), (0, 10));
    }
}

#[test]
fn follows_an_upstream_to_its_new_address() {
    let (old, new) = (
        Upstream::start(|_| UpstreamAction::Respond(ok_response(""))),
        Upstream::start(|_| UpstreamAction::Respond(ok_response(""))),
    );
    let discovery = Discovery::start();
    let program = Program::start(&config(discovery.address, &in_service(&[&old])));
    assert_eq!(program.request("post").status(), 200);
    discovery.publish(&in_service(&[&new]));
    old.wait_for_close();
    assert_eq!(program.request("post").status(), 200);
    new.next_request();
}

#[test]
fn closes_an_idle_client_for_a_new_one_and_refuses_when_all_are_busy() {
    let upstream = Upstream::start(|message| match message.first_line.starts_with("GET") {
        true => UpstreamAction::Respond(ok_response("")),
        false => UpstreamAction::NeverRespond,
    });
    let mut config = config(refusing_address(), &in_service(&[&upstream]));
    config["limits"]["sockets"] = 96.into(); // allows 32 client connections
    let program = Program::start(&config);
    let mut clients: Vec<Client> = (0..60).map(|_| program.connect()).collect();
    for client in &mut clients[28..] {
        assert_eq!(client.request("look", LONG_BUDGET, "").expect("served").status(), 200);
    }
    for client in &mut clients[..28] {
        assert!(client.read_response().is_none(), "the connections idle for longest are closed");
    }
    for client in &mut clients[28..] {
        client.send("post", LONG_BUDGET, "b");
        upstream.next_request();
    }
    for _ in 0..40 {
        let response = program.request("look");
        assert_eq!(response.status(), 503, "refused at once, not left in the backlog");
        assert!(response.headers.contains_key("retry-after"));
    }
    clients.clear();
    for _ in 0..32 {
        upstream.wait_for_close();
    }
    assert_eq!(program.request("look").status(), 200);
}

#[test]
fn stops_only_after_all_responses() {
    // A try on a machine too busy to send requests in time proves nothing.
    assert!((0..20).any(|_| check_orderly_stop()), "no try was fast enough");
}

/// Returns whether the requests after the signal were early enough for the check to count.
fn check_orderly_stop() -> bool {
    let release = Arc::new(Barrier::new(2));
    let upstream_gate = release.clone();
    let upstream = Upstream::start(move |message| {
        if message.first_line.starts_with("POST") {
            upstream_gate.wait();
        }
        UpstreamAction::Respond(ok_response(""))
    });
    let program = start_with_upstream(&upstream);
    let (mut busy_client, mut idle_client) = (program.connect(), program.connect());
    assert_eq!(idle_client.request("look", LONG_BUDGET, "").unwrap().status(), 200);
    busy_client.send("post", LONG_BUDGET, "b");
    while !upstream.next_request().first_line.starts_with("POST") {}
    let signalled_at = Instant::now();
    program.terminate();
    let is_ok = |response: Option<Message>| response.is_some_and(|response| response.status() == 200);
    let (mut served_on_new, mut served_on_open) = (true, true);
    while signalled_at.elapsed() < Duration::from_millis(300) {
        served_on_new &=
            program.try_connect().is_some_and(|mut client| is_ok(client.request("look", LONG_BUDGET, "")));
        served_on_open &= is_ok(idle_client.request("look", LONG_BUDGET, ""));
    }
    let is_conclusive = signalled_at.elapsed() < Duration::from_millis(400);
    assert!(!is_conclusive || served_on_new, "new connections are still accepted");
    assert!(!is_conclusive || served_on_open, "open connections are still served");
    assert!(idle_client.read_response().is_none(), "then idle connections are closed");
    release.wait();
    assert_eq!(busy_client.read_response().expect("no response to the request in flight").status(), 200);
    let (status, log) = program.wait_for_exit();
    assert!(status.success(), "{log}");
    is_conclusive
}

/// Guards clients in a rolling restart of all balancers: one whose connection is closed at once may find no other to
/// connect to.
#[test]
fn serves_on_open_connections_until_responses_might_come_too_late() {
    let upstream = Upstream::start(|_| UpstreamAction::Respond(ok_response("")));
    let mut config = config(refusing_address(), &in_service(&[&upstream]));
    for class in config["settings"]["Classes"].as_array_mut().unwrap() {
        class["LateWorth"] = 0.0.into();
        class["AimNs"] = 500_000_000_u64.into();
        class["DeadlineNs"] = 2_500_000_000_u64.into();
    }
    let program = Program::start(&config);
    let mut client = program.connect();
    assert_eq!(client.request("look", "2.0", "").unwrap().status(), 200);
    let signalled_at = Instant::now();
    program.terminate();
    while let Some(response) = client.request("look", "2.0", "") {
        assert_eq!(response.status(), 200);
    }
    // The process is killed 2.5 s + 0.7 s after the signal at the earliest, and a response takes 0.5 s at most.
    assert!(signalled_at.elapsed() > Duration::from_secs(2), "closed after {:?}", signalled_at.elapsed());
    let (status, log) = program.wait_for_exit();
    assert!(status.success() && signalled_at.elapsed() < Duration::from_millis(3200), "{log}");
}

#[test]
fn names_the_field_that_is_wrong_in_its_configuration() {
    let good = config(refusing_address(), &[]);
    let break_at = |path: &str, value: serde_json::Value| {
        let mut config = good.clone();
        *config.pointer_mut(path).unwrap() = value;
        config.to_string()
    };
    let cases = [
        (break_at("/listen", "here".into()), "listen"),
        (break_at("/discovery", "there".into()), "discovery"),
        (break_at("/seed", "dice".into()), "seed"),
        (break_at("/limits/sockets", 3.into()), "sockets"),
        (break_at("/limits/memory_mb", 1.into()), "memory_mb"),
        (break_at("/settings/Zones", 3.into()), "Zones"),
        (break_at("/settings/Zone", 7.into()), "`Zone`"),
        (break_at("/settings/Classes", serde_json::json!([])), "`Classes`"),
        (break_at("/settings/Limits/TryLimit", "six".into()), "TryLimit"),
        (good.to_string().replace("\"settings\"", "\"wishes\""), "settings"),
        ("{".into(), "configuration"),
    ];
    for (text, field) in cases {
        let (status, log) = run_until_exit(&text);
        assert!(!status.success(), "{field}");
        assert!(log.contains(field) && log.lines().count() == 1, "{field}: {log:?}");
    }
}
