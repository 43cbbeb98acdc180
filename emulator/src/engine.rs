//! The virtual clock, its event queue, and a slab for values referenced by queued events.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// A point on the virtual clock, in nanoseconds.
pub type Time = u64;
/// Nanoseconds per second.
pub const SECOND: Time = 1_000_000_000;

/// Converts seconds to nanoseconds. Negative values and NaN give 0.
pub fn seconds(seconds: f64) -> Time {
    (seconds * 1e9) as Time
}

/// Converts milliseconds to nanoseconds. Negative values and NaN give 0.
pub fn millis(millis: f64) -> Time {
    (millis * 1e6) as Time
}

/// Width of a calendar bucket as a power of two of nanoseconds: 2^18 ns, about a quarter of a millisecond.
const BUCKET_WIDTH_BITS: u32 = 18;
/// Number of calendar buckets: together they span 4.3 s, in which nearly all timers fall.
const BUCKET_COUNT: u64 = 1 << 14;

/// An event and the time at which it is due.
#[derive(Clone, Copy, Debug)]
struct ScheduledEvent<E> {
    at: Time,
    /// Insertion number, so that events due at the same time are returned in insertion order.
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
    /// Reversed, because `BinaryHeap` is a max-heap and the earliest event is to be popped first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

/// A calendar queue: returns events in order of time, and in insertion order where the times are equal.
///
/// Only the events of the current bucket are kept sorted. With hundreds of thousands of pending timers, a single
/// heap would cause a cache miss at each level of a push or pop.
#[derive(Debug)]
pub struct Queue<E> {
    now: Time,
    /// Number of the first bucket that has not been moved to `current` yet.
    next_bucket: u64,
    /// Events of the buckets before `next_bucket`.
    current: BinaryHeap<ScheduledEvent<E>>,
    /// Events of the `BUCKET_COUNT` buckets from `next_bucket` on, unsorted within each bucket.
    calendar: Vec<Vec<ScheduledEvent<E>>>,
    calendar_len: usize,
    /// Events beyond the calendar.
    overflow: BinaryHeap<ScheduledEvent<E>>,
    pushed: u64,
    popped: u64,
}

impl<E: Copy> Queue<E> {
    /// Creates an empty queue with the clock at `now`.
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

    /// The current time: that of the event popped last.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Number of events popped so far.
    pub fn popped(&self) -> u64 {
        self.popped
    }

    /// Schedules an event. A time in the past counts as the current time.
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

    /// Returns the next event and advances the clock to its time.
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
            // Takes the bucket's buffer out, so that it is freed: if every bucket kept its capacity, the buckets would
            // take many times the memory of the most events queued at one time.
            let bucket = std::mem::take(&mut self.calendar[(self.next_bucket % BUCKET_COUNT) as usize]);
            self.calendar_len -= bucket.len();
            self.current.extend(bucket);
            self.next_bucket += 1;
        }
    }
}

/// Identifies a value in a [`Slab`]. Once the value is removed, the key is invalid, and stays invalid when its slot is
/// reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    index: u32,
    generation: u32,
}

/// A container that reuses the slots of removed values.
#[derive(Debug)]
pub struct Slab<T> {
    /// The generation of each slot and its value.
    slots: Vec<(u32, Option<T>)>,
    free: Vec<u32>,
}

impl<T> Default for Slab<T> {
    fn default() -> Self {
        Self { slots: Vec::new(), free: Vec::new() }
    }
}

impl<T> Slab<T> {
    /// Stores a value and returns its key.
    pub fn insert(&mut self, value: T) -> Key {
        if let Some(index) = self.free.pop() {
            let (generation, slot) = &mut self.slots[index as usize];
            *slot = Some(value);
            return Key { index, generation: *generation };
        }
        let index = u32::try_from(self.slots.len()).expect("a slab holds at most 2^32 values");
        self.slots.push((0, Some(value)));
        Key { index, generation: 0 }
    }

    /// Returns the value of a key, or `None` if it has been removed.
    pub fn get(&self, key: Key) -> Option<&T> {
        let (generation, slot) = self.slots.get(key.index as usize)?;
        slot.as_ref().filter(|_| *generation == key.generation)
    }

    /// Like [`Slab::get`], but mutable.
    pub fn get_mut(&mut self, key: Key) -> Option<&mut T> {
        let (generation, slot) = self.slots.get_mut(key.index as usize)?;
        slot.as_mut().filter(|_| *generation == key.generation)
    }

    /// Removes and returns the value of a key.
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

    /// Returns the keys of all values that match a predicate, in slot order.
    pub fn keys(&self, predicate: impl Fn(&T) -> bool) -> Vec<Key> {
        let slots = self.slots.iter().enumerate();
        let matching = slots.filter(|(_, (_, slot))| slot.as_ref().is_some_and(&predicate));
        matching
            .map(|(index, (generation, _))| Key { index: index as u32, generation: *generation })
            .collect()
    }

    /// Number of stored values.
    pub fn len(&self) -> usize {
        self.slots.len() - self.free.len()
    }

    /// Whether no value is stored.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
