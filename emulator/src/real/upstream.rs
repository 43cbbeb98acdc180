//! Hollow upstreams: they take a call, wait, and answer.

use super::config::Config;
use super::discovery::Listed;
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

/// Marks a call that comes from no balancer.
pub const DIRECT: &str = "x-direct";

/// All upstreams of a run.
pub struct Upstreams(Vec<(SocketAddr, Arc<Upstream>)>);

struct Upstream {
    service: Duration,
    error_share: f64,
    answer: Bytes,
    random: Mutex<ChaCha8Rng>,
    /// Attempts that balancers have sent, since the beginning.
    attempts: AtomicU64,
    drains: Mutex<Drains>,
}

#[derive(Default)]
struct Drains {
    /// Since when it drains, and how long after that the latest attempt came.
    present: Option<(Instant, Duration)>,
    /// How long after its beginning the latest attempt of each past drain came.
    past: Vec<Duration>,
}

impl Upstreams {
    pub async fn start(config: &Config, seed: u64) -> Result<Self> {
        let mut upstreams = Vec::new();
        for at in 0..config.targets {
            let upstream = Arc::new(Upstream {
                service: Duration::from_millis(config.service_ms),
                error_share: config.error_share,
                answer: Bytes::from(vec![b'a'; config.body_bytes]),
                random: Mutex::new(seeded_rng(seed, 1 << 32 | at as u64)),
                attempts: AtomicU64::new(0),
                drains: Mutex::default(),
            });
            let serving = upstream.clone();
            upstreams.push((listen(move |tcp| serving.clone().serve(tcp)).await?, upstream));
        }
        Ok(Self(upstreams))
    }

    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.0.iter().map(|(address, _)| *address).collect()
    }

    /// All of them as discovery lists them, in zones in turn.
    pub fn listed(&self, zones: usize) -> Vec<Listed> {
        let listed =
            |(at, (endpoint, _)): (usize, &(SocketAddr, _))| Listed { endpoint: *endpoint, zone: at % zones };
        self.0.iter().enumerate().map(listed).collect()
    }

    /// From now on one is to get nothing new, or again something.
    pub fn drains(&self, at: usize, draining: bool) {
        let mut drains = lock(&self.0[at].1.drains);
        let ended = drains.present.take().map(|(_, latest)| latest);
        drains.past.extend(ended);
        drains.present = draining.then(|| (Instant::now(), Duration::ZERO));
    }

    /// How long after the beginning of each drain the latest attempt came.
    pub fn latest_in_drains(&self) -> Vec<Duration> {
        let of = |(_, upstream): &(_, Arc<Upstream>)| {
            let drains = lock(&upstream.drains);
            let present = drains.present.map(|(_, latest)| latest);
            drains.past.iter().copied().chain(present).collect::<Vec<_>>()
        };
        self.0.iter().flat_map(of).collect()
    }

    /// Attempts that balancers have sent to all of them so far.
    pub fn attempts(&self) -> u64 {
        self.0.iter().map(|(_, upstream)| upstream.attempts.load(Ordering::Relaxed)).sum()
    }
}

impl Upstream {
    async fn serve(self: Arc<Self>, tcp: TcpStream) {
        let service =
            service_fn(async |request: Request<Incoming>| Ok::<_, Infallible>(self.answer(request).await));
        // A connection that its balancer closes is no fault.
        hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(tcp), service).await.ok();
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        if !request.headers().contains_key(DIRECT) {
            self.attempts.fetch_add(1, Ordering::Relaxed);
            if let Some((since, latest)) = &mut lock(&self.drains).present {
                *latest = since.elapsed();
            }
        }
        let mut reply = Response::new(Full::new(self.answer.clone()));
        if request.into_body().collect().await.is_err() {
            *reply.status_mut() = StatusCode::BAD_REQUEST;
            return reply;
        }
        if !self.service.is_zero() {
            sleep(self.service).await;
        }
        if self.error_share > 0.0 && lock(&self.random).random_bool(self.error_share) {
            *reply.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        }
        reply
    }
}
