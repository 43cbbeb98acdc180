//! Steps of the wall clock, seen by a program that shows it.

#[path = "../../tests/common/fault_injector.rs"]
#[allow(dead_code)]
mod fault_injector;
#[path = "../../tests/common/wall_clock.rs"]
mod wall_clock;

use std::process::Command;
use wall_clock::WallClock;

const HOUR: i64 = 3_600_000;
/// More than a program takes to start.
const SLACK: u64 = 30_000;

/// What `date` shows, in milliseconds of Unix time.
fn shown(clock: &WallClock) -> u64 {
    let output = Command::new("date").arg("+%s%3N").envs(clock.environment()).output().unwrap();
    assert!(output.status.success(), "{output:?}");
    String::from_utf8(output.stdout).unwrap().trim().parse().unwrap()
}

#[test]
fn the_wall_clock_is_stepped_forward_and_back() {
    let mut clock = WallClock::new();
    for step in [0, HOUR, -2 * HOUR, HOUR, 5_000, -4_999, -1_500] {
        clock.step(step);
        let (before, shown) = (clock.unix_millis(), shown(&clock));
        assert!((before..before + SLACK).contains(&shown), "after a step of {step}: {before}, {shown}");
    }
}
