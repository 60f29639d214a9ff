//! Nodes whose store lacks what was sent last: an adopted copy, or one that was repaired. What such a store says of a one-shot that
//! was refused may have been outdated by a later execution.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;

use linestack_rig::process::copy_folder;
use rstest::rstest;

use super::harness::{
    DECLINED_RESPONSE, FakeServer, Node, configuration, confirming_discovery, done_response, exchange, job,
    send, status,
};

/// The deadline of each request in milliseconds.
const DEADLINE_MS: u32 = 5_000;
/// How long a request is watched for at the executor that must not receive it.
const WATCH_TIME: Duration = Duration::from_millis(300);

/// A store with its configuration file, and the executor of the nodes that run on it.
struct Installation {
    files: tempfile::TempDir,
    executor: FakeServer,
    configuration: String,
}

impl Installation {
    fn new() -> Self {
        let files = tempfile::tempdir().unwrap();
        let executor = FakeServer::open();
        // The executor that declines a request is not asked again, so each request has one attempt.
        let configuration = configuration(&[executor.address], confirming_discovery(), &[]);
        let all = Self { files, executor, configuration };
        let text = format!("[store]\nfolder = {:?}\nsame-by = \"req-id\"\n", all.store());
        std::fs::write(all.store_file(), text).unwrap();
        all.store_command(&["init"]);
        all
    }

    fn store(&self) -> PathBuf {
        self.files.path().join("store")
    }

    fn store_file(&self) -> PathBuf {
        self.files.path().join("store.toml")
    }

    /// Runs `linestack store` with these arguments and the store's folder.
    fn store_command(&self, arguments: &[&str]) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_linestack"));
        let output = command.arg("store").args(arguments).arg(self.store()).output().unwrap();
        assert!(output.status.success(), "{output:?}");
    }

    fn start_node(&self) -> Node {
        let node = Node::start_with_store(&self.configuration, "", Some(&self.store_file()));
        node.wait_until_ready();
        node
    }

    /// Has a one-shot refused by the executor and so by the node, which records that it was never sent.
    fn refuse(&self, id: u32) {
        let mut node = self.start_node();
        let mut client = node.client();
        send(&mut client, &job(id, "pay", DEADLINE_MS));
        let mut attempt = self.executor.accept();
        assert_eq!(attempt.read_request_id(), Some(id));
        attempt.send(DECLINED_RESPONSE);
        let answer = super::harness::read_message(&mut client);
        assert!([429, 503].contains(&status(answer)));
        stop(&mut node);
    }

    /// Has the executor receive a one-shot, and kills the node before its answer.
    fn kill_during_execution(&self, id: u32) {
        let node = self.start_node();
        let mut client = node.client();
        send(&mut client, &job(id, "pay", DEADLINE_MS));
        assert_eq!(self.executor.accept().read_request_id(), Some(id));
        drop(node);
    }
}

/// Stops a node, which writes all its records.
fn stop(node: &mut Node) {
    node.signal("-TERM");
    let exit = node.exit_within(Duration::from_secs(10));
    assert_eq!(exit.map(|(code, _)| code), Some(Some(0)));
}

/// Restores the copy that was made before the execution, and adopts it.
fn restore_copy(installation: &Installation, copy: &Path) {
    std::fs::remove_dir_all(installation.store()).unwrap();
    copy_folder(copy, &installation.store()).unwrap();
    installation.store_command(&["adopt"]);
}

/// Damages the record that the one-shot may have run, which is the last one, and repairs the store.
fn repair_damage(installation: &Installation, _copy: &Path) {
    let segment = installation.store().join("000000000001.segment");
    let mut bytes = std::fs::read(&segment).unwrap();
    let last = bytes.iter().rposition(|byte| *byte != 0).unwrap();
    // A record of this length is followed by its terminator only; the byte before it is part of the key.
    bytes[last - 8] ^= 0xff;
    std::fs::write(&segment, bytes).unwrap();
    installation.store_command(&["repair"]);
}

// Guards against a one-shot that runs twice because a store that counts as lost says that it was never sent.
#[rstest]
#[case::adopted_copy(restore_copy)]
#[case::repaired(repair_damage)]
fn a_store_that_counts_as_lost_does_not_prove_that_a_one_shot_was_never_sent(
    #[case] lose_last_record: fn(&Installation, &Path),
) {
    let installation = Installation::new();
    installation.refuse(1);
    let copy = installation.files.path().join("copy");
    copy_folder(&installation.store(), &copy).unwrap();
    installation.kill_during_execution(1);
    lose_last_record(&installation, &copy);

    let mut node = installation.start_node();
    let known = exchange(&mut node.client(), "GET /v1/submissions/1 HTTP/1.1\r\n\r\n");
    assert_eq!(status(known), 404, "the store tells of a one-shot of which it knows nothing");
    assert_eq!(status(exchange(&mut node.client(), &job(1, "pay", DEADLINE_MS))), 502);
    std::thread::sleep(WATCH_TIME);
    assert!(!installation.executor.has_pending_connection(), "the one-shot was sent again");
    // An ordinary restart while the store still counts as lost does not change that.
    stop(&mut node);
    let node = installation.start_node();
    assert_eq!(status(exchange(&mut node.client(), &job(1, "pay", DEADLINE_MS))), 502);
}

// What a store that counts as lost knows to be completed, or to have been sent, stays true.
#[test]
fn a_copy_that_is_adopted_proves_what_was_sent() {
    let installation = Installation::new();
    let mut node = installation.start_node();
    let mut client = node.client();
    send(&mut client, &job(1, "pay", DEADLINE_MS));
    let mut attempt = installation.executor.accept();
    assert_eq!(attempt.read_request_id(), Some(1));
    attempt.send(&done_response(1, "ok"));
    assert_eq!(status(super::harness::read_message(&mut client)), 200);
    drop(attempt);
    stop(&mut node);
    installation.kill_during_execution(2);
    let copy = installation.files.path().join("copy");
    copy_folder(&installation.store(), &copy).unwrap();
    restore_copy(&installation, &copy);

    let node = installation.start_node();
    assert_eq!(status(exchange(&mut node.client(), &job(1, "pay", DEADLINE_MS))), 200);
    assert_eq!(status(exchange(&mut node.client(), &job(2, "pay", DEADLINE_MS))), 502);
    assert!(!installation.executor.has_pending_connection());
}
