//! The configuration of a hollow run: the `[hollow]` table of a scenario.

use crate::discovery::DiscoveryConfig;
use crate::faults::{Faults, Outage, RollingRestart, TierFault, ZoneLoss};
use serde::Deserialize;

/// The shape of the call graph.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Shape {
    /// One service per tier. Each request to a service leads to one request to the next tier.
    Chain,
    /// Services with different numbers of upstreams, each sending to some services of deeper tiers.
    #[default]
    Graph,
}

/// Configuration of a hollow run. Start times of faults are relative to the start of the run, including the warm-up.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Shape of the call graph.
    pub shape: Shape,
    /// Number of upstreams in a graph, each with its balancer.
    pub balancers: usize,
    /// Number of services in a graph.
    pub services: usize,
    /// Number of upstreams in each tier of a chain.
    pub servers_per_tier: usize,
    /// Number of tiers, and so the maximum depth of nested requests.
    pub depth: u32,
    /// Number of zones.
    pub zones: usize,
    /// Number of regions that the zones are divided into evenly.
    pub regions: usize,
    /// Number of front balancers, which receive the clients' requests.
    pub fronts: usize,
    /// Requests per second over all tiers, if none fails.
    pub rate: f64,
    /// Client requests per second; 0 derives them from `rate`.
    pub requests: f64,
    /// Length of the measured interval, in seconds.
    pub duration_s: f64,
    /// Length of the warm-up before the measured interval, in seconds.
    pub warmup_s: f64,
    /// Mean number of requests that a request leads to in a graph.
    pub calls_per_call: f64,
    /// Median service time of a request over the services, in milliseconds, without waiting for other services.
    pub service_ms: f64,
    /// Standard deviation of the logarithm of the services' service times.
    pub service_spread: f64,
    /// Coefficient of variation of the service time of single requests.
    pub work_variation: f64,
    /// Fraction of time that an upstream is busy if the load is spread evenly.
    pub utilisation: f64,
    /// Length of an upstream's queue; further requests are rejected.
    pub queue_limit: usize,
    /// Number of request classes, which differ in their idempotency.
    pub classes: usize,
    /// Fraction of requests with an idempotency key, if there is such a class.
    pub keyed_share: f64,
    /// Fraction of non-idempotent requests, if there is such a class.
    pub unsafe_share: f64,
    /// Latency objective, in milliseconds.
    pub aim_ms: f64,
    /// Time that clients wait for a response, in milliseconds.
    pub deadline_ms: f64,
    /// Maximum number of attempts of a balancer for one request.
    pub max_attempts: u32,
    /// Price of crossing zones, as a fraction of the weight of a request.
    pub cross_price: f64,
    /// Idle connections are closed after this many seconds.
    pub conn_idle_s: f64,
    /// Time until a connection attempt to a silent machine fails, in milliseconds.
    pub connect_timeout_ms: f64,
    /// Fraction of the upstreams that have just started when the run begins.
    pub cold_share: f64,
    /// Fraction of its capacity that a cold upstream starts with.
    pub start_capacity: f64,
    /// Warm-up time of an upstream, in seconds.
    pub ramp_s: f64,
    /// A cold upstream that receives more than this multiple of its present capacity crashes.
    pub tip_multiple: f64,
    /// Window over which the load of a cold upstream is counted, in seconds.
    pub fall_s: f64,
    /// One-way network delay within a zone, in milliseconds.
    pub same_zone_ms: f64,
    /// One-way network delay between zones of a region, in milliseconds.
    pub cross_zone_ms: f64,
    /// One-way network delay between regions, in milliseconds.
    pub cross_region_ms: f64,
    /// Time that a balancer adds to each request and to each response, in microseconds.
    pub balancer_us: f64,
    /// Time until clients stop using a lost front balancer, in seconds.
    pub front_notice_s: f64,
    /// The discovery service and its agents.
    pub discovery: DiscoveryConfig,
    /// A tier whose requests fail.
    pub tier_fault: TierFault,
    /// The loss of a zone.
    pub zone_lost: ZoneLoss,
    /// A partition between the regions; discovery is in the first one.
    pub region_cut: Outage,
    /// An outage of discovery.
    pub discovery_down: Outage,
    /// A rolling restart of the upstreams.
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
    /// Checks the bounds of all keys and their relations. The error names the key and its value.
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
            return Err(format!(
                "`tier_fault.depth` is {}, more than the depth of {}",
                self.tier_fault.depth, self.depth
            ));
        }
        if self.zone_lost.zone >= self.zones {
            return Err(format!(
                "`zone_lost.zone` is {}, but there are only {} zones, counted from 0",
                self.zone_lost.zone, self.zones
            ));
        }
        Ok(())
    }

    /// The faults of this configuration.
    pub(super) fn faults(&self) -> Faults<'_> {
        Faults {
            tier: &self.tier_fault,
            zone: &self.zone_lost,
            regions: &self.region_cut,
            discovery: &self.discovery_down,
            restart: &self.rolling_restart,
        }
    }

    /// Index of the tier whose attempts are reported separately: the failing tier, or the last one.
    pub(super) fn watched_tier(&self) -> usize {
        let depth = if self.tier_fault.depth == 0 { self.depth } else { self.tier_fault.depth };
        depth as usize - 1
    }
}
