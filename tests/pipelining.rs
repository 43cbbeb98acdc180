//! Clients that send many requests at once on a connection: each gets its response, also those that wait in the kernel, and none
//! of a client that has left is sent on.

mod common;

use common::process::*;
use std::time::{Duration, Instant};

/// An attempt may begin this long after its client has left.
const MAX_ATTEMPT_DELAY: Duration = Duration::from_millis(100);

/// A request whose body has this length and begins with its number. It is of a class whose attempts are not ended early where a busy
/// machine delays the upstream.
fn numbered_request(number: usize, length: usize) -> String {
    request_text("post", LONG_BUDGET, &format!("{number:0<length$}"))
}

/// An upstream that responds with the body of each request, after this time.
fn echoing_upstream(work: Duration) -> Upstream {
    Upstream::start(move |message| {
        std::thread::sleep(work);
        UpstreamAction::Respond(ok_response(&String::from_utf8_lossy(&message.body)))
    })
}

/// Guards requests that are sent at once: of those beyond the read buffer, all were read, dropped, and never answered.
#[test]
fn all_requests_of_a_burst_are_answered_in_order() {
    let upstream = echoing_upstream(Duration::from_millis(2));
    let program = start_with_upstream(&upstream);
    for (count, length) in [(20, 10), (60, 212), (130, 212), (12, 5000), (3, 20_000)] {
        let mut client = program.connect();
        client.write(&(0..count).map(|number| numbered_request(number, length)).collect::<String>());
        for number in 0..count {
            let response =
                client.read_response().unwrap_or_else(|| panic!("{count}: {number} got no response"));
            assert_eq!(response.status(), 200, "{count}: {number}");
            assert_eq!(response.body, format!("{number:0<length$}").as_bytes(), "{count}: {number}");
        }
        assert!(client.request("post", LONG_BUDGET, "last").is_some(), "{count}: the connection is kept");
    }
}

/// Guards the time of a request that waits in the kernel: it runs from its last byte, and not from when it is read.
#[test]
fn a_request_that_waits_in_the_kernel_keeps_its_deadline() {
    let upstream = Upstream::start(|message| match message.body.starts_with(b"slow") {
        true => UpstreamAction::NeverRespond,
        false => UpstreamAction::Respond(ok_response("quick")),
    });
    let program = start_with_upstream(&upstream);
    let mut client = program.connect();
    let long_body = "b".repeat(30_000);
    let requests = [("1.0", "slow"), (LONG_BUDGET, &long_body), ("0.3", "quick"), (LONG_BUDGET, "quick")];
    client.write(&requests.map(|(budget, body)| request_text("post", budget, body)).concat());
    assert_eq!(client.read_response().expect("no response").status(), 502);
    assert_eq!(client.read_response().expect("no response").status(), 200);
    assert_ne!(client.read_response().expect("no response").status(), 200, "the request's time is over");
    assert_eq!(client.read_response().expect("no response").body, b"quick");
}

/// Guards clients that send much at once and leave: whatever of it waits in the kernel, none of it is sent on later.
#[test]
fn requests_of_a_client_that_has_left_are_not_sent_on() {
    let upstream = echoing_upstream(Duration::from_millis(20));
    let program = start_with_upstream(&upstream);
    for count in [30, 100, 300] {
        for mode in [DisconnectMode::Fin, DisconnectMode::Rst] {
            let mut client = program.connect();
            client.write(&(0..count).map(|number| numbered_request(number, 212)).collect::<String>());
            std::thread::sleep(Duration::from_millis(70)); // while a request is at the upstream
            client.disconnect(mode);
            let left_at = Instant::now();
            while left_at.elapsed() < MAX_ATTEMPT_DELAY {
                std::thread::sleep(Duration::from_millis(5));
            }
            upstream.take_request_count();
            std::thread::sleep(Duration::from_millis(400));
            assert_eq!(upstream.take_request_count(), 0, "{count} requests");
        }
    }
}
