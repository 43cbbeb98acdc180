//! Slow start in fleets of any size: each size under each shape of traffic and each pattern of cold servers.
//!
//! Virtual time and seeds alone decide a play, so that it comes out the same each time. CI plays one seed of each
//! cell; `SLOW_START_SEEDS=100 cargo test --locked --release --test slow_start_small_fleets -- --nocapture` plays a
//! hundred. Each line says what was served, and how soon the cold servers got their share.

mod common;
use common::fleet::{Case, HEAVY, OVERLOAD, assert_kept, case};
use common::SECOND;

/// Seeds of each cell, unless `SLOW_START_SEEDS` asks for more.
const SEEDS: u64 = 1;
/// Traffic: name, skewed, part of the calls that are heavy, load.
type Traffic = (&'static str, bool, (f64, f64), (f64, f64));
const LIGHT: (f64, f64) = (0.0, 1.0);
const STEADY: (f64, f64) = (0.6, 0.6);
const TRAFFIC: [Traffic; 6] = [
    ("even", false, LIGHT, STEADY),
    ("skewed", true, LIGHT, STEADY),
    ("even, overload", false, LIGHT, OVERLOAD),
    ("skewed, overload", true, LIGHT, OVERLOAD),
    ("heavy", true, HEAVY, STEADY),
    ("heavy, overload", true, HEAVY, OVERLOAD),
];

/// What is cold, and what else goes on.
fn patterns() -> Vec<Case> {
    let eight = Case { zones: 8, each: 3, ..case("one of eight zones cold") };
    vec![
        case("one cold"),
        Case { cold: vec![0, 1, 2], ..case("three of a zone cold") },
        Case { cold: (0..4).collect(), ..case("a zone cold") },
        Case { cold: (0..12).collect(), ..case("the whole tier cold") },
        Case { cold: vec![0, 1, 2], ..eight },
        Case { zones: 1, each: 6, ..case("one zone, one cold") },
        Case {
            zones: 2,
            each: 4,
            cold: (0..4).collect(),
            tip_multiple: 4.0,
            start_capacity: 0.32,
            window: 3 * SECOND,
            ..case("one of two zones cold, four times")
        },
        Case { late: 3 * SECOND, drained: false, ..case("one cold, told late") },
        Case { cold: vec![0, 1], restarted: 1.0, ..case("two cold, all restarted") },
        Case { failing: 0.1, unsent: 0.2, ..case("one cold, a tenth failing, a fifth never sent") },
        Case { asked: true, cold: vec![0, 1], ..case("two cold, asked first") },
        Case { burst: Some((0.1, 4.0)), ..case("one cold, a lull, then a burst") },
        Case { tier: 1, ..case("one cold, deeper tier") },
        Case { window: SECOND / 2, cold: (0..4).collect(), ..case("a zone cold, 0.5 s") },
    ]
}

fn assert_kept_with(balancers: usize) {
    let mut cells = Vec::new();
    for pattern in patterns() {
        for (name, skewed, heavy, load) in TRAFFIC {
            let name = format!("{balancers} balancers, {name}, {}", pattern.name);
            cells.push(Case { name, balancers, skewed, heavy, load, ..pattern.clone() });
        }
    }
    assert_kept(&cells, SEEDS);
}

#[test]
fn one_balancer() {
    assert_kept_with(1);
}

#[test]
fn two_balancers() {
    assert_kept_with(2);
}

#[test]
fn three_balancers() {
    assert_kept_with(3);
}

#[test]
fn six_balancers() {
    assert_kept_with(6);
}

#[test]
fn thirty_balancers() {
    assert_kept_with(30);
}

#[test]
fn two_hundred_balancers() {
    assert_kept_with(200);
}
