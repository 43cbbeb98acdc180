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

/// The bytes reserved at present.
#[derive(Default)]
struct ReservedBytes {
    /// All reservations.
    total: usize,
    /// Those for buffered bodies.
    buffers: usize,
}

/// The memory budget of the process.
pub struct MemoryBudget {
    reserved: Mutex<ReservedBytes>,
    /// Maximum number of bytes of all reservations.
    max_total: usize,
    /// Maximum number of bytes of connections and streams with which another stream may begin.
    max_streams: usize,
    /// Maximum number of bytes of the reservations for buffered bodies.
    max_buffers: usize,
    /// Notified when memory is released.
    released: Notify,
    /// Notified when a stream has to wait for memory.
    shortage: Notify,
}

impl MemoryBudget {
    /// Creates the budget of a process with this memory limit in bytes.
    pub fn new(memory_limit: usize) -> Arc<Self> {
        let max_total = memory_limit.saturating_sub(PROCESS_BYTES);
        Arc::new(Self {
            reserved: Mutex::default(),
            max_total,
            max_streams: max_total.saturating_sub(memory_limit / SHORT_REQUEST_SHARE_DIVISOR),
            max_buffers: memory_limit / BUFFER_SHARE_DIVISOR,
            released: Notify::new(),
            shortage: Notify::new(),
        })
    }

    /// Reserves the memory of a connection. Cannot fail, as the number of connections has a limit of its own.
    pub fn reserve_connection(self: &Arc<Self>, bytes: usize) -> MemoryPermit {
        lock(&self.reserved).total += bytes;
        MemoryPermit { budget: self.clone(), purpose: Purpose::Connection, bytes }
    }

    /// A permit of no bytes, which grows with the buffer of a body.
    pub fn buffer_permit(self: &Arc<Self>) -> MemoryPermit {
        MemoryPermit { budget: self.clone(), purpose: Purpose::Buffer, bytes: 0 }
    }

    /// Reserves the memory of a stream, or returns `None` if it does not fit.
    pub fn try_reserve_stream(self: &Arc<Self>, stream: Stream) -> Option<MemoryPermit> {
        let (purpose, bytes) = (Purpose::Stream, stream.bytes());
        self.try_add(purpose, bytes).then(|| MemoryPermit { budget: self.clone(), purpose, bytes })
    }

    /// Reserves the memory of a stream, and waits for it until `deadline` if it does not fit. Streams that wait are
    /// served in order.
    pub async fn reserve_stream(self: &Arc<Self>, stream: Stream, deadline: Instant) -> Option<MemoryPermit> {
        loop {
            if let Some(permit) = self.try_reserve_stream(stream) {
                self.released.notify_one(); // the released memory may be enough for another stream
                return Some(permit);
            }
            self.shortage.notify_one();
            timeout_at(deadline, self.released.notified()).await.ok()?;
        }
    }

    /// Waits until a stream has to wait for memory. Closing idle connections releases some.
    pub async fn wait_for_shortage(&self) {
        self.shortage.notified().await;
    }

    /// Whether bodies that are known to be long are to use little memory, as many of them may follow: a short start, which
    /// makes a retry less likely, and small pieces, which take more processor time.
    pub fn is_scarce(&self) -> bool {
        let reserved = lock(&self.reserved);
        reserved.total > self.max_total / SCARCITY_DIVISOR
            || reserved.buffers > self.max_buffers / SCARCITY_DIVISOR
    }

    /// Reserves more bytes for a purpose, and returns whether they fit.
    fn try_add(&self, purpose: Purpose, bytes: usize) -> bool {
        let mut reserved = lock(&self.reserved);
        let fits = match purpose {
            Purpose::Connection => true,
            Purpose::Stream => {
                let buffers = reserved.buffers;
                reserved.total + bytes <= self.max_total
                    && reserved.total - buffers + bytes <= self.max_streams
            }
            Purpose::Buffer => {
                reserved.total + bytes <= self.max_total && reserved.buffers + bytes <= self.max_buffers
            }
        };
        if fits {
            reserved.add(purpose, bytes);
        }
        fits
    }
}

impl ReservedBytes {
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
        lock(&self.budget.reserved).add(self.purpose, bytes);
        self.bytes += bytes;
    }
}

impl Drop for MemoryPermit {
    fn drop(&mut self) {
        lock(&self.budget.reserved).remove(self.purpose, self.bytes);
        self.budget.released.notify_one();
    }
}
