//! The batch job API.

use crate::http::context::{CallerRequest, HttpContext, answer, query_actor};
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

/// `Retry-After` of a job that was refused because too many are running.
const TOO_MANY_JOBS_RETRY_AFTER: Duration = Duration::from_secs(30);
/// Bytes of a job's body that one read may return.
const READ_BUFFER_BYTES: usize = 64 << 10;

/// Handles `POST /v1/batches`.
pub(crate) fn submit(cx: &HttpContext, call: &mut CallerRequest) -> Result<Reply, ApiError> {
    let Some(key) = call.key.clone() else {
        let message = "a job needs an Idempotency-Key";
        return Err(ApiError::new(400, "key_needed", message));
    };
    let now = cx.now();
    let settings = &cx.handles.settings;
    let deadline = call.deadline.unwrap_or(now + settings.batch_deadline);
    if deadline.is_past(now) {
        return Err(ApiError::new(
            400,
            "bad_deadline",
            "the deadline has passed",
        ));
    }
    let max_bytes = settings.limits.job_bytes;
    if call
        .req
        .body_length()
        .is_some_and(|length| length > max_bytes)
    {
        return Err(too_large(max_bytes));
    }
    let submission = Submission {
        id: JobId::derived(&call.team, &key),
        team: call.team.clone(),
        deadline,
        accepted_at: now,
        owner: settings.name.clone(),
        owner_run: cx.handles.run,
        max_items: settings.limits.job_items,
    };
    let content_length = call.req.body_length();
    let until = Instant::now() + settings.limits.job_time;
    call.req.set_read_deadline(Some(until));
    let next = body_pieces(call.req.as_reader(), content_length, max_bytes);
    let admit = || admit_job(cx, &submission.team);
    let answer = accept_job(cx.handles.storage(), &submission, admit, next)?;
    match answer {
        AcceptAnswer::Accepted(record, revision) => {
            let message = JobsMessage::Accepted(record.clone(), revision);
            cx.handles.send_message(Message::Jobs(message));
            Ok(Reply::json(201, &job_body(&record)))
        }
        AcceptAnswer::Existing(record) => Ok(Reply::json(200, &job_body(&record))),
    }
}

/// Refuses a new job while too many are running: every daemon holds all running
/// jobs in memory, and one team's jobs must not crowd out those of others. The limit
/// is soft: jobs that are accepted concurrently may exceed it slightly.
fn admit_job(cx: &HttpContext, team: &TeamName) -> Result<(), ApiError> {
    let asked = team.clone();
    let count: JobsCount = query_actor(cx, |answer| {
        Message::Jobs(JobsMessage::QueryCount(asked, answer))
    })?;
    let limits = &cx.handles.settings.limits;
    let reason = if count.of_team >= limits.team_jobs {
        "the team has too many jobs running"
    } else if count.all >= limits.jobs {
        "too many jobs are running"
    } else {
        return Ok(());
    };
    let error = ApiError::new(429, "too_many_jobs", reason);
    Err(error.retry_after(TOO_MANY_JOBS_RETRY_AFTER))
}

fn too_large(max_bytes: usize) -> ApiError {
    ApiError::new(
        413,
        "too_large",
        format!("a job has at most {max_bytes} bytes"),
    )
}

/// Reads a body piece by piece within its size limit.
fn body_pieces(
    reader: &mut dyn Read,
    content_length: Option<usize>,
    max_bytes: usize,
) -> impl FnMut() -> Result<Option<Vec<u8>>, ApiError> {
    let mut total = 0;
    move || {
        let cut_short = || ApiError::new(400, "cut_short", "the body ended early");
        let mut piece = vec![0; READ_BUFFER_BYTES];
        let read = reader.read(&mut piece).map_err(|e| body_read_error(&e))?;
        piece.truncate(read);
        total += read;
        if total > max_bytes {
            return Err(too_large(max_bytes));
        }
        if read == 0 {
            // A truncated job must never be accepted as complete.
            return match content_length {
                Some(length) if length != total => Err(cut_short()),
                _ => Ok(None),
            };
        }
        Ok(Some(piece))
    }
}

/// Handles `/v1/batches/{id}` and its subpaths.
pub(crate) fn handle(cx: &HttpContext, call: CallerRequest, rest: &str, query: &str) {
    let (id, action) = rest.split_once('/').unwrap_or((rest, ""));
    let id = JobId::from(id);
    match (call.req.method(), action) {
        (Method::Get, "") => answer(cx, call, |call| {
            let record = find_team_job(cx, &id, &call.team)?;
            Ok(Reply::json(200, &job_body(&record)))
        }),
        (Method::Post, "cancel") => answer(cx, call, |call| {
            find_team_job(cx, &id, &call.team)?;
            cancel(cx, &id)
        }),
        (Method::Get, "results") => results(cx, call, &id, query),
        _ => answer(cx, call, |_| {
            Err(ApiError::new(404, "not_found", "no such path"))
        }),
    }
}

/// Finds a job of this team. Another team's job gives the same error as one that
/// does not exist.
fn find_team_job(cx: &HttpContext, id: &JobId, team: &TeamName) -> Result<JobRecord, ApiError> {
    let found = find_job(&cx.handles.kv, id).map_err(|e| unreadable(&e.to_string()))?;
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

/// Cancels a job. The caller has checked that the request is allowed.
pub(crate) fn cancel(cx: &HttpContext, id: &JobId) -> Result<Reply, ApiError> {
    match cancel_job(cx.handles.storage(), id, cx.now()) {
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

fn results(cx: &HttpContext, call: CallerRequest, id: &JobId, query: &str) {
    let record = match find_team_job(cx, id, &call.team) {
        Ok(record) => record,
        Err(e) => return answer(cx, call, |_| Err(e)),
    };
    let after = query
        .split('&')
        .find_map(|pair| pair.strip_prefix("after="));
    if query.split('&').any(|pair| pair == "page=1") || after.is_some() {
        let after = after.filter(|cursor| !cursor.is_empty());
        return answer(cx, call, |_| one_page(cx, &record, after));
    }
    stream_results(cx, call, &record);
}

fn one_page(cx: &HttpContext, record: &JobRecord, after: Option<&str>) -> Result<Reply, ApiError> {
    let page = read_results(cx.handles.storage(), record, after)
        .map_err(|e| unreadable(&e.to_string()))?;
    let body = json!({ "data": page.lines, "next": page.next });
    Ok(Reply::json(200, &body))
}

/// Streams all results as JSONL, holding one page in memory at a time. A stream
/// that cannot be completed is closed without its final chunk, so that the caller
/// does not take partial results for complete ones.
fn stream_results(cx: &HttpContext, call: CallerRequest, record: &JobRecord) {
    let first = match read_results(cx.handles.storage(), record, None) {
        Ok(page) => page,
        Err(e) => return answer(cx, call, |_| Err(unreadable(&e.to_string()))),
    };
    let CallerRequest { req, span, .. } = call;
    let sent = ChunkedStream::open(req, "application/jsonl")
        .and_then(|stream| send_pages(cx, record, first, stream));
    let status = if sent.is_ok() { "200" } else { "cut" };
    cx.tracer().finish(span.with("status", status), cx.now());
}

fn send_pages(
    cx: &HttpContext,
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
        page = match read_results(cx.handles.storage(), record, Some(&next)) {
            Ok(page) => page,
            Err(e) => {
                stream.abandon();
                return Err(std::io::Error::other(e));
            }
        };
    }
}

/// The JSON form of a job for callers and operators.
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
