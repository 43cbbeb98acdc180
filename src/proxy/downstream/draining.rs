//! The end: the backlog, the last answers, and how long clients are still served.

use crate::proxy::downstream::DownstreamServer;
use crate::proxy::downstream::closing::LINGER_TIMEOUT;
use crate::proxy::downstream::timing::TIMEOUT_CHECK_INTERVAL;
use crate::proxy::sync::lock;
use crate::transient_errors::Backoff;
use balancer::decision::Settings;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// How long callers are still served after a signal to stop, at least: they hear of it late.
pub const MIN_DRAIN_TIME: Duration = Duration::from_millis(500);

/// The kill comes no sooner after the signal than the longest deadline, counted as the first of these where it
/// is longer, and the second. Other balancers may be down until then, so callers are served for as long as the
/// module's answers still come in time, with a margin.
pub const KILL_DELAY: (Duration, Duration) = (Duration::from_secs(3), Duration::from_millis(700));

pub const KILL_MARGIN: Duration = Duration::from_millis(300);

/// Pause among new connections after which no more are waited for then.
pub const BACKLOG_EMPTY_TIMEOUT: Duration = Duration::from_millis(10);

/// Connections that a listener's backlog holds at most.
pub const MAX_BACKLOG: usize = 4096;

/// Added to the longest deadline or the patience, so long may answers take after the last connection was taken.
pub const FINAL_RESPONSE_MARGIN: Duration = Duration::from_millis(60);

pub fn longest_deadline(settings: &Settings) -> u64 {
    settings.classes.iter().map(|class| class.deadline).max().unwrap_or(0)
}

impl DownstreamServer {
    /// Answers what is still open when the process ends: dropped with its task, it would get no answer.
    pub async fn shut_down(&self) {
        self.shutting_down.store(true, Ordering::Relaxed);
        lock(&self.clients).values().for_each(|client| client.check_timeout.notify_one());
        timeout(TIMEOUT_CHECK_INTERVAL + LINGER_TIMEOUT, self.wait_for_all_closed()).await.ok();
    }

    /// Takes what waits in the backlog, and closes the listener. Who comes later is taken as well, as nobody can
    /// tell, but no more than a backlog holds.
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
                // The others still wait: closing the listener would reset them.
                Ok(Err(error)) => {
                    crate::proxy::logging::log(format_args!("cannot take a connection: {error}"));
                    sleep(backoff.pause()).await;
                }
                Err(_) => return,
            }
        }
    }

    pub async fn wait_for_all_closed(&self) {
        while self.client_count() > 0 {
            self.client_closed.notified().await;
        }
    }

    /// How long callers are still served after a signal to stop.
    pub fn drain_time(&self) -> Duration {
        let settings = &self.config.settings;
        let kill_delay = Duration::from_nanos(longest_deadline(settings)).min(KILL_DELAY.0) + KILL_DELAY.1;
        let response_time = Duration::from_nanos(settings.longest_wait()) + KILL_MARGIN;
        kill_delay.saturating_sub(response_time).max(MIN_DRAIN_TIME)
    }
}
