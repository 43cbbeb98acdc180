//! Serves clients from the first endpoint list until all is answered behind a signal to stop.

use crate::proxy::downstream::DownstreamServer;
use crate::proxy::downstream::draining::{LAST_ANSWERS, LAST_LOOK, longest_deadline};
use crate::proxy::downstream::timing::{LOOK_EVERY, PATIENCE};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

impl DownstreamServer {
    /// Serves until told to stop, then for a while longer, and returns when all is answered.
    pub async fn run(self, listener: TcpListener, mut stopping: watch::Receiver<bool>) {
        let server = Arc::new(self);
        let looking = tokio::spawn(server.clone().cut_overdue());
        let (close, closing) = watch::channel(false);
        let shared = server.config.listen_fd.is_some();
        let stopped = async {
            stopping.wait_for(|stop| *stop).await.ok();
            if !shared {
                sleep(server.go_on()).await;
            }
        };
        tokio::select! {
            () = server.accept(&listener, &closing) => {}
            () = stopped => {}
        }
        let mut rest = None;
        if shared {
            // The next process takes what waits in the backlog. The callers we have may be writing just now:
            // they are sent to it one by one, with their answers.
            drop(listener);
            server.leaving.store(true, Ordering::Relaxed);
            timeout(server.go_on(), server.all_left()).await.ok();
        } else {
            // What waits in the backlog counts as taken, and closing the listener would reset it.
            let taking = rest.insert(tokio::spawn(server.clone().take_rest(listener, closing)));
            timeout(10 * LAST_LOOK, taking).await.ok();
        }
        server.leaving.store(true, Ordering::Relaxed);
        close.send_replace(true);
        timeout(10 * LAST_LOOK, server.all_left()).await.ok(); // what was just taken still has its time
        server.refusing.store(true, Ordering::Relaxed);
        // Where the process was held up, the backlog is not empty yet: its callers are refused, not reset.
        let answered = async {
            if let Some(taking) = rest.as_mut().filter(|taking| !taking.is_finished()) {
                taking.await.ok();
            }
            server.all_left().await;
        };
        let longest = Duration::from_nanos(longest_deadline(&server.config.settings));
        timeout(longest.max(PATIENCE + LOOK_EVERY) + LAST_ANSWERS, answered).await.ok();
        rest.inspect(JoinHandle::abort);
        looking.abort();
        server.end_all().await;
    }
}
