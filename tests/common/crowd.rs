//! A crowd of client connections that write and read slowly, stop, and come back, as drawn from a seed.

use fastrand::Rng;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Largest request head that the balancer accepts, in bytes.
const MAX_HEAD: usize = 8 << 10;
/// Time after which a peer whose connection has ended connects again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(200);
/// Most bytes that a peer writes at once.
const MAX_WRITE: usize = 64 << 10;

/// How a request's body is framed.
#[derive(Clone, Debug)]
pub enum Body {
    /// A GET request without a body; its response is long if the flag is set.
    None { long_response: bool },
    /// This many bytes are announced, and this many are sent.
    Length { announced: usize, sent: usize },
    /// Chunks of this size, up to this many bytes in all, without an end.
    Chunks { size: usize, sent: usize },
}

/// What a peer sends and how fast, and how fast it reads.
#[derive(Clone, Debug)]
pub struct PeerKind {
    /// Number of additional header fields.
    pub fields: usize,
    /// Length of the value of each additional field.
    pub value_length: usize,
    /// Whether the head is sent to its end.
    pub complete_head: bool,
    pub body: Body,
    /// Bytes written at once, and the pause after them.
    pub write_size: usize,
    pub write_pause: Duration,
    /// Bytes read at once, and the pause after them.
    pub read_size: usize,
    pub read_pause: Duration,
}

impl PeerKind {
    /// A peer that sends what it has at once, and reads at once.
    fn fast(fields: usize, body: Body) -> Self {
        Self {
            fields,
            value_length: 8,
            complete_head: true,
            body,
            write_size: MAX_WRITE,
            write_pause: Duration::ZERO,
            read_size: MAX_WRITE,
            read_pause: Duration::ZERO,
        }
    }

    /// A head with this many short fields, written in small pieces.
    pub fn slow_head(fields: usize) -> Self {
        let body = Body::None { long_response: false };
        Self { write_size: 100, write_pause: Duration::from_millis(100), ..Self::fast(fields, body) }
    }

    /// A body that stops before its end.
    pub fn stopped_body(fields: usize, announced: usize, sent: usize) -> Self {
        Self::fast(fields, Body::Length { announced, sent })
    }

    /// A body in chunks of one byte, without an end.
    pub fn tiny_chunks(fields: usize) -> Self {
        let body = Body::Chunks { size: 1, sent: 1 << 20 };
        Self { write_size: 600, write_pause: Duration::from_millis(20), ..Self::fast(fields, body) }
    }

    /// A long response that is read at 64 kB per second.
    pub fn slow_reader(fields: usize) -> Self {
        let read_pause = Duration::from_millis(250);
        Self { read_size: 16_000, read_pause, ..Self::fast(fields, Body::None { long_response: true }) }
    }

    /// A kind drawn at random.
    pub fn random(random: &mut Rng) -> Self {
        let fields = [0, 20, 60, 90][random.usize(..4)];
        let body = match random.usize(..4) {
            0 => Body::None { long_response: false },
            1 => Body::None { long_response: true },
            2 => {
                let announced = [3_000, 60_000, 300_000, 16_000_000][random.usize(..4)];
                Body::Length { announced, sent: random.usize(..announced.min(400_000)) }
            }
            _ => Body::Chunks { size: [1, 100, 9000][random.usize(..3)], sent: random.usize(..400_000) },
        };
        let slow = Duration::from_millis(random.u64(10..300));
        Self {
            fields,
            value_length: random.usize(1..60),
            complete_head: random.usize(..4) > 0,
            body,
            write_size: [50, 1500, MAX_WRITE][random.usize(..3)],
            write_pause: [Duration::ZERO, slow][random.usize(..2)],
            read_size: [1000, 16_000][random.usize(..2)],
            read_pause: slow,
        }
    }

    /// The bytes that a peer of this kind sends.
    fn text(&self, id: &str) -> Vec<u8> {
        let (method, class, framing) = match &self.body {
            Body::None { long_response: false } => ("GET", "look", String::new()),
            Body::None { long_response: true } => ("GET", "look", "X-Long: 1\r\n".into()),
            Body::Length { announced, .. } => ("POST", "post", format!("Content-Length: {announced}\r\n")),
            Body::Chunks { .. } => ("POST", "post", "Transfer-Encoding: chunked\r\n".into()),
        };
        let mut head = format!(
            "{method} /{class} HTTP/1.1\r\nHost: b\r\nX-Call-Id: {id}\r\nX-Call-Class: {class}\r\n\
             X-Caller: acme\r\nX-Budget: 10\r\n{framing}"
        );
        for field in 0..self.fields {
            let line = format!("f{field:x}: {}\r\n", "v".repeat(self.value_length));
            if head.len() + line.len() + 2 < MAX_HEAD {
                head.push_str(&line);
            }
        }
        let mut text = head.into_bytes();
        if !self.complete_head {
            return text;
        }
        text.extend(b"\r\n");
        match self.body {
            Body::None { .. } => {}
            Body::Length { sent, .. } => text.resize(text.len() + sent, b'x'),
            Body::Chunks { size, sent } => {
                let chunk = [format!("{size:x}\r\n").into_bytes(), vec![b'x'; size], b"\r\n".into()].concat();
                (0..sent / size.max(4)).for_each(|_| text.extend(&chunk));
            }
        }
        text
    }
}

/// One connection of the crowd.
struct Peer {
    kind: PeerKind,
    stream: Option<TcpStream>,
    unsent: Vec<u8>,
    next_write: Instant,
    next_read: Instant,
    next_connect: Instant,
}

impl Peer {
    /// Connects if necessary, and writes and reads what is due.
    fn advance(&mut self, address: SocketAddr, id: &str) {
        let now = Instant::now();
        if self.stream.is_none() && now >= self.next_connect {
            self.connect(address, id);
        }
        let Some(stream) = &mut self.stream else { return };
        let mut is_open = true;
        if now >= self.next_write && !self.unsent.is_empty() {
            let length = self.unsent.len().min(self.kind.write_size);
            match stream.write(&self.unsent[..length]) {
                Ok(written) => {
                    self.unsent.drain(..written);
                    self.next_write = now + self.kind.write_pause;
                }
                Err(error) => is_open &= error.kind() == std::io::ErrorKind::WouldBlock,
            }
        }
        if now >= self.next_read {
            match stream.read(&mut vec![0; self.kind.read_size]) {
                Ok(length) => is_open &= length > 0,
                Err(error) => is_open &= error.kind() == std::io::ErrorKind::WouldBlock,
            }
            self.next_read = now + self.kind.read_pause;
        }
        if !is_open {
            self.stream = None;
            self.next_connect = now + RECONNECT_PAUSE;
        }
    }

    fn connect(&mut self, address: SocketAddr, id: &str) {
        self.next_connect = Instant::now() + RECONNECT_PAUSE;
        let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(20)) else { return };
        stream.set_nonblocking(true).unwrap();
        self.unsent = self.kind.text(id);
        self.stream = Some(stream);
    }
}

/// A crowd that is kept up until it is dropped.
pub struct Crowd {
    stopped: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Crowd {
    /// Connects this many peers at once, of these kinds in turn.
    pub fn start(address: SocketAddr, size: usize, kinds: Vec<PeerKind>, seed: u64) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let is_stopped = stopped.clone();
        let thread = std::thread::spawn(move || {
            let now = Instant::now();
            let mut peers: Vec<Peer> = (0..size)
                .map(|number| Peer {
                    kind: kinds[number % kinds.len()].clone(),
                    stream: None,
                    unsent: Vec::new(),
                    next_write: now,
                    next_read: now,
                    next_connect: now,
                })
                .collect();
            let mut next_id = 0;
            while !is_stopped.load(Ordering::Relaxed) {
                for peer in &mut peers {
                    next_id += 1;
                    peer.advance(address, &format!("c{seed:x}{next_id:x}"));
                }
                std::thread::sleep(Duration::from_millis(1));
            }
        });
        Self { stopped, thread: Some(thread) }
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        self.thread.take().map(JoinHandle::join);
    }
}
