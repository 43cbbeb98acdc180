//! The body of a response on its way to the client: buffered, or streamed as it is received.

use crate::proxy::body::BodyAborted;
use crate::proxy::body::memory::MemoryPermit;
use crate::proxy::body::write_backpressure::WriteBackpressure;
use crate::proxy::minimum_rate::{MinimumRate, PauseHistory};
use crate::proxy::upstream::connection::Connection;
use crate::proxy::upstream::exchange::AttemptResult;
use balancer::decision::AttemptOutcome;
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use tokio::time::Instant;

/// The body of a response to a client: fully buffered, or streamed as it is received.
#[derive(Default)]
pub struct ResponseBody {
    /// The buffered part, until hyper has taken it.
    pub buffered: Option<Bytes>,
    /// The part that is still being received from the upstream.
    pub streamed: Option<Box<StreamedResponse>>,
    /// A value that is dropped when the response has ended.
    pub kept_until_end: Option<Box<dyn Send>>,
    /// Called if the streamed part is aborted before its end.
    pub on_abort: Option<Box<dyn FnOnce() + Send>>,
    /// Holds the next piece of the streamed part back while the client does not read; `None` if it is not limited.
    pub backpressure: Option<Arc<WriteBackpressure>>,
}

/// The part of a response body that is forwarded while it is received.
pub struct StreamedResponse {
    /// The body as hyper receives it, without the buffered start.
    pub body: Incoming,
    /// The upstream connection; `None` once the response has ended.
    pub connection: Option<Connection>,
    /// Detects an upstream that has stopped sending or is too slow.
    pub rate: MinimumRate,
    /// Called once, when the attempt ends; `None` after that.
    pub on_end: Option<AttemptEndCallback>,
    /// The memory reserved for the stream.
    pub _memory_permit: MemoryPermit,
}

/// Called with the result of the attempt when the streamed response ends.
pub type AttemptEndCallback = Box<dyn FnOnce(AttemptResult) + Send>;

impl From<Bytes> for ResponseBody {
    fn from(buffered: Bytes) -> Self {
        Self { buffered: Some(buffered).filter(|buffered| !buffered.is_empty()), ..Self::default() }
    }
}

impl ResponseBody {
    /// Creates a body from its buffered start and the rest that is received over a connection. The body is aborted if
    /// no more of it is received, or if it is slower than the minimum rate after `request_deadline`. `pauses` belongs to
    /// the upstream. `on_end` is called with the result of the attempt.
    pub fn streamed(
        buffered: Bytes,
        body: Incoming,
        connection: Connection,
        memory_permit: MemoryPermit,
        request_deadline: Option<Instant>,
        pauses: Arc<PauseHistory>,
        on_end: AttemptEndCallback,
    ) -> Self {
        let received = buffered.len() as u64;
        let length = body.size_hint().exact().map(|remaining| received + remaining);
        let rate = MinimumRate::new(request_deadline, received, length, pauses);
        let streamed = StreamedResponse {
            body,
            connection: Some(connection),
            rate,
            on_end: Some(on_end),
            _memory_permit: memory_permit,
        };
        Self { streamed: Some(Box::new(streamed)), ..Self::from(buffered) }
    }

    /// Keeps a value until the response has ended, and then drops it.
    pub fn keep_until_end(&mut self, kept_until_end: impl Send + 'static) {
        self.kept_until_end = Some(Box::new(kept_until_end));
    }

    /// Sets a callback that is called if the streamed part is aborted before its end.
    pub fn on_abort(&mut self, callback: impl FnOnce() + Send + 'static) {
        self.on_abort = Some(Box::new(callback));
    }

    /// Limits how much of the streamed part waits to be written to the client.
    pub fn limit_waiting_bytes(&mut self, backpressure: Arc<WriteBackpressure>) {
        self.backpressure = Some(backpressure);
    }

    /// Whether no part of the body is streamed.
    pub fn is_fully_buffered(&self) -> bool {
        self.streamed.is_none()
    }
}

impl StreamedResponse {
    /// Ends the attempt with success, once the connection is ready for reuse or known not to be reusable.
    pub fn complete(&mut self) {
        if let (Some(on_end), Some(connection)) = (self.on_end.take(), self.connection.take()) {
            tokio::spawn(async move {
                let connection = connection.into_reusable().await;
                on_end(AttemptResult { outcome: AttemptOutcome::Success, response: None, connection });
            });
        }
    }

    /// Closes the connection and ends the attempt with this outcome, unless the attempt has already ended.
    pub fn abort(&mut self, outcome: AttemptOutcome) -> BodyAborted {
        self.connection = None;
        if let Some(on_end) = self.on_end.take() {
            on_end(outcome.into());
        }
        BodyAborted
    }

    /// Polls the next chunk. The attempt ends with the last chunk, with an error of the connection, or if the upstream
    /// is too slow.
    pub fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyAborted>>> {
        loop {
            return match Pin::new(&mut self.body).poll_frame(cx) {
                Poll::Ready(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else { continue }; // trailers are not forwarded
                    self.rate.record_received(data.len());
                    if self.body.is_end_stream() {
                        self.complete(); // if the length is known, hyper does not poll again
                    }
                    Poll::Ready(Some(Ok(data)))
                }
                Poll::Ready(Some(Err(_))) => Poll::Ready(Some(Err(self.abort(AttemptOutcome::Reset)))),
                Poll::Ready(None) => {
                    self.complete();
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
    /// Cancels the attempt unless it has ended: the client has disconnected.
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
        if let Some(backpressure) = &self.backpressure {
            ready!(backpressure.poll_ready(cx));
        }
        let data = match (self.buffered.take(), &mut self.streamed) {
            (Some(buffered), _) => Poll::Ready(Some(Ok(buffered))),
            (None, Some(streamed)) => streamed.poll(cx),
            (None, None) => Poll::Ready(None),
        };
        if let Poll::Ready(Some(Err(_))) = data
            && let Some(callback) = self.on_abort.take()
        {
            callback();
        }
        let hand_over = |piece| match &self.backpressure {
            Some(backpressure) => backpressure.hand_over(piece),
            None => piece,
        };
        data.map(|data| data.map(|data| data.map(hand_over).map(Frame::data)))
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
