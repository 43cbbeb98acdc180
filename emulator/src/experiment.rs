//! Runs of a scenario: a single one, or one for each combination of values and each seed of a sweep.

use crate::hollow;
use crate::interrupt::{Interrupt, Interrupted};
use crate::lock;
use crate::real;
use crate::report::{Expectation, Run, RunEnvironment, Table, format_figure};
use crate::scenario::{Axis, Mode, Scenario, ScenarioError, ScenarioFile};
use anyhow::{Context, Result};
use rayon::prelude::*;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs;
use std::panic::{AssertUnwindSafe, catch_unwind, resume_unwind};
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

/// Settings that all runs of this process share.
pub struct Setup {
    /// Signal that ends the runs early.
    pub interrupt: Interrupt,
    /// Path of the balancer program; `None` stands for the release build in this program's target folder.
    pub balancer: Option<PathBuf>,
}

/// Callback that receives the finished fraction of a run, from 0 to 1.
pub type Progress<'a> = &'a (dyn Fn(f64) + Sync);

impl Setup {
    /// Runs a scenario in its mode: hollow (simulated in this process on virtual time) or real (with balancer
    /// processes).
    pub fn run(
        &self,
        scenario: &Scenario,
        seed: u64,
        values: BTreeMap<String, toml::Value>,
        progress: Progress<'_>,
    ) -> Result<Run> {
        self.interrupt.check()?;
        let start = Instant::now();
        let mut balancer = None;
        let outcome = match scenario.mode {
            Mode::Hollow => {
                let config = scenario.hollow.as_ref().context("the scenario has no table `hollow`")?;
                let progress = |done, total| {
                    progress(fraction(done, total));
                    // Unwinding is the only way to end a hollow run early.
                    self.interrupt.check().unwrap_or_else(|interrupted| resume_unwind(Box::new(interrupted)));
                };
                catch_unwind(AssertUnwindSafe(|| hollow::run(config, seed, &progress))).or_else(|cause| {
                    match cause.downcast::<Interrupted>() {
                        Ok(interrupted) => Err(*interrupted),
                        Err(cause) => resume_unwind(cause),
                    }
                })?
            }
            Mode::Real => {
                let config = scenario.real.as_ref().context("the scenario has no table `real`")?;
                let program = real::find_program(self.balancer.as_deref())?;
                let outcome = real::run(config, seed, &program, &self.interrupt, progress)?;
                balancer = Some(program);
                outcome
            }
        };
        let expectations = Expectation::evaluate_all(scenario, &outcome);
        let environment = RunEnvironment::current(start.elapsed(), balancer.as_deref());
        let (name, mode) = (scenario.name.clone(), scenario.mode);
        Ok(Run { scenario: name, mode, seed, values, outcome, expectations, environment })
    }
}

/// Returns the finished fraction of `total`, at most 1.
fn fraction(done: u64, total: u64) -> f64 {
    if total == 0 { 0.0 } else { (done as f64 / total as f64).min(1.0) }
}

/// A planned sweep.
pub struct Sweep {
    axes: Vec<Axis>,
    plan: Vec<PlannedRun>,
}

/// A run of a sweep: the scenario with the values of its combination, and its seed.
struct PlannedRun {
    scenario: Scenario,
    values: BTreeMap<String, toml::Value>,
    seed: u64,
}

/// Results of a sweep, possibly of a part of the planned runs.
#[derive(Debug, Serialize)]
pub struct SweepReport {
    /// Name of the scenario.
    pub scenario: String,
    /// Mode of the scenario.
    pub mode: Mode,
    /// Keys of the sweep, in the order of the command line.
    pub keys: Vec<String>,
    /// Number of planned runs.
    pub planned: usize,
    /// Finished runs, in the order of the plan.
    pub runs: Vec<Run>,
    /// Environment of the whole sweep.
    #[serde(skip)]
    pub environment: RunEnvironment,
}

impl Sweep {
    /// Plans a run for every combination of the axes' values and each of `seeds` seeds, counted up from the scenario's
    /// seed. All combinations are checked before any run starts.
    pub fn plan(scenario_file: &ScenarioFile, axes: Vec<Axis>, seeds: u32) -> Result<Self, ScenarioError> {
        let mut combinations: Vec<Vec<(String, toml::Value)>> = vec![Vec::new()];
        for axis in &axes {
            let extend_combination = |combination: &Vec<(String, toml::Value)>| {
                let with_value = |value: &toml::Value| {
                    let mut combination = combination.clone();
                    combination.push((axis.key.clone(), value.clone()));
                    combination
                };
                axis.values.iter().map(with_value).collect::<Vec<_>>()
            };
            combinations = combinations.iter().flat_map(extend_combination).collect();
        }
        let mut plan = Vec::new();
        for combination in combinations {
            let scenario = scenario_file.with_values(&combination)?;
            for offset in 0..u64::from(seeds) {
                let (scenario, values) = (scenario.clone(), combination.iter().cloned().collect());
                let seed = scenario.seed.wrapping_add(offset);
                plan.push(PlannedRun { scenario, values, seed });
            }
        }
        Ok(Self { axes, plan })
    }

    /// Returns the number of planned runs.
    pub fn planned(&self) -> usize {
        self.plan.len()
    }

    /// Executes the runs: hollow runs on `jobs` threads, real runs one after another. Each run is written to `out`
    /// when it finishes. Returns the finished runs and the first error, after which no further run starts.
    pub fn run(
        &self,
        setup: &Setup,
        jobs: Option<usize>,
        out: Option<&Path>,
        progress: Progress<'_>,
    ) -> Result<(SweepReport, Option<anyhow::Error>)> {
        let start = Instant::now();
        let first_scenario = &self.plan.first().context("the sweep has no run")?.scenario;
        let (failed, first_error, progress_by_run) =
            (AtomicBool::new(false), Mutex::new(None), Mutex::new(vec![0.0; self.plan.len()]));
        let run_planned = |(index, planned): (usize, &PlannedRun)| {
            if failed.load(Ordering::Relaxed) {
                return None;
            }
            let advance = |fraction: f64| {
                let mut progress_by_run = lock(&progress_by_run);
                progress_by_run[index] = fraction;
                progress(progress_by_run.iter().sum::<f64>() / progress_by_run.len() as f64);
            };
            let run = setup
                .run(&planned.scenario, planned.seed, planned.values.clone(), &advance)
                .and_then(|run| out.map_or(Ok(()), |out| write_run(&run, index, out)).map(|()| run));
            match run {
                Ok(run) => {
                    advance(1.0);
                    tracing::info!(run = index + 1, of = self.plan.len(), seed = run.seed, "run finished");
                    Some(run)
                }
                Err(error) => {
                    failed.store(true, Ordering::Relaxed);
                    lock(&first_error).get_or_insert(error);
                    None
                }
            }
        };
        let runs: Vec<Option<Run>> = match first_scenario.mode {
            Mode::Real => self.plan.iter().enumerate().map(run_planned).collect(),
            Mode::Hollow => {
                let thread_pool = rayon::ThreadPoolBuilder::new().num_threads(jobs.unwrap_or(0)).build();
                let thread_pool = thread_pool.context("cannot start the thread pool of the sweep")?;
                thread_pool.install(|| self.plan.par_iter().enumerate().map(run_planned).collect())
            }
        };
        let report = SweepReport {
            scenario: first_scenario.name.clone(),
            mode: first_scenario.mode,
            keys: self.axes.iter().map(|axis| axis.key.clone()).collect(),
            planned: self.plan.len(),
            runs: runs.into_iter().flatten().collect(),
            environment: RunEnvironment::current(start.elapsed(), None),
        };
        Ok((report, first_error.into_inner().unwrap_or_else(|poisoned| poisoned.into_inner())))
    }
}

/// Writes a finished run to its own folder, which appears only when it is complete.
fn write_run(run: &Run, index: usize, out: &Path) -> Result<()> {
    let runs = out.join("runs");
    let partial = runs.join(format!(".{:04}.partial", index + 1));
    run.write(&partial)?;
    let folder = runs.join(folder_name(run, index));
    fs::rename(&partial, &folder).with_context(|| format!("cannot create {}", folder.display()))
}

/// Names the folder of a run after its index in the plan, its values and its seed: `0003-balancers=4-seed=1`.
fn folder_name(run: &Run, index: usize) -> String {
    let mut folder_name = format!("{:04}", index + 1);
    for (key, value) in &run.values {
        let _ = write!(folder_name, "-{}={value}", key.rsplit('.').next().unwrap_or(key));
    }
    let _ = write!(folder_name, "-seed={}", run.seed);
    folder_name
        .replace(|character: char| !character.is_ascii_alphanumeric() && !"._=-".contains(character), "_")
}

impl SweepReport {
    /// Returns one message for each broken expectation of each run.
    pub fn broken_expectation_messages(&self) -> impl Iterator<Item = String> {
        self.runs.iter().flat_map(|run| {
            run.broken_expectation_messages().map(|line| format!("{}: {line}", describe(run)))
        })
    }

    /// Formats the report in Markdown.
    pub fn markdown(&self) -> String {
        let mut text = format!("# {}: a sweep over {}\n\n", self.scenario, self.swept_keys());
        let _ = writeln!(text, "Mode {}, {} of {} runs finished.", self.mode, self.runs.len(), self.planned);
        self.figures_table().write_markdown(&mut text);
        self.fits().write_markdown(&mut text);
        let rows = self.broken_expectation_messages().map(|line| vec![line]);
        Table::new("Broken promises", ["broken"], rows.collect()).write_markdown(&mut text);
        self.environment.write_markdown(&mut text);
        text
    }

    /// Returns the report as JSON, including the run environments.
    pub fn json(&self) -> serde_json::Value {
        let environments: Vec<_> = self.runs.iter().map(|run| &run.environment).collect();
        let (figures_table, fits) = (self.figures_table(), self.fits());
        serde_json::json!({"sweep": self, "points": figures_table, "fits": fits, "circumstances": self.environment,
            "circumstances_of_runs": environments})
    }

    /// Returns the keys of the sweep as text for titles.
    fn swept_keys(&self) -> String {
        match &self.keys[..] {
            [] => "seeds alone".into(),
            keys => keys.iter().map(|key| format!("`{key}`")).collect::<Vec<_>>().join(" and "),
        }
    }

    /// Groups the runs by their values, in the order of the plan.
    fn runs_by_combination(&self) -> Vec<(&BTreeMap<String, toml::Value>, Vec<&Run>)> {
        let mut combinations: Vec<(&BTreeMap<String, toml::Value>, Vec<&Run>)> = Vec::new();
        for run in &self.runs {
            match combinations.last_mut() {
                Some((values, runs)) if **values == run.values => runs.push(run),
                _ => combinations.push((&run.values, vec![run])),
            }
        }
        combinations
    }

    /// Returns the names of all figures that any run has measured, sorted.
    fn figure_names(&self) -> Vec<&String> {
        let names: std::collections::BTreeSet<_> =
            self.runs.iter().flat_map(|run| run.outcome.figures.keys()).collect();
        names.into_iter().collect()
    }

    /// Table with a row for each figure and a column for each combination of values: the mean over its seeds,
    /// then the minimum and the maximum.
    fn figures_table(&self) -> Table {
        let combinations = self.runs_by_combination();
        let column = |(values, runs): &(&BTreeMap<String, toml::Value>, Vec<&Run>)| {
            let values = self.keys.iter().filter_map(|key| values.get(key));
            let values: Vec<_> = values.map(|value| value.to_string().trim_matches('"').to_owned()).collect();
            let seeds = if runs.len() > 1 { format!(" ({} seeds)", runs.len()) } else { String::new() };
            format!("{}{seeds}", values.join(", "))
        };
        let row = |name: &String| {
            let cell = |(_, runs): &(_, Vec<&Run>)| {
                let measured: Vec<f64> =
                    runs.iter().filter_map(|run| run.outcome.figures.get(name).copied()).collect();
                match &measured[..] {
                    [] => "not measured".into(),
                    [only] => format_figure(*only),
                    _ => {
                        let mean = measured.iter().sum::<f64>() / measured.len() as f64;
                        let min = measured.iter().copied().fold(f64::INFINITY, f64::min);
                        let max = measured.iter().copied().fold(f64::NEG_INFINITY, f64::max);
                        format!("{} ({}..{})", format_figure(mean), format_figure(min), format_figure(max))
                    }
                }
            };
            std::iter::once(name.clone()).chain(combinations.iter().map(cell)).collect()
        };
        Table {
            title: format!("Figures by {}", self.swept_keys()),
            columns: std::iter::once("figure".into()).chain(combinations.iter().map(column)).collect(),
            rows: self.figure_names().into_iter().map(row).collect(),
        }
    }

    /// Table of linear fits of the figures, for sweeps over one numeric key with at least three different values.
    /// Column `spread` is the standard deviation of the residuals, and `residual at the largest` the mean residual at
    /// the largest value of the key.
    fn fits(&self) -> Table {
        let row = |name: &String| {
            let [key] = &self.keys[..] else { return None };
            let point = |run: &Run| Some((as_number(run.values.get(key)?)?, *run.outcome.figures.get(name)?));
            let fit = Fit::of(&self.runs.iter().filter_map(point).collect::<Vec<_>>())?;
            let figures = [
                fit.slope,
                fit.slope_error,
                fit.intercept,
                fit.residual_deviation,
                fit.residual_at_largest_x,
            ];
            Some(std::iter::once(name.clone()).chain(figures.map(format_figure)).collect())
        };
        let columns = [
            "figure",
            "slope",
            "standard error of the slope",
            "intercept",
            "spread",
            "residual at the largest",
        ];
        Table::new("Straight lines", columns, self.figure_names().into_iter().filter_map(row).collect())
    }
}

/// Returns the values and the seed of a run as text.
fn describe(run: &Run) -> String {
    let values: Vec<_> = run.values.iter().map(|(key, value)| format!("{key}={value}")).collect();
    format!("{} seed {}", values.join(" "), run.seed).trim().to_owned()
}

/// Returns a numeric TOML value as a float.
fn as_number(value: &toml::Value) -> Option<f64> {
    value.as_float().or_else(|| value.as_integer().map(|integer| integer as f64))
}

/// A linear fit by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// Slope, in units of the figure per unit of the key.
    pub slope: f64,
    /// Standard error of the slope.
    pub slope_error: f64,
    /// Value of the line at x = 0.
    pub intercept: f64,
    /// Standard deviation of the residuals, with two degrees of freedom subtracted.
    pub residual_deviation: f64,
    /// Mean residual of the runs at the largest value of the key.
    pub residual_at_largest_x: f64,
}

impl Fit {
    /// Fits a line to points; `None` if they have fewer than three different values of x.
    pub fn of(points: &[(f64, f64)]) -> Option<Self> {
        let mut distinct_x: Vec<f64> = points.iter().map(|(x, _)| *x).collect();
        distinct_x.sort_by(f64::total_cmp);
        distinct_x.dedup();
        let largest_x = *distinct_x.last().filter(|_| distinct_x.len() >= 3)?;
        let count = points.len() as f64;
        let mean = |of: &dyn Fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
        let (mean_x, mean_y) = (mean(&|(x, _)| *x), mean(&|(_, y)| *y));
        let sum_of_squares = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum::<f64>();
        let slope = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum::<f64>() / sum_of_squares;
        let intercept = mean_y - slope * mean_x;
        let residual = |(x, y): &(f64, f64)| y - intercept - slope * x;
        let residual_deviation =
            (points.iter().map(|point| residual(point).powi(2)).sum::<f64>() / (count - 2.0)).sqrt();
        let residuals_at_largest_x: Vec<f64> =
            points.iter().filter(|(x, _)| *x == largest_x).map(residual).collect();
        let residual_at_largest_x =
            residuals_at_largest_x.iter().sum::<f64>() / residuals_at_largest_x.len() as f64;
        Some(Self {
            slope,
            slope_error: residual_deviation / sum_of_squares.sqrt(),
            intercept,
            residual_deviation,
            residual_at_largest_x,
        })
    }
}
