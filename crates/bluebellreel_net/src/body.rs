//! Request and response bodies.

use bytes::{Bytes, BytesMut};
use futures::Stream;
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming, SizeHint};
use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

/// A body that ended before it was complete. The connection is closed without the
/// end of the body, so that the caller does not take the response for a complete
/// one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Broken;

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the body ended before it was complete")
    }
}

impl std::error::Error for Broken {}

/// Stream of the pieces of a body.
type Pieces = Pin<Box<dyn Stream<Item = Result<Bytes, Broken>>>>;

/// The body of a response.
pub enum Body {
    /// A complete body; `None` once it has been written.
    Full(Option<Bytes>),
    /// A streamed body. When the caller disconnects, the stream is dropped and with
    /// it everything that it owns.
    Stream(Pieces),
}

impl Body {
    /// Creates a body from complete content.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        Self::Full(Some(bytes.into()))
    }

    /// Creates a body that is sent piece by piece.
    pub fn stream(pieces: impl Stream<Item = Result<Bytes, Broken>> + 'static) -> Self {
        Self::Stream(Box::pin(pieces))
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        match self.get_mut() {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Self::Stream(pieces) => pieces
                .as_mut()
                .poll_next(cx)
                .map(|piece| piece.map(|p| p.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64)),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}

/// Reads a whole request body. Returns `None` if it is longer than `limit` bytes.
///
/// # Errors
///
/// Fails if the body ends early or is not complete within `timeout`.
pub async fn read_body(
    mut body: Incoming,
    limit: usize,
    timeout: Duration,
) -> Result<Option<Bytes>, Broken> {
    let read = async {
        let mut all = BytesMut::new();
        let mut only: Option<Bytes> = None;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| Broken)?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if all.len() + only.as_ref().map_or(0, Bytes::len) + data.len() > limit {
                return Ok(None);
            }
            // Most bodies arrive in one piece, which needs no copy.
            match only.take() {
                None if all.is_empty() => only = Some(data),
                first => {
                    if let Some(first) = first {
                        all.extend_from_slice(&first);
                    }
                    all.extend_from_slice(&data);
                }
            }
        }
        Ok(Some(only.unwrap_or_else(|| all.freeze())))
    };
    tokio::time::timeout(timeout, read)
        .await
        .map_err(|_| Broken)?
}
