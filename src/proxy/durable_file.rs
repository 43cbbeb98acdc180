//! Small files that outlive the process: replaced atomically, and locked against other processes.

use std::fs::{self, File, TryLockError};
use std::io::{self, ErrorKind, Write};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use thiserror::Error;

/// Pause between two tries to acquire a lock.
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum number of tries of a system call that signals keep interrupting.
const MAX_INTERRUPTED_TRIES: usize = 16;

/// A step of a file operation, as named in error messages.
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
    /// Returns a function that adds the step and the path to an I/O error.
    fn from_io(step: FileStep, path: &Path) -> impl FnOnce(io::Error) -> Self {
        let path = path.to_owned();
        move |source| Self { step, path, source }
    }
}

/// Why a lock could not be acquired.
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
        Err(error) => Err(FileError::from_io(FileStep::Read, path)(error)),
    }
}

/// Replaces a file by renaming a temporary one, and returns once the new contents are on disk. If the last step
/// (`FileStep::SyncFolder`) fails, the new contents are visible, but may not survive a crash of the machine; if any
/// other step fails, the old contents remain.
pub fn replace(path: &Path, contents: &[u8]) -> Result<(), FileError> {
    let temporary = path.with_extension("new");
    let rename_result = write_synced(&temporary, contents).and_then(|()| {
        retry_interrupted(|| fs::rename(&temporary, path)).map_err(FileError::from_io(FileStep::Rename, path))
    });
    if let Err(error) = rename_result {
        fs::remove_file(&temporary).ok(); // a file that remains is overwritten by the next call
        return Err(error);
    }
    sync_folder_of(path)
}

/// Removes a file, if it exists. The removal is durable only once the folder is synced.
pub fn remove(path: &Path) -> Result<(), FileError> {
    match retry_interrupted(|| fs::remove_file(path)) {
        Err(error) if error.kind() != ErrorKind::NotFound => {
            Err(FileError::from_io(FileStep::Remove, path)(error))
        }
        Ok(()) | Err(_) => Ok(()),
    }
}

/// Syncs the folder that contains a file, so that renames and removals in the folder are durable.
pub fn sync_folder_of(path: &Path) -> Result<(), FileError> {
    let folder = path.parent().unwrap_or(path);
    let sync_result = retry_interrupted(|| File::open(folder)?.sync_all());
    sync_result.map_err(FileError::from_io(FileStep::SyncFolder, folder))
}

/// Locks a file against other processes, and creates it first if it does not exist. Waits for the lock until the
/// deadline. The lock is released when the returned file is dropped.
pub fn lock(path: &Path, deadline: Instant) -> Result<File, LockError> {
    let file = retry_interrupted(|| File::create(path)).map_err(FileError::from_io(FileStep::Open, path))?;
    loop {
        match try_lock(&file) {
            Ok(()) => return Ok(file),
            Err(TryLockError::WouldBlock) if Instant::now() >= deadline => return Err(LockError::Held),
            Err(TryLockError::WouldBlock) => std::thread::sleep(LOCK_RETRY_INTERVAL),
            Err(TryLockError::Error(error)) => {
                return Err(FileError::from_io(FileStep::Lock, path)(error).into());
            }
        }
    }
}

/// Locks an open file, without waiting if another process holds the lock.
pub fn try_lock(file: &File) -> Result<(), TryLockError> {
    for _ in 1..MAX_INTERRUPTED_TRIES {
        match file.try_lock() {
            Err(TryLockError::Error(error)) if error.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
    file.try_lock()
}

/// Repeats a system call that signals interrupt, up to `MAX_INTERRUPTED_TRIES` times.
pub fn retry_interrupted<T>(mut operation: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    for _ in 1..MAX_INTERRUPTED_TRIES {
        match operation() {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
    operation()
}

/// Writes a file and syncs it to disk.
fn write_synced(path: &Path, contents: &[u8]) -> Result<(), FileError> {
    let mut file =
        retry_interrupted(|| File::create(path)).map_err(FileError::from_io(FileStep::Open, path))?;
    file.write_all(contents).map_err(FileError::from_io(FileStep::Write, path))?;
    file.sync_all().map_err(FileError::from_io(FileStep::Sync, path))
}
