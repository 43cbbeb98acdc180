//! What the tasks of the proxy tell each other.

use crate::config::endpoint_listing::Listing;
use crate::proxy::body::request_body::Payload;
use crate::proxy::body::response_body::Reply;
use crate::proxy::downstream::connection::Presence;
use crate::proxy::metrics;
use crate::proxy::orders::OrderRequest;
use crate::proxy::shared_folder::FolderEvent;
use crate::proxy::upstream::exchange::{Begun, Finished};
use balancer::decision::{EndpointId, RequestId};
use hyper::{Request, Response, StatusCode};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// What the other tasks tell the driver.
pub enum Input {
    /// A caller's request, read to its last byte or for as much as is kept of it.
    Called(Box<Call>),
    /// All of a request that was still coming has come; its caller waits until then.
    Whole(RequestId, Instant),
    /// The caller of a request has closed its connection.
    CallerGone(RequestId),
    /// An attempt's answer has begun.
    Begun(RequestId, u32, Box<Begun>),
    /// An attempt ended.
    Ended(RequestId, u32, Finished),
    /// A probe of an upstream ended.
    Probed(EndpointId, Finished),
    /// There are no descriptors left to take callers with.
    DescriptorsShort,
    /// Discovery has answered.
    Listed(Listing),
    /// A watch on discovery failed.
    ListFailed,
    /// Lists have to be asked for at another address.
    ListMoved,
    /// An operator takes an upstream out, or puts it back.
    Ordered(OrderRequest),
    /// The folder that processes share was looked at, or an order was carried out there.
    Folder(FolderEvent),
}

/// A caller's request.
pub struct Call {
    pub id: RequestId,
    pub request: Request<Payload>,
    pub caller: Presence,
    pub class: usize,
    pub tenant: usize,
    /// Its work, in nanoseconds, where the caller has a guess.
    pub work: Option<u64>,
    /// When the caller stops waiting; of a request that is still coming, if its last byte came now.
    pub deadline: Instant,
    pub answer: oneshot::Sender<Answer>,
}

/// The final answer to a request.
pub enum Answer {
    /// An upstream's answer.
    Served(Response<Reply>),
    /// Refused, with advice on how long to stay away; zero for none.
    Refused(Duration),
    /// Failed, with no promise on its effect.
    Failed,
}

impl Answer {
    /// How the request ends with it.
    pub fn end(&self) -> metrics::End {
        match self {
            Self::Served(response) if response.status() == StatusCode::OK => metrics::End::Success,
            Self::Refused(_) => metrics::End::Busy,
            Self::Served(_) | Self::Failed => metrics::End::Failure,
        }
    }
}
