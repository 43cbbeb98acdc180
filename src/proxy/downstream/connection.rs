//! A client's socket: hands hyper one request at a time, and tracks state that hyper does not expose.

use crate::proxy::body::MAX_READ_SIZE;
use crate::proxy::body::write_backpressure::WriteBackpressure;
use crate::proxy::downstream::arrival::{
    ARRIVAL_CHECK_INTERVAL, Arrival, OPEN_WINDOW, STREAM_RECEIVE_BUFFER, UNCERTAIN_ARRIVAL_DELAY,
};
use crate::proxy::downstream::request_framing::{IdleState, MAX_HEAD_SIZE, Phase, RequestFraming};
use crate::proxy::sync::lock;
use crate::transient_errors::{SHORTAGE_PAUSE, is_shortage, poll_later};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::io::{ioctl_fionread, retry_on_intr};
use rustix::net::{RecvFlags, recv};
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

/// The bytes that end a chunked request, whether or not it has trailers.
const END_OF_CHUNKED_REQUEST: &[u8] = b"\r\n\r\n";

/// A client's socket and its framing state, as used by the code outside hyper.
#[derive(Clone)]
pub struct ClientConnection {
    pub(super) tcp: Arc<TcpStream>,
    /// The state of the requests on this connection.
    pub framing: Arc<Mutex<RequestFraming>>,
    /// The bytes of a streamed response that wait to be written.
    pub backpressure: Arc<WriteBackpressure>,
}

impl ClientConnection {
    /// Whether the connection may be closed between requests: no part of a request was received, and the last response
    /// is written. A connection on which nothing was ever received may be closed only after `silent_grace`.
    pub fn can_close(&self, silent_grace: Duration) -> bool {
        let framing = lock(&self.framing);
        let is_idle = match framing.idle_state() {
            Some((IdleState::Silent, since)) => since.elapsed() >= silent_grace,
            Some((IdleState::UnknownClassOnly | IdleState::BetweenRequests, _)) => {
                framing.response_stalled_since.is_none()
            }
            Some((IdleState::PartialHead | IdleState::StalledBody | IdleState::Lingering, _)) | None => false,
        };
        is_idle && !self.has_unread_bytes()
    }

    /// The handle by which an attempt checks whether the client is still connected.
    pub fn liveness(&self) -> ClientLiveness {
        ClientLiveness { tcp: Arc::downgrade(&self.tcp), framing: Arc::downgrade(&self.framing) }
    }

    /// Bounds the bytes of a streamed request that wait in the kernel.
    pub fn limit_receive_buffer(&self) {
        SockRef::from(&*self.tcp).set_recv_buffer_size(STREAM_RECEIVE_BUFFER).ok(); // the bound is then an estimate
    }

    /// Waits until the last byte of the request, which is still being read, has been received by the kernel, or may have
    /// been written so long ago that its time of `budget` is over. Returns when that was.
    pub async fn wait_for_possible_arrival(&self, budget: Duration) -> Instant {
        loop {
            let unread = ioctl_fionread(&*self.tcp).unwrap_or(0);
            let may_end = self.may_end_request(unread);
            let arrival = lock(&self.framing).assess_arrival(unread, may_end);
            match arrival {
                Arrival::CompleteSince(since) => return since,
                Arrival::PossibleSince(since) if since.elapsed() >= budget + UNCERTAIN_ARRIVAL_DELAY => {
                    return since;
                }
                Arrival::PossibleSince(_) => sleep(ARRIVAL_CHECK_INTERVAL).await,
            }
        }
    }

    /// Whether the unread bytes, whose number is given, may include the end of a chunked request. Only a small number of
    /// them is examined.
    fn may_end_request(&self, unread: u64) -> bool {
        if unread == 0 || unread >= OPEN_WINDOW {
            return true;
        }
        let mut bytes = vec![0; unread as usize];
        let Ok((length, _)) = recv(&*self.tcp, &mut bytes[..], RecvFlags::PEEK) else { return true };
        length < END_OF_CHUNKED_REQUEST.len() || bytes[..length].ends_with(END_OF_CHUNKED_REQUEST)
    }

    /// Waits until the client has closed or reset the connection, while its request is still being received.
    /// `PRIORITY` interest reports this even behind unread bytes. It would also report urgent data, which is not
    /// expected.
    pub async fn wait_for_disconnect_while_receiving(&self) {
        self.tcp.ready(Interest::PRIORITY).await.ok(); // an error also means that the connection is closed
    }

    /// Waits until the client has disconnected, while its request, which was received completely, has no response.
    /// hyper does not detect a disconnect while it has pipelined bytes.
    pub async fn wait_for_disconnect_after_receiving(&self) {
        while self.tcp.readable().await.is_ok() {
            let read = {
                let mut framing = lock(&self.framing);
                if framing.eof_received {
                    return;
                }
                if framing.is_read_buffer_full() {
                    let is_closed = matches!(socket_state(&self.tcp), SocketState::Closed);
                    if unread_may_hide_disconnect(&self.tcp, &mut framing) || is_closed {
                        return;
                    }
                    None
                } else {
                    Some(framing.read(&self.tcp))
                }
            };
            let Some(read) = read else {
                sleep(ARRIVAL_CHECK_INTERVAL).await;
                continue;
            };
            match read {
                Err(error) if is_shortage(&error) => sleep(SHORTAGE_PAUSE).await,
                Err(error) if !is_retryable(&error) => return,
                _ => {}
            }
        }
    }
}

/// Looks at the bytes that wait in the kernel while the read buffer is full. Returns whether there are so many that they may keep
/// the client's FIN from arriving, as the window may be closed. A regular client does not send so much ahead, and counts as
/// disconnected.
fn unread_may_hide_disconnect(tcp: &TcpStream, framing: &mut RequestFraming) -> bool {
    let unread = ioctl_fionread(tcp).unwrap_or(0);
    framing.record_unread(unread);
    unread >= OPEN_WINDOW
}

/// Shows whether a client is still connected. Does not keep the socket open, as an attempt may outlive its client.
#[derive(Clone)]
pub struct ClientLiveness {
    tcp: Weak<TcpStream>,
    framing: Weak<Mutex<RequestFraming>>,
}

impl ClientLiveness {
    /// Whether the client has closed or reset the connection, according to the kernel. The runtime learns of a close
    /// only at its next poll, and a read returns it only after all bytes that were received before.
    ///
    /// While the receive buffer is full, the client cannot send its FIN. The bytes that follow the request are
    /// therefore read here, as far as the read buffer has room, if the whole request was received, according to
    /// `request_complete` or to the framing state.
    pub fn is_disconnected(&self, request_complete: bool) -> bool {
        let (Some(tcp), Some(framing)) = (self.tcp.upgrade(), self.framing.upgrade()) else { return true };
        let mut framing = lock(&framing);
        let may_read_pipelined = request_complete || framing.phase == Phase::Complete;
        let mut buffer = [0; MAX_HEAD_SIZE];
        loop {
            if framing.eof_received {
                return true;
            }
            match socket_state(&tcp) {
                SocketState::Closed => return true,
                SocketState::Idle => return false,
                SocketState::Readable if !may_read_pipelined => return false,
                SocketState::Readable => {}
            }
            let length = framing.free_space().min(buffer.len());
            if length == 0 {
                return unread_may_hide_disconnect(&tcp, &mut framing);
            }
            match (&*SockRef::from(&*tcp)).read(&mut buffer[..length]) {
                Ok(length) => framing.append_pipelined(&buffer[..length]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return false,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return true,
            }
        }
    }
}

/// The state of a connection according to the kernel.
enum SocketState {
    /// The client has closed or reset the connection.
    Closed,
    /// Bytes can be read.
    Readable,
    /// There is nothing to read.
    Idle,
}

/// Polls a socket without waiting. A failed poll counts as `Idle`.
fn socket_state(tcp: &TcpStream) -> SocketState {
    let poll_fds = &mut [PollFd::new(tcp, PollFlags::RDHUP | PollFlags::IN)]; // errors and resets need no flag
    let no_wait = Timespec { tv_sec: 0, tv_nsec: 0 };
    let polled = retry_on_intr(|| poll(poll_fds, Some(&no_wait)));
    let events = if polled.is_ok() { poll_fds[0].revents() } else { PollFlags::empty() };
    match events {
        events if events.is_empty() => SocketState::Idle,
        PollFlags::IN => SocketState::Readable,
        _ => SocketState::Closed,
    }
}

/// A stream that hands hyper no byte of a request before the previous request is answered. This serves three purposes:
/// a client's disconnect is detected while its request is open, a deadline can be counted from the last byte of the
/// request, and connections that are idle or have a partial request can be distinguished from those with an open
/// request.
pub struct SingleRequestStream(ClientConnection);

impl SingleRequestStream {
    /// Creates the stream for hyper, and the handle for the code outside hyper.
    pub fn new(tcp: TcpStream) -> (Self, ClientConnection) {
        let connection = ClientConnection {
            tcp: Arc::new(tcp),
            framing: Arc::new(Mutex::new(RequestFraming::new())),
            backpressure: Arc::default(),
        };
        (Self(connection.clone()), connection)
    }
}

impl SingleRequestStream {
    /// Records since when the client has accepted no bytes of its response, given the result of a write.
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
        if lock(&self.0.framing).reset_requested {
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
        let ClientConnection { tcp, framing, .. } = &self.0;
        let mut framing = lock(framing);
        loop {
            let available = framing.deliverable_bytes();
            if available > 0 {
                framing.deliver(buffer, available.min(MAX_READ_SIZE));
                return Poll::Ready(Ok(()));
            }
            if framing.eof_received {
                return Poll::Ready(Ok(()));
            }
            framing.read_waker = Some(cx.waker().clone());
            if framing.is_read_buffer_full() {
                return Poll::Pending; // until the response is finished
            }
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

/// Reads from or writes to a socket once it is ready. Other tasks may use the socket, too, so that an operation may
/// find it not ready after all.
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

/// Whether a failed read or write can be retried at once or when the socket is ready.
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
        self.0.backpressure.on_flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.0.tcp).shutdown(Shutdown::Write))
    }
}
