//! What a tier recovers from by itself: states that could go on when what brought them about is over.

mod common;
use common::queued_tier::{Load, QueuedTier};
use common::*;
use woadstall::api::*;

/// Under half of what the servers can do, but for a burst of three times that.
const LOAD: Load = Load {
    balancers: 4,
    servers: 3,
    rate: 8.0,
    work: 45e6,
    congested_from: 12,
    slowdown: 3.0,
    burst: (20, 24, 6.0),
};

/// Answers after the aim are worth nothing, so that calls are given up then.
fn punctual_settings() -> Settings {
    let mut settings = settings();
    settings.classes.iter_mut().for_each(|class| class.late_worth = 0.0);
    settings
}

/// A server works off what it was sent, also what was given up. Where all servers of a tier are behind with such
/// work, new calls are given up as well, and take the place of the old ones in the queues: nothing is ever served.
#[test]
fn a_tier_recovers_from_a_burst_that_filled_its_queues() {
    for seed in 0..12 {
        let mut tier = QueuedTier::new(LOAD, &punctual_settings(), SAFE, 2 * SECOND, seed);
        tier.run(60);
        let (before, after) = (tier.share(5, 20), tier.share(45, 58));
        assert!(before > 0.9, "seed {seed}: {before:.2} served before the burst");
        assert!(after > 0.6, "seed {seed}: {after:.2} served from 20 s after the burst on");
    }
}

/// A burst of requests, each of whose attempts ends like that after some time.
fn fail_a_burst(rig: &mut Rig, outcome: Outcome, after: u64) {
    let ids: Vec<RequestId> = (0..60).map(|_| rig.demand(UNSAFE).0).collect();
    rig.now += after;
    for id in ids {
        rig.end(id, 0, outcome, after);
    }
}

#[test]
fn servers_without_answers_are_left_alone_until_a_trial_is_answered() {
    let mut rig = Rig::new(settings(), &zones(1, 3));
    (0..60).for_each(|_| assert!(rig.serve(UNSAFE, 20 * MS).is_some()));
    fail_a_burst(&mut rig, Outcome::Timeout, 500 * MS);
    assert_eq!(rig.balancer.avoided(), 3);
    assert!(refused(&rig.demand(SAFE).1), "all are behind with the burst");
    rig.now += 20 * SECOND; // longer than any breaker stays open
    let trials: Vec<(RequestId, Vec<Action>)> = (0..3).map(|_| rig.demand(SAFE)).collect();
    let mut tried: Vec<u32> = trials.iter().filter_map(|(_, actions)| sent(actions)).collect();
    tried.sort_unstable();
    assert_eq!(tried, [0, 1, 2], "one trial each");
    assert!(refused(&rig.demand(SAFE).1), "a trial is out at each");
    rig.now += 20 * MS;
    rig.end(trials[0].0, 0, Outcome::Ok, 20 * MS);
    let again: Vec<u32> = (0..3).filter_map(|_| sent(&rig.demand(SAFE).1)).collect();
    assert!(!again.is_empty() && again.iter().all(|server| Some(*server) == sent(&trials[0].1)), "{again:?}");
}

/// An answer, be it an error, leaves no work at the server: better such a server than none.
#[test]
fn servers_that_answer_with_errors_are_tried_though_all_are_tripped() {
    let mut rig = Rig::new(settings(), &zones(1, 3));
    rig.warm_up(60);
    for _ in 0..60 {
        let (tried, _) = rig.run(UNSAFE, |_| Outcome::Error);
        assert_eq!(tried.len(), 1);
    }
    assert_eq!(rig.balancer.avoided(), 3);
    assert!(sent(&rig.demand(SAFE).1).is_some());
}
