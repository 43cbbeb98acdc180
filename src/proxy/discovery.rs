//! The list of upstreams: a watch on discovery that is taken up again whenever it ends.

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

/// How long a watch may wait. Nothing but the end of its wait shows that one has fallen silent, and what it misses
/// counts as told 6 s after it fell silent, or 2 s after its wait if that is later: a short wait leaves the most
/// time to ask again. Where all ask one service, a watch that goes on costs that next to nothing, a new call does.
const WAIT: Duration = Duration::from_secs(2);
/// Silence after which a call has failed, counted from the end of its wait, and from each piece of its answer.
/// An agent on the own machine answers at once, one service for all takes calls in turn.
const SILENCE_PUSHED: Duration = Duration::from_millis(500);
const SILENCE_ASKED: Duration = Duration::from_millis(1000);
/// How long an answer may take from its first byte on, and a connection to come up.
const MOST_ANSWER: Duration = Duration::from_millis(1500);
const CONNECT: Duration = Duration::from_millis(500);
/// First wait after a failed call, doubling up to a cap.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));
/// Wait before the next call where nothing was new: an agent that does not wait would be asked in a loop.
/// Short enough for the watch to go on.
const PAUSE: Duration = Duration::from_millis(50);
/// A list is never this large: guards the memory.
const MOST_BYTES: usize = 8 << 20;

/// Tells the driver of every change, for ever. Another address ends what was asked of the one before, and its
/// whole list is asked for first: versions of two services cannot be compared. `told` turns true once the
/// first call has ended, where lists are pushed: what the agent has counts as told from the start.
pub async fn follow(
    config: Arc<Config>,
    events: UnboundedSender<DispatcherMessage>,
    mut subscribed: UnboundedReceiver<()>,
    mut addresses: watch::Receiver<SocketAddr>,
    told: watch::Sender<bool>,
) {
    let asked = config.settings.polls_discovery;
    told.send_replace(asked);
    let mut known = Some(config.known.rev);
    loop {
        let address = *addresses.borrow_and_update();
        let follower = Follower { asked, events: &events, told: &told };
        tokio::select! {
            biased;
            changed = addresses.changed() => if changed.is_err() { return },
            () = follower.follow(address, known, &mut subscribed) => return,
        }
        known = None;
    }
}

struct Follower<'a> {
    /// Lists come only when asked for.
    asked: bool,
    events: &'a UnboundedSender<DispatcherMessage>,
    told: &'a watch::Sender<bool>,
}

impl Follower<'_> {
    /// Follows one discovery service until nobody wants to hear of it, from a version or from the whole list on.
    /// Where it must be asked, the first call begins when the decision module wants one, and so does the next after
    /// a failure: all that ask one service must not do so at once. What was missed, at the start and after a
    /// failure, is asked for without a wait: the silence of such a call is found soonest.
    async fn follow(&self, address: SocketAddr, known: Option<u64>, subscribed: &mut UnboundedReceiver<()>) {
        let silence = if self.asked { SILENCE_ASKED } else { SILENCE_PUSHED };
        let mut watch = Watch { address, silence, open: None };
        let (mut rev, mut whole, mut failures) = (known.unwrap_or(0), known.is_none(), 0_u32);
        let mut missed = true;
        if self.asked {
            let is_wanted = match whole {
                true => self.wanted_after(DispatcherMessage::DiscoveryMoved, subscribed).await,
                false => subscribed.recv().await.is_some(),
            };
            if !is_wanted {
                return;
            }
        }
        loop {
            let wait = if missed || whole { Duration::ZERO } else { WAIT };
            let path = match whole {
                true => "/v1/servers".to_owned(),
                false => format!("/v1/servers?after={rev}&wait_ms={}", wait.as_millis()),
            };
            match watch.call(&path, wait).await {
                // A version that goes back means another discovery: only the whole list tells what it has.
                Ok(listing) if listing.rev < rev && !listing.all => whole = true,
                Ok(listing) => {
                    if failures > 0 {
                        crate::proxy::logging::log(format_args!(
                            "discovery answers again after {failures} failures"
                        ));
                    }
                    let idle = listing.rev == rev && !missed;
                    (rev, whole, missed, failures) = (listing.rev, false, false, 0);
                    if self.events.send(DispatcherMessage::EndpointList(listing)).is_err() {
                        return;
                    }
                    self.told.send_replace(true);
                    if idle {
                        sleep(PAUSE).await;
                    }
                }
                Err(error) => {
                    watch.open = None;
                    if failures == 0 {
                        crate::proxy::logging::log(format_args!("discovery failed: {error}"));
                    }
                    self.told.send_replace(true); // there is nothing to wait for
                    (missed, failures) = (true, failures.saturating_add(1));
                    if self.asked {
                        if !self.wanted_after(DispatcherMessage::DiscoveryFailed, subscribed).await {
                            return;
                        }
                    } else {
                        sleep((BACKOFF.0 * (1 << failures.min(8))).min(BACKOFF.1)).await;
                    }
                }
            }
        }
    }

    /// Tells the driver, and waits until the decision module wants a call. What it wanted before, it wanted of a
    /// call that is over. Returns whether there is anybody still.
    async fn wanted_after(&self, input: DispatcherMessage, subscribed: &mut UnboundedReceiver<()>) -> bool {
        while subscribed.try_recv().is_ok() {}
        self.events.send(input).is_ok() && subscribed.recv().await.is_some()
    }
}

struct Watch {
    address: SocketAddr,
    silence: Duration,
    open: Option<Open>,
}

/// A connection to discovery.
struct Open {
    sender: SendRequest<Empty<Bytes>>,
    /// Changes with each piece that comes.
    heard: watch::Receiver<()>,
}

type Failure = Box<dyn Error + Send + Sync>;

impl Open {
    async fn new(address: SocketAddr) -> Result<Self, Failure> {
        let end = Instant::now() + CONNECT;
        let connect_deadline =
            ConnectDeadline { end, end_after_local_failure: end, local_failure: &AtomicBool::default() };
        // There is no other to compare it with.
        let tcp = connect(address, connect_deadline, &Reachability::default()).await?;
        let (hear, heard) = watch::channel(());
        let tcp = InspectReader::new(tcp, move |_: &[u8]| hear.send_replace(()));
        let (sender, connection) = handshake(TokioIo::new(tcp)).await?;
        tokio::spawn(connection);
        Ok(Self { sender, heard })
    }

    async fn exchange(&mut self, address: SocketAddr, path: &str) -> Result<Listing, Failure> {
        self.sender.ready().await?;
        let request = Request::get(path).header("Host", address.to_string()).body(Empty::<Bytes>::new())?;
        let response = self.sender.send_request(request).await?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MOST_BYTES).collect().await?.to_bytes();
        if !status.is_success() {
            return Err(format!("status {status}").into());
        }
        Ok(serde_json::from_slice(&body)?)
    }
}

impl Watch {
    /// Asks, and gives up after a silence: beyond the wait, or within the answer.
    async fn call(&mut self, path: &str, wait: Duration) -> Result<Listing, Failure> {
        let mut open = match self.open.take() {
            // The agent may have closed it since.
            Some(open) if !open.sender.is_closed() => open,
            _ => Open::new(self.address).await?,
        };
        let (mut until, mut most) = (Instant::now() + wait + self.silence, None);
        let mut heard = open.heard.clone();
        heard.mark_unchanged();
        let listing = {
            let mut exchange = pin!(open.exchange(self.address, path));
            loop {
                tokio::select! {
                    biased;
                    done = exchange.as_mut() => break done?,
                    Ok(()) = heard.changed() => {
                        let now = Instant::now();
                        until = (now + self.silence).min(*most.get_or_insert(now + MOST_ANSWER));
                    }
                    () = sleep_until(until) => return Err("no answer in time".into()),
                }
            }
        };
        self.open = Some(open);
        Ok(listing)
    }
}
