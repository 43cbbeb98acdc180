//! Reads the start of a body into memory.

use crate::proxy::body::memory::{MemoryBudget, MemoryPermit};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use std::sync::Arc;
use tokio::time::{Instant, timeout_at};

/// The buffered start of a body.
pub struct BufferedBody {
    /// The bytes received so far.
    pub buffered: Bytes,
    /// Whether `buffered` is known to be the whole body.
    pub complete: bool,
}

/// A buffer whose capacity is reserved in the memory budget for as long as any of its bytes are used.
struct ReservedBuffer {
    bytes: Vec<u8>,
    permit: MemoryPermit,
}

impl AsRef<[u8]> for ReservedBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl ReservedBuffer {
    /// Appends a piece, and returns whether the memory budget has room for another one. The piece itself is appended in
    /// any case, as it was received.
    fn append(&mut self, piece: &[u8], max_bytes: usize) -> bool {
        let length = self.bytes.len() + piece.len();
        let mut has_room = true;
        if length > self.bytes.capacity() {
            let doubled_capacity = (2 * self.bytes.capacity()).min(max_bytes);
            has_room = self.reserve(length.max(doubled_capacity)) || self.reserve(length);
            if !has_room {
                self.permit.grow(length - self.bytes.capacity());
                self.bytes.reserve_exact(piece.len());
            }
        }
        self.bytes.extend_from_slice(piece);
        has_room
    }

    /// Enlarges the buffer to this capacity if the memory budget has room for that.
    fn reserve(&mut self, capacity: usize) -> bool {
        let fits = self.permit.try_grow(capacity - self.bytes.capacity());
        if fits {
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        fits
    }
}

/// Buffers a body until it ends, at least `max_bytes` and one more byte are buffered, the deadline has passed, or the
/// memory budget has no more room.
pub async fn buffer_body(
    body: &mut Incoming,
    max_bytes: usize,
    deadline: Option<Instant>,
    memory: &Arc<MemoryBudget>,
) -> Result<BufferedBody, hyper::Error> {
    let mut buffer = ReservedBuffer { bytes: Vec::new(), permit: memory.buffer_permit() };
    let mut has_room = true;
    let mut complete = false;
    while has_room && buffer.bytes.len() <= max_bytes {
        let frame = match deadline {
            None => body.frame().await,
            Some(deadline) => match timeout_at(deadline, body.frame()).await {
                Ok(frame) => frame,
                Err(_) => break,
            },
        };
        match frame.transpose()?.map(Frame::into_data) {
            Some(Ok(data)) => has_room = buffer.append(&data, max_bytes),
            Some(Err(_)) => {} // trailers are not forwarded
            None => {
                complete = true;
                break;
            }
        }
    }
    let buffered = if buffer.bytes.is_empty() { Bytes::new() } else { Bytes::from_owner(buffer) };
    Ok(BufferedBody { buffered, complete })
}
