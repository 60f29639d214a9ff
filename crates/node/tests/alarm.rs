//! Tens of thousands of coroutines that sleep for a very short time and end at once.

use std::sync::Arc;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

use linestack::net::clock::{Alarm, Clock};
use linestack::net::spawn;

/// After a very short sleep, the wake-up may arrive while the coroutine is still being parked; the rest of the coroutine then runs
/// within its own park call. If it ended there, it waited for itself, and no coroutine ran any more.
#[test]
fn coroutines_that_end_after_a_short_sleep_do_not_block_others() {
    const PER_ROUND: u32 = 2_000;
    may::config().set_workers(1).set_worker_pin(false);
    let alarm = Arc::new(Alarm::start(Clock::start()));
    let (ended, ends) = channel();
    let end = Instant::now() + Duration::from_secs(30);
    for round in 0..100_u64 {
        for i in 0..PER_ROUND {
            let (alarm, ended) = (Arc::clone(&alarm), ended.clone());
            spawn(move || {
                alarm.sleep(Duration::from_nanos(u64::from(i % 64) * 100 + round));
                let _ = ended.send(());
            });
        }
        for i in 0..PER_ROUND {
            let left = end.saturating_duration_since(Instant::now());
            assert!(ends.recv_timeout(left).is_ok(), "round {round}: {i} of {PER_ROUND} ended, then none");
        }
    }
}
