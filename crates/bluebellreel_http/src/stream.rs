//! Streamed answers.

use crate::Request;
use crate::answer::AnswerBody;
use crate::request::InProgress;
use bluebellreel_net::Broken;
use bytes::Bytes;
use http::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use hyper::Response;
use std::io;
use tokio::sync::mpsc;

/// Pieces that wait for the loop: the next one, while one is written.
const WAITING: usize = 1;

/// An answer whose pieces go out at once. Dropped, it ends whole.
pub struct ChunkedStream {
    pieces: mpsc::Sender<Result<Bytes, Broken>>,
    _in_progress: InProgress,
}

impl ChunkedStream {
    /// Sends the head.
    ///
    /// # Errors
    ///
    /// Gives an error if the kind cannot be a header's value.
    pub fn open(req: Request, kind: &str) -> io::Result<Self> {
        let (pieces, rx) = mpsc::channel(WAITING);
        let mut answer = Response::new(AnswerBody::Pieces(rx));
        let kind = HeaderValue::try_from(kind).map_err(io::Error::other)?;
        let headers = answer.headers_mut();
        headers.insert(CONTENT_TYPE, kind);
        headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
        Ok(Self {
            pieces,
            _in_progress: req.answer(answer),
        })
    }

    /// Ends the answer without its last chunk, so that the caller sees that it
    /// is not whole.
    pub fn abandon(self) {
        // A caller that has gone away sees nothing anyway.
        let _ = self.pieces.blocking_send(Err(Broken));
    }

    /// Sends a piece.
    ///
    /// # Errors
    ///
    /// Gives the connection's error; the caller has gone away.
    pub fn send(&mut self, piece: &[u8]) -> io::Result<()> {
        let piece = Ok(Bytes::copy_from_slice(piece));
        let sent = self.pieces.blocking_send(piece);
        sent.map_err(|_| io::ErrorKind::BrokenPipe.into())
    }
}
