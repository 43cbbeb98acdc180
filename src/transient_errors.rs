//! Transient failures of system calls: which side caused them, and how long to wait before a retry.

use rustix::io::Errno;
use std::io;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Pause after the first failure. It doubles with each further failure, up to `MAX_PAUSE`.
const FIRST_PAUSE: Duration = Duration::from_millis(2);
/// Longest pause between two tries.
const MAX_PAUSE: Duration = Duration::from_millis(100);

/// Pause before retrying a read or write that failed for lack of memory or descriptors.
pub const SHORTAGE_PAUSE: Duration = Duration::from_millis(5);

/// How long an operation that the program cannot do without is retried.
const RETRY_TIMEOUT: Duration = Duration::from_secs(3);
/// Errors of files and addresses that may be transient, such as a disk that does not respond or an address that is
/// still being configured. Errors of the local machine are transient as well.
const TRANSIENT_ERRORS: [Errno; 4] = [Errno::ADDRNOTAVAIL, Errno::IO, Errno::NETUNREACH, Errno::STALE];

/// Which side caused a connect error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorOrigin {
    /// The local machine lacks a resource, whichever the peer.
    LocalMachine,
    /// The local machine cannot reach this peer's address at present: it has no port, route or permission.
    Route,
    /// Either the local network or the peer is at fault.
    Ambiguous,
    /// The peer is at fault.
    Peer,
}

/// Determines which side caused a connect error.
pub fn error_origin(error: &io::Error) -> ErrorOrigin {
    match Errno::from_io_error(error) {
        // EAGAIN: no free local port or routing cache entry. ENOSPC: the limit of epoll watches is reached.
        Some(
            Errno::AGAIN
            | Errno::INTR
            | Errno::MFILE
            | Errno::NETDOWN
            | Errno::NFILE
            | Errno::NOBUFS
            | Errno::NOMEM
            | Errno::NOSPC,
        ) => ErrorOrigin::LocalMachine,
        Some(Errno::ACCESS | Errno::ADDRNOTAVAIL | Errno::NETUNREACH | Errno::PERM) => ErrorOrigin::Route,
        Some(Errno::HOSTDOWN | Errno::HOSTUNREACH | Errno::TIMEDOUT) => ErrorOrigin::Ambiguous,
        _ => ErrorOrigin::Peer,
    }
}

/// Whether the machine is out of file descriptors or socket memory. Closing connections frees both.
pub fn is_shortage(error: &io::Error) -> bool {
    let error = Errno::from_io_error(error);
    matches!(error, Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM))
}

/// Returns `Pending` and wakes the task after `SHORTAGE_PAUSE`.
pub fn poll_later<T>(cx: &Context<'_>) -> Poll<T> {
    let waker = cx.waker().clone();
    tokio::spawn(async move {
        sleep(SHORTAGE_PAUSE).await;
        waker.wake();
    });
    Poll::Pending
}

/// Exponential backoff between tries: each pause is twice as long as the previous one, up to `MAX_PAUSE`.
pub struct Backoff {
    next_pause: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self { next_pause: FIRST_PAUSE }
    }
}

impl Backoff {
    /// Returns how long to wait after a further failure.
    pub fn pause(&mut self) -> Duration {
        let pause = self.next_pause;
        self.next_pause = (2 * pause).min(MAX_PAUSE);
        pause
    }
}

/// Limits how long a failing operation is retried.
struct RetryLimit {
    end: Instant,
    backoff: Backoff,
}

impl RetryLimit {
    fn new() -> Self {
        Self { end: Instant::now() + RETRY_TIMEOUT, backoff: Backoff::default() }
    }

    /// Returns how long to wait before the next try, or `None` if the error is permanent or `RETRY_TIMEOUT` is over.
    fn pause_after(&mut self, error: &io::Error) -> Option<Duration> {
        (is_transient(error) && Instant::now() < self.end).then(|| self.backoff.pause())
    }
}

/// Whether the failed operation may succeed a moment later without intervention.
fn is_transient(error: &io::Error) -> bool {
    error_origin(error) == ErrorOrigin::LocalMachine
        || Errno::from_io_error(error).is_some_and(|error| TRANSIENT_ERRORS.contains(&error))
}

/// Retries an operation until it succeeds, fails permanently or the retry timeout is over. Blocks the thread: for use
/// during startup, before any request is served.
pub fn retry_blocking<T>(mut operation: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let mut retry_limit = RetryLimit::new();
    loop {
        match operation() {
            Ok(value) => return Ok(value),
            Err(error) => std::thread::sleep(retry_limit.pause_after(&error).ok_or(error)?),
        }
    }
}

/// Retries an operation until it succeeds, fails permanently or the retry timeout is over, without blocking the thread.
pub async fn retry<T>(mut operation: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let mut retry_limit = RetryLimit::new();
    loop {
        match operation() {
            Ok(value) => return Ok(value),
            Err(error) => sleep(retry_limit.pause_after(&error).ok_or(error)?).await,
        }
    }
}
