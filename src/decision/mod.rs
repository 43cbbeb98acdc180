//! The decision module of the balancer: it receives events and returns actions, and uses no sockets, clocks, files or
//! tasks.
//!
//! Routing follows Ribbon's zone-aware rule: requests stay in the balancer's own zone while that is healthy, and
//! otherwise avoid the worst zone. Within a zone, endpoints are picked round robin, skipping those that are ejected or
//! overloaded. docs/design.md names the source of the rule and the condition for each exception to it. Each submodule
//! owns the state of one concern; [`LoadBalancer`] combines them.

mod action;
mod attempt_learning;
mod backoff;
mod circuit_breaker;
mod endpoint;
mod endpoint_list;
mod endpoint_pool;
mod endpoint_selection;
mod endpoints;
mod event;
mod event_log;
mod idle_connections;
mod load_query;
mod load_shedding;
mod rejections;
mod request_lifecycle;
mod request_table;
mod response_limit;
mod retry;
mod settings;
mod slow_start;
mod statistics;
mod zone_routing;

pub use action::Action;
pub use event::{
    AttemptEnd, AttemptOutcome, Duration, EndpointEntry, EndpointId, EndpointState, Event, IncomingRequest,
    LoadReport, RequestId, Time, ZoneId,
};
pub use response_limit::{
    FINAL_RESPONSE_DELAY, MAX_PAUSE, MAX_RESPONSE_SILENCE, MAX_SHORT_RESPONSE, PauseTolerance,
    REDUCED_MAX_PAUSE, ResponseLimit,
};
pub use settings::{DeduplicationGroup, Idempotency, RequestClass, Settings, SettingsError, Tenant};

use endpoint_list::{EndpointListWatch, WATCH_TOKEN};
use endpoints::EndpointTable;
use event_log::{EventLog, Topic};
use idle_connections::IdleRisk;
use load_query::WaitingRequests;
use load_shedding::LoadShedding;
use request_table::{PendingRequest, RequestTable};
use retry::RetryPolicy;
use slow_start::SlowStart;
use statistics::TrafficStatistics;
use std::collections::HashSet;
use zone_routing::ZoneRouting;

/// The state of one balancer, which handles events and returns actions.
#[derive(Debug)]
pub struct LoadBalancer {
    settings: Settings,
    rng: fastrand::Rng,
    now: Time,
    /// Actions collected for the event being handled.
    actions: Vec<Action>,
    endpoints: EndpointTable,
    list_watch: EndpointListWatch,
    requests: RequestTable,
    waiting_requests: WaitingRequests,
    traffic: TrafficStatistics,
    slow_start: SlowStart,
    idle_risk: IdleRisk,
    retries: RetryPolicy,
    shedding: LoadShedding,
    zone_routing: ZoneRouting,
    event_log: EventLog,
}

impl LoadBalancer {
    /// Creates a balancer with an empty endpoint list. All its random numbers derive from `seed`.
    ///
    /// # Errors
    ///
    /// Names the first setting that has an invalid value.
    pub fn new(settings: Settings, seed: u64, now: Time) -> Result<Self, SettingsError> {
        settings.check()?;
        Ok(Self {
            rng: fastrand::Rng::with_seed(seed),
            now,
            actions: Vec::new(),
            endpoints: EndpointTable::new(&settings),
            list_watch: EndpointListWatch::default(),
            requests: RequestTable::new(),
            waiting_requests: WaitingRequests::default(),
            traffic: TrafficStatistics::new(&settings, now),
            slow_start: SlowStart::new(&settings, now),
            idle_risk: IdleRisk::default(),
            retries: RetryPolicy::new(&settings),
            shedding: LoadShedding::new(&settings),
            zone_routing: ZoneRouting::default(),
            event_log: EventLog::default(),
            settings,
        })
    }

    /// Handles one event and appends the resulting actions to `actions`. If `now` is earlier than at the previous
    /// event, the time of the previous event is used instead.
    pub fn handle(&mut self, now: Time, event: Event<'_>, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::EndpointsChanged(entries) => self.on_endpoints_changed(entries),
            Event::EndpointList(entries) => self.on_endpoint_list(entries),
            Event::DiscoveryFailed => self.on_discovery_failed(),
            Event::DiscoveryMoved => self.list_watch.on_moved(&mut self.rng, &mut self.actions),
            Event::Request(id, incoming) => self.on_request(id, incoming),
            Event::ResponseStarted(id, attempt) => self.on_response_started(id, attempt),
            Event::AttemptEnded(id, end) => self.on_attempt_ended(id, end),
            Event::ClientDisconnected(id) => self.on_client_disconnected(id),
            Event::LoadQueryEnded(endpoint, outcome, load) => {
                self.on_load_query_ended(endpoint, outcome, load)
            }
            Event::Offline(endpoint) => self.on_offline(endpoint),
            Event::Online(endpoint) => self.on_online(endpoint),
            Event::Timer(token) => self.on_timer(token),
        }
        actions.append(&mut self.actions);
    }

    /// Number of listed endpoints that are offline, draining, or have a tripped circuit breaker.
    pub fn unavailable_count(&self) -> usize {
        self.endpoints.unavailable_count()
    }

    fn on_timer(&mut self, token: u64) {
        if token == WATCH_TOKEN {
            self.actions.push(Action::WatchEndpoints);
        } else if let Some(id) = load_query::request_of_timer(token) {
            self.finish_load_queries(id);
        } else {
            self.on_lateness_timer(token);
        }
    }

    fn on_endpoint_list(&mut self, entries: &[EndpointEntry]) {
        self.endpoints.mark_all_removed();
        self.on_endpoints_changed(entries);
    }

    fn on_endpoints_changed(&mut self, entries: &[EndpointEntry]) {
        let min_cost = self.slow_start.min_cost();
        for entry in entries {
            self.endpoints.apply(entry, self.now, min_cost, &mut self.rng);
        }
        self.forget_removed();
        self.rebuild_pools();
        self.list_watch.on_list(&self.settings, &mut self.rng, &mut self.actions);
    }

    /// Deletes the removed endpoints from the table, except those that a request still refers to: an attempt is in
    /// flight there, a load query is pending, or the endpoint determines the deduplication group of an idempotency key.
    fn forget_removed(&mut self) {
        if !self.endpoints.has_removed() {
            return;
        }
        let used_by_requests = self.requests.values().flat_map(PendingRequest::referenced_endpoints);
        let referenced: HashSet<usize> =
            used_by_requests.chain(self.waiting_requests.referenced_endpoints()).collect();
        self.endpoints.forget_removed(&referenced);
    }

    fn rebuild_pools(&mut self) {
        self.endpoints.rebuild_pools();
        let own_zone = usize::from(self.settings.zone.0);
        self.slow_start.set_own_zone_endpoints(self.endpoints.warm_up_ends(own_zone, &self.settings));
    }

    fn on_offline(&mut self, endpoint: EndpointId) {
        if self.endpoints.take_offline(endpoint, &mut self.actions) {
            self.rebuild_pools();
        }
    }

    fn on_online(&mut self, endpoint: EndpointId) {
        let min_cost = self.slow_start.min_cost();
        if self.endpoints.bring_online(endpoint, self.now, min_cost, &mut self.rng) {
            self.rebuild_pools();
        }
    }

    fn on_discovery_failed(&mut self) {
        let failures = self.list_watch.on_failure(&mut self.rng, &mut self.actions);
        let text = format!("discovery failed {failures} times in a row; the endpoint list may be outdated");
        self.log(Topic::Discovery, text);
    }

    fn log(&mut self, topic: Topic, text: String) {
        self.event_log.write(topic, self.now, text, &mut self.actions);
    }
}
