//! Small files that have to survive the process: replaced whole or not at all, and locked against other processes.

use std::fs::{self, File, TryLockError};
use std::io::{self, ErrorKind, Write};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use thiserror::Error;

/// Time between two tries to take a lock.
const LOCK_RETRY: Duration = Duration::from_millis(5);
/// Tries of a call that signals keep interrupting.
const MAX_INTERRUPTIONS: usize = 16;

/// The step of a file operation that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileStep {
    Open,
    Read,
    Write,
    Sync,
    Rename,
    SyncFolder,
    Remove,
    Lock,
}

/// A file operation that failed.
#[derive(Debug, Error)]
#[error("{step:?} of {}: {source}", path.display())]
pub struct FileError {
    pub step: FileStep,
    pub path: PathBuf,
    pub source: io::Error,
}

impl FileError {
    fn at(step: FileStep, path: &Path) -> impl FnOnce(io::Error) -> Self {
        let path = path.to_owned();
        move |source| Self { step, path, source }
    }
}

/// Why a lock could not be taken.
#[derive(Debug, Error)]
pub enum LockError {
    #[error("another process holds the lock")]
    Held,
    #[error(transparent)]
    Failed(#[from] FileError),
}

/// Reads a whole file; `None` if it does not exist.
pub fn read(path: &Path) -> Result<Option<Vec<u8>>, FileError> {
    match retry_interrupted(|| fs::read(path)) {
        Ok(contents) => Ok(Some(contents)),
        Err(error) if error.kind() == ErrorKind::NotFound => Ok(None),
        Err(error) => Err(FileError::at(FileStep::Read, path)(error)),
    }
}

/// Replaces a file through a temporary one beside it, and returns once the new contents would survive. If the last
/// step (`FileStep::SyncFolder`) fails, the new contents are in place all the same; otherwise the old ones are.
pub fn replace(path: &Path, contents: &[u8]) -> Result<(), FileError> {
    let temporary = path.with_extension("new");
    let renamed = write_synced(&temporary, contents).and_then(|()| {
        retry_interrupted(|| fs::rename(&temporary, path)).map_err(FileError::at(FileStep::Rename, path))
    });
    if let Err(error) = renamed {
        fs::remove_file(&temporary).ok(); // what stays is written over by the next try
        return Err(error);
    }
    sync_folder_of(path)
}

/// Removes a file. The removal survives once the folder is synced.
pub fn remove(path: &Path) -> Result<(), FileError> {
    match retry_interrupted(|| fs::remove_file(path)) {
        Err(error) if error.kind() != ErrorKind::NotFound => {
            Err(FileError::at(FileStep::Remove, path)(error))
        }
        Ok(()) | Err(_) => Ok(()),
    }
}

/// Makes renames and removals in the folder of a file survive.
pub fn sync_folder_of(path: &Path) -> Result<(), FileError> {
    let folder = path.parent().unwrap_or(path);
    let synced = retry_interrupted(|| File::open(folder)?.sync_all());
    synced.map_err(FileError::at(FileStep::SyncFolder, folder))
}

/// Locks a file, made if need be, against other processes until the returned file is dropped.
pub fn lock(path: &Path, deadline: Instant) -> Result<File, LockError> {
    let file = retry_interrupted(|| File::create(path)).map_err(FileError::at(FileStep::Open, path))?;
    loop {
        match try_lock(&file) {
            Ok(()) => return Ok(file),
            Err(TryLockError::WouldBlock) if Instant::now() >= deadline => return Err(LockError::Held),
            Err(TryLockError::WouldBlock) => std::thread::sleep(LOCK_RETRY),
            Err(TryLockError::Error(error)) => {
                return Err(FileError::at(FileStep::Lock, path)(error).into());
            }
        }
    }
}

/// Locks an open file without waiting for who holds it.
pub fn try_lock(file: &File) -> Result<(), TryLockError> {
    for _ in 1..MAX_INTERRUPTIONS {
        match file.try_lock() {
            Err(TryLockError::Error(error)) if error.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
    file.try_lock()
}

/// Repeats a call that was interrupted by a signal, a bounded number of times.
pub fn retry_interrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    for _ in 1..MAX_INTERRUPTIONS {
        match call() {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
    call()
}

fn write_synced(path: &Path, contents: &[u8]) -> Result<(), FileError> {
    let mut file = retry_interrupted(|| File::create(path)).map_err(FileError::at(FileStep::Open, path))?;
    file.write_all(contents).map_err(FileError::at(FileStep::Write, path))?;
    file.sync_all().map_err(FileError::at(FileStep::Sync, path))
}
