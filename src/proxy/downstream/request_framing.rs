//! Request framing on a client connection, tracked outside hyper: where each request starts and ends, which bytes are
//! buffered, and which response is still due.

use bytes::{Buf, BytesMut};
use std::collections::VecDeque;
use std::io;
use std::task::Waker;
use std::time::Duration;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// The response that is still due on a connection that is being closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PendingResponse {
    /// No request has started, or the response to it has.
    Nothing,
    /// A response to a request that was not received completely.
    ForPartialRequest,
    /// A response to a complete request.
    ForCompleteRequest,
}

/// Maximum bytes that may follow a request before its response. Beyond that, the client counts as disconnected and no
/// further attempt is made for the request: a regular client sends one request at a time. The limit is below what the
/// kernel buffers for a connection that is not read. Up to the limit, the client's FIN can be seen; beyond it, the
/// FIN may wait in the client's send queue.
pub const MAX_PIPELINED_BYTES: u64 = 48 << 10;
/// Maximum size of a request head, in bytes. Upstreams may refuse a larger one, and it would use up memory.
pub const MAX_HEAD_SIZE: usize = 8 << 10;

/// Maximum bytes in the read buffer. Bytes beyond that are dropped while a request is open.
pub const MAX_READ_AHEAD: usize = 2 * MAX_HEAD_SIZE;

/// Maximum number of headers in a request, the same as in hyper.
pub const MAX_HEADERS: usize = 100;

/// Minimum rate of a request body after the grace period, in bytes per second: half the rate of the slowest client.
pub const MIN_BODY_RATE: f64 = 32e3;

/// Time spent waiting for a body that does not count towards its rate.
pub const BODY_RATE_GRACE: Duration = Duration::from_millis(700);

/// Maximum pause within a body. A client that has stopped sending gets an error, however much it sent before.
pub const MAX_BODY_PAUSE: Duration = Duration::from_secs(2);

/// How long a client may accept no bytes of its response.
pub const RESPONSE_STALL_TIMEOUT: Duration = Duration::from_secs(15);

/// Reads that follow each other within this interval are recorded as one.
pub const READ_MERGE_INTERVAL: Duration = Duration::from_millis(2);

/// The progress of the current request on a connection.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The head was not received completely.
    Head,
    /// The request has a known length, and this many bytes of it were not handed to hyper yet.
    Delivering(u64),
    /// hyper determines where the request ends, as it is chunked or malformed. No request may follow it.
    Unbounded,
    /// hyper has the whole request, and gets no further bytes until the response is finished.
    Complete,
}

/// The state of a connection without an open request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleState {
    /// Nothing was ever received.
    Silent,
    /// Requests were answered, but none of them was for a known class.
    UnknownClassOnly,
    /// A request was answered, and the next one has not started.
    BetweenRequests,
    /// A part of a request head was received.
    PartialHead,
    /// The last response is written, but the client has not read it yet.
    Lingering,
}

/// Tracks the requests on a client's connection: where each starts and ends, and how fast it is received.
pub struct RequestFraming {
    /// The progress of the current request.
    pub phase: Phase,
    /// Bytes that were received but not handed to hyper yet.
    pub read_buffer: BytesMut,
    /// The client has closed its sending side.
    pub eof_received: bool,
    /// Total bytes received.
    pub received_bytes: u64,
    /// The reads with bytes that hyper does not have yet: the total after each read, and its time.
    pub recent_reads: VecDeque<(u64, Instant)>,
    /// Total bytes handed to hyper.
    pub delivered_bytes: u64,
    /// When the last byte of the current request was received.
    pub last_byte_at: Instant,
    /// Since when the connection has waited for a request or for the rest of a partial one.
    pub request_wait_since: Instant,
    /// A request for a known class was answered on this connection.
    pub known_class_served: bool,
    /// Number of requests that were answered, whatever they were for.
    pub response_count: u32,
    /// The response to the current request has ended, or is buffered as a whole.
    pub response_finished: bool,
    /// The response to the current request has started.
    pub response_started: bool,
    /// The connection stays open only until the client has read the last response.
    pub lingering: bool,
    /// Offset of the end of the current head, in total bytes received.
    pub head_end: u64,
    /// Total time spent waiting for bytes since the head was complete, without the wait in progress.
    pub read_wait: Duration,
    /// Start of the wait for bytes that is in progress.
    pub read_wait_since: Option<Instant>,
    /// Since when the client has accepted no bytes of its response.
    pub response_stalled_since: Option<Instant>,
    /// The current request has both Content-Length and Transfer-Encoding, of which hyper keeps only one.
    pub has_both_lengths: bool,
    /// Wakes the task that reads for hyper.
    pub read_waker: Option<Waker>,
    /// More bytes followed the current request than the read buffer keeps, and the excess was dropped.
    pub pipelined_bytes_dropped: bool,
    /// The response was aborted, and only an RST can show that to the client.
    pub reset_on_close: bool,
}

impl RequestFraming {
    /// Creates the state of a connection that was just accepted.
    pub fn new() -> Self {
        let now = Instant::now();
        Self {
            phase: Phase::Head,
            read_buffer: BytesMut::new(),
            eof_received: false,
            received_bytes: 0,
            recent_reads: VecDeque::new(),
            delivered_bytes: 0,
            last_byte_at: now,
            request_wait_since: now,
            known_class_served: false,
            response_count: 0,
            response_finished: false,
            response_started: false,
            lingering: false,
            head_end: 0,
            read_wait: Duration::ZERO,
            read_wait_since: None,
            response_stalled_since: None,
            has_both_lengths: false,
            read_waker: None,
            pipelined_bytes_dropped: false,
            reset_on_close: false,
        }
    }

    /// The idle state, and since when no bytes were received; `None` while a request is open.
    pub fn idle_state(&self) -> Option<(IdleState, Instant)> {
        let last_read = self
            .recent_reads
            .back()
            .map_or(self.request_wait_since, |(_, at)| self.request_wait_since.max(*at));
        if self.lingering {
            return Some((IdleState::Lingering, last_read));
        }
        let state = match (self.read_buffer.is_empty(), self.known_class_served) {
            (true, false) if self.response_count > 0 => IdleState::UnknownClassOnly,
            (true, false) => IdleState::Silent,
            (true, true) => IdleState::BetweenRequests,
            (false, _) => IdleState::PartialHead,
        };
        (self.phase == Phase::Head).then_some((state, last_read))
    }

    /// Whether the client has not sent a whole request within `timeout`, or has stopped reading its response. A
    /// connection that has served a known class may stay idle between requests, and a body may take longer if it
    /// meets the minimum rate.
    pub fn is_overdue(&self, timeout: Duration) -> bool {
        let is_stalled =
            self.response_stalled_since.is_some_and(|since| since.elapsed() > RESPONSE_STALL_TIMEOUT);
        let may_stay_idle = self.phase == Phase::Complete
            || self.phase == Phase::Head && self.read_buffer.is_empty() && self.known_class_served;
        is_stalled || !may_stay_idle && self.request_wait_since.elapsed() > timeout && !self.meets_body_rate()
    }

    /// Whether the body of the current request is received fast enough. Only the time spent waiting for bytes counts,
    /// not the time in which nobody reads the body.
    pub fn meets_body_rate(&self) -> bool {
        let pause = self.read_wait_since.map_or(Duration::ZERO, |since| since.elapsed());
        let total_wait = self.read_wait + pause;
        let min_bytes = MIN_BODY_RATE * total_wait.saturating_sub(BODY_RATE_GRACE).as_secs_f64();
        self.phase != Phase::Head
            && pause < MAX_BODY_PAUSE
            && (self.received_bytes - self.head_end) as f64 >= min_bytes
    }

    /// Whether the current request has both Content-Length and Transfer-Encoding, so that another request may be
    /// smuggled in its body.
    pub fn has_both_lengths(&self) -> bool {
        self.has_both_lengths
    }

    /// Whether no request may follow the current one on this connection.
    pub fn must_be_last(&self) -> bool {
        self.phase == Phase::Unbounded || self.pipelined_bytes_dropped
    }

    /// Marks the current request as read to its end, and returns when its last byte was received.
    pub fn mark_request_complete(&mut self) -> Instant {
        if self.phase == Phase::Unbounded {
            (self.phase, self.last_byte_at) = (Phase::Complete, Instant::now());
        }
        self.last_byte_at
    }

    /// Marks the response to the current request as started.
    pub fn start_response(&mut self) {
        self.response_started = true;
    }

    /// The response that is still due when the connection is no longer served. While the client does not read a
    /// response, no further one can be written.
    pub fn pending_response(&self) -> PendingResponse {
        match self.phase {
            _ if self.eof_received || self.response_stalled_since.is_some() => PendingResponse::Nothing,
            Phase::Head if self.read_buffer.is_empty() => PendingResponse::Nothing,
            Phase::Head => PendingResponse::ForPartialRequest,
            _ if self.response_started => PendingResponse::Nothing,
            Phase::Delivering(_) | Phase::Unbounded => PendingResponse::ForPartialRequest,
            Phase::Complete => PendingResponse::ForCompleteRequest,
        }
    }

    /// Maximum bytes of the current request that may still be received; `u64::MAX` if its length is not known.
    pub fn outstanding(&self) -> u64 {
        match self.phase {
            Phase::Head if self.read_buffer.is_empty() => 0,
            Phase::Head | Phase::Unbounded => u64::MAX,
            Phase::Delivering(remaining) => remaining.saturating_sub(self.read_buffer.len() as u64),
            Phase::Complete => 0,
        }
    }

    /// Marks the connection as kept open only for the client to read the last response, and returns how many bytes of
    /// the request may still be received.
    pub fn start_lingering(&mut self) -> u64 {
        self.lingering = true;
        self.outstanding()
    }

    /// Whether bytes were received that follow the current request.
    pub fn has_pipelined_bytes(&self) -> bool {
        match self.phase {
            Phase::Delivering(remaining) => self.read_buffer.len() as u64 > remaining,
            Phase::Unbounded => false,
            Phase::Head | Phase::Complete => !self.read_buffer.is_empty(),
        }
    }

    /// Whether the client has closed its sending side.
    pub fn eof_received(&self) -> bool {
        self.eof_received
    }

    /// Marks the response to the current request as finished, so that the next request may be handed to hyper.
    pub fn finish_response(&mut self, has_known_class: bool) {
        self.response_finished = true;
        self.known_class_served |= has_known_class;
        self.response_count = self.response_count.saturating_add(1);
        self.start_next_request();
    }

    /// Lets the next request be handed to hyper if the current one is complete and its response finished.
    pub fn start_next_request(&mut self) {
        if self.phase == Phase::Complete && self.response_finished {
            (self.phase, self.request_wait_since) = (Phase::Head, Instant::now());
            self.read_waker.take().into_iter().for_each(Waker::wake);
        }
    }

    /// Reads from the socket into the read buffer. While a request is open, the bytes behind it are read as well, as
    /// unread bytes would hide the client's FIN. Bytes beyond the limit are dropped, and the connection is closed
    /// after the response.
    pub fn read(&mut self, tcp: &TcpStream) -> io::Result<()> {
        let free_space = MAX_READ_AHEAD.saturating_sub(self.read_buffer.len());
        let received = if free_space > 0 {
            self.read_buffer.reserve(free_space.min(MAX_HEAD_SIZE / 2));
            tcp.try_read_buf(&mut self.read_buffer)?
        } else {
            self.pipelined_bytes_dropped = true;
            tcp.try_read(&mut [0; MAX_HEAD_SIZE])?
        };
        self.record_read(received);
        Ok(())
    }

    /// Appends pipelined bytes, which were read behind the current request.
    pub fn append_pipelined(&mut self, bytes: &[u8]) {
        let free_space = MAX_READ_AHEAD.saturating_sub(self.read_buffer.len());
        self.read_buffer.extend_from_slice(&bytes[..free_space.min(bytes.len())]);
        self.pipelined_bytes_dropped |= bytes.len() > free_space;
        self.record_read(bytes.len());
    }

    /// Whether more bytes follow the current request than a client sends that waits for its response.
    pub fn exceeds_pipelined_limit(&self) -> bool {
        self.phase == Phase::Complete && self.received_bytes - self.delivered_bytes > MAX_PIPELINED_BYTES
    }

    /// Records a read of `received` bytes; zero bytes are the client's FIN.
    pub fn record_read(&mut self, received: usize) {
        let now = Instant::now();
        self.read_wait += self.read_wait_since.take().map_or(Duration::ZERO, |since| now - since);
        if received == 0 {
            self.eof_received = true;
        } else if self.phase == Phase::Head && self.read_buffer.len() == received && self.known_class_served {
            self.request_wait_since = now;
        }
        self.received_bytes += received as u64;
        match self.recent_reads.back_mut() {
            Some((end, at)) if now - *at < READ_MERGE_INTERVAL => *end = self.received_bytes,
            _ => self.recent_reads.push_back((self.received_bytes, now)),
        }
    }

    /// Parses the head if the read buffer has all of it. A head that hyper will reject is handed to it unchanged.
    pub fn parse_head(&mut self) {
        if self.phase != Phase::Head || self.read_buffer.is_empty() {
            return;
        }
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Request::new(&mut headers);
        let head_length = match head.parse(&self.read_buffer) {
            Ok(httparse::Status::Complete(head_length)) => head_length,
            Ok(httparse::Status::Partial)
                if self.read_buffer.len() <= MAX_HEAD_SIZE && !self.eof_received =>
            {
                return;
            }
            Ok(httparse::Status::Partial) | Err(_) => {
                self.phase = Phase::Unbounded;
                return;
            }
        };
        let headers_named = |name: &'static str| {
            head.headers.iter().filter(move |header| header.name.eq_ignore_ascii_case(name))
        };
        let chunked = headers_named("transfer-encoding").next().is_some();
        let content_length = headers_named("content-length").next().map(|header| parse_decimal(header.value));
        (self.has_both_lengths, self.response_finished) = (chunked && content_length.is_some(), false);
        self.response_started = false;
        (self.head_end, self.read_wait) =
            (self.received_bytes - (self.read_buffer.len() - head_length) as u64, Duration::ZERO);
        self.phase = match content_length.unwrap_or(Some(0)) {
            Some(content_length) if !chunked => {
                Phase::Delivering(content_length.saturating_add(head_length as u64))
            }
            _ => Phase::Unbounded,
        };
    }

    /// Number of bytes in the read buffer that may be handed to hyper now.
    pub fn deliverable_bytes(&mut self) -> usize {
        self.parse_head();
        match self.phase {
            Phase::Head | Phase::Complete => 0,
            Phase::Unbounded => self.read_buffer.len(),
            Phase::Delivering(remaining) => {
                self.read_buffer.len().min(usize::try_from(remaining).unwrap_or(usize::MAX))
            }
        }
    }

    /// Hands up to `max_bytes` bytes to hyper.
    pub fn deliver(&mut self, buffer: &mut ReadBuf<'_>, max_bytes: usize) {
        let bytes = max_bytes.min(buffer.remaining());
        buffer.put_slice(&self.read_buffer[..bytes]);
        self.read_buffer.advance(bytes);
        self.delivered_bytes += bytes as u64;
        while self.recent_reads.len() > 1 && self.recent_reads[0].0 < self.delivered_bytes {
            self.recent_reads.pop_front();
        }
        if let Phase::Delivering(remaining) = &mut self.phase {
            *remaining -= bytes as u64;
            if *remaining == 0 {
                self.phase = Phase::Complete;
                self.last_byte_at = self.recent_reads.front().map_or_else(Instant::now, |(_, at)| *at);
                self.start_next_request(); // the response may have finished before the request was complete
            }
        }
    }
}

/// Parses a number of decimal digits without a sign.
pub fn parse_decimal(text: &[u8]) -> Option<u64> {
    let all_digits = !text.is_empty() && text.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(text).ok().filter(|_| all_digits)?.parse().ok()
}
