//! Server for gateways: stores and returns progress backups.

use crate::keeper::Keeper;
use bluebellreel_net::{Body, RequestBody, read_body};
use bluebellreel_origins::{
    KNOWN_KEEPERS, LIST_AGE_MS, Origin, RECORDS_LOST, SOLE_VERSION, StreamTag, format_keepers,
};
use bluebellreel_types::{JobId, WorkerVersion};
use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use std::rc::Rc;
use std::time::Duration;

/// Maximum size of one job's progress.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Timeout of reading the request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(2);
/// Retention of a backup after its owner last sent it. It exceeds the usual length of
/// an outage of the store, as jobs are taken over once the store answers again.
const PROGRESS_RETENTION: Duration = Duration::from_mins(2);
/// Retention of the counts of a job. They are needed until its next owner has written them to
/// the store, which may be away for long.
const COUNTS_RETENTION: Duration = Duration::from_hours(1);
/// How long the writer of counts waits until they are on the disk. It exceeds the time between
/// two writes.
const DISK_TIMEOUT: Duration = Duration::from_millis(900);

fn status(code: StatusCode) -> Response<Body> {
    let mut answer = Response::new(Body::full(Bytes::new()));
    *answer.status_mut() = code;
    answer
}

/// Handles a request of a gateway.
pub(crate) async fn answer(keeper: Rc<Keeper>, req: Request<RequestBody>) -> Response<Body> {
    let path = req.uri().path().to_owned();
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    match (req.method(), parts.as_slice()) {
        (&Method::PUT, ["jobs", id, "progress"]) => {
            let read = read_body(req.into_body(), MAX_BODY_BYTES, BODY_TIMEOUT).await;
            let Ok(Some(body)) = read else {
                return status(StatusCode::BAD_REQUEST);
            };
            if keeper.closed.get() {
                // A 200 would promise that the backup survives the shutdown.
                return status(StatusCode::SERVICE_UNAVAILABLE);
            }
            store_progress(&keeper, JobId::from(*id), body.to_vec());
            status(StatusCode::OK)
        }
        (&Method::PUT, ["jobs", id, "counts"]) => {
            let read = read_body(req.into_body(), MAX_BODY_BYTES, BODY_TIMEOUT).await;
            let Ok(Some(body)) = read else {
                return status(StatusCode::BAD_REQUEST);
            };
            if keeper.closed.get() {
                return status(StatusCode::SERVICE_UNAVAILABLE);
            }
            if store_counts(&keeper, JobId::from(*id), body.to_vec()).await {
                status(StatusCode::OK)
            } else {
                status(StatusCode::INSUFFICIENT_STORAGE)
            }
        }
        (&Method::GET, ["jobs", id, "counts"]) => {
            let progress = keeper.progress.borrow();
            backup(progress.counts(&JobId::from(*id)))
        }
        (&Method::PUT, ["origins"]) => {
            let read = read_body(req.into_body(), MAX_BODY_BYTES, BODY_TIMEOUT).await;
            let origin = read.ok().flatten();
            let origin = origin.and_then(|body| postcard::from_bytes::<Origin>(&body).ok());
            let Some(origin) = origin else {
                return status(StatusCode::BAD_REQUEST);
            };
            if keeper.closed.get() {
                return status(StatusCode::SERVICE_UNAVAILABLE);
            }
            if store_origin(&keeper, origin).await {
                status(StatusCode::OK)
            } else {
                status(StatusCode::INSUFFICIENT_STORAGE)
            }
        }
        (&Method::GET, ["completeness"]) => completeness(&keeper),
        (&Method::GET, ["origins", stream]) => {
            let query = req.uri().query().unwrap_or("");
            origin(&keeper, stream, query)
        }
        (&Method::GET, ["jobs", id, "progress"]) => {
            let progress = keeper.progress.borrow();
            backup(progress.get(&JobId::from(*id)))
        }
        _ => status(StatusCode::NOT_FOUND),
    }
}

fn backup(found: Option<&[u8]>) -> Response<Body> {
    match found {
        Some(bytes) => Response::new(Body::full(Bytes::copy_from_slice(bytes))),
        None => status(StatusCode::NOT_FOUND),
    }
}

/// Up to which revision this keeper knows all workers, and how long ago there was certainly no
/// later change.
fn completeness(keeper: &Keeper) -> Response<Body> {
    let Some(proven) = keeper.versions.borrow().proven() else {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    };
    let revision = keeper.snapshot.borrow().newest().workers;
    let known = (revision, keeper.now().since(proven));
    match postcard::to_allocvec(&known) {
        Ok(bytes) => Response::new(Body::full(bytes)),
        Err(_) => status(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

/// The version that began a stream: from a record, else from the history of versions. Names
/// the other keepers, which may have a record too.
fn origin(keeper: &Keeper, stream: &str, query: &str) -> Response<Body> {
    let mut answer = known_origin(keeper, stream, query);
    let others = keeper.keepers.borrow();
    if let Ok(value) = HeaderValue::try_from(format_keepers(others.addresses())) {
        answer.headers_mut().insert(KNOWN_KEEPERS, value);
    }
    answer
}

fn known_origin(keeper: &Keeper, stream: &str, query: &str) -> Response<Body> {
    let now = keeper.now();
    let text = |version: &WorkerVersion| Body::full(version.as_str().to_owned());
    let origins = keeper.origins.borrow();
    let recorded = StreamTag::parse(stream).and_then(|stream| origins.get(stream, now));
    if let Some(version) = recorded {
        return Response::new(text(version));
    }
    let parameter = |name: &str| {
        let mut pairs = form_urlencoded::parse(query.as_bytes());
        pairs.find(|(n, _)| n == name).map(|(_, value)| value)
    };
    let within = parameter("within_ms").and_then(|ms| ms.parse().ok());
    let since = now - Duration::from_millis(within.unwrap_or(0));
    let versions = keeper.versions.borrow();
    let service = parameter("service").unwrap_or_default();
    let mut answer = match versions.unrecorded(&service, since) {
        Some(version) => {
            let mut answer = Response::new(text(version));
            *answer.status_mut() = StatusCode::NON_AUTHORITATIVE_INFORMATION;
            answer
        }
        None => status(StatusCode::NOT_FOUND),
    };
    let flags = [
        (SOLE_VERSION, versions.is_certain(&service, since)),
        (RECORDS_LOST, keeper.records_since > since),
    ];
    for (name, _) in flags.into_iter().filter(|(_, is_set)| *is_set) {
        let value = HeaderValue::from_static("1");
        answer.headers_mut().insert(name, value);
    }
    if let Some(proven) = versions.proven() {
        let age = now.since(proven).as_millis();
        let value = HeaderValue::from(u64::try_from(age).unwrap_or(u64::MAX));
        answer.headers_mut().insert(LIST_AGE_MS, value);
    }
    answer
}

/// Keeps a record. Returns whether it is on the disk.
async fn store_origin(keeper: &Keeper, origin: Origin) -> bool {
    let expires_at = keeper.now() + origin.keep_for;
    keeper
        .origins
        .borrow_mut()
        .keep(origin.stream, &origin.version, expires_at);
    let generation = keeper.log_generation.get();
    let entry = (origin, expires_at);
    keeper.origin_log.append(generation, entry).await
}

/// Keeps the counts of a job. Returns whether they are on the disk.
async fn store_counts(keeper: &Keeper, id: JobId, counts: Vec<u8>) -> bool {
    let expires_at = keeper.now() + COUNTS_RETENTION;
    let is_kept = keeper
        .progress
        .borrow_mut()
        .keep_counts(id, counts, expires_at);
    if !is_kept {
        return false;
    }
    keeper.pending_progress.mark_changed();
    keeper.pending_progress.written(DISK_TIMEOUT).await
}

fn store_progress(keeper: &Keeper, id: JobId, progress: Vec<u8>) {
    let expires_at = keeper.now() + PROGRESS_RETENTION;
    keeper.progress.borrow_mut().keep(id, progress, expires_at);
    keeper.pending_progress.mark_changed();
}
