//! Events for the decision modules of the balancers, and the actions that they return.

use super::{Event, Fleet, Response};
use balancer::decision::{Action, AttemptEnd, AttemptOutcome, Event as ModuleEvent, RequestId};

impl Fleet<'_> {
    /// Gives a module instance the whole endpoint list of its service.
    pub(super) fn send_endpoint_list(&mut self, instance: usize) {
        let list = self.discovery.list(self.topology.instances[instance].service).to_vec();
        self.notify_instance(instance, ModuleEvent::EndpointList(&list));
    }

    /// Passes an event to a module instance and carries out its actions, then does the same for the attempt ends that
    /// these actions caused.
    pub(super) fn notify_instance(&mut self, instance: usize, event: ModuleEvent<'_>) {
        self.dispatch_event(instance, event);
        while let Some((instance, id, end)) = self.pending_attempt_ends.pop_front() {
            self.dispatch_event(instance, ModuleEvent::AttemptEnded(id, end));
            if let Some(&key) = self.instance_states[instance].requests.get(&id) {
                self.remove_if_done(key);
            }
        }
    }

    /// Passes one event to a module instance and carries out its actions.
    fn dispatch_event(&mut self, instance: usize, event: ModuleEvent<'_>) {
        let instance_state = &mut self.instance_states[instance];
        if !instance_state.alive {
            return;
        }
        self.counts.module_events += 1;
        let mut actions = std::mem::take(&mut self.actions);
        instance_state.balancer.handle(self.queue.now(), event, &mut actions);
        actions.drain(..).for_each(|action| self.apply_action(instance, action));
        self.actions = actions;
    }

    fn apply_action(&mut self, instance: usize, action: Action) {
        match action {
            Action::Send { id, endpoint, times_out_at, begin_by } => {
                self.send_attempt(instance, id, endpoint, (times_out_at, begin_by))
            }
            Action::Reject { id, .. } => self.respond_by_id(instance, id, Response::Refused),
            Action::Fail(id) => self.respond_by_id(instance, id, Response::Failed),
            Action::Cancel { id, attempt } => self.cancel_attempt(instance, id, attempt),
            Action::CloseIdle(endpoint) => {
                self.instance_states[instance].idle_connections
                    [self.topology.index_in_service(endpoint.0 as usize)]
                .count = 0;
            }
            Action::SetTimer { after, token } => {
                self.queue.push(self.queue.now().saturating_add(after), Event::Timer(instance as u32, token));
            }
            Action::WatchEndpoints => self.discovery.start_watch(instance, &mut self.queue),
            Action::QueryLoad(_) => self.counts.load_queries += 1, // not allowed by the settings
            Action::Log(_) => self.counts.log_lines += 1,
        }
    }

    fn respond_by_id(&mut self, instance: usize, id: RequestId, response: Response) {
        if let Some(&key) = self.instance_states[instance].requests.get(&id) {
            self.respond(key, response);
        }
    }

    /// Cancels an attempt on behalf of the module and queues the notification of its end.
    fn cancel_attempt(&mut self, instance: usize, id: RequestId, number: u32) {
        let Some(&key) = self.instance_states[instance].requests.get(&id) else { return };
        let Some(active_attempt) = self.requests.get(key).and_then(|request| request.active_attempt) else {
            return;
        };
        let Some(attempt) = self.attempts.get(active_attempt).filter(|attempt| attempt.number == number)
        else {
            return;
        };
        let sent_at = attempt.sent_at;
        self.counts.cancellations += 1;
        self.abandon_attempt(active_attempt, false);
        let Some(request) = self.requests.get_mut(key) else { return };
        request.active_attempt = None;
        let (elapsed, closed) = (self.queue.now() - sent_at, !request.awaiting_response);
        let end = AttemptEnd {
            attempt: number,
            outcome: AttemptOutcome::Cancelled,
            elapsed,
            request_closed: closed,
            body_consumed: false,
            load: None,
        };
        self.pending_attempt_ends.push_back((instance, id, end));
    }
}
