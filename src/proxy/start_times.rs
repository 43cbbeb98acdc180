//! When endpoints started, on the monotonic clock. Discovery tells it in wall time, which is converted once, when a
//! list first tells of a start: no later step of the wall clock makes an endpoint older or younger.

use super::clock::{ClockReading, WallTime};
use super::clock_offsets::ClockOffsets;
use balancer::decision::Time;
use std::collections::HashMap;

/// Where a list comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListOrigin {
    /// Stored by an earlier process, nobody knows when.
    Configuration,
    /// Told by discovery just now.
    Discovery,
}

/// The last start of an endpoint that was told.
#[derive(Clone, Copy, Debug)]
struct Start {
    /// As it was told, in milliseconds of Unix time; 0 if none was.
    boot_ms: u64,
    at: Time,
    /// When discovery last told that no later start was known.
    confirmed: Option<Time>,
}

/// The starts of all endpoints, listed or lately listed, by name.
#[derive(Debug, Default)]
pub struct StartTimes {
    offsets: ClockOffsets,
    starts: HashMap<String, Start>,
}

impl StartTimes {
    /// Learns what both clocks show now, which has to be done before a list is gone through, and often, so that a
    /// step of the wall clock is known by its time.
    pub fn record_clock_reading(&mut self, reading: ClockReading) {
        self.offsets.learn(reading);
    }

    /// When an endpoint started, by the `boot_ms` that a list tells now: milliseconds of Unix time, 0 for long ago
    /// (`None`). A start that is told again stays where it was. A new one is later than the one before,
    /// and than the last list that showed that, and not in the future.
    pub fn started(&mut self, uid: &str, boot_ms: u64, origin: ListOrigin, now: Time) -> Option<Time> {
        let known = match self.starts.get_mut(uid) {
            Some(known) => known,
            None => self.starts.entry(uid.to_owned()).or_insert(Start { boot_ms: 0, at: 0, confirmed: None }),
        };
        if boot_ms != 0 && boot_ms != known.boot_ms {
            let told = self.offsets.monotonic(WallTime::from_unix_millis(boot_ms), now);
            let former_until = known.at.max(known.confirmed.unwrap_or(0));
            known.boot_ms = boot_ms;
            known.at = told.max(former_until.saturating_add(1)); // so that no two starts look like one
        }
        if origin == ListOrigin::Discovery {
            known.confirmed = Some(now);
        }
        (boot_ms != 0).then_some(known.at)
    }

    /// How many endpoints are remembered.
    pub fn len(&self) -> usize {
        self.starts.len()
    }

    /// Forgets the endpoints whose names are not to be kept.
    pub fn retain(&mut self, is_kept: impl Fn(&str) -> bool) {
        self.starts.retain(|uid, _| is_kept(uid));
    }
}
