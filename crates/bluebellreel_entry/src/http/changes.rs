//! Operators' changes: the manifest, and draining of workers.

use crate::fleet::{DrainOrder, FleetMessage, PutAnswer, get_manifest, order_drain, put_manifest};
use crate::http::context::{HttpContext, query_actor, unavailable};
use crate::message::Message;
use bluebellreel_fleet::Manifest;
use bluebellreel_http::{ApiError, Reply, Request, header, read_body};
use bluebellreel_types::{Ran, WorkerName};
use serde_json::json;

/// Drains a worker: within seconds it gets no new work, and running work finishes.
pub(crate) fn drain(cx: &HttpContext, worker: &WorkerName) -> Result<Reply, ApiError> {
    let asked = worker.clone();
    let incarnation = query_actor(cx, |answer| {
        Message::Fleet(FleetMessage::QueryIncarnation(asked, answer))
    })?;
    let Some(incarnation) = incarnation else {
        return Err(ApiError::new(
            404,
            "no_worker",
            "no such worker is connected",
        ));
    };
    let order = DrainOrder {
        worker: worker.clone(),
        incarnation,
        at: cx.now(),
    };
    order_drain(&cx.handles.kv, &order).map_err(|reason| unavailable(&reason))?;
    Ok(Reply::json(
        200,
        &json!({ "worker": worker, "draining": true }),
    ))
}

/// Accepts the current manifest again as the next generation, so that every process
/// applies it again. A repeated request with the same `seen` generation succeeds
/// without another change.
pub(crate) fn roll_forward(cx: &HttpContext, seen: Option<u64>) -> Result<Reply, ApiError> {
    let found = get_manifest(&cx.handles.kv).map_err(|e| unavailable(&e.to_string()))?;
    let Some(found) = found else {
        return Err(ApiError::new(404, "no_manifest", "no manifest yet"));
    };
    if seen.is_some_and(|seen| found.generation == seen + 1) {
        return Ok(Reply::json(200, &json!({ "generation": found.generation })));
    }
    let seen = seen.unwrap_or(found.generation);
    match put_manifest(&cx.handles.kv, seen, &found.text) {
        PutAnswer::Accepted(stored) => Ok(Reply::json(
            200,
            &json!({ "generation": stored.generation }),
        )),
        PutAnswer::Beaten(winner) => {
            let generation = winner.map_or(0, |w| w.generation);
            let message = format!("generation {generation} stands; look again");
            Err(ApiError::new(409, "beaten", message))
        }
        PutAnswer::NotDone(reason) => Err(unavailable(&reason)),
        PutAnswer::Unknown(reason) => Err(unavailable(&reason).ran(Ran::Unknown)),
    }
}

pub(crate) fn show_manifest(cx: &HttpContext) -> Result<Reply, ApiError> {
    let found = get_manifest(&cx.handles.kv).map_err(|e| unavailable(&e.to_string()))?;
    let Some(found) = found else {
        return Err(ApiError::new(404, "no_manifest", "no manifest yet"));
    };
    let reply = Reply::bytes(200, "application/toml", found.text.as_bytes());
    Ok(reply.tagged(found.generation.to_string()))
}

pub(crate) fn change_manifest(cx: &HttpContext, req: &mut Request) -> Result<Reply, ApiError> {
    let seen = seen_generation(req)?;
    let body = read_body(req, cx.body_limits())?;
    let text = String::from_utf8(body)
        .map_err(|_| ApiError::new(400, "bad_manifest", "not UTF-8 text"))?;
    if let Err(errors) = Manifest::try_from(text.as_str()) {
        let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
        return Err(ApiError::new(422, "bad_manifest", lines.join("; ")));
    }
    match put_manifest(&cx.handles.kv, seen, &text) {
        PutAnswer::Accepted(stored) => {
            let body = json!({ "generation": stored.generation });
            Ok(Reply::json(200, &body).tagged(stored.generation.to_string()))
        }
        PutAnswer::Beaten(winner) => {
            let body = json!({
                "error": {
                    "code": "beaten",
                    "message": "another manifest stands; this one was not accepted",
                    "ran": Ran::No,
                },
                "generation": winner.as_ref().map(|w| w.generation),
                "manifest": winner.as_ref().map(|w| w.text.clone()),
            });
            let generation = winner.map_or(0, |w| w.generation);
            Ok(Reply::json(409, &body).tagged(generation.to_string()))
        }
        PutAnswer::NotDone(reason) => Err(unavailable(&format!("not accepted: {reason}"))),
        PutAnswer::Unknown(reason) => {
            let message = format!("whether it was accepted is not known; look again: {reason}");
            Err(unavailable(&message).ran(Ran::Unknown))
        }
    }
}

/// The generation that the operator saw, zero before the first manifest.
pub(crate) fn seen_generation(req: &Request) -> Result<u64, ApiError> {
    let Some(tag) = header(req, "If-Match") else {
        let message = "If-Match: the generation seen last is needed, \"0\" for none";
        return Err(ApiError::new(428, "generation_needed", message));
    };
    tag.trim_matches('"')
        .parse()
        .map_err(|_| ApiError::new(400, "bad_generation", "If-Match: not a generation"))
}
