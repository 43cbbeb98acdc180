//! Operators' orders, and the folder shared with other processes of this balancer.

use super::Dispatcher;
use crate::proxy::orders::{OfflineList, Order, OrderOutcome, OrderRequest};
use crate::proxy::shared_folder::{FolderEvent, FolderState, SharedFolder};
use balancer::decision::{EndpointId, Event};

impl Dispatcher {
    /// Handles an event from the shared folder's thread.
    pub(super) fn on_shared_folder(&mut self, event: FolderEvent) {
        match event {
            FolderEvent::CheckFinished(state) => {
                self.shared_folder.iter_mut().for_each(SharedFolder::finish_check);
                self.apply_withdrawn(&state.withdrawn);
                self.on_folder_state(state);
            }
            FolderEvent::OrderStored(request, offline) => {
                self.apply_offline_list(offline);
                self.on_order_stored(&request.order);
                // The order stays in force even if its operator has disconnected.
                request.outcome_sender.send(OrderOutcome::Applied).ok();
            }
            FolderEvent::OrderNotStored(request) => {
                request.outcome_sender.send(OrderOutcome::NotStored).ok();
            }
        }
    }

    /// Applies the orders that operators gave to another process, and adapts the connection limit to whether another
    /// process may be serving.
    pub(super) fn on_folder_state(&mut self, state: FolderState) {
        let FolderState { offline, overlapping, .. } = state;
        if offline != self.offline {
            self.apply_offline_list(offline);
        }
        if overlapping != self.overlapping {
            // Both processes share the limit on file descriptors.
            let max_connections = self.config.limits.upstreams;
            self.idle_pool.set_max_open(if overlapping { max_connections / 2 } else { max_connections });
            self.memory.set_shared(overlapping);
            let overlap = if overlapping { "beside another process" } else { "alone" };
            tracing::info!("this process serves {overlap}");
            self.overlapping = overlapping;
        }
        self.update_host_counts();
    }

    /// Updates the counts of listed endpoints and of those that get no requests.
    pub(super) fn update_host_counts(&self) {
        self.counters.set_hosts(self.endpoints.len(), self.balancer.unavailable_count());
    }

    /// Passes an order to the shared folder's thread, or rejects it.
    pub(super) fn on_operator_order(&mut self, request: OrderRequest) {
        let outcome = match &self.shared_folder {
            _ if !self.was_listed(&request.order.uid) => OrderOutcome::UnknownEndpoint,
            Some(shared_folder) => return shared_folder.store_order(request),
            None => OrderOutcome::NotStored,
        };
        request.outcome_sender.send(outcome).ok();
    }

    /// Whether an endpoint is or was listed, in this process or in an earlier one, as far as its uid is still kept.
    pub(super) fn was_listed(&self, uid: &str) -> bool {
        let is_listed =
            self.endpoint_ids.get(uid).is_some_and(|endpoint| self.endpoints.contains_key(endpoint));
        is_listed
            || self.offline.contains(uid)
            || self.removed_uids.iter().any(|removed_uid| removed_uid == uid)
    }

    /// Logs an order that has come into force, and updates the host counts.
    pub(super) fn on_order_stored(&mut self, order: &Order) {
        self.update_host_counts();
        let uid = &order.uid;
        tracing::info!(
            "upstream {uid} was {} by an operator",
            if order.offline { "taken offline" } else { "brought back online" }
        );
    }

    /// Replaces the offline list and notifies the decision module of each difference.
    pub(super) fn apply_offline_list(&mut self, offline: OfflineList) {
        let previous = std::mem::replace(&mut self.offline, offline.clone());
        for uid in offline.difference(&previous) {
            let endpoint = self.endpoint_id(uid);
            self.cancel_unwritten_attempts(endpoint);
            self.handle_event(Event::Offline(endpoint));
        }
        for uid in previous.difference(&offline) {
            let endpoint = self.endpoint_id(uid);
            self.handle_event(Event::Online(endpoint));
            self.record_removed_uid(uid, endpoint);
        }
    }

    /// Records the uid of an endpoint that was brought back online, if it is not listed. The offline list does not
    /// contain the uid any more, and a later order about the endpoint must not be rejected as unknown.
    pub(super) fn record_removed_uid(&mut self, uid: &str, endpoint: EndpointId) {
        let is_listed = self.endpoints.contains_key(&endpoint);
        if !is_listed && !self.removed_uids.iter().any(|removed_uid| removed_uid == uid) {
            self.removed_uids.push_back(uid.to_owned());
        }
    }
}
