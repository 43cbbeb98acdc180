//! The limit of responses past the deadline of their requests, on virtual time: which responses are ended, and when.

use balancer::decision::{
    FINAL_RESPONSE_DELAY, MAX_PAUSE, MAX_RESPONSE_SILENCE, MAX_SHORT_RESPONSE, PauseTolerance,
    REDUCED_MAX_PAUSE, ResponseLimit, Time,
};
use proptest::prelude::*;

const MS: u64 = 1_000_000;
const SECOND: u64 = 1000 * MS;
/// The upstreams of endless responses give up after this time.
const LONGEST_RESPONSE: Time = 60 * SECOND;

/// A response whose upstream sends a piece of `piece` bytes, then another one after each pause.
#[derive(Clone, Copy, Debug)]
struct Response {
    /// The bytes that are sent together with the first piece.
    first_bytes: u64,
    first_at: Time,
    piece: u64,
    pause: u64,
    /// The number of bytes after which the response is complete.
    length: u64,
}

/// When a response of unknown length is ended; `None` if it is complete before that.
fn ended_at(response: Response, deadline: Time, pause_tolerance: PauseTolerance) -> Option<Time> {
    let mut received = response.first_bytes + response.piece;
    let mut limit = ResponseLimit::new(Some(deadline), received, None, pause_tolerance);
    let mut now = response.first_at;
    while received < response.length {
        let end = limit.end(now);
        let next = now + response.pause;
        if end <= next || next > LONGEST_RESPONSE {
            return Some(end);
        }
        limit.on_received(Some(now), next, response.piece);
        received += response.piece;
        now = next;
    }
    None
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: std::env::var("RESPONSE_LIMIT_CASES").map_or(4000, |cases| cases.parse().unwrap()),
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_206),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards long responses of unknown length: one of 10 kB a second and more was cut off in a pause.
    #[test]
    fn a_response_of_10_kb_a_second_is_not_ended(
        deadline in 50 * MS..3 * SECOND,
        first in 0.0..0.99_f64,
        pause in 2 * MS..2900 * MS,
        rate in 10_000..500_000_u64,
    ) {
        let piece = (rate * pause).div_ceil(SECOND);
        let first_at = (deadline as f64 * first) as Time;
        let response = Response { first_bytes: 0, first_at, piece, pause, length: 4 * MAX_SHORT_RESPONSE };
        prop_assert_eq!(ended_at(response, deadline, PauseTolerance::Full), None);
    }

    /// Guards the end of responses that trickle: one of a few kB a second kept its client for ever.
    #[test]
    fn a_response_that_trickles_ends_soon_after_the_deadline(
        deadline in 50 * MS..3 * SECOND,
        first in 0.0..1.0_f64,
        pause in MS..2 * SECOND,
        rate in 1..4000_u64,
    ) {
        let piece = (rate * pause / SECOND).clamp(1, 2000);
        prop_assume!(piece * SECOND / pause <= 4000);
        let first_at = (deadline as f64 * first) as Time;
        let response = Response { first_bytes: 0, first_at, piece, pause, length: u64::MAX };
        for tolerance in [PauseTolerance::Full, PauseTolerance::Reduced] {
            let end = ended_at(response, deadline, tolerance).expect("the response is ended");
            prop_assert!(end >= deadline + FINAL_RESPONSE_DELAY);
            prop_assert!(end <= deadline + FINAL_RESPONSE_DELAY + 100 * MS, "ended {} ms late", (end - deadline) / MS);
        }
    }

    /// Guards the end of a response that was taken for a long one and then trickles or stops.
    #[test]
    fn a_burst_that_trickles_on_is_ended_in_the_end(
        deadline in 50 * MS..3 * SECOND,
        first_bytes in 1000..30_000_u64,
        pause in MS..SECOND,
        rate in 0..2000_u64,
    ) {
        let piece = rate * pause / SECOND;
        let response = Response { first_bytes, first_at: 20 * MS, piece, pause, length: u64::MAX };
        for (tolerance, max_pause) in
            [(PauseTolerance::Full, MAX_PAUSE), (PauseTolerance::Reduced, REDUCED_MAX_PAUSE)]
        {
            let end = ended_at(response, deadline, tolerance).expect("the response is ended");
            // At 2 kB a second, the bucket drains at three fifths of a second a second.
            let longest = 20 * MS + 2 * max_pause;
            prop_assert!(end <= longest.max(deadline + FINAL_RESPONSE_DELAY + 400 * MS), "ended after {} ms", end / MS);
        }
    }
}

/// Guards responses of known length: a short one ends soon after the deadline at any rate, a long one may pause.
#[test]
fn a_known_length_decides() {
    let deadline = SECOND;
    let short = ResponseLimit::new(Some(deadline), 60_000, Some(MAX_SHORT_RESPONSE), PauseTolerance::Full);
    assert_eq!(short.end(0), deadline + FINAL_RESPONSE_DELAY);
    let long = ResponseLimit::new(Some(deadline), 0, Some(MAX_SHORT_RESPONSE + 1), PauseTolerance::Full);
    assert_eq!(long.end(deadline), deadline + MAX_RESPONSE_SILENCE);
    let unknown = ResponseLimit::new(Some(deadline), MAX_SHORT_RESPONSE + 1, None, PauseTolerance::Full);
    assert_eq!(unknown.end(deadline), deadline + MAX_RESPONSE_SILENCE);
}

/// Guards clients that read slowly: only the time spent waiting for the upstream counts.
#[test]
fn the_time_of_a_slow_client_does_not_count() {
    let deadline = 100 * MS;
    let mut limit = ResponseLimit::new(Some(deadline), 100, None, PauseTolerance::Full);
    for second in 1..20 {
        let now = second * SECOND;
        limit.on_received(Some(now), now + MS, 1);
    }
    let waited = 19 * MS;
    assert_eq!(limit.end(20 * SECOND), 20 * SECOND + FINAL_RESPONSE_DELAY - waited);
}

/// Guards responses to requests whose deadline is not known: they end after a long silence only.
#[test]
fn without_a_deadline_only_silence_ends_a_response() {
    let limit = ResponseLimit::new(None, 1, None, PauseTolerance::Reduced);
    assert_eq!(limit.end(SECOND), SECOND + MAX_RESPONSE_SILENCE);
}
