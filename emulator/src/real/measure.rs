//! What is measured of a run with real processes, and the figures that come of it.

use super::Fleet;
use super::client::{Tallies, Tally};
use super::config::{Config, MOST_MEMORY};
use super::discovery::{Cost, Discovery};
use super::upstream::Upstreams;
use crate::lock;
use crate::report::{Outcome, Table, format_figure, peak_memory_mb};
use anyhow::{Result, bail};
use std::collections::BTreeMap;
use std::fs;
use std::sync::Mutex;
use std::time::Duration;
use tokio::time::Instant;

/// Looks at the balancers' processes.
pub struct Watch<'a> {
    fleet: &'a Fleet,
    discovery: &'a Discovery,
    peaks: Mutex<BTreeMap<u32, Peak>>,
}

/// The most that a process has held at any look.
#[derive(Clone, Copy, Debug, Default)]
pub struct Peak {
    /// In MB of 1,000,000 bytes; the kernel keeps this one between looks.
    memory_mb: f64,
    /// File descriptors.
    descriptors: usize,
}

/// The state of all balancers at a moment.
pub struct Look {
    at: Instant,
    /// By process: time on a core, in seconds.
    cpu: Vec<Option<(u32, f64)>>,
    costs: Vec<Cost>,
}

/// What balancers have used between two looks; the times are for those processes that lived all through.
#[derive(Clone, Debug, Default)]
pub struct Used {
    /// In seconds.
    length: f64,
    /// Part of a core, by balancer.
    cpu: Vec<Option<f64>>,
    /// Control bytes a second, by balancer.
    bytes: Vec<f64>,
    /// Control calls a second, by balancer.
    requests: Vec<f64>,
}

impl<'a> Watch<'a> {
    pub fn new(fleet: &'a Fleet, discovery: &'a Discovery) -> Self {
        Self { fleet, discovery, peaks: Mutex::default() }
    }

    /// The state now.
    pub fn look(&self) -> Look {
        let cpu = |process: Option<u32>| process.and_then(|process| Some((process, cpu_seconds(process)?)));
        let cpu = self.fleet.processes().into_iter().map(cpu).collect();
        Look { at: Instant::now(), cpu, costs: self.discovery.costs() }
    }

    /// What was used since a look.
    pub fn since(&self, from: &Look) -> Used {
        let to = self.look();
        let length = (to.at - from.at).as_secs_f64();
        if length == 0.0 {
            return Used::default();
        }
        let cpu = from.cpu.iter().zip(&to.cpu).map(|pair| match pair {
            (Some((before, from)), Some((after, to))) if before == after => Some((to - from) / length),
            _ => None,
        });
        let costs = || from.costs.iter().zip(&to.costs);
        Used {
            length,
            cpu: cpu.collect(),
            bytes: costs().map(|(from, to)| (to.bytes - from.bytes) as f64 / length).collect(),
            requests: costs().map(|(from, to)| (to.requests - from.requests) as f64 / length).collect(),
        }
    }

    /// Notes what each process holds.
    pub fn peaks(&self) {
        let mut peaks = lock(&self.peaks);
        for process in self.fleet.processes().into_iter().flatten() {
            let peak = peaks.entry(process).or_default();
            let memory = peak_memory_mb(&process.to_string()).unwrap_or(0.0);
            let descriptors = fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count);
            peak.memory_mb = peak.memory_mb.max(memory);
            peak.descriptors = peak.descriptors.max(descriptors);
        }
    }

    /// Fails where all processes together may hold more memory than a run is allowed.
    pub fn check_memory(&self) -> Result<()> {
        let peaks = lock(&self.peaks);
        let living = self.fleet.processes().into_iter().flatten().filter_map(|process| peaks.get(&process));
        let memory = living.map(|peak| peak.memory_mb).sum::<f64>() + peak_memory_mb("self").unwrap_or(0.0);
        match memory > MOST_MEMORY as f64 {
            true => bail!("the run holds {memory:.0} MB, more than {MOST_MEMORY} MB"),
            false => Ok(()),
        }
    }

    /// What each process has held at most.
    pub fn into_peaks(self) -> Vec<Peak> {
        self.peaks.into_inner().unwrap_or_else(|broken| broken.into_inner()).into_values().collect()
    }
}

/// Time that the threads of a process have been on a core. The scheduler counts it in nanoseconds; where it does
/// not, the ticks of `stat` must do.
fn cpu_seconds(process: u32) -> Option<f64> {
    let of_thread = |thread: fs::DirEntry| {
        let text = fs::read_to_string(thread.path().join("schedstat")).ok()?;
        text.split(' ').next()?.parse::<f64>().ok()
    };
    let threads = fs::read_dir(format!("/proc/{process}/task")).ok()?.filter_map(Result::ok);
    match threads.map(of_thread).sum::<Option<f64>>().filter(|nanoseconds| *nanoseconds > 0.0) {
        Some(nanoseconds) => Some(nanoseconds / 1e9),
        None => {
            let stat = fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
            // User and system time; the name before them may hold anything but ends with the last bracket.
            let mut ticks = stat.rsplit(") ").next()?.split(' ').skip(11).map(str::parse::<f64>);
            let used = ticks.next()?.ok()? + ticks.next()?.ok()?;
            Some(used / rustix::param::clock_ticks_per_second() as f64)
        }
    }
}

/// Everything that a run has measured beside its calls.
#[derive(Debug, Default)]
pub struct Measured {
    /// Time from the start of each first process until it was ready.
    pub ready: Vec<Duration>,
    /// The same for those that replaced one.
    pub restarts: Vec<Duration>,
    pub idle: Used,
    pub load: Used,
    /// Attempts that balancers have sent for the measured calls.
    pub attempts: u64,
    pub peaks: Vec<Peak>,
}

/// Collects figures; what was not measured gets none.
#[derive(Default)]
struct Figures(BTreeMap<String, f64>);

impl Figures {
    fn add(&mut self, name: &str, figure: f64) {
        if figure.is_finite() {
            self.0.insert(name.into(), figure);
        }
    }

    /// The mean over the balancers, and the most: `name_mean_unit` and `name_max_unit`.
    fn spread(&mut self, name: &str, unit: &str, figures: &[f64]) {
        if !figures.is_empty() {
            self.add(&format!("{name}_mean{unit}"), figures.iter().sum::<f64>() / figures.len() as f64);
            self.add(&format!("{name}_max{unit}"), figures.iter().copied().fold(f64::NEG_INFINITY, f64::max));
        }
    }
}

/// Quantiles that latency is given at.
const QUANTILES: [(&str, f64); 3] = [("p50", 0.5), ("p99", 0.99), ("p999", 0.999)];

impl Measured {
    pub fn outcome(
        self,
        config: &Config,
        tallies: &Tallies,
        upstreams: &Upstreams,
        discovery: &Discovery,
    ) -> Outcome {
        let mut figures = Figures::default();
        self.calls(&mut figures, tallies);
        let milliseconds =
            |times: &[Duration]| times.iter().map(|time| time.as_secs_f64() * 1e3).collect::<Vec<_>>();
        figures.spread("time_to_ready", "_ms", &milliseconds(&self.ready));
        figures.spread("time_to_ready_again", "_ms", &milliseconds(&self.restarts));
        if config.rolling_restart.is_some() {
            figures.add("restarts", self.restarts.len() as f64);
        }

        let propagation_delays = discovery.propagation_delays();
        let mut times = milliseconds(&propagation_delays.iter().copied().flatten().collect::<Vec<_>>());
        times.sort_by(f64::total_cmp);
        if config.change_rate > 0.0 {
            figures.add("changes", propagation_delays.len() as f64);
            figures.add(
                "changes_not_followed",
                propagation_delays.iter().filter(|time| time.is_none()).count() as f64,
            );
        }
        if config.discovery_down.is_some() {
            figures.add("changes_kept_back", discovery.kept_back() as f64);
        }
        if let Some(last) = times.len().checked_sub(1) {
            figures.add("change_followed_p50_ms", times[last / 2]);
            figures.add("change_followed_p99_ms", times[(last as f64 * 0.99).ceil() as usize]);
            figures.add("change_followed_max_ms", times[last]);
        }
        let drains = milliseconds(&upstreams.latest_in_drains());
        figures.spread("last_attempt_in_drain", "_ms", &drains);

        for (phase, used) in [("idle", &self.idle), ("load", &self.load)] {
            let cpu: Vec<f64> = used.cpu.iter().flatten().map(|part| 100.0 * part).collect();
            figures.spread(&format!("cpu_{phase}"), "_percent", &cpu);
            figures.spread(&format!("control_{phase}"), "_bytes_per_s", &used.bytes);
            figures.spread(&format!("control_{phase}"), "_calls_per_s", &used.requests);
        }
        figures.spread(
            "memory_peak",
            "_mb",
            &self.peaks.iter().map(|peak| peak.memory_mb).collect::<Vec<_>>(),
        );
        let descriptors: Vec<f64> = self.peaks.iter().map(|peak| peak.descriptors as f64).collect();
        figures.spread("descriptors_peak", "", &descriptors);
        Outcome { figures: figures.0, tables: vec![latency(tallies), self.balancers()] }
    }

    fn calls(&self, figures: &mut Figures, tallies: &Tallies) {
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
                let at = |tally: &Tally| tally.times.value_at_quantile(quantile) as f64 / 1e3;
                figures.add(&format!("latency_{name}_us"), at(balanced));
                figures.add(&format!("latency_direct_{name}_us"), at(direct));
                figures.add(&format!("latency_added_{name}_us"), at(balanced) - at(direct));
                figures.add(&format!("latency_ratio_{name}"), at(balanced) / at(direct));
            }
        }
        // The difference of the phases; of no use where a process was replaced in between.
        let both: Option<Vec<_>> =
            self.idle.cpu.iter().zip(&self.load.cpu).map(|(idle, load)| Some((*load)? - (*idle)?)).collect();
        if let Some(both) = both.filter(|both| !both.is_empty() && balanced.sent > 0) {
            figures.add(
                "cpu_us_per_call",
                both.iter().sum::<f64>() * self.load.length * 1e6 / balanced.sent as f64,
            );
        }
    }

    /// A row for each balancer.
    fn balancers(&self) -> Table {
        let cell = |figure: Option<f64>| figure.map_or("not measured".into(), format_figure);
        let row = |at: usize| {
            let cpu = |used: &Used| cell(used.cpu.get(at).copied().flatten().map(|part| 100.0 * part));
            vec![
                at.to_string(),
                cpu(&self.idle),
                cpu(&self.load),
                cell(self.load.bytes.get(at).copied()),
                cell(self.load.requests.get(at).copied()),
            ]
        };
        let columns = [
            "balancer",
            "CPU idle, % of a core",
            "CPU under load, % of a core",
            "control bytes/s under load",
            "control calls/s under load",
        ];
        Table::new("Balancers", columns, (0..self.load.bytes.len()).map(row).collect())
    }
}

/// Times of the calls that were served, balanced and direct.
fn latency(tallies: &Tallies) -> Table {
    let row = |(path, tally): (&str, &Tally)| {
        let quantiles = QUANTILES
            .map(|(_, quantile)| format_figure(tally.times.value_at_quantile(quantile) as f64 / 1e3));
        let most = format_figure(tally.times.max() as f64 / 1e3);
        let cells = [path.to_owned(), tally.sent.to_string(), tally.served.to_string()];
        cells.into_iter().chain(quantiles).chain([most]).collect()
    };
    let columns = ["path", "calls", "served", "p50, us", "p99, us", "p99.9, us", "max, us"];
    let rows = [("balanced", &tallies.balanced), ("direct", &tallies.direct)].map(row).to_vec();
    Table::new("Latency from when a call was due", columns, rows)
}
