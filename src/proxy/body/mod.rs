//! Request and response bodies. A small body is buffered as a whole. A larger one is streamed with backpressure: the
//! next chunk is read only after the previous one was written, so that memory use does not grow with the body.

pub mod buffer;
pub mod memory;
pub mod request_body;
pub mod response_body;

use std::fmt;

/// Largest body, in bytes, that is buffered as a whole. A buffered request can be sent again. The outcome of a buffered
/// response is known before the client receives any of it. The latency of a longer response is that of its first bytes.
pub const MAX_BUFFERED_BODY: usize = 64 << 10;

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
