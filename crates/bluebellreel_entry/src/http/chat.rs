//! Chat completions.

use crate::http::online::{Pending, begin, error_of};
use crate::http::rim::{CallerRequest, Rim, answer};
use crate::http::sse;
use crate::online::CallerEvent;
use bluebellreel_http::{ApiError, ChunkedStream, Reply, read_body};
use bluebellreel_routing::Outcome;
use bluebellreel_types::{ChatBody, ModelName, content_digest};
use serde_json::json;
use std::sync::Arc;

/// `POST /v1/chat/completions`
pub(crate) fn complete(rim: &Rim, mut call: CallerRequest) {
    let body = read_body(&mut call.req, rim.body_limits());
    let chat = body.and_then(|body| {
        ChatBody::try_from(body.as_slice()).map_err(|e| ApiError::new(400, "bad_request", e))
    });
    let chat = match chat {
        Ok(chat) => chat,
        Err(e) => return answer(rim, call, |_| Err(e)),
    };
    let (model, stream) = (chat.model.clone(), chat.stream);
    let digest = content_digest(&chat.body);
    let work = chat.into_work(call.team.clone(), call.key.as_deref());
    let pending = begin(rim, &call, work, digest);
    if stream {
        send_stream(rim, call, &pending, &model);
    } else {
        answer(rim, call, |call| {
            whole(rim, &pending, &model, call.key.is_some())
        });
    }
}

fn whole(rim: &Rim, pending: &Pending, model: &ModelName, keyed: bool) -> Result<Reply, ApiError> {
    let mut text = String::new();
    loop {
        match pending.next(rim) {
            CallerEvent::Text(piece) => text.push_str(&piece),
            CallerEvent::Finished(Outcome::Completed { tokens, .. }) => {
                let body = sse::completion(pending.id, model, &text, tokens);
                return Ok(Reply::json(200, &body));
            }
            CallerEvent::Finished(outcome) => return Err(error_of(&outcome, keyed, rim.now())),
            CallerEvent::Claimed(record) => return pending.claimed(rim, *record),
        }
    }
}

/// Streams an answer. Nothing is sent before the first text, so that an error
/// before it still has its own status.
fn send_stream(rim: &Rim, call: CallerRequest, pending: &Pending, model: &ModelName) {
    let keyed = call.key.is_some();
    let first = match pending.next(rim) {
        CallerEvent::Text(text) => text,
        CallerEvent::Finished(Outcome::Completed { .. }) => Arc::from(""),
        CallerEvent::Finished(outcome) => {
            let error = error_of(&outcome, keyed, rim.now());
            return answer(rim, call, |_| Err(error));
        }
        CallerEvent::Claimed(record) => {
            return answer(rim, call, |_| pending.claimed(rim, *record));
        }
    };
    let CallerRequest { req, span, .. } = call;
    let sent = ChunkedStream::open(req, "text/event-stream").and_then(|mut stream| {
        stream.send(sse::text_event(pending.id, model, &first).as_bytes())?;
        if first.is_empty() {
            return stream.send(sse::end_events(pending.id, model).as_bytes());
        }
        send_rest(rim, pending, model, keyed, &mut stream)
    });
    if sent.is_err() {
        pending.caller_gone(rim);
    }
    let status = if sent.is_ok() { "200" } else { "gone" };
    rim.tracer().finish(span.with("status", status), rim.now());
}

fn send_rest(
    rim: &Rim,
    pending: &Pending,
    model: &ModelName,
    keyed: bool,
    stream: &mut ChunkedStream,
) -> std::io::Result<()> {
    loop {
        match pending.next(rim) {
            CallerEvent::Text(text) => {
                stream.send(sse::text_event(pending.id, model, &text).as_bytes())?;
            }
            CallerEvent::Finished(Outcome::Completed { .. }) => {
                return stream.send(sse::end_events(pending.id, model).as_bytes());
            }
            CallerEvent::Finished(outcome) => {
                let error = error_of(&outcome, keyed, rim.now());
                return stream.send(sse::error_event(&error.body()).as_bytes());
            }
            CallerEvent::Claimed(_) => return Ok(()),
        }
    }
}

/// `GET /v1/models`
pub(crate) fn models(rim: &Rim) -> Reply {
    let manifest = rim.manifest.get();
    let models: Vec<_> = manifest
        .models
        .iter()
        .map(|model| json!({ "id": model.name, "object": "model", "version": model.version }))
        .collect();
    Reply::json(200, &json!({ "object": "list", "data": models }))
}
