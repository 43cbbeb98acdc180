//! A connection to an upstream, and the write progress of the request on it.

use crate::proxy::body::MAX_READ_SIZE;
use crate::proxy::body::memory::MemoryBudget;
use crate::proxy::body::request_body::UpstreamRequestBody;
use crate::proxy::body::write_backpressure::WriteBackpressure;
use crate::proxy::downstream::connection::poll_io;
use crate::proxy::send_check::SendCheck;
use crate::proxy::sync::lock;
use crate::proxy::upstream::connect::{ConnectDeadline, ConnectError, connect};
use crate::proxy::upstream::permit::ConnectionPermit;
use bytes::BufMut;
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

/// Size of hyper's read buffer for responses, in bytes. A response head that exceeds it is an error.
pub const READ_BUFFER_SIZE: usize = 16 << 10;

/// An HTTP/1.1 connection to an upstream, closed on drop.
pub struct Connection {
    /// Hands requests to hyper.
    pub sender: SendRequest<Box<UpstreamRequestBody<BodyEndCallback>>>,
    /// The socket, for checks outside hyper.
    pub tcp: Arc<TcpStream>,
    /// The progress of the current request, which the socket updates.
    pub progress: Arc<WriteProgress>,
    /// The task that runs hyper's side of the connection.
    pub task: AbortHandle,
    /// Counts the connection as open until it is dropped.
    pub permit: ConnectionPermit,
}

impl Connection {
    /// Connects to an upstream and starts the task that runs the connection.
    pub async fn open(
        address: SocketAddr,
        permit: ConnectionPermit,
        connect_deadline: ConnectDeadline<'_>,
    ) -> Result<Self, ConnectError> {
        let tcp = connect(address, connect_deadline, &permit.shared.reachability).await?;
        let (tcp, progress) = (Arc::new(tcp), Arc::new(WriteProgress::default()));
        let memory = permit.shared.memory.clone();
        let socket = UpstreamSocket { tcp: tcp.clone(), progress: progress.clone(), memory };
        let builder = &mut Builder::new();
        let builder = builder.max_buf_size(READ_BUFFER_SIZE);
        let handshake = builder.handshake(TokioIo::new(socket)).await;
        let (sender, connection) = handshake.map_err(|error| ConnectError::Peer(io::Error::other(error)))?;
        let task = tokio::spawn(connection).abort_handle();
        Ok(Self { sender, tcp, progress, task, permit })
    }

    /// Waits after a response until the connection is ready for another request. Returns `None` if the request has not
    /// been written completely, or if the upstream closes the connection, as its response has announced by now.
    pub async fn into_reusable(mut self) -> Option<Self> {
        if !self.progress.request_written.load(Ordering::Relaxed) {
            return None;
        }
        self.sender.ready().await.is_ok().then_some(self)
    }

    /// Whether an idle connection is still open and nothing can be read from it. An idle connection receives nothing
    /// but its end, which the runtime may not have noticed yet. A request written after that would be lost.
    pub fn is_usable(&self) -> bool {
        let peeked = SockRef::from(&*self.tcp).peek(&mut [MaybeUninit::uninit()]);
        self.sender.is_ready() && peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// How far the current request of a connection has been written.
#[derive(Default)]
pub struct WriteProgress {
    /// The whole request body has been handed to hyper.
    pub body_ended: AtomicBool,
    /// The last byte of the request is written: the upstream may run the request from now on.
    pub request_written: AtomicBool,
    /// The counter that is incremented when the request is written completely; `None` afterwards and for a load query.
    pub attempt_counter: Mutex<Option<Arc<AtomicU64>>>,
    /// The bytes of the request's body that wait to be written.
    pub backpressure: Arc<WriteBackpressure>,
    /// Checks whether each write of the request is still allowed; `None` once the request is written completely.
    pub send_check: Mutex<Option<SendCheck>>,
}

impl WriteProgress {
    /// Writes more of a request, unless the send check forbids it.
    pub fn write(&self, tcp: &TcpStream, parts: &[IoSlice<'_>]) -> io::Result<usize> {
        let mut send_check = lock(&self.send_check);
        let (Some(send_check), Some(first_part)) = (send_check.as_mut(), parts.first()) else {
            return tcp.try_write_vectored(parts);
        };
        let ends_request = self.body_ended.load(Ordering::Relaxed);
        let replacement = send_check.before_write(first_part, ends_request).map_err(io::Error::other)?;
        let written = match &replacement {
            Some(replacement) => {
                let mut parts = parts.to_vec();
                parts[0] = IoSlice::new(replacement);
                tcp.try_write_vectored(&parts)
            }
            None => tcp.try_write_vectored(parts),
        }?;
        send_check.record_written(written);
        Ok(written)
    }

    /// Records that the request is written completely and counts the attempt.
    pub fn mark_written(&self) {
        lock(&self.send_check).take();
        self.request_written.store(true, Ordering::Relaxed);
        if let Some(attempt_counter) = lock(&self.attempt_counter).take() {
            attempt_counter.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Called when the last part of a request body has been handed to hyper.
pub type BodyEndCallback = Box<dyn Fn() + Send>;

/// The socket as hyper uses it. It checks each write, and records when the last byte of a request is written. `tcp` is
/// shared, so that the connection can be checked outside hyper.
pub struct UpstreamSocket {
    pub tcp: Arc<TcpStream>,
    pub progress: Arc<WriteProgress>,
    /// Tells whether memory is scarce, so that responses are read in smaller pieces.
    pub memory: Arc<MemoryBudget>,
}

impl AsyncRead for UpstreamSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let max_length = if self.memory.is_scarce() { MAX_READ_SIZE } else { buffer.remaining() };
        let read = |tcp: &TcpStream| tcp.try_read_buf(&mut buffer.limit(max_length));
        poll_io(cx, &self.tcp, TcpStream::poll_read_ready, read).map_ok(drop)
    }
}

impl AsyncWrite for UpstreamSocket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[IoSlice::new(bytes)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let write = |tcp: &TcpStream| self.progress.write(tcp, parts);
        let written = ready!(poll_io(cx, &self.tcp, TcpStream::poll_write_ready, write))?;
        // The request is written completely once hyper has the whole body and all bytes that hyper offered are written.
        let offered: usize = parts.iter().map(|part| part.len()).sum();
        if written == offered && self.progress.body_ended.load(Ordering::Relaxed) {
            self.progress.mark_written();
        }
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.progress.backpressure.on_flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.tcp).shutdown(std::net::Shutdown::Write))
    }
}
