//! The program over loopback sockets: each test is a failure that a balancer must not have.

mod common;

use common::process::*;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Barrier};
use std::time::{Duration, Instant};

fn served_by(upstream: &Upstream) -> Program {
    Program::start(&config(refusing_address(), &in_service(&[upstream])))
}

/// The first request ends with `first`, all later ones are served.
fn once(first: UpstreamAction) -> impl Fn(&Message) -> UpstreamAction + Send + Sync {
    let count = AtomicUsize::new(0);
    move |_| match count.fetch_add(1, Ordering::Relaxed) {
        0 => first.clone(),
        _ => UpstreamAction::Respond(ok_response("second")),
    }
}

#[test]
fn forwards_a_request_and_its_answer_unchanged() {
    let upstream = Upstream::start(|_| UpstreamAction::Respond(ok_response("the answer")));
    let program = served_by(&upstream);
    let mut client = program.connect();
    client.write(&request_text_with_id("9b1f03aa5c7e2d41", "pay", "12.5", "the body"));
    let answer = client.read_response().unwrap();
    assert_eq!((answer.status(), &answer.body[..]), (200, &b"the answer"[..]));
    let got = upstream.next_request();
    assert_eq!(got.first_line, "POST /pay?x=1 HTTP/1.1");
    assert_eq!(got.body, b"the body");
    assert_eq!(got.headers["x-call-id"], "9b1f03aa5c7e2d41");
    assert_eq!(got.headers["idempotency-key"], "5c0f6e1a");
    let budget: f64 = got.headers["x-budget"].parse().unwrap();
    assert!(budget > 0.0 && budget < 12.5, "the upstream is told {budget}");
}

/// Guards the tiers behind against work for an answer that nobody waits for any more.
#[test]
fn tells_an_upstream_how_long_its_answer_is_waited_for() {
    let upstream = Upstream::start(|_| UpstreamAction::Respond(ok_response("")));
    let mut config = config(refusing_address(), &in_service(&[&upstream]));
    config["settings"]["Classes"][0]["LateWorth"] = 0.0.into();
    config["settings"]["Classes"][0]["AimNs"] = 20_000_000_000_u64.into();
    assert_eq!(Program::start(&config).request("look").status(), 200);
    let budget: f64 = upstream.next_request().headers["x-budget"].parse().unwrap();
    assert!(
        budget <= 20.0,
        "the client waits for {LONG_BUDGET} s, the balancer for 20 s, the upstream hears {budget}"
    );
}

#[test]
fn uses_a_connection_again() {
    let upstream = Upstream::start(|_| UpstreamAction::Respond(ok_response("")));
    let program = served_by(&upstream);
    let mut client = program.connect();
    for _ in 0..20 {
        assert_eq!(client.request("post", LONG_BUDGET, "b").unwrap().status(), 200);
    }
    let connections =
        upstream.events.try_iter().filter(|seen| matches!(seen, UpstreamEvent::Connected)).count();
    assert_eq!(connections, 1);
}

#[test]
fn does_not_write_to_a_connection_that_its_upstream_closed() {
    let upstream = Upstream::start(|_| UpstreamAction::RespondAndClose(ok_response("")));
    let program = served_by(&upstream);
    let mut client = program.connect();
    for _ in 0..50 {
        assert_eq!(client.request("post", LONG_BUDGET, "b").unwrap().status(), 200);
        upstream.wait_for_close();
    }
}

#[test]
fn never_sends_unsafe_work_again_that_may_have_run() {
    let partial = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nonly a part";
    let error = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
    let vague = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
    for first in ["", partial, error, vague] {
        let upstream = Upstream::start(once(UpstreamAction::RespondAndClose(first.into())));
        let program = served_by(&upstream);
        let answer = program.request("post");
        assert!(![200, 429, 503].contains(&answer.status()), "{first:?} became {}", answer.first_line);
        assert_eq!(upstream.take_request_count(), 1, "{first:?}");
    }
}

#[test]
fn sends_keyed_work_again_after_an_answer_that_broke_off() {
    let partial = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nonly a part";
    for first in ["", partial] {
        let upstream = Upstream::start(once(UpstreamAction::RespondAndClose(first.into())));
        let answer = served_by(&upstream).request("pay");
        assert_eq!((answer.status(), &answer.body[..]), (200, &b"second"[..]), "{first:?}");
    }
}

#[test]
fn sends_unsafe_work_again_that_never_ran() {
    let upstream = Upstream::start(once(UpstreamAction::Respond(rejected_response())));
    assert_eq!(served_by(&upstream).request("post").status(), 200, "turned away, then served");

    let upstream = Upstream::start(|_| UpstreamAction::Respond(ok_response("")));
    let list =
        [target("s-dead", refusing_address(), "in_service"), target("s-0", upstream.address, "in_service")];
    let program = Program::start(&config(refusing_address(), &list));
    for _ in 0..4 {
        assert_eq!(program.request("post").status(), 200, "refused by one upstream, served by the other");
    }
}

#[test]
fn refuses_with_advice_when_all_upstreams_turn_work_away() {
    let upstream = Upstream::start(|_| UpstreamAction::Respond(rejected_response()));
    let answer = served_by(&upstream).request("post");
    assert_eq!(answer.status(), 503);
    let back: f64 = answer.headers["retry-after"].parse().unwrap();
    assert!(back > 0.0 && back <= 1.0);
}

#[test]
fn answers_in_time_where_an_upstream_is_silent() {
    let upstream = Upstream::start(|_| UpstreamAction::NeverRespond);
    let program = served_by(&upstream);
    let asked = Instant::now();
    let answer = program.connect().request("post", "0.300", "b").expect("an answer, not an end");
    assert_eq!(answer.status(), 502);
    assert!(asked.elapsed() >= Duration::from_millis(300), "it waits as long as the client");
    upstream.next_request();
    upstream.wait_for_close(); // or the upstream would work on for nobody
}

#[test]
fn withdraws_the_attempt_of_a_client_that_left() {
    let upstream = Upstream::start(|_| UpstreamAction::NeverRespond);
    let program = served_by(&upstream);
    let mut client = program.connect();
    client.send("post", LONG_BUDGET, "b");
    upstream.next_request();
    drop(client);
    upstream.wait_for_close();
}

#[test]
fn answers_bad_requests_itself() {
    let upstream = Upstream::start(|_| UpstreamAction::Respond(ok_response("")));
    let program = served_by(&upstream);
    let good = request_text_with_id("9b1f03aa5c7e2d41", "pay", "1.0", "body");
    let cases = [
        (good.replace("X-Budget: 1.0\r\n", ""), 400),
        (good.replace("1.0", "soon"), 400),
        (good.replace("1.0", "-1"), 400),
        (good.replace("1.0", "NaN"), 400),
        (good.replace("1.0", "1e300"), 400),
        (good.replace("acme", "nobody"), 400),
        (good.replace("X-Caller: acme\r\n", ""), 400),
        (good.replace("X-Call-Id: 9b1f03aa5c7e2d41", "X-Call-Id: "), 400),
        (good.replace("X-Call-Class: pay", "X-Call-Class: post"), 400),
        (good.replace("Idempotency-Key: 5c0f6e1a\r\n", ""), 400),
        (good.replace("X-Caller", "X-Call-Cost: much\r\nX-Caller"), 400),
        (good.replace("/pay", "/other").replace("Class: pay", "Class: other"), 404),
        (good.replace("/pay", "/"), 404),
        (good.replace("POST", "GET"), 405),
        (good.replace("Content-Length: 4", "Content-Length: 67108864"), 413),
        (good.replace("Content-Length: 4", "Content-Length: four"), 400),
        ("nonsense\r\n\r\n".into(), 400),
    ];
    for (text, status) in cases {
        let mut client = program.connect();
        client.write(&text);
        let answer = client.read_response().unwrap_or_else(|| panic!("no answer to {text:?}"));
        assert_eq!(answer.status(), status, "{text:?}");
    }
    assert_eq!(upstream.take_request_count(), 0);
    assert_eq!(program.request("pay").status(), 200, "it serves on");
}

/// Guards against a request hidden in the body of another: one side goes by the length, the other by the chunks.
#[test]
fn refuses_a_request_with_both_lengths() {
    let upstream = Upstream::start(|_| UpstreamAction::Respond(ok_response("")));
    let program = served_by(&upstream);
    let hidden = format!("0\r\n\r\n{}", request_text("post", LONG_BUDGET, "hidden"));
    let plain = request_text("pay", LONG_BUDGET, "");
    let (length, chunked) =
        (format!("Content-Length: {}\r\n", hidden.len()), "Transfer-Encoding: chunked\r\n");
    for both in [format!("{length}{chunked}"), format!("{chunked}{length}")] {
        let mut client = program.connect();
        client.write(&(plain.replace("Content-Length: 0\r\n", &both) + &hidden));
        assert_eq!(client.read_response().expect("an answer").status(), 400, "{both}");
        assert!(client.read_response().is_none(), "the connection is of no further use");
    }
    assert_eq!(upstream.take_request_count(), 0);
    let mut client = program.connect();
    client.write(&plain.replace("Content-Length: 0\r\n\r\n", &format!("{chunked}\r\n3\r\nabc\r\n0\r\n\r\n")));
    assert_eq!(client.read_response().unwrap().status(), 200, "chunks alone are sound");
    assert_eq!(upstream.next_request().body, b"abc");
}

/// Guards the places and the memory: a request is owed within a few seconds, and a head has an end.
#[test]
fn sends_clients_away_that_never_finish_a_request() {
    let upstream = Upstream::start(|_| UpstreamAction::Respond(ok_response("")));
    let program = served_by(&upstream);
    let good = request_text("pay", LONG_BUDGET, "body");
    let head = good.split("X-Budget").next().unwrap();
    let cases = ["", head, &good[..good.len() - 2], &good.replace("Content-Length: 4", "Content-Length: 5")];
    for begun in cases {
        let mut client = program.connect();
        client.write(begun);
        // An error or the end comes; the program would else wait for the rest, and the test with it.
        assert!(client.read_response().is_none_or(|answer| answer.status() == 408), "{begun:?}");
    }
    let mut client = program.connect();
    client.write(&format!("{head}X-Pad: {}", "p".repeat(20 << 10)));
    assert!(client.read_response().is_none_or(|answer| answer.status() == 431), "a head over 8 KiB");
    assert_eq!(upstream.take_request_count(), 0);
    let mut client = program.connect();
    assert_eq!(client.request("pay", LONG_BUDGET, "b").unwrap().status(), 200);
    std::thread::sleep(Duration::from_secs(4));
    assert_eq!(client.request("pay", LONG_BUDGET, "b").unwrap().status(), 200, "one that has asked may rest");
}

/// Guards usual clients against crowds: those that have never asked go first.
#[test]
fn a_silent_crowd_pushes_out_nobody_else() {
    let upstream = Upstream::start(|_| UpstreamAction::Respond(ok_response("")));
    let mut config = config(refusing_address(), &in_service(&[&upstream]));
    config["limits"]["sockets"] = 100.into();
    let program = Program::start(&config);
    let mut client = program.connect();
    assert_eq!(client.request("pay", LONG_BUDGET, "b").unwrap().status(), 200);
    let crowd: Vec<Client> = (0..150).map(|_| program.connect()).collect();
    assert_eq!(program.request("post").status(), 200, "a new client finds a place");
    assert_eq!(client.request("pay", LONG_BUDGET, "b").unwrap().status(), 200);
    drop(crowd);
}

/// Guards against answers that cannot be told apart.
#[test]
fn refuses_a_second_request_of_the_same_name() {
    let upstream = Upstream::start(|_| UpstreamAction::NeverRespond);
    let program = served_by(&upstream);
    let same = request_text_with_id("9b1f03aa5c7e2d41", "post", LONG_BUDGET, "b");
    let asking = || {
        let mut client = program.connect();
        client.write(&same);
        client
    };
    let first = asking();
    upstream.next_request();
    assert_eq!(asking().read_response().unwrap().status(), 409);
    drop(first);
    upstream.wait_for_close();
    let _third = asking();
    upstream.next_request(); // the name is free again
    let mut client = program.connect();
    client.write(&same.replace("X-Budget", "X-Call-Id: 9b1f03aa5c7e2d42\r\nX-Budget"));
    assert_eq!(client.read_response().unwrap().status(), 400);
}

/// Guards against a request whose time begins only once the one in front of it is answered, and against a
/// client whose leaving is not seen behind what it has sent ahead.
#[test]
fn a_request_behind_another_has_its_time_and_its_client() {
    let upstream = Upstream::start(|message| match message.body == b"quick" {
        true => UpstreamAction::Respond(ok_response("quick")),
        false => UpstreamAction::NeverRespond,
    });
    let program = served_by(&upstream);
    let mut client = program.connect();
    let requests = [("1.0", "slow"), ("0.2", "quick"), (LONG_BUDGET, "quick")];
    client.write(&requests.map(|(budget, body)| request_text("post", budget, body)).concat());
    assert_eq!(client.read_response().unwrap().status(), 502);
    assert_ne!(client.read_response().unwrap().status(), 200, "its time is over");
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
    let program = served_by(&upstream);
    let answer = program.connect().request("post", LONG_BUDGET, &"b".repeat(64 << 10)).unwrap();
    assert_eq!((answer.status(), answer.body.len()), (200, 64 << 10));
}

#[test]
fn is_ready_once_there_is_an_upstream() {
    let upstream = Upstream::start(|_| UpstreamAction::Respond(ok_response("")));
    let discovery = Discovery::start();
    let program = Program::start(&config(discovery.address, &[]));
    let ready = || {
        let mut client = program.connect();
        client.write("GET /healthz HTTP/1.1\r\nHost: b\r\n\r\n");
        client.read_response().unwrap().status()
    };
    assert_eq!(ready(), 503);
    discovery.publish(&in_service(&[&upstream]));
    assert_eq!(ready(), 200);
    assert_eq!(program.request("post").status(), 200);
}

#[test]
fn asks_discovery_again_after_a_failure() {
    let upstream = Upstream::start(|_| UpstreamAction::Respond(ok_response("")));
    let failure = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
    let nonsense = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n{\"rev\":";
    for (mode, first) in [("push", failure), ("push", nonsense), ("ask", failure)] {
        let discovery = Discovery::start_with_first_response(first);
        let mut config = config(discovery.address, &[target("s-old", refusing_address(), "in_service")]);
        config["settings"]["Discovery"] = mode.into();
        config["settings"]["Safety"]["AskWithinNs"] = 10_000_000_000_u64.into();
        let program = Program::start(&config);
        discovery.publish(&in_service(&[&upstream]));
        assert_eq!(program.request("post").status(), 200, "{mode} after {first:?}");
    }
}

/// Guards against a connection that outlives the process it leads to: the upstream of the same name is another.
#[test]
fn does_not_keep_a_connection_to_a_former_process() {
    let held = Arc::new(Barrier::new(2));
    let gate = held.clone();
    let old = Upstream::start(move |_| {
        gate.wait();
        UpstreamAction::Respond(ok_response("old"))
    });
    let new = Upstream::start(|_| UpstreamAction::Respond(ok_response("new")));
    let discovery = Discovery::start();
    let program = Program::start(&config(discovery.address, &in_service(&[&old])));
    let mut client = program.connect();
    client.send("post", LONG_BUDGET, "b");
    old.next_request();
    discovery.publish(&in_service(&[&new]));
    held.wait();
    assert_eq!(client.read_response().unwrap().body, b"old");
    assert_eq!(program.request("post").body, b"new");
}

/// Guards the memory where upstreams are ever new: what is gone is forgotten.
#[test]
fn forgets_upstreams_that_are_gone() {
    let upstream = Upstream::start(|_| UpstreamAction::Respond(ok_response("")));
    let discovery = Discovery::start();
    let program = Program::start(&config(discovery.address, &in_service(&[&upstream])));
    let publish = |round: usize| {
        let uid = |at: usize| format!("s-{round}-{at}-{}", "x".repeat(200));
        let fleet: Vec<String> =
            (0..300).map(|at| target(&uid(at), upstream.address, "in_service")).collect();
        discovery.publish(&fleet);
        assert_eq!(program.request("post").status(), 200);
    };
    (0..20).for_each(publish);
    let before = program.resident_kib();
    (20..120).for_each(publish);
    let grown = program.resident_kib().saturating_sub(before);
    assert!(grown < 8 << 10, "{grown} KiB more after 30,000 upstreams");
}

/// Guards against answers that belong to nobody: the next request must not be given one.
#[test]
fn takes_no_answer_for_another_request() {
    for more in [ok_response("stale"), "noise".into()] {
        let together = ok_response("first") + &more;
        for first in
            [UpstreamAction::Respond(together), UpstreamAction::RespondWithExtra(ok_response("first"), more)]
        {
            let apart = matches!(first, UpstreamAction::RespondWithExtra(..));
            let upstream = Upstream::start(once(first));
            let program = served_by(&upstream);
            let mut client = program.connect();
            assert_eq!(client.request("post", LONG_BUDGET, "b").unwrap().body, b"first");
            if apart {
                upstream.wait_for_extra();
            }
            assert_eq!(client.request("post", LONG_BUDGET, "b").unwrap().body, b"second");
        }
    }
}

/// Guards the client against answers that can't be read or have no end: they have failed, and their connection
/// is of no further use.
#[test]
fn gives_up_spoilt_answers_at_once() {
    let endless = format!("HTTP/1.1 200 OK\r\n{}", "X-Pad: pppppppppp\r\n".repeat(2000));
    let huge = "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nbegun".to_owned();
    let chunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\n".to_owned();
    for spoilt in [endless, huge, chunks, "noise\r\n\r\n".to_owned()] {
        let upstream = Upstream::start(once(UpstreamAction::Respond(spoilt.clone())));
        let program = served_by(&upstream);
        assert_eq!(program.request("post").status(), 502, "{}", &spoilt[..20]);
        upstream.wait_for_close();
        assert_eq!(upstream.take_request_count(), 0, "it may have run");
        assert_eq!(program.request("post").body, b"second");
    }
    let sound =
        "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nX-Load-Report: {{\r\nContent-Length: 2\r\n\r\nok";
    let upstream = Upstream::start(move |_| UpstreamAction::Respond(sound.into()));
    assert_eq!(served_by(&upstream).request("post").body, b"ok");
}

/// Guards upstreams against being held at fault for a client's request, and against getting it again.
#[test]
fn passes_on_that_a_request_is_at_fault() {
    let upstream = Upstream::start(|message| match message.body == b"bad" {
        true => UpstreamAction::Respond("HTTP/1.1 422 Unprocessable\r\nContent-Length: 3\r\n\r\nwhy".into()),
        false => UpstreamAction::Respond(ok_response("")),
    });
    let program = served_by(&upstream);
    for _ in 0..12 {
        let answer = program.connect().request("pay", LONG_BUDGET, "bad").unwrap();
        assert_eq!((answer.status(), &answer.body[..]), (422, &b"why"[..]));
    }
    assert_eq!(upstream.take_request_count(), 12);
    assert_eq!(program.request("post").status(), 200);
}

/// Guards against a signal that ends the program, and against a list that two services share by chance: the
/// new one's versions say nothing of the old one's.
#[test]
fn follows_another_discovery_after_a_hangup() {
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
    assert_eq!(program.request("post").body, b"old", "the former configuration stays");

    config["discovery"] = second.address.to_string().into();
    second.set_targets(&[target("s-new", new.address, "in_service")]);
    program.reload(&config.to_string());
    second.wait_until_watched();
    for _ in 0..4 {
        assert_eq!(program.request("post").body, b"new");
    }
}

#[test]
fn sends_nothing_new_to_an_upstream_that_drains_or_is_gone() {
    let (old, new) = (
        Upstream::start(|_| UpstreamAction::Respond(ok_response(""))),
        Upstream::start(|_| UpstreamAction::Respond(ok_response(""))),
    );
    for listed in [vec![target("s-0", old.address, "terminating")], vec![]] {
        let discovery = Discovery::start();
        let program = Program::start(&config(discovery.address, &in_service(&[&old])));
        assert_eq!(program.request("post").status(), 200);
        old.next_request();
        let mut list = vec![target("s-1", new.address, "in_service")];
        list.extend(listed);
        discovery.publish(&list);
        old.wait_for_close(); // what is idle is of no use any more
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
fn gives_up_an_idle_client_for_a_new_one_and_refuses_when_all_are_busy() {
    let upstream = Upstream::start(|message| match message.first_line.starts_with("GET") {
        true => UpstreamAction::Respond(ok_response("")),
        false => UpstreamAction::NeverRespond,
    });
    let mut config = config(refusing_address(), &in_service(&[&upstream]));
    config["limits"]["sockets"] = 96.into(); // room for 32 clients
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
        let answer = program.request("look");
        assert_eq!(answer.status(), 503, "told at once, not left in the backlog");
        assert!(answer.headers.contains_key("retry-after"));
    }
    clients.clear();
    for _ in 0..32 {
        upstream.wait_for_close();
    }
    assert_eq!(program.request("look").status(), 200);
}

#[test]
fn stops_only_after_all_is_answered() {
    // On a machine too busy to ask in time, a try tells nothing.
    assert!((0..20).any(|_| stops_in_order()), "no try was fast enough");
}

/// Whether the calls after the signal came early enough to judge by.
fn stops_in_order() -> bool {
    let held = Arc::new(Barrier::new(2));
    let gate = held.clone();
    let upstream = Upstream::start(move |message| {
        if message.first_line.starts_with("POST") {
            gate.wait();
        }
        UpstreamAction::Respond(ok_response(""))
    });
    let program = served_by(&upstream);
    let (mut busy, mut open) = (program.connect(), program.connect());
    assert_eq!(open.request("look", LONG_BUDGET, "").unwrap().status(), 200);
    busy.send("post", LONG_BUDGET, "b");
    while !upstream.next_request().first_line.starts_with("POST") {}
    let signal = Instant::now();
    program.terminate();
    let served = |answer: Option<Message>| answer.is_some_and(|answer| answer.status() == 200);
    let (mut on_new, mut on_open) = (true, true);
    while signal.elapsed() < Duration::from_millis(300) {
        on_new &=
            program.try_connect().is_some_and(|mut client| served(client.request("look", LONG_BUDGET, "")));
        on_open &= served(open.request("look", LONG_BUDGET, ""));
    }
    let judged = signal.elapsed() < Duration::from_millis(400);
    assert!(!judged || on_new, "new connections are still taken");
    assert!(!judged || on_open, "open ones are still served");
    assert!(open.read_response().is_none(), "then idle ones are closed");
    held.wait();
    assert_eq!(busy.read_response().expect("the answer held").status(), 200);
    let (status, log) = program.wait_for_exit();
    assert!(status.success(), "{log}");
    judged
}

/// Where all balancers restart one after the other, a client whose connection was closed at once had none to go to.
#[test]
fn serves_on_open_connections_until_answers_might_come_too_late() {
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
    let signal = Instant::now();
    program.terminate();
    while let Some(answer) = client.request("look", "2.0", "") {
        assert_eq!(answer.status(), 200);
    }
    // The kill comes after 2.5 s and 0.7 s at the soonest, and an answer takes 0.5 s at most.
    assert!(signal.elapsed() > Duration::from_secs(2), "closed after {:?}", signal.elapsed());
    let (status, log) = program.wait_for_exit();
    assert!(status.success() && signal.elapsed() < Duration::from_millis(3200), "{log}");
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
        (break_at("/settings/Zone", 7.into()), "zone"),
        (break_at("/settings/Classes", serde_json::json!([])), "classes"),
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
