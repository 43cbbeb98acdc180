//! Output of the library: injected faults go to the fault log, fatal errors to standard error. Both bypass the standard
//! library, whose writes would be subject to the injected faults.

use crate::plan::{Call, Fault};
use libc::{c_int, c_long, syscall};
use std::ffi::CString;
use std::sync::OnceLock;

/// The environment variable that names the fault log.
pub const LOG_VARIABLE: &str = "FAULT_LOG";

/// The open fault log.
static LOG_DESCRIPTOR: OnceLock<c_int> = OnceLock::new();

/// Opens the fault log, if the environment names one.
pub fn open() {
    let Some(path) = std::env::var(LOG_VARIABLE).ok().and_then(|path| CString::new(path).ok()) else {
        return;
    };
    let flags = libc::O_WRONLY | libc::O_CREAT | libc::O_APPEND | libc::O_CLOEXEC;
    let (directory, mode) = (c_long::from(libc::AT_FDCWD), 0o600 as c_long);
    // SAFETY: the path ends in a zero byte.
    let descriptor =
        unsafe { syscall(libc::SYS_openat, directory, path.as_ptr(), c_long::from(flags), mode) };
    match c_int::try_from(descriptor) {
        Ok(descriptor) if descriptor >= 0 => drop(LOG_DESCRIPTOR.set(descriptor)),
        _ => exit_with_error(&format!("`{LOG_VARIABLE}`: cannot open {path:?}")),
    }
}

/// Appends the line `call fault` to the fault log, if there is one.
pub fn record(call: Call, fault: Fault) {
    if let Some(&descriptor) = LOG_DESCRIPTOR.get() {
        write(descriptor, &format!("{} {fault}\n", call.name()));
    }
}

/// Prints one line to standard error and ends the process with status 2.
pub fn exit_with_error(message: &str) -> ! {
    write(libc::STDERR_FILENO, &format!("fault-injector: {message}\n"));
    // SAFETY: nothing in this process needs cleanup before it exits.
    unsafe { libc::_exit(2) }
}

/// Writes the text by a direct system call, ignoring errors.
fn write(descriptor: c_int, text: &str) {
    // SAFETY: the text is readable for its length.
    unsafe { syscall(libc::SYS_write, c_long::from(descriptor), text.as_ptr(), text.len()) };
}
