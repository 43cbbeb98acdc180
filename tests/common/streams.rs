//! Streamed answers as upstreams write them: whole, slow, or without an end.

use super::process::Act;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub const UNKNOWN_LENGTH: &str = "HTTP/1.1 200 OK\r\n\r\n";
pub const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

pub fn known_length(length: usize) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n")
}

/// Bytes as one chunk.
pub fn chunk(bytes: &[u8]) -> Vec<u8> {
    [format!("{:x}\r\n", bytes.len()).as_bytes(), bytes, b"\r\n"].concat()
}

/// Writes this, and nothing more for as long as the peer listens.
pub fn stops_after(text: impl Into<Vec<u8>>) -> Act {
    let text = text.into();
    Act::Do(Arc::new(move |stream| {
        stream.write_all(&text).ok();
        until_closed(stream);
    }))
}

/// Writes this, and then a piece after each pause, for as long as the peer listens.
pub fn drips_after(text: impl Into<Vec<u8>>, piece: impl Into<Vec<u8>>, pause: Duration) -> Act {
    let (text, piece) = (text.into(), piece.into());
    Act::Do(Arc::new(move |stream| {
        stream.write_all(&text).ok();
        while stream.write_all(&piece).is_ok() {
            std::thread::sleep(pause);
        }
    }))
}

/// Writes these pieces, with a pause before each but the first.
pub fn paced(pieces: Vec<Vec<u8>>, pause: Duration) -> Act {
    paced_noting(pieces, pause, Lateness::default())
}

/// The same, and notes how late a piece was.
pub fn paced_noting(pieces: Vec<Vec<u8>>, pause: Duration, lateness: Lateness) -> Act {
    Act::Do(Arc::new(move |stream| {
        let mut written = Instant::now();
        for (at, piece) in pieces.iter().enumerate() {
            std::thread::sleep(if at > 0 { pause } else { Duration::ZERO });
            lateness.note(written.elapsed().saturating_sub(pause));
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
pub struct Lateness(Arc<Mutex<Duration>>);

impl Lateness {
    pub fn note(&self, late: Duration) {
        let worst = &mut *self.0.lock().unwrap();
        *worst = late.max(*worst);
    }

    pub fn worst(&self) -> Duration {
        *self.0.lock().unwrap()
    }

    pub fn forget(&self) {
        *self.0.lock().unwrap() = Duration::ZERO;
    }
}
