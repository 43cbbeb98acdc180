use super::*;
use std::fs;

fn folder(name: &str) -> PathBuf {
    let in_memory = Path::new("/dev/shm"); // as the platform's folder is
    let parent = if in_memory.is_dir() { in_memory.to_owned() } else { std::env::temp_dir() };
    let folder = parent.join(format!("balancer-{name}-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    folder
}

fn open(folder: &Path) -> OfflineEndpoints {
    OfflineEndpoints::new(Some(folder.to_owned()))
}

/// What a new process reads.
fn read_anew(folder: &Path) -> OfflineList {
    let mut endpoints = open(folder);
    endpoints.read();
    endpoints.current().clone()
}

fn list(uids: &[&str]) -> OfflineList {
    uids.iter().map(|&uid| uid.to_owned()).collect()
}

fn order(uid: &str, offline: bool) -> Order {
    Order { uid: uid.to_owned(), offline }
}

fn change(endpoints: &mut OfflineEndpoints, uid: &str, offline: bool) -> Result<OfflineList, OrderError> {
    endpoints.change(&order(uid, offline), &OrderClaim::default())
}

/// Takes an endpoint out, and asks again where the other process had the lock for too long.
fn keep(endpoints: &mut OfflineEndpoints, uid: &str) {
    const TRIES: usize = 20;
    let held = |result: &Result<_, _>| matches!(result, Err(OrderError::Lock(LockError::Held)));
    let mut results = (0..TRIES).map(|_| change(endpoints, uid, true));
    results.find(|result| !held(result)).expect("the lock in the end").unwrap();
}

fn text_of(list: &OfflineList) -> Vec<u8> {
    serde_json::to_vec(list).unwrap()
}

/// What is followed after the files have changed.
fn changed(endpoints: &mut OfflineEndpoints) -> OfflineList {
    let reading = endpoints.read();
    assert!(matches!(reading, Reading::Changed), "{reading:?}");
    endpoints.current().clone()
}

/// Guards orders over a replacement: either process may be asked, and both must follow.
#[test]
fn both_follow_what_either_is_told() {
    let folder = folder("both");
    let (mut old, mut new) = (open(&folder), open(&folder));
    assert_eq!(change(&mut old, "s-1", true).unwrap(), list(&["s-1"]));
    assert_eq!(changed(&mut new), list(&["s-1"]));
    assert!(matches!(new.read(), Reading::Unchanged), "it is told once");
    assert_eq!(change(&mut new, "s-2", true).unwrap(), list(&["s-1", "s-2"]));
    assert_eq!(change(&mut old, "s-1", false).unwrap(), list(&["s-2"]), "s-2 is not forgotten");
    assert_eq!(changed(&mut new), list(&["s-2"]));
    fs::remove_dir_all(folder).unwrap();
}

/// Guards orders against two processes that are asked in the same moments.
#[test]
fn orders_of_two_processes_at_once_are_all_kept() {
    const ORDERS: usize = 40;
    let folder = folder("at-once");
    std::thread::scope(|scope| {
        for process in ["a", "b"] {
            let mut endpoints = open(&folder);
            scope.spawn(move || {
                for number in 0..ORDERS {
                    keep(&mut endpoints, &format!("{process}-{number}"));
                }
            });
        }
    });
    assert_eq!(read_anew(&folder).len(), 2 * ORDERS);
    fs::remove_dir_all(folder).unwrap();
}

/// Guards a start: a file that was cut short must not keep a balancer from serving, nor undo what holds.
#[test]
fn a_damaged_list_is_passed_over_and_written_anew() {
    let folder = folder("damaged");
    for damaged in [&b"[\"s-1\", "[..], &[0xff, 0xfe], b""] {
        fs::write(folder.join(LIST), text_of(&list(&["s-3"]))).unwrap();
        let mut endpoints = open(&folder);
        assert_eq!(changed(&mut endpoints), list(&["s-3"]));
        fs::write(folder.join(LIST), damaged).unwrap();
        assert!(matches!(endpoints.read(), Reading::Damaged(_)));
        assert!(matches!(endpoints.read(), Reading::Unchanged), "it is told once");
        assert_eq!(change(&mut endpoints, "s-2", true).unwrap(), list(&["s-2", "s-3"]));
        assert_eq!(read_anew(&folder), list(&["s-2", "s-3"]));
    }
    fs::remove_dir_all(folder).unwrap();
}

/// Guards the other process's orders against a file that cannot be read for a while: what this one knows must not be
/// written over them.
#[test]
fn an_unreadable_list_refuses_orders_and_is_read_later() {
    let folder = folder("unreadable");
    let (mut old, mut new) = (open(&folder), open(&folder));
    change(&mut old, "s-1", true).unwrap();
    let aside = folder.join("aside");
    fs::rename(folder.join(LIST), &aside).unwrap();
    fs::create_dir(folder.join(LIST)).unwrap();
    assert!(matches!(new.read(), Reading::Unreadable(_)));
    assert!(matches!(change(&mut new, "s-2", true), Err(OrderError::File(_))));
    assert!(new.current().is_empty(), "a no is not in force");
    fs::remove_dir(folder.join(LIST)).unwrap();
    fs::rename(aside, folder.join(LIST)).unwrap();
    assert_eq!(changed(&mut new), list(&["s-1"]));
    assert_eq!(change(&mut new, "s-2", true).unwrap(), list(&["s-1", "s-2"]));
    fs::remove_dir_all(folder).unwrap();
}

/// Guards the next process: what holds is written again where the file is lost or damaged.
#[test]
fn a_list_that_is_lost_or_damaged_is_repaired() {
    let folder = folder("lost");
    let mut endpoints = open(&folder);
    change(&mut endpoints, "s-1", true).unwrap();
    fs::remove_file(folder.join(LIST)).unwrap();
    assert!(matches!(endpoints.read(), Reading::Absent));
    endpoints.repair().unwrap();
    assert_eq!(read_anew(&folder), list(&["s-1"]));
    assert!(matches!(endpoints.read(), Reading::Unchanged));
    fs::write(folder.join(LIST), "[").unwrap();
    assert!(matches!(endpoints.read(), Reading::Damaged(_)));
    endpoints.repair().unwrap();
    assert_eq!(read_anew(&folder), list(&["s-1"]));
    fs::remove_dir_all(folder).unwrap();
}

/// Guards the no: an order whose list was replaced, but not committed, holds for nobody.
#[test]
fn an_order_that_is_still_pending_is_not_followed() {
    let folder = folder("pending");
    for (before, pending) in [(&["s-1"][..], order("s-2", true)), (&["s-1", "s-2"], order("s-2", false))] {
        let after = pending.applied_to(&list(before));
        for written in [&list(before), &after] {
            fs::write(folder.join(LIST), text_of(written)).unwrap();
            fs::write(folder.join(PENDING), serde_json::to_vec(&pending).unwrap()).unwrap();
            let mut endpoints = open(&folder);
            assert_eq!(changed(&mut endpoints), list(before));
            endpoints.repair().unwrap();
            assert!(!folder.join(PENDING).exists());
            assert_eq!(fs::read(folder.join(LIST)).unwrap(), text_of(&list(before)));
        }
    }
    fs::remove_dir_all(folder).unwrap();
}

/// Guards other orders against one that is stuck: the next one clears it away.
#[test]
fn an_order_clears_away_one_that_is_pending() {
    let folder = folder("clears");
    fs::write(folder.join(LIST), text_of(&list(&["s-1", "s-2"]))).unwrap();
    fs::write(folder.join(PENDING), serde_json::to_vec(&order("s-2", true)).unwrap()).unwrap();
    let mut endpoints = open(&folder);
    assert_eq!(change(&mut endpoints, "s-3", true).unwrap(), list(&["s-1", "s-3"]));
    assert_eq!(read_anew(&folder), list(&["s-1", "s-3"]));
    fs::remove_dir_all(folder).unwrap();
}

/// Guards the no that an operator got for waiting too long.
#[test]
fn an_order_that_was_given_up_changes_nothing() {
    let folder = folder("given-up");
    let mut endpoints = open(&folder);
    change(&mut endpoints, "s-1", true).unwrap();
    let claim = OrderClaim::default();
    assert!(claim.claim());
    assert!(matches!(endpoints.change(&order("s-2", true), &claim), Err(OrderError::Expired)));
    assert_eq!(endpoints.current(), &list(&["s-1"]));
    assert_eq!(read_anew(&folder), list(&["s-1"]));
    assert!(!folder.join(PENDING).exists());
    fs::remove_dir_all(folder).unwrap();
}

/// Guards the second within which an order is answered, against a process that holds the lock.
#[test]
fn an_order_does_not_wait_for_ever_for_the_lock() {
    let folder = folder("locked");
    let mut endpoints = open(&folder);
    let held = durable_file::lock(&folder.join(LOCK), Instant::now()).unwrap();
    assert!(matches!(change(&mut endpoints, "s-1", true), Err(OrderError::Lock(LockError::Held))));
    drop(held);
    assert_eq!(change(&mut endpoints, "s-1", true).unwrap(), list(&["s-1"]));
    fs::remove_dir_all(folder).unwrap();
}

/// Guards the no where a folder is missing, or something lies in the way of one step after the other.
#[test]
fn an_order_that_cannot_be_written_changes_nothing() {
    let folder = folder("in-the-way");
    let mut endpoints = open(&folder);
    change(&mut endpoints, "s-1", true).unwrap();
    for name in [LOCK, PENDING, "woadstall-offline.new"] {
        let path = folder.join(name);
        fs::remove_file(&path).ok();
        fs::create_dir(&path).unwrap();
        change(&mut endpoints, "s-2", true).unwrap_err();
        change(&mut endpoints, "s-1", false).unwrap_err();
        assert_eq!(endpoints.current(), &list(&["s-1"]), "{name}");
        fs::remove_dir(&path).unwrap();
        assert_eq!(read_anew(&folder), list(&["s-1"]), "{name}");
    }
    fs::remove_dir_all(&folder).unwrap();
    change(&mut endpoints, "s-2", true).unwrap_err();
    assert!(matches!(endpoints.read(), Reading::Absent));
    assert_eq!(endpoints.current(), &list(&["s-1"]), "what holds goes on");
}
