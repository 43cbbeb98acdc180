//! Injected faults and the plan of when each begins and ends on the virtual clock.

use crate::engine::{Time, seconds};
use serde::Deserialize;

/// A tier whose requests fail.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct TierFault {
    /// The failing tier, counted from 1 at the clients; 0 selects the last tier.
    pub depth: u32,
    /// Fraction of the tier's requests that fail.
    pub share: f64,
    /// Whether all tiers fail this fraction of their requests.
    pub all_tiers: bool,
    /// Start of the fault, in seconds.
    pub from_s: f64,
    /// Duration of the fault, in seconds; 0 disables it.
    pub for_s: f64,
}

impl Default for TierFault {
    fn default() -> Self {
        Self { depth: 0, share: 1.0, all_tiers: false, from_s: 0.0, for_s: 0.0 }
    }
}

/// The loss of a zone: its machines vanish, and return with new processes.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct ZoneLoss {
    /// Index of the zone, from 0.
    pub zone: usize,
    /// Start of the loss, in seconds.
    pub from_s: f64,
    /// Duration of the loss, in seconds; 0 disables it.
    pub for_s: f64,
}

/// An interval in which a component is unavailable.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Outage {
    /// Start of the outage, in seconds.
    pub from_s: f64,
    /// Duration of the outage, in seconds; 0 disables it.
    pub for_s: f64,
}

/// A rolling restart of upstreams, each together with its balancer.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct RollingRestart {
    /// Fraction of the upstreams that are restarted.
    pub share: f64,
    /// When the first upstream begins to drain, in seconds.
    pub from_s: f64,
    /// Time between the first and the last upstream's restart, in seconds; 0 disables the restart.
    pub for_s: f64,
    /// Time from being listed as draining to the end of the process, in seconds.
    pub drain_s: f64,
    /// Time from the end of a process to the start of its successor, in seconds.
    pub down_s: f64,
}

impl Default for RollingRestart {
    fn default() -> Self {
        Self { share: 1.0, from_s: 0.0, for_s: 0.0, drain_s: 3.0, down_s: 1.0 }
    }
}

/// A step of the fault plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultStep {
    /// The failing tier begins (`true`) or stops (`false`) failing.
    TierFailing(bool),
    /// The zone with this index is lost (`true`) or returns (`false`).
    ZoneLost(usize, bool),
    /// The regions are partitioned (`true`) or connected again (`false`).
    RegionsPartitioned(bool),
    /// Discovery stops responding (`true`) or responds again (`false`).
    DiscoveryDown(bool),
    /// The rolling restart reaches the upstream at this position of the restart order.
    Restart(u32),
}

/// The faults of a configuration.
#[derive(Clone, Copy, Debug)]
pub struct Faults<'a> {
    /// The tier whose requests fail.
    pub tier: &'a TierFault,
    /// The zone that is lost.
    pub zone: &'a ZoneLoss,
    /// The partition between the regions.
    pub regions: &'a Outage,
    /// The outage of discovery.
    pub discovery: &'a Outage,
    /// The rolling restart.
    pub restart: &'a RollingRestart,
}

impl Faults<'_> {
    /// Returns the steps and their times for a fleet of `upstreams` upstreams. Offsets count from `start`.
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
