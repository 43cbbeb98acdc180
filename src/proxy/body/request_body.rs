//! The body of a request: the part that is buffered, and what follows it, which can be sent once only.

use crate::proxy::body::{Broken, MOST_BODY};
use crate::proxy::sync::lock;
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use tokio::sync::oneshot;

/// A request's body: what is kept of it, and what follows that, which can be sent once only.
#[derive(Clone, Default)]
pub struct Payload {
    pub kept: Bytes,
    pub rest: Option<Arc<Rest>>,
}

impl Payload {
    /// Whether a part of it is gone, so that it cannot be sent again.
    pub fn is_spent(&self) -> bool {
        self.rest.as_ref().is_some_and(|rest| rest.spent.load(Ordering::Relaxed))
    }
}

/// What follows the part of a request's body that is kept.
pub struct Rest {
    pub body: Mutex<Incoming>,
    /// Its length, where that is known.
    pub length: Option<u64>,
    /// How much more of it may come.
    pub left: Mutex<u64>,
    pub spent: AtomicBool,
    /// It broke off, or was too long.
    pub broken: AtomicBool,
    /// Is told of the end.
    pub ended: Mutex<Option<oneshot::Sender<()>>>,
}

impl Rest {
    /// The rest of a body, and what tells that all of it has come.
    pub fn new(body: Incoming) -> (Arc<Self>, oneshot::Receiver<()>) {
        let (tell, ended) = oneshot::channel();
        let (length, ended_by) = (body.size_hint().exact(), Mutex::new(Some(tell)));
        let left = Mutex::new(MOST_BODY);
        let (spent, broken) = Default::default();
        (Arc::new(Self { body: Mutex::new(body), length, left, spent, broken, ended: ended_by }), ended)
    }

    pub fn poll(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Broken>>> {
        self.spent.store(true, Ordering::Relaxed);
        let mut body = lock(&self.body);
        loop {
            return match Pin::new(&mut *body).poll_frame(cx) {
                Poll::Pending => Poll::Pending,
                Poll::Ready(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else { continue }; // trailers end here
                    let left = &mut *lock(&self.left);
                    let Some(less) = left.checked_sub(data.len() as u64) else {
                        return Poll::Ready(Some(Err(self.breaks())));
                    };
                    *left = less;
                    if body.is_end_stream() {
                        self.has_ended();
                    }
                    Poll::Ready(Some(Ok(data)))
                }
                Poll::Ready(Some(Err(_))) => Poll::Ready(Some(Err(self.breaks()))),
                Poll::Ready(None) => {
                    self.has_ended();
                    Poll::Ready(None)
                }
            };
        }
    }

    /// How much more may come: it changes as long as the body gets on.
    pub fn left(&self) -> u64 {
        *lock(&self.left)
    }

    /// Whether it broke off, or was too long: a fault of its caller.
    pub fn is_broken(&self) -> bool {
        self.broken.load(Ordering::Relaxed)
    }

    pub fn breaks(&self) -> Broken {
        self.broken.store(true, Ordering::Relaxed);
        Broken
    }

    pub fn has_ended(&self) {
        if let Some(ended) = lock(&self.ended).take() {
            ended.send(()).ok(); // its caller may just have left
        }
    }

    pub fn is_end_stream(&self) -> bool {
        lock(&self.body).is_end_stream()
    }
}

/// A request's body on its way to an upstream; it tells when the last of it is taken.
pub struct Outgoing<F> {
    pub kept: Option<Bytes>,
    pub rest: Option<Arc<Rest>>,
    pub length: Option<u64>,
    pub taken: F,
}

impl<F: Fn()> Outgoing<F> {
    pub fn new(payload: Payload, taken: F) -> Self {
        let kept = Some(payload.kept).filter(|kept| !kept.is_empty());
        let first = kept.as_ref().map_or(0, Bytes::len) as u64;
        let rest = payload.rest.as_ref().map_or(Some(0), |rest| rest.length);
        if kept.is_none() && payload.rest.is_none() {
            taken();
        }
        Self { kept, rest: payload.rest, length: rest.map(|rest| rest + first), taken }
    }
}

impl<F: Fn() + Unpin> Body for Outgoing<F> {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        let data = match (self.kept.take(), &self.rest) {
            (Some(kept), _) => Some(Ok(kept)),
            (None, Some(rest)) => match rest.poll(cx) {
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
        self.kept.is_none() && self.rest.as_ref().is_none_or(|rest| rest.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        self.length.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}
