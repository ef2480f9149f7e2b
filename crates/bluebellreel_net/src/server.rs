//! Serving HTTP on the loop.

use crate::Body;
use crate::line::{Bytewise, Guarded, Line, Wait};
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

/// Connections that wait to be accepted. When the queue is full, the kernel
/// drops the first packet and the caller repeats it after a second.
const BACKLOG: u32 = 1024;
/// How long accepting rests after it failed, as it does without descriptors.
const ACCEPT_REST: Duration = Duration::from_millis(20);
/// Longest that written bytes may stay unacknowledged. A peer without power
/// never answers; the kernel alone would hold its connection for minutes.
const DEAD_PEER: Duration = Duration::from_secs(10);
/// How long after its accept a connection of a stopping server may stay without a
/// request: callers give a new connection a second.
const FIRST_REQUEST: Duration = Duration::from_secs(1);
/// Longest wait of a stopping server for the rest of a request's head. Callers
/// usually may take three seconds.
const REST: Duration = Duration::from_secs(3);

/// A connection as the HTTP library takes it.
type Io = TokioIo<Bytewise>;

/// How far a server's stop is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    /// It does not stop.
    Serving,
    /// Connections end after their answer.
    Closing,
    /// No new ones are taken.
    Finishing,
}

/// Asks a server to stop, in two stages.
#[derive(Clone, Debug)]
pub struct Stop(watch::Sender<Stage>);

impl Default for Stop {
    fn default() -> Self {
        Self(watch::Sender::new(Stage::Serving))
    }
}

impl Stop {
    /// Closes idle connections now and the others after their answer, which says
    /// that it is the last one. A connection that comes later is served one
    /// request.
    pub fn close(&self) {
        self.raise(Stage::Closing);
    }

    /// Closes, and listens no longer. Connections that wait to be accepted are
    /// still served; [`ConnectionTracker::wait_closed`] tells when all is done.
    pub fn finish(&self) {
        self.raise(Stage::Finishing);
    }

    fn raise(&self, stage: Stage) {
        self.0.send_modify(|now| *now = stage.max(*now));
    }

    fn is_closing(&self) -> bool {
        *self.0.borrow() >= Stage::Closing
    }

    /// Ends once the stop has come to a stage.
    async fn reached(&self, stage: Stage) {
        // The sender lives as long as `self`.
        let _ = self.0.subscribe().wait_for(|now| *now >= stage).await;
    }
}

#[derive(Debug, Default)]
struct Counts {
    listeners: Cell<usize>,
    open: Cell<usize>,
    changed: Notify,
}

/// What a server holds: its listener and its connections.
#[derive(Clone, Debug, Default)]
pub struct ConnectionTracker(Rc<Counts>);

impl ConnectionTracker {
    /// Connections that are open now.
    #[must_use]
    pub fn open(&self) -> usize {
        self.0.open.get()
    }

    /// Whether nothing is open and nothing can come: the process may end.
    #[must_use]
    pub fn is_over(&self) -> bool {
        self.0.listeners.get() == 0 && self.open() == 0
    }

    /// Waits until that is so, which needs [`Stop::finish`].
    pub async fn wait_closed(&self) {
        loop {
            let changed = self.0.changed.notified();
            if self.is_over() {
                return;
            }
            changed.await;
        }
    }

    fn listen(&self) -> Counted {
        Counted::new(&self.0, |counts| &counts.listeners)
    }

    fn accept(&self) -> Counted {
        Counted::new(&self.0, |counts| &counts.open)
    }
}

/// Something that is counted while it lasts.
struct Counted {
    counts: Rc<Counts>,
    of: fn(&Counts) -> &Cell<usize>,
}

impl Counted {
    fn new(counts: &Rc<Counts>, of: fn(&Counts) -> &Cell<usize>) -> Self {
        let count = of(counts);
        count.set(count.get() + 1);
        Self {
            counts: counts.clone(),
            of,
        }
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        let count = (self.of)(&self.counts);
        count.set(count.get().saturating_sub(1));
        self.counts.changed.notify_waiters();
    }
}

/// Listens on an address, also when an earlier process has just left it.
///
/// # Errors
///
/// Gives the system's error when the address cannot be used.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Serves each connection by `answer` until the server is asked to finish. `idle`
/// gives how long a new connection may stay without a request.
pub async fn serve<F, A>(
    listener: TcpListener,
    stop: Stop,
    served: ConnectionTracker,
    idle: impl Fn() -> Duration,
    answer: F,
) where
    F: Fn(hyper::Request<Incoming>) -> A + 'static,
    A: Future<Output = hyper::Response<Body>> + 'static,
{
    let listening = served.listen();
    let answer = Rc::new(answer);
    let begin = |stream| {
        let count = served.accept();
        let connection = serve_one(stream, stop.clone(), idle(), answer.clone());
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
            Ok((stream, _)) => begin(stream),
            Err(e) => {
                warn!(target: "http", error:% = e; "no connection accepted");
                sleep(ACCEPT_REST).await;
            }
        }
    }
    match waiting(listener) {
        Ok(streams) => streams.into_iter().for_each(begin),
        Err(e) => warn!(target: "http", error:% = e; "no connection accepted"),
    }
    drop(listening);
}

/// Closes a listener; gives the connections that waited to be accepted. Their
/// callers have connected and may have sent a request: the end of the listener
/// would reset them.
fn waiting(listener: TcpListener) -> io::Result<Vec<TcpStream>> {
    // The runtime knows only of those that came before its last look.
    let listener = listener.into_std()?;
    let mut streams = Vec::new();
    while let Ok((stream, _)) = listener.accept() {
        stream.set_nonblocking(true)?;
        streams.push(TcpStream::from_std(stream)?);
    }
    Ok(streams)
}

/// Serves one connection until it ends.
async fn serve_one<F, A>(stream: TcpStream, stop: Stop, idle: Duration, answer: Rc<F>)
where
    F: Fn(hyper::Request<Incoming>) -> A + 'static,
    A: Future<Output = hyper::Response<Body>> + 'static,
{
    prepare(&stream);
    let line = Line::new(stream);
    let (of_requests, asked) = (line.clone(), stop.clone());
    let service = service_fn(move |req| {
        let until_out = of_requests.take();
        let (line, asked, answer) = (of_requests.clone(), asked.clone(), answer.clone());
        async move {
            let mut answer = answer(req).await;
            say_last(&line, &asked, &mut answer);
            Ok::<_, Infallible>(answer.map(|body| Guarded::new(body, until_out)))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .serve_connection(TokioIo::new(Bytewise::new(line.clone())), service);
    let mut connection = pin!(connection);
    tokio::select! {
        // How a caller's connection ends is the caller's affair: what it meant
        // for a request is logged where the request is.
        _ = connection.as_mut() => return,
        () = stop.reached(Stage::Closing) => {}
    }
    end(connection, &line).await;
}

/// Serves a connection of a stopping server until nothing of a request has come
/// on it. Asked for its end before, the HTTP library drops requests that are not
/// read yet, or half read, and closes new connections under their first one.
async fn end<S>(mut connection: Pin<&mut http1::Connection<Io, S>>, line: &Line)
where
    S: HttpService<Incoming, ResBody = Guarded, Error = Infallible>,
{
    let mut due = pin!(sleep(Duration::ZERO));
    let mut rest_due = None;
    let mut is_asked = false;
    poll_fn(|cx| {
        loop {
            if connection.as_mut().poll(cx).is_ready() {
                return Poll::Ready(());
            }
            if is_asked || line.is_looked_after() {
                rest_due = None;
                return Poll::Pending;
            }
            let now = Instant::now();
            let wait = line.wait();
            let until = match wait {
                Wait::First => line.accepted_at + FIRST_REQUEST,
                Wait::Rest => *rest_due.get_or_insert(now + REST),
                Wait::Nothing => now,
            };
            if until > now {
                due.as_mut().reset(until);
                if due.as_mut().poll(cx).is_pending() {
                    return Poll::Pending;
                }
            }
            if wait == Wait::Rest {
                return Poll::Ready(());
            }
            is_asked = true;
            connection.as_mut().graceful_shutdown();
        }
    })
    .await;
}

/// Has an answer say that it is the last one if the server stops, and notes it.
fn say_last(line: &Line, stop: &Stop, answer: &mut hyper::Response<Body>) {
    if stop.is_closing() {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(CONNECTION, close);
    }
    if answer
        .headers()
        .get(CONNECTION)
        .is_some_and(|v| v == "close")
    {
        line.say_last();
    }
}

/// Sends small writes at once, and notices a peer that is gone.
pub(crate) fn prepare(stream: &TcpStream) {
    if let Err(e) = stream.set_nodelay(true) {
        warn!(target: "http", error:% = e; "no-delay not set");
    }
    let socket = socket2::SockRef::from(stream);
    if let Err(e) = socket.set_tcp_user_timeout(Some(DEAD_PEER)) {
        warn!(target: "http", error:% = e; "user timeout not set");
    }
}
