//! Keeps a panic within one future, so that its task can still do what it owes.

use std::future::poll_fn;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::pin::pin;
use std::task::Poll;

/// Runs a future to its end, or to its panic: `None`.
pub async fn catch_panic<T>(future: impl Future<Output = T>) -> Option<T> {
    let mut future = pin!(future);
    poll_fn(|context| match catch_unwind(AssertUnwindSafe(|| future.as_mut().poll(context))) {
        Ok(Poll::Ready(value)) => Poll::Ready(Some(value)),
        Ok(Poll::Pending) => Poll::Pending,
        Err(_) => Poll::Ready(None),
    })
    .await
}
