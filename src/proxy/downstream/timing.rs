//! Timeouts for client connections, and how often they are checked.

use std::time::Duration;

/// How long a client may take to send a request. For the first request, the time is counted from the connect. Together
/// with the check interval, it stays below the 3 s after which a client without a complete request must be
/// disconnected.
pub const REQUEST_READ_TIMEOUT: Duration = Duration::from_millis(2500);

/// Time between two checks for overdue clients.
pub const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// How long a new connection on which nothing was received may still have its first request on the way.
pub const NEW_CONNECTION_GRACE: Duration = Duration::from_millis(300);
