//! The interface for calls of peers and keepers.

use crate::answers;
use crate::confirmation;
use crate::gateway::Gateway;
use crate::jobs;
use crate::keepers;
use crate::list_check;
use crate::millis::millis;
use crate::origins;
use crate::store_proxy;
use bluebellreel_members::Revisions;
use bluebellreel_net::{Body, RequestBody, read_body};
use bluebellreel_origins::{
    KNOWN_KEEPERS, LIST_AGE_MS, Origin, SOLE_VERSION, StreamTag, format_keepers,
};
use bluebellreel_teams::Caller;
use bluebellreel_types::JobId;
use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use percent_encoding::percent_decode_str;
use std::borrow::Cow;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Maximum size of the body of a peer's call.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Timeout of reading the body.
const BODY_TIMEOUT: Duration = Duration::from_secs(2);

/// Answers a call of a peer or keeper.
pub(crate) async fn answer(gw: Rc<Gateway>, req: Request<RequestBody>) -> Response<Body> {
    let path = req.uri().path().to_owned();
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    let Some((caller, parts)) = caller(&parts) else {
        return answers::failure(StatusCode::BAD_REQUEST, "team not readable");
    };
    match (req.method(), parts) {
        (&Method::GET, ["facts"]) => cluster_state(&gw, &req),
        (&Method::GET, ["confirmation"]) => {
            // A peer that keeps its configuration confirmed gives no age.
            let max_age = query_number(&req, "max_age_ms");
            let max_age = (max_age > 0).then(|| Duration::from_millis(max_age));
            confirmation::answer_peer(&gw, max_age).await
        }
        (&Method::GET, ["completeness"]) => {
            let max_age = req.uri().query().map(|_| query_number(&req, "max_age_ms"));
            list_check::answer_peer(&gw, max_age.map(Duration::from_millis)).await
        }
        (&Method::GET, ["state"]) => keepers::state(&gw, req.uri().query().unwrap_or("")),
        (&Method::PUT, ["facts"]) => match read_call_body(req).await {
            Some(body) => keepers::accept_snapshot(&gw, &body),
            None => missing_body(),
        },
        (&Method::GET, ["jobs", id, "results"]) => {
            let after = query_number(&req, "after");
            let wait = Duration::from_millis(query_number(&req, "wait_ms"));
            let after = usize::try_from(after).unwrap_or(usize::MAX);
            jobs::read_own(&gw, &caller, &job_id(id), after, wait).await
        }
        (&Method::GET, ["jobs", id, "items", item]) => {
            jobs::body_of_own(&gw, &caller, &job_id(id), &decoded(item))
        }
        (&Method::DELETE, ["jobs", id]) => jobs::cancel_own(&gw, &caller, &job_id(id)).await,
        (&Method::PUT, ["jobs", id, "end"]) => jobs::take_cancellation(&gw, &caller, &job_id(id)),
        (&Method::PUT, ["jobs", id, what @ ("owner" | "progress")]) => {
            let id = job_id(id);
            let is_owner = *what == "owner";
            let Some(progress) = read_call_body(req).await else {
                return missing_body();
            };
            if is_owner {
                return jobs::take_hand_over(&gw, &id, &progress).await;
            }
            jobs::store_progress_copy(&gw, id, &progress);
            answers::status(StatusCode::OK)
        }
        (&Method::PUT, ["origins"]) => match read_call_body(req).await {
            Some(body) => keep_origin(&gw, &body),
            None => missing_body(),
        },
        (&Method::GET, ["origins", stream]) => origin(&gw, stream, &req),
        (&Method::POST, ["store"]) => store(&gw, req).await,
        _ => answers::failure(StatusCode::NOT_FOUND, "no such call"),
    }
}

/// A segment of a path as its sender named it.
fn decoded(segment: &str) -> Cow<'_, str> {
    percent_decode_str(segment).decode_utf8_lossy()
}

fn job_id(segment: &str) -> JobId {
    JobId::from(&*decoded(segment))
}

/// The caller on whose behalf a peer accesses a job, and the rest of the path.
fn caller<'a>(parts: &'a [&'a str]) -> Option<(Caller, &'a [&'a str])> {
    match parts {
        ["team", name, rest @ ..] => {
            let name = percent_decode_str(name).decode_utf8().ok()?;
            Some((Caller::Team(Arc::from(&*name)), rest))
        }
        ["anonymous", rest @ ..] => Some((Caller::Anonymous, rest)),
        rest => Some((Caller::Unrestricted, rest)),
    }
}

/// Reads the whole body of a peer's call; none if it is too long or incomplete.
async fn read_call_body(req: Request<RequestBody>) -> Option<Bytes> {
    let body = read_body(req.into_body(), MAX_BODY_BYTES, BODY_TIMEOUT).await;
    body.ok().flatten()
}

fn missing_body() -> Response<Body> {
    answers::failure(StatusCode::BAD_REQUEST, "no body")
}

/// Keeps the record of the version that began a peer's stream.
fn keep_origin(gw: &Gateway, body: &[u8]) -> Response<Body> {
    match postcard::from_bytes::<Origin>(body) {
        Ok(origin) => {
            origins::keep(gw, &origin);
            answers::status(StatusCode::OK)
        }
        Err(e) => answers::failure(StatusCode::BAD_REQUEST, &e.to_string()),
    }
}

/// Answers a peer's question for the version that began a stream: from a record, else from
/// the history of versions.
fn origin(gw: &Gateway, stream: &str, req: &Request<RequestBody>) -> Response<Body> {
    let mut answer = known_origin(gw, stream, req);
    let keepers = gw.keepers.borrow().known(gw.now());
    if let Ok(value) = HeaderValue::try_from(format_keepers(keepers)) {
        answer.headers_mut().insert(KNOWN_KEEPERS, value);
    }
    answer
}

fn known_origin(gw: &Gateway, stream: &str, req: &Request<RequestBody>) -> Response<Body> {
    let recorded = StreamTag::parse(stream).and_then(|stream| origins::recorded(gw, stream));
    if let Some(version) = recorded {
        return answers::bytes(version.as_str().to_owned());
    }
    let query = req.uri().query().unwrap_or("");
    let service = form_urlencoded::parse(query.as_bytes()).find(|(name, _)| name == "service");
    let within = Duration::from_millis(query_number(req, "within_ms"));
    let service = service.map_or_else(Default::default, |(_, service)| service);
    let Some(version) = origins::inferred(gw, &service, within) else {
        return answers::failure(StatusCode::NOT_FOUND, "no record");
    };
    let mut answer = answers::bytes(version.as_str().to_owned());
    *answer.status_mut() = StatusCode::NON_AUTHORITATIVE_INFORMATION;
    let since = gw.elapsed() - within;
    if gw.versions.borrow().is_certain(&service, since) {
        let value = HeaderValue::from_static("1");
        answer.headers_mut().insert(SOLE_VERSION, value);
    }
    if let Some(age) = gw.list_age() {
        let value = HeaderValue::from(millis(age));
        answer.headers_mut().insert(LIST_AGE_MS, value);
    }
    answer
}

/// Makes a call to the store on behalf of a peer that the store rejects.
async fn store(gw: &Gateway, req: Request<RequestBody>) -> Response<Body> {
    let Some(body) = read_call_body(req).await else {
        return missing_body();
    };
    match store_proxy::call_for_peer(gw, &body).await {
        Ok(answer) => answers::bytes(answer),
        Err(e) => answers::failure(StatusCode::BAD_REQUEST, &e),
    }
}

fn cluster_state(gw: &Gateway, req: &Request<RequestBody>) -> Response<Body> {
    let revision = |name| i64::try_from(query_number(req, name)).unwrap_or(i64::MAX);
    let seen = Revisions {
        configuration: revision("configuration"),
        workers: revision("workers"),
    };
    let cluster_state = gw.cluster_state.borrow();
    if !cluster_state.has_all_changes_after(seen) {
        return answers::failure(StatusCode::CONFLICT, "ask for all");
    }
    answers::bytes(cluster_state.share(seen, gw.now()).encode())
}

fn query_number(req: &Request<RequestBody>, name: &str) -> u64 {
    let query = req.uri().query().unwrap_or("");
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(n, _)| *n == name)
        .and_then(|(_, v)| v.parse().ok())
        .unwrap_or(0)
}
