//! Detects a streamed response that has stopped or is too slow.

use balancer::decision::{PauseTolerance, REDUCED_MAX_PAUSE, ResponseLimit, Time};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::time::{Instant, Sleep, sleep_until};

/// Delay between the end of a response by its limit and the recheck of its bytes. After a stall of the process, the end is
/// noticed before the bytes that were received meanwhile.
const RECHECK_DELAY: Duration = Duration::from_millis(20);
/// Maximum time without bytes of a response, or of a request that is streamed upstream. After that, the response or the
/// attempt is aborted, whatever the deadline.
pub const IDLE_TIMEOUT: Duration = Duration::from_nanos(balancer::decision::MAX_RESPONSE_SILENCE);

/// Whether the latest long pause within a response of one upstream had no end. Shared by all its responses.
#[derive(Debug, Default)]
pub struct PauseHistory {
    was_endless: AtomicBool,
}

impl PauseHistory {
    /// How long the next response of the upstream may pause.
    fn tolerance(&self) -> PauseTolerance {
        match self.was_endless.load(Ordering::Relaxed) {
            true => PauseTolerance::Reduced,
            false => PauseTolerance::Full,
        }
    }

    fn record(&self, was_endless: bool) {
        self.was_endless.store(was_endless, Ordering::Relaxed);
    }
}

/// Monitors the rate of one response. Only the time spent waiting for the upstream counts: while the client does not
/// read, nothing is read from the upstream.
pub struct MinimumRate {
    limit: ResponseLimit,
    pauses: Arc<PauseHistory>,
    /// The origin of the times that the limit is given.
    origin: Instant,
    /// Start of the wait for the next bytes that is in progress; `None` if no bytes are waited for.
    waiting_since: Option<Instant>,
    /// When the bytes are rechecked, once the response has reached its limit.
    recheck_at: Option<Instant>,
    timer: Pin<Box<Sleep>>,
}

impl MinimumRate {
    /// Monitors the response to a request with this deadline. Of the response, `received` bytes have been received; its
    /// whole length is `length` bytes, if it is known.
    pub fn new(
        deadline: Option<Instant>,
        received: u64,
        length: Option<u64>,
        pauses: Arc<PauseHistory>,
    ) -> Self {
        let origin = Instant::now();
        let limit = ResponseLimit::new(
            deadline.map(|deadline| time_since(origin, deadline)),
            received,
            length,
            pauses.tolerance(),
        );
        let timer = Box::pin(sleep_until(origin + IDLE_TIMEOUT));
        Self { limit, pauses, origin, waiting_since: None, recheck_at: None, timer }
    }

    /// Records that `bytes` bytes of the response were received.
    pub fn record_received(&mut self, bytes: usize) {
        let now = Instant::now();
        let waiting_since = self.waiting_since.take();
        if waiting_since.is_some_and(|since| now - since >= Duration::from_nanos(REDUCED_MAX_PAUSE)) {
            self.pauses.record(false);
        }
        let waiting_since = waiting_since.map(|since| time_since(self.origin, since));
        self.limit.on_received(waiting_since, time_since(self.origin, now), bytes as u64);
    }

    /// Becomes ready once the response is too slow. Must be polled whenever the next bytes of the response are
    /// waited for.
    pub fn poll_too_slow(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let since = *self.waiting_since.get_or_insert_with(Instant::now);
        let waiting_since = time_since(self.origin, since);
        loop {
            let limit_end = self.instant(self.limit.end(waiting_since));
            // Bytes that came since the limit was reached may have moved it. A trickle of bytes does not.
            self.recheck_at = self.recheck_at.filter(|recheck_at| limit_end <= since.max(*recheck_at));
            ready!(self.poll_timer(cx, self.recheck_at.unwrap_or(limit_end)));
            let now = Instant::now();
            if self.recheck_at.is_some() {
                if self.limit.was_taken_for_long(waiting_since, time_since(self.origin, now)) {
                    self.pauses.record(true);
                }
                return Poll::Ready(());
            }
            self.recheck_at = Some(now + RECHECK_DELAY);
        }
    }

    /// Becomes ready at `due`. The timer alone would be up to a millisecond late, in which a trickle may bring bytes.
    fn poll_timer(&mut self, cx: &mut Context<'_>, due: Instant) -> Poll<()> {
        if due <= Instant::now() {
            return Poll::Ready(());
        }
        if self.timer.deadline() != due {
            self.timer.as_mut().reset(due);
        }
        self.timer.as_mut().poll(cx)
    }

    /// The instant of a time that the limit gives.
    fn instant(&self, time: Time) -> Instant {
        self.origin + Duration::from_nanos(time)
    }
}

/// The time from `origin` to `instant`, in nanoseconds; 0 if `instant` is earlier.
fn time_since(origin: Instant, instant: Instant) -> Time {
    Time::try_from(instant.saturating_duration_since(origin).as_nanos()).unwrap_or(Time::MAX)
}

#[cfg(test)]
mod tests;
