//! Wrappers that replace the system call functions of the C library and inject faults. A call without a fault is passed
//! to the kernel with unchanged arguments.
//!
//! Rust code does not call the wrappers directly: this library is preloaded, so the dynamic linker resolves the
//! functions to them rather than to the C library. One safety argument applies to the `unsafe` blocks of all wrappers:
//! the arguments are those of the caller, who has to meet the requirements of the system call.

use crate::log;
use crate::plan::{Call, Fault, Plan, Target};
use crate::target::{Address, Descriptor, NewSocket, Paths};
use crate::wall_clock;
use libc::{
    c_char, c_int, c_long, c_void, epoll_event, iovec, mode_t, msghdr, size_t, sockaddr, socklen_t, ssize_t,
    syscall,
};
use std::ffi::CStr;
use std::sync::OnceLock;

/// The environment variable that holds the plan.
const PLAN_VARIABLE: &str = "FAULT_PLAN";

static PLAN: OnceLock<Plan> = OnceLock::new();

/// Makes the dynamic linker run `initialize` when it loads the library, before the program's `main`.
#[used]
#[unsafe(link_section = ".init_array")]
static INITIALIZER: extern "C" fn() = initialize;

/// Reads the settings of the injector from the environment. A plan that does not parse ends the process.
extern "C" fn initialize() {
    wall_clock::initialize();
    let Some(text) = std::env::var_os(PLAN_VARIABLE) else { return };
    log::open();
    match text.to_string_lossy().parse() {
        Ok(plan) => drop(PLAN.set(plan)),
        Err(error) => log::exit_with_error(&format!("`{PLAN_VARIABLE}`: {error}")),
    }
}

/// How a wrapper proceeds with a call.
enum Disposition {
    /// Make the call.
    Proceed,
    /// Make the call for at most this number of bytes.
    ProceedUpTo(usize),
    /// Do not make the call, and return -1; `errno` is set.
    Failed,
}

/// Selects the fault for a call, if any, logs it and applies it. Limiting the bytes is left to the wrapper.
fn inject_fault(call: Call, target: &dyn Target) -> Disposition {
    let Some(fault) = PLAN.get().and_then(|plan| plan.select_fault(call, target)) else {
        return Disposition::Proceed;
    };
    log::record(call, fault);
    match fault {
        Fault::Errno(errno) => {
            // SAFETY: the C library gives each thread its own `errno`.
            unsafe { *libc::__errno_location() = errno };
            Disposition::Failed
        }
        Fault::Short(bytes) => Disposition::ProceedUpTo(bytes),
        Fault::Delay(delay) => {
            std::thread::sleep(delay);
            Disposition::Proceed
        }
        Fault::Kill => {
            // SAFETY: `kill` accesses no memory of this process.
            unsafe { libc::kill(libc::getpid(), libc::SIGKILL) };
            Disposition::Failed
        }
    }
}

/// Makes a call, unless a fault replaces it. A limit on the number of bytes does not apply.
fn wrap_call(call: Call, target: &dyn Target, invoke: impl FnOnce() -> c_long) -> c_int {
    match inject_fault(call, target) {
        Disposition::Proceed | Disposition::ProceedUpTo(_) => invoke() as c_int,
        Disposition::Failed => -1,
    }
}

/// Makes a call that transfers bytes, unless a fault replaces it. A fault may reduce the number of bytes.
fn wrap_transfer(call: Call, fd: c_int, requested: size_t, invoke: impl FnOnce(size_t) -> c_long) -> ssize_t {
    match inject_fault(call, &Descriptor(fd)) {
        Disposition::Proceed => invoke(requested) as ssize_t,
        Disposition::ProceedUpTo(max_bytes) => invoke(requested.min(max_bytes)) as ssize_t,
        Disposition::Failed => -1,
    }
}

/// Returns the first non-empty buffer, limited to `max_bytes`, or an empty buffer if there is none.
///
/// # Safety
///
/// `buffers` must be null or point to `count` readable elements.
unsafe fn first_nonempty_buffer(buffers: *const iovec, count: c_int, max_bytes: usize) -> iovec {
    let empty = iovec { iov_base: std::ptr::null_mut(), iov_len: 0 };
    let count = usize::try_from(count).unwrap_or(0);
    if buffers.is_null() || count == 0 {
        return empty;
    }
    // SAFETY: guaranteed by the caller.
    let buffers = unsafe { std::slice::from_raw_parts(buffers, count) };
    let first = buffers.iter().find(|buffer| buffer.iov_len > 0).copied().unwrap_or(empty);
    iovec { iov_len: first.iov_len.min(max_bytes), ..first }
}

/// Borrows a path argument as a C string. A null pointer counts as the empty path.
///
/// # Safety
///
/// The path must be null or end in a zero byte, and must outlive the returned reference.
unsafe fn borrow_path<'a>(path: *const c_char) -> &'a CStr {
    if path.is_null() {
        return c"";
    }
    // SAFETY: guaranteed by the caller.
    unsafe { CStr::from_ptr(path) }
}

// ---- Sockets ----

#[unsafe(no_mangle)]
unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    wrap_call(Call::Socket, &NewSocket { domain }, || unsafe {
        syscall(libc::SYS_socket, c_long::from(domain), c_long::from(kind), c_long::from(protocol))
    })
}

#[unsafe(no_mangle)]
unsafe extern "C" fn accept(fd: c_int, address: *mut sockaddr, length: *mut socklen_t) -> c_int {
    unsafe { accept4(fd, address, length, 0) }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn accept4(
    fd: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    wrap_call(Call::Accept, &Descriptor(fd), || unsafe {
        syscall(libc::SYS_accept4, c_long::from(fd), address, length, c_long::from(flags))
    })
}

#[unsafe(no_mangle)]
unsafe extern "C" fn connect(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    wrap_call(Call::Connect, &unsafe { Address::new(address, length) }, || unsafe {
        syscall(libc::SYS_connect, c_long::from(fd), address, c_long::from(length))
    })
}

#[unsafe(no_mangle)]
unsafe extern "C" fn bind(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    wrap_call(Call::Bind, &unsafe { Address::new(address, length) }, || unsafe {
        syscall(libc::SYS_bind, c_long::from(fd), address, c_long::from(length))
    })
}

#[unsafe(no_mangle)]
unsafe extern "C" fn listen(fd: c_int, backlog: c_int) -> c_int {
    wrap_call(Call::Listen, &Descriptor(fd), || unsafe {
        syscall(libc::SYS_listen, c_long::from(fd), c_long::from(backlog))
    })
}

#[unsafe(no_mangle)]
unsafe extern "C" fn setsockopt(
    fd: c_int,
    level: c_int,
    option: c_int,
    value: *const c_void,
    length: socklen_t,
) -> c_int {
    wrap_call(Call::SetSockOpt, &Descriptor(fd), || unsafe {
        let (level, option) = (c_long::from(level), c_long::from(option));
        syscall(libc::SYS_setsockopt, c_long::from(fd), level, option, value, c_long::from(length))
    })
}

// ---- Reads and writes ----

#[unsafe(no_mangle)]
unsafe extern "C" fn read(fd: c_int, buffer: *mut c_void, size: size_t) -> ssize_t {
    wrap_transfer(Call::Read, fd, size, |size| unsafe {
        syscall(libc::SYS_read, c_long::from(fd), buffer, size)
    })
}

#[unsafe(no_mangle)]
unsafe extern "C" fn readv(fd: c_int, buffers: *const iovec, count: c_int) -> ssize_t {
    match inject_fault(Call::Read, &Descriptor(fd)) {
        Disposition::Proceed => unsafe {
            syscall(libc::SYS_readv, c_long::from(fd), buffers, c_long::from(count)) as ssize_t
        },
        Disposition::ProceedUpTo(max_bytes) => unsafe {
            let first = first_nonempty_buffer(buffers, count, max_bytes);
            syscall(libc::SYS_read, c_long::from(fd), first.iov_base, first.iov_len) as ssize_t
        },
        Disposition::Failed => -1,
    }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn recv(fd: c_int, buffer: *mut c_void, size: size_t, flags: c_int) -> ssize_t {
    unsafe { recvfrom(fd, buffer, size, flags, std::ptr::null_mut(), std::ptr::null_mut()) }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn recvfrom(
    fd: c_int,
    buffer: *mut c_void,
    size: size_t,
    flags: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
) -> ssize_t {
    wrap_transfer(Call::Read, fd, size, |size| unsafe {
        syscall(libc::SYS_recvfrom, c_long::from(fd), buffer, size, c_long::from(flags), address, length)
    })
}

#[unsafe(no_mangle)]
unsafe extern "C" fn write(fd: c_int, buffer: *const c_void, size: size_t) -> ssize_t {
    wrap_transfer(Call::Write, fd, size, |size| unsafe {
        syscall(libc::SYS_write, c_long::from(fd), buffer, size)
    })
}

#[unsafe(no_mangle)]
unsafe extern "C" fn writev(fd: c_int, buffers: *const iovec, count: c_int) -> ssize_t {
    match inject_fault(Call::Write, &Descriptor(fd)) {
        Disposition::Proceed => unsafe {
            syscall(libc::SYS_writev, c_long::from(fd), buffers, c_long::from(count)) as ssize_t
        },
        Disposition::ProceedUpTo(max_bytes) => unsafe {
            let first = first_nonempty_buffer(buffers, count, max_bytes);
            syscall(libc::SYS_write, c_long::from(fd), first.iov_base, first.iov_len) as ssize_t
        },
        Disposition::Failed => -1,
    }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn send(fd: c_int, buffer: *const c_void, size: size_t, flags: c_int) -> ssize_t {
    unsafe { sendto(fd, buffer, size, flags, std::ptr::null(), 0) }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn sendto(
    fd: c_int,
    buffer: *const c_void,
    size: size_t,
    flags: c_int,
    address: *const sockaddr,
    length: socklen_t,
) -> ssize_t {
    wrap_transfer(Call::Write, fd, size, |size| unsafe {
        let (flags, length) = (c_long::from(flags), c_long::from(length));
        syscall(libc::SYS_sendto, c_long::from(fd), buffer, size, flags, address, length)
    })
}

/// The message is never shortened, as it may carry ancillary data.
#[unsafe(no_mangle)]
unsafe extern "C" fn sendmsg(fd: c_int, message: *const msghdr, flags: c_int) -> ssize_t {
    wrap_transfer(Call::Write, fd, 0, |_| unsafe {
        syscall(libc::SYS_sendmsg, c_long::from(fd), message, c_long::from(flags))
    })
}

// ---- Event polling ----

#[unsafe(no_mangle)]
unsafe extern "C" fn epoll_ctl(epoll: c_int, operation: c_int, fd: c_int, event: *mut epoll_event) -> c_int {
    wrap_call(Call::EpollCtl, &Descriptor(fd), || unsafe {
        syscall(libc::SYS_epoll_ctl, c_long::from(epoll), c_long::from(operation), c_long::from(fd), event)
    })
}

#[unsafe(no_mangle)]
unsafe extern "C" fn epoll_wait(
    epoll: c_int,
    events: *mut epoll_event,
    max_events: c_int,
    timeout: c_int,
) -> c_int {
    wrap_call(Call::EpollWait, &Descriptor(epoll), || unsafe {
        let no_mask = std::ptr::null::<libc::sigset_t>();
        let (max_events, timeout) = (c_long::from(max_events), c_long::from(timeout));
        syscall(libc::SYS_epoll_pwait, c_long::from(epoll), events, max_events, timeout, no_mask, 0_usize)
    })
}

// ---- Files ----

/// Variadic in C. On 64-bit Linux the optional mode is passed in the same register as a fixed third argument, and the
/// kernel uses it only if the flags require a mode.
#[unsafe(no_mangle)]
unsafe extern "C" fn open(pathname: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    unsafe { openat(libc::AT_FDCWD, pathname, flags, mode) }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn open64(pathname: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    unsafe { openat(libc::AT_FDCWD, pathname, flags | libc::O_LARGEFILE, mode) }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn openat(directory: c_int, pathname: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    wrap_call(Call::Open, &Paths(&[unsafe { borrow_path(pathname) }]), || unsafe {
        let (flags, mode) = (c_long::from(flags), c_long::from(mode));
        syscall(libc::SYS_openat, c_long::from(directory), pathname, flags, mode)
    })
}

#[unsafe(no_mangle)]
unsafe extern "C" fn fsync(fd: c_int) -> c_int {
    wrap_call(Call::Fsync, &Descriptor(fd), || unsafe { syscall(libc::SYS_fsync, c_long::from(fd)) })
}

#[unsafe(no_mangle)]
unsafe extern "C" fn fdatasync(fd: c_int) -> c_int {
    wrap_call(Call::Fdatasync, &Descriptor(fd), || unsafe { syscall(libc::SYS_fdatasync, c_long::from(fd)) })
}

#[unsafe(no_mangle)]
unsafe extern "C" fn flock(fd: c_int, operation: c_int) -> c_int {
    wrap_call(Call::Flock, &Descriptor(fd), || unsafe {
        syscall(libc::SYS_flock, c_long::from(fd), c_long::from(operation))
    })
}

#[unsafe(no_mangle)]
unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    let paths = unsafe { [borrow_path(from), borrow_path(to)] };
    wrap_call(Call::Rename, &Paths(&paths), || unsafe {
        let directory = c_long::from(libc::AT_FDCWD);
        syscall(libc::SYS_renameat2, directory, from, directory, to, 0 as c_long)
    })
}

#[unsafe(no_mangle)]
unsafe extern "C" fn unlink(pathname: *const c_char) -> c_int {
    wrap_call(Call::Unlink, &Paths(&[unsafe { borrow_path(pathname) }]), || unsafe {
        syscall(libc::SYS_unlinkat, c_long::from(libc::AT_FDCWD), pathname, 0 as c_long)
    })
}
