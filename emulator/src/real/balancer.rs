//! A real balancer: its configuration, its start, its end.

use super::config::{Config, ListsCome};
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

/// How long a balancer may take until it is ready: nine in ten are owed within 10 s.
const READY_PATIENCE: Duration = Duration::from_secs(30);
/// Pause between two looks whether it is ready.
const LOOK_EVERY: Duration = Duration::from_millis(2);

/// The balancers' program, and the folder that holds their files.
pub struct Program<'a> {
    path: &'a Path,
    config: &'a Config,
    seed: u64,
    folder: TempDir,
}

/// The process of a balancer. Dropping it kills it.
#[derive(Debug)]
pub struct Balancer {
    at: usize,
    child: Child,
    process: u32,
    phase: Phase,
}

/// How far a process is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Starting,
    Serving,
    /// It was told to end.
    Leaving,
}

/// A balancer that has been started, as its log and its address show it.
pub struct Starting {
    at: usize,
    since: Instant,
    log: Lines<BufReader<ChildStderr>>,
}

/// A balancer that is ready.
#[derive(Clone, Copy, Debug)]
pub struct Ready {
    pub address: SocketAddr,
    /// From the start of the process to the first 200 of `/healthz`.
    pub after: Duration,
}

/// The name of a class.
pub fn class_name(class: usize) -> String {
    format!("c-{class}")
}

/// The name of a zone.
pub fn zone_name(zone: usize) -> String {
    format!("z-{zone}")
}

/// What repeating a call of a class does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Safe,
    Keyed,
    Unsafe,
}

impl Effect {
    /// That of a class, by its number.
    pub fn of(class: usize) -> Self {
        [Self::Safe, Self::Keyed, Self::Unsafe][class % 3]
    }

    fn in_settings(self) -> &'static str {
        match self {
            Self::Safe => "read_like",
            Self::Keyed => "idempotency_key",
            Self::Unsafe => "non_idempotent",
        }
    }
}

impl<'a> Program<'a> {
    pub fn new(path: &'a Path, config: &'a Config, seed: u64) -> Result<Self> {
        let folder = TempDir::with_prefix("fleet-emulator-").context("no folder for the balancers' files")?;
        Ok(Self { path, config, seed, folder })
    }

    /// Starts the process of a balancer. `starts` counts those it had before, `known` is the list it last had.
    pub fn start(
        &self,
        at: usize,
        starts: u64,
        discovery: SocketAddr,
        known: Value,
    ) -> Result<(Balancer, Starting)> {
        let own = self.folder.path().join(format!("n{at}-{starts}"));
        let scratch = own.join("tmp");
        let file = own.join("config.json");
        std::fs::create_dir_all(&scratch)
            .and_then(|()| {
                std::fs::write(&file, self.configuration(at, starts, discovery, known).to_string())
            })
            .with_context(|| format!("{}", file.display()))?;
        let since = Instant::now();
        let mut child = Command::new(self.path)
            .env_clear()
            .env("LB_NAME", format!("n{at}"))
            .env("LB_CONFIG", file)
            .env("TMPDIR", scratch)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .with_context(|| format!("cannot start {}", self.path.display()))?;
        let log = BufReader::new(child.stderr.take().context("a balancer without a log")?).lines();
        let process = child.id().context("a balancer without a number")?;
        Ok((Balancer { at, child, process, phase: Phase::Starting }, Starting { at, since, log }))
    }

    /// The configuration file, in the form that the deployment has.
    fn configuration(&self, at: usize, starts: u64, discovery: SocketAddr, known: Value) -> Value {
        const SECOND: u64 = 1_000_000_000;
        let config = self.config;
        let deadline = config.deadline_ms * 1_000_000;
        let class = |class: usize| {
            json!({"Name": class_name(class), "Effect": Effect::of(class).in_settings(), "Group": "all",
                "WindowNs": 60 * SECOND, "AimNs": deadline / 2, "DeadlineNs": deadline, "LateWorth": 0.5,
                "Value": 1.0, "Stream": false})
        };
        let lists = match config.lists {
            ListsCome::Push => "push",
            ListsCome::Ask => "ask",
        };
        let seed: u64 = crate::seeded_rng(self.seed, (at as u64 + 1) << 16 | starts).random();
        json!({
            "name": format!("n{at}"), "listen": "127.0.0.1:0", "discovery": discovery.to_string(),
            "seed": format!("{seed:016x}"),
            "limits": {"cores": 1.0, "memory_mb": config.memory_mb, "sockets": config.sockets},
            "known": known,
            "settings": {
                "Classes": (0..config.classes).map(class).collect::<Vec<_>>(),
                "Discovery": lists, "Layer": 0, "Layers": ["one"],
                "Siblings": config.balancers, "Ordinal": at,
                "Limits": {"Cancelling": true, "ConnIdleNs": 60 * SECOND, "ConnectTimeoutNs": SECOND,
                    "RetryAfter": true, "MaxRetryAfterNs": SECOND, "TryLimit": config.attempts,
                    "MayDuplicate": true},
                "Safety": {"AnswerSlackNs": 16_000_000, "DrainGraceNs": SECOND, "StartCapacity": 0.3,
                    "TipMultiple": 2.5, "RampTimeNs": 8 * SECOND, "AskWithinNs": 6 * SECOND},
                "Tenants": [{"Name": "acme", "QuotaRps": 1e6, "Share": 1.0}],
                "ValueBy": "request", "Zone": at % config.zones,
                "Zones": (0..config.zones).map(zone_name).collect::<Vec<_>>(),
            },
        })
    }
}

impl Starting {
    /// Waits until it is ready.
    pub async fn ready(self) -> Result<Ready> {
        let (at, since) = (self.at, self.since);
        match timeout(READY_PATIENCE, self.serves()).await {
            Ok(address) => Ok(Ready { address: address?, after: since.elapsed() }),
            Err(_) => bail!("balancer {at} is not ready after {READY_PATIENCE:?}"),
        }
    }

    async fn serves(self) -> Result<SocketAddr> {
        let Self { at, mut log, .. } = self;
        let line = log.next_line().await.ok().flatten().unwrap_or_default();
        let address = line.split_once("listening on ").and_then(|(_, address)| address.trim().parse().ok());
        let Some(address) = address else { bail!("balancer {at} did not start: {line}") };
        let ended = pass_on(at, log);
        let is_ready = async {
            while !is_ready(address).await.unwrap_or(false) {
                sleep(LOOK_EVERY).await;
            }
        };
        let mut ended = tokio::spawn(ended);
        tokio::select! {
            biased;
            () = is_ready => Ok(address),
            _ = &mut ended => bail!("balancer {at} ended before it was ready"),
        }
    }
}

/// Whether a balancer's `/healthz` answers 200. It takes no connection before the first list.
async fn is_ready(address: SocketAddr) -> Result<bool> {
    let tcp = TcpStream::connect(address).await?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(tcp)).await?;
    let serving = tokio::spawn(connection);
    let request = Request::get("/healthz").header("Host", "balancer").body(Empty::<Bytes>::new())?;
    let status = sender.send_request(request).await.map(|answer| answer.status());
    serving.abort();
    Ok(status?.is_success())
}

/// Passes its log on until it ends, as it does with the process.
async fn pass_on(at: usize, mut log: Lines<BufReader<ChildStderr>>) {
    while let Ok(Some(line)) = log.next_line().await {
        tracing::info!(balancer = at, "{line}");
    }
}

impl Balancer {
    pub fn process(&self) -> u32 {
        self.process
    }

    /// It is ready, and from now on may not end by itself.
    pub fn serves(&mut self) {
        self.phase = Phase::Serving;
    }

    /// Fails if it has ended by itself.
    pub fn check(&mut self) -> Result<()> {
        match self.child.try_wait().context("cannot look at a balancer")? {
            Some(status) if self.phase == Phase::Serving => {
                bail!("balancer {} ended by itself: {status}", self.at)
            }
            _ => Ok(()),
        }
    }

    /// Sends SIGTERM.
    pub fn terminate(&mut self) {
        self.phase = Phase::Leaving;
        // Not reaped yet, so the number is still its own.
        let process = self.child.id().and_then(|id| rustix::process::Pid::from_raw(id.cast_signed()));
        if let Some(process) = process {
            rustix::process::kill_process(process, rustix::process::Signal::TERM).ok();
        }
    }

    /// Whether it has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    /// Kills it and waits until it is gone.
    pub async fn kill(&mut self) {
        self.child.kill().await.ok();
    }
}
