//! A coordinator that receives invalid, repeated or forged frames: it closes the connection, logs the reason, and continues to
//! serve.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::{Duration, Instant};

use linestack::fleet::wire::{self, Body, FrameEncoder, Identity, SenderInfo};
use linestack_accord::{Ballot, Envelope, Incarnation, OperatorRequest, PeerMessage, Renew, Reply, Request};
use linestack_rig::process::Process;
use linestack_rig::stand_ins::StandInFleet;
use rstest::rstest;

/// The only coordinator of a fleet, killed when dropped.
struct Coordinator {
    _process: Process,
    address: SocketAddr,
    log: std::path::PathBuf,
    _folder: tempfile::TempDir,
}

/// Starts the coordinator of a new fleet `f`.
fn start_coordinator() -> Coordinator {
    let folder = tempfile::tempdir().unwrap();
    let fleet = StandInFleet::start(&linestack_world::Scenario::default()).unwrap();
    let mut policy = fleet.configuration("n", 1)["settings"].clone();
    policy.as_object_mut().unwrap().remove("az");
    let path = folder.path();
    std::fs::write(path.join("policy.json"), policy.to_string()).unwrap();
    let file = path.join("c.toml");
    let text = format!(
        "[coordinator]\nfleet = \"f\"\nnumber = 0\nlisten = \"127.0.0.1:0\"\npeers = [\"\"]\nfolder = {:?}\nfirst-policy = {:?}\n\
         lease-ms = 400\nhold-ms = 100\n",
        path.join("store"),
        path.join("policy.json")
    );
    std::fs::write(&file, text).unwrap();
    let arguments = ["coordinate", file.to_str().unwrap(), "--first"];
    let program = Path::new(env!("CARGO_BIN_EXE_linestack"));
    let mut process = Process::new("c0", path.join("run"), program, &arguments);
    process.start().unwrap();
    let address = process.wait_until_listening(0).unwrap();
    Coordinator { log: process.log_file(), _process: process, address, _folder: folder }
}

fn sender(fleet: &str, identity: Identity) -> SenderInfo {
    SenderInfo { fleet: fleet.into(), identity, incarnation: Incarnation { store_id: 7, run_number: 1 } }
}

/// Returns the sender of a valid node.
fn member() -> SenderInfo {
    sender("f", Identity::Member("n0".into()))
}

/// Returns a node's request for a lease. In a valid one `run_number` is the sender's.
fn renew(run_number: u64) -> Body {
    let incarnation = Incarnation { store_id: 7, run_number };
    Body::Request(Request::Renew(Renew {
        incarnation,
        requested_at: 1,
        active: 0,
        staged: 0,
        declined: None,
        stage: String::new(),
    }))
}

/// Checks that the coordinator closes the connection within 3 s.
fn assert_closed(mut socket: TcpStream) {
    socket.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    let (begin, mut rest) = (Instant::now(), Vec::new());
    // A reset counts as a close.
    if let Err(error) = socket.read_to_end(&mut rest) {
        assert_ne!(error.kind(), std::io::ErrorKind::WouldBlock, "the connection stays open");
    }
    assert!(begin.elapsed() < Duration::from_secs(3));
}

/// Returns whether the coordinator answers a valid request.
fn answers_valid_request(address: SocketAddr) -> bool {
    let Ok((mut socket, mut reader, mut encoder)) =
        wire::connect_session(address, &sender("f", Identity::Operator))
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

/// Returns the frame that begins a session.
fn hello(sender: SenderInfo) -> Vec<u8> {
    FrameEncoder::new(sender, 0).encode(Body::Hello(5)).unwrap()
}

/// Returns the frame that begins a session, with this byte at this offset.
fn hello_with(offset: usize, byte: u8) -> Vec<u8> {
    let mut bytes = hello(member());
    bytes[offset] = byte;
    bytes
}

// Invalid input in place of the frame that begins a session.
#[rstest]
#[case::no_frame(b"GET / HTTP/1.1\r\n\r\n".to_vec(), "no frame")]
#[case::wire_version(hello_with(3, 9), "wire version")]
#[case::oversized(hello_with(11, 255), "oversized")]
#[case::checksum(hello_with(30, 0), "checksum")]
#[case::another_fleet(hello(sender("g", Identity::Member("n0".into()))), "fleet")]
#[case::truncated(hello(member())[..20].to_vec(), "io")]
#[case::not_a_greeting(FrameEncoder::new(member(), 0).encode(renew(1)).unwrap(), "session")]
#[case::nothing(Vec::new(), "io")]
fn an_invalid_greeting_is_refused(#[case] bytes: Vec<u8>, #[case] reason: &str) {
    let coordinator = start_coordinator();
    let mut socket = TcpStream::connect(coordinator.address).unwrap();
    socket.write_all(&bytes).unwrap();
    assert_closed(socket);
    assert_logged(&coordinator, reason);
    assert!(answers_valid_request(coordinator.address));
}

/// Waits until the coordinator has logged that it refused a connection for this reason.
fn assert_logged(coordinator: &Coordinator, reason: &str) {
    let begin = Instant::now();
    loop {
        let log = std::fs::read_to_string(&coordinator.log).unwrap();
        assert!(!log.contains("panicked"), "{log}");
        if log.contains(&format!("refused why=\"{reason}\"")) {
            return;
        }
        assert!(begin.elapsed() < Duration::from_secs(10), "{reason} is not logged: {log}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Begins a valid session with the coordinator and sends an invalid frame in it. Returns the connection.
type InvalidFrameSender = fn(SocketAddr) -> TcpStream;

/// Sends a frame that was recorded in another session.
fn replayed(address: SocketAddr) -> TcpStream {
    let (_, _, mut encoder) = wire::connect_session(address, &member()).unwrap();
    let recorded = encoder.encode(renew(1)).unwrap();
    let (mut socket, ..) = wire::connect_session(address, &member()).unwrap();
    socket.write_all(&recorded).unwrap();
    socket
}

/// Sends the same frame twice.
fn repeated(address: SocketAddr) -> TcpStream {
    let (mut socket, _, mut encoder) = wire::connect_session(address, &member()).unwrap();
    let bytes = encoder.encode(renew(1)).unwrap();
    socket.write_all(&[&bytes[..], &bytes].concat()).unwrap();
    socket
}

/// Sends a frame in which the request names a later run of the node than the sender does.
fn another_incarnation(address: SocketAddr) -> TcpStream {
    let (mut socket, _, mut encoder) = wire::connect_session(address, &member()).unwrap();
    socket.write_all(&encoder.encode(renew(2)).unwrap()).unwrap();
    socket
}

/// Sends a frame whose sender is another node than the one that began the session.
fn another_name(address: SocketAddr) -> TcpStream {
    let (mut socket, reader, _) = wire::connect_session(address, &member()).unwrap();
    let mut encoder = FrameEncoder::new(sender("f", Identity::Member("n1".into())), reader.session());
    encoder.encode(renew(1)).unwrap();
    socket.write_all(&encoder.encode(renew(1)).unwrap()).unwrap();
    socket
}

/// Sends a message between coordinators from a node.
fn a_peer_envelope(address: SocketAddr) -> TcpStream {
    let (mut socket, _, mut encoder) = wire::connect_session(address, &member()).unwrap();
    let peer = PeerMessage::Prepare { ballot: Ballot { round: 1_000_000, candidate: 0 } };
    let envelope =
        Envelope { write_count: 0, observed_write_count: u64::MAX, observed_seat: 0, seat: 0, message: peer };
    socket.write_all(&encoder.encode(Body::Envelope(envelope)).unwrap()).unwrap();
    socket
}

#[rstest]
#[case::replayed(replayed, "session")]
#[case::repeated(repeated, "repeated")]
#[case::another_incarnation(another_incarnation, "name")]
#[case::another_name(another_name, "name")]
#[case::a_peer_envelope(a_peer_envelope, "order")]
fn an_invalid_frame_in_a_session_is_refused(
    #[case] send_invalid_frame: InvalidFrameSender,
    #[case] reason: &str,
) {
    let coordinator = start_coordinator();
    assert_closed(send_invalid_frame(coordinator.address));
    assert_logged(&coordinator, reason);
    assert!(answers_valid_request(coordinator.address));
}
