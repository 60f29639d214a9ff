//! Parsing of HTTP heads, bodies and load reports, and writing of messages.

use std::io::{self, Write};

use bytes::BytesMut;
use linestack::http::{self, BodyDecoder, Framing, WriteQueue};
use rstest::rstest;

const VALID_HEAD: &str = "POST /api?a=1 HTTP/1.1\r\nHost: h\r\nReq-Id: 7\r\nReq-Extra: slots=2\r\n";

#[rstest]
#[case::length("Content-Length: 5\r\n", Framing::Length(5))]
#[case::no_body("", Framing::Length(0))]
#[case::chunked("Transfer-Encoding: Chunked\r\n", Framing::Chunked)]
fn a_head_is_parsed_in_place(#[case] further_headers: &str, #[case] framing: Framing) {
    let text = format!("{VALID_HEAD}{further_headers}\r\nrest");
    let head = http::parse_request(text.as_bytes()).unwrap().unwrap();
    assert_eq!(head.framing, Some(framing));
    assert_eq!(&text[head.method], "POST");
    assert_eq!(&text[head.path], "/api?a=1");
    assert_eq!(&text[head.id.unwrap()], "7");
    assert_eq!(&text[head.extra.unwrap()], "slots=2");
    assert_eq!(&text[head.length..], "rest");
    assert!((0..text.len() - 4).all(|n| http::parse_request(&text.as_bytes()[..n]).unwrap().is_none()));
}

// Only the expectation that the standard defines is one; a client that sends another gets no `100 Continue` that it did not ask for.
#[rstest]
#[case::none("", false)]
#[case::standard("Expect: 100-Continue\r\n", true)]
#[case::unknown("Expect: 200-ok\r\n", false)]
fn an_expectation_is_recognized(#[case] header: &str, #[case] expected: bool) {
    let text = format!("{VALID_HEAD}{header}\r\n");
    let head = http::parse_request(text.as_bytes()).unwrap().unwrap();
    assert_eq!(head.expects_continue, expected);
}

// A head whose body could end at different places for different parsers allows one request to hide another (request smuggling).
#[rstest]
#[case::two_lengths("Content-Length: 5\r\nContent-Length: 5\r\n", 400)]
#[case::length_and_chunks("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", 400)]
#[case::chunks_and_length("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", 400)]
#[case::chunked_twice("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", 400)]
#[case::other_encoding("Transfer-Encoding: gzip, chunked\r\n", 400)]
#[case::signed("Content-Length: +5\r\n", 400)]
#[case::list("Content-Length: 5, 5\r\n", 400)]
#[case::empty("Content-Length:\r\n", 400)]
#[case::huge("Content-Length: 99999999999999999999999\r\n", 400)]
#[case::oversized("Content-Length: 65537\r\n", 413)]
#[case::two_ids("Req-Id: 8\r\n", 400)]
#[case::folded("X: a\r\n b\r\n", 400)]
#[case::no_colon("nonsense\r\n", 400)]
fn an_ambiguous_head_is_rejected(#[case] further_headers: &str, #[case] status: u16) {
    let error = http::parse_request(format!("{VALID_HEAD}{further_headers}\r\n").as_bytes()).unwrap_err();
    assert_eq!(error.status, status);
}

#[rstest]
#[case::endless("POST /api HTTP/1.1\r\nA: ".to_owned() + &"a".repeat(http::MAX_HEAD_BYTES), 431)]
#[case::many_headers("POST /api HTTP/1.1\r\n".to_owned() + &"A: b\r\n".repeat(100) + "\r\n", 431)]
#[case::old_version("POST /api HTTP/1.0\r\n\r\n".to_owned(), 505)]
#[case::garbage("\x01\x02\x03\r\n\r\n".to_owned(), 400)]
fn a_head_beyond_the_limits_is_rejected(#[case] text: String, #[case] status: u16) {
    assert_eq!(http::parse_request(text.as_bytes()).unwrap_err().status, status);
}

#[rstest]
#[case::length(Framing::Length(3), "abcrest", Ok(("abc", "rest")))]
#[case::chunks(Framing::Chunked, "2\r\nab\r\n1;x=y\r\nc\r\n0\r\n\r\nrest", Ok(("abc", "rest")))]
#[case::trailers(Framing::Chunked, "3\r\nabc\r\n0\r\nA: b\r\n\r\nrest", Ok(("abc", "rest")))]
#[case::bad_size(Framing::Chunked, "zz\r\nab\r\n", Err(400))]
#[case::long_chunk(Framing::Chunked, "2\r\nabc\r\n", Err(400))]
#[case::no_size(Framing::Chunked, "\r\n\r\n", Err(400))]
// The expected result is the body and the bytes that follow it, or the status with which the request is rejected.
fn a_body_is_decoded_alike_in_pieces_of_any_size(
    #[case] framing: Framing,
    #[case] text: &str,
    #[case] expected: Result<(&str, &str), u16>,
    #[values(1, 2, 3, 1000)] piece_length: usize,
) {
    let (mut body, mut input, mut output) = (BodyDecoder::new(framing), BytesMut::new(), BytesMut::new());
    let mut complete = Ok(false);
    let mut rest = text.as_bytes();
    while complete == Ok(false) && !rest.is_empty() {
        let (piece, later) = rest.split_at(piece_length.min(rest.len()));
        input.extend_from_slice(piece);
        rest = later;
        complete = body.decode(&mut input, &mut output);
    }
    input.extend_from_slice(rest);
    match expected {
        Ok((decoded, remaining)) => {
            assert_eq!(complete, Ok(true));
            assert_eq!((&output[..], &input[..]), (decoded.as_bytes(), remaining.as_bytes()));
        }
        Err(status) => assert_eq!(complete.unwrap_err().status, status),
    }
}

#[rstest]
#[case::chunks("200 OK\r\nTransfer-Encoding: chunked\r\n", 200, Framing::Chunked, false, false)]
#[case::declined("503 No\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n", 503, Framing::Length(0), true, false)]
#[case::not_declined(
    "503 No\r\nSrv-Declined: 0\r\nContent-Length: 0\r\n",
    503,
    Framing::Length(0),
    false,
    false
)]
#[case::closing("200 OK\r\nConnection: close\r\nContent-Length: 1\r\n", 200, Framing::Length(1), false, true)]
#[case::until_close("200 OK\r\n", 200, Framing::Close, false, true)]
fn the_framing_of_a_response_is_parsed(
    #[case] text: &str,
    #[case] status: u16,
    #[case] framing: Framing,
    #[case] declined: bool,
    #[case] close: bool,
) {
    let head = http::parse_response(format!("HTTP/1.1 {text}\r\n").as_bytes()).unwrap().unwrap();
    assert_eq!((head.status, head.framing, head.declined, head.close), (status, framing, declined, close));
}

#[rstest]
#[case("TEXT inflight=7, queue=2, util=0.61", "queue", Some(2.0))]
#[case("x0=1.5", "x0", Some(1.5))]
#[case("TEXT inflight=7", "light", None)]
#[case("TEXT inflight=many", "inflight", None)]
#[case("", "inflight", None)]
fn a_text_report_is_parsed(#[case] text: &str, #[case] name: &str, #[case] figure: Option<f32>) {
    assert_eq!(http::text_figure(text, name), figure);
}

/// A writer that accepts up to three bytes at every second call, and blocks at the others.
struct SlowWriter {
    written: Vec<u8>,
    blocked: bool,
}

impl Write for SlowWriter {
    fn write(&mut self, piece: &[u8]) -> io::Result<usize> {
        self.blocked = !self.blocked;
        if self.blocked {
            return Err(io::ErrorKind::WouldBlock.into());
        }
        let n = piece.len().min(3);
        self.written.extend_from_slice(&piece[..n]);
        Ok(n)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_message_is_written_whole_to_a_slow_socket() {
    let mut queue = WriteQueue::default();
    ["one ", "", "two ", "three"].into_iter().for_each(|piece| queue.push(piece));
    let mut socket = SlowWriter { written: Vec::new(), blocked: false };
    let incomplete_writes = (0..100).take_while(|_| !queue.write(&mut socket).unwrap()).count();
    assert!(incomplete_writes > 0 && queue.is_done());
    assert_eq!((socket.written.as_slice(), queue.written), (&b"one two three"[..], 13));
}
