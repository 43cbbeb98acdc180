//! What goes wrong, and when: a plan of steps on the virtual clock.

use crate::engine::{Time, seconds};
use serde::Deserialize;

/// A tier whose calls fail.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct TierFault {
    /// The tier from 1, the clients' first; 0 is the last one.
    pub depth: u32,
    /// Part of its calls that fail.
    pub share: f64,
    /// All tiers fail that share of their calls.
    pub all_tiers: bool,
    /// When it begins, in seconds.
    pub from_s: f64,
    /// How long it lasts, in seconds; 0 for never.
    pub for_s: f64,
}

impl Default for TierFault {
    fn default() -> Self {
        Self { depth: 0, share: 1.0, all_tiers: false, from_s: 0.0, for_s: 0.0 }
    }
}

/// A zone that is lost: its machines vanish, and come back as new processes.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct ZoneLoss {
    /// The zone, from 0.
    pub zone: usize,
    /// When it begins, in seconds.
    pub from_s: f64,
    /// How long it lasts, in seconds; 0 for never.
    pub for_s: f64,
}

/// A time in which something is gone.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Outage {
    /// When it begins, in seconds.
    pub from_s: f64,
    /// How long it lasts, in seconds; 0 for never.
    pub for_s: f64,
}

/// Upstreams, with their balancers, that are replaced one after another.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct RollingRestart {
    /// Part of the upstreams that is replaced.
    pub share: f64,
    /// When the first one is told to drain, in seconds.
    pub from_s: f64,
    /// From the first to the last, in seconds; 0 for no restart.
    pub for_s: f64,
    /// From being listed as draining to the end of the process, in seconds.
    pub drain_s: f64,
    /// From the end of a process to the start of the next, in seconds.
    pub down_s: f64,
}

impl Default for RollingRestart {
    fn default() -> Self {
        Self { share: 1.0, from_s: 0.0, for_s: 0.0, drain_s: 3.0, down_s: 1.0 }
    }
}

/// A step of the plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultStep {
    /// The failing tier begins or ceases to fail.
    TierFailing(bool),
    /// A zone is lost, or back.
    ZoneLost(usize, bool),
    /// The regions are cut from each other, or not any more.
    RegionsPartitioned(bool),
    /// Discovery falls silent, or answers again.
    DiscoveryDown(bool),
    /// The rolling restart comes to the next upstream: which one of those that are replaced.
    Restart(u32),
}

/// The faults of a configuration.
#[derive(Clone, Copy, Debug)]
pub struct Faults<'a> {
    pub tier: &'a TierFault,
    pub zone: &'a ZoneLoss,
    pub regions: &'a Outage,
    pub discovery: &'a Outage,
    pub restart: &'a RollingRestart,
}

impl Faults<'_> {
    /// The steps with their times, counted from `start`, for so many upstreams.
    pub fn plan(&self, start: Time, upstreams: usize) -> Vec<(Time, FaultStep)> {
        let mut plan = Vec::new();
        let mut add_interval = |from_s: f64, for_s: f64, step: &dyn Fn(bool) -> FaultStep| {
            if for_s > 0.0 {
                plan.push((start + seconds(from_s), step(true)));
                plan.push((start + seconds(from_s + for_s), step(false)));
            }
        };
        add_interval(self.tier.from_s, self.tier.for_s, &FaultStep::TierFailing);
        add_interval(self.zone.from_s, self.zone.for_s, &|lost| FaultStep::ZoneLost(self.zone.zone, lost));
        add_interval(self.regions.from_s, self.regions.for_s, &FaultStep::RegionsPartitioned);
        add_interval(self.discovery.from_s, self.discovery.for_s, &FaultStep::DiscoveryDown);
        if self.restart.for_s > 0.0 {
            let count = (self.restart.share * upstreams as f64).round() as usize;
            for index in 0..count {
                let offset_s = self.restart.from_s + self.restart.for_s * index as f64 / count as f64;
                plan.push((start + seconds(offset_s), FaultStep::Restart(index as u32)));
            }
        }
        plan
    }
}
