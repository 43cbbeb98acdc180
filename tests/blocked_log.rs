//! A log that nobody reads delays no request.

mod common;

use common::process::*;
use std::time::{Duration, Instant};

/// A request is served within this time, although log lines cannot be written.
const MAX_DELAY: Duration = Duration::from_secs(5);

/// Guards against a process that stops altogether, as its first log line waits for a full pipe.
#[test]
fn requests_are_served_while_standard_error_is_full_and_unread() {
    let upstream = Upstream::start(|message| match message.first_line.contains("/look") {
        true => UpstreamAction::Respond(ok_response("done")),
        false => UpstreamAction::RespondAndClose("no response\r\n\r\n".into()),
    });
    let mut program = Program::start(&config(refusing_address(), &in_service(&[&upstream])));
    program.fill_log_pipe();
    let started_at = Instant::now();
    for _ in 0..30 {
        program.request("post"); // fails, and has something to log
    }
    let statuses = [(); 30].map(|()| program.request("look").status());
    assert!(statuses.iter().all(|status| [200, 503].contains(status)), "{statuses:?}");
    assert!(started_at.elapsed() < MAX_DELAY, "{:?}", started_at.elapsed());
    program.terminate();
    program.wait_for_exit_unread();
}
