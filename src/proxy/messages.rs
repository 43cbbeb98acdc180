//! Messages that the tasks of the proxy exchange.

use crate::config::endpoint_listing::Listing;
use crate::proxy::body::request_body::RequestBody;
use crate::proxy::body::response_body::ResponseBody;
use crate::proxy::downstream::connection::ClientLiveness;
use crate::proxy::metrics;
use crate::proxy::orders::OrderRequest;
use crate::proxy::request_ids::RequestIdGuard;
use crate::proxy::shared_folder::FolderEvent;
use crate::proxy::upstream::exchange::{AttemptResult, StartedResponse};
use balancer::decision::{EndpointId, RequestId};
use hyper::{Request, Response, StatusCode};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// A message from another task to the dispatcher.
pub enum DispatcherMessage {
    /// A client's request, received completely or up to the size that is buffered.
    Request(Box<ClientRequest>),
    /// A streamed request has been received completely, or may have been.
    RequestReceived(ReceivedRequest),
    /// The client of a request has closed its connection.
    ClientDisconnected(RequestId),
    /// The response to the attempt with this number has started, and its rest is to be streamed.
    ResponseStarted(RequestId, u32, Box<StartedResponse>),
    /// The attempt with this number ended.
    AttemptEnded(RequestId, u32, AttemptResult),
    /// A load query to an endpoint ended.
    LoadQueryEnded(EndpointId, AttemptResult),
    /// Clients cannot be accepted for lack of file descriptors or socket memory. Closing idle connections frees both.
    ResourceShortage,
    /// The discovery service at this address returned a complete endpoint list or a change to it.
    EndpointList { listing: Listing, discovery: SocketAddr },
    /// A request to discovery failed, or the watch on the endpoint list broke.
    DiscoveryFailed,
    /// Discovery has moved to another address, which has not been queried yet.
    DiscoveryMoved,
    /// An operator takes an endpoint offline or brings it back online.
    OperatorOrder(OrderRequest),
    /// The folder shared with other processes was checked, or an operator's order was processed there.
    SharedFolder(FolderEvent),
}

/// A client's request, with the sender of its final response.
pub struct ClientRequest {
    pub id: RequestId,
    /// The claim of the id that the client gave the request.
    pub request_id_guard: Arc<RequestIdGuard>,
    /// The request without the headers that concern only the client's connection.
    pub request: Request<RequestBody>,
    /// Tells whether the client is still connected.
    pub client: ClientLiveness,
    /// The position of the request's class in the settings.
    pub class: usize,
    /// The position of the request's tenant in the settings.
    pub tenant: usize,
    /// The expected work in nanoseconds, if the client states it.
    pub work: Option<u64>,
    /// When the client stops waiting. If the body is still being received, this is counted from the end of its buffered
    /// part, and replaced by the deadline in [`DispatcherMessage::RequestReceived`].
    pub deadline: Instant,
    pub response_sender: oneshot::Sender<FinalResponse>,
}

/// When a streamed request was received.
pub struct ReceivedRequest {
    pub id: RequestId,
    /// When its last byte was received.
    pub received_at: Instant,
    /// Its deadline, counted from its last byte.
    pub deadline: Instant,
}

/// The final response to a request.
pub enum FinalResponse {
    /// The response of an upstream.
    Served(Response<ResponseBody>),
    /// Rejected, with the time after which the client may retry; zero for no advice.
    Rejected(Duration),
    /// Failed; the request may or may not have run.
    Failed,
}

impl FinalResponse {
    /// The outcome that the request is counted with; for a streamed response, only if it completes.
    pub fn outcome(&self) -> metrics::RequestOutcome {
        match self {
            Self::Served(response) if response.status() == StatusCode::OK => metrics::RequestOutcome::Success,
            Self::Rejected(_) => metrics::RequestOutcome::Busy,
            Self::Served(_) | Self::Failed => metrics::RequestOutcome::Failure,
        }
    }
}
