//! The endpoint table: the known endpoints, which of them are in service, and the pools they form.

use super::action::Action;
use super::endpoint::Endpoint;
use super::endpoint_pool::{EndpointPool, pools_of};
use super::event::{EndpointEntry, EndpointId, EndpointState, Time};
use super::settings::Settings;
use std::collections::{HashMap, HashSet};

/// Capacity assumed for an endpoint whose listed capacity is not a positive number.
const DEFAULT_CAPACITY: f64 = 1.0;

/// All endpoints, by position. The position of a forgotten endpoint is reused.
#[derive(Debug)]
pub(crate) struct EndpointTable {
    endpoints: Vec<Endpoint>,
    positions: HashMap<EndpointId, usize>,
    /// Unused positions.
    free_positions: Vec<usize>,
    /// Endpoints that operators have taken offline, whether listed or not.
    offline: HashSet<EndpointId>,
    /// One pool for each zone, and last the pool of all endpoints.
    pub pools: Vec<EndpointPool>,
    /// Largest capacity of the endpoints in service.
    pub largest_capacity: f64,
    /// Number of request classes.
    class_count: usize,
}

impl std::ops::Index<usize> for EndpointTable {
    type Output = Endpoint;

    fn index(&self, position: usize) -> &Endpoint {
        &self.endpoints[position]
    }
}

impl std::ops::IndexMut<usize> for EndpointTable {
    fn index_mut(&mut self, position: usize) -> &mut Endpoint {
        &mut self.endpoints[position]
    }
}

impl EndpointTable {
    /// Creates a table without endpoints.
    pub fn new(settings: &Settings) -> Self {
        Self {
            endpoints: Vec::new(),
            positions: HashMap::new(),
            free_positions: Vec::new(),
            offline: HashSet::new(),
            pools: (0..=settings.zones).map(|_| EndpointPool::default()).collect(),
            largest_capacity: DEFAULT_CAPACITY,
            class_count: settings.classes.len(),
        }
    }

    /// Position of the pool of all endpoints, which follows the pools of the zones.
    pub fn all_endpoints_pool(&self) -> usize {
        self.pools.len() - 1
    }

    /// Position of an endpoint in the table.
    pub fn position(&self, id: EndpointId) -> Option<usize> {
        self.positions.get(&id).copied()
    }

    /// The pool of an endpoint's zone.
    pub fn zone_pool(&mut self, position: usize) -> &mut EndpointPool {
        &mut self.pools[self.endpoints[position].zone]
    }

    /// Number of listed endpoints that are offline, draining, or have a tripped breaker.
    pub fn unavailable_count(&self) -> usize {
        let listed = self.positions.values().map(|&position| &self.endpoints[position]);
        let listed = listed.filter(|endpoint| !endpoint.removed);
        listed.filter(|endpoint| !endpoint.in_service || endpoint.breaker.tripped).count()
    }

    // ---- Endpoint list ----

    /// Marks all endpoints as removed, until a complete list names them again.
    pub fn mark_all_removed(&mut self) {
        for &position in self.positions.values() {
            self.endpoints[position].removed = true;
        }
        for endpoint in &mut self.endpoints {
            endpoint.listed_in_service = false;
            endpoint.in_service = false;
        }
    }

    /// Applies an entry of the endpoint list. The pools must be rebuilt afterwards. `min_cost` is the cost of
    /// a request of the lightest class.
    pub fn apply(&mut self, entry: &EndpointEntry, now: Time, min_cost: f64, rng: &mut fastrand::Rng) {
        let removed = entry.state == EndpointState::Removed;
        let position = match self.position(entry.endpoint) {
            Some(position) => position,
            None if removed => return,
            None => self.add(entry.endpoint, rng),
        };
        let zone_count = self.all_endpoints_pool();
        let offline = self.offline.contains(&entry.endpoint);
        let endpoint = &mut self.endpoints[position];
        endpoint.removed = removed;
        endpoint.zone = usize::from(entry.zone.0).min(zone_count);
        endpoint.cell = entry.cell;
        endpoint.listed_in_service = entry.state == EndpointState::InService;
        endpoint.in_service = endpoint.listed_in_service && !offline;
        endpoint.capacity = valid_capacity(entry.capacity);
        if entry.started.is_some() && entry.started != endpoint.warm_up.started {
            endpoint.on_restart(now, rng.f64(), min_cost);
        }
        endpoint.warm_up.started = entry.started;
    }

    fn add(&mut self, id: EndpointId, rng: &mut fastrand::Rng) -> usize {
        // Drawn at random, so that replicas that skip an endpoint don't all send to the same next one.
        let round_robin_order = rng.u64(..);
        let turn_credit = rng.f64();
        let endpoint = Endpoint::new(id, round_robin_order, turn_credit, self.class_count);
        let position = self.free_positions.pop().unwrap_or(self.endpoints.len());
        match self.endpoints.get_mut(position) {
            Some(slot) => *slot = endpoint,
            None => self.endpoints.push(endpoint),
        }
        self.positions.insert(id, position);
        position
    }

    /// Whether the table still has endpoints marked as removed.
    pub fn has_removed(&self) -> bool {
        self.endpoints.iter().any(|endpoint| endpoint.removed)
    }

    /// Forgets the removed endpoints to which nothing refers. This bounds the memory, and the time to apply
    /// each list, where endpoints are replaced continually.
    pub fn forget_removed(&mut self, referenced: &HashSet<usize>) {
        for (position, endpoint) in self.endpoints.iter_mut().enumerate() {
            if endpoint.removed && !referenced.contains(&position) {
                self.positions.remove(&endpoint.id);
                *endpoint = Endpoint::default();
                self.free_positions.push(position);
            }
        }
    }

    /// Rebuilds the pools from the endpoints in service.
    pub fn rebuild_pools(&mut self) {
        let positions = 0..self.endpoints.len();
        let mut members: Vec<usize> =
            positions.filter(|&position| self.endpoints[position].in_service).collect();
        members.sort_by_key(|&position| self.endpoints[position].round_robin_order);
        self.pools.iter_mut().for_each(EndpointPool::clear);
        self.largest_capacity = f64::MIN_POSITIVE;
        for position in members {
            let endpoint = &self.endpoints[position];
            self.largest_capacity = self.largest_capacity.max(endpoint.capacity);
            pools_of(&mut self.pools, endpoint.zone).for_each(|pool| pool.add(position, endpoint));
        }
    }

    /// For each endpoint of a pool, the time at which it is warm and its capacity.
    pub fn warm_up_ends(&self, pool: usize, settings: &Settings) -> Vec<(Time, f64)> {
        let members = self.pools[pool].members.iter().map(|&position| &self.endpoints[position]);
        members.map(|endpoint| (endpoint.warm_up.warm_at(settings), endpoint.capacity)).collect()
    }

    // ---- Operators ----

    /// Takes an endpoint offline: it leaves all pools, and gets no requests, retries or load queries,
    /// whatever is listed. Returns whether the pools must be rebuilt.
    pub fn take_offline(&mut self, id: EndpointId, actions: &mut Vec<Action>) -> bool {
        self.offline.insert(id);
        let Some(position) = self.position(id) else { return false };
        self.endpoints[position].in_service = false;
        self.endpoints[position].close_idle(actions);
        true
    }

    /// Brings an endpoint back online. It counts as just started, because it was restarted while offline and
    /// discovery may report that late. Returns whether the pools must be rebuilt.
    pub fn bring_online(
        &mut self,
        id: EndpointId,
        now: Time,
        min_cost: f64,
        rng: &mut fastrand::Rng,
    ) -> bool {
        let was_offline = self.offline.remove(&id);
        let Some(position) = self.position(id).filter(|_| was_offline) else { return false };
        let endpoint = &mut self.endpoints[position];
        endpoint.on_restart(now, rng.f64(), min_cost);
        endpoint.in_service = endpoint.listed_in_service;
        endpoint.warm_up.brought_online_at = Some(now);
        true
    }

    // ---- Pool counters ----

    /// Trips or closes the breaker of an endpoint, and counts the change in its pools.
    pub fn set_tripped(&mut self, position: usize, tripped: bool) {
        let endpoint = &mut self.endpoints[position];
        if endpoint.breaker.tripped == tripped {
            return;
        }
        endpoint.breaker.tripped = tripped;
        if !endpoint.in_service {
            return;
        }
        for pool in pools_of(&mut self.pools, endpoint.zone) {
            match tripped {
                true => pool.tripped_count += 1,
                false => pool.tripped_count -= 1,
            }
        }
    }

    /// Counts one more request in flight at an endpoint.
    pub fn add_in_flight(&mut self, position: usize) {
        self.change_in_flight(position, |count| *count += 1);
    }

    /// Counts one request fewer in flight at an endpoint.
    pub fn remove_in_flight(&mut self, position: usize) {
        self.change_in_flight(position, |count| *count = count.saturating_sub(1));
    }

    fn change_in_flight(&mut self, position: usize, change: impl Fn(&mut u32)) {
        let endpoint = &mut self.endpoints[position];
        change(&mut endpoint.in_flight);
        if endpoint.in_service {
            pools_of(&mut self.pools, endpoint.zone).for_each(|pool| change(&mut pool.in_flight));
        }
    }
}

fn valid_capacity(listed: f32) -> f64 {
    let capacity = f64::from(listed);
    if capacity.is_finite() && capacity > 0.0 { capacity } else { DEFAULT_CAPACITY }
}
