//! Streamed answers as upstreams write them: whole, slow, or without an end.

use super::process::UpstreamAction;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub const HEAD_WITHOUT_LENGTH: &str = "HTTP/1.1 200 OK\r\n\r\n";
pub const CHUNKED_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

pub fn head_with_length(length: usize) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n")
}

/// Bytes as one chunk.
pub fn chunk(bytes: &[u8]) -> Vec<u8> {
    [format!("{:x}\r\n", bytes.len()).as_bytes(), bytes, b"\r\n"].concat()
}

/// Writes this, and nothing more for as long as the peer listens.
pub fn stall_after(text: impl Into<Vec<u8>>) -> UpstreamAction {
    let text = text.into();
    UpstreamAction::Run(Arc::new(move |stream| {
        stream.write_all(&text).ok();
        until_closed(stream);
    }))
}

/// Writes this, and then a piece after each pause, for as long as the peer listens.
pub fn trickle_after(text: impl Into<Vec<u8>>, piece: impl Into<Vec<u8>>, pause: Duration) -> UpstreamAction {
    let (text, piece) = (text.into(), piece.into());
    UpstreamAction::Run(Arc::new(move |stream| {
        stream.write_all(&text).ok();
        while stream.write_all(&piece).is_ok() {
            std::thread::sleep(pause);
        }
    }))
}

/// Writes these pieces, with a pause before each but the first.
pub fn write_paced(pieces: Vec<Vec<u8>>, pause: Duration) -> UpstreamAction {
    write_paced_recording(pieces, pause, MaxDelay::default())
}

/// The same, and notes how late a piece was.
pub fn write_paced_recording(pieces: Vec<Vec<u8>>, pause: Duration, lateness: MaxDelay) -> UpstreamAction {
    UpstreamAction::Run(Arc::new(move |stream| {
        let mut written = Instant::now();
        for (at, piece) in pieces.iter().enumerate() {
            std::thread::sleep(if at > 0 { pause } else { Duration::ZERO });
            lateness.record(written.elapsed().saturating_sub(pause));
            if stream.write_all(piece).is_err() {
                return;
            }
            written = Instant::now();
        }
    }))
}

fn until_closed(stream: &mut TcpStream) {
    while stream.read(&mut [0; 512]).is_ok_and(|got| got > 0) {}
}

/// How late this machine does things, at most.
#[derive(Clone, Default)]
pub struct MaxDelay(Arc<Mutex<Duration>>);

impl MaxDelay {
    pub fn record(&self, late: Duration) {
        let worst = &mut *self.0.lock().unwrap();
        *worst = late.max(*worst);
    }

    pub fn max(&self) -> Duration {
        *self.0.lock().unwrap()
    }

    pub fn reset(&self) {
        *self.0.lock().unwrap() = Duration::ZERO;
    }
}
