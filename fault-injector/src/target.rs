//! The targets of system calls: a descriptor, a socket address, a new socket, or paths.

use crate::plan::Target;
use libc::{c_int, c_long, sockaddr, socklen_t, syscall};
use std::ffi::{CStr, CString, OsStr};
use std::mem::{MaybeUninit, size_of};
use std::os::unix::ffi::OsStrExt;
use std::path::{Path, absolute};

/// The size of the buffer for the path of a descriptor. A longer path is truncated.
const MAX_PATH_BYTES: usize = libc::PATH_MAX as usize;

/// A file descriptor that a call operates on.
pub struct Descriptor(pub c_int);

impl Descriptor {
    /// Returns the address family and port of one end of a socket, as `getsockname` or `getpeername` reports them.
    /// `None` if the descriptor is not an IPv4 or IPv6 socket, or has no such end.
    fn socket_family_and_port(&self, syscall_number: c_long) -> Option<(u16, u16)> {
        let mut storage = MaybeUninit::<libc::sockaddr_storage>::zeroed();
        let mut length = size_of::<libc::sockaddr_storage>() as socklen_t;
        // SAFETY: the kernel writes at most `length` bytes, which is the size of the storage.
        let result =
            unsafe { syscall(syscall_number, c_long::from(self.0), storage.as_mut_ptr(), &raw mut length) };
        // SAFETY: all of the storage is initialized with zeros, and any bytes make a valid value.
        (result == 0).then(|| unsafe { family_and_port(storage.as_ptr().cast(), length) }).flatten()
    }
}

impl Target for Descriptor {
    fn is_inet(&self) -> bool {
        self.socket_family_and_port(libc::SYS_getsockname).is_some()
    }

    fn has_path_prefix(&self, prefix: &str) -> bool {
        let Ok(link) = CString::new(format!("/proc/self/fd/{}", self.0)) else { return false };
        let mut path = [0_u8; MAX_PATH_BYTES];
        // SAFETY: the link ends in a zero byte, and the kernel writes at most as many bytes as the buffer holds.
        let length = unsafe {
            let directory = c_long::from(libc::AT_FDCWD);
            syscall(libc::SYS_readlinkat, directory, link.as_ptr(), path.as_mut_ptr(), path.len())
        };
        let length = usize::try_from(length).unwrap_or(0);
        path[..length].starts_with(prefix.as_bytes())
    }

    fn has_port(&self, port: u16) -> bool {
        let addresses = [libc::SYS_getsockname, libc::SYS_getpeername]
            .map(|syscall_number| self.socket_family_and_port(syscall_number));
        addresses.iter().flatten().any(|(_, socket_port)| *socket_port == port)
    }
}

/// The socket address in the arguments of a `bind` or `connect` call.
pub struct Address {
    family_and_port: Option<(u16, u16)>,
}

impl Address {
    /// Reads the family and port of an address argument.
    ///
    /// # Safety
    ///
    /// The address must be readable for `length` bytes, unless it is null.
    pub unsafe fn new(address: *const sockaddr, length: socklen_t) -> Self {
        // SAFETY: guaranteed by the caller.
        Self { family_and_port: unsafe { family_and_port(address, length) } }
    }
}

impl Target for Address {
    fn is_inet(&self) -> bool {
        self.family_and_port.is_some()
    }

    fn has_path_prefix(&self, _: &str) -> bool {
        false
    }

    fn has_port(&self, port: u16) -> bool {
        self.family_and_port.is_some_and(|(_, address_port)| address_port == port)
    }
}

/// Reads the family and port of an IPv4 or IPv6 address; both families store the port at the same offset.
/// `None` for any other family.
///
/// # Safety
///
/// The address must be readable for `length` bytes, unless it is null.
unsafe fn family_and_port(address: *const sockaddr, length: socklen_t) -> Option<(u16, u16)> {
    if address.is_null() || (length as usize) < size_of::<libc::sockaddr_in>() {
        return None;
    }
    // SAFETY: the address is at least as long as an IPv4 address, by the check above, and an unaligned read needs no
    // alignment.
    let address = unsafe { address.cast::<libc::sockaddr_in>().read_unaligned() };
    let is_inet = matches!(c_int::from(address.sin_family), libc::AF_INET | libc::AF_INET6);
    is_inet.then(|| (address.sin_family, u16::from_be(address.sin_port)))
}

/// A socket that the call creates.
pub struct NewSocket {
    /// The address family, such as `AF_INET`.
    pub domain: c_int,
}

impl Target for NewSocket {
    fn is_inet(&self) -> bool {
        matches!(self.domain, libc::AF_INET | libc::AF_INET6)
    }

    fn has_path_prefix(&self, _: &str) -> bool {
        false
    }

    fn has_port(&self, _: u16) -> bool {
        false
    }
}

/// The paths in the arguments of a call.
pub struct Paths<'a>(pub &'a [&'a CStr]);

impl Target for Paths<'_> {
    fn is_inet(&self) -> bool {
        false
    }

    fn has_path_prefix(&self, prefix: &str) -> bool {
        let has_prefix = |path: &CStr| {
            let path = absolute(Path::new(OsStr::from_bytes(path.to_bytes())));
            path.is_ok_and(|path| path.as_os_str().as_bytes().starts_with(prefix.as_bytes()))
        };
        self.0.iter().any(|path| has_prefix(path))
    }

    fn has_port(&self, _: u16) -> bool {
        false
    }
}
