//! When endpoints started, on the monotonic clock. Discovery reports start times as wall time. Each is converted once,
//! when a list first reports it, so that a later step of the wall clock does not change the age of an endpoint.

use super::clock::{ClockReading, WallTime};
use super::clock_offsets::ClockOffsets;
use balancer::decision::Time;
use std::collections::HashMap;

/// The origin of an endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListOrigin {
    /// The configuration: the list was stored at an unknown time.
    Configuration,
    /// Discovery, which has just returned the list.
    Discovery,
}

/// The start of an endpoint that was reported last.
#[derive(Clone, Copy, Debug)]
struct Start {
    /// The start as reported, in milliseconds of Unix time; 0 if no start was reported.
    boot_ms: u64,
    /// The start on the monotonic clock.
    started_at: Time,
    /// When discovery last returned a list that reported no later start.
    confirmed_at: Option<Time>,
}

/// The latest starts of the endpoints that are or recently were listed, by uid.
#[derive(Debug, Default)]
pub struct StartTimes {
    offsets: ClockOffsets,
    starts: HashMap<String, Start>,
}

impl StartTimes {
    /// Records a reading of both clocks. Must be called before each list is processed. It must also be called at short
    /// intervals in between, so that the time of each step of the wall clock is known closely.
    pub fn record_clock_reading(&mut self, reading: ClockReading) {
        self.offsets.record(reading);
    }

    /// Returns when an endpoint started, or `None` if that was long ago. `boot_ms` is the start as the list reports it,
    /// in milliseconds of Unix time, or 0 for long ago.
    ///
    /// The start that was reported last keeps its time. A new start is not in the future, and is placed after the
    /// previous start and after the last list from discovery that did not report the new one yet.
    pub fn started(&mut self, uid: &str, boot_ms: u64, origin: ListOrigin, now: Time) -> Option<Time> {
        let start = match self.starts.get_mut(uid) {
            Some(start) => start,
            None => self.starts.entry(uid.to_owned()).or_insert(Start {
                boot_ms: 0,
                started_at: 0,
                confirmed_at: None,
            }),
        };
        if boot_ms != 0 && boot_ms != start.boot_ms {
            let reported = self.offsets.monotonic(WallTime::from_unix_millis(boot_ms), now);
            let previous_start_known_until = start.started_at.max(start.confirmed_at.unwrap_or(0));
            start.boot_ms = boot_ms;
            // Two starts of an endpoint never have the same time.
            start.started_at = reported.max(previous_start_known_until.saturating_add(1));
        }
        if origin == ListOrigin::Discovery {
            start.confirmed_at = Some(now);
        }
        (boot_ms != 0).then_some(start.started_at)
    }

    /// The number of endpoints with a recorded start.
    pub fn len(&self) -> usize {
        self.starts.len()
    }

    /// Removes the endpoints whose uids `is_kept` does not select.
    pub fn retain(&mut self, is_kept: impl Fn(&str) -> bool) {
        self.starts.retain(|uid, _| is_kept(uid));
    }
}
