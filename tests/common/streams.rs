//! Response bodies as stand-in upstreams write them: complete, slow, or without an end.

use super::process::UpstreamAction;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The head of a response whose body ends with the connection.
pub const HEAD_WITHOUT_LENGTH: &str = "HTTP/1.1 200 OK\r\n\r\n";
/// The head of a response with a chunked body.
pub const CHUNKED_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// The head of a response with this Content-Length.
pub fn head_with_length(length: usize) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n")
}

/// Encodes bytes as one chunk.
pub fn chunk(bytes: &[u8]) -> Vec<u8> {
    [format!("{:x}\r\n", bytes.len()).as_bytes(), bytes, b"\r\n"].concat()
}

/// Writes this text, then nothing more until the peer closes.
pub fn stall_after(text: impl Into<Vec<u8>>) -> UpstreamAction {
    let text = text.into();
    UpstreamAction::Run(Arc::new(move |stream| {
        stream.write_all(&text).ok();
        read_until_closed(stream);
    }))
}

/// Writes this text, then a piece after each pause until the peer closes.
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

/// Like `write_paced`, and records by how much a pause was exceeded.
pub fn write_paced_recording(pieces: Vec<Vec<u8>>, pause: Duration, max_delay: MaxDelay) -> UpstreamAction {
    UpstreamAction::Run(Arc::new(move |stream| {
        let mut written = Instant::now();
        for (index, piece) in pieces.iter().enumerate() {
            std::thread::sleep(if index > 0 { pause } else { Duration::ZERO });
            max_delay.record(written.elapsed().saturating_sub(pause));
            if stream.write_all(piece).is_err() {
                return;
            }
            written = Instant::now();
        }
    }))
}

/// Reads and discards until the peer closes.
fn read_until_closed(stream: &mut TcpStream) {
    while stream.read(&mut [0; 512]).is_ok_and(|bytes_read| bytes_read > 0) {}
}

/// The longest delay that this machine has added to a scheduled write.
#[derive(Clone, Default)]
pub struct MaxDelay(Arc<Mutex<Duration>>);

impl MaxDelay {
    /// Records a delay.
    pub fn record(&self, delay: Duration) {
        let max = &mut *self.0.lock().unwrap();
        *max = delay.max(*max);
    }

    /// The longest delay recorded since the last reset.
    pub fn max(&self) -> Duration {
        *self.0.lock().unwrap()
    }

    /// Forgets the recorded delays.
    pub fn reset(&self) {
        *self.0.lock().unwrap() = Duration::ZERO;
    }
}

/// An upstream that reads each request's body to its end. It writes a long response to a request with the header
/// `X-Long`, as fast as the connection takes it, and a short one to any other.
pub struct LongResponses {
    pub address: SocketAddr,
}

impl LongResponses {
    /// Length of a long response, in bytes.
    const LENGTH: usize = 16 << 20;

    /// Listens on a free port until the test ends.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                std::thread::Builder::new()
                    .stack_size(128 << 10)
                    .spawn(move || Self::serve(&stream))
                    .unwrap();
            }
        });
        Self { address }
    }

    /// Serves the requests of one connection until it is closed.
    fn serve(stream: &TcpStream) -> Option<()> {
        let mut output = stream.try_clone().ok()?;
        let mut input = BufReader::with_capacity(8 << 10, stream);
        let piece = vec![b'x'; 16 << 10];
        loop {
            let (mut is_long, mut body_length, mut is_chunked) = (false, 0, false);
            let mut line = String::new();
            while input.read_line(&mut line).ok()? > 2 {
                let field = line.to_lowercase();
                is_long |= field.starts_with("x-long:");
                is_chunked |= field.starts_with("transfer-encoding:");
                if let Some(length) = field.strip_prefix("content-length:") {
                    body_length = length.trim().parse().ok()?;
                }
                line.clear();
            }
            if line.is_empty() {
                return None; // the connection is closed
            }
            if is_chunked {
                skip_chunks(&mut input)?;
            }
            std::io::copy(&mut (&mut input).take(body_length), &mut std::io::sink()).ok()?;
            let length = if is_long { Self::LENGTH } else { 2 };
            output.write_all(head_with_length(length).as_bytes()).ok()?;
            for _ in 0..length.div_ceil(piece.len()) {
                output.write_all(&piece[..length.min(piece.len())]).ok()?;
            }
        }
    }
}

/// Reads a chunked body to its end, and discards it.
fn skip_chunks(input: &mut impl BufRead) -> Option<()> {
    loop {
        let mut line = String::new();
        input.read_line(&mut line).ok()?;
        let size = u64::from_str_radix(line.trim(), 16).ok()?;
        std::io::copy(&mut (&mut *input).take(size + 2), &mut std::io::sink()).ok()?;
        if size == 0 {
            return Some(());
        }
    }
}
