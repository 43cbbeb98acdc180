//! The endpoints that this process tells the one that replaces it not to use, and those that it is told itself.

use super::{AppliedList, Dispatcher};
use crate::config::endpoint_listing::{ListedEndpoint, ListedState, Listing};
use crate::proxy::start_times::ListOrigin;
use crate::proxy::withdrawn_endpoints::WithdrawnEndpoints;
use std::collections::BTreeSet;

impl Dispatcher {
    /// The draining and removed endpoints, for a process that starts beside this one; `None` if there are none, or no folder
    /// to tell them in.
    pub(super) fn withdrawn_for_others(&self) -> Option<WithdrawnEndpoints> {
        self.shared_folder.as_ref()?;
        let known = self.endpoint_ids.keys().chain(&self.removed_uids);
        let uids: BTreeSet<String> = known.filter(|uid| !self.is_in_service(uid)).cloned().collect();
        let AppliedList { discovery, revision, .. } = self.applied_list;
        (!uids.is_empty()).then_some(WithdrawnEndpoints { discovery, revision, uids })
    }

    /// Has the endpoints drain of which another process was told that they do, or that they are gone, while this process
    /// knows only its configured list, and that is no newer.
    pub(super) fn apply_withdrawn(&mut self, others: &[WithdrawnEndpoints]) {
        let AppliedList { discovery, revision, is_configured } = self.applied_list;
        if !is_configured || others.is_empty() {
            return;
        }
        let newer = others.iter().filter(|other| other.discovery == discovery && other.revision >= revision);
        let withdrawn: BTreeSet<&String> = newer.flat_map(|other| &other.uids).collect();
        let targets: Vec<ListedEndpoint> = self
            .config
            .known
            .targets
            .iter()
            .filter(|target| withdrawn.contains(&target.uid) && self.is_in_service(&target.uid))
            .map(|target| ListedEndpoint { state: ListedState::Terminating, ..target.clone() })
            .collect();
        if targets.is_empty() {
            return;
        }
        tracing::info!("{} endpoints drain, as the process beside this one was told", targets.len());
        self.on_endpoint_list(Listing { rev: revision, all: false, targets }, ListOrigin::Configuration);
    }

    /// Whether an endpoint is listed as accepting requests.
    fn is_in_service(&self, uid: &str) -> bool {
        let upstream = self.endpoint_ids.get(uid).and_then(|endpoint| self.endpoints.get(endpoint));
        upstream.is_some_and(|upstream| upstream.in_service)
    }
}
