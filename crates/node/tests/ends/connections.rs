//! Connections to executors: resets, unsolicited data, late establishment and changed addresses.

use rstest::rstest;

use crate::harness::{
    Connection, DECLINED_RESPONSE, FakeServer, Node, WATCH_HEAD, configuration, done_response, entry,
    exchange, job, list_chunk, read_message, send, status,
};

// Guards against a reset right after an answer that discards the answer, so that a one-shot that was executed is aborted.
#[rstest]
#[case::complete_answer(done_response(1, "r"), 200)]
// An incomplete line is no answer: the job may have run.
#[case::half_a_line(done_response(1, "r").split_once("result").unwrap().0.to_owned(), 502)]
#[case::nothing(String::new(), 502)]
fn an_answer_received_before_a_reset_counts(#[case] answer: String, #[case] wanted: u16) {
    let server = FakeServer::open();
    let node = Node::start(&[server.address], &[]);
    let mut client = node.client();
    send(&mut client, &job(1, "pay", 1_500));
    let mut connection = server.accept();
    assert_eq!(connection.read_request_id(), Some(1));
    node.while_paused(|| {
        connection.send(&answer);
        connection.reset();
    });
    assert_eq!(status(read_message(&mut client)), wanted);
    assert!(!server.has_pending_connection());
}

// An executor sends a second response to one request. Guards against the next request being sent on the same connection, where that
// response is taken for its answer.
#[rstest]
fn nothing_is_sent_on_a_connection_with_unsolicited_data(#[values(false, true)] request_first: bool) {
    for round in 0..10 {
        let server = FakeServer::open();
        let node = Node::start(&[server.address], &[]);
        let mut client = node.client();
        send(&mut client, &job(1, "pay", 1_500));
        let mut first = server.accept();
        assert_eq!(first.read_request_id(), Some(1));
        first.send(&done_response(1, "one"));
        assert_eq!(read_message(&mut client).unwrap().1, "one");
        node.while_paused(|| {
            if request_first {
                send(&mut client, &job(2, "pay", 1_500));
            }
            first.send(&done_response(1, "one"));
            if !request_first {
                send(&mut client, &job(2, "pay", 1_500));
            }
        });
        let mut second = server.accept();
        assert_eq!(second.read_request_id(), Some(2), "round {round}");
        second.send(&done_response(2, "two"));
        assert_eq!(read_message(&mut client).unwrap().1, "two");
        assert!(first.closed_without_data());
    }
}

// A single duplicate of the previous answer is ignored. Guards against a duplicate that closes the connection, and with it ends the
// execution in flight.
#[rstest]
#[case::duplicate(vec![done_response(1, "one"), done_response(2, "two")], 200)]
// An answer with an unknown id leaves open what happened to the job.
#[case::unknown_id(vec![done_response(7, "one"), done_response(2, "two")], 502)]
#[case::two_duplicates(vec![done_response(1, "one"), done_response(1, "one"), done_response(2, "two")], 502)]
#[case::both_ids_in_one_response(vec![done_response(1, "one").replace("\n", "\n{\"id\":\"2\",\"state\":\"done\",\"result\":\"two\"}\n")], 502)]
fn a_duplicate_answer_is_not_taken_for_the_next_request(#[case] answers: Vec<String>, #[case] wanted: u16) {
    let server = FakeServer::open();
    let node = Node::start(&[server.address], &[]);
    let mut client = node.client();
    send(&mut client, &job(1, "pay", 1_500));
    let mut connection = server.accept();
    assert_eq!(connection.read_request_id(), Some(1));
    connection.send(&done_response(1, "one"));
    assert_eq!(read_message(&mut client).unwrap().1, "one");
    node.barrier();
    send(&mut client, &job(2, "pay", 1_500));
    assert_eq!(connection.read_request_id(), Some(2));
    answers.iter().for_each(|answer| connection.send(answer));
    let (head, body) = read_message(&mut client).unwrap();
    assert!(head.starts_with(&format!("HTTP/1.1 {wanted}")), "{head}");
    assert!(wanted != 200 || body == "two");
}

// A refusal carries no request id. Guards against a duplicate that is taken for the next request's refusal, so that a one-shot that
// was executed is dismissed.
#[test]
fn a_duplicate_refusal_is_not_taken_for_the_next_request() {
    let server = FakeServer::open();
    let node = Node::start(&[server.address], &[]);
    let mut client = node.client();
    // Pipelined: the second request has already arrived when the first is answered.
    send(&mut client, &(job(1, "pay", 1_500) + &job(2, "pay", 1_500)));
    let mut first = server.accept();
    assert_eq!(first.read_request_id(), Some(1));
    first.send(DECLINED_RESPONSE);
    assert_eq!(status(read_message(&mut client)), 503);
    let mut second = server.accept();
    assert_eq!(second.read_request_id(), Some(2));
    first.send(DECLINED_RESPONSE);
    assert!(first.closed_without_data());
    second.send(&done_response(2, "two"));
    assert_eq!(status(read_message(&mut client)), 200);
}

// A connection that is established late is not used for a request that has ended, and serves the next one.
#[rstest]
#[case::may_cancel(&[("\"connectTimeoutMs\": 250.0", "\"connectTimeoutMs\": 6000.0")])]
#[case::may_not(&[("\"connectTimeoutMs\": 250.0", "\"connectTimeoutMs\": 6000.0"), ("\"cancel\": true", "\"cancel\": false")])]
fn a_connection_established_late_carries_no_request_that_has_ended(#[case] changes: &[(&str, &str)]) {
    let (server, queued) = FakeServer::with_full_accept_queue();
    let node = Node::start(&[server.address], changes);
    let mut gone = node.client();
    send(&mut gone, &job(1, "pay", 5_000));
    node.barrier();
    drop(gone);
    node.barrier();
    // The queue now has room, so the kernel's next SYN, sent a second after the first, succeeds.
    queued.iter().for_each(|_| drop(server.accept()));
    let mut connection = server.accept();
    let mut client = node.client();
    send(&mut client, &job(2, "pay", 5_000));
    assert_eq!(connection.read_request_id(), Some(2));
    connection.send(&done_response(2, "two"));
    assert_eq!(status(read_message(&mut client)), 200);
    assert_eq!(status(exchange(&mut client, "GET /healthz HTTP/1.1\r\n\r\n")), 200);
}

/// Starts a node with one executor that `discovery` lists, and a connect timeout of 6 s. Returns the node and its watch.
fn start_watching(executor: &FakeServer, discovery: &FakeServer) -> (Node, Connection) {
    let changes = [("\"connectTimeoutMs\": 250.0", "\"connectTimeoutMs\": 6000.0")];
    let node = Node::start_with(&configuration(&[executor.address], discovery.address, &changes));
    let mut watch = discovery.accept();
    watch.read_head().unwrap();
    watch.send(&format!("{WATCH_HEAD}{}", list_chunk(5, true, &[entry("w0", executor.address)])));
    node.wait_until_ready();
    (node, watch)
}

// An executor moves to a new address under the same name while a job is in flight at the old one. Guards against the old connection
// being kept as an idle connection of the new address: the next job then goes to the old executor.
#[test]
fn a_connection_to_a_replaced_address_is_not_used_again() {
    let (old, new, discovery) = (FakeServer::open(), FakeServer::open(), FakeServer::open());
    let (node, mut watch) = start_watching(&old, &discovery);
    let mut client = node.client();
    send(&mut client, &job(1, "look", 5_000));
    let mut connection = old.accept();
    assert_eq!(connection.read_request_id(), Some(1));
    watch.send(&list_chunk(6, false, &[entry("w0", new.address)]));
    node.barrier();
    connection.send(&done_response(1, "r"));
    assert_eq!(status(read_message(&mut client)), 200);
    send(&mut client, &job(2, "look", 1_500));
    let mut next = new.accept();
    assert_eq!(next.read_request_id(), Some(2));
    next.send(&done_response(2, "r"));
    assert_eq!(status(read_message(&mut client)), 200);
    assert!(connection.closed_without_data());
}

// Like the test above, with a connection to the old address that is not yet established when the address changes.
#[test]
fn a_connection_established_to_a_replaced_address_is_not_used() {
    let (new, discovery) = (FakeServer::open(), FakeServer::open());
    let (old, queued) = FakeServer::with_full_accept_queue();
    let (node, mut watch) = start_watching(&old, &discovery);
    let mut client = node.client();
    send(&mut client, &job(1, "pay", 5_000));
    node.barrier();
    watch.send(&list_chunk(6, false, &[entry("w0", new.address)]));
    node.barrier();
    // Makes room in the accept queue of the old address, so that the pending connection is established.
    for _ in &queued {
        drop(old.accept());
    }
    drop(queued);
    let mut late = old.accept();
    let status = status(read_message(&mut client));
    assert!(late.closed_without_data(), "sent to the old address");
    assert!(matches!(status, 200 | 503), "{status}");
}
