//! Tells when the machine has no time for the stand-ins: what they then see late tells nothing of the nodes.
//!
//! A connection is made again and again that is served as a stand-in's is, by a thread of its own, and timed from its start to
//! the answer.

use std::io::{self, Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::history::{Event, Recorder};

const EVERY: Duration = Duration::from_millis(20);
/// Longer than a connection and an answer take on a machine that is not overloaded, many times over.
const LATE: Duration = Duration::from_millis(40);
const PATIENCE: Duration = Duration::from_secs(20);

/// Notes it whenever the machine is late, until the run is over.
///
/// # Errors
///
/// No address is left.
pub fn start(recorder: &Arc<Recorder>, finished: &Arc<AtomicBool>) -> io::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let ended = Arc::clone(finished);
    std::thread::spawn(move || {
        for socket in listener.incoming().map_while(Result::ok) {
            if ended.load(Ordering::Relaxed) {
                return;
            }
            std::thread::spawn(move || drop(answer(socket)));
        }
    });
    let (recorder, finished) = (Arc::clone(recorder), Arc::clone(finished));
    std::thread::spawn(move || {
        while !finished.load(Ordering::Relaxed) {
            let begun = Instant::now();
            std::thread::sleep(EVERY);
            let asked = ask(address);
            let took = begun.elapsed().saturating_sub(EVERY);
            if asked.is_err() || took > LATE {
                recorder.now(Event::DriverDelayed { by: took.as_nanos() as u64 });
            }
        }
        let _ = TcpStream::connect_timeout(&address, EVERY);
    });
    Ok(())
}

fn answer(mut socket: TcpStream) -> io::Result<()> {
    socket.set_read_timeout(Some(PATIENCE))?;
    let mut byte = [0];
    socket.read_exact(&mut byte)?;
    socket.write_all(&byte)
}

fn ask(address: SocketAddr) -> io::Result<()> {
    let mut socket = TcpStream::connect_timeout(&address, PATIENCE)?;
    socket.set_read_timeout(Some(PATIENCE))?;
    socket.write_all(b"?")?;
    socket.read_exact(&mut [0])
}
