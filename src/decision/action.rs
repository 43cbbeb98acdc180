//! The output of the decision module: actions for the surrounding program to carry out.

use super::event::{Duration, EndpointId, RequestId, Time};

/// An output of the balancer.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of a request to an endpoint.
    Send {
        /// The request.
        id: RequestId,
        /// The endpoint to send to.
        endpoint: EndpointId,
        /// When the attempt times out if it has not ended.
        times_out_at: Time,
        /// Latest time at which sending may begin. After it, the attempt is not sent: a repeat that arrives after the
        /// idempotency window would run again.
        begin_by: Option<Time>,
    },
    /// Final response: the request is rejected and safe to repeat.
    Reject {
        /// The request.
        id: RequestId,
        /// How long the client should wait before it retries; 0 for no advice.
        retry_after: Duration,
    },
    /// Final response: the request failed and may or may not have run.
    Fail(RequestId),
    /// Cancel an attempt in flight.
    Cancel {
        /// The request.
        id: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
    },
    /// Query an endpoint for its load.
    QueryLoad(EndpointId),
    /// Close the idle connections to an endpoint.
    CloseIdle(EndpointId),
    /// Set a timer that fires as [`Event::Timer`](super::event::Event::Timer).
    SetTimer {
        /// Delay from now.
        after: Duration,
        /// Token to return with the event.
        token: u64,
    },
    /// Watch the endpoint list for changes.
    WatchEndpoints,
    /// Write a log line for the operators.
    Log(String),
}
