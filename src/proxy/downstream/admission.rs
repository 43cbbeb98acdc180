//! Accepts client connections, and evicts idle ones to make room for them.

use crate::config::MAX_CONNECTIONS_OVER_LIMIT;
use crate::proxy::body::memory::CLIENT_CONNECTION_BYTES;
use crate::proxy::downstream::client::ClientHandle;
use crate::proxy::downstream::client_task::ClientTask;
use crate::proxy::downstream::connection::SingleRequestStream;
use crate::proxy::downstream::request_framing::IdleState;
use crate::proxy::downstream::timing::{NEW_CONNECTION_GRACE, REQUEST_READ_TIMEOUT, TIMEOUT_CHECK_INTERVAL};
use crate::proxy::downstream::{DownstreamServer, PERSISTENT_SHORTAGE_FAILURES};
use crate::proxy::messages::DispatcherMessage;
use crate::proxy::sync::lock;
use crate::transient_errors::{Backoff, is_shortage};
use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep};

/// Unserved connections, that is, all idle ones except those between requests, may use the connection limit divided by
/// this. Once they exceed that share, they are evicted before those between requests.
pub const UNSERVED_SHARE_DIVISOR: usize = 2;

/// Number of idle clients that are evicted at once for lack of memory. Each makes room for about one stream.
const MAX_EVICTIONS_AT_ONCE: usize = 16;
/// Minimum time between two such evictions.
const MEMORY_RELIEF_INTERVAL: Duration = Duration::from_millis(2);

/// Whether a client connection in this state may be closed because descriptors or memory are short: no request on it can
/// be on the way, or its client sends that request again.
fn is_evicted_in_shortage(state: IdleState) -> bool {
    matches!(state, IdleState::BetweenRequests | IdleState::UnknownClassOnly | IdleState::Lingering)
}

/// A series of consecutive failures to accept a connection.
#[derive(Default)]
pub struct AcceptFailures {
    /// Number of failures so far.
    pub failures: u32,
    /// The pauses after the failures.
    pub backoff: Backoff,
}

impl DownstreamServer {
    /// Periodically has overdue clients checked and disconnected, so that slow clients do not use up the connection
    /// limit.
    pub async fn run_timeout_checks(self: Arc<Self>) {
        loop {
            sleep(TIMEOUT_CHECK_INTERVAL).await;
            let clients = lock(&self.clients);
            let overdue = clients
                .values()
                .filter(|client| lock(&client.connection.framing).is_overdue(REQUEST_READ_TIMEOUT));
            overdue.for_each(|client| client.close_check_notify.notify_one());
        }
    }

    /// Accepts connections until the future is dropped; it never completes.
    pub async fn accept_clients(
        self: &Arc<Self>,
        listener: &TcpListener,
        graceful_shutdown: &watch::Receiver<bool>,
    ) -> Infallible {
        let mut accept_failures: Option<AcceptFailures> = None;
        loop {
            self.wait_for_capacity().await;
            match listener.accept().await {
                Ok((tcp, _)) => {
                    accept_failures = None;
                    self.accept_client(tcp, graceful_shutdown);
                }
                Err(error) => {
                    tracing::info!("cannot take a client connection: {error}");
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

    /// Frees descriptors and memory if their shortage has lasted beyond the first pause. Has the idle connections to
    /// upstreams closed, and evicts one idle client. A client with a new connection or a partial request may have a
    /// request on the way, and is evicted only if the shortage is persistent.
    pub fn relieve_shortage(&self, accept_failures: &AcceptFailures) {
        if accept_failures.failures == 0 {
            return;
        }
        self.dispatcher_sender.send(DispatcherMessage::ResourceShortage).ok();
        let is_persistent = accept_failures.failures >= PERSISTENT_SHORTAGE_FAILURES;
        self.evict_idle_where(|state, _| is_persistent || is_evicted_in_shortage(state));
    }

    /// Closes idle connections while memory is short for streams. Those to upstreams are opened again at need. A client
    /// with a new connection or a partial request may have a request on the way, and keeps its connection.
    pub async fn relieve_memory_shortages(self: Arc<Self>) {
        loop {
            self.memory.wait_for_shortage().await;
            self.dispatcher_sender.send(DispatcherMessage::ResourceShortage).ok();
            for _ in 0..MAX_EVICTIONS_AT_ONCE {
                if !self.evict_idle_where(|state, _| is_evicted_in_shortage(state)) {
                    break; // no idle client is left
                }
            }
            sleep(MEMORY_RELIEF_INTERVAL).await;
        }
    }

    /// Waits until one more connection may be accepted. The wait is short: requests on connections over the limit are
    /// rejected at once, and idle connections are evicted.
    pub async fn wait_for_capacity(&self) {
        while self.client_count() >= self.config.limits.clients + MAX_CONNECTIONS_OVER_LIMIT {
            self.evict_idle();
            self.client_closed.notified().await;
        }
    }

    /// Number of client connections.
    pub fn client_count(&self) -> usize {
        lock(&self.clients).len()
    }

    /// Evicts one idle connection, and returns whether there was one.
    ///
    /// Connections that linger, that were used only for unknown classes, or on which nothing was received for a while
    /// are evicted first. They are followed by connections between requests, and by new connections on which nothing
    /// was received. Connections with a partial request are last, as that request would be lost. Of each kind, the
    /// connection that has been idle for longest is evicted.
    ///
    /// Unserved connections may fill only a share of the limit. Once they exceed this share, they are evicted before
    /// connections between requests, so that many of them cannot displace clients that have been served.
    ///
    /// The evicted client may be sending right now. It then knows that its request was not processed.
    pub fn evict_idle(&self) -> bool {
        self.evict_idle_where(|_, _| true)
    }

    /// Evicts one idle connection as `evict_idle` does, among those for which `is_candidate` holds.
    pub fn evict_idle_where(&self, is_candidate: impl Fn(IdleState, Instant) -> bool) -> bool {
        let clients = lock(&self.clients);
        let idle_clients = clients
            .values()
            .filter_map(|client| Some((lock(&client.connection.framing).idle_state()?, client)));
        // A connection over the limit that lingers uses no slot of the limit.
        let idle_clients: Vec<_> = idle_clients
            .filter(|((state, _), client)| *state != IdleState::Lingering || !client.exceeds_limit)
            .collect();
        // Evicted connections use their slots until they are closed.
        let unserved =
            idle_clients.iter().filter(|((state, _), _)| *state != IdleState::BetweenRequests).count();
        let unserved_exceed_share = unserved > self.config.limits.clients / UNSERVED_SHARE_DIVISOR;
        let eviction_rank = |state, since: Instant| match state {
            IdleState::UnknownClassOnly | IdleState::Lingering => 0,
            IdleState::Silent if since.elapsed() > NEW_CONNECTION_GRACE => 0,
            IdleState::BetweenRequests if !unserved_exceed_share => 1,
            IdleState::Silent => 2,
            IdleState::PartialHead => 3,
            IdleState::BetweenRequests => 4,
        };
        let not_evicted =
            idle_clients.into_iter().filter(|(_, client)| !client.is_evicted.load(Ordering::Relaxed));
        let candidates = not_evicted.filter(|((state, since), _)| is_candidate(*state, *since));
        let selected = candidates.min_by_key(|((state, since), _)| (eviction_rank(*state, *since), *since));
        let Some((_, client)) = selected else { return false };
        client.is_evicted.store(true, Ordering::Relaxed);
        client.eviction_notify.notify_one();
        true
    }

    /// Starts serving an accepted connection, evicting an idle one if the limit is reached.
    pub fn accept_client(self: &Arc<Self>, tcp: TcpStream, graceful_shutdown: &watch::Receiver<bool>) {
        tcp.set_nodelay(true).ok();
        let exceeds_limit = self.client_count() >= self.config.limits.clients && !self.evict_idle();
        let (stream, connection) = SingleRequestStream::new(tcp);
        let (eviction_notify, close_check_notify) = (Notify::new(), Notify::new());
        let client = Arc::new(ClientHandle {
            exceeds_limit,
            connection,
            is_evicted: AtomicBool::new(false),
            eviction_notify,
            close_check_notify,
        });
        let client_id = self.next_client_id.fetch_add(1, Ordering::Relaxed);
        lock(&self.clients).insert(client_id, client.clone());
        let memory_permit = self.memory.reserve_connection(CLIENT_CONNECTION_BYTES);
        let client_task =
            ClientTask { server: self.clone(), client_id, client, _memory_permit: memory_permit };
        tokio::spawn(client_task.serve(stream, graceful_shutdown.clone()));
    }
}
