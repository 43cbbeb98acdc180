//! Connects to peers. Failures of the local machine or network are retried and not attributed to the peer.

use crate::proxy::sync::lock;
use crate::transient_errors::{Backoff, ErrorOrigin, error_origin};
use std::error::Error;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until, timeout_at};

/// Consecutive failed tries to connect after which the failure is considered persistent. If one try in three fails at
/// random, one connection in 729 reaches this count.
const PERSISTENT_FAILURE_COUNT: u32 = 6;

/// Why a connection could not be established.
#[derive(Debug)]
pub enum ConnectError {
    /// A failure that is attributed to the local machine or network, or a deadline that passed after a failure that may
    /// be local.
    Local(io::Error),
    /// A failure that is attributed to the peer: it refused the connection or is unreachable.
    Peer(io::Error),
    /// The peer did not accept the connection before the deadline, and no earlier try failed.
    TimedOut,
}

impl fmt::Display for ConnectError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Local(error) => write!(f, "cannot connect because of a local failure: {error}"),
            Self::Peer(error) => write!(f, "{error}"),
            Self::TimedOut => f.write_str("connecting timed out"),
        }
    }
}

impl Error for ConnectError {}

/// Remembers which peers were reached last, to tell an unreachable peer from a local network that is down.
#[derive(Default)]
pub struct Reachability(Mutex<LatestContacts>);

/// The last contact with any peer, and the last contact with a different one.
#[derive(Default)]
struct LatestContacts {
    latest: Option<(SocketAddr, Instant)>,
    /// The last contact with a peer other than the one in `latest`.
    latest_other: Option<(SocketAddr, Instant)>,
}

impl Reachability {
    /// Records that a peer was reached: it accepted a connection, or sent the head of a response.
    pub fn record_contact(&self, peer: SocketAddr) {
        let mut contacts = lock(&self.0);
        if contacts.latest.is_some_and(|(latest, _)| latest != peer) {
            contacts.latest_other = contacts.latest;
        }
        contacts.latest = Some((peer, Instant::now()));
    }

    /// Whether a peer other than `peer` was reached at or after `since`.
    fn other_peer_reached(&self, peer: SocketAddr, since: Instant) -> bool {
        let contacts = lock(&self.0);
        let mut contacts = [contacts.latest, contacts.latest_other].into_iter().flatten();
        contacts.any(|(other, at)| other != peer && at >= since)
    }
}

/// When connecting is given up.
pub struct ConnectDeadline<'a> {
    /// Applies until a try fails for a reason that may be local.
    pub end: Instant,
    /// Replaces `end` after such a failure, as the time lost by it is not the peer's.
    pub end_after_possible_local_failure: Instant,
    /// Set when a try to connect fails and this machine or its network may be the cause, even if later tries show that
    /// the peer is at fault.
    pub possible_local_failure: &'a AtomicBool,
}

/// Connects to a peer before the deadline. An error that is certainly the peer's fault is returned at once. All other
/// errors are or may be local, and are retried until the deadline, with increasing pauses.
///
/// Retries end early if the failure is persistent and other peers have been reached since the first failure, so that
/// another peer can be used. Errors of origin [`ErrorOrigin::LocalMachine`] are excepted, as they concern all peers.
///
/// If retries end with an error of origin [`ErrorOrigin::Ambiguous`], it is attributed to this peer if others have been
/// reached since the first failure. Otherwise, it is attributed to the local network, whose failures affect all peers.
pub async fn connect(
    peer: SocketAddr,
    connect_deadline: ConnectDeadline<'_>,
    reachability: &Reachability,
) -> Result<TcpStream, ConnectError> {
    let mut end = connect_deadline.end;
    let (mut backoff, mut failures) = (Backoff::default(), 0_u32);
    let (mut first_failure, mut last_error) = (None, None);
    loop {
        let ConnectFailure { origin, error } = match timeout_at(end, try_connect(peer)).await {
            Ok(Ok(tcp)) => {
                reachability.record_contact(peer);
                return Ok(tcp);
            }
            Ok(Err(failure)) => failure,
            // After a failure that may be local, the peer did not have all the time to accept, and is not at fault.
            Err(_) => return Err(last_error.map_or(ConnectError::TimedOut, ConnectError::Local)),
        };
        if origin == ErrorOrigin::Peer {
            return Err(ConnectError::Peer(error));
        }
        connect_deadline.possible_local_failure.store(true, Ordering::Relaxed);
        end = connect_deadline.end_after_possible_local_failure;
        failures += 1;
        let now = Instant::now();
        let next_try = now + backoff.pause();
        let others_reached = reachability.other_peer_reached(peer, *first_failure.get_or_insert(now));
        let should_stop_retrying =
            failures >= PERSISTENT_FAILURE_COUNT && others_reached && origin != ErrorOrigin::LocalMachine;
        if should_stop_retrying || next_try >= end {
            return Err(match origin {
                ErrorOrigin::Ambiguous if others_reached => ConnectError::Peer(error),
                _ => ConnectError::Local(error),
            });
        }
        last_error = Some(error);
        sleep_until(next_try).await;
    }
}

/// Why one try to connect failed.
struct ConnectFailure {
    origin: ErrorOrigin,
    error: io::Error,
}

/// Makes one try to connect.
async fn try_connect(peer: SocketAddr) -> Result<TcpStream, ConnectFailure> {
    let connect_failure = |error| ConnectFailure { origin: error_origin(&error), error };
    let tcp = TcpStream::connect(peer).await.map_err(connect_failure)?;
    // The peer cannot cause an error of this call.
    tcp.set_nodelay(true).map_err(|error| ConnectFailure { origin: ErrorOrigin::LocalMachine, error })?;
    Ok(tcp)
}
