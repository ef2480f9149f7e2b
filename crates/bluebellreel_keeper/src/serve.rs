//! What gateways call: progress of items is brought and fetched.

use crate::keeper::Keeper;
use bluebellreel_net::{Body, read_body};
use bluebellreel_types::JobId;
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use std::rc::Rc;
use std::time::Duration;

/// Longest progress of one job.
const BODY_BYTES: usize = 4 * 1024 * 1024;
/// Longest wait for it.
const BODY_TIME: Duration = Duration::from_secs(2);
/// How long progress is kept after its owner told it last. Longer than an outage
/// of the store usually lasts: a job is taken over once it is back.
const KEPT: Duration = Duration::from_mins(2);

fn status(code: StatusCode) -> Response<Body> {
    let mut answer = Response::new(Body::full(Bytes::new()));
    *answer.status_mut() = code;
    answer
}

/// Answers a gateway.
pub(crate) async fn answer(keeper: Rc<Keeper>, req: Request<Incoming>) -> Response<Body> {
    let path = req.uri().path().to_owned();
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    match (req.method(), parts.as_slice()) {
        (&Method::PUT, ["jobs", id, "progress"]) => {
            let read = read_body(req.into_body(), BODY_BYTES, BODY_TIME).await;
            let Ok(Some(body)) = read else {
                return status(StatusCode::BAD_REQUEST);
            };
            if keeper.closed.get() {
                // An acknowledgement would say that it outlives the stop.
                return status(StatusCode::SERVICE_UNAVAILABLE);
            }
            keep(&keeper, JobId::from(*id), body.to_vec());
            status(StatusCode::OK)
        }
        (&Method::GET, ["jobs", id, "progress"]) => {
            let progress = keeper.progress.borrow();
            match progress.get(&JobId::from(*id)) {
                Some(bytes) => Response::new(Body::full(Bytes::copy_from_slice(bytes))),
                None => status(StatusCode::NOT_FOUND),
            }
        }
        _ => status(StatusCode::NOT_FOUND),
    }
}

fn keep(keeper: &Keeper, id: JobId, progress: Vec<u8>) {
    let until = keeper.now() + KEPT;
    keeper.progress.borrow_mut().keep(id, progress, until);
    keeper.progress_due.note();
}
