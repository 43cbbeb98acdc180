//! Limits the pieces of a streamed body that wait in hyper's write queue.
//!
//! hyper takes pieces until its queue holds the size of its read buffer, and each piece keeps the whole buffer that it
//! was read into. The body therefore holds the next piece back until the socket has taken the previous ones.

use crate::proxy::sync::lock;
use bytes::Bytes;
use std::sync::Mutex;
use std::task::{Context, Poll, Waker};

/// While at least this many bytes wait to be written, no further piece is handed to hyper.
const MAX_WAITING_BYTES: usize = 4 << 10;

/// The bytes of a streamed body that hyper has taken and the socket has not. The body and the socket share it.
#[derive(Default)]
pub struct WriteBackpressure {
    state: Mutex<WaitingBytes>,
}

#[derive(Default)]
struct WaitingBytes {
    /// Number of bytes that hyper has taken since its queue was last empty.
    count: usize,
    /// Wakes the task that waits to hand over the next piece.
    waker: Option<Waker>,
}

impl WriteBackpressure {
    /// Becomes ready once the next piece may be handed to hyper.
    pub fn poll_ready(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut state = lock(&self.state);
        if state.count < MAX_WAITING_BYTES {
            return Poll::Ready(());
        }
        state.waker = Some(cx.waker().clone());
        Poll::Pending
    }

    /// Records that hyper gets a piece. Returns the piece as it is to be handed over: a small one is copied, as it would
    /// keep a whole read buffer.
    pub fn hand_over(&self, piece: Bytes) -> Bytes {
        lock(&self.state).count += piece.len();
        match piece.len() < MAX_WAITING_BYTES {
            true => Bytes::copy_from_slice(&piece),
            false => piece,
        }
    }

    /// Records that the socket has taken everything that hyper had to write.
    pub fn on_flushed(&self) {
        let mut state = lock(&self.state);
        state.count = 0;
        state.waker.take().into_iter().for_each(Waker::wake);
    }
}
