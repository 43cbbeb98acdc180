//! One attempt: a request on a connection, and its response.

use crate::proxy::body::buffer::{BufferedBody, buffer_body};
use crate::proxy::body::memory::{BodyMemory, MemoryPermit};
use crate::proxy::body::request_body::{RequestBody, UpstreamRequestBody};
use crate::proxy::body::{MAX_BODY, MAX_BUFFERED_BODY};
use crate::proxy::downstream::connection::Presence;
use crate::proxy::send_check::{Conditions, NotSent, Sending, seconds};
use crate::proxy::sync::lock;
use crate::proxy::upstream::connect::{ConnectError, Patience};
use crate::proxy::upstream::connection::{Connection, Taken};
use crate::proxy::upstream::pool::Link;
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

/// How an attempt ended, with the answer if it is whole and the connection if it can be used again.
pub struct Finished {
    pub outcome: AttemptOutcome,
    pub response: Option<Response<Bytes>>,
    pub connection: Option<Connection>,
}

impl From<AttemptOutcome> for Finished {
    fn from(outcome: AttemptOutcome) -> Self {
        Self { outcome, response: None, connection: None }
    }
}

/// What has come of an attempt.
pub enum Exchanged {
    Ended(Finished),
    /// It ended as its caller has left.
    CallerLeft(Finished),
    /// The caller's answer has begun, and is too long to wait for its end.
    Begun(Box<Begun>),
}

/// An answer that has begun.
pub struct Begun {
    pub head: Response<Bytes>,
    pub body: Incoming,
    pub connection: Connection,
    pub memory_permit: Option<MemoryPermit>,
}

impl From<AttemptOutcome> for Exchanged {
    fn from(outcome: AttemptOutcome) -> Self {
        Self::Ended(outcome.into())
    }
}

/// What an attempt needs beside its request.
pub struct Means {
    pub link: Link,
    pub address: SocketAddr,
    pub connect_timeout: Duration,
    /// How long the answer is waited for.
    pub until: Instant,
    /// When its request's time is over, where that is known: an attempt that the own machine holds up has until then.
    pub deadline: Option<Instant>,
    /// Is set when the own machine holds it up.
    pub held_up: Arc<AtomicBool>,
    /// When it must have begun, or it is never sent.
    pub begin_by: Option<Instant>,
    /// Counts the attempts that are written whole.
    pub tally: Option<Arc<AtomicU64>>,
    pub body_memory: Arc<BodyMemory>,
    /// Whose request it is, if it is a caller's.
    pub caller: Option<Presence>,
    /// When the caller stops waiting, if it is a caller's request.
    pub caller_until: Option<Instant>,
    /// Is set right before the first byte is written.
    pub under_way: Arc<AtomicBool>,
}

/// Sends a request on a connection, or on a new one, and waits for its whole answer, or for enough of a long one.
pub async fn exchange(mut request: Request<RequestBody>, means: Means) -> Exchanged {
    let is_late = || means.begin_by.is_some_and(|end| Instant::now() >= end);
    let mut connection = match means.link {
        Link::Idle(connection) => connection,
        Link::New(slot) => {
            let in_any_case = Instant::now() + means.connect_timeout;
            let in_any_case = means.begin_by.map_or(in_any_case, |begin_by| begin_by.min(in_any_case));
            let patience = Patience {
                end: in_any_case.min(means.until),
                end_if_held_up: in_any_case.min(means.deadline.unwrap_or(means.until)),
                held_up: &means.held_up,
            };
            match Connection::open(means.address, slot, patience).await {
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
    let conditions = Conditions {
        caller: means.caller.clone(),
        caller_until: means.caller_until,
        until: means.deadline.filter(|_| means.held_up.load(Ordering::Relaxed)).unwrap_or(means.until),
        begin_by: means.begin_by,
        streamed: remainder.is_some(),
    };
    let never_sent = Finished { outcome: AttemptOutcome::NotSent, response: None, connection: None };
    match conditions.may_begin() {
        Ok(budget) => {
            let budget = HeaderValue::from_str(&seconds(budget));
            request.headers_mut().insert("x-budget", budget.unwrap_or(HeaderValue::from_static("0")));
        }
        Err(reason) => {
            return not_sent(reason, Finished { connection: Some(connection), ..never_sent });
        }
    }
    let progress = connection.progress.clone();
    progress.body_taken.store(false, Ordering::Relaxed);
    progress.written.store(false, Ordering::Relaxed);
    *lock(&progress.tally) = means.tally;
    *lock(&progress.sending) = Some(Sending::new(conditions, means.under_way.clone()));
    let taken = connection.progress.clone();
    let taken: Taken = Box::new(move || taken.body_taken.store(true, Ordering::Relaxed));
    let caller_left = || means.caller.as_ref().is_some_and(|caller| caller.has_left(false));
    let broken = || -> Exchanged {
        if let Some(reason) = lock(&progress.sending).as_ref().and_then(Sending::not_sent) {
            let begun = means.under_way.load(Ordering::Relaxed);
            let outcome = if begun && reason == NotSent::CallerLeft {
                AttemptOutcome::Cancelled
            } else {
                AttemptOutcome::NotSent
            };
            return not_sent(reason, outcome.into());
        }
        match progress.written.load(Ordering::Relaxed) {
            // Its caller broke the request off, which says nothing of the upstream.
            _ if remainder.as_ref().is_some_and(|remainder| remainder.is_aborted()) => match caller_left() {
                true => Exchanged::CallerLeft(AttemptOutcome::Cancelled.into()),
                false => AttemptOutcome::Cancelled.into(),
            },
            true => AttemptOutcome::Reset.into(),
            false => AttemptOutcome::ConnectFailed.into(),
        }
    };
    let request = request.map(|body| UpstreamRequestBody::new(body, taken));
    let Ok(response) = connection.sender.send_request(request).await else {
        return broken();
    };
    connection.slot.0.reachability.heard(means.address);
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
    let memory_permit = means.body_memory.try_reserve(small.unwrap_or(MAX_BUFFERED_BODY));
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
        return Exchanged::Ended(Finished { outcome, response: Some(head), connection });
    }
    match outcome {
        AttemptOutcome::Success | AttemptOutcome::InvalidRequest => {
            Exchanged::Begun(Box::new(Begun { head, body, connection, memory_permit }))
        }
        outcome => outcome.into(), // nobody gets the rest
    }
}

/// The end of an attempt that was not written, or not to its end, so that it cannot have run.
pub fn not_sent(reason: NotSent, finished: Finished) -> Exchanged {
    match reason {
        NotSent::CallerLeft => Exchanged::CallerLeft(finished),
        NotSent::TooLate => Exchanged::Ended(finished),
    }
}
