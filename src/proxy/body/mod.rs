//! Bodies both ways. A small one is kept whole. A longer one is passed on as it comes, each piece only once the
//! other side has taken the one before: what is held of it does not grow with its length.

pub mod buffer;
pub mod memory;
pub mod request_body;
pub mod response_body;

use std::fmt;

/// Largest body that is kept whole: a request so that it can be sent again, an answer so that it can be judged
/// before its caller gets any of it. The time of a longer one is that of its first bytes.
pub const MOST_KEPT: usize = 64 << 10;

/// Largest body either way.
pub const MOST_BODY: u64 = 34 << 20;

/// A body broke off, or was too long.
#[derive(Debug)]
pub struct Broken;

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the body broke off")
    }
}

impl std::error::Error for Broken {}
