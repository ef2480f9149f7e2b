//! Answers to calls.

use crate::Broken;
use crate::pool::{Inner, Kept};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// An answer whose body is still to come.
pub struct Reply {
    /// Status and headers.
    pub head: http::response::Parts,
    /// The body.
    pub body: ReplyBody,
}

/// A body that arrives. Read to its end, its connection is kept for the next
/// call; dropped before, its connection is closed, which ends the run behind
/// it.
pub struct ReplyBody {
    incoming: Incoming,
    broken: bool,
    kept: Option<Kept>,
    pool: Rc<Inner>,
    address: SocketAddr,
    idle: Duration,
}

impl ReplyBody {
    pub(crate) fn new(
        incoming: Incoming,
        kept: Kept,
        pool: Rc<Inner>,
        address: SocketAddr,
        idle: Duration,
    ) -> Self {
        Self {
            incoming,
            broken: false,
            kept: Some(kept),
            pool,
            address,
            idle,
        }
    }

    /// The next piece; `None` at the end.
    ///
    /// # Errors
    ///
    /// `Broken` if the body ended before its end, however often it is asked for.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Broken> {
        if self.broken {
            return Err(Broken);
        }
        loop {
            match self.incoming.frame().await {
                None => {
                    if let Some(kept) = self.kept.take() {
                        self.pool.give_back(self.address, kept, self.idle);
                    }
                    return Ok(None);
                }
                Some(Err(_)) => {
                    self.broken = true;
                    self.kept = None;
                    return Err(Broken);
                }
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
            }
        }
    }

    /// The whole body, at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// `Broken` if it ended early or is longer.
    pub async fn whole(&mut self, limit: usize) -> Result<Bytes, Broken> {
        let mut all = BytesMut::new();
        while let Some(piece) = self.next().await? {
            if all.len() + piece.len() > limit {
                return Err(Broken);
            }
            all.extend_from_slice(&piece);
        }
        Ok(all.freeze())
    }
}
