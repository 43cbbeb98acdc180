//! Checks with the `date` program that steps of the injected wall clock take effect.

#[path = "../../tests/common/fault_injector.rs"]
#[allow(dead_code)]
mod fault_injector;
#[path = "../../tests/common/wall_clock.rs"]
mod wall_clock;

use std::process::Command;
use wall_clock::WallClock;

const HOUR_MS: i64 = 3_600_000;
/// Upper bound for the time that `date` takes to start, in milliseconds.
const MAX_START_MS: u64 = 30_000;

/// Returns the time of the wall clock that `date` shows, in milliseconds of Unix time.
fn unix_millis_from_date(clock: &WallClock) -> u64 {
    let output = Command::new("date").arg("+%s%3N").envs(clock.environment()).output().unwrap();
    assert!(output.status.success(), "{output:?}");
    String::from_utf8(output.stdout).unwrap().trim().parse().unwrap()
}

#[test]
fn the_wall_clock_is_stepped_forward_and_back() {
    let mut clock = WallClock::new();
    for step in [0, HOUR_MS, -2 * HOUR_MS, HOUR_MS, 5_000, -4_999, -1_500] {
        clock.step(step);
        let (before, displayed) = (clock.unix_millis(), unix_millis_from_date(&clock));
        assert!(
            (before..before + MAX_START_MS).contains(&displayed),
            "after a step of {step}: expected at least {before}, `date` shows {displayed}"
        );
    }
}
