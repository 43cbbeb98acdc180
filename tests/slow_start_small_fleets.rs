//! Slow start in fleets of any size: each size with each traffic pattern and each pattern of cold endpoints.
//!
//! The simulations run on virtual time and depend on their seed alone, so that they are reproducible. CI runs
//! one seed of each combination. This runs a hundred:
//!
//! `SLOW_START_SEEDS=100 cargo test --locked --release --test slow_start_small_fleets -- --nocapture`
//!
//! Each line of the output reports the fraction of requests served, and how soon the cold endpoints got their
//! share.

mod common;
use balancer::decision::*;
use common::fleet::{Case, HEAVY, OVERLOAD, assert_slow_start_limits, base_case};
use common::{IDEMPOTENT, MS, SECOND, TestBalancer, endpoint_entry, sent_to, settings};

/// Seeds of each combination, unless `SLOW_START_SEEDS` is set.
const SEEDS: u64 = 1;
/// A traffic pattern: name, whether it is skewed, fraction and work of heavy requests, load.
type Traffic = (&'static str, bool, (f64, f64), (f64, f64));
/// No heavy requests.
const LIGHT: (f64, f64) = (0.0, 1.0);
/// Constant load, before and after the cold start.
const STEADY: (f64, f64) = (0.6, 0.6);
const TRAFFIC: [Traffic; 6] = [
    ("even", false, LIGHT, STEADY),
    ("skewed", true, LIGHT, STEADY),
    ("even, overload", false, LIGHT, OVERLOAD),
    ("skewed, overload", true, LIGHT, OVERLOAD),
    ("heavy", true, HEAVY, STEADY),
    ("heavy, overload", true, HEAVY, OVERLOAD),
];

/// The patterns of cold endpoints and other disturbances.
fn cold_patterns() -> Vec<Case> {
    let eight = Case { zones: 8, endpoints_per_zone: 3, ..base_case("one of eight zones cold") };
    vec![
        base_case("one cold"),
        Case { cold_endpoints: vec![0, 1, 2], ..base_case("three of a zone cold") },
        Case { cold_endpoints: (0..4).collect(), ..base_case("a zone cold") },
        Case { cold_endpoints: (0..12).collect(), ..base_case("the whole tier cold") },
        Case { cold_endpoints: vec![0, 1, 2], ..eight },
        Case { zones: 1, endpoints_per_zone: 6, ..base_case("one zone, one cold") },
        Case {
            zones: 2,
            endpoints_per_zone: 4,
            cold_endpoints: (0..4).collect(),
            overload_multiple: 4.0,
            initial_capacity: 0.32,
            window: 3 * SECOND,
            ..base_case("one of two zones cold, four times")
        },
        Case { max_list_delay: 3 * SECOND, drained: false, ..base_case("one cold, notified late") },
        Case { cold_endpoints: vec![0, 1], restart_rate: 1.0, ..base_case("two cold, all restarted") },
        Case {
            failure_rate: 0.1,
            not_sent_rate: 0.2,
            ..base_case("one cold, a tenth failing, a fifth never sent")
        },
        Case {
            answers_load_queries: true,
            cold_endpoints: vec![0, 1],
            ..base_case("two cold, load queries")
        },
        Case { burst: Some((0.1, 4.0)), ..base_case("one cold, a lull, then a burst") },
        Case { tier: 1, ..base_case("one cold, deeper tier") },
        Case { window: SECOND / 2, cold_endpoints: (0..4).collect(), ..base_case("a zone cold, 0.5 s") },
    ]
}

/// Checks slow start with a fleet of `balancers` under every combination of traffic and cold endpoints.
fn assert_slow_start_limits_with(balancers: usize) {
    let mut cases = Vec::new();
    for pattern in cold_patterns() {
        for (name, skewed, heavy, load) in TRAFFIC {
            let name = format!("{balancers} balancers, {name}, {}", pattern.name);
            cases.push(Case { name, balancers, skewed, heavy, load, ..pattern.clone() });
        }
    }
    assert_slow_start_limits(&cases, SEEDS);
}

#[test]
fn one_balancer() {
    assert_slow_start_limits_with(1);
}

#[test]
fn two_balancers() {
    assert_slow_start_limits_with(2);
}

#[test]
fn three_balancers() {
    assert_slow_start_limits_with(3);
}

#[test]
fn six_balancers() {
    assert_slow_start_limits_with(6);
}

#[test]
fn thirty_balancers() {
    assert_slow_start_limits_with(30);
}

#[test]
fn two_hundred_balancers() {
    assert_slow_start_limits_with(200);
}

/// Attempts that a cold endpoint beside a warm one gets within 4 s from a balancer with traffic statistics,
/// where each attempt at the cold endpoint ends in `outcome` at once.
fn cold_attempts(outcome: AttemptOutcome) -> usize {
    let settings =
        Settings { zones: 1, replicas: 1, initial_capacity: 0.25, warm_up_time: 60 * SECOND, ..settings() };
    let mut balancer = TestBalancer::new(settings, &[endpoint_entry(0, 0), endpoint_entry(1, 0)]);
    for _ in 0..1000 {
        balancer.serve(IDEMPOTENT, 10 * MS);
    }
    let started = Some(balancer.now);
    balancer.handle(Event::EndpointsChanged(&[EndpointEntry { started, ..endpoint_entry(1, 0) }]));
    let (end, mut attempts) = (balancer.now + 4 * SECOND, 0);
    while balancer.now < end {
        let (id, actions) = balancer.request(IDEMPOTENT);
        let endpoint = sent_to(&actions);
        balancer.now += 10 * MS;
        if endpoint == Some(1) {
            attempts += 1;
            let retry = balancer.end_attempt(id, 0, outcome, 0);
            if sent_to(&retry) == Some(0) {
                balancer.end_attempt(id, 1, AttemptOutcome::Success, 10 * MS);
            }
        } else {
            balancer.end_attempt(id, 0, AttemptOutcome::Success, 10 * MS);
        }
    }
    attempts
}

#[test]
fn an_attempt_that_was_never_sent_returns_its_slow_start_budget() {
    let (answered, never_sent) =
        (cold_attempts(AttemptOutcome::Success), cold_attempts(AttemptOutcome::NotSent));
    assert!((30..=70).contains(&answered), "{answered} attempts were sent");
    // No attempt has reached the endpoint, so the next request may be sent there each time.
    assert!(never_sent > 2 * answered, "{never_sent} attempts that were never sent, {answered} that were");
}
