//! Configuration of a real run: the `[real]` table of a scenario.

use serde::Deserialize;
use std::time::Duration;

/// Maximum number of balancers, and so of processes.
const MAX_BALANCERS: usize = 32;
/// Maximum number of upstreams.
const MAX_TARGETS: usize = 1024;
/// Maximum number of request classes.
const MAX_CLASSES: usize = 1024;
/// Maximum memory of all balancers together, in MB.
pub(super) const MAX_MEMORY_MB: usize = 12_000;
/// Maximum number of requests of a run, including direct ones; bounds the request loop.
const MAX_REQUESTS: f64 = 10e6;
/// Maximum length of a phase, in seconds.
const MAX_PHASE_S: f64 = 600.0;

/// Configuration of a real run. Times are in seconds unless the name says otherwise.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Number of balancers, 1 to 32.
    pub balancers: usize,
    /// Number of upstreams that discovery lists to each balancer.
    pub targets: usize,
    /// Number of request classes: idempotent, keyed and non-idempotent in turn.
    pub classes: usize,
    /// Number of zones, to which balancers and upstreams belong in turn.
    pub zones: usize,
    /// Requests per second through all balancers together.
    pub rate: f64,
    /// Requests per second sent directly to the upstreams, as a baseline.
    pub direct_rate: f64,
    /// Changes of the endpoint list per second.
    pub change_rate: f64,
    /// Length of the warm-up, in which requests are not measured.
    pub warmup_s: f64,
    /// Length of the phase in which control traffic is measured without requests.
    pub idle_s: f64,
    /// Length of the phase in which requests are measured.
    pub load_s: f64,
    /// Service time of an upstream, in whole milliseconds.
    pub service_ms: u64,
    /// Fraction of requests that an upstream answers with an error.
    pub error_share: f64,
    /// Size of a response body, and of a request body where the class has one, in bytes.
    pub body_bytes: usize,
    /// Time that clients wait for a response, in milliseconds.
    pub deadline_ms: u64,
    /// How endpoint lists reach the balancers.
    pub lists: ListDelivery,
    /// Maximum number of attempts for one request.
    pub attempts: u32,
    /// Memory limit of a balancer, in MB.
    pub memory_mb: usize,
    /// Limit of a balancer's file descriptors.
    pub sockets: usize,
    /// Number of threads that upstreams, clients and discovery share.
    pub threads: usize,
    /// Outage of discovery, if there is one.
    pub discovery_down: Option<DiscoveryOutage>,
    /// Restart of all balancers, if there is one.
    pub rolling_restart: Option<RollingRestart>,
}

/// How endpoint lists reach a balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListDelivery {
    /// An agent beside the balancer receives each list at once.
    Push,
    /// The balancer polls discovery for lists.
    Ask,
}

/// Temporary outage of discovery.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DiscoveryOutage {
    /// Start, in seconds after the start of the measured requests.
    pub at_s: f64,
    /// Length, in seconds.
    pub for_s: f64,
}

/// Restart of all balancers, one after another: each is stopped by SIGTERM and replaced.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RollingRestart {
    /// Start, in seconds after the start of the measured requests.
    pub at_s: f64,
    /// Pause between the readiness of a new balancer and the stop of the next, in seconds.
    #[serde(default)]
    pub pause_s: f64,
    /// Time for which the front still sends requests to a balancer that is being stopped, in seconds.
    #[serde(default = "default_front_lag")]
    pub front_lag_s: f64,
}

/// Default of `front_lag_s`: by the protocol, the front takes 0.2 to 0.4 s to notice that a balancer is being stopped.
fn default_front_lag() -> f64 {
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
            lists: ListDelivery::Push,
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
    /// Checks that all values are valid and within the limits of a run; the error names the key.
    pub fn check(&self) -> Result<(), String> {
        let count_limits = [
            ("balancers", self.balancers, 1, MAX_BALANCERS),
            ("targets", self.targets, 1, MAX_TARGETS),
            ("classes", self.classes, 1, MAX_CLASSES),
            ("zones", self.zones, 1, 64),
            ("body_bytes", self.body_bytes, 0, 64 << 10),
            ("attempts", self.attempts as usize, 1, 16),
            ("memory_mb", self.memory_mb, 32, MAX_MEMORY_MB),
            ("sockets", self.sockets, 128, 1 << 16),
            ("threads", self.threads, 1, 64),
            ("deadline_ms", usize::try_from(self.deadline_ms).unwrap_or(usize::MAX), 10, 60_000),
            ("service_ms", usize::try_from(self.service_ms).unwrap_or(usize::MAX), 0, 60_000),
        ];
        for (key, value, min, max) in count_limits {
            if !(min..=max).contains(&value) {
                return Err(format!("`{key}` is {value}, not between {min} and {max}"));
            }
        }
        let limits = [
            ("rate", self.rate, 100_000.0),
            ("direct_rate", self.direct_rate, 100_000.0),
            ("change_rate", self.change_rate, 1000.0),
            ("warmup_s", self.warmup_s, MAX_PHASE_S),
            ("idle_s", self.idle_s, MAX_PHASE_S),
            ("load_s", self.load_s, MAX_PHASE_S),
            ("error_share", self.error_share, 1.0),
        ];
        check_limits("", &limits)?;
        let check_seconds = |table: &str, limits: &[(&str, f64)]| {
            let limits: Vec<_> = limits.iter().map(|&(key, value)| (key, value, self.load_s)).collect();
            check_limits(table, &limits)
        };
        if let Some(outage) = &self.discovery_down {
            check_seconds("discovery_down.", &[("at_s", outage.at_s), ("for_s", outage.for_s)])?;
        }
        if let Some(restart) = &self.rolling_restart {
            let limits =
                [("at_s", restart.at_s), ("pause_s", restart.pause_s), ("front_lag_s", restart.front_lag_s)];
            check_seconds("rolling_restart.", &limits)?;
            if self.balancers < 2 {
                return Err("`balancers` is 1: no balancer would serve during `rolling_restart`".into());
            }
        }
        if self.balancers * self.memory_mb > MAX_MEMORY_MB {
            return Err(format!(
                "`memory_mb` is {}: {} balancers may use more than {MAX_MEMORY_MB} MB together",
                self.memory_mb, self.balancers
            ));
        }
        if self.change_rate > 0.0 && self.targets < 2 {
            return Err(format!("`targets` is {}: with `change_rate`, at least 2 are needed", self.targets));
        }
        if (self.rate + self.direct_rate) * (self.warmup_s + self.load_s) > MAX_REQUESTS {
            return Err(format!(
                "`rate` is {}: with `direct_rate`, the run would send more than {MAX_REQUESTS} requests",
                self.rate
            ));
        }
        Ok(())
    }

    /// Returns the maximum number of upstreams that drain at a time.
    pub(super) fn max_draining(&self) -> usize {
        (self.targets / 4).max(1)
    }

    /// Returns the length of the warm-up.
    pub(super) fn warmup(&self) -> Duration {
        Duration::from_secs_f64(self.warmup_s)
    }

    /// Returns the length of the phase without requests.
    pub(super) fn idle(&self) -> Duration {
        Duration::from_secs_f64(self.idle_s)
    }

    /// Returns the length of the phase with measured requests.
    pub(super) fn load(&self) -> Duration {
        Duration::from_secs_f64(self.load_s)
    }

    /// Returns the time that clients wait for a response.
    pub(super) fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }
}

/// Checks that each value is between 0 and its maximum; the error names the key within `table`.
fn check_limits(table: &str, limits: &[(&str, f64, f64)]) -> Result<(), String> {
    match limits.iter().find(|(_, value, max)| !(0.0..=*max).contains(value)) {
        Some((key, value, max)) => Err(format!("`{table}{key}` is {value}, not between 0 and {max}")),
        None => Ok(()),
    }
}
