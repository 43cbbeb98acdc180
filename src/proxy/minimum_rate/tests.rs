use super::*;
use std::future::poll_fn;
use tokio::time::sleep;

async fn is_too_slow(rate: &mut MinimumRate) -> bool {
    poll_fn(|cx| Poll::Ready(rate.poll_too_slow(cx).is_ready())).await
}

/// Guards an upstream whose caller takes nothing: only the time in which the upstream is waited for counts.
#[tokio::test]
async fn time_in_which_nothing_is_asked_for_does_not_count() {
    let mut rate = MinimumRate::new(Some(Instant::now()));
    for _ in 0..3 {
        sleep(FIRST_WINDOW + RECHECK_DELAY).await;
        assert!(!is_too_slow(&mut rate).await, "the wait has just begun");
        rate.received(1);
    }
}

/// Guards an answer whose bytes wait in the kernel while the process is held up.
#[tokio::test]
async fn a_window_that_ends_while_the_process_is_held_up_is_looked_at_again() {
    let mut rate = MinimumRate::new(Some(Instant::now()));
    assert!(!is_too_slow(&mut rate).await);
    std::thread::sleep(FIRST_WINDOW + 2 * RECHECK_DELAY); // no await: the runtime hears of nothing
    tokio::task::yield_now().await;
    assert!(!is_too_slow(&mut rate).await, "the bytes may be there");
    rate.received(1000);
    assert!(!is_too_slow(&mut rate).await);
}

/// A window starts no sooner than the request's time ends, and ends in time.
#[tokio::test]
async fn an_answer_that_stops_is_too_slow_soon_after_its_time() {
    let time_left = Duration::from_millis(100);
    let started = Instant::now();
    let mut rate = MinimumRate::new(Some(started + time_left));
    rate.received(100_000); // before the time is over
    poll_fn(|cx| rate.poll_too_slow(cx)).await;
    assert!(started.elapsed() >= time_left + FIRST_WINDOW + RECHECK_DELAY);
}
