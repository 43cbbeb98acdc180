//! The task that serves a client connection.

use crate::proxy::body::memory::MemoryPermit;
use crate::proxy::body::response_body::ResponseBody;
use crate::proxy::downstream::DownstreamServer;
use crate::proxy::downstream::client::ClientHandle;
use crate::proxy::downstream::closing::CloseReason;
use crate::proxy::downstream::connection::SingleRequestStream;
use crate::proxy::downstream::request_framing::MAX_HEAD_SIZE;
use crate::proxy::downstream::timing::{NEW_CONNECTION_GRACE, REQUEST_READ_TIMEOUT, TIMEOUT_CHECK_INTERVAL};
use crate::proxy::panic::catch_panic;
use crate::proxy::sync::lock;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::sleep;

/// Size of hyper's read buffer, in bytes. A request head needs at most half of it; the rest lets bodies be read in
/// larger pieces.
pub const READ_BUFFER_SIZE: usize = 2 * MAX_HEAD_SIZE;

/// Serves one client connection, and removes it from the server's table on drop.
pub struct ClientTask {
    /// The server that the connection belongs to.
    pub server: Arc<DownstreamServer>,
    /// The key of the connection in the server's table.
    pub client_id: u64,
    /// The connection.
    pub client: Arc<ClientHandle>,
    /// The memory reserved for the connection.
    pub _memory_permit: MemoryPermit,
}

impl Drop for ClientTask {
    fn drop(&mut self) {
        lock(&self.server.clients).remove(&self.client_id);
        self.server.client_closed.notify_one();
    }
}

impl ClientTask {
    /// Serves the connection and closes it. A panic closes only this connection, after a response if one is due.
    pub async fn serve(self, stream: SingleRequestStream, graceful_shutdown: watch::Receiver<bool>) {
        let reason = catch_panic(self.serve_requests(stream, graceful_shutdown))
            .await
            .unwrap_or(CloseReason::Panicked);
        match reason {
            CloseReason::Panicked => tracing::info!("the task that serves a client connection has panicked"),
            CloseReason::Done => {
                let is_evicted = self.client.is_evicted.load(Ordering::Relaxed);
                let is_draining = self.server.draining.load(Ordering::Relaxed);
                tracing::info!(client = self.client_id, is_evicted, is_draining, "client connection ended");
            }
            _ => tracing::info!(client = self.client_id, ?reason, "client connection closed"),
        }
        self.client.connection.close(reason, self.client.eviction_notify.notified()).await;
    }

    /// Serves requests until the connection is to be closed, and returns why.
    pub async fn serve_requests(
        &self,
        stream: SingleRequestStream,
        mut graceful_shutdown: watch::Receiver<bool>,
    ) -> CloseReason {
        let client_connection = &self.client.connection;
        let service =
            service_fn(async |request: Request<Incoming>| Ok::<_, Infallible>(self.respond(request).await));
        let http_connection = http1::Builder::new()
            .max_buf_size(READ_BUFFER_SIZE)
            .serve_connection(TokioIo::new(stream), service);
        let mut http_connection = std::pin::pin!(http_connection);
        // Set once the connection is to be closed between requests: how long the connection still stays open if nothing
        // was ever received on it.
        let mut silent_grace = None;
        let mut is_evicted = false;
        loop {
            if is_evicted && lock(&client_connection.framing).has_partial_request() {
                return CloseReason::Evicted;
            }
            if silent_grace.is_some_and(|grace| client_connection.can_close(grace)) {
                http_connection.as_mut().graceful_shutdown();
            }
            tokio::select! {
                biased; // a request that was received is read before the connection is closed between requests
                _ = http_connection.as_mut() => return CloseReason::Done,
                () = self.client.close_check_notify.notified() => {
                    // Bytes that were just received are read first.
                    let read_time =
                        if client_connection.has_unread_bytes() { TIMEOUT_CHECK_INTERVAL / 10 } else { Duration::ZERO };
                    tokio::select! {
                        biased;
                        _ = http_connection.as_mut() => return CloseReason::Done,
                        () = sleep(read_time) => {}
                    }
                    if self.server.shutting_down.load(Ordering::Relaxed) {
                        return CloseReason::Shutdown;
                    }
                    if lock(&client_connection.framing).is_overdue(REQUEST_READ_TIMEOUT) {
                        return CloseReason::Overdue;
                    }
                }
                () = async { drop(graceful_shutdown.wait_for(|started| *started).await) },
                    if silent_grace.is_none() =>
                {
                    silent_grace = Some(NEW_CONNECTION_GRACE);
                }
                () = self.client.eviction_notify.notified() => {
                    (silent_grace, is_evicted) = (Some(Duration::ZERO), true);
                }
                () = sleep(TIMEOUT_CHECK_INTERVAL / 10), if silent_grace.is_some() => {}
            }
        }
    }

    /// Responds to a request, and decides whether the connection is closed after the response.
    pub async fn respond(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let has_known_class = self.server.class_of(&request).is_some();
        let is_rejected = self.client.exceeds_limit && !self.server.make_room_for_request();
        let mut response = match is_rejected {
            true => self.server.reject_over_limit(&request),
            false => self.server.handle_request(request, &self.client.connection).await,
        };
        let mut framing = lock(&self.client.connection.framing);
        // If a part of the next request was already read, the connection is closed only after the response to that.
        let closes_connection = self.closes_after_response() && !framing.has_pipelined_bytes();
        // The response is sent before the request was received completely; the rest of it is not waited for.
        let is_early = response.body().is_fully_buffered() && framing.outstanding() > 0;
        if closes_connection || is_early || framing.must_be_last() || framing.has_both_lengths() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        framing.start_response();
        if response.body().is_fully_buffered() {
            framing.finish_response(has_known_class);
        }
        response
    }

    /// Whether the state of the client or of the server requires that the connection is closed after its next response.
    pub fn closes_after_response(&self) -> bool {
        let is_evicted = self.client.is_evicted.load(Ordering::Relaxed);
        self.client.exceeds_limit || is_evicted || self.server.draining.load(Ordering::Relaxed)
    }
}
