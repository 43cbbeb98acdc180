//! Runs the `fault-probe` program with the preloaded library and checks which of its system calls get a fault.

#[path = "../../tests/common/fault_injector.rs"]
mod fault_injector;

use fault_injector::Faults;
use std::fs;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::os::unix::process::ExitStatusExt;
use std::path::PathBuf;
use std::process::{Command, Output};

// The lines that `fault-probe` prints for calls that fail, with the number of the error.
const ENOSPC: &str = "error 28";
const EIO: &str = "error 5";
const ENETUNREACH: &str = "error 101";
const SIGKILL: i32 = 9;

/// Runs `fault-probe` with faults.
fn run_probe(faults: &Faults, action: &str, target: &str) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_fault-probe"));
    command.args([action, target]).envs(faults.environment()).output().unwrap()
}

/// The lines that a successful run printed.
fn output_lines(output: &Output) -> Vec<String> {
    assert!(output.status.success(), "{output:?}");
    String::from_utf8_lossy(&output.stdout).lines().map(str::to_owned).collect()
}

/// A path that no other test uses, with no file there.
fn temporary_path(name: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
    fs::remove_file(&path).ok();
    path
}

/// Starts a server that sends back what it receives, on a thread that lives as long as the test process. Returns its
/// address.
fn start_echo_server() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let mut buffer = [0; 64];
            while let Ok(bytes_read) = stream.read(&mut buffer) {
                if bytes_read == 0 || stream.write_all(&buffer[..bytes_read]).is_err() {
                    break;
                }
            }
        }
    });
    address
}

#[test]
fn an_empty_plan_changes_nothing() {
    assert_eq!(output_lines(&run_probe(&Faults::new(""), "connect", &start_echo_server())), vec!["done"; 12]);
}

#[test]
fn from_and_count_select_consecutive_calls() {
    let faults = Faults::new("connect:ENETUNREACH:from=3:count=2");
    let lines = output_lines(&run_probe(&faults, "connect", &start_echo_server()));
    let failed: Vec<usize> = (0..12).filter(|&index| lines[index] == ENETUNREACH).collect();
    assert_eq!(failed, [2, 3]);
    assert_eq!(faults.injected_count("connect", "ENETUNREACH"), 2);
}

#[test]
fn a_share_depends_on_its_seed_alone() {
    let address = start_echo_server();
    let run = |seed: u32| {
        let faults = Faults::new(format!("connect:ENETUNREACH:share=0.5:seed={seed}"));
        let lines = output_lines(&run_probe(&faults, "connect", &address));
        let failed = lines.iter().filter(|line| *line == ENETUNREACH).count();
        assert_eq!(faults.injected_count("connect", "ENETUNREACH"), failed);
        lines
    };
    assert_eq!(run(1), run(1));
    let runs: Vec<Vec<String>> = (1..5).map(run).collect();
    assert!(runs.iter().any(|lines| *lines != runs[0]), "seeds 1 to 4 all select the same calls");
    let failed = runs.iter().flatten().filter(|line| *line == ENETUNREACH).count();
    assert!((12..=36).contains(&failed), "{failed} of 48 calls failed, expected about half");
}

#[test]
fn a_rule_can_be_limited_to_a_port() {
    let (targeted, untargeted) = (start_echo_server(), start_echo_server());
    let port = targeted.rsplit(':').next().unwrap();
    let plan = format!("connect:ENETUNREACH:port={port}");
    assert_eq!(output_lines(&run_probe(&Faults::new(&*plan), "connect", &targeted)), vec![ENETUNREACH; 12]);
    assert_eq!(output_lines(&run_probe(&Faults::new(&*plan), "connect", &untargeted)), vec!["done"; 12]);
}

#[test]
fn reads_and_writes_on_sockets_are_short() {
    let faults = Faults::new("write:short=1:on=inet;read:short=2:on=inet");
    let lines = output_lines(&run_probe(&faults, "exchange", &start_echo_server()));
    for line in &lines {
        let (counts, echoed) = line.rsplit_once(' ').unwrap();
        let (writes, reads) = counts.split_once(' ').unwrap();
        assert_eq!((writes, echoed), ("4", "four"));
        assert!(reads.parse::<u32>().unwrap() >= 2, "{line}");
    }
    assert_eq!(faults.injected_count("write", "short=1"), 4 * lines.len());
}

#[test]
fn reads_and_writes_of_a_path_are_short() {
    let path = temporary_path("short");
    let faults = Faults::new(format!("write:short=3:path={};read:short=2:path=/", path.display()));
    assert_eq!(output_lines(&run_probe(&faults, "append", path.to_str().unwrap())), vec!["3"; 12]);
    assert_eq!(fs::read(&path).unwrap().len(), 36);
    assert_eq!(output_lines(&run_probe(&faults, "read", path.to_str().unwrap())), vec!["2"; 12]);
    fs::remove_file(path).unwrap();
}

#[test]
fn files_fail_to_sync_open_and_rename() {
    let path = temporary_path("files");
    let file = path.to_str().unwrap();
    let assert_one_failure = |plan: String, action: &str, error: &str| {
        let lines = output_lines(&run_probe(&Faults::new(plan), action, file));
        assert_eq!(lines.iter().filter(|line| *line == error).count(), 1, "{action}: {lines:?}");
    };
    assert_one_failure(format!("fsync:EIO:count=1:path={file}"), "append", EIO);
    assert_one_failure(format!("open:ENOSPC:count=1:path={file}"), "append", ENOSPC);
    assert_one_failure(format!("rename:ENOSPC:count=1:path={file}"), "replace", ENOSPC);
    let elsewhere = Faults::new("open:EIO:path=/nowhere;fsync:EIO:path=/nowhere;rename:EIO:path=/nowhere");
    assert_eq!(output_lines(&run_probe(&elsewhere, "append", file)), vec!["4"; 12]);
    assert_eq!(output_lines(&run_probe(&elsewhere, "replace", file)), vec!["done"; 12]);
    fs::remove_file(path).unwrap();
}

/// The process dies between the write of the third new file and its rename: two files have been renamed, the third
/// has not.
#[test]
fn the_process_is_killed_in_place_of_a_call() {
    let path = temporary_path("killed");
    let faults = Faults::new(format!("rename:kill:from=3:path={}", path.display()));
    let output = run_probe(&faults, "replace", path.to_str().unwrap());
    assert_eq!(output.status.signal(), Some(SIGKILL));
    assert_eq!(faults.injected_count("rename", "kill"), 1);
    fs::remove_file(format!("{}.new", path.display())).expect("the third new file, not yet renamed");
    fs::remove_file(path).unwrap();
}

#[test]
fn delayed_calls_are_made_after_the_delay() {
    let faults = Faults::new("connect:delay=100:count=2");
    let started = std::time::Instant::now();
    assert_eq!(output_lines(&run_probe(&faults, "connect", &start_echo_server())), vec!["done"; 12]);
    assert!(started.elapsed() >= std::time::Duration::from_millis(200));
}

#[test]
fn a_plan_that_does_not_parse_ends_the_process_with_one_line() {
    let expected = [
        ("dance:EIO", "unknown system call"),
        ("read", "no fault given"),
        ("read:EWHAT", "unknown error name or fault"),
        ("read:EIO:when=late", "unknown option"),
        ("read:EIO:on=disk", "unknown option"),
        ("read:EIO:count=many", "malformed number, or number out of range"),
        ("read:EIO:share=1.5", "malformed number, or number out of range"),
        ("read:short=0", "malformed number, or number out of range"),
        ("connect:short=1", "`short` applies only to reads and writes"),
    ];
    for (rule, reason) in expected {
        let output = run_probe(&Faults::new(format!("open:EIO:path=/nowhere; {rule}")), "connect", "nowhere");
        assert_eq!(output.status.code(), Some(2), "{rule}");
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(stderr, format!("fault-injector: `FAULT_PLAN`: rule {rule:?}: {reason}\n"));
    }
}
