//! Connections to executors.

use rstest::rstest;

use crate::stand::{
    Call, DECLINED, Node, Place, WATCH, ask, configuration, done, entry, job, listed, message, send, status,
};

// A reset that followed an answer closely took the answer with it, and a one-shot that had run was aborted.
#[rstest]
#[case::whole_and_reset(done(1, "r"), 200)]
// Half a line is no answer: it may have run.
#[case::half_a_line(done(1, "r").split_once("result").unwrap().0.to_owned(), 502)]
#[case::nothing(String::new(), 502)]
fn an_answer_that_came_before_a_reset_counts(#[case] answer: String, #[case] wanted: u16) {
    let place = Place::open();
    let node = Node::start(&[place.address], &[]);
    let mut client = node.client();
    send(&mut client, &job(1, "pay", 1_500));
    let mut call = place.take();
    assert_eq!(call.id(), Some(1));
    node.held(|| {
        call.say(&answer);
        call.reset();
    });
    assert_eq!(status(message(&mut client)), wanted);
    assert!(!place.waits());
}

// It was written on the connection all the same, and answered by what had come before it.
#[rstest]
fn nothing_is_sent_on_a_connection_on_which_something_has_come_unasked(
    #[values(false, true)] asked_first: bool,
) {
    for round in 0..10 {
        let place = Place::open();
        let node = Node::start(&[place.address], &[]);
        let mut client = node.client();
        send(&mut client, &job(1, "pay", 1_500));
        let mut first = place.take();
        assert_eq!(first.id(), Some(1));
        first.say(&done(1, "one"));
        assert_eq!(message(&mut client).unwrap().1, "one");
        node.held(|| {
            if asked_first {
                send(&mut client, &job(2, "pay", 1_500));
            }
            first.say(&done(1, "one"));
            if !asked_first {
                send(&mut client, &job(2, "pay", 1_500));
            }
        });
        let mut second = place.take();
        assert_eq!(second.id(), Some(2), "round {round}");
        second.say(&done(2, "two"));
        assert_eq!(message(&mut client).unwrap().1, "two");
        assert!(first.ended());
    }
}

// It ended the connection, and with it what ran there.
#[rstest]
#[case::second_time(vec![done(1, "one"), done(2, "two")], 200)]
// What is nobody's leaves open what happened.
#[case::of_a_stranger(vec![done(7, "one"), done(2, "two")], 502)]
#[case::third_time(vec![done(1, "one"), done(1, "one"), done(2, "two")], 502)]
#[case::mixed(vec![done(1, "one").replace("\n", "\n{\"id\":\"2\",\"state\":\"done\",\"result\":\"two\"}\n")], 502)]
fn a_late_second_answer_is_not_the_next_ones(#[case] answers: Vec<String>, #[case] wanted: u16) {
    let place = Place::open();
    let node = Node::start(&[place.address], &[]);
    let mut client = node.client();
    send(&mut client, &job(1, "pay", 1_500));
    let mut call = place.take();
    assert_eq!(call.id(), Some(1));
    call.say(&done(1, "one"));
    assert_eq!(message(&mut client).unwrap().1, "one");
    node.fence();
    send(&mut client, &job(2, "pay", 1_500));
    assert_eq!(call.id(), Some(2));
    answers.iter().for_each(|answer| call.say(answer));
    let (head, body) = message(&mut client).unwrap();
    assert!(head.starts_with(&format!("HTTP/1.1 {wanted}")), "{head}");
    assert!(wanted != 200 || body == "two");
}

// Turned away a second time, as far as anybody could tell, a one-shot that ran would have been dismissed.
#[test]
fn a_late_second_refusal_is_not_the_next_ones() {
    let place = Place::open();
    let node = Node::start(&[place.address], &[]);
    let mut client = node.client();
    // The second is there when the first is answered.
    send(&mut client, &(job(1, "pay", 1_500) + &job(2, "pay", 1_500)));
    let mut first = place.take();
    assert_eq!(first.id(), Some(1));
    first.say(DECLINED);
    assert_eq!(status(message(&mut client)), 503);
    let mut second = place.take();
    assert_eq!(second.id(), Some(2));
    first.say(DECLINED);
    assert!(first.ended());
    second.say(&done(2, "two"));
    assert_eq!(status(message(&mut client)), 200);
}

// What comes up late is not used for what is over, and serves the next one.
#[rstest]
#[case::may_cancel(&[("\"connectTimeoutMs\": 250.0", "\"connectTimeoutMs\": 6000.0")])]
#[case::may_not(&[("\"connectTimeoutMs\": 250.0", "\"connectTimeoutMs\": 6000.0"), ("\"cancel\": true", "\"cancel\": false")])]
fn a_connection_that_comes_up_late_carries_nothing_that_is_over(#[case] changes: &[(&str, &str)]) {
    let (place, filling) = Place::full();
    let node = Node::start(&[place.address], changes);
    let mut gone = node.client();
    send(&mut gone, &job(1, "pay", 5_000));
    node.fence();
    drop(gone);
    node.fence();
    // Now there is room, and the kernel's next try, a second after the first, gets through.
    filling.iter().for_each(|_| drop(place.take()));
    let mut call = place.take();
    let mut client = node.client();
    send(&mut client, &job(2, "pay", 5_000));
    assert_eq!(call.id(), Some(2));
    call.say(&done(2, "two"));
    assert_eq!(status(message(&mut client)), 200);
    assert_eq!(status(ask(&mut client, "GET /healthz HTTP/1.1\r\n\r\n")), 200);
}

/// A node that watches discovery, which has told it of one executor here, and the watch.
fn watching(executor: &Place, discovery: &Place) -> (Node, Call) {
    let changes = [("\"connectTimeoutMs\": 250.0", "\"connectTimeoutMs\": 6000.0")];
    let node = Node::start_with(&configuration(&[executor.address], discovery.address, &changes));
    let mut watch = discovery.take();
    watch.asked().unwrap();
    watch.say(&format!("{WATCH}{}", listed(5, true, &[entry("w0", executor.address)])));
    node.wait_until_ready();
    (node, watch)
}

// An executor was replaced under its name by one elsewhere while a job was out at the old address. The connection rested
// among those to the new one, and the next job went to the old.
#[test]
fn a_connection_to_an_address_that_was_left_carries_nothing_more() {
    let (old, new, discovery) = (Place::open(), Place::open(), Place::open());
    let (node, mut watch) = watching(&old, &discovery);
    let mut client = node.client();
    send(&mut client, &job(1, "look", 5_000));
    let mut call = old.take();
    assert_eq!(call.id(), Some(1));
    watch.say(&listed(6, false, &[entry("w0", new.address)]));
    node.fence();
    call.say(&done(1, "r"));
    assert_eq!(status(message(&mut client)), 200);
    send(&mut client, &job(2, "look", 1_500));
    let mut next = new.take();
    assert_eq!(next.id(), Some(2));
    next.say(&done(2, "r"));
    assert_eq!(status(message(&mut client)), 200);
    assert!(call.ended());
}

// The same where the connection to the old address had not come up yet.
#[test]
fn a_connection_that_comes_up_at_an_address_that_was_left_carries_nothing() {
    let (new, discovery) = (Place::open(), Place::open());
    let (old, filling) = Place::full();
    let (node, mut watch) = watching(&old, &discovery);
    let mut client = node.client();
    send(&mut client, &job(1, "pay", 5_000));
    node.fence();
    watch.say(&listed(6, false, &[entry("w0", new.address)]));
    node.fence();
    // Room at the old address: what had waited comes up.
    for _ in &filling {
        drop(old.take());
    }
    drop(filling);
    let mut late = old.take();
    let status = status(message(&mut client));
    assert!(late.ended(), "sent to the old address");
    assert!(matches!(status, 200 | 503), "{status}");
}
