//! The virtual clock with its queue of events, and the places of what is under way.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// A point on the virtual clock, in nanoseconds.
pub type Time = u64;
/// Nanoseconds in a second.
pub const SECOND: Time = 1_000_000_000;

/// Nanoseconds of so many seconds; what is negative or no number is none.
pub fn seconds(seconds: f64) -> Time {
    (seconds * 1e9) as Time
}

/// Nanoseconds of so many milliseconds.
pub fn millis(millis: f64) -> Time {
    (millis * 1e6) as Time
}

/// Width of a bucket of the calendar as a power of two of nanoseconds: a quarter of a millisecond.
const BUCKET_WIDTH_BITS: u32 = 18;
/// Buckets of the calendar: they span over four seconds, in which nearly all timers fall.
const BUCKET_COUNT: u64 = 1 << 14;

#[derive(Clone, Copy, Debug)]
struct ScheduledEvent<E> {
    at: Time,
    /// Events of one time come in the order in which they were put in.
    sequence: u64,
    event: E,
}

impl<E> ScheduledEvent<E> {
    fn bucket(&self) -> u64 {
        self.at >> BUCKET_WIDTH_BITS
    }
}

impl<E> PartialEq for ScheduledEvent<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<E> Eq for ScheduledEvent<E> {}

impl<E> PartialOrd for ScheduledEvent<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for ScheduledEvent<E> {
    /// The earliest is the greatest, as a heap gives out the greatest.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

/// A calendar queue: events in the order of their times, and of their arrival for one time.
///
/// Only the events of the bucket that is open are kept in order: with hundreds of thousands of timers ahead,
/// one heap for all of them would miss the cache at each step.
#[derive(Debug)]
pub struct Queue<E> {
    now: Time,
    /// Number of the first bucket that is not open yet.
    next_bucket: u64,
    current: BinaryHeap<ScheduledEvent<E>>,
    calendar: Vec<Vec<ScheduledEvent<E>>>,
    calendar_len: usize,
    overflow: BinaryHeap<ScheduledEvent<E>>,
    pushed: u64,
    popped: u64,
}

impl<E: Copy> Queue<E> {
    /// An empty queue whose clock stands at `now`.
    pub fn new(now: Time) -> Self {
        Self {
            now,
            next_bucket: now >> BUCKET_WIDTH_BITS,
            current: BinaryHeap::new(),
            calendar: (0..BUCKET_COUNT).map(|_| Vec::new()).collect(),
            calendar_len: 0,
            overflow: BinaryHeap::new(),
            pushed: 0,
            popped: 0,
        }
    }

    /// The clock: the time of the event that came last.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Events that have come.
    pub fn popped(&self) -> u64 {
        self.popped
    }

    /// Puts in an event at a time; one that has passed is now.
    pub fn push(&mut self, at: Time, event: E) {
        let entry = ScheduledEvent { at: at.max(self.now), sequence: self.pushed, event };
        self.pushed += 1;
        self.enqueue(entry);
    }

    fn enqueue(&mut self, entry: ScheduledEvent<E>) {
        let bucket = entry.bucket();
        if bucket < self.next_bucket {
            self.current.push(entry);
        } else if bucket < self.next_bucket + BUCKET_COUNT {
            self.calendar[(bucket % BUCKET_COUNT) as usize].push(entry);
            self.calendar_len += 1;
        } else {
            self.overflow.push(entry);
        }
    }

    /// The next event; the clock moves on to its time.
    pub fn pop(&mut self) -> Option<E> {
        loop {
            if let Some(entry) = self.current.pop() {
                self.now = entry.at;
                self.popped += 1;
                return Some(entry.event);
            }
            if self.calendar_len == 0 {
                self.next_bucket = self.overflow.peek()?.bucket();
            }
            while let Some(entry) =
                self.overflow.peek().filter(|entry| entry.bucket() < self.next_bucket + BUCKET_COUNT)
            {
                let entry = *entry;
                self.overflow.pop();
                self.enqueue(entry);
            }
            // Its room is given back: kept in all buckets, it would be many times what is ever held at once.
            let bucket = std::mem::take(&mut self.calendar[(self.next_bucket % BUCKET_COUNT) as usize]);
            self.calendar_len -= bucket.len();
            self.current.extend(bucket);
            self.next_bucket += 1;
        }
    }
}

/// The place of a value in a `Slab`. It names none once the value is taken out, also when the place is taken
/// again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    index: u32,
    generation: u32,
}

/// Values in places that are used again.
#[derive(Debug)]
pub struct Slab<T> {
    slots: Vec<(u32, Option<T>)>,
    free: Vec<u32>,
}

impl<T> Default for Slab<T> {
    fn default() -> Self {
        Self { slots: Vec::new(), free: Vec::new() }
    }
}

impl<T> Slab<T> {
    /// Puts in a value.
    pub fn insert(&mut self, value: T) -> Key {
        if let Some(index) = self.free.pop() {
            let (generation, slot) = &mut self.slots[index as usize];
            *slot = Some(value);
            return Key { index, generation: *generation };
        }
        let index = u32::try_from(self.slots.len()).expect("no run holds so many values at a time");
        self.slots.push((0, Some(value)));
        Key { index, generation: 0 }
    }

    /// The value at a place, if it is still there.
    pub fn get(&self, key: Key) -> Option<&T> {
        let (generation, slot) = self.slots.get(key.index as usize)?;
        slot.as_ref().filter(|_| *generation == key.generation)
    }

    /// The same, to change it.
    pub fn get_mut(&mut self, key: Key) -> Option<&mut T> {
        let (generation, slot) = self.slots.get_mut(key.index as usize)?;
        slot.as_mut().filter(|_| *generation == key.generation)
    }

    /// Takes out a value.
    pub fn remove(&mut self, key: Key) -> Option<T> {
        let (generation, slot) = self.slots.get_mut(key.index as usize)?;
        if *generation != key.generation {
            return None;
        }
        let value = slot.take()?;
        *generation = generation.wrapping_add(1);
        self.free.push(key.index);
        Some(value)
    }

    /// The keys of all values that pass a test, in the order of their places.
    pub fn keys(&self, predicate: impl Fn(&T) -> bool) -> Vec<Key> {
        let slots = self.slots.iter().enumerate();
        let matching = slots.filter(|(_, (_, slot))| slot.as_ref().is_some_and(&predicate));
        matching
            .map(|(index, (generation, _))| Key { index: index as u32, generation: *generation })
            .collect()
    }

    /// The number of values.
    pub fn len(&self) -> usize {
        self.slots.len() - self.free.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
