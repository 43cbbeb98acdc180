//! The body of a response on its way to the client: buffered, or streamed as it is received.

use crate::proxy::body::Broken;
use crate::proxy::body::memory::Room;
use crate::proxy::minimum_rate::MinimumRate;
use crate::proxy::upstream::connection::Connection;
use crate::proxy::upstream::exchange::Finished;
use balancer::decision::AttemptOutcome;
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::time::Instant;

/// An answer's body on its way to its caller: kept whole, or passed on as it comes.
#[derive(Default)]
pub struct Reply {
    pub kept: Option<Bytes>,
    pub passing: Option<Box<Passing>>,
    /// Goes when the answer is over.
    pub held: Option<Box<dyn Send>>,
    /// Is called if the body breaks off.
    pub on_break: Option<Box<dyn FnOnce() + Send>>,
}

pub struct Passing {
    pub body: Incoming,
    pub connection: Option<Connection>,
    pub rate: MinimumRate,
    /// Is told how the attempt ended.
    pub report: Option<Report>,
    pub _room: Option<Room>,
}

pub type Report = Box<dyn FnOnce(Finished) + Send>;

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
    pub fn done(&mut self) {
        if let (Some(report), Some(connection)) = (self.report.take(), self.connection.take()) {
            tokio::spawn(async move {
                let connection = connection.settled().await;
                report(Finished { outcome: AttemptOutcome::Success, response: None, connection });
            });
        }
    }

    pub fn broken(&mut self, outcome: AttemptOutcome) -> Broken {
        self.connection = None;
        if let Some(report) = self.report.take() {
            report(outcome.into());
        }
        Broken
    }

    pub fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Broken>>> {
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
