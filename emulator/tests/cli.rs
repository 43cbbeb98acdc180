//! The command line: rejected input, exit statuses, and the runs that an interrupted sweep keeps.

use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::time::Duration;
use tempfile::TempDir;

/// Returns a command that runs the emulator in a folder.
fn emulator_command(folder: &Path, arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_fleet-emulator"));
    command.current_dir(folder).args(arguments).env_remove("RUST_LOG").stdin(Stdio::null());
    command
}

/// Runs the emulator and returns its output.
fn output(folder: &Path, arguments: &[&str]) -> Output {
    emulator_command(folder, arguments).output().expect("the emulator starts")
}

/// Creates a folder with a scenario file of this text.
fn scenario(text: &str) -> TempDir {
    let folder = TempDir::new().unwrap();
    std::fs::write(folder.path().join("s.toml"), text).unwrap();
    folder
}

/// Asserts that the input is rejected with one line on standard error, status 2 and nothing on standard output, and
/// returns the line.
fn rejected_input(text: &str, arguments: &[&str]) -> String {
    let folder = scenario(text);
    let output = output(folder.path(), arguments);
    let line = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2), "{line}");
    assert_eq!(line.lines().count(), 1, "{line}");
    assert!(output.stdout.is_empty());
    line
}

/// Asserts that a line contains each of these parts.
fn assert_contains(line: &str, parts: &[&str]) {
    for part in parts {
        assert!(line.contains(part), "no {part:?} in {line:?}");
    }
}

const RUN_ARGUMENTS: [&str; 2] = ["run", "s.toml"];
const REAL_SCENARIO: &str = "name = \"n\"\nmode = \"real\"\n[real]\n";
/// A small hollow fleet.
const HOLLOW_SCENARIO: &str = "name = \"n\"\nmode = \"hollow\"\n[hollow]\nbalancers = 12\nservices = 3\ndepth = 3\n\
    zones = 2\nregions = 1\nfronts = 2\nrate = 50\nduration_s = 0.2\nwarmup_s = 0\n";

#[test]
fn an_unknown_key_is_refused_by_name_and_place() {
    let line = rejected_input(&format!("{REAL_SCENARIO}balancers = 2\nbalancer = 3\n"), &RUN_ARGUMENTS);
    assert_contains(&line, &["s.toml:5:1", "unknown field `balancer`"]);
    let line = rejected_input(
        &format!("{REAL_SCENARIO}discovery_down = {{ at_s = 1, four_s = 2 }}\n"),
        &RUN_ARGUMENTS,
    );
    assert_contains(&line, &["s.toml:4:30", "real.discovery_down", "unknown field `four_s`"]);
    let line = rejected_input(&format!("{REAL_SCENARIO}[expect.served_ratio]\nleast = 1\n"), &RUN_ARGUMENTS);
    assert_contains(&line, &["s.toml:5:1", "expect.served_ratio", "unknown field `least`"]);
    let line = rejected_input(&format!("seeds = 1\n{REAL_SCENARIO}"), &RUN_ARGUMENTS);
    assert_contains(&line, &["s.toml:1:1", "unknown field `seeds`"]);
}

#[test]
fn a_bad_value_is_refused_by_key_and_value() {
    let line = rejected_input(&format!("{REAL_SCENARIO}rate = \"much\"\n"), &RUN_ARGUMENTS);
    assert_contains(&line, &["s.toml:4:8", "`real.rate`", "\"much\""]);
    let line = rejected_input(&format!("{REAL_SCENARIO}targets = -1\n"), &RUN_ARGUMENTS);
    assert_contains(&line, &["s.toml:4:11", "`real.targets`", "-1"]);
    let line = rejected_input("name = \"n\"\nmode = \"virtual\"\n", &RUN_ARGUMENTS);
    assert_contains(&line, &["s.toml:2:8", "`mode`", "virtual"]);
    let line = rejected_input(&format!("{REAL_SCENARIO}rate = = 1\n"), &RUN_ARGUMENTS);
    assert_contains(&line, &["s.toml:4:8"]);
    let line = rejected_input("mode = \"real\"\n[real]\n", &RUN_ARGUMENTS);
    assert_contains(&line, &["s.toml", "missing field `name`"]);
}

#[test]
fn a_value_out_of_its_range_is_refused_by_key_and_value() {
    let line = rejected_input(&format!("{REAL_SCENARIO}rate = 10\nbalancers = 33\n"), &RUN_ARGUMENTS);
    assert_contains(&line, &["s.toml:5:1", "`real`", "`balancers` is 33, not between 1 and 32"]);
    let line = rejected_input(
        &format!("{REAL_SCENARIO}[real.discovery_down]\nat_s = 1\nfor_s = -2\n"),
        &RUN_ARGUMENTS,
    );
    assert_contains(&line, &["s.toml:6:1", "`discovery_down.for_s` is -2"]);
    let line = rejected_input(&format!("{REAL_SCENARIO}rate = nan\n"), &RUN_ARGUMENTS);
    assert_contains(&line, &["s.toml:4:1", "`rate` is NaN"]);
    let line = rejected_input(&format!("{REAL_SCENARIO}balancers = 32\nmemory_mb = 1000\n"), &RUN_ARGUMENTS);
    assert_contains(&line, &["`memory_mb` is 1000", "12000 MB"]);
    let line = rejected_input(&format!("{REAL_SCENARIO}[expect.calls]\nmin = 2\nmax = 1\n"), &RUN_ARGUMENTS);
    assert_contains(&line, &["s.toml:5:1", "`expect.calls`", "`min` is 2, more than `max`, 1"]);
    let line = rejected_input(&format!("{REAL_SCENARIO}[expect.calls]\n"), &RUN_ARGUMENTS);
    assert_contains(&line, &["`expect.calls`", "neither `min` nor `max`"]);
    let line = rejected_input("name = \"n\"\nmode = \"real\"\n", &RUN_ARGUMENTS);
    assert_contains(&line, &["s.toml:2:1", "no table `real`"]);
}

#[test]
fn bad_arguments_are_refused_in_one_line() {
    assert_contains(&rejected_input(REAL_SCENARIO, &["run", "other.toml"]), &["other.toml", "No such file"]);
    assert_contains(&rejected_input(REAL_SCENARIO, &["run", "s.toml", "--seed", "x"]), &["--seed", "'x'"]);
    assert_contains(&rejected_input(REAL_SCENARIO, &["run"]), &["SCENARIO"]);
    assert_contains(
        &rejected_input(REAL_SCENARIO, &["sweep", "s.toml", "--over", "real.rate"]),
        &["real.rate", "has no `=`"],
    );
    assert_contains(
        &rejected_input(REAL_SCENARIO, &["sweep", "s.toml", "--over", "rate=1"]),
        &["`rate` is not a key of a table"],
    );
    assert_contains(
        &rejected_input(REAL_SCENARIO, &["sweep", "s.toml", "--over", "real.rate=1,,2"]),
        &["`real.rate`", "empty"],
    );
    assert_contains(
        &rejected_input(REAL_SCENARIO, &["sweep", "s.toml", "--over", "real.rate=1,2,1"]),
        &["`real.rate`", "1 twice"],
    );
    let line = rejected_input(REAL_SCENARIO, &["sweep", "s.toml", "--over", "real.rats=1,2"]);
    assert_contains(&line, &["s.toml", "--over real.rats=1", "unknown field `rats`"]);
    let line = rejected_input(REAL_SCENARIO, &["sweep", "s.toml", "--over", "real.balancers=1,64"]);
    assert_contains(&line, &["--over real.balancers=64", "not between 1 and 32"]);
    let line = rejected_input(
        REAL_SCENARIO,
        &["sweep", "s.toml", "--over", "real.balancers=64", "--over", "real.rate=1"],
    );
    assert_contains(&line, &["--over real.balancers=64: `balancers` is 64"]);
    let line = rejected_input(REAL_SCENARIO, &["sweep", "s.toml", "--over", "real.balancers=1,two"]);
    assert_contains(&line, &["--over real.balancers=\"two\"", "invalid type"]);
    let line = rejected_input(REAL_SCENARIO, &["sweep", "s.toml", "--over", "hollow.x=1"]);
    assert_contains(&line, &["--over hollow.x=1", "runs `real`"]);
    let line =
        rejected_input(REAL_SCENARIO, &["sweep", "s.toml", "--over", "real.rate=1", "--over", "real.rate=2"]);
    assert_contains(&line, &["real.rate", "twice"]);
    assert_contains(
        &rejected_input(REAL_SCENARIO, &["run", "s.toml", "--balancer", "none"]),
        &["no balancer at none", "--balancer"],
    );
}

/// Returns the scenario of the small hollow fleet with these expectations.
fn hollow_scenario_expecting(expect: &str) -> String {
    format!("{HOLLOW_SCENARIO}\n{expect}")
}

/// Returns the figures of a JSON report.
fn figures(text: &[u8]) -> serde_json::Value {
    let report: serde_json::Value = serde_json::from_slice(text).expect("a report in JSON");
    report["run"]["outcome"]["figures"].clone()
}

/// Returns the name and the value of a figure that a run of the small hollow fleet measures.
fn some_figure() -> (String, f64) {
    let folder = scenario(&hollow_scenario_expecting(""));
    let output = output(folder.path(), &["run", "s.toml", "--json"]);
    let figures = figures(&output.stdout);
    let (name, figure) = figures.as_object().unwrap().iter().next().expect("a figure");
    (name.clone(), figure.as_f64().unwrap())
}

#[test]
fn an_expectation_that_is_met_exits_with_0_and_a_broken_or_unmeasured_one_with_1() {
    let (name, figure) = some_figure();
    let folder = scenario(&hollow_scenario_expecting(&format!(
        "[expect]\n{name} = {{ min = {figure:?}, max = {figure:?} }}\n"
    )));
    let met = output(folder.path(), &RUN_ARGUMENTS);
    assert_eq!(met.status.code(), Some(0), "{}", String::from_utf8_lossy(&met.stderr));

    let folder =
        scenario(&hollow_scenario_expecting(&format!("[expect]\n{name} = {{ min = {:?} }}\n", figure + 1.0)));
    let broken = output(folder.path(), &RUN_ARGUMENTS);
    assert_eq!(broken.status.code(), Some(1));
    assert_contains(&String::from_utf8(broken.stdout).unwrap(), &[&name, "**broken**"]);
    assert_contains(&String::from_utf8(broken.stderr).unwrap(), &["broken:", &name]);

    let folder = scenario(&hollow_scenario_expecting("[expect]\nof_no_run = { min = 0 }\n"));
    let unmeasured = output(folder.path(), &["run", "s.toml", "--json"]);
    assert_eq!(unmeasured.status.code(), Some(1));
    assert_contains(&String::from_utf8(unmeasured.stderr).unwrap(), &["`of_no_run` was not measured"]);
}

#[test]
fn the_outcome_repeats_byte_for_byte_and_the_environment_is_in_another_file() {
    let folder = scenario(&hollow_scenario_expecting(""));
    for out in ["a", "b"] {
        let output = output(folder.path(), &["run", "s.toml", "--seed", "7", "--out", out]);
        assert_eq!(output.status.code(), Some(0), "{}", String::from_utf8_lossy(&output.stderr));
    }
    let read = |name: &str| std::fs::read_to_string(folder.path().join(name)).unwrap();
    assert_eq!(read("a/outcome.json"), read("b/outcome.json"));
    for key in ["wall_s", "peak_memory_mb", "machine"] {
        assert!(!read("a/outcome.json").contains(key));
        assert!(read("a/run.json").contains(key));
    }
    assert_contains(&read("a/report.md"), &["seed 7", "wall time", "peak memory"]);
    assert_eq!(figures(read("a/report.json").as_bytes()), figures(read("b/report.json").as_bytes()));
}

/// Returns the folders of finished runs, sorted by name, and all other entries beside them.
fn run_folders(out: &Path) -> (Vec<PathBuf>, Vec<PathBuf>) {
    let Ok(entries) = std::fs::read_dir(out.join("runs")) else { return Default::default() };
    let mut entries: Vec<PathBuf> = entries.map(|entry| entry.unwrap().path()).collect();
    entries.sort();
    entries.into_iter().partition(|path| !path.file_name().unwrap().to_string_lossy().starts_with('.'))
}

#[test]
fn a_sweep_reports_each_point_and_refuses_the_folder_of_another() {
    let folder = scenario(&hollow_scenario_expecting(""));
    let arguments = [
        "sweep",
        "s.toml",
        "--over",
        &sweep_duration(&["0.2", "0.4", "0.8"]),
        "--seeds",
        "2",
        "--out",
        "o",
        "--json",
    ];
    let first_output = output(folder.path(), &arguments);
    assert_eq!(first_output.status.code(), Some(0), "{}", String::from_utf8_lossy(&first_output.stderr));
    let report: serde_json::Value = serde_json::from_slice(&first_output.stdout).unwrap();
    assert_eq!(report["sweep"]["planned"], 6);
    assert_eq!(report["sweep"]["runs"].as_array().unwrap().len(), 6);
    assert_eq!(run_folders(&folder.path().join("o")).0.len(), 6);
    let second_output = output(folder.path(), &arguments);
    assert_eq!(second_output.status.code(), Some(2));
    assert_contains(&String::from_utf8(second_output.stderr).unwrap(), &["--out", "o/runs"]);
}

/// Returns the value of `--over` for a sweep over the length of hollow runs, in seconds.
fn sweep_duration(seconds: &[&str]) -> String {
    format!("hollow.duration_s={}", seconds.join(","))
}

#[test]
fn an_interrupted_sweep_keeps_its_finished_runs() {
    for (signal, exit_status) in [("-INT", 130), ("-TERM", 143)] {
        let folder = scenario(&hollow_scenario_expecting(""));
        let out = folder.path().join("o");
        // The second run would take far longer than the test.
        let arguments =
            ["sweep", "s.toml", "--over", &sweep_duration(&["0.1", "86400"]), "--jobs", "1", "--out", "o"];
        let mut sweep = emulator_command(folder.path(), &arguments);
        let mut sweep = sweep.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().unwrap();
        while run_folders(&out).0.is_empty() {
            assert_eq!(sweep.try_wait().unwrap(), None, "the sweep ended before the signal");
            std::thread::sleep(Duration::from_millis(5));
        }
        assert!(Command::new("kill").args([signal, &sweep.id().to_string()]).status().unwrap().success());
        let output = sweep.wait_with_output().unwrap();
        assert_eq!(output.status.code(), Some(exit_status), "{}", String::from_utf8_lossy(&output.stderr));
        assert_contains(&String::from_utf8(output.stderr).unwrap(), &["interrupted by SIG"]);
        assert_contains(&String::from_utf8(output.stdout).unwrap(), &["1 of 2 runs finished"]);
        let (run_folders, other_entries) = run_folders(&out);
        assert_eq!((run_folders.len(), other_entries.len()), (1, 0));
        let outcome = std::fs::read(run_folders[0].join("outcome.json")).unwrap();
        assert!(serde_json::from_slice::<serde_json::Value>(&outcome).is_ok());
        assert!(run_folders[0].join("run.json").is_file());
        assert_contains(&std::fs::read_to_string(out.join("report.md")).unwrap(), &["1 of 2 runs finished"]);
    }
}

#[test]
fn the_log_is_written_as_json_on_request() {
    let folder = scenario(&hollow_scenario_expecting(""));
    let arguments = ["sweep", "s.toml", "--over", &sweep_duration(&["0.1"]), "--log-format", "json"];
    let output = emulator_command(folder.path(), &arguments).env("RUST_LOG", "info").output().unwrap();
    let log = String::from_utf8(output.stderr).unwrap();
    let mut lines = log.lines().map(|line| serde_json::from_str::<serde_json::Value>(line).expect("JSON"));
    assert!(lines.any(|line| line["fields"]["message"] == "run finished"));
}
