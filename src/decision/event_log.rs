//! Log lines for the operators, rate-limited for each topic.

use super::action::Action;
use super::event::{Duration, SECOND, Time};

/// Minimum time between two log lines of a topic: in an outage, the logged changes happen many times a second.
const LOG_INTERVAL: Duration = 5 * SECOND;

/// Subject of a log line.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Topic {
    Discovery,
    ZoneRouting,
    CircuitBreaker,
    LoadShedding,
}

/// Number of topics.
const TOPIC_COUNT: usize = 4;

/// Rate limiter for log lines: when each topic may be logged again.
#[derive(Debug, Default)]
pub(crate) struct EventLog {
    not_before: [Time; TOPIC_COUNT],
}

impl EventLog {
    /// Writes a line, or drops it if one of the same topic was written less than [`LOG_INTERVAL`] ago.
    pub fn write(&mut self, topic: Topic, now: Time, text: String, actions: &mut Vec<Action>) {
        let not_before = &mut self.not_before[topic as usize];
        if now < *not_before {
            return;
        }
        *not_before = now + LOG_INTERVAL;
        actions.push(Action::Log(text));
    }
}
