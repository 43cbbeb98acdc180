//! Clients in an open loop: a call is due at its time, whatever became of those before it, and its time runs from
//! then on. So a balancer that stalls is not spared the calls it kept from being sent.

use super::balancer::{Effect, class_name};
use super::config::Config;
use super::pool::Pool;
use super::upstream::DIRECT;
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

/// How much longer than its deadline a client waits for an answer: every limit on sockets is longer by this.
const SLACK: Duration = Duration::from_millis(50);
/// Calls that may be open at a time, at most.
const MOST_OPEN: usize = 4096;
/// Descriptors of this process that are for no call.
const OTHER_DESCRIPTORS: u64 = 256;
/// Descriptors that a call may take in this process: its own, those of its attempts, one that is just closed.
const DESCRIPTORS: u64 = 4;
/// Bounds of the times that are recorded, in nanoseconds, and the digits that count.
const RECORDED: (u64, u64, u8) = (1_000, 120_000_000_000, 3);

/// Spreads the calls over the balancers that it knows to be in use.
pub struct Front {
    balancers: Mutex<Vec<Option<SocketAddr>>>,
    next: AtomicUsize,
    pool: Pool,
}

impl Front {
    pub fn new(balancers: Vec<Option<SocketAddr>>) -> Self {
        Self { balancers: Mutex::new(balancers), next: AtomicUsize::new(0), pool: Pool::default() }
    }

    /// A balancer is put to use.
    pub fn admit(&self, at: usize, address: SocketAddr) {
        lock(&self.balancers)[at] = Some(address);
    }

    /// A balancer is found to be gone.
    pub fn remove(&self, at: usize) {
        let address = lock(&self.balancers)[at].take();
        if let Some(address) = address {
            self.pool.forget(address);
        }
    }

    fn next(&self) -> Option<SocketAddr> {
        let balancers = lock(&self.balancers);
        let turn = self.next.fetch_add(1, Ordering::Relaxed);
        let in_turn = (0..balancers.len()).map(|more| balancers[(turn + more) % balancers.len()]);
        in_turn.flatten().next()
    }
}

/// What became of the measured calls of one kind.
#[derive(Debug)]
pub struct Tally {
    pub sent: u64,
    pub served: u64,
    /// Answered with 429 or 503.
    pub refused: u64,
    /// All other ends, and none.
    pub failed: u64,
    /// Due while too many were open; a limit of the clients, not of what they call.
    pub not_sent: u64,
    /// Times of the served ones, in nanoseconds, from when each was due to its last byte.
    pub times: Histogram<u64>,
}

impl Default for Tally {
    fn default() -> Self {
        let (least, most, digits) = RECORDED;
        let mut times = Histogram::new_with_bounds(least, most, digits)
            .or_else(|_| Histogram::new(digits))
            .expect("three digits are allowed");
        times.auto(true);
        Self { sent: 0, served: 0, refused: 0, failed: 0, not_sent: 0, times }
    }
}

/// The tallies of a run.
#[derive(Debug, Default)]
pub struct Tallies {
    /// Calls through the balancers.
    pub balanced: Tally,
    /// Calls straight to the upstreams.
    pub direct: Tally,
}

/// All clients of a run.
pub struct Clients<'a> {
    config: &'a Config,
    seed: u64,
    shared: Arc<Shared>,
}

struct Shared {
    front: Arc<Front>,
    upstreams: Vec<SocketAddr>,
    direct_pool: Pool,
    next_upstream: AtomicUsize,
    next_id: AtomicU64,
    open: AtomicUsize,
    most_open: usize,
    ended: Notify,
    body: Bytes,
    deadline: Duration,
    tallies: Mutex<Tallies>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Path {
    Balanced,
    Direct,
}

impl<'a> Clients<'a> {
    pub fn new(config: &'a Config, seed: u64, front: Arc<Front>, upstreams: Vec<SocketAddr>) -> Self {
        let descriptors = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
        let most_open = descriptors.saturating_sub(OTHER_DESCRIPTORS + upstreams.len() as u64) / DESCRIPTORS;
        let shared = Shared {
            front,
            upstreams,
            direct_pool: Pool::default(),
            next_upstream: AtomicUsize::new(0),
            next_id: AtomicU64::new(0),
            open: AtomicUsize::new(0),
            most_open: usize::try_from(most_open).unwrap_or(usize::MAX).clamp(16, MOST_OPEN),
            ended: Notify::new(),
            body: Bytes::from(vec![b'q'; config.body_bytes]),
            deadline: config.deadline(),
            tallies: Mutex::default(),
        };
        Self { config, seed, shared: Arc::new(shared) }
    }

    /// Sends calls for so long, and waits until all have ended.
    pub async fn send_requests(&self, length: Duration, measured: bool) {
        let stop = StopOnDrop::default();
        let start = Instant::now();
        for (path, rate) in [(Path::Balanced, self.config.rate), (Path::Direct, self.config.direct_rate)] {
            let arrivals = Arrivals {
                shared: self.shared.clone(),
                runtime: tokio::runtime::Handle::current(),
                stop: stop.0.clone(),
                path,
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
            while self.shared.open.load(Ordering::Acquire) > 0 {
                self.shared.ended.notified().await;
            }
        };
        timeout(self.shared.deadline + 2 * SLACK, all_ended).await.ok();
    }

    pub fn tallies(&self) -> std::sync::MutexGuard<'_, Tallies> {
        lock(&self.shared.tallies)
    }
}

/// Ends the threads of arrivals when their caller is dropped.
#[derive(Default)]
struct StopOnDrop(Arc<AtomicBool>);

impl Drop for StopOnDrop {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// A Poisson process of calls, on a thread of its own: the runtime's timers are too coarse to compare times with.
struct Arrivals {
    shared: Arc<Shared>,
    runtime: tokio::runtime::Handle,
    stop: Arc<AtomicBool>,
    path: Path,
    rate: f64,
    seed: u64,
    classes: usize,
    measured: bool,
}

impl Arrivals {
    fn run(self, start: Instant, length: Duration) {
        let Ok(gaps) = Exp::new(self.rate) else { return };
        let mut random = seeded_rng(self.seed, 4 + self.path as u64 + 2 * u64::from(self.measured));
        let mut due = Duration::ZERO;
        loop {
            due += Duration::from_secs_f64(random.sample::<f64, _>(gaps).min(1e6));
            if due >= length {
                return;
            }
            std::thread::sleep((start + due).saturating_duration_since(Instant::now()));
            if self.stop.load(Ordering::Relaxed) {
                return;
            }
            let class = random.random_range(0..self.classes);
            let (shared, path, measured) = (self.shared.clone(), self.path, self.measured);
            if shared.open.fetch_add(1, Ordering::AcqRel) >= shared.most_open {
                shared.end(path, measured, |tally| tally.not_sent += 1);
                continue;
            }
            let due = start + due;
            self.runtime.spawn(async move { shared.call(path, class, due, measured).await });
        }
    }
}

impl Shared {
    /// A call has ended, or is not begun.
    fn end(&self, path: Path, measured: bool, count: impl FnOnce(&mut Tally)) {
        if measured {
            let mut tallies = lock(&self.tallies);
            count(match path {
                Path::Balanced => &mut tallies.balanced,
                Path::Direct => &mut tallies.direct,
            });
        }
        if self.open.fetch_sub(1, Ordering::AcqRel) == 1 {
            self.ended.notify_one();
        }
    }

    async fn call(&self, path: Path, class: usize, due: Instant, measured: bool) {
        let status = match self.request(path, class) {
            None => None,
            Some((address, request)) => {
                let pool = match path {
                    Path::Balanced => &self.front.pool,
                    Path::Direct => &self.direct_pool,
                };
                let until = (due + self.deadline + SLACK).into();
                tokio::time::timeout_at(until, pool.send(address, request)).await.ok()
            }
        };
        let taken = due.elapsed();
        match &status {
            Some(Ok(StatusCode::OK)) => {}
            Some(Ok(status)) => tracing::debug!(%status, class, ?taken, "call not served"),
            Some(Err(error)) => tracing::debug!(%error, class, ?taken, "call failed"),
            None => tracing::debug!(class, ?taken, "call not answered"),
        }
        self.end(path, measured, |tally| {
            tally.sent += 1;
            match status {
                Some(Ok(StatusCode::OK)) => {
                    tally.served += 1;
                    tally.times.saturating_record(u64::try_from(taken.as_nanos()).unwrap_or(u64::MAX));
                }
                Some(Ok(StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE)) => {
                    tally.refused += 1
                }
                _ => tally.failed += 1,
            }
        });
    }

    /// Where a call goes, and what it says; `None` where there is nobody to call.
    fn request(&self, path: Path, class: usize) -> Option<(SocketAddr, Request<Full<Bytes>>)> {
        let address = match path {
            Path::Balanced => self.front.next()?,
            Path::Direct => {
                let next = self.next_upstream.fetch_add(1, Ordering::Relaxed);
                *self.upstreams.get(next % self.upstreams.len())?
            }
        };
        let effect = Effect::of(class);
        let id = format!("{:016x}", self.next_id.fetch_add(1, Ordering::Relaxed));
        let name = class_name(class);
        let mut request = Request::builder()
            .method(if effect == Effect::Safe { Method::GET } else { Method::POST })
            .uri(format!("/{name}/1"))
            .header("Host", "backend.local")
            .header("X-Call-Id", &id)
            .header("X-Call-Class", name)
            .header("X-Caller", "acme")
            .header("X-Budget", format!("{:.3}", self.deadline.as_secs_f64()));
        if effect == Effect::Keyed {
            request = request.header("Idempotency-Key", format!("{id}{id}"));
        }
        if path == Path::Direct {
            request = request.header(DIRECT, "1");
        }
        let body = if effect == Effect::Safe { Bytes::new() } else { self.body.clone() };
        Some((address, request.body(Full::new(body)).ok()?))
    }
}
