//! Telling callers' requests apart.

use crate::gateway::Gateway;
use crate::in_progress::Begun;
use crate::online;
use crate::request::Request;
use crate::{answers, jobs};
use bluebellreel_dispatch::{Configuration, Route, RouteKind};
use bluebellreel_net::{Body, read_body};
use bluebellreel_platform::engine::Outgoing;
use bluebellreel_platform::ingress;
use bytes::Bytes;
use http::{HeaderValue, Method, Response, StatusCode, header};
use hyper::body::Incoming;
use log::info;
use std::cell::OnceCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// When a caller should return to a daemon that knows no configuration yet.
const RETRY_UNCONFIGURED: Duration = Duration::from_millis(500);

/// When a caller should return to another daemon.
const RETRY_ELSEWHERE: Duration = Duration::from_millis(50);

/// Answers a caller. While the daemon stops, every answer asks the caller to
/// open its next connection elsewhere.
pub(crate) async fn answer(gw: Rc<Gateway>, req: http::Request<Incoming>) -> Response<Body> {
    let in_progress = gw.in_progress.begin(ingress::request_id(req.headers()));
    let mut answer = answer_open(&gw, req).await;
    if gw.stopping.get() {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(header::CONNECTION, close);
    }
    answer.map(|body| match body {
        Body::Full(bytes) => Body::Full(bytes),
        Body::Stream(pieces) => {
            // The request is in progress until its last piece is out.
            Body::stream(Held {
                pieces,
                _until_dropped: in_progress,
            })
        }
    })
}

struct Held<S> {
    pieces: S,
    _until_dropped: Begun,
}

impl<S: futures::Stream + Unpin> futures::Stream for Held<S> {
    type Item = S::Item;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<S::Item>> {
        std::pin::Pin::new(&mut self.pieces).poll_next(cx)
    }
}

async fn answer_open(gw: &Rc<Gateway>, req: http::Request<Incoming>) -> Response<Body> {
    if ingress::is_readiness(req.uri().path()) {
        return readiness(gw);
    }
    if gw.refusing.get() {
        return refusal();
    }
    let Some(configuration) = gw.configuration() else {
        let reason = "no configuration yet";
        return answers::retry_after(StatusCode::SERVICE_UNAVAILABLE, reason, RETRY_UNCONFIGURED);
    };
    if head_bytes(&req) > configuration.limits.head_bytes {
        return answers::status(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
    }
    if let Some(call) = ingress::job_call(&req) {
        return jobs::answer(gw, call).await;
    }
    let path = req.uri().path();
    let Some(route) = configuration.route(ingress::host(&req), path).cloned() else {
        let id = ingress::request_id(req.headers());
        info!(target: "online", request = id, path, host = ingress::host(&req), version = configuration.version; "no route");
        if gw.facts.borrow().is_from_snapshot() {
            // It may be newer than the snapshot.
            let reason = "store away";
            return answers::retry_after(
                StatusCode::SERVICE_UNAVAILABLE,
                reason,
                RETRY_UNCONFIGURED,
            );
        }
        return answers::failure(StatusCode::NOT_FOUND, "no route");
    };
    let received = Instant::now();
    let caller_timeout = ingress::caller_timeout(req.headers()).unwrap_or(route.timeout);
    let deadline = received + caller_timeout.min(route.timeout);
    let (head, body) = req.into_parts();
    let body = match body_of(&configuration, body, deadline).await {
        Ok(body) => body,
        Err(answer) => return answer,
    };
    if gw.refusing.get() {
        // Its body came late in a stop: passed on now, it would be cut.
        return refusal();
    }
    if route.kind == RouteKind::Batch && head.method == Method::POST {
        let deadline = received + caller_timeout;
        return jobs::submit(gw, &route, &head, &body, received, deadline).await;
    }
    let request = request(&route, &head, body, received, deadline);
    online::answer(gw.clone(), request).await
}

/// Tells a caller that its request has not run, as this daemon ends.
fn refusal() -> Response<Body> {
    answers::retry_after(StatusCode::SERVICE_UNAVAILABLE, "stopping", RETRY_ELSEWHERE)
}

/// Bytes of a request's head, without what the protocol adds between its parts.
fn head_bytes<B>(req: &http::Request<B>) -> usize {
    let headers = req.headers().iter();
    let fields: usize = headers.map(|(n, v)| n.as_str().len() + v.len()).sum();
    fields + req.uri().path().len() + req.uri().query().map_or(0, str::len)
}

async fn body_of(
    configuration: &Configuration,
    body: Incoming,
    deadline: Instant,
) -> Result<Bytes, Response<Body>> {
    let left = deadline.saturating_duration_since(Instant::now());
    match read_body(body, configuration.limits.body_bytes, left).await {
        Ok(Some(body)) => Ok(body),
        Ok(None) => Err(answers::status(StatusCode::PAYLOAD_TOO_LARGE)),
        // The body did not come: nothing was sent on.
        Err(_) => Err(answers::status(StatusCode::REQUEST_TIMEOUT)),
    }
}

fn request(
    route: &Arc<Route>,
    head: &http::request::Parts,
    body: Bytes,
    received: Instant,
    deadline: Instant,
) -> Request {
    let id: Arc<str> = Arc::from(ingress::request_id(&head.headers));
    Request {
        service: route.service_for(&id),
        id,
        route: route.clone(),
        out: Outgoing::of_caller(head, body),
        deadline,
        received,
        tried: Vec::new(),
        runs: 0,
        fingerprint: OnceCell::new(),
        trial: None,
    }
}

/// Answers the balancer.
pub(crate) fn readiness(gw: &Gateway) -> Response<Body> {
    answers::status(if gw.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    })
}
