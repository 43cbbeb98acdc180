//! The operators' door: a second address, on a thread and a runtime of its own, so that no load of callers can
//! keep an operator waiting. It decides nothing and holds nothing: it reads figures and asks the driver.

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

/// How long the head of a call may take.
const HEAD_PATIENCE: Duration = Duration::from_millis(2500);
/// How long the driver may take over an order: an answer is owed within a second.
const ORDER_PATIENCE: Duration = Duration::from_millis(800);
/// What the admin server reads its figures from, and where it sends orders.
pub struct AdminContext {
    pub counters: Arc<Counters>,
    pub ready: watch::Receiver<bool>,
    pub dispatcher: UnboundedSender<DispatcherMessage>,
}

type AdminResponse = Response<Full<Bytes>>;

/// Listens, and serves for as long as the process runs.
pub fn open(address: SocketAddr, door: AdminContext) -> Result<(), String> {
    let failed = |error| format!("`admin_addr` {address}: {error}");
    let listener = retry_blocking(|| std::net::TcpListener::bind(address)).map_err(failed)?;
    listener.set_nonblocking(true).map_err(failed)?;
    let address = listener.local_addr().map_err(failed)?;
    let runtime = || tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = retry_blocking(runtime).map_err(failed)?;
    let serving = move || {
        runtime.block_on(async {
            match retry(|| TcpListener::from_std(listener.try_clone()?)).await {
                Ok(listener) => serve(listener, Arc::new(door)).await,
                Err(error) => {
                    crate::proxy::logging::log(format_args!("the operators' door stays shut: {error}"))
                }
            }
        });
    };
    std::thread::Builder::new().name("admin".into()).spawn(serving).map_err(failed)?;
    crate::proxy::logging::log(format_args!("operators are served on {address}"));
    Ok(())
}

/// A connection to the admin server, and whether it has sent a request.
struct AdminConnection {
    task: JoinHandle<()>,
    asked: Arc<AtomicBool>,
}

async fn serve(listener: TcpListener, door: Arc<AdminContext>) {
    let mut held: VecDeque<AdminConnection> = VecDeque::new();
    let mut backoff = Backoff::default();
    loop {
        match listener.accept().await {
            Ok((tcp, _)) => {
                backoff = Backoff::default();
                held.retain(|held| !held.task.is_finished());
                if held.len() >= ADMIN_CONNECTIONS {
                    // The one that has kept its call to itself for longest makes room for a caller.
                    let silent = held.iter().position(|held| !held.asked.load(Ordering::Relaxed));
                    if let Some(AdminConnection { task, .. }) = held.remove(silent.unwrap_or(0)) {
                        task.abort();
                        task.await.ok(); // its descriptor is free with this, not before
                    }
                }
                let asked = Arc::new(AtomicBool::new(false));
                let task = tokio::spawn(connection(tcp, door.clone(), asked.clone()));
                held.push_back(AdminConnection { task, asked });
            }
            Err(error) => {
                crate::proxy::logging::log(format_args!("cannot take an operator's connection: {error}"));
                sleep(backoff.pause()).await;
            }
        }
    }
}

async fn connection(tcp: TcpStream, door: Arc<AdminContext>, asked: Arc<AtomicBool>) {
    let service = service_fn(async |request: Request<Incoming>| {
        asked.store(true, Ordering::Relaxed);
        Ok::<_, Infallible>(reply(request.method(), request.uri().path(), &door).await)
    });
    let served = http1::Builder::new()
        .keep_alive(false)
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_PATIENCE)
        .serve_connection(TokioIo::new(tcp), service);
    served.await.ok(); // a caller that leaves or never asks needs nothing
}

async fn reply(method: &Method, path: &str, door: &AdminContext) -> AdminResponse {
    let parts: Vec<&str> = path.split('/').skip(1).collect();
    let (allowed, known) = match parts[..] {
        ["control", "ready" | "counters"] => (Method::GET, true),
        ["control", "upstreams", id, "offline" | "online"] => (Method::POST, !id.is_empty()),
        _ => (Method::GET, false),
    };
    if !known {
        return text(StatusCode::NOT_FOUND, "no such path\n");
    }
    if *method != allowed {
        let mut reply = text(StatusCode::METHOD_NOT_ALLOWED, "not the method of this path\n");
        let allowed = HeaderValue::from_str(allowed.as_str());
        allowed.into_iter().for_each(|allowed| drop(reply.headers_mut().insert(ALLOW, allowed)));
        return reply;
    }
    match parts[..] {
        ["control", "ready"] => match *door.ready.borrow() {
            true => text(StatusCode::OK, "ready\n"),
            false => text(StatusCode::SERVICE_UNAVAILABLE, "no upstream is listed yet\n"),
        },
        ["control", "upstreams", id, order] => order_about(id, order == "offline", door).await,
        _ => {
            let mut reply = Response::new(Full::from(door.counters.report().to_string()));
            reply.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
            reply
        }
    }
}

async fn order_about(id: &str, offline: bool, door: &AdminContext) -> AdminResponse {
    let order = Order { uid: id.to_owned(), offline };
    match verdict_on(order, door).await {
        Some(OrderOutcome::Applied) => text(StatusCode::OK, if offline { "offline\n" } else { "online\n" }),
        Some(OrderOutcome::UnknownEndpoint) => {
            text(StatusCode::NOT_FOUND, "no such upstream was ever listed\n")
        }
        Some(OrderOutcome::NotStored) => text(StatusCode::INTERNAL_SERVER_ERROR, "could not be kept\n"),
        None => text(StatusCode::SERVICE_UNAVAILABLE, "not in force\n"),
    }
}

/// What becomes of an order; `None` if that takes too long, and then it never comes into force.
async fn verdict_on(order: Order, door: &AdminContext) -> Option<OrderOutcome> {
    let claim = OrderClaim::default();
    let (answer, mut answered) = oneshot::channel();
    door.dispatcher
        .send(DispatcherMessage::OperatorOrder(OrderRequest {
            order,
            claim: claim.clone(),
            outcome_sender: answer,
        }))
        .ok();
    if let Ok(verdict) = timeout(ORDER_PATIENCE, &mut answered).await {
        return verdict.ok();
    }
    if claim.claim() {
        return None;
    }
    answered.await.ok() // it is just being committed: neither yes nor no would be true before the end of that
}

fn text(status: StatusCode, text: &'static str) -> AdminResponse {
    let mut reply = Response::new(Full::from(text));
    *reply.status_mut() = status;
    reply
}
