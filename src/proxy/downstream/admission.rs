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
use tokio::time::{Instant, sleep, timeout};

/// Unserved connections, that is, all idle ones except those between requests, may use the connection limit divided by
/// this. Once they exceed that share, they are evicted before those between requests.
pub const UNSERVED_SHARE_DIVISOR: usize = 2;

/// Maximum number of idle clients that are evicted at once for lack of memory. Each makes room for about one stream.
const MAX_EVICTIONS_AT_ONCE: usize = 256;
/// How often connections are looked for that can be closed, while there is no room for another one.
const CAPACITY_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// How long a connection over the limit lingers at least, so that its client can read the rejection.
const MIN_LINGER: Duration = Duration::from_millis(50);
/// Minimum time between two such evictions.
const MEMORY_RELIEF_INTERVAL: Duration = Duration::from_millis(2);

/// Whether a client connection in this state may be closed because descriptors or memory are short: no request on it can
/// be on the way, or its client sends that request again.
fn is_evicted_in_shortage(state: IdleState) -> bool {
    matches!(state, IdleState::BetweenRequests | IdleState::UnknownClassOnly | IdleState::Lingering)
}

/// How short the resources for further requests are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Shortage {
    /// Streams use all connections to upstreams that they may use.
    StreamConnections,
    /// There is no memory for further streams.
    StreamMemory,
    /// There is no memory for short requests.
    AllMemory,
}

impl Shortage {
    /// Whether a client connection that has been in this state since then may be closed to relieve the shortage.
    fn evicts(self, state: IdleState, since: Instant) -> bool {
        match self {
            Self::StreamConnections => state == IdleState::StalledBody,
            Self::StreamMemory => state == IdleState::StalledBody || is_evicted_in_shortage(state),
            Self::AllMemory => state != IdleState::Silent || since.elapsed() > NEW_CONNECTION_GRACE,
        }
    }
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
            self.memory.check_exhaustion();
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
        self.evict_idle_where(1, |state, _| is_persistent || is_evicted_in_shortage(state));
    }

    /// Closes connections while memory, or the connections that streams may use, are short. Idle connections to upstreams
    /// are opened again at need. A client with a new connection or a part of a head may have a request on the way, and
    /// keeps its connection unless memory is short for all requests.
    pub async fn relieve_memory_shortages(self: Arc<Self>) {
        loop {
            self.memory.wait_for_shortage().await;
            while self.relieve_shortage_of_streams() {
                sleep(MEMORY_RELIEF_INTERVAL).await;
                self.memory.wake_waiting_stream();
            }
            sleep(MEMORY_RELIEF_INTERVAL).await;
        }
    }

    /// Closes some connections if memory is short, or if the connections that streams may use are. Returns whether memory
    /// is short and a client was evicted.
    fn relieve_shortage_of_streams(&self) -> bool {
        let shortage = self.shortage();
        if shortage != Shortage::StreamConnections {
            self.dispatcher_sender.send(DispatcherMessage::ResourceShortage).ok();
        }
        let evictions =
            self.evict_idle_where(MAX_EVICTIONS_AT_ONCE, |state, since| shortage.evicts(state, since));
        if evictions > 0 {
            let (usage, clients) = (self.memory.usage(), self.client_count());
            tracing::info!(?shortage, evictions, clients, %usage, "client connections evicted");
        }
        evictions > 0 && shortage != Shortage::StreamConnections
    }

    /// How short memory is, once a shortage was signalled.
    fn shortage(&self) -> Shortage {
        if self.memory.is_exhausted() {
            Shortage::AllMemory
        } else if self.memory.is_short() {
            Shortage::StreamMemory
        } else {
            Shortage::StreamConnections
        }
    }

    /// Whether a request on a connection over the limit may be served: another connection has been closed meanwhile, or
    /// an idle one can be.
    pub fn make_room_for_request(&self) -> bool {
        self.client_count() <= self.config.limits.clients || self.evict_idle()
    }

    /// Waits until one more connection may be accepted. The wait is short: requests on connections over the limit are
    /// rejected at once, and idle connections are evicted.
    pub async fn wait_for_capacity(&self) {
        while self.client_count() >= self.config.limits.clients + MAX_CONNECTIONS_OVER_LIMIT {
            if !self.evict_idle() {
                self.memory.refuse_waiting_streams();
                self.end_linger_over_limit();
            }
            timeout(CAPACITY_CHECK_INTERVAL, self.client_closed.notified()).await.ok();
        }
    }

    /// Closes the connection over the limit that has lingered for longest, if it had time to read its response.
    fn end_linger_over_limit(&self) {
        let clients = lock(&self.clients);
        let lingering = clients.values().filter(|client| client.exceeds_limit).filter_map(|client| {
            let (state, since) = lock(&client.connection.framing).idle_state()?;
            (state == IdleState::Lingering && since.elapsed() >= MIN_LINGER).then_some((since, client))
        });
        if let Some((_, client)) = lingering.min_by_key(|(since, _)| *since) {
            client.eviction_notify.notify_one();
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
        self.evict_idle_where(1, |_, _| true) > 0
    }

    /// Evicts up to `max_count` idle connections in the order of `evict_idle`, among those in a state for which
    /// `is_candidate` holds. Returns how many were evicted.
    fn evict_idle_where(&self, max_count: usize, is_candidate: impl Fn(IdleState, Instant) -> bool) -> usize {
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
            IdleState::PartialHead | IdleState::StalledBody => 3,
            IdleState::BetweenRequests => 4,
        };
        let not_evicted =
            idle_clients.into_iter().filter(|(_, client)| !client.is_evicted.load(Ordering::Relaxed));
        let candidates = not_evicted.filter(|((state, since), _)| is_candidate(*state, *since));
        let mut ranked: Vec<_> = candidates
            .map(|((state, since), client)| ((eviction_rank(state, since), since), client))
            .collect();
        if max_count < ranked.len() {
            ranked.select_nth_unstable_by_key(max_count, |(rank, _)| *rank);
            ranked.truncate(max_count);
        }
        for (_, client) in &ranked {
            client.is_evicted.store(true, Ordering::Relaxed);
            client.eviction_notify.notify_one();
        }
        ranked.len()
    }

    /// Starts serving an accepted connection, evicting an idle one if the limit is reached.
    pub fn accept_client(self: &Arc<Self>, tcp: TcpStream, graceful_shutdown: &watch::Receiver<bool>) {
        tcp.set_nodelay(true).ok();
        self.memory.check_exhaustion();
        let has_slot = self.client_count() < self.config.limits.clients || self.evict_idle();
        if !has_slot {
            self.memory.refuse_waiting_streams();
        }
        let has_memory = self.memory.has_room_for_connection(CLIENT_CONNECTION_BYTES) || self.evict_idle();
        let exceeds_limit = !has_slot || !has_memory;
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
