//! Request framing on a client connection, tracked outside hyper: where each request starts and ends, which bytes are
//! buffered, and which response is still due.

use crate::proxy::downstream::arrival::{Arrival, ArrivalTracker, Positions, RequestEnd};
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
    /// No response is due, such as before a request has started or after its response has.
    Nothing,
    /// The response to a request that was not received completely.
    ForPartialRequest,
    /// The response to a request that was received completely and may have taken effect.
    ForCompleteRequest,
}

/// Maximum size of a request head, in bytes. Upstreams may refuse a larger head, and it would use up memory.
pub const MAX_HEAD_SIZE: usize = 8 << 10;

/// Maximum bytes in the read buffer. What follows stays in the kernel until the requests in front of it are answered.
pub const MAX_READ_AHEAD: usize = 2 * MAX_HEAD_SIZE;

/// Maximum number of headers in a request, the same as in hyper.
pub const MAX_HEADERS: usize = 100;

/// Minimum rate of a request body after the grace period, in bytes per second: half the rate of the slowest client.
pub const MIN_BODY_RATE: f64 = 32e3;

/// How long a body may be waited for before its rate is checked. This time does not count towards the rate.
pub const BODY_RATE_GRACE: Duration = Duration::from_millis(700);

/// Maximum pause within a body. A client that has stopped sending gets an error, even if it sent fast before.
pub const MAX_BODY_PAUSE: Duration = Duration::from_secs(2);

/// How long the next bytes of a body may be waited for before its connection may be closed for another client.
pub const MIN_BODY_STALL: Duration = Duration::from_millis(10);

/// How long a client may accept no bytes of its response.
pub const RESPONSE_STALL_TIMEOUT: Duration = Duration::from_secs(15);

/// Reads that follow each other within this interval are recorded as one.
pub const READ_MERGE_INTERVAL: Duration = Duration::from_millis(2);

/// The progress of the current request on a connection. The current request is the one that is being received or
/// answered; without such a request, the next one is the current one.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The head was not received completely or not parsed yet; nothing of the request was handed to hyper.
    Head,
    /// The request has a known length, and this many bytes of it, the head included, were not handed to hyper yet.
    Delivering(u64),
    /// hyper determines where the request ends, as it is chunked or malformed. No other request may follow it.
    Unbounded,
    /// hyper has the whole request, and gets no further bytes until the response is finished.
    Complete,
}

/// The state of a connection without an open request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleState {
    /// Nothing was ever received.
    Silent,
    /// Requests were answered, but none of them was for a known class, and the next one has not started.
    UnknownClassOnly,
    /// A request for a known class was answered, and the next request has not started.
    BetweenRequests,
    /// A part of a request head was received.
    PartialHead,
    /// A request's head and a part of its body were received, and nothing more for [`MIN_BODY_STALL`].
    StalledBody,
    /// The last response is written, and the connection stays open only for the client to read it.
    Lingering,
}

/// Tracks the requests on a client's connection: where each of them starts and ends, and how fast it is received.
pub struct RequestFraming {
    /// The progress of the current request.
    pub phase: Phase,
    /// Bytes that were read from the socket but not handed to hyper yet: the rest of the current request, followed by
    /// pipelined bytes.
    pub read_buffer: BytesMut,
    /// The client has closed its sending side, as shown by a read of zero bytes.
    pub eof_received: bool,
    /// Number of bytes read from the socket since the connection was accepted, including dropped ones.
    pub received_bytes: u64,
    /// The latest arrivals, from that of the last byte handed to hyper on: how many bytes had been received by then, counted
    /// since the connection was accepted, and the time of the read or of the look at the bytes that wait in the kernel.
    pub recent_reads: VecDeque<(u64, Instant)>,
    /// Number of bytes handed to hyper since the connection was accepted.
    pub delivered_bytes: u64,
    /// When the last byte of the current request was received, once the whole request was handed to hyper.
    pub last_byte_at: Instant,
    /// Start of the time within which the current request has to be received: when the connection was accepted, or when
    /// the previous request ended. If a request for a known class was answered before, the time starts anew with the
    /// first bytes of the next head.
    pub request_wait_since: Instant,
    /// A request for a known class was answered on this connection, so that it may stay idle between requests.
    pub known_class_served: bool,
    /// Number of requests that were answered on this connection, those for no known class included.
    pub response_count: u32,
    /// The response to the current request is buffered as a whole, or its stream has ended. The next request starts
    /// once the current one is also complete.
    pub response_finished: bool,
    /// The response to the current request was handed to hyper, so that no other response can be sent for it.
    pub response_started: bool,
    /// The connection is being closed, and stays open only for the client to read the last response.
    pub lingering: bool,
    /// End of the current request's head, as a value of `received_bytes`: the bytes received beyond it belong to the
    /// body.
    pub head_end: u64,
    /// Total time that hyper has waited for bytes since the current head was complete, without the wait in progress.
    pub read_wait: Duration,
    /// Start of hyper's wait for bytes that is in progress; `None` if hyper does not wait for bytes.
    pub read_wait_since: Option<Instant>,
    /// Tracks until when the last byte of the current request was known to be missing.
    arrival: ArrivalTracker,
    /// Since when the client has accepted no bytes of its response; `None` if the last write did not have to wait.
    pub response_stalled_since: Option<Instant>,
    /// The current request has both Content-Length and Transfer-Encoding, of which hyper keeps only one. The request is
    /// rejected, as it may hide another one.
    pub has_both_lengths: bool,
    /// Wakes hyper's last read that found no bytes to hand over, once the next request may be handed to hyper.
    pub read_waker: Option<Waker>,
    /// The connection is to be reset instead of closed, as the response was aborted and only an RST can show that to
    /// the client.
    pub reset_requested: bool,
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
            arrival: ArrivalTracker::new(now),
            response_stalled_since: None,
            has_both_lengths: false,
            read_waker: None,
            reset_requested: false,
        }
    }

    /// The idle state, and since when nothing was received; `None` while a request is open, unless its body has
    /// stalled.
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
        match self.phase {
            Phase::Head => Some((state, last_read)),
            Phase::Delivering(_) | Phase::Unbounded if self.is_body_stalled() => {
                Some((IdleState::StalledBody, last_read))
            }
            Phase::Delivering(_) | Phase::Unbounded | Phase::Complete => None,
        }
    }

    /// Whether the client has not sent the next bytes of its request's body for a while, although they are waited for.
    fn is_body_stalled(&self) -> bool {
        let is_waiting = self.read_wait_since.is_some_and(|since| since.elapsed() >= MIN_BODY_STALL);
        is_waiting && !self.response_started
    }

    /// Whether a part of a request was received that is not its end.
    pub fn has_partial_request(&self) -> bool {
        matches!(self.idle_state(), Some((IdleState::PartialHead | IdleState::StalledBody, _)))
    }

    /// Whether the client has not sent a whole request within `timeout`, or has stopped reading its response. Two
    /// exceptions apply: a connection that has served a request for a known class may stay idle between requests, and a
    /// body may take longer if it meets the minimum rate.
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

    /// Assesses whether the last byte of the current request may have been written, with this many bytes in the kernel.
    /// `may_end` says that these may include the end of a request of unknown length.
    pub fn assess_arrival(&mut self, unread: u64, may_end: bool) -> Arrival {
        let end = match self.phase {
            Phase::Delivering(remaining) => RequestEnd::At(self.delivered_bytes + remaining),
            Phase::Complete => return Arrival::CompleteSince(self.arrival.missing_at()),
            Phase::Head | Phase::Unbounded if may_end => RequestEnd::Unknown,
            Phase::Head | Phase::Unbounded => RequestEnd::Later,
        };
        let positions = Positions { read: self.received_bytes, received: self.received_bytes + unread, end };
        let is_waiting = self.read_wait_since.is_some() && unread == 0;
        self.arrival.assess(positions, is_waiting, Instant::now())
    }

    /// Whether the current request has both Content-Length and Transfer-Encoding, so that another request may be
    /// smuggled in it.
    pub fn has_both_lengths(&self) -> bool {
        self.has_both_lengths
    }

    /// Whether no request may follow the current one on this connection.
    pub fn must_be_last(&self) -> bool {
        self.phase == Phase::Unbounded
    }

    /// Marks the current request as complete, as hyper has read it to its end. Returns when its last byte was received.
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

    /// Whether a response is being streamed to the client.
    pub fn is_streaming_response(&self) -> bool {
        self.response_started && !self.response_finished
    }

    /// The response that is still due when the connection is no longer served. None is due if the client has closed its
    /// sending side, or does not read an earlier response, behind which no other can be written.
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

    /// Marks the connection as lingering, and returns how many bytes of the current request may still be received.
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

    /// Marks the response to the current request as finished, and starts the next request if the current one is
    /// complete. `has_known_class` states whether the request was for a known class.
    pub fn finish_response(&mut self, has_known_class: bool) {
        self.response_finished = true;
        self.known_class_served |= has_known_class;
        self.response_count = self.response_count.saturating_add(1);
        self.start_next_request();
    }

    /// Lets the next request be handed to hyper if the current request is complete and its response is finished.
    pub fn start_next_request(&mut self) {
        if self.phase == Phase::Complete && self.response_finished {
            (self.phase, self.request_wait_since) = (Phase::Head, Instant::now());
            self.read_waker.take().into_iter().for_each(Waker::wake);
        }
    }

    /// Whether no further bytes may be read before those in the read buffer are handed to hyper.
    pub fn is_read_buffer_full(&self) -> bool {
        self.free_space() == 0
    }

    /// Reads from the socket into the read buffer, which must not be full. While a request is open, the bytes that follow
    /// it are read as well, as long as there is room, so that they need not be read when the next request starts.
    pub fn read(&mut self, tcp: &TcpStream) -> io::Result<()> {
        let free_space = self.free_space();
        self.read_buffer.reserve(free_space.min(self.read_size()));
        let read = tcp.try_read_buf(&mut self.read_buffer);
        self.release_empty_buffer();
        self.record_read(read?);
        Ok(())
    }

    /// Number of bytes to make room for before a read: a head is mostly short, and a body is read in larger pieces.
    fn read_size(&self) -> usize {
        match self.phase {
            Phase::Head | Phase::Complete => MAX_HEAD_SIZE / 2,
            Phase::Delivering(_) | Phase::Unbounded => MAX_HEAD_SIZE,
        }
    }

    /// Frees the read buffer if it is empty, so that idle connections and waiting streams do not keep one each.
    fn release_empty_buffer(&mut self) {
        if self.read_buffer.is_empty() {
            self.read_buffer = BytesMut::new();
        }
    }

    /// Appends bytes to the read buffer that were read from the socket and follow the current request.
    pub fn append_pipelined(&mut self, bytes: &[u8]) {
        self.read_buffer.extend_from_slice(bytes);
        self.record_read(bytes.len());
    }

    /// Number of bytes that the read buffer has room for.
    pub fn free_space(&self) -> usize {
        MAX_READ_AHEAD.saturating_sub(self.read_buffer.len())
    }

    /// Records that the kernel has received this many bytes that were not read yet. The time of a request that waits there
    /// runs from then on.
    pub fn record_unread(&mut self, unread: u64) {
        self.record_arrival(self.received_bytes + unread, Instant::now());
    }

    /// Records that the bytes up to a position have been received by now, unless that is recorded already.
    fn record_arrival(&mut self, position: u64, now: Instant) {
        match self.recent_reads.back_mut() {
            Some((end, _)) if *end >= position => {}
            Some((end, at)) if now - *at < READ_MERGE_INTERVAL => *end = position,
            _ => self.recent_reads.push_back((position, now)),
        }
    }

    /// Records a read of `received` bytes; zero bytes are the client's FIN.
    pub fn record_read(&mut self, received: usize) {
        let now = Instant::now();
        let wait = self.read_wait_since.take().map(|since| now - since);
        self.read_wait += wait.unwrap_or_default();
        if received == 0 {
            self.eof_received = true;
        } else if self.phase == Phase::Head && self.read_buffer.len() == received && self.known_class_served {
            self.request_wait_since = now;
        }
        self.received_bytes += received as u64;
        self.arrival.record_read(self.received_bytes, wait.is_some(), now);
        self.record_arrival(self.received_bytes, now);
    }

    /// Parses the next head if the read buffer contains all of it. A head that hyper will reject is handed to hyper
    /// unchanged.
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

    /// Hands up to `max_bytes` bytes of the current request to hyper.
    pub fn deliver(&mut self, buffer: &mut ReadBuf<'_>, max_bytes: usize) {
        let bytes = max_bytes.min(buffer.remaining());
        buffer.put_slice(&self.read_buffer[..bytes]);
        self.read_buffer.advance(bytes);
        self.release_empty_buffer();
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

/// Parses a number that consists of decimal digits only; `None` for any other text, also for one with a sign.
pub fn parse_decimal(text: &[u8]) -> Option<u64> {
    let all_digits = !text.is_empty() && text.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(text).ok().filter(|_| all_digits)?.parse().ok()
}
