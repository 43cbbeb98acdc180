//! Regression tests: one for each failure found by measurement. Each fails without the fix that it names.

mod common;
use balancer::decision::*;
use common::*;

/// A full endpoint rejects at once, so it had no requests in flight and got all requests whose endpoints were
/// at their limit.
#[test]
fn rejecting_endpoint_does_not_attract_the_requests_of_busy_ones() {
    let mut balancer = TestBalancer::new(settings(), &endpoints_in_zones(1, 4));
    balancer.warm_up(200);
    let mut rejections = 0;
    for _ in 0..40 {
        let (id, mut actions) = balancer.request(IDEMPOTENT);
        let mut attempt = 0;
        while sent_to(&actions) == Some(3) {
            rejections += 1;
            actions = balancer.end_attempt(id, attempt, AttemptOutcome::Rejected, MS / 10);
            attempt += 1;
        }
    }
    assert!(rejections <= 2, "{rejections} of 40 requests went to the rejecting endpoint");
}

/// A zone whose endpoints all reject looks idle by the requests in flight: its balancers kept sending all
/// requests to it.
#[test]
fn zone_that_only_rejects_is_avoided() {
    let mut balancer = TestBalancer::new(settings(), &endpoints_in_zones(2, 3));
    balancer.warm_up(100);
    let mut elsewhere = 0;
    for _ in 0..20 {
        let (id, mut actions) = balancer.request(IDEMPOTENT);
        elsewhere += u32::from(sent_to(&actions).is_some_and(|endpoint| endpoint >= 3));
        for attempt in 0..4 {
            balancer.now += MS;
            let Some(endpoint) = sent_to(&actions) else { break };
            let outcome = if endpoint < 3 { AttemptOutcome::Rejected } else { AttemptOutcome::Success };
            actions = balancer.end_attempt(id, attempt, outcome, MS);
        }
    }
    assert!(elsewhere >= 10, "{elsewhere} of 20 requests were sent to the other zone first");
}

/// An endpoint that rejected one class was skipped for all classes, which overloaded its neighbours; and each
/// request of that class was sent to it first.
#[test]
fn endpoint_that_rejects_one_class_keeps_its_share_of_the_others() {
    let mut balancer = TestBalancer::new(settings(), &endpoints_in_zones(1, 4));
    balancer.warm_up(100);
    let (mut rejected, mut kept) = (0, 0);
    let mut rng = fastrand::Rng::with_seed(7); // classes in a fixed order would align with the selection order
    for _ in 0..600 {
        if rng.u8(..3) > 0 {
            kept += u32::from(balancer.serve(IDEMPOTENT, 20 * MS) == Some(1));
            continue;
        }
        let rejecting =
            |endpoint| if endpoint == 1 { AttemptOutcome::Rejected } else { AttemptOutcome::Success };
        let (tried, end) = balancer.run_attempts(NON_IDEMPOTENT, rejecting);
        assert_eq!(end, None, "another endpoint serves it");
        rejected += u32::from(tried.contains(&1));
    }
    assert!(rejected <= 15, "{rejected} of some 200 requests were rejected first");
    assert!(kept >= 90, "{kept} of some 400 requests of the other class went to it");
}

/// An endpoint that failed one class kept its breaker closed by its responses to the others, and a quarter of
/// that class failed.
#[test]
fn endpoint_that_fails_one_class_gets_no_more_of_it() {
    let mut balancer = TestBalancer::new(settings(), &endpoints_in_zones(1, 4));
    balancer.warm_up(100);
    let (mut failed, mut kept) = (0, 0);
    let mut rng = fastrand::Rng::with_seed(7);
    for _ in 0..600 {
        if rng.u8(..3) > 0 {
            kept += u32::from(balancer.serve(IDEMPOTENT, 20 * MS) == Some(1));
        } else {
            let failing =
                |endpoint| if endpoint == 1 { AttemptOutcome::Error } else { AttemptOutcome::Success };
            failed += u32::from(balancer.run_attempts(NON_IDEMPOTENT, failing).0.contains(&1));
        }
    }
    assert!(failed <= 20, "{failed} of some 200 requests failed");
    assert!(kept >= 50, "{kept} of some 400 requests of the other class went to it");
}

/// A slow endpoint got requests in proportion to its listed capacity although it served far fewer, and a
/// third of them timed out.
#[test]
fn slow_endpoint_gets_fewer_requests() {
    let mut balancer = TestBalancer::new(settings(), &endpoints_in_zones(1, 4));
    let mut selections = [0; 4];
    for _ in 0..400 {
        let (id, actions) = balancer.request(IDEMPOTENT);
        let Some(endpoint) = sent_to(&actions) else { continue };
        selections[endpoint as usize] += 1;
        let latency = if endpoint == 0 { 80 * MS } else { 20 * MS };
        balancer.now += latency;
        balancer.end_attempt(id, 0, AttemptOutcome::Success, latency);
    }
    assert!(selections[0] * 3 < selections[1], "{selections:?}");
}

/// A hung endpoint shows only in attempts that never end, and attempts of non-idempotent requests have no
/// timeout before the deadline.
#[test]
fn hung_endpoint_trips_before_the_deadline_of_non_idempotent_requests() {
    let mut balancer = TestBalancer::new(settings(), &endpoints_in_zones(1, 4));
    for index in 0..60 {
        balancer.serve(NON_IDEMPOTENT, (15 + index % 10) * MS);
    }
    let mut hung = Vec::new();
    for _ in 0..200 {
        let (id, actions) = balancer.request(NON_IDEMPOTENT);
        let timer = actions.iter().find_map(|action| match action {
            Action::SetTimer { after, token } => Some((balancer.now + after, *token)),
            _ => None,
        });
        if sent_to(&actions) == Some(1) {
            hung.push(timer.expect("an overdue timer"));
        } else {
            balancer.now += 20 * MS;
            balancer.end_attempt(id, 0, AttemptOutcome::Success, 20 * MS);
        }
        let now = balancer.now;
        for (_, token) in hung.extract_if(.., |(due, _)| *due <= now) {
            balancer.handle(Event::Timer(token));
        }
        if balancer.now > 5 * SECOND {
            break;
        }
    }
    let after: Vec<_> = (0..12).filter_map(|_| balancer.serve(NON_IDEMPOTENT, 5 * MS)).collect();
    assert!(!after.contains(&1), "{after:?}");
}

/// Under overload the mean latency rose until the timeouts of a hung endpoint were attributed to timeouts
/// that were too short.
#[test]
fn hung_endpoint_trips_under_overload_too() {
    let mut balancer = TestBalancer::new(settings(), &endpoints_in_zones(1, 2));
    for index in 0..130 {
        balancer.serve(NON_IDEMPOTENT, if index < 100 { 20 * MS } else { 100 * MS });
    }
    let mut hung = 0;
    for _ in 0..14 {
        let (id, actions) = balancer.request(NON_IDEMPOTENT);
        let outcome =
            if sent_to(&actions) == Some(1) { AttemptOutcome::Timeout } else { AttemptOutcome::Success };
        hung += u32::from(outcome == AttemptOutcome::Timeout);
        balancer.now += 90 * MS;
        balancer.end_attempt(id, 0, outcome, 90 * MS);
    }
    assert!(hung <= 3, "{hung} of 14 requests went to the endpoint that responds to none");
}

/// Each failure of one burst opened the breaker anew: its open time grew to the maximum, and a recovered
/// endpoint got no requests.
#[test]
fn burst_of_failures_opens_a_breaker_once() {
    let mut balancer = TestBalancer::new(settings(), &endpoints_in_zones(1, 2));
    balancer.warm_up(100);
    let burst: Vec<_> = (0..16).map(|_| balancer.request(NON_IDEMPOTENT)).collect();
    for (id, actions) in burst {
        let outcome =
            if sent_to(&actions) == Some(1) { AttemptOutcome::Reset } else { AttemptOutcome::Success };
        balancer.end_attempt(id, 0, outcome, 20 * MS);
    }
    let while_open: Vec<_> = (0..4).filter_map(|_| balancer.serve(IDEMPOTENT, MS)).collect();
    assert_eq!(while_open, [0; 4], "the breaker is open");
    balancer.now += 1100 * MS;
    let trial: Vec<_> = (0..4).filter_map(|_| balancer.serve(IDEMPOTENT, MS)).collect();
    assert!(trial.contains(&1), "the first open time is over: {trial:?}");
}

/// Heavy requests are heavy on a retry, too: a timeout near the mean latency cut them off again and again.
#[test]
fn attempt_timeout_leaves_room_for_heavy_requests() {
    let mut balancer = TestBalancer::new(settings(), &endpoints_in_zones(1, 4));
    for index in 0..200 {
        balancer.serve(IDEMPOTENT, if index % 5 == 0 { 60 * MS } else { 10 * MS });
    }
    let (_, actions) = balancer.request(IDEMPOTENT);
    let Some(Action::Send { times_out_at, .. }) =
        actions.iter().find(|action| matches!(action, Action::Send { .. }))
    else {
        panic!("{actions:?}")
    };
    assert!(
        times_out_at - balancer.now > 150 * MS && times_out_at - balancer.now < 2 * SECOND,
        "{} ms",
        (times_out_at - balancer.now) / MS
    );
}

/// The latency of past responses shows an overload late; requests in flight relative to responses show it at
/// once.
#[test]
fn shedding_starts_while_the_overload_builds_up_and_ends_with_it() {
    let mut balancer = TestBalancer::new(settings(), &endpoints_in_zones(1, 4));
    balancer.warm_up(200);
    let mut in_flight = std::collections::VecDeque::new();
    let mut first_rejection = None;
    for _ in 0..400 {
        balancer.now += 5 * MS;
        for _ in 0..2 {
            let (id, actions) = balancer.request(IDEMPOTENT);
            match sent_to(&actions) {
                Some(_) => in_flight.push_back((id, balancer.now)),
                None => first_rejection = first_rejection.or(Some(balancer.now)),
            }
        }
        if in_flight.front().is_some_and(|(_, sent_at)| balancer.now - sent_at > 20 * MS) {
            let (id, sent_at) = in_flight.pop_front().expect("a request is in flight");
            balancer.end_attempt(id, 0, AttemptOutcome::Success, balancer.now - sent_at);
        }
    }
    let longest = in_flight.front().map_or(0, |(_, sent_at)| balancer.now - sent_at);
    assert!(
        first_rejection.is_some() && longest < 500 * MS,
        "the oldest request has been waiting for {} ms",
        longest / MS
    );
    while let Some((id, sent_at)) = in_flight.pop_front() {
        balancer.now += 2 * MS;
        balancer.end_attempt(id, 0, AttemptOutcome::Success, balancer.now - sent_at);
    }
    balancer.warm_up(40);
    assert!((0..20).all(|_| balancer.serve(IDEMPOTENT, 20 * MS).is_some()));
}

/// Failed requests counted as quick responses, so a tier that rejected most requests looked fast and nothing
/// was shed.
#[test]
fn quick_failures_do_not_count_as_quick_answers() {
    let mut balancer = TestBalancer::new(settings(), &endpoints_in_zones(1, 4));
    balancer.warm_up(200);
    let mut in_flight = std::collections::VecDeque::new();
    let mut shed = 0;
    for index in 0..600 {
        balancer.now += 2 * MS;
        let (id, mut actions) = balancer.request(IDEMPOTENT);
        shed += u32::from(sent_to(&actions).is_none());
        let mut attempt = 0;
        // Four in five requests are rejected by every endpoint; the fifth is in flight for long.
        while sent_to(&actions).is_some() {
            if index % 5 == 0 {
                in_flight.push_back((id, attempt, balancer.now));
                break;
            }
            actions = balancer.end_attempt(id, attempt, AttemptOutcome::Rejected, MS / 10);
            attempt += 1;
        }
        if in_flight.front().is_some_and(|(_, _, sent_at)| balancer.now - sent_at > 450 * MS) {
            let (id, attempt, sent_at) = in_flight.pop_front().expect("a request is in flight");
            balancer.end_attempt(id, attempt, AttemptOutcome::Success, balancer.now - sent_at);
        }
    }
    assert!(shed > 100, "{shed} of 600 requests were shed");
}

/// A balancer with little traffic has twice its usual requests in flight by chance alone, and then paid for
/// requests to other zones that helped nobody.
#[test]
fn random_bursts_at_a_low_traffic_balancer_stay_in_the_zone() {
    let mut balancer = TestBalancer::new(settings(), &endpoints_in_zones(2, 12));
    // The usual load is four requests in flight, 20 ms each. The bursts bring a few more than twice as many.
    let (mut in_flight, mut crossings) = (std::collections::VecDeque::new(), 0);
    for step in 0..2000 {
        balancer.now += 5 * MS;
        while in_flight.front().is_some_and(|(_, sent_at)| balancer.now - sent_at >= 20 * MS) {
            let (id, sent_at): (RequestId, u64) = in_flight.pop_front().expect("a request is in flight");
            balancer.end_attempt(id, 0, AttemptOutcome::Success, balancer.now - sent_at);
        }
        let burst = if step > 1000 && step % 20 == 0 { 7 } else { 1 };
        for _ in 0..burst {
            let (id, actions) = balancer.request(IDEMPOTENT);
            crossings += u32::from(sent_to(&actions).is_some_and(|endpoint| endpoint >= 12));
            in_flight.push_back((id, balancer.now));
        }
    }
    assert_eq!(crossings, 0, "requests that left a healthy zone");
}

/// A balancer without any response yet mistook its first requests in flight for an overload and sent the next
/// ones to other zones.
#[test]
fn new_balancer_stays_in_its_zone() {
    let mut balancer = TestBalancer::new(settings(), &endpoints_in_zones(2, 6));
    let endpoints: Vec<u32> = (0..20).filter_map(|_| sent_to(&balancer.request(IDEMPOTENT).1)).collect();
    assert!(endpoints.len() == 20 && endpoints.iter().all(|&endpoint| endpoint < 6), "{endpoints:?}");
}

/// An endpoint whose connections are all in use refuses new ones and still responds on the open ones: breakers
/// opened as if it were dead, and when half of a zone was in that state, the zone was avoided.
#[test]
fn failed_connections_to_an_answering_endpoint_do_not_trip_it() {
    let mut balancer = TestBalancer::new(settings(), &endpoints_in_zones(2, 4));
    balancer.warm_up(200);
    let mut elsewhere = 0;
    for index in 0..200 {
        let (id, mut actions) = balancer.request(IDEMPOTENT);
        let mut attempt = 0;
        while let Some(endpoint) = sent_to(&actions) {
            elsewhere += u32::from(endpoint >= 4);
            balancer.now += MS;
            let outcome = if (index + attempt) % 4 != 0 {
                AttemptOutcome::ConnectFailed
            } else {
                AttemptOutcome::Success
            };
            actions = balancer.end_attempt(
                id,
                attempt,
                outcome,
                if outcome == AttemptOutcome::Success { 20 * MS } else { MS },
            );
            if outcome == AttemptOutcome::Success {
                break;
            }
            attempt += 1;
        }
        balancer.now += 20 * MS;
    }
    // Two in three requests may try another zone with their last attempts, but the zone itself stays in use.
    let in_zone = count_in_own_zone(&mut balancer);
    assert!(in_zone >= 15, "{in_zone} of 20 requests stay in the zone, {elsewhere} attempts left it");
}

/// Serves 20 requests half a second later; returns how many of them were sent to the own zone.
fn count_in_own_zone(balancer: &mut TestBalancer) -> usize {
    balancer.now += SECOND / 2;
    (0..20).filter_map(|_| balancer.serve(NON_IDEMPOTENT, 20 * MS)).filter(|&endpoint| endpoint < 4).count()
}

/// Idle connections left over from a burst kept other balancers from connecting to endpoints with small
/// connection limits.
#[test]
fn connections_of_a_burst_are_closed_once_idle() {
    let mut balancer = TestBalancer::new(settings(), &endpoints_in_zones(1, 2));
    balancer.warm_up(50);
    let burst: Vec<(RequestId, u32)> = (0..20)
        .filter_map(|_| {
            let (id, actions) = balancer.request(IDEMPOTENT);
            Some((id, sent_to(&actions)?))
        })
        .collect();
    let mut idle = [0u32; 2];
    balancer.now += 30 * MS;
    for (id, endpoint) in burst {
        idle[endpoint as usize] += 1;
        for action in balancer.end_attempt(id, 0, AttemptOutcome::Success, 30 * MS) {
            if let Action::CloseIdle(closed) = action {
                idle[closed.0 as usize] = 0;
            }
        }
    }
    assert!(idle.iter().all(|&count| count <= 2), "idle connections that stayed open: {idle:?}");
    let closed = (0..20).any(|_| {
        let (id, _) = balancer.request(IDEMPOTENT);
        balancer.now += 20 * MS;
        balancer
            .end_attempt(id, 0, AttemptOutcome::Success, 20 * MS)
            .iter()
            .any(|action| matches!(action, Action::CloseIdle(_)))
    });
    assert!(!closed, "a balancer with steady traffic keeps its connection");
}

/// Settings with which endpoints are queried for their load before each request.
fn load_query_settings() -> Settings {
    Settings { in_flight_value_position: Some(0), load_on_query: true, ..settings() }
}

/// A balancer with one request a second can't see by its own requests in flight that others keep an endpoint
/// busy.
#[test]
fn least_loaded_of_the_queried_endpoints_gets_the_request() {
    let mut balancer = TestBalancer::new(load_query_settings(), &endpoints_in_zones(2, 6));
    for _ in 0..20 {
        let (id, actions) = balancer.request(NON_IDEMPOTENT);
        assert_eq!(sent_to(&actions), None, "nothing is sent before the load queries are answered");
        let queried = queried_endpoints(&actions);
        assert!(queried.len() == 4 && queried.iter().all(|&endpoint| endpoint < 6), "{queried:?}");
        let mut last_actions = Vec::new();
        for (position, &endpoint) in queried.iter().enumerate() {
            let load = if position == 2 { 0.0 } else { 3.0 };
            last_actions = balancer.handle(Event::LoadQueryEnded(
                EndpointId(endpoint),
                AttemptOutcome::Success,
                load_report(load),
            ));
        }
        assert_eq!(sent_to(&last_actions), Some(queried[2]));
        balancer.now += 20 * MS;
        balancer.end_attempt(id, 0, AttemptOutcome::Success, 20 * MS);
    }
}

/// A hung or dead endpoint does not answer load queries either: waiting for it would cost more than a bad
/// choice.
#[test]
fn endpoint_that_does_not_answer_load_queries_is_skipped_after_a_short_wait() {
    let mut balancer = TestBalancer::new(load_query_settings(), &endpoints_in_zones(1, 6));
    let (_, actions) = balancer.request(IDEMPOTENT);
    let queried = queried_endpoints(&actions);
    let timer = actions.iter().find_map(|action| match action {
        Action::SetTimer { after, token } => Some((*after, *token)),
        _ => None,
    });
    let (after, token) = timer.expect("a timer for the end of the wait");
    assert!(after <= 10 * MS);
    balancer.handle(Event::LoadQueryEnded(EndpointId(queried[1]), AttemptOutcome::Success, load_report(5.0)));
    balancer.handle(Event::LoadQueryEnded(EndpointId(queried[3]), AttemptOutcome::Timeout, None));
    balancer.now += after;
    assert_eq!(sent_to(&balancer.handle(Event::Timer(token))), Some(queried[1]));
    assert_eq!(sent_to(&balancer.handle(Event::Timer(token))), None, "a stale timer sends nothing again");
}

/// A request with less time left than a load query takes got no response before its deadline.
#[test]
fn request_with_hardly_any_time_left_is_sent_without_load_queries() {
    let mut balancer = TestBalancer::new(load_query_settings(), &endpoints_in_zones(1, 6));
    let incoming =
        IncomingRequest { class: IDEMPOTENT, tenant: 0, time_left: MS, work: None, body_incomplete: false };
    let actions = balancer.handle(Event::Request(RequestId(7), incoming));
    assert!(sent_to(&actions).is_some() && queried_endpoints(&actions).is_empty(), "{actions:?}");
}

/// The endpoint list may change during a load query: a draining endpoint must not get the request however
/// idle it is.
#[test]
fn endpoint_drained_during_its_load_query_gets_nothing() {
    let mut balancer = TestBalancer::new(load_query_settings(), &endpoints_in_zones(1, 6));
    let (_, actions) = balancer.request(IDEMPOTENT);
    let queried = queried_endpoints(&actions);
    let drained = EndpointEntry { state: EndpointState::Draining, ..endpoint_entry(queried[0], 0) };
    balancer.handle(Event::EndpointsChanged(&[drained]));
    let mut last_actions = Vec::new();
    for &endpoint in &queried {
        let load = if endpoint == queried[0] { 0.0 } else { 9.0 };
        last_actions = balancer.handle(Event::LoadQueryEnded(
            EndpointId(endpoint),
            AttemptOutcome::Success,
            load_report(load),
        ));
    }
    assert!(sent_to(&last_actions).is_some_and(|endpoint| endpoint != queried[0]), "{last_actions:?}");
}

/// A balancer with one or two requests a second rejected some by chance: its window contained only one or
/// two responses.
#[test]
fn low_traffic_balancer_sheds_none_by_chance() {
    let mut balancer = TestBalancer::new(settings(), &endpoints_in_zones(1, 6));
    for index in 0..200u64 {
        balancer.now += 500 * MS;
        let latency = [60, 450, 150, 300][index as usize % 4] * MS;
        assert!(balancer.serve(IDEMPOTENT, latency).is_some(), "request {index} was rejected");
    }
}

/// Requests that end too late behind a long queue were processed all the same, and delayed the next ones
/// until none was in time.
#[test]
fn request_that_all_queried_endpoints_would_answer_too_late_is_rejected() {
    let mut balancer = TestBalancer::new(load_query_settings(), &endpoints_in_zones(1, 6));
    let request = |balancer: &mut TestBalancer, load: f32| {
        let (id, actions) = balancer.request(NON_IDEMPOTENT);
        let mut last_actions = Vec::new();
        for endpoint in queried_endpoints(&actions) {
            last_actions = balancer.handle(Event::LoadQueryEnded(
                EndpointId(endpoint),
                AttemptOutcome::Success,
                load_report(load),
            ));
        }
        (id, last_actions)
    };
    for load in [0.0, 1.0, 2.0].repeat(10) {
        let (id, actions) = request(&mut balancer, load);
        assert!(sent_to(&actions).is_some());
        let latency = (load as u64 + 1) * 100 * MS;
        balancer.now += latency;
        balancer.end_attempt(id, 0, AttemptOutcome::Success, latency);
    }
    assert!(
        sent_to(&request(&mut balancer, 10.0).1).is_some(),
        "eleven times 100 ms is within the deadline of 2 s"
    );
    assert!(is_rejected(&request(&mut balancer, 30.0).1), "thirty-one times 100 ms is not");
}

/// Where load queries are expensive, querying four endpoints before each request costs more than a better
/// choice gains.
#[test]
fn expensive_load_queries_are_not_sent() {
    let mut balancer = TestBalancer::new(
        Settings { load_query_price: 0.01, ..load_query_settings() },
        &endpoints_in_zones(1, 6),
    );
    let (_, actions) = balancer.request(IDEMPOTENT);
    assert!(sent_to(&actions).is_some() && queried_endpoints(&actions).is_empty(), "{actions:?}");
}

/// A balancer with little traffic sends too few requests to each endpoint for a breaker to open, and stayed
/// in a zone where a fifth of them failed.
#[test]
fn zone_with_many_failures_is_avoided_though_no_breaker_trips() {
    let crossings = |failure_interval: u32, cross_zone_price: f64| {
        let mut balancer =
            TestBalancer::new(Settings { cross_zone_price, ..settings() }, &endpoints_in_zones(2, 40));
        // As slow as the requests that follow: a zone whose latency rises is avoided for that reason alone.
        (0..100).for_each(|_| assert!(balancer.serve(IDEMPOTENT, 100 * MS).is_some()));
        let mut crossings = 0;
        for index in 0..80 {
            let (id, actions) = balancer.request(NON_IDEMPOTENT);
            let Some(endpoint) = sent_to(&actions) else { continue };
            crossings += u32::from(endpoint >= 40);
            balancer.now += 100 * MS;
            let failed = endpoint < 40 && index % failure_interval == 0;
            balancer.end_attempt(
                id,
                0,
                if failed { AttemptOutcome::Error } else { AttemptOutcome::Success },
                100 * MS,
            );
        }
        crossings
    };
    assert_eq!(crossings(30, 0.0), 0, "a few failures are no reason to leave the zone");
    assert!(crossings(4, 0.01) > 10);
    assert_eq!(crossings(4, 0.5), 0, "crossing zones costs more than it gains");
}

/// Where a fraction of the requests fails in every zone, balancers left their zone again and again and gained
/// nothing.
#[test]
fn zone_is_kept_where_requests_fail_as_often_elsewhere() {
    let mut balancer = TestBalancer::new(settings(), &endpoints_in_zones(2, 40));
    (0..100).for_each(|_| assert!(balancer.serve(IDEMPOTENT, 100 * MS).is_some()));
    let mut crossings = 0;
    for index in 0..200 {
        let (id, actions) = balancer.request(NON_IDEMPOTENT);
        crossings += u32::from(sent_to(&actions).is_some_and(|endpoint| endpoint >= 40));
        balancer.now += 100 * MS;
        balancer.end_attempt(
            id,
            0,
            if index % 7 == 0 { AttemptOutcome::Error } else { AttemptOutcome::Success },
            100 * MS,
        );
    }
    assert!(crossings < 60, "{crossings} of 200 requests crossed zones");
}

/// In a complete stall no responses arrive, and a latency ratio computed from responses reported that all was well:
/// nothing was shed.
#[test]
fn overload_without_any_answer_is_shed() {
    let mut balancer = TestBalancer::new(settings(), &endpoints_in_zones(1, 4));
    balancer.warm_up(200);
    balancer.now += 3 * SECOND; // the responses under normal load are forgotten
    let mut sent = 0;
    for _ in 0..400 {
        balancer.now += 5 * MS;
        sent += u32::from(sent_to(&balancer.request(IDEMPOTENT).1).is_some());
    }
    assert!(sent < 200, "{sent} of 400 requests were sent into the overload");
}

/// A cold endpoint that reports no requests in flight got only its share of the candidates, and was idle in a
/// loaded zone.
#[test]
fn queried_cold_endpoint_gets_up_to_half_the_multiple_that_overloads_it() {
    let requests_to_cold_endpoint = |overload_multiple: f64| {
        let mut balancer = TestBalancer::new(
            Settings { overload_multiple, ..load_query_settings() },
            &endpoints_in_zones(1, 8),
        );
        let mut served = 0;
        for index in 0..400 {
            if index == 200 {
                let started = Some(balancer.now);
                balancer
                    .handle(Event::EndpointsChanged(&[EndpointEntry { started, ..endpoint_entry(3, 0) }]));
            }
            let (id, mut actions) = balancer.request(NON_IDEMPOTENT);
            for endpoint in queried_endpoints(&actions) {
                let load = if endpoint == 3 { 0.0 } else { 1.0 };
                actions.extend(balancer.handle(Event::LoadQueryEnded(
                    EndpointId(endpoint),
                    AttemptOutcome::Success,
                    load_report(load),
                )));
            }
            let endpoint = sent_to(&actions).expect("an endpoint is free");
            served += u32::from(index >= 200 && endpoint == 3);
            balancer.now += 20 * MS;
            balancer.end_attempt(id, 0, AttemptOutcome::Success, 20 * MS);
        }
        served
    };
    // 50 requests a second over 8 endpoints, at a relative capacity of 0.25 to 0.55 for 4 s: some 10.
    let (default_limit, raised_limit) = (requests_to_cold_endpoint(2.0), requests_to_cold_endpoint(4.0));
    assert!((7..=13).contains(&default_limit), "{default_limit}");
    assert!(
        (default_limit * 3 / 2..=default_limit * 5 / 2).contains(&raised_limit),
        "{raised_limit} against {default_limit}"
    );
}

/// Whether the idle connections to the endpoint of the only attempt were closed right before it was sent.
fn uses_new_connection(actions: &[Action]) -> bool {
    let position = |wanted: &dyn Fn(&Action) -> bool| actions.iter().position(wanted);
    let (close, send) = (
        position(&|action| matches!(action, Action::CloseIdle(_))),
        position(&|action| matches!(action, Action::Send { .. })),
    );
    close.is_some_and(|close| close < send.expect("the request was sent"))
}

/// Sends a request after a pause so long that the connection of its endpoint has been idle for seconds.
/// Returns whether that connection was replaced.
fn send_sparse_request(balancer: &mut TestBalancer, class: usize, outcome: AttemptOutcome) -> bool {
    send_sparse_request_and_get_endpoint(balancer, class, outcome).1
}

/// Like [`send_sparse_request`]; returns the endpoint of the first attempt as well.
fn send_sparse_request_and_get_endpoint(
    balancer: &mut TestBalancer,
    class: usize,
    outcome: AttemptOutcome,
) -> (u32, bool) {
    balancer.now += SECOND;
    let (id, actions) = balancer.request(class);
    balancer.now += 20 * MS;
    if sent_to(&balancer.end_attempt(id, 0, outcome, 20 * MS)).is_some() {
        balancer.end_attempt(id, 1, AttemptOutcome::Success, 20 * MS);
    }
    (sent_to(&actions).expect("the request was sent"), uses_new_connection(&actions))
}

#[test]
fn connections_idle_for_too_long_are_replaced_and_do_not_trip_endpoints() {
    let mut balancer = TestBalancer::new(settings(), &endpoints_in_zones(1, 4));
    (0..12).for_each(|_| {
        assert!(
            !send_sparse_request(&mut balancer, NON_IDEMPOTENT, AttemptOutcome::Success),
            "no connection has failed yet"
        )
    });
    let fail = |balancer: &mut TestBalancer| {
        send_sparse_request_and_get_endpoint(balancer, IDEMPOTENT, AttemptOutcome::Reset).0
    };
    let mut closed: std::collections::BTreeSet<_> = (0..2).map(|_| fail(&mut balancer)).collect();
    // A connection on which a request failed is closed already; every other one is replaced before it is
    // used.
    for _ in 0..12 {
        let (endpoint, replaced) =
            send_sparse_request_and_get_endpoint(&mut balancer, NON_IDEMPOTENT, AttemptOutcome::Success);
        assert!(
            replaced || closed.remove(&endpoint),
            "request to endpoint {endpoint} on a connection that would fail"
        );
    }
    let endpoints: std::collections::BTreeSet<_> =
        (0..8).filter_map(|_| balancer.serve(IDEMPOTENT, MS)).collect();
    assert_eq!(endpoints.len(), 4, "no breaker is open: {endpoints:?}");
}

#[test]
fn idle_connections_are_kept_where_new_ones_fail_as_well() {
    let mut balancer = TestBalancer::new(settings(), &endpoints_in_zones(1, 1));
    let mut request = |outcome| send_sparse_request(&mut balancer, NON_IDEMPOTENT, outcome);
    (0..12).for_each(|_| assert!(!request(AttemptOutcome::Success)));
    // The first request fails on an idle connection, the others on new ones.
    (0..7).for_each(|_| assert!(!request(AttemptOutcome::Reset)));
    assert!(!request(AttemptOutcome::Success), "on a new connection");
    assert!(!request(AttemptOutcome::Success), "a new connection would be no better");
}

/// Requests whose usual latency is a third of their objective were shed under normal load, and nothing was
/// gained by it.
#[test]
fn requests_that_take_a_third_of_their_objective_under_normal_load_are_not_shed() {
    let mut balancer = TestBalancer::new(settings(), &endpoints_in_zones(1, 12));
    let (mut in_flight, mut rejections) = (std::collections::VecDeque::new(), 0);
    for step in 0..2000 {
        balancer.now += 10 * MS;
        while in_flight.front().is_some_and(|(_, sent_at)| balancer.now - sent_at >= 180 * MS) {
            let (id, sent_at): (RequestId, u64) = in_flight.pop_front().expect("a request is in flight");
            balancer.end_attempt(id, 0, AttemptOutcome::Success, balancer.now - sent_at);
        }
        let (id, actions) = balancer.request(IDEMPOTENT);
        rejections += u32::from(step > 200 && is_rejected(&actions)); // the rate is unknown at first
        in_flight.push_back((id, balancer.now));
    }
    assert_eq!(rejections, 0);
}

/// With hundreds of balancers, each has too few requests in flight to reach a load threshold, while all of
/// its requests are late.
#[test]
fn low_traffic_balancer_sends_the_surplus_of_a_late_zone_across_and_no_more() {
    let mut balancer = TestBalancer::new(settings(), &endpoints_in_zones(2, 12));
    let mut crossed = [0, 0, 0];
    for step in 0..1200 {
        let (phase, pause) = (step / 400, 400 * MS);
        let (id, actions) = balancer.request(IDEMPOTENT);
        let endpoint = sent_to(&actions).expect("the request was sent");
        crossed[phase] += u32::from(endpoint >= 12);
        // In the second phase the own zone is late; in the third, the other zone is as late under the
        // requests that it gets.
        let latency = match (phase, endpoint < 12) {
            (0, _) => 50 * MS,
            (1, false) => 50 * MS,
            _ => 250 * MS,
        };
        balancer.now += latency;
        balancer.end_attempt(id, 0, AttemptOutcome::Success, latency);
        balancer.now += pause;
    }
    assert_eq!(crossed[0], 0, "nothing crosses zones under normal load");
    assert!(crossed[1] > 200, "{crossed:?}");
    assert!(crossed[2] < 60, "crossing zones does not help: {crossed:?}");
}

/// An endpoint that accepts fewer connections than usual cost each request beyond them the time of a failed
/// connection.
#[test]
fn endpoint_that_refuses_connections_is_at_its_limit_with_the_open_ones() {
    let mut balancer = TestBalancer::new(settings(), &endpoints_in_zones(1, 2));
    balancer.warm_up(40);
    let send = |balancer: &mut TestBalancer| -> (u32, RequestId) {
        let (id, actions) = balancer.request(IDEMPOTENT);
        (sent_to(&actions).expect("the request was sent"), id)
    };
    let requests: Vec<_> = (0..4).map(|_| send(&mut balancer)).collect();
    let (at_limit, last) = requests[3];
    balancer.now += 30 * MS;
    balancer.end_attempt(last, 0, AttemptOutcome::ConnectFailed, 250 * MS);
    balancer.now += 30 * MS;
    let next: Vec<_> = (0..4).map(|_| send(&mut balancer).0).collect();
    assert!(next.iter().all(|&endpoint| endpoint != at_limit), "the endpoint accepts no more connections");
    let (_, first) = *requests
        .iter()
        .find(|(endpoint, _)| *endpoint == at_limit)
        .expect("a request was sent there before");
    balancer.end_attempt(first, 0, AttemptOutcome::Success, 60 * MS);
    assert_eq!(send(&mut balancer).0, at_limit, "its connection is free again");
}

/// Connections that one process refused say nothing about the process that replaced it.
#[test]
fn restarted_endpoint_is_not_limited_to_the_connections_of_its_predecessor() {
    let mut balancer =
        TestBalancer::new(Settings { warm_up_time: SECOND, ..settings() }, &endpoints_in_zones(1, 2));
    balancer.warm_up(40);
    // Both endpoints have requests in flight; endpoint 1 accepts no further connection.
    let requests: Vec<_> = (0..8).map(|_| balancer.request(IDEMPOTENT)).collect();
    let sent_to_endpoint_1 = |requests: &[(RequestId, Vec<Action>)]| -> Vec<RequestId> {
        requests.iter().filter(|(_, actions)| sent_to(actions) == Some(1)).map(|(id, _)| *id).collect()
    };
    let at_limit = sent_to_endpoint_1(&requests);
    at_limit.iter().for_each(|&id| drop(balancer.end_attempt(id, 0, AttemptOutcome::ConnectFailed, MS)));
    balancer.now += 60 * MS;
    let next: Vec<_> = (0..4).map(|_| balancer.request(IDEMPOTENT)).collect();
    assert!(sent_to_endpoint_1(&next).is_empty(), "endpoint 1 accepts no connection");
    let warm = EndpointEntry { started: Some(1), ..endpoint_entry(1, 0) };
    balancer.now += 2 * SECOND;
    balancer.handle(Event::EndpointsChanged(&[warm]));
    let again: Vec<_> = (0..4).map(|_| balancer.request(IDEMPOTENT)).collect();
    assert!(!sent_to_endpoint_1(&again).is_empty(), "the new process accepts requests");
}

/// With hundreds of balancers, each gets a few requests a second: too few responses in a second to detect
/// an overload. All of them together went on sending until no response came in time.
#[test]
fn low_traffic_balancer_sheds_under_overload() {
    let with_long_objective =
        |class: RequestClass| RequestClass { latency_objective: 2 * SECOND, deadline: 8 * SECOND, ..class };
    let settings =
        Settings { classes: settings().classes.into_iter().map(with_long_objective).collect(), ..settings() };
    let mut balancer = TestBalancer::new(settings, &endpoints_in_zones(1, 12));
    let (mut in_flight, mut rejections) = (std::collections::VecDeque::new(), 0);
    for step in 0..300 {
        // Three requests a second; responses take a quarter of a second, and under overload three seconds,
        // at an objective of two.
        let latency = if step < 100 { 250 * MS } else { 3 * SECOND };
        balancer.now += 333 * MS;
        while in_flight.front().is_some_and(|&(_, _, due)| balancer.now >= due) {
            let (id, sent_at, _): (RequestId, u64, u64) =
                in_flight.pop_front().expect("a request is in flight");
            balancer.end_attempt(id, 0, AttemptOutcome::Success, balancer.now - sent_at);
        }
        let id = RequestId(balancer.next_id);
        balancer.next_id += 1;
        let incoming = IncomingRequest {
            class: IDEMPOTENT,
            tenant: 0,
            time_left: 8 * SECOND,
            work: None,
            body_incomplete: false,
        };
        let actions = balancer.handle(Event::Request(id, incoming));
        rejections += u32::from(is_rejected(&actions));
        assert!(step >= 100 || rejections == 0, "rejected under normal load");
        if sent_to(&actions).is_some() {
            in_flight.push_back((id, balancer.now, balancer.now + latency));
        }
    }
    assert!(rejections > 20, "{rejections} of 200 requests were rejected");
}

/// A balancer with little traffic detected each dead endpoint of a lost zone separately, and kept sending
/// requests to that zone meanwhile.
#[test]
fn zone_where_half_of_all_requests_fail_gets_no_more_of_them() {
    let mut balancer = TestBalancer::new(settings(), &endpoints_in_zones(3, 20));
    balancer.warm_up(60);
    // The own zone is avoided for its failures; of the others, zone 1 is dead and zone 2 is healthy.
    let mut to_dead_zone = [0, 0];
    for index in 0..240 {
        let (id, actions) = balancer.request(NON_IDEMPOTENT);
        let Some(endpoint) = sent_to(&actions) else { continue };
        balancer.now += 20 * MS;
        let outcome = match endpoint / 20 {
            0 if index % 4 == 0 => AttemptOutcome::Error,
            1 => AttemptOutcome::ConnectFailed,
            _ => AttemptOutcome::Success,
        };
        balancer.end_attempt(id, 0, outcome, 20 * MS);
        to_dead_zone[index / 120] += u32::from(endpoint / 20 == 1);
    }
    assert!(to_dead_zone[1] <= 3, "{to_dead_zone:?}: a lost zone is detected by all requests to it together");
}

/// A connection that was closed as idle can no longer fail: none needs to be replaced, and no failure is
/// attributed to idleness.
#[test]
fn connections_closed_as_idle_are_not_replaced_again() {
    let mut balancer =
        TestBalancer::new(Settings { idle_timeout: SECOND, ..settings() }, &endpoints_in_zones(1, 4));
    (0..12).for_each(|_| assert!(!send_sparse_request(&mut balancer, IDEMPOTENT, AttemptOutcome::Success)));
    (0..2).for_each(|_| assert!(!send_sparse_request(&mut balancer, IDEMPOTENT, AttemptOutcome::Reset)));
    (0..4).for_each(|_| {
        assert!(
            !send_sparse_request(&mut balancer, NON_IDEMPOTENT, AttemptOutcome::Success),
            "the idle connections were closed long ago"
        )
    });
}

/// Requests with much work were mistaken for failures of their endpoints, and breakers of healthy endpoints
/// opened.
#[test]
fn heavy_requests_do_not_trip_a_healthy_endpoint() {
    let mut balancer = TestBalancer::new(settings(), &endpoints_in_zones(1, 2));
    // Latency of 20 ms on average, with a mean deviation of 10 ms.
    for index in 0..400 {
        balancer.serve(NON_IDEMPOTENT, if index % 2 == 0 { 10 * MS } else { 30 * MS });
    }
    let (mut timers, ids) =
        (Vec::new(), (0..6).map(|_| balancer.request(NON_IDEMPOTENT)).collect::<Vec<_>>());
    for (_, actions) in &ids {
        timers.extend(actions.iter().filter_map(|action| match action {
            Action::SetTimer { token, after } => Some((*token, balancer.now + after)),
            _ => None,
        }));
    }
    // Seventeen deviations above the mean, then all requests are answered.
    let answered = balancer.now + 190 * MS;
    let mut logs = Vec::new();
    while let Some(position) = timers.iter().position(|&(_, due)| due < answered) {
        let (token, due) = timers.swap_remove(position);
        balancer.now = balancer.now.max(due);
        for action in balancer.handle(Event::Timer(token)) {
            match action {
                Action::SetTimer { token, after } => timers.push((token, balancer.now + after)),
                Action::Log(text) => logs.push(text),
                _ => {}
            }
        }
    }
    assert!(logs.iter().all(|text| !text.contains("breaker")), "{logs:?}");
}

/// Where endpoints are replaced all the time, all endpoints ever listed stayed in memory, and each list took
/// longer to apply.
#[test]
fn removed_endpoints_are_forgotten() {
    let mut balancer = TestBalancer::new(settings(), &endpoints_in_zones(3, 1));
    let mut debug_lengths = Vec::new();
    for round in 1..200 {
        // One attempt is in flight at an endpoint that is removed; its end still finds the endpoint.
        let (id, actions) = balancer.request(KEYED_ZONE);
        let first_endpoint = sent_to(&actions).expect("the request was sent");
        let list: Vec<EndpointEntry> =
            (0..3).map(|zone| endpoint_entry(3 * round + u32::from(zone), zone)).collect();
        balancer.handle(Event::EndpointList(&list));
        balancer.now += 20 * MS;
        // The retry budget does not grant every retry.
        if let Some(retry_endpoint) = sent_to(&balancer.end_attempt(id, 0, AttemptOutcome::Error, 20 * MS)) {
            assert_eq!(retry_endpoint % 3, first_endpoint % 3, "the retry stays in the zone of its key");
            balancer.end_attempt(id, 1, AttemptOutcome::Success, 20 * MS);
        }
        debug_lengths.push(format!("{:?}", balancer.load_balancer).len());
    }
    assert!(debug_lengths[198] < 2 * debug_lengths[4], "{} then {}", debug_lengths[4], debug_lengths[198]);
}

/// Passes an event to a balancer that polls discovery. Returns the time until it asks for the list next.
fn time_to_next_poll(balancer: &mut TestBalancer, event: Event<'_>) -> u64 {
    let actions = balancer.handle(event);
    let delay_of = |action: &Action| match action {
        Action::SetTimer { after, .. } => Some(*after),
        _ => None,
    };
    actions.iter().find_map(delay_of).expect("a timer for the next poll of discovery")
}

/// Largest number of waits that end within the same tenth of a second.
fn max_in_step(mut waits: Vec<u64>) -> usize {
    waits.sort();
    let count_within =
        |(position, wait): (usize, &u64)| waits.partition_point(|other| *other < wait + 100 * MS) - position;
    waits.iter().enumerate().map(count_within).max().unwrap_or(0)
}

/// Guards the drain rule where discovery is polled: a balancer counts as notified of a change 6 s after
/// discovery is reachable, and 4 s after a SIGHUP. A poll without a response takes 1 s to fail (a watch 3 s), a
/// connect that hangs 0.5 s, and a response up to 1 s: `proxy/discovery.rs`. Balancers must not poll in step
/// either: not after a failure that all of them see at once, nor at a start, nor at a SIGHUP.
#[test]
fn lists_are_polled_in_time_and_not_by_all_at_once() {
    const FLEET_SIZE: usize = 870;
    const POLL_TIMEOUT: u64 = SECOND;
    const WATCH_TIMEOUT: u64 = 3 * SECOND;
    const CONNECT_TIMEOUT: u64 = SECOND / 2;
    const RESPONSE_TIME: u64 = SECOND;
    let settings = Settings { polls_discovery: true, replicas: FLEET_SIZE as u32, ..settings() };
    let (mut after_start, mut after_failures, mut after_discovery_moved) =
        (Vec::new(), vec![Vec::new(); 12], Vec::new());
    for seed in 0..FLEET_SIZE as u64 {
        let load_balancer = balancer::decision::LoadBalancer::new(settings.clone(), seed, SECOND).unwrap();
        let mut balancer = TestBalancer { load_balancer, now: SECOND, next_id: 0 };
        after_start.push(time_to_next_poll(&mut balancer, Event::EndpointList(&endpoints_in_zones(1, 2))));
        for waits in &mut after_failures {
            waits.push(time_to_next_poll(&mut balancer, Event::DiscoveryFailed));
        }
        after_discovery_moved.push(time_to_next_poll(&mut balancer, Event::DiscoveryMoved));
        let after_move = time_to_next_poll(&mut balancer, Event::DiscoveryFailed);
        assert!(after_move <= 350 * MS, "failures of the previous service count for the new one");
    }
    let longest = |waits: &[u64]| *waits.iter().max().unwrap();
    let waits: Vec<u64> = after_failures.iter().map(|waits| longest(waits)).collect();
    let retry_time = waits[0] + CONNECT_TIMEOUT + waits[1] + RESPONSE_TIME;
    assert!(WATCH_TIMEOUT + retry_time < 6 * SECOND, "after a watch without a response: {waits:?}");
    assert!(
        longest(&after_start) + POLL_TIMEOUT + retry_time < 6 * SECOND,
        "at a start: {} {waits:?}",
        longest(&after_start)
    );
    assert!(
        longest(&after_discovery_moved) + POLL_TIMEOUT + retry_time < 4 * SECOND,
        "at a SIGHUP: {} {waits:?}",
        longest(&after_discovery_moved)
    );
    for pair in waits.windows(2) {
        let sum = POLL_TIMEOUT + pair[0] + CONNECT_TIMEOUT + pair[1] + RESPONSE_TIME;
        assert!(sum < 6 * SECOND, "after an outage: {waits:?}");
    }
    assert!(max_in_step(after_start) < FLEET_SIZE / 10, "at a start");
    assert!(max_in_step(after_discovery_moved) < FLEET_SIZE / 3, "at a SIGHUP");
    assert!(max_in_step(after_failures[0].clone()) < FLEET_SIZE / 3, "at the first failure");
    assert!(max_in_step(after_failures[11].clone()) < FLEET_SIZE / 8, "in an outage");
}

/// Polls of one discovery service by a fleet of balancers, counted in windows of a tenth of a second from its
/// return on. The service was unreachable for `outage`, and each poll took `fails_after` to fail. All
/// watches break when the outage begins.
fn polls_after_outage(fleet_size: u64, outage: u64, fails_after: u64) -> Vec<usize> {
    let settings = Settings { polls_discovery: true, replicas: fleet_size as u32, ..settings() };
    let mut polls = Vec::new();
    for seed in 0..fleet_size {
        let load_balancer = balancer::decision::LoadBalancer::new(settings.clone(), seed, SECOND).unwrap();
        let mut balancer = TestBalancer { load_balancer, now: SECOND, next_id: 0 };
        time_to_next_poll(&mut balancer, Event::EndpointList(&endpoints_in_zones(1, 2)));
        let return_time = balancer.now + outage;
        loop {
            balancer.now += time_to_next_poll(&mut balancer, Event::DiscoveryFailed);
            if balancer.now >= return_time {
                break;
            }
            balancer.now += fails_after;
        }
        let window = ((balancer.now - return_time) / (100 * MS)) as usize;
        polls.resize(polls.len().max(window + 1), 0);
        polls[window] += 1;
    }
    polls
}

/// Guards discovery against polls from all balancers at once when it returns, whether it refused connections
/// or hung.
#[test]
fn a_fleet_does_not_reconnect_to_discovery_in_step() {
    for outage in [2, 8, 60].map(|seconds| seconds * SECOND) {
        for fails_after in [0, SECOND] {
            let polls = polls_after_outage(870, outage, fails_after);
            assert_eq!(polls.iter().sum::<usize>(), 870);
            assert!(polls.len() <= 26, "notified within 2.6 s: {polls:?}");
            assert!(polls.iter().all(|&polls| polls < 870 / 5), "{polls:?}");
        }
    }
}
