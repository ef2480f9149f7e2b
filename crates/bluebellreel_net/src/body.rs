//! Request and response bodies.

use crate::connection::ConnectionState;
use crate::paged_buf::PagedBuf;
use bytes::Bytes;
use futures::Stream;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Frame, Incoming, SizeHint};
use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
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

/// The body of a request, on the account of its connection.
pub struct RequestBody {
    incoming: Incoming,
    /// None once the body has ended.
    connection: Option<Rc<ConnectionState>>,
    keep: Keep,
    /// Bytes that count as held.
    held: usize,
}

/// How long the bytes of a body count as held by its reader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Keep {
    /// Until the next ones are read.
    Piece,
    /// Until the body has ended.
    Body,
    /// Until the request is answered.
    Request,
}

/// Why a request's body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// It ended early or came too slowly.
    Broken,
    /// There is no room for it.
    NoRoom,
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Broken => "the body did not arrive",
            Self::NoRoom => "no room for the body",
        })
    }
}

impl std::error::Error for ReadError {}

impl RequestBody {
    pub(crate) fn new(incoming: Incoming, connection: Rc<ConnectionState>) -> Self {
        let connection = (!incoming.is_end_stream()).then_some(connection);
        Self {
            incoming,
            connection,
            keep: Keep::Piece,
            held: 0,
        }
    }

    /// Sets how long the bytes count as held from now on.
    pub fn keep(&mut self, keep: Keep) {
        self.keep = keep;
    }

    /// Ends the body.
    fn end(&mut self) {
        if let Some(connection) = self.connection.take() {
            connection.end_body();
            if self.keep != Keep::Request {
                connection.release(self.held);
            }
        }
    }

    /// The length of the body in bytes, if it is announced.
    fn announced(&self) -> Option<usize> {
        usize::try_from(self.incoming.size_hint().exact()?).ok()
    }
}

impl hyper::body::Body for RequestBody {
    type Data = Bytes;
    type Error = ReadError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ReadError>>> {
        let this = self.get_mut();
        let Some(connection) = &this.connection else {
            return Poll::Ready(None);
        };
        if connection.is_refused(cx) {
            this.connection = None;
            return Poll::Ready(Some(Err(ReadError::NoRoom)));
        }
        let frame = match ready!(Pin::new(&mut this.incoming).poll_frame(cx)) {
            Some(Ok(frame)) => frame,
            Some(Err(_)) => {
                this.connection = None;
                return Poll::Ready(Some(Err(ReadError::Broken)));
            }
            None => {
                this.end();
                return Poll::Ready(None);
            }
        };
        if this.keep == Keep::Piece {
            connection.release(this.held);
            this.held = 0;
        }
        let bytes = frame.data_ref().map_or(0, Bytes::len);
        if connection.hold_body(bytes).is_err() {
            this.connection = None;
            return Poll::Ready(Some(Err(ReadError::NoRoom)));
        }
        this.held += bytes;
        if this.incoming.is_end_stream() {
            this.end();
        }
        Poll::Ready(Some(Ok(frame)))
    }

    fn is_end_stream(&self) -> bool {
        self.connection.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

/// Reads a whole request body. Returns `None` if it is longer than `limit` bytes.
///
/// # Errors
///
/// Fails if the body ends early or is not complete within `timeout`, or if there is no room
/// for it.
pub async fn read_body(
    mut body: RequestBody,
    limit: usize,
    timeout: Duration,
) -> Result<Option<Bytes>, ReadError> {
    let announced = body.announced();
    if announced.is_some_and(|bytes| bytes > limit) {
        return Ok(None);
    }
    body.keep(Keep::Request);
    let read = async {
        let mut all = PagedBuf::new(announced.unwrap_or(limit));
        let mut only: Option<Bytes> = None;
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame?.into_data() else {
                continue;
            };
            if all.len() + only.as_ref().map_or(0, Bytes::len) + data.len() > limit {
                return Ok(None);
            }
            // Most bodies arrive in one piece, which needs no copy.
            match only.take() {
                None if all.len() == 0 => only = Some(data),
                first => {
                    let pieces = [first.unwrap_or_default(), data];
                    for piece in pieces {
                        all.extend(&piece).map_err(|_| ReadError::NoRoom)?;
                    }
                }
            }
        }
        Ok(Some(only.unwrap_or_else(|| all.freeze())))
    };
    tokio::time::timeout(timeout, read)
        .await
        .map_err(|_| ReadError::Broken)?
}
