//! Tests of the known request ids.

use super::*;

/// A memory limit with room for two finished ids.
const MEMORY: usize = 2 * MEMORY_SHARE_DIVISOR * FINISHED_ID_BYTES;

#[test]
fn an_id_is_claimed_once_while_its_request_is_open() {
    let ids = RequestIds::new(MEMORY, None);
    let guard = ids.claim("a").expect("free");
    assert!(ids.claim("a").is_none() && ids.claim("b").is_some());
    drop(guard);
    assert!(ids.claim("a").is_some(), "its request was never sent");
}

#[test]
fn the_latest_ids_that_may_have_run_stay_known() {
    let ids = RequestIds::new(MEMORY, None);
    for id in ["a", "b", "c"] {
        ids.claim(id).expect("free").mark_may_have_run();
    }
    assert!(ids.claim("b").is_none() && ids.claim("c").is_none());
    assert!(ids.claim("a").is_some(), "memory is bounded");
}

#[test]
fn an_id_of_one_process_is_known_to_the_other_and_outlives_it() {
    let folder = std::env::temp_dir().join(format!("request-ids-test-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let process = || RequestIds::new(MEMORY, Some(SharedTable::open(&folder).unwrap()));
    let (old, new) = (process(), process());
    let open = old.claim("open").expect("free");
    old.claim("run").expect("free").mark_may_have_run();
    drop(old.claim("refused"));
    assert!(new.claim("open").is_none() && new.claim("run").is_none());
    drop(open);
    for id in ["open", "refused"] {
        assert!(new.claim(id).is_some(), "{id}: never sent");
    }
    drop(old);
    assert!(new.claim("run").is_none(), "the process may have been killed");
    std::fs::remove_dir_all(&folder).ok();
}
