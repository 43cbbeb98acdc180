//! Open-loop clients: each request is due at its own time, independent of earlier requests, and its latency is measured
//! from that time. The latencies thus include the time for which a stalled balancer delays further requests.

use super::balancer::{Idempotency, class_name};
use super::config::Config;
use super::pool::Pool;
use super::upstream::DIRECT_HEADER;
use crate::{lock, seeded_rng};
use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::Full;
use hyper::{Method, Request, StatusCode};
use rand::Rng;
use rand_distr::Exp;
use rustix::process::{Resource, getrlimit};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio::time::timeout;

/// Time beyond the deadline for which a client waits for a response; all socket time limits include it.
const DEADLINE_SLACK: Duration = Duration::from_millis(50);
/// Maximum number of open requests.
const MAX_OPEN_REQUESTS: usize = 4096;
/// File descriptors of this process that are not used for requests.
const RESERVED_DESCRIPTORS: u64 = 256;
/// File descriptors that one request may use in this process: its own, those of its attempts, and one just closed.
const DESCRIPTORS_PER_REQUEST: u64 = 4;
/// Minimum and maximum of the recorded latencies in nanoseconds, and their significant digits.
const LATENCY_HISTOGRAM_BOUNDS: (u64, u64, u8) = (1_000, 120_000_000_000, 3);

/// Distributes requests over the balancers in rotation, in turn.
pub struct Front {
    balancers: Mutex<Vec<Option<SocketAddr>>>,
    next_index: AtomicUsize,
    pool: Pool,
}

impl Front {
    /// Creates a front for the balancers with these addresses.
    pub fn new(balancers: Vec<Option<SocketAddr>>) -> Self {
        Self { balancers: Mutex::new(balancers), next_index: AtomicUsize::new(0), pool: Pool::default() }
    }

    /// Adds a balancer to the rotation.
    pub fn add(&self, index: usize, address: SocketAddr) {
        lock(&self.balancers)[index] = Some(address);
    }

    /// Removes a balancer from the rotation and closes the idle connections to it.
    pub fn remove(&self, index: usize) {
        let address = lock(&self.balancers)[index].take();
        if let Some(address) = address {
            self.pool.close_idle(address);
        }
    }

    /// Returns the address of the next balancer in turn.
    fn next_balancer(&self) -> Option<SocketAddr> {
        let balancers = lock(&self.balancers);
        let turn = self.next_index.fetch_add(1, Ordering::Relaxed);
        let in_turn = (0..balancers.len()).map(|offset| balancers[(turn + offset) % balancers.len()]);
        in_turn.flatten().next()
    }
}

/// Counts of the measured requests on one route, by outcome.
#[derive(Debug)]
pub struct Tally {
    /// Sent, whatever the outcome.
    pub sent: u64,
    /// Answered with 200.
    pub served: u64,
    /// Answered with 429 or 503.
    pub refused: u64,
    /// Got any other status, an error or no response, or had no balancer in rotation to go to.
    pub failed: u64,
    /// Skipped because too many requests were open: a limit of the clients, not of the balancers or upstreams.
    pub not_sent: u64,
    /// Latencies of the served requests in nanoseconds, from the due time to the last byte.
    pub latencies: Histogram<u64>,
}

impl Default for Tally {
    fn default() -> Self {
        let (min, max, digits) = LATENCY_HISTOGRAM_BOUNDS;
        let mut latencies = Histogram::new_with_bounds(min, max, digits)
            .or_else(|_| Histogram::new(digits))
            .expect("the histogram accepts three significant digits");
        latencies.auto(true);
        Self { sent: 0, served: 0, refused: 0, failed: 0, not_sent: 0, latencies }
    }
}

/// Counts of a run by route.
#[derive(Debug, Default)]
pub struct Tallies {
    /// Requests through the balancers.
    pub balanced: Tally,
    /// Requests sent directly to the upstreams.
    pub direct: Tally,
}

/// All clients of a run.
pub struct Clients<'a> {
    config: &'a Config,
    seed: u64,
    shared: Arc<Shared>,
}

/// State shared by the arrival threads and the requests.
struct Shared {
    front: Arc<Front>,
    upstreams: Vec<SocketAddr>,
    direct_pool: Pool,
    next_upstream: AtomicUsize,
    next_id: AtomicU64,
    open_requests: AtomicUsize,
    max_open_requests: usize,
    request_ended: Notify,
    body: Bytes,
    deadline: Duration,
    tallies: Mutex<Tallies>,
}

/// Route of a request.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Route {
    /// Through a balancer.
    Balanced,
    /// Directly to an upstream.
    Direct,
}

impl<'a> Clients<'a> {
    /// Creates the clients. The limit of open requests follows from this process's limit of file descriptors.
    pub fn new(config: &'a Config, seed: u64, front: Arc<Front>, upstreams: Vec<SocketAddr>) -> Self {
        let descriptors = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
        let max_open_requests = descriptors.saturating_sub(RESERVED_DESCRIPTORS + upstreams.len() as u64)
            / DESCRIPTORS_PER_REQUEST;
        let shared = Shared {
            front,
            upstreams,
            direct_pool: Pool::default(),
            next_upstream: AtomicUsize::new(0),
            next_id: AtomicU64::new(0),
            open_requests: AtomicUsize::new(0),
            max_open_requests: usize::try_from(max_open_requests)
                .unwrap_or(usize::MAX)
                .clamp(16, MAX_OPEN_REQUESTS),
            request_ended: Notify::new(),
            body: Bytes::from(vec![b'q'; config.body_bytes]),
            deadline: config.deadline(),
            tallies: Mutex::default(),
        };
        Self { config, seed, shared: Arc::new(shared) }
    }

    /// Sends requests for `length`, then waits until all have ended.
    pub async fn send_requests(&self, length: Duration, measured: bool) {
        let stop = StopOnDrop::default();
        let start = Instant::now();
        for (route, rate) in [(Route::Balanced, self.config.rate), (Route::Direct, self.config.direct_rate)] {
            let arrivals = Arrivals {
                shared: self.shared.clone(),
                runtime: tokio::runtime::Handle::current(),
                stop: stop.0.clone(),
                route,
                rate,
                seed: self.seed,
                classes: self.config.classes,
                measured,
            };
            if rate > 0.0 {
                std::thread::spawn(move || arrivals.run(start, length));
            }
        }
        tokio::time::sleep(length).await;
        let all_ended = async {
            while self.shared.open_requests.load(Ordering::Acquire) > 0 {
                self.shared.request_ended.notified().await;
            }
        };
        timeout(self.shared.deadline + 2 * DEADLINE_SLACK, all_ended).await.ok();
    }

    /// Locks the counts of the measured requests.
    pub fn tallies(&self) -> std::sync::MutexGuard<'_, Tallies> {
        lock(&self.shared.tallies)
    }
}

/// Stops the arrival threads when the future that started them is dropped.
#[derive(Default)]
struct StopOnDrop(Arc<AtomicBool>);

impl Drop for StopOnDrop {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Poisson arrivals of requests. They run on their own thread, because the runtime's timers are too coarse for the
/// latencies that are compared.
struct Arrivals {
    shared: Arc<Shared>,
    runtime: tokio::runtime::Handle,
    stop: Arc<AtomicBool>,
    route: Route,
    rate: f64,
    seed: u64,
    classes: usize,
    measured: bool,
}

impl Arrivals {
    /// Starts requests at random times until `length` after `start`.
    fn run(self, start: Instant, length: Duration) {
        let Ok(intervals) = Exp::new(self.rate) else { return };
        let mut rng = seeded_rng(self.seed, 4 + self.route as u64 + 2 * u64::from(self.measured));
        let mut due = Duration::ZERO;
        loop {
            due += Duration::from_secs_f64(rng.sample::<f64, _>(intervals).min(1e6));
            if due >= length {
                return;
            }
            std::thread::sleep((start + due).saturating_duration_since(Instant::now()));
            if self.stop.load(Ordering::Relaxed) {
                return;
            }
            let class = rng.random_range(0..self.classes);
            let (shared, route, measured) = (self.shared.clone(), self.route, self.measured);
            if shared.open_requests.fetch_add(1, Ordering::AcqRel) >= shared.max_open_requests {
                shared.finish(route, measured, |tally| tally.not_sent += 1);
                continue;
            }
            let due = start + due;
            self.runtime.spawn(async move { shared.execute(route, class, due, measured).await });
        }
    }
}

impl Shared {
    /// Counts a request that has ended or was skipped.
    fn finish(&self, route: Route, measured: bool, update: impl FnOnce(&mut Tally)) {
        if measured {
            let mut tallies = lock(&self.tallies);
            update(match route {
                Route::Balanced => &mut tallies.balanced,
                Route::Direct => &mut tallies.direct,
            });
        }
        if self.open_requests.fetch_sub(1, Ordering::AcqRel) == 1 {
            self.request_ended.notify_one();
        }
    }

    /// Sends a request, waits for its response and counts the outcome.
    async fn execute(&self, route: Route, class: usize, due: Instant, measured: bool) {
        let status = match self.build_request(route, class) {
            None => None,
            Some((address, request)) => {
                let pool = match route {
                    Route::Balanced => &self.front.pool,
                    Route::Direct => &self.direct_pool,
                };
                let give_up_at = (due + self.deadline + DEADLINE_SLACK).into();
                tokio::time::timeout_at(give_up_at, pool.send(address, request)).await.ok()
            }
        };
        let elapsed = due.elapsed();
        match &status {
            Some(Ok(StatusCode::OK)) => {}
            Some(Ok(status)) => tracing::debug!(%status, class, ?elapsed, "request not served"),
            Some(Err(error)) => tracing::debug!(%error, class, ?elapsed, "request failed"),
            None => tracing::debug!(class, ?elapsed, "request without response"),
        }
        self.finish(route, measured, |tally| {
            tally.sent += 1;
            match status {
                Some(Ok(StatusCode::OK)) => {
                    tally.served += 1;
                    tally.latencies.saturating_record(u64::try_from(elapsed.as_nanos()).unwrap_or(u64::MAX));
                }
                Some(Ok(StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE)) => {
                    tally.refused += 1
                }
                _ => tally.failed += 1,
            }
        });
    }

    /// Builds a request and selects its destination; `None` if no balancer is in rotation.
    fn build_request(&self, route: Route, class: usize) -> Option<(SocketAddr, Request<Full<Bytes>>)> {
        let address = match route {
            Route::Balanced => self.front.next_balancer()?,
            Route::Direct => {
                let next = self.next_upstream.fetch_add(1, Ordering::Relaxed);
                *self.upstreams.get(next % self.upstreams.len())?
            }
        };
        let idempotency = Idempotency::of_class(class);
        let id = format!("{:016x}", self.next_id.fetch_add(1, Ordering::Relaxed));
        let name = class_name(class);
        let mut request = Request::builder()
            .method(if idempotency == Idempotency::Idempotent { Method::GET } else { Method::POST })
            .uri(format!("/{name}/1"))
            .header("Host", "backend.local")
            .header("X-Call-Id", &id)
            .header("X-Call-Class", name)
            .header("X-Caller", "acme")
            .header("X-Budget", format!("{:.3}", self.deadline.as_secs_f64()));
        if idempotency == Idempotency::Keyed {
            request = request.header("Idempotency-Key", format!("{id}{id}"));
        }
        if route == Route::Direct {
            request = request.header(DIRECT_HEADER, "1");
        }
        let body = if idempotency == Idempotency::Idempotent { Bytes::new() } else { self.body.clone() };
        Some((address, request.body(Full::new(body)).ok()?))
    }
}
