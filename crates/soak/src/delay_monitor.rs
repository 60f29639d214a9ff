//! Detects when the machine is too busy to run the simulated clients and executors in time, so that late observations then
//! say nothing about the nodes.
//!
//! It repeatedly opens a connection that is served like one of a simulated executor, by a thread of its own, and measures the
//! time from its start to the answer.

use std::io::{self, Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::history::{Event, Recorder};

const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Many times longer than a connection and an answer take on a machine that is not overloaded.
const DELAY_LIMIT: Duration = Duration::from_millis(40);
const SOCKET_TIMEOUT: Duration = Duration::from_secs(20);

/// Records each delay of the machine until the run is over.
///
/// # Errors
///
/// No listener can be opened.
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
            let start = Instant::now();
            std::thread::sleep(CHECK_INTERVAL);
            let answered = round_trip(address);
            let took = start.elapsed().saturating_sub(CHECK_INTERVAL);
            if answered.is_err() || took > DELAY_LIMIT {
                recorder.record(Event::DriverDelayed { by: took.as_nanos() as u64 });
            }
        }
        let _ = TcpStream::connect_timeout(&address, CHECK_INTERVAL);
    });
    Ok(())
}

fn answer(mut socket: TcpStream) -> io::Result<()> {
    socket.set_read_timeout(Some(SOCKET_TIMEOUT))?;
    let mut byte = [0];
    socket.read_exact(&mut byte)?;
    socket.write_all(&byte)
}

fn round_trip(address: SocketAddr) -> io::Result<()> {
    let mut socket = TcpStream::connect_timeout(&address, SOCKET_TIMEOUT)?;
    socket.set_read_timeout(Some(SOCKET_TIMEOUT))?;
    socket.write_all(b"?")?;
    socket.read_exact(&mut [0])
}
