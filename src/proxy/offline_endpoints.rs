//! The endpoints that operators have taken offline, stored in a folder that outlives the process and that two processes
//! share while one replaces the other.
//!
//! `woadstall-offline.json` contains the uids of these endpoints. An order is carried out under a lock, in three steps:
//! the order is written to the pending file, the list is replaced, and the pending file is removed. The removal is the
//! commit.
//!
//! An order that is still pending has not been confirmed to its operator, so readers undo it in the list that they
//! read. Whatever step fails, and wherever the process is killed, an order is in force for all processes if and only if
//! it is no longer pending. A program version without this module reads the list alone.

use super::durable_file::{self, FileError, FileStep, LockError};
use super::orders::{OfflineList, Order, OrderClaim};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use thiserror::Error;

/// Name of the file that contains the uids of the endpoints that are offline.
const LIST_FILE: &str = "woadstall-offline.json";
/// Name of the file that contains the order that is being carried out.
const PENDING_FILE: &str = "woadstall-offline.pending";
/// Name of the file that is locked while an order is carried out.
const LOCK_FILE: &str = "woadstall-offline.lock";
/// How long an order waits for another process that holds the lock.
const LOCK_TIMEOUT: Duration = Duration::from_millis(500);

/// The result of reading the shared list.
#[derive(Debug)]
pub enum ReadOutcome {
    /// The files are as they were at the last read, or contain the list that is in force already.
    Unchanged,
    /// The list differs from the one in force, and has replaced it.
    Changed,
    /// Another process is changing the files; they have to be read again.
    Changing,
    /// There is no list; the one in force stays.
    Absent,
    /// The files cannot be read now and have to be read again; the list in force stays.
    Unreadable(FileError),
    /// The file is not a list in JSON; the list in force stays.
    Damaged(serde_json::Error),
}

/// Why an order was not carried out.
#[derive(Debug, Error)]
pub enum OrderError {
    #[error("it took too long, and its operator has already been answered")]
    Expired,
    #[error("the offline list cannot be locked: {0}")]
    Lock(#[from] LockError),
    #[error("the offline list cannot be read or written: {0}")]
    File(#[from] FileError),
    #[error("the order or the offline list cannot be encoded: {0}")]
    Encoding(#[from] serde_json::Error),
}

/// The contents of the list file and the pending file; `None` for a file that does not exist.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct FileContents {
    list: Option<Vec<u8>>,
    pending: Option<Vec<u8>>,
}

impl FileContents {
    /// Reads both files.
    fn read(folder: &Path) -> Result<Self, FileError> {
        let list = durable_file::read(&folder.join(LIST_FILE))?;
        let pending = durable_file::read(&folder.join(PENDING_FILE))?;
        Ok(Self { list, pending })
    }

    /// The committed list: the list of the file, with the pending order undone. `None` if there is no list.
    fn committed(&self) -> Result<Option<OfflineList>, serde_json::Error> {
        let Some(list) = &self.list else { return Ok(None) };
        let list: OfflineList = serde_json::from_slice(list)?;
        Ok(Some(match self.pending_order() {
            Some(order) => order.inverse().applied_to(&list),
            None => list,
        }))
    }

    /// The pending order, if there is one. None is assumed if the pending file is damaged, as the list has not been
    /// changed yet then.
    fn pending_order(&self) -> Option<Order> {
        serde_json::from_slice(self.pending.as_deref()?).ok()
    }
}

/// The list of the endpoints that are offline, in this process and in the folder.
pub struct OfflineEndpoints {
    /// Without a folder, orders apply to this process only.
    folder: Option<PathBuf>,
    /// The list in force in this process.
    current: OfflineList,
    /// The files as they were last read.
    last_read: Option<FileContents>,
}

impl OfflineEndpoints {
    /// Creates an empty list, to be filled by the first read.
    pub fn new(folder: Option<PathBuf>) -> Self {
        Self { folder, current: OfflineList::new(), last_read: None }
    }

    /// The list in force in this process.
    pub fn current(&self) -> &OfflineList {
        &self.current
    }

    /// Reads the files, and adopts changes by other processes. This takes no lock. Instead, the files are read twice,
    /// and adopted only if both reads agree, so that a change which another process undoes is not adopted.
    pub fn read(&mut self) -> ReadOutcome {
        let Some(folder) = self.folder.clone() else { return ReadOutcome::Unchanged };
        let contents = match FileContents::read(&folder) {
            Ok(contents) => contents,
            Err(error) => return ReadOutcome::Unreadable(error),
        };
        if self.last_read.as_ref() == Some(&contents) {
            return if contents.list.is_none() { ReadOutcome::Absent } else { ReadOutcome::Unchanged };
        }
        match FileContents::read(&folder) {
            Ok(second_read) if second_read == contents => {}
            Ok(_) => return ReadOutcome::Changing,
            Err(error) => return ReadOutcome::Unreadable(error),
        }
        let committed = contents.committed();
        self.last_read = Some(contents);
        match committed {
            Ok(None) => ReadOutcome::Absent,
            Ok(Some(list)) if list == self.current => ReadOutcome::Unchanged,
            Ok(Some(list)) => {
                self.current = list;
                ReadOutcome::Changed
            }
            Err(error) => ReadOutcome::Damaged(error),
        }
    }

    /// Carries out an order for all processes, current and later ones, and returns the list that is then in force.
    /// After an error, nothing has changed for any of them.
    pub fn apply_order(&mut self, order: &Order, claim: &OrderClaim) -> Result<OfflineList, OrderError> {
        let Some(folder) = self.folder.clone() else {
            claim_order(claim)?;
            self.current = order.applied_to(&self.current);
            return Ok(self.current.clone());
        };
        let _lock = durable_file::lock(&folder.join(LOCK_FILE), Instant::now() + LOCK_TIMEOUT)?;
        let committed = self.committed(&folder)?;
        if order.is_satisfied_by(&committed) {
            claim_order(claim)?;
            self.current = committed;
            return Ok(self.current.clone());
        }
        self.restore(&folder, &committed)?;
        let list = order.applied_to(&committed);
        if let Err(error) = write_order(&folder, order, &list, claim) {
            // If this fails as well, the order stays pending until a later repair or order removes it.
            self.restore(&folder, &committed).ok();
            return Err(error);
        }
        self.current = list;
        self.last_read = FileContents::read(&folder).ok();
        Ok(self.current.clone())
    }

    /// Removes an order that was not committed, and rewrites a list that is missing or damaged.
    pub fn repair(&mut self) -> Result<(), OrderError> {
        let Some(folder) = self.folder.clone() else { return Ok(()) };
        if !self.needs_repair() {
            return Ok(());
        }
        let _lock = match durable_file::lock(&folder.join(LOCK_FILE), Instant::now()) {
            Err(LockError::Held) => return Ok(()), // another process is changing the list
            lock => lock?,
        };
        let committed = self.committed(&folder)?;
        self.restore(&folder, &committed)
    }

    /// Whether the last read found a pending order, or no valid list where one should be.
    fn needs_repair(&self) -> bool {
        let Some(last_read) = &self.last_read else { return false };
        let lacks_valid_list = || !matches!(last_read.committed(), Ok(Some(_))) && !self.current.is_empty();
        last_read.pending.is_some() || lacks_valid_list()
    }

    /// Reads the list in force for all processes; requires the lock. If the file is missing or damaged, returns the
    /// list in force in this process.
    fn committed(&self, folder: &Path) -> Result<OfflineList, FileError> {
        let committed = FileContents::read(folder)?.committed();
        Ok(committed.ok().flatten().unwrap_or_else(|| self.current.clone()))
    }

    /// Stores a list in the folder and removes the pending order; requires the lock.
    fn restore(&self, folder: &Path, list: &OfflineList) -> Result<(), OrderError> {
        let contents = FileContents::read(folder)?;
        let stored: Option<OfflineList> =
            contents.list.as_deref().and_then(|text| serde_json::from_slice(text).ok());
        if stored.unwrap_or_default() != *list {
            durable_file::replace(&folder.join(LIST_FILE), &serde_json::to_vec(list)?)?;
        }
        if contents.pending.is_some() {
            durable_file::remove(&folder.join(PENDING_FILE))?;
            durable_file::sync_folder_of(&folder.join(PENDING_FILE))?;
        }
        Ok(())
    }
}

/// Writes the pending order and the list, and commits the order unless it has timed out; requires the lock.
fn write_order(
    folder: &Path,
    order: &Order,
    list: &OfflineList,
    claim: &OrderClaim,
) -> Result<(), OrderError> {
    let (encoded_order, pending_path) = (serde_json::to_vec(order)?, folder.join(PENDING_FILE));
    durable_file::replace(&pending_path, &encoded_order)?;
    durable_file::replace(&folder.join(LIST_FILE), &serde_json::to_vec(list)?)?;
    claim_order(claim)?;
    durable_file::remove(&pending_path)?;
    let Err(sync_error) = durable_file::sync_folder_of(&pending_path) else { return Ok(()) };
    // The commit might not survive a crash of the machine, so it is undone by making the order pending again.
    match durable_file::replace(&pending_path, &encoded_order) {
        Ok(()) => Err(sync_error.into()),
        Err(error) if error.step == FileStep::SyncFolder => Err(sync_error.into()),
        Err(error) => {
            // Neither the commit nor its undoing can be made durable. All processes see the order as committed.
            tracing::info!(
                "{order:?} is in force, but its folder cannot be synced ({sync_error}), nor the order undone: {error}"
            );
            Ok(())
        }
    }
}

/// Claims the order, so that it can no longer time out.
fn claim_order(claim: &OrderClaim) -> Result<(), OrderError> {
    if claim.claim() { Ok(()) } else { Err(OrderError::Expired) }
}

#[cfg(test)]
mod tests;
