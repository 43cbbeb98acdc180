//! How long clients may take, and how often that is looked at.

use std::time::Duration;

/// How long a caller may take over a request, the first one from its connecting on; and how often that is
/// looked at. Together they stay under the 3 s after which one that sends nothing whole is owed an end.
pub const REQUEST_READ_TIMEOUT: Duration = Duration::from_millis(2500);

pub const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A new connection may bring its call a little later.
pub const NEW_CONNECTION_GRACE: Duration = Duration::from_millis(300);
