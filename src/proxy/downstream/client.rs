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
    pub is_evicted: AtomicBool,
    /// Notified when `is_evicted` is set: the connection is then closed between requests, or stops lingering.
    pub eviction_notify: Notify,
    /// Notified when the connection may have to be closed: the client may take too long to send its request or to read
    /// its response, or the process is shutting down.
    pub close_check_notify: Notify,
}
