//! Stands where the emulation on virtual time will: the same signatures, and nothing behind them.

use crate::report::Outcome;
use serde::Deserialize;
use std::time::Duration;

/// The `[hollow]` table of a scenario.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    pub balancers: usize,
    pub services: usize,
    pub depth: u32,
    pub zones: usize,
    pub regions: usize,
    pub fronts: usize,
    /// Calls a second.
    pub rate: f64,
    /// Virtual time that is measured, and before that, in seconds.
    pub duration_s: f64,
    pub warmup_s: f64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            balancers: 870,
            services: 150,
            depth: 21,
            zones: 8,
            regions: 2,
            fronts: 16,
            rate: 92_000.0,
            duration_s: 1.0,
            warmup_s: 1.0,
        }
    }
}

impl Config {
    /// Refuses figures that make no sense; the error names the key.
    pub fn check(&self) -> Result<(), String> {
        match (0.001..=86_400.0).contains(&self.duration_s) {
            true => Ok(()),
            false => Err(format!("`duration_s` is {}, not between 0.001 and 86400", self.duration_s)),
        }
    }
}

/// Runs a scenario on virtual time. `progress` gets the virtual nanoseconds that are done, and of how many.
pub fn run(config: &Config, seed: u64, progress: &dyn Fn(u64, u64)) -> Outcome {
    let length = (config.duration_s * 1e9) as u64;
    let mut done = 0;
    while done < length {
        std::thread::sleep(Duration::from_millis(1));
        done = (done + 100_000_000).min(length);
        progress(done, length);
    }
    let mut outcome = Outcome::default();
    outcome.figures.insert("seed".into(), seed as f64);
    outcome.figures.insert("duration_s".into(), config.duration_s);
    outcome
}
