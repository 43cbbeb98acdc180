//! The attempts of requests: how each is started, how its response is received, and how it ends.

use super::{AttemptInFlight, Dispatcher};
use crate::proxy::body::request_body::{BodyRemainder, RequestBody};
use crate::proxy::body::response_body::ResponseBody;
use crate::proxy::messages::{DispatcherMessage, FinalResponse};
use crate::proxy::metrics::{self};
use crate::proxy::minimum_rate::IDLE_TIMEOUT;
use crate::proxy::send_check::upstream_budget;
use crate::proxy::shutdown_schedule::StreamingCondition;
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
    /// Starts an attempt, or queues its end as not sent if it is too late or impossible to send it.
    pub(super) fn send_attempt(
        &mut self,
        id: RequestId,
        endpoint: EndpointId,
        attempt_deadline: Time,
        begin_by: Option<Time>,
    ) {
        let now = self.clock.now();
        let Some(pending_request) = self.requests.get_mut(&id) else { return };
        let (number, attempt_deadline) = (
            pending_request.attempts,
            pending_request
                .request_deadline
                .map_or(attempt_deadline, |deadline| attempt_deadline.min(deadline)),
        );
        pending_request.attempts += 1;
        let upstream = self.endpoints.get(&endpoint).copied();
        let client_deadline = pending_request.client_deadline;
        let has_time_for_attempt =
            upstream_budget(Duration::from_nanos(client_deadline.saturating_sub(now))).is_some();
        let in_time =
            has_time_for_attempt && now < attempt_deadline && begin_by.is_none_or(|begin_by| now < begin_by);
        let is_allowed = in_time && number < self.config.settings.max_attempts;
        let can_send = pending_request.response_sender.is_some()
            && is_allowed
            && !pending_request.request.body().has_read_started();
        let target = upstream.filter(|_| can_send).and_then(|upstream| Some((upstream, upstream.address?)));
        let Some((upstream, address)) = target else { return self.queue_not_sent(id, number) };
        let Some(connection_source) = self.idle_pool.acquire(endpoint) else {
            return self.queue_not_sent(id, number);
        };
        if number > 0 {
            let (id, endpoint) = (pending_request.request_id_guard.text(), endpoint.0);
            tracing::info!(id, attempt = number, endpoint, "request retried after a failed attempt");
        }
        let request = upstream_request(&pending_request.request, address);
        let (cancel_sender, cancelled) = oneshot::channel::<()>();
        let write_started = Arc::new(AtomicBool::new(false));
        let task_write_started = write_started.clone(); // the same flag, for the task that runs the attempt
        pending_request.attempts_in_flight.push(AttemptInFlight {
            number,
            endpoint,
            upstream,
            started_at: now,
            started_response: None,
            write_started,
            cancel_sender: Some(cancel_sender),
        });
        // Only while the request is still being received, when its deadline is not known yet.
        let incomplete_remainder = pending_request
            .request
            .body()
            .remainder
            .clone()
            .filter(|_| pending_request.request_deadline.is_none());
        let expiry = wait_for_expiry(
            self.clock.instant(attempt_deadline),
            incomplete_remainder.map(|remainder| (pending_request.received_at.subscribe(), remainder)),
        );
        let (dispatcher_sender, client) =
            (self.dispatcher_sender.clone(), Some(pending_request.client.clone()));
        let attempt_counter = Some(self.counters.attempt_counter());
        let begin_by = begin_by.map(|begin_by| self.clock.instant(begin_by));
        let request_deadline = pending_request.request_deadline.map(|deadline| self.clock.instant(deadline));
        let streaming_condition = Some(StreamingCondition {
            received_at: pending_request.received_at.subscribe(),
            shutdown: self.shutdown.clone(),
        });
        let context = self.exchange_context(
            connection_source,
            address,
            self.clock.instant(attempt_deadline),
            attempt_counter,
        );
        let possible_local_failure = context.possible_local_failure.clone();
        let client_deadline = Some(self.clock.instant(client_deadline));
        let context = ExchangeContext {
            write_started: task_write_started.clone(),
            request_deadline,
            begin_by,
            client,
            client_deadline,
            streaming_condition,
            ..context
        };
        let exchange = exchange(request, context);
        let expiry = async move {
            expiry.await;
            // If connect errors that may be local delayed the attempt, it may run until the request's deadline.
            if let Some(deadline) =
                request_deadline.filter(|_| possible_local_failure.load(Ordering::Relaxed))
            {
                sleep_until(deadline).await;
            }
        };
        tokio::spawn(async move {
            let choose_outcome = |if_write_started, if_unwritten| {
                if task_write_started.load(Ordering::Relaxed) { if_write_started } else { if_unwritten }
            };
            // Cancellation is checked first, as the response of a cancelled attempt is not needed. Expiry is checked
            // last, so that a response that has arrived by then counts.
            let exchange_outcome = tokio::select! {
                biased;
                _ = cancelled => choose_outcome(AttemptOutcome::Cancelled, AttemptOutcome::NotSent).into(),
                exchange_outcome = exchange => exchange_outcome,
                () = expiry => choose_outcome(AttemptOutcome::Timeout, AttemptOutcome::ConnectFailed).into(),
            };
            let message = match exchange_outcome {
                ExchangeOutcome::Ended(result) => DispatcherMessage::AttemptEnded(id, number, result),
                ExchangeOutcome::ClientDisconnected(result) => {
                    // Sent before the attempt's end, which could otherwise cause a retry.
                    dispatcher_sender.send(DispatcherMessage::ClientDisconnected(id)).ok();
                    DispatcherMessage::AttemptEnded(id, number, result)
                }
                ExchangeOutcome::ResponseStarted(started) => {
                    DispatcherMessage::ResponseStarted(id, number, started)
                }
            };
            dispatcher_sender.send(message).ok();
        });
    }

    /// The context of an exchange with an upstream. The fields that only a client's request needs are left empty.
    pub(super) fn exchange_context(
        &self,
        connection_source: ConnectionSource,
        address: SocketAddr,
        attempt_deadline: Instant,
        attempt_counter: Option<Arc<AtomicU64>>,
    ) -> ExchangeContext {
        ExchangeContext {
            connection_source,
            address,
            connect_timeout: self.config.proxy_settings.connect_timeout,
            attempt_deadline,
            request_deadline: None,
            possible_local_failure: Arc::default(),
            begin_by: None,
            attempt_counter,
            memory: self.memory.clone(),
            client: None,
            client_deadline: None,
            streaming_condition: None,
            write_started: Arc::default(),
        }
    }

    /// Queues the end of an attempt that is not sent. The decision module is notified once it has handled the current
    /// event.
    pub(super) fn queue_not_sent(&mut self, id: RequestId, number: u32) {
        let pending_request = self.requests.get(&id);
        let request_closed =
            pending_request.is_none_or(|pending_request| pending_request.response_sender.is_none());
        let body_consumed =
            pending_request.is_some_and(|pending_request| pending_request.request.body().has_read_started());
        let end = AttemptEnd {
            attempt: number,
            outcome: AttemptOutcome::NotSent,
            elapsed: 0,
            request_closed,
            body_consumed,
            load: None,
        };
        self.queued_attempt_ends.push_back((id, end));
    }

    /// Streams a response to the client while the response is received. That may go on past the request's deadline, as
    /// long as the response does not fall below the minimum rate.
    pub(super) fn on_response_started(&mut self, id: RequestId, number: u32, started: StartedResponse) {
        let request_deadline =
            self.requests.get(&id).and_then(|pending_request| pending_request.request_deadline);
        let request_deadline = request_deadline.map(|deadline| self.clock.instant(deadline));
        let Some((sender, _)) = self.take_response_sender(id) else {
            return self.on_attempt_ended(id, number, AttemptOutcome::Cancelled.into());
        };
        if started.is_long() {
            self.counters.count_long_response();
        }
        let load = self.response_load_report(&started.head);
        let pending_request = self.requests.get_mut(&id);
        let attempt = pending_request.and_then(|pending_request| {
            pending_request.attempts_in_flight.iter_mut().find(|attempt| attempt.number == number)
        });
        let endpoint = attempt.as_ref().map(|attempt| attempt.endpoint);
        let pauses = endpoint
            .filter(|endpoint| self.endpoints.contains_key(endpoint))
            .map(|endpoint| self.response_pauses.entry(endpoint).or_default().clone())
            .unwrap_or_default();
        let dispatcher_sender = self.dispatcher_sender.clone();
        let on_end = Box::new(move |result| {
            dispatcher_sender.send(DispatcherMessage::AttemptEnded(id, number, result)).ok();
        });
        let StartedResponse { head, body, connection, memory_permit } = started;
        let streamed = |buffered| {
            ResponseBody::streamed(
                buffered,
                body,
                connection,
                memory_permit,
                request_deadline,
                pauses,
                on_end,
            )
        };
        let response = FinalResponse::Served(head.map(streamed));
        if let Some(attempt) = attempt {
            attempt.started_response = Some((response.outcome(), load));
        }
        self.handle_event(Event::ResponseStarted(id, number));
        // If the client has disconnected, the response is dropped, which ends the attempt.
        sender.send(response).ok();
    }

    /// Handles the end of an attempt: keeps its connection for reuse, responds to the client if the response is final,
    /// and notifies the decision module.
    pub(super) fn on_attempt_ended(&mut self, id: RequestId, number: u32, result: AttemptResult) {
        let now = self.clock.now();
        let Some(pending_request) = self.requests.get_mut(&id) else { return };
        let Some(position) =
            pending_request.attempts_in_flight.iter().position(|attempt| attempt.number == number)
        else {
            return;
        };
        let attempt = pending_request.attempts_in_flight.swap_remove(position);
        if attempt.write_started.load(Ordering::Relaxed) && !result.outcome.never_ran() {
            pending_request.request_id_guard.mark_may_have_run();
        }
        if result.outcome != AttemptOutcome::Success {
            let (endpoint, outcome) = (attempt.endpoint.0, result.outcome);
            let id = pending_request.request_id_guard.text();
            tracing::info!(id, attempt = number, endpoint, ?outcome, "attempt failed");
        }
        let (class, body_consumed) =
            (pending_request.class, pending_request.request.body().has_read_started());
        // The time in which the request was still being received from the client does not count for the attempt.
        let received_at =
            pending_request.received_at.borrow().map_or(0, |received_at| self.clock.time(received_at));
        let elapsed = now.saturating_sub(attempt.started_at.max(received_at));
        // The connection is kept only if the endpoint is still in service with the same process.
        let is_reusable =
            attempt.upstream.in_service && self.endpoints.get(&attempt.endpoint) == Some(&attempt.upstream);
        if let Some(connection) = result.connection.filter(|_| is_reusable) {
            self.idle_pool.release(attempt.endpoint, connection);
        }
        let mut load = result.response.as_ref().and_then(|response| self.response_load_report(response));
        if let Some((request_outcome, started_load)) = attempt.started_response {
            load = started_load;
            match result.outcome {
                AttemptOutcome::Success => self.counters.count(class, request_outcome),
                AttemptOutcome::Cancelled => {} // the client has disconnected
                _ => self.counters.count(class, metrics::RequestOutcome::Failure),
            }
        }
        let is_final = matches!(result.outcome, AttemptOutcome::Success | AttemptOutcome::InvalidRequest);
        if let Some(response) = result.response.filter(|_| is_final) {
            self.respond(id, FinalResponse::Served(response.map(ResponseBody::from)));
        }
        let request_closed =
            self.requests.get(&id).is_none_or(|pending_request| pending_request.response_sender.is_none());
        let end = AttemptEnd {
            attempt: number,
            outcome: result.outcome,
            elapsed,
            request_closed,
            body_consumed,
            load,
        };
        self.handle_event(Event::AttemptEnded(id, end));
        self.remove_if_finished(id);
    }

    /// The load report in the head of a response, if there is a valid one.
    pub(super) fn response_load_report<B>(&self, response: &Response<B>) -> Option<LoadReport> {
        let report = response.headers().get("x-load-report")?;
        parse_load_report(report.as_bytes(), &self.config.proxy_settings.report_fields)
    }
}

/// Completes when an attempt times out. If the whole request was received before the attempt started (`receiving` is
/// `None`), that is at `attempt_deadline`.
///
/// If the request is still being received, the attempt has as much time as there is from now to `attempt_deadline`, but
/// this time runs only from the last byte of the request. Before the last byte, the attempt times out if no part of the
/// request arrives for [`IDLE_TIMEOUT`].
pub(super) async fn wait_for_expiry(
    attempt_deadline: Instant,
    receiving: Option<(watch::Receiver<Option<Instant>>, Arc<BodyRemainder>)>,
) {
    let Some((mut received_at, remainder)) = receiving else { return sleep_until(attempt_deadline).await };
    let time_limit = attempt_deadline.saturating_duration_since(Instant::now());
    let (mut last_allowance, mut last_progress) = (remainder.allowance(), Instant::now());
    loop {
        let received = timeout(IDLE_TIMEOUT / 10, received_at.wait_for(Option::is_some)).await;
        match received.map(|received| received.ok().and_then(|received| *received)) {
            Ok(Some(received)) => return sleep_until(received + time_limit).await,
            Ok(None) => return pending().await, // the request was removed: nothing waits for the attempt's end
            Err(_) if remainder.allowance() != last_allowance => {
                (last_allowance, last_progress) = (remainder.allowance(), Instant::now())
            }
            Err(_) if last_progress.elapsed() > IDLE_TIMEOUT => return,
            Err(_) => {}
        }
    }
}

/// The client's request as it is sent upstream: as HTTP/1.1, with a target in origin form and a Host header.
pub(super) fn upstream_request(request: &Request<RequestBody>, address: SocketAddr) -> Request<RequestBody> {
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

/// Parses a load report and returns its values in the order of `fields`, or `None` if it is malformed or a field is
/// missing.
pub(super) fn parse_load_report(text: &[u8], fields: &[String]) -> Option<LoadReport> {
    let reported: HashMap<String, f32> = serde_json::from_slice(text).ok()?;
    let mut report = LoadReport::default();
    for (value, field) in report.values.iter_mut().zip(fields) {
        *value = *reported.get(field)?;
        report.len += 1;
    }
    (report.len > 0).then_some(report)
}
