//! The endpoint list: what is told of it, and what is forgotten.

use super::{AttemptInFlight, Dispatcher, MOST_FORMER, Upstream};
use crate::config::endpoint_listing::{ListedEndpoint, ListedState, Listing};
use crate::proxy::clock::ClockReading;
use crate::proxy::start_times::ListOrigin;
use balancer::decision::{EndpointEntry, EndpointId, EndpointState, Event, ZoneId};
use std::collections::HashSet;
use std::net::SocketAddr;

impl Dispatcher {
    pub(super) fn on_endpoint_list(&mut self, listing: Listing, origin: ListOrigin) {
        let reading = self.clock.read();
        self.start_times.learn_clocks(reading);
        let entry = |target| self.entry(target, origin, reading);
        let entries: Vec<EndpointEntry> = listing.targets.iter().map(entry).collect();
        if listing.all {
            self.tell(Event::EndpointList(&entries));
        } else if !entries.is_empty() {
            self.tell(Event::EndpointsChanged(&entries));
        }
        self.forget_gone(&listing);
        if entries.iter().any(|entry| entry.state == EndpointState::InService) {
            self.ready.send_if_modified(|ready| !std::mem::replace(ready, true));
        }
        self.show_hosts();
    }

    /// Forgets the upstreams that are gone, by name or by not being on a whole list, and closes their idle
    /// connections. Guards the memory where upstreams are ever new.
    pub(super) fn forget_gone(&mut self, listing: &Listing) {
        let names = |gone: bool| {
            let targets =
                listing.targets.iter().filter(move |t| (t.state == ListedState::Terminated) == gone);
            targets.map(|target| target.uid.as_str()).collect::<HashSet<_>>()
        };
        let (named, gone) = (names(false), names(true));
        let (endpoints, idle, former) = (&mut self.endpoints, &mut self.idle, &mut self.former);
        let offline = &self.offline;
        let mut left = Vec::new();
        self.ids.retain(|uid, endpoint| {
            let stays = !gone.contains(uid.as_str()) && (!listing.all || named.contains(uid.as_str()));
            if !stays && endpoints.remove(endpoint).is_some() {
                idle.close(*endpoint);
                former.push_back(uid.clone());
                left.push(*endpoint);
            }
            stays || offline.contains(uid) // what is out by hand is so when it is listed again
        });
        left.into_iter().for_each(|endpoint| self.withdraw(endpoint));
        let former = &mut self.former;
        former.drain(..former.len().saturating_sub(MOST_FORMER));
        self.forget_starts();
    }

    /// Forgets when the upstreams started whose names are forgotten.
    pub(super) fn forget_starts(&mut self) {
        if self.start_times.len() <= self.ids.len() + MOST_FORMER {
            return;
        }
        let former: HashSet<&str> = self.former.iter().map(String::as_str).collect();
        let ids = &self.ids;
        self.start_times.retain(|uid| ids.contains_key(uid) || former.contains(uid));
    }

    /// Withdraws the attempts that still wait for a connection to an upstream: once it is there, they would be
    /// written. The module hears that they were never sent.
    pub(super) fn withdraw(&mut self, endpoint: EndpointId) {
        let out = self.requests.values_mut().flat_map(|open| &mut open.attempts_in_flight);
        out.filter(|out| out.endpoint == endpoint).for_each(AttemptInFlight::withdraw);
    }

    pub(super) fn id(&mut self, uid: &str) -> EndpointId {
        *self.ids.entry(uid.to_owned()).or_insert_with(|| {
            self.next_endpoint += 1;
            EndpointId(self.next_endpoint)
        })
    }

    pub(super) fn entry(
        &mut self,
        target: &ListedEndpoint,
        origin: ListOrigin,
        reading: ClockReading,
    ) -> EndpointEntry {
        let endpoint = self.id(&target.uid);
        let address: Option<SocketAddr> = target.endpoint.parse().ok();
        if address.is_none() {
            crate::proxy::logging::log(format_args!(
                "upstream {}: no address in {:?}",
                target.uid, target.endpoint
            ));
        }
        let in_service = target.state == ListedState::InService;
        let upstream = Upstream { address, boot_ms: target.boot_ms, in_service };
        // Connections to a former process, or to one that takes nothing new, are of no use, nor is waiting for one.
        if !in_service || self.endpoints.get(&endpoint) != Some(&upstream) {
            self.idle.close(endpoint);
            self.withdraw(endpoint);
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
