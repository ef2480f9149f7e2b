//! Requests and their bodies.
//!
//! A handler runs on its own thread and requests the body from the event loop
//! chunk by chunk. Each chunk request carries a deadline.

use crate::response::ResponseBody;
use crate::{ApiError, Method};
use bluebellreel_net::{Hold, Keep, ReadError, RequestBody};
use bytes::{Buf, Bytes};
use http::header::{CONNECTION, HeaderValue};
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Body as _;
use std::io::{self, Read};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot};

/// Retry delay sent to callers whose bodies have no room.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Buffer size for reading a body, in bytes.
const READ_CHUNK_BYTES: usize = 64 << 10;

/// Counts a request as in progress until it is dropped, also if its handler
/// panics.
pub(crate) struct InProgressGuard(Arc<AtomicUsize>);

impl InProgressGuard {
    pub(crate) fn begin(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::SeqCst);
        Self(count.clone())
    }
}

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// A handler's request for the next chunk of its body.
struct ChunkRequest {
    deadline: Option<Instant>,
    /// Whether the handler keeps the chunks.
    keeps: bool,
    chunk: oneshot::Sender<io::Result<Option<Bytes>>>,
}

/// Reads a body on the handler's thread.
struct BodyReader {
    requests_tx: mpsc::UnboundedSender<ChunkRequest>,
    deadline: Option<Instant>,
    keeps: bool,
    chunk: Bytes,
    ended: bool,
}

impl BodyReader {
    /// Starts a task on the event loop that reads the body's chunks on request. What the handler
    /// keeps of them counts on `hold` from the body's end until it lets go of the reader, also if
    /// the caller has disconnected.
    fn serve(mut body: RequestBody, hold: Hold) -> Self {
        let (requests_tx, mut requests_rx) = mpsc::unbounded_channel::<ChunkRequest>();
        let ended = body.is_end_stream();
        tokio::task::spawn_local(async move {
            let mut kept = 0;
            while let Some(request) = requests_rx.recv().await {
                body.keep(if request.keeps {
                    Keep::Body
                } else {
                    Keep::Piece
                });
                let chunk = next_chunk(&mut body, request.deadline).await;
                match &chunk {
                    Ok(Some(bytes)) if request.keeps => kept += bytes.len(),
                    Ok(Some(_)) => {}
                    Ok(None) | Err(_) => hold.force(std::mem::take(&mut kept)),
                }
                // Sending fails if the handler has ended and needs no chunk.
                let _ = request.chunk.send(chunk);
            }
        });
        Self {
            requests_tx,
            deadline: None,
            keeps: false,
            chunk: Bytes::new(),
            ended,
        }
    }

    fn request_chunk(&self) -> io::Result<Option<Bytes>> {
        let (chunk, chunk_rx) = oneshot::channel();
        let request = ChunkRequest {
            deadline: self.deadline,
            keeps: self.keeps,
            chunk,
        };
        let unexpected_eof = || io::Error::from(io::ErrorKind::UnexpectedEof);
        self.requests_tx
            .send(request)
            .map_err(|_| unexpected_eof())?;
        chunk_rx.blocking_recv().map_err(|_| unexpected_eof())?
    }
}

impl Read for BodyReader {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        while self.chunk.is_empty() && !self.ended {
            match self.request_chunk()? {
                Some(chunk) => self.chunk = chunk,
                None => self.ended = true,
            }
        }
        let n = self.chunk.len().min(buf.len());
        self.chunk.copy_to_slice(&mut buf[..n]);
        Ok(n)
    }
}

fn no_room() -> io::Error {
    io::Error::new(io::ErrorKind::OutOfMemory, ReadError::NoRoom)
}

/// Reads the next chunk of a body; `None` at its end.
async fn next_chunk(
    body: &mut RequestBody,
    deadline: Option<Instant>,
) -> io::Result<Option<Bytes>> {
    loop {
        let frame = match deadline {
            Some(deadline) => tokio::time::timeout_at(deadline.into(), body.frame())
                .await
                .map_err(|_| io::ErrorKind::TimedOut)?,
            None => body.frame().await,
        };
        let Some(frame) = frame else {
            return Ok(None);
        };
        let frame = frame.map_err(|e| match e {
            ReadError::Broken => io::Error::new(io::ErrorKind::UnexpectedEof, e),
            ReadError::NoRoom => no_room(),
        })?;
        if let Ok(data) = frame.into_data() {
            return Ok(Some(data));
        }
    }
}

/// A request. If it is dropped without a response, the server sends an error.
pub struct Request {
    head: http::request::Parts,
    method: Method,
    url: String,
    body: BodyReader,
    response_tx: oneshot::Sender<Response<ResponseBody>>,
    in_progress: InProgressGuard,
}

impl Request {
    /// Creates a request whose body is read by a task on the current `LocalSet`.
    pub(crate) fn new(
        req: hyper::Request<RequestBody>,
        response_tx: oneshot::Sender<Response<ResponseBody>>,
        in_progress: InProgressGuard,
        hold: Hold,
    ) -> Self {
        let (head, body) = req.into_parts();
        Self {
            method: Method::from(head.method.as_str()),
            url: head.uri.to_string(),
            head,
            body: BodyReader::serve(body, hold),
            response_tx,
            in_progress,
        }
    }

    /// The request method.
    #[must_use]
    pub fn method(&self) -> &Method {
        &self.method
    }

    /// The path and the query.
    #[must_use]
    pub fn url(&self) -> &str {
        &self.url
    }

    /// The body's length in bytes according to `Content-Length`, if present.
    #[must_use]
    pub fn body_length(&self) -> Option<usize> {
        header(self, "Content-Length")?.parse().ok()
    }

    /// Sets the time after which reading the body fails; `None` for no limit.
    pub fn set_read_deadline(&mut self, deadline: Option<Instant>) {
        self.body.deadline = deadline;
    }

    /// The request body.
    pub fn as_reader(&mut self) -> &mut dyn Read {
        &mut self.body
    }

    /// Sends a response. The request counts as in progress until the returned guard
    /// is dropped.
    pub(crate) fn send_response(self, mut response: Response<ResponseBody>) -> InProgressGuard {
        if !self.body.ended {
            // Closes the connection, so that the unread rest of the body is not
            // parsed as the next request.
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        // Sending fails if the caller has disconnected and needs no response.
        let _ = self.response_tx.send(response);
        self.in_progress
    }
}

/// Limits of a request body.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// Maximum size in bytes.
    pub bytes: usize,
    /// Maximum time for reading the body.
    pub time: Duration,
}

/// A header's value, if the header is present and valid text.
#[must_use]
pub fn header<'a>(req: &'a Request, name: &'static str) -> Option<&'a str> {
    req.head.headers.get(name)?.to_str().ok()
}

/// Reads a request body in full.
///
/// # Errors
///
/// Returns the error response for a body that is too large, too slow or truncated.
pub fn read_body(req: &mut Request, limits: BodyLimits) -> Result<Vec<u8>, ApiError> {
    let announced = req.body_length();
    if announced.is_some_and(|length| length > limits.bytes) {
        return Err(too_large(limits.bytes));
    }
    // Without a deadline, a caller that sends its body very slowly, or only half of
    // it, would occupy a thread and delay a stop indefinitely.
    req.set_read_deadline(Some(Instant::now() + limits.time));
    req.body.keeps = true;
    let mut body = Vec::with_capacity(announced.unwrap_or(0).min(limits.bytes));
    let mut chunk = vec![0; READ_CHUNK_BYTES];
    let reader = req.as_reader();
    loop {
        let read = reader.read(&mut chunk).map_err(|e| body_read_error(&e))?;
        if read == 0 {
            break;
        }
        body.extend_from_slice(&chunk[..read]);
        if body.len() > limits.bytes {
            return Err(too_large(limits.bytes));
        }
    }
    Ok(body)
}

/// The error response for a request body whose reading failed.
#[must_use]
pub fn body_read_error(error: &io::Error) -> ApiError {
    if error.kind() == io::ErrorKind::TimedOut {
        return ApiError::new(408, "too_slow", "the body came too slowly");
    }
    if error.kind() == io::ErrorKind::OutOfMemory {
        let error = ApiError::new(503, "overloaded", "no memory for the body");
        return error.retry_after(RETRY_DELAY);
    }
    ApiError::new(400, "cut_short", "the body ended early")
}

fn too_large(bytes: usize) -> ApiError {
    let message = format!("the body is larger than {bytes} bytes");
    ApiError::new(413, "too_large", message)
}
