//! The exchange of one attempt: sends the request on an upstream connection and receives the response.
//!
//! Three types describe how an exchange ends. [`ExchangeOutcome`] is what [`exchange`] returns: the result of an
//! attempt that has ended, or a response whose body is still to be streamed. [`AttemptResult`] is the result of an
//! ended attempt, with its response and connection. [`AttemptOutcome`] is the part of the result that the decision
//! module receives.

use crate::proxy::body::buffer::{BufferedBody, buffer_body};
use crate::proxy::body::memory::{MemoryBudget, MemoryPermit, Stream};
use crate::proxy::body::request_body::{RequestBody, UpstreamRequestBody};
use crate::proxy::body::{MAX_BODY, MAX_BUFFERED_BODY, MAX_MEMORY_WAIT};
use crate::proxy::downstream::connection::ClientLiveness;
use crate::proxy::send_check::{NotSentReason, SendCheck, SendConditions, format_seconds};
use crate::proxy::shutdown_schedule::StreamingCondition;
use crate::proxy::sync::lock;
use crate::proxy::upstream::connect::{ConnectDeadline, ConnectError};
use crate::proxy::upstream::connection::{BodyEndCallback, Connection};
use crate::proxy::upstream::pool::ConnectionSource;
use balancer::decision::AttemptOutcome;
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::header::HeaderValue;
use hyper::{Request, Response, StatusCode};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use tokio::time::{Duration, Instant};

/// How long a response of unknown or large size is buffered before it is forwarded. If the upstream aborts the response
/// within this time, the request can still be retried.
pub const MAX_BUFFERING_TIME: Duration = Duration::from_millis(50);

/// The result of an attempt, or of a load query, that has ended.
pub struct AttemptResult {
    /// How the attempt ended, as reported to the decision module.
    pub outcome: AttemptOutcome,
    /// The response, if it was received and buffered completely.
    pub response: Option<Response<Bytes>>,
    /// The connection, if it can be reused.
    pub connection: Option<Connection>,
}

impl From<AttemptOutcome> for AttemptResult {
    fn from(outcome: AttemptOutcome) -> Self {
        Self { outcome, response: None, connection: None }
    }
}

/// What [`exchange`] returns: the result of an attempt that has ended, or a response that is to be streamed.
pub enum ExchangeOutcome {
    /// The attempt has ended.
    Ended(AttemptResult),
    /// The attempt ended because the client has disconnected.
    ClientDisconnected(AttemptResult),
    /// The start of the response is buffered. The rest is too long or too slow to be buffered, or exceeds the memory
    /// limit of buffered bodies, and has to be streamed. The attempt ends with the stream.
    ResponseStarted(Box<StartedResponse>),
}

/// A response that has started and whose body is still being received.
pub struct StartedResponse {
    /// The head, with the buffered start of the body.
    pub head: Response<Bytes>,
    /// The rest of the body.
    pub body: Incoming,
    /// The connection that the response is received on.
    pub connection: Connection,
    /// The memory reserved for the stream.
    pub memory_permit: MemoryPermit,
}

impl StartedResponse {
    /// Whether the response is known to be too long to be buffered.
    pub fn is_long(&self) -> bool {
        let known_length = self.head.body().len() as u64 + self.body.size_hint().lower();
        known_length > MAX_BUFFERED_BODY as u64
    }
}

impl From<AttemptOutcome> for ExchangeOutcome {
    fn from(outcome: AttemptOutcome) -> Self {
        Self::Ended(outcome.into())
    }
}

/// The connection, the deadlines and the shared state of one attempt.
pub struct ExchangeContext {
    pub connection_source: ConnectionSource,
    /// The address of the upstream.
    pub address: SocketAddr,
    /// How long establishing a new connection may take.
    pub connect_timeout: Duration,
    /// When the attempt times out.
    pub attempt_deadline: Instant,
    /// When the request times out; `None` while its body is still being received, and for a load query.
    pub request_deadline: Option<Instant>,
    /// Set when a try to connect fails and this machine or its network may be the cause. If `request_deadline` is
    /// known, the attempt then times out at that time instead of `attempt_deadline`.
    pub possible_local_failure: Arc<AtomicBool>,
    /// From this time on, no more of the request is written; `None` for no limit.
    pub begin_by: Option<Instant>,
    /// Counts the attempts whose request was written completely; `None` for a load query.
    pub attempt_counter: Option<Arc<AtomicU64>>,
    /// The memory budget that the response counts towards.
    pub memory: Arc<MemoryBudget>,
    /// The client that sent the request; `None` for a load query.
    pub client: Option<ClientLiveness>,
    /// When the client stops waiting, as known when its request was accepted; `None` for a load query.
    pub client_deadline: Option<Instant>,
    /// Whether the response may be streamed; `None` for a load query.
    pub streaming_condition: Option<StreamingCondition>,
    /// Set right before the first byte of the request is written.
    pub write_started: Arc<AtomicBool>,
}

/// Sends a request on an idle or a new connection. Returns when the response is complete, when enough of a long
/// response has been received to start forwarding it, or when the attempt has failed.
pub async fn exchange(mut request: Request<RequestBody>, context: ExchangeContext) -> ExchangeOutcome {
    let is_past_begin_by = || context.begin_by.is_some_and(|begin_by| Instant::now() >= begin_by);
    let mut connection = match context.connection_source {
        ConnectionSource::Idle(connection) => connection,
        ConnectionSource::New(permit) => {
            let latest_end = Instant::now() + context.connect_timeout;
            let latest_end = context.begin_by.map_or(latest_end, |begin_by| begin_by.min(latest_end));
            let connect_deadline = ConnectDeadline {
                end: latest_end.min(context.attempt_deadline),
                end_after_possible_local_failure: latest_end
                    .min(context.request_deadline.unwrap_or(context.attempt_deadline)),
                possible_local_failure: &context.possible_local_failure,
            };
            match Connection::open(context.address, permit, connect_deadline).await {
                Ok(connection) => connection,
                Err(ConnectError::Local(_)) => return AttemptOutcome::NotSent.into(),
                // `begin_by` ended the try to connect before the connect timeout: the upstream is not at fault.
                Err(ConnectError::TimedOut) if is_past_begin_by() => return AttemptOutcome::NotSent.into(),
                Err(ConnectError::Peer(_) | ConnectError::TimedOut) => {
                    return AttemptOutcome::ConnectFailed.into();
                }
            }
        }
    };
    let remainder = request.body().remainder.clone();
    let conditions = SendConditions {
        client: context.client.clone(),
        client_deadline: context.client_deadline,
        attempt_deadline: context
            .request_deadline
            .filter(|_| context.possible_local_failure.load(Ordering::Relaxed))
            .unwrap_or(context.attempt_deadline),
        begin_by: context.begin_by,
        streamed: remainder.is_some(),
    };
    let never_sent = AttemptResult { outcome: AttemptOutcome::NotSent, response: None, connection: None };
    match conditions.check_start() {
        Ok(budget) => {
            let header_value = HeaderValue::from_str(&format_seconds(budget));
            request.headers_mut().insert("x-budget", header_value.unwrap_or(HeaderValue::from_static("0")));
        }
        Err(reason) => {
            return unsent_outcome(reason, AttemptResult { connection: Some(connection), ..never_sent });
        }
    }
    let progress = connection.progress.clone();
    progress.body_ended.store(false, Ordering::Relaxed);
    progress.request_written.store(false, Ordering::Relaxed);
    *lock(&progress.attempt_counter) = context.attempt_counter;
    *lock(&progress.send_check) = Some(SendCheck::new(conditions, context.write_started.clone()));
    let callback_progress = connection.progress.clone();
    let on_body_end: BodyEndCallback =
        Box::new(move || callback_progress.body_ended.store(true, Ordering::Relaxed));
    let client_disconnected = || context.client.as_ref().is_some_and(|client| client.is_disconnected(false));
    let on_connection_error = || -> ExchangeOutcome {
        if let Some(reason) = lock(&progress.send_check).as_ref().and_then(SendCheck::not_sent_reason) {
            let write_started = context.write_started.load(Ordering::Relaxed);
            let outcome = if write_started && reason == NotSentReason::ClientDisconnected {
                AttemptOutcome::Cancelled
            } else {
                AttemptOutcome::NotSent
            };
            return unsent_outcome(reason, outcome.into());
        }
        match progress.request_written.load(Ordering::Relaxed) {
            // The client aborted the request body or exceeded its size limit: the upstream is not at fault.
            _ if remainder.as_ref().is_some_and(|remainder| remainder.is_aborted()) => {
                match client_disconnected() {
                    true => ExchangeOutcome::ClientDisconnected(AttemptOutcome::Cancelled.into()),
                    false => AttemptOutcome::Cancelled.into(),
                }
            }
            true => AttemptOutcome::Reset.into(),
            false => AttemptOutcome::ConnectFailed.into(),
        }
    };
    let backpressure = progress.backpressure.clone();
    let request = request.map(|body| Box::new(UpstreamRequestBody::new(body, backpressure, on_body_end)));
    let Ok(response) = connection.sender.send_request(request).await else {
        return on_connection_error();
    };
    connection.permit.shared.reachability.record_contact(context.address);
    let (head, mut body) = response.into_parts();
    let is_rejected = head.headers.get("x-rejected").is_some_and(|value| value == "1");
    let outcome = match head.status {
        StatusCode::OK => AttemptOutcome::Success,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if is_rejected => {
            AttemptOutcome::Rejected
        }
        // 408 and 429 concern the connection and the load. All other 4xx codes concern the request itself.
        StatusCode::REQUEST_TIMEOUT | StatusCode::TOO_MANY_REQUESTS => AttemptOutcome::Error,
        status if status.is_client_error() => AttemptOutcome::InvalidRequest,
        _ => AttemptOutcome::Error,
    };
    if body.size_hint().lower() > MAX_BODY {
        return AttemptOutcome::Error.into(); // exceeds the response size limit
    }
    let may_stream = context.streaming_condition.as_ref().is_none_or(StreamingCondition::holds);
    let size = body.size_hint().exact().and_then(|size| usize::try_from(size).ok());
    if !may_stream && size.is_some_and(|size| size > MAX_BUFFERED_BODY) {
        return undeliverable_outcome(outcome, "the process might end before it").into();
    }
    let bufferable_size = size.filter(|size| *size <= MAX_BUFFERED_BODY);
    // A response of unknown length may be small but slow. After this time, the client receives it as a stream.
    let buffering_deadline =
        (may_stream && bufferable_size.is_none()).then(|| Instant::now() + MAX_BUFFERING_TIME);
    let is_long = body.size_hint().lower() > MAX_BUFFERED_BODY as u64;
    let (buffered, complete) = if is_long && context.memory.is_scarce() {
        (Bytes::new(), false)
    } else {
        match buffer_body(&mut body, MAX_BUFFERED_BODY, buffering_deadline, &context.memory).await {
            Ok(BufferedBody { buffered, complete }) => (buffered, complete || body.is_end_stream()),
            Err(_) => return on_connection_error(),
        }
    };
    let head = Response::from_parts(head, buffered);
    if complete {
        let connection = connection.into_reusable().await;
        return ExchangeOutcome::Ended(AttemptResult { outcome, response: Some(head), connection });
    }
    if !may_stream || !matches!(outcome, AttemptOutcome::Success | AttemptOutcome::InvalidRequest) {
        // An error response is not streamed to the client.
        return undeliverable_outcome(outcome, "the process might end before it").into();
    }
    let time_left = context.attempt_deadline.saturating_duration_since(Instant::now());
    let memory_deadline = Instant::now() + MAX_MEMORY_WAIT.min(time_left / 2);
    match context.memory.reserve_stream(Stream::Response, memory_deadline).await {
        Some(memory_permit) => {
            let started = StartedResponse { head, body, connection, memory_permit };
            ExchangeOutcome::ResponseStarted(Box::new(started))
        }
        None => undeliverable_outcome(outcome, "its stream does not fit into the memory limit").into(),
    }
}

/// The outcome of an exchange whose response, which has this outcome, is not forwarded because of its length, for this
/// reason.
fn undeliverable_outcome(outcome: AttemptOutcome, reason: &str) -> AttemptOutcome {
    match outcome {
        AttemptOutcome::Success | AttemptOutcome::InvalidRequest => {
            tracing::info!("a long response is not forwarded, as {reason}");
            AttemptOutcome::Undeliverable
        }
        outcome => outcome,
    }
}

/// The outcome of an exchange whose request was not written completely, so that the upstream cannot have run it.
pub fn unsent_outcome(reason: NotSentReason, result: AttemptResult) -> ExchangeOutcome {
    match reason {
        NotSentReason::ClientDisconnected => ExchangeOutcome::ClientDisconnected(result),
        NotSentReason::TooLate => ExchangeOutcome::Ended(result),
    }
}
