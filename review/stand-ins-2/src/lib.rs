//! Stand-ins for clients, executors and discovery, and the control of the project's processes, for the cases of the second review.
//! They follow `real/PROTOCOL.md` and use the standard library only. All addresses are loopback addresses with ports that the system
//! chooses.

pub mod client;
pub mod coordinators;
pub mod discovery;
pub mod executor;
pub mod http;
pub mod node;
pub mod record;

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

pub use record::Record;

/// The exit code if the rule held.
pub const HELD: i32 = 0;
/// The exit code if the rule was broken.
pub const BROKEN: i32 = 1;
/// The exit code if the case could not run.
pub const COULD_NOT_RUN: i32 = 2;

/// Returns whether the case runs with its disruption: unless `TROUBLE` is `0`.
pub fn with_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Returns the folder of the case, which `run.sh` passes as the first argument.
pub fn case_folder() -> PathBuf {
    PathBuf::from(std::env::args().nth(1).expect("the case's folder as the first argument"))
}

/// Returns a free port of the loopback address. It is drawn below the ports that the system gives to connections and to listeners on
/// port 0, so that none of these takes it before the process that it is meant for.
pub fn free_address() -> SocketAddr {
    static DRAWN: AtomicU64 = AtomicU64::new(0);
    for _ in 0..1000 {
        let count = DRAWN.fetch_add(1, Ordering::Relaxed);
        let mut random = Random(unix_ms() ^ (u64::from(std::process::id()) << 32) ^ (count << 20));
        let port = 12_000 + (random.next() % 20_000) as u16;
        if let Ok(address) = TcpListener::bind(("127.0.0.1", port)).and_then(|listener| listener.local_addr()) {
            return address;
        }
    }
    panic!("no free port")
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

pub const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// A small generator of random numbers (splitmix64), so that no library is needed.
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// Returns a number from 0 to 1.
    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64
    }
}
