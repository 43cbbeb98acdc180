//! Serves clients until a stop signal, and then until all requests are answered.

use crate::proxy::downstream::DownstreamServer;
use crate::proxy::downstream::draining::{BACKLOG_EMPTY_TIMEOUT, FINAL_RESPONSE_MARGIN, longest_deadline};
use crate::proxy::downstream::timing::{REQUEST_READ_TIMEOUT, TIMEOUT_CHECK_INTERVAL};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

impl DownstreamServer {
    /// Serves until a stop is requested and for the drain time after that. Returns when all requests are answered.
    pub async fn run(self, listener: TcpListener, mut stop_receiver: watch::Receiver<bool>) {
        let server = Arc::new(self);
        let timeout_checks = tokio::spawn(server.clone().run_timeout_checks());
        let (graceful_shutdown_sender, graceful_shutdown) = watch::channel(false);
        let shares_listener = server.config.listen_fd.is_some();
        let stop_accepting = async {
            stop_receiver.wait_for(|stop_requested| *stop_requested).await.ok();
            if !shares_listener {
                sleep(server.drain_time()).await;
            }
        };
        tokio::select! {
            () = server.accept_clients(&listener, &graceful_shutdown) => {}
            () = stop_accepting => {}
        }
        let mut backlog_task = None;
        if shares_listener {
            // The next process accepts the connections in the backlog. The connected clients may be sending right now.
            // Each of them is moved to the next process by closing its connection after the next response.
            drop(listener);
            server.draining.store(true, Ordering::Relaxed);
            timeout(server.drain_time(), server.wait_for_all_closed()).await.ok();
        } else {
            // Connections in the backlog count as accepted, and closing the listener would reset them.
            let accept_task =
                backlog_task.insert(tokio::spawn(server.clone().accept_backlog(listener, graceful_shutdown)));
            timeout(10 * BACKLOG_EMPTY_TIMEOUT, accept_task).await.ok();
        }
        server.draining.store(true, Ordering::Relaxed);
        graceful_shutdown_sender.send_replace(true);
        // Connections that were just accepted still get time to send a request.
        timeout(10 * BACKLOG_EMPTY_TIMEOUT, server.wait_for_all_closed()).await.ok();
        server.rejecting.store(true, Ordering::Relaxed);
        // If the process was stalled, the backlog may not be empty yet. Its clients get a rejection instead of a reset.
        let all_answered = async {
            if let Some(accept_task) = backlog_task.as_mut().filter(|accept_task| !accept_task.is_finished())
            {
                accept_task.await.ok();
            }
            server.wait_for_all_closed().await;
        };
        let max_deadline = Duration::from_nanos(longest_deadline(&server.config.settings));
        timeout(
            max_deadline.max(REQUEST_READ_TIMEOUT + TIMEOUT_CHECK_INTERVAL) + FINAL_RESPONSE_MARGIN,
            all_answered,
        )
        .await
        .ok();
        backlog_task.inspect(JoinHandle::abort);
        timeout_checks.abort();
        server.shut_down().await;
    }
}
