//! Emulates a fleet of balancers and what they serve: `hollow` on virtual time, `real` with real processes.

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

/// A generator for one of a run's purposes, so that more draws for one do not change another.
fn random(seed: u64, purpose: u64) -> ChaCha8Rng {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(purpose);
    random
}

/// What a mutex holds, also where another thread panicked with it.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
