//! A library for `LD_PRELOAD` that fails the system calls of one process by a plan and a seed, so that tests see what a
//! program makes of errors which a healthy machine hardly ever has. Without `LINESTACK_SHIM` it passes everything on.
//!
//! It stands between the program and the C library, so calls that are made without the latter are not seen.

mod calls;
mod faults;
mod plan;
