//! Operators' calls.

use crate::data::VolumesSummary;
use crate::fleet::{
    DrainOrder, FleetMessage, FleetSummary, PutAnswer, get_manifest, order_drain, put_manifest,
};
use crate::http::route::{Rim, principal};
use crate::http::{batches, page};
use crate::jobs::{JobsMessage, JobsSummary};
use crate::message::Message;
use bluebellreel_fleet::Manifest;
use bluebellreel_http::{ApiError, Method, Reply, Request, header, read_body, respond};
use bluebellreel_settings::Principal;
use bluebellreel_types::{JobId, Ran, WorkerName};
use crossbeam_channel::{Sender, bounded};
use serde_json::{Value, json};
use std::time::Duration;

/// Longest wait for an actor.
const ACTOR_TIME: Duration = Duration::from_secs(2);

/// `/operator/…`
pub(crate) fn handle(rim: &Rim, mut req: Request, path: &str, query: &str) {
    // The page's own form: a browser cannot set headers, so the token comes in
    // the form's body and answers are pages.
    if path == "/operator" {
        return page::handle(rim, req, query);
    }
    let reply = allowed(rim, &req)
        .and_then(|()| run(rim, &mut req, path))
        .unwrap_or_else(Reply::from);
    respond(req, &reply);
}

fn allowed(rim: &Rim, req: &Request) -> Result<(), ApiError> {
    match principal(rim, req)? {
        Principal::Operator(_) => Ok(()),
        Principal::Team(_) => Err(ApiError::new(403, "forbidden", "for operators only")),
    }
}

fn run(rim: &Rim, req: &mut Request, path: &str) -> Result<Reply, ApiError> {
    let method = req.method().clone();
    let path = path.strip_prefix("/operator/v1/").unwrap_or("");
    match (&method, path) {
        (Method::Get, "manifest") => show_manifest(rim),
        (Method::Put, "manifest") => change_manifest(rim, req),
        (Method::Get, "outcomes") => Ok(Reply::json(200, &outcomes(rim)?)),
        (Method::Post, _) => match path.split('/').collect::<Vec<_>>()[..] {
            ["jobs", id, "cancel"] => batches::cancel(rim, &JobId::from(id)),
            ["workers", name, "drain"] => drain(rim, &WorkerName::from(name)),
            ["roll-forward"] => {
                let seen = header(req, "If-Match").is_some();
                let seen = seen.then(|| seen_generation(req)).transpose()?;
                roll_forward(rim, seen)
            }
            _ => Err(ApiError::new(404, "not_found", "no such path")),
        },
        _ => Err(ApiError::new(404, "not_found", "no such path")),
    }
}

/// Lets a worker leave: nothing new within seconds, what runs finishes.
pub(crate) fn drain(rim: &Rim, worker: &WorkerName) -> Result<Reply, ApiError> {
    let asked = worker.clone();
    let incarnation = ask(rim, |answer| {
        Message::Fleet(FleetMessage::IncarnationAsked(asked, answer))
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
        at: rim.now(),
    };
    order_drain(&rim.parts.kv, &order).map_err(|reason| unavailable(&reason))?;
    Ok(Reply::json(
        200,
        &json!({ "worker": worker, "draining": true }),
    ))
}

/// Accepts the manifest that stands once more, as the next generation, so that
/// every process brings it into force anew. A second tap on what the first one
/// has done finds it done.
pub(crate) fn roll_forward(rim: &Rim, seen: Option<u64>) -> Result<Reply, ApiError> {
    let found = get_manifest(&rim.parts.kv).map_err(|e| unavailable(&e.to_string()))?;
    let Some(found) = found else {
        return Err(ApiError::new(404, "no_manifest", "no manifest yet"));
    };
    if seen.is_some_and(|seen| found.generation == seen + 1) {
        return Ok(Reply::json(200, &json!({ "generation": found.generation })));
    }
    let seen = seen.unwrap_or(found.generation);
    match put_manifest(&rim.parts.kv, seen, &found.text) {
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

fn show_manifest(rim: &Rim) -> Result<Reply, ApiError> {
    let found = get_manifest(&rim.parts.kv).map_err(|e| unavailable(&e.to_string()))?;
    let Some(found) = found else {
        return Err(ApiError::new(404, "no_manifest", "no manifest yet"));
    };
    let reply = Reply::bytes(200, "application/toml", found.text.as_bytes());
    Ok(reply.tagged(found.generation.to_string()))
}

fn unavailable(reason: &str) -> ApiError {
    let error = ApiError::new(503, "unavailable", reason);
    error.retry_after(Duration::from_secs(2))
}

fn change_manifest(rim: &Rim, req: &mut Request) -> Result<Reply, ApiError> {
    let seen = seen_generation(req)?;
    let body = read_body(req, rim.body_limits())?;
    let text = String::from_utf8(body)
        .map_err(|_| ApiError::new(400, "bad_manifest", "not UTF-8 text"))?;
    if let Err(errors) = Manifest::try_from(text.as_str()) {
        let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
        return Err(ApiError::new(422, "bad_manifest", lines.join("; ")));
    }
    match put_manifest(&rim.parts.kv, seen, &text) {
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

/// The generation that the operator saw; zero before the first manifest.
fn seen_generation(req: &Request) -> Result<u64, ApiError> {
    let Some(tag) = header(req, "If-Match") else {
        let message = "If-Match: the generation seen last is needed, \"0\" for none";
        return Err(ApiError::new(428, "generation_needed", message));
    };
    tag.trim_matches('"')
        .parse()
        .map_err(|_| ApiError::new(400, "bad_generation", "If-Match: not a generation"))
}

/// Asks an actor.
pub(crate) fn ask<T>(rim: &Rim, message: impl FnOnce(Sender<T>) -> Message) -> Result<T, ApiError> {
    let (answer, told) = bounded(1);
    rim.parts.tell(message(answer));
    told.recv_timeout(ACTOR_TIME)
        .map_err(|_| unavailable("the daemon does not answer"))
}

/// Whether the outcomes hold.
pub(crate) fn outcomes(rim: &Rim) -> Result<Value, ApiError> {
    let jobs: JobsSummary = ask(rim, |answer| {
        Message::Jobs(JobsMessage::SummaryAsked(answer))
    })?;
    let fleet: FleetSummary = ask(rim, |answer| {
        Message::Fleet(FleetMessage::SummaryAsked(answer))
    })?;
    let volumes = rim.parts.data.places().map(|places| places.summary());
    let volumes = volumes.unwrap_or_default();
    let metrics = &rim.parts.metrics;
    let (in_time, late) = (metrics.in_time.get(), metrics.late.get());
    Ok(json!({
        "entry": rim.parts.settings.name,
        "answers_in_time": {
            "state": answers_state(in_time, late),
            "in_time": in_time,
            "late": late,
        },
        "items_finish_once": {
            "state": items_state(&jobs, volumes),
            "volumes": volumes,
            "running_jobs": jobs.running,
            "orphaned_jobs": jobs.orphaned,
            "late_jobs": jobs.late,
            "unrecorded_bytes": jobs.unrecorded_bytes,
            "owned": jobs.owned,
        },
        "changes_hold": {
            "state": if fleet.behind.is_empty() && fleet.failed_loads.is_empty() {
                "holds"
            } else {
                "at risk"
            },
            "generation": fleet.generation,
            "workers": fleet.workers,
            "in_force": fleet.in_force,
            "behind": fleet.behind,
            "failed_loads": fleet.failed_loads,
            "draining": fleet.draining,
            "worker_names": fleet.names,
        },
    }))
}

/// Nineteen answers in twenty are to come in time.
fn answers_state(in_time: u64, late: u64) -> &'static str {
    let total = in_time + late;
    if late * 20 > total {
        "broken"
    } else if late * 100 > total {
        "at risk"
    } else {
        "holds"
    }
}

fn items_state(jobs: &JobsSummary, volumes: VolumesSummary) -> &'static str {
    if jobs.late > 0 || volumes.unreadable > 0 {
        "broken"
    } else if volumes.on_one_disk > 0 || jobs.orphaned > 0 || jobs.unrecorded_bytes > 16 << 20 {
        "at risk"
    } else {
        "holds"
    }
}
