//! What a call is about: a descriptor, a path, or an address that is to be used.

use crate::plan::Subject;
use libc::{c_int, c_long, sockaddr, socklen_t, syscall};
use std::ffi::{CStr, CString, OsStr};
use std::mem::{MaybeUninit, size_of};
use std::os::unix::ffi::OsStrExt;
use std::path::{Path, absolute};

/// The longest path that is looked at.
const LONGEST_PATH: usize = libc::PATH_MAX as usize;

/// A descriptor that a call uses.
pub struct Descriptor(pub c_int);

impl Descriptor {
    /// The address of one end, by the system call that tells it.
    fn address(&self, call: c_long) -> Option<(u16, u16)> {
        let mut storage = MaybeUninit::<libc::sockaddr_storage>::zeroed();
        let mut length = size_of::<libc::sockaddr_storage>() as socklen_t;
        // SAFETY: the kernel writes at most `length` bytes, which the storage has.
        let done = unsafe { syscall(call, c_long::from(self.0), storage.as_mut_ptr(), &raw mut length) };
        // SAFETY: all of the storage is initialized with zeros, and any bytes make a valid value.
        (done == 0).then(|| unsafe { family_and_port(storage.as_ptr().cast(), length) }).flatten()
    }
}

impl Subject for Descriptor {
    fn is_inet(&self) -> bool {
        self.address(libc::SYS_getsockname).is_some()
    }

    fn has_path(&self, prefix: &str) -> bool {
        let Ok(link) = CString::new(format!("/proc/self/fd/{}", self.0)) else { return false };
        let mut path = [0_u8; LONGEST_PATH];
        // SAFETY: the link ends in a zero byte, and the kernel writes at most as much as the buffer holds.
        let length = unsafe {
            let directory = c_long::from(libc::AT_FDCWD);
            syscall(libc::SYS_readlinkat, directory, link.as_ptr(), path.as_mut_ptr(), path.len())
        };
        let length = usize::try_from(length).unwrap_or(0);
        path[..length].starts_with(prefix.as_bytes())
    }

    fn has_port(&self, port: u16) -> bool {
        let ends = [libc::SYS_getsockname, libc::SYS_getpeername].map(|call| self.address(call));
        ends.iter().flatten().any(|(_, used)| *used == port)
    }
}

/// An address that a socket is bound or connected to by the call.
pub struct Address {
    family_and_port: Option<(u16, u16)>,
}

impl Address {
    /// # Safety
    ///
    /// The address has to be readable for its length.
    pub unsafe fn new(address: *const sockaddr, length: socklen_t) -> Self {
        // SAFETY: the caller's promise.
        Self { family_and_port: unsafe { family_and_port(address, length) } }
    }
}

impl Subject for Address {
    fn is_inet(&self) -> bool {
        self.family_and_port.is_some()
    }

    fn has_path(&self, _: &str) -> bool {
        false
    }

    fn has_port(&self, port: u16) -> bool {
        self.family_and_port.is_some_and(|(_, used)| used == port)
    }
}

/// The family and port of an IPv4 or IPv6 address; both have the port in the same place.
///
/// # Safety
///
/// The address has to be readable for its length.
unsafe fn family_and_port(address: *const sockaddr, length: socklen_t) -> Option<(u16, u16)> {
    if address.is_null() || (length as usize) < size_of::<libc::sockaddr_in>() {
        return None;
    }
    // SAFETY: it is as long as an IPv4 address, by the check above, and need not be aligned.
    let address = unsafe { address.cast::<libc::sockaddr_in>().read_unaligned() };
    let is_inet = matches!(c_int::from(address.sin_family), libc::AF_INET | libc::AF_INET6);
    is_inet.then(|| (address.sin_family, u16::from_be(address.sin_port)))
}

/// A socket that does not exist yet.
pub struct NewSocket {
    pub domain: c_int,
}

impl Subject for NewSocket {
    fn is_inet(&self) -> bool {
        matches!(self.domain, libc::AF_INET | libc::AF_INET6)
    }

    fn has_path(&self, _: &str) -> bool {
        false
    }

    fn has_port(&self, _: u16) -> bool {
        false
    }
}

/// The paths that a call names.
pub struct Paths<'a>(pub &'a [&'a CStr]);

impl Subject for Paths<'_> {
    fn is_inet(&self) -> bool {
        false
    }

    fn has_path(&self, prefix: &str) -> bool {
        let begins = |path: &CStr| {
            let path = absolute(Path::new(OsStr::from_bytes(path.to_bytes())));
            path.is_ok_and(|path| path.as_os_str().as_bytes().starts_with(prefix.as_bytes()))
        };
        self.0.iter().any(|path| begins(path))
    }

    fn has_port(&self, _: u16) -> bool {
        false
    }
}
