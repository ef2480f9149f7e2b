//! Responses to calls.

use crate::Broken;
use crate::paged_buf::PagedBuf;
use crate::pool::{Inner, PooledConnection};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::error::Elapsed;
use tokio::time::{Instant, timeout_at};

/// Number of pieces of a body that may be as small as they like.
const MAX_SMALL_PIECES: u64 = 1024;
/// Minimum mean size of further pieces, in bytes: less than that of the shortest events. The
/// event loop spends more on a piece than on some hundred bytes.
const MIN_MEAN_PIECE: u64 = 16;

/// A response whose body has not been read yet.
pub struct Reply {
    /// Status and headers.
    pub head: http::response::Parts,
    /// The body.
    pub body: ReplyBody,
}

/// The body of a response. Reading it to its end returns a pooled connection to the
/// pool; dropping it earlier closes the connection, which cancels the request on
/// the server.
pub struct ReplyBody {
    incoming: Incoming,
    /// Whether the body ends with the connection; see [`ReplyBody::is_unframed`].
    unframed: bool,
    broken: bool,
    pieces: u64,
    bytes: u64,
    pooled: Option<PooledConnection>,
    pool: Rc<Inner>,
    address: SocketAddr,
    /// How long the connection is kept after the body; none if it is closed.
    idle: Option<Duration>,
}

impl ReplyBody {
    pub(crate) fn new(
        incoming: Incoming,
        unframed: bool,
        pooled: PooledConnection,
        pool: Rc<Inner>,
        address: SocketAddr,
        idle: Option<Duration>,
    ) -> Self {
        Self {
            incoming,
            unframed,
            broken: false,
            pieces: 0,
            bytes: 0,
            pooled: Some(pooled),
            pool,
            address,
            idle,
        }
    }

    /// Whether the body has neither a length nor chunks and ends with its connection. Its
    /// end then does not show whether it is complete.
    #[must_use]
    pub fn is_unframed(&self) -> bool {
        self.unframed
    }

    /// Reads the next piece; `None` at the end of the body.
    ///
    /// # Errors
    ///
    /// Returns `Broken` if the connection ended before the body did, or if the server sends
    /// framing or tiny pieces without end; later calls return it as well.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Broken> {
        if self.broken {
            return Err(Broken);
        }
        loop {
            match self.incoming.frame().await {
                None => {
                    if let (Some(pooled), Some(idle)) = (self.pooled.take(), self.idle) {
                        self.pool.put_back(self.address, pooled, idle);
                    }
                    return Ok(None);
                }
                Some(Err(_)) => return Err(self.close()),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return self.count(data).map(Some);
                    }
                }
            }
        }
    }

    /// Counts a piece, and lets the server send the next one.
    fn count(&mut self, data: Bytes) -> Result<Bytes, Broken> {
        self.pieces += 1;
        self.bytes += data.len() as u64;
        if self.pieces > MAX_SMALL_PIECES + self.bytes / MIN_MEAN_PIECE {
            return Err(self.close());
        }
        if let Some(pooled) = &self.pooled {
            pooled.allowance.renew();
        }
        Ok(data)
    }

    /// Closes the connection.
    fn close(&mut self) -> Broken {
        self.broken = true;
        self.pooled = None;
        Broken
    }

    /// Number of bytes of the body that were read, including those that were refused.
    #[must_use]
    pub fn bytes_read(&self) -> u64 {
        self.bytes
    }

    /// Reads the whole body, once there is memory for it.
    ///
    /// # Errors
    ///
    /// Returns `Broken` if the body ends early or is longer than `limit` bytes.
    pub async fn whole(&mut self, limit: usize) -> Result<Bytes, Broken> {
        let pool = self.pool.clone();
        let _memory = pool.memory.wait(self.announced()).await;
        self.read_whole(limit).await
    }

    /// Reads the whole body by a deadline. The wait for memory does not count, as the server does
    /// not answer for it.
    ///
    /// # Errors
    ///
    /// Returns `Broken` if the body ends early or is longer than `limit` bytes, and `Elapsed` if
    /// it is not complete in time.
    pub async fn whole_by(
        &mut self,
        limit: usize,
        until: Instant,
    ) -> Result<Result<Bytes, Broken>, Elapsed> {
        let begun = Instant::now();
        let pool = self.pool.clone();
        let _memory = pool.memory.wait(self.announced()).await;
        timeout_at(until + begun.elapsed(), self.read_whole(limit)).await
    }

    fn announced(&self) -> Option<u64> {
        self.incoming.size_hint().exact()
    }

    async fn read_whole(&mut self, limit: usize) -> Result<Bytes, Broken> {
        if let Some(bytes) = self.announced()
            && bytes > limit as u64
        {
            self.bytes = bytes;
            return Err(self.close());
        }
        let announced = self.announced().map(usize::try_from);
        let mut all = PagedBuf::new(announced.and_then(Result::ok).unwrap_or(limit));
        while let Some(piece) = self.next().await? {
            if all.extend(&piece).is_err() {
                return Err(self.close());
            }
        }
        Ok(all.freeze())
    }
}
