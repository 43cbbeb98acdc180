//! Emulated discovery, including the agents beside the balancers: one address per balancer, one list for all.

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

/// Maximum wait of a watch.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);
/// Version of the initial list.
const FIRST_VERSION: u64 = 1;

/// Address and zone of an upstream in the list.
#[derive(Clone, Debug)]
pub struct ListedUpstream {
    /// Address of the upstream.
    pub endpoint: SocketAddr,
    /// Index of its zone.
    pub zone: usize,
}

/// The discovery service, which also measures its traffic and the propagation of changes.
pub struct Discovery {
    shared: Arc<Shared>,
    agent_addresses: Vec<SocketAddr>,
}

/// State shared by the listeners.
struct Shared {
    state: Mutex<State>,
    /// Notified whenever the list, its availability or the propagation of a change may have changed.
    changed: watch::Sender<()>,
    meters: Vec<Meter>,
}

/// The list and the propagation of its changes.
struct State {
    rev: u64,
    targets: Vec<Target>,
    down: bool,
    /// Number of changes that an outage has delayed for some balancer.
    delayed_changes: usize,
    /// One for each version after the first.
    changes: Vec<Change>,
    watchers: Vec<Watcher>,
}

/// Entry of the list.
struct Target {
    upstream: ListedUpstream,
    draining: bool,
    /// Version of the last change of this upstream.
    rev: u64,
}

/// A change of the list.
struct Change {
    /// Time of the change, or of the end of the outage that delayed it.
    available_since: Instant,
    /// Number of balancers that have not acknowledged the change.
    pending_balancers: usize,
    /// Time until the last balancer acknowledged the change.
    propagation_delay: Option<Duration>,
}

/// What discovery knows about a balancer.
#[derive(Clone, Default)]
struct Watcher {
    /// Highest version that the balancer has acknowledged, by requesting newer ones.
    rev: u64,
    /// The propagation of changes after this version is tracked; `None` while the balancer is not tracked.
    tracked_from: Option<u64>,
}

/// Counters of a balancer's control traffic since the start.
#[derive(Clone, Debug, Default)]
struct Meter {
    bytes: Arc<AtomicU64>,
    requests: Arc<AtomicU64>,
}

/// Control traffic of one balancer since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ControlTraffic {
    /// Bytes in both directions, without the overhead of TCP.
    pub bytes: u64,
    /// Number of requests.
    pub requests: u64,
}

impl Discovery {
    /// Starts one listener for each balancer.
    pub async fn start(balancers: usize, upstreams: Vec<ListedUpstream>) -> Result<Self> {
        let targets = upstreams
            .into_iter()
            .map(|upstream| Target { upstream, draining: false, rev: FIRST_VERSION })
            .collect();
        let watchers = vec![Watcher::default(); balancers];
        let state = State {
            rev: FIRST_VERSION,
            targets,
            down: false,
            delayed_changes: 0,
            changes: Vec::new(),
            watchers,
        };
        let meters = (0..balancers).map(|_| Meter::default()).collect();
        let shared = Arc::new(Shared { state: Mutex::new(state), changed: watch::Sender::new(()), meters });
        let mut agent_addresses = Vec::new();
        for balancer in 0..balancers {
            let shared = shared.clone();
            agent_addresses.push(listen(move |stream| serve(shared.clone(), balancer, stream)).await?);
        }
        Ok(Self { shared, agent_addresses })
    }

    /// Returns the address that a balancer requests its list from.
    pub fn agent_address(&self, balancer: usize) -> SocketAddr {
        self.agent_addresses[balancer]
    }

    /// Returns the stored list of a balancer that has never received one.
    pub fn empty_list(&self) -> Value {
        json!({"rev": 0, "all": true, "targets": []})
    }

    /// Returns the current list, in the form that a balancer stores.
    pub fn current_list(&self) -> Value {
        lock(&self.shared.state).list(0)
    }

    /// Starts tracking the propagation of changes to a balancer.
    pub fn start_tracking(&self, balancer: usize) {
        let mut state = lock(&self.shared.state);
        state.watchers[balancer].tracked_from = Some(state.rev);
    }

    /// Stops tracking a balancer that is about to end: pending changes no longer wait for it.
    pub fn stop_tracking(&self, balancer: usize) {
        let mut state = lock(&self.shared.state);
        let rev = state.rev;
        state.acknowledge(balancer, rev);
        state.watchers[balancer].tracked_from = None;
    }

    /// Lists an upstream as draining or as in service.
    pub fn set_draining(&self, upstream: usize, draining: bool) {
        let mut state = lock(&self.shared.state);
        state.rev += 1;
        let rev = state.rev;
        state.targets[upstream].draining = draining;
        state.targets[upstream].rev = rev;
        let pending_balancers =
            state.watchers.iter().filter(|watcher| watcher.tracked_from.is_some()).count();
        state.changes.push(Change {
            available_since: Instant::now(),
            pending_balancers,
            propagation_delay: None,
        });
        drop(state);
        self.shared.changed.send_replace(());
    }

    /// Starts or ends an outage, in which discovery does not respond.
    pub fn set_down(&self, down: bool) {
        let mut state = lock(&self.shared.state);
        state.down = down;
        if !down {
            // The delay of pending changes is measured from now on, as they could not propagate during the outage.
            let now = Instant::now();
            let mut delayed_changes = 0;
            for change in state.changes.iter_mut().filter(|change| change.pending_balancers > 0) {
                change.available_since = now;
                delayed_changes += 1;
            }
            state.delayed_changes += delayed_changes;
        }
        drop(state);
        self.shared.changed.send_replace(());
    }

    /// Waits until every change has reached all balancers.
    pub async fn all_changes_propagated(&self) {
        let mut changed = self.shared.changed.subscribe();
        let all_propagated =
            |shared: &Shared| lock(&shared.state).changes.iter().all(|change| change.pending_balancers == 0);
        while !all_propagated(&self.shared) {
            if changed.changed().await.is_err() {
                return;
            }
        }
    }

    /// Returns the propagation delay of each change: from the change, or the end of the outage that delayed it, until
    /// the last balancer acknowledged it; `None` if one has not.
    pub fn propagation_delays(&self) -> Vec<Option<Duration>> {
        lock(&self.shared.state).changes.iter().map(|change| change.propagation_delay).collect()
    }

    /// Returns the number of changes that an outage has delayed for some balancer.
    pub fn delayed_changes(&self) -> usize {
        lock(&self.shared.state).delayed_changes
    }

    /// Returns each balancer's control traffic since the start.
    pub fn control_traffic(&self) -> Vec<ControlTraffic> {
        let traffic = |meter: &Meter| ControlTraffic {
            bytes: meter.bytes.load(Ordering::Relaxed),
            requests: meter.requests.load(Ordering::Relaxed),
        };
        self.shared.meters.iter().map(traffic).collect()
    }
}

impl State {
    /// Returns the complete list, or the changes after a version.
    fn list(&self, after: u64) -> Value {
        let complete = after == 0 || after > self.rev;
        let targets = self.targets.iter().enumerate().filter(|(_, target)| complete || target.rev > after);
        let target_json = |(index, target): (usize, &Target)| {
            json!({"uid": format!("s-{index:08x}"), "endpoint": target.upstream.endpoint.to_string(),
                "az": zone_name(target.upstream.zone), "model": "m", "pod_group": 0,
                "state": if target.draining { "terminating" } else { "in_service" },
                "capacity_hint": 1.0, "boot_ms": 0})
        };
        json!({"rev": self.rev, "all": complete, "targets": targets.map(target_json).collect::<Vec<_>>()})
    }

    /// Records that a balancer has acknowledged all versions up to `rev` by requesting newer ones. Returns whether
    /// this completed the propagation of a change.
    fn acknowledge(&mut self, balancer: usize, rev: u64) -> bool {
        let rev = rev.min(self.rev);
        let watcher = &mut self.watchers[balancer];
        let previous = watcher.rev.max(watcher.tracked_from.unwrap_or(u64::MAX)).min(rev);
        watcher.rev = watcher.rev.max(rev);
        let change_index = |rev: u64| (rev.max(FIRST_VERSION) - FIRST_VERSION) as usize;
        let mut completed_change = false;
        for change in &mut self.changes[change_index(previous)..change_index(rev)] {
            change.pending_balancers = change.pending_balancers.saturating_sub(1);
            if change.pending_balancers == 0 {
                change.propagation_delay = Some(change.available_since.elapsed());
                completed_change = true;
            }
        }
        completed_change
    }
}

/// Serves a connection of a balancer.
async fn serve(shared: Arc<Shared>, balancer: usize, stream: TcpStream) {
    let meter = shared.meters[balancer].clone();
    let requests = meter.requests.clone();
    let service = service_fn(|request: Request<Incoming>| {
        requests.fetch_add(1, Ordering::Relaxed);
        let shared = shared.clone();
        async move { Ok::<_, Infallible>(respond(&shared, balancer, &request).await) }
    });
    let metered = TokioIo::new(MeteredStream { stream, bytes: meter.bytes });
    // Balancers close connections on timeouts and when they end: such errors are expected.
    hyper::server::conn::http1::Builder::new().serve_connection(metered, service).await.ok();
}

/// Answers `/v1/servers`, waiting for a newer version if the request asks for it.
async fn respond(shared: &Shared, balancer: usize, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let response = |status, text: String| {
        let mut response = Response::new(Full::new(Bytes::from(text)));
        *response.status_mut() = status;
        response
    };
    if request.uri().path() != "/v1/servers" {
        return response(StatusCode::NOT_FOUND, String::new());
    }
    let parameter = |name: &str| {
        let pairs = request.uri().query()?.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse::<u64>().ok())
    };
    let after = parameter("after").unwrap_or(0);
    let wait = Duration::from_millis(parameter("wait_ms").unwrap_or(0)).min(MAX_WATCH_WAIT);
    let mut changed = shared.changed.subscribe();
    let completed_change = lock(&shared.state).acknowledge(balancer, after);
    if completed_change {
        shared.changed.send_replace(());
    }
    let newer_list = async {
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
    timeout(wait, newer_list).await.ok();
    // The wait may time out during an outage, and a request without a wait may arrive in one: both wait for its end.
    let mut changed = shared.changed.subscribe();
    loop {
        let list = {
            let state = lock(&shared.state);
            (!state.down).then(|| state.list(after))
        };
        match list {
            Some(list) => return response(StatusCode::OK, list.to_string()),
            None if changed.changed().await.is_ok() => {}
            None => return response(StatusCode::SERVICE_UNAVAILABLE, String::new()),
        }
    }
}

/// A connection that counts its bytes.
struct MeteredStream {
    stream: TcpStream,
    bytes: Arc<AtomicU64>,
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.bytes.fetch_add((buffer.filled().len() - before) as u64, Ordering::Relaxed);
        read
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, data);
        if let Poll::Ready(Ok(bytes)) = written {
            self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
