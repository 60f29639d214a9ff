//! A library for `LD_PRELOAD` that makes system calls of one process fail according to a plan and a seed. Tests use it
//! to check how a program handles errors that are rare on a healthy machine. Without `LINESTACK_SHIM` it passes all
//! calls on.
//!
//! It replaces functions of the C library, so system calls that bypass the C library are not affected.

mod calls;
mod faults;
mod plan;
