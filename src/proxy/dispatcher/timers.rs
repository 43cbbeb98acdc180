//! Timers, and the deadline guard behind the decision module.

use super::{Dispatcher, FOLLOW_EVERY, SWEEP_EVERY, Timer};
use crate::proxy::messages::FinalResponse;
use crate::proxy::shared_folder::SharedFolder;
use balancer::decision::{Event, RequestId, Time};
use std::cmp::Reverse;

impl Dispatcher {
    pub(super) fn set_timer(&mut self, after: Time, timer: Timer) {
        self.timers.push(Reverse((self.clock.now().saturating_add(after), timer)));
    }

    pub(super) fn ring(&mut self) {
        let now = self.clock.now();
        while let Some(&Reverse((_, timer))) = self.timers.peek().filter(|Reverse((at, _))| *at <= now) {
            self.timers.pop();
            match timer {
                Timer::Module(token) => self.tell(Event::Timer(token)),
                Timer::Sweep => {
                    self.idle.sweep();
                    self.start_times.record_clock_reading(self.clock.read());
                    self.set_timer(SWEEP_EVERY, Timer::Sweep);
                }
                Timer::Follow => {
                    self.shared.iter_mut().for_each(SharedFolder::check);
                    self.show_hosts();
                    self.set_timer(FOLLOW_EVERY, Timer::Follow);
                }
            }
        }
        while let Some(&(_, id)) = self.deadline_guards.first().filter(|(at, _)| *at <= now) {
            self.on_deadline_guard(id);
        }
    }

    /// Guards the callers: what the module has left open past its time is answered all the same.
    pub(super) fn on_deadline_guard(&mut self, id: RequestId) {
        crate::proxy::logging::log(format_args!("request {} was left open past its time", id.0));
        self.answer(id, FinalResponse::Failed);
        self.tell(Event::ClientDisconnected(id));
    }
}
