//! Draining before the process exits: the backlog and the last responses.

use crate::proxy::downstream::DownstreamServer;
use crate::proxy::downstream::closing::LINGER_TIMEOUT;
use crate::proxy::downstream::timing::TIMEOUT_CHECK_INTERVAL;
use crate::proxy::sync::lock;
use crate::transient_errors::Backoff;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Time without a new connection after which the backlog counts as empty.
pub const BACKLOG_EMPTY_TIMEOUT: Duration = Duration::from_millis(10);

/// Maximum number of connections in a listener's backlog.
pub const MAX_BACKLOG: usize = 4096;

/// Margin for the last responses. Together with the longest deadline or the request read timeout, whichever is longer,
/// this is the time that responses may take after the last connection was accepted.
pub const FINAL_RESPONSE_MARGIN: Duration = Duration::from_millis(60);

impl DownstreamServer {
    /// Has all open requests answered before the process exits. A request that is dropped with its task would get no
    /// response.
    pub async fn shut_down(&self) {
        self.shutting_down.store(true, Ordering::Relaxed);
        lock(&self.clients).values().for_each(|client| client.close_check_notify.notify_one());
        timeout(TIMEOUT_CHECK_INTERVAL + LINGER_TIMEOUT, self.wait_for_all_closed()).await.ok();
    }

    /// Accepts the connections in the backlog, and closes the listener. Connections that arrive meanwhile cannot be
    /// distinguished from those and are accepted, too, but in all no more than a backlog holds.
    pub async fn accept_backlog(
        self: Arc<Self>,
        listener: TcpListener,
        graceful_shutdown: watch::Receiver<bool>,
    ) {
        let mut backoff = Backoff::default();
        for _ in 0..MAX_BACKLOG {
            self.wait_for_capacity().await;
            match timeout(BACKLOG_EMPTY_TIMEOUT, listener.accept()).await {
                Ok(Ok((tcp, _))) => {
                    backoff = Backoff::default();
                    self.accept_client(tcp, &graceful_shutdown);
                }
                // Other connections still wait in the backlog, and closing the listener would reset them.
                Ok(Err(error)) => {
                    tracing::info!("cannot take a client connection from the backlog: {error}");
                    sleep(backoff.pause()).await;
                }
                Err(_) => return,
            }
        }
    }

    /// Waits until all client connections are closed.
    pub async fn wait_for_all_closed(&self) {
        while self.client_count() > 0 {
            self.client_closed.notified().await;
        }
    }

    /// Waits until no response is being streamed. Their ends are not bounded by deadlines. Upstreams and clients that
    /// hold them up are timed out.
    pub async fn wait_for_streamed_responses(&self) {
        while self.is_streaming_any_response() {
            self.client_closed.notified().await;
        }
    }

    /// Whether a response is being streamed to any client.
    fn is_streaming_any_response(&self) -> bool {
        lock(&self.clients).values().any(|client| lock(&client.connection.framing).is_streaming_response())
    }
}
