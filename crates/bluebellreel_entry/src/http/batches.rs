//! Batch jobs.

use crate::http::rim::{CallerRequest, Rim, answer, ask};
use crate::jobs::{
    AcceptAnswer, CancelAnswer, JobsCount, JobsMessage, ResultPage, Submission, accept_job,
    cancel_job, find_job, read_results,
};
use crate::message::Message;
use bluebellreel_http::{ApiError, ChunkedStream, Method, Reply, body_read_error};
use bluebellreel_job::{JobRecord, JobState};
use bluebellreel_types::{JobId, Moment, Ran, TeamName};
use serde_json::{Value, json};
use std::io::Read;
use std::time::{Duration, Instant};

/// When a caller may come back whose job was one too many.
const JOBS_PAUSE: Duration = Duration::from_secs(30);
/// Bytes of a job's body read at one time.
const PIECE: usize = 64 << 10;

/// `POST /v1/batches`
pub(crate) fn submit(rim: &Rim, call: &mut CallerRequest) -> Result<Reply, ApiError> {
    let Some(key) = call.key.clone() else {
        let message = "a job needs an Idempotency-Key";
        return Err(ApiError::new(400, "key_needed", message));
    };
    let now = rim.now();
    let settings = &rim.parts.settings;
    let deadline = call.deadline.unwrap_or(now + settings.batch_deadline);
    if deadline.is_past(now) {
        return Err(ApiError::new(
            400,
            "bad_deadline",
            "the deadline has passed",
        ));
    }
    let most = settings.limits.job_bytes;
    if call.req.body_length().is_some_and(|length| length > most) {
        return Err(too_large(most));
    }
    let submission = Submission {
        id: JobId::derived(&call.team, &key),
        team: call.team.clone(),
        deadline,
        accepted_at: now,
        owner: settings.name.clone(),
        owner_run: rim.parts.run,
        most_items: settings.limits.job_items,
    };
    let announced = call.req.body_length();
    let until = Instant::now() + settings.limits.job_time;
    call.req.set_read_deadline(Some(until));
    let next = body_pieces(call.req.as_reader(), announced, most);
    let admit = || admit_job(rim, &submission.team);
    let answer = accept_job(rim.parts.storage(), &submission, admit, next)?;
    match answer {
        AcceptAnswer::Accepted(record, revision) => {
            let message = JobsMessage::Accepted(record.clone(), revision);
            rim.parts.tell(Message::Jobs(message));
            Ok(Reply::json(201, &job_body(&record)))
        }
        AcceptAnswer::Existing(record) => Ok(Reply::json(200, &job_body(&record))),
    }
}

/// Refuses a new job while too many run: each is kept in the memory of every
/// daemon, and one team's must not keep others' out. The bound is soft: jobs
/// that are accepted at the same moment may go over it by some.
fn admit_job(rim: &Rim, team: &TeamName) -> Result<(), ApiError> {
    let asked = team.clone();
    let count: JobsCount = ask(rim, |answer| {
        Message::Jobs(JobsMessage::CountAsked(asked, answer))
    })?;
    let limits = &rim.parts.settings.limits;
    let reason = if count.of_team >= limits.team_jobs {
        "the team has too many jobs running"
    } else if count.all >= limits.jobs {
        "too many jobs are running"
    } else {
        return Ok(());
    };
    let error = ApiError::new(429, "too_many_jobs", reason);
    Err(error.retry_after(JOBS_PAUSE))
}

fn too_large(most: usize) -> ApiError {
    ApiError::new(413, "too_large", format!("a job has at most {most} bytes"))
}

/// Reads a body piece by piece within its bounds.
fn body_pieces(
    reader: &mut dyn Read,
    announced: Option<usize>,
    most: usize,
) -> impl FnMut() -> Result<Option<Vec<u8>>, ApiError> {
    let mut total = 0;
    move || {
        let cut_short = || ApiError::new(400, "cut_short", "the body ended early");
        let mut piece = vec![0; PIECE];
        let read = reader.read(&mut piece).map_err(|e| body_read_error(&e))?;
        piece.truncate(read);
        total += read;
        if total > most {
            return Err(too_large(most));
        }
        if read == 0 {
            // Half a job must never be accepted as a whole one.
            return match announced {
                Some(length) if length != total => Err(cut_short()),
                _ => Ok(None),
            };
        }
        Ok(Some(piece))
    }
}

/// `/v1/batches/{id}` and what lies below.
pub(crate) fn handle(rim: &Rim, call: CallerRequest, rest: &str, query: &str) {
    let (id, action) = rest.split_once('/').unwrap_or((rest, ""));
    let id = JobId::from(id);
    match (call.req.method(), action) {
        (Method::Get, "") => answer(rim, call, |call| {
            let record = own_job(rim, &id, &call.team)?;
            Ok(Reply::json(200, &job_body(&record)))
        }),
        (Method::Post, "cancel") => answer(rim, call, |call| {
            own_job(rim, &id, &call.team)?;
            cancel(rim, &id)
        }),
        (Method::Get, "results") => results(rim, call, &id, query),
        _ => answer(rim, call, |_| {
            Err(ApiError::new(404, "not_found", "no such path"))
        }),
    }
}

/// A job of this team; another team's job does not show that it exists.
fn own_job(rim: &Rim, id: &JobId, team: &TeamName) -> Result<JobRecord, ApiError> {
    let found = find_job(&rim.parts.kv, id).map_err(|e| unreadable(&e.to_string()))?;
    match found {
        Some(found) if found.record.team == *team => Ok(found.record),
        _ => Err(ApiError::new(404, "no_job", "no such job")),
    }
}

fn unreadable(reason: &str) -> ApiError {
    let message = format!("the job cannot be read now: {reason}");
    let error = ApiError::new(503, "unavailable", message).ran(Ran::Unknown);
    error.retry_after(Duration::from_secs(2))
}

/// Cancels a job for whoever may.
pub(crate) fn cancel(rim: &Rim, id: &JobId) -> Result<Reply, ApiError> {
    match cancel_job(rim.parts.storage(), id, rim.now()) {
        CancelAnswer::Over(record) => Ok(Reply::json(200, &job_body(&record))),
        CancelAnswer::NoSuchJob => Err(ApiError::new(404, "no_job", "no such job")),
        CancelAnswer::Failed { unknown, reason } => {
            let message = format!("the cancel could not be recorded: {reason}");
            let ran = if unknown { Ran::Unknown } else { Ran::No };
            let error = ApiError::new(503, "unavailable", message).ran(ran);
            Err(error.retry_after(Duration::from_secs(2)))
        }
    }
}

fn results(rim: &Rim, call: CallerRequest, id: &JobId, query: &str) {
    let record = match own_job(rim, id, &call.team) {
        Ok(record) => record,
        Err(e) => return answer(rim, call, |_| Err(e)),
    };
    let after = query
        .split('&')
        .find_map(|pair| pair.strip_prefix("after="));
    if query.split('&').any(|pair| pair == "page=1") || after.is_some() {
        let after = after.filter(|cursor| !cursor.is_empty());
        return answer(rim, call, |_| one_page(rim, &record, after));
    }
    stream_results(rim, call, &record);
}

fn one_page(rim: &Rim, record: &JobRecord, after: Option<&str>) -> Result<Reply, ApiError> {
    let page =
        read_results(rim.parts.storage(), record, after).map_err(|e| unreadable(&e.to_string()))?;
    let body = json!({ "data": page.lines, "next": page.next });
    Ok(Reply::json(200, &body))
}

/// Streams all results as JSONL, a page in memory at one time. A stream that
/// cannot be finished is cut without its last chunk, so that the caller does
/// not take a part for the whole.
fn stream_results(rim: &Rim, call: CallerRequest, record: &JobRecord) {
    let first = match read_results(rim.parts.storage(), record, None) {
        Ok(page) => page,
        Err(e) => return answer(rim, call, |_| Err(unreadable(&e.to_string()))),
    };
    let CallerRequest { req, span, .. } = call;
    let sent = ChunkedStream::open(req, "application/jsonl")
        .and_then(|stream| send_pages(rim, record, first, stream));
    let status = if sent.is_ok() { "200" } else { "cut" };
    rim.tracer().finish(span.with("status", status), rim.now());
}

fn send_pages(
    rim: &Rim,
    record: &JobRecord,
    first: ResultPage,
    mut stream: ChunkedStream,
) -> std::io::Result<()> {
    let mut page = first;
    loop {
        let mut text = String::new();
        for line in &page.lines {
            text.push_str(&serde_json::to_string(line)?);
            text.push('\n');
        }
        if !text.is_empty() {
            stream.send(text.as_bytes())?;
        }
        let Some(next) = page.next else {
            return Ok(());
        };
        page = match read_results(rim.parts.storage(), record, Some(&next)) {
            Ok(page) => page,
            Err(e) => {
                stream.abandon();
                return Err(std::io::Error::other(e));
            }
        };
    }
}

/// A job as callers and operators see it.
pub(crate) fn job_body(record: &JobRecord) -> Value {
    let status = match record.state {
        JobState::Running => "in_progress",
        JobState::Complete => "completed",
        JobState::Cancelled => "cancelled",
        JobState::Expired => "expired",
    };
    let mut body = json!({
        "id": record.id,
        "object": "batch",
        "status": status,
        "created_at": record.accepted_at.to_rfc3339(),
        "deadline": record.deadline.to_rfc3339(),
        "request_counts": { "total": record.items },
    });
    if record.state != JobState::Running {
        body["request_counts"]["completed"] = record.counts.succeeded.into();
        body["request_counts"]["failed"] = record.counts.failed.into();
        body["ended_at"] = record.ended_at.map(Moment::to_rfc3339).into();
    }
    body
}
