//! The lifecycle of a request: its arrival, its attempts and its final response.

use super::LoadBalancer;
use super::action::Action;
use super::circuit_breaker::FailureKind;
use super::endpoint_selection::Selector;
use super::event::{
    AttemptEnd, AttemptOutcome, Duration, EndpointId, IncomingRequest, LoadReport, RequestId, Time,
};
use super::event_log::Topic;
use super::load_query::{self, Candidate, MAX_QUERIED_ENDPOINTS, QUERY_TIMEOUT, WaitingRequest};
use super::load_shedding::SheddingChange;
use super::request_table::{Lateness, PendingRequest, SentAttempt};
use super::settings::{Idempotency, RequestClass};
use super::statistics::LatencyStatistics;
use super::zone_routing::ZoneRouting;

/// Mean deviations above the mean latency after which an attempt is late: only its endpoint's slowness rises.
const LATE_DEVIATIONS: f64 = 4.0;
/// Mean deviations above the mean latency after which a retryable attempt times out; rare at a healthy endpoint. Any
/// other is overdue, a failure, at twice the mean plus these: the second lateness timer starts when the first fires.
const OVERDUE_DEVIATIONS: f64 = 20.0;

/// Positions of an endpoint selected for a request and of the pool that it was picked from.
struct SelectedEndpoint {
    pool: usize,
    endpoint: usize,
}

impl LoadBalancer {
    // ---- Arrival ----

    /// Admits a new request and starts its first attempt, or rejects it.
    pub(super) fn on_request(&mut self, id: RequestId, incoming: IncomingRequest) {
        let Some(class) = self.settings.classes.get(incoming.class) else {
            return self.actions.push(Action::Reject { id, retry_after: 0 });
        };
        let objective = class.latency_objective.max(1) as f64;
        let request = PendingRequest {
            class: incoming.class,
            // A request that is still being received does not occupy its endpoint yet, however long that takes.
            load_weight: if incoming.body_incomplete { 0.0 } else { 1.0 / objective },
            body_was_incomplete: incoming.body_incomplete,
            work: incoming.work,
            deadline: self.now.saturating_add(self.max_wait(class, &incoming)),
            ..PendingRequest::default()
        };
        self.retries.on_request();
        if self.check_admission(&incoming) {
            self.change_load(request.load_weight);
            self.slow_start.on_admitted(self.now, request.class);
            self.start_attempt(id, request);
        } else {
            self.reject_or_fail(id, &request);
        }
    }

    fn check_admission(&mut self, incoming: &IncomingRequest) -> bool {
        let admission = self.shedding.admit(
            incoming.class,
            incoming.tenant,
            self.now,
            &self.settings,
            &self.traffic,
            &mut self.rng,
        );
        if let Some(SheddingChange { active, latency_ratio }) = admission.change {
            let change = if active { "began" } else { "ended" };
            let text = format!("load shedding {change}: expected latency / objective = {latency_ratio:.2}");
            self.log(Topic::LoadShedding, text);
        }
        admission.admitted
    }

    /// The longest time that the client is kept waiting for a response.
    fn max_wait(&self, class: &RequestClass, incoming: &IncomingRequest) -> Duration {
        let extension = class.objective_stretch * incoming.work.unwrap_or(0) as f64;
        let objective = class.latency_objective.saturating_add(extension as Duration).min(class.deadline);
        // Where a response after the objective has no weight, waiting longer only occupies an endpoint. A deeper tier
        // that receives no deadline must not keep working for a client that has long disconnected.
        let is_deadline_unknown = self.settings.tier > 0 && !self.settings.propagates_deadline;
        if class.late_weight <= 0.0 || is_deadline_unknown {
            incoming.time_left.min(objective)
        } else {
            incoming.time_left
        }
    }

    // ---- Attempts ----

    /// Starts an attempt: selects an endpoint, queries its load if load queries are enabled, and sends the request.
    fn start_attempt(&mut self, id: RequestId, request: PendingRequest) {
        let Some(selected) = self.select(&request) else { return self.give_up(id, &request) };
        // Close to the deadline there is no time to wait for load reports.
        let has_time_to_query = self.now.saturating_add(2 * QUERY_TIMEOUT) < request.deadline;
        if has_time_to_query && load_query::is_enabled(&self.settings) {
            self.query_load(id, request, selected);
        } else {
            self.send(id, request, selected.endpoint);
        }
    }

    /// The zone routing, which chooses the pool, and a selector for picking an endpoint from it.
    fn zone_routing_and_selector(&mut self) -> (&mut ZoneRouting, Selector<'_>) {
        let selector = Selector {
            settings: &self.settings,
            now: self.now,
            traffic: &self.traffic,
            slow_start: &self.slow_start,
            endpoints: &mut self.endpoints,
            rng: &mut self.rng,
        };
        (&mut self.zone_routing, selector)
    }

    /// Selects an endpoint from the pool that zone routing chooses, or from all zones if that pool has none available.
    fn select(&mut self, request: &PendingRequest) -> Option<SelectedEndpoint> {
        let (zone_routing, mut selector) = self.zone_routing_and_selector();
        let choice = zone_routing.choose(&mut selector);
        let all = selector.endpoints.all_endpoints_pool();
        let mut selected = selector.pick(choice.pool, request).map(|endpoint| (choice.pool, endpoint));
        if selected.is_none() && choice.pool != all {
            selected = selector.pick(all, request).map(|endpoint| (all, endpoint));
        }
        if let Some(text) = choice.log {
            self.log(Topic::ZoneRouting, text);
        }
        selected.map(|(pool, endpoint)| SelectedEndpoint { pool, endpoint })
    }

    /// Queries the load of the next endpoints in the round robin before the request is sent to one of them.
    fn query_load(&mut self, id: RequestId, request: PendingRequest, first: SelectedEndpoint) {
        let candidates = self.pick_candidates(&request, &first);
        if candidates.len() == 1 {
            return self.send(id, request, first.endpoint);
        }
        let queries = candidates.iter().map(|&position| Action::QueryLoad(self.endpoints[position].id));
        self.actions.extend(queries);
        self.actions.push(Action::SetTimer { after: QUERY_TIMEOUT, token: load_query::timer_token(id) });
        self.waiting_requests.insert(id, request, candidates);
    }

    fn pick_candidates(&mut self, request: &PendingRequest, first: &SelectedEndpoint) -> Vec<usize> {
        let mut candidates = vec![first.endpoint];
        let (_, mut selector) = self.zone_routing_and_selector();
        for _ in 1..MAX_QUERIED_ENDPOINTS {
            match selector.pick(first.pool, request) {
                Some(endpoint) if !candidates.contains(&endpoint) => candidates.push(endpoint),
                _ => break,
            }
        }
        candidates
    }

    /// Records a load report, and sends the requests for which all queried endpoints have reported.
    pub(super) fn on_load_query_ended(
        &mut self,
        id: EndpointId,
        outcome: AttemptOutcome,
        load: Option<LoadReport>,
    ) {
        let load = load.filter(|_| outcome == AttemptOutcome::Success);
        let Some(in_flight) = load_query::reported_in_flight(load, &self.settings) else { return };
        let Some(position) = self.endpoints.position(id) else { return };
        for request in self.waiting_requests.on_report(position, in_flight) {
            self.finish_load_queries(request);
        }
    }

    /// Ends the load queries for a request and sends it to the candidate with the fewest requests in flight for the
    /// capacity of the candidate, or to the first candidate if none has reported.
    pub(super) fn finish_load_queries(&mut self, id: RequestId) {
        let Some(WaitingRequest { request, candidates }) = self.waiting_requests.remove(id) else { return };
        // The idempotency window may have ended since the queries. `least_loaded` skips endpoints that began to drain.
        if !request.is_safe_to_send(&self.settings, self.now) {
            return self.give_up(id, &request);
        }
        let Some(best) = self.least_loaded(candidates) else { return self.give_up(id, &request) };
        let in_flight = best.in_flight.map_or(0.0, |in_flight| in_flight + 1.0); // with this request
        let reported = best.in_flight.is_some();
        if reported && load_query::is_too_late(&request, in_flight, self.now, &self.settings, &self.traffic) {
            return self.give_up(id, &request);
        }
        self.send(id, PendingRequest { reported_in_flight: in_flight, ..request }, best.endpoint);
    }

    fn least_loaded(&self, candidates: Vec<Candidate>) -> Option<Candidate> {
        let load = |candidate: &Candidate| {
            let in_flight = candidate.in_flight.unwrap_or(f64::INFINITY);
            in_flight / self.endpoints[candidate.endpoint].capacity
        };
        let in_service =
            candidates.into_iter().filter(|candidate| self.endpoints[candidate.endpoint].in_service);
        in_service.min_by(|a, b| load(a).total_cmp(&load(b)))
    }

    fn send(&mut self, id: RequestId, mut request: PendingRequest, position: usize) {
        let times_out_at = self.attempt_deadline(&request);
        let begin_by = request.idempotency_window_end(&self.settings);
        let latency = &self.traffic.class_latencies[request.class];
        if latency.is_trusted() && !request.body_was_incomplete {
            let token = lateness_token(id, request.attempts);
            self.actions
                .push(Action::SetTimer { after: latency.mean_plus_deviations(LATE_DEVIATIONS), token });
        }
        let repeatable = self.settings.is_repeatable(request.class);
        let timeout = self.settings.idle_timeout;
        let endpoint = &mut self.endpoints[position];
        request.idle_bucket =
            endpoint.choose_connection(&self.idle_risk, self.now, timeout, repeatable, &mut self.actions);
        self.endpoints.add_in_flight(position);
        let endpoint = &mut self.endpoints[position];
        endpoint.use_connection();
        let is_warm = endpoint.warm_up.is_warm(self.now, &self.settings);
        request.warm_up_cost = if is_warm { 0.0 } else { self.slow_start.cost(request.class, request.work) };
        endpoint.warm_up.charge(request.warm_up_cost); // to the slow-start budget
        request.is_trial = endpoint.breaker.tripped; // a request to a tripped endpoint is a trial
        endpoint.breaker.trial_in_flight |= request.is_trial;
        self.actions.push(Action::Send { id, endpoint: endpoint.id, times_out_at, begin_by });
        request.last_attempt = Some(SentAttempt { endpoint: position, sent_at: self.now });
        request.attempts += 1;
        // A request that arrived with an incomplete body has no lateness timer, and its timeout is no failure.
        request.lateness = if request.body_was_incomplete { Lateness::Overdue } else { Lateness::OnTime };
        self.requests.insert(id, request);
    }

    /// When the next attempt of a request times out. An attempt times out before the deadline only if the request may
    /// be retried and enough time is left for a retry; otherwise it may run until the deadline.
    fn attempt_deadline(&self, request: &PendingRequest) -> Time {
        let time_left = request.deadline.saturating_sub(self.now);
        let latency = &self.traffic.class_latencies[request.class];
        let limit = latency.mean_plus_deviations(OVERDUE_DEVIATIONS);
        let has_attempts_left = request.attempts + 1 < self.settings.max_attempts;
        let may_retry = has_attempts_left && self.settings.is_repeatable(request.class);
        let is_limited = may_retry && latency.is_trusted() && limit + latency.mean as Duration <= time_left;
        if is_limited { self.now + limit } else { request.deadline }
    }

    // ---- The end of an attempt ----

    /// Counts the request as ended once its response starts. How long the rest of the response takes depends on its
    /// length and on the client, so the rest counts against the endpoint only if it fails.
    pub(super) fn on_response_started(&mut self, id: RequestId, attempt: u32) {
        let is_current = |request: &PendingRequest| request.attempts == attempt + 1 && !request.closed;
        if !self.requests.get(&id).is_some_and(is_current) {
            return;
        }
        let Some(mut request) = self.requests.remove(&id) else { return };
        let Some(SentAttempt { endpoint: position, sent_at }) = request.last_attempt else { return };
        request.closed = true;
        request.response_started = true;
        self.endpoints.remove_in_flight(position);
        let endpoint = &mut self.endpoints[position];
        endpoint.streaming_responses += 1;
        endpoint.breaker.trial_in_flight &= !request.is_trial;
        let end = AttemptEnd {
            attempt,
            outcome: AttemptOutcome::Success,
            elapsed: self.now - sent_at,
            request_closed: true,
            body_consumed: true,
            load: None,
        };
        self.learn_from_attempt(&request, position, &end);
        self.on_request_ended(request.load_weight, true);
        self.requests.insert(id, request);
    }

    /// Marks an attempt as late or overdue: this detects a stuck endpoint before the deadlines of its requests.
    pub(super) fn on_lateness_timer(&mut self, token: u64) {
        let (id, attempt) = attempt_of_timer(token);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(SentAttempt { endpoint, sent_at }) = request.last_attempt else { return };
        if request.closed || u64::from(request.attempts) != u64::from(attempt) + 1 {
            return;
        }
        match request.lateness {
            Lateness::OnTime => self.on_attempt_late(id, token),
            Lateness::Late => {
                request.lateness = Lateness::Overdue;
                let idle_bucket = request.idle_bucket;
                self.on_missing_response(endpoint, idle_bucket, sent_at, FailureKind::Unfinished);
            }
            Lateness::Overdue => {}
        }
    }

    /// A late attempt may be stuck at its endpoint: it no longer counts as load, so no other request is shed for it.
    fn on_attempt_late(&mut self, id: RequestId, token: u64) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(SentAttempt { endpoint, sent_at }) = request.last_attempt else { return };
        request.lateness = Lateness::Late;
        let class = request.class;
        let load_weight = std::mem::take(&mut request.load_weight);
        self.change_load(-load_weight);
        let latency: &LatencyStatistics = &self.traffic.class_latencies[class];
        self.endpoints[endpoint].learn_slowness(latency, self.now - sent_at);
        let after = latency.mean_plus_deviations(OVERDUE_DEVIATIONS - LATE_DEVIATIONS); // from now
        self.actions.push(Action::SetTimer { after, token });
    }

    /// Learns from an attempt that ended, and retries or finishes its request.
    pub(super) fn on_attempt_ended(&mut self, id: RequestId, end: AttemptEnd) {
        let is_current = |request: &PendingRequest| request.attempts == end.attempt + 1;
        if !self.requests.get(&id).is_some_and(is_current) {
            return;
        }
        let Some(mut request) = self.requests.remove(&id) else { return };
        let Some(SentAttempt { endpoint: position, sent_at }) = request.last_attempt else { return };
        if request.response_started {
            return self.on_response_ended(position, sent_at, end.outcome);
        }
        self.endpoints.remove_in_flight(position);
        let endpoint = &mut self.endpoints[position];
        endpoint.release_connection(self.now, &mut self.actions);
        endpoint.breaker.trial_in_flight &= !request.is_trial;
        if end.outcome == AttemptOutcome::NotSent {
            endpoint.warm_up.refund(sent_at, request.warm_up_cost);
        }
        self.learn_from_attempt(&request, position, &end);
        if request.closed {
            return;
        }
        if end.request_closed {
            return self.on_request_ended(request.load_weight, true);
        }
        if !end.outcome.never_ran() {
            request.first_possible_execution = request.first_possible_execution.or(request.last_attempt);
        }
        if end.allows_retry() && self.try_retry(&request) {
            self.start_attempt(id, request);
        } else {
            self.give_up(id, &request);
        }
    }

    /// Handles the end of a response that had started, complete or broken off.
    fn on_response_ended(&mut self, position: usize, sent_at: Time, outcome: AttemptOutcome) {
        let endpoint = &mut self.endpoints[position];
        endpoint.streaming_responses -= 1;
        endpoint.release_connection(self.now, &mut self.actions);
        if matches!(outcome, AttemptOutcome::Error | AttemptOutcome::Timeout | AttemptOutcome::Reset) {
            self.on_breaker_failure(position, sent_at, FailureKind::of(outcome));
        }
    }

    /// Takes a retry from the retry budget if the retry policy allows another attempt, and returns whether it does.
    fn try_retry(&mut self, request: &PendingRequest) -> bool {
        let latency = &self.traffic.class_latencies[request.class];
        self.retries.try_retry(request, latency, self.now, &self.settings)
    }

    // ---- The end of a request ----

    /// Closes the request of a client that disconnected, and cancels its attempt where that is allowed.
    pub(super) fn on_client_disconnected(&mut self, id: RequestId) {
        if let Some(waiting) = self.waiting_requests.remove(id) {
            return self.on_request_ended(waiting.request.load_weight, false);
        }
        let Some(request) = self.requests.get_mut(&id).filter(|request| !request.closed) else { return };
        request.closed = true;
        let load_weight = request.load_weight;
        if self.settings.may_cancel {
            self.actions.push(Action::Cancel { id, attempt: request.attempts - 1 });
        }
        self.on_request_ended(load_weight, true);
    }

    fn give_up(&mut self, id: RequestId, request: &PendingRequest) {
        self.on_request_ended(request.load_weight, request.first_possible_execution.is_some());
        self.reject_or_fail(id, request);
    }

    /// Rejects the request, with a random advised delay, if the client may safely repeat it, else fails it.
    fn reject_or_fail(&mut self, id: RequestId, request: &PendingRequest) {
        let is_idempotent = self.settings.classes[request.class].idempotency == Idempotency::Idempotent;
        let max_retry_after = self.settings.max_retry_after;
        let retry_after = max_retry_after / 2 + self.rng.u64(..=max_retry_after / 2);
        let may_repeat = is_idempotent || request.first_possible_execution.is_none();
        self.actions.push(if may_repeat { Action::Reject { id, retry_after } } else { Action::Fail(id) });
    }

    fn change_load(&mut self, change: f64) {
        self.shedding.change_load(change, self.now, &self.settings, &self.traffic);
    }

    fn on_request_ended(&mut self, load_weight: f64, may_have_run: bool) {
        self.shedding.on_request_ended(load_weight, may_have_run, self.now, &self.settings, &self.traffic);
    }
}

/// Token of the timer after which an attempt is late or overdue: the attempt number above the request id.
fn lateness_token(id: RequestId, attempt: u32) -> u64 {
    u64::from(attempt) << u32::BITS | u64::from(id.0)
}

/// The attempt that a lateness timer belongs to, decoded from its token.
fn attempt_of_timer(token: u64) -> (RequestId, u32) {
    (RequestId(token as u32), (token >> u32::BITS) as u32)
}
