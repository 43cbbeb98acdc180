//! The discovery client: watches the endpoint list, and starts the next watch whenever one ends.

mod calls;
mod client;

use crate::config::Config;
use crate::config::endpoint_listing::Listing;
use crate::proxy::messages::DispatcherMessage;
use calls::{CallEvent, Calls};
use client::{CallTimeouts, ListRequest};
use fastrand::Rng;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

/// How long discovery may delay the response to a watch until something changes.
///
/// That the connection of a watch has gone silent is noticed only after this wait. The balancer counts as notified of a
/// change that it missed 6 s after the connection fell silent, or 2 s after the end of the wait if that is later. A
/// short wait therefore leaves the most time to send another request.
///
/// Where all balancers share one discovery service, to continue a watch costs that service next to nothing, unlike a
/// new request.
const WATCH_WAIT: Duration = Duration::from_secs(2);
/// Time limits where discovery pushes lists. An agent on the same machine accepts and responds at once.
const PUSH_TIMEOUTS: CallTimeouts = CallTimeouts {
    connect: Duration::from_millis(25),
    silence: Duration::from_millis(500),
    late_response: Duration::from_millis(1000),
};
/// Time limits where discovery is polled. A service shared by all balancers handles requests in turn.
const POLL_TIMEOUTS: CallTimeouts = CallTimeouts {
    connect: Duration::from_millis(500),
    silence: Duration::from_millis(1000),
    late_response: Duration::from_millis(1500),
};
/// Shortest and longest pause after a failed call to an agent, in milliseconds. What the agent gets during the pause counts as
/// told, and drained endpoints may be used for only 50 ms from then on.
const FAILURE_PAUSE_MS: RangeInclusive<u64> = 10..=20;
/// Pause before the next request after a response without changes that came before its wait was over. An agent that
/// responds at once instead of waiting would otherwise get requests in a tight loop.
const UNCHANGED_PAUSE: Duration = Duration::from_millis(20);

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
    let mut rng = Rng::with_seed(config.seed);
    loop {
        let address = *addresses.borrow_and_update();
        let timeouts = if polls_discovery { POLL_TIMEOUTS } else { PUSH_TIMEOUTS };
        let mut watcher = EndpointWatcher {
            polls_discovery,
            address,
            calls: Calls::new(address, timeouts),
            state: WatchState::new(known_revision),
            failures: 0,
            rng: &mut rng,
            dispatcher_sender: &dispatcher_sender,
            watch_requests: &mut watch_requests,
            discovery_attempted_sender: &discovery_attempted_sender,
        };
        tokio::select! {
            biased;
            changed = addresses.changed() => if changed.is_err() { return },
            () = watcher.watch() => return,
        }
        known_revision = None;
    }
}

/// What is known of the list at one address.
struct WatchState {
    /// The latest revision that was received.
    revision: u64,
    /// Only the full list shows what the service lists.
    needs_full_list: bool,
    /// Changes may have been missed, as at the start and after a failure.
    may_have_missed: bool,
}

impl WatchState {
    fn new(known_revision: Option<u64>) -> Self {
        Self {
            revision: known_revision.unwrap_or(0),
            needs_full_list: known_revision.is_none(),
            may_have_missed: true,
        }
    }

    /// The next request. Changes that may have been missed are requested without a wait: a silent connection is noticed
    /// soonest that way.
    fn next_request(&self) -> ListRequest {
        let may_wait = !self.may_have_missed && !self.needs_full_list;
        ListRequest {
            after: (!self.needs_full_list).then_some(self.revision),
            wait: if may_wait { WATCH_WAIT } else { Duration::ZERO },
        }
    }

    /// Whether a list follows from the known revision. A lower revision means that the service was replaced.
    fn accepts(&self, listing: &Listing) -> bool {
        listing.all || listing.rev >= self.revision
    }
}

/// Watches the discovery service at one address for the dispatcher.
struct EndpointWatcher<'a> {
    /// Discovery sends lists only on request, and is a service that all balancers share.
    polls_discovery: bool,
    address: SocketAddr,
    calls: Calls,
    state: WatchState,
    /// Consecutive failures.
    failures: u32,
    rng: &'a mut Rng,
    dispatcher_sender: &'a UnboundedSender<DispatcherMessage>,
    watch_requests: &'a mut UnboundedReceiver<()>,
    discovery_attempted_sender: &'a watch::Sender<bool>,
}

/// The dispatcher has stopped, so that nobody needs lists any more.
struct DispatcherStopped;

impl EndpointWatcher<'_> {
    /// Watches until the dispatcher has stopped.
    ///
    /// Where discovery is polled, the first request and each request after a failure are sent when the decision module
    /// requests a watch, so that the balancers that share the service do not send theirs all at once.
    async fn watch(&mut self) {
        if self.polls_discovery && self.wait_for_first_watch().await.is_err() {
            return;
        }
        loop {
            let request = self.state.next_request();
            let wait_end = Instant::now() + request.wait;
            let Ok(listing) = self.fetch(request).await else { return };
            if !self.state.accepts(&listing) {
                self.state.needs_full_list = true;
                continue;
            }
            let is_unchanged = listing.rev == self.state.revision && !self.state.may_have_missed;
            if self.apply(listing).is_err() {
                return;
            }
            if is_unchanged && Instant::now() < wait_end {
                sleep(UNCHANGED_PAUSE).await;
            }
        }
    }

    /// Waits until the first watch is due where discovery is polled.
    async fn wait_for_first_watch(&mut self) -> Result<(), DispatcherStopped> {
        match self.state.needs_full_list {
            true => self.wait_for_watch_request(DispatcherMessage::DiscoveryMoved).await.map(drop),
            false => self.watch_requests.recv().await.ok_or(DispatcherStopped),
        }
    }

    /// Sends requests until one of them is answered, and returns the list.
    async fn fetch(&mut self, mut request: ListRequest) -> Result<Listing, DispatcherStopped> {
        loop {
            self.calls.start(request);
            let failure = match self.calls.next_event().await {
                CallEvent::Answered(listing) => return Ok(listing),
                CallEvent::Failed(error) => Some(error),
                CallEvent::Silent => None,
            };
            if self.failures == 0 {
                let error =
                    failure.as_ref().map_or_else(|| "no response in time".into(), ToString::to_string);
                tracing::info!("discovery failed at {}: {error}", self.address);
            }
            self.failures = self.failures.saturating_add(1);
            self.state.may_have_missed = true;
            // Requests need not wait for a list that may never come.
            self.discovery_attempted_sender.send_replace(true);
            let late_answer = match (self.polls_discovery, failure) {
                (true, _) => self.wait_for_watch_request(DispatcherMessage::DiscoveryFailed).await?,
                (false, Some(_)) => self.pause().await,
                (false, None) => None, // the silent call is open
            };
            if let Some(listing) = late_answer {
                return Ok(listing);
            }
            request = self.state.next_request();
        }
    }

    /// Pauses after a failure. Returns the list if an earlier call is answered meanwhile.
    async fn pause(&mut self) -> Option<Listing> {
        let pause = Duration::from_millis(self.rng.u64(FAILURE_PAUSE_MS));
        tokio::select! {
            listing = self.calls.answer() => Some(listing),
            () = sleep(pause) => None,
        }
    }

    /// Sends a message to the dispatcher and waits until the decision module requests a watch. Earlier watch requests
    /// are dropped, as they belong to the watch that has ended. Returns the list if an earlier call is answered meanwhile.
    async fn wait_for_watch_request(
        &mut self,
        message: DispatcherMessage,
    ) -> Result<Option<Listing>, DispatcherStopped> {
        while self.watch_requests.try_recv().is_ok() {}
        self.dispatcher_sender.send(message).map_err(|_| DispatcherStopped)?;
        tokio::select! {
            listing = self.calls.answer() => Ok(Some(listing)),
            requested = self.watch_requests.recv() => requested.map(|()| None).ok_or(DispatcherStopped),
        }
    }

    /// Sends a list to the dispatcher.
    fn apply(&mut self, listing: Listing) -> Result<(), DispatcherStopped> {
        if self.failures > 0 {
            let (address, failures) = (self.address, self.failures);
            tracing::info!("discovery at {address} responds again after {failures} failures");
        }
        self.failures = 0;
        self.state = WatchState { revision: listing.rev, needs_full_list: false, may_have_missed: false };
        let message = DispatcherMessage::EndpointList { listing, discovery: self.address };
        self.dispatcher_sender.send(message).map_err(|_| DispatcherStopped)?;
        self.discovery_attempted_sender.send_replace(true);
        Ok(())
    }
}
