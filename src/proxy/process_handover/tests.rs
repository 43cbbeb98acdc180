use super::*;

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("balancer-{name}-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    folder
}

/// Guards the limits that two processes share: a process that has died without removing its announcement must not count
/// as running.
#[test]
fn a_process_counts_while_it_holds_its_lock() {
    let folder = folder("present");
    let mut handover = ProcessHandover::new(folder.clone(), "own");
    assert!(!handover.overlaps(), "no other process is announced");
    let other = folder.join(format!("{ANNOUNCEMENT_PREFIX}other"));
    let lock = create_announcement(&other).unwrap();
    assert!(handover.overlaps());
    drop(lock);
    assert!(!handover.overlaps());
    assert!(!other.exists(), "the announcement of the dead process is removed");
    fs::remove_dir_all(folder).unwrap();
}

/// Guards the limits that two processes share: a process that cannot announce itself at the start is invisible to the
/// other one, and must assume that there is one.
#[test]
fn a_process_that_is_not_announced_overlaps_until_it_is() {
    let folder = folder("unannounced");
    fs::remove_dir(&folder).unwrap();
    let mut handover = ProcessHandover::new(folder.clone(), "own");
    assert!(handover.overlaps(), "there is no folder to announce the process in");
    fs::create_dir(&folder).unwrap();
    let obstacle = folder.join(format!("{ANNOUNCEMENT_PREFIX}own"));
    fs::create_dir(&obstacle).unwrap();
    assert!(handover.overlaps(), "a folder stands where the announcement would be");
    assert_eq!(fs::read_dir(&folder).unwrap().count(), 1, "a failed attempt leaves no file behind");
    fs::remove_dir(&obstacle).unwrap();
    assert!(!handover.overlaps());
    assert!(ProcessHandover::new(folder.clone(), "other").overlaps(), "the first process is announced");
    fs::remove_dir_all(folder).unwrap();
}

/// Guards the announcement of a process against removal from the folder by someone else.
#[test]
fn an_announcement_that_is_removed_is_made_again() {
    let folder = folder("removed");
    let mut handover = ProcessHandover::new(folder.clone(), "own");
    fs::remove_file(folder.join(format!("{ANNOUNCEMENT_PREFIX}own"))).unwrap();
    assert!(!handover.overlaps());
    assert!(ProcessHandover::new(folder.clone(), "other").overlaps(), "the first process is announced");
    fs::remove_dir_all(folder).unwrap();
}
