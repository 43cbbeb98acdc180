//! Announces this process to the one that it replaces or that replaces it, so that both know of the overlap.

use super::durable_file::{FileError, FileStep, retry_interrupted, try_lock};
use std::ffi::OsString;
use std::fs::{self, File, TryLockError};
use std::io::{self, ErrorKind};
use std::path::{Path, PathBuf};

/// One for each process, locked as long as that lives.
const PRESENT: &str = "woadstall-process-";
/// The extension of a file that is not locked yet.
const STARTING: &str = "starting";

/// The processes of this balancer that share a folder.
pub struct ProcessHandover {
    folder: PathBuf,
    own: OsString,
    /// Locked as long as this process lives; `None` if it could not be announced yet.
    announced: Option<File>,
    /// A failure to announce has been logged.
    failing: bool,
}

impl ProcessHandover {
    /// Announces this process under a name that no other one has.
    pub fn new(folder: PathBuf, name: &str) -> Self {
        let own = OsString::from(format!("{PRESENT}{name}"));
        let mut handover = Self { folder, own, announced: None, failing: false };
        handover.announce();
        handover
    }

    /// Whether another process of this balancer may live. As long as this process could not be announced, or the
    /// others cannot be looked for, it counts as overlapping. What a dead process left is cleared away.
    pub fn overlaps(&mut self) -> bool {
        let mut others = false;
        let mut own_found = false;
        let Ok(entries) = retry_interrupted(|| fs::read_dir(&self.folder)) else {
            self.announce();
            return true;
        };
        for entry in entries {
            let Ok(entry) = entry else { return true };
            let name = entry.file_name();
            if name == self.own {
                own_found = true;
            } else if is_announcement(&name) {
                others |= may_live(&entry.path());
            }
        }
        if !own_found {
            self.announced = None;
        }
        self.announce();
        others || self.announced.is_none()
    }

    /// Announces this process, unless that holds already.
    fn announce(&mut self) {
        if self.announced.is_some() {
            return;
        }
        match announce(&self.folder.join(&self.own)) {
            Ok(file) => {
                self.announced = Some(file);
                self.failing = false;
            }
            Err(error) if !self.failing => {
                crate::proxy::logging::log(format_args!(
                    "this process cannot be announced, and is tried again: {error}"
                ));
                self.failing = true;
            }
            Err(_) => {}
        }
    }
}

impl Drop for ProcessHandover {
    fn drop(&mut self) {
        fs::remove_file(self.folder.join(&self.own)).ok();
    }
}

fn is_announcement(name: &OsString) -> bool {
    name.as_encoded_bytes().starts_with(PRESENT.as_bytes()) && Path::new(name).extension().is_none()
}

/// Locks a file before it gets its name: another process clears away what it finds unlocked.
fn announce(path: &Path) -> Result<File, FileError> {
    let unnamed = path.with_extension(STARTING);
    let announced = announce_through(&unnamed, path);
    announced.inspect_err(|_| {
        fs::remove_file(&unnamed).ok();
    })
}

fn announce_through(unnamed: &Path, path: &Path) -> Result<File, FileError> {
    let failed = |step, source| FileError { step, path: path.to_owned(), source };
    let file = retry_interrupted(|| File::create(unnamed)).map_err(|error| failed(FileStep::Open, error))?;
    try_lock(&file).map_err(|error| failed(FileStep::Lock, io::Error::from(error)))?;
    retry_interrupted(|| fs::rename(unnamed, path)).map_err(|error| failed(FileStep::Rename, error))?;
    Ok(file)
}

/// Whether the process that announced itself by this file lives, or cannot be told to be dead.
fn may_live(path: &Path) -> bool {
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
