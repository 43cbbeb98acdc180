//! What the end of an attempt teaches: of its endpoint, its zone, its class and its connection.

use super::LoadBalancer;
use super::circuit_breaker::FailureKind;
use super::event::{AttemptEnd, AttemptOutcome, Duration, Time};
use super::event_log::Topic;
use super::idle_connections::IdleTimeBucket;
use super::rejections::ClassRejections;
use super::request_table::{Lateness, PendingRequest};
use super::statistics::OUTCOME_GAIN;

/// A time-out counts as a failure if it took longer than this multiple of the class's calm latency: a limit that is
/// short even for a sound endpoint is the client's fault.
const TIMEOUT_OF_CALM: f64 = 2.0;

impl LoadBalancer {
    pub(super) fn learn(&mut self, request: &PendingRequest, position: usize, end: &AttemptEnd) {
        // A request that was still being received held its attempt up.
        let is_timed = !(request.streaming && request.response_started);
        if is_timed {
            self.learn_zone_lateness(request, position, end);
        }
        self.retries.on_attempt_end(request, end.outcome, self.now, &self.settings);
        self.learn_outcome(request, position, end);
        if is_timed && matches!(end.outcome, AttemptOutcome::Success | AttemptOutcome::Timeout) {
            self.learn_latency(request, position, end);
        }
    }

    fn learn_zone_lateness(&mut self, request: &PendingRequest, position: usize, end: &AttemptEnd) {
        let least = match end.outcome {
            AttemptOutcome::Success | AttemptOutcome::Cancelled | AttemptOutcome::Timeout => 0.0,
            AttemptOutcome::Rejected => 1.0,
            _ => return,
        };
        let objective = self.settings.classes[request.class].latency_objective.max(1) as f64;
        let lateness = (end.elapsed as f64 / objective).max(least);
        self.endpoints.zone_pool(position).learn_lateness(lateness, self.now);
    }

    fn learn_outcome(&mut self, request: &PendingRequest, position: usize, end: &AttemptEnd) {
        let now = self.now;
        let class = request.class;
        let sent = now.saturating_sub(end.elapsed);
        match end.outcome {
            AttemptOutcome::Success => self.on_success(request, position),
            AttemptOutcome::Cancelled | AttemptOutcome::NotSent | AttemptOutcome::InvalidRequest => {}
            AttemptOutcome::Rejected => {
                let request_time = self.traffic.overall.baseline as Duration;
                self.endpoints[position].rejections[class].on_rejection(now, request_time);
            }
            AttemptOutcome::Error => {
                self.on_breaker_failure(position, sent, FailureKind::Ended);
                self.endpoints[position].rejections[class].on_error(now);
            }
            AttemptOutcome::ConnectFailed if self.endpoints[position].is_alive(now) => {
                self.endpoints[position].learn_connection_limit(now);
            }
            AttemptOutcome::ConnectFailed => self.on_breaker_failure(position, sent, FailureKind::Ended),
            AttemptOutcome::Timeout if self.is_excused(request, end.elapsed) => {}
            AttemptOutcome::Timeout | AttemptOutcome::Reset => {
                self.on_failure(position, request.idle, sent, FailureKind::of(end.outcome));
            }
        }
    }

    /// Whether a time-out says nothing of its endpoint: it has counted already, or its limit was too short. By the
    /// mean latency instead of the calm one, the time-outs of a stuck endpoint would excuse themselves.
    fn is_excused(&self, request: &PendingRequest, elapsed: Duration) -> bool {
        let calm = self.traffic.classes[request.class].baseline;
        request.lateness == Lateness::Overdue || (elapsed as f64) < TIMEOUT_OF_CALM * calm
    }

    fn on_success(&mut self, request: &PendingRequest, position: usize) {
        self.traffic.count_answered(self.now);
        self.learn_home_share(position);
        let endpoint = &mut self.endpoints[position];
        endpoint.on_answer(self.now);
        endpoint.rejections[request.class] = ClassRejections::default();
        self.idle_risk.learn(request.idle, false, self.now);
        self.on_breaker_success(position);
    }

    /// Learns which part of the requests the warm endpoints of the own zone serve, while that is used.
    fn learn_home_share(&mut self, position: usize) {
        if self.zone_routing.avoids_own_zone() {
            return;
        }
        let endpoint = &self.endpoints[position];
        let is_home = endpoint.zone == usize::from(self.settings.zone.0);
        let is_warm = endpoint.warm_up.warm_at(&self.settings) <= self.now;
        self.slow_start.learn_own_zone_share(self.now, is_home && is_warm);
    }

    fn learn_latency(&mut self, request: &PendingRequest, position: usize, end: &AttemptEnd) {
        let took = end.elapsed as f64;
        let latency = &self.traffic.classes[request.class];
        self.endpoints[position].learn_slowness(latency, end.elapsed);
        self.traffic.learn_latency(request.class, took);
        if end.outcome == AttemptOutcome::Success {
            let mean = self.traffic.classes[request.class].mean;
            self.slow_start.on_answered(self.now, request.class, mean, request.work);
        }
        if request.reported_in_flight > 0.0 {
            self.traffic.per_in_flight.learn(took / request.reported_in_flight, OUTCOME_GAIN);
        }
    }

    /// An attempt without an answer tells of its endpoint, or of its connection where idle ones fail.
    pub(super) fn on_failure(
        &mut self,
        position: usize,
        idle: IdleTimeBucket,
        sent: Time,
        kind: FailureKind,
    ) {
        self.idle_risk.learn(idle, true, self.now);
        if idle.was_idle() {
            self.endpoints[position].close_idle(&mut self.actions); // the next failure is not for this reason
        }
        if !self.idle_risk.explains_failure(idle, self.now) {
            self.on_breaker_failure(position, sent, kind);
        }
    }

    pub(super) fn on_breaker_failure(&mut self, position: usize, sent: Time, kind: FailureKind) {
        let failing = self.traffic.learn_failure();
        self.endpoints.zone_pool(position).learn_failure_ratio(true, self.now);
        let endpoint = &mut self.endpoints[position];
        if !endpoint.breaker.on_failure(self.now, sent, failing, kind) {
            return;
        }
        let text = format!(
            "circuit breaker of endpoint {} opened, {} times lately",
            endpoint.id.0, endpoint.breaker.recent_openings
        );
        self.endpoints.set_tripped(position, true);
        self.log(Topic::CircuitBreaker, text);
    }

    fn on_breaker_success(&mut self, position: usize) {
        self.traffic.learn_success();
        self.endpoints.zone_pool(position).learn_failure_ratio(false, self.now);
        self.endpoints[position].breaker.on_success();
        self.endpoints.set_tripped(position, false);
    }
}
