//! Frames come out as they went in however they are cut, and what is no frame is refused.

use linestack_frames::{Frame, FrameError, HEADER_LENGTH, MAX_BODY_LENGTH, Reader, VERSION, encode};
use proptest::prelude::*;
use rstest::rstest;

proptest! {
    #[test]
    fn whole_however_they_are_cut(
        frames in prop::collection::vec((any::<u8>(), prop::collection::vec(any::<u8>(), 0..200)), 1..6),
        step in 1_usize..64,
    ) {
        let bytes: Vec<u8> = frames.iter().flat_map(|(k, b)| encode(*k, b).unwrap()).collect();
        let (mut reader, mut seen) = (Reader::default(), Vec::new());
        for piece in bytes.chunks(step) {
            reader.push(piece);
            while let Some(Frame { kind, body }) = reader.next_frame().unwrap() {
                seen.push((kind, body));
            }
        }
        prop_assert_eq!(seen, frames);
    }

    // Whatever bit is turned, the frame does not come out as another.
    #[test]
    fn no_bit_is_free(body in prop::collection::vec(any::<u8>(), 0..64), bit in any::<prop::sample::Index>()) {
        let mut bytes = encode(3, &body).unwrap();
        let bit = bit.index(bytes.len() * 8);
        bytes[bit / 8] ^= 1 << (bit % 8);
        let mut reader = Reader::default();
        reader.push(&bytes);
        prop_assert!(!matches!(reader.next_frame(), Ok(Some(_))));
    }

    #[test]
    fn garbage_never_panics(bytes in prop::collection::vec(any::<u8>(), 0..256)) {
        let mut reader = Reader::default();
        reader.push(&bytes);
        while let Ok(Some(_)) = reader.next_frame() {}
    }
}

#[rstest]
#[case::magic(0, b'H', FrameError::Magic)]
#[case::version(3, VERSION + 1, FrameError::Version(VERSION + 1))]
#[case::spare(6, 1, FrameError::Magic)]
#[case::oversized(11, 1, FrameError::Oversized(0x0100_0002))]
#[case::checksum(HEADER_LENGTH, 9, FrameError::Checksum)]
fn refused(#[case] at: usize, #[case] byte: u8, #[case] fault: FrameError) {
    let mut bytes = encode(1, b"ab").unwrap();
    bytes[at] = byte;
    let mut reader = Reader::default();
    reader.push(&bytes);
    assert_eq!(reader.next_frame(), Err(fault));
}

#[test]
fn none_too_large_is_made() {
    assert!(encode(1, &vec![0; MAX_BODY_LENGTH + 1]).is_err());
}
