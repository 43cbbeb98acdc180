//! Emulates a fleet of balancers and what they serve: `hollow` on virtual time, `real` with real processes.

pub mod discovery;
pub mod engine;
pub mod faults;
pub mod hollow;
pub mod load;
pub mod report;
pub mod topology;
