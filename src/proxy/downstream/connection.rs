//! A caller's socket: hands hyper one request at a time, and notes what hyper does not tell.

use crate::proxy::downstream::request_framing::{IdleState, MAX_HEAD_SIZE, Phase, RequestFraming};
use crate::proxy::sync::lock;
use crate::transient_errors::{SHORTAGE_PAUSE, is_shortage, poll_later};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::io::retry_on_intr;
use socket2::SockRef;
use std::io::{self, ErrorKind, IoSlice, Read};
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::{Arc, Mutex, Weak};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep};

/// A client's socket and its framing state, as used by the code outside hyper.
#[derive(Clone)]
pub struct ClientConnection {
    pub(super) tcp: Arc<TcpStream>,
    pub framing: Arc<Mutex<RequestFraming>>,
}

impl ClientConnection {
    /// Whether the connection may be closed between requests: none has begun to come, none may come any moment on a new
    /// connection, and the last answer is written.
    pub fn can_close(&self, silent_grace: Duration) -> bool {
        let framing = lock(&self.framing);
        let is_idle = match framing.idle_state() {
            Some((IdleState::Silent, since)) => since.elapsed() >= silent_grace,
            Some((IdleState::UnrecognizedOnly | IdleState::BetweenRequests, _)) => {
                framing.response_stalled_since.is_none()
            }
            Some((IdleState::PartialHead | IdleState::Lingering, _)) | None => false,
        };
        is_idle && !self.has_unread_bytes()
    }

    /// The socket as an attempt looks at it.
    pub fn liveness(&self) -> ClientLiveness {
        ClientLiveness { tcp: Arc::downgrade(&self.tcp), framing: Arc::downgrade(&self.framing) }
    }

    /// Waits until the caller of a request that is still coming has closed or reset its connection. That shows also
    /// while nobody reads what is in front of it; no urgent data is waited for.
    pub async fn wait_for_hangup(&self) {
        self.tcp.ready(Interest::PRIORITY).await.ok(); // an error is an end as well
    }

    /// Waits until the caller of a request that has come whole has left. hyper does not look while it holds bytes of
    /// what follows.
    pub async fn wait_for_disconnect(&self) {
        while self.tcp.readable().await.is_ok() {
            let read = {
                let mut framing = lock(&self.framing);
                if framing.eof_received {
                    return;
                }
                framing.read(&self.tcp)
            };
            match read {
                Err(error) if is_shortage(&error) => sleep(SHORTAGE_PAUSE).await,
                Err(error) if !is_retryable(&error) => return,
                _ => {}
            }
        }
    }
}

/// Tells whether a client is still connected. It does not keep the socket open, as an attempt may outlast its client.
#[derive(Clone)]
pub struct ClientLiveness {
    tcp: Weak<TcpStream>,
    framing: Weak<Mutex<RequestFraming>>,
}

impl ClientLiveness {
    /// Whether the caller has closed or reset its connection, as the kernel knows it now. The runtime hears of that
    /// at its next look at its sockets only, and reading shows it only behind what has come before. Its end may wait
    /// at the caller for room in our buffer: so what follows a request of which `all_has_come` is read here.
    pub fn is_disconnected(&self, request_complete: bool) -> bool {
        let (Some(tcp), Some(framing)) = (self.tcp.upgrade(), self.framing.upgrade()) else { return true };
        let mut framing = lock(&framing);
        let may_read_pipelined = request_complete || framing.phase == Phase::Complete;
        let mut buffer = [0; MAX_HEAD_SIZE];
        loop {
            if framing.eof_received || framing.exceeds_pipelined_limit() {
                return true;
            }
            match socket_state(&tcp) {
                SocketState::Closed => return true,
                SocketState::Idle => return false,
                SocketState::Readable if !may_read_pipelined => return false,
                SocketState::Readable => {}
            }
            match (&*SockRef::from(&*tcp)).read(&mut buffer) {
                Ok(length) => framing.append_pipelined(&buffer[..length]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return false,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return true,
            }
        }
    }
}

/// What the kernel knows of a connection.
enum SocketState {
    /// Its peer has closed or reset it.
    Closed,
    Readable,
    Idle,
}

fn socket_state(tcp: &TcpStream) -> SocketState {
    let socket = &mut [PollFd::new(tcp, PollFlags::RDHUP | PollFlags::IN)]; // errors and resets are told unasked
    let no_wait = Timespec { tv_sec: 0, tv_nsec: 0 };
    let polled = retry_on_intr(|| poll(socket, Some(&no_wait)));
    let events = if polled.is_ok() { socket[0].revents() } else { PollFlags::empty() };
    match events {
        events if events.is_empty() => SocketState::Idle,
        PollFlags::IN => SocketState::Readable,
        _ => SocketState::Closed,
    }
}

/// A stream that gives hyper no byte of a request before the previous request is answered. So a client's disconnect is
/// seen while its request is open, a request's time can run from its last byte, and a connection that is idle or in the
/// middle of a request is distinguished from one with an open request.
pub struct SingleRequestStream(ClientConnection);

impl SingleRequestStream {
    pub fn new(tcp: TcpStream) -> (Self, ClientConnection) {
        let connection =
            ClientConnection { tcp: Arc::new(tcp), framing: Arc::new(Mutex::new(RequestFraming::new())) };
        (Self(connection.clone()), connection)
    }
}

impl SingleRequestStream {
    /// Notes whether the caller takes what it is given.
    fn track_stall(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        let stalled_since = &mut lock(&self.0.framing).response_stalled_since;
        match written {
            Poll::Pending => drop(stalled_since.get_or_insert_with(Instant::now)),
            Poll::Ready(_) => *stalled_since = None,
        }
        written
    }
}

impl Drop for SingleRequestStream {
    fn drop(&mut self) {
        if lock(&self.0.framing).reset_on_close {
            SockRef::from(&*self.0.tcp).set_linger(Some(Duration::ZERO)).ok();
        }
    }
}

impl AsyncRead for SingleRequestStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let ClientConnection { tcp, framing } = &self.0;
        let mut framing = lock(framing);
        loop {
            let available = framing.deliverable_bytes();
            if available > 0 {
                framing.deliver(buffer, available);
                return Poll::Ready(Ok(()));
            }
            if framing.eof_received {
                return Poll::Ready(Ok(()));
            }
            framing.read_waker = Some(cx.waker().clone());
            if tcp.poll_read_ready(cx)?.is_pending() {
                framing.read_wait_since.get_or_insert_with(Instant::now);
                return Poll::Pending;
            }
            match framing.read(tcp) {
                Err(error) if is_shortage(&error) => return poll_later(cx),
                Err(error) if !is_retryable(&error) => return Poll::Ready(Err(error)),
                _ => {}
            }
        }
    }
}

/// Reads from or writes to a socket that others look at too, once it is ready for that.
pub fn poll_io(
    cx: &mut Context<'_>,
    tcp: &TcpStream,
    poll_ready: impl Fn(&TcpStream, &mut Context<'_>) -> Poll<io::Result<()>>,
    mut operation: impl FnMut(&TcpStream) -> io::Result<usize>,
) -> Poll<io::Result<usize>> {
    loop {
        ready!(poll_ready(tcp, cx))?;
        match operation(tcp) {
            Err(error) if is_retryable(&error) => {}
            Err(error) if is_shortage(&error) => return poll_later(cx),
            result => return Poll::Ready(result),
        }
    }
}

/// Whether a read or write that failed may be made again at once, or when its socket is ready.
fn is_retryable(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted)
}

impl AsyncWrite for SingleRequestStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.track_stall(poll_io(cx, &self.0.tcp, TcpStream::poll_write_ready, |tcp| tcp.try_write(bytes)))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.track_stall(poll_io(cx, &self.0.tcp, TcpStream::poll_write_ready, |tcp| {
            tcp.try_write_vectored(buffers)
        }))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.0.tcp).shutdown(Shutdown::Write))
    }
}
