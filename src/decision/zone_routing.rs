//! Zone affinity and avoidance, after Ribbon's zone-aware rule; and the spill of surplus to other zones.
//!
//! A request stays in the balancer's own zone while that is healthy. A zone that is left is avoided: the worst zones are
//! dropped, and one of the rest is drawn at random. docs/design.md has the source, and when each exception acts.

use super::endpoint_pool::EndpointPool;
use super::endpoint_selection::Selector;
use super::event::Time;

/// A zone is overloaded at this multiple of its calm requests in flight ...
const OVERLOAD_MULTIPLE: f64 = 2.0;
/// ... and so many deviations of a chance count of them ...
const OVERLOAD_DEVIATIONS: f64 = 3.0;
/// ... but never at fewer than these: a small balancer holds a multiple by chance alone.
const MIN_OVERLOAD_IN_FLIGHT: f64 = 4.0;
/// Blackout threshold: with half its endpoints tripped, or requests failing, the rest would carry the whole zone.
const BLACKOUT_RATIO: f64 = 0.5;
/// Failing part of its requests at which a zone is left, and the price of a crossing on top: a small balancer sees each
/// endpoint too seldom to trip it, and what crosses should gain more than it costs.
const TOLERATED_EXCESS_FAILURE_RATIO: f64 = 0.08;
/// Surplus spill: part of the requests that cross for each unit by which their own zone is later (as part of the
/// objective) than another one.
const SPILL_RATIO_PER_LATENESS: f64 = 3.0;
/// What a crossing must gain: part of its price, as it also makes room for those that stay ...
const SPILL_PRICE_FACTOR: f64 = 0.5;
/// ... and more than chance makes of a small balancer's few requests.
const MIN_SPILL_GAIN: f64 = 0.05;
/// Endpoints that must be healthy for the own zone to be used. One will do: small zones would always be left.
const MIN_HEALTHY_ENDPOINTS: usize = 1;

/// Which zone requests go to.
#[derive(Debug, Default)]
pub(crate) struct ZoneRouting {
    /// Whether the own zone was left when last looked at.
    own_zone_avoided: bool,
}

/// Where a request is to go first.
#[derive(Debug)]
pub(crate) struct ZoneChoice {
    /// Position of the pool.
    pub pool: usize,
    /// A line for the operators, if the own zone has just been left or is used again.
    pub log: Option<String>,
}

impl ZoneRouting {
    /// Chooses the pool for a request: that of a zone, or the one of all endpoints.
    pub fn choose(&mut self, selector: &mut Selector<'_>) -> ZoneChoice {
        let own = usize::from(selector.settings.zone.0);
        let avoid_own_zone = !is_own_zone_usable(selector, own);
        let log = self.update_avoidance(avoid_own_zone, selector, own);
        let pool = if avoid_own_zone {
            zone_after_avoidance(selector, own).unwrap_or(selector.endpoints.all_zones())
        } else {
            spill_zone(selector, own).unwrap_or(own)
        };
        ZoneChoice { pool, log }
    }

    /// Whether requests go past the own zone.
    pub fn avoids_own_zone(&self) -> bool {
        self.own_zone_avoided
    }

    fn update_avoidance(
        &mut self,
        avoid_own_zone: bool,
        selector: &Selector<'_>,
        own: usize,
    ) -> Option<String> {
        if avoid_own_zone == self.own_zone_avoided {
            return None;
        }
        self.own_zone_avoided = avoid_own_zone;
        let zone = &selector.endpoints.pools[own];
        let change = if avoid_own_zone { "left" } else { "used again" };
        Some(format!(
            "zone {change}: {} of {} endpoints healthy, {} requests in flight, {:.0}% failing",
            zone.healthy_count(),
            zone.members.len(),
            zone.in_flight,
            100.0 * zone.failure_ratio(selector.now),
        ))
    }
}

/// The three tests of zone affinity, and for small balancers a fourth.
fn is_own_zone_usable(selector: &Selector<'_>, own: usize) -> bool {
    let zone = &selector.endpoints.pools[own];
    let is_blackout = zone.tripped as f64 >= BLACKOUT_RATIO * zone.members.len() as f64;
    let has_healthy = zone.healthy_count() >= MIN_HEALTHY_ENDPOINTS;
    has_healthy
        && !is_blackout
        && !fails_too_often(selector, own)
        && !is_overloaded(selector, zone, zone.capacity)
}

/// Whether requests fail so much more often in the own zone that a crossing is worth its price. Where they fail as often
/// elsewhere, a crossing gains nothing.
fn fails_too_often(selector: &Selector<'_>, own: usize) -> bool {
    let zones = selector.endpoints.all_zones();
    let others = selector.endpoints.pools[..zones].iter().enumerate();
    let others = others.filter(|(zone, pool)| *zone != own && pool.healthy_count() >= MIN_HEALTHY_ENDPOINTS);
    let min_elsewhere = others.map(|(_, pool)| pool.failure_ratio(selector.now)).reduce(f64::min);
    let tolerated =
        TOLERATED_EXCESS_FAILURE_RATIO + selector.settings.cross_zone_price + min_elsewhere.unwrap_or(0.0);
    selector.endpoints.pools[own].failure_ratio(selector.now) > tolerated
}

/// Whether a zone has far more requests in flight than if it answered as fast as in calm times. A balancer with few
/// requests would never reach a fixed threshold.
fn is_overloaded(selector: &Selector<'_>, zone: &EndpointPool, normal_capacity: f64) -> bool {
    if !selector.traffic.overall.is_trusted() {
        return false; // at a cold start nothing is calm yet, and every zone would be left at once
    }
    let baseline_in_flight = selector.traffic.baseline_in_flight(selector.now);
    let baseline = baseline_in_flight * zone.capacity / normal_capacity.max(f64::MIN_POSITIVE);
    let limit = OVERLOAD_MULTIPLE * baseline + OVERLOAD_DEVIATIONS * baseline.sqrt();
    f64::from(zone.in_flight) > limit.max(MIN_OVERLOAD_IN_FLIGHT)
}

/// Whether requests in a zone are mostly answered.
fn is_serving(pool: &EndpointPool, now: Time) -> bool {
    pool.healthy_count() >= MIN_HEALTHY_ENDPOINTS && pool.failure_ratio(now) < BLACKOUT_RATIO
}

/// Another zone for a request that the own zone, though healthy, has no room for: where it has more traffic than its
/// endpoints can carry, requests get late at all of them, and a balancer with few requests has too few in flight to see
/// it. Only the surplus crosses: as large a part of the requests as the own zone is later.
fn spill_zone(selector: &mut Selector<'_>, own: usize) -> Option<usize> {
    if !selector.endpoints.pools[own].lateness.is_trusted() {
        return None;
    }
    let now = selector.now;
    let other = random_zone(selector, |zone, pool| zone != own && is_serving(pool, now))?;
    let pools = &selector.endpoints.pools;
    let baseline = pools[own].lateness.baseline;
    let min_gain = SPILL_PRICE_FACTOR * selector.settings.cross_zone_price + MIN_SPILL_GAIN;
    let gain = pools[own].expected_lateness(baseline, now)
        - pools[other].expected_lateness(baseline, now)
        - min_gain;
    let should_spill = selector.rng.f64() < SPILL_RATIO_PER_LATENESS * gain;
    should_spill.then_some(other)
}

/// Drops the fully tripped zones, those where half of the requests fail (a small balancer finds each endpoint by
/// itself), and the worst overloaded one. If any was dropped: one of the rest, larger ones more often.
fn zone_after_avoidance(selector: &mut Selector<'_>, own: usize) -> Option<usize> {
    let now = selector.now;
    let worst_zone = worst_overloaded_zone(selector, own);
    let is_kept = |zone: usize, pool: &EndpointPool| is_serving(pool, now) && Some(zone) != worst_zone;
    let (_, zones) = selector.endpoints.pools.split_last()?;
    if zones.iter().enumerate().all(|(zone, pool)| is_kept(zone, pool) || pool.members.is_empty()) {
        return None;
    }
    random_zone(selector, is_kept)
}

fn worst_overloaded_zone(selector: &Selector<'_>, own: usize) -> Option<usize> {
    let (all, zones) = selector.endpoints.pools.split_last()?;
    let normal_capacity = zones.get(own).filter(|zone| zone.capacity > 0.0).unwrap_or(all).capacity;
    let is_overloaded_candidate = |zone: &usize| {
        let pool = &zones[*zone];
        pool.healthy_count() > 0 && is_overloaded(selector, pool, normal_capacity)
    };
    let by_load = |a: &usize, b: &usize| zones[*a].load().total_cmp(&zones[*b].load());
    (0..zones.len()).filter(is_overloaded_candidate).max_by(by_load)
}

/// A random one of the zones that will do, larger ones more often.
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
