//! Stands where the emulation on virtual time will: the same signatures, and nothing behind them.

use crate::report::Outcome;
use serde::{Deserialize, Serialize};

/// The `[hollow]` table of a scenario.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Virtual time of the run, in seconds.
    pub duration_s: f64,
    /// Real time that a run takes, in milliseconds.
    pub takes_ms: u64,
}

impl Config {
    /// Refuses figures that make no sense; the error names the key.
    pub fn check(&self) -> Result<(), String> {
        match self.duration_s.is_finite() && self.duration_s >= 0.0 {
            true => Ok(()),
            false => Err(format!("`duration_s` is {}", self.duration_s)),
        }
    }
}

/// Runs a scenario on virtual time. `progress` gets the virtual nanoseconds that are done, and of how many.
pub fn run(config: &Config, seed: u64, progress: &dyn Fn(u64, u64)) -> Outcome {
    for done in 0..config.takes_ms {
        std::thread::sleep(std::time::Duration::from_millis(1));
        progress(done, config.takes_ms);
    }
    let mut outcome = Outcome::default();
    outcome.figures.insert("seed".into(), seed as f64);
    outcome.figures.insert("duration_s".into(), config.duration_s);
    outcome
}
