//! How a connection to a client ends: what is still owed on it is answered, and the close resets nothing that the
//! client has yet to read.

use crate::proxy::downstream::connection::ClientConnection;
use crate::proxy::downstream::request_framing::PendingResponse;
use crate::proxy::sync::lock;
use rustix::io::Errno;
use socket2::SockRef;
use std::io::ErrorKind;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::time::Duration;
use tokio::io::Interest;
use tokio::time::timeout;

/// How long a connection stays half open behind its last answer for the client to read that.
pub const LINGER: Duration = Duration::from_millis(500);
/// Bytes of an answered request that are read and dropped at most: more would be taken for work on it.
const MOST_DISCARDED: u64 = 1 << 20;
/// Bytes of it that are read at a time.
const DISCARD_BUFFER: usize = 8 << 10;

const REQUEST_TIMEOUT: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
const BAD_GATEWAY: &[u8] = b"HTTP/1.1 502 Bad Gateway\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
const SERVICE_UNAVAILABLE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 0.500\r\nContent-Length: 0\r\n\r\n";

/// Why a client connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// Its last answer is written, or the client has gone.
    Done,
    /// The client takes too long.
    Overdue,
    /// Its place is needed for another client.
    NoRoom,
    /// The process ends.
    Shutdown,
    /// Its task has panicked.
    Panicked,
}

impl ClientConnection {
    /// Ends a connection: answers what is owed, ends the sending, and waits until the client has read that, unless its
    /// place is needed.
    pub async fn close(&self, reason: CloseReason, place_needed: impl Future<Output = ()>) {
        let pending_response = lock(&self.framing).pending_response();
        if let Some(answer) = final_answer(reason, pending_response) {
            timeout(LINGER, self.write_whole(answer)).await.ok();
        }
        if lock(&self.framing).resets || !self.holds_unread() {
            return;
        }
        SockRef::from(&*self.tcp).shutdown(Shutdown::Write).ok(); // an error is an end as well
        let outstanding = lock(&self.framing).lingers().min(MOST_DISCARDED);
        // What has come already is read in any case.
        let linger = if reason == CloseReason::NoRoom { Duration::ZERO } else { LINGER };
        tokio::select! {
            biased;
            _ = timeout(linger, self.drained(outstanding)) => {}
            () = place_needed => {}
        }
    }

    /// Writes an answer beside the HTTP library, that has written none and will not.
    async fn write_whole(&self, mut answer: &[u8]) {
        while !answer.is_empty() && self.tcp.writable().await.is_ok() {
            match self.tcp.try_write(answer) {
                Ok(written) => answer = &answer[written..],
                Err(error) if is_passing(error.kind()) => {}
                Err(_) => return, // a client that has just gone needs none
            }
        }
    }

    /// Whether a close would reset the connection, now or when the rest of the present request comes.
    fn holds_unread(&self) -> bool {
        let gone = self.peeked() == Some(0);
        let framing = lock(&self.framing);
        !gone && !framing.ended() && framing.outstanding() > 0 || self.has_bytes()
    }

    /// Bytes that the kernel holds, one at most: also those that the runtime has not heard of. `None` for no byte and
    /// no end.
    fn peeked(&self) -> Option<usize> {
        match SockRef::from(&*self.tcp).peek(&mut [MaybeUninit::uninit()]) {
            Ok(bytes) => Some(bytes),
            Err(error) if error.raw_os_error() == Some(Errno::AGAIN.raw_os_error()) => None,
            Err(_) => Some(0),
        }
    }

    /// Whether the kernel holds bytes that were not read.
    pub fn has_bytes(&self) -> bool {
        self.peeked().is_some_and(|bytes| bytes > 0)
    }

    /// Reads what is left of the answered request, and waits for the client's end. What follows that request is left
    /// unread, so that its client knows that it was not taken.
    async fn drained(&self, mut outstanding: u64) {
        let mut buffer = [0; DISCARD_BUFFER];
        while outstanding > 0 && self.tcp.readable().await.is_ok() {
            let most = usize::try_from(outstanding).unwrap_or(usize::MAX).min(DISCARD_BUFFER);
            match self.tcp.try_read(&mut buffer[..most]) {
                Ok(0) => return,
                Ok(bytes) => outstanding = outstanding.saturating_sub(bytes as u64),
                Err(error) if is_passing(error.kind()) => {}
                Err(_) => return,
            }
        }
        self.tcp.ready(Interest::PRIORITY).await.ok(); // shows the client's end, whatever stands in front of it
    }
}

/// The answer that a connection gets before it ends, if it is owed one.
fn final_answer(reason: CloseReason, pending_response: PendingResponse) -> Option<&'static [u8]> {
    match (pending_response, reason) {
        (PendingResponse::NotOwed, _) | (_, CloseReason::Done) => None,
        (PendingResponse::ForCompleteRequest, _) => Some(BAD_GATEWAY), // it may have run
        (PendingResponse::ForPartialRequest, CloseReason::Overdue) => Some(REQUEST_TIMEOUT),
        (PendingResponse::ForPartialRequest, _) => Some(SERVICE_UNAVAILABLE),
    }
}

/// Whether the same call may do next time.
fn is_passing(error: ErrorKind) -> bool {
    matches!(error, ErrorKind::WouldBlock | ErrorKind::Interrupted)
}
