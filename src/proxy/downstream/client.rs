//! The handle by which other tasks control a client connection.

use crate::proxy::downstream::connection::ClientConnection;
use std::sync::atomic::AtomicBool;
use tokio::sync::Notify;

/// A client connection, as used by tasks other than the one that serves it.
pub struct ClientHandle {
    /// The connection exceeds the limit: its requests are rejected at once.
    pub exceeds_limit: bool,
    /// The socket and its framing state.
    pub connection: ClientConnection,
    /// The connection was selected to be closed in favor of another one.
    pub evicted: AtomicBool,
    /// Notified on eviction: the connection is closed between requests, and no longer lingers.
    pub evict: Notify,
    /// Notified when the connection may be overdue or the process is shutting down.
    pub check_timeout: Notify,
}
