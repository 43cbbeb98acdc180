//! Counters that the admin server reports to operators. Each event is counted once, where it is observed.

use serde_json::{Value, json};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

/// The outcome of a request, as its client sees it.
#[derive(Clone, Copy, Debug)]
pub enum RequestOutcome {
    /// A complete response with status 200.
    Success,
    /// Rejected by the balancer.
    Busy,
    /// Any other response, an incomplete one, or none.
    Failure,
}

/// Counters since the start of the process, and gauges of its present state.
#[derive(Default)]
pub struct Counters {
    classes: Vec<ClassCounters>,
    /// Attempts whose request was written completely.
    attempts: Arc<AtomicU64>,
    /// Responses that were too long to be buffered.
    long_responses: AtomicU64,
    /// Requests in flight now.
    inflight: Arc<AtomicUsize>,
    /// Endpoints that are listed now.
    hosts_listed: AtomicUsize,
    /// Listed endpoints that get no requests now.
    hosts_down: AtomicUsize,
}

/// The requests of one class, counted by outcome.
#[derive(Default)]
struct ClassCounters {
    name: String,
    /// Indexed by [`RequestOutcome`].
    outcomes: [AtomicU64; 3],
}

impl ClassCounters {
    /// The number of requests that ended with this outcome.
    fn count(&self, outcome: RequestOutcome) -> u64 {
        self.outcomes[outcome as usize].load(Ordering::Relaxed)
    }
}

impl Counters {
    /// Creates counters at zero for the named classes.
    pub fn new(classes: &[String]) -> Self {
        let classes =
            classes.iter().map(|name| ClassCounters { name: name.clone(), outcomes: Default::default() });
        Self { classes: classes.collect(), ..Self::default() }
    }

    /// Counts a finished request of a class.
    pub fn count(&self, class: usize, outcome: RequestOutcome) {
        if let Some(class) = self.classes.get(class) {
            class.outcomes[outcome as usize].fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Counts a response that is too long to be buffered.
    pub fn count_long_response(&self) {
        self.long_responses.fetch_add(1, Ordering::Relaxed);
    }

    /// The share of the successful responses that were too long to be buffered.
    pub fn long_response_share(&self) -> f64 {
        let successes = self.classes.iter().map(|class| class.count(RequestOutcome::Success)).sum::<u64>();
        self.long_responses.load(Ordering::Relaxed) as f64 / successes.max(1) as f64
    }

    /// The counter of attempts whose request was written completely.
    pub fn attempt_counter(&self) -> Arc<AtomicU64> {
        self.attempts.clone()
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub fn start_request(&self) -> InFlightGuard {
        self.inflight.fetch_add(1, Ordering::Relaxed);
        InFlightGuard(self.inflight.clone())
    }

    /// Sets the number of listed endpoints, and how many of them get no requests now.
    pub fn set_hosts(&self, listed: usize, down: usize) {
        self.hosts_listed.store(listed, Ordering::Relaxed);
        self.hosts_down.store(down, Ordering::Relaxed);
    }

    /// The counters as JSON, in the form that the admin server returns.
    pub fn report(&self) -> Value {
        let classes = self.classes.iter().map(|class| {
            let outcomes = json!({
                "success": class.count(RequestOutcome::Success),
                "busy": class.count(RequestOutcome::Busy),
                "failure": class.count(RequestOutcome::Failure),
            });
            (class.name.clone(), outcomes)
        });
        json!({
            "calls": classes.collect::<serde_json::Map<_, _>>(),
            "backend_calls": self.attempts.load(Ordering::Relaxed),
            "inflight": self.inflight.load(Ordering::Relaxed),
            "hosts_listed": self.hosts_listed.load(Ordering::Relaxed),
            "hosts_down": self.hosts_down.load(Ordering::Relaxed),
        })
    }
}

/// Counts one request as in flight until this guard is dropped.
pub struct InFlightGuard(Arc<AtomicUsize>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
