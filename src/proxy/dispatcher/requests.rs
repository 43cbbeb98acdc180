//! Client requests, from their arrival at the dispatcher to their final response.

use super::{AttemptInFlight, DEADLINE_GUARD_DELAY, Dispatcher, PendingRequest};
use crate::proxy::messages::{ClientRequest, FinalResponse, ReceivedRequest};
use crate::proxy::metrics::RequestOutcome;
use balancer::decision::{Event, IncomingRequest, RequestId};
use tokio::sync::{oneshot, watch};
use tokio::time::Instant;

impl Dispatcher {
    /// Registers a client's request and passes it to the decision module.
    pub(super) fn on_request(&mut self, client_request: ClientRequest) {
        let (id, deadline, now) =
            (client_request.id, self.clock.time(client_request.deadline), self.clock.now());
        let time_left = deadline.saturating_sub(now);
        let body_incomplete = client_request.request.body().remainder.is_some();
        let incoming = IncomingRequest {
            class: client_request.class,
            tenant: client_request.tenant,
            time_left,
            work: client_request.work,
            body_incomplete,
        };
        // The time of a streamed request runs from its last byte, so that its deadline is not known yet. Until then,
        // the client is expected to wait as long as if the buffered part were the whole body.
        let client_deadline = deadline;
        let request_deadline = Some(deadline).filter(|_| !body_incomplete);
        self.requests.insert(
            id,
            PendingRequest {
                request_id_guard: client_request.request_id_guard,
                request: client_request.request,
                client: client_request.client,
                class: client_request.class,
                request_deadline,
                client_deadline,
                received_at: watch::Sender::new((!body_incomplete).then(Instant::now)),
                response_sender: Some(client_request.response_sender),
                attempts: 0,
                attempts_in_flight: Vec::new(),
            },
        );
        self.deadline_guards
            .extend(request_deadline.map(|deadline| (deadline.saturating_add(DEADLINE_GUARD_DELAY), id)));
        self.handle_event(Event::Request(id, incoming));
    }

    /// Sets the deadline of a streamed request, whose time runs from its last byte.
    pub(super) fn on_request_received(&mut self, received: &ReceivedRequest) {
        let id = received.id;
        let request_deadline = self.clock.time(received.deadline);
        let Some(pending_request) =
            self.requests.get_mut(&id).filter(|pending_request| pending_request.response_sender.is_some())
        else {
            return;
        };
        pending_request.request_deadline = Some(request_deadline);
        pending_request.received_at.send_replace(Some(received.received_at));
        self.deadline_guards.insert((request_deadline.saturating_add(DEADLINE_GUARD_DELAY), id));
    }

    /// Ends a request whose client has disconnected, unless it has its final response.
    pub(super) fn on_client_disconnected(&mut self, id: RequestId) {
        if self.take_response_sender(id).is_some() {
            if let Some(pending_request) = self.requests.get(&id) {
                let (id, attempts) = (pending_request.request_id_guard.text(), pending_request.attempts);
                tracing::info!(id, attempts, "request ended, as its client has disconnected");
            }
            self.handle_event(Event::ClientDisconnected(id));
            self.remove_if_finished(id);
        }
    }

    /// Takes the sender for the final response and the class of a request; `None` if the response was already sent or
    /// the client has disconnected.
    ///
    /// Removes the request's deadline guard, and cancels the attempts of which no byte has been written. These were
    /// never sent, so they are cancelled even if the settings do not allow attempts in flight to be cancelled.
    pub(super) fn take_response_sender(
        &mut self,
        id: RequestId,
    ) -> Option<(oneshot::Sender<FinalResponse>, usize)> {
        let pending_request = self.requests.get_mut(&id)?;
        let sender = pending_request.response_sender.take()?;
        pending_request.attempts_in_flight.iter_mut().for_each(AttemptInFlight::cancel_if_unwritten);
        if let Some(request_deadline) = pending_request.request_deadline {
            self.deadline_guards.remove(&(request_deadline.saturating_add(DEADLINE_GUARD_DELAY), id));
        }
        Some((sender, pending_request.class))
    }

    /// Sends the final response to a request and counts its outcome.
    pub(super) fn respond(&mut self, id: RequestId, response: FinalResponse) {
        if let Some((sender, class)) = self.take_response_sender(id) {
            let outcome = response.outcome();
            if !matches!(response, FinalResponse::Served(_)) {
                self.log_own_response(id, outcome);
            }
            // Fails if the client has just disconnected; the request is not counted then.
            if sender.send(response).is_ok() {
                self.counters.count(class, outcome);
            }
        }
        self.remove_if_finished(id);
    }

    /// Logs that a request gets a response of the balancer itself.
    fn log_own_response(&self, id: RequestId, outcome: RequestOutcome) {
        if let Some(pending_request) = self.requests.get(&id) {
            let (id, attempts) = (pending_request.request_id_guard.text(), pending_request.attempts);
            tracing::info!(id, attempts, ?outcome, "request ended without a response of an upstream");
        }
    }

    /// Removes a request once nobody waits for its response any more and no attempt is in flight.
    pub(super) fn remove_if_finished(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|pending_request| {
            pending_request.response_sender.is_none() && pending_request.attempts_in_flight.is_empty()
        }) {
            self.requests.remove(&id);
        }
    }
}
