//! Closing a client connection: sends the response that is still due, and avoids a reset that would discard data
//! before the client has read it.

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

/// How long a connection stays half-closed after the last response, so that the client can read the response. Before
/// that, the same limit applies to writing a response that is still due.
pub const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum bytes of an answered request that are read and dropped. To read more would suggest that the request is
/// still being processed.
const MAX_DISCARDED_BYTES: u64 = 1 << 20;
/// Size of the buffer for reading the rest of an answered request, in bytes.
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
    /// hyper has ended the connection: the last response is written, or the client has disconnected.
    Done,
    /// The client takes too long to send its request or to read its response.
    Overdue,
    /// The slot is needed for another client.
    Evicted,
    /// The process is shutting down.
    Shutdown,
    /// The task that serves the connection has panicked.
    Panicked,
}

impl ClientConnection {
    /// Closes the connection: sends the response that is still due, shuts down the sending side, and lingers for a
    /// limited time until the client has closed its side, too. The linger ends early on eviction, as the slot is needed
    /// for another client then.
    pub async fn close(&self, reason: CloseReason, eviction: impl Future<Output = ()>) {
        let pending_response = lock(&self.framing).pending_response();
        if let Some(response) = closing_response(reason, pending_response) {
            timeout(LINGER_TIMEOUT, self.write_response(response)).await.ok();
        }
        if lock(&self.framing).reset_requested || !self.would_lose_response() {
            return;
        }
        SockRef::from(&*self.tcp).shutdown(Shutdown::Write).ok(); // an error also ends the connection
        let outstanding = lock(&self.framing).start_lingering().min(MAX_DISCARDED_BYTES);
        // Bytes that were already received are read even without a linger.
        let linger = if reason == CloseReason::Evicted { Duration::ZERO } else { LINGER_TIMEOUT };
        tokio::select! {
            biased;
            _ = timeout(linger, self.discard_until_closed(outstanding)) => {}
            () = eviction => {}
        }
    }

    /// Writes a response to the socket directly. hyper has not written one, and no longer serves the connection.
    async fn write_response(&self, mut response: &[u8]) {
        while !response.is_empty() && self.tcp.writable().await.is_ok() {
            match self.tcp.try_write(response) {
                Ok(written) => response = &response[written..],
                Err(error) if is_retryable(error.kind()) => {}
                Err(_) => return, // a client that has disconnected needs no response
            }
        }
    }

    /// Whether closing the socket would reset the connection, so that the client might lose the response: because the
    /// kernel has unread bytes, or because the rest of the current request may still arrive.
    fn would_lose_response(&self) -> bool {
        let is_closed_by_client = self.peek_one_byte() == Some(0);
        let framing = lock(&self.framing);
        !is_closed_by_client && !framing.eof_received() && framing.outstanding() > 0
            || self.has_unread_bytes()
    }

    /// Peeks one byte from the kernel, which may have bytes that the runtime has not been notified of. Returns
    /// `Some(1)` if there is a byte, `Some(0)` after the client's FIN or an error, and `None` if there is nothing to
    /// read.
    fn peek_one_byte(&self) -> Option<usize> {
        match SockRef::from(&*self.tcp).peek(&mut [MaybeUninit::uninit()]) {
            Ok(length) => Some(length),
            Err(error) if error.raw_os_error() == Some(Errno::AGAIN.raw_os_error()) => None,
            Err(_) => Some(0),
        }
    }

    /// Whether the kernel has unread bytes.
    pub fn has_unread_bytes(&self) -> bool {
        self.peek_one_byte().is_some_and(|length| length > 0)
    }

    /// Reads the rest of the answered request and waits for the client's FIN. Pipelined bytes behind that request are
    /// left unread, so that the reset tells the client that they were not processed.
    async fn discard_until_closed(&self, mut outstanding: u64) {
        while outstanding > 0 && self.tcp.readable().await.is_ok() {
            // Not kept across the wait, as each connection's task would be larger by its size.
            let mut buffer = [0; DISCARD_BUFFER_SIZE];
            let max_length = usize::try_from(outstanding).unwrap_or(usize::MAX).min(DISCARD_BUFFER_SIZE);
            match self.tcp.try_read(&mut buffer[..max_length]) {
                Ok(0) => return,
                Ok(length) => outstanding = outstanding.saturating_sub(length as u64),
                Err(error) if is_retryable(error.kind()) => {}
                Err(_) => return,
            }
        }
        self.tcp.ready(Interest::PRIORITY).await.ok(); // reports the client's FIN even behind unread bytes
    }
}

/// The response that is sent before the connection is closed, if one is due.
fn closing_response(reason: CloseReason, pending_response: PendingResponse) -> Option<&'static [u8]> {
    match (pending_response, reason) {
        (PendingResponse::Nothing, _) | (_, CloseReason::Done) => None,
        (PendingResponse::ForCompleteRequest, _) => Some(BAD_GATEWAY_RESPONSE), // the request may have taken effect
        (PendingResponse::ForPartialRequest, CloseReason::Overdue) => Some(REQUEST_TIMEOUT_RESPONSE),
        (PendingResponse::ForPartialRequest, _) => Some(SERVICE_UNAVAILABLE_RESPONSE),
    }
}

/// Whether a failed read or write can be retried.
fn is_retryable(error: ErrorKind) -> bool {
    matches!(error, ErrorKind::WouldBlock | ErrorKind::Interrupted)
}
