//! A minimum rate for streamed responses, to detect a response that has stopped or is too slow.

use crate::proxy::body::MAX_BUFFERED_BODY;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::time::{Instant, Sleep, sleep_until};

/// Minimum rate of a response after the deadline of its request, in bytes per second. The slowest peers send 64 kB
/// per second. A sixty-fourth of that allows for pauses, and a response of a byte now and then stays far below it.
const MIN_RATE: u64 = 1000;
/// Length of the first window, which starts at the deadline of the request. Even with the recheck and a stall of the
/// process for 0.1 s, the window ends within 0.5 s after the deadline, as the client must get a final response by then.
const FIRST_WINDOW: Duration = Duration::from_millis(350);
/// Length of each later window: a long response may pause, but its rest must not be delayed for longer.
const LATER_WINDOW: Duration = Duration::from_secs(2);
/// Length of each window of a long response: what its upstream still gives is forwarded, however uneven it is.
const LONG_RESPONSE_WINDOW: Duration = IDLE_TIMEOUT;
/// Delay between the end of a window and the recheck of its bytes. After a stall of the process, the end of the window
/// is noticed before the bytes that were received meanwhile.
const RECHECK_DELAY: Duration = Duration::from_millis(20);
/// Maximum time without bytes of a response, or of a request that is streamed upstream. After that, the response or the
/// attempt is aborted, whatever the deadline.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Monitors the rate of one response. Only the time spent waiting for the upstream counts: while the client does not
/// read, nothing is read from the upstream.
pub struct MinimumRate {
    /// The window in which bytes are counted; `None` if the deadline of the request is not known.
    window: Option<Window>,
    /// Number of bytes of the response that were received so far.
    received: u64,
    /// Length of the response in bytes, if it is known.
    length: Option<u64>,
    /// Start of the wait for the next bytes that is in progress; `None` if no bytes are waited for.
    waiting_since: Option<Instant>,
    timer: Pin<Box<Sleep>>,
}

impl MinimumRate {
    /// Monitors the response to a request with this deadline. Of the response, `received` bytes have been received; its
    /// whole length is `length` bytes, if it is known.
    pub fn new(deadline: Option<Instant>, received: u64, length: Option<u64>) -> Self {
        let timer = Box::pin(sleep_until(Instant::now() + IDLE_TIMEOUT));
        let mut rate = Self { window: None, received, length, waiting_since: None, timer };
        rate.window = deadline.map(|deadline| rate.window_from(deadline, FIRST_WINDOW));
        rate
    }

    /// Whether the response is known to be too long to be buffered as a whole. Its client waits in time for its first bytes
    /// only; of any other response, it waits for the last one.
    fn is_long(&self) -> bool {
        self.length.unwrap_or(self.received) > MAX_BUFFERED_BODY as u64
    }

    /// A window from `start` on. `length` applies unless the response is long.
    fn window_from(&self, start: Instant, length: Duration) -> Window {
        Window::new(start, if self.is_long() { LONG_RESPONSE_WINDOW } else { length })
    }

    /// Records that `bytes` bytes of the response were received.
    pub fn record_received(&mut self, bytes: usize) {
        let now = Instant::now();
        self.received += bytes as u64;
        let waiting_since = self.waiting_since.take();
        let Some(window) = self.window.as_mut().filter(|window| window.start <= now) else { return };
        window.received += bytes as u64;
        if let Some(since) = waiting_since {
            window.waited += now - since.max(window.start);
        }
    }

    /// Becomes ready once the response is too slow. Must be polled whenever the next bytes of the response are
    /// waited for.
    pub fn poll_too_slow(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let since = *self.waiting_since.get_or_insert_with(Instant::now);
        let idle_end = since + IDLE_TIMEOUT;
        loop {
            let window_end = self.window.as_ref().map(|window| window.end(since));
            let due = window_end.map_or(idle_end, |end| end.min(idle_end));
            if self.timer.deadline() != due {
                self.timer.as_mut().reset(due);
            }
            ready!(self.timer.as_mut().poll(cx));
            // A response without a length may have become a long one within the window.
            let is_outdated = self
                .window
                .as_ref()
                .is_some_and(|window| window.length < LONG_RESPONSE_WINDOW && self.is_long());
            let next_window = self.window_from(Instant::now(), LATER_WINDOW);
            match &mut self.window {
                Some(window) if is_outdated => *window = next_window,
                Some(window) if due < idle_end => match window.evaluate() {
                    WindowResult::TooSlow => return Poll::Ready(()),
                    WindowResult::Recheck => window.extend(since, RECHECK_DELAY),
                    WindowResult::FastEnough => *window = next_window,
                },
                _ => return Poll::Ready(()),
            }
        }
    }
}

/// The result of the rate check at the end of a window.
enum WindowResult {
    /// Enough bytes were received; the next window starts.
    FastEnough,
    /// Too few bytes were received, and they are counted again after a short delay.
    Recheck,
    /// Too few bytes were received even after the recheck.
    TooSlow,
}

/// A time window in which a number of bytes must be received.
struct Window {
    start: Instant,
    /// Time spent waiting for the upstream after which the window ends.
    length: Duration,
    /// Minimum number of bytes that have to be received in the window.
    required: u64,
    /// Number of bytes received in the window so far.
    received: u64,
    /// Time spent waiting for the upstream in the window, up to the latest bytes.
    waited: Duration,
    /// Whether the window was extended for the recheck.
    rechecked: bool,
}

impl Window {
    fn new(start: Instant, length: Duration) -> Self {
        let required = MIN_RATE * length.as_millis() as u64 / 1000;
        Self { start, length, required, received: 0, waited: Duration::ZERO, rechecked: false }
    }

    /// When the window ends if no bytes are received from `waiting_since` on.
    fn end(&self, waiting_since: Instant) -> Instant {
        waiting_since.max(self.start) + self.length.saturating_sub(self.waited)
    }

    fn evaluate(&self) -> WindowResult {
        if self.received >= self.required {
            WindowResult::FastEnough
        } else if self.rechecked {
            WindowResult::TooSlow
        } else {
            WindowResult::Recheck
        }
    }

    /// Moves the end of the window to `delay` from now.
    fn extend(&mut self, waiting_since: Instant, delay: Duration) {
        self.rechecked = true;
        self.length = self.waited + waiting_since.max(self.start).elapsed() + delay;
    }
}

#[cfg(test)]
mod tests;
