//! Which connections are accepted, and which make room for them.

use crate::config::SURPLUS_CONNECTIONS;
use crate::proxy::downstream::client::ClientHandle;
use crate::proxy::downstream::client_task::ClientTask;
use crate::proxy::downstream::connection::SingleRequestStream;
use crate::proxy::downstream::request_framing::IdleState;
use crate::proxy::downstream::timing::{NEW_CONNECTION_GRACE, REQUEST_READ_TIMEOUT, TIMEOUT_CHECK_INTERVAL};
use crate::proxy::downstream::{DownstreamServer, PERSISTENT_SHORTAGE_FAILURES};
use crate::proxy::messages::DispatcherMessage;
use crate::proxy::sync::lock;
use crate::transient_errors::{Backoff, is_shortage};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep};

/// Part of the room that connections without a call may fill, as one over this.
pub const UNSERVED_SHARE_DIVISOR: usize = 2;

/// Connections that could not be taken, in a row.
#[derive(Default)]
pub struct AcceptFailures {
    pub failures: u32,
    pub backoff: Backoff,
}

impl DownstreamServer {
    /// Cuts off the callers that take too long over a request. Guards the places of the others.
    pub async fn run_timeout_checks(self: Arc<Self>) {
        loop {
            sleep(TIMEOUT_CHECK_INTERVAL).await;
            let clients = lock(&self.clients);
            let overdue = clients
                .values()
                .filter(|client| lock(&client.connection.framing).is_overdue(REQUEST_READ_TIMEOUT));
            overdue.for_each(|client| client.check_timeout.notify_one());
        }
    }

    pub async fn accept_clients(
        self: &Arc<Self>,
        listener: &TcpListener,
        graceful_shutdown: &watch::Receiver<bool>,
    ) {
        let mut accept_failures: Option<AcceptFailures> = None;
        loop {
            self.wait_for_capacity().await;
            match listener.accept().await {
                Ok((tcp, _)) => {
                    accept_failures = None;
                    self.accept_client(tcp, graceful_shutdown);
                }
                Err(error) => {
                    crate::proxy::logging::log(format_args!("cannot take a connection: {error}"));
                    let accept_failures = accept_failures.get_or_insert_default();
                    if is_shortage(&error) {
                        self.relieve_shortage(accept_failures);
                    }
                    accept_failures.failures += 1;
                    sleep(accept_failures.backoff.pause()).await;
                }
            }
        }
    }

    /// Frees descriptors and memory where the lack of them was not over with a pause. Nobody who may have a request
    /// on the way is closed for a lack of a moment.
    pub fn relieve_shortage(&self, accept_failures: &AcceptFailures) {
        if accept_failures.failures == 0 {
            return;
        }
        self.dispatcher.send(DispatcherMessage::DescriptorShortage).ok();
        let is_persistent = accept_failures.failures >= PERSISTENT_SHORTAGE_FAILURES;
        self.evict_idle_where(|idle, _| {
            is_persistent
                || matches!(
                    idle,
                    IdleState::BetweenRequests | IdleState::UnrecognizedOnly | IdleState::Lingering
                )
        });
    }

    /// Waits until one more connection may be taken. The surplus is refused at once and the silent are sent away, so
    /// that is soon.
    pub async fn wait_for_capacity(&self) {
        while self.client_count() >= self.config.limits.clients + SURPLUS_CONNECTIONS {
            self.evict_idle();
            self.client_closed.notified().await;
        }
    }

    pub fn client_count(&self) -> usize {
        lock(&self.clients).len()
    }

    /// Has an idle connection closed: one that has brought no call for a while goes before one that rests, and a
    /// request that has begun goes last, as it would be lost; of each kind, the one idle for longest. Those without
    /// a call have a part of the room, and where they fill it, one of them goes: a crowd pushes out nobody but
    /// itself. One that is closed may be writing just now; its caller knows then that its request was not taken.
    pub fn evict_idle(&self) -> bool {
        self.evict_idle_where(|_, _| true)
    }

    /// The same among those of which this holds.
    pub fn evict_idle_where(&self, is_candidate: impl Fn(IdleState, Instant) -> bool) -> bool {
        let clients = lock(&self.clients);
        let idle = clients
            .values()
            .filter_map(|client| Some((lock(&client.connection.framing).idle_state()?, client)));
        // One beyond the room that lingers holds no place in it.
        let idle: Vec<_> =
            idle.filter(|((idle, _), client)| *idle != IdleState::Lingering || !client.surplus).collect();
        // Those on their way out hold their places until they are gone.
        let unserved = idle.iter().filter(|((idle, _), _)| *idle != IdleState::BetweenRequests).count();
        let unserved_exceed_share = unserved > self.config.limits.clients / UNSERVED_SHARE_DIVISOR;
        let eviction_rank = |idle, since: Instant| match idle {
            IdleState::UnrecognizedOnly | IdleState::Lingering => 0,
            IdleState::Silent if since.elapsed() > NEW_CONNECTION_GRACE => 0,
            IdleState::BetweenRequests if !unserved_exceed_share => 1,
            IdleState::Silent => 2,
            IdleState::PartialHead => 3,
            IdleState::BetweenRequests => 4,
        };
        let not_evicted = idle.into_iter().filter(|(_, client)| !client.evicted.load(Ordering::Relaxed));
        let candidates = not_evicted.filter(|((idle, since), _)| is_candidate(*idle, *since));
        let selected = candidates.min_by_key(|((idle, since), _)| (eviction_rank(*idle, *since), *since));
        let Some((_, client)) = selected else { return false };
        client.evicted.store(true, Ordering::Relaxed);
        client.evict.notify_one();
        true
    }

    pub fn accept_client(self: &Arc<Self>, tcp: TcpStream, graceful_shutdown: &watch::Receiver<bool>) {
        tcp.set_nodelay(true).ok();
        let surplus = self.client_count() >= self.config.limits.clients && !self.evict_idle();
        let (stream, connection) = SingleRequestStream::new(tcp);
        let (evict, check_timeout) = (Notify::new(), Notify::new());
        let client = Arc::new(ClientHandle {
            surplus,
            connection,
            evicted: AtomicBool::new(false),
            evict,
            check_timeout,
        });
        let client_id = self.next_client_id.fetch_add(1, Ordering::Relaxed);
        lock(&self.clients).insert(client_id, client.clone());
        tokio::spawn(
            ClientTask { server: self.clone(), client_id, client }.serve(stream, graceful_shutdown.clone()),
        );
    }
}
