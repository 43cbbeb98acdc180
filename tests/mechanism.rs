//! Tests of the decision module alone: endpoint selection, circuit breakers, retries, slow start and load
//! shedding. Each request ends exactly once; one that may have run is sent again only where its class allows
//! it; draining and removed endpoints get no new requests; and cold endpoints get no more than slow start
//! allows.

mod common;
use balancer::decision::*;
use common::*;
use std::collections::BTreeMap;

/// How many times each endpoint occurs.
fn counts(endpoints: impl IntoIterator<Item = u32>) -> BTreeMap<u32, u32> {
    let mut counts = BTreeMap::new();
    for endpoint in endpoints {
        *counts.entry(endpoint).or_insert(0) += 1;
    }
    counts
}

#[test]
fn healthy_own_zone_keeps_all_requests_and_spreads_them_evenly() {
    let mut balancer = TestBalancer::new(settings(), &endpoints_in_zones(3, 4));
    let selections = counts((0..400).filter_map(|_| balancer.serve(IDEMPOTENT, 20 * MS)));
    assert_eq!(selections.keys().copied().collect::<Vec<_>>(), [0, 1, 2, 3]);
    assert!(selections.values().all(|&count| (90..=110).contains(&count)), "{selections:?}");
}

/// Guards small fleets: a zone with a single healthy endpoint is not in trouble.
#[test]
fn other_zones_are_used_only_when_no_endpoint_of_the_own_zone_is_healthy() {
    for own_zone_endpoints in [1, 0] {
        let mut list = endpoints_in_zones(3, 4);
        list.retain(|entry| entry.zone.0 != 0 || entry.endpoint.0 < own_zone_endpoints);
        let mut balancer = TestBalancer::new(settings(), &list);
        let selections = counts((0..90).filter_map(|_| balancer.serve(IDEMPOTENT, 20 * MS)));
        assert_eq!(selections.len(), if own_zone_endpoints == 1 { 1 } else { 8 }, "{selections:?}");
    }
}

/// Guards against load shedding because of failed responses: they come as fast as others, and no requests
/// queue up.
#[test]
fn failed_answers_do_not_start_load_shedding() {
    let mut balancer = TestBalancer::new(settings(), &endpoints_in_zones(3, 4));
    let mut in_flight = std::collections::VecDeque::new();
    for request in 0..600 {
        balancer.now += 10 * MS;
        let (id, actions) = balancer.request(NON_IDEMPOTENT);
        assert!(!is_rejected(&actions), "request {request} was rejected");
        in_flight.push_back(id);
        if in_flight.len() > 14 {
            let outcome = if request % 2 == 0 { AttemptOutcome::Error } else { AttemptOutcome::Success };
            balancer.end_attempt(in_flight.pop_front().unwrap(), 0, outcome, 140 * MS);
        }
    }
}

#[test]
fn zone_with_half_of_its_endpoints_failing_sends_requests_elsewhere() {
    let mut balancer = TestBalancer::new(settings(), &endpoints_in_zones(3, 4));
    balancer.warm_up(40);
    for _ in 0..60 {
        balancer.run_attempts(IDEMPOTENT, |endpoint| {
            if endpoint < 2 { AttemptOutcome::Error } else { AttemptOutcome::Success }
        });
    }
    let selections = counts((0..60).filter_map(|_| balancer.serve(NON_IDEMPOTENT, 5 * MS)));
    assert!(selections.keys().any(|&endpoint| endpoint >= 4), "{selections:?}");
}

#[test]
fn zone_with_twice_its_usual_requests_in_flight_sends_requests_elsewhere() {
    let mut balancer = TestBalancer::new(settings(), &endpoints_in_zones(3, 4));
    balancer.warm_up(200);
    let endpoints: Vec<u32> = (0..40).filter_map(|_| sent_to(&balancer.request(IDEMPOTENT).1)).collect();
    assert!(endpoints[..4].iter().all(|&endpoint| endpoint < 4), "{endpoints:?}");
    assert!(endpoints.iter().any(|&endpoint| endpoint >= 4), "{endpoints:?}");
}

#[test]
fn zone_with_all_breakers_open_is_avoided() {
    let mut balancer = TestBalancer::new(settings(), &endpoints_in_zones(3, 3));
    balancer.warm_up(40);
    balancer.now += 2 * SECOND; // long enough that no earlier response counts any more
    for _ in 0..40 {
        balancer.run_attempts(IDEMPOTENT, |endpoint| {
            if endpoint < 3 { AttemptOutcome::ConnectFailed } else { AttemptOutcome::Success }
        });
    }
    // Non-idempotent requests are never sent as trials to a tripped endpoint, so only ordinary selection
    // shows.
    let selections = counts((0..60).filter_map(|_| balancer.serve(NON_IDEMPOTENT, MS)));
    assert!(selections.keys().all(|&endpoint| endpoint >= 3), "{selections:?}");
    assert!(
        selections.keys().any(|&endpoint| endpoint < 6) && selections.keys().any(|&endpoint| endpoint >= 6),
        "{selections:?}"
    );
}

#[test]
fn endpoint_at_its_in_flight_limit_is_skipped() {
    let mut balancer = TestBalancer::new(settings(), &endpoints_in_zones(1, 4));
    balancer.warm_up(100);
    let busy = sent_to(&balancer.request(IDEMPOTENT).1).expect("an endpoint is free");
    let selections = counts((0..12).filter_map(|_| balancer.serve(IDEMPOTENT, MS)));
    assert!(!selections.contains_key(&busy), "endpoint {busy} is at its limit: {selections:?}");
}

#[test]
fn requests_are_sent_at_once_when_all_endpoints_are_at_their_limit() {
    let mut balancer = TestBalancer::new(settings(), &endpoints_in_zones(1, 2));
    balancer.warm_up(50);
    let sends = (0..4).filter(|_| sent_to(&balancer.request(NON_IDEMPOTENT).1).is_some()).count();
    assert_eq!(sends, 4);
}

#[test]
fn breaker_opens_after_failures_in_a_row_and_closes_after_a_trial() {
    let mut balancer = TestBalancer::new(settings(), &endpoints_in_zones(1, 4));
    balancer.warm_up(100);
    for _ in 0..20 {
        balancer.run_attempts(IDEMPOTENT, |endpoint| {
            if endpoint == 2 { AttemptOutcome::Reset } else { AttemptOutcome::Success }
        });
    }
    let while_open = counts((0..20).filter_map(|_| balancer.serve(NON_IDEMPOTENT, MS)));
    assert!(!while_open.contains_key(&2), "{while_open:?}");
    balancer.now += 10 * SECOND;
    let after_trial = counts((0..40).filter_map(|_| balancer.serve(IDEMPOTENT, 20 * MS)));
    assert!(after_trial.contains_key(&2), "{after_trial:?}");
}

#[test]
fn half_open_breaker_lets_one_trial_out() {
    let mut balancer = TestBalancer::new(settings(), &endpoints_in_zones(1, 4));
    balancer.warm_up(100);
    for _ in 0..20 {
        balancer.run_attempts(IDEMPOTENT, |endpoint| {
            if endpoint == 2 { AttemptOutcome::Reset } else { AttemptOutcome::Success }
        });
    }
    balancer.now += 10 * SECOND;
    let first: Vec<u32> = (0..8).filter_map(|_| sent_to(&balancer.request(IDEMPOTENT).1)).collect();
    assert_eq!(first.iter().filter(|&&endpoint| endpoint == 2).count(), 1, "{first:?}");
}

#[test]
fn rejections_do_not_trip_a_breaker() {
    let mut balancer = TestBalancer::new(settings(), &endpoints_in_zones(1, 2));
    balancer.warm_up(50);
    for _ in 0..30 {
        balancer.run_attempts(IDEMPOTENT, |endpoint| {
            if endpoint == 1 { AttemptOutcome::Rejected } else { AttemptOutcome::Success }
        });
    }
    balancer.now += SECOND / 2;
    let selections = counts((0..10).filter_map(|_| balancer.serve(NON_IDEMPOTENT, 20 * MS)));
    assert!(selections.contains_key(&1), "{selections:?}");
}

#[test]
fn every_request_is_answered_once() {
    let mut balancer = TestBalancer::new(settings(), &endpoints_in_zones(3, 2));
    for outcome in
        [AttemptOutcome::Error, AttemptOutcome::Timeout, AttemptOutcome::Rejected, AttemptOutcome::NotSent]
    {
        for class in [IDEMPOTENT, NON_IDEMPOTENT, KEYED_ALL, KEYED_ZONE, KEYED_CELL] {
            let (tried, last_action) = balancer.run_attempts(class, |_| outcome);
            assert!(tried.len() <= 4);
            assert!(
                matches!(last_action, Some(Action::Reject { .. } | Action::Fail(_))),
                "{outcome:?} {last_action:?}"
            );
        }
    }
}

#[test]
fn request_without_any_endpoint_is_rejected_at_once() {
    let mut balancer = TestBalancer::new(settings(), &[]);
    assert!(is_rejected(&balancer.request(NON_IDEMPOTENT).1));
}

#[test]
fn non_idempotent_request_that_may_have_run_fails_and_is_not_rejected_or_retried() {
    let mut balancer = TestBalancer::new(settings(), &endpoints_in_zones(1, 4));
    let (tried, last_action) = balancer.run_attempts(NON_IDEMPOTENT, |_| AttemptOutcome::Reset);
    assert_eq!((tried.len(), last_action), (1, Some(Action::Fail(RequestId(0)))));
    let (tried, _) = balancer.run_attempts(NON_IDEMPOTENT, |_| AttemptOutcome::Rejected);
    assert_eq!(tried.len(), 4);
}

/// Guards against running a request again whose response is too long to be forwarded: the next one would be as long.
#[test]
fn request_with_an_undeliverable_response_ends_without_a_retry() {
    for class in [IDEMPOTENT, NON_IDEMPOTENT, KEYED_ALL] {
        let mut balancer = TestBalancer::new(settings(), &endpoints_in_zones(3, 4));
        balancer.warm_up(50);
        let (tried, end) = balancer.run_attempts(class, |_| AttemptOutcome::Undeliverable);
        assert_eq!(tried.len(), 1, "class {class}");
        let is_rejected = matches!(end, Some(Action::Reject { .. }));
        let is_failed = matches!(end, Some(Action::Fail(_)));
        assert_eq!((is_rejected, is_failed), (class == IDEMPOTENT, class != IDEMPOTENT), "class {class}");
    }
}

#[test]
fn keyed_request_is_retried_inside_its_group_and_window_only() {
    let mut balancer = TestBalancer::new(settings(), &endpoints_in_zones(3, 4));
    let (tried, _) = balancer.run_attempts(KEYED_ZONE, |_| AttemptOutcome::Error);
    assert!(tried.len() > 1 && tried.iter().all(|endpoint| endpoint / 4 == tried[0] / 4), "{tried:?}");
    let (tried, _) = balancer.run_attempts(KEYED_CELL, |_| AttemptOutcome::Error);
    assert!(tried.len() > 1 && tried.iter().all(|endpoint| endpoint % 2 == tried[0] % 2), "{tried:?}");
    let (id, _) = balancer.request(KEYED_ALL);
    balancer.now += SECOND + MS;
    assert_eq!(balancer.end_attempt(id, 0, AttemptOutcome::Error, SECOND + MS), [Action::Fail(id)]);
}

#[test]
fn draining_and_removed_endpoints_get_no_new_requests() {
    let mut balancer = TestBalancer::new(settings(), &endpoints_in_zones(1, 3));
    let mut drained = endpoint_entry(1, 0);
    drained.state = EndpointState::Draining;
    balancer.handle(Event::EndpointsChanged(&[drained]));
    balancer.handle(Event::EndpointList(&[
        endpoint_entry(0, 0),
        EndpointEntry { state: EndpointState::Draining, ..endpoint_entry(1, 0) },
    ]));
    let selections = counts((0..30).filter_map(|_| sent_to(&balancer.request(NON_IDEMPOTENT).1)));
    assert_eq!(selections.keys().copied().collect::<Vec<_>>(), [0]);
}

#[test]
fn cold_endpoint_gets_at_most_its_warm_share_times_its_relative_capacity() {
    let mut list = endpoints_in_zones(1, 4);
    let mut balancer = TestBalancer::new(settings(), &list);
    balancer.warm_up(500);
    list[3].started = Some(balancer.now);
    balancer.handle(Event::EndpointsChanged(&list[3..]));
    let selections = counts((0..100).filter_map(|_| balancer.serve(IDEMPOTENT, 20 * MS)));
    let cold = selections.get(&3).copied().unwrap_or(0);
    assert!((1..=11).contains(&cold), "{selections:?}");
}

#[test]
fn zone_restarted_cold_as_a_whole_is_spared_by_the_fallback_too() {
    let mut list = endpoints_in_zones(3, 4);
    let mut balancer = TestBalancer::new(settings(), &list);
    balancer.warm_up(500);
    for endpoint in &mut list[..4] {
        endpoint.started = Some(balancer.now);
    }
    balancer.handle(Event::EndpointList(&list));
    let selections = counts((0..100).filter_map(|_| balancer.serve(IDEMPOTENT, 20 * MS)));
    let cold: u32 = selections.range(..4).map(|(_, count)| count).sum();
    assert!((1..=45).contains(&cold), "{selections:?}");
    assert_eq!(selections.values().sum::<u32>(), 100);
}

#[test]
fn idempotent_request_is_retried_elsewhere_within_the_retry_budget() {
    let mut balancer = TestBalancer::new(settings(), &endpoints_in_zones(1, 8));
    let (tried, _) = balancer.run_attempts(IDEMPOTENT, |_| AttemptOutcome::Error);
    assert_eq!(tried.len(), 4);
    assert!(tried.windows(2).all(|pair| pair[0] != pair[1]), "{tried:?}");
    let attempts: usize =
        (0..200).map(|_| balancer.run_attempts(IDEMPOTENT, |_| AttemptOutcome::Error).0.len()).sum();
    assert!((200..=260).contains(&attempts), "{attempts} attempts for 200 requests");
}

#[test]
fn discovery_is_watched_once_and_again_after_a_jittered_backoff() {
    let mut balancer = TestBalancer {
        load_balancer: balancer::decision::LoadBalancer::new(polling_settings(), 5, 0).unwrap(),
        now: 0,
        next_id: 0,
    };
    let first = balancer.handle(Event::EndpointList(&endpoints_in_zones(1, 2)));
    let [Action::SetTimer { token, .. }] = first[..] else { panic!("{first:?}") };
    assert_eq!(balancer.handle(Event::Timer(token)), [Action::WatchEndpoints]);
    assert_eq!(balancer.handle(Event::EndpointsChanged(&[])), []);
    let again = balancer.handle(Event::DiscoveryFailed);
    assert!(
        matches!(again[..], [Action::SetTimer { after, .. }, Action::Log(_)] if after <= 350 * MS),
        "{again:?}"
    );
}

fn polling_settings() -> Settings {
    Settings { polls_discovery: true, ..settings() }
}

#[test]
fn disconnected_client_gets_no_answer_and_its_attempt_is_cancelled() {
    let mut balancer = TestBalancer::new(settings(), &endpoints_in_zones(1, 2));
    let (id, _) = balancer.request(IDEMPOTENT);
    assert_eq!(balancer.handle(Event::ClientDisconnected(id)), [Action::Cancel { id, attempt: 0 }]);
    assert_eq!(balancer.handle(Event::ClientDisconnected(id)), []);
    assert_eq!(balancer.end_attempt(id, 0, AttemptOutcome::Cancelled, MS), []);
}

#[test]
fn overload_sheds_the_lowest_priority_first() {
    let mut balancer = TestBalancer::new(settings(), &endpoints_in_zones(1, 4));
    balancer.warm_up(100);
    let mut in_flight = std::collections::VecDeque::new();
    let mut served = [0, 0];
    // 400 requests a second of each class, and 100 responses a second.
    for step in 0..2000 {
        balancer.now += 5 * MS;
        for class in [IDEMPOTENT, NON_IDEMPOTENT, IDEMPOTENT, NON_IDEMPOTENT] {
            let (id, actions) = balancer.request(class);
            if sent_to(&actions).is_some() {
                in_flight.push_back((id, balancer.now));
                served[class] += u32::from(step > 400);
            }
        }
        if let (0, Some((id, sent_at))) = (step % 2, in_flight.front().copied()) {
            in_flight.pop_front();
            balancer.end_attempt(id, 0, AttemptOutcome::Success, balancer.now - sent_at);
        }
    }
    assert!(served[IDEMPOTENT] * 10 < served[NON_IDEMPOTENT], "{served:?}");
    assert!(
        in_flight.len() < 100,
        "{} in flight at 100 responses a second and a latency objective of 500 ms",
        in_flight.len()
    );
}

#[test]
fn requests_are_spread_by_endpoint_capacity() {
    let mut list = endpoints_in_zones(1, 4);
    list[0].capacity = 0.5;
    let mut balancer = TestBalancer::new(settings(), &list);
    let selections = counts((0..350).filter_map(|_| balancer.serve(IDEMPOTENT, 20 * MS)));
    assert!((40..=60).contains(&selections[&0]) && (90..=110).contains(&selections[&1]), "{selections:?}");
}

#[test]
fn log_lines_report_each_change_once_or_twice() {
    let count_lines = |actions: &[Action], phrase: &str| {
        actions.iter().filter(|action| matches!(action, Action::Log(text) if text.contains(phrase))).count()
    };
    let mut balancer = TestBalancer::new(settings(), &endpoints_in_zones(2, 4));
    balancer.warm_up(100);
    let mut all_actions = Vec::new();
    for _ in 0..100 {
        let (id, mut actions) = balancer.request(IDEMPOTENT);
        for attempt in 0..4 {
            all_actions.extend(actions.clone());
            let Some(endpoint) = sent_to(&actions) else { break };
            balancer.now += 10 * MS;
            let outcome = if endpoint < 4 { AttemptOutcome::Error } else { AttemptOutcome::Success };
            actions = balancer.end_attempt(id, attempt, outcome, 10 * MS);
        }
        all_actions.extend(actions);
    }
    let lines =
        [count_lines(&all_actions, "breaker of endpoint"), count_lines(&all_actions, "own zone 0 avoided")];
    assert!(lines.iter().all(|count| (1..=2).contains(count)), "{lines:?}");
    let failed = balancer.handle(Event::DiscoveryFailed);
    assert_eq!(count_lines(&failed, "discovery failed 1 times"), 1);
}

/// Guards restarts during a release: a balancer without statistics still uses a fleet in which every endpoint
/// is cold.
#[test]
fn new_balancer_uses_a_cold_fleet() {
    let mut list = endpoints_in_zones(3, 1);
    list.iter_mut().for_each(|entry| entry.started = Some(SECOND / 2));
    let mut balancer = TestBalancer::new(settings(), &list);
    let served = (0..200).filter_map(|_| balancer.serve(IDEMPOTENT, 20 * MS)).count();
    assert!(served > 40, "{served} of 200 requests served in 4 s, at a quarter of the capacity or more");
}

/// Guards an endpoint under repair: no path of the module sends to it, and no endpoint list brings it back.
#[test]
fn an_offline_endpoint_gets_no_requests_on_any_path() {
    let list = endpoints_in_zones(1, 2);
    let mut balancer = TestBalancer::new(settings(), &list);
    balancer.handle(Event::Offline(EndpointId(0)));
    assert_eq!(balancer.load_balancer.unavailable_count(), 1);
    for _ in 0..20 {
        // Each request is retried as often as the settings allow.
        let (tried, _) = balancer.run_attempts(IDEMPOTENT, |_| AttemptOutcome::Rejected);
        assert!(tried.iter().all(|endpoint| *endpoint == 1), "{tried:?}");
        balancer.now += SECOND;
        balancer.handle(Event::EndpointList(&list));
        balancer.handle(Event::EndpointsChanged(&list[..1]));
    }
    balancer.handle(Event::Offline(EndpointId(1)));
    let (_, actions) = balancer.request(IDEMPOTENT);
    assert!(sent_to(&actions).is_none() && is_rejected(&actions));
}

#[test]
fn an_offline_endpoint_stays_offline_when_it_is_listed_again() {
    let list = endpoints_in_zones(1, 2);
    let mut balancer = TestBalancer::new(settings(), &list[1..]);
    balancer.handle(Event::Offline(EndpointId(0)));
    balancer.handle(Event::EndpointList(&list));
    balancer.warm_up(20);
    assert!((0..20).all(|_| balancer.serve(IDEMPOTENT, 20 * MS) == Some(1)));
    balancer.handle(Event::EndpointList(&list[1..]));
    balancer.handle(Event::EndpointList(&list));
    assert!((0..20).all(|_| balancer.serve(IDEMPOTENT, 20 * MS) == Some(1)));
}

/// Guards an endpoint that comes back cold although discovery reports no restart.
#[test]
fn an_endpoint_back_online_warms_up_as_a_cold_one() {
    let list = endpoints_in_zones(1, 2);
    let mut balancer = TestBalancer::new(settings(), &list);
    balancer.warm_up(200);
    let share = |balancer: &mut TestBalancer| {
        (0..200).filter(|_| balancer.serve(IDEMPOTENT, 20 * MS) == Some(0)).count()
    };
    let before = share(&mut balancer);
    balancer.handle(Event::Offline(EndpointId(0)));
    balancer.handle(Event::Online(EndpointId(0)));
    let cold = share(&mut balancer);
    assert!(cold > 0 && cold < before / 2, "{before} of 200 requests before, {cold} right after");
    balancer.now += 10 * SECOND;
    balancer.handle(Event::Online(EndpointId(0)));
    assert!(share(&mut balancer) > before / 2, "bringing it online again does not restart the warm-up");
}

/// Guards a request whose body has been consumed in part against a retry without that part.
#[test]
fn a_request_with_a_consumed_body_is_not_retried() {
    let mut balancer = TestBalancer::new(settings(), &endpoints_in_zones(1, 3));
    for (outcome, body_consumed) in
        [(AttemptOutcome::ConnectFailed, true), (AttemptOutcome::ConnectFailed, false)]
    {
        let (id, actions) = balancer.request(IDEMPOTENT);
        assert!(sent_to(&actions).is_some());
        let end =
            AttemptEnd { attempt: 0, outcome, elapsed: MS, request_closed: false, body_consumed, load: None };
        let actions = balancer.handle(Event::AttemptEnded(id, end));
        assert_eq!((sent_to(&actions).is_some(), is_rejected(&actions)), (!body_consumed, body_consumed));
    }
}

/// Guards an endpoint against counting as late while the client is still writing its request.
#[test]
fn a_request_still_streaming_never_makes_its_endpoint_late() {
    let mut balancer = TestBalancer::new(settings(), &endpoints_in_zones(1, 2));
    balancer.warm_up(50);
    let timer_count = |actions: &[Action]| {
        actions.iter().filter(|action| matches!(action, Action::SetTimer { .. })).count()
    };
    for (body_incomplete, expected) in [(false, 1), (true, 0)] {
        let incoming = IncomingRequest {
            class: IDEMPOTENT,
            tenant: 0,
            time_left: 2 * SECOND,
            work: None,
            body_incomplete,
        };
        balancer.next_id += 1;
        let actions = balancer.handle(Event::Request(RequestId(balancer.next_id + 1000), incoming));
        assert!(sent_to(&actions).is_some());
        assert_eq!(timer_count(&actions), expected, "body_incomplete: {body_incomplete}");
    }
}

/// Guards an endpoint that streams long responses against counting as full, and clients against an endpoint
/// that breaks its responses off.
#[test]
fn a_started_response_is_not_in_flight_and_counts_as_a_failure_if_it_breaks_off() {
    let mut balancer = TestBalancer::new(settings(), &endpoints_in_zones(1, 2));
    balancer.warm_up(100);
    let mut started = Vec::new();
    for _ in 0..20 {
        let (id, actions) = balancer.request(IDEMPOTENT);
        started.push((id, sent_to(&actions).expect("an endpoint was selected")));
        balancer.now += 20 * MS;
        balancer.handle(Event::ResponseStarted(id, 0));
    }
    let sent_count = |endpoint: u32| started.iter().filter(|(_, selected)| *selected == endpoint).count();
    assert_eq!(
        (sent_count(0), sent_count(1)),
        (10, 10),
        "an even share, however many responses are still streaming"
    );
    for &(id, endpoint) in &started {
        let outcome = if endpoint == 0 { AttemptOutcome::Reset } else { AttemptOutcome::Success };
        let end = AttemptEnd {
            attempt: 0,
            outcome,
            elapsed: 9 * SECOND,
            request_closed: true,
            body_consumed: false,
            load: None,
        };
        assert_eq!(
            sent_to(&balancer.handle(Event::AttemptEnded(id, end))),
            None,
            "its response went to the client already"
        );
    }
    assert_eq!(balancer.load_balancer.unavailable_count(), 1, "its breaker is open");
    assert_eq!(balancer.serve(IDEMPOTENT, 20 * MS), Some(1));
}
