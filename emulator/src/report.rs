//! What a run has measured, and how it is written down.

use crate::scenario::{Bounds, Mode, Scenario};
use anyhow::{Context, Result};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs;
use std::path::Path;
use std::time::Duration;

/// A table of a report; each row has as many cells as there are columns.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Table {
    pub title: String,
    pub columns: Vec<String>,
    pub rows: Vec<Vec<String>>,
}

/// What one run has measured.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Outcome {
    /// Single figures by name; the name ends with the unit. A scenario's `[expect]` bounds these.
    pub figures: BTreeMap<String, f64>,
    pub tables: Vec<Table>,
}

/// A promise of a scenario, and what became of it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Expectation {
    pub figure: String,
    #[serde(flatten)]
    pub bounds: Bounds,
    /// `None` where the run did not measure it.
    pub measured: Option<f64>,
    pub kept: bool,
}

impl Expectation {
    /// All promises of a scenario. What was not measured is not kept.
    pub fn all(scenario: &Scenario, outcome: &Outcome) -> Vec<Self> {
        let expectation = |(figure, bounds): (&String, &Bounds)| {
            let measured = outcome.figures.get(figure).copied();
            let kept = measured.is_some_and(|measured| bounds.hold(measured));
            Self { figure: figure.clone(), bounds: *bounds, measured, kept }
        };
        scenario.expect.iter().map(expectation).collect()
    }

    /// What is expected, in words.
    fn expected(&self) -> String {
        match (self.bounds.min, self.bounds.max) {
            (Some(min), Some(max)) => format!("{min} to {max}"),
            (Some(min), None) => format!("{min} at least"),
            (None, Some(max)) => format!("{max} at most"),
            (None, None) => String::new(),
        }
    }

    /// One line that names the figure, what it is and what it should be.
    pub fn broken(&self) -> Option<String> {
        let measured =
            self.measured.map_or("was not measured".into(), |measured| format!("is {}", number(measured)));
        (!self.kept).then(|| format!("`{}` {measured}, expected {}", self.figure, self.expected()))
    }
}

/// A run of a scenario. All of it but [`Run::environment`] repeats in hollow mode with the same seed.
#[derive(Clone, Debug, Serialize)]
pub struct Run {
    pub scenario: String,
    pub mode: Mode,
    pub seed: u64,
    /// The values that a sweep gave to keys.
    pub values: BTreeMap<String, toml::Value>,
    pub outcome: Outcome,
    #[serde(rename = "promises")]
    pub expectations: Vec<Expectation>,
    #[serde(skip)]
    pub environment: RunEnvironment,
}

/// What a run took, and where: differs from run to run.
#[derive(Clone, Debug, Serialize)]
pub struct RunEnvironment {
    /// Wall time in seconds.
    pub wall_s: f64,
    /// The most memory that this process has held up to the end of the run, in MB of 1,000,000 bytes.
    pub peak_memory_mb: Option<f64>,
    pub machine: Machine,
    /// The balancers' program, in real mode.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub balancer: Option<String>,
}

/// The machine that a run is made on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Machine {
    /// Cores that this process may use.
    pub cores: usize,
    /// The processor as the system names it.
    pub model: String,
}

impl Machine {
    /// This machine.
    pub fn this() -> Self {
        let model = fs::read_to_string("/proc/cpuinfo").ok().and_then(|text| {
            let line = text.lines().find(|line| line.starts_with("model name"))?;
            Some(line.split_once(':')?.1.trim().to_owned())
        });
        Self {
            cores: std::thread::available_parallelism().map_or(1, usize::from),
            model: model.unwrap_or_else(|| "unknown".into()),
        }
    }
}

impl RunEnvironment {
    /// Those of a run of this process that took so long.
    pub fn of(wall: Duration, balancer: Option<&Path>) -> Self {
        Self {
            wall_s: wall.as_secs_f64(),
            peak_memory_mb: peak_memory("self"),
            machine: Machine::this(),
            balancer: balancer.map(|path| path.display().to_string()),
        }
    }
}

/// The most memory that a process has held, in MB of 1,000,000 bytes; `process` is a number or `self`.
pub fn peak_memory(process: &str) -> Option<f64> {
    let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    let kib: f64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kib * 1024.0 / 1e6)
}

impl Run {
    /// Each broken promise in a line.
    pub fn broken(&self) -> impl Iterator<Item = String> {
        self.expectations.iter().filter_map(Expectation::broken)
    }

    /// The report for people.
    pub fn markdown(&self) -> String {
        let mut text = format!("# {}\n\n", self.scenario);
        let _ = writeln!(text, "Mode {}, seed {}.", self.mode, self.seed);
        for (key, value) in &self.values {
            let _ = writeln!(text, "`{key}` is {value}.");
        }
        let figures = self.outcome.figures.iter().map(|(name, figure)| vec![name.clone(), number(*figure)]);
        Table::new("Figures", ["figure", "measured"], figures.collect()).write(&mut text);
        for table in &self.outcome.tables {
            table.write(&mut text);
        }
        expectations_table(&self.expectations).write(&mut text);
        self.environment.write(&mut text);
        text
    }

    /// The report for programs, with the circumstances.
    pub fn json(&self) -> serde_json::Value {
        serde_json::json!({"run": self, "circumstances": self.environment})
    }

    /// Writes the outcome and the circumstances into a folder, each as a whole or not at all.
    pub fn write(&self, folder: &Path) -> Result<()> {
        fs::create_dir_all(folder).with_context(|| format!("{}", folder.display()))?;
        write_whole(&folder.join("outcome.json"), &pretty(self)?)?;
        write_whole(&folder.join("run.json"), &pretty(&self.environment)?)
    }
}

fn expectations_table(expectations: &[Expectation]) -> Table {
    let row = |expectation: &Expectation| {
        let measured = expectation.measured.map_or("not measured".into(), number);
        let kept = if expectation.kept { "kept" } else { "**broken**" };
        vec![expectation.figure.clone(), expectation.expected(), measured, kept.into()]
    };
    Table::new("Promises", ["figure", "expected", "measured", ""], expectations.iter().map(row).collect())
}

impl RunEnvironment {
    /// Adds a section of Markdown.
    pub fn write(&self, text: &mut String) {
        let memory = self.peak_memory_mb.map_or("unknown".into(), |memory| format!("{memory:.1} MB"));
        let _ = writeln!(text, "\n## Circumstances\n");
        let _ = writeln!(text, "- wall time: {:.2} s", self.wall_s);
        let _ = writeln!(text, "- peak memory of this process: {memory}");
        let _ = writeln!(text, "- machine: {} cores, {}", self.machine.cores, self.machine.model);
        if let Some(balancer) = &self.balancer {
            let _ = writeln!(text, "- balancer: {balancer}");
        }
    }
}

impl Table {
    pub fn new<const N: usize>(title: impl Into<String>, columns: [&str; N], rows: Vec<Vec<String>>) -> Self {
        Self { title: title.into(), columns: columns.map(String::from).to_vec(), rows }
    }

    /// Adds it as a section of Markdown; one without rows adds nothing.
    pub fn write(&self, text: &mut String) {
        if self.rows.is_empty() {
            return;
        }
        let _ = writeln!(text, "\n## {}\n", self.title);
        let mut line = |cells: &[String]| {
            let _ = writeln!(
                text,
                "| {} |",
                cells.iter().map(|cell| cell.replace('|', "\\|")).collect::<Vec<_>>().join(" | ")
            );
        };
        line(&self.columns);
        line(&vec!["---".to_owned(); self.columns.len()]);
        self.rows.iter().for_each(|row| line(row));
    }
}

/// A figure for people: four digits that count, or all of a whole number.
pub fn number(figure: f64) -> String {
    let digits = match figure.abs() {
        size if size == 0.0 || figure.fract() == 0.0 && size < 1e15 => 0,
        size => (3 - size.log10().floor() as i32).clamp(0, 9) as usize,
    };
    format!("{figure:.digits$}")
}

/// JSON for a file.
pub fn pretty(value: &impl Serialize) -> Result<String> {
    Ok(serde_json::to_string_pretty(value)? + "\n")
}

/// Writes a file under another name first: it is there as a whole or as it was before.
pub fn write_whole(path: &Path, text: &str) -> Result<()> {
    let partial = path.with_extension("partial");
    fs::write(&partial, text)
        .and_then(|()| fs::rename(&partial, path))
        .with_context(|| format!("{}", path.display()))
}
