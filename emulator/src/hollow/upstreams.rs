//! Attempts as the upstreams see them: admission, queueing, processing and the requests to their callees.

use super::{
    AttemptStage, Event, Fleet, OVERLOAD_WINDOW_BUCKETS, ProcessState, RequestSource, ValidWhile,
    balancer_service_time,
};
use crate::engine::{Key, Time, millis, seconds};
use balancer::decision::{AttemptOutcome, EndpointState, Event as ModuleEvent};
use rand::Rng;
use rand_distr::Distribution;

impl Fleet<'_> {
    pub(super) fn on_attempt_received(&mut self, key: Key) {
        let now = self.queue.now();
        let Some(attempt) = self.attempts.get(key) else { return };
        if !attempt.awaited {
            self.attempts.remove(key);
            return;
        }
        let (upstream, opens_connection, connection_stale, sent_at) =
            (attempt.upstream, attempt.opens_connection, attempt.connection_stale, attempt.sent_at);
        let reachable = self.upstream_delay(attempt).is_some();
        let process_state = self.upstream_states[upstream].process_state;
        if !reachable || process_state == ProcessState::Silent {
            let Some(attempt) = self.attempts.get_mut(key) else { return };
            attempt.stage = AttemptStage::Lost;
            if opens_connection {
                (attempt.stage, attempt.outcome) = (AttemptStage::Responding, AttemptOutcome::ConnectFailed);
                self.queue
                    .push(sent_at + millis(self.config.connect_timeout_ms), Event::ResponseReceived(key));
            }
            return;
        }
        if process_state == ProcessState::Down {
            return self.finish_attempt(key, AttemptOutcome::ConnectFailed);
        }
        if connection_stale {
            return self.finish_attempt(key, AttemptOutcome::Reset);
        }
        if self.record_cold_attempt(upstream) {
            self.counts.cold_crashes += 1;
            let incarnation = self.upstream_states[upstream].incarnation;
            self.stop_upstream(upstream, ProcessState::Down);
            self.schedule_endpoint_update(
                upstream,
                EndpointState::Removed,
                false,
                ValidWhile::Incarnation(incarnation + 1),
            );
            return self.finish_attempt(key, AttemptOutcome::ConnectFailed);
        }
        let concurrency = self.topology.service_of(upstream).concurrency;
        let state = &mut self.upstream_states[upstream];
        if state.processing < concurrency {
            self.start_processing(key);
        } else if state.queue.len() < self.config.queue_limit {
            state.queue.push_back(key);
            if let Some(attempt) = self.attempts.get_mut(key) {
                attempt.stage = AttemptStage::Queued;
            }
        } else {
            self.finish_attempt(key, AttemptOutcome::Rejected);
        }
        debug_assert!(now >= sent_at);
    }

    /// The fraction of its capacity that an upstream has reached; 1 once it is warm.
    fn capacity_fraction(&self, upstream: usize) -> f64 {
        let Some(started) = self.upstream_states[upstream].started else { return 1.0 };
        let warm_up_progress = (self.queue.now() - started) as f64 / (self.config.ramp_s * 1e9).max(1.0);
        (self.config.start_capacity + (1.0 - self.config.start_capacity) * warm_up_progress).min(1.0)
    }

    /// Counts an attempt to a cold upstream and returns whether the upstream crashes: whether the attempts in the
    /// window exceed the allowed multiple of its capacity, plus a margin for the variance of random arrivals.
    fn record_cold_attempt(&mut self, upstream: usize) -> bool {
        let capacity_fraction = self.capacity_fraction(upstream);
        if capacity_fraction >= 1.0 {
            return false;
        }
        self.counts.cold_attempts += 1;
        let service = self.topology.service_of(upstream);
        let capacity = f64::from(service.concurrency) / service.mean_service_time * 1e9 * capacity_fraction;
        let bucket = self.queue.now() / seconds(self.config.fall_s / OVERLOAD_WINDOW_BUCKETS as f64).max(1);
        let state = &mut self.upstream_states[upstream];
        for skipped in state.last_bucket + 1..=bucket.min(state.last_bucket + OVERLOAD_WINDOW_BUCKETS as Time)
        {
            state.recent_attempts[(skipped % OVERLOAD_WINDOW_BUCKETS as Time) as usize] = 0;
        }
        if bucket > state.last_bucket + OVERLOAD_WINDOW_BUCKETS as Time {
            state.recent_attempts = [0; OVERLOAD_WINDOW_BUCKETS];
        }
        state.last_bucket = bucket;
        state.recent_attempts[(bucket % OVERLOAD_WINDOW_BUCKETS as Time) as usize] += 1;
        let limit = self.config.tip_multiple * capacity * self.config.fall_s;
        f64::from(state.recent_attempts.iter().sum::<u32>()) > limit + 2.0 * limit.sqrt() + 2.0
    }

    /// Starts to process an attempt and draws its service time.
    fn start_processing(&mut self, key: Key) {
        let Some(attempt) = self.attempts.get_mut(key) else { return };
        attempt.stage = AttemptStage::Processing;
        let upstream = attempt.upstream;
        self.upstream_states[upstream].processing += 1;
        let mean = self.topology.service_of(upstream).mean_service_time;
        let service_time =
            mean * self.service_time_factor.sample(&mut self.rng) / self.capacity_fraction(upstream);
        self.queue.push(self.queue.now() + service_time as Time, Event::ProcessingDone(key));
    }

    pub(super) fn on_processing_done(&mut self, key: Key) {
        let Some(attempt) =
            self.attempts.get(key).filter(|attempt| attempt.stage == AttemptStage::Processing)
        else {
            return;
        };
        let (upstream, awaited) = (attempt.upstream, attempt.awaited);
        self.upstream_states[upstream].processing -= 1;
        self.start_next_queued(upstream);
        if !awaited {
            self.attempts.remove(key);
            return;
        }
        let tier = self.topology.service_of(upstream).tier as usize;
        let fault = &self.config.tier_fault;
        let failing = self.tier_failing && (fault.all_tiers || tier == self.config.watched_tier());
        if failing && self.rng.random_bool(fault.share) {
            self.finish_attempt(key, AttemptOutcome::Error);
        } else {
            self.continue_attempt(key);
        }
    }

    /// Starts to process the next attempt in an upstream's queue. Attempts that reached their time limit are rejected.
    fn start_next_queued(&mut self, upstream: usize) {
        let now = self.queue.now();
        while let Some(key) = self.upstream_states[upstream].queue.pop_front() {
            match self.attempts.get(key).map(|attempt| (attempt.awaited, now < attempt.until)) {
                Some((true, true)) => return self.start_processing(key),
                Some((true, false)) => self.finish_attempt(key, AttemptOutcome::Rejected),
                Some((false, _)) => drop(self.attempts.remove(key)),
                None => {}
            }
        }
    }

    /// Sends the upstream's next request for an attempt, or finishes the attempt if there is none.
    pub(super) fn continue_attempt(&mut self, key: Key) {
        let Some(attempt) = self.attempts.get_mut(key) else { return };
        let (class, until, measured, upstream) =
            (attempt.class, attempt.until, attempt.measured, attempt.upstream);
        let processing_upstream = &self.topology.upstreams[upstream];
        let callees = &self.topology.services[processing_upstream.service].callees;
        while let Some(callee) = callees.get(attempt.next_callee) {
            let instance = processing_upstream.instances.start + attempt.next_callee;
            attempt.next_callee += 1;
            if callee.probability >= 1.0 || self.rng.random_bool(callee.probability) {
                self.start_request(instance, RequestSource::Attempt(key), class, until, measured);
                return;
            }
        }
        self.finish_attempt(key, AttemptOutcome::Success);
    }

    /// Sends the upstream's response to an attempt.
    pub(super) fn finish_attempt(&mut self, key: Key, outcome: AttemptOutcome) {
        let Some(attempt) = self.attempts.get(key) else { return };
        let delay = self.upstream_delay(attempt).filter(|_| attempt.awaited);
        let awaited = attempt.awaited;
        match delay {
            Some(delay) => {
                let at = self.queue.now() + delay + balancer_service_time(self.config);
                self.queue.push(at, Event::ResponseReceived(key));
                if let Some(attempt) = self.attempts.get_mut(key) {
                    (attempt.stage, attempt.outcome) = (AttemptStage::Responding, outcome);
                }
            }
            None if awaited => {
                if let Some(attempt) = self.attempts.get_mut(key) {
                    attempt.stage = AttemptStage::Lost;
                    attempt.opens_connection = false; // may have been processed, so it is not a failed connect
                }
            }
            None => drop(self.attempts.remove(key)),
        }
    }

    pub(super) fn on_attempt_cancelled(&mut self, key: Key) {
        let Some(attempt) = self.attempts.get(key) else { return };
        match attempt.stage {
            AttemptStage::Queued => {
                let upstream = attempt.upstream;
                self.upstream_states[upstream].queue.retain(|&queued| queued != key);
                self.attempts.remove(key);
            }
            AttemptStage::WaitingForCallee(request) => {
                self.attempts.remove(key);
                self.on_client_disconnected(request);
            }
            AttemptStage::Lost => drop(self.attempts.remove(key)),
            // Noticed when the stage ends, as the attempt is no longer awaited.
            AttemptStage::InTransit | AttemptStage::Processing | AttemptStage::Responding => {}
        }
    }

    fn on_client_disconnected(&mut self, key: Key) {
        let Some(request) = self.requests.get_mut(key).filter(|request| request.awaiting_response) else {
            return;
        };
        request.awaiting_response = false;
        let (instance, id) = (request.instance, request.id);
        self.notify_instance(instance, ModuleEvent::ClientDisconnected(id));
        self.remove_if_done(key);
    }
}
