//! Zone affinity and zone avoidance, after Ribbon's zone-aware rule, and spillover of surplus requests to
//! other zones.
//!
//! A request stays in the balancer's own zone while that is healthy. Otherwise the worst zones are avoided,
//! and one of the rest is drawn at random. docs/design.md names the source and when each exception applies.

use super::endpoint_pool::EndpointPool;
use super::endpoint_selection::Selector;
use super::event::Time;

/// Multiple of its baseline requests in flight above which a zone is overloaded.
const OVERLOAD_MULTIPLE: f64 = 2.0;
/// Standard deviations of a Poisson count of the baseline requests in flight, added to [`OVERLOAD_MULTIPLE`] of them.
const OVERLOAD_DEVIATIONS: f64 = 3.0;
/// Lower bound of the overload limit of a zone, in requests, as a small balancer reaches the multiple by chance alone.
const MIN_OVERLOAD_IN_FLIGHT: f64 = 4.0;
/// Blackout threshold: with this fraction of the endpoints tripped, or of the requests failing, the rest
/// would carry the whole zone.
const BLACKOUT_RATIO: f64 = 0.5;
/// Failure ratio, on top of that elsewhere and of the price of a crossing, above which the own zone is
/// avoided: a small balancer sends each endpoint too few requests to trip it, and a crossing should gain more
/// than it costs.
const TOLERATED_EXCESS_FAILURE_RATIO: f64 = 0.08;
/// Fraction of the requests that spill over, per unit by which the own zone's latency ratio (latency divided by
/// objective) exceeds another zone's.
const SPILL_FRACTION_PER_LATENCY_RATIO: f64 = 3.0;
/// Part of its price that a crossing must gain: less than 1, as it also makes room for the requests
/// that stay.
const SPILL_PRICE_FACTOR: f64 = 0.5;
/// Latency ratio that a crossing must gain on top, as the few requests of a small balancer vary by chance.
const MIN_SPILL_GAIN: f64 = 0.05;
/// Healthy endpoints needed to use the own zone: with more than one, small zones would always be avoided.
const MIN_HEALTHY_ENDPOINTS: usize = 1;

/// Chooses the zone to which requests go.
#[derive(Debug, Default)]
pub(crate) struct ZoneRouting {
    /// Whether the last request avoided the own zone.
    own_zone_avoided: bool,
}

/// The pool to pick from first.
#[derive(Debug)]
pub(crate) struct ZoneChoice {
    /// Position of the pool.
    pub pool: usize,
    /// A log line, if the own zone has just been avoided or is used again.
    pub log: Option<String>,
}

impl ZoneRouting {
    /// Chooses the pool for a request: that of a zone, or the pool of all endpoints.
    pub fn choose(&mut self, selector: &mut Selector<'_>) -> ZoneChoice {
        let own_zone = usize::from(selector.settings.zone.0);
        let avoid_own_zone = !is_own_zone_usable(selector, own_zone);
        let log = self.update_avoidance(avoid_own_zone, selector, own_zone);
        let pool = if avoid_own_zone {
            zone_after_avoidance(selector, own_zone).unwrap_or(selector.endpoints.all_endpoints_pool())
        } else {
            spill_zone(selector, own_zone).unwrap_or(own_zone)
        };
        ZoneChoice { pool, log }
    }

    /// Whether requests avoid the own zone.
    pub fn avoids_own_zone(&self) -> bool {
        self.own_zone_avoided
    }

    /// Updates whether the own zone is avoided, and returns a log line if that has changed.
    fn update_avoidance(
        &mut self,
        avoid_own_zone: bool,
        selector: &Selector<'_>,
        own_zone: usize,
    ) -> Option<String> {
        if avoid_own_zone == self.own_zone_avoided {
            return None;
        }
        self.own_zone_avoided = avoid_own_zone;
        let zone = &selector.endpoints.pools[own_zone];
        let change = if avoid_own_zone { "avoided" } else { "used again" };
        Some(format!(
            "own zone {own_zone} {change}: {} of {} endpoints healthy, {} requests in flight, {:.0}% failing",
            zone.healthy_count(),
            zone.members.len(),
            zone.in_flight,
            100.0 * zone.failure_ratio(selector.now),
        ))
    }
}

/// Whether the own zone passes the three tests of zone affinity and, for small balancers, a fourth: its
/// failure ratio.
fn is_own_zone_usable(selector: &Selector<'_>, own_zone: usize) -> bool {
    let zone = &selector.endpoints.pools[own_zone];
    let is_blackout = zone.tripped_count as f64 >= BLACKOUT_RATIO * zone.members.len() as f64;
    let has_healthy = zone.healthy_count() >= MIN_HEALTHY_ENDPOINTS;
    has_healthy
        && !is_blackout
        && !fails_too_often(selector, own_zone)
        && !is_overloaded(selector, zone, zone.capacity)
}

/// Whether requests fail so much more often in the own zone that a crossing is worth its price. Where they
/// fail as often elsewhere, a crossing gains nothing.
fn fails_too_often(selector: &Selector<'_>, own_zone: usize) -> bool {
    let zone_count = selector.endpoints.all_endpoints_pool();
    let others = selector.endpoints.pools[..zone_count].iter().enumerate();
    let others =
        others.filter(|(zone, pool)| *zone != own_zone && pool.healthy_count() >= MIN_HEALTHY_ENDPOINTS);
    let min_elsewhere = others.map(|(_, pool)| pool.failure_ratio(selector.now)).reduce(f64::min);
    let tolerated =
        TOLERATED_EXCESS_FAILURE_RATIO + selector.settings.cross_zone_price + min_elsewhere.unwrap_or(0.0);
    selector.endpoints.pools[own_zone].failure_ratio(selector.now) > tolerated
}

/// Whether a zone has far more requests in flight than it would have at baseline latency. The limit is
/// relative, as a balancer with few requests would never reach a fixed threshold.
fn is_overloaded(selector: &Selector<'_>, zone: &EndpointPool, normal_capacity: f64) -> bool {
    if !selector.traffic.overall.is_trusted() {
        return false; // after a cold start there is no baseline yet, and every zone would be avoided at once
    }
    let baseline_in_flight = selector.traffic.baseline_in_flight(selector.now);
    let baseline = baseline_in_flight * zone.capacity / normal_capacity.max(f64::MIN_POSITIVE);
    let limit = OVERLOAD_MULTIPLE * baseline + OVERLOAD_DEVIATIONS * baseline.sqrt();
    f64::from(zone.in_flight) > limit.max(MIN_OVERLOAD_IN_FLIGHT)
}

/// Whether requests in a zone mostly succeed.
fn is_serving(pool: &EndpointPool, now: Time) -> bool {
    pool.healthy_count() >= MIN_HEALTHY_ENDPOINTS && pool.failure_ratio(now) < BLACKOUT_RATIO
}

/// Chooses another zone for a request that exceeds the capacity of a healthy own zone. With more traffic than
/// its endpoints can carry, requests get late at all of them, and a balancer with few requests has too few in
/// flight to detect an overload. Only the surplus crosses: a fraction of the requests in proportion to the
/// excess latency ratio of the own zone.
fn spill_zone(selector: &mut Selector<'_>, own_zone: usize) -> Option<usize> {
    if !selector.endpoints.pools[own_zone].latency_ratio.is_trusted() {
        return None;
    }
    let now = selector.now;
    let other_zone = random_zone(selector, |zone, pool| zone != own_zone && is_serving(pool, now))?;
    let pools = &selector.endpoints.pools;
    let baseline = pools[own_zone].latency_ratio.baseline;
    let min_gain = SPILL_PRICE_FACTOR * selector.settings.cross_zone_price + MIN_SPILL_GAIN;
    let gain = pools[own_zone].expected_latency_ratio(baseline, now)
        - pools[other_zone].expected_latency_ratio(baseline, now)
        - min_gain;
    let should_spill = selector.rng.f64() < SPILL_FRACTION_PER_LATENCY_RATIO * gain;
    should_spill.then_some(other_zone)
}

/// Drops the fully tripped zones, those where half of the requests fail (a small balancer detects each of
/// their endpoints separately), and the most overloaded one. If any was dropped, returns a random one of the
/// rest, larger ones more often.
fn zone_after_avoidance(selector: &mut Selector<'_>, own_zone: usize) -> Option<usize> {
    let now = selector.now;
    let worst_zone = worst_overloaded_zone(selector, own_zone);
    let is_kept = |zone: usize, pool: &EndpointPool| is_serving(pool, now) && Some(zone) != worst_zone;
    let (_, zones) = selector.endpoints.pools.split_last()?;
    if zones.iter().enumerate().all(|(zone, pool)| is_kept(zone, pool) || pool.members.is_empty()) {
        return None;
    }
    random_zone(selector, is_kept)
}

/// The zone with the highest load among the overloaded ones. The baseline requests in flight refer to the
/// capacity of the own zone, or of all zones if the own zone has none.
fn worst_overloaded_zone(selector: &Selector<'_>, own_zone: usize) -> Option<usize> {
    let (all, zones) = selector.endpoints.pools.split_last()?;
    let normal_capacity = zones.get(own_zone).filter(|zone| zone.capacity > 0.0).unwrap_or(all).capacity;
    let is_overloaded_candidate = |zone: &usize| {
        let pool = &zones[*zone];
        pool.healthy_count() > 0 && is_overloaded(selector, pool, normal_capacity)
    };
    let by_load = |a: &usize, b: &usize| zones[*a].load().total_cmp(&zones[*b].load());
    (0..zones.len()).filter(is_overloaded_candidate).max_by(by_load)
}

/// A random zone among the usable ones, larger ones more often.
fn random_zone(
    selector: &mut Selector<'_>,
    is_usable: impl Fn(usize, &EndpointPool) -> bool,
) -> Option<usize> {
    let endpoints = &*selector.endpoints;
    let (all, zones) = endpoints.pools.split_last()?;
    let count = all.members.len();
    let start = selector.rng.usize(..count.max(1));
    let mut drawn_zones =
        (start..start + count).map(|position| endpoints[all.members[position % count]].zone);
    drawn_zones.find(|&zone| zones.get(zone).is_some_and(|pool| is_usable(zone, pool)))
}
