//! Requests: they are read, checked, and handed to the dispatcher.

use crate::proxy::body::buffer::{BufferedBody, buffer_body};
use crate::proxy::body::request_body::{BodyRemainder, RequestBody};
use crate::proxy::body::response_body::ResponseBody;
use crate::proxy::body::{MAX_BODY, MAX_BUFFERED_BODY};
use crate::proxy::downstream::DownstreamServer;
use crate::proxy::downstream::connection::ClientConnection;
use crate::proxy::downstream::guards::{CancelOnDrop, RequestGuard, RequestIdGuard};
use crate::proxy::downstream::responses::{COME_BACK, end_to_end, refusal, status};
use crate::proxy::downstream::timing::PATIENCE;
use crate::proxy::messages::{ClientRequest, DispatcherMessage, FinalResponse};
use crate::proxy::metrics::RequestOutcome;
use crate::proxy::sync::lock;
use balancer::decision::{Idempotency, RequestId};
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_LENGTH, HeaderMap};
use hyper::{Method, Request, Response, StatusCode, Version};
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout};

/// No caller waits for longer.
pub const MOST_BUDGET: Duration = Duration::from_secs(3600);

/// The parameters of a request, from its path and headers.
pub struct RequestParameters {
    pub call_id: String,
    pub class: usize,
    pub tenant: usize,
    pub budget: Duration,
    pub work: Option<u64>,
}

pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

impl DownstreamServer {
    pub fn refuse_surplus(&self, request: &Request<Incoming>) -> Response<ResponseBody> {
        match self.class(request) {
            Some(class) => self.refuse(class),
            None => refusal(COME_BACK),
        }
    }

    /// Refuses a request of a class that nobody has heard of yet.
    pub fn refuse(&self, class: usize) -> Response<ResponseBody> {
        self.counters.count(class, RequestOutcome::Busy);
        refusal(COME_BACK)
    }

    /// The class that a request's path names.
    pub fn class(&self, request: &Request<Incoming>) -> Option<usize> {
        let in_path = request.uri().path().split('/').nth(1)?;
        self.config.proxy_settings.classes.iter().position(|class| class == in_path)
    }

    pub async fn reply(&self, request: Request<Incoming>, line: &ClientConnection) -> Response<ResponseBody> {
        if request.uri().path() == "/healthz" {
            self.first_list().await;
            return match *self.ready.borrow() {
                true => status(StatusCode::OK),
                false => status(StatusCode::SERVICE_UNAVAILABLE),
            };
        }
        match self.call(request, line).await {
            Ok(reply) => reply,
            Err((code, text)) => {
                let mut reply = Response::new(ResponseBody::from(Bytes::from_static(text.as_bytes())));
                *reply.status_mut() = code;
                reply
            }
        }
    }

    pub async fn call(
        &self,
        request: Request<Incoming>,
        line: &ClientConnection,
    ) -> Result<Response<ResponseBody>, (StatusCode, &'static str)> {
        let framing = &line.framing;
        if lock(framing).both_lengths() {
            return Err((StatusCode::BAD_REQUEST, "Content-Length beside Transfer-Encoding\n"));
        }
        let parameters = self.check(&request)?;
        let size = request.body().size_hint();
        if size.lower() > MAX_BODY {
            return Err((StatusCode::PAYLOAD_TOO_LARGE, "the body is too long\n"));
        }
        let size = size.exact().and_then(|size| usize::try_from(size).ok());
        let Some(memory_permit) =
            self.body_memory.try_reserve(size.map_or(MAX_BUFFERED_BODY, |size| size.min(MAX_BUFFERED_BODY)))
        else {
            return Ok(self.refuse(parameters.class));
        };
        let Some(request_id) = RequestIdGuard::take(&self.open, parameters.call_id) else {
            self.counters.count(parameters.class, RequestOutcome::Failure);
            return Err((StatusCode::CONFLICT, "a request with this X-Call-Id is open\n"));
        };
        let (mut head, mut body) = request.into_parts();
        let (buffered, complete) =
            match timeout(PATIENCE, buffer_body(&mut body, MAX_BUFFERED_BODY, None)).await {
                Ok(Ok(BufferedBody { buffered, complete })) => (buffered, complete || body.is_end_stream()),
                Ok(Err(_)) => return Err((StatusCode::BAD_REQUEST, "the body broke off\n")),
                Err(_) => return Err((StatusCode::REQUEST_TIMEOUT, "the body did not come\n")),
            };
        let first_deadline = Instant::now() + parameters.budget;
        // Read before it waits, so that its time runs meanwhile.
        let is_told = timeout(parameters.budget, self.first_list()).await.is_ok();
        if !is_told || self.refusing.load(Ordering::Relaxed) {
            return Ok(self.refuse(parameters.class));
        }
        end_to_end(&mut head.headers);
        let mut guard = RequestGuard {
            framing: None,
            _in_flight: None,
            _request_id: request_id,
            _memory_permit: memory_permit,
        };
        let (remainder, came) = if complete { (None, None) } else { Some(BodyRemainder::new(body)).unzip() };
        let (is_head, is_old) = (head.method == Method::HEAD, head.version < Version::HTTP_11);
        let request = Request::from_parts(head, RequestBody { buffered, remainder });
        let id = RequestId(self.next_id.fetch_add(1, Ordering::Relaxed));
        let mut cancel_on_drop = CancelOnDrop(Some(id), &self.dispatcher);
        let (answer, mut answered) = oneshot::channel();
        let RequestParameters { class, tenant, work, budget, .. } = parameters;
        let mut has_come = || {
            guard._in_flight = Some(self.counters.start_request());
            lock(framing).whole() + budget
        };
        let deadline = if complete { has_come() } else { first_deadline };
        let client = line.liveness();
        let call =
            ClientRequest { id, request, client, class, tenant, work, deadline, response_sender: answer };
        self.dispatcher.send(DispatcherMessage::Request(Box::new(call))).ok();
        let left = Err((StatusCode::BAD_REQUEST, "the caller has left\n")); // nobody reads this
        let early = match came {
            None => None,
            Some(came) => tokio::select! {
                biased;
                Ok(()) = came => {
                    self.dispatcher.send(DispatcherMessage::RequestReceived(id, has_come())).ok();
                    None
                }
                answer = &mut answered => Some(answer),
                // Nobody reads on while an attempt waits for its connection.
                () = line.closed() => return left,
            },
        };
        let answer = match early {
            Some(answer) => answer,
            None => tokio::select! {
                biased;
                answer = answered => answer,
                () = line.left() => return left, // with it the request is given up
            },
        };
        cancel_on_drop.0 = None;
        Ok(match answer.unwrap_or(FinalResponse::Failed) {
            FinalResponse::Served(mut reply) => {
                *reply.version_mut() = Version::HTTP_11;
                let length = reply.headers().get(CONTENT_LENGTH).filter(|_| is_head).cloned();
                end_to_end(reply.headers_mut());
                // The length of what a HEAD does not bring is for its caller to know.
                length.map(|length| reply.headers_mut().insert(CONTENT_LENGTH, length));
                if !reply.body().is_fully_buffered() {
                    guard.framing = Some(framing.clone());
                    // Without chunks, the end of the connection is that of the body.
                    if is_old && reply.body().size_hint().exact().is_none() {
                        let framing = framing.clone();
                        reply.body_mut().on_abort(move || lock(&framing).resets = true);
                    }
                    reply.body_mut().keep_until_end(guard);
                }
                reply
            }
            FinalResponse::Rejected(stay_away) => refusal(stay_away),
            FinalResponse::Failed => status(StatusCode::BAD_GATEWAY),
        })
    }

    /// What a request asks for, or why it cannot be taken.
    pub fn check(
        &self,
        request: &Request<Incoming>,
    ) -> Result<RequestParameters, (StatusCode, &'static str)> {
        let bad = |text| (StatusCode::BAD_REQUEST, text);
        let (headers, names) = (request.headers(), &self.config.proxy_settings);
        let in_path = request.uri().path().split('/').nth(1).unwrap_or("");
        let class = self.class(request).ok_or((StatusCode::NOT_FOUND, "no such path\n"))?;
        if text(headers, "x-call-class") != Some(in_path) {
            return Err(bad("X-Call-Class is missing or not that of the path\n"));
        }
        let keyed = text(headers, "idempotency-key").is_some_and(|key| !key.is_empty());
        let method = match self.config.settings.classes[class].idempotency {
            Idempotency::Idempotent if request.method() == Method::HEAD => Method::HEAD,
            Idempotency::Idempotent => Method::GET,
            Idempotency::Keyed(..) if !keyed => return Err(bad("Idempotency-Key is missing\n")),
            Idempotency::Keyed(..) | Idempotency::NonIdempotent => Method::POST,
        };
        if request.method() != method {
            return Err((StatusCode::METHOD_NOT_ALLOWED, "not the method of this class\n"));
        }
        // What is there twice may be read one way here and another way by the upstream.
        for name in ["x-call-id", "x-call-class", "x-caller", "x-budget", "x-call-cost", "idempotency-key"] {
            if headers.get_all(name).iter().nth(1).is_some() {
                return Err(bad("a header is there twice\n"));
            }
        }
        let call_id = text(headers, "x-call-id").filter(|id| !id.is_empty());
        let tenant = match names.tenants.is_empty() {
            true => Some(0),
            false => {
                text(headers, "x-caller").and_then(|client| names.tenants.iter().position(|t| t == client))
            }
        };
        let budget = text(headers, "x-budget").and_then(|budget| budget.parse().ok());
        let cost = match headers.contains_key("x-call-cost") {
            false => Some(None),
            true => text(headers, "x-call-cost")
                .and_then(|cost| cost.parse::<f64>().ok())
                .filter(|cost| cost.is_finite() && *cost >= 0.0)
                .map(|micros| Some((micros * 1e3) as u64)),
        };
        Ok(RequestParameters {
            call_id: call_id.ok_or(bad("X-Call-Id is missing or malformed\n"))?.to_owned(),
            class,
            tenant: tenant.ok_or(bad("X-Caller is missing or not known\n"))?,
            budget: budget
                .and_then(|seconds| Duration::try_from_secs_f64(seconds).ok())
                .filter(|budget| *budget <= MOST_BUDGET)
                .ok_or(bad("X-Budget is missing or malformed\n"))?,
            work: cost.ok_or(bad("X-Call-Cost is malformed\n"))?,
        })
    }
}
