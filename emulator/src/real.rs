//! Real balancers on loopback, beside upstreams, clients and discovery that share this process.

mod balancer;
mod client;
mod config;
mod discovery;
mod measure;
mod pool;
mod upstream;

pub use config::{Config, DiscoveryDown, ListsCome, RollingRestart};

use self::balancer::{Balancer, Program};
use crate::experiment::Progress;
use crate::interrupt::Interrupt;
use crate::report::Outcome;
use crate::{lock, seeded_rng};
use anyhow::{Context, Result, bail};
use client::{Clients, Front};
use discovery::Discovery;
use measure::{Measured, Watch};
use rand::Rng;
use rand::seq::IndexedRandom;
use rand_distr::Exp;
use std::collections::VecDeque;
use std::future::Future;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use upstream::Upstreams;

/// How long the last changes are waited for after the calls have ended, until they count as not followed. Far more
/// than is owed: how long each took is a figure of its own.
const SETTLE: Duration = Duration::from_secs(30);
/// How long a balancer may take to end after SIGTERM, beyond the longest deadline.
const STOP_PATIENCE: Duration = Duration::from_secs(10);

/// Pause between two looks whether a balancer has ended.
const LOOK_EVERY: Duration = Duration::from_millis(5);

/// The balancers' program: the one that is named, or the release build in the target folder of this program.
pub fn find_program(named: Option<&Path>) -> Result<PathBuf> {
    let path = match named {
        Some(path) => path.to_owned(),
        None => {
            let own = std::env::current_exe().context("cannot find the folder of this program")?;
            let target =
                own.parent().and_then(Path::parent).context("this program is in no target folder")?;
            target.join("release/balancer")
        }
    };
    match path.is_file() {
        true => path.canonicalize().with_context(|| format!("balancer {}", path.display())),
        false => bail!(
            "no balancer at {}: build it (cargo build --release --locked) or name one with --balancer PATH",
            path.display()
        ),
    }
}

/// Runs a scenario. Its children are gone when this returns, and are killed where it unwinds.
pub fn run(
    config: &Config,
    seed: u64,
    program: &Path,
    interrupt: &Interrupt,
    progress: Progress<'_>,
) -> Result<Outcome> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(config.threads)
        .enable_all()
        .build()
        .context("cannot start the runtime")?;
    runtime.block_on(async {
        let fleet = Fleet::default();
        let outcome = tokio::select! {
            biased;
            interrupted = interrupt.wait() => Err(interrupted.into()),
            outcome = emulate(config, seed, program, &fleet, progress) => outcome,
        };
        fleet.end().await;
        outcome
    })
}

/// The processes of the balancers, by the balancers' number. All that live are here at any time.
#[derive(Default)]
struct Fleet(Mutex<Vec<Option<Balancer>>>);

impl Fleet {
    fn lock(&self) -> MutexGuard<'_, Vec<Option<Balancer>>> {
        lock(&self.0)
    }

    /// Takes a process in, in place of one that has ended.
    fn put(&self, at: usize, balancer: Balancer) {
        let mut balancers = self.lock();
        if balancers.len() <= at {
            balancers.resize_with(at + 1, || None);
        }
        balancers[at] = Some(balancer);
    }

    /// Does something with the process of a balancer, if it has one.
    fn with<T>(&self, at: usize, act: impl FnOnce(&mut Balancer) -> T) -> Option<T> {
        self.lock().get_mut(at)?.as_mut().map(act)
    }

    /// Kills all that still run and waits until they are gone.
    async fn end(&self) {
        let balancers: Vec<_> = self.lock().drain(..).flatten().collect();
        for mut balancer in balancers {
            balancer.kill().await;
        }
    }

    /// The processes' numbers.
    fn processes(&self) -> Vec<Option<u32>> {
        self.lock().iter().map(|balancer| balancer.as_ref().map(Balancer::process)).collect()
    }

    /// Fails if one has ended that was not told to.
    fn check(&self) -> Result<()> {
        self.lock().iter_mut().flatten().try_for_each(Balancer::check)
    }
}

async fn emulate(
    config: &Config,
    seed: u64,
    program: &Path,
    fleet: &Fleet,
    progress: Progress<'_>,
) -> Result<Outcome> {
    let start = Instant::now();
    let length = config.warmup() + config.idle() + config.load();
    let advance = || progress((start.elapsed().as_secs_f64() / length.as_secs_f64()).min(1.0));
    let upstreams = Upstreams::start(config, seed).await?;
    let discovery = Discovery::start(config.balancers, upstreams.listed(config.zones)).await?;
    let program = Program::new(program, config, seed)?;
    let mut measured = Measured::default();

    // All at once, as after a power cut.
    let mut starting = JoinSet::new();
    for at in 0..config.balancers {
        let (balancer, start) = program.start(at, 0, discovery.agent(at), discovery.known_nothing())?;
        fleet.put(at, balancer);
        starting.spawn(async move { (at, start.ready().await) });
    }
    let mut addresses = vec![None; config.balancers];
    while let Some(joined) = starting.join_next().await {
        let (at, ready) = joined.context("a start was not finished")?;
        let ready = ready?;
        fleet.with(at, Balancer::serves);
        discovery.start_tracking(at);
        measured.ready.push(ready.after);
        addresses[at] = Some(ready.address);
    }

    let front = Arc::new(Front::new(addresses));
    let clients = Clients::new(config, seed, front.clone(), upstreams.addresses());
    let watch = Watch::new(fleet, &discovery);

    let body = async {
        clients.send_requests(config.warmup(), false).await;
        let changing = change(config, seed, &discovery, &upstreams);
        let phases = async {
            // Control alone first, and then the same with calls: the difference is what calls cost.
            let from = watch.look();
            sleep(config.idle()).await;
            measured.idle = watch.since(&from);
            let (from, attempts) = (watch.look(), upstreams.attempts());
            let faults = async {
                tokio::join!(
                    discovery_down(config, &discovery),
                    rolling_restart(config, &program, fleet, &front, &discovery)
                )
            };
            // Restarts that the calls do not see to their end are waited for.
            let (((), restarts), ()) = tokio::join!(faults, clients.send_requests(config.load(), true));
            measured.load = watch.since(&from);
            measured.attempts = upstreams.attempts() - attempts;
            restarts
        };
        tokio::select! {
            biased;
            restarts = phases => restarts,
            never = changing => match never {},
        }
    };
    let ticking = async {
        loop {
            advance();
            watch.peaks();
            if let Err(error) = fleet.check().and_then(|()| watch.check_memory()) {
                return error;
            }
            sleep(Duration::from_millis(200)).await;
        }
    };
    measured.restarts = tokio::select! {
        restarts = body => restarts?,
        error = ticking => return Err(error),
    };
    timeout(SETTLE, discovery.all_changes_propagated()).await.ok();
    watch.peaks();
    fleet.check()?;
    measured.peaks = watch.into_peaks();
    Ok(measured.outcome(config, &clients.tallies(), &upstreams, &discovery))
}

/// Changes the list for as long as it is polled: an upstream starts to drain, or the one that has drained for
/// longest is back in service.
async fn change(
    config: &Config,
    seed: u64,
    discovery: &Discovery,
    upstreams: &Upstreams,
) -> std::convert::Infallible {
    let Ok(gaps) = Exp::new(config.change_rate) else { return std::future::pending().await };
    if config.change_rate == 0.0 {
        return std::future::pending().await;
    }
    let mut random = seeded_rng(seed, 3);
    let mut draining: VecDeque<usize> = VecDeque::new();
    let mut next = Instant::now();
    loop {
        next += Duration::from_secs_f64(random.sample::<f64, _>(gaps).min(1e6));
        sleep_until(next).await;
        if draining.len() < config.most_draining() && (draining.is_empty() || random.random_bool(0.5)) {
            let serving: Vec<usize> = (0..config.targets).filter(|at| !draining.contains(at)).collect();
            let Some(&at) = serving.choose(&mut random) else { continue };
            draining.push_back(at);
            discovery.change(at, true);
            upstreams.drains(at, true);
        } else if let Some(at) = draining.pop_front() {
            upstreams.drains(at, false);
            discovery.change(at, false);
        }
    }
}

async fn discovery_down(config: &Config, discovery: &Discovery) {
    let Some(down) = &config.discovery_down else { return };
    sleep(Duration::from_secs_f64(down.at_s)).await;
    discovery.set_down(true);
    sleep(Duration::from_secs_f64(down.for_s)).await;
    discovery.set_down(false);
}

/// Replaces every balancer, one after another: SIGTERM, calls for as long as the front has not heard of it, the
/// end of the process, and a new one that is put to use once it is ready. Gives the times that the new ones took.
async fn rolling_restart(
    config: &Config,
    program: &Program<'_>,
    fleet: &Fleet,
    front: &Front,
    discovery: &Discovery,
) -> Result<Vec<Duration>> {
    let Some(restart) = &config.rolling_restart else { return Ok(Vec::new()) };
    let mut ready = Vec::new();
    sleep(Duration::from_secs_f64(restart.at_s)).await;
    for at in 0..config.balancers {
        discovery.stop_tracking(at);
        let known = discovery.known();
        fleet.with(at, Balancer::terminate);
        sleep(Duration::from_secs_f64(restart.front_lag_s)).await;
        front.remove(at);
        let ended = async {
            while fleet.with(at, Balancer::has_ended) == Some(false) {
                sleep(LOOK_EVERY).await;
            }
        };
        let patience = config.deadline() + STOP_PATIENCE;
        if timeout(patience, ended).await.is_err() {
            bail!("balancer {at} did not end within {patience:?} of SIGTERM");
        }
        let (balancer, start) = program.start(at, 1, discovery.agent(at), known)?;
        fleet.put(at, balancer);
        let new = start.ready().await?;
        fleet.with(at, Balancer::serves);
        ready.push(new.after);
        discovery.start_tracking(at);
        front.admit(at, new.address);
        sleep(Duration::from_secs_f64(restart.pause_s)).await;
    }
    Ok(ready)
}

/// Serves each connection to a free port of the loopback address for as long as the runtime lives.
async fn listen<F>(
    serve: impl Fn(tokio::net::TcpStream) -> F + Send + 'static,
) -> Result<std::net::SocketAddr>
where
    F: Future<Output = ()> + Send + 'static,
{
    let listener =
        tokio::net::TcpListener::bind(("127.0.0.1", 0)).await.context("no free port on 127.0.0.1")?;
    let address = listener.local_addr().context("no address of a listener")?;
    tokio::spawn(async move {
        loop {
            match listener.accept().await {
                Ok((tcp, _)) => {
                    tcp.set_nodelay(true).ok();
                    tokio::spawn(serve(tcp));
                }
                Err(error) => {
                    tracing::warn!(%error, "cannot take a connection");
                    sleep(Duration::from_millis(5)).await;
                }
            }
        }
    });
    Ok(address)
}
