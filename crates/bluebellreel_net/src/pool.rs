//! HTTP client with a pool of reusable connections.

use crate::allowance::{Allowance, LimitedStream, MAX_READ_BUFFER};
use crate::body_memory::BodyMemory;
use crate::reply::{Reply, ReplyBody};
use crate::server::set_socket_options;
use bytes::Bytes;
use futures::FutureExt;
use futures::future::{LocalBoxFuture, Shared};
use http_body_util::Full;
use hyper::body::Body as _;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use log::warn;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// Why a call has no response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendError {
    /// The server received nothing of the request.
    Unsent(String),
    /// The server may have received the request.
    Unknown(String),
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unsent(reason) => write!(f, "not sent: {reason}"),
            Self::Unknown(reason) => write!(f, "no response: {reason}"),
        }
    }
}

/// Which connections a call may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// A pooled connection, or a new one if there is none.
    Any,
    /// Always a new connection. For calls that must not be repeated: a pooled
    /// connection may be broken, or may deliver a stray response first.
    Never,
}

/// Result of a connection attempt to an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// A process listens on the address.
    Open,
    /// The VM is up and refuses the connection: no process listens on the address.
    Refused,
    /// Neither of these is certain, for example because the attempt timed out.
    Unknown,
}

/// Limits of a pool.
#[derive(Clone, Copy, Debug)]
pub struct PoolLimits {
    /// Timeout for opening a connection.
    pub connect: Duration,
    /// How long an idle connection is kept if the server does not state a time.
    pub idle: Duration,
    /// Maximum number of idle connections to one address.
    pub idle_per_address: usize,
    /// Memory of all response bodies that are read whole at one moment, in bytes. Further ones
    /// wait.
    pub memory: usize,
}

/// Subtracted from the idle time that the server states, since the server counts
/// from the last byte that it sent itself.
const IDLE_MARGIN: Duration = Duration::from_millis(400);

pub(crate) struct PooledConnection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    pub(crate) task: AbortHandle,
    pub(crate) allowance: Allowance,
    idle_until: Instant,
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

pub(crate) struct Inner {
    limits: PoolLimits,
    /// Whether closing a connection discards bytes that were not delivered.
    resets: bool,
    idle: RefCell<HashMap<SocketAddr, Vec<PooledConnection>>>,
    opened: Cell<u64>,
    /// Memory of the response bodies that are being read whole.
    pub(crate) memory: BodyMemory,
    /// Probes in progress; calls for the same address share them.
    probes: RefCell<HashMap<SocketAddr, Shared<LocalBoxFuture<'static, ProbeResult>>>>,
}

/// Connections by address. Clones share the same pool.
#[derive(Clone)]
pub struct Pool(Rc<Inner>);

impl Pool {
    /// Creates an empty pool.
    #[must_use]
    pub fn new(limits: PoolLimits) -> Self {
        Self::with(limits, false)
    }

    /// Creates an empty pool that resets the connection of a call that is dropped. The
    /// part of the request that has not been delivered is then discarded; otherwise the
    /// kernel would deliver it up to `DEAD_PEER_TIMEOUT` later.
    #[must_use]
    pub fn resetting(limits: PoolLimits) -> Self {
        Self::with(limits, true)
    }

    fn with(limits: PoolLimits, resets: bool) -> Self {
        Self(Rc::new(Inner {
            limits,
            resets,
            idle: RefCell::default(),
            opened: Cell::new(0),
            memory: BodyMemory::new(limits.memory),
            probes: RefCell::default(),
        }))
    }

    /// Number of connections opened so far.
    #[must_use]
    pub fn opened(&self) -> u64 {
        self.0.opened.get()
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// The error states whether the server may have received the request.
    pub async fn send(
        &self,
        address: SocketAddr,
        mut req: http::Request<Full<Bytes>>,
        reuse: Reuse,
    ) -> Result<Reply, SendError> {
        while let Some(mut pooled) = self.0.take(address, reuse) {
            pooled.allowance.renew();
            match pooled.sender.try_send_request(req).await {
                Ok(answer) => return Ok(self.reply(address, pooled, answer, Kept::Yes)),
                Err(mut e) => match e.take_message() {
                    // The connection was closed before the request was written.
                    Some(unsent_req) => req = unsent_req,
                    None => return Err(SendError::Unknown(e.error().to_string())),
                },
            }
        }
        let pooled = self.connect(address).await?;
        self.send_on(address, pooled, req, Kept::Yes).await
    }

    /// Sends a request on a new connection.
    async fn send_on(
        &self,
        address: SocketAddr,
        mut connection: PooledConnection,
        req: http::Request<Full<Bytes>>,
        kept: Kept,
    ) -> Result<Reply, SendError> {
        match connection.sender.try_send_request(req).await {
            Ok(answer) => Ok(self.reply(address, connection, answer, kept)),
            Err(mut e) => {
                let unsent = e.take_message().is_some();
                let reason = e.error().to_string();
                Err(if unsent {
                    SendError::Unsent(reason)
                } else {
                    SendError::Unknown(reason)
                })
            }
        }
    }

    /// Checks whether a process listens on an address by opening a connection,
    /// which is kept in the pool for the next call. Concurrent probes of one
    /// address share one attempt.
    pub async fn probe(&self, address: SocketAddr) -> ProbeResult {
        let in_progress = self.0.probes.borrow().get(&address).cloned();
        if let Some(in_progress) = in_progress {
            return in_progress.await;
        }
        let pool = self.clone();
        // A task of its own: if all callers give up, the attempt still ends, and none joins
        // it later and takes its result for that of a new one.
        let attempt = tokio::task::spawn_local(async move {
            let found = pool.probe_once(address).await;
            pool.0.probes.borrow_mut().remove(&address);
            found
        });
        let attempt = attempt.map(|found| found.unwrap_or(ProbeResult::Unknown));
        let attempt = attempt.boxed_local().shared();
        self.0.probes.borrow_mut().insert(address, attempt.clone());
        attempt.await
    }

    async fn probe_once(&self, address: SocketAddr) -> ProbeResult {
        match self.dial(address).await {
            Ok(stream) => {
                if let Ok(pooled) = self.start_http(stream).await {
                    self.0.put_back(address, pooled, self.0.limits.idle);
                }
                ProbeResult::Open
            }
            Err(e) => probe_result(&e),
        }
    }

    /// Opens a connection for one call that shares it with no other.
    ///
    /// # Errors
    ///
    /// Returns what the attempt has shown of the address.
    pub async fn open(&self, address: SocketAddr) -> Result<DedicatedConnection, ProbeResult> {
        let stream = self.dial(address).await.map_err(|e| probe_result(&e))?;
        let opened = self.start_http(stream).await;
        Ok(DedicatedConnection {
            connection: opened.map_err(|_| ProbeResult::Unknown)?,
            pool: self.clone(),
            address,
        })
    }

    /// Closes connections that have been idle for longer than their idle time.
    pub fn sweep(&self) {
        let now = Instant::now();
        let mut idle = self.0.idle.borrow_mut();
        for pooled in idle.values_mut() {
            pooled.retain(|k| k.idle_until > now && !k.sender.is_closed());
        }
        idle.retain(|_, pooled| !pooled.is_empty());
    }

    /// Closes all idle connections to an address.
    pub fn drop_idle(&self, address: SocketAddr) {
        self.0.idle.borrow_mut().remove(&address);
    }

    async fn connect(&self, address: SocketAddr) -> Result<PooledConnection, SendError> {
        let unsent = |e: io::Error| SendError::Unsent(e.to_string());
        let stream = self.dial(address).await.map_err(unsent)?;
        self.start_http(stream)
            .await
            .map_err(|e| SendError::Unsent(e.to_string()))
    }

    async fn dial(&self, address: SocketAddr) -> io::Result<TcpStream> {
        let timed_out = |_| io::Error::new(io::ErrorKind::TimedOut, "connection attempt timed out");
        tokio::time::timeout(self.0.limits.connect, TcpStream::connect(address))
            .await
            .map_err(timed_out)?
    }

    async fn start_http(&self, stream: TcpStream) -> hyper::Result<PooledConnection> {
        set_socket_options(&stream);
        if self.0.resets
            && let Err(e) = stream.set_zero_linger()
        {
            warn!(target: "http", error:% = e; "cannot set SO_LINGER");
        }
        self.0.opened.set(self.0.opened.get() + 1);
        let allowance = Allowance::new();
        let stream = LimitedStream::new(stream, allowance.clone());
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_READ_BUFFER)
            .handshake(TokioIo::new(stream))
            .await?;
        let task = tokio::task::spawn_local(async move {
            // The call that uses the connection observes its failure.
            let _ = connection.await;
        });
        Ok(PooledConnection {
            sender,
            task: task.abort_handle(),
            allowance,
            idle_until: Instant::now(),
        })
    }

    fn reply(
        &self,
        address: SocketAddr,
        pooled: PooledConnection,
        answer: http::Response<hyper::body::Incoming>,
        kept: Kept,
    ) -> Reply {
        pooled.allowance.renew();
        let (head, body) = answer.into_parts();
        let idle = match kept {
            Kept::Yes => Some(idle_time(&head.headers).unwrap_or(self.0.limits.idle)),
            Kept::No => None,
        };
        let unframed = is_unframed(&head, &body);
        let body = ReplyBody::new(body, unframed, pooled, self.0.clone(), address, idle);
        Reply { head, body }
    }
}

/// A connection that carries one call and is then closed. For calls whose responses do not
/// show to which call they belong.
pub struct DedicatedConnection {
    connection: PooledConnection,
    pool: Pool,
    address: SocketAddr,
}

impl DedicatedConnection {
    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// The error states whether the server may have received the request.
    pub async fn send(self, req: http::Request<Full<Bytes>>) -> Result<Reply, SendError> {
        let Self {
            connection,
            pool,
            address,
        } = self;
        pool.send_on(address, connection, req, Kept::No).await
    }
}

/// Whether a connection returns to the pool after its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kept {
    Yes,
    No,
}

/// What a failed connection attempt shows of its address.
fn probe_result(e: &io::Error) -> ProbeResult {
    if e.kind() == io::ErrorKind::ConnectionRefused {
        ProbeResult::Refused
    } else {
        ProbeResult::Unknown
    }
}

/// Whether a response with this head has a body that ends with its connection.
fn is_unframed(head: &http::response::Parts, body: &hyper::body::Incoming) -> bool {
    let has_length = head.headers.contains_key(http::header::CONTENT_LENGTH);
    let codings = head.headers.get_all(http::header::TRANSFER_ENCODING);
    let mut codings = codings.iter().peekable();
    let is_framed = if codings.peek().is_some() {
        // Chunks are the only coding that shows where the body ends.
        codings.last().is_some_and(ends_in_chunked)
    } else {
        has_length
    };
    !is_framed && !body.is_end_stream()
}

fn ends_in_chunked(codings: &http::HeaderValue) -> bool {
    let codings = codings.to_str().unwrap_or("");
    let last = codings.rsplit(',').next().unwrap_or("").trim();
    last.eq_ignore_ascii_case("chunked")
}

/// How long the server keeps an idle connection, according to its `Keep-Alive`
/// header.
fn idle_time(headers: &http::HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let stated = text
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    let seconds: u64 = stated.trim().parse().ok()?;
    Some(Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN))
}

impl Inner {
    fn take(&self, address: SocketAddr, reuse: Reuse) -> Option<PooledConnection> {
        if reuse == Reuse::Never {
            return None;
        }
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let pooled = idle.get_mut(&address)?;
        pooled.retain(|k| k.idle_until > now && !k.sender.is_closed());
        // The most recently used connection is the least likely to have been closed
        // by the server.
        let at = pooled.iter().rposition(|k| k.sender.is_ready())?;
        Some(pooled.remove(at))
    }

    pub(crate) fn put_back(
        &self,
        address: SocketAddr,
        mut pooled: PooledConnection,
        idle: Duration,
    ) {
        if pooled.sender.is_closed() {
            return;
        }
        pooled.idle_until = Instant::now() + idle;
        let mut all = self.idle.borrow_mut();
        let list = all.entry(address).or_default();
        if list.len() >= self.limits.idle_per_address {
            list.remove(0);
        }
        list.push(pooled);
    }
}
