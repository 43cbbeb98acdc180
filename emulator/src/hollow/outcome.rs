//! What is counted over a run, and the outcome that comes of it.

use super::{Fleet, START};
use crate::engine::Time;
use crate::report::{self, Table};

/// Most rows of a table over time.
const MOST_ROWS: usize = 120;

/// Attempts by how they ended.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TierCount {
    pub attempts: u64,
    pub ok: u64,
    pub errors: u64,
    pub full: u64,
    pub timeouts: u64,
    pub unconnected: u64,
    pub resets: u64,
    pub withdrawn: u64,
}

/// Requests of clients by how they ended.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RequestCount {
    pub came: u64,
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    pub lost: u64,
}

/// What is counted over a run.
#[derive(Default)]
pub(super) struct Counts {
    pub tiers: Vec<TierCount>,
    pub seconds: Vec<RequestCount>,
    pub client_requests: RequestCount,
    /// Of all requests, measured or not.
    pub sends: u64,
    pub sends_in_time: u64,
    pub retries: u64,
    pub refused_requests: u64,
    pub module_events: u64,
    pub cross_zone: u64,
    pub cross_region: u64,
    pub connects: u64,
    pub withdrawals: u64,
    pub probes: u64,
    pub logs: u64,
    pub cold_falls: u64,
    pub cold_attempts: u64,
    pub changes: u64,
    pub restarts: u64,
    pub longest_start: Time,
    pub most_held: usize,
}

impl Fleet<'_> {
    /// All that the run has measured.
    pub(super) fn outcome(&self) -> report::Outcome {
        let counts = &self.counts;
        let requests = counts.client_requests;
        let per = |part: u64, whole: u64| part as f64 / whole.max(1) as f64;
        let span = (self.queue.now() - START) as f64 / 1e9;
        let attempts: u64 = counts.tiers.iter().map(|tier| tier.attempts).sum();
        let watched = &counts.tiers[self.config.watched_tier()];
        let expected_at = |tier: usize| -> f64 {
            let services = self.topology.services.iter().filter(|service| service.tier as usize == tier);
            services.map(|service| service.requests_per_client_request).sum()
        };
        let last = &counts.tiers[self.config.depth as usize - 1];
        let upstreams = self.topology.upstreams.len();
        let balancers = upstreams + self.topology.fronts.len();
        let instances = self.topology.instances.len();
        let known: usize =
            self.topology.instances.iter().map(|at| self.topology.services[at.service].upstreams.len()).sum();
        let sizes = || self.topology.services.iter().map(|service| service.upstreams.len());
        let (discovery, propagation) = (&self.discovery, &self.discovery.propagation);
        let ms = |quantile: f64| self.latency.value_at_quantile(quantile) as f64 / 1e6;
        let watched_expected = expected_at(self.config.watched_tier()).max(f64::MIN_POSITIVE);
        let messages = 2 * counts.sends + counts.withdrawals + discovery.messages;
        let figures = [
            ("requests", requests.came as f64),
            ("served_ratio", per(requests.served, requests.came)),
            ("refused_ratio", per(requests.refused, requests.came)),
            ("failed_ratio", per(requests.failed, requests.came)),
            ("lost_ratio", per(requests.lost, requests.came)),
            ("unfinished_requests", self.open_measured as f64),
            ("calls_left", self.requests.len() as f64),
            ("attempts_left", self.attempts.len() as f64),
            ("p50_ms", ms(0.5)),
            ("p99_ms", ms(0.99)),
            ("p999_ms", ms(0.999)),
            ("calls_per_virtual_s", counts.sends_in_time as f64 / self.config.duration_s),
            ("calls_per_request", per(attempts, requests.came)),
            ("calls_expected_per_request", self.topology.requests_per_client_request),
            ("retries_per_request", per(counts.retries, requests.came)),
            ("retries_per_call", per(counts.retries, attempts)),
            ("last_tier_calls_per_request", per(last.attempts, requests.came)),
            ("watched_tier_calls_per_request", per(watched.attempts, requests.came)),
            ("watched_tier_amplification_ratio", per(watched.attempts, requests.came) / watched_expected),
            ("refusals_per_call", per(counts.refused_requests, counts.sends)),
            ("probes", counts.probes as f64),
            ("cross_zone_ratio", per(counts.cross_zone, counts.sends)),
            ("cross_region_ratio", per(counts.cross_region, counts.sends)),
            ("connects_per_call", per(counts.connects, counts.sends)),
            ("events_per_call", per(self.queue.popped(), counts.sends)),
            ("module_events_per_call", per(counts.module_events, counts.sends)),
            ("messages_per_call", per(messages, counts.sends)),
            ("list_calls_per_s", discovery.messages as f64 / span),
            ("list_entries_per_s", discovery.entries_sent as f64 / span),
            ("list_calls_per_balancer_s", discovery.messages as f64 / span / balancers as f64),
            ("list_failures", discovery.failures as f64),
            ("list_changes", counts.changes as f64),
            ("followed", propagation.count as f64),
            ("followed_s_max", propagation.longest as f64 / 1e9),
            ("followed_s_mean", propagation.sum as f64 / 1e9 / propagation.count.max(1) as f64),
            ("told_s_max", propagation.max_notification_delay as f64 / 1e9),
            ("untold_changes", discovery.undelivered_changes() as f64),
            ("cold_falls", counts.cold_falls as f64),
            ("cold_calls", counts.cold_attempts as f64),
            ("restarts", counts.restarts as f64),
            ("start_to_ready_s_max", counts.longest_start as f64 / 1e9),
            ("log_lines", counts.logs as f64),
            ("balancers", balancers as f64),
            ("upstreams", upstreams as f64),
            ("module_instances", instances as f64),
            ("instances_per_balancer", instances as f64 / balancers as f64),
            ("servers_known_per_balancer", known as f64 / balancers as f64),
            ("calls_held_per_instance_max", counts.most_held as f64),
            ("service_upstreams_min", sizes().min().unwrap_or(0) as f64),
            ("service_upstreams_max", sizes().max().unwrap_or(0) as f64),
        ];
        report::Outcome {
            figures: figures.into_iter().map(|(name, figure)| (name.to_owned(), figure)).collect(),
            tables: vec![self.tier_table(), self.second_table()],
        }
    }

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
        let requests = self.counts.client_requests.came.max(1) as f64;
        let row = |(tier, count): (usize, &TierCount)| {
            let services: Vec<_> =
                self.topology.services.iter().filter(|s| s.tier as usize == tier).collect();
            let upstreams: usize = services.iter().map(|service| service.upstreams.len()).sum();
            let mut row = vec![(tier + 1).to_string(), services.len().to_string(), upstreams.to_string()];
            row.push(format!("{:.4}", count.attempts as f64 / requests));
            let ends = [
                count.ok,
                count.errors,
                count.full,
                count.timeouts,
                count.unconnected,
                count.resets,
                count.withdrawn,
            ];
            row.extend(ends.map(|count| count.to_string()));
            row
        };
        Table::new("Calls by tier", columns, self.counts.tiers.iter().enumerate().map(row).collect())
    }

    /// What came of the requests over time, in as many seconds for a row as keep the table short.
    fn second_table(&self) -> Table {
        let columns = ["from second", "requests", "served", "refused", "failed", "lost"];
        let seconds = &self.counts.seconds;
        let width = seconds.len().div_ceil(MOST_ROWS);
        let row = |(at, counts): (usize, &[RequestCount])| {
            let sum = |field: fn(&RequestCount) -> u64| counts.iter().map(field).sum::<u64>();
            let figures = [
                (at * width) as u64,
                sum(|count| count.came),
                sum(|count| count.served),
                sum(|count| count.refused),
                sum(|count| count.failed),
                sum(|count| count.lost),
            ];
            figures.map(|figure| figure.to_string()).to_vec()
        };
        let rows = seconds.chunks(width).enumerate().map(row);
        let rows = rows.filter(|row| row[1] != "0").collect();
        Table::new("Requests by the second of the run in which they came", columns, rows)
    }
}
