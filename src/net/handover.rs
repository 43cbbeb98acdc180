//! What two processes share while one replaces the other: the list of upstreams taken out by hand, and that both
//! are there. It lies in `$TMPDIR`, which the platform leaves as it is from one process to the next.

use std::collections::BTreeSet;
use std::fs::{self, File, TryLockError};
use std::io::{self, ErrorKind};
use std::path::{Path, PathBuf};

const BANS: &str = "woadstall-offline.json";
const NEW_BANS: &str = "woadstall-offline.new";
const LOCK: &str = "woadstall-offline.lock";
/// One for each process, locked as long as that lives.
const PRESENT: &str = "woadstall-process-";

/// The uids of the upstreams that are taken out.
pub type Bans = BTreeSet<String>;

/// The shared folder, if there is one.
pub struct Shared {
    folder: Option<PathBuf>,
    /// The text of the list when it was read last.
    text: Option<String>,
    /// Says that this process lives; closing it unlocks it.
    _present: Option<File>,
    own: PathBuf,
}

impl Shared {
    /// Shares through a folder, under a name that no other process has; without a folder, orders hold for this
    /// process only.
    pub fn new(folder: Option<PathBuf>, name: &str) -> Self {
        let own = PathBuf::from(format!("{PRESENT}{name}"));
        let present = folder.as_deref().map(|folder| announce(&folder.join(&own)));
        let present = present.and_then(|present| {
            present.map_err(|error| super::log(format_args!("cannot announce this process: {error}"))).ok()
        });
        Self { folder, text: None, _present: present, own }
    }

    /// The list, if it has changed since it was read last. A damaged one is logged, and leaves what holds.
    pub fn changed(&mut self) -> Option<Bans> {
        let path = self.folder.as_deref()?.join(BANS);
        let text = match fs::read_to_string(path) {
            Ok(text) => Some(text),
            Err(error) if error.kind() == ErrorKind::NotFound => None,
            Err(error) => {
                super::log(format_args!("the list of upstreams taken out cannot be read: {error}"));
                return None;
            }
        };
        if text == self.text {
            return None;
        }
        self.text = text;
        match serde_json::from_str(self.text.as_deref()?) {
            Ok(bans) => Some(bans),
            Err(error) => {
                super::log(format_args!(
                    "the list of upstreams taken out is damaged, and not followed: {error}"
                ));
                None
            }
        }
    }

    /// Changes the list for both processes. `known` is what holds here, should the file be damaged.
    pub fn change(&mut self, uid: &str, offline: bool, known: &Bans) -> io::Result<Bans> {
        let Some(folder) = self.folder.clone() else { return Ok(changed(known, uid, offline)) };
        let lock = File::create(folder.join(LOCK))?;
        lock.lock()?; // held for a moment only, by the other process's change
        let now = self.changed().unwrap_or_else(|| known.clone());
        let bans = changed(&now, uid, offline);
        let text = serde_json::to_string(&bans)?;
        fs::write(folder.join(NEW_BANS), &text)?;
        fs::rename(folder.join(NEW_BANS), folder.join(BANS))?;
        self.text = Some(text);
        Ok(bans)
    }

    /// Whether another process of this balancer lives. What a dead one left is cleared away.
    pub fn overlaps(&self) -> bool {
        let Some(folder) = &self.folder else { return false };
        let entries = fs::read_dir(folder).into_iter().flatten().flatten();
        let others = entries.filter(|entry| {
            let name = entry.file_name();
            let announced = name.as_encoded_bytes().starts_with(PRESENT.as_bytes());
            announced && Path::new(&name) != self.own && Path::new(&name).extension().is_none()
        });
        others.filter(|entry| is_locked(&entry.path())).count() > 0
    }
}

impl Drop for Shared {
    fn drop(&mut self) {
        if let Some(folder) = &self.folder {
            fs::remove_file(folder.join(&self.own)).ok();
        }
    }
}

fn changed(bans: &Bans, uid: &str, offline: bool) -> Bans {
    let mut bans = bans.clone();
    match offline {
        true => bans.insert(uid.to_owned()),
        false => bans.remove(uid),
    };
    bans
}

/// Locked before it has its name: another process clears away what it finds unlocked.
fn announce(path: &Path) -> io::Result<File> {
    let unnamed = path.with_extension("starting");
    let file = File::create(&unnamed)?;
    file.try_lock()?;
    fs::rename(unnamed, path)?;
    Ok(file)
}

fn is_locked(path: &Path) -> bool {
    let Ok(file) = File::open(path) else { return false };
    match file.try_lock() {
        Ok(()) => {
            fs::remove_file(path).ok();
            false
        }
        Err(TryLockError::WouldBlock) => true,
        Err(TryLockError::Error(_)) => false,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn folder(name: &str) -> PathBuf {
        let folder = std::env::temp_dir().join(format!("woadstall-{name}-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        folder
    }

    fn open(folder: &Path, name: &str) -> Shared {
        Shared::new(Some(folder.to_owned()), name)
    }

    /// Guards orders over a replacement: either process may be asked, and both must follow.
    #[test]
    fn both_follow_what_either_is_told() {
        let folder = folder("both");
        let (mut old, mut new) = (open(&folder, "old"), open(&folder, "new"));
        let one: Bans = ["s-1".to_owned()].into();
        assert_eq!(old.change("s-1", true, &Bans::new()).unwrap(), one);
        assert_eq!(new.changed(), Some(one.clone()));
        assert_eq!(new.changed(), None, "it is told once");
        let two = new.change("s-2", true, &one).unwrap();
        assert_eq!(two.len(), 2);
        assert_eq!(
            old.change("s-1", false, &one).unwrap(),
            ["s-2".to_owned()].into(),
            "s-2 is not forgotten"
        );
        assert_eq!(new.changed(), Some(["s-2".to_owned()].into()));
        fs::remove_dir_all(folder).unwrap();
    }

    /// Guards a start: a file that was cut short must not keep a balancer from serving, nor undo what holds.
    #[test]
    fn a_damaged_list_is_passed_over_and_written_anew() {
        let folder = folder("damaged");
        fs::write(folder.join(BANS), "[\"s-1\", ").unwrap();
        let mut shared = open(&folder, "own");
        assert_eq!(shared.changed(), None);
        let known: Bans = ["s-3".to_owned()].into();
        assert_eq!(shared.change("s-2", true, &known).unwrap().len(), 2);
        assert_eq!(open(&folder, "new").changed().unwrap().len(), 2);
        fs::remove_dir_all(folder).unwrap();
    }

    /// Guards the limits that two processes share, and a process against one that died without a word.
    #[test]
    fn a_process_counts_while_it_holds_its_lock() {
        let folder = folder("present");
        let shared = open(&folder, "own");
        assert!(!shared.overlaps(), "nobody but itself");
        let other = folder.join(format!("{PRESENT}other"));
        let held = announce(&other).unwrap();
        assert!(shared.overlaps());
        drop(held);
        assert!(!shared.overlaps());
        assert!(!other.exists(), "what the dead one left is cleared away");
        fs::remove_dir_all(folder).unwrap();
    }
}
