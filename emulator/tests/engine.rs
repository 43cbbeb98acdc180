//! The event queue and the slab of the virtual clock.

use fleet_emulator::engine::{Queue, SECOND, Slab};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

#[test]
fn events_are_popped_in_order_of_time_and_insertion() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut queue = Queue::new(7 * SECOND);
    let (mut expected, mut popped) = (Vec::new(), Vec::new());
    for number in 0..20_000_u64 {
        // Within one bucket, within the calendar, beyond the calendar, and up to 50 us in the past.
        let max_delay = [100_000, SECOND, 30 * SECOND][rng.random_range(0..3)];
        let at = (queue.now() + rng.random_range(0..max_delay)).saturating_sub(50_000);
        queue.push(at, number);
        expected.push((at.max(queue.now()), number));
        if number % 3 == 0 {
            let event = queue.pop().expect("more events are pushed than popped");
            popped.push((queue.now(), event));
        }
    }
    while let Some(event) = queue.pop() {
        popped.push((queue.now(), event));
    }
    assert!(popped.windows(2).all(|pair| pair[0].0 <= pair[1].0), "the clock went backwards");
    let same_time = popped.windows(2).filter(|pair| pair[0].0 == pair[1].0);
    assert!(
        same_time.into_iter().all(|pair| pair[0].1 < pair[1].1),
        "events of the same time were reordered"
    );
    expected.sort_unstable();
    popped.sort_unstable();
    assert_eq!(popped, expected, "each event is popped once, at its time");
    assert_eq!(queue.popped(), 20_000);
}

#[test]
fn a_key_is_invalid_after_its_slot_is_reused() {
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
