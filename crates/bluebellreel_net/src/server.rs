//! HTTP server on a single-threaded event loop.

use crate::connection::{
    Awaiting, ConnectionIo, ConnectionState, GuardedBody, KERNEL_BUFFER_BYTES,
};
use crate::{Body, Intake, NoRoom, Refused, RequestBody};
use http::header::{CONNECTION, HeaderValue};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::{HttpService, service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use log::warn;
use std::cell::Cell;
use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep};

/// Length of the accept queue. When it is full, the kernel drops the first packet
/// of a connection and the caller repeats it after a second.
const BACKLOG: u32 = 1024;
/// Pause after a failed accept, for example when no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Minimum size of the HTTP library's buffers, in bytes. Answers wait there in blocks.
const MIN_BUFFER_BYTES: usize = 64 * 1024;
/// How long written bytes may stay unacknowledged before the connection counts as
/// broken. A machine without power never acknowledges; with the kernel's default its
/// connection would stay open for minutes.
const DEAD_PEER_TIMEOUT: Duration = Duration::from_secs(10);
/// How long after its accept a connection of a stopping server may stay without a
/// request. Callers allow one second for a new connection.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// The I/O type that the HTTP library drives.
type Io = TokioIo<ConnectionIo>;

/// Progress of a server's shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    /// Normal operation.
    Serving,
    /// Connections close after their current response.
    Closing,
    /// The listener is closed as well.
    Finishing,
}

/// Stops a server in two stages.
#[derive(Clone, Debug)]
pub struct Stop(watch::Sender<Stage>);

impl Default for Stop {
    fn default() -> Self {
        Self(watch::Sender::new(Stage::Serving))
    }
}

impl Stop {
    /// Closes idle connections at once and the others after their current response,
    /// which carries `Connection: close`. A connection accepted later serves one
    /// request.
    pub fn close(&self) {
        self.advance_to(Stage::Closing);
    }

    /// Does the same as [`Stop::close`] and closes the listener. Connections in the
    /// accept queue are still served; [`ConnectionTracker::wait_closed`] waits for
    /// the end of all.
    pub fn finish(&self) {
        self.advance_to(Stage::Finishing);
    }

    fn advance_to(&self, stage: Stage) {
        self.0.send_modify(|now| *now = stage.max(*now));
    }

    fn is_closing(&self) -> bool {
        *self.0.borrow() >= Stage::Closing
    }

    /// Waits until the shutdown has reached a stage.
    async fn reached(&self, stage: Stage) {
        // Cannot fail: `self` owns the sender.
        let _ = self.0.subscribe().wait_for(|now| *now >= stage).await;
    }
}

#[derive(Debug, Default)]
struct ConnectionCounts {
    listeners: Cell<usize>,
    open: Cell<usize>,
    changed: Notify,
}

/// Counts a server's open listeners and connections.
#[derive(Clone, Debug, Default)]
pub struct ConnectionTracker(Rc<ConnectionCounts>);

impl ConnectionTracker {
    /// Number of open connections.
    #[must_use]
    pub fn open(&self) -> usize {
        self.0.open.get()
    }

    /// Whether the listener and all connections are closed, so that the process may
    /// exit.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.0.listeners.get() == 0 && self.open() == 0
    }

    /// Waits until the listener and all connections are closed. The listener closes
    /// only after [`Stop::finish`].
    pub async fn wait_closed(&self) {
        loop {
            let changed = self.0.changed.notified();
            if self.is_closed() {
                return;
            }
            changed.await;
        }
    }

    fn listen(&self) -> CountGuard {
        CountGuard::new(&self.0, |counts| &counts.listeners)
    }

    fn accept(&self) -> CountGuard {
        CountGuard::new(&self.0, |counts| &counts.open)
    }
}

/// Decrements its counter when dropped.
struct CountGuard {
    counts: Rc<ConnectionCounts>,
    of: fn(&ConnectionCounts) -> &Cell<usize>,
}

impl CountGuard {
    fn new(counts: &Rc<ConnectionCounts>, of: fn(&ConnectionCounts) -> &Cell<usize>) -> Self {
        let count = of(counts);
        count.set(count.get() + 1);
        Self {
            counts: counts.clone(),
            of,
        }
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        let count = (self.of)(&self.counts);
        count.set(count.get().saturating_sub(1));
        self.counts.changed.notify_waiters();
    }
}

/// Listens on an address, even if a previous process has only just released it.
///
/// # Errors
///
/// Returns the system's error if the address cannot be bound.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    // Connections inherit these sizes. Without them the kernel's buffers grow with what callers
    // send or do not read.
    let size = u32::try_from(KERNEL_BUFFER_BYTES).unwrap_or(u32::MAX);
    socket.set_recv_buffer_size(size)?;
    socket.set_send_buffer_size(size)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Serves connections with the handler `answer` until [`Stop::finish`] is called, within
/// `intake`.
pub async fn serve<F, A>(
    listener: TcpListener,
    stop: Stop,
    served: ConnectionTracker,
    intake: Intake,
    answer: F,
) where
    F: Fn(hyper::Request<RequestBody>) -> A + 'static,
    A: Future<Output = hyper::Response<Body>> + 'static,
{
    let listening = served.listen();
    let answer = Rc::new(answer);
    let intake = Rc::new(intake);
    let begin = |stream| {
        // Without room for the connection it is closed unread, and its caller may try another
        // server.
        let Ok(state) = ConnectionState::new(stream, &intake) else {
            return;
        };
        let count = served.accept();
        let connection = serve_one(state, stop.clone(), answer.clone());
        tokio::task::spawn_local(async move {
            connection.await;
            drop(count);
        });
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.reached(Stage::Finishing) => break,
        };
        match accepted {
            Ok((stream, _)) if (intake.admits)() => begin(stream),
            Ok(_) => {}
            Err(e) => {
                warn!(target: "http", error:% = e; "accept failed");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    match accept_pending(listener) {
        Ok(streams) => streams.into_iter().for_each(begin),
        Err(e) => warn!(target: "http", error:% = e; "accept failed"),
    }
    drop(listening);
}

/// Closes a listener and returns the connections in its accept queue. Their callers
/// are connected and may have sent a request, which closing the listener would
/// reset.
fn accept_pending(listener: TcpListener) -> io::Result<Vec<TcpStream>> {
    // The runtime only reports connections that had arrived when it last polled
    // the listener.
    let listener = listener.into_std()?;
    let mut streams = Vec::new();
    while let Ok((stream, _)) = listener.accept() {
        stream.set_nonblocking(true)?;
        streams.push(TcpStream::from_std(stream)?);
    }
    Ok(streams)
}

/// Serves one connection until it closes.
async fn serve_one<F, A>(state: Rc<ConnectionState>, stop: Stop, answer: Rc<F>)
where
    F: Fn(hyper::Request<RequestBody>) -> A + 'static,
    A: Future<Output = hyper::Response<Body>> + 'static,
{
    tokio::select! {
        () = serve_requests(state.clone(), stop, answer) => {}
        () = state.closed_for_others() => return,
    }
    state.refuse_head().await;
}

/// Serves the requests on a connection.
async fn serve_requests<F, A>(state: Rc<ConnectionState>, stop: Stop, answer: Rc<F>)
where
    F: Fn(hyper::Request<RequestBody>) -> A + 'static,
    A: Future<Output = hyper::Response<Body>> + 'static,
{
    loop {
        let (state_of_requests, stop_of_requests) = (state.clone(), stop.clone());
        let answer = answer.clone();
        let service = service_fn(move |req| {
            let (request, room) = state_of_requests.take(&req);
            let (state, stop_of_requests, answer) = (
                state_of_requests.clone(),
                stop_of_requests.clone(),
                answer.clone(),
            );
            async move {
                let req = req.map(|incoming| request.body(incoming));
                let mut answer = match room {
                    Ok(()) => answer(req).await,
                    Err(NoRoom) => state.no_room(Refused::NoRoom),
                };
                if let Body::Full(Some(bytes)) = answer.body()
                    && state.hold_answer(bytes.len()).is_err()
                {
                    answer = state.no_room(Refused::Answer);
                }
                announce_close(&state, &stop_of_requests, &mut answer);
                Ok::<_, Infallible>(answer.map(|body| GuardedBody::new(body, request)))
            }
        });
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(None)
            .max_buf_size(state.max_head_bytes().max(MIN_BUFFER_BYTES));
        if let Some(fields) = state.max_fields() {
            builder.max_headers(fields);
        }
        let io = TokioIo::new(ConnectionIo::new(state.clone()));
        let mut connection = pin!(builder.serve_connection(io, service));
        tokio::select! {
            // Not an error of the server: its effect on a request is logged with the
            // request.
            _ = connection.as_mut() => {}
            () = stop.reached(Stage::Closing) => close_when_idle(connection, &state).await,
        }
        if !state.begins_anew() {
            return;
        }
    }
}

/// Serves a connection of a stopping server until no part of a further request has
/// arrived on it, then closes it. If shut down earlier, the HTTP library
/// drops requests that are unread or half read, and closes a new connection before
/// its first request has arrived.
async fn close_when_idle<S>(
    mut connection: Pin<&mut http1::Connection<Io, S>>,
    state: &ConnectionState,
) where
    S: HttpService<Incoming, ResBody = GuardedBody, Error = Infallible>,
{
    let mut due = pin!(sleep(Duration::ZERO));
    let mut head_due = None;
    let mut shutdown_requested = false;
    poll_fn(|cx| {
        loop {
            if connection.as_mut().poll(cx).is_ready() {
                return Poll::Ready(());
            }
            if shutdown_requested || state.is_busy_or_closing() {
                head_due = None;
                return Poll::Pending;
            }
            let now = Instant::now();
            let awaiting = state.awaiting();
            let until = match awaiting {
                Awaiting::FirstRequest => state.accepted_at + FIRST_REQUEST_TIMEOUT,
                // A head that has begun ends the connection by itself when its time is over.
                Awaiting::RestOfRequest => *head_due.get_or_insert(now + state.head_time()),
                Awaiting::Nothing => now,
            };
            if until > now {
                due.as_mut().reset(until);
                if due.as_mut().poll(cx).is_pending() {
                    return Poll::Pending;
                }
            }
            if awaiting == Awaiting::RestOfRequest {
                return Poll::Ready(());
            }
            shutdown_requested = true;
            connection.as_mut().graceful_shutdown();
        }
    })
    .await;
}

/// Adds `Connection: close` to a response if the server is stopping, and records a
/// response that carries it.
fn announce_close(state: &ConnectionState, stop: &Stop, answer: &mut hyper::Response<Body>) {
    if stop.is_closing() {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(CONNECTION, close);
    }
    if answer
        .headers()
        .get(CONNECTION)
        .is_some_and(|v| v == "close")
    {
        state.announce_close();
    }
}

/// Disables Nagle's algorithm and sets the timeout for unacknowledged data.
pub(crate) fn set_socket_options(stream: &TcpStream) {
    if let Err(e) = stream.set_nodelay(true) {
        warn!(target: "http", error:% = e; "cannot set TCP_NODELAY");
    }
    let socket = socket2::SockRef::from(stream);
    if let Err(e) = socket.set_tcp_user_timeout(Some(DEAD_PEER_TIMEOUT)) {
        warn!(target: "http", error:% = e; "cannot set TCP_USER_TIMEOUT");
    }
}
