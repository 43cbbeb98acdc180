//! The endpoints that operators have taken out, in a folder that outlives the process and that two processes share
//! while one replaces the other.
//!
//! `woadstall-offline.json` holds their uids. An order is carried out under a lock: it is noted as pending, the list
//! is replaced, and the note is removed. That removal is the commit. An order that is still noted was not answered
//! with yes, so readers leave it out: whatever fails, and wherever the process is killed, an order holds for all
//! processes if and only if its note is gone. A process without this module reads the list alone.

use super::durable_file::{self, FileError, FileStep, LockError};
use super::orders::{OfflineList, Order, OrderClaim};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use thiserror::Error;

const LIST: &str = "woadstall-offline.json";
const PENDING: &str = "woadstall-offline.pending";
const LOCK: &str = "woadstall-offline.lock";
/// How long an order waits for another process's change.
const LOCK_PATIENCE: Duration = Duration::from_millis(500);

/// What a look at the shared list found.
#[derive(Debug)]
pub enum Reading {
    /// It is as it was read last.
    Unchanged,
    /// It holds other endpoints than before, which are the current ones now.
    Changed,
    /// Another process is just changing it; to be read again.
    Changing,
    /// There is no list, and what holds here goes on.
    Absent,
    /// It cannot be read now, and what holds here goes on; to be read again.
    Unreadable(FileError),
    /// It is no list, and what holds here goes on.
    Damaged(serde_json::Error),
}

/// Why an order is not in force.
#[derive(Debug, Error)]
pub enum OrderError {
    #[error("its operator has been told that it took too long")]
    Expired,
    #[error("the list is locked: {0}")]
    Lock(#[from] LockError),
    #[error("the list cannot be read or written: {0}")]
    File(#[from] FileError),
    #[error("it cannot be encoded: {0}")]
    Encoding(#[from] serde_json::Error),
}

/// The two files as they were read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Contents {
    list: Option<Vec<u8>>,
    pending: Option<Vec<u8>>,
}

impl Contents {
    fn read(folder: &Path) -> Result<Self, FileError> {
        let list = durable_file::read(&folder.join(LIST))?;
        let pending = durable_file::read(&folder.join(PENDING))?;
        Ok(Self { list, pending })
    }

    /// The list without the pending order; `None` if there is no list.
    fn committed(&self) -> Result<Option<OfflineList>, serde_json::Error> {
        let Some(list) = &self.list else { return Ok(None) };
        let list: OfflineList = serde_json::from_slice(list)?;
        Ok(Some(match self.pending_order() {
            Some(order) => order.inverse().applied_to(&list),
            None => list,
        }))
    }

    /// The order that was not carried out to its end. A damaged note was never followed by a change of the list.
    fn pending_order(&self) -> Option<Order> {
        serde_json::from_slice(self.pending.as_deref()?).ok()
    }
}

/// The list of endpoints taken out, as it holds in this process and in the folder.
pub struct OfflineEndpoints {
    /// Without a folder, orders hold for this process only.
    folder: Option<PathBuf>,
    current: OfflineList,
    /// The files when they were read last.
    last: Option<Contents>,
}

impl OfflineEndpoints {
    pub fn new(folder: Option<PathBuf>) -> Self {
        Self { folder, current: OfflineList::new(), last: None }
    }

    /// What holds in this process.
    pub fn current(&self) -> &OfflineList {
        &self.current
    }

    /// Takes over what has changed in the folder. It waits for no lock: a reading counts once a second one agrees
    /// with it, so that a change which another process takes back is not followed.
    pub fn read(&mut self) -> Reading {
        let Some(folder) = self.folder.clone() else { return Reading::Unchanged };
        let contents = match Contents::read(&folder) {
            Ok(contents) => contents,
            Err(error) => return Reading::Unreadable(error),
        };
        if self.last.as_ref() == Some(&contents) {
            return if contents.list.is_none() { Reading::Absent } else { Reading::Unchanged };
        }
        match Contents::read(&folder) {
            Ok(again) if again == contents => {}
            Ok(_) => return Reading::Changing,
            Err(error) => return Reading::Unreadable(error),
        }
        let committed = contents.committed();
        self.last = Some(contents);
        match committed {
            Ok(None) => Reading::Absent,
            Ok(Some(list)) if list == self.current => Reading::Unchanged,
            Ok(Some(list)) => {
                self.current = list;
                Reading::Changed
            }
            Err(error) => Reading::Damaged(error),
        }
    }

    /// Carries an order out for all processes, now and later; the list that holds then. After an error nothing has
    /// changed, for any of them.
    pub fn change(&mut self, order: &Order, claim: &OrderClaim) -> Result<OfflineList, OrderError> {
        let Some(folder) = self.folder.clone() else {
            commit(claim)?;
            self.current = order.applied_to(&self.current);
            return Ok(self.current.clone());
        };
        let _locked = durable_file::lock(&folder.join(LOCK), Instant::now() + LOCK_PATIENCE)?;
        let before = self.committed(&folder)?;
        if order.is_satisfied_by(&before) {
            commit(claim)?;
            self.current = before;
            return Ok(self.current.clone());
        }
        self.settle(&folder, &before)?;
        let list = order.applied_to(&before);
        if let Err(error) = carry_out(&folder, order, &list, claim) {
            // If this fails as well, the order stays noted as pending, and is cleared away later.
            self.settle(&folder, &before).ok();
            return Err(error);
        }
        self.current = list;
        self.last = Contents::read(&folder).ok();
        Ok(self.current.clone())
    }

    /// Clears away an order that was not carried out to its end, and writes a list anew that was lost or damaged.
    pub fn repair(&mut self) -> Result<(), OrderError> {
        let Some(folder) = self.folder.clone() else { return Ok(()) };
        if !self.needs_repair() {
            return Ok(());
        }
        let _locked = match durable_file::lock(&folder.join(LOCK), Instant::now()) {
            Err(LockError::Held) => return Ok(()), // it is being changed
            locked => locked?,
        };
        let before = self.committed(&folder)?;
        self.settle(&folder, &before)
    }

    fn needs_repair(&self) -> bool {
        let Some(last) = &self.last else { return false };
        let is_lost = || !matches!(last.committed(), Ok(Some(_))) && !self.current.is_empty();
        last.pending.is_some() || is_lost()
    }

    /// What holds for all processes, under the lock. A list that is absent or damaged is the one that holds here.
    fn committed(&self, folder: &Path) -> Result<OfflineList, FileError> {
        let committed = Contents::read(folder)?.committed();
        Ok(committed.ok().flatten().unwrap_or_else(|| self.current.clone()))
    }

    /// Makes the list in the folder this one, with no order pending; under the lock.
    fn settle(&self, folder: &Path, list: &OfflineList) -> Result<(), OrderError> {
        let contents = Contents::read(folder)?;
        let written: Option<OfflineList> =
            contents.list.as_deref().and_then(|text| serde_json::from_slice(text).ok());
        if written.unwrap_or_default() != *list {
            durable_file::replace(&folder.join(LIST), &serde_json::to_vec(list)?)?;
        }
        if contents.pending.is_some() {
            durable_file::remove(&folder.join(PENDING))?;
            durable_file::sync_folder_of(&folder.join(PENDING))?;
        }
        Ok(())
    }
}

/// Replaces the list, and commits that unless whoever waits for it has given up; under the lock.
fn carry_out(folder: &Path, order: &Order, list: &OfflineList, claim: &OrderClaim) -> Result<(), OrderError> {
    let (note, pending) = (serde_json::to_vec(order)?, folder.join(PENDING));
    durable_file::replace(&pending, &note)?;
    durable_file::replace(&folder.join(LIST), &serde_json::to_vec(list)?)?;
    commit(claim)?;
    durable_file::remove(&pending)?;
    let Err(unsynced) = durable_file::sync_folder_of(&pending) else { return Ok(()) };
    // The commit might not survive, so it is taken back by noting the order anew.
    match durable_file::replace(&pending, &note) {
        Ok(()) => Err(unsynced.into()),
        Err(error) if error.step == FileStep::SyncFolder => Err(unsynced.into()),
        Err(error) => {
            // Neither can be made to survive a failure of the machine; all processes see the order as carried out.
            crate::proxy::logging::log(format_args!(
                "an order holds, but its folder cannot be synced: {unsynced}, {error}"
            ));
            Ok(())
        }
    }
}

fn commit(claim: &OrderClaim) -> Result<(), OrderError> {
    if claim.claim() { Ok(()) } else { Err(OrderError::Expired) }
}

#[cfg(test)]
mod tests;
