//! Confines a panic to one future, so that its task can still finish its remaining work.

use std::future::poll_fn;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::pin::pin;
use std::task::Poll;

/// Runs a future to completion and returns its output, or `None` if it panics.
pub async fn catch_panic<T>(future: impl Future<Output = T>) -> Option<T> {
    let mut future = pin!(future);
    poll_fn(|context| match catch_unwind(AssertUnwindSafe(|| future.as_mut().poll(context))) {
        Ok(Poll::Ready(value)) => Poll::Ready(Some(value)),
        Ok(Poll::Pending) => Poll::Pending,
        Err(_) => Poll::Ready(None),
    })
    .await
}
