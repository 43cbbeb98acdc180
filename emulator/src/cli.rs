//! The command line.
//!
//! Exit status: 0 where all promises are kept, 1 where one is broken, 2 where the input is bad or nothing could be
//! run, 130 or 143 after SIGINT or SIGTERM.

use crate::experiment::{Setup, Sweep};
use crate::interrupt::{Interrupt, Interrupted};
use crate::report::{pretty, write_whole};
use crate::scenario::{Axis, Source};
use anyhow::{Context, Result, bail};
use clap::{Args, Parser, Subcommand, ValueEnum};
use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};
use std::collections::BTreeMap;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tracing_subscriber::EnvFilter;

const BROKEN: u8 = 1;
const BAD_INPUT: u8 = 2;
/// Steps of the progress bar.
const STEPS: u64 = 1000;

/// Emulates a fleet of balancers and what they serve.
#[derive(Parser)]
#[command(version)]
struct Cli {
    /// How the log is written to standard error; `RUST_LOG` says what is logged.
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
        common: Common,
        /// In place of the scenario's seed.
        #[arg(long)]
        seed: Option<u64>,
    },
    /// Runs a scenario once for each combination of values and each seed.
    Sweep {
        #[command(flatten)]
        common: Common,
        /// A key of the scenario and its values; several make a grid.
        #[arg(long, value_name = "KEY=A,B,C", required = true)]
        over: Vec<Axis>,
        /// Seeds for each combination, counted up from the scenario's own.
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u32).range(1..=10_000))]
        seeds: u32,
        /// Runs on virtual time at once; as many as there are cores, if not said.
        #[arg(long, value_parser = clap::value_parser!(u16).range(1..=1024))]
        jobs: Option<u16>,
    },
}

#[derive(Args)]
struct Common {
    /// A scenario in TOML.
    scenario: PathBuf,
    /// Prints the report in JSON, not in Markdown.
    #[arg(long)]
    json: bool,
    /// A folder for the reports and for what each run has measured.
    #[arg(long, value_name = "DIR")]
    out: Option<PathBuf>,
    /// The balancers' program in real mode; the release build of this one's target folder, if not said.
    #[arg(long, value_name = "PATH")]
    balancer: Option<PathBuf>,
}

/// Does what the command line says.
pub fn main() -> ExitCode {
    let cli = match Cli::try_parse() {
        Ok(cli) => cli,
        Err(error) if !error.use_stderr() => {
            error.print().ok();
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            // clap puts what is wrong before an empty line, and after it how to get help.
            let text = error.render().to_string();
            let fault = text.split("\n\n").next().unwrap_or_default();
            return complain(&fault.split_whitespace().collect::<Vec<_>>().join(" "), BAD_INPUT);
        }
    };
    log(cli.log_format);
    let done = match cli.command {
        Command::Run { common, seed } => run(&common, seed),
        Command::Sweep { common, over, seeds, jobs } => sweep(&common, over, seeds, jobs),
    };
    match done {
        Ok(status) => status,
        Err(error) => match error.downcast_ref::<Interrupted>() {
            Some(Interrupted(signal)) => complain(&format!("error: {error}"), signal.status()),
            None => complain(&format!("error: {error:#}"), BAD_INPUT),
        },
    }
}

fn complain(line: &str, status: u8) -> ExitCode {
    writeln!(io::stderr(), "{line}").ok();
    ExitCode::from(status)
}

fn log(format: LogFormat) {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("warn"));
    let log = tracing_subscriber::fmt().with_env_filter(filter).with_writer(io::stderr);
    match format {
        LogFormat::Text => log.init(),
        LogFormat::Json => log.json().init(),
    }
}

fn run(common: &Common, seed: Option<u64>) -> Result<ExitCode> {
    let scenario = Source::load(&common.scenario)?.scenario;
    let setup = common.setup()?;
    let bar = bar();
    let seed = seed.unwrap_or(scenario.seed);
    let run = setup.run(&scenario, seed, BTreeMap::new(), &|part| advance(&bar, part));
    bar.finish_and_clear();
    let run = run?;
    if let Some(out) = &common.out {
        run.write(out)?;
        write_reports(out, &run.markdown(), &run.json())?;
    }
    common.print(&run.markdown(), &run.json())?;
    Ok(verdict(run.broken()))
}

fn sweep(common: &Common, over: Vec<Axis>, seeds: u32, jobs: Option<u16>) -> Result<ExitCode> {
    for (at, axis) in over.iter().enumerate() {
        if over[..at].iter().any(|other| other.key == axis.key) {
            bail!("--over {}: named twice", axis.key);
        }
    }
    let source = Source::load(&common.scenario)?;
    let sweep = Sweep::plan(&source, over, seeds)?;
    if let Some(runs) = common.out.as_ref().map(|out| out.join("runs")).filter(|runs| runs.exists()) {
        bail!("--out: {} is there already, from another sweep", runs.display());
    }
    let setup = common.setup()?;
    let bar = bar();
    tracing::info!(runs = sweep.planned(), "sweep begins");
    let done = sweep.run(&setup, jobs.map(usize::from), common.out.as_deref(), &|part| advance(&bar, part));
    bar.finish_and_clear();
    let (report, stopped) = done?;
    if let Some(out) = &common.out {
        write_reports(out, &report.markdown(), &report.json())?;
    }
    common.print(&report.markdown(), &report.json())?;
    match stopped {
        Some(error) => Err(error),
        None => Ok(verdict(report.broken())),
    }
}

/// Names each broken promise on standard error.
fn verdict(broken: impl Iterator<Item = String>) -> ExitCode {
    let broken = broken.inspect(|line| drop(writeln!(io::stderr(), "broken: {line}"))).count();
    if broken == 0 { ExitCode::SUCCESS } else { ExitCode::from(BROKEN) }
}

fn write_reports(out: &Path, markdown: &str, json: &serde_json::Value) -> Result<()> {
    std::fs::create_dir_all(out).with_context(|| format!("--out {}", out.display()))?;
    write_whole(&out.join("report.md"), markdown)?;
    write_whole(&out.join("report.json"), &pretty(json)?)
}

impl Common {
    fn setup(&self) -> Result<Setup> {
        if let Some(out) = &self.out {
            std::fs::create_dir_all(out).with_context(|| format!("--out {}", out.display()))?;
        }
        Ok(Setup { interrupt: Interrupt::listen()?, balancer: self.balancer.clone() })
    }

    fn print(&self, markdown: &str, json: &serde_json::Value) -> Result<()> {
        let text = if self.json { pretty(json)? } else { markdown.to_owned() };
        match io::stdout().write_all(text.as_bytes()) {
            Err(error) if error.kind() != io::ErrorKind::BrokenPipe => Err(error).context("standard output"),
            _ => Ok(()),
        }
    }
}

/// A bar on standard error, which stays invisible where that is no terminal.
fn bar() -> ProgressBar {
    let bar = ProgressBar::with_draw_target(Some(STEPS), ProgressDrawTarget::stderr());
    match ProgressStyle::with_template("{bar:40} {percent:>3}% {elapsed}, {eta} left") {
        Ok(style) => bar.with_style(style),
        Err(_) => bar,
    }
}

fn advance(bar: &ProgressBar, part: f64) {
    bar.set_position((part * STEPS as f64) as u64);
}
