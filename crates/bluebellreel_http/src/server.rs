//! Accepting requests, and the order of a stop.

use crate::answer::response_of;
use crate::request::InProgress;
use crate::{ApiError, Request};
use bluebellreel_net::{Body, Served, Stop};
use bluebellreel_types::Ran;
use http::header::{CONNECTION, HeaderValue};
use hyper::Response;
use hyper::body::Incoming;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::LocalSet;

/// Bytes of all headers together.
const MOST_HEADER_BYTES: usize = 32 << 10;
/// Stack of a request's thread.
const STACK: usize = 512 << 10;
/// Longest that a connection may stay without a whole head. Idle ones cost no
/// thread; callers' pools keep them for less than a minute.
const IDLE: Duration = Duration::from_secs(75);
/// When a caller may come back that came too early.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// A running server.
pub struct HttpServer {
    /// Where it listens.
    pub address: SocketAddr,
    stop: Stop,
    state: Arc<State>,
}

#[derive(Default)]
struct State {
    in_progress: Arc<AtomicUsize>,
    leaving: AtomicBool,
    gone: AtomicBool,
}

impl HttpServer {
    /// Requests in progress: from the end of their head to that of the answer.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        self.state.in_progress.load(Ordering::SeqCst)
    }

    /// Goes on taking whatever comes, but closes each connection with the next
    /// answer, so that callers go elsewhere.
    pub fn start_draining(&self) {
        self.state.leaving.store(true, Ordering::SeqCst);
    }

    /// Stops accepting and closes idle connections; what has been sent is read,
    /// and requests in progress go on and are answered.
    pub fn stop(&self) {
        self.start_draining();
        self.stop.finish();
    }

    /// Whether nobody can connect any more and all connections are closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.state.gone.load(Ordering::SeqCst)
    }
}

/// Listens at an address and hands each request to `handle` on a thread of its
/// own, at most `threads` at one time.
///
/// # Errors
///
/// Gives the system's error when the address cannot be bound.
pub fn serve(
    address: SocketAddr,
    threads: usize,
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
    let (asked, shared) = (stop.clone(), state.clone());
    let handle = Arc::new(handle);
    thread::Builder::new()
        .name("http-loop".into())
        .spawn(move || {
            let served = Served::default();
            let of_loop = shared.clone();
            LocalSet::new().block_on(&runtime, async {
                let answer = move |req| answer(shared.clone(), threads, handle.clone(), req);
                bluebellreel_net::serve(listener, asked, served.clone(), || IDLE, answer).await;
                served.over().await;
            });
            of_loop.gone.store(true, Ordering::SeqCst);
        })?;
    Ok(HttpServer {
        address,
        stop,
        state,
    })
}

/// Has a request answered by its handler, and ends the connection with it while
/// the server stops.
async fn answer<H>(
    state: Arc<State>,
    threads: usize,
    handle: Arc<H>,
    req: hyper::Request<Incoming>,
) -> Response<Body>
where
    H: Fn(Request) + Send + Sync + 'static,
{
    let mut answer = match refusal(&state, threads, &req) {
        Some(error) => refuse(&error),
        None => handled(&state, handle, req).await,
    };
    if state.leaving.load(Ordering::SeqCst) {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(CONNECTION, close);
    }
    answer
}

/// An answer to a request whose body stays unread.
fn refuse(error: &ApiError) -> Response<Body> {
    let mut answer = response_of(&error.clone().into());
    let close = HeaderValue::from_static("close");
    answer.headers_mut().insert(CONNECTION, close);
    answer.map(Body::from)
}

fn refusal(state: &State, threads: usize, req: &hyper::Request<Incoming>) -> Option<ApiError> {
    let headers = req.headers();
    let bytes: usize = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum();
    if bytes > MOST_HEADER_BYTES {
        let error = ApiError::new(431, "headers_too_large", "too many headers");
        return Some(error);
    }
    if state.in_progress.load(Ordering::SeqCst) >= threads {
        let error = ApiError::new(503, "overloaded", "too many requests in progress");
        return Some(error.retry_after(RETRY_PAUSE));
    }
    None
}

async fn handled<H>(state: &State, handle: Arc<H>, req: hyper::Request<Incoming>) -> Response<Body>
where
    H: Fn(Request) + Send + Sync + 'static,
{
    let (tx, answered) = oneshot::channel();
    let req = Request::new(req, tx, InProgress::begin(&state.in_progress));
    let spawned = thread::Builder::new()
        .name("http-request".into())
        .stack_size(STACK)
        .spawn(move || handle(req));
    if let Err(e) = spawned {
        log::error!(target: "http", error:% = e; "No thread for a request.");
        let error = ApiError::new(503, "overloaded", "no thread for the request");
        return refuse(&error.retry_after(RETRY_PAUSE));
    }
    let Ok(answer) = answered.await else {
        // Its handler has panicked: whether anything ran is not known.
        let error = ApiError::new(500, "failed", "the request failed").ran(Ran::Unknown);
        return refuse(&error);
    };
    answer.map(Body::from)
}
