use super::*;
use crate::proxy::body::MAX_BUFFERED_BODY;
use balancer::decision::FINAL_RESPONSE_DELAY;
use std::future::poll_fn;
use tokio::time::sleep;

/// Time past the deadline after which a short response ends.
const FIRST_WINDOW: Duration = Duration::from_nanos(FINAL_RESPONSE_DELAY);

/// Monitors a response with this deadline, received bytes and length, of an upstream without a history.
fn minimum_rate(deadline: Instant, received: u64, length: Option<u64>) -> MinimumRate {
    MinimumRate::new(Some(deadline), received, length, Arc::default())
}

async fn is_too_slow(rate: &mut MinimumRate) -> bool {
    poll_fn(|cx| Poll::Ready(rate.poll_too_slow(cx).is_ready())).await
}

/// Guards against aborting a response because its client reads slowly: only the time spent waiting for the upstream
/// counts.
#[tokio::test]
async fn time_in_which_the_client_reads_nothing_does_not_count() {
    let mut rate = minimum_rate(Instant::now(), 0, None);
    for _ in 0..3 {
        sleep(FIRST_WINDOW + RECHECK_DELAY).await;
        assert!(!is_too_slow(&mut rate).await, "the wait has just begun");
        rate.record_received(1);
    }
}

/// Guards against aborting a response whose bytes wait in the kernel while the process is stalled.
#[tokio::test]
async fn a_window_that_ends_while_the_process_is_stalled_is_rechecked() {
    let mut rate = minimum_rate(Instant::now(), 0, None);
    assert!(!is_too_slow(&mut rate).await);
    std::thread::sleep(FIRST_WINDOW + 2 * RECHECK_DELAY); // blocks the runtime, which processes no events meanwhile
    tokio::task::yield_now().await;
    assert!(!is_too_slow(&mut rate).await, "the bytes may be in the kernel");
    rate.record_received(10_000);
    assert!(!is_too_slow(&mut rate).await);
}

/// Guards against a window that starts before the deadline of the request or never ends.
#[tokio::test]
async fn a_response_that_stops_is_too_slow_soon_after_the_deadline() {
    let time_left = Duration::from_millis(100);
    let started = Instant::now();
    let mut rate = minimum_rate(started + time_left, 0, None);
    rate.record_received(MAX_BUFFERED_BODY); // before the deadline, and not yet a long response
    poll_fn(|cx| rate.poll_too_slow(cx)).await;
    assert!(started.elapsed() >= time_left + FIRST_WINDOW + RECHECK_DELAY);
}

/// Guards a long response, with or without a length, that pauses while the time of its request ends.
#[tokio::test]
async fn a_long_response_may_pause_at_the_deadline() {
    for (received, length) in [(70_000, None), (10, Some(70_000))] {
        let mut rate = minimum_rate(Instant::now(), 0, length);
        rate.record_received(received);
        let pause = FIRST_WINDOW + 4 * RECHECK_DELAY;
        let is_ended = tokio::time::timeout(pause, poll_fn(|cx| rate.poll_too_slow(cx))).await.is_ok();
        assert!(!is_ended, "{received} bytes of {length:?}");
    }
}
