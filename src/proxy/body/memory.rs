//! The memory that bodies may fill, all together.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The memory that bodies may fill, all together.
pub struct Budget {
    pub held: AtomicUsize,
    pub most: usize,
}

impl Budget {
    pub fn new(most: usize) -> Arc<Self> {
        Arc::new(Self { held: AtomicUsize::new(0), most })
    }

    /// Takes so many bytes, if they are left.
    pub fn take(self: &Arc<Self>, bytes: usize) -> Option<Room> {
        let room = Room(self.clone(), bytes);
        let before = self.held.fetch_add(bytes, Ordering::Relaxed);
        (before + bytes <= self.most).then_some(room)
    }
}

/// Bytes taken from the budget; dropping it gives them back.
pub struct Room(pub Arc<Budget>, pub usize);

impl Drop for Room {
    fn drop(&mut self) {
        self.0.held.fetch_sub(self.1, Ordering::Relaxed);
    }
}
