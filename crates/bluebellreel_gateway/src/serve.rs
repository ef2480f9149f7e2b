//! Distinguishes the kinds of callers' requests and passes each to its handler.

use crate::confirmation::confirm_for_rejection;
use crate::gateway::Gateway;
use crate::in_progress::InProgressGuard;
use crate::online;
use crate::quarantine_gate::Permit;
use crate::request::{Binding, Request};
use crate::teams::{Credential, Denial, Need};
use crate::{answers, jobs, teams};
use bluebellreel_dispatch::{Configuration, Route, RouteKind};
use bluebellreel_net::{Body, ReadError, RequestBody, read_body};
use bluebellreel_platform::engine::Outgoing;
use bluebellreel_platform::ingress::{self, JobCall};
use bluebellreel_teams::Caller;
use bluebellreel_types::JobId;
use bytes::Bytes;
use http::{HeaderValue, Method, Response, StatusCode, header};
use log::{info, warn};
use std::cell::OnceCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// `Retry-After` of answers from a daemon without a configuration, or with one that may not
/// be the newest.
const RETRY_UNCONFIGURED: Duration = Duration::from_millis(500);
/// Reason of answers from a daemon whose configuration may not be the newest.
const UNCONFIRMED: &str = "configuration not confirmed";

/// `Retry-After` of refusals by a stopping daemon; the retry goes to another daemon.
const RETRY_ELSEWHERE: Duration = Duration::from_millis(50);

/// Answers a caller. While the daemon stops, every answer has `Connection: close`, so
/// that the caller's next request goes to another daemon.
pub(crate) async fn answer(gw: Rc<Gateway>, req: http::Request<RequestBody>) -> Response<Body> {
    let in_progress = gw.in_progress.begin(ingress::request_id(req.headers()));
    let mut answer = answer_before_end(&gw, req).await;
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

/// Answers a caller, with a failure if a stop leaves no time for the answer.
async fn answer_before_end(gw: &Rc<Gateway>, req: http::Request<RequestBody>) -> Response<Body> {
    let answers_due = gw.answers_due.notified();
    let id = ingress::request_id(req.headers()).to_owned();
    let is_read = matches!(
        ingress::job_call(&req),
        Some(JobCall::Read { .. } | JobCall::ItemBody { .. })
    );
    tokio::select! {
        biased;
        answer = answer_request(gw, req) => answer,
        () = answers_due => {
            warn!(target: "gateway", request = id; "not answered before the stop");
            let mut answer = if is_read {
                refuse_stopping()
            } else {
                // A worker may have run the request.
                answers::failure(StatusCode::BAD_GATEWAY, "stopping")
            };
            ingress::set_request_id(answer.headers_mut(), &id);
            answer
        }
    }
}

async fn answer_request(gw: &Rc<Gateway>, req: http::Request<RequestBody>) -> Response<Body> {
    if ingress::is_readiness(req.uri().path()) {
        return readiness(gw);
    }
    if gw.refusing.get() {
        return refuse_stopping();
    }
    let received = Instant::now();
    match admit(gw, &req).await {
        Err(rejection) => reject(gw, rejection, &req),
        Ok(Admitted::JobCall(call, caller)) => answer_job_call(gw, &req, call, caller).await,
        Ok(Admitted::Request(routed)) => answer_routed(gw, req, routed, received).await,
    }
}

/// What a request is, by the configuration.
enum Admitted {
    /// A call about a job that was submitted before.
    JobCall(JobCall, Caller),
    /// A request on a route.
    Request(Routed),
}

/// The route of a request and the caller's identity, by one configuration.
struct Routed {
    configuration: Rc<Configuration>,
    route: Arc<Route>,
    credential: Option<Credential>,
}

/// Why a request is not handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rejection {
    /// This daemon has no configuration.
    Unconfigured,
    /// A newer configuration may allow the request.
    Unconfirmed,
    /// The request's key opens nothing, or is not confirmed.
    Denied(Denial),
    HeadTooLarge,
    NoRoute,
}

impl Rejection {
    /// Whether the caller is not to try again.
    fn is_final(self) -> bool {
        matches!(
            self,
            Self::Denied(Denial::UnknownKey) | Self::HeadTooLarge | Self::NoRoute
        )
    }
}

/// Checks a request against the configuration. Before a request is rejected for good, the
/// configuration is confirmed to be the newest one.
async fn admit(gw: &Rc<Gateway>, req: &http::Request<RequestBody>) -> Result<Admitted, Rejection> {
    match check(gw, req) {
        Err(rejection) if rejection.is_final() => {
            if confirm_for_rejection(gw).await.is_err() {
                return Err(Rejection::Unconfirmed);
            }
            check(gw, req)
        }
        checked => checked,
    }
}

/// Checks a request against the configuration as held.
fn check(gw: &Gateway, req: &http::Request<RequestBody>) -> Result<Admitted, Rejection> {
    let configuration = gw.configuration().ok_or(Rejection::Unconfigured)?;
    if head_bytes(req) > configuration.limits.head_bytes {
        return Err(Rejection::HeadTooLarge);
    }
    let headers = req.headers();
    if let Some(call) = ingress::job_call(req) {
        let need = if configuration.has_open_batch_route(ingress::host(req)) {
            Need::Identity
        } else {
            Need::Key
        };
        let caller = teams::caller_of_jobs(gw, &configuration, need, headers);
        let caller = caller.map_err(Rejection::Denied)?;
        return Ok(Admitted::JobCall(call, caller));
    }
    let route = configuration.route(ingress::host(req), req.uri().path());
    let route = route.cloned().ok_or(Rejection::NoRoute)?;
    let need = match (route.anonymous, route.kind) {
        (false, _) => Need::Key,
        (true, RouteKind::Batch) => Need::Identity,
        (true, _) => Need::Nothing,
    };
    let credential = teams::identify(gw, &configuration, need, headers);
    let credential = credential.map_err(Rejection::Denied)?;
    Ok(Admitted::Request(Routed {
        configuration,
        route,
        credential,
    }))
}

fn reject<B>(gw: &Gateway, rejection: Rejection, req: &http::Request<B>) -> Response<Body> {
    match rejection {
        Rejection::Unconfigured => retry_later("no configuration yet"),
        Rejection::Unconfirmed => retry_later(UNCONFIRMED),
        Rejection::Denied(denial) => {
            teams::note_denial(gw, denial, req.headers());
            denial.answer()
        }
        Rejection::HeadTooLarge => answers::status(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE),
        Rejection::NoRoute => {
            let id = ingress::request_id(req.headers());
            let version = gw.configuration().map_or(0, |c| c.version);
            let confirmed_ms = gw.confirmation_age().map(|age| age.as_millis());
            info!(target: "online", request = id, path = req.uri().path(), host = ingress::host(req), version, confirmed_ms:? = confirmed_ms; "no route");
            answers::failure(StatusCode::NOT_FOUND, "no route")
        }
    }
}

/// The answer to a request that a newer configuration may allow. It has not run.
fn retry_later(reason: &str) -> Response<Body> {
    let code = StatusCode::SERVICE_UNAVAILABLE;
    answers::retry_after(code, reason, RETRY_UNCONFIGURED)
}

/// Answers a call about a job. That there is no such job may depend on the team that the
/// configuration names for the caller's key.
async fn answer_job_call(
    gw: &Rc<Gateway>,
    req: &http::Request<RequestBody>,
    call: JobCall,
    caller: Caller,
) -> Response<Body> {
    let answer = jobs::answer(gw, call.clone(), &caller).await;
    if answer.status() != StatusCode::NOT_FOUND || caller == Caller::Unrestricted {
        return answer;
    }
    if confirm_for_rejection(gw).await.is_err() {
        return retry_later(UNCONFIRMED);
    }
    match check(gw, req) {
        Ok(Admitted::JobCall(_, confirmed)) if confirmed != caller => {
            jobs::answer(gw, call, &confirmed).await
        }
        _ => answer,
    }
}

/// Answers a request on a route.
async fn answer_routed(
    gw: &Rc<Gateway>,
    req: http::Request<RequestBody>,
    routed: Routed,
    received: Instant,
) -> Response<Body> {
    let Routed {
        configuration,
        route,
        credential,
    } = routed;
    let caller_timeout = ingress::caller_timeout(req.headers()).unwrap_or(route.timeout);
    let deadline = received + caller_timeout.min(route.timeout);
    let (head, body) = req.into_parts();
    let is_submission = route.kind == RouteKind::Batch && head.method == Method::POST;
    // A submission may be of a job that is being written: only its handler can tell
    // whether it has not run.
    let is_refused = || gw.refusing.get() || (!is_submission && gw.refuses(deadline));
    gw.refused_by_limit.set(is_refused());
    if is_refused() {
        return refuse_stopping();
    }
    let body = match read_request_body(gw, &configuration, body, deadline).await {
        Ok(body) => body,
        // The rest of the body is not read.
        Err(Unread::NoRoom) if is_submission => {
            let id = JobId::from(ingress::request_id(&head.headers));
            return closing(jobs::no_room(gw, &id).await);
        }
        Err(Unread::NoRoom) => return closing(answers::no_room()),
        Err(Unread::Other(answer)) => return closing(answer),
    };
    if is_refused() {
        // The stop began while this body was being received.
        return refuse_stopping();
    }
    if is_submission {
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
    if let Err(answer) = teams::admit(gw, &mut request).await {
        return answer;
    }
    online::answer(gw.clone(), request).await
}

/// The answer to a request that has not run because this daemon is stopping.
pub(crate) fn refuse_stopping() -> Response<Body> {
    answers::retry_after(StatusCode::SERVICE_UNAVAILABLE, "stopping", RETRY_ELSEWHERE)
}

/// Size of a request's head in bytes, without the separators that the protocol adds.
fn head_bytes<B>(req: &http::Request<B>) -> usize {
    let headers = req.headers().iter();
    let fields: usize = headers.map(|(n, v)| n.as_str().len() + v.len()).sum();
    fields + req.uri().path().len() + req.uri().query().map_or(0, str::len)
}

/// Why a request's body was not read.
enum Unread {
    /// There is no room for it.
    NoRoom,
    /// Something else, which the answer tells.
    Other(Response<Body>),
}

/// An answer after which the connection closes.
fn closing(mut answer: Response<Body>) -> Response<Body> {
    let close = HeaderValue::from_static("close");
    answer.headers_mut().insert(header::CONNECTION, close);
    answer
}

async fn read_request_body(
    gw: &Rc<Gateway>,
    configuration: &Configuration,
    body: RequestBody,
    deadline: Instant,
) -> Result<Bytes, Unread> {
    let left = deadline.saturating_duration_since(Instant::now());
    let max_bytes = configuration.limits.body_bytes;
    match read_body(body, max_bytes, left).await {
        Ok(Some(body)) => Ok(body),
        Ok(None) => {
            let is_confirmed = confirm_for_rejection(gw).await.is_ok();
            let newest = gw.configuration().map_or(0, |c| c.limits.body_bytes);
            // The part that was read is lost, so a caller under a higher limit has to send
            // the request again.
            Err(Unread::Other(if is_confirmed && newest <= max_bytes {
                answers::status(StatusCode::PAYLOAD_TOO_LARGE)
            } else {
                retry_later(UNCONFIRMED)
            }))
        }
        Err(ReadError::NoRoom) => Err(Unread::NoRoom),
        // The body did not arrive, so nothing was sent to a worker.
        Err(ReadError::Broken) => Err(Unread::Other(answers::status(StatusCode::REQUEST_TIMEOUT))),
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
        binding: Binding::Free,
        deadline,
        received,
        tried: Vec::new(),
        runs: 0,
        fingerprint: OnceCell::new(),
        parts: OnceCell::new(),
        required_version: None,
        permit: Permit::default(),
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
