//! Upstream connections and the attempts sent on them. A connection carries one attempt at a time.

pub mod connect;
pub mod connection;
pub mod exchange;
pub mod permit;
pub mod pool;

#[cfg(test)]
mod tests;
