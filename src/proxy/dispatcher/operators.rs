//! Orders of operators, and the folder that is shared with another process.

use super::Dispatcher;
use crate::proxy::orders::{OfflineList, Order, OrderRequest, Verdict};
use crate::proxy::shared_folder::{FolderEvent, FolderState, SharedFolder};
use balancer::decision::{EndpointId, Event};

impl Dispatcher {
    pub(super) fn on_shared_folder(&mut self, event: FolderEvent) {
        match event {
            FolderEvent::Checked(state) => {
                self.shared.iter_mut().for_each(SharedFolder::checked);
                self.on_folder_state(state);
            }
            FolderEvent::Kept(request, offline) => {
                self.enforce(offline);
                self.on_kept(&request.order);
                request.answer.send(Verdict::Done).ok(); // one that left has its order all the same
            }
            FolderEvent::NotKept(request) => {
                request.answer.send(Verdict::NotKept).ok();
            }
        }
    }

    /// Takes over what operators told another process, and whether one is there.
    pub(super) fn on_folder_state(&mut self, state: FolderState) {
        let FolderState { offline, overlapping } = state;
        if offline != self.offline {
            self.enforce(offline);
        }
        if overlapping != self.overlapping {
            // The descriptors are for both.
            let most = self.config.limits.upstreams;
            self.idle.set_max_open(if overlapping { most / 2 } else { most });
            let beside = if overlapping { "beside another process" } else { "alone" };
            crate::proxy::logging::log(format_args!("this process serves {beside}"));
            self.overlapping = overlapping;
        }
        self.show_hosts();
    }

    pub(super) fn show_hosts(&self) {
        self.counters.set_hosts(self.endpoints.len(), self.balancer.avoided());
    }

    pub(super) fn on_operator_order(&mut self, request: OrderRequest) {
        let verdict = match &self.shared {
            _ if !self.was_listed(&request.order.uid) => Verdict::Unknown,
            Some(shared) => return shared.keep(request),
            None => Verdict::NotKept,
        };
        request.answer.send(verdict).ok();
    }

    /// Whether an upstream is or was listed, here or in a process before.
    pub(super) fn was_listed(&self, uid: &str) -> bool {
        let is_listed = self.ids.get(uid).is_some_and(|endpoint| self.endpoints.contains_key(endpoint));
        is_listed || self.offline.contains(uid) || self.former.iter().any(|former| former == uid)
    }

    pub(super) fn on_kept(&mut self, order: &Order) {
        self.show_hosts();
        let uid = &order.uid;
        crate::proxy::logging::log(format_args!(
            "upstream {uid} is {} by hand",
            if order.offline { "out" } else { "back" }
        ));
    }

    pub(super) fn enforce(&mut self, offline: OfflineList) {
        let before = std::mem::replace(&mut self.offline, offline.clone());
        for uid in offline.difference(&before) {
            let endpoint = self.id(uid);
            self.withdraw(endpoint);
            self.tell(Event::Offline(endpoint));
        }
        for uid in before.difference(&offline) {
            let endpoint = self.id(uid);
            self.tell(Event::Online(endpoint));
            self.remember_former(uid, endpoint);
        }
    }

    /// An order outlives the entry of its upstream on the list, and the name outlives the order.
    pub(super) fn remember_former(&mut self, uid: &str, endpoint: EndpointId) {
        let is_listed = self.endpoints.contains_key(&endpoint);
        if !is_listed && !self.former.iter().any(|former| former == uid) {
            self.former.push_back(uid.to_owned());
        }
    }
}
