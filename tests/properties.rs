//! Property tests: after any random legal sequence of events, each request ends exactly once, one that may have
//! run is sent again only where its class allows it, and draining and removed endpoints get no new requests.
//! The module never panics, and the same events always give the same actions.

mod common;
use balancer::decision::*;
use common::*;
use proptest::prelude::*;
use std::collections::BTreeMap;

/// A random event, or a wait. `pick` selects one of those that the event can refer to now.
#[derive(Clone, Debug)]
enum Step {
    Request {
        class: usize,
        time_left: u64,
    },
    AttemptEnd {
        pick: usize,
        outcome: usize,
    },
    ClientDisconnected {
        pick: usize,
    },
    EndpointList {
        endpoint: u32,
        state: u8,
        capacity: f32,
        restarted: bool,
        complete: bool,
    },
    DiscoveryFailed,
    DiscoveryMoved,
    Timer {
        pick: usize,
    },
    /// Events about ids that were never issued.
    UnknownIds {
        id: u32,
        attempt: u32,
        token: u64,
        load: f32,
    },
    LoadQueryEnded {
        pick: usize,
        success: bool,
        load: f32,
    },
    Wait {
        time: u64,
    },
}

/// Draws a step; the weights make requests and their ends frequent.
fn step() -> impl Strategy<Value = Step> {
    let load = prop_oneof![Just(f32::NAN), Just(-1.0), 0.0f32..9.0];
    let capacity = prop_oneof![Just(1.0f32), Just(0.0), Just(f32::NAN), Just(-3.0), 0.1f32..8.0];
    prop_oneof![
        6 => (0usize..6, 1u64..3000).prop_map(|(class, ms)| Step::Request { class, time_left: ms * MS }),
        6 => (any::<usize>(), 0usize..8).prop_map(|(pick, outcome)| Step::AttemptEnd { pick, outcome }),
        1 => any::<usize>().prop_map(|pick| Step::ClientDisconnected { pick }),
        2 => (0u32..12, 0u8..3, capacity, any::<bool>(), prop::bool::weighted(0.1)).prop_map(
            |(endpoint, state, capacity, restarted, complete)|
                Step::EndpointList { endpoint, state, capacity, restarted, complete }
        ),
        4 => (any::<usize>(), any::<bool>(), load)
            .prop_map(|(pick, success, load)| Step::LoadQueryEnded { pick, success, load }),
        1 => Just(Step::DiscoveryFailed),
        1 => Just(Step::DiscoveryMoved),
        1 => any::<usize>().prop_map(|pick| Step::Timer { pick }),
        1 => (any::<u32>(), 0u32..5, any::<u64>(), any::<f32>())
            .prop_map(|(id, attempt, token, load)| Step::UnknownIds { id: id | 1 << 31, attempt, token, load }),
        4 => (0u64..300).prop_map(|ms| Step::Wait { time: ms * MS }),
    ]
}

const OUTCOMES: [AttemptOutcome; 9] = [
    AttemptOutcome::Success,
    AttemptOutcome::Error,
    AttemptOutcome::Rejected,
    AttemptOutcome::Timeout,
    AttemptOutcome::ConnectFailed,
    AttemptOutcome::Reset,
    AttemptOutcome::Cancelled,
    AttemptOutcome::NotSent,
    AttemptOutcome::Undeliverable,
];

/// A request of a client. An attempt is given as its endpoint and the time when it was sent.
#[derive(Debug)]
struct Request {
    class: usize,
    attempts: u32,
    in_flight: Option<(u32, u64)>,
    /// The first attempt that may have run.
    first_run: Option<(u32, u64)>,
    answered: bool,
    disconnected: bool,
}

/// The clients, the endpoints and discovery around one balancer: tracks which events are legal next, and
/// checks that every action is allowed.
struct Simulation {
    balancer: TestBalancer,
    requests: BTreeMap<u32, Request>,
    listed: BTreeMap<u32, EndpointEntry>,
    timers: Vec<u64>,
    load_queries: Vec<EndpointId>,
    actions: Vec<Action>,
}

impl Simulation {
    fn new(settings: Settings) -> Self {
        let list = endpoints_in_zones(3, 3);
        let balancer = TestBalancer {
            load_balancer: LoadBalancer::new(settings, 99, SECOND).unwrap(),
            now: SECOND,
            next_id: 0,
        };
        let listed = list.iter().map(|entry| (entry.endpoint.0, entry.clone())).collect();
        let mut simulation = Self {
            balancer,
            requests: BTreeMap::new(),
            listed,
            timers: Vec::new(),
            load_queries: Vec::new(),
            actions: Vec::new(),
        };
        simulation.handle(Event::EndpointList(&list));
        simulation
    }

    fn handle(&mut self, event: Event<'_>) {
        for action in self.balancer.handle(event) {
            self.check(&action);
            self.actions.push(action);
        }
    }

    fn check(&mut self, action: &Action) {
        let now = self.balancer.now;
        match action {
            Action::Send { id, endpoint, .. } => {
                let request = self.requests.get_mut(&id.0).expect("the request was sent by a client");
                assert!(!request.answered && !request.disconnected, "sent after the end of {id:?}");
                assert!(request.in_flight.is_none(), "two attempts in flight for {id:?}");
                assert!(request.attempts < 4, "{id:?} has more attempts than the limit");
                let entry = &self.listed[&endpoint.0];
                assert_eq!(
                    entry.state,
                    EndpointState::InService,
                    "sent to {endpoint:?}, which is not in service"
                );
                if let Some((first, sent_at)) = request.first_run {
                    let (first, window) = (&self.listed[&first], SECOND);
                    match request.class {
                        IDEMPOTENT => {}
                        NON_IDEMPOTENT => panic!("non-idempotent {id:?} sent again"),
                        _ if now - sent_at > window => panic!("{id:?} sent after its window"),
                        KEYED_ZONE => {
                            assert_eq!(first.zone, entry.zone, "{id:?} sent out of its zone")
                        }
                        KEYED_CELL => {
                            assert_eq!(first.cell, entry.cell, "{id:?} sent out of its cell")
                        }
                        _ => {}
                    }
                }
                request.attempts += 1;
                request.in_flight = Some((endpoint.0, now));
            }
            Action::Reject { id, .. } | Action::Fail(id) => {
                let request = self.requests.get_mut(&id.0).expect("the request was sent by a client");
                assert!(!request.answered && !request.disconnected, "a second response for {id:?}");
                assert!(request.in_flight.is_none(), "{id:?} ended with an attempt in flight");
                let rejected = matches!(action, Action::Reject { .. });
                let may_be_rejected =
                    request.first_run.is_none() || request.class == IDEMPOTENT || request.class == KEYED_ALL;
                assert!(!rejected || may_be_rejected, "{id:?} rejected though it may have run");
                request.answered = true;
            }
            Action::SetTimer { token, .. } => self.timers.push(*token),
            Action::Cancel { id, attempt } => assert!(self.requests[&id.0].attempts > *attempt),
            Action::QueryLoad(endpoint) => {
                assert_eq!(
                    self.listed[&endpoint.0].state,
                    EndpointState::InService,
                    "load query to {endpoint:?}, which is not in service"
                );
                self.load_queries.push(*endpoint);
            }
            Action::CloseIdle(endpoint) => assert!(self.listed.contains_key(&endpoint.0)),
            Action::WatchEndpoints | Action::Log(_) => {}
        }
    }

    fn in_flight_request(&self, pick: usize) -> Option<u32> {
        let in_flight: Vec<u32> = self
            .requests
            .iter()
            .filter(|(_, request)| request.in_flight.is_some())
            .map(|(id, _)| *id)
            .collect();
        in_flight.get(pick % in_flight.len().max(1)).copied()
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Wait { time } => self.balancer.now += time,
            Step::LoadQueryEnded { pick, success, load } => {
                if self.load_queries.is_empty() {
                    return;
                }
                let endpoint = self.load_queries.swap_remove(pick % self.load_queries.len());
                let outcome = if success { AttemptOutcome::Success } else { AttemptOutcome::Timeout };
                self.handle(Event::LoadQueryEnded(endpoint, outcome, load_report(load).filter(|_| success)));
            }
            Step::DiscoveryFailed => self.handle(Event::DiscoveryFailed),
            Step::DiscoveryMoved => self.handle(Event::DiscoveryMoved),
            Step::Timer { pick } if !self.timers.is_empty() => {
                let token = self.timers[pick % self.timers.len()];
                self.handle(Event::Timer(token));
            }
            Step::Timer { pick } => self.handle(Event::Timer(pick as u64)),
            Step::Request { class, time_left } => {
                let id = self.balancer.next_id;
                self.balancer.next_id += 1;
                let request = Request {
                    class,
                    attempts: 0,
                    in_flight: None,
                    first_run: None,
                    answered: false,
                    disconnected: false,
                };
                self.requests.insert(id, request);
                let incoming = IncomingRequest {
                    class,
                    tenant: class,
                    time_left,
                    work: Some(time_left),
                    body_incomplete: false,
                };
                self.handle(Event::Request(RequestId(id), incoming));
            }
            Step::AttemptEnd { pick, outcome } => {
                let Some(id) = self.in_flight_request(pick) else { return };
                self.end_attempt(id, OUTCOMES[outcome]);
            }
            Step::ClientDisconnected { pick } => {
                let Some(id) = self.in_flight_request(pick) else { return };
                let request = self.requests.get_mut(&id).expect("an attempt is in flight");
                if !request.answered && !request.disconnected {
                    request.disconnected = true;
                    self.handle(Event::ClientDisconnected(RequestId(id)));
                }
            }
            Step::EndpointList { endpoint, state, capacity, restarted, complete } => {
                let state = [EndpointState::Removed, EndpointState::InService, EndpointState::Draining]
                    [state as usize];
                let started = restarted.then_some(self.balancer.now);
                let entry = EndpointEntry {
                    state,
                    capacity,
                    started,
                    ..endpoint_entry(endpoint, (endpoint % 4) as u8)
                };
                let entry = self.listed.get(&endpoint).map_or(entry.clone(), |old| EndpointEntry {
                    zone: old.zone,
                    cell: old.cell,
                    ..entry
                });
                if complete {
                    self.listed.values_mut().for_each(|entry| entry.state = EndpointState::Removed);
                }
                self.listed.insert(endpoint, entry.clone());
                let event =
                    if complete { Event::EndpointList(&[entry]) } else { Event::EndpointsChanged(&[entry]) };
                self.handle(event);
            }
            Step::UnknownIds { id, attempt, token, load } => {
                let id = RequestId(id);
                let load = Some(LoadReport { values: [load; 4], len: 4 });
                let end = AttemptEnd {
                    attempt,
                    outcome: AttemptOutcome::Reset,
                    elapsed: token,
                    request_closed: false,
                    body_consumed: false,
                    load,
                };
                self.handle(Event::AttemptEnded(id, end));
                self.handle(Event::ClientDisconnected(id));
                self.handle(Event::ResponseStarted(id, attempt));
                self.handle(Event::Timer(token & !(1 << 63)));
            }
        }
    }

    fn end_attempt(&mut self, id: u32, outcome: AttemptOutcome) {
        let request = self.requests.get_mut(&id).expect("the request was sent by a client");
        let (endpoint, sent_at) = request.in_flight.take().expect("an attempt is in flight");
        if !outcome.never_ran() {
            request.first_run = request.first_run.or(Some((endpoint, sent_at)));
        }
        let attempt = request.attempts - 1;
        request.answered |= outcome == AttemptOutcome::Success && !request.disconnected;
        let closed = request.answered || request.disconnected;
        let elapsed = self.balancer.now - sent_at;
        self.handle(Event::AttemptEnded(
            RequestId(id),
            AttemptEnd {
                attempt,
                outcome,
                elapsed,
                request_closed: closed,
                body_consumed: false,
                load: None,
            },
        ));
    }
}

/// A variant of the settings: each bit of `variant` toggles one of them.
fn settings_variant(variant: u8) -> Settings {
    Settings {
        tier: u32::from(variant & 1),
        propagates_deadline: variant & 2 == 0,
        polls_discovery: variant & 4 == 0,
        replicas: if variant & 8 == 0 { 0 } else { 3 },
        zone: ZoneId(if variant & 16 == 0 { 0 } else { 2 }),
        in_flight_value_position: Some(0),
        load_on_query: variant & 32 != 0,
        tenants: vec![Tenant { quota_rps: 0.0 }, Tenant { quota_rps: 10.0 }],
        ..settings()
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_127),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn random_legal_events_lead_to_legal_actions(variant in 0u8..64, steps in prop::collection::vec(step(), 1..300)) {
        let mut simulation = Simulation::new(settings_variant(variant));
        steps.iter().for_each(|step| simulation.apply(step));
        // Once every attempt has ended by its deadline, every request has its response.
        loop {
            // Every timer fires in the end, and so do the timers that are set then.
            for token in std::mem::take(&mut simulation.timers) {
                simulation.handle(Event::Timer(token));
            }
            let Some(id) = simulation.in_flight_request(0) else { break };
            simulation.balancer.now += 3 * SECOND;
            simulation.end_attempt(id, AttemptOutcome::Timeout);
        }
        for (id, request) in &simulation.requests {
            prop_assert!(request.answered || request.disconnected, "request {id} has no response");
        }
    }

    #[test]
    fn same_events_give_the_same_actions(variant in 0u8..64, steps in prop::collection::vec(step(), 1..200)) {
        let [first, second] = [(), ()].map(|()| {
            let mut simulation = Simulation::new(settings_variant(variant));
            steps.iter().for_each(|step| simulation.apply(step));
            simulation.actions
        });
        prop_assert_eq!(first, second);
    }
}
