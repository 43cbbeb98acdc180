//! Measurements of a real run, and the figures computed from them.

use super::Fleet;
use super::client::{Tallies, Tally};
use super::config::{Config, MAX_MEMORY_MB};
use super::discovery::{ControlTraffic, Discovery};
use super::upstream::Upstreams;
use crate::lock;
use crate::report::{Outcome, Table, format_figure, peak_memory_mb};
use anyhow::{Result, bail};
use std::collections::BTreeMap;
use std::fs;
use std::sync::Mutex;
use std::time::Duration;
use tokio::time::Instant;

/// Reads the resource usage of the balancer processes.
pub struct ProcessMonitor<'a> {
    fleet: &'a Fleet,
    discovery: &'a Discovery,
    peaks: Mutex<BTreeMap<u32, Peak>>,
}

/// Highest usage of a process over all samples.
#[derive(Clone, Copy, Debug, Default)]
pub struct Peak {
    /// In MB of 1,000,000 bytes; the kernel tracks this peak, also between samples.
    memory_mb: f64,
    /// Number of file descriptors.
    descriptors: usize,
}

/// Cumulative usage of all balancers at one time.
pub struct Sample {
    time: Instant,
    /// Process id and CPU time in seconds, by balancer.
    cpu: Vec<Option<(u32, f64)>>,
    control_traffic: Vec<ControlTraffic>,
}

/// Usage of the balancers between two samples; CPU time only of processes that ran at both.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    /// Length of the interval, in seconds.
    length_s: f64,
    /// CPU usage as a fraction of a core, by balancer.
    cpu: Vec<Option<f64>>,
    /// Control bytes per second, by balancer.
    bytes_per_s: Vec<f64>,
    /// Control requests per second, by balancer.
    requests_per_s: Vec<f64>,
}

impl<'a> ProcessMonitor<'a> {
    /// Creates a monitor without peaks.
    pub fn new(fleet: &'a Fleet, discovery: &'a Discovery) -> Self {
        Self { fleet, discovery, peaks: Mutex::default() }
    }

    /// Takes a sample.
    pub fn sample(&self) -> Sample {
        let cpu = |process_id: Option<u32>| {
            process_id.and_then(|process_id| Some((process_id, cpu_seconds(process_id)?)))
        };
        let cpu = self.fleet.process_ids().into_iter().map(cpu).collect();
        Sample { time: Instant::now(), cpu, control_traffic: self.discovery.control_traffic() }
    }

    /// Returns the usage since a sample.
    pub fn usage_since(&self, from: &Sample) -> Usage {
        let to = self.sample();
        let length_s = (to.time - from.time).as_secs_f64();
        if length_s == 0.0 {
            return Usage::default();
        }
        let cpu = from.cpu.iter().zip(&to.cpu).map(|pair| match pair {
            (Some((before, from)), Some((after, to))) if before == after => Some((to - from) / length_s),
            _ => None,
        });
        let control_traffic = || from.control_traffic.iter().zip(&to.control_traffic);
        Usage {
            length_s,
            cpu: cpu.collect(),
            bytes_per_s: control_traffic()
                .map(|(from, to)| (to.bytes - from.bytes) as f64 / length_s)
                .collect(),
            requests_per_s: control_traffic()
                .map(|(from, to)| (to.requests - from.requests) as f64 / length_s)
                .collect(),
        }
    }

    /// Updates the peaks of all running processes.
    pub fn update_peaks(&self) {
        let mut peaks = lock(&self.peaks);
        for process_id in self.fleet.process_ids().into_iter().flatten() {
            let peak = peaks.entry(process_id).or_default();
            let peak_mb = peak_memory_mb(&process_id.to_string()).unwrap_or(0.0);
            let descriptors = fs::read_dir(format!("/proc/{process_id}/fd")).map_or(0, Iterator::count);
            peak.memory_mb = peak.memory_mb.max(peak_mb);
            peak.descriptors = peak.descriptors.max(descriptors);
        }
    }

    /// Fails if all running processes together exceed the memory limit of a run.
    pub fn check_memory(&self) -> Result<()> {
        let peaks = lock(&self.peaks);
        let running =
            self.fleet.process_ids().into_iter().flatten().filter_map(|process_id| peaks.get(&process_id));
        let total_mb =
            running.map(|peak| peak.memory_mb).sum::<f64>() + peak_memory_mb("self").unwrap_or(0.0);
        match total_mb > MAX_MEMORY_MB as f64 {
            true => bail!("the run holds {total_mb:.0} MB, more than {MAX_MEMORY_MB} MB"),
            false => Ok(()),
        }
    }

    /// Returns the peaks of all processes of the run.
    pub fn into_peaks(self) -> Vec<Peak> {
        self.peaks.into_inner().unwrap_or_else(|poisoned| poisoned.into_inner()).into_values().collect()
    }
}

/// Returns the CPU time of all threads of a process, in seconds. The scheduler counts it in nanoseconds; where that
/// is not available, the clock ticks of `stat` are used.
fn cpu_seconds(process_id: u32) -> Option<f64> {
    let thread_time = |thread: fs::DirEntry| {
        let text = fs::read_to_string(thread.path().join("schedstat")).ok()?;
        text.split(' ').next()?.parse::<f64>().ok()
    };
    let threads = fs::read_dir(format!("/proc/{process_id}/task")).ok()?.filter_map(Result::ok);
    match threads.map(thread_time).sum::<Option<f64>>().filter(|nanoseconds| *nanoseconds > 0.0) {
        Some(nanoseconds) => Some(nanoseconds / 1e9),
        None => {
            let stat = fs::read_to_string(format!("/proc/{process_id}/stat")).ok()?;
            // User and system time. The process name before them may contain any character and ends
            // with the last `)`.
            let mut ticks = stat.rsplit(") ").next()?.split(' ').skip(11).map(str::parse::<f64>);
            let used_ticks = ticks.next()?.ok()? + ticks.next()?.ok()?;
            Some(used_ticks / rustix::param::clock_ticks_per_second() as f64)
        }
    }
}

/// Everything that a run has measured except its requests.
#[derive(Debug, Default)]
pub struct Measurements {
    /// Startup time of the first process of each balancer.
    pub startup_times: Vec<Duration>,
    /// Startup time of each replacement process.
    pub restart_times: Vec<Duration>,
    /// Usage in the phase without requests.
    pub idle: Usage,
    /// Usage in the phase with measured requests.
    pub load: Usage,
    /// Number of attempts that balancers have sent for the measured requests.
    pub attempts: u64,
    /// Peaks of all processes.
    pub peaks: Vec<Peak>,
}

/// Figures of an outcome; values that were not measured are left out.
#[derive(Default)]
struct Figures(BTreeMap<String, f64>);

impl Figures {
    /// Adds a figure, unless it is not finite.
    fn add(&mut self, name: &str, figure: f64) {
        if figure.is_finite() {
            self.0.insert(name.into(), figure);
        }
    }

    /// Adds the mean and the maximum over the balancers, as `name_mean_unit` and `name_max_unit`.
    fn add_mean_and_max(&mut self, name: &str, unit: &str, figures: &[f64]) {
        if !figures.is_empty() {
            self.add(&format!("{name}_mean{unit}"), figures.iter().sum::<f64>() / figures.len() as f64);
            self.add(&format!("{name}_max{unit}"), figures.iter().copied().fold(f64::NEG_INFINITY, f64::max));
        }
    }
}

/// Names and values of the reported latency quantiles.
const QUANTILES: [(&str, f64); 3] = [("p50", 0.5), ("p99", 0.99), ("p999", 0.999)];

impl Measurements {
    /// Computes the figures and tables of the outcome.
    pub fn outcome(
        self,
        config: &Config,
        tallies: &Tallies,
        upstreams: &Upstreams,
        discovery: &Discovery,
    ) -> Outcome {
        let mut figures = Figures::default();
        self.add_request_figures(&mut figures, tallies);
        let milliseconds =
            |times: &[Duration]| times.iter().map(|time| time.as_secs_f64() * 1e3).collect::<Vec<_>>();
        figures.add_mean_and_max("time_to_ready", "_ms", &milliseconds(&self.startup_times));
        figures.add_mean_and_max("time_to_ready_again", "_ms", &milliseconds(&self.restart_times));
        if config.rolling_restart.is_some() {
            figures.add("restarts", self.restart_times.len() as f64);
        }

        let propagation_delays = discovery.propagation_delays();
        let mut delays_ms = milliseconds(&propagation_delays.iter().copied().flatten().collect::<Vec<_>>());
        delays_ms.sort_by(f64::total_cmp);
        if config.change_rate > 0.0 {
            figures.add("changes", propagation_delays.len() as f64);
            figures.add(
                "changes_not_followed",
                propagation_delays.iter().filter(|time| time.is_none()).count() as f64,
            );
        }
        if config.discovery_down.is_some() {
            figures.add("changes_kept_back", discovery.delayed_changes() as f64);
        }
        if let Some(last_index) = delays_ms.len().checked_sub(1) {
            figures.add("change_followed_p50_ms", delays_ms[last_index / 2]);
            figures.add("change_followed_p99_ms", delays_ms[(last_index as f64 * 0.99).ceil() as usize]);
            figures.add("change_followed_max_ms", delays_ms[last_index]);
        }
        let last_attempts = milliseconds(&upstreams.last_attempts_in_drains());
        figures.add_mean_and_max("last_attempt_in_drain", "_ms", &last_attempts);

        for (phase, usage) in [("idle", &self.idle), ("load", &self.load)] {
            let cpu: Vec<f64> = usage.cpu.iter().flatten().map(|share| 100.0 * share).collect();
            figures.add_mean_and_max(&format!("cpu_{phase}"), "_percent", &cpu);
            figures.add_mean_and_max(&format!("control_{phase}"), "_bytes_per_s", &usage.bytes_per_s);
            figures.add_mean_and_max(&format!("control_{phase}"), "_calls_per_s", &usage.requests_per_s);
        }
        figures.add_mean_and_max(
            "memory_peak",
            "_mb",
            &self.peaks.iter().map(|peak| peak.memory_mb).collect::<Vec<_>>(),
        );
        let descriptors: Vec<f64> = self.peaks.iter().map(|peak| peak.descriptors as f64).collect();
        figures.add_mean_and_max("descriptors_peak", "", &descriptors);
        Outcome { figures: figures.0, tables: vec![latency_table(tallies), self.balancers_table()] }
    }

    /// Adds the figures of requests: counts, ratios, latencies and CPU time.
    fn add_request_figures(&self, figures: &mut Figures, tallies: &Tallies) {
        let Tallies { balanced, direct } = tallies;
        for (name, tally) in [("calls", balanced), ("direct_calls", direct)] {
            figures.add(name, tally.sent as f64);
            if tally.sent + tally.not_sent > 0 {
                figures.add(&format!("{name}_not_sent"), tally.not_sent as f64);
            }
            if tally.sent > 0 {
                let ratio = |count: u64| count as f64 / tally.sent as f64;
                let prefix = name.strip_suffix("calls").unwrap_or(name);
                figures.add(&format!("{prefix}served_ratio"), ratio(tally.served));
                figures.add(&format!("{prefix}refused_ratio"), ratio(tally.refused));
                figures.add(&format!("{prefix}failed_ratio"), ratio(tally.failed));
            }
        }
        if balanced.sent > 0 {
            figures.add("attempts_per_call", self.attempts as f64 / balanced.sent as f64);
        }
        for (name, quantile) in QUANTILES {
            if balanced.served > 0 && direct.served > 0 {
                let latency_us = |tally: &Tally| tally.latencies.value_at_quantile(quantile) as f64 / 1e3;
                figures.add(&format!("latency_{name}_us"), latency_us(balanced));
                figures.add(&format!("latency_direct_{name}_us"), latency_us(direct));
                figures.add(&format!("latency_added_{name}_us"), latency_us(balanced) - latency_us(direct));
                figures.add(&format!("latency_ratio_{name}"), latency_us(balanced) / latency_us(direct));
            }
        }
        // The difference between the phases is meaningless if a process was replaced in between.
        let differences: Option<Vec<_>> =
            self.idle.cpu.iter().zip(&self.load.cpu).map(|(idle, load)| Some((*load)? - (*idle)?)).collect();
        if let Some(differences) =
            differences.filter(|differences| !differences.is_empty() && balanced.sent > 0)
        {
            figures.add(
                "cpu_us_per_call",
                differences.iter().sum::<f64>() * self.load.length_s * 1e6 / balanced.sent as f64,
            );
        }
    }

    /// Table with a row for each balancer.
    fn balancers_table(&self) -> Table {
        let cell = |figure: Option<f64>| figure.map_or("not measured".into(), format_figure);
        let row = |index: usize| {
            let cpu =
                |usage: &Usage| cell(usage.cpu.get(index).copied().flatten().map(|share| 100.0 * share));
            vec![
                index.to_string(),
                cpu(&self.idle),
                cpu(&self.load),
                cell(self.load.bytes_per_s.get(index).copied()),
                cell(self.load.requests_per_s.get(index).copied()),
            ]
        };
        let columns = [
            "balancer",
            "CPU idle, % of a core",
            "CPU under load, % of a core",
            "control bytes/s under load",
            "control calls/s under load",
        ];
        Table::new("Balancers", columns, (0..self.load.bytes_per_s.len()).map(row).collect())
    }
}

/// Table of the latencies of served requests, balanced and direct.
fn latency_table(tallies: &Tallies) -> Table {
    let row = |(route, tally): (&str, &Tally)| {
        let quantiles = QUANTILES
            .map(|(_, quantile)| format_figure(tally.latencies.value_at_quantile(quantile) as f64 / 1e3));
        let max = format_figure(tally.latencies.max() as f64 / 1e3);
        let cells = [route.to_owned(), tally.sent.to_string(), tally.served.to_string()];
        cells.into_iter().chain(quantiles).chain([max]).collect()
    };
    let columns = ["path", "calls", "served", "p50, us", "p99, us", "p99.9, us", "max, us"];
    let rows = [("balanced", &tallies.balanced), ("direct", &tallies.direct)].map(row).to_vec();
    Table::new("Latency from when a call was due", columns, rows)
}
