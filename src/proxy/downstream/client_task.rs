//! The task that serves a client's connection, and its place among the others.

use crate::proxy::body::response_body::ResponseBody;
use crate::proxy::downstream::DownstreamServer;
use crate::proxy::downstream::client::ClientHandle;
use crate::proxy::downstream::closing::CloseReason;
use crate::proxy::downstream::connection::SingleRequestStream;
use crate::proxy::downstream::request_framing::{IdleState, MOST_HEAD};
use crate::proxy::downstream::timing::{LOOK_EVERY, NEWLY, PATIENCE};
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
pub const READ_BUFFER: usize = 2 * MOST_HEAD;

/// Serves one client connection, and removes it from the server's table on drop.
pub struct ClientTask {
    pub server: Arc<DownstreamServer>,
    pub number: u64,
    pub client: Arc<ClientHandle>,
}

impl Drop for ClientTask {
    fn drop(&mut self) {
        lock(&self.server.clients).remove(&self.number);
        self.server.left.notify_one();
    }
}

impl ClientTask {
    /// Serves a connection to its end. A panic ends this connection alone, and not without an answer.
    pub async fn serve(self, stream: SingleRequestStream, closing: watch::Receiver<bool>) {
        let reason = catch_panic(self.exchange(stream, closing)).await.unwrap_or(CloseReason::Panicked);
        if reason == CloseReason::Panicked {
            crate::proxy::logging::log(format_args!("the task of a client's connection has panicked"));
        }
        self.client.connection.close(reason, self.client.close.notified()).await;
    }

    /// Has requests answered until the connection is not to be served any longer.
    pub async fn exchange(
        &self,
        stream: SingleRequestStream,
        mut closing: watch::Receiver<bool>,
    ) -> CloseReason {
        let line = &self.client.connection;
        let service =
            service_fn(async |request: Request<Incoming>| Ok::<_, Infallible>(self.respond(request).await));
        let connection =
            http1::Builder::new().max_buf_size(READ_BUFFER).serve_connection(TokioIo::new(stream), service);
        let mut connection = std::pin::pin!(connection);
        // How long a connection on which nothing has come is kept, once it is to be closed between requests.
        let mut closes = None;
        let mut place_needed = false;
        loop {
            if place_needed && matches!(lock(&line.framing).idle(), Some((IdleState::PartialHead, _))) {
                return CloseReason::NoRoom;
            }
            if closes.is_some_and(|newly| line.may_close(newly)) {
                connection.as_mut().graceful_shutdown();
            }
            tokio::select! {
                biased; // a request that has come is read before its connection is closed between requests
                _ = connection.as_mut() => return CloseReason::Done,
                () = self.client.cut.notified() => {
                    // What has come in this moment is read first.
                    let turn = if line.has_bytes() { LOOK_EVERY / 10 } else { Duration::ZERO };
                    tokio::select! {
                        biased;
                        _ = connection.as_mut() => return CloseReason::Done,
                        () = sleep(turn) => {}
                    }
                    if self.server.ending.load(Ordering::Relaxed) {
                        return CloseReason::Shutdown;
                    }
                    if lock(&line.framing).overdue(PATIENCE) {
                        return CloseReason::Overdue;
                    }
                }
                () = async { drop(closing.wait_for(|close| *close).await) }, if closes.is_none() => {
                    closes = Some(NEWLY);
                }
                () = self.client.close.notified() => {
                    (closes, place_needed) = (Some(Duration::ZERO), true);
                }
                () = sleep(LOOK_EVERY / 10), if closes.is_some() => {}
            }
        }
    }

    pub async fn respond(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let is_call = self.server.class(&request).is_some();
        let mut reply = match self.client.surplus {
            true => self.server.refuse_surplus(&request),
            false => self.server.reply(request, &self.client.connection).await,
        };
        let mut framing = lock(&self.client.connection.framing);
        // One that has begun to come behind this one was read: it is answered before the connection ends.
        let closes = self.closes() && !framing.holds_more();
        // What is left of a request that was answered early is not waited for.
        let is_early = reply.body().is_fully_buffered() && framing.outstanding() > 0;
        if closes || is_early || framing.is_last() || framing.both_lengths() {
            reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        framing.responds();
        if reply.body().is_fully_buffered() {
            framing.answered(is_call);
        }
        reply
    }

    /// Whether the connection is to end with an answer.
    pub fn closes(&self) -> bool {
        let leaving = self.client.leaving.load(Ordering::Relaxed);
        self.client.surplus || leaving || self.server.leaving.load(Ordering::Relaxed)
    }
}
