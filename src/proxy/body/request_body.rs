//! The body of a request. A body that is buffered as a whole can be sent again. Of a longer one, the start is buffered,
//! until an attempt begins to read the remainder, which can be sent only once.

use crate::proxy::body::write_backpressure::WriteBackpressure;
use crate::proxy::body::{BodyAborted, MAX_BODY};
use crate::proxy::sync::lock;
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};
use tokio::sync::oneshot;

/// A request's body, as it is sent on each attempt.
#[derive(Clone, Default)]
pub struct RequestBody {
    /// The whole body; empty if `remainder` has its start.
    pub buffered: Bytes,
    /// The start and the remainder of a body that is not buffered as a whole; `None` for any other.
    pub remainder: Option<Arc<BodyRemainder>>,
}

impl RequestBody {
    /// Whether an attempt has started to read the remainder, so that the body cannot be sent again.
    pub fn has_read_started(&self) -> bool {
        self.remainder.as_ref().is_some_and(|remainder| remainder.read_started.load(Ordering::Relaxed))
    }
}

/// A request's body that is not buffered as a whole.
pub struct BodyRemainder {
    /// The buffered start; empty once an attempt has started to read the remainder, as the body cannot be sent again.
    pub start: Mutex<Bytes>,
    /// The body as hyper receives it, without the buffered start.
    pub body: Mutex<Incoming>,
    /// Length of the remainder in bytes, if known.
    pub length: Option<u64>,
    /// How many more bytes may be received before the remainder exceeds [`MAX_BODY`].
    pub allowance: Mutex<u64>,
    /// An attempt has started to read the remainder, even if nothing of it has been received yet.
    pub read_started: AtomicBool,
    /// The body is not forwarded to its end: it ended early or exceeded the size limit, which is the client's fault, or
    /// the request was rejected meanwhile.
    pub aborted: AtomicBool,
    /// Notifies the receiver that [`new`](Self::new) returns; `None` once the whole body has been received.
    pub end_sender: Mutex<Option<oneshot::Sender<()>>>,
}

impl BodyRemainder {
    /// Creates a body from its buffered start and its remainder, and the receiver that is notified when all of it has
    /// been received.
    pub fn new(start: Bytes, body: Incoming) -> (Arc<Self>, oneshot::Receiver<()>) {
        let (sender, end_receiver) = oneshot::channel();
        let (length, end_sender) = (body.size_hint().exact(), Mutex::new(Some(sender)));
        let allowance = Mutex::new(MAX_BODY);
        let (read_started, aborted) = Default::default();
        (
            Arc::new(Self {
                start: Mutex::new(start),
                body: Mutex::new(body),
                length,
                allowance,
                read_started,
                aborted,
                end_sender,
            }),
            end_receiver,
        )
    }

    /// Polls the next chunk. The body is marked as aborted if it ends early or exceeds the size limit. Once it is
    /// aborted, no more of it is forwarded.
    pub fn poll(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyAborted>>> {
        if !self.read_started.swap(true, Ordering::Relaxed) {
            drop(std::mem::take(&mut *lock(&self.start)));
        }
        if self.is_aborted() {
            return Poll::Ready(Some(Err(BodyAborted)));
        }
        let mut body = lock(&self.body);
        loop {
            return match Pin::new(&mut *body).poll_frame(cx) {
                Poll::Pending => Poll::Pending,
                Poll::Ready(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else { continue }; // trailers are not forwarded
                    let allowance = &mut *lock(&self.allowance);
                    let Some(allowance_after) = allowance.checked_sub(data.len() as u64) else {
                        return Poll::Ready(Some(Err(self.abort())));
                    };
                    *allowance = allowance_after;
                    if body.is_end_stream() {
                        self.notify_end();
                    }
                    Poll::Ready(Some(Ok(data)))
                }
                Poll::Ready(Some(Err(_))) => Poll::Ready(Some(Err(self.abort()))),
                Poll::Ready(None) => {
                    self.notify_end();
                    Poll::Ready(None)
                }
            };
        }
    }

    /// How many more bytes may be received. A change shows that the body is still making progress.
    pub fn allowance(&self) -> u64 {
        *lock(&self.allowance)
    }

    /// Whether the body is not forwarded to its end.
    pub fn is_aborted(&self) -> bool {
        self.aborted.load(Ordering::Relaxed)
    }

    /// Marks the body as aborted and returns the error.
    pub fn abort(&self) -> BodyAborted {
        self.aborted.store(true, Ordering::Relaxed);
        BodyAborted
    }

    /// Notifies the receiver that the whole body has been received.
    pub fn notify_end(&self) {
        if let Some(sender) = lock(&self.end_sender).take() {
            sender.send(()).ok(); // the client may just have disconnected
        }
    }

    /// Whether the whole body has been received.
    pub fn is_end_stream(&self) -> bool {
        lock(&self.body).is_end_stream()
    }
}

/// A request's body as it is sent upstream on one attempt.
pub struct UpstreamRequestBody<F> {
    /// The buffered start, until hyper has taken it.
    pub buffered: Option<Bytes>,
    /// The remainder, which is read from the client as hyper takes it.
    pub remainder: Option<Arc<BodyRemainder>>,
    /// Length of the whole body in bytes, if known.
    pub length: Option<u64>,
    /// Holds the next piece of the remainder back while the upstream does not read.
    pub backpressure: Arc<WriteBackpressure>,
    /// Called when hyper has taken the last part.
    pub on_body_end: F,
}

impl<F: Fn()> UpstreamRequestBody<F> {
    /// Creates the body for one attempt. `on_body_end` is called at once if the body is empty.
    pub fn new(body: RequestBody, backpressure: Arc<WriteBackpressure>, on_body_end: F) -> Self {
        let start = body.remainder.as_ref().map(|remainder| lock(&remainder.start).clone());
        let buffered = Some(start.unwrap_or(body.buffered)).filter(|buffered| !buffered.is_empty());
        let buffered_length = buffered.as_ref().map_or(0, Bytes::len) as u64;
        let remainder_length = body.remainder.as_ref().map_or(Some(0), |remainder| remainder.length);
        if buffered.is_none() && body.remainder.is_none() {
            on_body_end();
        }
        Self {
            buffered,
            remainder: body.remainder,
            length: remainder_length.map(|remainder_length| remainder_length + buffered_length),
            backpressure,
            on_body_end,
        }
    }
}

impl<F: Fn() + Unpin> Body for UpstreamRequestBody<F> {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        ready!(self.backpressure.poll_ready(cx));
        let data = match (self.buffered.take(), &self.remainder) {
            (Some(buffered), _) => Some(Ok(buffered)),
            (None, Some(remainder)) => match remainder.poll(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(data) => data,
            },
            (None, None) => None,
        };
        let is_last = data.is_none() || self.is_end_stream();
        if is_last && !matches!(data, Some(Err(_))) {
            (self.on_body_end)();
        }
        Poll::Ready(data.map(|data| data.map(|piece| Frame::data(self.backpressure.hand_over(piece)))))
    }

    fn is_end_stream(&self) -> bool {
        self.buffered.is_none() && self.remainder.as_ref().is_none_or(|remainder| remainder.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        self.length.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}
