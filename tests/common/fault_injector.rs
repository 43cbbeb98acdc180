//! Runs programs with the fault injector preloaded before the C library. `fault-injector/` describes the plan.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

const LIBRARY: &str = "libfault_injector.so";

/// A plan of faults and the log of the faults injected so far.
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

    /// The environment variables that preload the injector with this plan.
    pub fn environment(&self) -> Vec<(&'static str, String)> {
        let log = self.log.to_str().expect("path is UTF-8");
        vec![
            ("LD_PRELOAD", library().to_str().expect("path is UTF-8").to_owned()),
            ("FAULT_PLAN", self.plan.clone()),
            ("FAULT_LOG", log.to_owned()),
        ]
    }

    /// How often a fault was injected into a system call so far. `fault` is an errno name or another fault as the plan
    /// writes it, such as `short=1`.
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

/// Path of the injector's shared library. Cargo builds it next to the test executables, as it is a dev-dependency.
fn library() -> PathBuf {
    let executable = std::env::current_exe().expect("path of the test executable");
    let library = executable.parent().expect("folder of the test executable").join(LIBRARY);
    assert!(library.exists(), "fault injector library {} is not built", library.display());
    library
}
