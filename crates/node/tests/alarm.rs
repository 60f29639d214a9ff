//! Coroutines that sleep shortly and end at once, by the ten thousands.

use std::sync::Arc;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

use linestack::net::clock::{Alarm, Clock};
use linestack::net::spawn;

/// The wake of so short a sleep comes while the coroutine is being put to sleep, now and then, and the last of
/// it is then run from within its own park. Ended there, it waited for itself and nothing ran any more.
#[test]
fn short_sleeps_that_end_a_coroutine_let_the_others_run() {
    const EACH: u32 = 2_000;
    may::config().set_workers(1).set_worker_pin(false);
    let alarm = Arc::new(Alarm::start(Clock::start()));
    let (ended, heard) = channel();
    let end = Instant::now() + Duration::from_secs(30);
    for round in 0..100_u64 {
        for i in 0..EACH {
            let (alarm, ended) = (Arc::clone(&alarm), ended.clone());
            spawn(move || {
                alarm.sleep(Duration::from_nanos(u64::from(i % 64) * 100 + round));
                let _ = ended.send(());
            });
        }
        for i in 0..EACH {
            let left = end.saturating_duration_since(Instant::now());
            assert!(heard.recv_timeout(left).is_ok(), "round {round}: {i} of {EACH} came back, then none");
        }
    }
}
