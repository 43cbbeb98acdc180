//! Slow start in fleets of any size: each size under each shape of traffic and each pattern of cold servers.
//!
//! Virtual time and seeds alone decide a play, so that it comes out the same each time. CI plays one seed of each
//! cell; `SLOW_START_SEEDS=100 cargo test --locked --release --test slow_start_small_fleets -- --nocapture` plays a
//! hundred. Each line says what was served, and how soon the cold servers got their share.

mod common;
use balancer::decision::*;
use common::fleet::{Case, HEAVY, OVERLOAD, assert_kept, case};
use common::{MS, Rig, SAFE, SECOND, entry, sent, settings};

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
            overload_multiple: 4.0,
            initial_capacity: 0.32,
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

/// A server that is cold beside a warm one, with a balancer that knows its traffic: calls that the cold one gets
/// within a second, where each of its attempts ends in an outcome at once.
fn cold_attempts(outcome: AttemptOutcome) -> usize {
    let settings =
        Settings { zones: 1, replicas: 1, initial_capacity: 0.25, warm_up_time: 60 * SECOND, ..settings() };
    let mut rig = Rig::new(settings, &[entry(0, 0), entry(1, 0)]);
    for _ in 0..1000 {
        rig.serve(SAFE, 10 * MS);
    }
    let started = Some(rig.now);
    rig.tell(Event::EndpointsChanged(&[EndpointEntry { started, ..entry(1, 0) }]));
    let (end, mut attempts) = (rig.now + 4 * SECOND, 0);
    while rig.now < end {
        let (id, actions) = rig.demand(SAFE);
        let server = sent(&actions);
        rig.now += 10 * MS;
        if server == Some(1) {
            attempts += 1;
            let again = rig.end(id, 0, outcome, 0);
            if sent(&again) == Some(0) {
                rig.end(id, 1, AttemptOutcome::Success, 10 * MS);
            }
        } else {
            rig.end(id, 0, AttemptOutcome::Success, 10 * MS);
        }
    }
    attempts
}

#[test]
fn an_attempt_that_was_never_sent_gives_its_budget_back() {
    let (answered, never_sent) =
        (cold_attempts(AttemptOutcome::Success), cold_attempts(AttemptOutcome::NotSent));
    assert!((30..=70).contains(&answered), "{answered} calls were sent");
    // Nothing has reached the server, so that the next call may be sent there each time.
    assert!(never_sent > 2 * answered, "{never_sent} attempts that were never sent, {answered} that were");
}
