//! The discovery client: watches the endpoint list, and starts the next watch whenever one ends.

use crate::config::Config;
use crate::config::endpoint_listing::Listing;
use crate::proxy::messages::DispatcherMessage;
use crate::proxy::upstream::connect::{ConnectDeadline, Reachability, connect};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::Request;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use std::error::Error;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};
use tokio_util::io::InspectReader;

/// How long discovery may delay the response to a watch until something changes.
///
/// That the connection of a watch has gone silent is noticed only after this wait. The balancer counts as notified of a
/// change that it missed 6 s after the connection fell silent, or 2 s after the end of the wait if that is later. A
/// short wait therefore leaves the most time to send another request.
///
/// Where all balancers share one discovery service, to continue a watch costs that service next to nothing, unlike a
/// new request.
const WATCH_WAIT: Duration = Duration::from_secs(2);
/// Idle timeout of a request where discovery pushes lists. The request has failed if no byte is received for this time
/// after its wait has ended, or within its response. An agent on the same machine responds at once.
const PUSH_IDLE_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle timeout of a request where discovery is polled. A service shared by all balancers handles requests in turn.
const POLL_IDLE_TIMEOUT: Duration = Duration::from_millis(1000);
/// Maximum time from the first to the last byte of a response.
const MAX_RESPONSE_TIME: Duration = Duration::from_millis(1500);
/// How long connecting to discovery may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Pauses after failures: half the first pause, which doubles with each further failure, and the longest pause.
const BACKOFF_RANGE: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));
/// Pause before the next request after a response without changes. An agent that responds at once instead of waiting
/// would otherwise get requests in a tight loop. The pause is short enough for the watch to count as continuous.
const UNCHANGED_PAUSE: Duration = Duration::from_millis(50);
/// Maximum size of a response, far above that of any list, to bound the memory it takes.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Sends every change of the endpoint list to the dispatcher, for as long as the process runs. When the address
/// changes, the current request is dropped and the full list is requested from the new address, as revisions of two
/// services cannot be compared.
///
/// Where discovery pushes lists, `discovery_attempted_sender` is set to true once the first request has succeeded or
/// failed: the balancer counts as notified of the agent's list from the start. Where discovery is polled, it is set to
/// true at once.
pub async fn run(
    config: Arc<Config>,
    dispatcher_sender: UnboundedSender<DispatcherMessage>,
    mut watch_requests: UnboundedReceiver<()>,
    mut addresses: watch::Receiver<SocketAddr>,
    discovery_attempted_sender: watch::Sender<bool>,
) {
    let polls_discovery = config.settings.polls_discovery;
    discovery_attempted_sender.send_replace(polls_discovery);
    let mut known_revision = Some(config.known.rev);
    loop {
        let address = *addresses.borrow_and_update();
        let watcher = EndpointWatcher {
            polls_discovery,
            dispatcher_sender: &dispatcher_sender,
            discovery_attempted_sender: &discovery_attempted_sender,
        };
        tokio::select! {
            biased;
            changed = addresses.changed() => if changed.is_err() { return },
            () = watcher.watch_address(address, known_revision, &mut watch_requests) => return,
        }
        known_revision = None;
    }
}

/// Watches the endpoint list for the dispatcher.
struct EndpointWatcher<'a> {
    /// Discovery sends lists only on request, and is a service that all balancers share.
    polls_discovery: bool,
    dispatcher_sender: &'a UnboundedSender<DispatcherMessage>,
    discovery_attempted_sender: &'a watch::Sender<bool>,
}

impl EndpointWatcher<'_> {
    /// Watches the discovery service at one address, from a known revision or from the full list on, until the
    /// dispatcher has stopped.
    ///
    /// Where discovery is polled, the first request and each request after a failure are sent when the decision module
    /// requests a watch, so that the balancers that share the service do not send theirs all at once.
    ///
    /// Changes may have been missed at the start and after a failure. They are requested without a wait: a silent
    /// connection is noticed soonest that way.
    async fn watch_address(
        &self,
        address: SocketAddr,
        known_revision: Option<u64>,
        watch_requests: &mut UnboundedReceiver<()>,
    ) {
        let idle_timeout = if self.polls_discovery { POLL_IDLE_TIMEOUT } else { PUSH_IDLE_TIMEOUT };
        let mut client = DiscoveryClient { address, idle_timeout, connection: None };
        let (mut revision, mut needs_full_list, mut failures) =
            (known_revision.unwrap_or(0), known_revision.is_none(), 0_u32);
        let mut may_have_missed = true;
        if self.polls_discovery {
            let is_watch_requested = match needs_full_list {
                true => self.wait_for_watch_request(DispatcherMessage::DiscoveryMoved, watch_requests).await,
                false => watch_requests.recv().await.is_some(),
            };
            if !is_watch_requested {
                return;
            }
        }
        loop {
            let wait = if may_have_missed || needs_full_list { Duration::ZERO } else { WATCH_WAIT };
            let path = match needs_full_list {
                true => "/v1/servers".to_owned(),
                false => format!("/v1/servers?after={revision}&wait_ms={}", wait.as_millis()),
            };
            match client.fetch(&path, wait).await {
                // A lower revision means that the service was replaced. Only the full list shows what the new service
                // lists.
                Ok(listing) if listing.rev < revision && !listing.all => needs_full_list = true,
                Ok(listing) => {
                    if failures > 0 {
                        tracing::info!("discovery at {address} responds again after {failures} failures");
                    }
                    let is_unchanged = listing.rev == revision && !may_have_missed;
                    (revision, needs_full_list, may_have_missed, failures) = (listing.rev, false, false, 0);
                    if self.dispatcher_sender.send(DispatcherMessage::EndpointList(listing)).is_err() {
                        return;
                    }
                    self.discovery_attempted_sender.send_replace(true);
                    if is_unchanged {
                        sleep(UNCHANGED_PAUSE).await;
                    }
                }
                Err(error) => {
                    client.connection = None;
                    if failures == 0 {
                        tracing::info!("discovery failed at {address}: {error}");
                    }
                    // Requests need not wait for a list that may never come.
                    self.discovery_attempted_sender.send_replace(true);
                    (may_have_missed, failures) = (true, failures.saturating_add(1));
                    if self.polls_discovery {
                        if !self
                            .wait_for_watch_request(DispatcherMessage::DiscoveryFailed, watch_requests)
                            .await
                        {
                            return;
                        }
                    } else {
                        sleep((BACKOFF_RANGE.0 * (1 << failures.min(8))).min(BACKOFF_RANGE.1)).await;
                    }
                }
            }
        }
    }

    /// Sends a message to the dispatcher and waits until the decision module requests a watch. Earlier watch requests
    /// are dropped, as they belong to the watch that has ended. Returns false if the dispatcher has stopped.
    async fn wait_for_watch_request(
        &self,
        message: DispatcherMessage,
        watch_requests: &mut UnboundedReceiver<()>,
    ) -> bool {
        while watch_requests.try_recv().is_ok() {}
        self.dispatcher_sender.send(message).is_ok() && watch_requests.recv().await.is_some()
    }
}

/// A client of the discovery service at one address, which reuses its connection.
struct DiscoveryClient {
    address: SocketAddr,
    idle_timeout: Duration,
    connection: Option<DiscoveryConnection>,
}

/// A connection to discovery.
struct DiscoveryConnection {
    sender: SendRequest<Empty<Bytes>>,
    /// Marked as changed whenever bytes are received.
    received: watch::Receiver<()>,
}

/// Why a request to discovery failed.
type DiscoveryError = Box<dyn Error + Send + Sync>;

impl DiscoveryConnection {
    /// Connects to discovery.
    async fn new(address: SocketAddr) -> Result<Self, DiscoveryError> {
        let end = Instant::now() + CONNECT_TIMEOUT;
        let connect_deadline = ConnectDeadline {
            end,
            end_after_possible_local_failure: end,
            possible_local_failure: &AtomicBool::default(),
        };
        // There are no other peers whose reachability could be compared with that of discovery.
        let tcp = connect(address, connect_deadline, &Reachability::default()).await?;
        let (received_sender, received) = watch::channel(());
        let tcp = InspectReader::new(tcp, move |_: &[u8]| received_sender.send_replace(()));
        let (sender, connection_task) = handshake(TokioIo::new(tcp)).await?;
        tokio::spawn(connection_task);
        Ok(Self { sender, received })
    }

    /// Sends a request and reads the list in its response.
    async fn exchange(&mut self, address: SocketAddr, path: &str) -> Result<Listing, DiscoveryError> {
        self.sender.ready().await?;
        let request = Request::get(path).header("Host", address.to_string()).body(Empty::<Bytes>::new())?;
        let response = self.sender.send_request(request).await?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await?.to_bytes();
        if !status.is_success() {
            return Err(format!("response status {status}").into());
        }
        Ok(serde_json::from_slice(&body)?)
    }
}

impl DiscoveryClient {
    /// Sends a request, connecting first if needed, and returns the list in its response. Fails if nothing is received
    /// for the idle timeout after `wait` or within the response, or if the response takes longer than
    /// `MAX_RESPONSE_TIME`.
    async fn fetch(&mut self, path: &str, wait: Duration) -> Result<Listing, DiscoveryError> {
        let mut connection = match self.connection.take() {
            // Discovery may have closed the connection since the last request.
            Some(connection) if !connection.sender.is_closed() => connection,
            _ => DiscoveryConnection::new(self.address).await?,
        };
        let (mut timeout_at, mut response_deadline) = (Instant::now() + wait + self.idle_timeout, None);
        let mut received = connection.received.clone();
        received.mark_unchanged();
        let listing = {
            let mut exchange = pin!(connection.exchange(self.address, path));
            loop {
                tokio::select! {
                    biased;
                    result = exchange.as_mut() => break result?,
                    Ok(()) = received.changed() => {
                        let now = Instant::now();
                        timeout_at = (now + self.idle_timeout)
                            .min(*response_deadline.get_or_insert(now + MAX_RESPONSE_TIME));
                    }
                    () = sleep_until(timeout_at) => return Err("no response, or only a part of it, in time".into()),
                }
            }
        };
        self.connection = Some(connection);
        Ok(listing)
    }
}
