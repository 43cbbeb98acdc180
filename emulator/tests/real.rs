//! Real mode, with the balancers of the same build on the loopback interface.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::Duration;
use tempfile::TempDir;

/// Returns the path of the balancer program beside the emulator under test.
fn balancer() -> PathBuf {
    let balancer = Path::new(env!("CARGO_BIN_EXE_fleet-emulator")).with_file_name("balancer");
    assert!(balancer.is_file(), "{} does not exist: run the tests with --workspace", balancer.display());
    balancer
}

/// Creates a folder with a scenario of two balancers and these additional keys.
fn scenario(keys: &str) -> TempDir {
    let folder = TempDir::new().unwrap();
    let text = format!(
        "name = \"n\"\nmode = \"real\"\nseed = 3\n[real]\nbalancers = 2\ntargets = 4\nzones = 2\nthreads = 2\n\
         deadline_ms = 10000\nwarmup_s = 0.2\nidle_s = 0.2\n{keys}"
    );
    std::fs::write(folder.path().join("s.toml"), text).unwrap();
    folder
}

/// Returns a command that runs the emulator in a folder with the balancers of the same build.
fn emulator_command(folder: &Path, arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_fleet-emulator"));
    command.current_dir(folder).args(arguments).arg("--balancer").arg(balancer());
    // A separate temporary folder, so that a test can check that the emulator leaves no files there.
    std::fs::create_dir_all(folder.join("tmp")).unwrap();
    command.env("TMPDIR", folder.join("tmp")).stdin(Stdio::null());
    command
}

/// Asserts that a run succeeded, and returns its figures.
fn figures(output: &Output) -> serde_json::Map<String, serde_json::Value> {
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let report: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    report["run"]["outcome"]["figures"].as_object().unwrap().clone()
}

/// Asserts that some requests were served and that each had exactly one outcome. Not all need be served: if a busy
/// machine delays all upstreams at once, a balancer abandons attempts, and rejects or fails the requests that have no
/// attempts left, long before the deadline.
fn assert_each_request_ended(figures: &serde_json::Map<String, serde_json::Value>) {
    let ratio = |name: &str| figures[name].as_f64().unwrap();
    let ratios = ["served_ratio", "refused_ratio", "failed_ratio"].map(ratio);
    assert!(ratios[0] > 0.0, "{ratios:?}");
    assert!((ratios.iter().sum::<f64>() - 1.0).abs() < 1e-9, "{ratios:?}");
    assert_eq!(figures["calls_not_sent"], 0.0);
}

/// Returns the processes whose environment refers to a folder: the balancers started by an emulator in that folder.
fn balancers_of(folder: &Path) -> Vec<u32> {
    let config_prefix = format!("LB_CONFIG={}", folder.join("tmp").display());
    let mut process_ids = Vec::new();
    for entry in std::fs::read_dir("/proc").unwrap().filter_map(Result::ok) {
        let Ok(process_id) = entry.file_name().to_string_lossy().parse() else { continue };
        // `environ` is empty for a process that has ended, and unreadable for another user's process.
        let environment = std::fs::read(entry.path().join("environ")).unwrap_or_default();
        if environment.split(|byte| *byte == 0).any(|variable| variable.starts_with(config_prefix.as_bytes()))
        {
            process_ids.push(process_id);
        }
    }
    process_ids
}

/// Waits until `count` balancers run.
fn wait_for_balancers(folder: &Path, count: usize, emulator: &mut Child) {
    while balancers_of(folder).len() < count {
        assert_eq!(emulator.try_wait().unwrap(), None, "the run ended before {count} balancers had started");
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn requests_are_served_and_changes_are_followed() {
    let folder = scenario("rate = 200\ndirect_rate = 200\nchange_rate = 10\nload_s = 1\n");
    let figures = figures(&emulator_command(folder.path(), &["run", "s.toml", "--json"]).output().unwrap());
    let figure = |name: &str| figures[name].as_f64().unwrap();
    assert!(figure("calls") > 100.0 && figure("direct_calls") > 100.0);
    assert_eq!(figure("direct_served_ratio"), 1.0);
    assert_each_request_ended(&figures);
    assert!(figure("attempts_per_call") > 0.0);
    assert!(figure("changes") >= 1.0);
    assert_eq!(figure("changes_not_followed"), 0.0);
    for name in [
        "time_to_ready_max_ms",
        "change_followed_max_ms",
        "latency_p999_us",
        "latency_direct_p99_us",
        "cpu_load_max_percent",
        "memory_peak_max_mb",
        "descriptors_peak_max",
        "control_load_mean_bytes_per_s",
        "control_load_mean_calls_per_s",
    ] {
        assert!(figure(name) > 0.0, "{name} is {}", figure(name));
    }
    assert!(figures.contains_key("latency_added_p50_us"));
    assert!(balancers_of(folder.path()).is_empty());
    assert_eq!(
        std::fs::read_dir(folder.path().join("tmp")).unwrap().count(),
        0,
        "the emulator left temporary files"
    );
}

#[test]
fn a_change_during_a_discovery_outage_is_followed_afterwards() {
    let outage = "[real.discovery_down]\nat_s = 0.3\nfor_s = 1\n";
    let folder = scenario(&format!("rate = 50\ndirect_rate = 0\nchange_rate = 10\nload_s = 1.5\n{outage}"));
    let figures = figures(&emulator_command(folder.path(), &["run", "s.toml", "--json"]).output().unwrap());
    assert!(figures["changes_kept_back"].as_f64().unwrap() >= 1.0);
    assert_eq!(figures["changes_not_followed"], 0.0);
    assert_each_request_ended(&figures);
    // Without direct requests there is no baseline to compare with.
    assert!(!figures.contains_key("latency_added_p50_us"));
}

#[test]
fn a_rolling_restart_replaces_every_balancer() {
    // Without a front lag, the front removes each balancer right after SIGTERM, and the test does not depend on how
    // far a busy machine would prolong the lag.
    let restart = "[real.rolling_restart]\nat_s = 0.1\nfront_lag_s = 0\n";
    let folder = scenario(&format!("rate = 50\ndirect_rate = 0\nload_s = 2\n{restart}"));
    let figures = figures(&emulator_command(folder.path(), &["run", "s.toml", "--json"]).output().unwrap());
    assert_eq!(figures["restarts"], 2.0);
    assert_each_request_ended(&figures);
    assert!(figures["time_to_ready_again_max_ms"].as_f64().unwrap() > 0.0);
    assert!(balancers_of(folder.path()).is_empty());
}

#[test]
fn the_balancers_end_with_the_emulator_after_a_signal() {
    for (signal, exit_status) in [("-INT", 130), ("-TERM", 143)] {
        let folder = scenario("rate = 50\nload_s = 300\n");
        let mut emulator = emulator_command(folder.path(), &["run", "s.toml"]);
        let mut emulator = emulator.stdout(Stdio::null()).stderr(Stdio::piped()).spawn().unwrap();
        wait_for_balancers(folder.path(), 2, &mut emulator);
        assert!(Command::new("kill").args([signal, &emulator.id().to_string()]).status().unwrap().success());
        let output = emulator.wait_with_output().unwrap();
        assert_eq!(output.status.code(), Some(exit_status), "{}", String::from_utf8_lossy(&output.stderr));
        assert!(balancers_of(folder.path()).is_empty());
        assert_eq!(
            std::fs::read_dir(folder.path().join("tmp")).unwrap().count(),
            0,
            "the emulator left temporary files"
        );
    }
}

#[test]
fn the_other_balancers_end_after_one_was_killed() {
    let folder = scenario("rate = 50\nload_s = 300\n");
    let mut emulator = emulator_command(folder.path(), &["run", "s.toml"]);
    let mut emulator = emulator.stdout(Stdio::null()).stderr(Stdio::piped()).spawn().unwrap();
    wait_for_balancers(folder.path(), 2, &mut emulator);
    let process_id = balancers_of(folder.path())[0];
    assert!(Command::new("kill").args(["-KILL", &process_id.to_string()]).status().unwrap().success());
    let output = emulator.wait_with_output().unwrap();
    let error = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2), "{error}");
    assert!(error.lines().count() == 1 && error.contains("balancer"), "{error}");
    assert!(balancers_of(folder.path()).is_empty());
}

#[test]
fn a_program_that_is_not_a_balancer_is_reported_in_one_line() {
    let folder = scenario("rate = 50\nload_s = 1\n");
    let mut command = Command::new(env!("CARGO_BIN_EXE_fleet-emulator"));
    let output = command
        .current_dir(folder.path())
        .args(["run", "s.toml", "--balancer", "/bin/true"])
        .output()
        .unwrap();
    let error = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2), "{error}");
    assert!(error.lines().count() == 1 && error.contains("did not start"), "{error}");
}
