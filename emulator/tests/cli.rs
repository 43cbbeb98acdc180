//! The command line: what is refused, what the exit status says, and what an interrupted sweep keeps.

use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::time::Duration;
use tempfile::TempDir;

fn scale(folder: &Path, arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_fleet-emulator"));
    command.current_dir(folder).args(arguments).env_remove("RUST_LOG").stdin(Stdio::null());
    command
}

fn output(folder: &Path, arguments: &[&str]) -> Output {
    scale(folder, arguments).output().expect("the program starts")
}

/// A folder with a scenario of this text.
fn scenario(text: &str) -> TempDir {
    let folder = TempDir::new().unwrap();
    std::fs::write(folder.path().join("s.toml"), text).unwrap();
    folder
}

/// The line that bad input gets: one, on standard error, with status 2 and nothing on standard output.
fn refused(text: &str, arguments: &[&str]) -> String {
    let folder = scenario(text);
    let output = output(folder.path(), arguments);
    let line = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2), "{line}");
    assert_eq!(line.lines().count(), 1, "{line}");
    assert!(output.stdout.is_empty());
    line
}

/// Asserts that a line has each of these parts.
fn has(line: &str, parts: &[&str]) {
    for part in parts {
        assert!(line.contains(part), "no {part:?} in {line:?}");
    }
}

const RUN: [&str; 2] = ["run", "s.toml"];
const REAL: &str = "name = \"n\"\nmode = \"real\"\n[real]\n";
/// A small fleet on virtual time.
const HOLLOW: &str = "name = \"n\"\nmode = \"hollow\"\n[hollow]\nbalancers = 12\nservices = 3\ndepth = 3\nzones = 2\n\
    regions = 1\nfronts = 2\nrate = 50\nduration_s = 0.2\nwarmup_s = 0\n";

#[test]
fn an_unknown_key_is_refused_by_name_and_place() {
    let line = refused(&format!("{REAL}balancers = 2\nbalancer = 3\n"), &RUN);
    has(&line, &["s.toml:5:1", "unknown field `balancer`"]);
    let line = refused(&format!("{REAL}discovery_down = {{ at_s = 1, four_s = 2 }}\n"), &RUN);
    has(&line, &["s.toml:4:30", "real.discovery_down", "unknown field `four_s`"]);
    let line = refused(&format!("{REAL}[expect.served_ratio]\nleast = 1\n"), &RUN);
    has(&line, &["s.toml:5:1", "expect.served_ratio", "unknown field `least`"]);
    let line = refused(&format!("seeds = 1\n{REAL}"), &RUN);
    has(&line, &["s.toml:1:1", "unknown field `seeds`"]);
}

#[test]
fn a_bad_value_is_refused_by_key_and_value() {
    let line = refused(&format!("{REAL}rate = \"much\"\n"), &RUN);
    has(&line, &["s.toml:4:8", "`real.rate`", "\"much\""]);
    let line = refused(&format!("{REAL}targets = -1\n"), &RUN);
    has(&line, &["s.toml:4:11", "`real.targets`", "-1"]);
    let line = refused("name = \"n\"\nmode = \"virtual\"\n", &RUN);
    has(&line, &["s.toml:2:8", "`mode`", "virtual"]);
    let line = refused(&format!("{REAL}rate = = 1\n"), &RUN);
    has(&line, &["s.toml:4:8"]);
    let line = refused("mode = \"real\"\n[real]\n", &RUN);
    has(&line, &["s.toml", "missing field `name`"]);
}

#[test]
fn a_value_out_of_its_range_is_refused_by_key_and_value() {
    let line = refused(&format!("{REAL}rate = 10\nbalancers = 33\n"), &RUN);
    has(&line, &["s.toml:5:1", "`real`", "`balancers` is 33, not 1 to 32"]);
    let line = refused(&format!("{REAL}[real.discovery_down]\nat_s = 1\nfor_s = -2\n"), &RUN);
    has(&line, &["s.toml:6:1", "`discovery_down.for_s` is -2"]);
    let line = refused(&format!("{REAL}rate = nan\n"), &RUN);
    has(&line, &["s.toml:4:1", "`rate` is NaN"]);
    let line = refused(&format!("{REAL}balancers = 32\nmemory_mb = 1000\n"), &RUN);
    has(&line, &["`memory_mb` is 1000", "12000 MB"]);
    let line = refused(&format!("{REAL}[expect.calls]\nmin = 2\nmax = 1\n"), &RUN);
    has(&line, &["s.toml:5:1", "`expect.calls`", "`min` is 2, more than `max`, 1"]);
    let line = refused(&format!("{REAL}[expect.calls]\n"), &RUN);
    has(&line, &["`expect.calls`", "neither `min` nor `max`"]);
    let line = refused("name = \"n\"\nmode = \"real\"\n", &RUN);
    has(&line, &["s.toml:2:1", "no table `real`"]);
}

#[test]
fn bad_arguments_are_refused_in_one_line() {
    has(&refused(REAL, &["run", "other.toml"]), &["other.toml", "No such file"]);
    has(&refused(REAL, &["run", "s.toml", "--seed", "x"]), &["--seed", "'x'"]);
    has(&refused(REAL, &["run"]), &["SCENARIO"]);
    has(&refused(REAL, &["sweep", "s.toml", "--over", "real.rate"]), &["real.rate", "has no `=`"]);
    has(&refused(REAL, &["sweep", "s.toml", "--over", "rate=1"]), &["`rate` is not a key of a table"]);
    has(&refused(REAL, &["sweep", "s.toml", "--over", "real.rate=1,,2"]), &["`real.rate`", "empty"]);
    has(&refused(REAL, &["sweep", "s.toml", "--over", "real.rate=1,2,1"]), &["`real.rate`", "1 twice"]);
    let line = refused(REAL, &["sweep", "s.toml", "--over", "real.rats=1,2"]);
    has(&line, &["s.toml", "--over real.rats=1", "unknown field `rats`"]);
    let line = refused(REAL, &["sweep", "s.toml", "--over", "real.balancers=1,64"]);
    has(&line, &["--over real.balancers=64", "not 1 to 32"]);
    let line = refused(REAL, &["sweep", "s.toml", "--over", "real.balancers=64", "--over", "real.rate=1"]);
    has(&line, &["--over real.balancers=64: `balancers` is 64"]);
    let line = refused(REAL, &["sweep", "s.toml", "--over", "real.balancers=1,two"]);
    has(&line, &["--over real.balancers=\"two\"", "invalid type"]);
    let line = refused(REAL, &["sweep", "s.toml", "--over", "hollow.x=1"]);
    has(&line, &["--over hollow.x=1", "runs `real`"]);
    let line = refused(REAL, &["sweep", "s.toml", "--over", "real.rate=1", "--over", "real.rate=2"]);
    has(&line, &["real.rate", "twice"]);
    has(&refused(REAL, &["run", "s.toml", "--balancer", "none"]), &["no balancer at none", "--balancer"]);
}

/// The small fleet, with bounds.
fn hollow(expect: &str) -> String {
    format!("{HOLLOW}\n{expect}")
}

fn figures(text: &[u8]) -> serde_json::Value {
    let report: serde_json::Value = serde_json::from_slice(text).expect("a report in JSON");
    report["run"]["outcome"]["figures"].clone()
}

/// Some figure that a run of the scenario on virtual time has.
fn some_figure() -> (String, f64) {
    let folder = scenario(&hollow(""));
    let done = output(folder.path(), &["run", "s.toml", "--json"]);
    let figures = figures(&done.stdout);
    let (name, figure) = figures.as_object().unwrap().iter().next().expect("a figure");
    (name.clone(), figure.as_f64().unwrap())
}

#[test]
fn a_kept_promise_is_status_0_and_a_broken_or_unmeasured_one_is_status_1() {
    let (name, figure) = some_figure();
    let folder = scenario(&hollow(&format!("[expect]\n{name} = {{ min = {figure:?}, max = {figure:?} }}\n")));
    let kept = output(folder.path(), &RUN);
    assert_eq!(kept.status.code(), Some(0), "{}", String::from_utf8_lossy(&kept.stderr));

    let folder = scenario(&hollow(&format!("[expect]\n{name} = {{ min = {:?} }}\n", figure + 1.0)));
    let broken = output(folder.path(), &RUN);
    assert_eq!(broken.status.code(), Some(1));
    has(&String::from_utf8(broken.stdout).unwrap(), &[&name, "**broken**"]);
    has(&String::from_utf8(broken.stderr).unwrap(), &["broken:", &name]);

    let folder = scenario(&hollow("[expect]\nof_no_run = { min = 0 }\n"));
    let unmeasured = output(folder.path(), &["run", "s.toml", "--json"]);
    assert_eq!(unmeasured.status.code(), Some(1));
    has(&String::from_utf8(unmeasured.stderr).unwrap(), &["`of_no_run` was not measured"]);
}

#[test]
fn the_outcome_repeats_byte_for_byte_and_what_differs_is_kept_apart() {
    let folder = scenario(&hollow(""));
    for out in ["a", "b"] {
        let done = output(folder.path(), &["run", "s.toml", "--seed", "7", "--out", out]);
        assert_eq!(done.status.code(), Some(0), "{}", String::from_utf8_lossy(&done.stderr));
    }
    let read = |name: &str| std::fs::read_to_string(folder.path().join(name)).unwrap();
    assert_eq!(read("a/outcome.json"), read("b/outcome.json"));
    for part in ["wall_s", "peak_memory_mb", "machine"] {
        assert!(!read("a/outcome.json").contains(part));
        assert!(read("a/run.json").contains(part));
    }
    has(&read("a/report.md"), &["seed 7", "wall time", "peak memory"]);
    assert_eq!(figures(read("a/report.json").as_bytes()), figures(read("b/report.json").as_bytes()));
}

/// The folders of finished runs, by name, and whatever else lies beside them.
fn kept_runs(out: &Path) -> (Vec<PathBuf>, Vec<PathBuf>) {
    let Ok(entries) = std::fs::read_dir(out.join("runs")) else { return Default::default() };
    let mut entries: Vec<PathBuf> = entries.map(|entry| entry.unwrap().path()).collect();
    entries.sort();
    entries.into_iter().partition(|path| !path.file_name().unwrap().to_string_lossy().starts_with('.'))
}

#[test]
fn a_sweep_reports_each_point_and_refuses_the_folder_of_another() {
    let folder = scenario(&hollow(""));
    let arguments =
        ["sweep", "s.toml", "--over", &over(&["0.2", "0.4", "0.8"]), "--seeds", "2", "--out", "o", "--json"];
    let done = output(folder.path(), &arguments);
    assert_eq!(done.status.code(), Some(0), "{}", String::from_utf8_lossy(&done.stderr));
    let report: serde_json::Value = serde_json::from_slice(&done.stdout).unwrap();
    assert_eq!(report["sweep"]["planned"], 6);
    assert_eq!(report["sweep"]["runs"].as_array().unwrap().len(), 6);
    assert_eq!(kept_runs(&folder.path().join("o")).0.len(), 6);
    let again = output(folder.path(), &arguments);
    assert_eq!(again.status.code(), Some(2));
    has(&String::from_utf8(again.stderr).unwrap(), &["--out", "o/runs"]);
}

/// `--over` for the length of the scenario on virtual time, in seconds.
fn over(seconds: &[&str]) -> String {
    format!("hollow.duration_s={}", seconds.join(","))
}

#[test]
fn an_interrupted_sweep_keeps_its_finished_runs() {
    for (signal, status) in [("-INT", 130), ("-TERM", 143)] {
        let folder = scenario(&hollow(""));
        let out = folder.path().join("o");
        // The second point would take far longer than the test.
        let arguments = ["sweep", "s.toml", "--over", &over(&["0.1", "86400"]), "--jobs", "1", "--out", "o"];
        let mut sweep = scale(folder.path(), &arguments);
        let mut sweep = sweep.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().unwrap();
        while kept_runs(&out).0.is_empty() {
            assert_eq!(sweep.try_wait().unwrap(), None, "the sweep ended by itself");
            std::thread::sleep(Duration::from_millis(5));
        }
        assert!(Command::new("kill").args([signal, &sweep.id().to_string()]).status().unwrap().success());
        let ended = sweep.wait_with_output().unwrap();
        assert_eq!(ended.status.code(), Some(status), "{}", String::from_utf8_lossy(&ended.stderr));
        has(&String::from_utf8(ended.stderr).unwrap(), &["interrupted by SIG"]);
        has(&String::from_utf8(ended.stdout).unwrap(), &["1 of 2 runs finished"]);
        let (kept, other) = kept_runs(&out);
        assert_eq!((kept.len(), other.len()), (1, 0));
        let outcome = std::fs::read(kept[0].join("outcome.json")).unwrap();
        assert!(serde_json::from_slice::<serde_json::Value>(&outcome).is_ok());
        assert!(kept[0].join("run.json").is_file());
        has(&std::fs::read_to_string(out.join("report.md")).unwrap(), &["1 of 2 runs finished"]);
    }
}

#[test]
fn the_log_is_structured_where_asked_for() {
    let folder = scenario(&hollow(""));
    let arguments = ["sweep", "s.toml", "--over", &over(&["0.1"]), "--log-format", "json"];
    let done = scale(folder.path(), &arguments).env("RUST_LOG", "info").output().unwrap();
    let log = String::from_utf8(done.stderr).unwrap();
    let mut lines = log.lines().map(|line| serde_json::from_str::<serde_json::Value>(line).expect("JSON"));
    assert!(lines.any(|line| line["fields"]["message"] == "run finished"));
}
