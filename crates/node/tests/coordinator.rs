//! A coordinator among those who mean it no good, or are of another time: refused, counted by reason, and it goes on.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::{Duration, Instant};

use linestack::fleet::wire::{self, Body, FrameEncoder, Identity, SenderInfo};
use linestack_accord::{Ballot, Envelope, Incarnation, OperatorRequest, PeerMessage, Renew, Reply, Request};
use linestack_rig::process::Process;
use linestack_rig::stand_ins::StandInFleet;
use rstest::rstest;

struct Stand {
    _process: Process,
    address: SocketAddr,
    log: std::path::PathBuf,
    _folder: tempfile::TempDir,
}

fn start() -> Stand {
    let folder = tempfile::tempdir().unwrap();
    let fleet = StandInFleet::start(&linestack_world::Scenario::default()).unwrap();
    let mut policy = fleet.configuration("n", 1)["settings"].clone();
    policy.as_object_mut().unwrap().remove("az");
    let at = folder.path();
    std::fs::write(at.join("policy.json"), policy.to_string()).unwrap();
    let file = at.join("c.toml");
    let text = format!(
        "[coordinator]\nfleet = \"f\"\nnumber = 0\nlisten = \"127.0.0.1:0\"\npeers = [\"\"]\nfolder = {:?}\nfirst-policy = {:?}\n\
         lease-ms = 400\nhold-ms = 100\n",
        at.join("store"),
        at.join("policy.json")
    );
    std::fs::write(&file, text).unwrap();
    let words = ["coordinate", file.to_str().unwrap(), "--first"];
    let program = Path::new(env!("CARGO_BIN_EXE_linestack"));
    let mut process = Process::new("c0", at.join("run"), program, &words);
    process.start().unwrap();
    let address = process.wait_until_listening(0).unwrap();
    Stand { log: process.log(), _process: process, address, _folder: folder }
}

fn own(fleet: &str, identity: Identity) -> SenderInfo {
    SenderInfo { fleet: fleet.into(), identity, incarnation: Incarnation { store_id: 7, run_number: 1 } }
}

fn member() -> SenderInfo {
    own("f", Identity::Member("n0".into()))
}

fn renew(life: u64) -> Body {
    let incarnation = Incarnation { store_id: 7, run_number: life };
    Body::Request(Request::Renew(Renew {
        incarnation,
        requested_at: 1,
        active: 0,
        staged: 0,
        declined: None,
        stage: String::new(),
    }))
}

/// Everything that comes until the connection is closed, which must be soon.
fn closed(mut socket: TcpStream) {
    socket.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    let (begin, mut rest) = (Instant::now(), Vec::new());
    // A reset is an end, too.
    if let Err(why) = socket.read_to_end(&mut rest) {
        assert_ne!(why.kind(), std::io::ErrorKind::WouldBlock, "it stays open");
    }
    assert!(begin.elapsed() < Duration::from_secs(3));
}

/// Whether it answers those who mean it well.
fn serves(address: SocketAddr) -> bool {
    let Ok((mut socket, mut reader, mut encoder)) =
        wire::connect_session(address, &own("f", Identity::Operator))
    else {
        return false;
    };
    socket
        .write_all(&encoder.encode(Body::Request(Request::Operator(OperatorRequest::Status))).unwrap())
        .unwrap();
    loop {
        match reader.next_frame() {
            Ok(Some(frame)) => return matches!(frame.body, Body::Reply(Reply::Status(_) | Reply::NoLeader)),
            Ok(None) => {
                if reader.read(&mut socket).is_err() {
                    return false;
                }
            }
            Err(_) => return false,
        }
    }
}

fn hello(own: SenderInfo) -> Vec<u8> {
    FrameEncoder::new(own, 0).encode(Body::Hello(5)).unwrap()
}

fn with(at: usize, byte: u8) -> Vec<u8> {
    let mut bytes = hello(member());
    bytes[at] = byte;
    bytes
}

// Before they have said who they are.
#[rstest]
#[case::no_frame(b"GET / HTTP/1.1\r\n\r\n".to_vec(), "no frame")]
#[case::wire_version(with(3, 9), "wire version")]
#[case::oversized(with(11, 255), "oversized")]
#[case::checksum(with(30, 0), "checksum")]
#[case::another_fleet(hello(own("g", Identity::Member("n0".into()))), "fleet")]
#[case::cut(hello(member())[..20].to_vec(), "io")]
#[case::not_a_greeting(FrameEncoder::new(member(), 0).encode(renew(1)).unwrap(), "session")]
#[case::nothing(Vec::new(), "io")]
fn strangers(#[case] bytes: Vec<u8>, #[case] why: &str) {
    let stand = start();
    let mut socket = TcpStream::connect(stand.address).unwrap();
    socket.write_all(&bytes).unwrap();
    closed(socket);
    told(&stand, why);
    assert!(serves(stand.address));
}

fn told(stand: &Stand, why: &str) {
    let begin = Instant::now();
    loop {
        let log = std::fs::read_to_string(&stand.log).unwrap();
        assert!(!log.contains("panicked"), "{log}");
        if log.contains(&format!("refused why=\"{why}\"")) {
            return;
        }
        assert!(begin.elapsed() < Duration::from_secs(10), "{why} is not told: {log}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// What somebody does in a session that began well.
type Trick = fn(SocketAddr) -> TcpStream;

fn replayed(address: SocketAddr) -> TcpStream {
    let (_, _, mut encoder) = wire::connect_session(address, &member()).unwrap();
    let recorded = encoder.encode(renew(1)).unwrap();
    let (mut socket, ..) = wire::connect_session(address, &member()).unwrap();
    socket.write_all(&recorded).unwrap();
    socket
}

fn repeated(address: SocketAddr) -> TcpStream {
    let (mut socket, _, mut encoder) = wire::connect_session(address, &member()).unwrap();
    let bytes = encoder.encode(renew(1)).unwrap();
    socket.write_all(&[&bytes[..], &bytes].concat()).unwrap();
    socket
}

fn another_run(address: SocketAddr) -> TcpStream {
    let (mut socket, _, mut encoder) = wire::connect_session(address, &member()).unwrap();
    socket.write_all(&encoder.encode(renew(2)).unwrap()).unwrap();
    socket
}

fn another_name(address: SocketAddr) -> TcpStream {
    let (mut socket, reader, _) = wire::connect_session(address, &member()).unwrap();
    let mut encoder = FrameEncoder::new(own("f", Identity::Member("n1".into())), reader.session());
    encoder.encode(renew(1)).unwrap();
    socket.write_all(&encoder.encode(renew(1)).unwrap()).unwrap();
    socket
}

fn a_letter(address: SocketAddr) -> TcpStream {
    let (mut socket, _, mut encoder) = wire::connect_session(address, &member()).unwrap();
    let peer = PeerMessage::Prepare { ballot: Ballot { round: 1_000_000, candidate: 0 } };
    let letter =
        Envelope { write_count: 0, observed_write_count: u64::MAX, observed_seat: 0, seat: 0, message: peer };
    socket.write_all(&encoder.encode(Body::Envelope(letter)).unwrap()).unwrap();
    socket
}

#[rstest]
#[case::replayed(replayed, "session")]
#[case::repeated(repeated, "repeated")]
#[case::another_run(another_run, "name")]
#[case::another_name(another_name, "name")]
#[case::a_letter(a_letter, "order")]
fn in_a_session(#[case] trick: Trick, #[case] why: &str) {
    let stand = start();
    closed(trick(stand.address));
    told(&stand, why);
    assert!(serves(stand.address));
}
