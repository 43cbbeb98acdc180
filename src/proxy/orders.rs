//! What operators order about an endpoint, and what becomes of it.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::sync::oneshot;

/// The uids of the endpoints that operators have taken out.
pub type OfflineList = BTreeSet<String>;

/// Takes an endpoint out, or puts it back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    pub uid: String,
    pub offline: bool,
}

impl Order {
    /// Whether a list is already as the order wants it.
    pub fn holds_in(&self, list: &OfflineList) -> bool {
        list.contains(&self.uid) == self.offline
    }

    /// The list with the order carried out.
    pub fn applied_to(&self, list: &OfflineList) -> OfflineList {
        let mut list = list.clone();
        if self.offline {
            list.insert(self.uid.clone());
        } else {
            list.remove(&self.uid);
        }
        list
    }

    /// The order that takes this one back.
    pub fn inverse(&self) -> Self {
        Self { uid: self.uid.clone(), offline: !self.offline }
    }
}

/// What is made of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is in force.
    Done,
    /// No upstream of that name was ever listed.
    Unknown,
    /// It could not be kept for the process that comes after this one.
    NotKept,
}

/// Decides between the one who carries an order out and the one who gives up waiting for it: whoever claims first.
/// So an order that was answered with no for taking too long never comes into force.
#[derive(Clone, Debug, Default)]
pub struct OrderClaim(Arc<AtomicBool>);

impl OrderClaim {
    /// Whether the caller is the first to claim.
    pub fn claim(&self) -> bool {
        !self.0.swap(true, Ordering::AcqRel)
    }

    pub fn is_claimed(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// An order on its way, and where its verdict goes.
pub struct OrderRequest {
    pub order: Order,
    pub claim: OrderClaim,
    pub answer: oneshot::Sender<Verdict>,
}
