//! How long a response may go on past the deadline of its request.
//!
//! Of a short response, the client waits for the last byte, which is due soon after the deadline. Of a long one, it waits
//! in time for the first bytes only, and gets what the upstream still sends. Which of the two a response of unknown length
//! is cannot be told before more bytes have come than a short one may have. Until then it counts as long for as long as
//! its token bucket, which the received bytes fill and the wait for the upstream drains, is not empty.

use super::event::{Duration, SECOND, Time};

/// Largest short response, in bytes.
pub const MAX_SHORT_RESPONSE: u64 = 64 << 10;
/// Time spent waiting for the upstream past the deadline after which a short response ends. The client must get a final
/// response within 0.5 s of the deadline, also if the process was delayed for 0.1 s.
pub const FINAL_RESPONSE_DELAY: Duration = 350_000_000;
/// A delay of the process past [`FINAL_RESPONSE_DELAY`] up to which a response that ends counts as a short one.
const MAX_SHORT_RESPONSE_DELAY: Duration = SECOND / 10;
/// Maximum time without bytes of a response, whatever its length and the deadline of its request.
pub const MAX_RESPONSE_SILENCE: Duration = 15 * SECOND;
/// A pause that a response of unknown length may make if the latest long pause of its upstream had no end.
pub const REDUCED_MAX_PAUSE: Duration = SECOND;
/// A pause that a response of unknown length may make otherwise: the longest time for which a client waits.
pub const MAX_PAUSE: Duration = 3 * SECOND;
/// Rate of a response that may become long, in bytes per second: half of the rate of the slowest long responses.
const UNDECIDED_RATE: u64 = 5000;
/// How far the token bucket is below empty before the first byte, so that a first piece of a kilobyte earns nothing.
const INITIAL_DEBT: Duration = SECOND / 5;
/// How far the token bucket can fall below empty, so that later pieces of up to 2.5 kilobytes earn nothing while the response
/// is slow, and a response that has become faster can make up for its beginning.
const MAX_DEBT: Duration = SECOND / 2;
/// Rate of a response that is known to be long, in bytes per second.
const LONG_RATE: u64 = 1000;

/// How long a pause of a response of unknown length may be before the response counts as ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PauseTolerance {
    /// Up to [`MAX_PAUSE`].
    Full,
    /// Up to [`REDUCED_MAX_PAUSE`], as the latest long pause of the upstream had no end.
    Reduced,
}

impl PauseTolerance {
    fn max_pause(self) -> Duration {
        match self {
            Self::Full => MAX_PAUSE,
            Self::Reduced => REDUCED_MAX_PAUSE,
        }
    }
}

/// What is known of the length of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LengthClass {
    /// The client waits in time for the last byte.
    Short,
    /// The length is not known, and no more bytes were received than a short response may have.
    Undecided,
    /// The client waits in time for the first bytes.
    Long,
}

/// Decides when a response ends whose upstream sends nothing more, or too little. Only the time spent waiting for the
/// upstream counts: while the client does not read, nothing is read from the upstream.
#[derive(Debug)]
pub struct ResponseLimit {
    /// The deadline of the request; `None` if it is not known.
    deadline: Option<Time>,
    length_class: LengthClass,
    /// Number of bytes that were received.
    received: u64,
    /// Time spent waiting for the upstream past the deadline, up to the latest bytes.
    waited_past_deadline: Duration,
    /// The level of the token bucket: for how long the upstream may send nothing, in nanoseconds. Below zero, bytes have to
    /// make up for it first.
    credit: i64,
    max_pause: Duration,
}

impl ResponseLimit {
    /// Creates the limit of a response of which `received` bytes have been received, and whose whole length is `length`
    /// bytes, if it is known.
    pub fn new(
        deadline: Option<Time>,
        received: u64,
        length: Option<u64>,
        pause_tolerance: PauseTolerance,
    ) -> Self {
        let length_class = match length {
            Some(length) if length > MAX_SHORT_RESPONSE => LengthClass::Long,
            Some(_) => LengthClass::Short,
            None => LengthClass::Undecided,
        };
        let mut limit = Self {
            deadline,
            length_class,
            received: 0,
            waited_past_deadline: 0,
            credit: -(INITIAL_DEBT as i64),
            max_pause: pause_tolerance.max_pause(),
        };
        if length_class == LengthClass::Long {
            limit.fill();
        }
        limit.add_bytes(received);
        limit
    }

    /// Records that bytes were received at `now`, after a wait from `waiting_since` on, if there was one.
    pub fn on_received(&mut self, waiting_since: Option<Time>, now: Time, bytes: u64) {
        if let Some(since) = waiting_since {
            self.drain(since, now);
        }
        self.add_bytes(bytes);
    }

    /// When the response ends if no bytes are received from `waiting_since` on.
    pub fn end(&self, waiting_since: Time) -> Time {
        let silence_end = waiting_since.saturating_add(MAX_RESPONSE_SILENCE);
        let Some(deadline) = self.deadline else { return silence_end };
        let credit_end = match self.length_class {
            LengthClass::Short => 0,
            LengthClass::Undecided => self.credit_end(waiting_since),
            LengthClass::Long => self.credit_end(waiting_since.max(deadline)),
        };
        credit_end.max(self.short_response_end(waiting_since, deadline)).min(silence_end)
    }

    /// Whether a response that is ended at `now`, after a wait from `waiting_since` on, was taken for a long one: it went on
    /// for longer than a short one may.
    pub fn was_taken_for_long(&self, waiting_since: Time, now: Time) -> bool {
        let waited = self.waited_past_deadline + self.wait_past_deadline(waiting_since, now);
        self.length_class == LengthClass::Undecided
            && waited > FINAL_RESPONSE_DELAY + MAX_SHORT_RESPONSE_DELAY
    }

    /// When a short response ends if no bytes are received from `waiting_since` on.
    fn short_response_end(&self, waiting_since: Time, deadline: Time) -> Time {
        let time_left = FINAL_RESPONSE_DELAY.saturating_sub(self.waited_past_deadline);
        waiting_since.max(deadline).saturating_add(time_left)
    }

    /// The part of a wait that lies past the deadline.
    fn wait_past_deadline(&self, since: Time, now: Time) -> Duration {
        self.deadline.map_or(0, |deadline| now.saturating_sub(since.max(deadline)))
    }

    /// When the token bucket is empty if it drains from `start` on.
    fn credit_end(&self, start: Time) -> Time {
        start.saturating_add_signed(self.credit.max(0))
    }

    /// Drains the token bucket for a wait. That of a response of unknown length begins to drain at its first byte.
    fn drain(&mut self, since: Time, now: Time) {
        let past_deadline = self.wait_past_deadline(since, now);
        self.waited_past_deadline += past_deadline;
        self.credit = match self.length_class {
            LengthClass::Short => 0,
            LengthClass::Undecided if self.received == 0 => self.credit,
            LengthClass::Undecided => {
                let drained = self.credit.saturating_sub_unsigned(now.saturating_sub(since));
                drained.max(-(MAX_DEBT as i64))
            }
            LengthClass::Long => self.credit.saturating_sub_unsigned(past_deadline).max(0),
        };
    }

    /// Fills the token bucket by received bytes. A response of unknown length becomes long with too many of them.
    fn add_bytes(&mut self, bytes: u64) {
        self.received = self.received.saturating_add(bytes);
        if self.length_class == LengthClass::Undecided && self.received > MAX_SHORT_RESPONSE {
            self.length_class = LengthClass::Long;
            self.fill();
        }
        let (rate, capacity) = match self.length_class {
            LengthClass::Short => return,
            LengthClass::Undecided => (UNDECIDED_RATE, self.max_pause),
            LengthClass::Long => (LONG_RATE, MAX_RESPONSE_SILENCE),
        };
        let earned = bytes.saturating_mul(SECOND) / rate;
        self.credit = self.credit.saturating_add_unsigned(earned).min(capacity as i64);
    }

    /// Fills the token bucket of a long response.
    fn fill(&mut self) {
        self.credit = MAX_RESPONSE_SILENCE as i64;
    }
}
