//! What the library writes: its faults to the log, and what is wrong with a plan to standard error. Neither goes
//! through the standard library, whose writes would meet the faults themselves.

use crate::plan::{Call, Fault};
use libc::{c_int, c_long, syscall};
use std::ffi::CString;
use std::sync::OnceLock;

/// The file that faults are noted in.
pub const VARIABLE: &str = "FAULT_LOG";

static LOG: OnceLock<c_int> = OnceLock::new();

/// Opens the log, if there is to be one.
pub fn open() {
    let Some(path) = std::env::var(VARIABLE).ok().and_then(|path| CString::new(path).ok()) else { return };
    let flags = libc::O_WRONLY | libc::O_CREAT | libc::O_APPEND | libc::O_CLOEXEC;
    let (directory, mode) = (c_long::from(libc::AT_FDCWD), 0o600 as c_long);
    // SAFETY: the path ends in a zero byte.
    let log = unsafe { syscall(libc::SYS_openat, directory, path.as_ptr(), c_long::from(flags), mode) };
    match c_int::try_from(log) {
        Ok(log) if log >= 0 => drop(LOG.set(log)),
        _ => give_up(&format!("`{VARIABLE}` cannot be opened")),
    }
}

/// Notes a fault.
pub fn note(call: Call, fault: Fault) {
    if let Some(&log) = LOG.get() {
        write(log, &format!("{} {fault}\n", call.name()));
    }
}

/// Ends the process with one line.
pub fn give_up(text: &str) -> ! {
    write(libc::STDERR_FILENO, &format!("fault-injector: {text}\n"));
    // SAFETY: nothing of this process has to be put in order.
    unsafe { libc::_exit(2) }
}

fn write(descriptor: c_int, text: &str) {
    // SAFETY: the text is readable for its length.
    unsafe { syscall(libc::SYS_write, c_long::from(descriptor), text.as_ptr(), text.len()) };
}
