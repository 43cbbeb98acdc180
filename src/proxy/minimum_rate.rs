//! A minimum rate for answers that are streamed: tells one that goes on from one that has stopped or drips.

use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::time::{Instant, Sleep, sleep_until};

/// Lowest rate, in bytes a second, of an answer that goes on once its request's time is over. The slowest peers that
/// are named make 64 kB a second; a sixty-fourth of that leaves room for pauses, and a byte now and then stays far
/// below it.
const MIN_RATE: u64 = 1000;
/// The first window, from the end of the request's time on. With the recheck and a hold-up of the process for 0.1 s
/// it ends within the half second in which a final answer is owed.
const FIRST_WINDOW: Duration = Duration::from_millis(350);
/// Each later window: a long answer may pause, but its rest must not be held back for longer.
const LATER_WINDOW: Duration = Duration::from_secs(2);
/// Wait before an answer is found too slow. A process that was held up finds the end of the window before the bytes
/// that have come meanwhile.
const RECHECK_DELAY: Duration = Duration::from_millis(20);
/// An answer, or a request that is passed on, is given up when nothing of it has come for so long, whatever time is
/// left.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Watches the rate of one answer. Only the time in which the upstream is waited for counts: while the caller takes
/// nothing, the upstream is not asked for more.
pub struct MinimumRate {
    /// The window that bytes are counted in; `None` where the end of the request's time is not known.
    window: Option<Window>,
    /// Since when the next piece is waited for.
    waiting_since: Option<Instant>,
    timer: Pin<Box<Sleep>>,
}

impl MinimumRate {
    /// Watches an answer whose request's time ends then.
    pub fn new(deadline: Option<Instant>) -> Self {
        let window = deadline.map(|deadline| Window::new(deadline, FIRST_WINDOW));
        Self { window, waiting_since: None, timer: Box::pin(sleep_until(Instant::now() + IDLE_TIMEOUT)) }
    }

    /// A piece of so many bytes has come.
    pub fn received(&mut self, bytes: usize) {
        let now = Instant::now();
        let waiting_since = self.waiting_since.take();
        let Some(window) = self.window.as_mut().filter(|window| window.start <= now) else { return };
        window.received += bytes as u64;
        if let Some(since) = waiting_since {
            window.waited += now - since.max(window.start);
        }
    }

    /// Ready once the answer is too slow. To be polled whenever its next piece is waited for.
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
            match &mut self.window {
                Some(window) if due < idle_end => match window.evaluate() {
                    WindowResult::TooSlow => return Poll::Ready(()),
                    WindowResult::Recheck => window.extend(since, RECHECK_DELAY),
                    WindowResult::FastEnough => *window = Window::new(Instant::now(), LATER_WINDOW),
                },
                _ => return Poll::Ready(()),
            }
        }
    }
}

/// What has become of an answer at the end of a window.
enum WindowResult {
    FastEnough,
    Recheck,
    TooSlow,
}

/// A stretch of time in which so many bytes have to come.
struct Window {
    start: Instant,
    /// How long the upstream is waited for in it.
    length: Duration,
    required: u64,
    received: u64,
    /// How long the upstream was waited for, up to the latest piece.
    waited: Duration,
    rechecked: bool,
}

impl Window {
    fn new(start: Instant, length: Duration) -> Self {
        let required = MIN_RATE * length.as_millis() as u64 / 1000;
        Self { start, length, required, received: 0, waited: Duration::ZERO, rechecked: false }
    }

    /// When it ends, if nothing more comes after this wait began.
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

    /// Lets it end so much later than now.
    fn extend(&mut self, waiting_since: Instant, delay: Duration) {
        self.rechecked = true;
        self.length = self.waited + waiting_since.max(self.start).elapsed() + delay;
    }
}

#[cfg(test)]
mod tests;
