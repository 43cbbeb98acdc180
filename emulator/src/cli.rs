//! The command line interface.
//!
//! Exit status: 0 if all expectations are met, 1 if one is broken, 2 if the input is invalid or the run failed, 130 or
//! 143 after SIGINT or SIGTERM.

use crate::experiment::{Setup, Sweep};
use crate::interrupt::{Interrupt, Interrupted};
use crate::report::{to_pretty_json, write_atomically};
use crate::scenario::{Axis, ScenarioFile};
use anyhow::{Context, Result, bail};
use clap::{Args, Parser, Subcommand, ValueEnum};
use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};
use std::collections::BTreeMap;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tracing_subscriber::EnvFilter;

/// Exit status if an expectation is broken.
const EXIT_BROKEN_EXPECTATION: u8 = 1;
/// Exit status if the input is invalid or a run failed.
const EXIT_ERROR: u8 = 2;
/// Number of steps of the progress bar.
const PROGRESS_STEPS: u64 = 1000;

/// Emulates a fleet of balancers with their clients and upstreams.
#[derive(Parser)]
#[command(version)]
struct Cli {
    /// Format of the log on standard error; `RUST_LOG` sets the filter.
    #[arg(long, value_enum, default_value_t = LogFormat::Text, global = true)]
    log_format: LogFormat,
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogFormat {
    Text,
    Json,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a scenario once.
    Run {
        #[command(flatten)]
        common: CommonArgs,
        /// Seed that replaces the scenario's.
        #[arg(long)]
        seed: Option<u64>,
    },
    /// Runs a scenario once for each combination of values and each seed.
    Sweep {
        #[command(flatten)]
        common: CommonArgs,
        /// Key of the scenario and its values; several options make a grid.
        #[arg(long, value_name = "KEY=A,B,C", required = true)]
        over: Vec<Axis>,
        /// Number of seeds for each combination, counted up from the scenario's seed.
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u32).range(1..=10_000))]
        seeds: u32,
        /// Maximum number of hollow runs at a time; default: the number of cores.
        #[arg(long, value_parser = clap::value_parser!(u16).range(1..=1024))]
        jobs: Option<u16>,
    },
}

// Arguments of both commands. Not a doc comment: clap would use it as the description of the commands.
#[derive(Args)]
struct CommonArgs {
    /// Scenario file in TOML.
    scenario: PathBuf,
    /// Prints the report in JSON instead of Markdown.
    #[arg(long)]
    json: bool,
    /// Folder for the reports and the outcome of each run.
    #[arg(long, value_name = "DIR")]
    out: Option<PathBuf>,
    /// Path of the balancer program in real mode; default: the release build in this program's target folder.
    #[arg(long, value_name = "PATH")]
    balancer: Option<PathBuf>,
}

/// Runs the command line and returns the exit status.
pub fn main() -> ExitCode {
    let cli = match Cli::try_parse() {
        Ok(cli) => cli,
        Err(error) if !error.use_stderr() => {
            error.print().ok();
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            // clap prints the error, then an empty line, then usage hints; only the error is kept.
            let rendered = error.render().to_string();
            let message = rendered.split("\n\n").next().unwrap_or_default();
            return exit_with_error(&message.split_whitespace().collect::<Vec<_>>().join(" "), EXIT_ERROR);
        }
    };
    init_log(cli.log_format);
    let result = match cli.command {
        Command::Run { common, seed } => run(&common, seed),
        Command::Sweep { common, over, seeds, jobs } => sweep(&common, over, seeds, jobs),
    };
    match result {
        Ok(status) => status,
        Err(error) => match error.downcast_ref::<Interrupted>() {
            Some(Interrupted(signal)) => exit_with_error(&format!("error: {error}"), signal.status()),
            None => exit_with_error(&format!("error: {error:#}"), EXIT_ERROR),
        },
    }
}

/// Prints a line to standard error and returns the exit status.
fn exit_with_error(line: &str, status: u8) -> ExitCode {
    writeln!(io::stderr(), "{line}").ok();
    ExitCode::from(status)
}

/// Starts logging to standard error, by default from level `warn` on.
fn init_log(format: LogFormat) {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("warn"));
    let subscriber = tracing_subscriber::fmt().with_env_filter(filter).with_writer(io::stderr);
    match format {
        LogFormat::Text => subscriber.init(),
        LogFormat::Json => subscriber.json().init(),
    }
}

/// Runs a scenario once.
fn run(common: &CommonArgs, seed: Option<u64>) -> Result<ExitCode> {
    let scenario = ScenarioFile::load(&common.scenario)?.scenario;
    let setup = common.setup()?;
    let progress_bar = progress_bar();
    let seed = seed.unwrap_or(scenario.seed);
    let run =
        setup.run(&scenario, seed, BTreeMap::new(), &|fraction| update_progress(&progress_bar, fraction));
    progress_bar.finish_and_clear();
    let run = run?;
    if let Some(out) = &common.out {
        run.write(out)?;
        write_reports(out, &run.markdown(), &run.json())?;
    }
    common.print(&run.markdown(), &run.json())?;
    Ok(report_broken(run.broken_expectation_messages()))
}

/// Runs a sweep. Its report is written also if a run failed or was interrupted.
fn sweep(common: &CommonArgs, over: Vec<Axis>, seeds: u32, jobs: Option<u16>) -> Result<ExitCode> {
    for (index, axis) in over.iter().enumerate() {
        if over[..index].iter().any(|other| other.key == axis.key) {
            bail!("--over {}: the key is given twice", axis.key);
        }
    }
    let scenario_file = ScenarioFile::load(&common.scenario)?;
    let sweep = Sweep::plan(&scenario_file, over, seeds)?;
    if let Some(runs_folder) =
        common.out.as_ref().map(|out| out.join("runs")).filter(|runs_folder| runs_folder.exists())
    {
        bail!("--out: {} already exists, written by another sweep", runs_folder.display());
    }
    let setup = common.setup()?;
    let progress_bar = progress_bar();
    tracing::info!(runs = sweep.planned(), "sweep started");
    let result = sweep.run(&setup, jobs.map(usize::from), common.out.as_deref(), &|fraction| {
        update_progress(&progress_bar, fraction)
    });
    progress_bar.finish_and_clear();
    let (report, first_error) = result?;
    if let Some(out) = &common.out {
        write_reports(out, &report.markdown(), &report.json())?;
    }
    common.print(&report.markdown(), &report.json())?;
    match first_error {
        Some(error) => Err(error),
        None => Ok(report_broken(report.broken_expectation_messages())),
    }
}

/// Prints each broken expectation to standard error and returns the exit status.
fn report_broken(messages: impl Iterator<Item = String>) -> ExitCode {
    let broken_count = messages.inspect(|line| drop(writeln!(io::stderr(), "broken: {line}"))).count();
    if broken_count == 0 { ExitCode::SUCCESS } else { ExitCode::from(EXIT_BROKEN_EXPECTATION) }
}

/// Writes the reports for people and for programs into a folder.
fn write_reports(out: &Path, markdown: &str, json: &serde_json::Value) -> Result<()> {
    std::fs::create_dir_all(out).with_context(|| format!("--out: cannot create {}", out.display()))?;
    write_atomically(&out.join("report.md"), markdown)?;
    write_atomically(&out.join("report.json"), &to_pretty_json(json)?)
}

impl CommonArgs {
    /// Creates the output folder and starts listening for signals.
    fn setup(&self) -> Result<Setup> {
        if let Some(out) = &self.out {
            std::fs::create_dir_all(out)
                .with_context(|| format!("--out: cannot create {}", out.display()))?;
        }
        Ok(Setup { interrupt: Interrupt::listen()?, balancer: self.balancer.clone() })
    }

    /// Prints the report to standard output.
    fn print(&self, markdown: &str, json: &serde_json::Value) -> Result<()> {
        let text = if self.json { to_pretty_json(json)? } else { markdown.to_owned() };
        match io::stdout().write_all(text.as_bytes()) {
            Err(error) if error.kind() != io::ErrorKind::BrokenPipe => {
                Err(error).context("cannot write to standard output")
            }
            _ => Ok(()),
        }
    }
}

/// Creates a progress bar on standard error, which is hidden unless standard error is a terminal.
fn progress_bar() -> ProgressBar {
    let progress_bar = ProgressBar::with_draw_target(Some(PROGRESS_STEPS), ProgressDrawTarget::stderr());
    match ProgressStyle::with_template("{bar:40} {percent:>3}% {elapsed}, {eta} left") {
        Ok(style) => progress_bar.with_style(style),
        Err(_) => progress_bar,
    }
}

/// Moves the progress bar to a fraction from 0 to 1.
fn update_progress(progress_bar: &ProgressBar, fraction: f64) {
    progress_bar.set_position((fraction * PROGRESS_STEPS as f64) as u64);
}
