//! Tests of the estimate when a request was written.

use super::*;

const MIB: u64 = 1 << 20;

/// Positions with this many bytes read and received of a request that ends there.
fn positions(read: u64, received: u64, end: RequestEnd) -> Positions {
    Positions { read, received, end }
}

#[test]
fn a_request_that_waits_in_the_receive_buffer_is_complete() {
    let now = Instant::now();
    let mut tracker = ArrivalTracker::new(now);
    let arrival = tracker.assess(positions(MIB, 2 * MIB, RequestEnd::At(2 * MIB)), false, now);
    assert_eq!(arrival, Arrival::CompleteSince(now));
}

#[test]
fn a_request_may_be_complete_since_the_queue_was_last_empty() {
    let start = Instant::now();
    let later = start + Duration::from_secs(1);
    for end in [RequestEnd::Unknown, RequestEnd::Later, RequestEnd::At(3 * MIB)] {
        let mut tracker = ArrivalTracker::new(start);
        let full = positions(MIB, MIB + 200_000, end);
        assert_eq!(tracker.assess(full, false, later), Arrival::PossibleSince(start));
        tracker.record_read(MIB + 200_000, true, later);
        assert_eq!(
            tracker.assess(full, false, later + Duration::from_secs(1)),
            Arrival::PossibleSince(later)
        );
    }
}

#[test]
fn a_request_that_is_waited_for_is_incomplete() {
    let start = Instant::now();
    let later = start + Duration::from_secs(1);
    let mut tracker = ArrivalTracker::new(start);
    assert_eq!(
        tracker.assess(positions(MIB, MIB, RequestEnd::Unknown), true, later),
        Arrival::PossibleSince(later)
    );
}

#[test]
fn a_request_with_more_to_come_than_buffers_hold_is_incomplete() {
    let start = Instant::now();
    let later = start + Duration::from_secs(1);
    let mut tracker = ArrivalTracker::new(start);
    let far_from_end = positions(MIB, MIB + 200_000, RequestEnd::At(20 * MIB));
    assert_eq!(tracker.assess(far_from_end, false, later), Arrival::PossibleSince(later));
}

/// A chunked request of which more is read all the time cannot have been written long ago.
#[test]
fn a_request_of_unknown_length_that_is_read_steadily_was_written_lately() {
    let start = Instant::now();
    let mut tracker = ArrivalTracker::new(start);
    let at = |second: u64| start + Duration::from_secs(second);
    for second in 1..=20 {
        tracker.record_read(second * MIB, false, at(second));
    }
    let Arrival::PossibleSince(since) =
        tracker.assess(positions(20 * MIB, 20 * MIB + 1, RequestEnd::Unknown), false, at(20))
    else {
        panic!("the end is not known")
    };
    assert!(since >= at(14) && since < at(16), "{:?}", since - start);
}

/// A client that sends less than the window takes has nothing in its send buffer.
#[test]
fn a_request_whose_window_stays_open_is_incomplete() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    for (end, expected) in
        [(RequestEnd::At(3 * MIB), at(50)), (RequestEnd::Later, at(50)), (RequestEnd::Unknown, start)]
    {
        let mut tracker = ArrivalTracker::new(start);
        for millis in [25, 50] {
            tracker.assess(positions(MIB, MIB + 1000, end), false, at(millis));
        }
        let arrival = tracker.assess(positions(MIB, MIB + 200_000, end), false, at(75));
        assert_eq!(arrival, Arrival::PossibleSince(expected), "{end:?}");
    }
}

/// Guards against memory that grows for as long as a connection is used.
#[test]
fn a_connection_keeps_few_checkpoints() {
    let start = Instant::now();
    let mut tracker = ArrivalTracker::new(start);
    for mebibyte in 0..10_000 {
        tracker.record_read(mebibyte * MIB, false, start);
    }
    let max_checkpoints = MAX_UNREAD / CHECKPOINT_DISTANCE + 2;
    assert!(tracker.checkpoints.len() as u64 <= max_checkpoints, "{}", tracker.checkpoints.len());
}
