//! A proxy on a link between two processes, which can make all that passes late.

use std::io::{Read as _, Write as _};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::channel;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// By how many milliseconds all links are late, each way.
pub type Delay = Arc<AtomicU64>;

/// Starts a proxy to this address, and returns its own.
pub fn start(to: SocketAddr, delay: &Delay) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let delay = Arc::clone(delay);
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect(to) else { continue };
            let (Ok(near2), Ok(far2)) = (near.try_clone(), far.try_clone()) else { continue };
            pass(near, far, &delay);
            pass(far2, near2, &delay);
        }
    });
    Ok(address)
}

/// Passes on the bytes of one direction, each piece after the delay.
fn pass(mut from: TcpStream, mut to: TcpStream, delay: &Delay) {
    let _ = to.set_nodelay(true);
    let (pieces, queue) = channel::<(Instant, Vec<u8>)>();
    let delay = Arc::clone(delay);
    thread::spawn(move || {
        let mut piece = [0; 16 * 1024];
        while let Ok(n @ 1..) = from.read(&mut piece) {
            let due = Instant::now() + Duration::from_millis(delay.load(Ordering::Relaxed));
            if pieces.send((due, piece[..n].to_vec())).is_err() {
                break;
            }
        }
    });
    thread::spawn(move || {
        for (due, piece) in queue {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if to.write_all(&piece).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Both);
    });
}
