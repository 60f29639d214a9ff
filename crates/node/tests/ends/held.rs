//! A process that stands still while something happens: what it had decided, or decides first when it goes on, is judged by
//! what is true then.

use std::time::{Duration, Instant};

use crate::stand::{
    Node, Place, WATCH, ask, chunked, configuration, done, entry, job, listed, message, send, status,
};

/// Longer than the grace of a drain, and than what a client's end may be noticed late.
const STILL: Duration = Duration::from_secs(1);

/// The deadline that a request tells, in milliseconds.
fn deadline(head: &str) -> u64 {
    head.lines().find_map(|l| l.strip_prefix("Req-Deadline-Ms: ")?.parse().ok()).unwrap()
}

// The request came before the word of the drain, and both were there when the process went on: the request was decided by
// the old list, and its first byte went out after the word had been read.
#[test]
fn a_drain_that_came_while_the_process_stood_still_is_kept() {
    let (discovery, executor) = (Place::open(), Place::open());
    let node = Node::start_with(&configuration(&[executor.address], discovery.address, &[]));
    let mut watch = discovery.take();
    watch.asked().unwrap();
    watch.say(&format!("{WATCH}{}", listed(5, true, &[entry("w0", executor.address)])));
    node.wait_until_ready();
    let mut client = node.client();
    send(&mut client, &job(1, "look", 1_500));
    let mut call = executor.take();
    assert_eq!(call.id(), Some(1));
    call.say(&done(1, "r"));
    assert_eq!(status(message(&mut client)), 200);
    node.fence();
    node.held(|| {
        send(&mut client, &job(2, "look", 5_000));
        std::thread::sleep(Duration::from_millis(50));
        let leaving = entry("w0", executor.address).replace("active", "leaving");
        watch.say(&listed(6, false, &[leaving]));
        std::thread::sleep(STILL);
    });
    assert_eq!(status(message(&mut client)), 503);
    assert!(!call.ready() && !executor.waits(), "sent to a draining executor");
}

// An execution came back unstarted and then its client went, while the process stood still: no further one begins.
#[test]
fn a_client_that_went_while_the_process_stood_still_is_seen_to_have_gone() {
    let places = [Place::open(), Place::open()];
    let addresses = [places[0].address, places[1].address];
    let node = Node::start(&addresses, &[]);
    let mut calls = Vec::new();
    let mut client = node.client();
    // Both have a connection at rest.
    let mut id = 0;
    while calls.len() < 2 {
        id += 1;
        let mut clients = [node.client(), node.client()];
        send(&mut clients[0], &job(id, "look", 5_000));
        id += 1;
        send(&mut clients[1], &job(id, "look", 5_000));
        let mut asked: Vec<_> = (0..2)
            .map(|_| {
                loop {
                    if let Some(call) = places.iter().find_map(Place::taken) {
                        break call;
                    }
                    std::thread::yield_now();
                }
            })
            .collect();
        for call in &mut asked {
            let id = call.id().unwrap();
            call.say(&done(id, "r"));
        }
        for client in &mut clients {
            assert_eq!(status(message(client)), 200);
        }
        calls = asked;
    }
    send(&mut client, &job(900, "look", 10_000));
    let busy = loop {
        if let Some(busy) = calls.iter().position(|call| call.ready()) {
            break busy;
        }
        std::thread::yield_now();
    };
    assert_eq!(calls[busy].id(), Some(900));
    node.held(|| {
        calls[busy].say(&chunked("{\"id\":\"900\",\"state\":\"returned\"}\n"));
        std::thread::sleep(Duration::from_millis(50));
        drop(client);
        std::thread::sleep(STILL);
    });
    (0..5).for_each(|_| node.fence());
    assert!(!calls[1 - busy].ready() && places.iter().all(|place| !place.waits()), "sent on for nobody");
}

// A request that waits behind another on its connection was sent when it came, not when its turn came: its executor was
// told more time than its client had left.
#[test]
fn a_request_that_waits_its_turn_is_told_with_what_its_client_has_left() {
    const PATIENCE: u64 = 2_000;
    let executor = Place::open();
    let node = Node::start(&[executor.address], &[]);
    let mut client = node.client();
    let sent = Instant::now();
    send(&mut client, &(job(1, "look", PATIENCE as u32) + &job(2, "look", PATIENCE as u32)));
    let mut call = executor.take();
    assert!(call.asked().unwrap().contains("Req-Id: 1\r\n"));
    std::thread::sleep(STILL);
    call.say(&done(1, "r"));
    assert_eq!(status(message(&mut client)), 200);
    let head = call.asked().unwrap();
    assert!(head.contains("Req-Id: 2\r\n"));
    let left = PATIENCE.saturating_sub(sent.elapsed().as_millis() as u64);
    assert!(deadline(&head) <= left + 150, "{} ms told, {left} left", deadline(&head));
    call.say(&done(2, "r"));
    assert_eq!(status(message(&mut client)), 200);
}

// What can no longer be done when its turn comes is refused at once, and never sent.
#[test]
fn a_request_whose_time_ran_out_behind_another_is_refused() {
    let executor = Place::open();
    let node = Node::start(&[executor.address], &[]);
    let mut client = node.client();
    send(&mut client, &(job(1, "look", 3_000) + &job(2, "look", 500)));
    let mut call = executor.take();
    assert!(call.asked().unwrap().contains("Req-Id: 1\r\n"));
    std::thread::sleep(STILL);
    call.say(&done(1, "r"));
    assert_eq!(status(message(&mut client)), 200);
    assert_eq!(status(message(&mut client)), 503);
    assert!(!call.ready());
    // The connection goes on.
    send(&mut client, &job(3, "look", 1_500));
    assert!(call.asked().unwrap().contains("Req-Id: 3\r\n"));
    call.say(&done(3, "r"));
    assert_eq!(status(message(&mut client)), 200);
    assert_eq!(status(ask(&mut client, "GET /healthz HTTP/1.1\r\n\r\n")), 200);
}
