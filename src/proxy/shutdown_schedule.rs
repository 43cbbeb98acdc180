//! The times of a shutdown, counted from the stop signal: until when requests are served, and which responses may last
//! longer than the process.
//!
//! The platform kills the process at some time after the stop signal. A response that is still being sent at that moment
//! is cut off. The time at which a buffered response ends is bounded by the deadline of its request. A streamed response
//! has no such bound: it goes on for as long as the upstream sends. Responses are therefore streamed only for requests
//! that were received so early that the platform allows their responses to be cut off. Later requests get buffered
//! responses only, and none at all once such a response might come too late, or where many responses are long.

use balancer::decision::Settings;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// The platform kills the process no sooner than the longest deadline and this time after the stop signal. A request
/// that is received within this time may still be open then.
const KILL_GRACE: Duration = Duration::from_millis(700);
/// The longest deadline that the platform waits for before it kills the process.
const MAX_KILL_DEADLINE: Duration = Duration::from_secs(3);
/// Maximum time between the stop signal and the moment at which this process notices it.
const MAX_SIGNAL_DELAY: Duration = Duration::from_millis(150);
/// Time left between the last responses and the kill.
const KILL_MARGIN: Duration = Duration::from_millis(200);
/// Time between closing the connections that are between requests and rejecting all requests. Requests that are on
/// their way when connections are closed are still served.
const CLOSE_TO_REJECT: Duration = Duration::from_millis(100);

/// Maximum share of long responses with which late requests are served. Those that get a long response fail, while after
/// a close their clients may reach another balancer.
const MAX_LONG_RESPONSE_SHARE: f64 = 0.01;

/// Shows whether a stop was requested, and the schedule of the shutdown from then on.
pub type ShutdownReceiver = watch::Receiver<Option<ShutdownSchedule>>;

/// The times of a shutdown.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownSchedule {
    /// Responses are streamed only for requests that were received completely before this time.
    pub streaming_until: Instant,
    /// From this time on, no connections are accepted, and connections between requests are closed.
    pub close_at: Instant,
    /// Requests that were not received completely by this time are rejected.
    pub reject_at: Instant,
}

impl ShutdownSchedule {
    /// The schedule of a shutdown whose stop signal was noticed at this time, by a process with this share of long
    /// responses.
    pub fn new(settings: &Settings, long_response_share: f64, noticed_at: Instant) -> Self {
        let streaming_time = KILL_GRACE - MAX_SIGNAL_DELAY;
        let serving_time = if long_response_share > MAX_LONG_RESPONSE_SHARE {
            streaming_time
        } else {
            buffered_response_time(settings).max(streaming_time)
        };
        Self {
            streaming_until: noticed_at + streaming_time,
            close_at: noticed_at + serving_time - CLOSE_TO_REJECT,
            reject_at: noticed_at + serving_time,
        }
    }
}

/// How long after the stop signal a buffered response to a new request still comes before the kill.
fn buffered_response_time(settings: &Settings) -> Duration {
    let kill_delay = longest_deadline(settings).min(MAX_KILL_DEADLINE) + KILL_GRACE;
    let max_response_time = Duration::from_nanos(settings.longest_wait());
    kill_delay.saturating_sub(max_response_time + KILL_MARGIN)
}

/// The longest deadline of all classes.
pub fn longest_deadline(settings: &Settings) -> Duration {
    let longest = settings.classes.iter().map(|class| class.deadline).max();
    Duration::from_nanos(longest.unwrap_or(0))
}

/// Waits until a stop is requested, and returns the schedule of the shutdown. Never returns if the sender is dropped
/// before that.
pub async fn wait_for_shutdown(mut shutdown: ShutdownReceiver) -> ShutdownSchedule {
    let schedule = shutdown.wait_for(Option::is_some).await.ok().and_then(|schedule| *schedule);
    match schedule {
        Some(schedule) => schedule,
        None => std::future::pending().await,
    }
}

/// Tells whether the response to a request may be streamed.
pub struct StreamingCondition {
    /// When the request was received completely; `None` while it is still being received.
    pub received_at: watch::Receiver<Option<Instant>>,
    pub shutdown: ShutdownReceiver,
}

impl StreamingCondition {
    /// Whether a response that starts now may be streamed.
    pub fn holds(&self) -> bool {
        let received_at = *self.received_at.borrow();
        let Some(schedule) = *self.shutdown.borrow() else { return true };
        received_at.is_some_and(|received_at| received_at < schedule.streaming_until)
    }
}

#[cfg(test)]
mod tests;
