//! Starts programs with the fault injector in front of the C library. Its plan is described in `fault-injector/`.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

const LIBRARY: &str = "libfault_injector.so";

/// A plan of faults, and the log of those that were injected.
pub struct Faults {
    plan: String,
    log: PathBuf,
}

impl Faults {
    /// A plan such as `connect:ENETUNREACH:share=0.33:seed=7;write:short=1:on=inet`.
    pub fn new(plan: impl Into<String>) -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let log = Path::new(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("faults-{}-{number}.log", std::process::id()));
        std::fs::remove_file(&log).ok();
        Self { plan: plan.into(), log }
    }

    /// What a program needs in its environment to be struck.
    pub fn environment(&self) -> Vec<(&'static str, String)> {
        let log = self.log.to_str().expect("a path in UTF-8");
        vec![
            ("LD_PRELOAD", library().to_str().expect("a path in UTF-8").to_owned()),
            ("FAULT_PLAN", self.plan.clone()),
            ("FAULT_LOG", log.to_owned()),
        ]
    }

    /// How often a call was struck so far. `fault` is an error's name, or as in the plan.
    pub fn injected_count(&self, call: &str, fault: &str) -> usize {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        log.lines().filter(|line| *line == format!("{call} {fault}")).count()
    }
}

impl Drop for Faults {
    fn drop(&mut self) {
        std::fs::remove_file(&self.log).ok();
    }
}

/// The injector's shared library: cargo builds it beside the test executables, as it is a dev-dependency.
fn library() -> PathBuf {
    let executable = std::env::current_exe().expect("the test's own path");
    let library = executable.parent().expect("a folder").join(LIBRARY);
    assert!(library.exists(), "{} is not built", library.display());
    library
}
