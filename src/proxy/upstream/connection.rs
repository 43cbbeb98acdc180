//! A connection to an upstream, and how far a request has got on it.

use crate::proxy::body::request_body::UpstreamRequestBody;
use crate::proxy::downstream::connection::poll_io;
use crate::proxy::send_check::SendCheck;
use crate::proxy::sync::lock;
use crate::proxy::upstream::connect::{ConnectDeadline, ConnectError, connect};
use crate::proxy::upstream::permit::ConnectionPermit;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::io::{self, ErrorKind, IoSlice};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// hyper's buffer for an answer: a head without end is given up at this size.
pub const READ_BUFFER: usize = 16 << 10;

/// A connection to an upstream. Dropping it closes it.
pub struct Connection {
    pub sender: SendRequest<UpstreamRequestBody<BodyConsumedCallback>>,
    pub tcp: Arc<TcpStream>,
    pub progress: Arc<Progress>,
    pub task: AbortHandle,
    pub permit: ConnectionPermit,
}

impl Connection {
    pub async fn open(
        address: SocketAddr,
        permit: ConnectionPermit,
        connect_deadline: ConnectDeadline<'_>,
    ) -> Result<Self, ConnectError> {
        let tcp = connect(address, connect_deadline, &permit.0.reachability).await?;
        let (tcp, progress) = (Arc::new(tcp), Arc::new(Progress::default()));
        let socket = Socket { tcp: tcp.clone(), progress: progress.clone() };
        let builder = &mut Builder::new();
        let builder = builder.max_buf_size(READ_BUFFER);
        let handshake = builder.handshake(TokioIo::new(socket)).await;
        let (sender, connection) = handshake.map_err(|error| ConnectError::Peer(io::Error::other(error)))?;
        let task = tokio::spawn(connection).abort_handle();
        Ok(Self { sender, tcp, progress, task, permit })
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
    pub fn is_quiet(&self) -> bool {
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
pub struct Progress {
    /// The last of its body is in hyper's hands.
    pub body_consumed: AtomicBool,
    /// Its last byte is written: the upstream may run it from here on.
    pub written: AtomicBool,
    /// Counts it once that is so.
    pub attempt_counter: Mutex<Option<Arc<AtomicU64>>>,
    /// What has to hold until it is written.
    pub send_check: Mutex<Option<SendCheck>>,
}

impl Progress {
    /// Writes more of a request, unless that must not leave any more.
    pub fn write(&self, tcp: &TcpStream, parts: &[IoSlice<'_>]) -> io::Result<usize> {
        let mut send_check = lock(&self.send_check);
        let (Some(send_check), Some(first)) = (send_check.as_mut(), parts.first()) else {
            return tcp.try_write_vectored(parts);
        };
        let last = self.body_consumed.load(Ordering::Relaxed);
        let head = send_check.before_write(first, last).map_err(io::Error::other)?;
        let written = match &head {
            Some(head) => {
                let mut parts = parts.to_vec();
                parts[0] = IoSlice::new(head);
                tcp.try_write_vectored(&parts)
            }
            None => tcp.try_write_vectored(parts),
        }?;
        send_check.wrote(written);
        Ok(written)
    }

    pub fn mark_written(&self) {
        lock(&self.send_check).take();
        self.written.store(true, Ordering::Relaxed);
        if let Some(attempt_counter) = lock(&self.attempt_counter).take() {
            attempt_counter.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Called when the last part of a request body has been handed to hyper.
pub type BodyConsumedCallback = Box<dyn Fn() + Send>;

/// A socket that notes when the last byte of a request is written, and whose other handle can be peeked at.
pub struct Socket {
    pub tcp: Arc<TcpStream>,
    pub progress: Arc<Progress>,
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
        if done == offered && self.progress.body_consumed.load(Ordering::Relaxed) {
            self.progress.mark_written();
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
