//! Updates what the balancer has learned about an endpoint, a zone, a request class and a connection at the end of an
//! attempt.

use super::LoadBalancer;
use super::circuit_breaker::FailureKind;
use super::event::{AttemptEnd, AttemptOutcome, Duration, Time};
use super::event_log::Topic;
use super::idle_connections::IdleTimeBucket;
use super::rejections::ClassRejections;
use super::request_table::{Lateness, PendingRequest};
use super::statistics::ATTEMPT_GAIN;

/// A timeout counts as a failure of the endpoint only if the attempt ran for at least this multiple of the class's
/// baseline latency: a time limit that is too short even for a healthy endpoint is set by the client.
const MIN_TIMEOUT_MULTIPLE: f64 = 2.0;

impl LoadBalancer {
    /// Updates all statistics at the end of an attempt.
    pub(super) fn learn_from_attempt(&mut self, request: &PendingRequest, position: usize, end: &AttemptEnd) {
        // If the body was incomplete and the response started early, the client determined how long the attempt took.
        let is_timed = !(request.body_was_incomplete && request.response_started);
        if is_timed {
            self.learn_zone_latency_ratio(request, position, end);
        }
        self.retries.on_attempt_end(request, end.outcome, self.now, &self.settings);
        self.learn_outcome(request, position, end);
        if is_timed && matches!(end.outcome, AttemptOutcome::Success | AttemptOutcome::Timeout) {
            self.learn_latency(request, position, end);
        }
    }

    /// Learns the latency ratio (latency divided by objective) of the endpoint's zone. A rejection counts as
    /// an attempt that took at least as long as the latency objective.
    fn learn_zone_latency_ratio(&mut self, request: &PendingRequest, position: usize, end: &AttemptEnd) {
        let min_latency_ratio = match end.outcome {
            AttemptOutcome::Success | AttemptOutcome::Cancelled | AttemptOutcome::Timeout => 0.0,
            AttemptOutcome::Rejected => 1.0,
            _ => return,
        };
        let objective = self.settings.classes[request.class].latency_objective.max(1) as f64;
        let latency_ratio = (end.elapsed as f64 / objective).max(min_latency_ratio);
        self.endpoints.zone_pool(position).learn_latency_ratio(latency_ratio, self.now);
    }

    /// Updates the circuit breaker, the rejections and the connection limit of the endpoint by the outcome.
    fn learn_outcome(&mut self, request: &PendingRequest, position: usize, end: &AttemptEnd) {
        let now = self.now;
        let class = request.class;
        let sent_at = now.saturating_sub(end.elapsed);
        match end.outcome {
            AttemptOutcome::Success => self.on_success(request, position),
            AttemptOutcome::Cancelled
            | AttemptOutcome::NotSent
            | AttemptOutcome::InvalidRequest
            | AttemptOutcome::Undeliverable => {}
            AttemptOutcome::Rejected => {
                let request_duration = self.traffic.overall.baseline as Duration;
                self.endpoints[position].rejections[class].on_rejection(now, request_duration);
            }
            AttemptOutcome::Error => {
                self.on_breaker_failure(position, sent_at, FailureKind::Ended);
                self.endpoints[position].rejections[class].on_error(now);
            }
            AttemptOutcome::ConnectFailed if self.endpoints[position].is_alive(now) => {
                self.endpoints[position].learn_connection_limit(now);
            }
            AttemptOutcome::ConnectFailed => self.on_breaker_failure(position, sent_at, FailureKind::Ended),
            AttemptOutcome::Timeout if self.is_timeout_ignored(request, end.elapsed) => {}
            AttemptOutcome::Timeout | AttemptOutcome::Reset => {
                self.on_missing_response(
                    position,
                    request.idle_bucket,
                    sent_at,
                    FailureKind::of(end.outcome),
                );
            }
        }
    }

    /// Whether a timeout is not a failure of its endpoint: the attempt has already been counted as overdue, its
    /// lateness is not monitored, or its time limit was too short. A time limit is judged by the baseline latency,
    /// because the timeouts of a stuck endpoint raise the mean: compared with the mean, they would be ignored.
    fn is_timeout_ignored(&self, request: &PendingRequest, elapsed: Duration) -> bool {
        let baseline = self.traffic.class_latencies[request.class].baseline;
        request.lateness == Lateness::Overdue || (elapsed as f64) < MIN_TIMEOUT_MULTIPLE * baseline
    }

    /// Updates the endpoint and its connection after a success.
    fn on_success(&mut self, request: &PendingRequest, position: usize) {
        self.traffic.count_successful_response(self.now);
        self.learn_own_zone_share(position);
        let endpoint = &mut self.endpoints[position];
        endpoint.on_response(self.now);
        endpoint.rejections[request.class] = ClassRejections::default();
        self.idle_risk.learn(request.idle_bucket, false, self.now);
        self.on_breaker_success(position);
    }

    /// Learns which fraction of the requests warm endpoints of the own zone serve, while requests stay in that zone.
    fn learn_own_zone_share(&mut self, position: usize) {
        if self.zone_routing.avoids_own_zone() {
            return;
        }
        let endpoint = &self.endpoints[position];
        let is_own_zone = endpoint.zone == usize::from(self.settings.zone.0);
        let is_warm = endpoint.warm_up.warm_at(&self.settings) <= self.now;
        self.slow_start.learn_own_zone_share(self.now, is_own_zone && is_warm);
    }

    /// Learns the latency of an attempt: for its endpoint, for its class, and per request in flight at the endpoint.
    fn learn_latency(&mut self, request: &PendingRequest, position: usize, end: &AttemptEnd) {
        let latency_ns = end.elapsed as f64;
        let latency = &self.traffic.class_latencies[request.class];
        self.endpoints[position].learn_slowness(latency, end.elapsed);
        self.traffic.learn_latency(request.class, latency_ns);
        if end.outcome == AttemptOutcome::Success {
            let mean = self.traffic.class_latencies[request.class].mean;
            self.slow_start.on_response(self.now, request.class, mean, request.work);
        }
        if request.reported_in_flight > 0.0 {
            self.traffic.latency_per_in_flight.learn(latency_ns / request.reported_in_flight, ATTEMPT_GAIN);
        }
    }

    /// Handles an attempt that got no response. The failure is attributed to the connection if idle connections fail
    /// often, else to the endpoint.
    pub(super) fn on_missing_response(
        &mut self,
        position: usize,
        idle_bucket: IdleTimeBucket,
        sent_at: Time,
        kind: FailureKind,
    ) {
        self.idle_risk.learn(idle_bucket, true, self.now);
        if idle_bucket.was_idle() {
            self.endpoints[position].close_idle(&mut self.actions); // else the next attempt may fail the same way
        }
        if !self.idle_risk.explains_failure(idle_bucket, self.now) {
            self.on_breaker_failure(position, sent_at, kind);
        }
    }

    /// Counts a failure of an endpoint, and logs if that opens its circuit breaker.
    pub(super) fn on_breaker_failure(&mut self, position: usize, sent_at: Time, kind: FailureKind) {
        let failure_ratio = self.traffic.learn_failure();
        self.endpoints.zone_pool(position).learn_failure_ratio(true, self.now);
        let endpoint = &mut self.endpoints[position];
        if !endpoint.breaker.on_failure(self.now, sent_at, failure_ratio, kind) {
            return;
        }
        let text = format!(
            "circuit breaker of endpoint {} opened, {} times since it last recovered",
            endpoint.id.0, endpoint.breaker.recent_openings
        );
        self.endpoints.set_tripped(position, true);
        self.log(Topic::CircuitBreaker, text);
    }

    /// Counts a success of an endpoint, which closes its circuit breaker.
    fn on_breaker_success(&mut self, position: usize) {
        self.traffic.learn_success();
        self.endpoints.zone_pool(position).learn_failure_ratio(false, self.now);
        self.endpoints[position].breaker.on_success();
        self.endpoints.set_tripped(position, false);
    }
}
