//! The preloaded library on a program of its own.

#[path = "../../tests/common/fault_injector.rs"]
mod fault_injector;

use fault_injector::Faults;
use std::fs;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::os::unix::process::ExitStatusExt;
use std::path::PathBuf;
use std::process::{Command, Output};

const ENOSPC: &str = "error 28";
const EIO: &str = "error 5";
const ENETUNREACH: &str = "error 101";
const SIGKILL: i32 = 9;

fn probe(faults: &Faults, action: &str, subject: &str) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_fault-probe"));
    command.args([action, subject]).envs(faults.environment()).output().unwrap()
}

fn lines(output: &Output) -> Vec<String> {
    assert!(output.status.success(), "{output:?}");
    String::from_utf8_lossy(&output.stdout).lines().map(str::to_owned).collect()
}

/// A path that nothing else uses.
fn path(name: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
    fs::remove_file(&path).ok();
    path
}

/// A listener that sends back what comes, by a thread that lives as long as the test.
fn echo() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let mut buffer = [0; 64];
            while let Ok(got) = stream.read(&mut buffer) {
                if got == 0 || stream.write_all(&buffer[..got]).is_err() {
                    break;
                }
            }
        }
    });
    address
}

#[test]
fn an_empty_plan_changes_nothing() {
    assert_eq!(lines(&probe(&Faults::new(""), "connect", &echo())), vec!["done"; 12]);
}

#[test]
fn so_many_calls_fail_from_one_on() {
    let faults = Faults::new("connect:ENETUNREACH:from=3:count=2");
    let lines = lines(&probe(&faults, "connect", &echo()));
    let failed: Vec<usize> = (0..12).filter(|&at| lines[at] == ENETUNREACH).collect();
    assert_eq!(failed, [2, 3]);
    assert_eq!(faults.injected_count("connect", "ENETUNREACH"), 2);
}

#[test]
fn a_share_depends_on_its_seed_alone() {
    let address = echo();
    let play = |seed: u32| {
        let faults = Faults::new(format!("connect:ENETUNREACH:share=0.5:seed={seed}"));
        let lines = lines(&probe(&faults, "connect", &address));
        let failed = lines.iter().filter(|line| *line == ENETUNREACH).count();
        assert_eq!(faults.injected_count("connect", "ENETUNREACH"), failed);
        lines
    };
    assert_eq!(play(1), play(1));
    let plays: Vec<Vec<String>> = (1..5).map(play).collect();
    assert!(plays.iter().any(|other| *other != plays[0]), "seeds differ");
    let failed = plays.iter().flatten().filter(|line| *line == ENETUNREACH).count();
    assert!((12..=36).contains(&failed), "{failed} of 48 where half were to fail");
}

#[test]
fn a_rule_can_be_held_to_a_port() {
    let (one, other) = (echo(), echo());
    let port = one.rsplit(':').next().unwrap();
    let plan = format!("connect:ENETUNREACH:port={port}");
    assert_eq!(lines(&probe(&Faults::new(&*plan), "connect", &one)), vec![ENETUNREACH; 12]);
    assert_eq!(lines(&probe(&Faults::new(&*plan), "connect", &other)), vec!["done"; 12]);
}

#[test]
fn reads_and_writes_on_sockets_are_short() {
    let faults = Faults::new("write:short=1:on=inet;read:short=2:on=inet");
    let lines = lines(&probe(&faults, "exchange", &echo()));
    for line in &lines {
        let (counts, back) = line.rsplit_once(' ').unwrap();
        let (writes, reads) = counts.split_once(' ').unwrap();
        assert_eq!((writes, back), ("4", "four"));
        assert!(reads.parse::<u32>().unwrap() >= 2, "{line}");
    }
    assert_eq!(faults.injected_count("write", "short=1"), 4 * lines.len());
}

#[test]
fn reads_and_writes_of_a_path_are_short() {
    let path = path("short");
    let faults = Faults::new(format!("write:short=3:path={};read:short=2:path=/", path.display()));
    assert_eq!(lines(&probe(&faults, "append", path.to_str().unwrap())), vec!["3"; 12]);
    assert_eq!(fs::read(&path).unwrap().len(), 36);
    assert_eq!(lines(&probe(&faults, "read", path.to_str().unwrap())), vec!["2"; 12]);
    fs::remove_file(path).unwrap();
}

#[test]
fn files_fail_to_sync_open_and_rename() {
    let path = path("files");
    let file = path.to_str().unwrap();
    let expect = |plan: String, action: &str, error: &str| {
        let lines = lines(&probe(&Faults::new(plan), action, file));
        assert_eq!(lines.iter().filter(|line| *line == error).count(), 1, "{action}: {lines:?}");
    };
    expect(format!("fsync:EIO:count=1:path={file}"), "append", EIO);
    expect(format!("open:ENOSPC:count=1:path={file}"), "append", ENOSPC);
    expect(format!("rename:ENOSPC:count=1:path={file}"), "replace", ENOSPC);
    let elsewhere = Faults::new("open:EIO:path=/nowhere;fsync:EIO:path=/nowhere;rename:EIO:path=/nowhere");
    assert_eq!(lines(&probe(&elsewhere, "append", file)), vec!["4"; 12]);
    assert_eq!(lines(&probe(&elsewhere, "replace", file)), vec!["done"; 12]);
    fs::remove_file(path).unwrap();
}

/// Between the third write and its rename: two files are in place, the third is not.
#[test]
fn the_process_is_killed_in_place_of_a_call() {
    let path = path("killed");
    let faults = Faults::new(format!("rename:kill:from=3:path={}", path.display()));
    let output = probe(&faults, "replace", path.to_str().unwrap());
    assert_eq!(output.status.signal(), Some(SIGKILL));
    assert_eq!(faults.injected_count("rename", "kill"), 1);
    fs::remove_file(format!("{}.new", path.display())).expect("the third file, not in place");
    fs::remove_file(path).unwrap();
}

#[test]
fn a_call_is_made_later() {
    let faults = Faults::new("connect:delay=100:count=2");
    let asked = std::time::Instant::now();
    assert_eq!(lines(&probe(&faults, "connect", &echo())), vec!["done"; 12]);
    assert!(asked.elapsed() >= std::time::Duration::from_millis(200));
}

#[test]
fn a_plan_that_does_not_parse_ends_the_process_with_one_line() {
    let expected = [
        ("dance:EIO", "no such call"),
        ("read", "the fault is missing"),
        ("read:EWHAT", "no such fault"),
        ("read:EIO:when=late", "no such option"),
        ("read:EIO:on=disk", "no such option"),
        ("read:EIO:count=many", "a number is malformed or out of range"),
        ("read:EIO:share=1.5", "a number is malformed or out of range"),
        ("read:short=0", "a number is malformed or out of range"),
        ("connect:short=1", "only reads and writes can be short"),
    ];
    for (rule, reason) in expected {
        let output = probe(&Faults::new(format!("open:EIO:path=/nowhere; {rule}")), "connect", "nowhere");
        assert_eq!(output.status.code(), Some(2), "{rule}");
        let log = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(log, format!("fault-injector: `FAULT_PLAN`: rule {rule:?}: {reason}\n"));
    }
}
