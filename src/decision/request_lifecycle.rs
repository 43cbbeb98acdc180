//! The life of a request: from its arrival over its attempts to its final answer.

use super::LoadBalancer;
use super::action::Action;
use super::circuit_breaker::FailureKind;
use super::endpoint_selection::Selector;
use super::event::{
    AttemptEnd, AttemptOutcome, Duration, EndpointId, IncomingRequest, LoadReport, RequestId, Time,
};
use super::event_log::Topic;
use super::load_query::{self, Candidate, LoadQuery, QUERIED_ENDPOINTS, QUERY_WAIT};
use super::load_shedding::SheddingChange;
use super::request_table::{Lateness, PendingRequest, SentAttempt};
use super::settings::{Idempotency, RequestClass};
use super::statistics::LatencyStatistics;
use super::zone_routing::ZoneRouting;

/// Mean deviations above the mean at which an attempt is late: it tells of its endpoint, not of all ...
const LATE_DEVIATIONS: f64 = 4.0;
/// ... and at which it is overdue, a failure: hardly any attempt at a sound endpoint is.
const OVERDUE_DEVIATIONS: f64 = 20.0;

/// An endpoint, and the pool it was picked from.
struct Selected {
    pool: usize,
    endpoint: usize,
}

impl LoadBalancer {
    // ---- Arrival ----

    pub(super) fn on_request(&mut self, id: RequestId, incoming: IncomingRequest) {
        let Some(class) = self.settings.classes.get(incoming.class) else {
            return self.actions.push(Action::Reject { id, retry_after: 0 });
        };
        let objective = class.latency_objective.max(1) as f64;
        let request = PendingRequest {
            class: incoming.class,
            // What is still being received holds nothing up yet, however long that takes.
            weight: if incoming.streaming { 0.0 } else { 1.0 / objective },
            streaming: incoming.streaming,
            work: incoming.work,
            deadline: self.now.saturating_add(self.useful_time(class, &incoming)),
            ..PendingRequest::default()
        };
        self.retries.on_request();
        if self.admits(&incoming) {
            self.change_weight(request.weight);
            self.slow_start.on_admitted(self.now, request.class);
            self.attempt(id, request);
        } else {
            self.reject_or_fail(id, &request);
        }
    }

    fn admits(&mut self, incoming: &IncomingRequest) -> bool {
        let admission = self.shedding.admit(
            incoming.class,
            incoming.tenant,
            self.now,
            &self.settings,
            &self.traffic,
            &mut self.rng,
        );
        if let Some(SheddingChange { active, lateness }) = admission.change {
            let change = if active { "began" } else { "ended" };
            let text = format!("load shedding {change}: answers take {lateness:.2} of their objective");
            self.log(Topic::LoadShedding, text);
        }
        admission.admitted
    }

    /// How long an answer is worth waiting for.
    fn useful_time(&self, class: &RequestClass, incoming: &IncomingRequest) -> Duration {
        let stretch = class.objective_stretch * incoming.work.unwrap_or(0) as f64;
        let objective = class.latency_objective.saturating_add(stretch as Duration).min(class.deadline);
        // Where an answer after the objective is worth nothing, waiting on only blocks a slot. A deeper tier that
        // is told no deadline must not work on for a client that is long gone.
        let is_guessed = self.settings.tier > 0 && !self.settings.propagates_deadline;
        if class.late_weight <= 0.0 || is_guessed {
            incoming.time_left.min(objective)
        } else {
            incoming.time_left
        }
    }

    // ---- Attempts ----

    fn attempt(&mut self, id: RequestId, request: PendingRequest) {
        let Some(selected) = self.select(&request) else { return self.give_up(id, &request) };
        // With hardly any time left, an answer would be owed before the endpoints have told.
        let in_time = self.now.saturating_add(2 * QUERY_WAIT) < request.deadline;
        if in_time && load_query::is_enabled(&self.settings) {
            self.query_load(id, request, selected);
        } else {
            self.send(id, request, selected.endpoint);
        }
    }

    /// What selecting an endpoint works on, beside the zone routing that it begins with.
    fn selector(&mut self) -> (&mut ZoneRouting, Selector<'_>) {
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

    /// Selects an endpoint from the zone that is to be used, or else from all.
    fn select(&mut self, request: &PendingRequest) -> Option<Selected> {
        let (zone_routing, mut selector) = self.selector();
        let choice = zone_routing.choose(&mut selector);
        let all = selector.endpoints.all_zones();
        let mut selected = selector.pick(choice.pool, request).map(|endpoint| (choice.pool, endpoint));
        if selected.is_none() && choice.pool != all {
            selected = selector.pick(all, request).map(|endpoint| (all, endpoint));
        }
        if let Some(text) = choice.log {
            self.log(Topic::ZoneRouting, text);
        }
        selected.map(|(pool, endpoint)| Selected { pool, endpoint })
    }

    /// Asks the next endpoints in turn for their load before the request is sent.
    fn query_load(&mut self, id: RequestId, request: PendingRequest, first: Selected) {
        let candidates = self.query_candidates(&request, &first);
        if candidates.len() == 1 {
            return self.send(id, request, first.endpoint);
        }
        let queries = candidates.iter().map(|&position| Action::QueryLoad(self.endpoints[position].id));
        self.actions.extend(queries);
        self.actions.push(Action::SetTimer { after: QUERY_WAIT, token: load_query::token(id) });
        self.load_queries.insert(id, request, candidates);
    }

    fn query_candidates(&mut self, request: &PendingRequest, first: &Selected) -> Vec<usize> {
        let mut candidates = vec![first.endpoint];
        let (_, mut selector) = self.selector();
        for _ in 1..QUERIED_ENDPOINTS {
            match selector.pick(first.pool, request) {
                Some(endpoint) if !candidates.contains(&endpoint) => candidates.push(endpoint),
                _ => break,
            }
        }
        candidates
    }

    pub(super) fn on_load_query_ended(
        &mut self,
        id: EndpointId,
        outcome: AttemptOutcome,
        load: Option<LoadReport>,
    ) {
        let load = load.filter(|_| outcome == AttemptOutcome::Success);
        let Some(in_flight) = load_query::reported_in_flight(load, &self.settings) else { return };
        let Some(position) = self.endpoints.position(id) else { return };
        for request in self.load_queries.on_report(position, in_flight) {
            self.on_load_known(request);
        }
    }

    /// Sends to the first of the candidates that has the fewest requests in flight, or to the first if none has told.
    pub(super) fn on_load_known(&mut self, id: RequestId) {
        let Some(LoadQuery { request, candidates }) = self.load_queries.remove(id) else { return };
        // Since they were asked, an endpoint may be draining, or the window of an idempotency key have passed.
        if !request.is_safe_to_send(&self.settings, self.now) {
            return self.give_up(id, &request);
        }
        let Some(best) = self.least_loaded(candidates) else { return self.give_up(id, &request) };
        let in_flight = best.in_flight.map_or(0.0, |in_flight| in_flight + 1.0);
        let is_known = best.in_flight.is_some();
        if is_known && load_query::is_hopeless(&request, in_flight, self.now, &self.settings, &self.traffic) {
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
        let until = self.attempt_limit(&request);
        let begin_by = request.window_end(&self.settings);
        let latency = &self.traffic.classes[request.class];
        if latency.is_trusted() && !request.streaming {
            let token = lateness_token(id, request.attempts);
            self.actions
                .push(Action::SetTimer { after: latency.mean_plus_deviations(LATE_DEVIATIONS), token });
        }
        let repeatable = self.settings.is_repeatable(request.class);
        let timeout = self.settings.idle_timeout;
        let endpoint = &mut self.endpoints[position];
        request.idle =
            endpoint.choose_connection(&self.idle_risk, self.now, timeout, repeatable, &mut self.actions);
        self.endpoints.add_in_flight(position);
        let endpoint = &mut self.endpoints[position];
        endpoint.use_connection();
        let is_warm = endpoint.warm_up.is_warm(self.now, &self.settings);
        request.warm_up_cost = if is_warm { 0.0 } else { self.slow_start.cost(request.class, request.work) };
        endpoint.warm_up.charge(request.warm_up_cost);
        request.is_trial = endpoint.breaker.tripped;
        endpoint.breaker.trial_in_flight |= request.is_trial;
        self.actions.push(Action::Send { id, endpoint: endpoint.id, until, begin_by });
        request.last_attempt = Some(SentAttempt { endpoint: position, sent: self.now });
        request.attempts += 1;
        request.lateness = if request.streaming { Lateness::Overdue } else { Lateness::OnTime };
        self.requests.insert(id, request);
    }

    /// When an attempt is given up. Work that must not run twice, or has no time to, may still finish.
    fn attempt_limit(&self, request: &PendingRequest) -> Time {
        let left = request.deadline.saturating_sub(self.now);
        let latency = &self.traffic.classes[request.class];
        let overdue = latency.mean_plus_deviations(OVERDUE_DEVIATIONS);
        let attempts_left = request.attempts + 1 < self.settings.max_attempts;
        let may_retry = attempts_left && self.settings.is_repeatable(request.class);
        let is_cut = may_retry && latency.is_trusted() && overdue + latency.mean as Duration <= left;
        if is_cut { self.now + overdue } else { request.deadline }
    }

    // ---- The end of an attempt ----

    /// A response has begun: its endpoint's work is done, and the request is over. How long the rest takes, its length
    /// and its client say: it tells nothing of the endpoint, unless it breaks off.
    pub(super) fn on_response_started(&mut self, id: RequestId, attempt: u32) {
        let is_current = |request: &PendingRequest| request.attempts == attempt + 1 && !request.closed;
        if !self.requests.get(&id).is_some_and(is_current) {
            return;
        }
        let Some(mut request) = self.requests.remove(&id) else { return };
        let Some(SentAttempt { endpoint: position, sent }) = request.last_attempt else { return };
        request.closed = true;
        request.response_started = true;
        self.endpoints.remove_in_flight(position);
        let endpoint = &mut self.endpoints[position];
        endpoint.streaming_responses += 1;
        endpoint.breaker.trial_in_flight &= !request.is_trial;
        let end = AttemptEnd {
            attempt,
            outcome: AttemptOutcome::Success,
            elapsed: self.now - sent,
            request_closed: true,
            body_consumed: true,
            load: None,
        };
        self.learn(&request, position, &end);
        self.on_answered(request.weight, true);
        self.requests.insert(id, request);
    }

    /// An endpoint that slows down or hangs shows by attempts that don't end, long before they time out.
    pub(super) fn on_lateness_timer(&mut self, token: u64) {
        let (id, attempt) = late_attempt(token);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(SentAttempt { endpoint, sent }) = request.last_attempt else { return };
        if request.closed || u64::from(request.attempts) != u64::from(attempt) + 1 {
            return;
        }
        match request.lateness {
            Lateness::OnTime => self.on_late(id, token),
            Lateness::Late => {
                request.lateness = Lateness::Overdue;
                let idle = request.idle;
                self.on_failure(endpoint, idle, sent, FailureKind::Unanswered);
            }
            Lateness::Overdue => {}
        }
    }

    /// The attempt is stuck at its endpoint: other requests must not be shed for it.
    fn on_late(&mut self, id: RequestId, token: u64) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(SentAttempt { endpoint, sent }) = request.last_attempt else { return };
        request.lateness = Lateness::Late;
        let class = request.class;
        let weight = std::mem::take(&mut request.weight);
        self.change_weight(-weight);
        let latency: &LatencyStatistics = &self.traffic.classes[class];
        self.endpoints[endpoint].learn_slowness(latency, self.now - sent);
        let after = latency.mean_plus_deviations(OVERDUE_DEVIATIONS - LATE_DEVIATIONS);
        self.actions.push(Action::SetTimer { after, token });
    }

    pub(super) fn on_attempt_ended(&mut self, id: RequestId, end: AttemptEnd) {
        let is_current = |request: &PendingRequest| request.attempts == end.attempt + 1;
        if !self.requests.get(&id).is_some_and(is_current) {
            return;
        }
        let Some(mut request) = self.requests.remove(&id) else { return };
        let Some(SentAttempt { endpoint: position, sent }) = request.last_attempt else { return };
        if request.response_started {
            return self.on_response_ended(position, sent, end.outcome);
        }
        self.endpoints.remove_in_flight(position);
        let endpoint = &mut self.endpoints[position];
        endpoint.release_connection(self.now, &mut self.actions);
        endpoint.breaker.trial_in_flight &= !request.is_trial;
        if end.outcome == AttemptOutcome::NotSent {
            endpoint.warm_up.refund(sent, request.warm_up_cost);
        }
        self.learn(&request, position, &end);
        if request.closed {
            return;
        }
        if end.request_closed {
            return self.on_answered(request.weight, true);
        }
        if !end.outcome.never_ran() {
            request.may_have_run = request.may_have_run.or(request.last_attempt);
        }
        if !end.body_consumed && self.may_retry(&request) {
            self.attempt(id, request);
        } else {
            self.give_up(id, &request);
        }
    }

    /// A response that had begun has ended, or broken off.
    fn on_response_ended(&mut self, position: usize, sent: Time, outcome: AttemptOutcome) {
        let endpoint = &mut self.endpoints[position];
        endpoint.streaming_responses -= 1;
        endpoint.release_connection(self.now, &mut self.actions);
        if matches!(outcome, AttemptOutcome::Error | AttemptOutcome::Timeout | AttemptOutcome::Reset) {
            self.on_breaker_failure(position, sent, FailureKind::of(outcome));
        }
    }

    fn may_retry(&mut self, request: &PendingRequest) -> bool {
        let latency = &self.traffic.classes[request.class];
        self.retries.try_retry(request, latency, self.now, &self.settings)
    }

    // ---- The end of a request ----

    pub(super) fn on_client_disconnected(&mut self, id: RequestId) {
        if let Some(query) = self.load_queries.remove(id) {
            return self.on_answered(query.request.weight, false);
        }
        let Some(request) = self.requests.get_mut(&id).filter(|request| !request.closed) else { return };
        request.closed = true;
        let weight = request.weight;
        if self.settings.may_cancel {
            self.actions.push(Action::Cancel { id, attempt: request.attempts - 1 });
        }
        self.on_answered(weight, true);
    }

    fn give_up(&mut self, id: RequestId, request: &PendingRequest) {
        self.on_answered(request.weight, request.may_have_run.is_some());
        self.reject_or_fail(id, request);
    }

    fn reject_or_fail(&mut self, id: RequestId, request: &PendingRequest) {
        let is_idempotent = self.settings.classes[request.class].idempotency == Idempotency::Idempotent;
        let most = self.settings.max_retry_after;
        let retry_after = most / 2 + self.rng.u64(..=most / 2);
        let is_harmless = is_idempotent || request.may_have_run.is_none();
        self.actions.push(if is_harmless { Action::Reject { id, retry_after } } else { Action::Fail(id) });
    }

    fn change_weight(&mut self, change: f64) {
        self.shedding.change_weight(change, self.now, &self.settings, &self.traffic);
    }

    fn on_answered(&mut self, weight: f64, worked_on: bool) {
        self.shedding.on_answered(weight, worked_on, self.now, &self.settings, &self.traffic);
    }
}

/// The token of the timer after which an attempt is late: its number above the id of its request.
fn lateness_token(id: RequestId, attempt: u32) -> u64 {
    u64::from(attempt) << u32::BITS | u64::from(id.0)
}

/// The attempt that a timer's token names.
fn late_attempt(token: u64) -> (RequestId, u32) {
    (RequestId(token as u32), (token >> u32::BITS) as u32)
}
