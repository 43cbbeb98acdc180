//! A request id that may have run is not sent again, in the same process or in the other one of a replacement.

mod common;

use common::process::*;
use std::os::fd::AsRawFd;
use std::time::Duration;

/// Time between the disconnect of the client and the second request.
const PAUSE: Duration = Duration::from_millis(20);

/// Sends a request that its client leaves, and the same again on a new connection once `before_repeat` has returned.
/// Checks that the request was sent only once.
fn check_sent_once(program: &Program, upstream: &Upstream, class: &str, before_repeat: impl FnOnce()) {
    let text = request_text(class, "2", "body");
    let mut client = program.connect();
    client.write(&text);
    upstream.next_request();
    client.disconnect(DisconnectMode::Fin);
    before_repeat();
    std::thread::sleep(PAUSE);
    let mut client = program.connect();
    client.write(&text);
    let response = client.read_response().expect("no response");
    assert_eq!(response.status(), 409, "{class}");
    assert_eq!(upstream.take_request_count(), 0, "{class}: the request was sent again");
}

/// An upstream that takes this long for each response.
fn slow_upstream(delay: Duration) -> Upstream {
    Upstream::start(move |_| {
        std::thread::sleep(delay);
        UpstreamAction::Respond(ok_response("done"))
    })
}

/// Guards against an id that runs twice, as it was forgotten when its client left.
#[test]
fn an_id_whose_client_has_left_is_not_sent_again() {
    let upstream = slow_upstream(Duration::from_millis(200));
    let program = Program::start(&config(refusing_address(), &in_service(&[&upstream])));
    for class in ["look", "pay", "post"] {
        check_sent_once(&program, &upstream, class, || {});
    }
}

/// Guards against an id that runs a second time after its response.
#[test]
fn an_id_that_was_served_is_not_sent_again() {
    let upstream = Upstream::start(|_| UpstreamAction::Respond(ok_response("done")));
    let program = Program::start(&config(refusing_address(), &in_service(&[&upstream])));
    let text = request_text("post", "2", "body");
    let statuses = [200, 409].map(|_| {
        let mut client = program.connect();
        client.write(&text);
        client.read_response().expect("no response").status()
    });
    assert_eq!(statuses, [200, 409]);
    assert_eq!(upstream.take_request_count(), 1);
}

/// Guards a request that was refused: it has not run, and may come again.
#[test]
fn an_id_that_was_never_sent_may_come_again() {
    let upstream = Upstream::start(|_| UpstreamAction::Respond(ok_response("done")));
    let discovery = Discovery::start();
    discovery.set_targets(&[]);
    let program = Program::start(&config(discovery.address, &[]));
    let text = request_text("post", "0.5", "body");
    let mut client = program.connect();
    client.write(&text);
    let status = client.read_response().expect("no response").status();
    assert!([502, 503].contains(&status), "{status}");
    discovery.publish(&in_service(&[&upstream]));
    let mut client = program.connect();
    client.write(&text);
    assert_eq!(client.read_response().expect("no response").status(), 200);
}

/// Guards against an id that runs again at the other process of an upgrade, in either direction.
#[test]
fn an_id_whose_client_has_left_is_not_sent_by_the_other_process() {
    let upstream = slow_upstream(Duration::from_millis(200));
    let listener = inheritable_listener();
    let folder =
        std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("ids-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let environment =
        [("LB_LISTEN_FD", listener.as_raw_fd().to_string()), ("TMPDIR", folder.to_str().unwrap().to_owned())];
    let config = config(refusing_address(), &in_service(&[&upstream]));
    let [old, new] = [(); 2].map(|()| Program::start_with(&config, &environment));
    for class in ["look", "pay", "post"] {
        for (first, second) in [(&old, &new), (&new, &old)] {
            second.pause();
            check_sent_once(&old, &upstream, class, || {
                first.pause();
                second.resume();
            });
            first.resume();
        }
    }
    drop((old, new));
    std::fs::remove_dir_all(&folder).ok();
}
