//! The queue of events and the places of what is under way.

use fleet_emulator::engine::{Queue, SECOND, Slab};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

#[test]
fn events_come_in_the_order_of_time_and_of_arrival() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut queue = Queue::new(7 * SECOND);
    let (mut expected, mut came) = (Vec::new(), Vec::new());
    for number in 0..20_000_u64 {
        // Within a bucket, within the calendar, beyond it, and in the past.
        let span = [100_000, SECOND, 30 * SECOND][rng.random_range(0..3)];
        let at = (queue.now() + rng.random_range(0..span)).saturating_sub(50_000);
        queue.push(at, number);
        expected.push((at.max(queue.now()), number));
        if number % 3 == 0 {
            let event = queue.pop().expect("more is put in than taken out");
            came.push((queue.now(), event));
        }
    }
    while let Some(event) = queue.pop() {
        came.push((queue.now(), event));
    }
    assert!(came.windows(2).all(|pair| pair[0].0 <= pair[1].0), "the clock went back");
    let same_time = came.windows(2).filter(|pair| pair[0].0 == pair[1].0);
    assert!(same_time.into_iter().all(|pair| pair[0].1 < pair[1].1), "events of one time changed places");
    expected.sort_unstable();
    came.sort_unstable();
    assert_eq!(came, expected, "each event comes once, at its time");
    assert_eq!(queue.popped(), 20_000);
}

#[test]
fn a_key_names_nothing_once_its_place_is_taken_again() {
    let mut slab = Slab::default();
    let first = slab.insert("first");
    assert_eq!(slab.remove(first), Some("first"));
    let second = slab.insert("second");
    assert_eq!(slab.get(first), None);
    assert_eq!(slab.remove(first), None);
    assert_eq!(slab.get(second), Some(&"second"));
    assert_eq!(slab.keys(|_| true), vec![second]);
    assert_eq!(slab.len(), 1);
}
