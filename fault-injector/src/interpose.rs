//! The C library's wrappers of the system calls, with faults. What is not struck is handed to the kernel as it came.
//!
//! None of them is called from Rust: the dynamic linker prefers them to those of the C library, as this library is
//! loaded first. The safety comments of the calls are one: the arguments are those of the caller, who has promised the
//! kernel what the call asks for.

use crate::log;
use crate::plan::{Call, Fault, Plan, Subject};
use crate::target::{Address, Descriptor, NewSocket, Paths};
use crate::wall_clock;
use libc::{
    c_char, c_int, c_long, c_void, epoll_event, iovec, mode_t, msghdr, size_t, sockaddr, socklen_t, ssize_t,
    syscall,
};
use std::ffi::CStr;
use std::sync::OnceLock;

/// Where the plan is.
const VARIABLE: &str = "FAULT_PLAN";

static PLAN: OnceLock<Plan> = OnceLock::new();

/// Runs when the library is loaded, before the program.
#[used]
#[unsafe(link_section = ".init_array")]
static LOAD: extern "C" fn() = load;

extern "C" fn load() {
    wall_clock::load();
    let Some(text) = std::env::var_os(VARIABLE) else { return };
    log::open();
    match text.to_string_lossy().parse() {
        Ok(plan) => drop(PLAN.set(plan)),
        Err(error) => log::give_up(&format!("`{VARIABLE}`: {error}")),
    }
}

/// How a call goes on.
enum Course {
    /// It is made.
    Made,
    /// It is made for so many bytes at most.
    MadeFor(usize),
    /// It has failed, with `errno` set.
    Failed,
}

/// Looks up what happens to a call.
fn strike(call: Call, subject: &dyn Subject) -> Course {
    let Some(fault) = PLAN.get().and_then(|plan| plan.strike(call, subject)) else { return Course::Made };
    log::note(call, fault);
    match fault {
        Fault::Errno(errno) => {
            // SAFETY: the C library gives each thread its own `errno`.
            unsafe { *libc::__errno_location() = errno };
            Course::Failed
        }
        Fault::Short(bytes) => Course::MadeFor(bytes),
        Fault::Delay(delay) => {
            std::thread::sleep(delay);
            Course::Made
        }
        Fault::Kill => {
            // SAFETY: it takes no memory of ours.
            unsafe { libc::kill(libc::getpid(), libc::SIGKILL) };
            Course::Failed
        }
    }
}

/// Makes a call, unless it is struck. Its bytes, if it moves any, are not cut.
fn call(call: Call, subject: &dyn Subject, make: impl FnOnce() -> c_long) -> c_int {
    match strike(call, subject) {
        Course::Made | Course::MadeFor(_) => make() as c_int,
        Course::Failed => -1,
    }
}

/// Makes a call that moves bytes, perhaps fewer than it was asked for.
fn transfer(call: Call, fd: c_int, asked: size_t, make: impl FnOnce(size_t) -> c_long) -> ssize_t {
    match strike(call, &Descriptor(fd)) {
        Course::Made => make(asked) as ssize_t,
        Course::MadeFor(most) => make(asked.min(most)) as ssize_t,
        Course::Failed => -1,
    }
}

/// The first of some buffers that holds anything, cut to so many bytes.
///
/// # Safety
///
/// `count` buffers have to be readable.
unsafe fn first_of(buffers: *const iovec, count: c_int, most: usize) -> iovec {
    let empty = iovec { iov_base: std::ptr::null_mut(), iov_len: 0 };
    let count = usize::try_from(count).unwrap_or(0);
    if buffers.is_null() || count == 0 {
        return empty;
    }
    // SAFETY: the caller's promise.
    let buffers = unsafe { std::slice::from_raw_parts(buffers, count) };
    let first = buffers.iter().find(|buffer| buffer.iov_len > 0).copied().unwrap_or(empty);
    iovec { iov_len: first.iov_len.min(most), ..first }
}

/// A path as the C library takes it.
///
/// # Safety
///
/// The path has to end in a zero byte, and to stay for as long as it is used.
unsafe fn path<'a>(path: *const c_char) -> &'a CStr {
    if path.is_null() {
        return c"";
    }
    // SAFETY: the caller's promise.
    unsafe { CStr::from_ptr(path) }
}

// ---- Sockets ----

#[unsafe(no_mangle)]
unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    call(Call::Socket, &NewSocket { domain }, || unsafe {
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
    call(Call::Accept, &Descriptor(fd), || unsafe {
        syscall(libc::SYS_accept4, c_long::from(fd), address, length, c_long::from(flags))
    })
}

#[unsafe(no_mangle)]
unsafe extern "C" fn connect(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    call(Call::Connect, &unsafe { Address::new(address, length) }, || unsafe {
        syscall(libc::SYS_connect, c_long::from(fd), address, c_long::from(length))
    })
}

#[unsafe(no_mangle)]
unsafe extern "C" fn bind(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    call(Call::Bind, &unsafe { Address::new(address, length) }, || unsafe {
        syscall(libc::SYS_bind, c_long::from(fd), address, c_long::from(length))
    })
}

#[unsafe(no_mangle)]
unsafe extern "C" fn listen(fd: c_int, backlog: c_int) -> c_int {
    call(Call::Listen, &Descriptor(fd), || unsafe {
        syscall(libc::SYS_listen, c_long::from(fd), c_long::from(backlog))
    })
}

#[unsafe(no_mangle)]
unsafe extern "C" fn setsockopt(
    fd: c_int,
    level: c_int,
    name: c_int,
    value: *const c_void,
    length: socklen_t,
) -> c_int {
    call(Call::SetSockOpt, &Descriptor(fd), || unsafe {
        let (level, name) = (c_long::from(level), c_long::from(name));
        syscall(libc::SYS_setsockopt, c_long::from(fd), level, name, value, c_long::from(length))
    })
}

// ---- Reads and writes ----

#[unsafe(no_mangle)]
unsafe extern "C" fn read(fd: c_int, buffer: *mut c_void, size: size_t) -> ssize_t {
    transfer(Call::Read, fd, size, |size| unsafe { syscall(libc::SYS_read, c_long::from(fd), buffer, size) })
}

#[unsafe(no_mangle)]
unsafe extern "C" fn readv(fd: c_int, buffers: *const iovec, count: c_int) -> ssize_t {
    match strike(Call::Read, &Descriptor(fd)) {
        Course::Made => unsafe {
            syscall(libc::SYS_readv, c_long::from(fd), buffers, c_long::from(count)) as ssize_t
        },
        Course::MadeFor(most) => unsafe {
            let first = first_of(buffers, count, most);
            syscall(libc::SYS_read, c_long::from(fd), first.iov_base, first.iov_len) as ssize_t
        },
        Course::Failed => -1,
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
    transfer(Call::Read, fd, size, |size| unsafe {
        syscall(libc::SYS_recvfrom, c_long::from(fd), buffer, size, c_long::from(flags), address, length)
    })
}

#[unsafe(no_mangle)]
unsafe extern "C" fn write(fd: c_int, buffer: *const c_void, size: size_t) -> ssize_t {
    transfer(Call::Write, fd, size, |size| unsafe {
        syscall(libc::SYS_write, c_long::from(fd), buffer, size)
    })
}

#[unsafe(no_mangle)]
unsafe extern "C" fn writev(fd: c_int, buffers: *const iovec, count: c_int) -> ssize_t {
    match strike(Call::Write, &Descriptor(fd)) {
        Course::Made => unsafe {
            syscall(libc::SYS_writev, c_long::from(fd), buffers, c_long::from(count)) as ssize_t
        },
        Course::MadeFor(most) => unsafe {
            let first = first_of(buffers, count, most);
            syscall(libc::SYS_write, c_long::from(fd), first.iov_base, first.iov_len) as ssize_t
        },
        Course::Failed => -1,
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
    transfer(Call::Write, fd, size, |size| unsafe {
        let (flags, length) = (c_long::from(flags), c_long::from(length));
        syscall(libc::SYS_sendto, c_long::from(fd), buffer, size, flags, address, length)
    })
}

/// A message is not cut: it may carry more than bytes.
#[unsafe(no_mangle)]
unsafe extern "C" fn sendmsg(fd: c_int, message: *const msghdr, flags: c_int) -> ssize_t {
    transfer(Call::Write, fd, 0, |_| unsafe {
        syscall(libc::SYS_sendmsg, c_long::from(fd), message, c_long::from(flags))
    })
}

// ---- Waits ----

#[unsafe(no_mangle)]
unsafe extern "C" fn epoll_ctl(epoll: c_int, operation: c_int, fd: c_int, event: *mut epoll_event) -> c_int {
    call(Call::EpollCtl, &Descriptor(fd), || unsafe {
        syscall(libc::SYS_epoll_ctl, c_long::from(epoll), c_long::from(operation), c_long::from(fd), event)
    })
}

#[unsafe(no_mangle)]
unsafe extern "C" fn epoll_wait(
    epoll: c_int,
    events: *mut epoll_event,
    most: c_int,
    timeout: c_int,
) -> c_int {
    call(Call::EpollWait, &Descriptor(epoll), || unsafe {
        let no_mask = std::ptr::null::<libc::sigset_t>();
        let (most, timeout) = (c_long::from(most), c_long::from(timeout));
        syscall(libc::SYS_epoll_pwait, c_long::from(epoll), events, most, timeout, no_mask, 0_usize)
    })
}

// ---- Files ----

/// Variadic in C. On the machines of Linux with 64 bits the mode comes in the same register, and it is of use to the
/// kernel only where the flags ask for it.
#[unsafe(no_mangle)]
unsafe extern "C" fn open(name: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    unsafe { openat(libc::AT_FDCWD, name, flags, mode) }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn open64(name: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    unsafe { openat(libc::AT_FDCWD, name, flags | libc::O_LARGEFILE, mode) }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn openat(directory: c_int, name: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    call(Call::Open, &Paths(&[unsafe { path(name) }]), || unsafe {
        let (flags, mode) = (c_long::from(flags), c_long::from(mode));
        syscall(libc::SYS_openat, c_long::from(directory), name, flags, mode)
    })
}

#[unsafe(no_mangle)]
unsafe extern "C" fn fsync(fd: c_int) -> c_int {
    call(Call::Fsync, &Descriptor(fd), || unsafe { syscall(libc::SYS_fsync, c_long::from(fd)) })
}

#[unsafe(no_mangle)]
unsafe extern "C" fn fdatasync(fd: c_int) -> c_int {
    call(Call::Fdatasync, &Descriptor(fd), || unsafe { syscall(libc::SYS_fdatasync, c_long::from(fd)) })
}

#[unsafe(no_mangle)]
unsafe extern "C" fn flock(fd: c_int, operation: c_int) -> c_int {
    call(Call::Flock, &Descriptor(fd), || unsafe {
        syscall(libc::SYS_flock, c_long::from(fd), c_long::from(operation))
    })
}

#[unsafe(no_mangle)]
unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    let paths = unsafe { [path(from), path(to)] };
    call(Call::Rename, &Paths(&paths), || unsafe {
        let directory = c_long::from(libc::AT_FDCWD);
        syscall(libc::SYS_renameat2, directory, from, directory, to, 0 as c_long)
    })
}

#[unsafe(no_mangle)]
unsafe extern "C" fn unlink(name: *const c_char) -> c_int {
    call(Call::Unlink, &Paths(&[unsafe { path(name) }]), || unsafe {
        syscall(libc::SYS_unlinkat, c_long::from(libc::AT_FDCWD), name, 0 as c_long)
    })
}
