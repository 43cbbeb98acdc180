//! The memory budget of the process: what its connections, its streams and its buffered bodies may use together.
//!
//! Everything that grows with the number of clients is reserved here before it is allocated. Connections are limited by
//! the file descriptors, so that their share is only counted. Streams and buffers get what the connections leave.

use crate::proxy::sync::lock;
use std::sync::{Arc, Mutex};
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

/// Memory of a process without connections, in bytes: program data, endpoint list, decision module, and the memory that
/// the allocator holds beyond what is allocated.
const PROCESS_BYTES: usize = 4 << 20;
/// Memory of a client connection, in bytes: its task, hyper's buffers for heads, and the head of its request.
pub const CLIENT_CONNECTION_BYTES: usize = 20 << 10;
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
const SHORT_REQUEST_SHARE_DIVISOR: usize = 8;

/// Memory counts as scarce once all reservations, or those for buffered bodies, exceed their maximum divided by this.
const SCARCITY_DIVISOR: usize = 4;
/// Memory is short for further streams if less than the memory limit divided by this is left for them.
const SHORTAGE_DIVISOR: usize = 16;

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
    Stream,
    Buffer,
}

/// The bytes reserved at present, and their limits.
struct Reservations {
    /// Bytes of all reservations.
    total: usize,
    /// Bytes reserved for buffered bodies.
    buffers: usize,
    limits: BudgetLimits,
}

/// Limits on the bytes of reservations.
struct BudgetLimits {
    /// Maximum for all reservations together.
    total: usize,
    /// Maximum for connections and streams with which another stream may begin.
    streams: usize,
    /// Maximum for buffered bodies.
    buffers: usize,
}

impl BudgetLimits {
    /// The limits of a process that may use this many bytes.
    fn new(memory: usize) -> Self {
        let total = memory.saturating_sub(PROCESS_BYTES);
        let streams = total.saturating_sub(memory / SHORT_REQUEST_SHARE_DIVISOR);
        Self { total, streams, buffers: memory / BUFFER_SHARE_DIVISOR }
    }
}

/// The memory budget of the process.
pub struct MemoryBudget {
    /// The memory limit in bytes, which two processes share while one replaces the other.
    memory_limit: usize,
    reservations: Mutex<Reservations>,
    /// Notified when memory is released.
    released: Notify,
    /// Notified when a stream has to wait for memory, or further ones soon will.
    shortage: Notify,
}

impl MemoryBudget {
    /// Creates the budget of a process with this memory limit in bytes.
    pub fn new(memory_limit: usize) -> Arc<Self> {
        let reservations = Reservations { total: 0, buffers: 0, limits: BudgetLimits::new(memory_limit) };
        Arc::new(Self {
            memory_limit,
            reservations: Mutex::new(reservations),
            released: Notify::new(),
            shortage: Notify::new(),
        })
    }

    /// Sets whether another process of this balancer shares the memory limit. Each of the two may use half of it.
    pub fn set_shared(&self, shared: bool) {
        let memory = if shared { self.memory_limit / 2 } else { self.memory_limit };
        lock(&self.reservations).limits = BudgetLimits::new(memory);
        self.released.notify_one();
    }

    /// Reserves the memory of a connection. Cannot fail, as the number of connections has a limit of its own.
    pub fn reserve_connection(self: &Arc<Self>, bytes: usize) -> MemoryPermit {
        lock(&self.reservations).total += bytes;
        MemoryPermit { budget: self.clone(), purpose: Purpose::Connection, bytes }
    }

    /// A permit of no bytes, which grows with the buffer of a body.
    pub fn buffer_permit(self: &Arc<Self>) -> MemoryPermit {
        MemoryPermit { budget: self.clone(), purpose: Purpose::Buffer, bytes: 0 }
    }

    /// Reserves the memory of a stream, or returns `None` if it does not fit.
    pub fn try_reserve_stream(self: &Arc<Self>, stream: Stream) -> Option<MemoryPermit> {
        let (purpose, bytes) = (Purpose::Stream, stream.bytes());
        if !lock(&self.reservations).fits(purpose, self.memory_limit / SHORTAGE_DIVISOR) {
            self.shortage.notify_one();
        }
        self.try_add(purpose, bytes).then(|| MemoryPermit { budget: self.clone(), purpose, bytes })
    }

    /// Reserves the memory of a stream, and waits for it until `deadline` if it does not fit. Released memory
    /// wakes the stream that has waited for longest.
    pub async fn reserve_stream(self: &Arc<Self>, stream: Stream, deadline: Instant) -> Option<MemoryPermit> {
        loop {
            if let Some(permit) = self.try_reserve_stream(stream) {
                self.released.notify_one(); // the released memory may be enough for another stream
                return Some(permit);
            }
            timeout_at(deadline, self.released.notified()).await.ok()?;
        }
    }

    /// Waits until a stream has to wait for memory, or further ones soon will. Closing idle connections releases some.
    pub async fn wait_for_shortage(&self) {
        self.shortage.notified().await;
    }

    /// Whether bodies that are known to be long are to use little memory, as many of them may follow: a short start, which
    /// makes a retry less likely, and small pieces, which take more processor time.
    pub fn is_scarce(&self) -> bool {
        let reservations = lock(&self.reservations);
        let limits = &reservations.limits;
        reservations.total > limits.total / SCARCITY_DIVISOR
            || reservations.buffers > limits.buffers / SCARCITY_DIVISOR
    }

    /// Reserves more bytes for a purpose, and returns whether they fit.
    fn try_add(&self, purpose: Purpose, bytes: usize) -> bool {
        let mut reservations = lock(&self.reservations);
        let fits = reservations.fits(purpose, bytes);
        if fits {
            reservations.add(purpose, bytes);
        }
        fits
    }
}

impl Reservations {
    /// Whether more bytes may be reserved for a purpose.
    fn fits(&self, purpose: Purpose, bytes: usize) -> bool {
        let fits_total = self.total + bytes <= self.limits.total;
        match purpose {
            Purpose::Connection => true,
            Purpose::Stream => fits_total && self.total - self.buffers + bytes <= self.limits.streams,
            Purpose::Buffer => fits_total && self.buffers + bytes <= self.limits.buffers,
        }
    }

    fn add(&mut self, purpose: Purpose, bytes: usize) {
        self.total += bytes;
        if purpose == Purpose::Buffer {
            self.buffers += bytes;
        }
    }

    fn remove(&mut self, purpose: Purpose, bytes: usize) {
        self.total -= bytes;
        if purpose == Purpose::Buffer {
            self.buffers -= bytes;
        }
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
