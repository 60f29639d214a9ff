//! Frames are read as they were written, however the bytes are split, and invalid frames are rejected.

use linestack_frames::{Frame, FrameError, HEADER_LENGTH, MAX_BODY_LENGTH, Reader, VERSION, encode};
use proptest::prelude::*;
use rstest::rstest;

proptest! {
    #[test]
    fn frames_are_read_as_written_however_the_bytes_are_split(
        frames in prop::collection::vec((any::<u8>(), prop::collection::vec(any::<u8>(), 0..200)), 1..6),
        chunk_length in 1_usize..64,
    ) {
        let bytes: Vec<u8> = frames.iter().flat_map(|(k, b)| encode(*k, b).unwrap()).collect();
        let (mut reader, mut received) = (Reader::default(), Vec::new());
        for chunk in bytes.chunks(chunk_length) {
            reader.push(chunk);
            while let Some(Frame { kind, body }) = reader.next_frame().unwrap() {
                received.push((kind, body));
            }
        }
        prop_assert_eq!(received, frames);
    }

    // Whichever bit is flipped, the frame is not returned as a valid one.
    #[test]
    fn every_flipped_bit_is_detected(body in prop::collection::vec(any::<u8>(), 0..64), bit in any::<prop::sample::Index>()) {
        let mut bytes = encode(3, &body).unwrap();
        let bit = bit.index(bytes.len() * 8);
        bytes[bit / 8] ^= 1 << (bit % 8);
        let mut reader = Reader::default();
        reader.push(&bytes);
        prop_assert!(!matches!(reader.next_frame(), Ok(Some(_))));
    }

    #[test]
    fn random_bytes_never_cause_a_panic(bytes in prop::collection::vec(any::<u8>(), 0..256)) {
        let mut reader = Reader::default();
        reader.push(&bytes);
        while let Ok(Some(_)) = reader.next_frame() {}
    }
}

#[rstest]
#[case::magic(0, b'H', FrameError::Magic)]
#[case::version(3, VERSION + 1, FrameError::Version(VERSION + 1))]
#[case::reserved(6, 1, FrameError::Magic)]
#[case::oversized(11, 1, FrameError::Oversized(0x0100_0002))]
#[case::checksum(HEADER_LENGTH, 9, FrameError::Checksum)]
fn invalid_headers_are_rejected(#[case] at: usize, #[case] byte: u8, #[case] error: FrameError) {
    let mut bytes = encode(1, b"ab").unwrap();
    bytes[at] = byte;
    let mut reader = Reader::default();
    reader.push(&bytes);
    assert_eq!(reader.next_frame(), Err(error));
}

#[test]
fn an_oversized_body_is_not_encoded() {
    assert!(encode(1, &vec![0; MAX_BODY_LENGTH + 1]).is_err());
}
