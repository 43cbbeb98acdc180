//! A stand-in for discovery and the agents on the balancers' machines: one address for each balancer, one list.

use super::balancer::zone_name;
use super::listen;
use crate::lock;
use anyhow::Result;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, timeout};

/// The longest wait of a watch.
const MOST_WAIT: Duration = Duration::from_secs(60);
/// Version of the first list.
const FIRST: u64 = 1;

/// An upstream as it is listed.
#[derive(Clone, Debug)]
pub struct Listed {
    pub endpoint: SocketAddr,
    pub zone: usize,
}

/// The service, and what its callers have cost.
pub struct Discovery {
    shared: Arc<Shared>,
    agents: Vec<SocketAddr>,
}

struct Shared {
    state: Mutex<State>,
    /// Changes whenever a watch may have something to tell.
    changed: watch::Sender<()>,
    meters: Vec<Meter>,
}

struct State {
    rev: u64,
    targets: Vec<Target>,
    down: bool,
    /// Changes that someone was missing when it came up again.
    kept_back: usize,
    /// One for each version after the first.
    changes: Vec<Change>,
    subscribers: Vec<Subscriber>,
}

struct Target {
    listed: Listed,
    draining: bool,
    /// Version of its last change.
    rev: u64,
}

/// A change of the list.
struct Change {
    /// When discovery had it and could be reached.
    since: Instant,
    /// Balancers that have not taken it.
    missing: usize,
    /// Time until the last of them had.
    propagation_delay: Option<Duration>,
}

/// What a balancer has.
#[derive(Clone, Default)]
struct Subscriber {
    /// The version it last asked beyond.
    rev: u64,
    /// Changes beyond this version are counted, if it is to follow at all.
    counted_from: Option<u64>,
}

/// What a balancer's calls have cost, since the beginning.
#[derive(Clone, Debug, Default)]
struct Meter {
    bytes: Arc<AtomicU64>,
    requests: Arc<AtomicU64>,
}

/// What control has cost one balancer, since the beginning.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cost {
    /// Bytes on the connections, both ways, without what TCP adds.
    pub bytes: u64,
    pub requests: u64,
}

impl Discovery {
    /// Listens for so many balancers.
    pub async fn start(balancers: usize, listed: Vec<Listed>) -> Result<Self> {
        let targets =
            listed.into_iter().map(|listed| Target { listed, draining: false, rev: FIRST }).collect();
        let subscribers = vec![Subscriber::default(); balancers];
        let state =
            State { rev: FIRST, targets, down: false, kept_back: 0, changes: Vec::new(), subscribers };
        let meters = (0..balancers).map(|_| Meter::default()).collect();
        let shared = Arc::new(Shared { state: Mutex::new(state), changed: watch::Sender::new(()), meters });
        let mut agents = Vec::new();
        for at in 0..balancers {
            let shared = shared.clone();
            agents.push(listen(move |tcp| serve(shared.clone(), at, tcp)).await?);
        }
        Ok(Self { shared, agents })
    }

    /// Where a balancer calls.
    pub fn agent(&self, at: usize) -> SocketAddr {
        self.agents[at]
    }

    /// The list of a balancer that never had one.
    pub fn known_nothing(&self) -> Value {
        json!({"rev": 0, "all": true, "targets": []})
    }

    /// The list as it is now, for a balancer that will have been told of it last.
    pub fn known(&self) -> Value {
        lock(&self.shared.state).list(0)
    }

    /// From now on a balancer is to follow changes.
    pub fn start_tracking(&self, at: usize) {
        let mut state = lock(&self.shared.state);
        state.subscribers[at].counted_from = Some(state.rev);
    }

    /// A balancer is about to end: what it has not taken, it need not.
    pub fn stop_tracking(&self, at: usize) {
        let mut state = lock(&self.shared.state);
        let rev = state.rev;
        state.has_taken(at, rev);
        state.subscribers[at].counted_from = None;
    }

    /// An upstream starts to drain, or is back in service.
    pub fn change(&self, at: usize, draining: bool) {
        let mut state = lock(&self.shared.state);
        state.rev += 1;
        let rev = state.rev;
        state.targets[at].draining = draining;
        state.targets[at].rev = rev;
        let missing = state.subscribers.iter().filter(|subscriber| subscriber.counted_from.is_some()).count();
        state.changes.push(Change { since: Instant::now(), missing, propagation_delay: None });
        drop(state);
        self.shared.changed.send_replace(());
    }

    /// While it is down, it says nothing at all.
    pub fn set_down(&self, down: bool) {
        let mut state = lock(&self.shared.state);
        state.down = down;
        if !down {
            // Nobody could have known before.
            let now = Instant::now();
            let mut kept_back = 0;
            for change in state.changes.iter_mut().filter(|change| change.missing > 0) {
                change.since = now;
                kept_back += 1;
            }
            state.kept_back += kept_back;
        }
        drop(state);
        self.shared.changed.send_replace(());
    }

    /// Waits until every change is followed by everyone.
    pub async fn all_changes_propagated(&self) {
        let mut changed = self.shared.changed.subscribe();
        let all = |shared: &Shared| lock(&shared.state).changes.iter().all(|change| change.missing == 0);
        while !all(&self.shared) {
            if changed.changed().await.is_err() {
                return;
            }
        }
    }

    /// Time from each change, or from when discovery could be reached again, to the last balancer that had taken
    /// it; `None` where one has not.
    pub fn propagation_delays(&self) -> Vec<Option<Duration>> {
        lock(&self.shared.state).changes.iter().map(|change| change.propagation_delay).collect()
    }

    /// Changes that a time without discovery has kept from someone.
    pub fn kept_back(&self) -> usize {
        lock(&self.shared.state).kept_back
    }

    /// What each balancer's calls have cost so far.
    pub fn costs(&self) -> Vec<Cost> {
        let cost = |meter: &Meter| Cost {
            bytes: meter.bytes.load(Ordering::Relaxed),
            requests: meter.requests.load(Ordering::Relaxed),
        };
        self.shared.meters.iter().map(cost).collect()
    }
}

impl State {
    /// The whole list, or what has changed since a version.
    fn list(&self, after: u64) -> Value {
        let whole = after == 0 || after > self.rev;
        let targets = self.targets.iter().enumerate().filter(|(_, target)| whole || target.rev > after);
        let entry = |(at, target): (usize, &Target)| {
            json!({"uid": format!("s-{at:08x}"), "endpoint": target.listed.endpoint.to_string(),
                "az": zone_name(target.listed.zone), "model": "m", "pod_group": 0,
                "state": if target.draining { "terminating" } else { "in_service" },
                "capacity_hint": 1.0, "boot_ms": 0})
        };
        json!({"rev": self.rev, "all": whole, "targets": targets.map(entry).collect::<Vec<_>>()})
    }

    /// A balancer has asked for what is newer than a version, so it has taken all up to that. Tells whether it was
    /// the last to take some change.
    fn has_taken(&mut self, at: usize, rev: u64) -> bool {
        let rev = rev.min(self.rev);
        let subscriber = &mut self.subscribers[at];
        let had = subscriber.rev.max(subscriber.counted_from.unwrap_or(u64::MAX)).min(rev);
        subscriber.rev = subscriber.rev.max(rev);
        let change_at = |rev: u64| (rev.max(FIRST) - FIRST) as usize;
        let mut was_last = false;
        for change in &mut self.changes[change_at(had)..change_at(rev)] {
            change.missing = change.missing.saturating_sub(1);
            if change.missing == 0 {
                change.propagation_delay = Some(change.since.elapsed());
                was_last = true;
            }
        }
        was_last
    }
}

async fn serve(shared: Arc<Shared>, at: usize, tcp: TcpStream) {
    let meter = shared.meters[at].clone();
    let requests = meter.requests.clone();
    let service = service_fn(|request: Request<Incoming>| {
        requests.fetch_add(1, Ordering::Relaxed);
        let shared = shared.clone();
        async move { Ok::<_, Infallible>(answer(&shared, at, &request).await) }
    });
    let metered = TokioIo::new(Metered { tcp, bytes: meter.bytes });
    // A balancer that gives up or ends breaks its connection: nothing is wrong.
    hyper::server::conn::http1::Builder::new().serve_connection(metered, service).await.ok();
}

async fn answer(shared: &Shared, at: usize, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let reply = |status, text: String| {
        let mut reply = Response::new(Full::new(Bytes::from(text)));
        *reply.status_mut() = status;
        reply
    };
    if request.uri().path() != "/v1/servers" {
        return reply(StatusCode::NOT_FOUND, String::new());
    }
    let parameter = |name: &str| {
        let pairs = request.uri().query()?.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse::<u64>().ok())
    };
    let after = parameter("after").unwrap_or(0);
    let wait = Duration::from_millis(parameter("wait_ms").unwrap_or(0)).min(MOST_WAIT);
    let mut changed = shared.changed.subscribe();
    let was_last = lock(&shared.state).has_taken(at, after);
    if was_last {
        shared.changed.send_replace(());
    }
    let newer = async {
        loop {
            let (down, rev) = {
                let state = lock(&shared.state);
                (state.down, state.rev)
            };
            if !down && (rev > after || after > rev) {
                return;
            }
            if changed.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    };
    timeout(wait, newer).await.ok();
    // The wait may be over while discovery is down, and a call without one may come then.
    let mut changed = shared.changed.subscribe();
    loop {
        let list = {
            let state = lock(&shared.state);
            (!state.down).then(|| state.list(after))
        };
        match list {
            Some(list) => return reply(StatusCode::OK, list.to_string()),
            None if changed.changed().await.is_ok() => {}
            None => return reply(StatusCode::SERVICE_UNAVAILABLE, String::new()),
        }
    }
}

/// A connection whose bytes are counted.
struct Metered {
    tcp: TcpStream,
    bytes: Arc<AtomicU64>,
}

impl AsyncRead for Metered {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        into: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = into.filled().len();
        let read = Pin::new(&mut self.tcp).poll_read(context, into);
        self.bytes.fetch_add((into.filled().len() - before) as u64, Ordering::Relaxed);
        read
    }
}

impl AsyncWrite for Metered {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        from: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.tcp).poll_write(context, from);
        if let Poll::Ready(Ok(bytes)) = written {
            self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.tcp).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.tcp).poll_shutdown(context)
    }
}
