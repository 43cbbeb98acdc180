//! Emulates a fleet of balancers and what they serve: `hollow` on virtual time, `real` with real processes.

#![forbid(unsafe_code)]

pub mod cli;
pub mod experiment;
pub mod hollow;
pub mod interrupt;
pub mod real;
pub mod report;
pub mod scenario;
