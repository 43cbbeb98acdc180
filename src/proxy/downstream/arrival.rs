//! Estimates when the client of a long request has written its last byte.
//!
//! The time of a request runs from the last byte that its client has written. While an upstream reads slowly, the bytes
//! that follow wait unread, in the receive buffer here and in the client's send buffer, which cannot be seen. The last
//! byte may have been written at any time since it was last known to be missing.

use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// Receive buffer of a connection whose request is streamed, in bytes. A fixed size bounds what waits there.
pub const STREAM_RECEIVE_BUFFER: usize = 256 << 10;
/// Most bytes that can wait unread: in a send buffer of Linux, whose size is 4 MiB at most by default, and in the receive
/// buffer, of which the kernel doubles the size.
const MAX_UNREAD: u64 = (4 << 20) + 2 * STREAM_RECEIVE_BUFFER as u64;
/// While fewer bytes than this wait in the receive buffer, its window is open, and nothing waits in the send buffer. The
/// window of the loopback device, whose segments have 64 KiB, opens no later than that.
pub const OPEN_WINDOW: u64 = 64 << 10;
/// Number of bytes between two checkpoints.
const CHECKPOINT_DISTANCE: u64 = 256 << 10;

/// Time between two looks at a request whose bytes wait.
pub const ARRIVAL_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// How long after its deadline a request is ended whose last byte may have been written, but may also be missing. The
/// client is owed its response 0.5 s after the deadline, of which the rest is left to stalls of the process.
pub const UNCERTAIN_ARRIVAL_DELAY: Duration = Duration::from_millis(250);

/// What is known of the last byte of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// It has been received, at least by the kernel, and had not been written by this time.
    CompleteSince(Instant),
    /// The client had not written it by this time, and may have written it since.
    PossibleSince(Instant),
}

/// Positions in the bytes of a connection, in bytes since it was accepted.
#[derive(Clone, Copy, Debug)]
pub struct Positions {
    /// Up to here, the bytes were read from the socket.
    pub read: u64,
    /// Up to here, the bytes have been received by the kernel.
    pub received: u64,
    /// Where the request ends.
    pub end: RequestEnd,
}

/// Where a request ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// At this position.
    At(u64),
    /// Not known, but not at the last byte received so far.
    Later,
    /// Not known, and possibly at the last byte received so far.
    Unknown,
}

/// Tracks until when the last byte of the current request was known to be missing.
#[derive(Debug)]
pub struct ArrivalTracker {
    /// When the last byte was last known to be missing.
    missing_at: Instant,
    /// Whether the window was open at the last assessment.
    window_was_open: bool,
    /// Positions up to which bytes were read, and when.
    checkpoints: VecDeque<(u64, Instant)>,
}

impl ArrivalTracker {
    /// When the last byte was last known to be missing.
    pub fn missing_at(&self) -> Instant {
        self.missing_at
    }

    /// Creates the tracker of a connection that was just accepted.
    pub fn new(now: Instant) -> Self {
        Self { missing_at: now, window_was_open: false, checkpoints: VecDeque::new() }
    }

    /// Records a read up to a position. `queue_was_empty` says that the read had to wait for its bytes.
    pub fn record_read(&mut self, position: u64, queue_was_empty: bool, now: Instant) {
        if queue_was_empty {
            self.missing_at = now;
        }
        let is_checkpoint =
            self.checkpoints.back().is_none_or(|(last, _)| position >= last + CHECKPOINT_DISTANCE);
        if is_checkpoint {
            self.checkpoints.push_back((position, now));
            self.forget_checkpoints_before(position.saturating_sub(MAX_UNREAD));
        }
    }

    /// Assesses whether the last byte may have been written. `is_waiting` says that a read waits for bytes.
    pub fn assess(&mut self, positions: Positions, is_waiting: bool, now: Instant) -> Arrival {
        let Positions { read, received, end } = positions;
        if matches!(end, RequestEnd::At(end) if received >= end) {
            return Arrival::CompleteSince(self.missing_at);
        }
        let is_window_open = received - read < OPEN_WINDOW;
        // What fills the window as it opens may not have arrived yet, so that it has to stay open.
        let window_was_open = std::mem::replace(&mut self.window_was_open, is_window_open);
        let is_send_buffer_empty = is_window_open && window_was_open;
        let is_too_far = matches!(end, RequestEnd::At(end) if end > read + MAX_UNREAD);
        if is_waiting || is_too_far || is_send_buffer_empty && end != RequestEnd::Unknown {
            self.missing_at = now;
        }
        // The last byte follows all that was received, so that it did not fit into the buffers before that time.
        let last_byte = match end {
            RequestEnd::At(end) => end,
            RequestEnd::Later | RequestEnd::Unknown => received,
        };
        let earliest_read = last_byte.saturating_sub(MAX_UNREAD);
        let earliest_write = self.time_of_read(earliest_read).unwrap_or(self.missing_at);
        Arrival::PossibleSince(self.missing_at.max(earliest_write))
    }

    /// A time by which the bytes up to a position were not read yet, or only just. Forgets earlier checkpoints.
    fn time_of_read(&mut self, position: u64) -> Option<Instant> {
        self.forget_checkpoints_before(position);
        self.checkpoints.front().filter(|(first, _)| *first <= position).map(|(_, at)| *at)
    }

    /// Forgets the checkpoints before a position, apart from the last one of them.
    fn forget_checkpoints_before(&mut self, position: u64) {
        while self.checkpoints.get(1).is_some_and(|(next, _)| *next <= position) {
            self.checkpoints.pop_front();
        }
    }
}

#[cfg(test)]
mod tests;
