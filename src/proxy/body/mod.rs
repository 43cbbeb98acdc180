//! Request and response bodies. A small body is buffered as a whole. A larger one is streamed with backpressure: the
//! next chunk is read only after the previous one was written, so that memory use does not grow with the body.

pub mod buffer;
pub mod memory;
pub mod request_body;
pub mod response_body;

use std::fmt;

/// Largest body, in bytes, that is buffered as a whole: a request, so that it can be sent again; a response, so that
/// its outcome is known before the client receives any of it. The latency of a longer response is that of its first
/// bytes.
pub const MAX_BUFFERED_BODY: usize = 64 << 10;

/// Largest body of a request or response, in bytes.
pub const MAX_BODY: u64 = 34 << 20;

/// A body ended early or exceeded the size limit.
#[derive(Debug)]
pub struct BodyAborted;

impl fmt::Display for BodyAborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the body was aborted or exceeds the size limit")
    }
}

impl std::error::Error for BodyAborted {}
