//! Makes each call that the library can make fail a hundred times, and prints how often each result occurred. The tests of
//! the library run this program.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::time::{Duration, Instant, SystemTime};

/// How often each call is made.
const CALLS: usize = 100;

/// Prints by how many seconds the wall clock and the monotonic clock have advanced after 0.3 s.
fn print_clocks() {
    let (wall_start, monotonic_start) = (SystemTime::now(), Instant::now());
    std::thread::sleep(Duration::from_millis(300));
    let wall_seconds = SystemTime::now()
        .duration_since(wall_start)
        .map_or_else(|e| -(e.duration().as_secs() as i64), |d| d.as_secs() as i64);
    println!("clock {wall_seconds}");
    println!("steady {}", monotonic_start.elapsed().as_secs());
}

fn main() {
    // Before the calls, which take long on a busy machine: a planned step of the clock must come after the first reading.
    print_clocks();
    let mut counts = BTreeMap::<String, usize>::new();
    let mut count = |call: &str, result: std::io::Result<usize>| {
        let outcome =
            result.map_or_else(|e| e.raw_os_error().unwrap_or(0).to_string(), |n| format!("ok {n}"));
        *counts.entry(format!("{call} {outcome}")).or_default() += 1;
    };
    let listener =
        (0..CALLS).find_map(|_| TcpListener::bind("127.0.0.1:0").ok()).expect("the listener binds");
    let address = listener.local_addr().expect("the listener has an address");
    for _ in 0..CALLS {
        count("socket", UdpSocket::bind("127.0.0.1:0").map(|_| 0));
        let client = TcpStream::connect(address);
        count("connect", client.as_ref().map(|_| 0).map_err(copy));
        let Ok(mut client) = client else { continue };
        let accepted = listener.accept();
        count("accept", accepted.as_ref().map(|_| 0).map_err(copy));
        let Ok((mut server, _)) = accepted else { continue };
        server.set_read_timeout(Some(Duration::from_secs(1))).expect("the timeout is set");
        count("write", client.write(b"0123456789"));
        drop(client);
        count("read", server.read(&mut [0; 10]));
    }
    let path = std::env::temp_dir().join(format!("linestack-victim-{}", std::process::id()));
    let mut file = File::create(&path).expect("the file is created");
    for _ in 0..CALLS {
        count("file-write", file.write(b"0123456789"));
        count("sync", file.sync_data().map(|()| 0));
        count("open", File::open(&path).map(|_| 0));
    }
    let _ = std::fs::remove_file(&path);
    for (outcome, times) in counts {
        println!("{outcome} x{times}");
    }
}

/// Returns an error with the same number, since errors can't be cloned.
fn copy(error: &std::io::Error) -> std::io::Error {
    std::io::Error::from_raw_os_error(error.raw_os_error().unwrap_or(0))
}
