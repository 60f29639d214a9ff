//! Many coroutines that sleep for a very short time and then end.

use std::sync::Arc;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

use linestack::net::clock::{Alarm, Clock};
use linestack::net::spawn;

// The wake-up after a very short sleep may arrive while `may` is still parking the coroutine. `may` then resumes the coroutine from
// within its own call of `park`. Guards against a coroutine that ends there: the call waits for itself, and no coroutine runs any
// more.
#[test]
fn coroutines_that_end_after_a_short_sleep_do_not_block_others() {
    const PER_ROUND: u32 = 2_000;
    may::config().set_workers(1).set_worker_pin(false);
    let alarm = Arc::new(Alarm::start(Clock::start()));
    let (sender, receiver) = channel();
    let deadline = Instant::now() + Duration::from_secs(30);
    for round in 0..100_u64 {
        for i in 0..PER_ROUND {
            let (alarm, sender) = (Arc::clone(&alarm), sender.clone());
            spawn(move || {
                alarm.sleep(Duration::from_nanos(u64::from(i % 64) * 100 + round));
                let _ = sender.send(());
            });
        }
        for i in 0..PER_ROUND {
            let left = deadline.saturating_duration_since(Instant::now());
            assert!(
                receiver.recv_timeout(left).is_ok(),
                "round {round}: {i} of {PER_ROUND} ended, then none"
            );
        }
    }
}
