//! Connections to peers. What the own machine fails in is tried again and not held against the peer.

use crate::proxy::sync::lock;
use crate::transient_errors::{Backoff, Origin, origin};
use std::error::Error;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until, timeout_at};

/// Tries in a row after which an error that may be the peer's is no failure of the moment. With one try in three
/// failing alike, one connection in 729 gets so far.
const LASTING: u32 = 6;

/// Why a connection did not come up.
#[derive(Debug)]
pub enum ConnectError {
    /// The own machine's failure: it says nothing of the peer.
    Local(io::Error),
    /// The peer refused it, or is out of reach.
    Peer(io::Error),
    /// Nothing came of it in time.
    TimedOut,
}

impl fmt::Display for ConnectError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Local(error) => write!(f, "no connection could be made here: {error}"),
            Self::Peer(error) => write!(f, "{error}"),
            Self::TimedOut => f.write_str("no connection in time"),
        }
    }
}

impl Error for ConnectError {}

/// Which peers were heard of last. It tells a peer that is out of reach from a network that is down here.
#[derive(Default)]
pub struct Reachability(Mutex<Latest>);

#[derive(Default)]
struct Latest {
    latest: Option<(SocketAddr, Instant)>,
    /// The latest of all other peers.
    other: Option<(SocketAddr, Instant)>,
}

impl Reachability {
    /// Notes that a peer has let itself be heard: a connection came up, or an answer.
    pub fn heard(&self, peer: SocketAddr) {
        let mut heard = lock(&self.0);
        if heard.latest.is_some_and(|(latest, _)| latest != peer) {
            heard.other = heard.latest;
        }
        heard.latest = Some((peer, Instant::now()));
    }

    /// Whether a peer other than this one was heard of since then.
    fn others_heard(&self, peer: SocketAddr, since: Instant) -> bool {
        let heard = lock(&self.0);
        let mut heard = [heard.latest, heard.other].into_iter().flatten();
        heard.any(|(other, at)| other != peer && at >= since)
    }
}

/// When an attempt to connect is given up.
pub struct ConnectDeadline<'a> {
    /// When it is given up.
    pub end: Instant,
    /// The same if the own machine has failed in it meanwhile: that is not a matter of the peer's time.
    pub end_after_local_failure: Instant,
    /// Is set where that is so.
    pub local_failure: &'a AtomicBool,
}

/// Connects in time. Failures of the own machine are retried until then, after pauses that grow. One that has to do
/// with this peer's address is given up sooner if it lasts while others are heard of: another peer may do. So is one
/// that may be the peer's, and then it is taken to be: an error that many peers share is the own network's, and where
/// all of them fail, none is at fault.
pub async fn connect(
    peer: SocketAddr,
    connect_deadline: ConnectDeadline<'_>,
    reachability: &Reachability,
) -> Result<TcpStream, ConnectError> {
    let mut end = connect_deadline.end;
    let (mut backoff, mut failures) = (Backoff::default(), 0_u32);
    let (mut since, mut latest) = (None, None);
    loop {
        let Failure { origin, error } = match timeout_at(end, open(peer)).await {
            Ok(Ok(tcp)) => {
                reachability.heard(peer);
                return Ok(tcp);
            }
            Ok(Err(failure)) => failure,
            // A peer that was not asked for all of its time has not failed.
            Err(_) => return Err(latest.map_or(ConnectError::TimedOut, ConnectError::Local)),
        };
        if origin == Origin::Peer {
            return Err(ConnectError::Peer(error));
        }
        connect_deadline.local_failure.store(true, Ordering::Relaxed);
        end = connect_deadline.end_after_local_failure;
        failures += 1;
        let now = Instant::now();
        let next = now + backoff.pause();
        let is_alone = reachability.others_heard(peer, *since.get_or_insert(now));
        let is_lasting = failures >= LASTING && is_alone && origin != Origin::Machine;
        if is_lasting || next >= end {
            return Err(match origin {
                Origin::Unclear if is_alone => ConnectError::Peer(error),
                _ => ConnectError::Local(error),
            });
        }
        latest = Some(error);
        sleep_until(next).await;
    }
}

/// Why one try failed.
struct Failure {
    origin: Origin,
    error: io::Error,
}

async fn open(peer: SocketAddr) -> Result<TcpStream, Failure> {
    let failed = |error| Failure { origin: origin(&error), error };
    let tcp = TcpStream::connect(peer).await.map_err(failed)?;
    // Whatever the error is, the peer has no part in it.
    tcp.set_nodelay(true).map_err(|error| Failure { origin: Origin::Machine, error })?;
    Ok(tcp)
}
