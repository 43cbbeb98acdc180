//! Failures of system calls that pass: whose they are, and how long to wait before the next try.

use rustix::io::Errno;
use std::io;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// First pause after a failure, doubling with each up to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(2);
const LONGEST_PAUSE: Duration = Duration::from_millis(100);

/// Pause before a read or write that the machine had no memory for is made again.
pub const SHORTAGE_PAUSE: Duration = Duration::from_millis(5);

/// How long what the program cannot do without is tried.
const LASTING: Duration = Duration::from_secs(3);
/// Errors of files and addresses that may pass, beside those of the machine: a disk that does not answer, an address
/// that is just being set up.
const TRANSIENT: [Errno; 4] = [Errno::ADDRNOTAVAIL, Errno::IO, Errno::NETUNREACH, Errno::STALE];

/// Whose failure an error is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// The own machine lacks something, whatever the peer.
    Machine,
    /// The own machine has no way to this peer just now, or does not allow it: no port, route or permission.
    Route,
    /// The own network may be at fault, or the peer's.
    Unclear,
    /// The peer's.
    Peer,
}

/// Whose failure it is that a connection could not be made.
pub fn origin(error: &io::Error) -> Origin {
    match Errno::from_io_error(error) {
        // EAGAIN is a lack of local ports or of room in the routing cache; ENOSPC one of watches in epoll.
        Some(
            Errno::AGAIN
            | Errno::INTR
            | Errno::MFILE
            | Errno::NETDOWN
            | Errno::NFILE
            | Errno::NOBUFS
            | Errno::NOMEM
            | Errno::NOSPC,
        ) => Origin::Machine,
        Some(Errno::ACCESS | Errno::ADDRNOTAVAIL | Errno::NETUNREACH | Errno::PERM) => Origin::Route,
        Some(Errno::HOSTDOWN | Errno::HOSTUNREACH | Errno::TIMEDOUT) => Origin::Unclear,
        _ => Origin::Peer,
    }
}

/// Whether the machine is out of descriptors or of memory for sockets: closing some would help.
pub fn is_shortage(error: &io::Error) -> bool {
    let error = Errno::from_io_error(error);
    matches!(error, Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM))
}

/// Has the task polled again after a pause.
pub fn poll_later<T>(cx: &Context<'_>) -> Poll<T> {
    let waker = cx.waker().clone();
    tokio::spawn(async move {
        sleep(SHORTAGE_PAUSE).await;
        waker.wake();
    });
    Poll::Pending
}

/// The pauses between tries, each twice as long as the one before.
pub struct Backoff {
    next: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self { next: FIRST_PAUSE }
    }
}

impl Backoff {
    /// How long to wait after one more failure.
    pub fn pause(&mut self) -> Duration {
        let pause = self.next;
        self.next = (2 * pause).min(LONGEST_PAUSE);
        pause
    }
}

/// The tries that something gets before its failure is taken for lasting.
struct Tries {
    end: Instant,
    backoff: Backoff,
}

impl Tries {
    fn new() -> Self {
        Self { end: Instant::now() + LASTING, backoff: Backoff::default() }
    }

    /// How long to wait before the next one, if there is to be one.
    fn next_after(&mut self, error: &io::Error) -> Option<Duration> {
        (is_transient(error) && Instant::now() < self.end).then(|| self.backoff.pause())
    }
}

/// Whether what failed may be done a moment later, with nothing changed by anybody's hand.
fn is_transient(error: &io::Error) -> bool {
    origin(error) == Origin::Machine
        || Errno::from_io_error(error).is_some_and(|error| TRANSIENT.contains(&error))
}

/// Does something at the start, while nobody is served, until it is done or fails for good.
pub fn retry_blocking<T>(mut act: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let mut tries = Tries::new();
    loop {
        match act() {
            Ok(done) => return Ok(done),
            Err(error) => std::thread::sleep(tries.next_after(&error).ok_or(error)?),
        }
    }
}

/// Does something until it is done or fails for good, while others are served.
pub async fn retry<T>(mut act: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let mut tries = Tries::new();
    loop {
        match act() {
            Ok(done) => return Ok(done),
            Err(error) => sleep(tries.next_after(&error).ok_or(error)?).await,
        }
    }
}
