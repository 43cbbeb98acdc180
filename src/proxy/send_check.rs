//! Checks right before each write to an upstream that the client is still connected and has time left.
//!
//! Connecting, other tasks of the event loop and pauses of the process can delay the write after the upstream has been
//! chosen. The clock is read before the kernel's state of the client connection: if the process is paused between the
//! two reads, a disconnect during the pause is still noticed.

use crate::proxy::downstream::connection::ClientLiveness;
use std::fmt;
use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::time::Instant;

/// Start of the header field that carries the upstream's time budget, as it appears in a request head.
const BUDGET_FIELD_START: &[u8] = b"\r\nx-budget: ";
/// Subtracted from the client's remaining time to get the budget that is sent upstream. It covers the time that the
/// request took to get here and the time until the upstream has the last byte, so that all slack is left for pauses of
/// the process.
const BUDGET_MARGIN: Duration = Duration::from_millis(5);
/// Smallest budget that is sent. With less time, an upstream could only drop the request.
const MIN_BUDGET: Duration = Duration::from_millis(5);
/// Maximum time from the first write of a buffered request to the last. After that, the budget in its head is outdated,
/// and no more of it is written.
const MAX_WRITE_TIME: Duration = Duration::from_millis(100);

/// The budget for an upstream when the client waits for `time_left` more; `None` if that is too short for an attempt.
pub fn upstream_budget(time_left: Duration) -> Option<Duration> {
    time_left.checked_sub(BUDGET_MARGIN).filter(|budget| *budget >= MIN_BUDGET)
}

/// Formats a budget as in the `x-budget` header: seconds with six decimal places.
pub fn format_seconds(budget: Duration) -> String {
    format!("{:.6}", budget.as_secs_f64())
}

/// Why a request was not written, or not completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotSentReason {
    ClientDisconnected,
    /// Too little of the client's time is left, `begin_by` has passed, or writing the request takes too long.
    TooLate,
}

impl fmt::Display for NotSentReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::ClientDisconnected => "the client has disconnected",
            Self::TooLate => "too little time is left for the request",
        })
    }
}

impl std::error::Error for NotSentReason {}

/// The conditions under which an attempt may be written to its upstream.
pub struct SendConditions {
    /// The client that sent the request; `None` for a load query.
    pub client: Option<ClientLiveness>,
    /// When the client stops waiting, as known when its request was accepted; `None` for a load query.
    pub client_deadline: Option<Instant>,
    /// When the attempt times out.
    pub attempt_deadline: Instant,
    /// From this time on, no more of the request is written; `None` for no limit.
    pub begin_by: Option<Instant>,
    /// The request body is streamed from the client, so that the client's time runs only from the last byte of the
    /// body, and [`MAX_WRITE_TIME`] does not apply.
    pub streamed: bool,
}

impl SendConditions {
    /// Checks that the attempt may start now, and returns the budget for its upstream.
    pub fn check_start(&self) -> Result<Duration, NotSentReason> {
        let budget = self.budget_at(Instant::now()).ok_or(NotSentReason::TooLate)?;
        self.check_client_connected(false)?;
        Ok(budget)
    }

    /// The budget for the upstream if the request is written now; `None` if it is too late.
    fn budget_at(&self, now: Instant) -> Option<Duration> {
        // An attempt past its own deadline is ended by its timer, not here.
        let attempt_time_left = self.attempt_deadline.saturating_duration_since(now);
        let client_budget = match self.client_deadline {
            Some(client_deadline) => upstream_budget(client_deadline.saturating_duration_since(now))?,
            None => attempt_time_left,
        };
        self.is_before_begin_by(now).then_some(attempt_time_left.min(client_budget))
    }

    fn is_before_begin_by(&self, now: Instant) -> bool {
        self.begin_by.is_none_or(|begin_by| now < begin_by)
    }

    /// Fails if the client has disconnected. `request_complete` says that all of its request has been received.
    fn check_client_connected(&self, request_complete: bool) -> Result<(), NotSentReason> {
        match &self.client {
            Some(client) if client.is_disconnected(request_complete) => {
                Err(NotSentReason::ClientDisconnected)
            }
            _ => Ok(()),
        }
    }
}

/// Checks the send conditions before each write of a request, and tracks how many bytes were written.
pub struct SendCheck {
    conditions: SendConditions,
    /// Set before the first write that the checks allow.
    write_started: Arc<AtomicBool>,
    /// When the first write was tried, which is the time that the budget is computed for.
    first_write_at: Option<Instant>,
    bytes_written: usize,
    /// The `x-budget` field, with the budget as of the first write; `None` if the head has no such field.
    budget_field: Option<BudgetField>,
    /// Why a write was refused.
    not_sent_reason: Option<NotSentReason>,
}

/// Where the value of the `x-budget` field is in a request head, and what to write there.
struct BudgetField {
    /// Byte range of the value in the head.
    range: Range<usize>,
    /// The digits to write there.
    digits: Vec<u8>,
}

impl SendCheck {
    /// Creates the check for one attempt. `write_started` is set before the first write.
    pub fn new(conditions: SendConditions, write_started: Arc<AtomicBool>) -> Self {
        Self {
            conditions,
            write_started,
            first_write_at: None,
            bytes_written: 0,
            budget_field: None,
            not_sent_reason: None,
        }
    }

    /// Why the request was not written, or not completely.
    pub fn not_sent_reason(&self) -> Option<NotSentReason> {
        self.not_sent_reason
    }

    /// Records that `bytes` more bytes were written.
    pub fn record_written(&mut self, bytes: usize) {
        self.bytes_written += bytes;
    }

    /// Checks the conditions right before a write of `first_part` and further parts. If `first_part` includes a part of
    /// the budget field, returns the bytes to write in its place. `ends_request` says that the write includes the last
    /// byte of the request.
    pub fn before_write(
        &mut self,
        first_part: &[u8],
        ends_request: bool,
    ) -> Result<Option<Vec<u8>>, NotSentReason> {
        let checked = match self.bytes_written {
            0 => self.check_first_write(first_part, ends_request),
            _ => self.check_later_write(ends_request),
        };
        if let Err(not_sent_reason) = checked {
            self.not_sent_reason = Some(not_sent_reason);
            return Err(not_sent_reason);
        }
        self.write_started.store(true, Ordering::Relaxed);
        Ok(self.with_budget(first_part))
    }

    fn check_first_write(&mut self, first_part: &[u8], ends_request: bool) -> Result<(), NotSentReason> {
        let now = Instant::now();
        let budget = self.conditions.budget_at(now).ok_or(NotSentReason::TooLate)?;
        self.first_write_at = Some(now);
        self.budget_field = BudgetField::find(first_part, budget);
        self.conditions.check_client_connected(ends_request)
    }

    /// The upstream runs a request once it has the last byte. A request that must not start any more must therefore not
    /// be completed either.
    fn check_later_write(&self, ends_request: bool) -> Result<(), NotSentReason> {
        let now = Instant::now();
        let is_slow = self.first_write_at.is_some_and(|first_write_at| now > first_write_at + MAX_WRITE_TIME);
        if !self.conditions.is_before_begin_by(now) || is_slow && !self.conditions.streamed {
            return Err(NotSentReason::TooLate);
        }
        self.conditions.check_client_connected(ends_request)
    }

    /// Returns `first_part` with the budget as of the first write filled in; `None` if the budget field is already
    /// written or missing.
    fn with_budget(&self, first_part: &[u8]) -> Option<Vec<u8>> {
        let field = self.budget_field.as_ref().filter(|field| self.bytes_written < field.range.end)?;
        let mut bytes = first_part.to_vec();
        for (position, digit) in field.range.clone().zip(&field.digits) {
            let target = position.checked_sub(self.bytes_written).and_then(|offset| bytes.get_mut(offset));
            target.into_iter().for_each(|byte| *byte = *digit);
        }
        Some(bytes)
    }
}

impl BudgetField {
    /// Locates the field in a head and formats the budget with as many digits as the field has.
    fn find(head: &[u8], budget: Duration) -> Option<Self> {
        let start = head.windows(BUDGET_FIELD_START.len()).position(|part| part == BUDGET_FIELD_START)?;
        let start = start + BUDGET_FIELD_START.len();
        let length = head[start..].iter().position(|byte| *byte == b'\r')?;
        let mut digits = format_seconds(budget).into_bytes();
        digits.resize(length, b'0'); // the budget only shrinks, so it fits; trailing zeros do not change it
        Some(Self { range: start..start + length, digits })
    }
}

#[cfg(test)]
mod tests;
