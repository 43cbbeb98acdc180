//! A single call to discovery: connects, sends the request and reads the list in its response.

use crate::config::endpoint_listing::Listing;
use crate::proxy::upstream::connect::{ConnectDeadline, ConnectError, Reachability, connect};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::error::Error;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::atomic::AtomicBool;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};
use tokio_util::io::InspectReader;

/// Maximum time from the first to the last byte of a response, before the call counts as silent.
const MAX_RESPONSE_TIME: Duration = Duration::from_millis(1500);
/// How long connecting to discovery may take after a failure that is or may be local.
const LOCAL_FAILURE_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of a response, far above that of any list, to bound the memory it takes.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// The time limits of a call.
#[derive(Clone, Copy)]
pub struct CallTimeouts {
    /// How long connecting may take.
    pub connect: Duration,
    /// A call is silent if no byte is received for this time after its wait has ended, or within its response.
    pub silence: Duration,
    /// How long a response is awaited after the call has become silent.
    pub late_response: Duration,
}

/// What a call asks for.
pub struct ListRequest {
    /// The revision after which changes are requested; `None` for the full list.
    pub after: Option<u64>,
    /// How long discovery may wait for a change.
    pub wait: Duration,
}

impl ListRequest {
    fn path(&self) -> String {
        match self.after {
            Some(revision) => format!("/v1/servers?after={revision}&wait_ms={}", self.wait.as_millis()),
            None => "/v1/servers".to_owned(),
        }
    }
}

/// Why a call to discovery failed.
#[derive(Debug, Error)]
pub enum CallError {
    #[error(transparent)]
    Connect(#[from] ConnectError),
    #[error(transparent)]
    Http(#[from] hyper::Error),
    #[error("reading the response: {0}")]
    Body(Box<dyn Error + Send + Sync>),
    #[error("response status {0}")]
    Status(StatusCode),
    #[error(transparent)]
    List(#[from] serde_json::Error),
    #[error("no response, or only a part of it, in time")]
    Silent,
}

/// A connection to discovery.
pub struct DiscoveryConnection {
    address: SocketAddr,
    sender: SendRequest<Empty<Bytes>>,
    /// Marked as changed whenever bytes are received.
    received: watch::Receiver<()>,
}

impl DiscoveryConnection {
    /// Connects to discovery.
    pub async fn open(address: SocketAddr, connect_timeout: Duration) -> Result<Self, CallError> {
        let now = Instant::now();
        let connect_deadline = ConnectDeadline {
            end: now + connect_timeout,
            end_after_possible_local_failure: now + LOCAL_FAILURE_TIMEOUT.max(connect_timeout),
            possible_local_failure: &AtomicBool::default(),
        };
        // There are no other peers whose reachability could be compared with that of discovery.
        let tcp = connect(address, connect_deadline, &Reachability::default()).await?;
        let (received_sender, received) = watch::channel(());
        let tcp = InspectReader::new(tcp, move |_: &[u8]| received_sender.send_replace(()));
        let (sender, connection_task) = handshake(TokioIo::new(tcp)).await?;
        tokio::spawn(connection_task);
        Ok(Self { address, sender, received })
    }

    /// Whether discovery has closed the connection.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and returns the list in its response. Calls `on_silent` once the call is silent, and fails if its
    /// response is not complete after a further wait.
    pub async fn fetch(
        &mut self,
        request: &ListRequest,
        timeouts: CallTimeouts,
        on_silent: impl Fn(),
    ) -> Result<Listing, CallError> {
        let mut received = self.received.clone();
        received.mark_unchanged();
        let mut silent_at = Instant::now() + request.wait + timeouts.silence;
        let mut response_deadline = None;
        let mut give_up_at = None;
        let mut exchange = pin!(self.exchange(request));
        loop {
            tokio::select! {
                biased;
                result = exchange.as_mut() => return result,
                Ok(()) = received.changed() => {
                    let now = Instant::now();
                    let response_end = *response_deadline.get_or_insert(now + MAX_RESPONSE_TIME);
                    silent_at = response_end.min(now + timeouts.silence);
                }
                () = sleep_until(give_up_at.unwrap_or(silent_at)) => {
                    if give_up_at.is_some() {
                        return Err(CallError::Silent);
                    }
                    give_up_at = Some(Instant::now() + timeouts.late_response);
                    on_silent();
                }
            }
        }
    }

    /// Sends a request and reads the list in its response.
    async fn exchange(&mut self, request: &ListRequest) -> Result<Listing, CallError> {
        self.sender.ready().await?;
        let request = Request::get(request.path())
            .header("Host", self.address.to_string())
            .body(Empty::<Bytes>::new())
            .expect("the path and the address are valid in a request");
        let response = self.sender.send_request(request).await?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
        let body = body.map_err(CallError::Body)?.to_bytes();
        if !status.is_success() {
            return Err(CallError::Status(status));
        }
        Ok(serde_json::from_slice(&body)?)
    }
}
