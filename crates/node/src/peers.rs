//! Asking a running node at the start, and telling one that starts. Off unless PROXY_PEERS names a file. One frame asks and
//! one tells; both are bounded in size and time.

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

use crate::net::{BACKLOG, Node};

/// For either side of one conversation.
const PATIENCE: Duration = Duration::from_millis(500);
/// Nodes that are told at a time: each takes a thread, a descriptor and, while it is told, up to a frame of memory. Others
/// wait in the listener's queue.
const MOST: usize = 16;
/// How long it takes to look again whether one of them is done.
const LOOK: Duration = Duration::from_millis(1);
/// Addresses in `ask`.
const MOST_PEERS: usize = 1024;
/// Peers that are asked, one after the other, until one tells.
const TRIES: usize = 2;

#[derive(Clone, Debug)]
pub struct Config {
    pub fleet: String,
    pub listen: Option<SocketAddr>,
    pub addresses: Vec<SocketAddr>,
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
    #[serde(default)]
    ask: Vec<SocketAddr>,
    #[serde(default = "young_ms")]
    young_ms: u64,
}

fn young_ms() -> u64 {
    1000
}

/// Reads an operator's file.
///
/// # Errors
///
/// What is wrong with it, by its key.
pub fn read_config(path: &Path) -> Result<Config, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let File { peers: t } = crate::fleet::config::parse_table(path, &text)?;
    let mut faults = Vec::new();
    let mut must = |fine: bool, key: &str, why: &str| {
        if !fine {
            faults.push(format!("{}: peers.{key}: {why}", path.display()));
        }
    };
    must((1..=64).contains(&t.fleet.len()), "fleet", "from 1 to 64 characters");
    must(t.ask.len() <= MOST_PEERS, "ask", "1,024 at most");
    must((10..=10_000).contains(&t.young_ms), "young-ms", "from 10 to 10,000");
    if faults.is_empty() {
        Ok(Config { fleet: t.fleet, listen: t.listen, addresses: t.ask, max_age: t.young_ms * 1_000_000 })
    } else {
        Err(faults.join("\n"))
    }
}

#[derive(Serialize, Deserialize)]
struct Ask {
    form: u8,
    fleet: String,
    node: String,
}

fn send(socket: &mut TcpStream, word: &str, body: &impl Serialize) -> io::Result<()> {
    let body = serde_json::to_vec(body)?;
    let kind = kind_number(word).ok_or(io::ErrorKind::InvalidInput)?;
    socket.write_all(&encode(kind, &body).map_err(io::Error::other)?)
}

/// One frame of this kind, whole, before the time is over: a byte now and then buys no time.
fn receive<T: for<'a> Deserialize<'a>>(socket: &mut TcpStream, word: &str) -> io::Result<T> {
    let (begin, mut reader, mut piece) = (Instant::now(), Reader::default(), [0; 16 * 1024]);
    loop {
        if let Some(frame) = reader.next_frame().map_err(io::Error::other)? {
            if Some(frame.kind) != kind_number(word) {
                return Err(io::Error::other("not what was due"));
            }
            return Ok(serde_json::from_slice(&frame.body)?);
        }
        let left = PATIENCE.saturating_sub(begin.elapsed());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        socket.set_read_timeout(Some(left))?;
        match socket.read(&mut piece)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            n => reader.push(&piece[..n]),
        }
    }
}

/// Listens for those that start.
///
/// # Errors
///
/// The address can't be had.
pub fn listen(config: &Config, name: &str, node: &Arc<Node>) -> io::Result<()> {
    let Some(listen) = config.listen else { return Ok(()) };
    let listener = TcpListener::bind(listen)?;
    SockRef::from(&listener).listen(BACKLOG)?;
    tracing::info!(peers_at = %listener.local_addr()?, "peers");
    let known: Vec<_> = config.addresses.iter().map(SocketAddr::ip).collect();
    let (fleet, name, node) = (config.fleet.clone(), name.to_owned(), Arc::clone(node));
    let open = Arc::new(AtomicUsize::new(0));
    std::thread::spawn(move || {
        for socket in listener.incoming() {
            let Ok(mut socket) = socket else {
                std::thread::sleep(Duration::from_millis(5));
                continue;
            };
            let near = socket.peer_addr().is_ok_and(|a| a.ip().is_loopback() || known.contains(&a.ip()));
            if !near {
                continue;
            }
            while open.load(Ordering::Relaxed) >= MOST {
                std::thread::sleep(LOOK);
            }
            open.fetch_add(1, Ordering::Relaxed);
            let (fleet, name, node, gone) =
                (fleet.clone(), name.clone(), Arc::clone(&node), Arc::clone(&open));
            std::thread::spawn(move || {
                let _ = socket.set_write_timeout(Some(PATIENCE));
                if let Ok(ask) = receive::<Ask>(&mut socket, "ask")
                    && ask.form == FORMAT_VERSION
                    && ask.fleet == fleet
                    && ask.node != name
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
                gone.fetch_sub(1, Ordering::Relaxed);
            });
        }
    });
    Ok(())
}

/// Asks peers, one after the other in an order by chance, until one has told.
pub fn query(config: Config, name: String, node: Arc<Node>) {
    std::thread::spawn(move || {
        let mut order = config.addresses.clone();
        fastrand::Rng::with_seed(crate::fleet::random_u64()).shuffle(&mut order);
        for peer in order.into_iter().take(TRIES) {
            let asked = node.clock.now();
            let told = TcpStream::connect_timeout(&peer, PATIENCE).and_then(|mut socket| {
                socket.set_write_timeout(Some(PATIENCE))?;
                let ask = Ask { form: FORMAT_VERSION, fleet: config.fleet.clone(), node: name.clone() };
                send(&mut socket, "ask", &ask)?;
                receive::<PeerSnapshot>(&mut socket, "tale")
            });
            match told {
                Ok(tale) => return take(&config, &name, &node, &tale, asked),
                Err(why) => tracing::warn!(%peer, %why, "a peer told nothing"),
            }
        }
    });
}

/// Takes what may be taken, as soon as there is a list to hold it against.
fn take(config: &Config, name: &str, node: &Arc<Node>, tale: &PeerSnapshot, asked: u64) {
    while node.clock.now() < asked + config.max_age {
        if node.ready() {
            match node.evaluate_peer_snapshot(tale, name, asked, config.max_age) {
                Ok(heard) => {
                    tracing::info!(
                        teller = tale.sender,
                        told = tale.observations.len(),
                        taken = heard.len(),
                        "heard from a peer"
                    );
                    node.handle_input(Input::PeerObservations { observations: heard });
                }
                Err(why) => tracing::warn!(teller = tale.sender, %why, "a peer's words are not taken"),
            }
            return;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    tracing::info!("what a peer told is too old by now");
}
