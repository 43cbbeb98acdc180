//! Reads and validates requests, hands them to the dispatcher, and turns its results into responses.

use crate::proxy::body::buffer::{BufferedBody, buffer_body};
use crate::proxy::body::memory::{MemoryPermit, Stream};
use crate::proxy::body::request_body::{BodyRemainder, RequestBody};
use crate::proxy::body::response_body::ResponseBody;
use crate::proxy::body::{MAX_BODY, MAX_BUFFERED_BODY, MAX_MEMORY_WAIT, SCARCE_MEMORY_START};
use crate::proxy::downstream::DownstreamServer;
use crate::proxy::downstream::connection::ClientConnection;
use crate::proxy::downstream::guards::{CancelOnDrop, RequestGuard};
use crate::proxy::downstream::request_head::detach_from_read_buffer;
use crate::proxy::downstream::responses::{
    REJECTION_RETRY_AFTER, empty_response, rejection, remove_hop_by_hop_headers,
};
use crate::proxy::downstream::timing::REQUEST_READ_TIMEOUT;
use crate::proxy::messages::{ClientRequest, DispatcherMessage, FinalResponse, ReceivedRequest};
use crate::proxy::metrics::RequestOutcome;
use crate::proxy::sync::lock;
use balancer::decision::{Idempotency, RequestId};
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_LENGTH, HeaderMap};
use hyper::{Method, Request, Response, StatusCode, Version};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout};

/// Maximum time that a client may wait for its response.
pub const MAX_BUDGET: Duration = Duration::from_secs(3600);

/// The parameters of a request, from its path and headers.
pub struct RequestParameters {
    /// The id that the client gave the request, the value of X-Call-Id.
    pub client_request_id: String,
    /// The index of the request's class.
    pub class: usize,
    /// The index of the request's tenant.
    pub tenant: usize,
    /// How long the client waits for the response.
    pub budget: Duration,
    /// The expected work in nanoseconds, if the client states it.
    pub work: Option<u64>,
}

/// Why a request gets a response from the balancer itself, without an attempt.
#[derive(Debug)]
pub enum RequestFailure {
    /// The request is invalid, or was not received in time: the status and the body of the response.
    Invalid(StatusCode, &'static str),
    /// The request of this class is rejected; its client may send it again.
    Rejected { class: usize, reason: RejectionReason },
}

/// Why a request is rejected before it is passed to the dispatcher, or before all of it was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionReason {
    /// The client's connection exceeds the limit on connections or memory.
    OverLimit,
    /// There is no memory for the request.
    NoRequestMemory,
    /// There is no memory, or no connection to an upstream, to stream the request's body.
    NoStreamMemory,
    /// Discovery has not responded yet.
    DiscoveryPending,
    /// The process is shutting down.
    ShuttingDown,
}

/// The start of a request's body, and where the rest of it comes from.
struct ReceivedStart {
    body: RequestBody,
    /// The part that is still being received, and the receiver that is notified at its end; `None` if there is none.
    incomplete: Option<(Arc<BodyRemainder>, oneshot::Receiver<()>)>,
    /// The memory reserved for streaming that part.
    memory_permit: Option<MemoryPermit>,
    /// When the last byte of the start was buffered.
    buffered_at: Instant,
}

/// The value of a header, if it is present and visible ASCII.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

impl DownstreamServer {
    /// Rejects a request on a connection that exceeds the limit.
    pub fn reject_over_limit(&self, request: &Request<Incoming>) -> Response<ResponseBody> {
        match self.class_of(request) {
            Some(class) => self.reject(class, RejectionReason::OverLimit),
            None => rejection(REJECTION_RETRY_AFTER),
        }
    }

    /// Rejects a request that was not passed to the dispatcher, and counts the rejection for its class.
    pub fn reject(&self, class: usize, reason: RejectionReason) -> Response<ResponseBody> {
        let (class_name, usage) = (&self.config.proxy_settings.classes[class], self.memory.usage());
        tracing::info!(class = class_name, ?reason, %usage, "request rejected");
        self.counters.count(class, RequestOutcome::Busy);
        rejection(REJECTION_RETRY_AFTER)
    }

    /// The class that is named in the path of a request.
    pub fn class_of(&self, request: &Request<Incoming>) -> Option<usize> {
        let class_in_path = request.uri().path().split('/').nth(1)?;
        self.config.proxy_settings.classes.iter().position(|class| class == class_in_path)
    }

    /// Responds to a health check or a request for a class.
    pub async fn handle_request(
        &self,
        request: Request<Incoming>,
        connection: &ClientConnection,
    ) -> Response<ResponseBody> {
        if request.uri().path() == "/healthz" {
            self.wait_for_discovery_attempt().await;
            return match *self.ready.borrow() {
                true => empty_response(StatusCode::OK),
                false => empty_response(StatusCode::SERVICE_UNAVAILABLE),
            };
        }
        match self.handle_class_request(request, connection).await {
            Ok(response) => response,
            Err(RequestFailure::Rejected { class, reason }) => self.reject(class, reason),
            Err(RequestFailure::Invalid(code, message)) => {
                tracing::info!(status = code.as_u16(), reason = message.trim_end(), "request not accepted");
                let mut response = Response::new(ResponseBody::from(Bytes::from_static(message.as_bytes())));
                *response.status_mut() = code;
                response
            }
        }
    }

    /// Validates a request for a class, has it dispatched, and returns the response.
    pub async fn handle_class_request(
        &self,
        request: Request<Incoming>,
        connection: &ClientConnection,
    ) -> Result<Response<ResponseBody>, RequestFailure> {
        let framing = &connection.framing;
        if lock(framing).has_both_lengths() {
            return Err(RequestFailure::Invalid(
                StatusCode::BAD_REQUEST,
                "Content-Length beside Transfer-Encoding\n",
            ));
        }
        let parameters = self.parse_parameters(&request)?;
        if request.body().size_hint().lower() > MAX_BODY {
            return Err(RequestFailure::Invalid(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long\n"));
        }
        let Some(request_id_guard) = self.request_ids.claim(&parameters.client_request_id) else {
            tracing::info!(id = parameters.client_request_id, "request refused, as its id may have run");
            self.counters.count(parameters.class, RequestOutcome::Failure);
            return Err(RequestFailure::Invalid(
                StatusCode::CONFLICT,
                "a request with this X-Call-Id is open or may have run\n",
            ));
        };
        let request_id_guard = Arc::new(request_id_guard);
        let request_permit = self.memory.reserve_request(request.headers().len()).await;
        let request_permit = request_permit.ok_or(RequestFailure::Rejected {
            class: parameters.class,
            reason: RejectionReason::NoRequestMemory,
        })?;
        let (mut head, body) = request.into_parts();
        remove_hop_by_hop_headers(&mut head.headers);
        detach_from_read_buffer(&mut head);
        let received_start =
            self.receive_start(connection, body, parameters.class, parameters.budget).await?;
        let ReceivedStart { body, incomplete, memory_permit, buffered_at } = received_start;
        // The body is buffered before this wait, so that the budget already runs during the wait.
        let is_discovery_attempted =
            timeout(parameters.budget, self.wait_for_discovery_attempt()).await.is_ok();
        if !is_discovery_attempted || self.is_rejecting() {
            let reason = match is_discovery_attempted {
                true => RejectionReason::ShuttingDown,
                false => RejectionReason::DiscoveryPending,
            };
            return Err(RequestFailure::Rejected { class: parameters.class, reason });
        }
        let mut guard = RequestGuard {
            framing: None,
            _in_flight: None,
            _request_id_guard: request_id_guard.clone(),
            _request_permit: request_permit,
            _stream_permit: memory_permit,
        };
        let (is_head_request, is_http_1_0) = (head.method == Method::HEAD, head.version < Version::HTTP_11);
        let request = Request::from_parts(head, body);
        let id = RequestId(self.next_request_id.fetch_add(1, Ordering::Relaxed));
        let mut cancel_on_drop = CancelOnDrop(Some(id), &self.dispatcher_sender);
        let (response_sender, mut response_receiver) = oneshot::channel();
        let RequestParameters { class, tenant, work, budget, .. } = parameters;
        let deadline = match &incomplete {
            None => {
                guard._in_flight = Some(self.counters.start_request());
                lock(framing).mark_request_complete() + budget
            }
            Some(_) => buffered_at + budget,
        };
        let client = connection.liveness();
        let client_request = ClientRequest {
            id,
            request_id_guard,
            request,
            client,
            class,
            tenant,
            work,
            deadline,
            response_sender,
        };
        self.dispatcher_sender.send(DispatcherMessage::Request(Box::new(client_request))).ok();
        // The client cannot read this.
        let disconnected = Err(RequestFailure::Invalid(StatusCode::BAD_REQUEST, "the caller has left\n"));
        let mut early_response = None;
        if let Some((remainder, mut remainder_received)) = incomplete {
            // Tells the dispatcher when the request was received, and counts it as in flight. That happens once, as soon as
            // its last byte may have been written, even if it has not been read yet.
            let mut on_received = |received_at: Instant| {
                guard._in_flight = Some(self.counters.start_request());
                let received = ReceivedRequest { id, received_at, deadline: received_at + budget };
                self.dispatcher_sender.send(DispatcherMessage::RequestReceived(received)).ok();
            };
            let mut is_received = false;
            loop {
                tokio::select! {
                    biased;
                    Ok(()) = &mut remainder_received => {
                        let received_at = lock(framing).mark_request_complete();
                        if !is_received {
                            on_received(received_at);
                        }
                        break;
                    }
                    final_response = &mut response_receiver => {
                        early_response = Some(final_response);
                        break;
                    }
                    // While an attempt waits for its connection, the body is not read, so that a disconnect would go
                    // unnoticed without this check of the connection.
                    () = connection.wait_for_disconnect_while_receiving() => return disconnected,
                    // The rest of the body stays unread, so that no upstream receives the whole request.
                    () = self.wait_until_rejecting() => {
                        remainder.abort();
                        return Err(RequestFailure::Rejected { class, reason: RejectionReason::ShuttingDown });
                    }
                    received_at = connection.wait_for_possible_arrival(budget), if !is_received => {
                        is_received = true;
                        on_received(received_at);
                    }
                }
            }
        }
        let final_response = match early_response {
            Some(final_response) => final_response,
            None => tokio::select! {
                biased;
                final_response = response_receiver => final_response,
                // Dropping `cancel_on_drop` cancels the request.
                () = connection.wait_for_disconnect_after_receiving() => return disconnected,
            },
        };
        cancel_on_drop.0 = None;
        Ok(match final_response.unwrap_or(FinalResponse::Failed) {
            FinalResponse::Served(mut response) => {
                *response.version_mut() = Version::HTTP_11;
                let content_length =
                    response.headers().get(CONTENT_LENGTH).filter(|_| is_head_request).cloned();
                remove_hop_by_hop_headers(response.headers_mut());
                // The response to HEAD has no body, but its Content-Length is for the client.
                content_length
                    .map(|content_length| response.headers_mut().insert(CONTENT_LENGTH, content_length));
                if !response.body().is_fully_buffered() {
                    response.body_mut().limit_waiting_bytes(connection.backpressure.clone());
                    guard.framing = Some(framing.clone());
                    // HTTP/1.0 has no chunked encoding: the end of the connection ends the body, so that only an RST
                    // can show the client that the body was aborted.
                    if is_http_1_0 && response.body().size_hint().exact().is_none() {
                        let framing = framing.clone();
                        response.body_mut().on_abort(move || lock(&framing).reset_requested = true);
                    }
                    response.body_mut().keep_until_end(guard);
                }
                response
            }
            FinalResponse::Rejected(retry_after) => rejection(retry_after),
            FinalResponse::Failed => empty_response(StatusCode::BAD_GATEWAY),
        })
    }

    /// Buffers the start of a request's body. If that is not the whole body, reserves the memory for streaming the rest.
    async fn receive_start(
        &self,
        connection: &ClientConnection,
        mut body: Incoming,
        class: usize,
        budget: Duration,
    ) -> Result<ReceivedStart, RequestFailure> {
        let is_long = body.size_hint().lower() > MAX_BUFFERED_BODY as u64;
        let max_buffered =
            if is_long && self.memory.is_scarce() { SCARCE_MEMORY_START } else { MAX_BUFFERED_BODY };
        let buffered_body = buffer_body(&mut body, max_buffered, None, &self.memory);
        let (buffered, complete) = match timeout(REQUEST_READ_TIMEOUT, buffered_body).await {
            Ok(Ok(BufferedBody { buffered, complete })) => (buffered, complete || body.is_end_stream()),
            Ok(Err(_)) => {
                return Err(RequestFailure::Invalid(StatusCode::BAD_REQUEST, "the body broke off\n"));
            }
            Err(_) => {
                return Err(RequestFailure::Invalid(StatusCode::REQUEST_TIMEOUT, "the body did not come\n"));
            }
        };
        let buffered_at = Instant::now();
        if complete {
            let body = RequestBody { buffered, remainder: None };
            return Ok(ReceivedStart { body, incomplete: None, memory_permit: None, buffered_at });
        }
        connection.limit_receive_buffer();
        let memory_deadline = buffered_at + MAX_MEMORY_WAIT.min(budget / 2);
        let memory_permit = self.memory.reserve_stream(Stream::Request, memory_deadline).await;
        let reason = RejectionReason::NoStreamMemory;
        let memory_permit = memory_permit.ok_or(RequestFailure::Rejected { class, reason })?;
        let (remainder, end_receiver) = BodyRemainder::new(buffered, body);
        Ok(ReceivedStart {
            body: RequestBody { buffered: Bytes::new(), remainder: Some(remainder.clone()) },
            incomplete: Some((remainder, end_receiver)),
            memory_permit: Some(memory_permit),
            buffered_at,
        })
    }

    /// Parses and validates the parameters of a request.
    pub fn parse_parameters(&self, request: &Request<Incoming>) -> Result<RequestParameters, RequestFailure> {
        let invalid = RequestFailure::Invalid;
        let bad_request = |message| invalid(StatusCode::BAD_REQUEST, message);
        let (headers, proxy_settings) = (request.headers(), &self.config.proxy_settings);
        let class_in_path = request.uri().path().split('/').nth(1).unwrap_or("");
        let class = self.class_of(request).ok_or(invalid(StatusCode::NOT_FOUND, "no such path\n"))?;
        if header_text(headers, "x-call-class") != Some(class_in_path) {
            return Err(bad_request("X-Call-Class is missing or not that of the path\n"));
        }
        let has_idempotency_key = header_text(headers, "idempotency-key").is_some_and(|key| !key.is_empty());
        let method = match self.config.settings.classes[class].idempotency {
            Idempotency::Idempotent if request.method() == Method::HEAD => Method::HEAD,
            Idempotency::Idempotent => Method::GET,
            Idempotency::Keyed(..) if !has_idempotency_key => {
                return Err(bad_request("Idempotency-Key is missing\n"));
            }
            Idempotency::Keyed(..) | Idempotency::NonIdempotent => Method::POST,
        };
        if request.method() != method {
            return Err(invalid(StatusCode::METHOD_NOT_ALLOWED, "not the method of this class\n"));
        }
        // The balancer and the upstream might use different values of a duplicate header.
        for name in ["x-call-id", "x-call-class", "x-caller", "x-budget", "x-call-cost", "idempotency-key"] {
            if headers.get_all(name).iter().nth(1).is_some() {
                return Err(bad_request("a header is there twice\n"));
            }
        }
        let client_request_id = header_text(headers, "x-call-id").filter(|id| !id.is_empty());
        let tenant = match proxy_settings.tenants.is_empty() {
            true => Some(0),
            false => header_text(headers, "x-caller")
                .and_then(|client| proxy_settings.tenants.iter().position(|tenant| tenant == client)),
        };
        let budget = header_text(headers, "x-budget").and_then(|budget| budget.parse().ok());
        let cost = match headers.contains_key("x-call-cost") {
            false => Some(None),
            true => header_text(headers, "x-call-cost")
                .and_then(|cost| cost.parse::<f64>().ok())
                .filter(|cost| cost.is_finite() && *cost >= 0.0)
                .map(|micros| Some((micros * 1e3) as u64)),
        };
        Ok(RequestParameters {
            client_request_id: client_request_id
                .ok_or(bad_request("X-Call-Id is missing or malformed\n"))?
                .to_owned(),
            class,
            tenant: tenant.ok_or(bad_request("X-Caller is missing or not known\n"))?,
            budget: budget
                .and_then(|seconds| Duration::try_from_secs_f64(seconds).ok())
                .filter(|budget| *budget <= MAX_BUDGET)
                .ok_or(bad_request("X-Budget is missing or malformed\n"))?,
            work: cost.ok_or(bad_request("X-Call-Cost is malformed\n"))?,
        })
    }
}
