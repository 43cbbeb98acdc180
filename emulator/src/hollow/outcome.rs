//! Counters of a hollow run, and the outcome computed from them.

use super::{Fleet, START};
use crate::engine::Time;
use crate::report::{self, Table};

/// Maximum number of rows of a table over time.
const MAX_ROWS: usize = 120;

/// Attempts of a tier by their outcome.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TierCount {
    pub attempts: u64,
    pub ok: u64,
    pub errors: u64,
    pub rejected: u64,
    pub timeouts: u64,
    pub connect_failures: u64,
    pub resets: u64,
    pub cancelled: u64,
}

/// Client requests by their outcome.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RequestCount {
    pub arrived: u64,
    pub served: u64,
    /// Rejected by a balancer.
    pub refused: u64,
    /// Failed by a balancer after its last attempt.
    pub failed: u64,
    /// Got no response: no front balancer was in rotation, or the chosen one was down or went down.
    pub lost: u64,
}

/// Counters of a run. `tiers`, `client_requests` and `retries` cover the client requests that arrived in the measured
/// interval; the others cover the whole run, except for `attempts_in_interval`.
#[derive(Default)]
pub(super) struct Counts {
    pub tiers: Vec<TierCount>,
    pub seconds: Vec<RequestCount>,
    pub client_requests: RequestCount,
    /// Attempts sent during the whole run.
    pub attempts_sent: u64,
    /// Attempts sent during the measured interval, on behalf of any client request.
    pub attempts_in_interval: u64,
    pub retries: u64,
    pub refused_requests: u64,
    pub module_events: u64,
    pub cross_zone: u64,
    pub cross_region: u64,
    pub connections_opened: u64,
    pub cancellations: u64,
    pub load_queries: u64,
    pub log_lines: u64,
    pub cold_crashes: u64,
    pub cold_attempts: u64,
    pub list_changes: u64,
    pub restarts: u64,
    /// Longest time from the start of an upstream's process until its balancer has its lists.
    pub max_start_time: Time,
    /// Maximum number of requests in flight at one module instance.
    pub max_in_flight: usize,
}

impl Fleet<'_> {
    /// Computes the outcome: all figures and tables.
    pub(super) fn outcome(&self) -> report::Outcome {
        let counts = &self.counts;
        let requests = counts.client_requests;
        let ratio = |part: u64, whole: u64| part as f64 / whole.max(1) as f64;
        let elapsed_s = (self.queue.now() - START) as f64 / 1e9;
        let attempts: u64 = counts.tiers.iter().map(|tier| tier.attempts).sum();
        let watched_tier = &counts.tiers[self.config.watched_tier()];
        let expected_requests = |tier: usize| -> f64 {
            let services = self.topology.services.iter().filter(|service| service.tier as usize == tier);
            services.map(|service| service.requests_per_client_request).sum()
        };
        let last_tier = &counts.tiers[self.config.depth as usize - 1];
        let upstreams = self.topology.upstreams.len();
        let balancers = upstreams + self.topology.fronts.len();
        let instances = self.topology.instances.len();
        let known_upstreams: usize = self
            .topology
            .instances
            .iter()
            .map(|instance| self.topology.services[instance.service].upstreams.len())
            .sum();
        let sizes = || self.topology.services.iter().map(|service| service.upstreams.len());
        let (discovery, propagation) = (&self.discovery, &self.discovery.propagation);
        let latency_ms = |quantile: f64| self.latency.value_at_quantile(quantile) as f64 / 1e6;
        let watched_expected = expected_requests(self.config.watched_tier()).max(f64::MIN_POSITIVE);
        let messages = 2 * counts.attempts_sent + counts.cancellations + discovery.messages;
        let figures = [
            ("requests", requests.arrived as f64),
            ("served_ratio", ratio(requests.served, requests.arrived)),
            ("refused_ratio", ratio(requests.refused, requests.arrived)),
            ("failed_ratio", ratio(requests.failed, requests.arrived)),
            ("lost_ratio", ratio(requests.lost, requests.arrived)),
            ("unfinished_requests", self.measured_in_flight as f64),
            ("calls_left", self.requests.len() as f64),
            ("attempts_left", self.attempts.len() as f64),
            ("p50_ms", latency_ms(0.5)),
            ("p99_ms", latency_ms(0.99)),
            ("p999_ms", latency_ms(0.999)),
            ("calls_per_virtual_s", counts.attempts_in_interval as f64 / self.config.duration_s),
            ("calls_per_request", ratio(attempts, requests.arrived)),
            ("calls_expected_per_request", self.topology.requests_per_client_request),
            ("retries_per_request", ratio(counts.retries, requests.arrived)),
            ("retries_per_call", ratio(counts.retries, attempts)),
            ("last_tier_calls_per_request", ratio(last_tier.attempts, requests.arrived)),
            ("watched_tier_calls_per_request", ratio(watched_tier.attempts, requests.arrived)),
            (
                "watched_tier_amplification_ratio",
                ratio(watched_tier.attempts, requests.arrived) / watched_expected,
            ),
            ("refusals_per_call", ratio(counts.refused_requests, counts.attempts_sent)),
            ("probes", counts.load_queries as f64),
            ("cross_zone_ratio", ratio(counts.cross_zone, counts.attempts_sent)),
            ("cross_region_ratio", ratio(counts.cross_region, counts.attempts_sent)),
            ("connects_per_call", ratio(counts.connections_opened, counts.attempts_sent)),
            ("events_per_call", ratio(self.queue.popped(), counts.attempts_sent)),
            ("module_events_per_call", ratio(counts.module_events, counts.attempts_sent)),
            ("messages_per_call", ratio(messages, counts.attempts_sent)),
            ("list_calls_per_s", discovery.messages as f64 / elapsed_s),
            ("list_entries_per_s", discovery.entries_sent as f64 / elapsed_s),
            ("list_calls_per_balancer_s", discovery.messages as f64 / elapsed_s / balancers as f64),
            ("list_failures", discovery.failures as f64),
            ("list_changes", counts.list_changes as f64),
            ("followed", propagation.count as f64),
            ("followed_s_max", propagation.max_delay as f64 / 1e9),
            ("followed_s_mean", propagation.total_delay as f64 / 1e9 / propagation.count.max(1) as f64),
            ("told_s_max", propagation.max_notification_delay as f64 / 1e9),
            ("untold_changes", discovery.undelivered_changes() as f64),
            ("cold_falls", counts.cold_crashes as f64),
            ("cold_calls", counts.cold_attempts as f64),
            ("restarts", counts.restarts as f64),
            ("start_to_ready_s_max", counts.max_start_time as f64 / 1e9),
            ("log_lines", counts.log_lines as f64),
            ("balancers", balancers as f64),
            ("upstreams", upstreams as f64),
            ("module_instances", instances as f64),
            ("instances_per_balancer", instances as f64 / balancers as f64),
            ("servers_known_per_balancer", known_upstreams as f64 / balancers as f64),
            ("calls_held_per_instance_max", counts.max_in_flight as f64),
            ("service_upstreams_min", sizes().min().unwrap_or(0) as f64),
            ("service_upstreams_max", sizes().max().unwrap_or(0) as f64),
        ];
        report::Outcome {
            figures: figures.into_iter().map(|(name, figure)| (name.to_owned(), figure)).collect(),
            tables: vec![self.tier_table(), self.second_table()],
        }
    }

    /// A row per tier: its size, the attempts per client request, and the attempts by outcome.
    fn tier_table(&self) -> Table {
        let columns = [
            "tier",
            "services",
            "upstreams",
            "calls per request",
            "ok",
            "error",
            "full",
            "timeout",
            "not connected",
            "reset",
            "withdrawn",
        ];
        let requests = self.counts.client_requests.arrived.max(1) as f64;
        let row = |(tier, count): (usize, &TierCount)| {
            let services: Vec<_> =
                self.topology.services.iter().filter(|service| service.tier as usize == tier).collect();
            let upstreams: usize = services.iter().map(|service| service.upstreams.len()).sum();
            let mut row = vec![(tier + 1).to_string(), services.len().to_string(), upstreams.to_string()];
            row.push(format!("{:.4}", count.attempts as f64 / requests));
            let ends = [
                count.ok,
                count.errors,
                count.rejected,
                count.timeouts,
                count.connect_failures,
                count.resets,
                count.cancelled,
            ];
            row.extend(ends.map(|count| count.to_string()));
            row
        };
        Table::new("Calls by tier", columns, self.counts.tiers.iter().enumerate().map(row).collect())
    }

    /// Client requests by their outcome over time; a row covers several seconds if the table would be too long.
    fn second_table(&self) -> Table {
        let columns = ["from second", "requests", "served", "refused", "failed", "lost"];
        let seconds = &self.counts.seconds;
        let seconds_per_row = seconds.len().div_ceil(MAX_ROWS);
        let row = |(index, counts): (usize, &[RequestCount])| {
            let sum = |field: fn(&RequestCount) -> u64| counts.iter().map(field).sum::<u64>();
            let figures = [
                (index * seconds_per_row) as u64,
                sum(|count| count.arrived),
                sum(|count| count.served),
                sum(|count| count.refused),
                sum(|count| count.failed),
                sum(|count| count.lost),
            ];
            figures.map(|figure| figure.to_string()).to_vec()
        };
        let rows = seconds.chunks(seconds_per_row).enumerate().map(row);
        let rows = rows.filter(|row| row[1] != "0").collect();
        Table::new("Requests by the second of the run in which they came", columns, rows)
    }
}
