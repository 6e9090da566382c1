//! Replaces the C library's clock in processes under test, so that a test can step their time of day.
//!
//! A process that loads this library before its others adds an offset to the time of day. The offset, in milliseconds as a
//! signed 64-bit number, is read from the file that the variable `CLOCK_OFFSET_FILE` names. Other clocks stay as they are.

use std::ffi::{c_int, c_long};
use std::fs::File;
use std::os::unix::fs::FileExt;
use std::sync::OnceLock;

unsafe extern "C" {
    fn syscall(number: c_long, ...) -> c_long;
}

/// Number of the system call that reads a clock.
#[cfg(target_arch = "x86_64")]
const CLOCK_GETTIME: c_long = 228;
#[cfg(target_arch = "aarch64")]
const CLOCK_GETTIME: c_long = 113;

/// Clock with the time of day.
const CLOCK_REALTIME: c_int = 0;
const MS_PER_S: i64 = 1_000;
const NS_PER_MS: i64 = 1_000_000;
const NS_PER_S: i64 = MS_PER_S * NS_PER_MS;

/// Time as the C library represents it.
#[repr(C)]
pub struct Timespec {
    seconds: i64,
    nanoseconds: i64,
}

/// File with the offset; `None` if the variable names none.
static OFFSET_FILE: OnceLock<Option<File>> = OnceLock::new();

/// Reads the present offset, in milliseconds.
fn read_offset() -> i64 {
    let open = || std::env::var_os("CLOCK_OFFSET_FILE").and_then(|path| File::open(path).ok());
    let mut bytes = [0; size_of::<i64>()];
    match OFFSET_FILE.get_or_init(open) {
        Some(file) if file.read_exact_at(&mut bytes, 0).is_ok() => i64::from_ne_bytes(bytes),
        _ => 0,
    }
}

/// Reads a clock as the C library's function of this name does, with the offset added to the time of day.
///
/// # Safety
/// `time` must point to a time that may be written.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: c_int, time: *mut Timespec) -> c_int {
    let result = unsafe { syscall(CLOCK_GETTIME, clock, time) } as c_int;
    if result != 0 || clock != CLOCK_REALTIME {
        return result;
    }
    let offset_ms = read_offset();
    let time = unsafe { &mut *time };
    let nanoseconds = time.nanoseconds + offset_ms.rem_euclid(MS_PER_S) * NS_PER_MS;
    time.seconds += offset_ms.div_euclid(MS_PER_S) + nanoseconds / NS_PER_S;
    time.nanoseconds = nanoseconds % NS_PER_S;
    result
}
