//! The memory budget of the process: what its connections, its requests, its streams and its buffered bodies may use
//! together.
//!
//! Everything that grows with the number of clients is reserved here before it is allocated. A reservation is an estimate,
//! and peers decide how much is really allocated. What counts is therefore the larger one of two sums: of all
//! reservations, and of all live allocations. Whatever peers send, nothing new begins once either reaches the limit.

use crate::config::Limits;
use crate::proxy::sync::lock;
use std::fmt;
use std::sync::{Arc, Mutex};
use tokio::sync::Notify;
use tokio::time::{Duration, Instant, sleep, sleep_until};

/// Memory of a process outside the heap, in bytes: program text, stacks, and what other threads' heaps hold.
const PROCESS_BYTES: usize = 4 << 20;
/// The allocator may hold the memory limit divided by this beyond what is allocated.
const FRAGMENTATION_SHARE_DIVISOR: usize = 8;
/// Memory of a client connection, in bytes: its task, hyper's buffers for heads, and the head of its request.
pub const CLIENT_CONNECTION_BYTES: usize = 20 << 10;
/// Number of header fields of a request that the memory of its two connections includes.
const INCLUDED_FIELDS: usize = 16;
/// Memory of each further header field, in bytes: in the request that is kept, and in its copy for an attempt.
const FIELD_BYTES: usize = 400;
/// Memory of a connection to an upstream, in bytes: its task, its request channel, and hyper's buffers for heads.
pub const UPSTREAM_CONNECTION_BYTES: usize = 20 << 10;
/// Memory of a streamed response beyond that of its two connections, in bytes: the pieces that are on their way.
const RESPONSE_STREAM_BYTES: usize = 16 << 10;
/// Memory of a streamed request beyond that of its two connections, in bytes: the pieces that are on their way, the task
/// of the attempt, and the buffer that the response is waited for with.
const REQUEST_STREAM_BYTES: usize = 28 << 10;
/// Buffered bodies may use the memory limit divided by this.
const BUFFER_SHARE_DIVISOR: usize = 4;
/// Connections and streams leave the memory limit divided by this to the buffers of short requests.
const SHORT_REQUEST_SHARE_DIVISOR: usize = 14;
/// Buffers and requests with many header fields leave the memory limit divided by this to other requests. Connections
/// with a partial request are closed once less is left.
const HEAD_SHARE_DIVISOR: usize = 16;
/// Streams leave the connections to upstreams divided by this to short requests.
const SHORT_REQUEST_CONNECTION_DIVISOR: usize = 10;

/// Connections to upstreams may exceed the limit on all reservations by the memory limit divided by this.
const UPSTREAM_EXCESS_DIVISOR: usize = 64;
/// Memory counts as scarce once all reservations, or those for buffered bodies, exceed their maximum divided by this.
const SCARCITY_DIVISOR: usize = 8;
/// Memory is short for further streams if less than the memory limit divided by this is left for them.
const SHORTAGE_DIVISOR: usize = 8;

/// While responses use all connections that streams may use, as many further ones may wait as a share of the connections
/// to upstreams, divided by this.
const WAITING_RESPONSE_DIVISOR: usize = 32;
/// How long a stream waits for released memory while memory is exhausted.
const EXHAUSTION_WAIT: Duration = Duration::from_millis(50);

/// How long a request with a head of usual size waits for memory.
const REQUEST_MEMORY_WAIT: Duration = Duration::from_millis(100);
/// Time between two tries of such a request to get memory.
const REQUEST_MEMORY_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// A stream, by what it forwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stream {
    /// The body of a request.
    Request,
    /// The body of a response.
    Response,
}

impl Stream {
    /// The memory that the stream takes, in bytes.
    fn bytes(self) -> usize {
        match self {
            Self::Request => REQUEST_STREAM_BYTES,
            Self::Response => RESPONSE_STREAM_BYTES,
        }
    }
}

/// What memory is reserved for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    Connection,
    /// A request with a head of usual size.
    Request,
    /// A request with many header fields.
    LargeRequest,
    Stream,
    Buffer,
}

/// The bytes reserved at present, and their limits.
struct Reservations {
    /// Bytes of all reservations.
    total: usize,
    /// Bytes reserved for buffered bodies.
    buffers: usize,
    /// Number of streams.
    stream_count: usize,
    /// Number of responses that wait to be streamed. Each of them uses a connection to an upstream.
    waiting_responses: usize,
    limits: BudgetLimits,
}

/// Limits on the bytes of reservations.
struct BudgetLimits {
    /// Maximum for all reservations together.
    total: usize,
    /// Maximum for all reservations together with which a request with a head of usual size may begin. Reservations exceed
    /// what is allocated, so that this may be more than `total`.
    total_for_requests: usize,
    /// Maximum for connections, requests and streams with which another stream may begin.
    streams: usize,
    /// Maximum for buffered bodies.
    buffers: usize,
    /// Maximum for all reservations together with which a buffer may grow, or a request with many header fields may
    /// begin.
    total_for_large: usize,
}

impl BudgetLimits {
    /// The limits of a process that may use this many bytes.
    fn new(memory: usize) -> Self {
        let total = memory.saturating_sub(PROCESS_BYTES + memory / FRAGMENTATION_SHARE_DIVISOR);
        Self {
            total,
            total_for_requests: total + memory / HEAD_SHARE_DIVISOR,
            streams: total.saturating_sub(memory / SHORT_REQUEST_SHARE_DIVISOR),
            buffers: memory / BUFFER_SHARE_DIVISOR,
            total_for_large: total.saturating_sub(memory / HEAD_SHARE_DIVISOR),
        }
    }
}

/// What is in use of a budget.
#[derive(Clone, Copy, Debug)]
pub struct MemoryUsage {
    /// Bytes of all reservations.
    pub reserved: usize,
    /// Bytes of all live allocations.
    pub live: usize,
    /// Bytes reserved for buffered bodies.
    pub buffers: usize,
    /// Number of streams.
    pub streams: usize,
}

impl fmt::Display for MemoryUsage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { reserved, live, buffers, streams } = self;
        write!(f, "{reserved} bytes reserved, {live} allocated, {buffers} for buffers, {streams} streams")
    }
}

/// The memory budget of the process.
pub struct MemoryBudget {
    /// The memory limit in bytes, which two processes share while one replaces the other.
    memory_limit: usize,
    /// Maximum number of streams.
    max_streams: usize,
    /// Maximum number of streams and of responses that wait to be streamed.
    max_started_responses: usize,
    /// Returns the bytes of all live allocations.
    live_bytes: fn() -> usize,
    reservations: Mutex<Reservations>,
    /// Notified when memory is released.
    released: Notify,
    /// Notified when a stream has to wait for memory, or further ones soon will.
    shortage: Notify,
    /// Notified when streams that wait for memory are to be refused.
    waits_refused: Notify,
}

impl MemoryBudget {
    /// Creates the budget of a process with these limits. `live_bytes` returns the bytes of all live allocations.
    pub fn new(limits: &Limits, live_bytes: fn() -> usize) -> Arc<Self> {
        let memory_limit = limits.memory;
        let limits_of_budget = BudgetLimits::new(memory_limit);
        let reservations = Reservations {
            total: 0,
            buffers: 0,
            stream_count: 0,
            waiting_responses: 0,
            limits: limits_of_budget,
        };
        let max_streams = limits.upstreams - limits.upstreams / SHORT_REQUEST_CONNECTION_DIVISOR;
        Arc::new(Self {
            memory_limit,
            max_streams,
            max_started_responses: max_streams + limits.upstreams / WAITING_RESPONSE_DIVISOR,
            live_bytes,
            reservations: Mutex::new(reservations),
            released: Notify::new(),
            shortage: Notify::new(),
            waits_refused: Notify::new(),
        })
    }

    /// Sets whether another process of this balancer shares the memory limit. Each of the two may use half of it.
    pub fn set_shared(&self, shared: bool) {
        let memory = if shared { self.memory_limit / 2 } else { self.memory_limit };
        lock(&self.reservations).limits = BudgetLimits::new(memory);
        self.released.notify_one();
    }

    /// Whether the memory of one more connection fits.
    pub fn has_room_for_connection(&self, bytes: usize) -> bool {
        lock(&self.reservations).fits(Purpose::Connection, bytes, (self.live_bytes)())
    }

    /// Whether one more connection to an upstream may be opened for a request that was admitted. Requests that are admitted
    /// at once do not know of each other's connections, so that these may exceed the limit, but not by much.
    pub fn may_open_upstream_connection(&self) -> bool {
        let excess = self.memory_limit / UPSTREAM_EXCESS_DIVISOR;
        let live_bytes = (self.live_bytes)().saturating_sub(excess);
        lock(&self.reservations).fits(Purpose::Request, UPSTREAM_CONNECTION_BYTES, live_bytes)
    }

    /// Reserves the memory of a connection that exists already, whether or not it fits.
    pub fn reserve_connection(self: &Arc<Self>, bytes: usize) -> MemoryPermit {
        lock(&self.reservations).add(Purpose::Connection, bytes);
        MemoryPermit { budget: self.clone(), purpose: Purpose::Connection, bytes }
    }

    /// Reserves the memory of a request whose head has this many fields, or returns `None` if it does not fit beside one
    /// more connection to an upstream.
    fn try_reserve_request(self: &Arc<Self>, field_count: usize) -> Option<MemoryPermit> {
        let bytes = field_count.saturating_sub(INCLUDED_FIELDS) * FIELD_BYTES;
        if self.is_short() {
            self.shortage.notify_one();
        }
        let purpose = if bytes == 0 { Purpose::Request } else { Purpose::LargeRequest };
        let mut reservations = lock(&self.reservations);
        if !reservations.fits(purpose, bytes + UPSTREAM_CONNECTION_BYTES, (self.live_bytes)()) {
            return None;
        }
        reservations.add(purpose, bytes);
        Some(MemoryPermit { budget: self.clone(), purpose, bytes })
    }

    /// A permit of no bytes, which grows with the buffer of a body.
    pub fn buffer_permit(self: &Arc<Self>) -> MemoryPermit {
        MemoryPermit { budget: self.clone(), purpose: Purpose::Buffer, bytes: 0 }
    }

    /// Reserves the memory of a request as `try_reserve_request` does, and waits a moment for it if the head is of usual
    /// size: connections are closed meanwhile.
    pub async fn reserve_request(self: &Arc<Self>, field_count: usize) -> Option<MemoryPermit> {
        let end = Instant::now() + REQUEST_MEMORY_WAIT;
        loop {
            let permit = self.try_reserve_request(field_count);
            if permit.is_some() || field_count > INCLUDED_FIELDS || Instant::now() >= end {
                return permit;
            }
            sleep(REQUEST_MEMORY_RETRY_INTERVAL).await;
        }
    }

    /// Reserves the memory of a stream, or returns `None` if it does not fit.
    pub fn try_reserve_stream(self: &Arc<Self>, stream: Stream) -> Option<MemoryPermit> {
        let (purpose, bytes) = (Purpose::Stream, stream.bytes());
        if self.is_short() || lock(&self.reservations).stream_count >= self.max_streams {
            self.shortage.notify_one();
        }
        self.try_add(purpose, bytes).then(|| MemoryPermit { budget: self.clone(), purpose, bytes })
    }

    /// Whether memory is short for further streams.
    pub fn is_short(&self) -> bool {
        !lock(&self.reservations).fits(
            Purpose::Stream,
            self.memory_limit / SHORTAGE_DIVISOR,
            (self.live_bytes)(),
        )
    }

    /// Whether memory is short for short requests, too.
    pub fn is_exhausted(&self) -> bool {
        !lock(&self.reservations).fits(Purpose::LargeRequest, 0, (self.live_bytes)())
    }

    /// Has a shortage relieved if memory is exhausted, whoever has used it up.
    pub fn check_exhaustion(&self) {
        if self.is_exhausted() {
            self.shortage.notify_one();
        }
    }

    /// Reserves the memory of a stream, and waits for it until `deadline` if it does not fit. Released memory
    /// wakes the stream that has waited for longest. While memory is exhausted, the wait is short, as what the stream
    /// has received takes memory meanwhile.
    pub async fn reserve_stream(self: &Arc<Self>, stream: Stream, deadline: Instant) -> Option<MemoryPermit> {
        if let Some(permit) = self.try_reserve_stream(stream) {
            return Some(permit);
        }
        let _waiting_response = match stream {
            Stream::Request => None,
            Stream::Response => Some(WaitingResponse::begin(self)?),
        };
        loop {
            if let Some(permit) = self.try_reserve_stream(stream) {
                self.released.notify_one(); // the released memory may be enough for another stream
                return Some(permit);
            }
            let recheck_at = deadline.min(Instant::now() + EXHAUSTION_WAIT);
            let is_released = tokio::select! {
                () = self.released.notified() => true,
                () = self.waits_refused.notified() => return None,
                () = sleep_until(recheck_at) => false,
            };
            if !is_released && (recheck_at == deadline || self.is_exhausted()) {
                return None;
            }
        }
    }

    /// Lets the stream that has waited for longest try again.
    pub fn wake_waiting_stream(&self) {
        self.released.notify_one();
    }

    /// Refuses memory to all streams that wait for it, as their clients' connections are needed.
    pub fn refuse_waiting_streams(&self) {
        self.waits_refused.notify_waiters();
    }

    /// Waits until a stream has to wait for memory, or further ones soon will. Closing idle connections releases some.
    pub async fn wait_for_shortage(&self) {
        self.shortage.notified().await;
    }

    /// What is in use at present, for the log.
    pub fn usage(&self) -> MemoryUsage {
        let reservations = lock(&self.reservations);
        MemoryUsage {
            reserved: reservations.total,
            live: (self.live_bytes)(),
            buffers: reservations.buffers,
            streams: reservations.stream_count,
        }
    }

    /// Whether bodies that are known to be long are to use little memory, as many of them may follow: a short start, which
    /// makes a retry less likely, and small pieces, which take more processor time.
    pub fn is_scarce(&self) -> bool {
        let reservations = lock(&self.reservations);
        let limits = &reservations.limits;
        reservations.used((self.live_bytes)()) > limits.total / SCARCITY_DIVISOR
            || reservations.buffers > limits.buffers / SCARCITY_DIVISOR
    }

    /// Reserves more bytes for a purpose, and returns whether they fit.
    fn try_add(&self, purpose: Purpose, bytes: usize) -> bool {
        let mut reservations = lock(&self.reservations);
        let has_stream_slot = purpose != Purpose::Stream || reservations.stream_count < self.max_streams;
        let fits = has_stream_slot && reservations.fits(purpose, bytes, (self.live_bytes)());
        if fits {
            reservations.add(purpose, bytes);
        }
        fits
    }
}

impl Reservations {
    /// The bytes in use: all reservations, or all live allocations if these are more.
    fn used(&self, live_bytes: usize) -> usize {
        self.total.max(live_bytes)
    }

    /// Whether more bytes may be reserved for a purpose.
    fn fits(&self, purpose: Purpose, bytes: usize, live_bytes: usize) -> bool {
        let used = self.used(live_bytes) + bytes;
        // Much of what a stream takes is allocated already when its turn comes.
        let used_with_stream = live_bytes.max(self.total + bytes);
        let limits = &self.limits;
        match purpose {
            Purpose::Connection => used <= limits.total,
            // What others have reserved beyond the limit for bytes that had come already hinders no short request.
            Purpose::Request => {
                live_bytes + bytes <= limits.total && self.total + bytes <= limits.total_for_requests
            }
            Purpose::Stream => {
                used_with_stream <= limits.total
                    && used_with_stream.saturating_sub(self.buffers) <= limits.streams
            }
            Purpose::LargeRequest => used <= limits.total_for_large,
            Purpose::Buffer => used <= limits.total_for_large && self.buffers + bytes <= limits.buffers,
        }
    }

    fn add(&mut self, purpose: Purpose, bytes: usize) {
        self.total += bytes;
        match purpose {
            Purpose::Connection | Purpose::Request | Purpose::LargeRequest => {}
            Purpose::Stream => self.stream_count += 1,
            Purpose::Buffer => self.buffers += bytes,
        }
    }

    fn remove(&mut self, purpose: Purpose, bytes: usize) {
        self.total -= bytes;
        match purpose {
            Purpose::Connection | Purpose::Request | Purpose::LargeRequest => {}
            Purpose::Stream => self.stream_count -= 1,
            Purpose::Buffer => self.buffers -= bytes,
        }
    }
}

/// Counts a response that waits to be streamed until it is dropped.
struct WaitingResponse<'a>(&'a MemoryBudget);

impl<'a> WaitingResponse<'a> {
    /// Counts one more response that waits, or returns `None` if too many do.
    fn begin(budget: &'a MemoryBudget) -> Option<Self> {
        let mut reservations = lock(&budget.reservations);
        if reservations.stream_count + reservations.waiting_responses >= budget.max_started_responses {
            return None;
        }
        reservations.waiting_responses += 1;
        Some(Self(budget))
    }
}

impl Drop for WaitingResponse<'_> {
    fn drop(&mut self) {
        lock(&self.0.reservations).waiting_responses -= 1;
    }
}

/// A reservation of memory, released on drop.
pub struct MemoryPermit {
    budget: Arc<MemoryBudget>,
    purpose: Purpose,
    bytes: usize,
}

impl MemoryPermit {
    /// Reserves more bytes, and returns whether they fit.
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let fits = self.budget.try_add(self.purpose, bytes);
        if fits {
            self.bytes += bytes;
        } else {
            self.budget.check_exhaustion();
        }
        fits
    }

    /// Reserves more bytes that are already allocated, whether or not they fit.
    pub fn grow(&mut self, bytes: usize) {
        lock(&self.budget.reservations).add(self.purpose, bytes);
        self.bytes += bytes;
    }
}

impl Drop for MemoryPermit {
    fn drop(&mut self) {
        lock(&self.budget.reservations).remove(self.purpose, self.bytes);
        self.budget.released.notify_one();
    }
}

#[cfg(test)]
mod tests;
