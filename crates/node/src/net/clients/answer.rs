//! What clients are told.

use bytes::Bytes;
use linestack_core::Answer;

use crate::http::WriteQueue;

pub(super) fn told(status: u16, text: &str, last: bool) -> WriteQueue {
    let mut out = WriteQueue::default();
    let length = text.len();
    out.push(Bytes::from(format!("HTTP/1.1 {status} {}\r\nContent-Length: {length}\r\n", reason(status))));
    out.push(if last { LAST } else { b"" });
    out.push(&b"\r\n"[..]);
    out.push(Bytes::from(text.to_owned()));
    out
}

pub(super) const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
const LAST: &[u8] = b"Connection: close\r\n";

pub(super) fn bare(status: u16, last: bool) -> WriteQueue {
    let mut out = WriteQueue::default();
    out.push(Bytes::from(format!("HTTP/1.1 {status} {}\r\nContent-Length: 0\r\n", reason(status))));
    out.push(if last { LAST } else { b"" });
    out.push(&b"\r\n"[..]);
    out
}

pub(super) fn answered(answer: Answer, last: bool) -> WriteQueue {
    let mut out = WriteQueue::default();
    let last = if last { LAST } else { b"" };
    match answer {
        Answer::Completed(result) => {
            out.push(&b"HTTP/1.1 200 OK\r\n"[..]);
            out.push(last);
            out.push(Bytes::from(format!("Content-Length: {}\r\n\r\n", result.len())));
            out.push(result);
        }
        Answer::Dismissed(come_back) => {
            out.push(&b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"[..]);
            out.push(last);
            if let Some(wait) = come_back {
                out.push(Bytes::from(format!("Retry-After: {:.3}\r\n", wait as f64 / 1e9)));
            }
            out.push(&b"\r\n"[..]);
        }
        Answer::DuplicateId => return bare(409, !last.is_empty()),
        Answer::Aborted => {
            out.push(&b"HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n"[..]);
            out.push(last);
            out.push(&b"\r\n"[..]);
        }
    }
    out
}

fn reason(status: u16) -> &'static str {
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
