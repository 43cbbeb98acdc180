//! The balancer process: loads the configuration, and runs the proxy until a signal to stop.

#![deny(unsafe_code)]

mod config;
mod proxy;
mod transient_errors;

use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};
use std::alloc::System;
use std::process::ExitCode;
use tokio::runtime::Builder;
use transient_errors::retry_blocking;

/// Counts what the heap holds, for the memory budget.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

fn main() -> ExitCode {
    let _log_writer = proxy::logging::start();
    let outcome = config::Config::load().and_then(|config| {
        let runtime = retry_blocking(|| Builder::new_current_thread().enable_all().build())
            .map_err(|error| format!("cannot start the asynchronous runtime: {error}"))?;
        runtime.block_on(proxy::run(config))
    });
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::info!("{error}");
            ExitCode::FAILURE
        }
    }
}
