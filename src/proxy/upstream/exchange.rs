//! One attempt: a request on a connection, and its response.

use crate::proxy::body::buffer::{BufferedBody, buffer_body};
use crate::proxy::body::memory::{BodyMemory, MemoryPermit};
use crate::proxy::body::request_body::{RequestBody, UpstreamRequestBody};
use crate::proxy::body::{MAX_BODY, MAX_BUFFERED_BODY};
use crate::proxy::downstream::connection::ClientLiveness;
use crate::proxy::send_check::{NotSent, SendCheck, SendConditions, seconds};
use crate::proxy::sync::lock;
use crate::proxy::upstream::connect::{ConnectDeadline, ConnectError};
use crate::proxy::upstream::connection::{BodyConsumedCallback, Connection};
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

/// How long the start of a long answer may be held, for a server that breaks off at once to be found out.
pub const MAX_START_BUFFERING: Duration = Duration::from_millis(50);

/// How an attempt ended, with the response if it is complete and the connection if it can be reused.
pub struct AttemptResult {
    pub outcome: AttemptOutcome,
    pub response: Option<Response<Bytes>>,
    pub connection: Option<Connection>,
}

impl From<AttemptOutcome> for AttemptResult {
    fn from(outcome: AttemptOutcome) -> Self {
        Self { outcome, response: None, connection: None }
    }
}

/// How the exchange of a request and its response ended.
pub enum ExchangeOutcome {
    Ended(AttemptResult),
    /// The attempt ended because the client has disconnected.
    ClientDisconnected(AttemptResult),
    /// The response to the client has started and is too long to wait for its end.
    ResponseStarted(Box<StartedResponse>),
}

/// A response that has started and whose body is still being received.
pub struct StartedResponse {
    pub head: Response<Bytes>,
    pub body: Incoming,
    pub connection: Connection,
    pub memory_permit: Option<MemoryPermit>,
}

impl From<AttemptOutcome> for ExchangeOutcome {
    fn from(outcome: AttemptOutcome) -> Self {
        Self::Ended(outcome.into())
    }
}

/// What an attempt needs besides its request.
pub struct ExchangeContext {
    pub connection_source: ConnectionSource,
    pub address: SocketAddr,
    pub connect_timeout: Duration,
    /// How long the answer is waited for.
    pub attempt_deadline: Instant,
    /// When its request's time is over, where that is known: an attempt that the own machine holds up has until then.
    pub request_deadline: Option<Instant>,
    /// Is set when the own machine holds it up.
    pub local_failure: Arc<AtomicBool>,
    /// When it must have begun, or it is never sent.
    pub begin_by: Option<Instant>,
    /// Counts the attempts that are written whole.
    pub attempt_counter: Option<Arc<AtomicU64>>,
    pub body_memory: Arc<BodyMemory>,
    /// Whose request it is, if it is a caller's.
    pub client: Option<ClientLiveness>,
    /// When the caller stops waiting, if it is a caller's request.
    pub client_deadline: Option<Instant>,
    /// Is set right before the first byte is written.
    pub write_started: Arc<AtomicBool>,
}

/// Sends a request on a connection, or on a new one, and waits for its whole answer, or for enough of a long one.
pub async fn exchange(mut request: Request<RequestBody>, context: ExchangeContext) -> ExchangeOutcome {
    let is_late = || context.begin_by.is_some_and(|end| Instant::now() >= end);
    let mut connection = match context.connection_source {
        ConnectionSource::Idle(connection) => connection,
        ConnectionSource::New(permit) => {
            let in_any_case = Instant::now() + context.connect_timeout;
            let in_any_case = context.begin_by.map_or(in_any_case, |begin_by| begin_by.min(in_any_case));
            let connect_deadline = ConnectDeadline {
                end: in_any_case.min(context.attempt_deadline),
                end_after_local_failure: in_any_case
                    .min(context.request_deadline.unwrap_or(context.attempt_deadline)),
                local_failure: &context.local_failure,
            };
            match Connection::open(context.address, permit, connect_deadline).await {
                Ok(connection) => connection,
                Err(ConnectError::Local(_)) => return AttemptOutcome::NotSent.into(),
                Err(ConnectError::TimedOut) if is_late() => return AttemptOutcome::NotSent.into(), // before its own time was over
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
            .filter(|_| context.local_failure.load(Ordering::Relaxed))
            .unwrap_or(context.attempt_deadline),
        begin_by: context.begin_by,
        streamed: remainder.is_some(),
    };
    let never_sent = AttemptResult { outcome: AttemptOutcome::NotSent, response: None, connection: None };
    match conditions.may_begin() {
        Ok(budget) => {
            let budget = HeaderValue::from_str(&seconds(budget));
            request.headers_mut().insert("x-budget", budget.unwrap_or(HeaderValue::from_static("0")));
        }
        Err(reason) => {
            return not_sent(reason, AttemptResult { connection: Some(connection), ..never_sent });
        }
    }
    let progress = connection.progress.clone();
    progress.body_consumed.store(false, Ordering::Relaxed);
    progress.written.store(false, Ordering::Relaxed);
    *lock(&progress.attempt_counter) = context.attempt_counter;
    *lock(&progress.send_check) = Some(SendCheck::new(conditions, context.write_started.clone()));
    let taken = connection.progress.clone();
    let taken: BodyConsumedCallback = Box::new(move || taken.body_consumed.store(true, Ordering::Relaxed));
    let client_disconnected = || context.client.as_ref().is_some_and(|client| client.is_disconnected(false));
    let broken = || -> ExchangeOutcome {
        if let Some(reason) = lock(&progress.send_check).as_ref().and_then(SendCheck::not_sent) {
            let begun = context.write_started.load(Ordering::Relaxed);
            let outcome = if begun && reason == NotSent::ClientDisconnected {
                AttemptOutcome::Cancelled
            } else {
                AttemptOutcome::NotSent
            };
            return not_sent(reason, outcome.into());
        }
        match progress.written.load(Ordering::Relaxed) {
            // Its caller broke the request off, which says nothing of the upstream.
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
    let request = request.map(|body| UpstreamRequestBody::new(body, taken));
    let Ok(response) = connection.sender.send_request(request).await else {
        return broken();
    };
    connection.permit.0.reachability.heard(context.address);
    let (head, mut body) = response.into_parts();
    let rejected = head.headers.get("x-rejected").is_some_and(|value| value == "1");
    let outcome = match head.status {
        StatusCode::OK => AttemptOutcome::Success,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if rejected => AttemptOutcome::Rejected,
        // 408 and 429 are about the connection and the load; all else of its kind is about the request.
        StatusCode::REQUEST_TIMEOUT | StatusCode::TOO_MANY_REQUESTS => AttemptOutcome::Error,
        status if status.is_client_error() => AttemptOutcome::InvalidRequest,
        _ => AttemptOutcome::Error,
    };
    if body.size_hint().lower() > MAX_BODY {
        return AttemptOutcome::Error.into(); // larger than any answer may be
    }
    let size = body.size_hint().exact().and_then(|size| usize::try_from(size).ok());
    let small = size.filter(|size| *size <= MAX_BUFFERED_BODY);
    let memory_permit = context.body_memory.try_reserve(small.unwrap_or(MAX_BUFFERED_BODY));
    // One of unknown length may be a small one that comes slowly: its caller gets it as it comes.
    let until = small.is_none().then(|| Instant::now() + MAX_START_BUFFERING);
    let most = if memory_permit.is_some() { MAX_BUFFERED_BODY } else { 0 };
    let (buffered, complete) = match buffer_body(&mut body, most, until).await {
        Ok(BufferedBody { buffered, complete }) => (buffered, complete || body.is_end_stream()),
        Err(_) => return broken(),
    };
    let head = Response::from_parts(head, buffered);
    if complete {
        let connection = connection.settled().await;
        return ExchangeOutcome::Ended(AttemptResult { outcome, response: Some(head), connection });
    }
    match outcome {
        AttemptOutcome::Success | AttemptOutcome::InvalidRequest => {
            ExchangeOutcome::ResponseStarted(Box::new(StartedResponse {
                head,
                body,
                connection,
                memory_permit,
            }))
        }
        outcome => outcome.into(), // nobody gets the rest
    }
}

/// The end of an attempt that was not written, or not to its end, so that it cannot have run.
pub fn not_sent(reason: NotSent, finished: AttemptResult) -> ExchangeOutcome {
    match reason {
        NotSent::ClientDisconnected => ExchangeOutcome::ClientDisconnected(finished),
        NotSent::TooLate => ExchangeOutcome::Ended(finished),
    }
}
