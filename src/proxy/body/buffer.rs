//! Reads the start of a body into memory.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use tokio::time::{Instant, timeout_at};

/// What has come of a body.
pub struct Gathered {
    pub kept: Bytes,
    /// That is all of it.
    pub whole: bool,
}

/// Reads a body to its end, or until it is longer than `most`, or until it is time to pass on what there is.
pub async fn gather(
    body: &mut Incoming,
    most: usize,
    until: Option<Instant>,
) -> Result<Gathered, hyper::Error> {
    let mut kept = BytesMut::new();
    while kept.len() <= most {
        let frame = match until {
            None => body.frame().await,
            Some(until) => match timeout_at(until, body.frame()).await {
                Ok(frame) => frame,
                Err(_) => return Ok(Gathered { kept: kept.freeze(), whole: false }),
            },
        };
        match frame.transpose()?.map(Frame::into_data) {
            Some(Ok(data)) => kept.extend_from_slice(&data),
            Some(Err(_)) => {} // trailers end here
            None => return Ok(Gathered { kept: kept.freeze(), whole: true }),
        }
    }
    Ok(Gathered { kept: kept.freeze(), whole: false })
}
