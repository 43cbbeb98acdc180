//! Requests: from the client's task to the final answer.

use super::{AttemptInFlight, DEADLINE_GUARD_DELAY, Dispatcher, PendingRequest};
use crate::proxy::messages::{ClientRequest, FinalResponse};
use balancer::decision::{Event, IncomingRequest, RequestId};
use tokio::sync::{oneshot, watch};
use tokio::time::Instant;

impl Dispatcher {
    pub(super) fn on_request(&mut self, call: ClientRequest) {
        let (id, deadline, now) = (call.id, self.clock.time(call.deadline), self.clock.now());
        let time_left = deadline.saturating_sub(now);
        let streamed = call.request.body().remainder.is_some();
        let demand = IncomingRequest {
            class: call.class,
            tenant: call.tenant,
            time_left,
            work: call.work,
            streaming: streamed,
        };
        let client_deadline = deadline;
        let deadline = Some(deadline).filter(|_| !streamed);
        self.requests.insert(
            id,
            PendingRequest {
                request: call.request,
                client: call.client,
                class: call.class,
                deadline,
                client_deadline,
                whole: watch::Sender::new(None),
                response_sender: Some(call.response_sender),
                attempts: 0,
                attempts_in_flight: Vec::new(),
            },
        );
        self.deadline_guards
            .extend(deadline.map(|deadline| (deadline.saturating_add(DEADLINE_GUARD_DELAY), id)));
        self.tell(Event::Request(id, demand));
    }

    /// The time of a request runs from its last byte.
    pub(super) fn on_request_received(&mut self, id: RequestId, deadline: Instant) {
        let deadline = self.clock.time(deadline);
        let Some(open) = self.requests.get_mut(&id).filter(|open| open.response_sender.is_some()) else {
            return;
        };
        open.deadline = Some(deadline);
        open.whole.send_replace(Some(Instant::now()));
        self.deadline_guards.insert((deadline.saturating_add(DEADLINE_GUARD_DELAY), id));
    }

    pub(super) fn on_client_disconnected(&mut self, id: RequestId) {
        if self.take_answer(id).is_some() {
            self.tell(Event::ClientDisconnected(id));
            self.forget_if_done(id);
        }
    }

    /// Where the answer to a request goes, if it is owed one still. Nothing else is, then: an attempt that waits
    /// for its connection is not sent any more, also where those that are out must not be cancelled.
    pub(super) fn take_answer(&mut self, id: RequestId) -> Option<(oneshot::Sender<FinalResponse>, usize)> {
        let open = self.requests.get_mut(&id)?;
        let answer = open.response_sender.take()?;
        open.attempts_in_flight.iter_mut().for_each(AttemptInFlight::withdraw);
        if let Some(deadline) = open.deadline {
            self.deadline_guards.remove(&(deadline.saturating_add(DEADLINE_GUARD_DELAY), id));
        }
        Some((answer, open.class))
    }

    pub(super) fn answer(&mut self, id: RequestId, answer: FinalResponse) {
        if let Some((sender, class)) = self.take_answer(id) {
            let end = answer.outcome();
            // A caller that has just gone needs none.
            if sender.send(answer).is_ok() {
                self.counters.count(class, end);
            }
        }
        self.forget_if_done(id);
    }

    pub(super) fn forget_if_done(&mut self, id: RequestId) {
        if self
            .requests
            .get(&id)
            .is_some_and(|open| open.response_sender.is_none() && open.attempts_in_flight.is_empty())
        {
            self.requests.remove(&id);
        }
    }
}
