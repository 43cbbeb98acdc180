//! Attempts as the balancers see them: sending, responses, time limits and outcomes.

use super::{
    Attempt, AttemptStage, Event, Fleet, IdleConnections, Response, balancer_service_time, network_delay,
};
use crate::engine::{Key, Time, seconds};
use crate::topology::Topology;
use balancer::decision::{AttemptEnd, AttemptOutcome, EndpointId, Event as ModuleEvent, RequestId};

impl Fleet<'_> {
    /// Sends an attempt, or reports it as not sent. `times` are its time limit and, if there is one, the time before
    /// which it must reach the network.
    pub(super) fn send_attempt(
        &mut self,
        instance: usize,
        id: RequestId,
        endpoint: EndpointId,
        times: (Time, Option<Time>),
    ) {
        let now = self.queue.now();
        let (until, begin_by) = times;
        let instance_state = &mut self.instance_states[instance];
        let Some(&key) = instance_state.requests.get(&id) else { return };
        let Some(request) = self.requests.get_mut(key) else { return };
        let (number, until) = (request.attempt_count, until.min(request.deadline));
        request.attempt_count += 1;
        let upstream = endpoint.0 as usize;
        let (zone, upstream_zone) =
            (self.topology.instances[instance].zone, self.topology.upstreams[upstream].zone);
        let delay = network_delay(self.config, zone, upstream_zone);
        let idle_connections = &mut instance_state.idle_connections[self.topology.index_in_service(upstream)];
        let opens_connection = idle_connections.count == 0
            || now.saturating_sub(idle_connections.last_used) >= seconds(self.config.conn_idle_s);
        let handshake = if opens_connection { 2 * delay } else { 0 };
        let starts_at = now + balancer_service_time(self.config) + handshake;
        if !request.awaiting_response
            || now >= until
            || begin_by.is_some_and(|end| starts_at >= end)
            || number >= self.config.max_attempts
        {
            let closed = !request.awaiting_response;
            let end = AttemptEnd {
                attempt: number,
                outcome: AttemptOutcome::NotSent,
                elapsed: 0,
                request_closed: closed,
                body_consumed: false,
                load: None,
            };
            return self.pending_attempt_ends.push_back((instance, id, end));
        }
        idle_connections.count = if opens_connection { 0 } else { idle_connections.count - 1 };
        let connection_stale =
            !opens_connection && idle_connections.incarnation != self.upstream_states[upstream].incarnation;
        let attempt = Attempt {
            request: key,
            number,
            upstream,
            class: request.class,
            sent_at: now,
            until,
            opens_connection,
            connection_stale,
            awaited: true,
            stage: AttemptStage::InTransit,
            outcome: AttemptOutcome::Success,
            next_callee: 0,
            measured: request.measured,
        };
        let tier = self.topology.service_of(upstream).tier as usize;
        let active_attempt = self.attempts.insert(attempt);
        request.active_attempt = Some(active_attempt);
        self.counts.tiers[tier].attempts += u64::from(request.measured);
        self.counts.retries += u64::from(request.measured && number > 0);
        self.counts.attempts_sent += 1;
        self.counts.attempts_in_interval +=
            u64::from(now >= self.measurement_start && now < self.arrivals_end);
        self.counts.connections_opened += u64::from(opens_connection);
        self.counts.cross_zone += u64::from(zone != upstream_zone);
        self.counts.cross_region += u64::from(Topology::regions_differ(self.config, zone, upstream_zone));
        self.queue.push(starts_at + delay, Event::AttemptReceived(active_attempt));
        self.queue.push(until, Event::AttemptTimedOut(active_attempt));
    }

    /// Network delay between a balancer and the upstream of its attempt; `None` while they are partitioned or if
    /// the request was removed.
    pub(super) fn upstream_delay(&self, attempt: &Attempt) -> Option<Time> {
        let zone = self.topology.instances[self.requests.get(attempt.request)?.instance].zone;
        let upstream_zone = self.topology.upstreams[attempt.upstream].zone;
        let partitioned =
            self.regions_partitioned && Topology::regions_differ(self.config, zone, upstream_zone);
        (!partitioned).then(|| network_delay(self.config, zone, upstream_zone))
    }

    pub(super) fn on_response_received(&mut self, key: Key) {
        let Some(attempt) = self.attempts.remove(key) else { return };
        if attempt.awaited {
            self.on_attempt_ended(&attempt, attempt.outcome);
        }
    }

    pub(super) fn on_attempt_timed_out(&mut self, key: Key) {
        let Some(attempt) = self.attempts.get(key).filter(|attempt| attempt.awaited) else { return };
        let lost = attempt.stage == AttemptStage::Lost;
        let outcome = if lost && attempt.opens_connection {
            AttemptOutcome::ConnectFailed
        } else {
            AttemptOutcome::Timeout
        };
        let timed_out = *attempt;
        self.abandon_attempt(key, false);
        self.on_attempt_ended(&timed_out, outcome);
    }

    /// Stops waiting for an attempt and closes its connection. The upstream sees that the connection was closed, unless
    /// its own machine has vanished, the balancer's has (`silent`), or the regions are partitioned.
    pub(super) fn abandon_attempt(&mut self, key: Key, silent: bool) {
        let Some(attempt) = self.attempts.get_mut(key) else { return };
        attempt.awaited = false;
        let lost = attempt.stage == AttemptStage::Lost;
        let delay = self.attempts.get(key).and_then(|attempt| self.upstream_delay(attempt));
        match delay.filter(|_| !silent) {
            _ if lost => drop(self.attempts.remove(key)),
            Some(delay) => self.queue.push(self.queue.now() + delay, Event::AttemptCancelled(key)),
            None => {}
        }
    }

    /// Records the outcome of an attempt and notifies the module instance that sent it.
    fn on_attempt_ended(&mut self, attempt: &Attempt, outcome: AttemptOutcome) {
        let now = self.queue.now();
        let tier = self.topology.service_of(attempt.upstream).tier as usize;
        if attempt.measured {
            let count = &mut self.counts.tiers[tier];
            *match outcome {
                AttemptOutcome::Success | AttemptOutcome::InvalidRequest | AttemptOutcome::Undeliverable => {
                    &mut count.ok
                }
                AttemptOutcome::Error => &mut count.errors,
                AttemptOutcome::Rejected => &mut count.rejected,
                AttemptOutcome::Timeout => &mut count.timeouts,
                AttemptOutcome::ConnectFailed => &mut count.connect_failures,
                AttemptOutcome::Reset => &mut count.resets,
                AttemptOutcome::Cancelled | AttemptOutcome::NotSent => &mut count.cancelled,
            } += 1;
        }
        let key = attempt.request;
        let Some(request) = self.requests.get_mut(key) else { return };
        request.active_attempt = None;
        let (instance, id, awaiting_response) = (request.instance, request.id, request.awaiting_response);
        if matches!(outcome, AttemptOutcome::Success | AttemptOutcome::Error | AttemptOutcome::Rejected) {
            let idle_connections = &mut self.instance_states[instance].idle_connections
                [self.topology.index_in_service(attempt.upstream)];
            let incarnation = self.upstream_states[attempt.upstream].incarnation;
            let count =
                if idle_connections.incarnation == incarnation { idle_connections.count + 1 } else { 1 };
            *idle_connections = IdleConnections { count, last_used: now, incarnation };
        }
        let served = outcome == AttemptOutcome::Success && awaiting_response;
        let end = AttemptEnd {
            attempt: attempt.number,
            outcome,
            elapsed: now - attempt.sent_at,
            request_closed: served || !awaiting_response,
            body_consumed: false,
            load: None,
        };
        self.notify_instance(instance, ModuleEvent::AttemptEnded(id, end));
        if served {
            self.respond(key, Response::Served);
        } else {
            self.remove_if_done(key);
        }
    }
}
