//! Shared test support: default settings, endpoint lists, and a load balancer driven by hand on virtual time.
#![allow(dead_code)]

pub mod chain;
pub mod crowd;
pub mod fault_injector;
pub mod fleet;
pub mod operator;
pub mod process;
pub mod queued_tier;
pub mod streams;
pub mod wall_clock;

use balancer::decision::*;

/// One millisecond, in nanoseconds.
pub const MS: u64 = 1_000_000;
/// One second, in nanoseconds.
pub const SECOND: u64 = 1000 * MS;
/// Index of the class of idempotent requests in [`settings`].
pub const IDEMPOTENT: usize = 0;
/// Index of the class of non-idempotent requests.
pub const NON_IDEMPOTENT: usize = 1;
/// Index of the class with idempotency keys that all endpoints share.
pub const KEYED_ALL: usize = 2;
/// Index of the class with idempotency keys that the endpoints of a zone share.
pub const KEYED_ZONE: usize = 3;
/// Index of the class with idempotency keys that the endpoints of a cell share.
pub const KEYED_CELL: usize = 4;

/// Joins all threads before it fails if one of them has panicked, so that each of them ends the programs it started.
pub fn join_all(threads: impl IntoIterator<Item = std::thread::JoinHandle<()>>) {
    let results: Vec<_> = threads.into_iter().map(std::thread::JoinHandle::join).collect();
    assert!(results.iter().all(Result::is_ok), "a thread has panicked");
}

/// Settings of a balancer in zone 0 of three, without tenants and load queries.
pub fn settings() -> Settings {
    let class = |idempotency, priority_weight| RequestClass {
        latency_objective: 500 * MS,
        objective_stretch: 0.0,
        deadline: 2 * SECOND,
        idempotency,
        late_weight: 0.2,
        priority_weight,
    };
    Settings {
        classes: vec![
            class(Idempotency::Idempotent, 1.0),
            class(Idempotency::NonIdempotent, 5.0),
            class(Idempotency::Keyed(DeduplicationGroup::All, SECOND), 2.0),
            class(Idempotency::Keyed(DeduplicationGroup::Zone, SECOND), 2.0),
            class(Idempotency::Keyed(DeduplicationGroup::Cell, SECOND), 2.0),
        ],
        tenants: vec![],
        over_quota_weight: 0.1,
        weight_by_work: false,
        zone: ZoneId(0),
        zones: 3,
        replicas: 4,
        tier: 0,
        propagates_deadline: true,
        polls_discovery: false,
        poll_within: 10 * SECOND,
        may_cancel: true,
        max_retry_after: 0,
        max_attempts: 4,
        idle_timeout: 60 * SECOND,
        initial_capacity: 0.25,
        overload_multiple: 3.0,
        warm_up_time: 10 * SECOND,
        in_flight_value_position: None,
        load_on_query: false,
        cross_zone_price: 0.0,
        load_query_price: 0.0,
    }
}

/// The entry of a warm endpoint in service; its cell is 0 or 1, by the parity of its id.
pub fn endpoint_entry(endpoint: u32, zone: u8) -> EndpointEntry {
    EndpointEntry {
        endpoint: EndpointId(endpoint),
        zone: ZoneId(zone),
        cell: (endpoint % 2) as u16,
        state: EndpointState::InService,
        capacity: 1.0,
        started: None,
    }
}

/// Endpoints 0 to `per_zone - 1` in zone 0, the next `per_zone` in zone 1 and so on.
pub fn endpoints_in_zones(zones: u8, per_zone: u32) -> Vec<EndpointEntry> {
    (0..zones)
        .flat_map(|zone| {
            (0..per_zone).map(move |index| endpoint_entry(u32::from(zone) * per_zone + index, zone))
        })
        .collect()
}

/// A load balancer under test and its virtual clock.
pub struct TestBalancer {
    pub load_balancer: LoadBalancer,
    /// Virtual time, in nanoseconds.
    pub now: u64,
    /// Id of the next request.
    pub next_id: u32,
}

impl TestBalancer {
    /// A balancer that has received `list` as its endpoint list.
    pub fn new(settings: Settings, list: &[EndpointEntry]) -> Self {
        let mut balancer =
            Self { load_balancer: LoadBalancer::new(settings, 11, SECOND).unwrap(), now: SECOND, next_id: 0 };
        balancer.handle(Event::EndpointList(list));
        balancer
    }

    /// Passes an event to the load balancer and returns its actions.
    pub fn handle(&mut self, event: Event<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        self.load_balancer.handle(self.now, event, &mut actions);
        actions
    }

    /// Sends a request of `class` with 2 s to its deadline.
    pub fn request(&mut self, class: usize) -> (RequestId, Vec<Action>) {
        let id = RequestId(self.next_id);
        self.next_id += 1;
        let incoming =
            IncomingRequest { class, tenant: 0, time_left: 2 * SECOND, work: None, body_incomplete: false };
        (id, self.handle(Event::Request(id, incoming)))
    }

    /// Ends attempt number `attempt` of a request with `outcome`.
    pub fn end_attempt(
        &mut self,
        id: RequestId,
        attempt: u32,
        outcome: AttemptOutcome,
        elapsed: u64,
    ) -> Vec<Action> {
        let closed = outcome == AttemptOutcome::Success;
        self.handle(Event::AttemptEnded(
            id,
            AttemptEnd {
                attempt,
                outcome,
                elapsed,
                request_closed: closed,
                body_consumed: false,
                load: None,
            },
        ))
    }

    /// Sends a request, answers it after `latency`, and returns the endpoint that got it.
    pub fn serve(&mut self, class: usize, latency: u64) -> Option<u32> {
        let (id, actions) = self.request(class);
        let endpoint = sent_to(&actions);
        self.now += latency;
        if endpoint.is_some() {
            self.end_attempt(id, 0, AttemptOutcome::Success, latency);
        }
        endpoint
    }

    /// Serves `requests` requests without faults, so that the balancer has latency statistics.
    pub fn warm_up(&mut self, requests: u32) {
        for _ in 0..requests {
            self.serve(IDEMPOTENT, 20 * MS);
        }
    }

    /// Sends a request and ends each of its attempts after 20 ms with `outcome(endpoint)`. Returns the
    /// endpoints that were tried and, unless an attempt succeeded, the last action.
    pub fn run_attempts(
        &mut self,
        class: usize,
        outcome: impl Fn(u32) -> AttemptOutcome,
    ) -> (Vec<u32>, Option<Action>) {
        let (id, mut actions) = self.request(class);
        let mut tried = Vec::new();
        while let Some(endpoint) = sent_to(&actions) {
            tried.push(endpoint);
            self.now += 20 * MS;
            let attempt_outcome = outcome(endpoint);
            actions = self.end_attempt(id, tried.len() as u32 - 1, attempt_outcome, 20 * MS);
            if attempt_outcome == AttemptOutcome::Success {
                return (tried, None);
            }
        }
        (tried, actions.pop())
    }
}

/// The endpoint of the first attempt that `actions` send.
pub fn sent_to(actions: &[Action]) -> Option<u32> {
    actions.iter().find_map(|action| match action {
        Action::Send { endpoint, .. } => Some(endpoint.0),
        _ => None,
    })
}

/// Whether `actions` reject a request.
pub fn is_rejected(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Reject { .. }))
}

/// The endpoints that `actions` query for their load.
pub fn queried_endpoints(actions: &[Action]) -> Vec<u32> {
    let endpoint = |action: &Action| match action {
        Action::QueryLoad(endpoint) => Some(endpoint.0),
        _ => None,
    };
    actions.iter().filter_map(endpoint).collect()
}

/// A load report with one value: the number of requests in flight.
pub fn load_report(in_flight: f32) -> Option<LoadReport> {
    Some(LoadReport { values: [in_flight, 0.0, 0.0, 0.0], len: 1 })
}
