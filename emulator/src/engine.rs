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
const WIDTH: u32 = 18;
/// Buckets of the calendar: they span over four seconds, in which nearly all timers fall.
const BUCKETS: u64 = 1 << 14;

#[derive(Clone, Copy, Debug)]
struct Entry<E> {
    at: Time,
    /// Events of one time come in the order in which they were put in.
    order: u64,
    event: E,
}

impl<E> Entry<E> {
    fn bucket(&self) -> u64 {
        self.at >> WIDTH
    }
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<E> Eq for Entry<E> {}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Entry<E> {
    /// The earliest is the greatest, as a heap gives out the greatest.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
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
    edge: u64,
    open: BinaryHeap<Entry<E>>,
    calendar: Vec<Vec<Entry<E>>>,
    in_calendar: usize,
    far: BinaryHeap<Entry<E>>,
    pushed: u64,
    popped: u64,
}

impl<E: Copy> Queue<E> {
    /// An empty queue whose clock stands at `now`.
    pub fn new(now: Time) -> Self {
        Self {
            now,
            edge: now >> WIDTH,
            open: BinaryHeap::new(),
            calendar: (0..BUCKETS).map(|_| Vec::new()).collect(),
            in_calendar: 0,
            far: BinaryHeap::new(),
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
        let entry = Entry { at: at.max(self.now), order: self.pushed, event };
        self.pushed += 1;
        self.place(entry);
    }

    fn place(&mut self, entry: Entry<E>) {
        let bucket = entry.bucket();
        if bucket < self.edge {
            self.open.push(entry);
        } else if bucket < self.edge + BUCKETS {
            self.calendar[(bucket % BUCKETS) as usize].push(entry);
            self.in_calendar += 1;
        } else {
            self.far.push(entry);
        }
    }

    /// The next event; the clock moves on to its time.
    pub fn pop(&mut self) -> Option<E> {
        loop {
            if let Some(entry) = self.open.pop() {
                self.now = entry.at;
                self.popped += 1;
                return Some(entry.event);
            }
            if self.in_calendar == 0 {
                self.edge = self.far.peek()?.bucket();
            }
            while let Some(entry) = self.far.peek().filter(|entry| entry.bucket() < self.edge + BUCKETS) {
                let entry = *entry;
                self.far.pop();
                self.place(entry);
            }
            // Its room is given back: kept in all buckets, it would be many times what is ever held at once.
            let bucket = std::mem::take(&mut self.calendar[(self.edge % BUCKETS) as usize]);
            self.in_calendar -= bucket.len();
            self.open.extend(bucket);
            self.edge += 1;
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
    places: Vec<(u32, Option<T>)>,
    free: Vec<u32>,
}

impl<T> Default for Slab<T> {
    fn default() -> Self {
        Self { places: Vec::new(), free: Vec::new() }
    }
}

impl<T> Slab<T> {
    /// Puts in a value.
    pub fn insert(&mut self, value: T) -> Key {
        if let Some(index) = self.free.pop() {
            let (generation, place) = &mut self.places[index as usize];
            *place = Some(value);
            return Key { index, generation: *generation };
        }
        let index = u32::try_from(self.places.len()).expect("no run holds so many values at a time");
        self.places.push((0, Some(value)));
        Key { index, generation: 0 }
    }

    /// The value at a place, if it is still there.
    pub fn get(&self, key: Key) -> Option<&T> {
        let (generation, place) = self.places.get(key.index as usize)?;
        place.as_ref().filter(|_| *generation == key.generation)
    }

    /// The same, to change it.
    pub fn get_mut(&mut self, key: Key) -> Option<&mut T> {
        let (generation, place) = self.places.get_mut(key.index as usize)?;
        place.as_mut().filter(|_| *generation == key.generation)
    }

    /// Takes out a value.
    pub fn remove(&mut self, key: Key) -> Option<T> {
        let (generation, place) = self.places.get_mut(key.index as usize)?;
        if *generation != key.generation {
            return None;
        }
        let value = place.take()?;
        *generation = generation.wrapping_add(1);
        self.free.push(key.index);
        Some(value)
    }

    /// The keys of all values that pass a test, in the order of their places.
    pub fn keys(&self, test: impl Fn(&T) -> bool) -> Vec<Key> {
        let places = self.places.iter().enumerate();
        let passing = places.filter(|(_, (_, place))| place.as_ref().is_some_and(&test));
        passing.map(|(index, (generation, _))| Key { index: index as u32, generation: *generation }).collect()
    }

    /// The number of values.
    pub fn len(&self) -> usize {
        self.places.len() - self.free.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
