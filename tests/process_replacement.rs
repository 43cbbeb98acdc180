//! What a process that replaces another one during an outage of discovery knows of the endpoint list.

mod common;

use common::operator::{config_with_admin, shared_folder};
use common::process::*;
use std::os::fd::AsRawFd;
use std::path::Path;
use std::time::Duration;

/// What discovery has told binds a new process from this time after its start on.
const NEWS_BIND_AFTER: Duration = Duration::from_secs(2);

/// Whether a process has stored which endpoints get no new requests. It does so within a tenth of a second.
fn has_withdrawn_endpoints(folder: &Path) -> bool {
    let mut names = std::fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().file_name());
    names.any(|name| name.to_string_lossy().starts_with("withdrawn-endpoints-"))
}

/// Sends many requests, and returns how many of them an upstream got.
fn requests_at(upstream: &Upstream, program: &Program) -> usize {
    upstream.take_request_count();
    for _ in 0..30 {
        assert_eq!(program.request("look").status(), 200);
    }
    upstream.take_request_count()
}

/// Guards the drain rule over an upgrade: a process that starts while discovery is down used upstreams of which the process that it
/// replaced had been told that they drain, or that they are gone.
#[test]
fn a_process_that_starts_in_an_outage_uses_no_withdrawn_upstream() {
    for is_removed in [false, true] {
        let [withdrawn, kept] = ["withdrawn", "kept"]
            .map(|name| Upstream::start(move |_| UpstreamAction::Respond(ok_response(name))));
        let targets =
            |state| [target("s-0", withdrawn.address, state), target("s-1", kept.address, "in_service")];
        let discovery = ManualPeer::open();
        let config = config_with_admin(discovery.address, &targets("in_service"));
        let socket = inheritable_listener();
        let folder = shared_folder(&format!("replaced-in-an-outage-{is_removed}"));
        let environment = [
            ("LB_LISTEN_FD", socket.as_raw_fd().to_string()),
            ("TMPDIR", folder.to_str().unwrap().to_owned()),
        ];
        let old = Program::start_with(&config, &environment);
        let mut agent = discovery.accept();
        agent.read();
        let list = match is_removed {
            true => list_response(2, true, &targets("in_service")[1..]),
            false => list_response(2, false, &targets("terminating")[..1]),
        };
        agent.write(&list);
        agent.read(); // the list has been applied; discovery is down from now on
        eventually("the old process tells of it", || has_withdrawn_endpoints(&folder));
        let new = Program::start_with(&config, &environment);
        old.terminate(); // the new one is ready at once
        std::thread::sleep(NEWS_BIND_AFTER);
        drop(old);
        assert_eq!(requests_at(&withdrawn, &new), 0, "removed: {is_removed}");

        // What discovery tells the new process goes before what the old one knew.
        loop {
            let mut agent = discovery.accept();
            let Some(_) = agent.try_read() else { continue };
            agent.try_write(&list_response(3, true, &targets("in_service")));
            if agent.try_read().is_some() {
                break;
            }
        }
        eventually("the upstream is used again", || requests_at(&withdrawn, &new) > 0);
        drop(new);
        std::fs::remove_dir_all(folder).unwrap();
    }
}
