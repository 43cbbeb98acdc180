//! Reads the start of a body into memory.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use tokio::time::{Instant, timeout_at};

/// The buffered start of a body.
pub struct BufferedBody {
    /// The bytes received so far.
    pub buffered: Bytes,
    /// Whether `buffered` is known to be the whole body.
    pub complete: bool,
}

/// Buffers a body until it ends, more than `max_bytes` are buffered, or the deadline has passed.
pub async fn buffer_body(
    body: &mut Incoming,
    max_bytes: usize,
    deadline: Option<Instant>,
) -> Result<BufferedBody, hyper::Error> {
    let mut buffered = BytesMut::new();
    while buffered.len() <= max_bytes {
        let frame = match deadline {
            None => body.frame().await,
            Some(deadline) => match timeout_at(deadline, body.frame()).await {
                Ok(frame) => frame,
                Err(_) => return Ok(BufferedBody { buffered: buffered.freeze(), complete: false }),
            },
        };
        match frame.transpose()?.map(Frame::into_data) {
            Some(Ok(data)) => buffered.extend_from_slice(&data),
            Some(Err(_)) => {} // trailers are not forwarded
            None => return Ok(BufferedBody { buffered: buffered.freeze(), complete: true }),
        }
    }
    Ok(BufferedBody { buffered: buffered.freeze(), complete: false })
}
