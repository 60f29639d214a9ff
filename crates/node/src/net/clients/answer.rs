//! Encodes responses to clients.

use bytes::Bytes;
use linestack_core::Answer;

use crate::http::WriteQueue;

/// Encodes a response with a text body. `close_after` tells the client that the connection closes after it.
pub(super) fn text_response(status: u16, text: &str, close_after: bool) -> WriteQueue {
    let mut out = WriteQueue::default();
    let length = text.len();
    out.push(Bytes::from(format!(
        "HTTP/1.1 {status} {}\r\nContent-Length: {length}\r\n",
        reason_phrase(status)
    )));
    out.push(if close_after { CONNECTION_CLOSE } else { b"" });
    out.push(&b"\r\n"[..]);
    out.push(Bytes::from(text.to_owned()));
    out
}

pub(super) const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
const CONNECTION_CLOSE: &[u8] = b"Connection: close\r\n";

/// Encodes a response without a body. `close_after` tells the client that the connection closes after it.
pub(super) fn empty_response(status: u16, close_after: bool) -> WriteQueue {
    let mut out = WriteQueue::default();
    out.push(Bytes::from(format!("HTTP/1.1 {status} {}\r\nContent-Length: 0\r\n", reason_phrase(status))));
    out.push(if close_after { CONNECTION_CLOSE } else { b"" });
    out.push(&b"\r\n"[..]);
    out
}

/// Encodes the answer to a submission. `close_after` tells the client that the connection closes after it.
pub(super) fn encode_answer(answer: Answer, close_after: bool) -> WriteQueue {
    let mut out = WriteQueue::default();
    let connection_header = if close_after { CONNECTION_CLOSE } else { b"" };
    match answer {
        Answer::Completed(result) => {
            out.push(&b"HTTP/1.1 200 OK\r\n"[..]);
            out.push(connection_header);
            out.push(Bytes::from(format!("Content-Length: {}\r\n\r\n", result.len())));
            out.push(result);
        }
        Answer::Dismissed(retry_after) => {
            out.push(&b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"[..]);
            out.push(connection_header);
            if let Some(wait) = retry_after {
                out.push(Bytes::from(format!("Retry-After: {:.3}\r\n", wait as f64 / 1e9)));
            }
            out.push(&b"\r\n"[..]);
        }
        Answer::DuplicateId => return empty_response(409, close_after),
        Answer::Aborted => {
            out.push(&b"HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n"[..]);
            out.push(connection_header);
            out.push(&b"\r\n"[..]);
        }
    }
    out
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        503 => "Service Unavailable",
        505 => "HTTP Version Not Supported",
        _ => "Error",
    }
}
