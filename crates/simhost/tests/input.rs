//! The program answers whole batches. Input that ends within a batch makes it exit with an error in one line.

use std::io::Write;
use std::process::{Command, Stdio};

#[test]
fn valid_batches_are_answered_and_an_invalid_one_ends_with_one_line_of_error() {
    // A batch without records: a header of 20 bytes, which ends with the number of the batch.
    let empty_batch = |number: u8| [&[0; 8][..], &[0; 11], &[number]].concat();
    // A reply without actions is a header alone.
    let reply_length = 12;
    for (input, replies, succeeds) in [
        (Vec::new(), 0, true),
        ([empty_batch(1), empty_batch(2)].concat(), 2, true),
        ([empty_batch(1), vec![0; 9]].concat(), 1, false),
    ] {
        let mut host = Command::new(env!("CARGO_BIN_EXE_linestack-simhost"));
        host.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
        let mut host = host.spawn().unwrap();
        host.stdin.take().unwrap().write_all(&input).unwrap();
        let done = host.wait_with_output().unwrap();
        assert_eq!((done.status.success(), done.stdout.len()), (succeeds, reply_length * replies));
        assert_eq!(done.stderr.iter().filter(|b| **b == b'\n').count(), usize::from(!succeeds));
    }
}
