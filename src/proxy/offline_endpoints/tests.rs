use super::*;
use std::fs;

/// A new folder, in memory where possible, as that of the platform is.
fn folder(name: &str) -> PathBuf {
    let memory_folder = Path::new("/dev/shm");
    let parent = if memory_folder.is_dir() { memory_folder.to_owned() } else { std::env::temp_dir() };
    let folder = parent.join(format!("balancer-{name}-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    folder
}

fn open(folder: &Path) -> OfflineEndpoints {
    OfflineEndpoints::new(Some(folder.to_owned()))
}

/// The list that a new process reads.
fn read_in_new_process(folder: &Path) -> OfflineList {
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

fn apply_order(
    endpoints: &mut OfflineEndpoints,
    uid: &str,
    offline: bool,
) -> Result<OfflineList, OrderError> {
    endpoints.apply_order(&order(uid, offline), &OrderClaim::default())
}

/// Takes an endpoint offline, and retries while the other process holds the lock for too long.
fn take_offline(endpoints: &mut OfflineEndpoints, uid: &str) {
    const MAX_ATTEMPTS: usize = 20;
    let is_locked = |result: &Result<_, _>| matches!(result, Err(OrderError::Lock(LockError::Held)));
    let mut results = (0..MAX_ATTEMPTS).map(|_| apply_order(endpoints, uid, true));
    results.find(|result| !is_locked(result)).expect("the lock is acquired in one of the attempts").unwrap();
}

fn encode(list: &OfflineList) -> Vec<u8> {
    serde_json::to_vec(list).unwrap()
}

/// The list after a read that found a change.
fn read_change(endpoints: &mut OfflineEndpoints) -> OfflineList {
    let outcome = endpoints.read();
    assert!(matches!(outcome, ReadOutcome::Changed), "{outcome:?}");
    endpoints.current().clone()
}

/// Guards orders given while one process replaces another: either may get them, and both must apply them.
#[test]
fn both_processes_apply_the_orders_of_either() {
    let folder = folder("both");
    let (mut old, mut new) = (open(&folder), open(&folder));
    assert_eq!(apply_order(&mut old, "s-1", true).unwrap(), list(&["s-1"]));
    assert_eq!(read_change(&mut new), list(&["s-1"]));
    assert!(matches!(new.read(), ReadOutcome::Unchanged), "the change is reported once");
    assert_eq!(apply_order(&mut new, "s-2", true).unwrap(), list(&["s-1", "s-2"]));
    assert_eq!(apply_order(&mut old, "s-1", false).unwrap(), list(&["s-2"]), "s-2 stays offline");
    assert_eq!(read_change(&mut new), list(&["s-2"]));
    fs::remove_dir_all(folder).unwrap();
}

/// Guards orders that two processes get at the same time: neither may overwrite those of the other.
#[test]
fn concurrent_orders_of_two_processes_are_all_stored() {
    const ORDERS: usize = 40;
    let folder = folder("at-once");
    std::thread::scope(|scope| {
        for process in ["a", "b"] {
            let mut endpoints = open(&folder);
            scope.spawn(move || {
                for number in 0..ORDERS {
                    take_offline(&mut endpoints, &format!("{process}-{number}"));
                }
            });
        }
    });
    assert_eq!(read_in_new_process(&folder).len(), 2 * ORDERS);
    fs::remove_dir_all(folder).unwrap();
}

/// Guards against a truncated or damaged list: it must neither prevent a start nor change the list in force.
#[test]
fn a_damaged_list_is_ignored_and_rewritten() {
    let folder = folder("damaged");
    for damaged in [&b"[\"s-1\", "[..], &[0xff, 0xfe], b""] {
        fs::write(folder.join(LIST_FILE), encode(&list(&["s-3"]))).unwrap();
        let mut endpoints = open(&folder);
        assert_eq!(read_change(&mut endpoints), list(&["s-3"]));
        fs::write(folder.join(LIST_FILE), damaged).unwrap();
        assert!(matches!(endpoints.read(), ReadOutcome::Damaged(_)));
        assert!(matches!(endpoints.read(), ReadOutcome::Unchanged), "the damage is reported once");
        assert_eq!(apply_order(&mut endpoints, "s-2", true).unwrap(), list(&["s-2", "s-3"]));
        assert_eq!(read_in_new_process(&folder), list(&["s-2", "s-3"]));
    }
    fs::remove_dir_all(folder).unwrap();
}

/// Guards the orders of the other process while this one cannot read the list: they must not be overwritten with the
/// older list of this process.
#[test]
fn an_unreadable_list_refuses_orders_and_is_read_later() {
    let folder = folder("unreadable");
    let (mut old, mut new) = (open(&folder), open(&folder));
    apply_order(&mut old, "s-1", true).unwrap();
    let moved_list = folder.join("moved-list");
    fs::rename(folder.join(LIST_FILE), &moved_list).unwrap();
    fs::create_dir(folder.join(LIST_FILE)).unwrap();
    assert!(matches!(new.read(), ReadOutcome::Unreadable(_)));
    assert!(matches!(apply_order(&mut new, "s-2", true), Err(OrderError::File(_))));
    assert!(new.current().is_empty(), "a failed order is not in force");
    fs::remove_dir(folder.join(LIST_FILE)).unwrap();
    fs::rename(moved_list, folder.join(LIST_FILE)).unwrap();
    assert_eq!(read_change(&mut new), list(&["s-1"]));
    assert_eq!(apply_order(&mut new, "s-2", true).unwrap(), list(&["s-1", "s-2"]));
    fs::remove_dir_all(folder).unwrap();
}

/// Guards the list for later processes: a list file that is missing or damaged is rewritten from the list in force.
#[test]
fn a_list_that_is_missing_or_damaged_is_repaired() {
    let folder = folder("lost");
    let mut endpoints = open(&folder);
    apply_order(&mut endpoints, "s-1", true).unwrap();
    fs::remove_file(folder.join(LIST_FILE)).unwrap();
    assert!(matches!(endpoints.read(), ReadOutcome::Absent));
    endpoints.repair().unwrap();
    assert_eq!(read_in_new_process(&folder), list(&["s-1"]));
    assert!(matches!(endpoints.read(), ReadOutcome::Unchanged));
    fs::write(folder.join(LIST_FILE), "[").unwrap();
    assert!(matches!(endpoints.read(), ReadOutcome::Damaged(_)));
    endpoints.repair().unwrap();
    assert_eq!(read_in_new_process(&folder), list(&["s-1"]));
    fs::remove_dir_all(folder).unwrap();
}

/// Guards against an order that failed halfway: if the list was replaced, but the order not committed, no process may
/// apply it.
#[test]
fn a_pending_order_is_not_applied() {
    let folder = folder("pending");
    for (before, pending) in [(&["s-1"][..], order("s-2", true)), (&["s-1", "s-2"], order("s-2", false))] {
        let after = pending.applied_to(&list(before));
        for written in [&list(before), &after] {
            fs::write(folder.join(LIST_FILE), encode(written)).unwrap();
            fs::write(folder.join(PENDING_FILE), serde_json::to_vec(&pending).unwrap()).unwrap();
            let mut endpoints = open(&folder);
            assert_eq!(read_change(&mut endpoints), list(before));
            endpoints.repair().unwrap();
            assert!(!folder.join(PENDING_FILE).exists());
            assert_eq!(fs::read(folder.join(LIST_FILE)).unwrap(), encode(&list(before)));
        }
    }
    fs::remove_dir_all(folder).unwrap();
}

/// Guards orders against an earlier one that was left pending: the next order removes it.
#[test]
fn an_order_removes_one_that_is_pending() {
    let folder = folder("clears");
    fs::write(folder.join(LIST_FILE), encode(&list(&["s-1", "s-2"]))).unwrap();
    fs::write(folder.join(PENDING_FILE), serde_json::to_vec(&order("s-2", true)).unwrap()).unwrap();
    let mut endpoints = open(&folder);
    assert_eq!(apply_order(&mut endpoints, "s-3", true).unwrap(), list(&["s-1", "s-3"]));
    assert_eq!(read_in_new_process(&folder), list(&["s-1", "s-3"]));
    fs::remove_dir_all(folder).unwrap();
}

/// Guards an order that its operator saw time out: it must not be applied later.
#[test]
fn an_order_that_timed_out_changes_nothing() {
    let folder = folder("given-up");
    let mut endpoints = open(&folder);
    apply_order(&mut endpoints, "s-1", true).unwrap();
    let claim = OrderClaim::default();
    assert!(claim.claim());
    assert!(matches!(endpoints.apply_order(&order("s-2", true), &claim), Err(OrderError::Expired)));
    assert_eq!(endpoints.current(), &list(&["s-1"]));
    assert_eq!(read_in_new_process(&folder), list(&["s-1"]));
    assert!(!folder.join(PENDING_FILE).exists());
    fs::remove_dir_all(folder).unwrap();
}

/// Guards the second within which an order is answered, while another process holds the lock.
#[test]
fn an_order_waits_for_the_lock_for_a_limited_time() {
    let folder = folder("locked");
    let mut endpoints = open(&folder);
    let lock = durable_file::lock(&folder.join(LOCK_FILE), Instant::now()).unwrap();
    assert!(matches!(apply_order(&mut endpoints, "s-1", true), Err(OrderError::Lock(LockError::Held))));
    drop(lock);
    assert_eq!(apply_order(&mut endpoints, "s-1", true).unwrap(), list(&["s-1"]));
    fs::remove_dir_all(folder).unwrap();
}

/// Guards against an order that cannot be written, as the folder is missing or a folder stands in place of one of its
/// files: it must change nothing.
#[test]
fn an_order_that_cannot_be_written_changes_nothing() {
    let folder = folder("in-the-way");
    let mut endpoints = open(&folder);
    apply_order(&mut endpoints, "s-1", true).unwrap();
    for name in [LOCK_FILE, PENDING_FILE, "woadstall-offline.new"] {
        let path = folder.join(name);
        fs::remove_file(&path).ok();
        fs::create_dir(&path).unwrap();
        apply_order(&mut endpoints, "s-2", true).unwrap_err();
        apply_order(&mut endpoints, "s-1", false).unwrap_err();
        assert_eq!(endpoints.current(), &list(&["s-1"]), "{name}");
        fs::remove_dir(&path).unwrap();
        assert_eq!(read_in_new_process(&folder), list(&["s-1"]), "{name}");
    }
    fs::remove_dir_all(&folder).unwrap();
    apply_order(&mut endpoints, "s-2", true).unwrap_err();
    assert!(matches!(endpoints.read(), ReadOutcome::Absent));
    assert_eq!(endpoints.current(), &list(&["s-1"]), "the list in force stays");
}
