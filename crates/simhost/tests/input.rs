//! The program, given input that ends regularly or within a batch.

use std::io::Write;
use std::process::{Command, Stdio};

#[test]
fn valid_batches_are_answered_and_an_invalid_one_ends_with_one_line_of_error() {
    let empty = |batch: u8| [&[0; 8][..], &[0; 11], &[batch]].concat();
    for (input, replies, good) in [
        (Vec::new(), 0, true),
        ([empty(1), empty(2)].concat(), 2, true),
        ([empty(1), vec![0; 9]].concat(), 1, false),
    ] {
        let mut host = Command::new(env!("CARGO_BIN_EXE_linestack-simhost"));
        host.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
        let mut host = host.spawn().unwrap();
        host.stdin.take().unwrap().write_all(&input).unwrap();
        let done = host.wait_with_output().unwrap();
        assert_eq!((done.status.success(), done.stdout.len()), (good, 12 * replies));
        assert_eq!(done.stderr.iter().filter(|b| **b == b'\n').count(), usize::from(!good));
    }
}
