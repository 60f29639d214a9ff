//! The functions that replace those of the C library. Those that can fail draw whether they do, and otherwise pass the
//! call on.

use std::sync::atomic::{AtomicPtr, AtomicU64, Ordering};

use libc::{
    c_char, c_int, c_void, epoll_event, iovec, off_t, size_t, sockaddr, socklen_t, ssize_t, timespec,
};

use crate::faults::{Faults, shift_time, with_faults};
use crate::plan::Call;

/// Returns the original function of the C library.
macro_rules! original {
    ($name:literal, $function:ty) => {{
        static FOUND: AtomicPtr<c_void> = AtomicPtr::new(std::ptr::null_mut());
        let mut found = FOUND.load(Ordering::Relaxed);
        if found.is_null() {
            // SAFETY: the name ends in a zero byte.
            found = unsafe { libc::dlsym(libc::RTLD_NEXT, $name.as_ptr()) };
            FOUND.store(found, Ordering::Relaxed);
        }
        // SAFETY: the C library's function of this name has this type.
        unsafe { std::mem::transmute::<*mut c_void, $function>(found) }
    }};
}

/// Sets errno and returns -1.
fn fail<T: From<i8>>(error: i32) -> T {
    // SAFETY: the pointer is to this thread's errno.
    unsafe { *libc::__errno_location() = error };
    T::from(-1)
}

/// Draws the error of a call, if it fails.
fn draw_error(call: Call) -> Option<i32> {
    with_faults(|faults| faults.draw_error(call))
}

/// Returns the file type of a descriptor (`S_IFREG` and others), or 0 if it is unknown.
fn file_type(fd: c_int) -> u32 {
    // SAFETY: a stat is plain data, for which all zeros are valid.
    let mut stat: libc::stat = unsafe { std::mem::zeroed() };
    // SAFETY: the pointer is to a stat of this frame.
    let found = unsafe { libc::syscall(libc::SYS_fstat, fd, &raw mut stat) };
    if found == 0 { stat.st_mode & libc::S_IFMT } else { 0 }
}

/// Whether a descriptor is a network socket. Socket pairs, with which a process wakes its own threads, can't fail as network
/// connections do and are excluded.
fn is_network_socket(fd: c_int) -> bool {
    let (mut domain, mut length) = (0 as c_int, size_of::<c_int>() as socklen_t);
    // SAFETY: the pointers are to an integer of this frame and its size.
    let found = unsafe {
        let (level, name) = (libc::SOL_SOCKET, libc::SO_DOMAIN);
        libc::syscall(libc::SYS_getsockopt, fd, level, name, &raw mut domain, &raw mut length)
    };
    found == 0 && matches!(domain, libc::AF_INET | libc::AF_INET6)
}

/// The number of words in `BROKEN_SOCKETS`.
const BROKEN_WORDS: usize = 64;
/// The broken sockets, one bit for each descriptor. Sockets with larger descriptors are never broken.
static BROKEN_SOCKETS: [AtomicU64; BROKEN_WORDS] = [const { AtomicU64::new(0) }; BROKEN_WORDS];

/// Returns the word and mask of a descriptor's bit in `BROKEN_SOCKETS`, or none if it has none.
fn broken_bit(fd: c_int) -> Option<(&'static AtomicU64, u64)> {
    let fd = usize::try_from(fd).ok()?;
    let bits = u64::BITS as usize;
    Some((BROKEN_SOCKETS.get(fd / bits)?, 1 << (fd % bits)))
}

/// Whether a socket has received bytes that were not read.
fn has_unread_bytes(fd: c_int) -> bool {
    let mut unread: c_int = 0;
    // SAFETY: the pointer is to an integer of this frame.
    let result = unsafe { libc::ioctl(fd, libc::FIONREAD, &raw mut unread) };
    result == 0 && unread > 0
}

/// Returns the error of a connection that was broken before or breaks now.
fn broken_error(fd: c_int) -> Option<i32> {
    let (word, mask) = broken_bit(fd)?;
    if word.load(Ordering::Relaxed) & mask != 0 {
        return Some(libc::ETIMEDOUT);
    }
    // The system delivers received bytes before it reports a broken connection.
    if has_unread_bytes(fd) {
        return None;
    }
    let error = draw_error(Call::Broken)?;
    word.fetch_or(mask, Ordering::Relaxed);
    // The shutdown makes the other end see the break, too.
    // SAFETY: shutdown accepts any number as a descriptor.
    unsafe { libc::shutdown(fd, libc::SHUT_RDWR) };
    Some(error)
}

/// Marks a descriptor as not broken, since the next socket may get the same number.
fn clear_broken(fd: c_int) {
    if let Some((word, mask)) = broken_bit(fd) {
        word.fetch_and(!mask, Ordering::Relaxed);
    }
}

/// What happens to a read or a write of a socket.
enum Transfer {
    /// The call is passed on.
    Full,
    /// The call is passed on with this smaller length.
    Partial(usize),
    /// The call fails with this error.
    Error(i32),
}

/// Draws what happens to a read or a write of `length` bytes.
fn draw_transfer(fd: c_int, call: Call, length: usize) -> Transfer {
    if !is_network_socket(fd) {
        return Transfer::Full;
    }
    if let Some(error) = broken_error(fd).or_else(|| draw_error(call)) {
        return Transfer::Error(error);
    }
    let partial_length =
        with_faults(|faults: &Faults| faults.draw_error(Call::Short).map(|_| faults.draw_length(length)));
    partial_length.map_or(Transfer::Full, Transfer::Partial)
}

/// # Safety
///
/// The same as for the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    from: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    if let Some(error) = draw_error(Call::Accept) {
        return fail(error);
    }
    let original =
        original!(c"accept4", unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int);
    // SAFETY: the arguments are passed on unchanged.
    unsafe { original(fd, from, length, flags) }
}

/// # Safety
///
/// The same as for the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if let Some(error) = draw_error(Call::Socket) {
        return fail(error);
    }
    let original = original!(c"socket", unsafe extern "C" fn(c_int, c_int, c_int) -> c_int);
    // SAFETY: the arguments are passed on unchanged.
    unsafe { original(domain, kind, protocol) }
}

/// # Safety
///
/// The same as for the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(fd: c_int, to: *const sockaddr, length: socklen_t) -> c_int {
    if let Some(error) = draw_error(Call::Connect) {
        return fail(error);
    }
    let original = original!(c"connect", unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int);
    // SAFETY: the arguments are passed on unchanged.
    unsafe { original(fd, to, length) }
}

/// # Safety
///
/// The same as for the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn epoll_wait(
    fd: c_int,
    events: *mut epoll_event,
    max_events: c_int,
    timeout: c_int,
) -> c_int {
    if let Some(error) = draw_error(Call::Wait) {
        return fail(error);
    }
    let original =
        original!(c"epoll_wait", unsafe extern "C" fn(c_int, *mut epoll_event, c_int, c_int) -> c_int);
    // SAFETY: the arguments are passed on unchanged.
    unsafe { original(fd, events, max_events, timeout) }
}

/// # Safety
///
/// The same as for the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn close(fd: c_int) -> c_int {
    clear_broken(fd);
    let original = original!(c"close", unsafe extern "C" fn(c_int) -> c_int);
    // SAFETY: the arguments are passed on unchanged.
    unsafe { original(fd) }
}

/// # Safety
///
/// The same as for the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(fd: c_int, to: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    let length = match draw_transfer(fd, Call::Read, length) {
        Transfer::Full => length,
        Transfer::Partial(part) => part,
        Transfer::Error(error) => return fail(error),
    };
    let original = original!(c"recv", unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t);
    // SAFETY: the arguments are passed on unchanged, except that the length may be smaller.
    unsafe { original(fd, to, length, flags) }
}

/// # Safety
///
/// The same as for the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn read(fd: c_int, to: *mut c_void, length: size_t) -> ssize_t {
    let length = match draw_transfer(fd, Call::Read, length) {
        Transfer::Full => length,
        Transfer::Partial(part) => part,
        Transfer::Error(error) => return fail(error),
    };
    let original = original!(c"read", unsafe extern "C" fn(c_int, *mut c_void, size_t) -> ssize_t);
    // SAFETY: the arguments are passed on unchanged, except that the length may be smaller.
    unsafe { original(fd, to, length) }
}

/// # Safety
///
/// The same as for the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn send(fd: c_int, from: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    let length = match draw_transfer(fd, Call::Write, length) {
        Transfer::Full => length,
        Transfer::Partial(part) => part,
        Transfer::Error(error) => return fail(error),
    };
    let original = original!(c"send", unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t);
    // SAFETY: the arguments are passed on unchanged, except that the length may be smaller.
    unsafe { original(fd, from, length, flags) }
}

/// Draws the error of a write to a regular file. Standard output and standard error never fail.
fn file_error(fd: c_int) -> Option<i32> {
    if fd > libc::STDERR_FILENO && file_type(fd) == libc::S_IFREG {
        draw_error(Call::FileWrite)
    } else {
        None
    }
}

/// # Safety
///
/// The same as for the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn write(fd: c_int, from: *const c_void, length: size_t) -> ssize_t {
    if let Some(error) = file_error(fd) {
        return fail(error);
    }
    let length = match draw_transfer(fd, Call::Write, length) {
        Transfer::Full => length,
        Transfer::Partial(part) => part,
        Transfer::Error(error) => return fail(error),
    };
    let original = original!(c"write", unsafe extern "C" fn(c_int, *const c_void, size_t) -> ssize_t);
    // SAFETY: the arguments are passed on unchanged, except that the length may be smaller.
    unsafe { original(fd, from, length) }
}

/// # Safety
///
/// The same as for the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn writev(fd: c_int, buffers: *const iovec, count: c_int) -> ssize_t {
    if let Some(error) = file_error(fd) {
        return fail(error);
    }
    let buffer_count = usize::try_from(count).unwrap_or(0);
    // SAFETY: the caller passes an array of this length.
    let slice =
        if buffers.is_null() { &[] } else { unsafe { std::slice::from_raw_parts(buffers, buffer_count) } };
    let first = slice.iter().find(|buffer| buffer.iov_len > 0);
    match (draw_transfer(fd, Call::Write, first.map_or(0, |buffer| buffer.iov_len)), first) {
        (Transfer::Error(error), _) => return fail(error),
        (Transfer::Partial(part), Some(buffer)) => {
            let original = original!(c"write", unsafe extern "C" fn(c_int, *const c_void, size_t) -> ssize_t);
            // SAFETY: the bytes are a part of the first non-empty buffer of the caller.
            return unsafe { original(fd, buffer.iov_base, part) };
        }
        _ => {}
    }
    let original = original!(c"writev", unsafe extern "C" fn(c_int, *const iovec, c_int) -> ssize_t);
    // SAFETY: the arguments are passed on unchanged.
    unsafe { original(fd, buffers, count) }
}

/// # Safety
///
/// The same as for the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn pwrite64(fd: c_int, from: *const c_void, length: size_t, at: off_t) -> ssize_t {
    if let Some(error) = file_error(fd) {
        return fail(error);
    }
    let original =
        original!(c"pwrite64", unsafe extern "C" fn(c_int, *const c_void, size_t, off_t) -> ssize_t);
    // SAFETY: the arguments are passed on unchanged.
    unsafe { original(fd, from, length, at) }
}

/// # Safety
///
/// The same as for the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fsync(fd: c_int) -> c_int {
    if let Some(error) = draw_error(Call::Sync) {
        return fail(error);
    }
    let original = original!(c"fsync", unsafe extern "C" fn(c_int) -> c_int);
    // SAFETY: the arguments are passed on unchanged.
    unsafe { original(fd) }
}

/// # Safety
///
/// The same as for the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fdatasync(fd: c_int) -> c_int {
    if let Some(error) = draw_error(Call::Sync) {
        return fail(error);
    }
    let original = original!(c"fdatasync", unsafe extern "C" fn(c_int) -> c_int);
    // SAFETY: the arguments are passed on unchanged.
    unsafe { original(fd) }
}

/// The mode is passed on even if the caller passed none: the C library reads it only if the flags require it.
///
/// # Safety
///
/// The same as for the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: c_int) -> c_int {
    if flags & (libc::O_WRONLY | libc::O_RDWR) == 0
        && let Some(error) = draw_error(Call::Open)
    {
        return fail(error);
    }
    let original = original!(c"open64", unsafe extern "C" fn(*const c_char, c_int, ...) -> c_int);
    // SAFETY: the arguments are passed on unchanged.
    unsafe { original(path, flags, mode) }
}

/// # Safety
///
/// The same as for the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, to: *mut timespec) -> c_int {
    // SAFETY: the arguments are passed on unchanged.
    let result = unsafe { libc::syscall(libc::SYS_clock_gettime, clock, to) } as c_int;
    let is_wall_clock = matches!(clock, libc::CLOCK_REALTIME | libc::CLOCK_REALTIME_COARSE | libc::CLOCK_TAI);
    if result == 0
        && is_wall_clock
        && let Some(offset) = with_faults(|faults| Some(faults.clock_offset()))
    {
        // SAFETY: the system call succeeded, so it has written to this pointer.
        unsafe { *to = shift_time(*to, offset) };
    }
    result
}
