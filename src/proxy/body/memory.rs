//! The limit on the memory of all buffered bodies together.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The memory limit that all buffered bodies share.
pub struct BodyMemory {
    /// Bytes reserved at present.
    pub reserved: AtomicUsize,
    /// Maximum number of reserved bytes.
    pub max: usize,
}

impl BodyMemory {
    /// Creates a limit of `max` bytes.
    pub fn new(max: usize) -> Arc<Self> {
        Arc::new(Self { reserved: AtomicUsize::new(0), max })
    }

    /// Reserves `bytes` bytes, or returns `None` if the limit would be exceeded.
    pub fn try_reserve(self: &Arc<Self>, bytes: usize) -> Option<MemoryPermit> {
        let permit = MemoryPermit(self.clone(), bytes);
        let reserved_before = self.reserved.fetch_add(bytes, Ordering::Relaxed);
        (reserved_before + bytes <= self.max).then_some(permit)
    }
}

/// A reservation of a number of bytes of body memory, released on drop.
pub struct MemoryPermit(pub Arc<BodyMemory>, pub usize);

impl Drop for MemoryPermit {
    fn drop(&mut self) {
        self.0.reserved.fetch_sub(self.1, Ordering::Relaxed);
    }
}
