//! Announces this process to the process that it replaces and to the one that replaces it, so that each knows of the
//! other while both run.

use super::durable_file::{FileError, FileStep, retry_interrupted, try_lock};
use std::ffi::OsString;
use std::fs::{self, File, TryLockError};
use std::io::{self, ErrorKind};
use std::path::{Path, PathBuf};

/// Prefix of the names of announcement files. Each process has one, and keeps it locked as long as it runs.
const ANNOUNCEMENT_PREFIX: &str = "woadstall-process-";
/// Extension of an announcement file that is being created and may not be locked yet.
const UNLOCKED_EXTENSION: &str = "starting";

/// The processes of this balancer that share a folder.
pub struct ProcessHandover {
    folder: PathBuf,
    /// Name of this process's announcement file.
    own_name: OsString,
    /// This process's announcement file, locked as long as the process runs; `None` while it could not be created, or
    /// not again after its removal from the folder.
    announcement: Option<File>,
    /// Whether the last try to announce failed, which is logged once.
    announce_failed: bool,
}

impl ProcessHandover {
    /// Announces this process under a name that no other one has.
    pub fn new(folder: PathBuf, name: &str) -> Self {
        let own_name = OsString::from(format!("{ANNOUNCEMENT_PREFIX}{name}"));
        let mut handover = Self { folder, own_name, announcement: None, announce_failed: false };
        handover.announce();
        handover
    }

    /// Whether another process of this balancer may be running. Also true if this process could not be announced yet,
    /// or if the folder cannot be listed. Announcements of processes that have died are removed.
    pub fn overlaps(&mut self) -> bool {
        let mut others_run = false;
        let mut is_own_found = false;
        let Ok(entries) = retry_interrupted(|| fs::read_dir(&self.folder)) else {
            self.announce();
            return true;
        };
        for entry in entries {
            let Ok(entry) = entry else { return true };
            let name = entry.file_name();
            if name == self.own_name {
                is_own_found = true;
            } else if is_announcement(&name) {
                others_run |= may_be_running(&entry.path());
            }
        }
        if !is_own_found {
            self.announcement = None;
        }
        self.announce();
        others_run || self.announcement.is_none()
    }

    /// Whether the process with this name may be running.
    pub fn is_running(&self, name: &str) -> bool {
        may_be_running(&self.folder.join(format!("{ANNOUNCEMENT_PREFIX}{name}")))
    }

    /// Announces this process, unless it is announced already.
    fn announce(&mut self) {
        if self.announcement.is_some() {
            return;
        }
        match create_announcement(&self.folder.join(&self.own_name)) {
            Ok(file) => {
                self.announcement = Some(file);
                self.announce_failed = false;
            }
            Err(error) if !self.announce_failed => {
                tracing::info!("this process cannot be announced, will be retried: {error}");
                self.announce_failed = true;
            }
            Err(_) => {}
        }
    }
}

impl Drop for ProcessHandover {
    fn drop(&mut self) {
        fs::remove_file(self.folder.join(&self.own_name)).ok();
    }
}

/// Whether a file name is that of a complete announcement, which its process has locked.
fn is_announcement(name: &OsString) -> bool {
    name.as_encoded_bytes().starts_with(ANNOUNCEMENT_PREFIX.as_bytes())
        && Path::new(name).extension().is_none()
}

/// Creates an announcement. It is locked before it gets its final name, as other processes remove unlocked
/// announcements.
fn create_announcement(path: &Path) -> Result<File, FileError> {
    let temporary = path.with_extension(UNLOCKED_EXTENSION);
    let result = create_locked(&temporary, path);
    result.inspect_err(|_| {
        fs::remove_file(&temporary).ok();
    })
}

/// Creates and locks a file under a temporary name, and renames it.
fn create_locked(temporary: &Path, path: &Path) -> Result<File, FileError> {
    let file_error = |step, source| FileError { step, path: path.to_owned(), source };
    let file =
        retry_interrupted(|| File::create(temporary)).map_err(|error| file_error(FileStep::Open, error))?;
    try_lock(&file).map_err(|error| file_error(FileStep::Lock, io::Error::from(error)))?;
    retry_interrupted(|| fs::rename(temporary, path)).map_err(|error| file_error(FileStep::Rename, error))?;
    Ok(file)
}

/// Whether the process of an announcement may be running. Also true if that cannot be determined. The announcement of a
/// process that has died is removed.
fn may_be_running(path: &Path) -> bool {
    let file = match retry_interrupted(|| File::open(path)) {
        Ok(file) => file,
        Err(error) => return error.kind() != ErrorKind::NotFound,
    };
    match try_lock(&file) {
        Ok(()) => {
            fs::remove_file(path).ok();
            false
        }
        Err(TryLockError::WouldBlock | TryLockError::Error(_)) => true,
    }
}

#[cfg(test)]
mod tests;
