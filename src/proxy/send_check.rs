//! What has to hold when bytes of a request leave for an upstream: its caller is still there, and has time left.
//!
//! Between the choice of an upstream and the write lie a connect, turns of the event loop and times in which the
//! process is held up. So both are looked at right before each write: the clock first, as the process may be held
//! up when it has read that, and then the kernel's state of the caller's connection.

use crate::proxy::downstream::connection::ClientLiveness;
use std::fmt;
use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::time::Instant;

/// The header that tells an upstream how long its answer is waited for, as it stands in a head.
const BUDGET_FIELD: &[u8] = b"\r\nx-budget: ";
/// The caller's time ran while its request was on its way here, and runs on until the upstream has the last byte.
/// What an upstream is told is less by this, so that a hold-up has all of the slack.
const BUDGET_MARGIN: Duration = Duration::from_millis(5);
/// With less time than this an upstream could only drop the request.
const LEAST_BUDGET: Duration = Duration::from_millis(5);
/// A request whose bytes the upstream has not taken within this time of the first is given up: the time that its head
/// tells is too long by then.
const MOST_WRITE: Duration = Duration::from_millis(100);

/// What an upstream may be told where its caller has so much time left; `None` if that is hardly any.
pub fn upstream_budget(left: Duration) -> Option<Duration> {
    left.checked_sub(BUDGET_MARGIN).filter(|budget| *budget >= LEAST_BUDGET)
}

/// A time as it stands in a head.
pub fn seconds(time: Duration) -> String {
    format!("{:.6}", time.as_secs_f64())
}

/// Why a request is not written, or not to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotSent {
    ClientDisconnected,
    TooLate,
}

impl fmt::Display for NotSent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::ClientDisconnected => "the caller has left",
            Self::TooLate => "hardly any time is left",
        })
    }
}

impl std::error::Error for NotSent {}

/// The conditions under which an attempt may be written to its upstream.
pub struct SendConditions {
    /// Whose request it is, if it is a caller's.
    pub client: Option<ClientLiveness>,
    /// When the caller stops waiting, if it is a caller's request.
    pub client_deadline: Option<Instant>,
    /// How long the answer is waited for.
    pub attempt_deadline: Instant,
    /// When it must have begun, or it is never sent.
    pub begin_by: Option<Instant>,
    /// The time of its caller runs from its last byte, which is still to come.
    pub streamed: bool,
}

impl SendConditions {
    /// Whether the attempt may begin now, and how long it may take as its upstream is told.
    pub fn may_begin(&self) -> Result<Duration, NotSent> {
        let budget = self.budget(Instant::now()).ok_or(NotSent::TooLate)?;
        self.check_client_connected(false)?;
        Ok(budget)
    }

    fn budget(&self, now: Instant) -> Option<Duration> {
        // An attempt that outlives its own limit is given up by that, not here.
        let left = self.attempt_deadline.saturating_duration_since(now);
        let client_budget = match self.client_deadline {
            Some(end) => upstream_budget(end.saturating_duration_since(now))?,
            None => left,
        };
        self.in_window(now).then_some(left.min(client_budget))
    }

    fn in_window(&self, now: Instant) -> bool {
        self.begin_by.is_none_or(|end| now < end)
    }

    fn check_client_connected(&self, all_has_come: bool) -> Result<(), NotSent> {
        match &self.client {
            Some(client) if client.is_disconnected(all_has_come) => Err(NotSent::ClientDisconnected),
            _ => Ok(()),
        }
    }
}

/// Checks the send conditions before each write of a request, and tracks how far the write has got.
pub struct SendCheck {
    conditions: SendConditions,
    /// Is set once a byte may have been written.
    write_started: Arc<AtomicBool>,
    /// When its first write was tried.
    begun: Option<Instant>,
    /// Bytes written.
    written: usize,
    budget: Option<BudgetField>,
    not_sent: Option<NotSent>,
}

/// Where the time for an upstream stands in a head, and what it says.
struct BudgetField {
    place: Range<usize>,
    text: Vec<u8>,
}

impl SendCheck {
    pub fn new(conditions: SendConditions, write_started: Arc<AtomicBool>) -> Self {
        Self { conditions, write_started, begun: None, written: 0, budget: None, not_sent: None }
    }

    /// Why it was not written, or not to its end.
    pub fn not_sent(&self) -> Option<NotSent> {
        self.not_sent
    }

    /// Notes that so many bytes have left.
    pub fn wrote(&mut self, bytes: usize) {
        self.written += bytes;
    }

    /// Asked right before each write. Tells what is written in place of the `first` bytes that are offered, if not
    /// those: the time for the upstream as it is now. `last` says that the last byte of the request is among them.
    pub fn before_write(&mut self, first: &[u8], last: bool) -> Result<Option<Vec<u8>>, NotSent> {
        let checked = match self.written {
            0 => self.before_first(first, last),
            _ => self.before_more(last),
        };
        if let Err(not_sent) = checked {
            self.not_sent = Some(not_sent);
            return Err(not_sent);
        }
        self.write_started.store(true, Ordering::Relaxed);
        Ok(self.with_budget(first))
    }

    fn before_first(&mut self, first: &[u8], last: bool) -> Result<(), NotSent> {
        let now = Instant::now();
        let budget = self.conditions.budget(now).ok_or(NotSent::TooLate)?;
        self.begun = Some(now);
        self.budget = BudgetField::find(first, budget);
        self.conditions.check_client_connected(last)
    }

    /// An upstream begins with the last byte: a request that may not begin any more must not come to its end.
    fn before_more(&self, last: bool) -> Result<(), NotSent> {
        let now = Instant::now();
        let is_old = self.begun.is_some_and(|begun| now > begun + MOST_WRITE);
        if !self.conditions.in_window(now) || is_old && !self.conditions.streamed {
            return Err(NotSent::TooLate);
        }
        self.conditions.check_client_connected(last)
    }

    /// The bytes that are offered next, with the time for the upstream where it stands in them.
    fn with_budget(&self, first: &[u8]) -> Option<Vec<u8>> {
        let field = self.budget.as_ref().filter(|field| self.written < field.place.end)?;
        let mut bytes = first.to_vec();
        for (at, digit) in field.place.clone().zip(&field.text) {
            let place = at.checked_sub(self.written).and_then(|at| bytes.get_mut(at));
            place.into_iter().for_each(|byte| *byte = *digit);
        }
        Some(bytes)
    }
}

impl BudgetField {
    /// The field in a head, to say this time in as many digits as stand there.
    fn find(head: &[u8], budget: Duration) -> Option<Self> {
        let start = head.windows(BUDGET_FIELD.len()).position(|part| part == BUDGET_FIELD)?;
        let start = start + BUDGET_FIELD.len();
        let length = head[start..].iter().position(|byte| *byte == b'\r')?;
        let mut text = seconds(budget).into_bytes();
        text.resize(length, b'0'); // time only runs out, and zeros behind the point change nothing
        Some(Self { place: start..start + length, text })
    }
}

#[cfg(test)]
mod tests;
