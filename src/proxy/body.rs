//! Bodies both ways. A small one is kept whole. A longer one is passed on as it comes, each piece only once the
//! other side has taken the one before: what is held of it does not grow with its length.

use super::minimum_rate::MinimumRate;
use crate::proxy::sync::lock;
use crate::proxy::upstream::{Connection, Finished};
use balancer::decision::AttemptOutcome;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::fmt;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout_at};

/// Largest body that is kept whole: a request so that it can be sent again, an answer so that it can be judged
/// before its caller gets any of it. The time of a longer one is that of its first bytes.
pub const MOST_KEPT: usize = 64 << 10;
/// Largest body either way.
pub const MOST_BODY: u64 = 34 << 20;

/// The memory that bodies may fill, all together.
pub struct Budget {
    held: AtomicUsize,
    most: usize,
}

impl Budget {
    pub fn new(most: usize) -> Arc<Self> {
        Arc::new(Self { held: AtomicUsize::new(0), most })
    }

    /// Takes so many bytes, if they are left.
    pub fn take(self: &Arc<Self>, bytes: usize) -> Option<Room> {
        let room = Room(self.clone(), bytes);
        let before = self.held.fetch_add(bytes, Ordering::Relaxed);
        (before + bytes <= self.most).then_some(room)
    }
}

/// Bytes taken from the budget; dropping it gives them back.
pub struct Room(Arc<Budget>, usize);

impl Drop for Room {
    fn drop(&mut self) {
        self.0.held.fetch_sub(self.1, Ordering::Relaxed);
    }
}

/// What has come of a body.
pub struct Gathered {
    pub kept: Bytes,
    /// That is all of it.
    pub whole: bool,
}

/// Reads a body to its end, or until it is longer than `most`, or until it is time to pass on what there is.
pub async fn gather(
    body: &mut Incoming,
    most: usize,
    until: Option<Instant>,
) -> Result<Gathered, hyper::Error> {
    let mut kept = BytesMut::new();
    while kept.len() <= most {
        let frame = match until {
            None => body.frame().await,
            Some(until) => match timeout_at(until, body.frame()).await {
                Ok(frame) => frame,
                Err(_) => return Ok(Gathered { kept: kept.freeze(), whole: false }),
            },
        };
        match frame.transpose()?.map(Frame::into_data) {
            Some(Ok(data)) => kept.extend_from_slice(&data),
            Some(Err(_)) => {} // trailers end here
            None => return Ok(Gathered { kept: kept.freeze(), whole: true }),
        }
    }
    Ok(Gathered { kept: kept.freeze(), whole: false })
}

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
    body: Mutex<Incoming>,
    /// Its length, where that is known.
    length: Option<u64>,
    /// How much more of it may come.
    left: Mutex<u64>,
    spent: AtomicBool,
    /// It broke off, or was too long.
    broken: AtomicBool,
    /// Is told of the end.
    ended: Mutex<Option<oneshot::Sender<()>>>,
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

    fn poll(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Broken>>> {
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

    fn breaks(&self) -> Broken {
        self.broken.store(true, Ordering::Relaxed);
        Broken
    }

    fn has_ended(&self) {
        if let Some(ended) = lock(&self.ended).take() {
            ended.send(()).ok(); // its caller may just have left
        }
    }

    fn is_end_stream(&self) -> bool {
        lock(&self.body).is_end_stream()
    }
}

/// A body broke off, or was too long.
#[derive(Debug)]
pub struct Broken;

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the body broke off")
    }
}

impl std::error::Error for Broken {}

/// A request's body on its way to an upstream; it tells when the last of it is taken.
pub struct Outgoing<F> {
    kept: Option<Bytes>,
    rest: Option<Arc<Rest>>,
    length: Option<u64>,
    taken: F,
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

/// An answer's body on its way to its caller: kept whole, or passed on as it comes.
#[derive(Default)]
pub struct Reply {
    kept: Option<Bytes>,
    passing: Option<Box<Passing>>,
    /// Goes when the answer is over.
    held: Option<Box<dyn Send>>,
    /// Is called if the body breaks off.
    on_break: Option<Box<dyn FnOnce() + Send>>,
}

struct Passing {
    body: Incoming,
    connection: Option<Connection>,
    rate: MinimumRate,
    /// Is told how the attempt ended.
    report: Option<Report>,
    _room: Option<Room>,
}

type Report = Box<dyn FnOnce(Finished) + Send>;

impl From<Bytes> for Reply {
    fn from(kept: Bytes) -> Self {
        Self { kept: Some(kept).filter(|kept| !kept.is_empty()), ..Self::default() }
    }
}

impl Reply {
    /// The start of a body, and the rest of it as it comes over a connection. Once its request's time is over, it is
    /// broken off unless it goes on. `report` is told of its end.
    pub fn passing(
        kept: Bytes,
        body: Incoming,
        connection: Connection,
        room: Option<Room>,
        deadline: Option<Instant>,
        report: Report,
    ) -> Self {
        let rate = MinimumRate::new(deadline);
        let passing = Passing { body, connection: Some(connection), rate, report: Some(report), _room: room };
        Self { passing: Some(Box::new(passing)), ..Self::from(kept) }
    }

    /// Keeps this until the answer is over.
    pub fn hold(&mut self, held: impl Send + 'static) {
        self.held = Some(Box::new(held));
    }

    /// Has this done if the body breaks off.
    pub fn on_break(&mut self, act: impl FnOnce() + Send + 'static) {
        self.on_break = Some(Box::new(act));
    }

    /// Whether it is kept whole.
    pub fn is_whole(&self) -> bool {
        self.passing.is_none()
    }
}

impl Passing {
    /// The upstream has given all; its connection is free once it says nothing against that.
    fn done(&mut self) {
        if let (Some(report), Some(connection)) = (self.report.take(), self.connection.take()) {
            tokio::spawn(async move {
                let connection = connection.settled().await;
                report(Finished { outcome: AttemptOutcome::Success, response: None, connection });
            });
        }
    }

    fn broken(&mut self, outcome: AttemptOutcome) -> Broken {
        self.connection = None;
        if let Some(report) = self.report.take() {
            report(outcome.into());
        }
        Broken
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Broken>>> {
        loop {
            return match Pin::new(&mut self.body).poll_frame(cx) {
                Poll::Ready(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else { continue }; // trailers end here
                    self.rate.received(data.len());
                    if self.body.is_end_stream() {
                        self.done(); // whoever knows the length does not ask for more
                    }
                    Poll::Ready(Some(Ok(data)))
                }
                Poll::Ready(Some(Err(_))) => Poll::Ready(Some(Err(self.broken(AttemptOutcome::Reset)))),
                Poll::Ready(None) => {
                    self.done();
                    Poll::Ready(None)
                }
                Poll::Pending => match self.rate.poll_too_slow(cx) {
                    Poll::Ready(()) => Poll::Ready(Some(Err(self.broken(AttemptOutcome::Timeout)))),
                    Poll::Pending => Poll::Pending,
                },
            };
        }
    }
}

impl Drop for Passing {
    /// Its caller has left, unless the end was told before.
    fn drop(&mut self) {
        self.broken(AttemptOutcome::Cancelled);
    }
}

impl Body for Reply {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        let data = match (self.kept.take(), &mut self.passing) {
            (Some(kept), _) => Poll::Ready(Some(Ok(kept))),
            (None, Some(passing)) => passing.poll(cx),
            (None, None) => Poll::Ready(None),
        };
        if let Poll::Ready(Some(Err(_))) = data
            && let Some(act) = self.on_break.take()
        {
            act();
        }
        data.map(|data| data.map(|data| data.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        self.kept.is_none() && self.passing.as_ref().is_none_or(|passing| passing.body.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        let kept = self.kept.as_ref().map_or(0, Bytes::len) as u64;
        let rest = match &self.passing {
            Some(passing) => passing.body.size_hint().exact(),
            None => Some(0),
        };
        rest.map_or_else(SizeHint::default, |rest| SizeHint::with_exact(kept + rest))
    }
}
