//! Emulates a fleet of balancers and what they serve: `hollow` on virtual time, `real` with real processes.

pub mod report;
