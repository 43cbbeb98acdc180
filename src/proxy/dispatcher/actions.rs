//! What the decision module is told, and what it wants done.

use super::{Dispatcher, Timer};
use crate::proxy::messages::FinalResponse;
use balancer::decision::{Action, Event};
use std::time::Duration;

impl Dispatcher {
    /// Tells the module of an event, does what it says, and tells it of what came of that at once.
    pub(super) fn tell(&mut self, event: Event<'_>) {
        self.handle(event);
        while let Some((id, end)) = self.pending.pop_front() {
            self.handle(Event::AttemptEnded(id, end));
        }
    }

    pub(super) fn handle(&mut self, event: Event<'_>) {
        let mut actions = std::mem::take(&mut self.actions);
        self.balancer.handle(self.clock.now(), event, &mut actions);
        actions.drain(..).for_each(|action| self.act(action));
        self.actions = actions;
    }

    pub(super) fn act(&mut self, action: Action) {
        match action {
            Action::Send { id, endpoint, until, begin_by } => self.send(id, endpoint, until, begin_by),
            Action::Reject { id, retry_after } => {
                self.answer(id, FinalResponse::Rejected(Duration::from_nanos(retry_after)));
            }
            Action::Fail(id) => self.answer(id, FinalResponse::Failed),
            Action::Cancel { id, attempt } => {
                let out = self.requests.get_mut(&id).map(|open| &mut open.attempts_in_flight);
                let out = out.and_then(|out| out.iter_mut().find(|out| out.number == attempt));
                if let Some(out) = out {
                    out.cancel = None;
                }
            }
            Action::QueryLoad(endpoint) => self.query_load(endpoint),
            Action::CloseIdle(endpoint) => self.idle.close(endpoint),
            Action::SetTimer { after, token } => self.set_timer(after, Timer::Module(token)),
            Action::WatchEndpoints => {
                self.subscribe.send(()).ok(); // discovery ends only with the program
            }
            Action::Log(text) => crate::proxy::logging::log(format_args!("{text}")),
        }
    }
}
