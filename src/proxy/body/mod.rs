//! Request and response bodies. A small body is buffered as a whole. A larger one is streamed with backpressure: the
//! next chunk is read only after the previous one was written, so that memory use does not grow with the body.

pub mod buffer;
pub mod memory;
pub mod request_body;
pub mod response_body;
pub mod write_backpressure;

use std::fmt;
use std::time::Duration;

/// Largest body, in bytes, that is buffered as a whole. A buffered request can be sent again. The outcome of a buffered
/// response is known before the client receives any of it. The latency of a longer response is that of its first bytes.
pub const MAX_BUFFERED_BODY: usize = balancer::decision::MAX_SHORT_RESPONSE as usize;

/// How much of a request's body is buffered before the request is dispatched, in bytes, if the body is known to be longer
/// than [`MAX_BUFFERED_BODY`] and memory is scarce. Nothing of such a response is buffered.
pub const SCARCE_MEMORY_START: usize = 4 << 10;

/// How long a stream waits at most until it fits into the memory budget.
pub const MAX_MEMORY_WAIT: Duration = Duration::from_secs(1);

/// Maximum number of bytes that are read from a socket at once while memory is scarce, and always from a client. hyper
/// enlarges its read buffer when a read has filled it, so this is one byte less than the buffer's initial size. Otherwise each piece of a body would keep a larger buffer.
pub const MAX_READ_SIZE: usize = (8 << 10) - 1;

/// Largest body of a request or response, in bytes. It limits the declared length of both, and the received length of a
/// request's remainder after the buffered start.
pub const MAX_BODY: u64 = 34 << 20;

/// A streamed body was not forwarded to its end. A request body ended early or exceeded [`MAX_BODY`]; a response body
/// ended early or was too slow.
#[derive(Debug)]
pub struct BodyAborted;

impl fmt::Display for BodyAborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the body ended early, exceeds the size limit or is too slow")
    }
}

impl std::error::Error for BodyAborted {}
