//! A client's connection, as the other parts of this side see it.

use crate::proxy::downstream::connection::Line;
use std::sync::atomic::AtomicBool;
use tokio::sync::Notify;

/// A caller's connection.
pub struct Caller {
    /// Beyond the connections that may be served: its requests are refused at once.
    pub surplus: bool,
    pub line: Line,
    /// It is on its way out.
    pub leaving: AtomicBool,
    /// It is to be closed between requests.
    pub close: Notify,
    /// It is to be looked at: it may be overdue, or the process ends.
    pub cut: Notify,
}
