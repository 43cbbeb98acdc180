//! Connections to upstreams, and attempts on them: one attempt at a time on each.

use super::body::{Budget, Gathered, MOST_BODY, MOST_KEPT, Outgoing, Payload, Room, gather};
use super::connect::{ConnectError, Patience, Reachability, connect};
use super::gate::{Presence, lock, poll_io};
use super::send_check::{Conditions, NotSent, Sending, seconds};
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::header::HeaderValue;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::collections::HashMap;
use std::io::{self, ErrorKind, IoSlice};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{Duration, Instant};
use woadstall::api::{Outcome, ServerId};

/// How long the start of a long answer may be held, for a server that breaks off at once to be found out.
const GATHER: Duration = Duration::from_millis(50);
/// hyper's buffer for an answer: a head without end is given up at this size.
const READ_BUFFER: usize = 16 << 10;
/// An idle connection is dropped by this much, or by half its time, before its upstream may close it.
const IDLE_MARGIN: Duration = Duration::from_millis(500);

/// How an attempt ended, with the answer if it is whole and the connection if it can be used again.
pub struct Finished {
    pub outcome: Outcome,
    pub response: Option<Response<Bytes>>,
    pub connection: Option<Connection>,
}

impl From<Outcome> for Finished {
    fn from(outcome: Outcome) -> Self {
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
    pub room: Option<Room>,
}

impl From<Outcome> for Exchanged {
    fn from(outcome: Outcome) -> Self {
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
    pub budget: Arc<Budget>,
    /// Whose request it is, if it is a caller's.
    pub caller: Option<Presence>,
    /// When the caller stops waiting, if it is a caller's request.
    pub caller_until: Option<Instant>,
    /// Is set right before the first byte is written.
    pub under_way: Arc<AtomicBool>,
}

/// What an attempt is sent on.
pub enum Link {
    Idle(Connection),
    New(Slot),
}

/// What all connections to upstreams share.
#[derive(Default)]
struct Links {
    /// How many are open, or coming up.
    open: AtomicUsize,
    reachability: Reachability,
}

/// A connection that is open, or coming up; it counts until this is dropped.
pub struct Slot(Arc<Links>);

impl Slot {
    fn take(links: &Arc<Links>) -> Self {
        links.open.fetch_add(1, Ordering::Relaxed);
        Self(links.clone())
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Sends a request on a connection, or on a new one, and waits for its whole answer, or for enough of a long one.
pub async fn exchange(mut request: Request<Payload>, means: Means) -> Exchanged {
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
                Err(ConnectError::Local(_)) => return Outcome::Moot.into(),
                Err(ConnectError::TimedOut) if is_late() => return Outcome::Moot.into(), // before its own time was over
                Err(ConnectError::Peer(_) | ConnectError::TimedOut) => return Outcome::ConnectFailed.into(),
            }
        }
    };
    let rest = request.body().rest.clone();
    let conditions = Conditions {
        caller: means.caller.clone(),
        caller_until: means.caller_until,
        until: means.deadline.filter(|_| means.held_up.load(Ordering::Relaxed)).unwrap_or(means.until),
        begin_by: means.begin_by,
        streamed: rest.is_some(),
    };
    let never_sent = Finished { outcome: Outcome::Moot, response: None, connection: None };
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
            let outcome =
                if begun && reason == NotSent::CallerLeft { Outcome::Cancelled } else { Outcome::Moot };
            return not_sent(reason, outcome.into());
        }
        match progress.written.load(Ordering::Relaxed) {
            // Its caller broke the request off, which says nothing of the upstream.
            _ if rest.as_ref().is_some_and(|rest| rest.is_broken()) => match caller_left() {
                true => Exchanged::CallerLeft(Outcome::Cancelled.into()),
                false => Outcome::Cancelled.into(),
            },
            true => Outcome::Reset.into(),
            false => Outcome::ConnectFailed.into(),
        }
    };
    let request = request.map(|payload| Outgoing::new(payload, taken));
    let Ok(response) = connection.sender.send_request(request).await else {
        return broken();
    };
    connection.slot.0.reachability.heard(means.address);
    let (head, mut body) = response.into_parts();
    let rejected = head.headers.get("x-rejected").is_some_and(|value| value == "1");
    let outcome = match head.status {
        StatusCode::OK => Outcome::Ok,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if rejected => Outcome::Full,
        // 408 and 429 are about the connection and the load; all else of its kind is about the request.
        StatusCode::REQUEST_TIMEOUT | StatusCode::TOO_MANY_REQUESTS => Outcome::Error,
        status if status.is_client_error() => Outcome::Declined,
        _ => Outcome::Error,
    };
    if body.size_hint().lower() > MOST_BODY {
        return Outcome::Error.into(); // larger than any answer may be
    }
    let size = body.size_hint().exact().and_then(|size| usize::try_from(size).ok());
    let small = size.filter(|size| *size <= MOST_KEPT);
    let room = means.budget.take(small.unwrap_or(MOST_KEPT));
    // One of unknown length may be a small one that comes slowly: its caller gets it as it comes.
    let until = small.is_none().then(|| Instant::now() + GATHER);
    let most = if room.is_some() { MOST_KEPT } else { 0 };
    let (kept, whole) = match gather(&mut body, most, until).await {
        Ok(Gathered { kept, whole }) => (kept, whole || body.is_end_stream()),
        Err(_) => return broken(),
    };
    let head = Response::from_parts(head, kept);
    if whole {
        let connection = connection.settled().await;
        return Exchanged::Ended(Finished { outcome, response: Some(head), connection });
    }
    match outcome {
        Outcome::Ok | Outcome::Declined => Exchanged::Begun(Box::new(Begun { head, body, connection, room })),
        outcome => outcome.into(), // nobody gets the rest
    }
}

/// The end of an attempt that was not written, or not to its end, so that it cannot have run.
fn not_sent(reason: NotSent, finished: Finished) -> Exchanged {
    match reason {
        NotSent::CallerLeft => Exchanged::CallerLeft(finished),
        NotSent::TooLate => Exchanged::Ended(finished),
    }
}

/// A connection to an upstream. Dropping it closes it.
pub struct Connection {
    sender: SendRequest<Outgoing<Taken>>,
    tcp: Arc<TcpStream>,
    progress: Arc<Progress>,
    task: AbortHandle,
    slot: Slot,
}

impl Connection {
    async fn open(address: SocketAddr, slot: Slot, patience: Patience<'_>) -> Result<Self, ConnectError> {
        let tcp = connect(address, patience, &slot.0.reachability).await?;
        let (tcp, progress) = (Arc::new(tcp), Arc::new(Progress::default()));
        let socket = Socket { tcp: tcp.clone(), progress: progress.clone() };
        let builder = &mut Builder::new();
        let builder = builder.max_buf_size(READ_BUFFER);
        let handshake = builder.handshake(TokioIo::new(socket)).await;
        let (sender, connection) = handshake.map_err(|error| ConnectError::Peer(io::Error::other(error)))?;
        let task = tokio::spawn(connection).abort_handle();
        Ok(Self { sender, tcp, progress, task, slot })
    }

    /// The connection after its answer: ready again unless its upstream closes it, which it has said by now, or is
    /// still being told more of the request.
    pub async fn settled(mut self) -> Option<Self> {
        if !self.progress.written.load(Ordering::Relaxed) {
            return None;
        }
        self.sender.ready().await.is_ok().then_some(self)
    }

    /// Whether nothing has come since the last answer. What an idle connection brings is its end, and the
    /// runtime may not have heard of that yet: a request written to it would be lost.
    fn is_quiet(&self) -> bool {
        let peeked = SockRef::from(&*self.tcp).peek(&mut [MaybeUninit::uninit()]);
        self.sender.is_ready() && peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// How far a request has got on its way out.
#[derive(Default)]
struct Progress {
    /// The last of its body is in hyper's hands.
    body_taken: AtomicBool,
    /// Its last byte is written: the upstream may run it from here on.
    written: AtomicBool,
    /// Counts it once that is so.
    tally: Mutex<Option<Arc<AtomicU64>>>,
    /// What has to hold until it is written.
    sending: Mutex<Option<Sending>>,
}

impl Progress {
    /// Writes more of a request, unless that must not leave any more.
    fn write(&self, tcp: &TcpStream, parts: &[IoSlice<'_>]) -> io::Result<usize> {
        let mut sending = lock(&self.sending);
        let (Some(sending), Some(first)) = (sending.as_mut(), parts.first()) else {
            return tcp.try_write_vectored(parts);
        };
        let last = self.body_taken.load(Ordering::Relaxed);
        let head = sending.before_write(first, last).map_err(io::Error::other)?;
        let written = match &head {
            Some(head) => {
                let mut parts = parts.to_vec();
                parts[0] = IoSlice::new(head);
                tcp.try_write_vectored(&parts)
            }
            None => tcp.try_write_vectored(parts),
        }?;
        sending.wrote(written);
        Ok(written)
    }

    fn is_written(&self) {
        lock(&self.sending).take();
        self.written.store(true, Ordering::Relaxed);
        if let Some(tally) = lock(&self.tally).take() {
            tally.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Notes that the last of a body is taken.
type Taken = Box<dyn Fn() + Send>;

/// A socket that notes when the last byte of a request is written, and whose other handle can be peeked at.
struct Socket {
    tcp: Arc<TcpStream>,
    progress: Arc<Progress>,
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let room = buffer.initialize_unfilled();
        let got = ready!(poll_io(cx, &self.tcp, TcpStream::poll_read_ready, |tcp| tcp.try_read(room)))?;
        buffer.advance(got);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Socket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[IoSlice::new(bytes)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let write = |tcp: &TcpStream| self.progress.write(tcp, parts);
        let done = ready!(poll_io(cx, &self.tcp, TcpStream::poll_write_ready, write))?;
        // All that hyper had is written, and it had all.
        let offered: usize = parts.iter().map(|part| part.len()).sum();
        if done == offered && self.progress.body_taken.load(Ordering::Relaxed) {
            self.progress.is_written();
        }
        Poll::Ready(Ok(done))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.tcp).shutdown(std::net::Shutdown::Write))
    }
}

/// Idle connections, the latest used last.
pub struct Idle {
    keep: Duration,
    most: usize,
    links: Arc<Links>,
    idle: HashMap<ServerId, Vec<(Instant, Connection)>>,
}

impl Idle {
    /// Connections are kept for less than `limit`, and no more than `most` are open, idle or not.
    pub fn new(limit: Duration, most: usize) -> Self {
        let keep = limit - IDLE_MARGIN.min(limit / 2);
        Self { keep, most, links: Arc::default(), idle: HashMap::new() }
    }

    /// Changes how many may be open, and closes idle ones that are too many then.
    pub fn limit(&mut self, most: usize) {
        self.most = most;
        while self.links.open.load(Ordering::Relaxed) > most && self.close_oldest() {}
    }

    /// What an attempt at an upstream goes on: the latest used connection that is sound, or a new one if there is room.
    pub fn link(&mut self, server: ServerId) -> Option<Link> {
        while let Some((since, connection)) = self.idle.get_mut(&server).and_then(Vec::pop) {
            if since.elapsed() < self.keep && connection.is_quiet() {
                return Some(Link::Idle(connection));
            }
        }
        self.make_room().then(|| Link::New(Slot::take(&self.links)))
    }

    /// Keeps a connection for the next attempt.
    pub fn put(&mut self, server: ServerId, connection: Connection) {
        self.idle.entry(server).or_default().push((Instant::now(), connection));
    }

    /// Closes the idle connections to an upstream.
    pub fn close(&mut self, server: ServerId) {
        self.idle.remove(&server);
    }

    /// Closes all idle connections.
    pub fn close_all(&mut self) {
        self.idle.clear();
    }

    /// Closes what has been idle for too long, or has ended.
    pub fn sweep(&mut self) {
        self.idle.retain(|_, idle| {
            idle.retain(|(since, connection)| since.elapsed() < self.keep && connection.is_quiet());
            !idle.is_empty()
        });
    }

    /// Whether one more connection may be opened, after closing the one idle for longest if need be.
    fn make_room(&mut self) -> bool {
        let full = |idle: &Self| idle.links.open.load(Ordering::Relaxed) >= idle.most;
        if full(self) {
            self.close_oldest();
        }
        !full(self)
    }

    /// Closes the connection that has been idle for longest, if there is one.
    fn close_oldest(&mut self) -> bool {
        let oldest = self.idle.iter().filter_map(|(server, idle)| Some((idle.first()?.0, *server))).min();
        let idle = oldest.and_then(|(_, server)| self.idle.get_mut(&server));
        idle.map(|idle| idle.remove(0)).is_some()
    }
}

#[cfg(test)]
mod tests {
    use super::super::gate::{Gate, Line};
    use super::*;
    use std::io::{Read, Write};
    use std::net::TcpListener;
    use tokio::io::AsyncWriteExt;

    fn means(address: SocketAddr, link: Link) -> Means {
        Means {
            link,
            address,
            connect_timeout: Duration::from_secs(30),
            until: Instant::now() + Duration::from_secs(30),
            deadline: None,
            held_up: Arc::default(),
            begin_by: None,
            tally: None,
            budget: Budget::new(1 << 20),
            caller: None,
            caller_until: None,
            under_way: Arc::default(),
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
        let means = means(address, Link::New(Slot::take(&Arc::default())));
        let Exchanged::Ended(finished) = exchange(Request::new(Payload::default()), means).await else {
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
    async fn held_up(caller: Option<Presence>, left: Duration, by: impl FnOnce() + Send + 'static) -> Held {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let (connection, mut peer) = used(&listener).await;
        let under_way = Arc::new(AtomicBool::new(false));
        let until = Instant::now() + left;
        let means = Means {
            link: Link::Idle(connection),
            caller,
            caller_until: Some(until),
            until,
            under_way: under_way.clone(),
            ..means(listener.local_addr().unwrap(), Link::New(Slot::take(&Arc::default())))
        };
        let exchanged = tokio::spawn(exchange(Request::new(Payload::default()), means));
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
        Held { got, exchanged, under_way: under_way.load(Ordering::Relaxed) }
    }

    struct Held {
        /// What the upstream got.
        got: String,
        exchanged: Option<Exchanged>,
        under_way: bool,
    }

    /// A caller's end of a connection, and what an attempt for it is given.
    async fn caller() -> (std::net::TcpStream, Line) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let caller = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let taken = listener.accept().unwrap().0;
        taken.set_nonblocking(true).unwrap();
        (caller, Gate::new(TcpStream::from_std(taken).unwrap()).1)
    }

    /// Guards upstreams against work that nobody waits for: a late turn of the event loop lies between the choice and
    /// the write.
    #[tokio::test]
    async fn a_caller_that_leaves_before_the_write_gets_no_attempt() {
        for reset in [false, true] {
            let (caller, line) = caller().await;
            let held = held_up(Some(line.presence()), Duration::from_secs(30), move || {
                if reset {
                    SockRef::from(&caller).set_linger(Some(Duration::ZERO)).unwrap();
                }
                drop(caller);
            });
            let held = held.await;
            assert_eq!(held.got, "", "reset: {reset}");
            assert!(!held.under_way, "it ends as never sent");
            assert!(matches!(
                held.exchanged,
                Some(Exchanged::CallerLeft(Finished { outcome: Outcome::Moot, .. }))
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
        assert!(held.under_way);

        let held = held_up(None, HELD_UP, hold_up).await;
        assert_eq!(held.got, "", "nothing is left");
        assert!(!held.under_way);
        assert!(matches!(held.exchanged, Some(Exchanged::Ended(Finished { outcome: Outcome::Moot, .. }))));
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
        progress.body_taken.store(true, Ordering::Relaxed);
        let most = socket.write(&vec![0; 64 << 20]).await.unwrap();
        assert!(most < 64 << 20 && !written(), "the peer's buffer holds a part only");
        let mut peer = listener.accept().unwrap().0;
        std::thread::spawn(move || std::io::copy(&mut peer, &mut std::io::sink()));
        socket.write_all(b"the rest").await.unwrap();
        assert!(written());
    }
}
