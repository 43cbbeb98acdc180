//! The table of request ids that the processes of a balancer share while one replaces the other.
//!
//! Each process owns one file of a fixed set, which it locks. It writes its own ids there, and looks for them in the files of
//! the others: it writes first, so that of two processes that claim the same id at once, at least one sees the other. The
//! file of a process that has died keeps its ids, until another process takes it over and needs their place.

use super::id_hash::IdHash;
use crate::config::REQUEST_ID_DESCRIPTORS;
use crate::proxy::sync::lock;
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;
use std::sync::Mutex;

/// Number of buckets in a file. An id belongs to one of them.
const BUCKET_COUNT: u64 = 4096;
/// Number of ids in a bucket.
const BUCKET_SLOTS: usize = 8;
/// Size of an id in a file, in bytes.
const SLOT_SIZE: usize = size_of::<u64>();
/// Size of a bucket, in bytes.
const BUCKET_SIZE: usize = BUCKET_SLOTS * SLOT_SIZE;
/// What a slot without an id contains.
const FREE_SLOT: u64 = 0;

/// The files of all processes, one of which belongs to this one.
pub struct SharedTable {
    own: OwnFile,
    others: Vec<File>,
}

/// The file of this process, which stays locked until the process ends.
struct OwnFile {
    file: File,
    /// The slot that is overwritten next in a full bucket.
    next_overwritten: Mutex<usize>,
}

/// The ids of a bucket.
type Bucket = [u64; BUCKET_SLOTS];

impl SharedTable {
    /// Opens the files in a folder, for two processes and for one that has just died, and locks one of them for this process.
    pub fn open(folder: &Path) -> io::Result<Self> {
        let mut own = None;
        let mut others = Vec::new();
        for number in 0..REQUEST_ID_DESCRIPTORS {
            let file = open_file(&folder.join(format!("request-ids-{number}")))?;
            match &own {
                None if file.try_lock().is_ok() => own = Some(file),
                _ => others.push(file),
            }
        }
        let file = own.ok_or_else(|| io::Error::other("all files of request ids are locked"))?;
        Ok(Self { own: OwnFile { file, next_overwritten: Mutex::new(0) }, others })
    }

    /// Records an id of this process. Returns whether no other process knows it. A file that cannot be read or written
    /// hinders no request.
    pub fn claim(&self, id: IdHash) -> bool {
        if let Err(error) = self.own.insert(id) {
            tracing::info!(%error, "a request id cannot be shared with the other process");
        }
        let is_known = self.others.iter().any(|file| match read_bucket(file, id) {
            Ok(bucket) => bucket.contains(&id.0),
            Err(error) => {
                tracing::info!(%error, "the request ids of the other process cannot be read");
                false
            }
        });
        !is_known
    }

    /// Removes an id of this process: its request was never sent.
    pub fn release(&self, id: IdHash) {
        if let Err(error) = self.own.remove(id) {
            tracing::info!(%error, "a request id cannot be removed from the shared ones");
        }
    }
}

impl OwnFile {
    fn insert(&self, id: IdHash) -> io::Result<()> {
        let bucket = read_bucket(&self.file, id)?;
        let slot = bucket.iter().position(|slot| *slot == id.0 || *slot == FREE_SLOT);
        write_slot(&self.file, id, slot.unwrap_or_else(|| self.overwritten_slot()), id.0)
    }

    /// The slot to overwrite in a full bucket.
    fn overwritten_slot(&self) -> usize {
        let mut next = lock(&self.next_overwritten);
        *next = (*next + 1) % BUCKET_SLOTS;
        *next
    }

    fn remove(&self, id: IdHash) -> io::Result<()> {
        let bucket = read_bucket(&self.file, id)?;
        match bucket.iter().position(|slot| *slot == id.0) {
            Some(slot) => write_slot(&self.file, id, slot, FREE_SLOT),
            None => Ok(()),
        }
    }
}

/// Opens a file of ids, and creates it if there is none. Only the parts that are written take space.
fn open_file(path: &Path) -> io::Result<File> {
    let file = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path)?;
    file.set_len(BUCKET_COUNT * BUCKET_SIZE as u64)?;
    Ok(file)
}

/// Where the bucket of an id begins.
fn bucket_offset(id: IdHash) -> u64 {
    id.0 % BUCKET_COUNT * BUCKET_SIZE as u64
}

fn read_bucket(file: &File, id: IdHash) -> io::Result<Bucket> {
    let mut bytes = [0; BUCKET_SIZE];
    file.read_exact_at(&mut bytes, bucket_offset(id))?;
    let mut bucket = [FREE_SLOT; BUCKET_SLOTS];
    for (slot, bytes) in bucket.iter_mut().zip(bytes.as_chunks::<SLOT_SIZE>().0) {
        *slot = u64::from_le_bytes(*bytes);
    }
    Ok(bucket)
}

fn write_slot(file: &File, id: IdHash, slot: usize, value: u64) -> io::Result<()> {
    file.write_all_at(&value.to_le_bytes(), bucket_offset(id) + (slot * SLOT_SIZE) as u64)
}
