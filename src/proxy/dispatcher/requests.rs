//! Requests: from the client's task to the final answer.

use super::{Driver, NET_AFTER, Open, Out};
use crate::proxy::messages::{ClientRequest, FinalResponse};
use balancer::decision::{Event, IncomingRequest, RequestId};
use tokio::sync::{oneshot, watch};
use tokio::time::Instant;

impl Driver {
    pub(super) fn on_called(&mut self, call: ClientRequest) {
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
            Open {
                request: call.request,
                caller: call.client,
                class: call.class,
                deadline,
                client_deadline,
                whole: watch::Sender::new(None),
                answer: Some(call.response_sender),
                attempts: 0,
                out: Vec::new(),
            },
        );
        self.nets.extend(deadline.map(|deadline| (deadline.saturating_add(NET_AFTER), id)));
        self.tell(Event::Request(id, demand));
    }

    /// The time of a request runs from its last byte.
    pub(super) fn on_whole(&mut self, id: RequestId, deadline: Instant) {
        let deadline = self.clock.time(deadline);
        let Some(open) = self.requests.get_mut(&id).filter(|open| open.answer.is_some()) else { return };
        open.deadline = Some(deadline);
        open.whole.send_replace(Some(Instant::now()));
        self.nets.insert((deadline.saturating_add(NET_AFTER), id));
    }

    pub(super) fn on_caller_gone(&mut self, id: RequestId) {
        if self.take_answer(id).is_some() {
            self.tell(Event::ClientDisconnected(id));
            self.forget_if_done(id);
        }
    }

    /// Where the answer to a request goes, if it is owed one still. Nothing else is, then: an attempt that waits
    /// for its connection is not sent any more, also where those that are out must not be cancelled.
    pub(super) fn take_answer(&mut self, id: RequestId) -> Option<(oneshot::Sender<FinalResponse>, usize)> {
        let open = self.requests.get_mut(&id)?;
        let answer = open.answer.take()?;
        open.out.iter_mut().for_each(Out::take_back);
        if let Some(deadline) = open.deadline {
            self.nets.remove(&(deadline.saturating_add(NET_AFTER), id));
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
        if self.requests.get(&id).is_some_and(|open| open.answer.is_none() && open.out.is_empty()) {
            self.requests.remove(&id);
        }
    }
}
