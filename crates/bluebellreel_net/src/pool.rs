//! Calls over kept connections.

use crate::reply::{Reply, ReplyBody};
use crate::server::prepare;
use bytes::Bytes;
use futures::FutureExt;
use futures::future::{LocalBoxFuture, Shared};
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
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

/// Why a call has no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendError {
    /// Nothing reached the other side.
    Unsent(String),
    /// It may have reached the other side.
    Unknown(String),
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unsent(reason) => write!(f, "not sent: {reason}"),
            Self::Unknown(reason) => write!(f, "no answer: {reason}"),
        }
    }
}

/// Which connection a call may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// Any kept one.
    Any,
    /// A new one. For calls that cannot be repeated: a kept connection may
    /// have fallen silent, or bring an extra answer first.
    Never,
}

/// What a look at an address shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// Something listens there.
    Open,
    /// The VM answers, and nothing listens there.
    Refused,
    /// No answer that tells.
    Unknown,
}

/// Bounds of a pool.
#[derive(Clone, Copy, Debug)]
pub struct PoolLimits {
    /// Longest wait for a new connection.
    pub connect: Duration,
    /// How long an idle connection is kept when the other side does not say.
    pub idle: Duration,
    /// Idle connections kept for one address.
    pub idle_per_address: usize,
}

/// Taken off the idle time that the other side states, as it counts from its
/// own last byte.
const IDLE_MARGIN: Duration = Duration::from_millis(400);

pub(crate) struct Kept {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    pub(crate) task: AbortHandle,
    idle_until: Instant,
}

impl Drop for Kept {
    fn drop(&mut self) {
        self.task.abort();
    }
}

pub(crate) struct Inner {
    limits: PoolLimits,
    idle: RefCell<HashMap<SocketAddr, Vec<Kept>>>,
    opened: Cell<u64>,
    /// Looks under way.
    knocks: RefCell<HashMap<SocketAddr, Shared<LocalBoxFuture<'static, ProbeResult>>>>,
}

/// Kept connections by address. Clones share them.
#[derive(Clone)]
pub struct Pool(Rc<Inner>);

impl Pool {
    /// An empty pool.
    #[must_use]
    pub fn new(limits: PoolLimits) -> Self {
        Self(Rc::new(Inner {
            limits,
            idle: RefCell::default(),
            opened: Cell::new(0),
            knocks: RefCell::default(),
        }))
    }

    /// Connections opened so far.
    #[must_use]
    pub fn opened(&self) -> u64 {
        self.0.opened.get()
    }

    /// Sends a request and waits for the answer's head.
    ///
    /// # Errors
    ///
    /// Tells whether the request may have reached the other side.
    pub async fn send(
        &self,
        address: SocketAddr,
        mut req: http::Request<Full<Bytes>>,
        reuse: Reuse,
    ) -> Result<Reply, SendError> {
        while let Some(mut kept) = self.0.take(address, reuse) {
            match kept.sender.try_send_request(req).await {
                Ok(answer) => return Ok(self.reply(address, kept, answer)),
                Err(mut e) => match e.take_message() {
                    // The connection ended before the request was written.
                    Some(back) => req = back,
                    None => return Err(SendError::Unknown(e.error().to_string())),
                },
            }
        }
        let mut kept = self.connect(address).await?;
        match kept.sender.try_send_request(req).await {
            Ok(answer) => Ok(self.reply(address, kept, answer)),
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

    /// Looks whether something listens at an address. Looks at the same time are one;
    /// a connection that it opens is kept for a call.
    pub async fn probe(&self, address: SocketAddr) -> ProbeResult {
        let under_way = self.0.knocks.borrow().get(&address).cloned();
        if let Some(under_way) = under_way {
            return under_way.await;
        }
        let pool = self.clone();
        let look = async move {
            let found = pool.knock_once(address).await;
            pool.0.knocks.borrow_mut().remove(&address);
            found
        };
        let look = look.boxed_local().shared();
        self.0.knocks.borrow_mut().insert(address, look.clone());
        look.await
    }

    async fn knock_once(&self, address: SocketAddr) -> ProbeResult {
        match self.dial(address).await {
            Ok(stream) => {
                if let Ok(kept) = self.speak(stream).await {
                    self.0.give_back(address, kept, self.0.limits.idle);
                }
                ProbeResult::Open
            }
            Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => ProbeResult::Refused,
            Err(_) => ProbeResult::Unknown,
        }
    }

    /// Drops the idle connections that have outlived their time.
    pub fn sweep(&self) {
        let now = Instant::now();
        let mut idle = self.0.idle.borrow_mut();
        for kept in idle.values_mut() {
            kept.retain(|k| k.idle_until > now && !k.sender.is_closed());
        }
        idle.retain(|_, kept| !kept.is_empty());
    }

    /// Drops all idle connections to an address.
    pub fn drop_idle(&self, address: SocketAddr) {
        self.0.idle.borrow_mut().remove(&address);
    }

    async fn connect(&self, address: SocketAddr) -> Result<Kept, SendError> {
        let unsent = |e: io::Error| SendError::Unsent(e.to_string());
        let stream = self.dial(address).await.map_err(unsent)?;
        self.speak(stream)
            .await
            .map_err(|e| SendError::Unsent(e.to_string()))
    }

    async fn dial(&self, address: SocketAddr) -> io::Result<TcpStream> {
        let late = |_| io::Error::new(io::ErrorKind::TimedOut, "no connection in time");
        tokio::time::timeout(self.0.limits.connect, TcpStream::connect(address))
            .await
            .map_err(late)?
    }

    async fn speak(&self, stream: TcpStream) -> hyper::Result<Kept> {
        prepare(&stream);
        self.0.opened.set(self.0.opened.get() + 1);
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let task = tokio::task::spawn_local(async move {
            // Its end shows in the call that used it.
            let _ = connection.await;
        });
        Ok(Kept {
            sender,
            task: task.abort_handle(),
            idle_until: Instant::now(),
        })
    }

    fn reply(
        &self,
        address: SocketAddr,
        kept: Kept,
        answer: http::Response<hyper::body::Incoming>,
    ) -> Reply {
        let (head, body) = answer.into_parts();
        let idle = idle_time(&head.headers).unwrap_or(self.0.limits.idle);
        let body = ReplyBody::new(body, kept, self.0.clone(), address, idle);
        Reply { head, body }
    }
}

/// The time that the other side keeps an idle connection.
fn idle_time(headers: &http::HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let stated = text
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    let seconds: u64 = stated.trim().parse().ok()?;
    Some(Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN))
}

impl Inner {
    fn take(&self, address: SocketAddr, reuse: Reuse) -> Option<Kept> {
        if reuse == Reuse::Never {
            return None;
        }
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&address)?;
        kept.retain(|k| k.idle_until > now && !k.sender.is_closed());
        // The one used last is the least likely to be closed by the other side.
        let at = kept.iter().rposition(|k| k.sender.is_ready())?;
        Some(kept.remove(at))
    }

    pub(crate) fn give_back(&self, address: SocketAddr, mut kept: Kept, idle: Duration) {
        if kept.sender.is_closed() {
            return;
        }
        kept.idle_until = Instant::now() + idle;
        let mut all = self.idle.borrow_mut();
        let list = all.entry(address).or_default();
        if list.len() >= self.limits.idle_per_address {
            list.remove(0);
        }
        list.push(kept);
    }
}
