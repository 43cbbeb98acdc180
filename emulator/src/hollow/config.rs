//! The configuration of a run.

use crate::discovery::DiscoveryConfig;
use crate::faults::{Faults, Outage, RollingRestart, TierFault, ZoneLoss};
use serde::Deserialize;

/// The form of the call graph.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Shape {
    /// One service a tier; each call of one leads to one of the next.
    Chain,
    /// Services of unequal size that call some of the deeper ones.
    #[default]
    Graph,
}

/// A run of the hollow mode. Times of faults count from the start of the run, the warm-up included.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// The form of the call graph.
    pub shape: Shape,
    /// Upstreams of a graph, each with its balancer.
    pub balancers: usize,
    /// Services of a graph.
    pub services: usize,
    /// Upstreams of each tier of a chain.
    pub servers_per_tier: usize,
    /// Tiers: so many calls below each other at most.
    pub depth: u32,
    /// Zones, and the regions that they lie in.
    pub zones: usize,
    pub regions: usize,
    /// Front balancers, that the clients call.
    pub fronts: usize,
    /// Calls a second over all tiers, if none fails.
    pub rate: f64,
    /// Requests of clients a second; 0 to work them out from `rate`.
    pub requests: f64,
    /// Time that is measured, and time before that, in seconds.
    pub duration_s: f64,
    pub warmup_s: f64,
    /// Calls that a call leads to, on average, in a graph.
    pub calls_per_call: f64,
    /// Own work of a service on a call, in milliseconds: the median over the services, and the deviation of its
    /// logarithm.
    pub service_ms: f64,
    pub service_spread: f64,
    /// Deviation over mean of the work of single calls.
    pub work_variation: f64,
    /// Part of its time that an upstream works, if calls are spread evenly.
    pub utilisation: f64,
    /// Calls that wait at an upstream before it turns others away.
    pub queue_limit: usize,
    /// Classes of requests: they differ in what repeating does.
    pub classes: usize,
    /// Part of the requests with a key, and of those unsafe to repeat, where there are such classes.
    pub keyed_share: f64,
    pub unsafe_share: f64,
    /// Time within which an answer is worth something, and for which clients wait, in milliseconds.
    pub aim_ms: f64,
    pub deadline_ms: f64,
    /// Most attempts of a balancer for one request.
    pub max_attempts: u32,
    /// What a crossing of zones costs, as part of a request's worth.
    pub cross_price: f64,
    /// Idle connections are closed after this time, in seconds; a new one comes up in this time, in milliseconds.
    pub conn_idle_s: f64,
    pub connect_timeout_ms: f64,
    /// Part of the upstreams that have just started when the run begins.
    pub cold_share: f64,
    /// Part of its capacity that a cold server starts with, and the time in which it is warm, in seconds.
    pub start_capacity: f64,
    pub ramp_s: f64,
    /// A cold server sent more than this multiple of what it can do falls over, and the time over which that is
    /// counted, in seconds.
    pub tip_multiple: f64,
    pub fall_s: f64,
    /// One way between two machines, in milliseconds.
    pub same_zone_ms: f64,
    pub cross_zone_ms: f64,
    pub cross_region_ms: f64,
    /// What a balancer adds to a call and to its answer each, in microseconds.
    pub balancer_us: f64,
    /// Time until clients leave a front balancer that is lost, in seconds.
    pub front_notice_s: f64,
    /// Discovery and its agents.
    pub discovery: DiscoveryConfig,
    /// A tier whose calls fail.
    pub tier_fault: TierFault,
    /// A zone that is lost.
    pub zone_lost: ZoneLoss,
    /// The regions are cut from each other; discovery is in the first.
    pub region_cut: Outage,
    /// Discovery is down.
    pub discovery_down: Outage,
    /// Upstreams are replaced one after another.
    pub rolling_restart: RollingRestart,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            shape: Shape::Graph,
            balancers: 870,
            services: 150,
            servers_per_tier: 6,
            depth: 21,
            zones: 8,
            regions: 2,
            fronts: 16,
            rate: 92_000.0,
            requests: 0.0,
            duration_s: 1.0,
            warmup_s: 1.0,
            calls_per_call: 0.85,
            service_ms: 4.0,
            service_spread: 0.4,
            work_variation: 0.5,
            utilisation: 0.5,
            queue_limit: 64,
            classes: 3,
            keyed_share: 0.2,
            unsafe_share: 0.1,
            aim_ms: 1000.0,
            deadline_ms: 2000.0,
            max_attempts: 3,
            cross_price: 0.04,
            conn_idle_s: 10.0,
            connect_timeout_ms: 100.0,
            cold_share: 0.0,
            start_capacity: 0.32,
            ramp_s: 8.6,
            tip_multiple: 4.0,
            fall_s: 3.0,
            same_zone_ms: 0.2,
            cross_zone_ms: 0.5,
            cross_region_ms: 3.0,
            balancer_us: 50.0,
            front_notice_s: 2.0,
            discovery: DiscoveryConfig::default(),
            tier_fault: TierFault::default(),
            zone_lost: ZoneLoss::default(),
            region_cut: Outage::default(),
            discovery_down: Outage::default(),
            rolling_restart: RollingRestart::default(),
        }
    }
}

impl Config {
    /// Refuses what can't be run; the text names the key and its value.
    pub fn check(&self) -> Result<(), String> {
        let counts = [
            ("balancers", self.balancers, 1, 100_000),
            ("services", self.services, 1, 10_000),
            ("servers_per_tier", self.servers_per_tier, 1, 10_000),
            ("depth", self.depth as usize, 1, 64),
            ("zones", self.zones, 1, 64),
            ("regions", self.regions, 1, self.zones),
            ("fronts", self.fronts, 1, 10_000),
            ("queue_limit", self.queue_limit, 1, 1_000_000),
            ("classes", self.classes, 1, 1_000),
            ("max_attempts", self.max_attempts as usize, 1, 10),
        ];
        for (key, value, min, max) in counts {
            if !(min..=max).contains(&value) {
                return Err(format!("`{key}` is {value}, not between {min} and {max}"));
            }
        }
        let discovery = &self.discovery;
        let figures = [
            ("rate", self.rate, 0.001, 1e8),
            ("requests", self.requests, 0.0, 1e8),
            ("duration_s", self.duration_s, 0.001, 86_400.0),
            ("warmup_s", self.warmup_s, 0.0, 86_400.0),
            ("calls_per_call", self.calls_per_call, 0.0, 2.0),
            ("service_ms", self.service_ms, 0.001, 60_000.0),
            ("service_spread", self.service_spread, 0.0, 3.0),
            ("work_variation", self.work_variation, 0.0, 10.0),
            ("utilisation", self.utilisation, 0.001, 10.0),
            ("keyed_share", self.keyed_share, 0.0, 1.0),
            ("unsafe_share", self.unsafe_share, 0.0, 1.0 - self.keyed_share),
            ("aim_ms", self.aim_ms, 0.001, 3.6e6),
            ("deadline_ms", self.deadline_ms, 0.001, 3.6e6),
            ("cross_price", self.cross_price, 0.0, 1.0),
            ("conn_idle_s", self.conn_idle_s, 0.0, 86_400.0),
            ("connect_timeout_ms", self.connect_timeout_ms, 0.0, 60_000.0),
            ("cold_share", self.cold_share, 0.0, 1.0),
            ("start_capacity", self.start_capacity, 0.001, 1.0),
            ("ramp_s", self.ramp_s, 0.0, 86_400.0),
            ("tip_multiple", self.tip_multiple, 0.0, 1e6),
            ("fall_s", self.fall_s, 0.01, 3_600.0),
            ("same_zone_ms", self.same_zone_ms, 0.0, 10_000.0),
            ("cross_zone_ms", self.cross_zone_ms, 0.0, 10_000.0),
            ("cross_region_ms", self.cross_region_ms, 0.0, 10_000.0),
            ("balancer_us", self.balancer_us, 0.0, 1e7),
            ("front_notice_s", self.front_notice_s, 0.0, 3_600.0),
            ("discovery.notice_min_s", discovery.notice_min_s, 0.0, 3_600.0),
            ("discovery.notice_max_s", discovery.notice_max_s, discovery.notice_min_s, 3_600.0),
            ("discovery.silent_notice_min_s", discovery.silent_notice_min_s, 0.0, 3_600.0),
            (
                "discovery.silent_notice_max_s",
                discovery.silent_notice_max_s,
                discovery.silent_notice_min_s,
                3_600.0,
            ),
            ("discovery.push_min_ms", discovery.push_min_ms, 0.0, 3.6e6),
            ("discovery.push_max_ms", discovery.push_max_ms, discovery.push_min_ms, 3.6e6),
            ("discovery.network_ms", discovery.network_ms, 0.0, 10_000.0),
            ("discovery.call_us", discovery.call_us, 0.0, 1e7),
            ("discovery.watch_us", discovery.watch_us, 0.0, 1e7),
            ("discovery.machines", discovery.machines, 1.0, 1_000.0),
            ("discovery.ask_within_s", discovery.ask_within_s, 0.0, 3_600.0),
            ("discovery.changes_per_day", discovery.changes_per_day, 0.0, 1e9),
            ("tier_fault.share", self.tier_fault.share, 0.0, 1.0),
            ("tier_fault.from_s", self.tier_fault.from_s, 0.0, 86_400.0),
            ("tier_fault.for_s", self.tier_fault.for_s, 0.0, 86_400.0),
            ("zone_lost.from_s", self.zone_lost.from_s, 0.0, 86_400.0),
            ("zone_lost.for_s", self.zone_lost.for_s, 0.0, 86_400.0),
            ("region_cut.from_s", self.region_cut.from_s, 0.0, 86_400.0),
            ("region_cut.for_s", self.region_cut.for_s, 0.0, 86_400.0),
            ("discovery_down.from_s", self.discovery_down.from_s, 0.0, 86_400.0),
            ("discovery_down.for_s", self.discovery_down.for_s, 0.0, 86_400.0),
            ("rolling_restart.share", self.rolling_restart.share, 0.0, 1.0),
            ("rolling_restart.from_s", self.rolling_restart.from_s, 0.0, 86_400.0),
            ("rolling_restart.for_s", self.rolling_restart.for_s, 0.0, 86_400.0),
            ("rolling_restart.drain_s", self.rolling_restart.drain_s, 0.0, 3_600.0),
            ("rolling_restart.down_s", self.rolling_restart.down_s, 0.0, 3_600.0),
        ];
        for (key, value, min, max) in figures {
            if !(min..=max).contains(&value) {
                return Err(format!("`{key}` is {value}, not between {min} and {max}"));
            }
        }
        if !self.zones.is_multiple_of(self.regions) {
            return Err(format!("`regions` is {}, which does not divide {} zones", self.regions, self.zones));
        }
        if self.shape == Shape::Graph && self.services < self.depth as usize {
            return Err(format!("`services` is {}, fewer than the depth of {}", self.services, self.depth));
        }
        if self.shape == Shape::Graph && self.balancers < self.services {
            return Err(format!("`balancers` is {}, fewer than {} services", self.balancers, self.services));
        }
        if self.tier_fault.depth > self.depth {
            return Err(format!("`tier_fault.depth` is {}, beyond {}", self.tier_fault.depth, self.depth));
        }
        if self.zone_lost.zone >= self.zones {
            return Err(format!("`zone_lost.zone` is {} of {} zones", self.zone_lost.zone, self.zones));
        }
        Ok(())
    }

    pub(super) fn faults(&self) -> Faults<'_> {
        Faults {
            tier: &self.tier_fault,
            zone: &self.zone_lost,
            regions: &self.region_cut,
            discovery: &self.discovery_down,
            restart: &self.rolling_restart,
        }
    }

    /// The tier that the report looks at: the failing one, or the last.
    pub(super) fn watched_tier(&self) -> usize {
        let depth = if self.tier_fault.depth == 0 { self.depth } else { self.tier_fault.depth };
        depth as usize - 1
    }
}
