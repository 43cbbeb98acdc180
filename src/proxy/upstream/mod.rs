//! Connections to upstreams, and attempts on them: one attempt at a time on each.

pub mod connect;
pub mod connection;
pub mod exchange;
pub mod permit;
pub mod pool;

#[cfg(test)]
mod tests;
