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
pub const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Bytes of an answered request that are read and dropped at most: more would be taken for work on it.
const MAX_DISCARDED_BYTES: u64 = 1 << 20;
/// Bytes of it that are read at a time.
const DISCARD_BUFFER_SIZE: usize = 8 << 10;

const REQUEST_TIMEOUT_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
const BAD_GATEWAY_RESPONSE: &[u8] =
    b"HTTP/1.1 502 Bad Gateway\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
const SERVICE_UNAVAILABLE_RESPONSE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 0.500\r\nContent-Length: 0\r\n\r\n";

/// Why a client connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// Its last answer is written, or the client has gone.
    Done,
    /// The client takes too long.
    Overdue,
    /// Its place is needed for another client.
    Evicted,
    /// The process ends.
    Shutdown,
    /// Its task has panicked.
    Panicked,
}

impl ClientConnection {
    /// Ends a connection: answers what is owed, ends the sending, and waits until the client has read that, unless its
    /// place is needed.
    pub async fn close(&self, reason: CloseReason, eviction: impl Future<Output = ()>) {
        let pending_response = lock(&self.framing).pending_response();
        if let Some(response) = closing_response(reason, pending_response) {
            timeout(LINGER_TIMEOUT, self.write_response(response)).await.ok();
        }
        if lock(&self.framing).reset_on_close || !self.would_reset_on_close() {
            return;
        }
        SockRef::from(&*self.tcp).shutdown(Shutdown::Write).ok(); // an error is an end as well
        let outstanding = lock(&self.framing).start_lingering().min(MAX_DISCARDED_BYTES);
        // What has come already is read in any case.
        let linger = if reason == CloseReason::Evicted { Duration::ZERO } else { LINGER_TIMEOUT };
        tokio::select! {
            biased;
            _ = timeout(linger, self.discard_until_closed(outstanding)) => {}
            () = eviction => {}
        }
    }

    /// Writes an answer beside the HTTP library, that has written none and will not.
    async fn write_response(&self, mut response: &[u8]) {
        while !response.is_empty() && self.tcp.writable().await.is_ok() {
            match self.tcp.try_write(response) {
                Ok(written) => response = &response[written..],
                Err(error) if is_retryable(error.kind()) => {}
                Err(_) => return, // a client that has just gone needs none
            }
        }
    }

    /// Whether a close would reset the connection, now or when the rest of the present request comes.
    fn would_reset_on_close(&self) -> bool {
        let is_closed_by_client = self.peek_length() == Some(0);
        let framing = lock(&self.framing);
        !is_closed_by_client && !framing.eof_received() && framing.outstanding() > 0
            || self.has_unread_bytes()
    }

    /// Bytes that the kernel holds, one at most: also those that the runtime has not heard of. `None` for no byte and
    /// no end.
    fn peek_length(&self) -> Option<usize> {
        match SockRef::from(&*self.tcp).peek(&mut [MaybeUninit::uninit()]) {
            Ok(length) => Some(length),
            Err(error) if error.raw_os_error() == Some(Errno::AGAIN.raw_os_error()) => None,
            Err(_) => Some(0),
        }
    }

    /// Whether the kernel holds bytes that were not read.
    pub fn has_unread_bytes(&self) -> bool {
        self.peek_length().is_some_and(|length| length > 0)
    }

    /// Reads what is left of the answered request, and waits for the client's end. What follows that request is left
    /// unread, so that its client knows that it was not taken.
    async fn discard_until_closed(&self, mut outstanding: u64) {
        let mut buffer = [0; DISCARD_BUFFER_SIZE];
        while outstanding > 0 && self.tcp.readable().await.is_ok() {
            let max_length = usize::try_from(outstanding).unwrap_or(usize::MAX).min(DISCARD_BUFFER_SIZE);
            match self.tcp.try_read(&mut buffer[..max_length]) {
                Ok(0) => return,
                Ok(length) => outstanding = outstanding.saturating_sub(length as u64),
                Err(error) if is_retryable(error.kind()) => {}
                Err(_) => return,
            }
        }
        self.tcp.ready(Interest::PRIORITY).await.ok(); // shows the client's end, whatever stands in front of it
    }
}

/// The answer that a connection gets before it ends, if it is owed one.
fn closing_response(reason: CloseReason, pending_response: PendingResponse) -> Option<&'static [u8]> {
    match (pending_response, reason) {
        (PendingResponse::Nothing, _) | (_, CloseReason::Done) => None,
        (PendingResponse::ForCompleteRequest, _) => Some(BAD_GATEWAY_RESPONSE), // it may have run
        (PendingResponse::ForPartialRequest, CloseReason::Overdue) => Some(REQUEST_TIMEOUT_RESPONSE),
        (PendingResponse::ForPartialRequest, _) => Some(SERVICE_UNAVAILABLE_RESPONSE),
    }
}

/// Whether the same call may do next time.
fn is_retryable(error: ErrorKind) -> bool {
    matches!(error, ErrorKind::WouldBlock | ErrorKind::Interrupted)
}
