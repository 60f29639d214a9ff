//! What clients ask for: heads and bodies read into submissions, or refused.

use std::ops::Range;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use linestack_core::{ForwardedRequest, NewSubmission};
use linestack_recovery::start::Stage;

use super::NANOS_PER_MS;
use super::answer::{bare, told};
use crate::http::{self, BodyDecoder, Framing, HttpError, Request, WriteQueue};
use crate::net::Node;

/// The longest that a client may say it waits, whatever the settings name.
const LONGEST_WAIT_MS: u64 = 86_400_000;
/// Where a client can ask how a submission stands, by the key that it keeps.
const SUBMISSIONS: &[u8] = b"/v1/submissions/";

/// A request of which the head has come: what it asks for, whether a go-ahead is wanted, and what is known of
/// the body's end.
pub(super) struct Incoming {
    pub(super) asked: Asked,
    pub(super) expects: bool,
    body: BodyDecoder,
}

/// True once a request is whole. What its head already shows to make no sense is turned down before any of
/// its body is waited for.
pub(super) fn next(
    node: &Node,
    input: &mut BytesMut,
    head: &mut Option<Box<Incoming>>,
    body: &mut BytesMut,
) -> Result<bool, HttpError> {
    if head.is_none() {
        let Some(request) = http::parse_request(input)? else { return Ok(false) };
        let text = input.split_to(request.length).freeze();
        let body = BodyDecoder::new(request.framing.unwrap_or(Framing::Length(0)));
        *head = Some(Box::new(Incoming {
            asked: requested(node, &request, &text)?,
            expects: request.expects,
            body,
        }));
    }
    let Some(incoming) = head else { return Ok(false) };
    let whole = incoming.body.decode(input, body)?;
    if body.len() > http::MAX_BODY_BYTES {
        return Err(HttpError { status: 413, reason: "body too large" });
    }
    Ok(whole)
}

pub(super) enum Asked {
    Execution(NewSubmission, bool),
    Health(WriteQueue, bool),
}

fn requested(node: &Node, request: &Request, text: &Bytes) -> Result<Asked, HttpError> {
    let last = request.close;
    match (&text[request.method.clone()], &text[request.path.clone()]) {
        (b"GET", b"/healthz")
            if node.stored_outcome(b"").is_some_and(|(takes, _)| !takes) && node.ready() =>
        {
            Ok(Asked::Health(told(200, "the store has failed: one-shots are dismissed\n", last), last))
        }
        (b"GET", path) if path.starts_with(SUBMISSIONS) && node.stored_outcome(b"").is_some() => {
            let fate = node.stored_outcome(&path[SUBMISSIONS.len()..]).and_then(|(_, fate)| fate);
            let out = match fate {
                Some(fate) => told(200, &format!("{{\"fate\":\"{}\"}}\n", fate.as_str()), last),
                None => told(404, "{\"fate\":\"not known\"}\n", last),
            };
            Ok(Asked::Health(out, last))
        }
        (b"GET", b"/healthz") if node.stage().is_some_and(|s| s < Stage::Full) => {
            let Some(stage) = node.stage() else { return Ok(Asked::Health(bare(503, last), last)) };
            let text = format!("starting: {}: {}\n", stage.as_str(), stage.waits_for());
            Ok(Asked::Health(told(if node.ready() { 200 } else { 503 }, &text, last), last))
        }
        (b"GET", b"/healthz") if !node.outcomes_complete() && node.ready() => {
            let text = "an earlier store was lost: one-shots are aborted until what it sent is over\n";
            Ok(Asked::Health(told(200, text, last), last))
        }
        (b"GET", b"/healthz") => Ok(Asked::Health(bare(if node.ready() { 200 } else { 503 }, last), last)),
        (b"GET", _) => Ok(Asked::Health(bare(404, last), last)),
        (b"POST", _) => Ok(Asked::Execution(intake(node, request, text)?, last)),
        _ => Err(HttpError { status: 405, reason: "POST only" }),
    }
}

/// What a request asks for, if it may be executed at all. Its body is still to come.
fn intake(node: &Node, request: &Request, text: &Bytes) -> Result<NewSubmission, HttpError> {
    let bad = |reason| HttpError { status: 400, reason };
    let part = |range: &Option<Range<usize>>| range.clone().map(|r| text.slice(r)).filter(|t| !t.is_empty());
    let place = |names: &[String], name: &Bytes| names.iter().position(|n| n.as_bytes() == &name[..]);
    let id = part(&request.id).ok_or(bad("no Req-Id"))?;
    let kind = part(&request.kind).ok_or(bad("no Req-Kind"))?;
    let product = place(&node.names.products, &kind).ok_or(bad("unknown Req-Kind"))?;
    let tenant = if node.names.tenants.is_empty() {
        0
    } else {
        let owner = part(&request.owner).ok_or(bad("no Req-Owner"))?;
        place(&node.names.tenants, &owner).ok_or(bad("unknown Req-Owner"))?
    };
    let stamp = part(&request.stamp);
    // Without its mark nothing would drop a repeat of it.
    if stamp.is_none() && node.stamped.get(product).copied().unwrap_or(false) {
        return Err(bad("no Idempotency-Key"));
    }
    let deadline = part(&request.deadline).ok_or(bad("no Req-Deadline-Ms"))?;
    let digits = std::str::from_utf8(&deadline).ok().filter(|d| d.bytes().all(|b| b.is_ascii_digit()));
    let deadline = digits.and_then(|d| d.parse::<u64>().ok());
    let deadline = deadline.ok_or(bad("bad Req-Deadline-Ms"))?.min(LONGEST_WAIT_MS);
    let extra = part(&request.extra);
    let extra = extra.as_deref().and_then(|e| std::str::from_utf8(e).ok()).unwrap_or("");
    let figure = |names: [&str; 2]| {
        let found = names.iter().find_map(|n| http::text_figure(extra, n));
        found.filter(|f| f.is_finite() && *f >= 0.0).map(f64::from)
    };
    let shipment = ForwardedRequest {
        method: text.slice(request.method.clone()),
        path: text.slice(request.path.clone()),
        host: part(&request.host).unwrap_or_default(),
        id,
        stamp,
        body: Bytes::new(),
    };
    Ok(NewSubmission {
        product: u8::try_from(product).map_err(|_| bad("unknown Req-Kind"))?,
        tenant: u16::try_from(tenant).map_err(|_| bad("unknown Req-Owner"))?,
        timeout: deadline * NANOS_PER_MS,
        slots: figure(["slots", "needs"]).filter(|s| *s > 0.0).unwrap_or(1.0),
        memory: figure(["memory", "memNeeded"]).unwrap_or(0.0),
        request: Arc::new(shipment),
    })
}
