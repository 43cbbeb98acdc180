//! The body of a response on its way to the client: buffered, or streamed as it is received.

use crate::proxy::body::BodyAborted;
use crate::proxy::body::memory::MemoryPermit;
use crate::proxy::minimum_rate::MinimumRate;
use crate::proxy::upstream::connection::Connection;
use crate::proxy::upstream::exchange::AttemptResult;
use balancer::decision::AttemptOutcome;
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::time::Instant;

/// The body of a response to a client: fully buffered, or streamed as it is received.
#[derive(Default)]
pub struct ResponseBody {
    pub buffered: Option<Bytes>,
    pub streamed: Option<Box<StreamedResponse>>,
    /// Dropped when the response has ended.
    pub kept_until_end: Option<Box<dyn Send>>,
    /// Is called if the body breaks off.
    pub on_abort: Option<Box<dyn FnOnce() + Send>>,
}

/// The part of a response body that is forwarded while it is received.
pub struct StreamedResponse {
    pub body: Incoming,
    pub connection: Option<Connection>,
    pub rate: MinimumRate,
    /// Is told how the attempt ended.
    pub on_end: Option<EndCallback>,
    pub _memory_permit: Option<MemoryPermit>,
}

/// Called with the result of the attempt when the streamed response ends.
pub type EndCallback = Box<dyn FnOnce(AttemptResult) + Send>;

impl From<Bytes> for ResponseBody {
    fn from(buffered: Bytes) -> Self {
        Self { buffered: Some(buffered).filter(|buffered| !buffered.is_empty()), ..Self::default() }
    }
}

impl ResponseBody {
    /// The start of a body, and the rest of it as it comes over a connection. Once its request's time is over, it is
    /// broken off unless it goes on. `report` is told of its end.
    pub fn streamed(
        buffered: Bytes,
        body: Incoming,
        connection: Connection,
        memory_permit: Option<MemoryPermit>,
        deadline: Option<Instant>,
        on_end: EndCallback,
    ) -> Self {
        let rate = MinimumRate::new(deadline);
        let streamed = StreamedResponse {
            body,
            connection: Some(connection),
            rate,
            on_end: Some(on_end),
            _memory_permit: memory_permit,
        };
        Self { streamed: Some(Box::new(streamed)), ..Self::from(buffered) }
    }

    /// Keeps this until the answer is over.
    pub fn keep_until_end(&mut self, kept_until_end: impl Send + 'static) {
        self.kept_until_end = Some(Box::new(kept_until_end));
    }

    /// Has this done if the body breaks off.
    pub fn on_abort(&mut self, act: impl FnOnce() + Send + 'static) {
        self.on_abort = Some(Box::new(act));
    }

    /// Whether it is kept whole.
    pub fn is_fully_buffered(&self) -> bool {
        self.streamed.is_none()
    }
}

impl StreamedResponse {
    /// The upstream has given all; its connection is free once it says nothing against that.
    pub fn done(&mut self) {
        if let (Some(on_end), Some(connection)) = (self.on_end.take(), self.connection.take()) {
            tokio::spawn(async move {
                let connection = connection.settled().await;
                on_end(AttemptResult { outcome: AttemptOutcome::Success, response: None, connection });
            });
        }
    }

    pub fn abort(&mut self, outcome: AttemptOutcome) -> BodyAborted {
        self.connection = None;
        if let Some(on_end) = self.on_end.take() {
            on_end(outcome.into());
        }
        BodyAborted
    }

    pub fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyAborted>>> {
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
                Poll::Ready(Some(Err(_))) => Poll::Ready(Some(Err(self.abort(AttemptOutcome::Reset)))),
                Poll::Ready(None) => {
                    self.done();
                    Poll::Ready(None)
                }
                Poll::Pending => match self.rate.poll_too_slow(cx) {
                    Poll::Ready(()) => Poll::Ready(Some(Err(self.abort(AttemptOutcome::Timeout)))),
                    Poll::Pending => Poll::Pending,
                },
            };
        }
    }
}

impl Drop for StreamedResponse {
    /// Its caller has left, unless the end was told before.
    fn drop(&mut self) {
        self.abort(AttemptOutcome::Cancelled);
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        let data = match (self.buffered.take(), &mut self.streamed) {
            (Some(buffered), _) => Poll::Ready(Some(Ok(buffered))),
            (None, Some(streamed)) => streamed.poll(cx),
            (None, None) => Poll::Ready(None),
        };
        if let Poll::Ready(Some(Err(_))) = data
            && let Some(act) = self.on_abort.take()
        {
            act();
        }
        data.map(|data| data.map(|data| data.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        self.buffered.is_none() && self.streamed.as_ref().is_none_or(|streamed| streamed.body.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        let buffered = self.buffered.as_ref().map_or(0, Bytes::len) as u64;
        let streamed_length = match &self.streamed {
            Some(streamed) => streamed.body.size_hint().exact(),
            None => Some(0),
        };
        streamed_length.map_or_else(SizeHint::default, |streamed_length| {
            SizeHint::with_exact(buffered + streamed_length)
        })
    }
}
