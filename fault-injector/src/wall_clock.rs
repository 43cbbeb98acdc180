//! Steps of the wall clock. The file named by `WALL_CLOCK_STEP` holds the offset of the wall clock in milliseconds,
//! negative if the clock is behind. The file is read with each reading of the clock, so that a test can step the clock
//! while the program runs. Without the file there is no offset. The monotonic clocks are unaffected.

use libc::{c_char, c_int, c_long, clockid_t, syscall, timespec};
use std::ffi::CString;
use std::sync::OnceLock;

/// The environment variable that names the step file.
const STEP_VARIABLE: &str = "WALL_CLOCK_STEP";
const MILLIS_PER_SECOND: i64 = 1_000;
const NANOS_PER_MILLI: i64 = 1_000_000;

/// The path of the step file, if the environment names one.
static STEP_FILE: OnceLock<CString> = OnceLock::new();

/// Reads the path of the step file from the environment, before the program runs.
pub fn initialize() {
    if let Some(path) = std::env::var(STEP_VARIABLE).ok().and_then(|path| CString::new(path).ok()) {
        drop(STEP_FILE.set(path));
    }
}

/// Reads the current offset in milliseconds, or `None` if the file is absent or malformed. The file is read by direct
/// system calls, as the wrappers may inject faults.
fn read_step_ms() -> Option<i64> {
    let path: *const c_char = STEP_FILE.get()?.as_ptr();
    let mut text = [0_u8; 32];
    // SAFETY: the path ends in a zero byte, and the buffer can hold the number of bytes requested.
    let bytes_read = unsafe {
        let flags = c_long::from(libc::O_RDONLY | libc::O_CLOEXEC);
        let descriptor = syscall(libc::SYS_openat, c_long::from(libc::AT_FDCWD), path, flags, 0 as c_long);
        if descriptor < 0 {
            return None;
        }
        let bytes_read = syscall(libc::SYS_read, descriptor, text.as_mut_ptr(), text.len());
        syscall(libc::SYS_close, descriptor);
        bytes_read
    };
    let text = text.get(..usize::try_from(bytes_read).ok()?)?;
    str::from_utf8(text).ok()?.trim().parse().ok()
}

/// Adds a number of milliseconds to a time.
fn shift(time: timespec, step_ms: i64) -> timespec {
    let milliseconds = time.tv_nsec / NANOS_PER_MILLI + step_ms;
    timespec {
        tv_sec: time.tv_sec + milliseconds.div_euclid(MILLIS_PER_SECOND),
        tv_nsec: milliseconds.rem_euclid(MILLIS_PER_SECOND) * NANOS_PER_MILLI
            + time.tv_nsec % NANOS_PER_MILLI,
    }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    // SAFETY: the arguments are those of the caller, who has to meet the requirements of the system call.
    let result = unsafe { syscall(libc::SYS_clock_gettime, c_long::from(clock), time) } as c_int;
    if result == 0
        && clock == libc::CLOCK_REALTIME
        && let Some(step_ms) = read_step_ms()
    {
        // SAFETY: the kernel has just written to `time`.
        unsafe { *time = shift(*time, step_ms) };
    }
    result
}
