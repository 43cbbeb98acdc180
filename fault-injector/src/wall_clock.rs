//! Steps of the wall clock: the file named by `WALL_CLOCK_STEP` holds the milliseconds by which it is ahead, with a sign
//! if it is behind. It is read with each reading of the clock, so that a test can step it while the program runs. No
//! file is no step. The monotonic clocks run on as they are.

use libc::{c_char, c_int, c_long, clockid_t, syscall, timespec};
use std::ffi::CString;
use std::sync::OnceLock;

/// Where the file is.
const VARIABLE: &str = "WALL_CLOCK_STEP";
const MILLISECONDS: i64 = 1_000;
const NANOSECONDS_EACH: i64 = 1_000_000;

static FILE: OnceLock<CString> = OnceLock::new();

/// Learns where the file is, before the program runs.
pub fn load() {
    if let Some(path) = std::env::var(VARIABLE).ok().and_then(|path| CString::new(path).ok()) {
        drop(FILE.set(path));
    }
}

/// The step in force, in milliseconds. The file is read past the wrappers, which may have faults of their own.
fn step() -> Option<i64> {
    let path: *const c_char = FILE.get()?.as_ptr();
    let mut text = [0_u8; 32];
    // SAFETY: the path ends in a zero byte, and the buffer can hold as many bytes as are asked for.
    let got = unsafe {
        let flags = c_long::from(libc::O_RDONLY | libc::O_CLOEXEC);
        let file = syscall(libc::SYS_openat, c_long::from(libc::AT_FDCWD), path, flags, 0 as c_long);
        if file < 0 {
            return None;
        }
        let got = syscall(libc::SYS_read, file, text.as_mut_ptr(), text.len());
        syscall(libc::SYS_close, file);
        got
    };
    let text = text.get(..usize::try_from(got).ok()?)?;
    str::from_utf8(text).ok()?.trim().parse().ok()
}

/// A time so many milliseconds later.
fn later(time: timespec, by: i64) -> timespec {
    let milliseconds = time.tv_nsec / NANOSECONDS_EACH + by;
    timespec {
        tv_sec: time.tv_sec + milliseconds.div_euclid(MILLISECONDS),
        tv_nsec: milliseconds.rem_euclid(MILLISECONDS) * NANOSECONDS_EACH + time.tv_nsec % NANOSECONDS_EACH,
    }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    // SAFETY: the arguments are those of the caller, who has promised the kernel what the call asks for.
    let result = unsafe { syscall(libc::SYS_clock_gettime, c_long::from(clock), time) } as c_int;
    if result == 0
        && clock == libc::CLOCK_REALTIME
        && let Some(by) = step()
    {
        // SAFETY: the kernel has just written there.
        unsafe { *time = later(*time, by) };
    }
    result
}
