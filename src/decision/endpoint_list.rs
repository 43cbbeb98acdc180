//! The watch on the endpoint list: when it is opened first, and again after a failure.

use super::action::Action;
use super::backoff::Backoff;
use super::event::{Duration, SECOND};
use super::settings::Settings;

/// Token of the timer after which the watch is opened.
pub(crate) const WATCH_TOKEN: u64 = u64::MAX;
/// First watches are spread over this much for each replica: the capacity of discovery is fixed.
const SPREAD_PER_REPLICA: Duration = SECOND / 10;
/// The cap leaves time for two calls that fail, until what came during the start counts as notified after 6 s.
const MAX_SPREAD: Duration = 2 * SECOND;
/// Wait before a failed watch is opened again. It is in the sums of docs/design.md, which have to stay under the 6 s
/// after which a change counts as notified.
const WATCH_BACKOFF: Backoff = Backoff { first: 7 * SECOND / 20, cap: 3 * SECOND / 2 };

/// The watch on the endpoint list.
#[derive(Debug, Default)]
pub(crate) struct EndpointListWatch {
    /// Failures in a row; `None` before the first list.
    consecutive_failures: Option<u32>,
}

impl EndpointListWatch {
    /// A list has come. The first one begins the watch, where lists have to be polled.
    pub fn on_list(&mut self, settings: &Settings, rng: &mut fastrand::Rng, actions: &mut Vec<Action>) {
        let is_first = self.consecutive_failures.replace(0).is_none();
        if is_first && settings.polls_discovery {
            let spread = SPREAD_PER_REPLICA.saturating_mul(Duration::from(settings.replicas));
            open_watch_within(spread.min(MAX_SPREAD).min(settings.poll_within / 2), rng, actions);
        }
    }

    /// The watch has failed; gives the failures in a row.
    pub fn on_failure(&mut self, rng: &mut fastrand::Rng, actions: &mut Vec<Action>) -> u32 {
        let failures = self.consecutive_failures.unwrap_or(0) + 1;
        self.consecutive_failures = Some(failures);
        open_watch_within(WATCH_BACKOFF.delay(failures), rng, actions);
        failures
    }

    /// Discovery is another service. The failures of the former one say nothing of it; all replicas hear of it at
    /// once.
    pub fn on_moved(&mut self, rng: &mut fastrand::Rng, actions: &mut Vec<Action>) {
        self.consecutive_failures = Some(0);
        open_watch_within(WATCH_BACKOFF.first, rng, actions);
    }
}

/// Opens the watch after a random part of a time, so that no two replicas call at once.
fn open_watch_within(max_delay: Duration, rng: &mut fastrand::Rng, actions: &mut Vec<Action>) {
    actions.push(Action::SetTimer { after: rng.u64(..=max_delay), token: WATCH_TOKEN });
}
