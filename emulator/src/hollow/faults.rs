//! The fault plan: lost zones, partitions, and stops and starts of upstreams and balancers.

use super::{
    Attempt, AttemptStage, Event, Fleet, IdleConnections, OVERLOAD_WINDOW_BUCKETS, ProcessState,
    RequestSource, ValidWhile, new_balancer,
};
use crate::engine::{Time, seconds};
use crate::faults::FaultStep;
use crate::topology::Topology;
use balancer::decision::{AttemptOutcome, EndpointState};
use rand::Rng;
use std::ops::Range;

impl Fleet<'_> {
    pub(super) fn on_fault(&mut self, step: FaultStep) {
        match step {
            FaultStep::TierFailing(failing) => self.tier_failing = failing,
            FaultStep::ZoneLost(zone, lost) => self.set_zone_lost(zone, lost),
            FaultStep::RegionsPartitioned(partitioned) => self.set_regions_partitioned(partitioned),
            FaultStep::DiscoveryDown(down) => self.discovery.set_down(down, &mut self.queue),
            FaultStep::Restart(position) => {
                let upstream = self.restart_order[position as usize];
                if self.upstream_states[upstream].process_state == ProcessState::Up {
                    self.counts.restarts += 1;
                    self.update_endpoint(upstream, EndpointState::Draining, self.queue.now());
                    let at = self.queue.now() + seconds(self.config.rolling_restart.drain_s);
                    self.queue.push(at, Event::UpstreamStop(upstream as u32));
                }
            }
        }
    }

    /// Makes all machines of a zone vanish, with their upstreams and front balancers, or starts new processes on them.
    fn set_zone_lost(&mut self, zone: usize, lost: bool) {
        let now = self.queue.now();
        for upstream in (0..self.upstream_states.len())
            .filter(|&upstream| self.topology.upstreams[upstream].zone == zone)
            .collect::<Vec<_>>()
        {
            if lost {
                self.stop_upstream(upstream, ProcessState::Silent);
                let incarnation = self.upstream_states[upstream].incarnation;
                self.schedule_endpoint_update(
                    upstream,
                    EndpointState::Removed,
                    true,
                    ValidWhile::Incarnation(incarnation),
                );
            } else {
                self.on_upstream_start(upstream);
            }
        }
        for front in (0..self.front_up.len())
            .filter(|&front| self.topology.fronts[front].zone == zone)
            .collect::<Vec<_>>()
        {
            let instances = self.topology.fronts[front].instances.clone();
            if lost {
                self.front_up[front] = false;
                self.stop_instances(instances, true);
                let at = now + seconds(self.config.front_notice_s);
                self.queue.push(at, Event::FrontRemoved(front as u32));
            } else {
                let ready_at = self.first_lists_at(instances);
                self.queue.push(ready_at, Event::FrontReady(front as u32));
            }
        }
    }

    /// Starts or ends a partition between the regions. Discovery is in the first region, so it removes the endpoints
    /// of the others, and lists them again after the partition.
    fn set_regions_partitioned(&mut self, partitioned: bool) {
        self.regions_partitioned = partitioned;
        self.partition_count += u32::from(partitioned);
        for instance in 0..self.instance_states.len() {
            if Topology::regions_differ(self.config, 0, self.topology.instances[instance].zone) {
                self.discovery.set_partitioned(instance, partitioned, &mut self.queue);
            }
        }
        for upstream in 0..self.upstream_states.len() {
            if Topology::regions_differ(self.config, 0, self.topology.upstreams[upstream].zone) {
                let list = self.discovery.list(self.topology.upstreams[upstream].service);
                let removed = list[self.topology.index_in_service(upstream)].state == EndpointState::Removed;
                if partitioned {
                    self.schedule_endpoint_update(
                        upstream,
                        EndpointState::Removed,
                        true,
                        ValidWhile::Partition(self.partition_count),
                    );
                } else if removed && self.upstream_states[upstream].process_state == ProcessState::Up {
                    let incarnation = self.upstream_states[upstream].incarnation;
                    self.schedule_endpoint_update(
                        upstream,
                        EndpointState::InService,
                        false,
                        ValidWhile::Incarnation(incarnation),
                    );
                }
            }
        }
    }

    /// Ends the process of an upstream and its balancer. If the machine is still up, connections are reset; if it
    /// vanished, balancers only notice when they use a connection.
    pub(super) fn stop_upstream(&mut self, upstream: usize, process_state: ProcessState) {
        if process_state == ProcessState::Down {
            let index = self.topology.index_in_service(upstream);
            self.topology
                .service_of(upstream)
                .client_instances
                .iter()
                .for_each(|&instance| self.instance_states[instance].idle_connections[index].count = 0);
        }
        let state = &mut self.upstream_states[upstream];
        state.process_state = process_state;
        state.incarnation += 1;
        state.processing = 0;
        state.queue.clear();
        let at_upstream = |attempt: &Attempt| {
            let in_upstream = matches!(
                attempt.stage,
                AttemptStage::Queued | AttemptStage::Processing | AttemptStage::WaitingForCallee(_)
            );
            attempt.upstream == upstream && in_upstream
        };
        for key in self.attempts.keys(at_upstream) {
            if process_state == ProcessState::Silent {
                if let Some(attempt) = self.attempts.get_mut(key) {
                    (attempt.stage, attempt.opens_connection) = (AttemptStage::Lost, false);
                }
                if self.attempts.get(key).is_some_and(|attempt| !attempt.awaited) {
                    self.attempts.remove(key);
                }
            } else {
                self.finish_attempt(key, AttemptOutcome::Reset);
            }
        }
        self.stop_instances(
            self.topology.upstreams[upstream].instances.clone(),
            process_state == ProcessState::Silent,
        );
    }

    /// Ends module instances: their attempts are abandoned, and pending client requests are lost.
    fn stop_instances(&mut self, instances: Range<usize>, silent: bool) {
        for key in self.requests.keys(|request| instances.contains(&request.instance)) {
            let Some(request) = self.requests.get(key) else { continue };
            let (active_attempt, source, arrived_at, measured, awaiting_response) = (
                request.active_attempt,
                request.source,
                request.arrived_at,
                request.measured,
                request.awaiting_response,
            );
            if awaiting_response && source == RequestSource::Client {
                self.measured_in_flight -= u64::from(measured);
                self.count_request(arrived_at, measured, |count| &mut count.lost);
            }
            if let Some(active_attempt) = active_attempt {
                self.abandon_attempt(active_attempt, silent);
            }
            self.requests.remove(key);
        }
        for instance in instances {
            let instance_state = &mut self.instance_states[instance];
            instance_state.alive = false;
            instance_state.requests.clear();
            instance_state.idle_connections.fill(IdleConnections::default());
            self.discovery.instance_stopped(instance);
        }
    }

    /// Starts a new process of an upstream. The upstream is cold, and accepts requests once its balancer has its lists.
    pub(super) fn on_upstream_start(&mut self, upstream: usize) {
        let now = self.queue.now();
        self.upstream_states[upstream].started = Some(now);
        let instances = self.topology.upstreams[upstream].instances.clone();
        let ready_at = self.first_lists_at(instances);
        self.counts.max_start_time = self.counts.max_start_time.max(ready_at - now);
        self.queue.push(ready_at, Event::UpstreamReady(upstream as u32));
    }

    /// Returns when module instances that start now have their first lists.
    fn first_lists_at(&mut self, instances: Range<usize>) -> Time {
        let now = self.queue.now();
        instances.map(|instance| self.discovery.first_list_at(instance, now)).max().unwrap_or(now)
    }

    /// Puts a started upstream in service, and schedules its listing.
    pub(super) fn on_upstream_ready(&mut self, upstream: usize) {
        let state = &mut self.upstream_states[upstream];
        if state.process_state == ProcessState::Up {
            return; // started twice: by a restart and by the return of its zone
        }
        state.process_state = ProcessState::Up;
        (state.recent_attempts, state.last_bucket) = ([0; OVERLOAD_WINDOW_BUCKETS], 0);
        let incarnation = state.incarnation;
        self.restart_instances(self.topology.upstreams[upstream].instances.clone());
        self.schedule_endpoint_update(
            upstream,
            EndpointState::InService,
            false,
            ValidWhile::Incarnation(incarnation),
        );
    }

    /// Replaces module instances by new ones and gives them their endpoint lists.
    pub(super) fn restart_instances(&mut self, instances: Range<usize>) {
        let now = self.queue.now();
        for instance in instances {
            let topology_instance = &self.topology.instances[instance];
            let seed = self.rng.random();
            let balancer =
                new_balancer(self.config, &self.classes, &self.topology, topology_instance, seed, now);
            let instance_state = &mut self.instance_states[instance];
            (instance_state.balancer, instance_state.alive) = (balancer, true);
            self.send_endpoint_list(instance);
        }
    }
}
