//! Tests of connections to upstreams, with a peer on the loopback address.

use super::connection::*;
use super::exchange::{AttemptResult, ExchangeContext, ExchangeOutcome, exchange};
use super::permit::ConnectionPermit;
use super::pool::ConnectionSource;
use crate::proxy::body::memory::BodyMemory;
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

fn context(address: SocketAddr, connection_source: ConnectionSource) -> ExchangeContext {
    ExchangeContext {
        connection_source,
        address,
        connect_timeout: Duration::from_secs(30),
        attempt_deadline: Instant::now() + Duration::from_secs(30),
        request_deadline: None,
        local_failure: Arc::default(),
        begin_by: None,
        attempt_counter: None,
        body_memory: BodyMemory::new(1 << 20),
        client: None,
        client_deadline: None,
        write_started: Arc::default(),
    }
}

/// A connection that has had an answer, and its peer.
async fn used(listener: &TcpListener) -> (Connection, std::net::TcpStream) {
    let address = listener.local_addr().unwrap();
    let peer = listener.try_clone().unwrap();
    let peer = tokio::task::spawn_blocking(move || {
        let mut stream = peer.accept().unwrap().0;
        let mut got = Vec::new();
        while !got.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte).unwrap();
            got.push(byte[0]);
        }
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").unwrap();
        stream
    });
    let context = context(address, ConnectionSource::New(ConnectionPermit::acquire(&Arc::default())));
    let ExchangeOutcome::Ended(finished) = exchange(Request::new(RequestBody::default()), context).await
    else {
        panic!("the answer is whole");
    };
    (finished.connection.expect("a connection to use again"), peer.await.unwrap())
}

/// Guards against a balancer that is held up: between the end of an idle connection and the runtime's
/// next look at its sockets, work would be written to it and lost.
#[tokio::test]
async fn an_end_shows_before_the_runtime_has_heard_of_it() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (connection, peer) = used(&listener).await;
    assert!(connection.is_quiet());
    drop(peer);
    let asked = Instant::now();
    while connection.is_quiet() {
        assert!(asked.elapsed() < Duration::from_secs(30)); // no await: the runtime hears of nothing
    }
}

/// What becomes of an attempt on a used connection where the process does this between the choice and the write.
async fn held_up(client: Option<ClientLiveness>, left: Duration, by: impl FnOnce() + Send + 'static) -> Held {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (connection, mut peer) = used(&listener).await;
    let write_started = Arc::new(AtomicBool::new(false));
    let until = Instant::now() + left;
    let context = ExchangeContext {
        connection_source: ConnectionSource::Idle(connection),
        client,
        client_deadline: Some(until),
        attempt_deadline: until,
        write_started: write_started.clone(),
        ..context(
            listener.local_addr().unwrap(),
            ConnectionSource::New(ConnectionPermit::acquire(&Arc::default())),
        )
    };
    let exchanged = tokio::spawn(exchange(Request::new(RequestBody::default()), context));
    tokio::spawn(async move { by() }); // its turn is after that of the exchange, and before that of the connection
    let got = tokio::task::spawn_blocking(move || {
        peer.set_read_timeout(Some(Duration::from_secs(1))).unwrap();
        let mut got = vec![0; 1 << 10];
        let length = peer.read(&mut got).unwrap();
        String::from_utf8(got[..length].to_vec()).unwrap()
    });
    let got = got.await.unwrap();
    exchanged.abort();
    let exchanged = exchanged.await.ok();
    Held { got, exchanged, write_started: write_started.load(Ordering::Relaxed) }
}

struct Held {
    /// What the upstream got.
    got: String,
    exchanged: Option<ExchangeOutcome>,
    write_started: bool,
}

/// A caller's end of a connection, and what an attempt for it is given.
async fn client() -> (std::net::TcpStream, ClientConnection) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let taken = listener.accept().unwrap().0;
    taken.set_nonblocking(true).unwrap();
    (client, SingleRequestStream::new(TcpStream::from_std(taken).unwrap()).1)
}

/// Guards upstreams against work that nobody waits for: a late turn of the event loop lies between the choice and
/// the write.
#[tokio::test]
async fn a_caller_that_leaves_before_the_write_gets_no_attempt() {
    for reset in [false, true] {
        let (client, line) = client().await;
        let held = held_up(Some(line.liveness()), Duration::from_secs(30), move || {
            if reset {
                SockRef::from(&client).set_linger(Some(Duration::ZERO)).unwrap();
            }
            drop(client);
        });
        let held = held.await;
        assert_eq!(held.got, "", "reset: {reset}");
        assert!(!held.write_started, "it ends as never sent");
        assert!(matches!(
            held.exchanged,
            Some(ExchangeOutcome::ClientDisconnected(AttemptResult { outcome: AttemptOutcome::NotSent, .. }))
        ));
    }
}

/// Guards the time that an upstream is told against the same.
#[tokio::test]
async fn an_upstream_is_told_what_is_left_at_the_write() {
    const HELD_UP: Duration = Duration::from_millis(300);
    let hold_up = || std::thread::sleep(HELD_UP);
    let held = held_up(None, Duration::from_secs(20), hold_up).await;
    let told = held.got.split("x-budget: ").nth(1).expect("a request").split('\r').next().unwrap();
    let told = Duration::from_secs_f64(told.parse().unwrap());
    assert!(told <= Duration::from_secs(20) - HELD_UP, "{told:?}");
    assert!(held.write_started);

    let held = held_up(None, HELD_UP, hold_up).await;
    assert_eq!(held.got, "", "nothing is left");
    assert!(!held.write_started);
    assert!(matches!(
        held.exchanged,
        Some(ExchangeOutcome::Ended(AttemptResult { outcome: AttemptOutcome::NotSent, .. }))
    ));
}

/// Guards rule 2: only a request whose last byte was not written is known not to have run.
#[tokio::test]
async fn written_is_what_has_left_to_the_last_byte() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let tcp = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let progress = Arc::new(Progress::default());
    let mut socket = Socket { tcp: Arc::new(tcp), progress: progress.clone() };
    let written = || progress.written.load(Ordering::Relaxed);
    socket.write_all(b"head").await.unwrap();
    assert!(!written(), "the body is still to come");
    progress.body_consumed.store(true, Ordering::Relaxed);
    let most = socket.write(&vec![0; 64 << 20]).await.unwrap();
    assert!(most < 64 << 20 && !written(), "the peer's buffer holds a part only");
    let mut peer = listener.accept().unwrap().0;
    std::thread::spawn(move || std::io::copy(&mut peer, &mut std::io::sink()));
    socket.write_all(b"the rest").await.unwrap();
    assert!(written());
}
