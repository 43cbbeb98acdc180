//! The body of a request: the part that is buffered, and what follows it, which can be sent once only.

use crate::proxy::body::{BodyAborted, MAX_BODY};
use crate::proxy::sync::lock;
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use tokio::sync::oneshot;

/// A request's body: the buffered start, and the remainder, which can be sent only once.
#[derive(Clone, Default)]
pub struct RequestBody {
    pub buffered: Bytes,
    pub remainder: Option<Arc<BodyRemainder>>,
}

impl RequestBody {
    /// Whether a part of the remainder has been consumed, so that the body cannot be sent again.
    pub fn is_consumed(&self) -> bool {
        self.remainder.as_ref().is_some_and(|remainder| remainder.consumed.load(Ordering::Relaxed))
    }
}

/// The part of a request's body after the buffered start.
pub struct BodyRemainder {
    pub body: Mutex<Incoming>,
    /// Its length, where that is known.
    pub length: Option<u64>,
    /// How much more of it may come.
    pub remaining: Mutex<u64>,
    pub consumed: AtomicBool,
    /// It broke off, or was too long.
    pub aborted: AtomicBool,
    /// Is told of the end.
    pub ended: Mutex<Option<oneshot::Sender<()>>>,
}

impl BodyRemainder {
    /// The rest of a body, and what tells that all of it has come.
    pub fn new(body: Incoming) -> (Arc<Self>, oneshot::Receiver<()>) {
        let (tell, ended) = oneshot::channel();
        let (length, ended_by) = (body.size_hint().exact(), Mutex::new(Some(tell)));
        let remaining = Mutex::new(MAX_BODY);
        let (consumed, aborted) = Default::default();
        (
            Arc::new(Self { body: Mutex::new(body), length, remaining, consumed, aborted, ended: ended_by }),
            ended,
        )
    }

    pub fn poll(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyAborted>>> {
        self.consumed.store(true, Ordering::Relaxed);
        let mut body = lock(&self.body);
        loop {
            return match Pin::new(&mut *body).poll_frame(cx) {
                Poll::Pending => Poll::Pending,
                Poll::Ready(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else { continue }; // trailers end here
                    let left = &mut *lock(&self.remaining);
                    let Some(less) = left.checked_sub(data.len() as u64) else {
                        return Poll::Ready(Some(Err(self.abort())));
                    };
                    *left = less;
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

    /// How much more may come: it changes as long as the body gets on.
    pub fn remaining(&self) -> u64 {
        *lock(&self.remaining)
    }

    /// Whether it broke off, or was too long: a fault of its caller.
    pub fn is_aborted(&self) -> bool {
        self.aborted.load(Ordering::Relaxed)
    }

    pub fn abort(&self) -> BodyAborted {
        self.aborted.store(true, Ordering::Relaxed);
        BodyAborted
    }

    pub fn notify_end(&self) {
        if let Some(ended) = lock(&self.ended).take() {
            ended.send(()).ok(); // its caller may just have left
        }
    }

    pub fn is_end_stream(&self) -> bool {
        lock(&self.body).is_end_stream()
    }
}

/// A request's body as it is sent upstream; calls `taken` when its last part has been consumed.
pub struct UpstreamRequestBody<F> {
    pub buffered: Option<Bytes>,
    pub remainder: Option<Arc<BodyRemainder>>,
    pub length: Option<u64>,
    pub taken: F,
}

impl<F: Fn()> UpstreamRequestBody<F> {
    pub fn new(body: RequestBody, taken: F) -> Self {
        let buffered = Some(body.buffered).filter(|buffered| !buffered.is_empty());
        let first = buffered.as_ref().map_or(0, Bytes::len) as u64;
        let remainder = body.remainder.as_ref().map_or(Some(0), |remainder| remainder.length);
        if buffered.is_none() && body.remainder.is_none() {
            taken();
        }
        Self {
            buffered,
            remainder: body.remainder,
            length: remainder.map(|remainder| remainder + first),
            taken,
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
        let data = match (self.buffered.take(), &self.remainder) {
            (Some(buffered), _) => Some(Ok(buffered)),
            (None, Some(remainder)) => match remainder.poll(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(data) => data,
            },
            (None, None) => None,
        };
        let last = data.is_none() || self.is_end_stream();
        if last && !matches!(data, Some(Err(_))) {
            (self.taken)();
        }
        Poll::Ready(data.map(|data| data.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        self.buffered.is_none() && self.remainder.as_ref().is_none_or(|remainder| remainder.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        self.length.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}
