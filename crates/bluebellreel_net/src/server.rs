//! Serving HTTP on the loop.

use crate::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use log::warn;
use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

/// Connections that wait to be accepted. When the queue is full, the kernel
/// drops the first packet and the caller repeats it after a second.
const BACKLOG: u32 = 1024;
/// How long accepting rests after it failed, as it does without descriptors.
const ACCEPT_REST: Duration = Duration::from_millis(20);
/// Longest that written bytes may stay unacknowledged. A peer without power
/// never answers; the kernel alone would hold its connection for minutes.
const DEAD_PEER: Duration = Duration::from_secs(10);

/// Asks all connections of a server to end.
#[derive(Clone, Debug)]
pub struct Stop(watch::Sender<bool>);

impl Default for Stop {
    fn default() -> Self {
        Self(watch::Sender::new(false))
    }
}

impl Stop {
    /// Closes idle connections now and the others after their answer.
    pub fn close(&self) {
        self.0.send_replace(true);
    }
}

/// How many connections are open.
#[derive(Clone, Debug, Default)]
pub struct Served(Rc<Cell<usize>>);

impl Served {
    /// Connections that are open now.
    #[must_use]
    pub fn open(&self) -> usize {
        self.0.get()
    }
}

struct Counted(Rc<Cell<usize>>);

impl Counted {
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(count.clone())
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// Listens on an address, also when an earlier process has just left it.
///
/// # Errors
///
/// Gives the system's error when the address cannot be used.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Serves each connection by `answer` until the process ends. `idle` gives how
/// long a new connection may stay without a request.
pub async fn serve<F, A>(
    listener: TcpListener,
    stop: Stop,
    served: Served,
    idle: impl Fn() -> Duration,
    answer: F,
) where
    F: Fn(hyper::Request<Incoming>) -> A + 'static,
    A: Future<Output = hyper::Response<Body>> + 'static,
{
    let answer = Rc::new(answer);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let count = Counted::new(&served.0);
                let connection = serve_one(stream, stop.clone(), idle(), answer.clone());
                tokio::task::spawn_local(async move {
                    connection.await;
                    drop(count);
                });
            }
            Err(e) => {
                warn!(target: "http", error:% = e; "no connection accepted");
                tokio::time::sleep(ACCEPT_REST).await;
            }
        }
    }
}

async fn serve_one<F, A>(stream: TcpStream, stop: Stop, idle: Duration, answer: Rc<F>)
where
    F: Fn(hyper::Request<Incoming>) -> A + 'static,
    A: Future<Output = hyper::Response<Body>> + 'static,
{
    prepare(&stream);
    let service = service_fn(move |req| {
        let answer = answer.clone();
        async move { Ok::<_, Infallible>(answer(req).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let mut stopping = stop.0.subscribe();
    // A connection that comes after the stop is here for one request, which
    // would be lost if the connection were closed before it is read.
    if *stopping.borrow() {
        let _ = connection.as_mut().await;
        return;
    }
    tokio::select! {
        // How a caller's connection ends is the caller's affair: what it meant
        // for a request is logged where the request is.
        _ = connection.as_mut() => {}
        asked = stopping.wait_for(|s| *s) => {
            drop(asked);
            connection.as_mut().graceful_shutdown();
            let _ = connection.as_mut().await;
        }
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
