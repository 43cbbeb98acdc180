//! The memory that the heap holds, as the global allocator counts it.

use stats_alloc::INSTRUMENTED_SYSTEM;

/// Most bytes that the system's allocator adds to one allocation: its header, and rounding up to its smallest size.
const ALLOCATION_OVERHEAD: usize = 24;

/// The bytes that the live allocations take, their overhead included.
pub fn live_bytes() -> usize {
    let stats = INSTRUMENTED_SYSTEM.stats();
    let bytes = stats.bytes_allocated.saturating_sub(stats.bytes_deallocated);
    let allocations = stats.allocations.saturating_sub(stats.deallocations);
    bytes + allocations * ALLOCATION_OVERHEAD
}
