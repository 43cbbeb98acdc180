//! A real balancer process: configuration, start and end.

use super::config::{Config, ListDelivery};
use anyhow::{Context, Result, bail};
use bytes::Bytes;
use http_body_util::Empty;
use hyper::Request;
use hyper_util::rt::TokioIo;
use rand::Rng;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::Path;
use std::process::Stdio;
use std::time::Duration;
use tempfile::TempDir;
use tokio::io::{AsyncBufReadExt, BufReader, Lines};
use tokio::net::TcpStream;
use tokio::process::{Child, ChildStderr, Command};
use tokio::time::{Instant, sleep, timeout};

/// Time limit for a balancer to become ready. The requirement is 10 s for nine starts in ten.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between readiness checks.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// The balancer program, and the folder with the files of all balancers.
pub struct Program<'a> {
    path: &'a Path,
    config: &'a Config,
    seed: u64,
    folder: TempDir,
}

/// A balancer process, which is killed on drop.
#[derive(Debug)]
pub struct Balancer {
    index: usize,
    child: Child,
    process_id: u32,
    phase: Phase,
}

/// Lifecycle phase of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Started, but not ready.
    Starting,
    /// Ready.
    Serving,
    /// SIGTERM was sent.
    Stopping,
}

/// A balancer process that is not ready yet.
pub struct StartingBalancer {
    index: usize,
    started_at: Instant,
    log: Lines<BufReader<ChildStderr>>,
}

/// Address and startup time of a balancer that is ready.
#[derive(Clone, Copy, Debug)]
pub struct ReadyBalancer {
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Time from the start of the process to the first 200 of `/healthz`.
    pub startup_time: Duration,
}

/// Returns the name of a request class by its index.
pub fn class_name(class: usize) -> String {
    format!("c-{class}")
}

/// Returns the name of a zone by its index.
pub fn zone_name(zone: usize) -> String {
    format!("z-{zone}")
}

/// Idempotency of a request class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// May be repeated freely.
    Idempotent,
    /// May be repeated with an idempotency key.
    Keyed,
    /// Must not be repeated.
    NonIdempotent,
}

impl Idempotency {
    /// Returns the idempotency of a request class: idempotent, keyed and non-idempotent in turn.
    pub fn of_class(class: usize) -> Self {
        [Self::Idempotent, Self::Keyed, Self::NonIdempotent][class % 3]
    }

    /// Returns the value of the setting `Effect`.
    fn settings_value(self) -> &'static str {
        match self {
            Self::Idempotent => "read_like",
            Self::Keyed => "idempotency_key",
            Self::NonIdempotent => "non_idempotent",
        }
    }
}

impl<'a> Program<'a> {
    /// Creates the folder for the files of the balancers.
    pub fn new(path: &'a Path, config: &'a Config, seed: u64) -> Result<Self> {
        let folder = TempDir::with_prefix("fleet-emulator-")
            .context("cannot create the folder for the balancers' files")?;
        Ok(Self { path, config, seed, folder })
    }

    /// Starts a balancer process. `restarts` counts the earlier processes of this balancer; `known_list` is the
    /// endpoint list that the latest of them has stored.
    pub fn start(
        &self,
        index: usize,
        restarts: u64,
        discovery: SocketAddr,
        known_list: Value,
    ) -> Result<(Balancer, StartingBalancer)> {
        let balancer_folder = self.folder.path().join(format!("n{index}-{restarts}"));
        let temporary_folder = balancer_folder.join("tmp");
        let config_file = balancer_folder.join("config.json");
        std::fs::create_dir_all(&temporary_folder)
            .and_then(|()| {
                std::fs::write(
                    &config_file,
                    self.configuration(index, restarts, discovery, known_list).to_string(),
                )
            })
            .with_context(|| format!("cannot write {}", config_file.display()))?;
        let started_at = Instant::now();
        let mut child = Command::new(self.path)
            .env_clear()
            .env("LB_NAME", format!("n{index}"))
            .env("LB_CONFIG", config_file)
            .env("TMPDIR", temporary_folder)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .with_context(|| format!("cannot start {}", self.path.display()))?;
        let log =
            BufReader::new(child.stderr.take().context("the standard error of a balancer is not piped")?)
                .lines();
        let process_id = child.id().context("a balancer has no process id")?;
        Ok((
            Balancer { index, child, process_id, phase: Phase::Starting },
            StartingBalancer { index, started_at, log },
        ))
    }

    /// Returns the configuration file, in the format used in deployments.
    fn configuration(&self, index: usize, restarts: u64, discovery: SocketAddr, known_list: Value) -> Value {
        const SECOND_NS: u64 = 1_000_000_000;
        let config = self.config;
        let deadline = config.deadline_ms * 1_000_000;
        let class_settings = |class: usize| {
            json!({"Name": class_name(class), "Effect": Idempotency::of_class(class).settings_value(), "Group": "all",
                "WindowNs": 60 * SECOND_NS, "AimNs": deadline / 2, "DeadlineNs": deadline, "LateWorth": 0.5,
                "Value": 1.0, "Stream": false})
        };
        let delivery = match config.lists {
            ListDelivery::Push => "push",
            ListDelivery::Ask => "ask",
        };
        let seed: u64 = crate::seeded_rng(self.seed, (index as u64 + 1) << 16 | restarts).random();
        json!({
            "name": format!("n{index}"), "listen": "127.0.0.1:0", "discovery": discovery.to_string(),
            "seed": format!("{seed:016x}"),
            "limits": {"cores": 1.0, "memory_mb": config.memory_mb, "sockets": config.sockets},
            "known": known_list,
            "settings": {
                "Classes": (0..config.classes).map(class_settings).collect::<Vec<_>>(),
                "Discovery": delivery, "Layer": 0, "Layers": ["one"],
                "Siblings": config.balancers, "Ordinal": index,
                "Limits": {"Cancelling": true, "ConnIdleNs": 60 * SECOND_NS, "ConnectTimeoutNs": SECOND_NS,
                    "RetryAfter": true, "MaxRetryAfterNs": SECOND_NS, "TryLimit": config.attempts,
                    "MayDuplicate": true},
                "Safety": {"AnswerSlackNs": 16_000_000, "DrainGraceNs": SECOND_NS, "StartCapacity": 0.3,
                    "TipMultiple": 2.5, "RampTimeNs": 8 * SECOND_NS, "AskWithinNs": 6 * SECOND_NS},
                "Tenants": [{"Name": "acme", "QuotaRps": 1e6, "Share": 1.0}],
                "ValueBy": "request", "Zone": index % config.zones,
                "Zones": (0..config.zones).map(zone_name).collect::<Vec<_>>(),
            },
        })
    }
}

impl StartingBalancer {
    /// Waits until the balancer is ready.
    pub async fn wait_until_ready(self) -> Result<ReadyBalancer> {
        let (index, started_at) = (self.index, self.started_at);
        match timeout(READY_TIMEOUT, self.wait_until_serving()).await {
            Ok(address) => Ok(ReadyBalancer { address: address?, startup_time: started_at.elapsed() }),
            Err(_) => bail!("balancer {index} is not ready after {READY_TIMEOUT:?}"),
        }
    }

    /// Reads the address from the log and waits until `/healthz` answers 200.
    async fn wait_until_serving(self) -> Result<SocketAddr> {
        let Self { index, mut log, .. } = self;
        let line = log.next_line().await.ok().flatten().unwrap_or_default();
        let address = line.split_once("listening on ").and_then(|(_, address)| address.trim().parse().ok());
        let Some(address) = address else { bail!("balancer {index} did not start: {line}") };
        let log_forwarding = forward_log(index, log);
        let ready = async {
            while !is_ready(address).await.unwrap_or(false) {
                sleep(READY_POLL_INTERVAL).await;
            }
        };
        let mut log_forwarding = tokio::spawn(log_forwarding);
        tokio::select! {
            biased;
            () = ready => Ok(address),
            _ = &mut log_forwarding => bail!("balancer {index} closed its log before it was ready"),
        }
    }
}

/// Returns whether `/healthz` answers 200. The balancer accepts no connection before it has an endpoint list.
async fn is_ready(address: SocketAddr) -> Result<bool> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    let connection_task = tokio::spawn(connection);
    let request = Request::get("/healthz").header("Host", "balancer").body(Empty::<Bytes>::new())?;
    let status = sender.send_request(request).await.map(|response| response.status());
    connection_task.abort();
    Ok(status?.is_success())
}

/// Copies the log of a balancer to the emulator's log until the balancer closes it, at the latest when it exits.
async fn forward_log(index: usize, mut log: Lines<BufReader<ChildStderr>>) {
    while let Ok(Some(line)) = log.next_line().await {
        tracing::info!(balancer = index, "{line}");
    }
}

impl Balancer {
    /// Returns the process id.
    pub fn process_id(&self) -> u32 {
        self.process_id
    }

    /// Marks the balancer as ready; from now on an exit without SIGTERM is an error.
    pub fn mark_serving(&mut self) {
        self.phase = Phase::Serving;
    }

    /// Fails if the balancer was ready and has exited without SIGTERM.
    pub fn check_running(&mut self) -> Result<()> {
        match self.child.try_wait().context("cannot read the exit status of a balancer")? {
            Some(status) if self.phase == Phase::Serving => {
                bail!("balancer {} exited without SIGTERM: {status}", self.index)
            }
            _ => Ok(()),
        }
    }

    /// Sends SIGTERM.
    pub fn terminate(&mut self) {
        self.phase = Phase::Stopping;
        // The process has not been reaped, so its id has not been reused.
        let process_id = self.child.id().and_then(|id| rustix::process::Pid::from_raw(id.cast_signed()));
        if let Some(process_id) = process_id {
            rustix::process::kill_process(process_id, rustix::process::Signal::TERM).ok();
        }
    }

    /// Returns whether the process has exited.
    pub fn has_exited(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    /// Kills the process and waits for its exit.
    pub async fn kill(&mut self) {
        self.child.kill().await.ok();
    }
}
