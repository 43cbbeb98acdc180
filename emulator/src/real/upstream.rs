//! Emulated upstreams, which read a request, wait for the service time and respond.

use super::config::Config;
use super::discovery::ListedUpstream;
use super::listen;
use crate::{lock, seeded_rng};
use anyhow::Result;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep};

/// Header of requests that were sent without a balancer.
pub const DIRECT_HEADER: &str = "x-direct";

/// All upstreams of a run, with their addresses.
pub struct Upstreams(Vec<(SocketAddr, Arc<Upstream>)>);

/// An emulated upstream.
struct Upstream {
    service_time: Duration,
    error_share: f64,
    body: Bytes,
    rng: Mutex<ChaCha8Rng>,
    /// Number of attempts from balancers since the start.
    attempts: AtomicU64,
    drains: Mutex<DrainTimes>,
}

/// When the drains of an upstream started and their last attempts arrived.
#[derive(Default)]
struct DrainTimes {
    /// Start of the current drain, and the time from then until the last attempt.
    current: Option<(Instant, Duration)>,
    /// Time from the start of each past drain until its last attempt.
    past: Vec<Duration>,
}

impl Upstreams {
    /// Starts all upstreams.
    pub async fn start(config: &Config, seed: u64) -> Result<Self> {
        let mut upstreams = Vec::new();
        for index in 0..config.targets {
            let upstream = Arc::new(Upstream {
                service_time: Duration::from_millis(config.service_ms),
                error_share: config.error_share,
                body: Bytes::from(vec![b'a'; config.body_bytes]),
                rng: Mutex::new(seeded_rng(seed, 1 << 32 | index as u64)),
                attempts: AtomicU64::new(0),
                drains: Mutex::default(),
            });
            let shared = upstream.clone();
            upstreams.push((listen(move |stream| shared.clone().serve(stream)).await?, upstream));
        }
        Ok(Self(upstreams))
    }

    /// Returns the addresses of all upstreams.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.0.iter().map(|(address, _)| *address).collect()
    }

    /// Returns all upstreams as discovery lists them, in zones in turn.
    pub fn listed(&self, zones: usize) -> Vec<ListedUpstream> {
        let listed_upstream = |(index, (endpoint, _)): (usize, &(SocketAddr, _))| ListedUpstream {
            endpoint: *endpoint,
            zone: index % zones,
        };
        self.0.iter().enumerate().map(listed_upstream).collect()
    }

    /// Starts or ends a drain of an upstream, in which it should receive no new requests.
    pub fn set_draining(&self, index: usize, draining: bool) {
        let mut drains = lock(&self.0[index].1.drains);
        let last_attempt = drains.current.take().map(|(_, last_attempt)| last_attempt);
        drains.past.extend(last_attempt);
        drains.current = draining.then(|| (Instant::now(), Duration::ZERO));
    }

    /// Returns the time from the start of each drain until its last attempt.
    pub fn last_attempts_in_drains(&self) -> Vec<Duration> {
        let drains_of = |(_, upstream): &(_, Arc<Upstream>)| {
            let drains = lock(&upstream.drains);
            let current = drains.current.map(|(_, last_attempt)| last_attempt);
            drains.past.iter().copied().chain(current).collect::<Vec<_>>()
        };
        self.0.iter().flat_map(drains_of).collect()
    }

    /// Returns the number of attempts from balancers since the start.
    pub fn attempts(&self) -> u64 {
        self.0.iter().map(|(_, upstream)| upstream.attempts.load(Ordering::Relaxed)).sum()
    }
}

impl Upstream {
    /// Serves a connection.
    async fn serve(self: Arc<Self>, stream: TcpStream) {
        let service =
            service_fn(async |request: Request<Incoming>| Ok::<_, Infallible>(self.respond(request).await));
        // Balancers may close connections at any time: such errors are expected.
        hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service).await.ok();
    }

    /// Counts an attempt, waits for the service time and returns the body or an error.
    async fn respond(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        if !request.headers().contains_key(DIRECT_HEADER) {
            self.attempts.fetch_add(1, Ordering::Relaxed);
            if let Some((started_at, last_attempt)) = &mut lock(&self.drains).current {
                *last_attempt = started_at.elapsed();
            }
        }
        let mut response = Response::new(Full::new(self.body.clone()));
        if request.into_body().collect().await.is_err() {
            *response.status_mut() = StatusCode::BAD_REQUEST;
            return response;
        }
        if !self.service_time.is_zero() {
            sleep(self.service_time).await;
        }
        if self.error_share > 0.0 && lock(&self.rng).random_bool(self.error_share) {
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        }
        response
    }
}
