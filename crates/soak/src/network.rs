//! The loopback addresses of a run, and socket helpers shared by all simulated clients and servers.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use socket2::SockRef;

/// The first value of the third byte of an address, by kind of server. Larger indices take the following values.
const FIRST_NODE_PAGE: u8 = 0;
const FIRST_EXECUTOR_PAGE: u8 = 4;
const FIRST_DISCOVERY_PAGE: u8 = 8;
const CLIENT_PORT: u16 = 8_443;
const EXECUTOR_PORT: u16 = 9_000;
const DISCOVERY_PORT: u16 = 8_500;
/// The first value of the second byte of an address in 127.0.0.0/8; values below are left to other programs.
const FIRST_NETWORK: u32 = 16;
/// The number of values of the second byte, one of which each run uses.
const NETWORK_COUNT: u32 = 230;
/// The number of values of the fourth byte that are used, from 1.
const HOSTS_PER_PAGE: usize = 250;

/// A part of the loopback network that belongs to one run.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    /// The second byte of its addresses.
    number: u8,
}

impl Network {
    /// Returns a network that no other run of this process uses and that runs of other processes are unlikely to use.
    #[must_use]
    pub fn next() -> Self {
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let count = COUNT.fetch_add(1, Ordering::Relaxed);
        let number =
            FIRST_NETWORK + (std::process::id().wrapping_mul(37).wrapping_add(count)) % NETWORK_COUNT;
        Self { number: number.to_le_bytes()[0] }
    }

    fn address(self, first_page: u8, index: usize, port: u16) -> SocketAddr {
        let page = (index / HOSTS_PER_PAGE).to_le_bytes()[0];
        let host = (index % HOSTS_PER_PAGE + 1).to_le_bytes()[0];
        SocketAddr::from((Ipv4Addr::new(127, self.number, first_page + page, host), port))
    }

    /// Returns the address on which a node listens for clients.
    #[must_use]
    pub fn node_address(self, index: usize) -> SocketAddr {
        self.address(FIRST_NODE_PAGE, index, CLIENT_PORT)
    }

    /// Returns the address on which an executor listens; `number` tells apart executors that replace one another.
    #[must_use]
    pub fn executor_address(self, index: usize, number: u16) -> SocketAddr {
        self.address(FIRST_EXECUTOR_PAGE, index, EXECUTOR_PORT + number)
    }

    /// Returns the address on which one of the discovery servers listens for a node.
    #[must_use]
    pub fn discovery_address(self, node: usize, number: u16) -> SocketAddr {
        self.address(FIRST_DISCOVERY_PAGE, node, DISCOVERY_PORT + number)
    }
}

/// Returns whether the peer has closed or reset a connection. Bytes that it sent before are not consumed.
#[must_use]
pub fn is_closed(socket: &TcpStream) -> bool {
    if socket.set_nonblocking(true).is_err() {
        return true;
    }
    let seen = socket.peek(&mut [0]);
    let blocking = socket.set_nonblocking(false);
    let open = match seen {
        Ok(0) => false,
        Ok(_) => true,
        Err(e) => e.kind() == io::ErrorKind::WouldBlock,
    };
    !open || blocking.is_err()
}

/// Returns whether the connection has unread bytes.
#[must_use]
pub fn has_bytes(socket: &TcpStream) -> bool {
    if socket.set_nonblocking(true).is_err() {
        return false;
    }
    let seen = socket.peek(&mut [0]).is_ok_and(|n| n > 0);
    socket.set_nonblocking(false).is_ok() && seen
}

/// Resets a connection: bytes that its peer has not read may be lost.
pub fn reset(socket: &TcpStream) {
    let _ = SockRef::from(socket).set_linger(Some(Duration::ZERO));
    let _ = socket.shutdown(std::net::Shutdown::Both);
}
