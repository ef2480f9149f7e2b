//! The chat completions API.

use crate::http::context::{CallerRequest, HttpContext, answer};
use crate::http::online::{Pending, begin, error_of};
use crate::http::sse;
use crate::online::CallerEvent;
use bluebellreel_http::{ApiError, ChunkedStream, Reply, read_body};
use bluebellreel_routing::Outcome;
use bluebellreel_types::{ChatBody, ModelName, content_digest};
use serde_json::json;
use std::sync::Arc;

/// Handles `POST /v1/chat/completions`.
pub(crate) fn complete(cx: &HttpContext, mut call: CallerRequest) {
    let body = read_body(&mut call.req, cx.body_limits());
    let chat = body.and_then(|body| {
        ChatBody::try_from(body.as_slice()).map_err(|e| ApiError::new(400, "bad_request", e))
    });
    let chat = match chat {
        Ok(chat) => chat,
        Err(e) => return answer(cx, call, |_| Err(e)),
    };
    let (model, stream) = (chat.model.clone(), chat.stream);
    let digest = content_digest(&chat.body);
    let work = chat.into_work(call.team.clone(), call.key.as_deref());
    let pending = begin(cx, &call, work, digest);
    if stream {
        send_stream(cx, call, &pending, &model);
    } else {
        answer(cx, call, |call| {
            answer_unstreamed(cx, &pending, &model, call.key.is_some())
        });
    }
}

fn answer_unstreamed(
    cx: &HttpContext,
    pending: &Pending,
    model: &ModelName,
    keyed: bool,
) -> Result<Reply, ApiError> {
    let mut text = String::new();
    loop {
        match pending.next(cx) {
            CallerEvent::Text(piece) => text.push_str(&piece),
            CallerEvent::Finished(Outcome::Completed { tokens, .. }) => {
                let body = sse::completion(pending.id, model, &text, tokens);
                return Ok(Reply::json(200, &body));
            }
            CallerEvent::Finished(outcome) => return Err(error_of(&outcome, keyed, cx.now())),
            CallerEvent::Claimed(record) => return pending.claimed(cx, *record),
        }
    }
}

/// Streams an answer. Nothing is sent before the first text, so that an earlier
/// error is answered with its own HTTP status.
fn send_stream(cx: &HttpContext, call: CallerRequest, pending: &Pending, model: &ModelName) {
    let keyed = call.key.is_some();
    let first = match pending.next(cx) {
        CallerEvent::Text(text) => text,
        CallerEvent::Finished(Outcome::Completed { .. }) => Arc::from(""),
        CallerEvent::Finished(outcome) => {
            let error = error_of(&outcome, keyed, cx.now());
            return answer(cx, call, |_| Err(error));
        }
        CallerEvent::Claimed(record) => {
            return answer(cx, call, |_| pending.claimed(cx, *record));
        }
    };
    let CallerRequest { req, span, .. } = call;
    let sent = ChunkedStream::open(req, "text/event-stream").and_then(|mut stream| {
        stream.send(sse::text_event(pending.id, model, &first).as_bytes())?;
        if first.is_empty() {
            return stream.send(sse::end_events(pending.id, model).as_bytes());
        }
        stream_rest(cx, pending, model, keyed, &mut stream)
    });
    if sent.is_err() {
        pending.caller_gone(cx);
    }
    let status = if sent.is_ok() { "200" } else { "gone" };
    cx.tracer().finish(span.with("status", status), cx.now());
}

fn stream_rest(
    cx: &HttpContext,
    pending: &Pending,
    model: &ModelName,
    keyed: bool,
    stream: &mut ChunkedStream,
) -> std::io::Result<()> {
    loop {
        match pending.next(cx) {
            CallerEvent::Text(text) => {
                stream.send(sse::text_event(pending.id, model, &text).as_bytes())?;
            }
            CallerEvent::Finished(Outcome::Completed { .. }) => {
                return stream.send(sse::end_events(pending.id, model).as_bytes());
            }
            CallerEvent::Finished(outcome) => {
                let error = error_of(&outcome, keyed, cx.now());
                return stream.send(sse::error_event(&error.body()).as_bytes());
            }
            CallerEvent::Claimed(_) => return Ok(()),
        }
    }
}

/// Handles `GET /v1/models`.
pub(crate) fn models(cx: &HttpContext) -> Reply {
    let manifest = cx.manifest.get();
    let models: Vec<_> = manifest
        .models
        .iter()
        .map(|model| json!({ "id": model.name, "object": "model", "version": model.version }))
        .collect();
    Reply::json(200, &json!({ "object": "list", "data": models }))
}
