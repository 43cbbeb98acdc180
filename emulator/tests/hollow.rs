//! Checks the expectations of the capacity page on small seeded fleets in hollow mode.

use fleet_emulator::engine::SECOND;
use fleet_emulator::hollow::{Config, Shape, run};
use fleet_emulator::report::Outcome;
use fleet_emulator::topology::{Owner, Topology};
use std::path::Path;

/// Maximum attempts per client request to a last tier that fails all requests, at any depth: the module stops
/// retrying a class whose retries are futile.
const MAX_LAST_TIER_ATTEMPTS: f64 = 1.5;
/// Maximum time from the end of a discovery outage until a polling balancer has its lists, in seconds. The module
/// waits up to 1.5 s after a failure, a request sent before the end of the outage times out after 1 s, and the queue
/// at discovery takes the rest. The target is 6 s.
const MAX_WATCH_RECOVERY_S: f64 = 3.0;

/// Returns a figure of an outcome by its name.
fn figure(outcome: &Outcome, name: &str) -> f64 {
    *outcome.figures.get(name).unwrap_or_else(|| panic!("no figure `{name}`"))
}

/// Returns how many client requests arrived in a second of the run, and how many of them were served.
fn second(outcome: &Outcome, second: usize) -> (f64, f64) {
    let table = &outcome.tables[1];
    let row = table
        .rows
        .iter()
        .find(|row| row[0] == second.to_string())
        .expect("a row for a second in which requests arrived");
    (row[1].parse().expect("a number of requests"), row[2].parse().expect("a number of requests"))
}

/// Returns the fraction of the client requests of these seconds that were served.
fn served_in(outcome: &Outcome, seconds: std::ops::Range<usize>) -> f64 {
    let (arrived, served) = seconds
        .map(|index| second(outcome, index))
        .fold((0.0, 0.0), |(all_arrived, all_served), (arrived, served)| {
            (all_arrived + arrived, all_served + served)
        });
    served / arrived
}

/// Checks and runs a configuration and discards its progress reports.
fn run_silently(config: &Config, seed: u64) -> Outcome {
    config.check().expect("a valid configuration");
    run(config, seed, &|_, _| {})
}

/// A small fleet with the call graph of the target.
fn small_fleet() -> Config {
    Config {
        balancers: 96,
        services: 20,
        depth: 6,
        fronts: 8,
        rate: 2_000.0,
        warmup_s: 1.0,
        duration_s: 4.0,
        ..Config::default()
    }
}

/// A chain of tiers whose last tier fails from 0.5 s on, if a test sets the duration of the fault.
fn chain(depth: u32) -> Config {
    let mut config = Config {
        shape: Shape::Chain,
        depth,
        zones: 2,
        regions: 1,
        fronts: 2,
        requests: 200.0,
        classes: 1,
        service_ms: 1.0,
        utilisation: 0.01,
        aim_ms: 10_000.0,
        deadline_ms: 20_000.0,
        warmup_s: 2.0,
        duration_s: 3.0,
        ..Config::default()
    };
    config.tier_fault.from_s = 0.5;
    config
}

/// Parses the `[hollow]` table of a scenario.
fn toml_config(text: &str) -> Result<Config, toml::de::Error> {
    toml::from_str(text)
}

#[test]
fn the_same_seed_gives_the_same_report_byte_for_byte() {
    let mut config = small_fleet();
    config.discovery.changes_per_day = 100_000.0;
    config.tier_fault = fleet_emulator::faults::TierFault { share: 0.2, for_s: 1.0, ..Default::default() };
    config.zone_lost = fleet_emulator::faults::ZoneLoss { zone: 3, from_s: 1.0, for_s: 1.0 };
    config.region_cut = fleet_emulator::faults::Outage { from_s: 2.5, for_s: 1.0 };
    config.rolling_restart.for_s = 3.0;
    for ask in [false, true] {
        config.discovery.ask = ask;
        let text = |seed| serde_json::to_string(&run_silently(&config, seed)).expect("a report is JSON");
        let first = text(7);
        assert_eq!(first, text(7), "ask: {ask}");
        assert_ne!(first, text(8), "ask: {ask}");
    }
}

#[test]
fn the_default_fleet_has_the_size_of_the_target() {
    use rand::SeedableRng;
    let config = Config::default();
    let topology = Topology::new(&config, &mut rand_chacha::ChaCha8Rng::seed_from_u64(1));
    assert_eq!((topology.upstreams.len(), topology.services.len()), (870, 150));
    assert!((topology.request_rate * topology.requests_per_client_request - 92_000.0).abs() < 1e-6);
    let sizes: Vec<usize> = topology.services.iter().map(|service| service.upstreams.len()).collect();
    assert!(sizes.iter().all(|&size| size >= 2) && sizes.iter().max() > Some(&10), "{sizes:?}");
    // Each service receives requests, from services of lower tiers only, and the longest path has 21 services.
    let mut depth = vec![1; topology.services.len()];
    for (index, service) in topology.services.iter().enumerate() {
        assert!(service.requests_per_client_request > 0.0, "service {index} receives no requests");
        for callee in &service.callees {
            assert!(topology.services[callee.service].tier > service.tier);
            depth[callee.service] = depth[callee.service].max(depth[index] + 1);
        }
    }
    assert_eq!(depth.iter().max(), Some(&21));
    // The instances of a balancer send to the callees of its upstream's service, in the same order.
    for (index, upstream) in topology.upstreams.iter().enumerate() {
        let sends_to = upstream.instances.clone().map(|instance| topology.instances[instance].service);
        let callees = topology.services[upstream.service].callees.iter().map(|callee| callee.service);
        assert!(sends_to.eq(callees));
        let owners = upstream.instances.clone().map(|instance| topology.instances[instance].owner);
        assert!(owners.into_iter().all(|owner| owner == Owner::Upstream(index)));
    }
}

#[test]
fn cost_grows_only_with_the_number_of_requests() {
    let outcomes: Vec<Outcome> = [1, 2, 4]
        .map(|times| Config {
            balancers: 60 * times,
            services: 15 * times,
            rate: 1_500.0 * times as f64,
            ..small_fleet()
        })
        .iter()
        .map(|config| run_silently(config, 3))
        .collect();
    for name in ["events_per_call", "module_events_per_call", "messages_per_call"] {
        let figures: Vec<f64> = outcomes.iter().map(|outcome| figure(outcome, name)).collect();
        assert!(
            figures[1..].iter().all(|figure| (figure / figures[0] - 1.0).abs() < 0.1),
            "{name}: {figures:?}"
        );
    }
    for outcome in &outcomes {
        assert!((figure(outcome, "served_ratio") - 1.0).abs() < 0.001, "{:?}", outcome.figures);
    }
    assert!(figure(&outcomes[2], "calls_per_virtual_s") > 3.5 * figure(&outcomes[0], "calls_per_virtual_s"));
}

#[test]
fn a_failing_tier_gets_few_extra_attempts_at_any_depth() {
    for depth in [1, 3, 8, 12, 21] {
        let mut config = chain(depth);
        config.tier_fault.for_s = 60.0;
        let outcome = run_silently(&config, 1);
        let last_tier = figure(&outcome, "last_tier_calls_per_request");
        assert!(
            last_tier <= MAX_LAST_TIER_ATTEMPTS,
            "depth {depth}: {last_tier} attempts per request to the last tier, {MAX_LAST_TIER_ATTEMPTS} at most"
        );
        assert!(last_tier >= 0.9, "depth {depth}: only {last_tier} attempts per request to the last tier");
        assert!(figure(&outcome, "served_ratio") < 0.001, "depth {depth}");
        if depth == 1 {
            assert!(last_tier < 1.1, "one tier: {last_tier} attempts per request");
        }
    }
}

#[test]
fn retries_recover_a_few_failures_in_each_tier() {
    for depth in [1, 8, 21] {
        let mut config = chain(depth);
        config.requests = 100.0 * (21 / depth).min(8) as f64;
        config.tier_fault.share = 0.02;
        config.tier_fault.all_tiers = true;
        config.tier_fault.for_s = 60.0;
        let outcome = run_silently(&config, 1);
        assert!(figure(&outcome, "served_ratio") >= 0.995, "depth {depth}: {:?}", outcome.figures);
        let last_tier = figure(&outcome, "last_tier_calls_per_request");
        assert!(
            (0.98..1.08).contains(&last_tier),
            "depth {depth}: {last_tier} attempts per request to the last tier"
        );
        assert!(figure(&outcome, "retries_per_request") > 0.01, "depth {depth}: nothing failed");
    }
}

#[test]
fn a_tier_serves_within_seconds_of_its_recovery() {
    for depth in [1, 8] {
        let mut config = chain(depth);
        config.tier_fault.for_s = 2.0;
        config.warmup_s = 0.0;
        config.duration_s = 9.0;
        let outcome = run_silently(&config, 2);
        assert!(served_in(&outcome, 1..2) < 0.01, "depth {depth}: the tier did not fail");
        assert!(served_in(&outcome, 6..9) > 0.999, "depth {depth}: {:?}", outcome.tables[1].rows);
    }
}

#[test]
fn cold_upstreams_are_not_overloaded_when_half_of_the_fleet_is_cold() {
    // All upstreams are equal, and an even share of the load would crash a cold one. The balancers of a tier do not
    // communicate, yet together must not exceed what a cold upstream can handle at its age.
    let config = Config {
        depth: 2,
        servers_per_tier: 12,
        requests: 720.0,
        service_ms: 40.0,
        service_spread: 0.0,
        utilisation: 0.601,
        cold_share: 0.5,
        tip_multiple: 0.6,
        warmup_s: 0.0,
        duration_s: 12.0,
        ..chain(2)
    };
    for seed in 1..=4 {
        let outcome = run_silently(&config, seed);
        assert!(figure(&outcome, "cold_calls") > 500.0, "{:?}", outcome.figures);
        assert_eq!(figure(&outcome, "cold_falls"), 0.0, "seed {seed}");
        assert!(served_in(&outcome, 9..12) > 0.999, "seed {seed}: {:?}", outcome.tables[1].rows);
    }
    // Upstreams that tolerate less do crash, so the counter of crashes works.
    let fragile = run_silently(&Config { tip_multiple: 0.1, ..config }, 1);
    assert!(figure(&fragile, "cold_falls") > 0.0);
}

#[test]
fn list_changes_propagate_in_time_when_pushed_and_when_polled() {
    for ask in [false, true] {
        let mut config = Config { rate: 200.0, warmup_s: 0.0, duration_s: 40.0, ..small_fleet() };
        config.discovery.ask = ask;
        config.discovery.changes_per_day = 86_400.0;
        let outcome = run_silently(&config, 4);
        assert!(figure(&outcome, "followed") > 100.0, "ask: {ask}");
        assert!(figure(&outcome, "followed_s_max") < 4.0, "ask: {ask}, {:?}", outcome.figures);
        assert_eq!(figure(&outcome, "list_failures"), 0.0, "ask: {ask}");
    }
}

#[test]
fn changes_during_a_discovery_outage_propagate_after_it() {
    for (ask, max) in [(false, 1.1), (true, MAX_WATCH_RECOVERY_S)] {
        let mut config = Config { rate: 200.0, warmup_s: 0.0, duration_s: 40.0, ..small_fleet() };
        config.discovery.ask = ask;
        config.discovery.changes_per_day = 86_400.0;
        config.discovery_down = fleet_emulator::faults::Outage { from_s: 5.0, for_s: 20.0 };
        let outcome = run_silently(&config, 4);
        let delay = figure(&outcome, "told_s_max");
        assert!(delay > 0.1 && delay <= max, "ask: {ask}, notified after {delay} s, {max} s at most");
        assert!(
            figure(&outcome, "followed_s_max") > 15.0,
            "ask: {ask}: the outage had no effect on the propagation"
        );
        assert_eq!(
            figure(&outcome, "served_ratio"),
            1.0,
            "ask: {ask}: requests failed although the lists were unchanged"
        );
    }
}

#[test]
fn regions_serve_during_a_partition_and_recover_after_it() {
    let mut config = Config { duration_s: 20.0, warmup_s: 0.0, ..small_fleet() };
    config.region_cut = fleet_emulator::faults::Outage { from_s: 4.0, for_s: 8.0 };
    let outcome = run_silently(&config, 6);
    assert!(served_in(&outcome, 0..3) > 0.999, "{:?}", outcome.tables[1].rows);
    let served_during_partition = served_in(&outcome, 5..12);
    assert!(
        (0.4..0.999).contains(&served_during_partition),
        "{served_during_partition} served during the partition: {:?}",
        outcome.tables[1].rows
    );
    assert!(served_in(&outcome, 14..20) > 0.999, "{:?}", outcome.tables[1].rows);
    assert_eq!(figure(&outcome, "calls_left"), 0.0);
    assert_eq!(figure(&outcome, "attempts_left"), 0.0);
}

#[test]
fn the_fleet_serves_through_a_zone_loss_and_a_rolling_restart() {
    let mut config = Config { duration_s: 22.0, warmup_s: 0.0, ..small_fleet() };
    config.zone_lost = fleet_emulator::faults::ZoneLoss { zone: 1, from_s: 2.0, for_s: 3.0 };
    config.rolling_restart.from_s = 1.0;
    config.rolling_restart.for_s = 8.0;
    // In the second round the whole fleet is restarted within the warm-up time of one upstream. Nearly all upstreams
    // are cold at once, so some requests are not served until they are warm, but all are after that.
    for (share, min_served_ratio) in [(0.3, 0.97), (1.0, 0.0)] {
        config.rolling_restart.share = share;
        let outcome = run_silently(&config, 6);
        assert!(figure(&outcome, "restarts") > 85.0 * share, "{share} restarted");
        assert!(
            figure(&outcome, "served_ratio") > min_served_ratio,
            "{share} restarted: {:?}",
            outcome.tables[1].rows
        );
        assert!(served_in(&outcome, 20..22) > 0.999, "{share} restarted: {:?}", outcome.tables[1].rows);
        for name in ["calls_left", "attempts_left", "unfinished_requests", "cold_falls"] {
            assert_eq!(figure(&outcome, name), 0.0, "{share} restarted: {name}");
        }
    }
}

#[test]
fn every_request_has_exactly_one_outcome() {
    let mut config = small_fleet();
    config.tier_fault = fleet_emulator::faults::TierFault { share: 0.3, for_s: 9.0, ..Default::default() };
    config.deadline_ms = 40.0;
    let outcome = run_silently(&config, 9);
    let parts = ["served_ratio", "refused_ratio", "failed_ratio", "lost_ratio"];
    let sum: f64 = parts.iter().map(|name| figure(&outcome, name)).sum();
    assert!((sum - 1.0).abs() < 1e-9, "{:?}", outcome.figures);
    assert!(
        figure(&outcome, "p999_ms") <= 41.0,
        "a request was served after its deadline: {:?}",
        outcome.figures
    );
}

#[test]
fn the_table_of_a_long_run_is_short_and_counts_all_requests() {
    let outcome = run_silently(&Config { rate: 20.0, duration_s: 700.0, warmup_s: 0.0, ..small_fleet() }, 1);
    let rows = &outcome.tables[1].rows;
    assert!((100..=120).contains(&rows.len()), "{} rows", rows.len());
    let requests: f64 = rows.iter().map(|row| row[1].parse::<f64>().expect("a number of requests")).sum();
    assert_eq!(requests, figure(&outcome, "requests"));
}

#[test]
fn progress_is_reported_up_to_the_end() {
    let reports = std::cell::RefCell::new(Vec::new());
    run(&small_fleet(), 1, &|done, of| reports.borrow_mut().push((done, of)));
    let reports = reports.into_inner();
    assert!(reports.len() > 10 && reports.windows(2).all(|pair| pair[0].0 <= pair[1].0));
    assert_eq!(reports.last(), Some(&(5 * SECOND, 5 * SECOND)));
}

#[test]
fn errors_of_invalid_configurations_name_the_key() {
    let cases = [
        ("zones = 7\nregions = 2", "`regions` is 2"),
        ("rate = -1.0", "`rate` is -1"),
        ("depth = 0", "`depth` is 0"),
        ("services = 5", "`services` is 5"),
        ("balancers = 100", "`balancers` is 100"),
        ("duration_s = nan", "`duration_s` is NaN"),
        ("keyed_share = 0.7\nunsafe_share = 0.4", "`unsafe_share` is 0.4"),
        ("tier_fault.depth = 22", "`tier_fault.depth` is 22"),
        ("zone_lost.zone = 8", "`zone_lost.zone` is 8"),
        ("discovery.push_max_ms = 1.0", "`discovery.push_max_ms` is 1"),
    ];
    for (text, named) in cases {
        let error = toml_config(text).expect("the keys are known").check().expect_err(text);
        assert!(error.starts_with(named) && !error.contains('\n'), "{text}: {error}");
    }
    for (text, key) in [("balancer = 3", "balancer"), ("[discovery]\npushes = 1", "pushes")] {
        let error = toml_config(text).expect_err(text).to_string();
        assert!(error.contains(&format!("unknown field `{key}`")), "{error}");
    }
    assert_eq!(Config::default().check(), Ok(()));
}

#[test]
fn the_hollow_scenarios_are_valid() {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios");
    for name in ["chain", "full", "region-cut", "cold-fleet"] {
        let text = std::fs::read_to_string(directory.join(format!("{name}.toml"))).expect("a scenario");
        let table: toml::Table = text.parse().expect("TOML");
        assert_eq!(table["name"].as_str(), Some(name));
        assert_eq!(table["mode"].as_str(), Some("hollow"));
        let config: Config = table["hollow"].clone().try_into().expect("known keys");
        assert_eq!(config.check(), Ok(()), "{name}");
    }
}
