//! Tests of connections to upstreams, with a peer on the loopback address.

use super::connection::*;
use super::exchange::{AttemptResult, ExchangeContext, ExchangeOutcome, exchange};
use super::permit::{ConnectionPermit, SharedConnectionState};
use super::pool::ConnectionSource;
use crate::config::Limits;
use crate::proxy::body::memory::MemoryBudget;
use crate::proxy::body::request_body::RequestBody;
use crate::proxy::downstream::connection::ClientLiveness;
use crate::proxy::downstream::connection::{ClientConnection, SingleRequestStream};
use balancer::decision::AttemptOutcome;
use hyper::Request;
use socket2::SockRef;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Duration, Instant};

/// The budget of a process with 32 MB.
fn memory() -> Arc<MemoryBudget> {
    MemoryBudget::new(&Limits { clients: 100, upstreams: 100, memory: 32_000_000 }, || 0)
}

/// A permit for a new connection.
fn permit() -> ConnectionPermit {
    ConnectionPermit::acquire(&SharedConnectionState::new(memory()))
}

/// The context of an exchange that has no client and 30 s to end.
fn context(address: SocketAddr, connection_source: ConnectionSource) -> ExchangeContext {
    ExchangeContext {
        connection_source,
        address,
        connect_timeout: Duration::from_secs(30),
        attempt_deadline: Instant::now() + Duration::from_secs(30),
        request_deadline: None,
        possible_local_failure: Arc::default(),
        begin_by: None,
        attempt_counter: None,
        memory: memory(),
        client: None,
        client_deadline: None,
        streaming_condition: None,
        write_started: Arc::default(),
    }
}

/// A connection that has received a response, and the peer's end of it.
async fn idle_connection(listener: &TcpListener) -> (Connection, std::net::TcpStream) {
    let address = listener.local_addr().unwrap();
    let peer_listener = listener.try_clone().unwrap();
    let peer = tokio::task::spawn_blocking(move || {
        let mut stream = peer_listener.accept().unwrap().0;
        let mut received = Vec::new();
        while !received.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte).unwrap();
            received.push(byte[0]);
        }
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").unwrap();
        stream
    });
    let context = context(address, ConnectionSource::New(permit()));
    let ExchangeOutcome::Ended(result) = exchange(Request::new(RequestBody::default()), context).await else {
        panic!("the response is not complete");
    };
    (result.connection.expect("a reusable connection"), peer.await.unwrap())
}

/// Guards against requests lost on a closed connection: the peer closes an idle connection and a request is written to
/// it before the runtime polls its sockets again.
#[tokio::test]
async fn a_closed_connection_is_detected_before_the_runtime_polls_it() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (connection, peer) = idle_connection(&listener).await;
    assert!(connection.is_usable());
    drop(peer);
    let start = Instant::now();
    while connection.is_usable() {
        assert!(start.elapsed() < Duration::from_secs(30)); // no await: the runtime does not poll its sockets
    }
}

/// Runs an attempt on an idle connection, with `action` between the choice of the connection and the write.
async fn delayed_exchange(
    client: Option<ClientLiveness>,
    time_left: Duration,
    action: impl FnOnce() + Send + 'static,
) -> DelayedExchange {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (connection, mut peer) = idle_connection(&listener).await;
    let write_started = Arc::new(AtomicBool::new(false));
    let deadline = Instant::now() + time_left;
    let context = ExchangeContext {
        connection_source: ConnectionSource::Idle(connection),
        client,
        client_deadline: Some(deadline),
        attempt_deadline: deadline,
        write_started: write_started.clone(),
        ..context(listener.local_addr().unwrap(), ConnectionSource::New(permit()))
    };
    let exchange_task = tokio::spawn(exchange(Request::new(RequestBody::default()), context));
    tokio::spawn(async move { action() }); // runs after the exchange task and before the connection task
    let received = tokio::task::spawn_blocking(move || {
        peer.set_read_timeout(Some(Duration::from_secs(1))).unwrap();
        let mut buffer = vec![0; 1 << 10];
        let length = peer.read(&mut buffer).unwrap();
        String::from_utf8(buffer[..length].to_vec()).unwrap()
    });
    let received = received.await.unwrap();
    exchange_task.abort();
    let outcome = exchange_task.await.ok();
    DelayedExchange { received, outcome, write_started: write_started.load(Ordering::Relaxed) }
}

/// What a delayed exchange resulted in.
struct DelayedExchange {
    /// The bytes that the upstream received.
    received: String,
    /// `None` if the exchange had not ended.
    outcome: Option<ExchangeOutcome>,
    write_started: bool,
}

/// A client's socket and the balancer's end of its connection.
async fn client() -> (std::net::TcpStream, ClientConnection) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let accepted = listener.accept().unwrap().0;
    accepted.set_nonblocking(true).unwrap();
    (client, SingleRequestStream::new(TcpStream::from_std(accepted).unwrap()).1)
}

/// Guards upstreams against requests of disconnected clients: a client disconnects while other tasks of the event loop
/// delay the write.
#[tokio::test]
async fn a_client_that_disconnects_before_the_write_gets_no_attempt() {
    for reset in [false, true] {
        let (client, client_connection) = client().await;
        let delayed =
            delayed_exchange(Some(client_connection.liveness()), Duration::from_secs(30), move || {
                if reset {
                    SockRef::from(&client).set_linger(Some(Duration::ZERO)).unwrap();
                }
                drop(client);
            });
        let delayed = delayed.await;
        assert_eq!(delayed.received, "", "reset: {reset}");
        assert!(!delayed.write_started, "the attempt counts as written");
        assert!(matches!(
            delayed.outcome,
            Some(ExchangeOutcome::ClientDisconnected(AttemptResult { outcome: AttemptOutcome::NotSent, .. }))
        ));
    }
}

/// Guards against an outdated budget when the process is paused before the write.
#[tokio::test]
async fn the_budget_is_the_time_left_at_the_write() {
    const PAUSE: Duration = Duration::from_millis(300);
    let pause = || std::thread::sleep(PAUSE);
    let delayed = delayed_exchange(None, Duration::from_secs(20), pause).await;
    let budget = delayed
        .received
        .split("x-budget: ")
        .nth(1)
        .expect("a request with a budget")
        .split('\r')
        .next()
        .unwrap();
    let budget = Duration::from_secs_f64(budget.parse().unwrap());
    assert!(budget <= Duration::from_secs(20) - PAUSE, "{budget:?}");
    assert!(delayed.write_started);

    let delayed = delayed_exchange(None, PAUSE, pause).await;
    assert_eq!(delayed.received, "", "written with no time left");
    assert!(!delayed.write_started);
    assert!(matches!(
        delayed.outcome,
        Some(ExchangeOutcome::Ended(AttemptResult { outcome: AttemptOutcome::NotSent, .. }))
    ));
}

/// Guards against repeating a request that may have run. A request is known not to have run only if its last byte was
/// not written.
#[tokio::test]
async fn a_request_counts_as_written_after_its_last_byte() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let tcp = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let progress = Arc::new(WriteProgress::default());
    let mut socket = UpstreamSocket { tcp: Arc::new(tcp), progress: progress.clone(), memory: memory() };
    let is_written = || progress.request_written.load(Ordering::Relaxed);
    socket.write_all(b"head").await.unwrap();
    assert!(!is_written(), "the body is not written yet");
    progress.body_ended.store(true, Ordering::Relaxed);
    let written = socket.write(&vec![0; 64 << 20]).await.unwrap();
    assert!(written < 64 << 20 && !is_written(), "the peer's buffer takes only a part");
    let mut peer = listener.accept().unwrap().0;
    std::thread::spawn(move || std::io::copy(&mut peer, &mut std::io::sink()));
    socket.write_all(b"the rest").await.unwrap();
    assert!(is_written());
}
