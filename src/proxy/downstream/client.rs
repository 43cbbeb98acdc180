//! The handle by which other tasks control a client connection.

use crate::proxy::downstream::connection::ClientConnection;
use std::sync::atomic::AtomicBool;
use tokio::sync::Notify;

/// A client connection, as used by tasks other than the one that serves it.
pub struct ClientHandle {
    /// The connection was accepted beyond the limit on client connections: its requests are rejected at once.
    pub exceeds_limit: bool,
    /// The socket and its framing state.
    pub connection: ClientConnection,
    /// The connection was selected to be closed, so that another client can use its slot.
    pub evicted: AtomicBool,
    /// Notified on eviction: the connection is then closed between requests, or stops lingering.
    pub evict: Notify,
    /// Notified when the connection may be overdue or the process is shutting down.
    pub check_timeout: Notify,
}
