//! Accepts and dispatches requests, and stops in phases.

use crate::request::InProgressGuard;
use crate::response::response_of;
use crate::{ApiError, Request};
use bluebellreel_net::{
    Account, AccountLimits, Body, CallerLimits, ConnectionTracker, Intake, Refused, RequestBody,
    Stop,
};
use bluebellreel_types::Ran;
use bytes::Bytes;
use http::header::{CONNECTION, HeaderValue};
use hyper::Response;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::LocalSet;

/// Maximum total size of a request's headers, in bytes.
const MAX_HEADER_BYTES: usize = 32 << 10;
/// Stack size of a request's thread, in bytes.
const STACK_BYTES: usize = 512 << 10;
/// Maximum time that a connection may stay open without a request.
/// Idle connections occupy no thread, and callers' connection pools keep them for
/// less than a minute.
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);
/// Maximum time from the first byte of a request's head to its end.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Memory of a request's thread in bytes: the used part of its stack.
const THREAD_BYTES: usize = 64 << 10;
const CALLER_LIMITS: CallerLimits = CallerLimits {
    head_bytes: MAX_HEADER_BYTES,
    head_time: HEAD_TIMEOUT,
    idle_time: IDLE_TIMEOUT,
};
/// Retry delay sent to callers that are refused because of overload.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// A running server.
pub struct HttpServer {
    /// The address that the server listens on.
    pub address: SocketAddr,
    stop: Stop,
    state: Arc<State>,
}

#[derive(Default)]
struct State {
    in_progress: Arc<AtomicUsize>,
    draining: AtomicBool,
    closed: AtomicBool,
}

impl HttpServer {
    /// Number of requests in progress. A request is in progress from the end of its
    /// head to the end of its response.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        self.state.in_progress.load(Ordering::SeqCst)
    }

    /// Keeps accepting requests, but closes each connection after its next response,
    /// so that callers connect to other servers.
    pub fn start_draining(&self) {
        self.state.draining.store(true, Ordering::SeqCst);
    }

    /// Stops accepting connections and closes idle ones. Requests that callers have
    /// already sent are read and get a response, as do requests in progress.
    pub fn stop(&self) {
        self.start_draining();
        self.stop.finish();
    }

    /// Whether the server no longer listens and all connections are closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.state.closed.load(Ordering::SeqCst)
    }
}

/// Listens on an address and calls `handle` for each request on a new thread, with
/// at most `threads` of them at the same time. What callers send is within `account`.
///
/// # Errors
///
/// Returns the operating system's error if the address cannot be bound or the
/// event loop's thread cannot be started.
pub fn serve(
    address: SocketAddr,
    threads: usize,
    account: AccountLimits,
    handle: impl Fn(Request) + Send + Sync + 'static,
) -> io::Result<HttpServer> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let listener = {
        let _within = runtime.enter();
        bluebellreel_net::listen(address)?
    };
    let address = listener.local_addr()?;
    let (stop, state) = (Stop::default(), Arc::new(State::default()));
    let (loop_stop, loop_state) = (stop.clone(), state.clone());
    let handle = Arc::new(handle);
    thread::Builder::new()
        .name("http-loop".into())
        .spawn(move || {
            let connections = ConnectionTracker::default();
            let end_state = loop_state.clone();
            let account = Account::new(account);
            let intake = Intake::new(account.clone(), || CALLER_LIMITS).answering(refusal);
            LocalSet::new().block_on(&runtime, async {
                let respond = move |req| {
                    handle_request(
                        loop_state.clone(),
                        threads,
                        handle.clone(),
                        account.clone(),
                        req,
                    )
                };
                bluebellreel_net::serve(listener, loop_stop, connections.clone(), intake, respond)
                    .await;
                connections.wait_closed().await;
            });
            end_state.closed.store(true, Ordering::SeqCst);
        })?;
    Ok(HttpServer {
        address,
        stop,
        state,
    })
}

/// Runs the handler for a request and returns its response. While the server is
/// draining, the response closes the connection.
async fn handle_request<H>(
    state: Arc<State>,
    threads: usize,
    handle: Arc<H>,
    account: Account,
    req: hyper::Request<RequestBody>,
) -> Response<Body>
where
    H: Fn(Request) + Send + Sync + 'static,
{
    let mut response = match check_limits(&state, threads, &req) {
        Some(error) => refuse(&error),
        None => run_handler(&state, handle, &account, req).await,
    };
    if state.draining.load(Ordering::SeqCst) {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

/// Creates an error response that closes the connection, because the request's
/// body is not read.
fn refuse(error: &ApiError) -> Response<Body> {
    let mut response = response_of(&error.clone().into());
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
    response.map(Body::from)
}

/// The answer to what the server does not take.
fn refusal(refused: Refused) -> Response<Bytes> {
    let error = match refused {
        Refused::HeadTooLarge => headers_too_large(),
        Refused::NoRoom => {
            let error = ApiError::new(503, "overloaded", "no memory for the request");
            error.retry_after(RETRY_DELAY)
        }
        Refused::Answer => ApiError::new(502, "overloaded", "no memory for the response"),
    };
    let body = Bytes::from(error.body());
    response_of(&error.into()).map(|_| body)
}

fn headers_too_large() -> ApiError {
    ApiError::new(431, "headers_too_large", "too many headers")
}

fn check_limits(
    state: &State,
    threads: usize,
    req: &hyper::Request<RequestBody>,
) -> Option<ApiError> {
    let headers = req.headers();
    let bytes: usize = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum();
    if bytes > MAX_HEADER_BYTES {
        return Some(headers_too_large());
    }
    if state.in_progress.load(Ordering::SeqCst) >= threads {
        let error = ApiError::new(503, "overloaded", "too many requests in progress");
        return Some(error.retry_after(RETRY_DELAY));
    }
    None
}

async fn run_handler<H>(
    state: &State,
    handle: Arc<H>,
    account: &Account,
    req: hyper::Request<RequestBody>,
) -> Response<Body>
where
    H: Fn(Request) + Send + Sync + 'static,
{
    let (tx, response_rx) = oneshot::channel();
    let Ok(hold) = account.reserve(THREAD_BYTES) else {
        let error = ApiError::new(503, "overloaded", "no memory for the request");
        return refuse(&error.retry_after(RETRY_DELAY));
    };
    let req = Request::new(req, tx, InProgressGuard::begin(&state.in_progress), hold);
    let spawned = thread::Builder::new()
        .name("http-request".into())
        .stack_size(STACK_BYTES)
        .spawn(move || handle(req));
    if let Err(e) = spawned {
        log::error!(target: "http", error:% = e; "Request refused: no thread could be started for it.");
        let error = ApiError::new(503, "overloaded", "no thread for the request");
        return refuse(&error.retry_after(RETRY_DELAY));
    }
    let Ok(response) = response_rx.await else {
        // The handler has panicked: it is unknown whether the request ran.
        let error = ApiError::new(500, "failed", "the request failed").ran(Ran::Unknown);
        return refuse(&error);
    };
    response.map(Body::from)
}
