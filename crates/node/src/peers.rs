//! Exchange of executor observations between nodes: a starting node requests a snapshot of them from a running one, and
//! answers the requests of other nodes itself. Off unless PROXY_PEERS names a configuration file. A request and its
//! answer are one frame each, bounded in size and time.

use std::io::{self, Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use linestack_core::Input;
use linestack_frames::{Reader, encode, kind_number};
use linestack_peers::{FORMAT_VERSION, PeerSnapshot};
use serde::{Deserialize, Serialize};
use socket2::SockRef;

use crate::NANOS_PER_MS;
use crate::net::{BACKLOG, Node};

/// The longest time for connecting, and at both ends for receiving a frame and for a write.
const IO_TIMEOUT: Duration = Duration::from_millis(500);
/// The maximum number of nodes that are answered at a time. Each uses a thread, a file descriptor and up to one frame of
/// memory. Others wait in the listener's queue.
const MAX_CONNECTIONS: usize = 16;
/// The interval of the checks whether there are fewer connections than [`MAX_CONNECTIONS`].
const CAPACITY_POLL_INTERVAL: Duration = Duration::from_millis(1);
/// The pause after a connection could not be accepted, usually because no file descriptor was left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);
/// The interval of the checks whether the node has a list of executors.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The maximum number of addresses in the setting `ask`.
const MAX_PEERS: usize = 1024;
/// The maximum number of peers that are queried, one after the other, until one answers.
const MAX_ATTEMPTS: usize = 2;

/// The configuration of the exchange with other nodes.
#[derive(Clone, Debug)]
pub struct Config {
    /// The name of the fleet, which must be the same at both nodes.
    pub fleet: String,
    /// The address on which the node answers others; `None` if it does not answer them.
    pub listen: Option<SocketAddr>,
    /// The addresses of the nodes to query. Only these hosts and the local one are answered.
    pub addresses: Vec<SocketAddr>,
    /// Only observations younger than this, in nanoseconds, are used.
    pub max_age: u64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    peers: Table,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
struct Table {
    fleet: String,
    listen: Option<SocketAddr>,
    #[serde(default, rename = "ask")]
    addresses: Vec<SocketAddr>,
    #[serde(default = "default_max_age_ms", rename = "young-ms")]
    max_age_ms: u64,
}

fn default_max_age_ms() -> u64 {
    1000
}

/// Reads the configuration file.
///
/// # Errors
///
/// Returns why the file can't be read, or all its errors, one a line, each with its key.
pub fn read_config(path: &Path) -> Result<Config, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let File { peers: table } = crate::fleet::config::parse_table(path, &text)?;
    let mut errors = Vec::new();
    let mut require = |valid: bool, key: &str, reason: &str| {
        if !valid {
            errors.push(format!("{}: peers.{key}: {reason}", path.display()));
        }
    };
    require((1..=64).contains(&table.fleet.len()), "fleet", "from 1 to 64 characters");
    require(table.addresses.len() <= MAX_PEERS, "ask", "1,024 at most");
    require((10..=10_000).contains(&table.max_age_ms), "young-ms", "from 10 to 10,000");
    if errors.is_empty() {
        let Table { fleet, listen, addresses, max_age_ms } = table;
        Ok(Config { fleet, listen, addresses, max_age: max_age_ms * NANOS_PER_MS })
    } else {
        Err(errors.join("\n"))
    }
}

/// A request for the observations of a node. The names of the fields in the frame are the wire format.
#[derive(Serialize, Deserialize)]
struct SnapshotRequest {
    #[serde(rename = "form")]
    format_version: u8,
    fleet: String,
    node: String,
}

/// Sends a frame of the kind with this name.
fn send(socket: &mut TcpStream, kind_name: &str, body: &impl Serialize) -> io::Result<()> {
    let body = serde_json::to_vec(body)?;
    let kind = kind_number(kind_name).ok_or(io::ErrorKind::InvalidInput)?;
    socket.write_all(&encode(kind, &body).map_err(io::Error::other)?)
}

/// Receives one frame of the kind with this name. The time limit is for the whole frame: a sender of single bytes does
/// not extend it.
fn receive<T: for<'a> Deserialize<'a>>(socket: &mut TcpStream, kind_name: &str) -> io::Result<T> {
    let (started, mut reader, mut buffer) = (Instant::now(), Reader::default(), [0; 16 * 1024]);
    loop {
        if let Some(frame) = reader.next_frame().map_err(io::Error::other)? {
            if Some(frame.kind) != kind_number(kind_name) {
                return Err(io::Error::other("unexpected kind of frame"));
            }
            return Ok(serde_json::from_slice(&frame.body)?);
        }
        let left = IO_TIMEOUT.saturating_sub(started.elapsed());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        socket.set_read_timeout(Some(left))?;
        match socket.read(&mut buffer)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            n => reader.push(&buffer[..n]),
        }
    }
}

/// Starts to listen for requests of other nodes, and to answer them.
///
/// # Errors
///
/// The address can't be listened on.
pub fn listen(config: &Config, name: &str, node: &Arc<Node>) -> io::Result<()> {
    let Some(listen) = config.listen else { return Ok(()) };
    let listener = TcpListener::bind(listen)?;
    SockRef::from(&listener).listen(BACKLOG)?;
    tracing::info!(peers_at = %listener.local_addr()?, "peers");
    let allowed: Vec<_> = config.addresses.iter().map(SocketAddr::ip).collect();
    let (fleet, name, node) = (config.fleet.clone(), name.to_owned(), Arc::clone(node));
    let open = Arc::new(AtomicUsize::new(0));
    std::thread::spawn(move || {
        for socket in listener.incoming() {
            let Ok(mut socket) = socket else {
                std::thread::sleep(ACCEPT_PAUSE);
                continue;
            };
            let is_allowed =
                socket.peer_addr().is_ok_and(|a| a.ip().is_loopback() || allowed.contains(&a.ip()));
            if !is_allowed {
                continue;
            }
            while open.load(Ordering::Relaxed) >= MAX_CONNECTIONS {
                std::thread::sleep(CAPACITY_POLL_INTERVAL);
            }
            open.fetch_add(1, Ordering::Relaxed);
            let (fleet, name, node, counter) =
                (fleet.clone(), name.clone(), Arc::clone(&node), Arc::clone(&open));
            std::thread::spawn(move || {
                let _ = socket.set_write_timeout(Some(IO_TIMEOUT));
                if let Ok(request) = receive::<SnapshotRequest>(&mut socket, "ask")
                    && request.format_version == FORMAT_VERSION
                    && request.fleet == fleet
                    && request.node != name
                {
                    let _ = send(
                        &mut socket,
                        "tale",
                        &PeerSnapshot {
                            format_version: FORMAT_VERSION,
                            sender: name,
                            observations: node.peer_snapshot(),
                        },
                    );
                }
                counter.fetch_sub(1, Ordering::Relaxed);
            });
        }
    });
    Ok(())
}

/// Starts a thread that requests the observations of peers, one after the other in random order, until one answers.
pub fn query(config: Config, name: String, node: Arc<Node>) {
    std::thread::spawn(move || {
        let mut addresses = config.addresses.clone();
        fastrand::Rng::with_seed(crate::fleet::random_u64()).shuffle(&mut addresses);
        for peer in addresses.into_iter().take(MAX_ATTEMPTS) {
            let queried_at = node.clock.now();
            let answer = TcpStream::connect_timeout(&peer, IO_TIMEOUT).and_then(|mut socket| {
                socket.set_write_timeout(Some(IO_TIMEOUT))?;
                let request = SnapshotRequest {
                    format_version: FORMAT_VERSION,
                    fleet: config.fleet.clone(),
                    node: name.clone(),
                };
                send(&mut socket, "ask", &request)?;
                receive::<PeerSnapshot>(&mut socket, "tale")
            });
            match answer {
                Ok(snapshot) => return apply(&config, &name, &node, &snapshot, queried_at),
                Err(error) => tracing::warn!(%peer, why = %error, "no answer from a peer"),
            }
        }
    });
}

/// Applies the observations of a peer as soon as the node has a list of executors, unless they are outdated by then.
fn apply(config: &Config, name: &str, node: &Arc<Node>, snapshot: &PeerSnapshot, queried_at: u64) {
    while node.clock.now() < queried_at + config.max_age {
        if node.ready() {
            match node.evaluate_peer_snapshot(snapshot, name, queried_at, config.max_age) {
                Ok(observations) => {
                    tracing::info!(
                        teller = snapshot.sender,
                        told = snapshot.observations.len(),
                        taken = observations.len(),
                        "heard from a peer"
                    );
                    node.handle_input(Input::PeerObservations { observations });
                }
                Err(error) => {
                    tracing::warn!(teller = snapshot.sender, why = %error, "observations of a peer rejected");
                }
            }
            return;
        }
        std::thread::sleep(READY_POLL_INTERVAL);
    }
    tracing::info!("observations of a peer are outdated; not used");
}
