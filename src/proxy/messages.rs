//! Messages that the tasks of the proxy exchange.

use crate::config::endpoint_listing::Listing;
use crate::proxy::body::request_body::RequestBody;
use crate::proxy::body::response_body::ResponseBody;
use crate::proxy::downstream::connection::ClientLiveness;
use crate::proxy::metrics;
use crate::proxy::orders::OrderRequest;
use crate::proxy::shared_folder::FolderEvent;
use crate::proxy::upstream::exchange::{AttemptResult, StartedResponse};
use balancer::decision::{EndpointId, RequestId};
use hyper::{Request, Response, StatusCode};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// A message from another task to the dispatcher.
pub enum DispatcherMessage {
    /// A client's request, received whole or up to the size that is buffered.
    Request(Box<ClientRequest>),
    /// The rest of a streamed request was received; the time is the client's deadline.
    RequestReceived(RequestId, Instant),
    /// The client of a request has closed its connection.
    ClientDisconnected(RequestId),
    /// The response to an attempt has started.
    ResponseStarted(RequestId, u32, Box<StartedResponse>),
    /// An attempt ended.
    AttemptEnded(RequestId, u32, AttemptResult),
    /// A load query to an endpoint ended.
    LoadQueryEnded(EndpointId, AttemptResult),
    /// No file descriptors are left to accept clients with.
    DescriptorShortage,
    /// Discovery returned a list or a change of it.
    EndpointList(Listing),
    /// A watch on discovery failed.
    DiscoveryFailed,
    /// Discovery has moved to another address.
    DiscoveryMoved,
    /// An operator takes an endpoint offline or brings it back online.
    OperatorOrder(OrderRequest),
    /// The folder shared with other processes was checked, or an order was carried out there.
    SharedFolder(FolderEvent),
}

/// A client's request.
pub struct ClientRequest {
    pub id: RequestId,
    pub request: Request<RequestBody>,
    pub client: ClientLiveness,
    pub class: usize,
    pub tenant: usize,
    /// The expected work in nanoseconds, if the client states it.
    pub work: Option<u64>,
    /// When the client stops waiting. For a request that is still being received: the deadline if its last byte
    /// arrived now.
    pub deadline: Instant,
    pub response_sender: oneshot::Sender<FinalResponse>,
}

/// The final response to a request.
pub enum FinalResponse {
    /// An endpoint's response.
    Served(Response<ResponseBody>),
    /// Rejected, with the time after which the client may retry; zero for no advice.
    Rejected(Duration),
    /// Failed; the request may or may not have taken effect.
    Failed,
}

impl FinalResponse {
    /// The outcome that this response is counted as.
    pub fn outcome(&self) -> metrics::RequestOutcome {
        match self {
            Self::Served(response) if response.status() == StatusCode::OK => metrics::RequestOutcome::Success,
            Self::Rejected(_) => metrics::RequestOutcome::Busy,
            Self::Served(_) | Self::Failed => metrics::RequestOutcome::Failure,
        }
    }
}
