//! Serves clients until a stop signal, and then until all requests are answered.

use crate::proxy::downstream::DownstreamServer;
use crate::proxy::downstream::draining::{BACKLOG_EMPTY_TIMEOUT, FINAL_RESPONSE_MARGIN};
use crate::proxy::downstream::timing::{REQUEST_READ_TIMEOUT, TIMEOUT_CHECK_INTERVAL};
use crate::proxy::shutdown_schedule::{ShutdownSchedule, longest_deadline, wait_for_shutdown};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until, timeout, timeout_at};

impl DownstreamServer {
    /// Serves until a stop is requested, and then by the schedule of the shutdown. Returns when all requests are
    /// answered.
    pub async fn run(self, listener: TcpListener) {
        let server = Arc::new(self);
        let timeout_checks = tokio::spawn(server.clone().run_timeout_checks());
        let memory_relief = tokio::spawn(server.clone().relieve_memory_shortages());
        let (graceful_shutdown_sender, graceful_shutdown) = watch::channel(false);
        let shares_listener = server.config.listen_fd.is_some();
        let stop_accepting = async {
            let schedule = wait_for_shutdown(server.shutdown.clone()).await;
            if !shares_listener {
                sleep_until(schedule.close_at).await;
            }
            schedule
        };
        let schedule = tokio::select! {
            never = server.accept_clients(&listener, &graceful_shutdown) => match never {},
            schedule = stop_accepting => schedule,
        };
        let mut backlog_task = None;
        if shares_listener {
            // The next process accepts the connections in the backlog. The connected clients may be sending right now.
            // Each of them is moved to the next process by closing its connection after the next response.
            drop(listener);
            server.draining.store(true, Ordering::Relaxed);
            timeout_at(schedule.close_at, server.wait_for_all_closed()).await.ok();
        } else {
            // Connections in the backlog count as accepted, and closing the listener would reset them.
            let accept_task =
                backlog_task.insert(tokio::spawn(server.clone().accept_backlog(listener, graceful_shutdown)));
            timeout(10 * BACKLOG_EMPTY_TIMEOUT, accept_task).await.ok();
        }
        server.draining.store(true, Ordering::Relaxed);
        graceful_shutdown_sender.send_replace(true);
        // If the process was stalled, the backlog may not be empty yet. Its clients get a rejection instead of a reset.
        let all_answered = async {
            if let Some(accept_task) = backlog_task.as_mut().filter(|accept_task| !accept_task.is_finished())
            {
                accept_task.await.ok();
            }
            server.wait_for_all_closed().await;
        };
        timeout_at(server.last_response_time(schedule), all_answered).await.ok();
        server.wait_for_streamed_responses().await;
        backlog_task.inspect(JoinHandle::abort);
        timeout_checks.abort();
        memory_relief.abort();
        tracing::info!("stopping with {} open client connections", server.client_count());
        server.shut_down().await;
    }

    /// By when all clients have their responses, apart from those that are streamed.
    fn last_response_time(&self, schedule: ShutdownSchedule) -> Instant {
        let last_request_at = schedule.reject_at.max(Instant::now());
        let max_read_time = REQUEST_READ_TIMEOUT + TIMEOUT_CHECK_INTERVAL;
        let max_response_time = longest_deadline(&self.config.settings).max(max_read_time);
        last_request_at + max_response_time + FINAL_RESPONSE_MARGIN
    }
}
