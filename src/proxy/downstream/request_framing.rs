//! What is known of a client's connection beside hyper: where a request begins and ends, what waits, and what its client is owed.

use bytes::{Buf, BytesMut};
use std::collections::VecDeque;
use std::io;
use std::task::Waker;
use std::time::Duration;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// The response that is still owed on a connection that is being closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PendingResponse {
    /// No request has started, or the response to it has.
    Nothing,
    /// A response to a request that was not received completely.
    ForPartialRequest,
    /// A response to a complete request.
    ForCompleteRequest,
}

/// Bytes that may follow a request before its answer, or no further attempt is made for it. A caller sends one
/// request at a time. Within this, which is less than the kernel takes in of a connection that nobody recent_reads,
/// the caller's end shows; beyond, it may wait at the caller.
pub const MAX_PIPELINED_BYTES: u64 = 48 << 10;
/// Largest head of a request: what is larger, upstreams may not take, and it would fill the memory.
pub const MAX_HEAD_SIZE: usize = 8 << 10;

/// Bytes kept of what comes while a request is open.
pub const MAX_READ_AHEAD: usize = 2 * MAX_HEAD_SIZE;

/// Headers of a request at most, as in hyper.
pub const MAX_HEADERS: usize = 100;

/// A body has to come at this rate, in bytes a second, beyond a first while: half of what the slowest caller makes.
pub const MIN_BODY_RATE: f64 = 32e3;

pub const BODY_RATE_GRACE: Duration = Duration::from_millis(700);

/// How long a client may pause within a body: one that has stopped is owed its error, however much it sent before.
pub const MAX_BODY_PAUSE: Duration = Duration::from_secs(2);

/// How long a caller may take over the next piece of its answer.
pub const RESPONSE_STALL_TIMEOUT: Duration = Duration::from_secs(15);

/// Reads so close to each other count as one.
pub const READ_MERGE_INTERVAL: Duration = Duration::from_millis(2);

/// How far a connection is with its present request.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Its head has not come to its end.
    Head,
    /// So many bytes of it have still to go to hyper.
    Delivering(u64),
    /// Where it ends is for hyper to say: it comes in chunks or can't be read. Nothing may follow it.
    Unbounded,
    /// All of it has gone to hyper, and nothing else does until it is answered.
    Complete,
}

/// The state of a connection without an open request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleState {
    /// Nothing was ever received.
    Silent,
    /// Requests were answered, but none of them was for a known class.
    UnrecognizedOnly,
    /// A request was answered, and the next one has not started.
    BetweenRequests,
    /// A part of a request head was received.
    PartialHead,
    /// The last response is written, but the client has not read it yet.
    Lingering,
}

/// Tracks the requests on a client's connection: where each starts and ends, and how fast it is received.
pub struct RequestFraming {
    pub phase: Phase,
    /// What has come and has not gone to hyper.
    pub read_buffer: BytesMut,
    pub eof_received: bool,
    /// Bytes that came, in all, and when the latest of them did.
    pub received_bytes: u64,
    pub recent_reads: VecDeque<(u64, Instant)>,
    /// Bytes that have gone to hyper, in all.
    pub delivered_bytes: u64,
    /// When the last byte of the present request came.
    pub last_byte_at: Instant,
    /// Since when it waits for a request, or for the rest of one that has begun.
    pub request_wait_since: Instant,
    /// A call has been answered on it.
    pub known_class_served: bool,
    /// Answers that it was given, to whatever.
    pub response_count: u32,
    pub response_finished: bool,
    /// The answer to the present request has begun.
    pub response_started: bool,
    /// Nothing more is read or answered.
    pub lingering: bool,
    /// Bytes that had come in all when the present head was whole.
    pub head_end: u64,
    /// How long more was waited for since then, and since when it is now.
    pub read_wait: Duration,
    pub read_wait_since: Option<Instant>,
    /// Since when the caller takes nothing of its answer.
    pub response_stalled_since: Option<Instant>,
    /// The present request has both lengths, of which hyper shows only one.
    pub has_both_lengths: bool,
    /// Waits for more to go to hyper.
    pub read_waker: Option<Waker>,
    /// More came behind it than is kept, and was dropped.
    pub pipelined_bytes_dropped: bool,
    /// Its answer broke off, and nothing but a reset shows that.
    pub reset_on_close: bool,
}

impl RequestFraming {
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

    /// What a connection without an open request is at, and since when nothing has come; `None` with one open.
    pub fn idle_state(&self) -> Option<(IdleState, Instant)> {
        let last_read = self
            .recent_reads
            .back()
            .map_or(self.request_wait_since, |(_, at)| self.request_wait_since.max(*at));
        if self.lingering {
            return Some((IdleState::Lingering, last_read));
        }
        let idle = match (self.read_buffer.is_empty(), self.known_class_served) {
            (true, false) if self.response_count > 0 => IdleState::UnrecognizedOnly,
            (true, false) => IdleState::Silent,
            (true, true) => IdleState::BetweenRequests,
            (false, _) => IdleState::PartialHead,
        };
        (self.phase == Phase::Head).then_some((idle, last_read))
    }

    /// Whether a whole request is owed for longer than this, or an answer is not taken. One that has asked may rest
    /// between requests; a body may take as long as it is, if it comes at the rate of a slow caller.
    pub fn is_overdue(&self, timeout: Duration) -> bool {
        let is_stalled =
            self.response_stalled_since.is_some_and(|since| since.elapsed() > RESPONSE_STALL_TIMEOUT);
        let may_stay_idle = self.phase == Phase::Complete
            || self.phase == Phase::Head && self.read_buffer.is_empty() && self.known_class_served;
        is_stalled || !may_stay_idle && self.request_wait_since.elapsed() > timeout && !self.meets_body_rate()
    }

    /// Whether the body of the present request comes fast enough. While nobody recent_reads it, that is not its fault.
    pub fn meets_body_rate(&self) -> bool {
        let pause = self.read_wait_since.map_or(Duration::ZERO, |since| since.elapsed());
        let total_wait = self.read_wait + pause;
        let min_bytes = MIN_BODY_RATE * total_wait.saturating_sub(BODY_RATE_GRACE).as_secs_f64();
        self.phase != Phase::Head
            && pause < MAX_BODY_PAUSE
            && (self.received_bytes - self.head_end) as f64 >= min_bytes
    }

    /// Whether the present request says its length in both ways: it may hide another one.
    pub fn has_both_lengths(&self) -> bool {
        self.has_both_lengths
    }

    /// Whether nothing may follow the present request.
    pub fn must_be_last(&self) -> bool {
        self.phase == Phase::Unbounded || self.pipelined_bytes_dropped
    }

    /// The present request has been read to its end; tells when its last byte came.
    pub fn mark_request_complete(&mut self) -> Instant {
        if self.phase == Phase::Unbounded {
            (self.phase, self.last_byte_at) = (Phase::Complete, Instant::now());
        }
        self.last_byte_at
    }

    /// The answer to the present request begins.
    pub fn start_response(&mut self) {
        self.response_started = true;
    }

    /// What a connection is owed that is not served any longer. Behind an answer that its client does not take, there
    /// is no place for another.
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

    /// How much of the present request may still come, as far as that is known.
    pub fn outstanding(&self) -> u64 {
        match self.phase {
            Phase::Head if self.read_buffer.is_empty() => 0,
            Phase::Head | Phase::Unbounded => u64::MAX,
            Phase::Delivering(remaining) => remaining.saturating_sub(self.read_buffer.len() as u64),
            Phase::Complete => 0,
        }
    }

    /// The connection is kept for its client to read the last answer; how much of its request may still come.
    pub fn start_lingering(&mut self) -> u64 {
        self.lingering = true;
        self.outstanding()
    }

    /// Whether more has come than the present request.
    pub fn has_pipelined_bytes(&self) -> bool {
        match self.phase {
            Phase::Delivering(remaining) => self.read_buffer.len() as u64 > remaining,
            Phase::Unbounded => false,
            Phase::Head | Phase::Complete => !self.read_buffer.is_empty(),
        }
    }

    /// The client has ended its sending.
    pub fn eof_received(&self) -> bool {
        self.eof_received
    }

    /// The present request has its answer; the next may go to hyper. Only calls make a caller.
    pub fn finish_response(&mut self, has_known_class: bool) {
        self.response_finished = true;
        self.known_class_served |= has_known_class;
        self.response_count = self.response_count.saturating_add(1);
        self.start_next_request();
    }

    pub fn start_next_request(&mut self) {
        if self.phase == Phase::Complete && self.response_finished {
            (self.phase, self.request_wait_since) = (Phase::Head, Instant::now());
            self.read_waker.take().into_iter().for_each(Waker::wake);
        }
    }

    /// Reads what has come. While a request is open, what follows it is read as well, as its caller's end would
    /// not show behind that: what is more than is kept is dropped, and the connection ends with the answer.
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

    /// Takes in what was read behind a request.
    pub fn append_pipelined(&mut self, bytes: &[u8]) {
        let free_space = MAX_READ_AHEAD.saturating_sub(self.read_buffer.len());
        self.read_buffer.extend_from_slice(&bytes[..free_space.min(bytes.len())]);
        self.pipelined_bytes_dropped |= bytes.len() > free_space;
        self.record_read(bytes.len());
    }

    /// Whether more has come behind the present request than a caller that waits for its answer sends.
    pub fn exceeds_pipelined_limit(&self) -> bool {
        self.phase == Phase::Complete && self.received_bytes - self.delivered_bytes > MAX_PIPELINED_BYTES
    }

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

    /// Looks for a whole head in what has come. What hyper will refuse goes to it as it is.
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
        let content_length =
            headers_named("content-head_length").next().map(|header| parse_decimal(header.value));
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

    /// How much of what has come may go to hyper.
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
                self.start_next_request(); // its answer may have been given before its end came
            }
        }
    }
}

pub fn parse_decimal(text: &[u8]) -> Option<u64> {
    let digits = !text.is_empty() && text.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(text).ok().filter(|_| digits)?.parse().ok()
}
