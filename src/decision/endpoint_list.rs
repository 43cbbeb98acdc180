//! The watch on the endpoint list: when it is first opened, and when it is reopened after a failure.

use super::action::Action;
use super::backoff::Backoff;
use super::event::{Duration, SECOND};
use super::settings::Settings;

/// Token of the timer that opens the watch.
pub(crate) const WATCH_TOKEN: u64 = u64::MAX;
/// The first watches are spread over this time for each replica, as the capacity of discovery is fixed.
const SPREAD_PER_REPLICA: Duration = SECOND / 10;
/// Upper bound of the spread of the first watches. It leaves time for two failed calls before changes made
/// during startup count as notified, after 6 s.
const MAX_SPREAD: Duration = 2 * SECOND;
/// Maximum delay before a failed watch is reopened; the delay itself is drawn at random. The maximum is part of
/// the sums in docs/design.md, which must stay below the 6 s after which a change counts as notified.
const WATCH_BACKOFF: Backoff = Backoff { first: 7 * SECOND / 20, cap: 3 * SECOND / 2 };

/// The watch on the endpoint list.
#[derive(Debug, Default)]
pub(crate) struct EndpointListWatch {
    /// Consecutive failures; `None` before the first list, failure or move.
    consecutive_failures: Option<u32>,
}

impl EndpointListWatch {
    /// Handles a list. The first one opens the watch if discovery has to be polled, unless a failure or a move has
    /// already opened it.
    pub fn on_list(&mut self, settings: &Settings, rng: &mut fastrand::Rng, actions: &mut Vec<Action>) {
        let is_first = self.consecutive_failures.replace(0).is_none();
        if is_first && settings.polls_discovery {
            let spread = SPREAD_PER_REPLICA.saturating_mul(Duration::from(settings.replicas));
            open_watch_within(spread.min(MAX_SPREAD).min(settings.poll_within / 2), rng, actions);
        }
    }

    /// Handles a failure of the watch, and returns the number of consecutive failures.
    pub fn on_failure(&mut self, rng: &mut fastrand::Rng, actions: &mut Vec<Action>) -> u32 {
        let failures = self.consecutive_failures.unwrap_or(0) + 1;
        self.consecutive_failures = Some(failures);
        open_watch_within(WATCH_BACKOFF.delay(failures), rng, actions);
        failures
    }

    /// Handles a move of discovery to another service. Failures of the previous service don't count, and the
    /// delay is random because all replicas are notified at once.
    pub fn on_moved(&mut self, rng: &mut fastrand::Rng, actions: &mut Vec<Action>) {
        self.consecutive_failures = Some(0);
        open_watch_within(WATCH_BACKOFF.first, rng, actions);
    }
}

/// Opens the watch after a random delay, so that replicas don't all call at once.
fn open_watch_within(max_delay: Duration, rng: &mut fastrand::Rng, actions: &mut Vec<Action>) {
    actions.push(Action::SetTimer { after: rng.u64(..=max_delay), token: WATCH_TOKEN });
}
