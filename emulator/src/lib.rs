//! Emulates a fleet of balancers with their clients and upstreams: mode `hollow` runs on virtual time,
//! mode `real` starts real processes.

#![forbid(unsafe_code)]

pub mod cli;
pub mod discovery;
pub mod engine;
pub mod experiment;
pub mod faults;
pub mod hollow;
pub mod interrupt;
pub mod load;
pub mod real;
pub mod report;
pub mod scenario;
pub mod topology;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Returns a random number generator for one purpose of a run. Each purpose has its own stream, so that
/// additional draws for one purpose do not change the numbers of another.
fn seeded_rng(seed: u64, stream: u64) -> ChaCha8Rng {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(stream);
    rng
}

/// Locks a mutex, also if a thread panicked while it held the lock.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
