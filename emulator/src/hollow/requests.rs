//! Requests: the arrivals from clients, and each request at a balancer until its response.

use super::outcome::RequestCount;
use super::{AttemptStage, Event, Fleet, Request, RequestSource, Response, START};
use crate::engine::{Key, SECOND, Time};
use crate::load::Arrival;
use balancer::decision::{AttemptOutcome, Event as ModuleEvent, IncomingRequest, RequestId};
use rand::Rng;

impl Fleet<'_> {
    /// Sends the next client request to a front balancer in rotation. It is lost if there is none, or if the
    /// balancer is down.
    pub(super) fn on_arrival(&mut self) {
        let Arrival { at, class, entry } = self.next_arrival;
        self.next_arrival = self.load.next_arrival();
        if self.next_arrival.at < self.arrivals_end {
            self.queue.push(self.next_arrival.at, Event::Arrival);
        }
        let measured = at >= self.measurement_start;
        self.count_request(at, measured, |count| &mut count.arrived);
        let first_front = self.rng.random_range(0..self.front_in_rotation.len());
        let fronts = (0..self.front_in_rotation.len())
            .map(|offset| (first_front + offset) % self.front_in_rotation.len());
        let Some(front) = fronts.into_iter().find(|&front| self.front_in_rotation[front]) else {
            return self.count_request(at, measured, |count| &mut count.lost);
        };
        if !self.front_up[front] {
            return self.count_request(at, measured, |count| &mut count.lost);
        }
        self.measured_in_flight += u64::from(measured);
        let instance = self.topology.fronts[front].instances.start + entry;
        let deadline = at + self.classes[class].deadline;
        self.start_request(instance, RequestSource::Client, class, deadline, measured);
    }

    /// Counts a client request for its second of arrival, and for the whole run if it is measured.
    pub(super) fn count_request(
        &mut self,
        arrived_at: Time,
        measured: bool,
        field: impl Fn(&mut RequestCount) -> &mut u64,
    ) {
        let second_index = ((arrived_at - START) / SECOND) as usize;
        if let Some(count) = self.counts.seconds.get_mut(second_index) {
            *field(count) += 1;
        }
        if measured {
            *field(&mut self.counts.client_requests) += 1;
        }
    }

    // ---- Requests at a balancer ----

    /// Hands a new request to a module instance.
    pub(super) fn start_request(
        &mut self,
        instance: usize,
        source: RequestSource,
        class: usize,
        deadline: Time,
        measured: bool,
    ) -> Key {
        let now = self.queue.now();
        let instance_state = &mut self.instance_states[instance];
        let id = RequestId(instance_state.next_id);
        instance_state.next_id = instance_state.next_id.wrapping_add(1);
        let request = Request {
            instance,
            id,
            source,
            class,
            arrived_at: now,
            deadline,
            awaiting_response: true,
            attempt_count: 0,
            active_attempt: None,
            measured,
        };
        let key = self.requests.insert(request);
        instance_state.requests.insert(id, key);
        self.counts.max_in_flight = self.counts.max_in_flight.max(instance_state.requests.len());
        let time_left = deadline.saturating_sub(now);
        let incoming = IncomingRequest { class, tenant: 0, time_left, work: None, body_incomplete: false };
        if let RequestSource::Attempt(source) = source
            && let Some(attempt) = self.attempts.get_mut(source)
        {
            attempt.stage = AttemptStage::WaitingForCallee(key);
        }
        self.notify_instance(instance, ModuleEvent::Request(id, incoming));
        key
    }

    /// Gives a request its final response, unless it already has one or its client disconnected.
    pub(super) fn respond(&mut self, key: Key, response: Response) {
        let Some(request) = self.requests.get_mut(key) else { return };
        if !std::mem::replace(&mut request.awaiting_response, false) {
            return;
        }
        let (source, arrived_at, measured) = (request.source, request.arrived_at, request.measured);
        self.counts.refused_requests += u64::from(response == Response::Refused);
        self.remove_if_done(key);
        match source {
            RequestSource::Client => {
                self.measured_in_flight -= u64::from(measured);
                self.count_request(arrived_at, measured, |count| match response {
                    Response::Served => &mut count.served,
                    Response::Refused => &mut count.refused,
                    Response::Failed => &mut count.failed,
                });
                if measured && response == Response::Served {
                    self.latency.saturating_record(self.queue.now() - arrived_at);
                }
            }
            RequestSource::Attempt(attempt) => match response {
                Response::Served => self.continue_attempt(attempt),
                // An upstream responds with an error if any of its own requests fails.
                Response::Refused | Response::Failed => self.finish_attempt(attempt, AttemptOutcome::Error),
            },
        }
    }

    /// Removes a request that has its response and no active attempt.
    pub(super) fn remove_if_done(&mut self, key: Key) {
        if self
            .requests
            .get(key)
            .is_some_and(|request| !request.awaiting_response && request.active_attempt.is_none())
            && let Some(request) = self.requests.remove(key)
        {
            self.instance_states[request.instance].requests.remove(&request.id);
        }
    }
}
