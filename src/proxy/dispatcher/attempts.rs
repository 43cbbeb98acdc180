//! Attempts: their start, their response and their end.

use super::{AttemptInFlight, Dispatcher};
use crate::proxy::body::request_body::{BodyRemainder, RequestBody};
use crate::proxy::body::response_body::ResponseBody;
use crate::proxy::messages::{DispatcherMessage, FinalResponse};
use crate::proxy::metrics::{self};
use crate::proxy::minimum_rate::IDLE_TIMEOUT;
use crate::proxy::send_check::upstream_budget;
use crate::proxy::upstream::exchange::{
    AttemptResult, ExchangeContext, ExchangeOutcome, StartedResponse, exchange,
};
use crate::proxy::upstream::pool::ConnectionSource;
use balancer::decision::{AttemptEnd, AttemptOutcome, EndpointId, Event, LoadReport, RequestId, Time};
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, Response, Version};
use std::collections::HashMap;
use std::future::pending;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::{oneshot, watch};
use tokio::time::{Instant, sleep_until, timeout};

impl Dispatcher {
    pub(super) fn send(&mut self, id: RequestId, endpoint: EndpointId, until: Time, begin_by: Option<Time>) {
        let now = self.clock.now();
        let Some(open) = self.requests.get_mut(&id) else { return };
        let (number, until) = (open.attempts, open.deadline.map_or(until, |deadline| until.min(deadline)));
        open.attempts += 1;
        let upstream = self.endpoints.get(&endpoint).copied();
        let client_deadline = open.client_deadline;
        let has_time = upstream_budget(Duration::from_nanos(client_deadline.saturating_sub(now))).is_some();
        let in_time = has_time && now < until && begin_by.is_none_or(|end| now < end);
        let allowed = in_time && number < self.config.settings.max_attempts;
        let possible = open.response_sender.is_some() && allowed && !open.request.body().is_consumed();
        let target = upstream.filter(|_| possible).and_then(|upstream| Some((upstream, upstream.address?)));
        let Some((upstream, address)) = target else { return self.not_sent(id, number) };
        let Some(connection_source) = self.idle.acquire(endpoint) else { return self.not_sent(id, number) };
        let request = forwarded(&open.request, address);
        let (cancel, cancelled) = oneshot::channel::<()>();
        let write_started = Arc::new(AtomicBool::new(false));
        let mark = write_started.clone();
        open.attempts_in_flight.push(AttemptInFlight {
            number,
            endpoint,
            upstream,
            sent: now,
            begun: None,
            write_started,
            cancel: Some(cancel),
        });
        let remainder = open.request.body().remainder.clone().filter(|_| open.deadline.is_none());
        let expiry =
            expiry(self.clock.instant(until), remainder.map(|remainder| (open.whole.subscribe(), remainder)));
        let (messages, client) = (self.messages.clone(), Some(open.client.clone()));
        let attempt_counter = Some(self.counters.attempts());
        let begin_by = begin_by.map(|end| self.clock.instant(end));
        let deadline = open.deadline.map(|deadline| self.clock.instant(deadline));
        let means = self.means(connection_source, address, self.clock.instant(until), attempt_counter);
        let local_failure = means.local_failure.clone();
        let client_deadline = Some(self.clock.instant(client_deadline));
        let means = ExchangeContext {
            write_started: mark.clone(),
            request_deadline: deadline,
            begin_by,
            client,
            client_deadline,
            ..means
        };
        let exchange = exchange(request, means);
        let expiry = async move {
            expiry.await;
            if let Some(deadline) = deadline.filter(|_| local_failure.load(Ordering::Relaxed)) {
                sleep_until(deadline).await;
            }
        };
        tokio::spawn(async move {
            let unless_sent = |outcome, unsent| if mark.load(Ordering::Relaxed) { outcome } else { unsent };
            let exchanged = tokio::select! {
                biased; // nobody wants the answer to what is withdrawn, while one that comes just in time counts
                _ = cancelled => unless_sent(AttemptOutcome::Cancelled, AttemptOutcome::NotSent).into(),
                exchanged = exchange => exchanged,
                () = expiry => unless_sent(AttemptOutcome::Timeout, AttemptOutcome::ConnectFailed).into(),
            };
            let message = match exchanged {
                ExchangeOutcome::Ended(finished) => DispatcherMessage::AttemptEnded(id, number, finished),
                ExchangeOutcome::ClientDisconnected(finished) => {
                    messages.send(DispatcherMessage::ClientDisconnected(id)).ok(); // first, or the request would be sent again
                    DispatcherMessage::AttemptEnded(id, number, finished)
                }
                ExchangeOutcome::ResponseStarted(begun) => {
                    DispatcherMessage::ResponseStarted(id, number, begun)
                }
            };
            messages.send(message).ok();
        });
    }

    pub(super) fn means(
        &self,
        connection_source: ConnectionSource,
        address: SocketAddr,
        until: Instant,
        attempt_counter: Option<Arc<AtomicU64>>,
    ) -> ExchangeContext {
        ExchangeContext {
            connection_source,
            address,
            connect_timeout: self.config.names.connect_timeout,
            attempt_deadline: until,
            request_deadline: None,
            local_failure: Arc::default(),
            begin_by: None,
            attempt_counter,
            body_memory: self.body_memory.clone(),
            client: None,
            client_deadline: None,
            write_started: Arc::default(),
        }
    }

    /// The module hears of it once it is done with what it is at.
    pub(super) fn not_sent(&mut self, id: RequestId, attempt: u32) {
        let open = self.requests.get(&id);
        let closed = open.is_none_or(|open| open.response_sender.is_none());
        let spent = open.is_some_and(|open| open.request.body().is_consumed());
        let end = AttemptEnd {
            attempt,
            outcome: AttemptOutcome::NotSent,
            elapsed: 0,
            request_closed: closed,
            body_consumed: spent,
            load: None,
        };
        self.pending.push_back((id, end));
    }

    /// The answer is passed on as it comes: past its request's time, for as long as it goes on.
    pub(super) fn on_response_started(&mut self, id: RequestId, number: u32, begun: StartedResponse) {
        let deadline = self.requests.get(&id).and_then(|open| open.deadline);
        let deadline = deadline.map(|deadline| self.clock.instant(deadline));
        let Some((sender, _)) = self.take_answer(id) else {
            return self.on_attempt_ended(id, number, AttemptOutcome::Cancelled.into());
        };
        let load = self.load_report(&begun.head);
        let open = self.requests.get_mut(&id);
        let out = open.and_then(|open| open.attempts_in_flight.iter_mut().find(|out| out.number == number));
        let messages = self.messages.clone();
        let report = Box::new(move |finished| {
            messages.send(DispatcherMessage::AttemptEnded(id, number, finished)).ok();
        });
        let StartedResponse { head, body, connection, memory_permit } = begun;
        let passing = |kept| ResponseBody::streamed(kept, body, connection, memory_permit, deadline, report);
        let answer = FinalResponse::Served(head.map(passing));
        if let Some(out) = out {
            out.begun = Some((answer.outcome(), load));
        }
        self.tell(Event::ResponseStarted(id, number));
        sender.send(answer).ok(); // dropped by a caller that has gone, it ends the attempt
    }

    pub(super) fn on_attempt_ended(&mut self, id: RequestId, attempt: u32, finished: AttemptResult) {
        let now = self.clock.now();
        let Some(open) = self.requests.get_mut(&id) else { return };
        let Some(at) = open.attempts_in_flight.iter().position(|out| out.number == attempt) else { return };
        let out = open.attempts_in_flight.swap_remove(at);
        let (class, spent) = (open.class, open.request.body().is_consumed());
        // A request that was still coming held up its attempt.
        let whole = open.whole.borrow().map_or(0, |whole| self.clock.time(whole));
        let elapsed = now.saturating_sub(out.sent.max(whole));
        // One to a process that has drained, gone or been replaced since is of no use.
        let current = out.upstream.in_service && self.endpoints.get(&out.endpoint) == Some(&out.upstream);
        if let Some(connection) = finished.connection.filter(|_| current) {
            self.idle.release(out.endpoint, connection);
        }
        let mut load = finished.response.as_ref().and_then(|response| self.load_report(response));
        if let Some((end, figures)) = out.begun {
            load = figures;
            match finished.outcome {
                AttemptOutcome::Success => self.counters.count(class, end),
                AttemptOutcome::Cancelled => {} // its caller left
                _ => self.counters.count(class, metrics::RequestOutcome::Failure),
            }
        }
        let closing = matches!(finished.outcome, AttemptOutcome::Success | AttemptOutcome::InvalidRequest);
        if let Some(response) = finished.response.filter(|_| closing) {
            self.answer(id, FinalResponse::Served(response.map(ResponseBody::from)));
        }
        let closed = self.requests.get(&id).is_none_or(|open| open.response_sender.is_none());
        let end = AttemptEnd {
            attempt,
            outcome: finished.outcome,
            elapsed,
            request_closed: closed,
            body_consumed: spent,
            load,
        };
        self.tell(Event::AttemptEnded(id, end));
        self.forget_if_done(id);
    }

    /// The load figures that came with an answer.
    pub(super) fn load_report<B>(&self, response: &Response<B>) -> Option<LoadReport> {
        let report = response.headers().get("x-load-report")?;
        load_report(report.as_bytes(), &self.config.names.report_fields)
    }
}

/// Waits until an attempt is given up: at a time, or as much after its request has come whole, or when that
/// gets no further.
pub(super) async fn expiry(
    until: Instant,
    coming: Option<(watch::Receiver<Option<Instant>>, Arc<BodyRemainder>)>,
) {
    let Some((mut whole, remainder)) = coming else { return sleep_until(until).await };
    let limit = until.saturating_duration_since(Instant::now());
    let (mut left, mut moved) = (remainder.remaining(), Instant::now());
    loop {
        let came = timeout(IDLE_TIMEOUT / 10, whole.wait_for(Option::is_some)).await;
        match came.map(|came| came.ok().and_then(|came| *came)) {
            Ok(Some(came)) => return sleep_until(came + limit).await,
            Ok(None) => return pending().await, // nobody waits for its end any more
            Err(_) if remainder.remaining() != left => {
                (left, moved) = (remainder.remaining(), Instant::now())
            }
            Err(_) if moved.elapsed() > IDLE_TIMEOUT => return,
            Err(_) => {}
        }
    }
}

/// The request as an upstream gets it: as it came, in the form for an origin.
pub(super) fn forwarded(request: &Request<RequestBody>, address: SocketAddr) -> Request<RequestBody> {
    let mut request = request.clone();
    *request.version_mut() = Version::HTTP_11;
    if let Some(path) = request.uri().path_and_query().filter(|_| request.uri().authority().is_some()) {
        *request.uri_mut() = path.clone().into();
    }
    let headers = request.headers_mut();
    if !headers.contains_key(HOST) {
        let host = HeaderValue::from_str(&address.to_string());
        headers.insert(HOST, host.unwrap_or(HeaderValue::from_static("upstream")));
    }
    request
}

/// The load figures in a report, in the order of the settings.
pub(super) fn load_report(text: &[u8], fields: &[String]) -> Option<LoadReport> {
    let values: HashMap<String, f32> = serde_json::from_slice(text).ok()?;
    let mut report = LoadReport::default();
    for (figure, field) in report.figures.iter_mut().zip(fields) {
        *figure = *values.get(field)?;
        report.len += 1;
    }
    (report.len > 0).then_some(report)
}
