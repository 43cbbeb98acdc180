//! The `[real]` table of a scenario.

use serde::Deserialize;
use std::time::Duration;

/// Most balancers of a run, and most processes that a run may have.
const MOST_BALANCERS: usize = 32;
const MOST_TARGETS: usize = 1024;
const MOST_CLASSES: usize = 1024;
/// Memory that all balancers may have together, in MB.
pub(super) const MOST_MEMORY: usize = 12_000;
/// Calls of a run, direct ones included: bounds the request loop.
const MOST_CALLS: f64 = 10e6;
/// Length of a phase, in seconds.
const MOST_SECONDS: f64 = 600.0;

/// What is started, and what it goes through. Times are in seconds unless the name says otherwise.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Real balancers, 1 to 32.
    pub balancers: usize,
    /// Upstreams that discovery lists to each of them.
    pub targets: usize,
    /// Request classes: safe, keyed and unsafe in turn.
    pub classes: usize,
    /// Zones, to which balancers and upstreams belong in turn.
    pub zones: usize,
    /// Calls a second through all balancers together.
    pub rate: f64,
    /// Calls a second that go to the upstreams directly, to compare with.
    pub direct_rate: f64,
    /// Changes of the list a second.
    pub change_rate: f64,
    /// How long calls go on before anything is measured.
    pub warmup_s: f64,
    /// How long control alone is measured, without calls.
    pub idle_s: f64,
    /// How long calls are measured.
    pub load_s: f64,
    /// How long an upstream takes over a call, in whole milliseconds.
    pub service_ms: u64,
    /// Part of the calls that an upstream answers with an error.
    pub error_share: f64,
    /// Bytes of an answer, and of the body of a call that has one.
    pub body_bytes: usize,
    /// How long a client waits, in milliseconds.
    pub deadline_ms: u64,
    /// How lists come to the balancers.
    pub lists: ListsCome,
    /// Attempts at most for one call.
    pub attempts: u32,
    /// Memory limit of a balancer, in MB.
    pub memory_mb: usize,
    /// Limit on a balancer's file descriptors.
    pub sockets: usize,
    /// Threads that upstreams, clients and discovery share.
    pub threads: usize,
    pub discovery_down: Option<DiscoveryDown>,
    pub rolling_restart: Option<RollingRestart>,
}

/// How lists come to a balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListsCome {
    /// An agent beside it has them at once.
    Push,
    /// It asks for them.
    Ask,
}

/// Discovery falls silent for a while.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DiscoveryDown {
    /// Seconds after the measured calls begin.
    pub at_s: f64,
    /// Seconds that it lasts.
    pub for_s: f64,
}

/// Each balancer is stopped by SIGTERM and replaced, one after another.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RollingRestart {
    /// Seconds after the measured calls begin.
    pub at_s: f64,
    /// Seconds between one that is ready and the next that is stopped.
    #[serde(default)]
    pub pause_s: f64,
    /// Seconds for which the front still sends to one that was told to stop.
    #[serde(default = "front_lag")]
    pub front_lag_s: f64,
}

/// The front of the protocol takes 0.2 to 0.4 s.
fn front_lag() -> f64 {
    0.3
}

impl Default for Config {
    fn default() -> Self {
        Self {
            balancers: 2,
            targets: 8,
            classes: 3,
            zones: 1,
            rate: 500.0,
            direct_rate: 500.0,
            change_rate: 0.0,
            warmup_s: 1.0,
            idle_s: 2.0,
            load_s: 5.0,
            service_ms: 0,
            error_share: 0.0,
            body_bytes: 256,
            deadline_ms: 1000,
            lists: ListsCome::Push,
            attempts: 3,
            memory_mb: 192,
            sockets: 1024,
            threads: 4,
            discovery_down: None,
            rolling_restart: None,
        }
    }
}

impl Config {
    /// Refuses figures that make no sense or that this machine is not for; the error names the key.
    pub fn check(&self) -> Result<(), String> {
        let counts = [
            ("balancers", self.balancers, 1, MOST_BALANCERS),
            ("targets", self.targets, 1, MOST_TARGETS),
            ("classes", self.classes, 1, MOST_CLASSES),
            ("zones", self.zones, 1, 64),
            ("body_bytes", self.body_bytes, 0, 64 << 10),
            ("attempts", self.attempts as usize, 1, 16),
            ("memory_mb", self.memory_mb, 32, MOST_MEMORY),
            ("sockets", self.sockets, 128, 1 << 16),
            ("threads", self.threads, 1, 64),
            ("deadline_ms", usize::try_from(self.deadline_ms).unwrap_or(usize::MAX), 10, 60_000),
            ("service_ms", usize::try_from(self.service_ms).unwrap_or(usize::MAX), 0, 60_000),
        ];
        for (key, value, least, most) in counts {
            if !(least..=most).contains(&value) {
                return Err(format!("`{key}` is {value}, not {least} to {most}"));
            }
        }
        let figures = [
            ("rate", self.rate, 100_000.0),
            ("direct_rate", self.direct_rate, 100_000.0),
            ("change_rate", self.change_rate, 1000.0),
            ("warmup_s", self.warmup_s, MOST_SECONDS),
            ("idle_s", self.idle_s, MOST_SECONDS),
            ("load_s", self.load_s, MOST_SECONDS),
            ("error_share", self.error_share, 1.0),
        ];
        within("", &figures)?;
        let seconds = |table: &str, figures: &[(&str, f64)]| {
            let figures: Vec<_> = figures.iter().map(|&(key, value)| (key, value, self.load_s)).collect();
            within(table, &figures)
        };
        if let Some(down) = &self.discovery_down {
            seconds("discovery_down.", &[("at_s", down.at_s), ("for_s", down.for_s)])?;
        }
        if let Some(restart) = &self.rolling_restart {
            let figures =
                [("at_s", restart.at_s), ("pause_s", restart.pause_s), ("front_lag_s", restart.front_lag_s)];
            seconds("rolling_restart.", &figures)?;
            if self.balancers < 2 {
                return Err("`balancers` is 1: nobody would serve during `rolling_restart`".into());
            }
        }
        if self.balancers * self.memory_mb > MOST_MEMORY {
            return Err(format!(
                "`memory_mb` is {}: {} balancers may hold more than {MOST_MEMORY} MB together",
                self.memory_mb, self.balancers
            ));
        }
        if self.change_rate > 0.0 && self.targets < 2 {
            return Err(format!("`targets` is {}: there is nothing to change", self.targets));
        }
        if (self.rate + self.direct_rate) * (self.warmup_s + self.load_s) > MOST_CALLS {
            return Err(format!("`rate` is {}: more than {MOST_CALLS} calls in all", self.rate));
        }
        Ok(())
    }

    /// Upstreams that may drain at a time.
    pub(super) fn most_draining(&self) -> usize {
        (self.targets / 4).max(1)
    }

    pub(super) fn warmup(&self) -> Duration {
        Duration::from_secs_f64(self.warmup_s)
    }

    pub(super) fn idle(&self) -> Duration {
        Duration::from_secs_f64(self.idle_s)
    }

    pub(super) fn load(&self) -> Duration {
        Duration::from_secs_f64(self.load_s)
    }

    pub(super) fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }
}

fn within(table: &str, figures: &[(&str, f64, f64)]) -> Result<(), String> {
    match figures.iter().find(|(_, value, most)| !(0.0..=*most).contains(value)) {
        Some((key, value, most)) => Err(format!("`{table}{key}` is {value}, not 0 to {most}")),
        None => Ok(()),
    }
}
