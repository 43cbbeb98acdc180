//! Tests of the memory budget.

use super::*;

/// The least memory that the platform grants, in bytes.
const MEMORY: usize = 32_000_000;

/// A budget of the least memory, without live allocations.
fn budget() -> Arc<MemoryBudget> {
    MemoryBudget::new(&Limits { clients: 651, upstreams: 1 << 20, memory: MEMORY }, || 0)
}

/// Reserves streams until no more fit.
fn fill_with_streams(budget: &Arc<MemoryBudget>, stream: Stream) -> Vec<MemoryPermit> {
    std::iter::from_fn(|| budget.try_reserve_stream(stream)).collect()
}

/// Guards short requests against streams that use up all memory.
#[test]
fn streams_leave_memory_for_the_buffers_of_short_requests() {
    let budget = budget();
    let streams = fill_with_streams(&budget, Stream::Response);
    assert!(!streams.is_empty());
    let mut buffer = budget.buffer_permit();
    let share = MEMORY / SHORT_REQUEST_SHARE_DIVISOR - MEMORY / HEAD_SHARE_DIVISOR;
    assert!(buffer.try_grow(share - RESPONSE_STREAM_BYTES));
    assert!(!buffer.try_grow(MEMORY));
    assert!(budget.try_reserve_request(INCLUDED_FIELDS).is_some(), "the rest is left to the heads");
}

/// Guards against a limit that shrinks with each reservation that is not released.
#[test]
fn released_memory_can_be_reserved_again() {
    let budget = budget();
    for stream in [Stream::Request, Stream::Response] {
        let first_count = fill_with_streams(&budget, stream).len();
        let connection = budget.reserve_connection(REQUEST_STREAM_BYTES);
        assert!(fill_with_streams(&budget, stream).len() < first_count);
        drop(connection);
        assert_eq!(fill_with_streams(&budget, stream).len(), first_count);
    }
    assert_eq!(lock(&budget.reservations).total, 0);
}

/// Guards against a kill for memory while one process replaces another: the two have one limit.
#[test]
fn two_processes_share_the_memory() {
    let budget = budget();
    let alone = fill_with_streams(&budget, Stream::Response).len() * RESPONSE_STREAM_BYTES;
    budget.set_shared(true);
    let shared = fill_with_streams(&budget, Stream::Response).len() * RESPONSE_STREAM_BYTES;
    assert!(2 * (shared + PROCESS_BYTES) <= MEMORY, "{shared} of {alone} bytes");
    budget.set_shared(false);
    assert_eq!(fill_with_streams(&budget, Stream::Response).len() * RESPONSE_STREAM_BYTES, alone);
}

/// Guards against streams that are rejected although memory is released while they wait.
#[tokio::test]
async fn a_stream_waits_for_the_memory_of_another_one() {
    let budget = budget();
    let mut streams = fill_with_streams(&budget, Stream::Response);
    let deadline = Instant::now() + Duration::from_secs(30);
    let waiting: Vec<_> = (0..2)
        .map(|_| {
            let budget = budget.clone();
            tokio::spawn(async move { budget.reserve_stream(Stream::Response, deadline).await.is_some() })
        })
        .collect();
    budget.wait_for_shortage().await;
    assert!(waiting.iter().all(|task| !task.is_finished()));
    streams.truncate(streams.len() - 2);
    for task in waiting {
        assert!(task.await.unwrap());
    }
}

/// Guards the time of a final response: a stream does not wait for longer than its request can.
#[tokio::test]
async fn a_stream_that_does_not_fit_in_time_gets_no_memory() {
    let budget = budget();
    let _streams = fill_with_streams(&budget, Stream::Response);
    let deadline = Instant::now() + Duration::from_millis(20);
    assert!(budget.reserve_stream(Stream::Response, deadline).await.is_none());
    assert!(Instant::now() >= deadline);
}

/// Guards against peers that make the process allocate more than it has reserved for them.
#[test]
fn nothing_begins_once_the_live_allocations_reach_the_limit() {
    let budget = MemoryBudget::new(&Limits { clients: 651, upstreams: 341, memory: MEMORY }, || MEMORY);
    assert!(budget.try_reserve_request(0).is_none());
    assert!(budget.try_reserve_stream(Stream::Request).is_none());
    assert!(!budget.has_room_for_connection(1));
    assert!(!budget.buffer_permit().try_grow(1));
}

/// Guards short requests against streams that use all connections to upstreams.
#[test]
fn streams_leave_connections_to_short_requests() {
    let budget = MemoryBudget::new(&Limits { clients: 651, upstreams: 64, memory: 6 * MEMORY }, || 0);
    assert_eq!(fill_with_streams(&budget, Stream::Response).len(), 58);
}
