//! A client's connection, as the other parts of this side see it.

use crate::proxy::downstream::connection::ClientConnection;
use std::sync::atomic::AtomicBool;
use tokio::sync::Notify;

/// A client's connection, as the tasks other than its own use it.
pub struct ClientHandle {
    /// Beyond the connections that may be served: its requests are refused at once.
    pub surplus: bool,
    pub connection: ClientConnection,
    /// It is on its way out.
    pub evicted: AtomicBool,
    /// It is to be closed between requests.
    pub evict: Notify,
    /// It is to be looked at: it may be overdue, or the process ends.
    pub check_timeout: Notify,
}
