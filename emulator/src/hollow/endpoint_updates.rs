//! Changes of the endpoint lists and of the upstreams' capacity over time.

use super::{EndpointUpdate, Event, Fleet, ValidWhile};
use crate::engine::{Time, seconds};
use balancer::decision::{EndpointEntry, EndpointState};
use rand::Rng;
use rand_distr::{Distribution, Exp1};

impl Fleet<'_> {
    /// Schedules a change of an endpoint's state, which discovery lists after a delay.
    pub(super) fn schedule_endpoint_update(
        &mut self,
        upstream: usize,
        endpoint_state: EndpointState,
        silent: bool,
        valid_while: ValidWhile,
    ) {
        let changed_at = self.queue.now();
        let at = self.discovery.listing_time(changed_at, silent);
        self.queue.push(at, Event::EndpointUpdate(self.endpoint_updates.len() as u32));
        self.endpoint_updates.push(EndpointUpdate { upstream, endpoint_state, changed_at, valid_while });
    }

    pub(super) fn on_endpoint_update(&mut self, update: usize) {
        let EndpointUpdate { upstream, endpoint_state, changed_at, valid_while } =
            self.endpoint_updates[update];
        let still_valid = match valid_while {
            ValidWhile::Incarnation(incarnation) => self.upstream_states[upstream].incarnation == incarnation,
            ValidWhile::Partition(partition) => self.regions_partitioned && self.partition_count == partition,
        };
        if still_valid {
            self.update_endpoint(upstream, endpoint_state, changed_at);
        }
    }

    /// Lists the state of an endpoint, with the start time of its latest process.
    pub(super) fn update_endpoint(
        &mut self,
        upstream: usize,
        endpoint_state: EndpointState,
        changed_at: Time,
    ) {
        let (service, entry) =
            (self.topology.upstreams[upstream].service, self.topology.index_in_service(upstream));
        let started = self.upstream_states[upstream].started;
        let change = |entry: &mut EndpointEntry| (entry.state, entry.started) = (endpoint_state, started);
        self.discovery.change(service, entry, change, changed_at, &mut self.queue);
        self.counts.list_changes += 1;
    }

    /// Schedules the next change of a listed capacity.
    pub(super) fn schedule_capacity_change(&mut self) {
        let rate = self.config.discovery.changes_per_day / 86_400.0;
        if rate > 0.0 {
            let wait: f64 = Exp1.sample(&mut self.rng);
            self.queue.push(self.queue.now() + seconds(wait / rate), Event::CapacityChange);
        }
    }

    /// Toggles the listed capacity of a random endpoint between 1 and 0.9.
    pub(super) fn on_capacity_change(&mut self) {
        self.schedule_capacity_change();
        let upstream = self.rng.random_range(0..self.upstream_states.len());
        let (service, entry) =
            (self.topology.upstreams[upstream].service, self.topology.index_in_service(upstream));
        let change =
            |entry: &mut EndpointEntry| entry.capacity = if entry.capacity < 1.0 { 1.0 } else { 0.9 };
        self.discovery.change(service, entry, change, self.queue.now(), &mut self.queue);
        self.counts.list_changes += 1;
    }
}
