//! Accepting requests.

use crate::{ApiError, Reply, respond};
use socket2::{Domain, Protocol, SockAddr, Socket, TcpKeepalive, Type};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;
use tiny_http::{Request, Server};

/// Connections that the system holds until they are accepted.
const BACKLOG: i32 = 1_024;
/// Silence after which a caller's machine is probed.
const KEEPALIVE: Duration = Duration::from_secs(20);
/// Bytes of all headers together.
const MOST_HEADER_BYTES: usize = 32 << 10;

/// A running server.
pub struct HttpServer {
    /// Where it listens.
    pub address: SocketAddr,
    server: Arc<Server>,
    in_progress: Arc<AtomicUsize>,
}

impl HttpServer {
    /// Requests in progress.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::SeqCst)
    }

    /// Stops accepting; requests in progress go on.
    pub fn stop(&self) {
        self.server.unblock();
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
    let listener = listen(address)?;
    let address = listener.local_addr()?;
    let server = Server::from_listener(listener, None).map_err(io::Error::other)?;
    let server = Arc::new(server);
    let in_progress = Arc::new(AtomicUsize::new(0));
    let accepting = server.clone();
    let counted = in_progress.clone();
    let handle = Arc::new(handle);
    thread::Builder::new()
        .name("http-accept".into())
        .spawn(move || {
            while let Ok(req) = accepting.recv() {
                dispatch(req, threads, &counted, &handle);
            }
        })?;
    Ok(HttpServer {
        address,
        server,
        in_progress,
    })
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    // Accepted connections take this over: a caller's machine that is lost
    // without a word frees its thread after some probes.
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE)
        .with_interval(KEEPALIVE / 4);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_nodelay(true)?;
    socket.bind(&SockAddr::from(address))?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Counts a request as long as it is in progress, even if its handler panics.
struct InProgress(Arc<AtomicUsize>);

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

fn dispatch<H>(req: Request, threads: usize, counted: &Arc<AtomicUsize>, handle: &Arc<H>)
where
    H: Fn(Request) + Send + Sync + 'static,
{
    let header_bytes: usize = req
        .headers()
        .iter()
        .map(|h| h.field.as_str().as_str().len() + h.value.as_str().len())
        .sum();
    let refusal = if header_bytes > MOST_HEADER_BYTES {
        Some(ApiError::new(431, "headers_too_large", "too many headers"))
    } else if counted.load(Ordering::SeqCst) >= threads {
        let error = ApiError::new(503, "overloaded", "too many requests in progress");
        Some(error.retry_after(Duration::from_secs(1)))
    } else {
        None
    };
    counted.fetch_add(1, Ordering::SeqCst);
    let guard = InProgress(counted.clone());
    let handle = handle.clone();
    let spawned = thread::Builder::new()
        .name("http-request".into())
        .stack_size(512 << 10)
        .spawn(move || {
            let _guard = guard;
            match refusal {
                Some(error) => respond(req, &Reply::from(error)),
                None => handle(req),
            }
        });
    if let Err(e) = spawned {
        log::error!(target: "http", error = e.to_string(); "No thread for a request.");
    }
}
