//! The task that serves a client's connection, and its place among the others.

use crate::proxy::body::response_body::ResponseBody;
use crate::proxy::downstream::DownstreamServer;
use crate::proxy::downstream::client::ClientHandle;
use crate::proxy::downstream::closing::CloseReason;
use crate::proxy::downstream::connection::SingleRequestStream;
use crate::proxy::downstream::request_framing::{IdleState, MAX_HEAD_SIZE};
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

/// hyper's buffer for what a caller sends: beyond a head, it only makes bodies come in larger pieces.
pub const READ_BUFFER_SIZE: usize = 2 * MAX_HEAD_SIZE;

/// Serves one client connection, and removes it from the server's table on drop.
pub struct ClientTask {
    pub server: Arc<DownstreamServer>,
    pub client_id: u64,
    pub client: Arc<ClientHandle>,
}

impl Drop for ClientTask {
    fn drop(&mut self) {
        lock(&self.server.clients).remove(&self.client_id);
        self.server.client_closed.notify_one();
    }
}

impl ClientTask {
    /// Serves a connection to its end. A panic ends this connection alone, and not without an answer.
    pub async fn serve(self, stream: SingleRequestStream, graceful_shutdown: watch::Receiver<bool>) {
        let reason = catch_panic(self.serve_requests(stream, graceful_shutdown))
            .await
            .unwrap_or(CloseReason::Panicked);
        if reason == CloseReason::Panicked {
            crate::proxy::logging::log(format_args!("the task of a client's connection has panicked"));
        }
        self.client.connection.close(reason, self.client.evict.notified()).await;
    }

    /// Has requests answered until the connection is not to be served any longer.
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
        // How long a connection on which nothing has come is kept, once it is to be closed between requests.
        let mut silent_grace = None;
        let mut evicted = false;
        loop {
            if evicted
                && matches!(lock(&client_connection.framing).idle_state(), Some((IdleState::PartialHead, _)))
            {
                return CloseReason::Evicted;
            }
            if silent_grace.is_some_and(|grace| client_connection.can_close(grace)) {
                http_connection.as_mut().graceful_shutdown();
            }
            tokio::select! {
                biased; // a request that has come is read before its connection is closed between requests
                _ = http_connection.as_mut() => return CloseReason::Done,
                () = self.client.check_timeout.notified() => {
                    // What has come in this moment is read first.
                    let read_time = if client_connection.has_unread_bytes() { TIMEOUT_CHECK_INTERVAL / 10 } else { Duration::ZERO };
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
                () = async { drop(graceful_shutdown.wait_for(|started| *started).await) }, if silent_grace.is_none() => {
                    silent_grace = Some(NEW_CONNECTION_GRACE);
                }
                () = self.client.evict.notified() => {
                    (silent_grace, evicted) = (Some(Duration::ZERO), true);
                }
                () = sleep(TIMEOUT_CHECK_INTERVAL / 10), if silent_grace.is_some() => {}
            }
        }
    }

    pub async fn respond(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let has_known_class = self.server.class_of(&request).is_some();
        let mut response = match self.client.surplus {
            true => self.server.reject_surplus(&request),
            false => self.server.handle_request(request, &self.client.connection).await,
        };
        let mut framing = lock(&self.client.connection.framing);
        // One that has begun to come behind this one was read: it is answered before the connection ends.
        let closes_connection = self.closes_after_response() && !framing.has_pipelined_bytes();
        // What is left of a request that was answered early is not waited for.
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

    /// Whether the connection is to end with an answer.
    pub fn closes_after_response(&self) -> bool {
        let evicted = self.client.evicted.load(Ordering::Relaxed);
        self.client.surplus || evicted || self.server.draining.load(Ordering::Relaxed)
    }
}
