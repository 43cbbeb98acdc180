//! Guards that release the resources of a request on drop.

use crate::proxy::body::memory::MemoryPermit;
use crate::proxy::downstream::request_framing::RequestFraming;
use crate::proxy::messages::DispatcherMessage;
use crate::proxy::metrics::InFlightGuard;
use crate::proxy::request_ids::RequestIdGuard;
use crate::proxy::sync::lock;
use balancer::decision::RequestId;
use std::sync::{Arc, Mutex};
use tokio::sync::mpsc::UnboundedSender;

/// Notifies the dispatcher on drop that the client of a request has disconnected. Once the final response was received,
/// the id is cleared, and nothing is sent.
pub struct CancelOnDrop<'a>(pub Option<RequestId>, pub &'a UnboundedSender<DispatcherMessage>);

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.0 {
            self.1.send(DispatcherMessage::ClientDisconnected(id)).ok();
        }
    }
}

/// The resources that a request holds until its response has ended.
pub struct RequestGuard {
    /// The framing state of the client connection, if the response is streamed.
    pub framing: Option<Arc<Mutex<RequestFraming>>>,
    /// Counts the request as in flight; `None` until the request was received completely.
    pub _in_flight: Option<InFlightGuard>,
    /// The claim of the id that the client gave the request.
    pub _request_id_guard: Arc<RequestIdGuard>,
    /// The memory reserved for the head of the request.
    pub _request_permit: MemoryPermit,
    /// The memory reserved for the stream of a body that is not buffered as a whole.
    pub _stream_permit: Option<MemoryPermit>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        if let Some(framing) = &self.framing {
            lock(framing).finish_response(true);
        }
    }
}
