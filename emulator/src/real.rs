//! Real mode: balancer processes on the loopback interface, with upstreams, clients and discovery in this process.

mod balancer;
mod client;
mod config;
mod discovery;
mod measure;
mod pool;
mod upstream;

pub use config::{Config, DiscoveryOutage, ListDelivery, RollingRestart};

use self::balancer::{Balancer, Program};
use crate::experiment::Progress;
use crate::interrupt::Interrupt;
use crate::report::Outcome;
use crate::{lock, seeded_rng};
use anyhow::{Context, Result, bail};
use client::{Clients, Front};
use discovery::Discovery;
use measure::{Measurements, ProcessMonitor};
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

/// Time limit, after the requests have ended, for the balancers to acknowledge the last list changes; a change that is
/// not acknowledged by then counts as not followed. The limit is far longer than propagation should take, since slow
/// propagation is to be measured and reported as a figure rather than cut off.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(30);
/// Time limit for a balancer to exit after SIGTERM, in addition to the longest deadline.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between checks whether a balancer has exited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Returns the path of the balancer program: the requested one, or the release build in this program's target folder.
pub fn find_program(requested: Option<&Path>) -> Result<PathBuf> {
    let path = match requested {
        Some(path) => path.to_owned(),
        None => {
            let executable = std::env::current_exe().context("cannot find the path of this program")?;
            let target_folder = executable
                .parent()
                .and_then(Path::parent)
                .context("this program is not in a target folder")?;
            target_folder.join("release/balancer")
        }
    };
    match path.is_file() {
        true => path
            .canonicalize()
            .with_context(|| format!("cannot resolve the balancer path {}", path.display())),
        false => bail!(
            "no balancer at {}: build it (cargo build --release --locked) or name one with --balancer PATH",
            path.display()
        ),
    }
}

/// Runs a scenario. All balancer processes have ended when this returns, and are killed if it unwinds.
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
        .context("cannot start the runtime of the emulation")?;
    runtime.block_on(async {
        let fleet = Fleet::default();
        let outcome = tokio::select! {
            biased;
            interrupted = interrupt.wait() => Err(interrupted.into()),
            outcome = emulate(config, seed, program, &fleet, progress) => outcome,
        };
        fleet.kill_all().await;
        outcome
    })
}

/// The running balancer processes by index of the balancer.
#[derive(Default)]
struct Fleet(Mutex<Vec<Option<Balancer>>>);

impl Fleet {
    /// Locks the list of processes.
    fn lock(&self) -> MutexGuard<'_, Vec<Option<Balancer>>> {
        lock(&self.0)
    }

    /// Adds the process of a balancer, replacing one that has ended.
    fn insert(&self, index: usize, balancer: Balancer) {
        let mut balancers = self.lock();
        if balancers.len() <= index {
            balancers.resize_with(index + 1, || None);
        }
        balancers[index] = Some(balancer);
    }

    /// Applies a function to the process of a balancer, if there is one.
    fn with_balancer<T>(&self, index: usize, action: impl FnOnce(&mut Balancer) -> T) -> Option<T> {
        self.lock().get_mut(index)?.as_mut().map(action)
    }

    /// Kills all processes that still run and waits for them.
    async fn kill_all(&self) {
        let balancers: Vec<_> = self.lock().drain(..).flatten().collect();
        for mut balancer in balancers {
            balancer.kill().await;
        }
    }

    /// Returns the process id of each balancer.
    fn process_ids(&self) -> Vec<Option<u32>> {
        self.lock().iter().map(|balancer| balancer.as_ref().map(Balancer::process_id)).collect()
    }

    /// Fails if a ready balancer has exited without SIGTERM.
    fn check_running(&self) -> Result<()> {
        self.lock().iter_mut().flatten().try_for_each(Balancer::check_running)
    }
}

/// Starts all parts of the emulation, executes its phases and returns the outcome.
async fn emulate(
    config: &Config,
    seed: u64,
    program: &Path,
    fleet: &Fleet,
    progress: Progress<'_>,
) -> Result<Outcome> {
    let start = Instant::now();
    let total_length = config.warmup() + config.idle() + config.load();
    let advance = || progress((start.elapsed().as_secs_f64() / total_length.as_secs_f64()).min(1.0));
    let upstreams = Upstreams::start(config, seed).await?;
    let discovery = Discovery::start(config.balancers, upstreams.listed(config.zones)).await?;
    let program = Program::new(program, config, seed)?;
    let mut measurements = Measurements::default();

    // All balancers start at once, as after a power failure.
    let mut startups = JoinSet::new();
    for index in 0..config.balancers {
        let (balancer, startup) =
            program.start(index, 0, discovery.agent_address(index), discovery.empty_list())?;
        fleet.insert(index, balancer);
        startups.spawn(async move { (index, startup.wait_until_ready().await) });
    }
    let mut addresses = vec![None; config.balancers];
    while let Some(joined) = startups.join_next().await {
        let (index, ready) = joined.context("the startup task of a balancer failed")?;
        let ready = ready?;
        fleet.with_balancer(index, Balancer::mark_serving);
        discovery.start_tracking(index);
        measurements.startup_times.push(ready.startup_time);
        addresses[index] = Some(ready.address);
    }

    let front = Arc::new(Front::new(addresses));
    let clients = Clients::new(config, seed, front.clone(), upstreams.addresses());
    let monitor = ProcessMonitor::new(fleet, &discovery);

    let phases_and_changes = async {
        clients.send_requests(config.warmup(), false).await;
        let list_changes = change_list(config, seed, &discovery, &upstreams);
        let phases = async {
            // First the control traffic alone, then with requests: the difference is the cost of the requests.
            let baseline = monitor.sample();
            sleep(config.idle()).await;
            measurements.idle = monitor.usage_since(&baseline);
            let (baseline, attempts) = (monitor.sample(), upstreams.attempts());
            let faults = async {
                tokio::join!(
                    run_discovery_outage(config, &discovery),
                    rolling_restart(config, &program, fleet, &front, &discovery)
                )
            };
            // Waits for both: restarts may take longer than the requests.
            let (((), restarts), ()) = tokio::join!(faults, clients.send_requests(config.load(), true));
            measurements.load = monitor.usage_since(&baseline);
            measurements.attempts = upstreams.attempts() - attempts;
            restarts
        };
        tokio::select! {
            biased;
            restarts = phases => restarts,
            never = list_changes => match never {},
        }
    };
    let monitoring = async {
        loop {
            advance();
            monitor.update_peaks();
            if let Err(error) = fleet.check_running().and_then(|()| monitor.check_memory()) {
                return error;
            }
            sleep(Duration::from_millis(200)).await;
        }
    };
    measurements.restart_times = tokio::select! {
        restarts = phases_and_changes => restarts?,
        error = monitoring => return Err(error),
    };
    timeout(PROPAGATION_TIMEOUT, discovery.all_changes_propagated()).await.ok();
    monitor.update_peaks();
    fleet.check_running()?;
    measurements.peaks = monitor.into_peaks();
    Ok(measurements.outcome(config, &clients.tallies(), &upstreams, &discovery))
}

/// Changes the endpoint list at random times for as long as the future is polled: an upstream starts draining, or the
/// one that has been draining longest returns to service.
async fn change_list(
    config: &Config,
    seed: u64,
    discovery: &Discovery,
    upstreams: &Upstreams,
) -> std::convert::Infallible {
    let Ok(intervals) = Exp::new(config.change_rate) else { return std::future::pending().await };
    if config.change_rate == 0.0 {
        return std::future::pending().await;
    }
    let mut rng = seeded_rng(seed, 3);
    let mut draining: VecDeque<usize> = VecDeque::new();
    let mut next_change = Instant::now();
    loop {
        next_change += Duration::from_secs_f64(rng.sample::<f64, _>(intervals).min(1e6));
        sleep_until(next_change).await;
        if draining.len() < config.max_draining() && (draining.is_empty() || rng.random_bool(0.5)) {
            let serving: Vec<usize> = (0..config.targets).filter(|index| !draining.contains(index)).collect();
            let Some(&index) = serving.choose(&mut rng) else { continue };
            draining.push_back(index);
            discovery.set_draining(index, true);
            upstreams.set_draining(index, true);
        } else if let Some(index) = draining.pop_front() {
            upstreams.set_draining(index, false);
            discovery.set_draining(index, false);
        }
    }
}

/// Makes discovery stop responding for the configured time.
async fn run_discovery_outage(config: &Config, discovery: &Discovery) {
    let Some(outage) = &config.discovery_down else { return };
    sleep(Duration::from_secs_f64(outage.at_s)).await;
    discovery.set_down(true);
    sleep(Duration::from_secs_f64(outage.for_s)).await;
    discovery.set_down(false);
}

/// Replaces every balancer, one after another: sends SIGTERM, keeps the balancer in the front (the router before the
/// balancers) for `front_lag_s`, the time that the front takes to notice the stop, waits for the balancer's exit, and
/// adds the new process to the front once it is ready. Returns the startup times.
async fn rolling_restart(
    config: &Config,
    program: &Program<'_>,
    fleet: &Fleet,
    front: &Front,
    discovery: &Discovery,
) -> Result<Vec<Duration>> {
    let Some(restart) = &config.rolling_restart else { return Ok(Vec::new()) };
    let mut startup_times = Vec::new();
    sleep(Duration::from_secs_f64(restart.at_s)).await;
    for index in 0..config.balancers {
        discovery.stop_tracking(index);
        let list = discovery.current_list();
        fleet.with_balancer(index, Balancer::terminate);
        sleep(Duration::from_secs_f64(restart.front_lag_s)).await;
        front.remove(index);
        let exited = async {
            while fleet.with_balancer(index, Balancer::has_exited) == Some(false) {
                sleep(EXIT_POLL_INTERVAL).await;
            }
        };
        let stop_timeout = config.deadline() + STOP_TIMEOUT;
        if timeout(stop_timeout, exited).await.is_err() {
            bail!("balancer {index} did not exit within {stop_timeout:?} of SIGTERM");
        }
        let (balancer, startup) = program.start(index, 1, discovery.agent_address(index), list)?;
        fleet.insert(index, balancer);
        let ready_balancer = startup.wait_until_ready().await?;
        fleet.with_balancer(index, Balancer::mark_serving);
        startup_times.push(ready_balancer.startup_time);
        discovery.start_tracking(index);
        front.add(index, ready_balancer.address);
        sleep(Duration::from_secs_f64(restart.pause_s)).await;
    }
    Ok(startup_times)
}

/// Accepts and serves connections on a free port of the loopback address for as long as the runtime lives. Returns the
/// address with the port.
async fn listen<F>(
    serve: impl Fn(tokio::net::TcpStream) -> F + Send + 'static,
) -> Result<std::net::SocketAddr>
where
    F: Future<Output = ()> + Send + 'static,
{
    let listener = tokio::net::TcpListener::bind(("127.0.0.1", 0))
        .await
        .context("cannot listen on a port of 127.0.0.1")?;
    let address = listener.local_addr().context("cannot read the address of the listener")?;
    tokio::spawn(async move {
        loop {
            match listener.accept().await {
                Ok((connection, _)) => {
                    connection.set_nodelay(true).ok();
                    tokio::spawn(serve(connection));
                }
                Err(error) => {
                    tracing::warn!(%error, "cannot accept a connection on {address}");
                    sleep(Duration::from_millis(5)).await;
                }
            }
        }
    });
    Ok(address)
}
