//! Outcomes of calls with an idempotency key.

use crate::http::context::HttpContext;
use crate::message::Message;
use crate::online::{ClaimQueryResult, OnlineMessage, find_claim, record_state};
use bluebellreel_claim::{ClaimRecord, ClaimState, state_after_verdict};
use bluebellreel_http::{ApiError, Reply};
use bluebellreel_kv::KvClient;
use bluebellreel_types::{Ran, TeamName};
use crossbeam_channel::bounded;
use serde_json::json;
use std::time::Duration;

/// Timeout for the verdict of a side process.
const VERDICT_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout for recording the verdict.
const RECORD_TIMEOUT: Duration = Duration::from_secs(3);

/// Handles `GET /v1/requests/{key}`.
pub(crate) fn show(cx: &HttpContext, team: &TeamName, key: &str) -> Result<Reply, ApiError> {
    let found = find_claim(&cx.handles.kv, team, key).map_err(|e| unavailable(&e.to_string()))?;
    let Some((record, revision)) = found else {
        let message = "no request with this key has been taken up";
        return Err(ApiError::new(404, "no_request", message));
    };
    let record = resolve(cx, record, revision);
    let (outcome, ran) = match &record.state {
        ClaimState::Pending => ("pending", Ran::Unknown),
        ClaimState::Completed { .. } => ("completed", Ran::Yes),
        ClaimState::Rejected { .. } => ("rejected", Ran::No),
        ClaimState::NotRun => ("not_run", Ran::No),
        ClaimState::Unknown => ("unknown", Ran::Unknown),
    };
    let mut body = json!({ "key": record.key, "outcome": outcome, "ran": ran });
    if let ClaimState::Completed { status, body: text } = &record.state {
        body["response"] = json!({ "status_code": status, "body": text });
    }
    if let ClaimState::Rejected { status, message } = &record.state {
        body["response"] = json!({ "status_code": status, "message": message });
    }
    Ok(Reply::json(200, &body))
}

/// The reply to a call whose idempotency key was used before.
pub(crate) fn claimed_reply(cx: &HttpContext, record: ClaimRecord) -> Result<Reply, ApiError> {
    let current = find_claim(&cx.handles.kv, &record.team, &record.key);
    let record = match current {
        Ok(Some((record, revision))) => resolve(cx, record, revision),
        Ok(None) | Err(_) => record,
    };
    match record.state {
        ClaimState::Completed { status, body } => {
            Ok(Reply::bytes(status, "application/json", body.as_bytes()))
        }
        ClaimState::Rejected { status, message } => {
            Err(ApiError::new(status, "rejected", message.to_string()))
        }
        // The claim has just been resolved as not run, so the key is free again.
        ClaimState::NotRun => {
            let error = ApiError::new(503, "not_run", "not run: send it again");
            Err(error.retry_after(Duration::from_secs(1)))
        }
        ClaimState::Pending => {
            let message = "a request with this key is in progress; read it at /v1/requests/{key}";
            Err(ApiError::new(409, "in_progress", message).ran(Ran::Unknown))
        }
        ClaimState::Unknown => {
            let message = "a request with this key may have run; it will not be run again";
            Err(ApiError::new(409, "unknown", message).ran(Ran::Unknown))
        }
    }
}

fn unavailable(reason: &str) -> ApiError {
    let message = format!("the outcome cannot be read now: {reason}");
    let error = ApiError::new(503, "unavailable", message).ran(Ran::Unknown);
    error.retry_after(Duration::from_secs(2))
}

/// Resolves a pending claim: queries the side process that it names and records
/// the result. An entry daemon that crashes between writing the claim and recording
/// the outcome leaves such a claim behind.
fn resolve(cx: &HttpContext, record: ClaimRecord, revision: i64) -> ClaimRecord {
    if record.state != ClaimState::Pending {
        return record;
    }
    let (answer, response) = bounded(1);
    let message = OnlineMessage::QueryClaim {
        record: Box::new(record.clone()),
        answer,
    };
    cx.handles.send_message(Message::Online(message));
    let result = response.recv_timeout(VERDICT_TIMEOUT);
    let result = result.unwrap_or(ClaimQueryResult::Unreachable);
    record_query_result(&cx.handles.kv, record, revision, &result)
}

/// Records the result of querying a pending claim. Returns the claim as recorded.
pub(crate) fn record_query_result(
    kv: &KvClient,
    record: ClaimRecord,
    revision: i64,
    result: &ClaimQueryResult,
) -> ClaimRecord {
    let state = match result {
        ClaimQueryResult::Verdict(verdict) => {
            state_after_verdict(verdict, record.deadline, kv.now())
        }
        ClaimQueryResult::Gone => Some(ClaimState::Unknown),
        // An unreachable worker may return and report the outcome. Past the
        // deadline the caller needs an answer, and "unknown" is the correct one.
        ClaimQueryResult::Unreachable if record.deadline.is_past(kv.now()) => {
            Some(ClaimState::Unknown)
        }
        ClaimQueryResult::Unreachable => None,
    };
    let Some(state) = state else {
        return record;
    };
    let resolved = record.with_state(state);
    if !record_state(kv, &resolved, revision, kv.now() + RECORD_TIMEOUT) {
        return record;
    }
    // Another daemon may have resolved the claim first: the recorded state is
    // authoritative.
    match find_claim(kv, &record.team, &record.key) {
        Ok(Some((current, _))) => current,
        Ok(None) | Err(_) => record,
    }
}
