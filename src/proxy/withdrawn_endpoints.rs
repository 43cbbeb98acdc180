//! The endpoints that get no new requests, as one process tells the process that replaces it. A process that starts while
//! discovery is down knows only its configured list, which may be older than what the earlier process was told.

use super::durable_file::{self, FileError};
use super::process_handover::ProcessHandover;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Prefix of the names of the files, one for each process.
const FILE_PREFIX: &str = "withdrawn-endpoints-";

/// The endpoints that a process knows to be draining or removed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WithdrawnEndpoints {
    /// The address of the discovery service that listed them. Revisions of two services cannot be compared.
    pub discovery: SocketAddr,
    /// The revision of the list.
    pub revision: u64,
    /// The uids of the endpoints.
    pub uids: BTreeSet<String>,
}

/// The file in which this process tells others, in the folder that they share.
pub struct WithdrawnEndpointsFile {
    folder: PathBuf,
    own_path: PathBuf,
    /// What the file contains; `None` if there is none.
    written: Option<WithdrawnEndpoints>,
}

impl WithdrawnEndpointsFile {
    /// The file of the process with this name, which is not written yet.
    pub fn new(folder: PathBuf, process_name: &str) -> Self {
        let own_path = folder.join(format!("{FILE_PREFIX}{process_name}"));
        Self { folder, own_path, written: None }
    }

    /// Writes the file, or removes it if there is nothing to tell.
    pub fn store(&mut self, withdrawn: Option<&WithdrawnEndpoints>) -> Result<(), FileError> {
        if self.written.as_ref() == withdrawn {
            return Ok(());
        }
        match withdrawn {
            Some(withdrawn) => {
                let contents = serde_json::to_vec(withdrawn).expect("addresses and texts have a JSON form");
                durable_file::replace(&self.own_path, &contents)?;
            }
            None => durable_file::remove(&self.own_path)?,
        }
        self.written = withdrawn.cloned();
        Ok(())
    }

    /// Reads what other processes that are running have written. The files of other processes are removed. A file that
    /// cannot be read is passed over; it is read again at the next call.
    pub fn read_others(&self, handover: &ProcessHandover) -> Vec<WithdrawnEndpoints> {
        let Ok(entries) = fs::read_dir(&self.folder) else { return Vec::new() };
        entries
            .flatten()
            .filter_map(|entry| {
                let name = entry.file_name();
                let process_name = name.to_str()?.strip_prefix(FILE_PREFIX)?;
                let is_other = entry.path() != self.own_path && Path::new(&name).extension().is_none();
                if !is_other {
                    return None;
                }
                if !handover.is_running(process_name) {
                    fs::remove_file(entry.path()).ok();
                    return None;
                }
                serde_json::from_slice(&durable_file::read(&entry.path()).ok()??).ok()
            })
            .collect()
    }
}

impl Drop for WithdrawnEndpointsFile {
    fn drop(&mut self) {
        if self.written.is_some() {
            fs::remove_file(&self.own_path).ok();
        }
    }
}
