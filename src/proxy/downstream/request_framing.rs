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
    NotOwed,
    /// A response to a request that was not received completely.
    ForPartialRequest,
    /// A response to a complete request.
    ForCompleteRequest,
}

/// Bytes that may follow a request before its answer, or no further attempt is made for it. A caller sends one
/// request at a time. Within this, which is less than the kernel takes in of a connection that nobody reads,
/// the caller's end shows; beyond, it may wait at the caller.
pub const MOST_BEHIND: u64 = 48 << 10;
/// Largest head of a request: what is larger, upstreams may not take, and it would fill the memory.
pub const MOST_HEAD: usize = 8 << 10;

/// Bytes kept of what comes while a request is open.
pub const MOST_AHEAD: usize = 2 * MOST_HEAD;

/// Headers of a request at most, as in hyper.
pub const MOST_HEADERS: usize = 100;

/// A body has to come at this rate, in bytes a second, beyond a first while: half of what the slowest caller makes.
pub const BODY_RATE: f64 = 32e3;

pub const BODY_START: Duration = Duration::from_millis(700);

/// How long a client may pause within a body: one that has stopped is owed its error, however much it sent before.
pub const MOST_SILENCE: Duration = Duration::from_secs(2);

/// How long a caller may take over the next piece of its answer.
pub const READ_PATIENCE: Duration = Duration::from_secs(15);

/// Reads so close to each other count as one.
pub const ONE_READ: Duration = Duration::from_millis(2);

/// How far a connection is with its present request.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Its head has not come to its end.
    Head,
    /// So many bytes of it have still to go to hyper.
    Passing(u64),
    /// Where it ends is for hyper to say: it comes in chunks or can't be read. Nothing may follow it.
    Unbounded,
    /// All of it has gone to hyper, and nothing else does until it is answered.
    Whole,
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
    pub ahead: BytesMut,
    pub ended: bool,
    /// Bytes that came, in all, and when the latest of them did.
    pub came: u64,
    pub reads: VecDeque<(u64, Instant)>,
    /// Bytes that have gone to hyper, in all.
    pub passed: u64,
    /// When the last byte of the present request came.
    pub arrived: Instant,
    /// Since when it waits for a request, or for the rest of one that has begun.
    pub since: Instant,
    /// A call has been answered on it.
    pub asked: bool,
    /// Answers that it was given, to whatever.
    pub answers: u32,
    pub answered: bool,
    /// The answer to the present request has begun.
    pub responding: bool,
    /// Nothing more is read or answered.
    pub lingering: bool,
    /// Bytes that had come in all when the present head was whole.
    pub head_came: u64,
    /// How long more was waited for since then, and since when it is now.
    pub waited: Duration,
    pub waiting_since: Option<Instant>,
    /// Since when the caller takes nothing of its answer.
    pub stuck_since: Option<Instant>,
    /// The present request has both lengths, of which hyper shows only one.
    pub both_lengths: bool,
    /// Waits for more to go to hyper.
    pub waiting: Option<Waker>,
    /// More came behind it than is kept, and was dropped.
    pub overrun: bool,
    /// Its answer broke off, and nothing but a reset shows that.
    pub resets: bool,
}

impl RequestFraming {
    pub fn new() -> Self {
        let now = Instant::now();
        Self {
            phase: Phase::Head,
            ahead: BytesMut::new(),
            ended: false,
            came: 0,
            reads: VecDeque::new(),
            passed: 0,
            arrived: now,
            since: now,
            asked: false,
            answers: 0,
            answered: false,
            responding: false,
            lingering: false,
            head_came: 0,
            waited: Duration::ZERO,
            waiting_since: None,
            stuck_since: None,
            both_lengths: false,
            waiting: None,
            overrun: false,
            resets: false,
        }
    }

    /// What a connection without an open request is at, and since when nothing has come; `None` with one open.
    pub fn idle(&self) -> Option<(IdleState, Instant)> {
        let latest = self.reads.back().map_or(self.since, |(_, at)| self.since.max(*at));
        if self.lingering {
            return Some((IdleState::Lingering, latest));
        }
        let idle = match (self.ahead.is_empty(), self.asked) {
            (true, false) if self.answers > 0 => IdleState::UnrecognizedOnly,
            (true, false) => IdleState::Silent,
            (true, true) => IdleState::BetweenRequests,
            (false, _) => IdleState::PartialHead,
        };
        (self.phase == Phase::Head).then_some((idle, latest))
    }

    /// Whether a whole request is owed for longer than this, or an answer is not taken. One that has asked may rest
    /// between requests; a body may take as long as it is, if it comes at the rate of a slow caller.
    pub fn overdue(&self, patience: Duration) -> bool {
        let is_stuck = self.stuck_since.is_some_and(|since| since.elapsed() > READ_PATIENCE);
        let rests =
            self.phase == Phase::Whole || self.phase == Phase::Head && self.ahead.is_empty() && self.asked;
        is_stuck || !rests && self.since.elapsed() > patience && !self.comes_on()
    }

    /// Whether the body of the present request comes fast enough. While nobody reads it, that is not its fault.
    pub fn comes_on(&self) -> bool {
        let silence = self.waiting_since.map_or(Duration::ZERO, |since| since.elapsed());
        let waited = self.waited + silence;
        let least = BODY_RATE * waited.saturating_sub(BODY_START).as_secs_f64();
        self.phase != Phase::Head && silence < MOST_SILENCE && (self.came - self.head_came) as f64 >= least
    }

    /// Whether the present request says its length in both ways: it may hide another one.
    pub fn both_lengths(&self) -> bool {
        self.both_lengths
    }

    /// Whether nothing may follow the present request.
    pub fn is_last(&self) -> bool {
        self.phase == Phase::Unbounded || self.overrun
    }

    /// The present request has been read to its end; tells when its last byte came.
    pub fn whole(&mut self) -> Instant {
        if self.phase == Phase::Unbounded {
            (self.phase, self.arrived) = (Phase::Whole, Instant::now());
        }
        self.arrived
    }

    /// The answer to the present request begins.
    pub fn responds(&mut self) {
        self.responding = true;
    }

    /// What a connection is owed that is not served any longer. Behind an answer that its client does not take, there
    /// is no place for another.
    pub fn pending_response(&self) -> PendingResponse {
        match self.phase {
            _ if self.ended || self.stuck_since.is_some() => PendingResponse::NotOwed,
            Phase::Head if self.ahead.is_empty() => PendingResponse::NotOwed,
            Phase::Head => PendingResponse::ForPartialRequest,
            _ if self.responding => PendingResponse::NotOwed,
            Phase::Passing(_) | Phase::Unbounded => PendingResponse::ForPartialRequest,
            Phase::Whole => PendingResponse::ForCompleteRequest,
        }
    }

    /// How much of the present request may still come, as far as that is known.
    pub fn outstanding(&self) -> u64 {
        match self.phase {
            Phase::Head if self.ahead.is_empty() => 0,
            Phase::Head | Phase::Unbounded => u64::MAX,
            Phase::Passing(left) => left.saturating_sub(self.ahead.len() as u64),
            Phase::Whole => 0,
        }
    }

    /// The connection is kept for its client to read the last answer; how much of its request may still come.
    pub fn lingers(&mut self) -> u64 {
        self.lingering = true;
        self.outstanding()
    }

    /// Whether more has come than the present request.
    pub fn holds_more(&self) -> bool {
        match self.phase {
            Phase::Passing(left) => self.ahead.len() as u64 > left,
            Phase::Unbounded => false,
            Phase::Head | Phase::Whole => !self.ahead.is_empty(),
        }
    }

    /// The client has ended its sending.
    pub fn ended(&self) -> bool {
        self.ended
    }

    /// The present request has its answer; the next may go to hyper. Only calls make a caller.
    pub fn answered(&mut self, is_call: bool) {
        self.answered = true;
        self.asked |= is_call;
        self.answers = self.answers.saturating_add(1);
        self.next();
    }

    pub fn next(&mut self) {
        if self.phase == Phase::Whole && self.answered {
            (self.phase, self.since) = (Phase::Head, Instant::now());
            self.waiting.take().into_iter().for_each(Waker::wake);
        }
    }

    /// Reads what has come. While a request is open, what follows it is read as well, as its caller's end would
    /// not show behind that: what is more than is kept is dropped, and the connection ends with the answer.
    pub fn read(&mut self, tcp: &TcpStream) -> io::Result<()> {
        let room = MOST_AHEAD.saturating_sub(self.ahead.len());
        let got = if room > 0 {
            self.ahead.reserve(room.min(MOST_HEAD / 2));
            tcp.try_read_buf(&mut self.ahead)?
        } else {
            self.overrun = true;
            tcp.try_read(&mut [0; MOST_HEAD])?
        };
        self.take_in(got);
        Ok(())
    }

    /// Takes in what was read behind a request.
    pub fn keep(&mut self, bytes: &[u8]) {
        let room = MOST_AHEAD.saturating_sub(self.ahead.len());
        self.ahead.extend_from_slice(&bytes[..room.min(bytes.len())]);
        self.overrun |= bytes.len() > room;
        self.take_in(bytes.len());
    }

    /// Whether more has come behind the present request than a caller that waits for its answer sends.
    pub fn overflows(&self) -> bool {
        self.phase == Phase::Whole && self.came - self.passed > MOST_BEHIND
    }

    pub fn take_in(&mut self, got: usize) {
        let now = Instant::now();
        self.waited += self.waiting_since.take().map_or(Duration::ZERO, |since| now - since);
        if got == 0 {
            self.ended = true;
        } else if self.phase == Phase::Head && self.ahead.len() == got && self.asked {
            self.since = now;
        }
        self.came += got as u64;
        match self.reads.back_mut() {
            Some((end, at)) if now - *at < ONE_READ => *end = self.came,
            _ => self.reads.push_back((self.came, now)),
        }
    }

    /// Looks for a whole head in what has come. What hyper will refuse goes to it as it is.
    pub fn read_head(&mut self) {
        if self.phase != Phase::Head || self.ahead.is_empty() {
            return;
        }
        let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
        let mut head = httparse::Request::new(&mut headers);
        let length = match head.parse(&self.ahead) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) if self.ahead.len() <= MOST_HEAD && !self.ended => return,
            Ok(httparse::Status::Partial) | Err(_) => {
                self.phase = Phase::Unbounded;
                return;
            }
        };
        let named =
            |name: &'static str| head.headers.iter().filter(move |h| h.name.eq_ignore_ascii_case(name));
        let chunked = named("transfer-encoding").next().is_some();
        let body = named("content-length").next().map(|header| whole_number(header.value));
        (self.both_lengths, self.answered) = (chunked && body.is_some(), false);
        self.responding = false;
        (self.head_came, self.waited) = (self.came - (self.ahead.len() - length) as u64, Duration::ZERO);
        self.phase = match body.unwrap_or(Some(0)) {
            Some(body) if !chunked => Phase::Passing(body.saturating_add(length as u64)),
            _ => Phase::Unbounded,
        };
    }

    /// How much of what has come may go to hyper.
    pub fn passable(&mut self) -> usize {
        self.read_head();
        match self.phase {
            Phase::Head | Phase::Whole => 0,
            Phase::Unbounded => self.ahead.len(),
            Phase::Passing(left) => self.ahead.len().min(usize::try_from(left).unwrap_or(usize::MAX)),
        }
    }

    pub fn pass(&mut self, buffer: &mut ReadBuf<'_>, most: usize) {
        let bytes = most.min(buffer.remaining());
        buffer.put_slice(&self.ahead[..bytes]);
        self.ahead.advance(bytes);
        self.passed += bytes as u64;
        while self.reads.len() > 1 && self.reads[0].0 < self.passed {
            self.reads.pop_front();
        }
        if let Phase::Passing(left) = &mut self.phase {
            *left -= bytes as u64;
            if *left == 0 {
                self.phase = Phase::Whole;
                self.arrived = self.reads.front().map_or_else(Instant::now, |(_, at)| *at);
                self.next(); // its answer may have been given before its end came
            }
        }
    }
}

pub fn whole_number(text: &[u8]) -> Option<u64> {
    let digits = !text.is_empty() && text.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(text).ok().filter(|_| digits)?.parse().ok()
}
