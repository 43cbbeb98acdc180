//! Outcomes of runs, and the reports written from them.

use crate::scenario::{Bounds, Mode, Scenario};
use anyhow::{Context, Result};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs;
use std::path::Path;
use std::time::Duration;

/// A table of a report; each row has one cell per column.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Table {
    /// Title of the section in the Markdown report.
    pub title: String,
    /// Column headers.
    pub columns: Vec<String>,
    /// Cells by row.
    pub rows: Vec<Vec<String>>,
}

/// What one run has measured.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Outcome {
    /// Figures by name; the name ends with the unit. The scenario's `[expect]` table bounds them.
    pub figures: BTreeMap<String, f64>,
    /// Further results in tables.
    pub tables: Vec<Table>,
}

/// An expectation of a scenario and whether a run has met it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Expectation {
    /// Name of the figure.
    pub figure: String,
    /// Expected bounds.
    #[serde(flatten)]
    pub bounds: Bounds,
    /// Value of the figure; `None` if the run has not measured it.
    pub measured: Option<f64>,
    /// Whether the figure was measured and lies within the bounds.
    pub kept: bool,
}

impl Expectation {
    /// Evaluates all expectations of a scenario. An expectation of a figure that was not measured is broken.
    pub fn evaluate_all(scenario: &Scenario, outcome: &Outcome) -> Vec<Self> {
        let expectation = |(figure, bounds): (&String, &Bounds)| {
            let measured = outcome.figures.get(figure).copied();
            let kept = measured.is_some_and(|measured| bounds.contains(measured));
            Self { figure: figure.clone(), bounds: *bounds, measured, kept }
        };
        scenario.expect.iter().map(expectation).collect()
    }

    /// Describes the expected range.
    fn expected(&self) -> String {
        match (self.bounds.min, self.bounds.max) {
            (Some(min), Some(max)) => format!("{min} to {max}"),
            (Some(min), None) => format!("{min} at least"),
            (None, Some(max)) => format!("{max} at most"),
            (None, None) => String::new(),
        }
    }

    /// Returns one line with the figure, its value and the expected range if the expectation is broken.
    pub fn broken_message(&self) -> Option<String> {
        let measured = self
            .measured
            .map_or("was not measured".into(), |measured| format!("is {}", format_figure(measured)));
        (!self.kept).then(|| format!("`{}` {measured}, expected {}", self.figure, self.expected()))
    }
}

/// A run of a scenario. All fields except [`Run::environment`] are the same for each hollow run with the same seed.
#[derive(Clone, Debug, Serialize)]
pub struct Run {
    /// Name of the scenario.
    pub scenario: String,
    /// Mode of the scenario.
    pub mode: Mode,
    /// Seed of the run.
    pub seed: u64,
    /// Values that the sweep set, by key.
    pub values: BTreeMap<String, toml::Value>,
    /// Figures and tables measured by the run.
    pub outcome: Outcome,
    /// Expectations of the scenario and whether they were met.
    #[serde(rename = "promises")]
    pub expectations: Vec<Expectation>,
    /// Resources and machine of the run.
    #[serde(skip)]
    pub environment: RunEnvironment,
}

/// Resources and machine of a run, which differ from run to run.
#[derive(Clone, Debug, Serialize)]
pub struct RunEnvironment {
    /// Wall time, in seconds.
    pub wall_s: f64,
    /// Peak memory of this process up to the end of the run, in MB of 1,000,000 bytes.
    pub peak_memory_mb: Option<f64>,
    /// Machine of the run.
    pub machine: Machine,
    /// Path of the balancer program, in real mode.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub balancer: Option<String>,
}

/// The machine that a run was executed on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Machine {
    /// Number of cores that this process may use.
    pub cores: usize,
    /// Name of the processor according to the operating system.
    pub model: String,
}

impl Machine {
    /// Returns the description of this machine.
    pub fn current() -> Self {
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
    /// Returns the environment of a run of this process that took `wall`.
    pub fn current(wall: Duration, balancer: Option<&Path>) -> Self {
        Self {
            wall_s: wall.as_secs_f64(),
            peak_memory_mb: peak_memory_mb("self"),
            machine: Machine::current(),
            balancer: balancer.map(|path| path.display().to_string()),
        }
    }
}

/// Returns the peak memory of a process, in MB of 1,000,000 bytes; `process` is a process id or `self`.
pub fn peak_memory_mb(process: &str) -> Option<f64> {
    let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    let kib: f64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kib * 1024.0 / 1e6)
}

impl Run {
    /// Returns one message for each broken expectation.
    pub fn broken_expectation_messages(&self) -> impl Iterator<Item = String> {
        self.expectations.iter().filter_map(Expectation::broken_message)
    }

    /// Formats the report in Markdown.
    pub fn markdown(&self) -> String {
        let mut text = format!("# {}\n\n", self.scenario);
        let _ = writeln!(text, "Mode {}, seed {}.", self.mode, self.seed);
        for (key, value) in &self.values {
            let _ = writeln!(text, "`{key}` is {value}.");
        }
        let figures =
            self.outcome.figures.iter().map(|(name, figure)| vec![name.clone(), format_figure(*figure)]);
        Table::new("Figures", ["figure", "measured"], figures.collect()).write_markdown(&mut text);
        for table in &self.outcome.tables {
            table.write_markdown(&mut text);
        }
        expectations_table(&self.expectations).write_markdown(&mut text);
        self.environment.write_markdown(&mut text);
        text
    }

    /// Returns the report as JSON, including the run environment.
    pub fn json(&self) -> serde_json::Value {
        serde_json::json!({"run": self, "circumstances": self.environment})
    }

    /// Writes the outcome and the run environment into a folder; each file appears only when it is complete.
    pub fn write(&self, folder: &Path) -> Result<()> {
        fs::create_dir_all(folder).with_context(|| format!("cannot create {}", folder.display()))?;
        write_atomically(&folder.join("outcome.json"), &to_pretty_json(self)?)?;
        write_atomically(&folder.join("run.json"), &to_pretty_json(&self.environment)?)
    }
}

/// Table of the expectations and whether they were met.
fn expectations_table(expectations: &[Expectation]) -> Table {
    let row = |expectation: &Expectation| {
        let measured = expectation.measured.map_or("not measured".into(), format_figure);
        let kept = if expectation.kept { "kept" } else { "**broken**" };
        vec![expectation.figure.clone(), expectation.expected(), measured, kept.into()]
    };
    Table::new("Promises", ["figure", "expected", "measured", ""], expectations.iter().map(row).collect())
}

impl RunEnvironment {
    /// Appends the environment as a Markdown section.
    pub fn write_markdown(&self, text: &mut String) {
        let peak_memory =
            self.peak_memory_mb.map_or("unknown".into(), |peak_memory| format!("{peak_memory:.1} MB"));
        let _ = writeln!(text, "\n## Circumstances\n");
        let _ = writeln!(text, "- wall time: {:.2} s", self.wall_s);
        let _ = writeln!(text, "- peak memory of this process: {peak_memory}");
        let _ = writeln!(text, "- machine: {} cores, {}", self.machine.cores, self.machine.model);
        if let Some(balancer) = &self.balancer {
            let _ = writeln!(text, "- balancer: {balancer}");
        }
    }
}

impl Table {
    /// Creates a table from its title, column headers and rows.
    pub fn new<const N: usize>(title: impl Into<String>, columns: [&str; N], rows: Vec<Vec<String>>) -> Self {
        Self { title: title.into(), columns: columns.map(String::from).to_vec(), rows }
    }

    /// Appends the table as a Markdown section, unless it has no rows.
    pub fn write_markdown(&self, text: &mut String) {
        if self.rows.is_empty() {
            return;
        }
        let _ = writeln!(text, "\n## {}\n", self.title);
        let mut write_row = |cells: &[String]| {
            let _ = writeln!(
                text,
                "| {} |",
                cells.iter().map(|cell| cell.replace('|', "\\|")).collect::<Vec<_>>().join(" | ")
            );
        };
        write_row(&self.columns);
        write_row(&vec!["---".to_owned(); self.columns.len()]);
        self.rows.iter().for_each(|row| write_row(row));
    }
}

/// Formats a figure with four significant digits, or all digits of an integer.
pub fn format_figure(figure: f64) -> String {
    let digits = match figure.abs() {
        magnitude if magnitude == 0.0 || figure.fract() == 0.0 && magnitude < 1e15 => 0,
        magnitude => (3 - magnitude.log10().floor() as i32).clamp(0, 9) as usize,
    };
    format!("{figure:.digits$}")
}

/// Formats a value as indented JSON with a final newline.
pub fn to_pretty_json(value: &impl Serialize) -> Result<String> {
    Ok(serde_json::to_string_pretty(value)? + "\n")
}

/// Writes a file by way of a temporary file and a rename: readers see the old or the new content, never a part of it.
pub fn write_atomically(path: &Path, text: &str) -> Result<()> {
    let temporary_path = path.with_extension("partial");
    fs::write(&temporary_path, text)
        .and_then(|()| fs::rename(&temporary_path, path))
        .with_context(|| format!("cannot write {}", path.display()))
}
