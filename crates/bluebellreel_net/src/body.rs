//! Bodies of answers.

use bytes::{Bytes, BytesMut};
use futures::Stream;
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming, SizeHint};
use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

/// An answer that could not be finished. The connection is closed without the
/// body's end, so that the caller does not take the answer for a whole one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Broken;

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer was broken off")
    }
}

impl std::error::Error for Broken {}

/// Pieces of a body as they come.
type Pieces = Pin<Box<dyn Stream<Item = Result<Bytes, Broken>>>>;

/// The body of an answer.
pub enum Body {
    /// All of it.
    Full(Option<Bytes>),
    /// Pieces as they come. Dropped when the caller goes away, and with it
    /// all that the stream holds.
    Stream(Pieces),
}

impl Body {
    /// A body that is there already.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        Self::Full(Some(bytes.into()))
    }

    /// A body that comes piece by piece.
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

/// Reads a whole body.
///
/// # Errors
///
/// `Ok(None)` if it is longer than `limit` bytes; `Err` if it broke off or did
/// not come in time.
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
            // Most bodies come in one piece, which then needs no copy.
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
