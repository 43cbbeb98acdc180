//! Reads the start of a body into memory.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use tokio::time::{Instant, timeout_at};

/// The part of a body that was received.
pub struct BufferedBody {
    pub buffered: Bytes,
    /// Whether that is the whole body.
    pub complete: bool,
}

/// Reads a body until it ends, exceeds `most` bytes or the time `until` has come.
pub async fn buffer_body(
    body: &mut Incoming,
    most: usize,
    until: Option<Instant>,
) -> Result<BufferedBody, hyper::Error> {
    let mut buffered = BytesMut::new();
    while buffered.len() <= most {
        let frame = match until {
            None => body.frame().await,
            Some(until) => match timeout_at(until, body.frame()).await {
                Ok(frame) => frame,
                Err(_) => return Ok(BufferedBody { buffered: buffered.freeze(), complete: false }),
            },
        };
        match frame.transpose()?.map(Frame::into_data) {
            Some(Ok(data)) => buffered.extend_from_slice(&data),
            Some(Err(_)) => {} // trailers end here
            None => return Ok(BufferedBody { buffered: buffered.freeze(), complete: true }),
        }
    }
    Ok(BufferedBody { buffered: buffered.freeze(), complete: false })
}
