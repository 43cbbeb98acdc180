//! Updates of the endpoint list, and the removal of endpoints that are no longer listed.

use super::{AttemptInFlight, Dispatcher, MAX_REMOVED_UIDS, Upstream};
use crate::config::endpoint_listing::{ListedEndpoint, ListedState, Listing};
use crate::proxy::clock::ClockReading;
use crate::proxy::start_times::ListOrigin;
use balancer::decision::{EndpointEntry, EndpointId, EndpointState, Event, ZoneId};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;

impl Dispatcher {
    /// Applies a list from the configuration or from discovery: a complete one or the changed endpoints.
    pub(super) fn on_endpoint_list(&mut self, listing: Listing, origin: ListOrigin) {
        let reading = self.clock.read();
        self.start_times.record_clock_reading(reading);
        let entry = |target| self.endpoint_entry(target, origin, reading);
        let entries: Vec<EndpointEntry> = listing.targets.iter().map(entry).collect();
        if listing.all {
            self.handle_event(Event::EndpointList(&entries));
        } else if !entries.is_empty() {
            self.handle_event(Event::EndpointsChanged(&entries));
        }
        self.remove_delisted_endpoints(&listing);
        self.withdrawn = self.withdrawn_for_others().map(Arc::new);
        if entries.iter().any(|entry| entry.state == EndpointState::InService) {
            self.ready_sender.send_if_modified(|ready| !std::mem::replace(ready, true));
        }
        self.update_host_counts();
    }

    /// Removes the endpoints that a list reports as terminated or that a complete list omits, and closes their idle
    /// connections. This bounds the memory use if discovery keeps listing new endpoints.
    pub(super) fn remove_delisted_endpoints(&mut self, listing: &Listing) {
        let uids = |terminated: bool| {
            let targets = listing
                .targets
                .iter()
                .filter(move |target| (target.state == ListedState::Terminated) == terminated);
            targets.map(|target| target.uid.as_str()).collect::<HashSet<_>>()
        };
        let (remaining, terminated) = (uids(false), uids(true));
        let (endpoints, idle_pool, removed_uids) =
            (&mut self.endpoints, &mut self.idle_pool, &mut self.removed_uids);
        let offline = &self.offline;
        let mut removed = Vec::new();
        self.endpoint_ids.retain(|uid, endpoint| {
            let is_kept =
                !terminated.contains(uid.as_str()) && (!listing.all || remaining.contains(uid.as_str()));
            if !is_kept && endpoints.remove(endpoint).is_some() {
                idle_pool.close(*endpoint);
                removed_uids.push_back(uid.clone());
                removed.push(*endpoint);
            }
            is_kept || offline.contains(uid) // an endpoint taken offline stays offline when it is listed again
        });
        for endpoint in removed {
            self.response_pauses.remove(&endpoint);
            self.cancel_unwritten_attempts(endpoint);
        }
        let removed_uids = &mut self.removed_uids;
        removed_uids.drain(..removed_uids.len().saturating_sub(MAX_REMOVED_UIDS));
        self.prune_start_times();
    }

    /// Removes the start times of endpoints whose uids are no longer kept.
    pub(super) fn prune_start_times(&mut self) {
        if self.start_times.len() <= self.endpoint_ids.len() + MAX_REMOVED_UIDS {
            return;
        }
        let removed_uids: HashSet<&str> = self.removed_uids.iter().map(String::as_str).collect();
        let endpoint_ids = &self.endpoint_ids;
        self.start_times.retain(|uid| endpoint_ids.contains_key(uid) || removed_uids.contains(uid));
    }

    /// Cancels the attempts to an endpoint of which no byte has been written, such as those that wait for a connection:
    /// otherwise they would be written once the connection is established. Their tasks report them as not sent.
    pub(super) fn cancel_unwritten_attempts(&mut self, endpoint: EndpointId) {
        let attempts =
            self.requests.values_mut().flat_map(|pending_request| &mut pending_request.attempts_in_flight);
        attempts
            .filter(|attempt| attempt.endpoint == endpoint)
            .for_each(AttemptInFlight::cancel_if_unwritten);
    }

    /// The id of an endpoint; assigns a new one to an unknown uid.
    pub(super) fn endpoint_id(&mut self, uid: &str) -> EndpointId {
        *self.endpoint_ids.entry(uid.to_owned()).or_insert_with(|| {
            self.last_endpoint_id += 1;
            EndpointId(self.last_endpoint_id)
        })
    }

    /// Records a listed endpoint and converts it for the decision module.
    pub(super) fn endpoint_entry(
        &mut self,
        target: &ListedEndpoint,
        origin: ListOrigin,
        reading: ClockReading,
    ) -> EndpointEntry {
        let endpoint = self.endpoint_id(&target.uid);
        let address: Option<SocketAddr> = target.endpoint.parse().ok();
        if address.is_none() {
            tracing::info!(
                "upstream {}: {:?} is not an IP address with a port, no requests are sent to it",
                target.uid,
                target.endpoint
            );
        }
        let in_service = target.state == ListedState::InService;
        let upstream = Upstream { address, boot_ms: target.boot_ms, in_service };
        // Connections to an earlier process, or to one that is not in service, are not used any more, nor waited for.
        if !in_service || self.endpoints.get(&endpoint) != Some(&upstream) {
            self.idle_pool.close(endpoint);
            self.cancel_unwritten_attempts(endpoint);
        }
        self.endpoints.insert(endpoint, upstream);
        let started = self.start_times.started(&target.uid, target.boot_ms, origin, reading.monotonic);
        let zone = self.config.proxy_settings.zones.iter().position(|zone| *zone == target.az);
        EndpointEntry {
            endpoint,
            zone: ZoneId(zone.and_then(|zone| u8::try_from(zone).ok()).unwrap_or(u8::MAX)),
            cell: target.pod_group,
            state: match target.state {
                ListedState::InService => EndpointState::InService,
                ListedState::Terminating => EndpointState::Draining,
                ListedState::Terminated => EndpointState::Removed,
            },
            capacity: target.capacity_hint,
            started,
        }
    }
}
