//! Parses clients' requests into submissions, rejects invalid ones, and answers requests that need no execution.

use std::ops::Range;
use std::sync::Arc;

use bytes::{Buf, Bytes, BytesMut};
use linestack_core::{ForwardedRequest, NewSubmission};
use linestack_recovery::start::Stage;

use super::answer::{empty_response, text_response};
use crate::NANOS_PER_MS;
use crate::http::{self, BodyDecoder, Framing, HttpError, Request, WriteQueue};
use crate::net::Node;

/// The longest deadline that a client may set, whatever the settings say.
const MAX_DEADLINE_MS: u64 = 86_400_000;
/// The path under which clients query the outcome of a submission by its key.
const SUBMISSIONS_PATH: &[u8] = b"/v1/submissions/";

/// A request whose head has been received.
pub(super) struct Incoming {
    pub(super) action: RequestAction,
    /// Whether the client waits for a `100 Continue`.
    pub(super) expects_continue: bool,
    pub(super) body: BodyDecoder,
}

/// Reads the next request from `input`. Returns true once it is complete. A request with an invalid head is rejected
/// before any of its body is awaited.
///
/// The head is copied out of the receive buffer: parts of it are needed until the submission is answered and longer, and a
/// slice would keep the whole buffer in memory.
pub(super) fn read_request(
    node: &Node,
    input: &mut BytesMut,
    head: &mut Option<Box<Incoming>>,
    body: &mut BytesMut,
) -> Result<bool, HttpError> {
    if head.is_none() {
        let Some(request) = http::parse_request(input)? else { return Ok(false) };
        let head_text = node.client_memory.reserved_copy(&input[..request.length]);
        input.advance(request.length);
        let body = BodyDecoder::new(request.framing.unwrap_or(Framing::Length(0)));
        *head = Some(Box::new(Incoming {
            action: route(node, &request, &head_text)?,
            expects_continue: request.expects_continue,
            body,
        }));
    }
    let Some(incoming) = head else { return Ok(false) };
    let complete = incoming.body.decode(input, body)?;
    if body.len() > http::MAX_BODY_BYTES {
        return Err(HttpError { status: 413, reason: "body too large" });
    }
    Ok(complete)
}

/// How a request is answered. `close_after` is whether the connection closes after the answer.
pub(super) enum RequestAction {
    /// By the execution of a submission.
    Execute { submission: NewSubmission, close_after: bool },
    /// At once, with this response.
    Respond { response: WriteQueue, close_after: bool },
}

/// Selects the action by the request's method and path.
fn route(node: &Node, request: &Request, head_text: &Bytes) -> Result<RequestAction, HttpError> {
    let close_after = request.close;
    let respond = |response| Ok(RequestAction::Respond { response, close_after });
    match (&head_text[request.method.clone()], &head_text[request.path.clone()]) {
        (b"GET", b"/healthz") if node.has_failed_store() && node.ready() => {
            respond(text_response(200, "the store has failed: one-shots are dismissed\n", close_after))
        }
        (b"GET", path) if path.starts_with(SUBMISSIONS_PATH) && node.has_store() => {
            respond(match node.stored_outcome(&path[SUBMISSIONS_PATH.len()..]) {
                Some(outcome) => {
                    text_response(200, &format!("{{\"fate\":\"{}\"}}\n", outcome.as_str()), close_after)
                }
                None => text_response(404, "{\"fate\":\"not known\"}\n", close_after),
            })
        }
        (b"GET", b"/healthz") if node.stage().is_some_and(|s| s < Stage::Full) => {
            let Some(stage) = node.stage() else {
                return respond(empty_response(503, close_after));
            };
            let text = format!("starting: {}: {}\n", stage.as_str(), stage.waits_for());
            respond(text_response(if node.ready() { 200 } else { 503 }, &text, close_after))
        }
        (b"GET", b"/healthz") if !node.outcomes_complete() && node.ready() => {
            let text = "an earlier store was lost: one-shots are aborted until what it sent is over\n";
            respond(text_response(200, text, close_after))
        }
        (b"GET", b"/healthz") => respond(empty_response(if node.ready() { 200 } else { 503 }, close_after)),
        (b"GET", _) => respond(empty_response(404, close_after)),
        (b"POST", _) => {
            Ok(RequestAction::Execute { submission: submission(node, request, head_text)?, close_after })
        }
        _ => Err(HttpError { status: 405, reason: "POST only" }),
    }
}

/// Parses the head of a submission. Its body is not received yet.
fn submission(node: &Node, request: &Request, head_text: &Bytes) -> Result<NewSubmission, HttpError> {
    let bad_request = |reason| HttpError { status: 400, reason };
    let part =
        |range: &Option<Range<usize>>| range.clone().map(|r| head_text.slice(r)).filter(|t| !t.is_empty());
    let position = |names: &[String], name: &Bytes| names.iter().position(|n| n.as_bytes() == &name[..]);
    let id = part(&request.id).ok_or(bad_request("no Req-Id"))?;
    let kind = part(&request.kind).ok_or(bad_request("no Req-Kind"))?;
    let product = position(&node.names.products, &kind).ok_or(bad_request("unknown Req-Kind"))?;
    let tenant = if node.names.tenants.is_empty() {
        0
    } else {
        let owner = part(&request.owner).ok_or(bad_request("no Req-Owner"))?;
        position(&node.names.tenants, &owner).ok_or(bad_request("unknown Req-Owner"))?
    };
    let stamp = part(&request.stamp);
    // Without an idempotency key, a repeated execution could not be recognized and dropped.
    if stamp.is_none() && node.stamped.get(product).copied().unwrap_or(false) {
        return Err(bad_request("no Idempotency-Key"));
    }
    let deadline = part(&request.deadline).ok_or(bad_request("no Req-Deadline-Ms"))?;
    let digits = std::str::from_utf8(&deadline).ok().filter(|d| d.bytes().all(|b| b.is_ascii_digit()));
    let deadline = digits.and_then(|d| d.parse::<u64>().ok());
    let deadline = deadline.ok_or(bad_request("bad Req-Deadline-Ms"))?.min(MAX_DEADLINE_MS);
    let extra = part(&request.extra);
    let extra = extra.as_deref().and_then(|e| std::str::from_utf8(e).ok()).unwrap_or("");
    let figure = |names: [&str; 2]| {
        let found = names.iter().find_map(|n| http::text_figure(extra, n));
        found.filter(|f| f.is_finite() && *f >= 0.0).map(f64::from)
    };
    let forwarded = ForwardedRequest {
        method: head_text.slice(request.method.clone()),
        path: head_text.slice(request.path.clone()),
        host: part(&request.host).unwrap_or_default(),
        id,
        idempotency_key: stamp,
        body: Bytes::new(),
    };
    Ok(NewSubmission {
        product: u8::try_from(product).map_err(|_| bad_request("unknown Req-Kind"))?,
        tenant: u16::try_from(tenant).map_err(|_| bad_request("unknown Req-Owner"))?,
        timeout: deadline * NANOS_PER_MS,
        slots: figure(["slots", "needs"]).filter(|s| *s > 0.0).unwrap_or(1.0),
        memory: figure(["memory", "memNeeded"]).unwrap_or(0.0),
        request: Arc::new(forwarded),
    })
}
