//! Orders of operators that take an endpoint offline or bring it back online, and their outcome.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::sync::oneshot;

/// The uids of the endpoints that operators have taken offline.
pub type OfflineList = BTreeSet<String>;

/// An order to take an endpoint offline or to bring it back online. Serialized as the pending order in the shared
/// folder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The uid of the endpoint.
    pub uid: String,
    /// True to take the endpoint offline, false to bring it back online.
    pub offline: bool,
}

impl Order {
    /// Whether the list already has the state that the order asks for.
    pub fn is_satisfied_by(&self, list: &OfflineList) -> bool {
        list.contains(&self.uid) == self.offline
    }

    /// Returns a copy of the list with the order applied.
    pub fn applied_to(&self, list: &OfflineList) -> OfflineList {
        let mut list = list.clone();
        if self.offline {
            list.insert(self.uid.clone());
        } else {
            list.remove(&self.uid);
        }
        list
    }

    /// The order that reverts this one.
    pub fn inverse(&self) -> Self {
        Self { uid: self.uid.clone(), offline: !self.offline }
    }
}

/// The outcome of an order, which the admin server reports to the operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The order is in force.
    Applied,
    /// No endpoint with this uid was ever listed.
    UnknownEndpoint,
    /// The order could not be persisted for the processes that start after this one, and is not in force.
    NotStored,
}

/// Settles the race between the thread that commits an order and the admin request that stops waiting for it:
/// whichever claims first wins. An order whose request has timed out therefore never comes into force.
#[derive(Clone, Debug, Default)]
pub struct OrderClaim(Arc<AtomicBool>);

impl OrderClaim {
    /// Claims the order. Returns whether this call was the first to claim it.
    pub fn claim(&self) -> bool {
        !self.0.swap(true, Ordering::AcqRel)
    }

    /// Whether the order has been claimed.
    pub fn is_claimed(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// An order that waits to be applied, with the channel that receives its outcome.
pub struct OrderRequest {
    pub order: Order,
    /// Claimed when the order is committed, or when the operator's request times out.
    pub claim: OrderClaim,
    pub outcome_sender: oneshot::Sender<OrderOutcome>,
}
