//! Streamed responses.

use crate::Request;
use crate::request::InProgressGuard;
use crate::response::ResponseBody;
use bluebellreel_net::Broken;
use bytes::Bytes;
use http::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use hyper::Response;
use std::io;
use tokio::sync::mpsc;

/// Number of chunks that wait for the event loop: the next one, while one is being
/// written.
const CHANNEL_CAPACITY: usize = 1;

/// A response whose chunks are sent without buffering. Dropping it ends the
/// response normally, as complete.
pub struct ChunkedStream {
    chunks: mpsc::Sender<Result<Bytes, Broken>>,
    _in_progress: InProgressGuard,
}

impl ChunkedStream {
    /// Sends the response head.
    ///
    /// # Errors
    ///
    /// Returns an error if `content_type` is not a valid header value.
    pub fn open(req: Request, content_type: &str) -> io::Result<Self> {
        let (chunks, rx) = mpsc::channel(CHANNEL_CAPACITY);
        let mut response = Response::new(ResponseBody::Stream(rx));
        let content_type = HeaderValue::try_from(content_type).map_err(io::Error::other)?;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, content_type);
        headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
        Ok(Self {
            chunks,
            _in_progress: req.send_response(response),
        })
    }

    /// Ends the response without its last chunk, so that the caller detects that it
    /// is incomplete.
    pub fn abandon(self) {
        // Sending fails if the caller has disconnected, which ends the response too.
        let _ = self.chunks.blocking_send(Err(Broken));
    }

    /// Sends a chunk.
    ///
    /// # Errors
    ///
    /// Returns `BrokenPipe` if the caller has disconnected.
    pub fn send(&mut self, chunk: &[u8]) -> io::Result<()> {
        let chunk = Ok(Bytes::copy_from_slice(chunk));
        let sent = self.chunks.blocking_send(chunk);
        sent.map_err(|_| io::ErrorKind::BrokenPipe.into())
    }
}
