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
    /// A client's request, received completely or up to the size that is buffered.
    Request(Box<ClientRequest>),
    /// The remainder of a streamed request was received. The instant is the client's deadline.
    RequestReceived(RequestId, Instant),
    /// The client of a request has closed its connection.
    ClientDisconnected(RequestId),
    /// The response to the attempt with this number has started.
    ResponseStarted(RequestId, u32, Box<StartedResponse>),
    /// The attempt with this number ended.
    AttemptEnded(RequestId, u32, AttemptResult),
    /// A load query to an endpoint ended.
    LoadQueryEnded(EndpointId, AttemptResult),
    /// Clients cannot be accepted for lack of file descriptors or socket memory, which closing idle connections frees.
    ResourceShortage,
    /// Discovery returned a complete endpoint list or a change to it.
    EndpointList(Listing),
    /// A request to discovery failed or its watch broke.
    DiscoveryFailed,
    /// Discovery has moved to another address, which has not been queried yet.
    DiscoveryMoved,
    /// An operator takes an endpoint offline or brings it back online.
    OperatorOrder(OrderRequest),
    /// The folder shared with other processes was checked, or an operator's order was processed there.
    SharedFolder(FolderEvent),
}

/// A client's request, with the channel that receives its final response.
pub struct ClientRequest {
    pub id: RequestId,
    pub request: Request<RequestBody>,
    pub client: ClientLiveness,
    /// The position of the request's class in the settings.
    pub class: usize,
    /// The position of its tenant in the settings.
    pub tenant: usize,
    /// The work that the client expects it to take, in nanoseconds, if it states that.
    pub work: Option<u64>,
    /// When the client stops waiting. While the body is still being received: the deadline counted from the end of its
    /// buffered part.
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
