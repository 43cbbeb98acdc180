use super::*;

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("balancer-{name}-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    folder
}

/// Guards the limits that two processes share, and a process against one that died without a word.
#[test]
fn a_process_counts_while_it_holds_its_lock() {
    let folder = folder("present");
    let mut handover = ProcessHandover::new(folder.clone(), "own");
    assert!(!handover.overlaps(), "nobody but itself");
    let other = folder.join(format!("{PRESENT}other"));
    let held = announce(&other).unwrap();
    assert!(handover.overlaps());
    drop(held);
    assert!(!handover.overlaps());
    assert!(!other.exists(), "what the dead one left is cleared away");
    fs::remove_dir_all(folder).unwrap();
}

/// Guards the limits that two processes share where the folder fails at the start: the other process cannot know.
#[test]
fn a_process_that_is_not_announced_overlaps_until_it_is() {
    let folder = folder("unannounced");
    fs::remove_dir(&folder).unwrap();
    let mut handover = ProcessHandover::new(folder.clone(), "own");
    assert!(handover.overlaps(), "no folder");
    fs::create_dir(&folder).unwrap();
    let in_the_way = folder.join(format!("{PRESENT}own"));
    fs::create_dir(&in_the_way).unwrap();
    assert!(handover.overlaps(), "its name is taken");
    assert_eq!(fs::read_dir(&folder).unwrap().count(), 1, "no attempt leaves a file behind");
    fs::remove_dir(&in_the_way).unwrap();
    assert!(!handover.overlaps());
    assert!(ProcessHandover::new(folder.clone(), "other").overlaps(), "it is announced");
    fs::remove_dir_all(folder).unwrap();
}

/// Guards an announcement against whoever clears the folder.
#[test]
fn an_announcement_that_is_removed_is_made_again() {
    let folder = folder("removed");
    let mut handover = ProcessHandover::new(folder.clone(), "own");
    fs::remove_file(folder.join(format!("{PRESENT}own"))).unwrap();
    assert!(!handover.overlaps());
    assert!(ProcessHandover::new(folder.clone(), "other").overlaps(), "it is announced");
    fs::remove_dir_all(folder).unwrap();
}
