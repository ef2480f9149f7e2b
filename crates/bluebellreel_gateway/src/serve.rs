//! Distinguishes the kinds of callers' requests and passes each to its handler.

use crate::gateway::Gateway;
use crate::in_progress::InProgressGuard;
use crate::online;
use crate::request::Request;
use crate::{answers, jobs, teams};
use bluebellreel_dispatch::{Configuration, Route, RouteKind};
use bluebellreel_net::{Body, read_body};
use bluebellreel_platform::engine::Outgoing;
use bluebellreel_platform::ingress;
use bluebellreel_types::JobId;
use bytes::Bytes;
use http::{HeaderValue, Method, Response, StatusCode, header};
use hyper::body::Incoming;
use log::info;
use std::cell::OnceCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// `Retry-After` of answers from a daemon without a configuration.
const RETRY_UNCONFIGURED: Duration = Duration::from_millis(500);

/// `Retry-After` of refusals by a stopping daemon; the retry goes to another daemon.
const RETRY_ELSEWHERE: Duration = Duration::from_millis(50);

/// Answers a caller. While the daemon stops, every answer has `Connection: close`, so
/// that the caller's next request goes to another daemon.
pub(crate) async fn answer(gw: Rc<Gateway>, req: http::Request<Incoming>) -> Response<Body> {
    let in_progress = gw.in_progress.begin(ingress::request_id(req.headers()));
    let mut answer = answer_request(&gw, req).await;
    if gw.stopping.get() {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(header::CONNECTION, close);
    }
    answer.map(|body| match body {
        Body::Full(bytes) => Body::Full(bytes),
        Body::Stream(chunks) => {
            // The request counts as in progress until its last chunk is sent.
            Body::stream(GuardedBody {
                chunks,
                _guard: in_progress,
            })
        }
    })
}

struct GuardedBody<S> {
    chunks: S,
    _guard: InProgressGuard,
}

impl<S: futures::Stream + Unpin> futures::Stream for GuardedBody<S> {
    type Item = S::Item;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<S::Item>> {
        std::pin::Pin::new(&mut self.chunks).poll_next(cx)
    }
}

async fn answer_request(gw: &Rc<Gateway>, req: http::Request<Incoming>) -> Response<Body> {
    if ingress::is_readiness(req.uri().path()) {
        return readiness(gw);
    }
    if gw.refusing.get() {
        return refuse_stopping();
    }
    let Some(configuration) = gw.configuration() else {
        let reason = "no configuration yet";
        return answers::retry_after(StatusCode::SERVICE_UNAVAILABLE, reason, RETRY_UNCONFIGURED);
    };
    if head_bytes(&req) > configuration.limits.head_bytes {
        return answers::status(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
    }
    if let Some(call) = ingress::job_call(&req) {
        let is_open = configuration.has_open_batch_route(ingress::host(&req));
        return match teams::caller_of_jobs(gw, &configuration, is_open, req.headers()) {
            Ok(caller) => jobs::answer(gw, call, &caller).await,
            Err(denial) => denial.answer(),
        };
    }
    let path = req.uri().path();
    let Some(route) = configuration.route(ingress::host(&req), path).cloned() else {
        let id = ingress::request_id(req.headers());
        info!(target: "online", request = id, path, host = ingress::host(&req), version = configuration.version; "no route");
        if gw.cluster_state.borrow().is_from_snapshot() {
            // The route may be newer than the snapshot.
            let reason = "store away";
            return answers::retry_after(
                StatusCode::SERVICE_UNAVAILABLE,
                reason,
                RETRY_UNCONFIGURED,
            );
        }
        return answers::failure(StatusCode::NOT_FOUND, "no route");
    };
    let credential = match teams::identify(gw, &configuration, route.anonymous, req.headers()) {
        Ok(credential) => credential,
        Err(denial) => return denial.answer(),
    };
    let received = Instant::now();
    let caller_timeout = ingress::caller_timeout(req.headers()).unwrap_or(route.timeout);
    let deadline = received + caller_timeout.min(route.timeout);
    let (head, body) = req.into_parts();
    let body = match read_request_body(&configuration, body, deadline).await {
        Ok(body) => body,
        Err(answer) => return answer,
    };
    if gw.refusing.get() {
        // The daemon began to refuse requests while this body was being received. A
        // request sent to a worker now would be cut off by the end of the process.
        return refuse_stopping();
    }
    if route.kind == RouteKind::Batch && head.method == Method::POST {
        let deadline = received + caller_timeout;
        let submission = jobs::Submission {
            id: JobId::from(ingress::request_id(&head.headers)),
            team: credential.map(|c| c.team.name.clone()),
            body,
            received,
            deadline,
        };
        return jobs::submit(gw, &route, submission).await;
    }
    let mut request = request(&route, &head, body, received, deadline);
    if configuration.teams.is_some() {
        let team = credential.as_ref().map(|c| &*c.team.name);
        ingress::set_team(&mut request.out.headers, team);
    }
    request.credential = credential;
    if let Err(answer) = teams::admit(gw, &request) {
        return answer;
    }
    online::answer(gw.clone(), request).await
}

/// The answer to a request that has not run because this daemon is stopping.
fn refuse_stopping() -> Response<Body> {
    answers::retry_after(StatusCode::SERVICE_UNAVAILABLE, "stopping", RETRY_ELSEWHERE)
}

/// Size of a request's head in bytes, without the separators that the protocol adds.
fn head_bytes<B>(req: &http::Request<B>) -> usize {
    let headers = req.headers().iter();
    let fields: usize = headers.map(|(n, v)| n.as_str().len() + v.len()).sum();
    fields + req.uri().path().len() + req.uri().query().map_or(0, str::len)
}

async fn read_request_body(
    configuration: &Configuration,
    body: Incoming,
    deadline: Instant,
) -> Result<Bytes, Response<Body>> {
    let left = deadline.saturating_duration_since(Instant::now());
    match read_body(body, configuration.limits.body_bytes, left).await {
        Ok(Some(body)) => Ok(body),
        Ok(None) => Err(answers::status(StatusCode::PAYLOAD_TOO_LARGE)),
        // The body did not arrive, so nothing was sent to a worker.
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
        credential: None,
        out: Outgoing::of_caller(head, body),
        deadline,
        received,
        tried: Vec::new(),
        runs: 0,
        fingerprint: OnceCell::new(),
        trial: None,
    }
}

/// Answers the balancer's readiness probe.
pub(crate) fn readiness(gw: &Gateway) -> Response<Body> {
    answers::status(if gw.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    })
}
