//! Runs of a scenario: one, or one for each point and seed of a sweep.

use crate::hollow;
use crate::interrupt::{Interrupt, Interrupted};
use crate::lock;
use crate::real;
use crate::report::{Expectation, Run, RunEnvironment, Table, number};
use crate::scenario::{Axis, Mode, Scenario, ScenarioError, Source};
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

/// What every run of this process needs beside its scenario.
pub struct Setup {
    pub interrupt: Interrupt,
    /// The balancers' program; `None` for the release build beside the running program.
    pub balancer: Option<PathBuf>,
}

/// What is done of a run, from 0 to 1, for a progress bar.
pub type Progress<'a> = &'a (dyn Fn(f64) + Sync);

impl Setup {
    /// Runs a scenario. The one place where the modes part.
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
                let config = scenario.hollow.as_ref().context("`hollow` is missing")?;
                let progress = |done, of| {
                    progress(part(done, of));
                    // Nothing but unwinding ends a run on virtual time before its end.
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
                let config = scenario.real.as_ref().context("`real` is missing")?;
                let program = real::program(self.balancer.as_deref())?;
                let outcome = real::run(config, seed, &program, &self.interrupt, progress)?;
                balancer = Some(program);
                outcome
            }
        };
        let expectations = Expectation::all(scenario, &outcome);
        let environment = RunEnvironment::of(start.elapsed(), balancer.as_deref());
        let (name, mode) = (scenario.name.clone(), scenario.mode);
        Ok(Run { scenario: name, mode, seed, values, outcome, expectations, environment })
    }
}

fn part(done: u64, of: u64) -> f64 {
    if of == 0 { 0.0 } else { (done as f64 / of as f64).min(1.0) }
}

/// A sweep as it is planned.
pub struct Sweep {
    axes: Vec<Axis>,
    plan: Vec<Planned>,
}

struct Planned {
    scenario: Scenario,
    values: BTreeMap<String, toml::Value>,
    seed: u64,
}

/// The figures of a sweep, as far as it came.
#[derive(Debug, Serialize)]
pub struct SweepReport {
    pub scenario: String,
    pub mode: Mode,
    /// Keys that were swept, in the order they were named.
    pub keys: Vec<String>,
    /// Runs that were to be made.
    pub planned: usize,
    /// Finished runs, in the order of the plan.
    pub runs: Vec<Run>,
    #[serde(skip)]
    pub environment: RunEnvironment,
}

impl Sweep {
    /// Every combination of the axes' values, with so many seeds each, counted up from the scenario's own. All of
    /// them are checked before any is run.
    pub fn plan(source: &Source, axes: Vec<Axis>, seeds: u32) -> Result<Self, ScenarioError> {
        let mut points: Vec<Vec<(String, toml::Value)>> = vec![Vec::new()];
        for axis in &axes {
            let longer = |point: &Vec<(String, toml::Value)>| {
                let with = |value: &toml::Value| {
                    let mut point = point.clone();
                    point.push((axis.key.clone(), value.clone()));
                    point
                };
                axis.values.iter().map(with).collect::<Vec<_>>()
            };
            points = points.iter().flat_map(longer).collect();
        }
        let mut plan = Vec::new();
        for point in points {
            let scenario = source.with(&point)?;
            for seed in 0..u64::from(seeds) {
                let (scenario, values) = (scenario.clone(), point.iter().cloned().collect());
                let seed = scenario.seed.wrapping_add(seed);
                plan.push(Planned { scenario, values, seed });
            }
        }
        Ok(Self { axes, plan })
    }

    /// Runs that are to be made.
    pub fn planned(&self) -> usize {
        self.plan.len()
    }

    /// Makes the runs: on virtual time `jobs` at once, with real processes one after another. Each is written to
    /// `out` as it finishes. With the finished runs comes what stopped the others, if anything did.
    pub fn run(
        &self,
        setup: &Setup,
        jobs: Option<usize>,
        out: Option<&Path>,
        progress: Progress<'_>,
    ) -> Result<(SweepReport, Option<anyhow::Error>)> {
        let start = Instant::now();
        let first = &self.plan.first().context("a sweep without a run")?.scenario;
        let (failed, fault, done) =
            (AtomicBool::new(false), Mutex::new(None), Mutex::new(vec![0.0; self.plan.len()]));
        let one = |(at, planned): (usize, &Planned)| {
            if failed.load(Ordering::Relaxed) {
                return None;
            }
            let advance = |part: f64| {
                let mut done = lock(&done);
                done[at] = part;
                progress(done.iter().sum::<f64>() / done.len() as f64);
            };
            let run = setup
                .run(&planned.scenario, planned.seed, planned.values.clone(), &advance)
                .and_then(|run| out.map_or(Ok(()), |out| keep(&run, at, out)).map(|()| run));
            match run {
                Ok(run) => {
                    advance(1.0);
                    tracing::info!(run = at + 1, of = self.plan.len(), seed = run.seed, "run finished");
                    Some(run)
                }
                Err(error) => {
                    failed.store(true, Ordering::Relaxed);
                    lock(&fault).get_or_insert(error);
                    None
                }
            }
        };
        let runs: Vec<Option<Run>> = match first.mode {
            Mode::Real => self.plan.iter().enumerate().map(one).collect(),
            Mode::Hollow => {
                let pool = rayon::ThreadPoolBuilder::new().num_threads(jobs.unwrap_or(0)).build();
                let pool = pool.context("cannot start the threads of a sweep")?;
                pool.install(|| self.plan.par_iter().enumerate().map(one).collect())
            }
        };
        let report = SweepReport {
            scenario: first.name.clone(),
            mode: first.mode,
            keys: self.axes.iter().map(|axis| axis.key.clone()).collect(),
            planned: self.plan.len(),
            runs: runs.into_iter().flatten().collect(),
            environment: RunEnvironment::of(start.elapsed(), None),
        };
        Ok((report, fault.into_inner().unwrap_or_else(|broken| broken.into_inner())))
    }
}

/// Writes a finished run to a folder of its own, which is there as a whole or not at all.
fn keep(run: &Run, at: usize, out: &Path) -> Result<()> {
    let runs = out.join("runs");
    let partial = runs.join(format!(".{:04}.partial", at + 1));
    run.write(&partial)?;
    let folder = runs.join(label(run, at));
    fs::rename(&partial, &folder).with_context(|| format!("{}", folder.display()))
}

/// `0003-balancers=4-seed=1`: the place in the plan, then what a reader looks for.
fn label(run: &Run, at: usize) -> String {
    let mut label = format!("{:04}", at + 1);
    for (key, value) in &run.values {
        let _ = write!(label, "-{}={value}", key.rsplit('.').next().unwrap_or(key));
    }
    let _ = write!(label, "-seed={}", run.seed);
    label.replace(|c: char| !c.is_ascii_alphanumeric() && !"._=-".contains(c), "_")
}

impl SweepReport {
    /// Each broken promise of each run in a line.
    pub fn broken(&self) -> impl Iterator<Item = String> {
        self.runs.iter().flat_map(|run| run.broken().map(|line| format!("{}: {line}", describe(run))))
    }

    /// The report for people.
    pub fn markdown(&self) -> String {
        let mut text = format!("# {}: a sweep over {}\n\n", self.scenario, self.over());
        let _ = writeln!(text, "Mode {}, {} of {} runs finished.", self.mode, self.runs.len(), self.planned);
        self.points().write(&mut text);
        self.fits().write(&mut text);
        let broken = self.broken().map(|line| vec![line]);
        Table::new("Broken promises", ["broken"], broken.collect()).write(&mut text);
        self.environment.write(&mut text);
        text
    }

    /// The report for programs, with the circumstances.
    pub fn json(&self) -> serde_json::Value {
        let each: Vec<_> = self.runs.iter().map(|run| &run.environment).collect();
        let (points, fits) = (self.points(), self.fits());
        serde_json::json!({"sweep": self, "points": points, "fits": fits, "circumstances": self.environment,
            "circumstances_of_runs": each})
    }

    fn over(&self) -> String {
        match &self.keys[..] {
            [] => "seeds alone".into(),
            keys => keys.iter().map(|key| format!("`{key}`")).collect::<Vec<_>>().join(" and "),
        }
    }

    /// The runs that have the same values, in the order of the plan.
    fn by_point(&self) -> Vec<(&BTreeMap<String, toml::Value>, Vec<&Run>)> {
        let mut points: Vec<(&BTreeMap<String, toml::Value>, Vec<&Run>)> = Vec::new();
        for run in &self.runs {
            match points.last_mut() {
                Some((values, runs)) if **values == run.values => runs.push(run),
                _ => points.push((&run.values, vec![run])),
            }
        }
        points
    }

    fn figure_names(&self) -> Vec<&String> {
        let names: std::collections::BTreeSet<_> =
            self.runs.iter().flat_map(|run| run.outcome.figures.keys()).collect();
        names.into_iter().collect()
    }

    /// A row for each figure, a column for each point: the mean over its seeds, and least and most.
    fn points(&self) -> Table {
        let points = self.by_point();
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
                    [one] => number(*one),
                    _ => {
                        let mean = measured.iter().sum::<f64>() / measured.len() as f64;
                        let least = measured.iter().copied().fold(f64::INFINITY, f64::min);
                        let most = measured.iter().copied().fold(f64::NEG_INFINITY, f64::max);
                        format!("{} ({}..{})", number(mean), number(least), number(most))
                    }
                }
            };
            std::iter::once(name.clone()).chain(points.iter().map(cell)).collect()
        };
        Table {
            title: format!("Figures by {}", self.over()),
            columns: std::iter::once("figure".into()).chain(points.iter().map(column)).collect(),
            rows: self.figure_names().into_iter().map(row).collect(),
        }
    }

    /// Straight lines through the figures of a sweep over one key with numbers at three sizes or more.
    fn fits(&self) -> Table {
        let row = |name: &String| {
            let [key] = &self.keys[..] else { return None };
            let at = |run: &Run| Some((as_number(run.values.get(key)?)?, *run.outcome.figures.get(name)?));
            let fit = Fit::of(&self.runs.iter().filter_map(at).collect::<Vec<_>>())?;
            let figures = [fit.slope, fit.slope_error, fit.intercept, fit.spread, fit.last_residual];
            Some(std::iter::once(name.clone()).chain(figures.map(number)).collect())
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

fn describe(run: &Run) -> String {
    let values: Vec<_> = run.values.iter().map(|(key, value)| format!("{key}={value}")).collect();
    format!("{} seed {}", values.join(" "), run.seed).trim().to_owned()
}

fn as_number(value: &toml::Value) -> Option<f64> {
    value.as_float().or_else(|| value.as_integer().map(|whole| whole as f64))
}

/// A straight line by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// In units of the figure for one more of the key.
    pub slope: f64,
    pub slope_error: f64,
    pub intercept: f64,
    /// Standard deviation of the residuals, with two degrees of freedom taken off.
    pub spread: f64,
    /// Mean residual of the runs at the largest size.
    pub last_residual: f64,
}

impl Fit {
    /// `None` with fewer than three sizes.
    pub fn of(points: &[(f64, f64)]) -> Option<Self> {
        let mut sizes: Vec<f64> = points.iter().map(|(x, _)| *x).collect();
        sizes.sort_by(f64::total_cmp);
        sizes.dedup();
        let largest = *sizes.last().filter(|_| sizes.len() >= 3)?;
        let count = points.len() as f64;
        let mean = |of: &dyn Fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
        let (mean_x, mean_y) = (mean(&|(x, _)| *x), mean(&|(_, y)| *y));
        let square = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum::<f64>();
        let slope = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum::<f64>() / square;
        let intercept = mean_y - slope * mean_x;
        let residual = |(x, y): &(f64, f64)| y - intercept - slope * x;
        let spread = (points.iter().map(|point| residual(point).powi(2)).sum::<f64>() / (count - 2.0)).sqrt();
        let last: Vec<f64> = points.iter().filter(|(x, _)| *x == largest).map(residual).collect();
        let last_residual = last.iter().sum::<f64>() / last.len() as f64;
        Some(Self { slope, slope_error: spread / square.sqrt(), intercept, spread, last_residual })
    }
}
