//! The calls to discovery that are open at the same time.
//!
//! A call that has become silent is not closed at once: another one is started beside it, and whichever is answered first
//! counts. So a call is open at any time while discovery is silent, and a response that is slow is heard.

use super::client::{CallError, CallTimeouts, DiscoveryConnection, ListRequest};
use crate::config::endpoint_listing::Listing;
use std::net::SocketAddr;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::JoinHandle;

/// Maximum number of calls that are open at the same time.
const MAX_OPEN_CALLS: usize = 2;

/// What has become of the latest call, or that an earlier one has been answered.
pub enum CallEvent {
    /// A call was answered. All other calls are closed.
    Answered(Listing),
    /// The latest call failed.
    Failed(CallError),
    /// The latest call is silent, and remains open for some time.
    Silent,
}

/// The state that a call reports.
enum CallState {
    Answered(Listing, DiscoveryConnection),
    Failed(CallError),
    Silent,
}

/// A call that is open, closed on drop.
struct OpenCall {
    number: u64,
    task: JoinHandle<()>,
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The open calls to the discovery service at one address. Dropping this closes them.
pub struct Calls {
    address: SocketAddr,
    timeouts: CallTimeouts,
    /// The open calls, the earliest one first.
    open: Vec<OpenCall>,
    /// The number of the latest call.
    latest: u64,
    /// The connection of the latest answered call, for the next one.
    connection: Option<DiscoveryConnection>,
    state_sender: UnboundedSender<(u64, CallState)>,
    states: UnboundedReceiver<(u64, CallState)>,
}

impl Calls {
    /// Creates a client of the service at this address that has no open calls.
    pub fn new(address: SocketAddr, timeouts: CallTimeouts) -> Self {
        let (state_sender, states) = unbounded_channel();
        Self { address, timeouts, open: Vec::new(), latest: 0, connection: None, state_sender, states }
    }

    /// Starts a call beside the earliest one that is still open.
    pub fn start(&mut self, request: ListRequest) {
        self.open.truncate(MAX_OPEN_CALLS - 1);
        self.latest += 1;
        let number = self.latest;
        let (address, timeouts, state_sender) = (self.address, self.timeouts, self.state_sender.clone());
        // Discovery may have closed the connection since the last call.
        let connection = self.connection.take().filter(|connection| !connection.is_closed());
        let task = tokio::spawn(async move {
            let on_silent = || drop(state_sender.send((number, CallState::Silent)));
            let call = async {
                let mut connection = match connection {
                    Some(connection) => connection,
                    None => DiscoveryConnection::open(address, timeouts.connect).await?,
                };
                let listing = connection.fetch(&request, timeouts, on_silent).await?;
                Ok((listing, connection))
            };
            let state = match call.await {
                Ok((listing, connection)) => CallState::Answered(listing, connection),
                Err(error) => CallState::Failed(error),
            };
            state_sender.send((number, state)).ok();
        });
        self.open.push(OpenCall { number, task });
    }

    /// Waits for the next event. Cancel safe.
    pub async fn next_event(&mut self) -> CallEvent {
        loop {
            let (number, state) = self.states.recv().await.expect("the sender is kept with the receiver");
            let Some(position) = self.open.iter().position(|call| call.number == number) else { continue };
            match state {
                CallState::Answered(listing, connection) => {
                    self.open.clear();
                    self.connection = Some(connection);
                    return CallEvent::Answered(listing);
                }
                CallState::Failed(error) => {
                    self.open.remove(position);
                    if number == self.latest {
                        return CallEvent::Failed(error);
                    }
                }
                CallState::Silent if number == self.latest => return CallEvent::Silent,
                CallState::Silent => {}
            }
        }
    }

    /// Waits until an open call is answered. Cancel safe.
    pub async fn answer(&mut self) -> Listing {
        loop {
            if let CallEvent::Answered(listing) = self.next_event().await {
                return listing;
            }
        }
    }
}
