//! Recovery of a tier without intervention: overload must not persist as a metastable failure after its cause has
//! ended.

mod common;
use balancer::decision::*;
use common::queued_tier::{QueuedTier, Workload};
use common::*;

/// Load below half of the capacity of the endpoints, except for a burst of three times the capacity.
const WORKLOAD: Workload = Workload {
    balancers: 4,
    endpoints: 3,
    rate: 8.0,
    mean_work: 45e6,
    congestion_threshold: 12,
    slowdown: 3.0,
    burst: (20, 24, 6.0),
};

/// Settings in which responses after the latency objective are worthless, so that requests are given up then.
fn settings_without_late_value() -> Settings {
    let mut settings = settings();
    settings.classes.iter_mut().for_each(|class| class.late_weight = 0.0);
    settings
}

/// Endpoints process every attempt that they were sent, including those that were given up. When all
/// endpoints of a tier are backlogged with such attempts and the balancers keep sending, new requests are given
/// up as well and replace the old ones in the queues, so that no request is ever served again. The balancers must
/// prevent this.
#[test]
fn a_tier_recovers_from_a_burst_that_filled_its_queues() {
    for seed in 0..12 {
        let mut tier =
            QueuedTier::new(WORKLOAD, &settings_without_late_value(), IDEMPOTENT, 2 * SECOND, seed);
        tier.run(60);
        let (before, after) = (tier.served_share(5, 20), tier.served_share(45, 58));
        assert!(before > 0.9, "seed {seed}: {before:.2} served before the burst");
        assert!(after > 0.6, "seed {seed}: {after:.2} served from 20 s after the burst on");
    }
}

/// Sends a burst of requests and ends all of their attempts with `outcome` after some time.
fn fail_burst(balancer: &mut TestBalancer, outcome: AttemptOutcome, after: u64) {
    let ids: Vec<RequestId> = (0..60).map(|_| balancer.request(NON_IDEMPOTENT).0).collect();
    balancer.now += after;
    for id in ids {
        balancer.end_attempt(id, 0, outcome, after);
    }
}

#[test]
fn endpoints_that_do_not_answer_get_only_trials_until_one_is_answered() {
    let mut balancer = TestBalancer::new(settings(), &endpoints_in_zones(1, 3));
    (0..60).for_each(|_| assert!(balancer.serve(NON_IDEMPOTENT, 20 * MS).is_some()));
    fail_burst(&mut balancer, AttemptOutcome::Timeout, 500 * MS);
    assert_eq!(balancer.load_balancer.unavailable_count(), 3);
    assert!(is_rejected(&balancer.request(IDEMPOTENT).1), "all endpoints may be backlogged by the burst");
    balancer.now += 20 * SECOND; // longer than any breaker stays open
    let trials: Vec<(RequestId, Vec<Action>)> = (0..3).map(|_| balancer.request(IDEMPOTENT)).collect();
    let mut tried: Vec<u32> = trials.iter().filter_map(|(_, actions)| sent_to(actions)).collect();
    tried.sort_unstable();
    assert_eq!(tried, [0, 1, 2], "one trial at each endpoint");
    assert!(is_rejected(&balancer.request(IDEMPOTENT).1), "a trial is in flight at each endpoint");
    balancer.now += 20 * MS;
    balancer.end_attempt(trials[0].0, 0, AttemptOutcome::Success, 20 * MS);
    let again: Vec<u32> = (0..3).filter_map(|_| sent_to(&balancer.request(IDEMPOTENT).1)).collect();
    assert!(
        !again.is_empty() && again.iter().all(|endpoint| Some(*endpoint) == sent_to(&trials[0].1)),
        "{again:?}"
    );
}

/// An endpoint that responds, even with an error, has no backlog, so sending to it is better than rejecting the
/// request.
#[test]
fn endpoints_that_answer_with_errors_are_used_though_all_breakers_are_open() {
    let mut balancer = TestBalancer::new(settings(), &endpoints_in_zones(1, 3));
    balancer.warm_up(60);
    for _ in 0..60 {
        let (tried, _) = balancer.run_attempts(NON_IDEMPOTENT, |_| AttemptOutcome::Error);
        assert_eq!(tried.len(), 1);
    }
    assert_eq!(balancer.load_balancer.unavailable_count(), 3);
    assert!(sent_to(&balancer.request(IDEMPOTENT).1).is_some());
}
