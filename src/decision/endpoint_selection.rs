//! Weighted round robin over a pool, skipping endpoints that are ejected, rejecting, at a limit, out of
//! slow-start budget, outside the deduplication group of a retried request, or the last one it was sent to.

use super::endpoints::EndpointTable;
use super::event::Time;
use super::load_query;
use super::rejections;
use super::request_table::PendingRequest;
use super::settings::{DeduplicationGroup, Idempotency, Settings};
use super::slow_start::{self, PoolCapacities, SlowStart};
use super::statistics::TrafficStatistics;

/// Unavailable candidates, counted again in each pass, that one selection skips before it stops searching, if
/// it has a last resort; as in Ribbon's availability-filtering rule.
const MAX_SKIPPED: u32 = 10;
/// Maximum number of passes over a pool in one selection. Several, because an endpoint of smaller capacity skips
/// some of its turns and may be available only in a later pass.
const MAX_PASSES: usize = 3;
/// An endpoint's in-flight limit is this multiple of its share of the baseline requests in flight.
const IN_FLIGHT_LIMIT_MULTIPLE: f64 = 1.2;

/// The state that endpoint selection reads and changes.
#[derive(Debug)]
pub(crate) struct Selector<'a> {
    pub settings: &'a Settings,
    pub now: Time,
    pub traffic: &'a TrafficStatistics,
    pub slow_start: &'a SlowStart,
    pub endpoints: &'a mut EndpointTable,
    pub rng: &'a mut fastrand::Rng,
}

impl Selector<'_> {
    /// Returns the position of the next endpoint of a pool for a request. In the pool of all endpoints, an
    /// ejected or rejecting endpoint is better than none.
    pub fn pick(&mut self, pool: usize, request: &PendingRequest) -> Option<usize> {
        let count = self.endpoints.pools[pool].members.len();
        let start = self.endpoints.pools[pool].cursor;
        let limit_per_capacity = self.in_flight_limit_per_capacity(pool);
        let mut skipped = 0;
        let mut at_limit_member = None;
        let mut last_resort_member = None;
        for member_index in (start + 1..).take(MAX_PASSES * count).map(|step| step % count) {
            let position = self.endpoints.pools[pool].members[member_index];
            if !self.is_candidate(pool, position, request) {
                continue;
            }
            if !self.may_be_backlogged(position, request.class) {
                last_resort_member = last_resort_member.or(Some(member_index));
            }
            if !self.take_turn(position) {
                continue;
            }
            let rejecting = self.is_rejecting(position, request.class);
            if !rejecting && self.is_available(position, request.class, limit_per_capacity) {
                return Some(self.advance_cursor(pool, member_index));
            }
            if !rejecting && !self.endpoints[position].breaker.tripped {
                at_limit_member = at_limit_member.or(Some(member_index));
            }
            skipped += 1;
            if skipped > MAX_SKIPPED && last_resort_member.is_some() {
                break;
            }
        }
        // The search is cut short only so that a selection returns quickly. Without an available endpoint, one at
        // its in-flight limit is better than a tripped or rejecting one. An endpoint of another zone is also better
        // than a tripped or rejecting one, so only the pool of all endpoints uses the last resort: the pool of a
        // zone returns `None`, and the caller can try another pool. An endpoint that may be backlogged is never
        // chosen.
        let allows_last_resort = pool == self.endpoints.all_endpoints_pool();
        let fallback =
            if allows_last_resort { at_limit_member.or(last_resort_member)? } else { at_limit_member? };
        Some(self.advance_cursor(pool, fallback))
    }

    /// Makes a member the last one picked, and returns its position in the endpoint table.
    fn advance_cursor(&mut self, pool: usize, member_index: usize) -> usize {
        let pool = &mut self.endpoints.pools[pool];
        pool.cursor = member_index;
        pool.members[member_index]
    }

    /// Whether the endpoint may be sent the request at all. Draining and removed endpoints are in no pool.
    fn is_candidate(&mut self, pool: usize, position: usize, request: &PendingRequest) -> bool {
        let was_tried_last = request.last_attempt.is_some_and(|last| last.endpoint == position);
        let has_others = self.endpoints.pools[pool].members.len() > 1;
        !(was_tried_last && has_others)
            && self.is_in_deduplication_group(position, request)
            && self.slow_start_allows(pool, position, request.class)
    }

    /// Whether the endpoint may get the request for its idempotency key: a keyed request that may have been
    /// executed is retried only within the group that deduplicates it by that key.
    fn is_in_deduplication_group(&self, position: usize, request: &PendingRequest) -> bool {
        let endpoint = &self.endpoints[position];
        let first_endpoint =
            request.first_possible_execution.map_or(endpoint, |attempt| &self.endpoints[attempt.endpoint]);
        match self.settings.classes[request.class].idempotency {
            Idempotency::Keyed(DeduplicationGroup::Zone, _) => first_endpoint.zone == endpoint.zone,
            Idempotency::Keyed(DeduplicationGroup::Cell, _) => first_endpoint.cell == endpoint.cell,
            _ => true,
        }
    }

    /// Whether the slow-start budget of a cold endpoint covers a request of a class.
    fn slow_start_allows(&mut self, pool: usize, position: usize, class: usize) -> bool {
        let capacity_fraction = self.endpoints[position].warm_up.capacity_fraction(self.now, self.settings);
        if capacity_fraction >= 1.0 {
            return true;
        }
        let refill_multiple =
            slow_start::refill_multiple(self.settings, load_query::is_enabled(self.settings));
        let is_own_zone = pool == usize::from(self.settings.zone.0);
        let capacities = PoolCapacities {
            tier_capacity: self.endpoints.pools[self.endpoints.all_endpoints_pool()].capacity,
            own_zone_capacity: is_own_zone.then_some(self.endpoints.pools[pool].capacity),
        };
        let refill_rate =
            self.slow_start.budget_refill_rate(self.now, capacities) * capacity_fraction * refill_multiple;
        let class_cost = self.slow_start.class_cost(class);
        let endpoint = &mut self.endpoints[position];
        endpoint.warm_up.allows(self.now, refill_rate * endpoint.capacity, class_cost)
    }

    /// Whether the endpoint may be backlogged, and gets no request before the next trial request of its
    /// half-open breaker.
    fn may_be_backlogged(&self, position: usize, class: usize) -> bool {
        self.endpoints[position].breaker.may_be_backlogged(self.now, self.settings.is_repeatable(class))
    }

    fn take_turn(&mut self, position: usize) -> bool {
        let largest_capacity = self.endpoints.largest_capacity;
        self.endpoints[position].take_turn(largest_capacity, self.now, self.settings)
    }

    fn is_rejecting(&self, position: usize, class: usize) -> bool {
        let endpoint = &self.endpoints[position];
        rejections::rejects(&endpoint.rejections, class, self.now)
            || endpoint.is_at_connection_limit(self.now)
    }

    /// In-flight limit of the endpoints of a pool, in requests per unit of capacity.
    fn in_flight_limit_per_capacity(&self, pool: usize) -> f64 {
        let capacity = self.endpoints.pools[pool].capacity.max(f64::MIN_POSITIVE);
        IN_FLIGHT_LIMIT_MULTIPLE * self.traffic.baseline_in_flight(self.now) / capacity
    }

    /// Whether an endpoint is below its in-flight limit and its breaker admits a request of a class.
    fn is_available(&self, position: usize, class: usize, limit_per_capacity: f64) -> bool {
        let endpoint = &self.endpoints[position];
        let limit = (limit_per_capacity * endpoint.capacity).ceil().max(1.0);
        let repeatable = self.settings.is_repeatable(class);
        f64::from(endpoint.in_flight) < limit && endpoint.breaker.admits(self.now, repeatable)
    }
}
