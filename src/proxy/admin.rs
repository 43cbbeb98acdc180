//! The admin server: serves operators on a second address, with a thread and a runtime of its own, so that the load of
//! clients cannot delay an operator. It has no state of its own: it reads the counters and sends orders to the
//! dispatcher.

use super::metrics::Counters;
use super::orders::{Order, OrderClaim, OrderOutcome, OrderRequest};
use crate::config::ADMIN_CONNECTIONS;
use crate::proxy::messages::DispatcherMessage;
use crate::transient_errors::{Backoff, retry, retry_blocking};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{ALLOW, CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

/// How long receiving the head of a request may take.
const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_millis(2500);
/// How long an order may take to be carried out. An operator gets a response within a second.
const ORDER_TIMEOUT: Duration = Duration::from_millis(800);

/// The state that the admin server reports, and the channel that it sends orders to.
pub struct AdminContext {
    /// The counters that `/control/counters` reports.
    pub counters: Arc<Counters>,
    /// Turns true once an endpoint is in service.
    pub ready: watch::Receiver<bool>,
    /// The sender of messages to the dispatcher.
    pub dispatcher_sender: UnboundedSender<DispatcherMessage>,
}

type AdminResponse = Response<Full<Bytes>>;

/// Listens on the address and starts the thread of the admin server, which runs as long as the process.
pub fn start(address: SocketAddr, context: AdminContext) -> Result<(), String> {
    let start_error = |error| format!("`admin_addr` {address}: {error}");
    let listener = retry_blocking(|| std::net::TcpListener::bind(address)).map_err(start_error)?;
    listener.set_nonblocking(true).map_err(start_error)?;
    let address = listener.local_addr().map_err(start_error)?;
    let runtime = || tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = retry_blocking(runtime).map_err(start_error)?;
    let run_server = move || {
        runtime.block_on(async {
            match retry(|| TcpListener::from_std(listener.try_clone()?)).await {
                Ok(listener) => serve(listener, Arc::new(context)).await,
                Err(error) => tracing::info!("operators cannot be served on {address}: {error}"),
            }
        });
    };
    std::thread::Builder::new().name("admin".into()).spawn(run_server).map_err(start_error)?;
    tracing::info!("operators are served on {address}");
    Ok(())
}

/// An open connection to the admin server.
struct AdminConnection {
    task: JoinHandle<()>,
    /// Whether a request has been received.
    has_request: Arc<AtomicBool>,
}

/// Accepts connections and serves each in a task of its own.
async fn serve(listener: TcpListener, context: Arc<AdminContext>) {
    let mut connections: VecDeque<AdminConnection> = VecDeque::new();
    let mut backoff = Backoff::default();
    loop {
        match listener.accept().await {
            Ok((tcp, _)) => {
                backoff = Backoff::default();
                connections.retain(|connection| !connection.task.is_finished());
                if connections.len() >= ADMIN_CONNECTIONS {
                    // Close the oldest connection that has sent no request, or the oldest of all if each has sent one.
                    let oldest_without_request = connections
                        .iter()
                        .position(|connection| !connection.has_request.load(Ordering::Relaxed));
                    if let Some(AdminConnection { task, .. }) =
                        connections.remove(oldest_without_request.unwrap_or(0))
                    {
                        task.abort();
                        task.await.ok(); // its descriptor is closed only once the task has ended
                    }
                }
                let has_request = Arc::new(AtomicBool::new(false));
                let task = tokio::spawn(serve_connection(tcp, context.clone(), has_request.clone()));
                connections.push_back(AdminConnection { task, has_request });
            }
            Err(error) => {
                tracing::info!("cannot take an operator's connection: {error}");
                sleep(backoff.pause()).await;
            }
        }
    }
}

/// Serves the one request of a connection.
async fn serve_connection(tcp: TcpStream, context: Arc<AdminContext>, has_request: Arc<AtomicBool>) {
    let service = service_fn(async |request: Request<Incoming>| {
        has_request.store(true, Ordering::Relaxed);
        Ok::<_, Infallible>(respond(request.method(), request.uri().path(), &context).await)
    });
    let connection = http1::Builder::new()
        .keep_alive(false)
        .timer(TokioTimer::new())
        .header_read_timeout(REQUEST_HEAD_TIMEOUT)
        .serve_connection(TokioIo::new(tcp), service);
    connection.await.ok(); // fails if the operator disconnects or sends no valid request, which needs no action
}

/// Responds to a request by its method and path.
async fn respond(method: &Method, path: &str, context: &AdminContext) -> AdminResponse {
    let segments: Vec<&str> = path.split('/').skip(1).collect();
    let (allowed, is_known) = match segments[..] {
        ["control", "ready" | "counters"] => (Method::GET, true),
        ["control", "upstreams", id, "offline" | "online"] => (Method::POST, !id.is_empty()),
        _ => (Method::GET, false),
    };
    if !is_known {
        return text_response(StatusCode::NOT_FOUND, "no such path\n");
    }
    if *method != allowed {
        let mut response = text_response(StatusCode::METHOD_NOT_ALLOWED, "not the method of this path\n");
        let allowed = HeaderValue::from_str(allowed.as_str());
        allowed.into_iter().for_each(|allowed| drop(response.headers_mut().insert(ALLOW, allowed)));
        return response;
    }
    match segments[..] {
        ["control", "ready"] => match *context.ready.borrow() {
            true => text_response(StatusCode::OK, "ready\n"),
            false => text_response(StatusCode::SERVICE_UNAVAILABLE, "no upstream is listed yet\n"),
        },
        ["control", "upstreams", id, action] => handle_order(id, action == "offline", context).await,
        _ => {
            let mut response = Response::new(Full::from(context.counters.report().to_string()));
            response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
            response
        }
    }
}

/// Submits an operator's order about an endpoint and responds with its outcome.
async fn handle_order(id: &str, offline: bool, context: &AdminContext) -> AdminResponse {
    let order = Order { uid: id.to_owned(), offline };
    match submit_order(order, context).await {
        Some(OrderOutcome::Applied) => {
            text_response(StatusCode::OK, if offline { "offline\n" } else { "online\n" })
        }
        Some(OrderOutcome::UnknownEndpoint) => {
            text_response(StatusCode::NOT_FOUND, "no such upstream was ever listed\n")
        }
        Some(OrderOutcome::NotStored) => {
            text_response(StatusCode::INTERNAL_SERVER_ERROR, "could not be kept\n")
        }
        None => text_response(StatusCode::SERVICE_UNAVAILABLE, "not in force\n"),
    }
}

/// Sends an order to the dispatcher and waits for its outcome. Returns `None` if that takes too long or the dispatcher
/// has stopped. An order that took too long never comes into force.
async fn submit_order(order: Order, context: &AdminContext) -> Option<OrderOutcome> {
    let claim = OrderClaim::default();
    let (outcome_sender, mut outcome_receiver) = oneshot::channel();
    context
        .dispatcher_sender
        .send(DispatcherMessage::OperatorOrder(OrderRequest { order, claim: claim.clone(), outcome_sender }))
        .ok();
    if let Ok(outcome) = timeout(ORDER_TIMEOUT, &mut outcome_receiver).await {
        return outcome.ok();
    }
    if claim.claim() {
        return None;
    }
    outcome_receiver.await.ok() // the order is being committed, and its outcome is not known before that ends
}

/// A response with a plain text body.
fn text_response(status: StatusCode, text: &'static str) -> AdminResponse {
    let mut response = Response::new(Full::from(text));
    *response.status_mut() = status;
    response
}
