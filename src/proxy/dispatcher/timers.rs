//! Timers, and the deadline guards: each is a timer that fails a request which the decision module has left open past
//! its deadline.

use super::{Dispatcher, IDLE_SWEEP_INTERVAL, SHARED_FOLDER_CHECK_INTERVAL, Timer};
use crate::proxy::messages::FinalResponse;
use balancer::decision::{Event, RequestId, Time};
use std::cmp::Reverse;

impl Dispatcher {
    /// Schedules a timer that fires `after` nanoseconds from now.
    pub(super) fn set_timer(&mut self, after: Time, timer: Timer) {
        self.timers.push(Reverse((self.clock.now().saturating_add(after), timer)));
    }

    /// Runs all timers and deadline guards that are due.
    pub(super) fn run_due_timers(&mut self) {
        let now = self.clock.now();
        while let Some(&Reverse((_, timer))) = self.timers.peek().filter(|Reverse((at, _))| *at <= now) {
            self.timers.pop();
            match timer {
                Timer::Decision(token) => self.handle_event(Event::Timer(token)),
                Timer::IdleSweep => {
                    self.idle_pool.sweep();
                    self.start_times.record_clock_reading(self.clock.read());
                    self.set_timer(IDLE_SWEEP_INTERVAL, Timer::IdleSweep);
                }
                Timer::SharedFolderCheck => {
                    let withdrawn = &self.withdrawn;
                    self.shared_folder.iter_mut().for_each(|folder| folder.check(withdrawn.clone()));
                    self.update_host_counts();
                    self.set_timer(SHARED_FOLDER_CHECK_INTERVAL, Timer::SharedFolderCheck);
                }
            }
        }
        while let Some(&(_, id)) = self.deadline_guards.first().filter(|(at, _)| *at <= now) {
            self.on_deadline_guard(id);
        }
    }

    /// Fails a request that the decision module has left open past its deadline. In the decision module, the request
    /// ends as if its client had disconnected.
    pub(super) fn on_deadline_guard(&mut self, id: RequestId) {
        tracing::info!("request {} was left open past its time, failing it", id.0);
        self.respond(id, FinalResponse::Failed);
        self.handle_event(Event::ClientDisconnected(id));
    }
}
