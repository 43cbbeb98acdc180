//! Passes events to the decision module and carries out its actions.

use super::{Dispatcher, Timer};
use crate::proxy::messages::FinalResponse;
use balancer::decision::{Action, Event};
use std::time::Duration;

impl Dispatcher {
    /// Passes an event to the decision module and carries out its actions. Attempts that cannot be sent end at once:
    /// these ends are then passed to the decision module in the same way.
    pub(super) fn handle_event(&mut self, event: Event<'_>) {
        self.apply_event(event);
        while let Some((id, end)) = self.queued_attempt_ends.pop_front() {
            self.apply_event(Event::AttemptEnded(id, end));
        }
    }

    /// Passes a single event to the decision module and carries out its actions.
    pub(super) fn apply_event(&mut self, event: Event<'_>) {
        let mut actions = std::mem::take(&mut self.actions);
        self.balancer.handle(self.clock.now(), event, &mut actions);
        actions.drain(..).for_each(|action| self.perform_action(action));
        self.actions = actions;
    }

    /// Carries out an action of the decision module.
    pub(super) fn perform_action(&mut self, action: Action) {
        match action {
            Action::Send { id, endpoint, times_out_at, begin_by } => {
                self.send_attempt(id, endpoint, times_out_at, begin_by)
            }
            Action::Reject { id, retry_after } => {
                self.respond(id, FinalResponse::Rejected(Duration::from_nanos(retry_after)));
            }
            Action::Fail(id) => self.respond(id, FinalResponse::Failed),
            Action::Cancel { id, attempt: number } => {
                let attempts =
                    self.requests.get_mut(&id).map(|pending_request| &mut pending_request.attempts_in_flight);
                let attempt = attempts
                    .and_then(|attempts| attempts.iter_mut().find(|attempt| attempt.number == number));
                if let Some(attempt) = attempt {
                    attempt.cancel_sender = None;
                }
            }
            Action::QueryLoad(endpoint) => self.query_load(endpoint),
            Action::CloseIdle(endpoint) => self.idle_pool.close(endpoint),
            Action::SetTimer { after, token } => self.set_timer(after, Timer::Decision(token)),
            Action::WatchEndpoints => {
                self.watch_request_sender.send(()).ok(); // fails only while the process exits
            }
            Action::Log(text) => tracing::info!("{text}"),
        }
    }
}
