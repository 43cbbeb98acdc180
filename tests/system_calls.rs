//! System calls of the real program fail, by the plan of the fault injector.

mod common;

use common::fault_injector::Faults;
use common::process::*;

/// Calls made where one in three of the system calls fails.
const CALLS: usize = 90;

/// Starts the program before one upstream, with faults.
fn start(faults: &Faults) -> (Program, Upstream) {
    let upstream = Upstream::start(|_| Act::Answer(ok("served")));
    let config = config(refusing(), &in_service(&[&upstream]));
    (Program::start_with(&config, &faults.environment()), upstream)
}

/// Guards callers where the connection at the head of the backlog is gone: whoever comes next is served all the same.
#[test]
fn connections_of_callers_fail_for_a_moment() {
    for error in ["ECONNABORTED", "EPROTO", "ENETDOWN", "EPERM"] {
        let faults = Faults::new(format!("accept:{error}:share=0.33:seed=7"));
        let (program, _upstream) = start(&faults);
        for _ in 0..CALLS {
            assert_eq!(program.call("look").status(), 200, "{error}");
        }
        assert!(faults.injected("accept", error) > CALLS / 6, "{error} was hardly injected");
    }
}
