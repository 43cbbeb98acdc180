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
