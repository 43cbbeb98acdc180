//! The figures that operators read: each event is counted once, where it is seen.

use serde_json::{Value, json};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

/// How a request ended for its client.
#[derive(Clone, Copy, Debug)]
pub enum RequestOutcome {
    Success,
    Busy,
    Failure,
}

/// Counts since the start of the process.
#[derive(Default)]
pub struct Counters {
    classes: Vec<Class>,
    attempts: Arc<AtomicU64>,
    inflight: Arc<AtomicUsize>,
    listed: AtomicUsize,
    down: AtomicUsize,
}

#[derive(Default)]
struct Class {
    name: String,
    ends: [AtomicU64; 3],
}

impl Counters {
    pub fn new(classes: &[String]) -> Self {
        let classes = classes.iter().map(|name| Class { name: name.clone(), ends: Default::default() });
        Self { classes: classes.collect(), ..Self::default() }
    }

    pub fn count(&self, class: usize, end: RequestOutcome) {
        if let Some(class) = self.classes.get(class) {
            class.ends[end as usize].fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Counts the attempts whose last byte has left.
    pub fn attempts(&self) -> Arc<AtomicU64> {
        self.attempts.clone()
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub fn start_request(&self) -> InFlightGuard {
        self.inflight.fetch_add(1, Ordering::Relaxed);
        InFlightGuard(self.inflight.clone())
    }

    /// How many upstreams are listed, and how many of those are avoided.
    pub fn set_hosts(&self, listed: usize, down: usize) {
        self.listed.store(listed, Ordering::Relaxed);
        self.down.store(down, Ordering::Relaxed);
    }

    pub fn report(&self) -> Value {
        let calls = self.classes.iter().map(|class| {
            let [success, busy, failure] = class.ends.each_ref().map(|count| count.load(Ordering::Relaxed));
            (class.name.clone(), json!({"success": success, "busy": busy, "failure": failure}))
        });
        json!({
            "calls": calls.collect::<serde_json::Map<_, _>>(),
            "backend_calls": self.attempts.load(Ordering::Relaxed),
            "inflight": self.inflight.load(Ordering::Relaxed),
            "hosts_listed": self.listed.load(Ordering::Relaxed),
            "hosts_down": self.down.load(Ordering::Relaxed),
        })
    }
}

/// Counts one request as in flight until it is dropped.
pub struct InFlightGuard(Arc<AtomicUsize>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
