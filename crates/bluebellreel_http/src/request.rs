//! Requests and reading them.
//!
//! A handler runs on a thread of its own and asks the loop for its body piece
//! by piece, each with a deadline.

use crate::answer::AnswerBody;
use crate::{ApiError, Method};
use bytes::{Buf, Bytes};
use http::header::{CONNECTION, HeaderValue};
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::{Body as _, Incoming};
use std::io::{self, Read};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot};

/// Bytes read at one time.
const PIECE: usize = 64 << 10;

/// Counts a request as long as it is in progress, even if its handler panics.
pub(crate) struct InProgress(Arc<AtomicUsize>);

impl InProgress {
    pub(crate) fn begin(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::SeqCst);
        Self(count.clone())
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// A handler's wish for the next piece of its body.
struct Pull {
    until: Option<Instant>,
    piece: oneshot::Sender<io::Result<Option<Bytes>>>,
}

/// A body, as a handler's thread reads it.
struct BodyReader {
    pulls: mpsc::UnboundedSender<Pull>,
    until: Option<Instant>,
    piece: Bytes,
    ended: bool,
}

impl BodyReader {
    /// Serves a body's pieces on the loop.
    fn serve(mut body: Incoming) -> Self {
        let (pulls, mut asked) = mpsc::unbounded_channel::<Pull>();
        let ended = body.is_end_stream();
        tokio::task::spawn_local(async move {
            while let Some(pull) = asked.recv().await {
                let piece = next_piece(&mut body, pull.until).await;
                // A handler that is gone needs no piece.
                let _ = pull.piece.send(piece);
            }
        });
        Self {
            pulls,
            until: None,
            piece: Bytes::new(),
            ended,
        }
    }

    fn pull(&self) -> io::Result<Option<Bytes>> {
        let (piece, comes) = oneshot::channel();
        let pull = Pull {
            until: self.until,
            piece,
        };
        let gone = || io::Error::from(io::ErrorKind::UnexpectedEof);
        self.pulls.send(pull).map_err(|_| gone())?;
        comes.blocking_recv().map_err(|_| gone())?
    }
}

impl Read for BodyReader {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        while self.piece.is_empty() && !self.ended {
            match self.pull()? {
                Some(piece) => self.piece = piece,
                None => self.ended = true,
            }
        }
        let n = self.piece.len().min(buf.len());
        self.piece.copy_to_slice(&mut buf[..n]);
        Ok(n)
    }
}

/// The next piece of a body; none at its end.
async fn next_piece(body: &mut Incoming, until: Option<Instant>) -> io::Result<Option<Bytes>> {
    loop {
        let frame = match until {
            Some(until) => tokio::time::timeout_at(until.into(), body.frame())
                .await
                .map_err(|_| io::ErrorKind::TimedOut)?,
            None => body.frame().await,
        };
        let Some(frame) = frame else {
            return Ok(None);
        };
        let frame = frame.map_err(|e| io::Error::new(io::ErrorKind::UnexpectedEof, e))?;
        if let Ok(data) = frame.into_data() {
            return Ok(Some(data));
        }
    }
}

/// A request. One that is dropped unanswered is answered with an error.
pub struct Request {
    head: http::request::Parts,
    method: Method,
    url: String,
    body: BodyReader,
    answer: oneshot::Sender<Response<AnswerBody>>,
    in_progress: InProgress,
}

impl Request {
    /// A request whose body is read on the present local task set.
    pub(crate) fn new(
        req: hyper::Request<Incoming>,
        answer: oneshot::Sender<Response<AnswerBody>>,
        in_progress: InProgress,
    ) -> Self {
        let (head, body) = req.into_parts();
        Self {
            method: Method::from(head.method.as_str()),
            url: head.uri.to_string(),
            head,
            body: BodyReader::serve(body),
            answer,
            in_progress,
        }
    }

    /// What it asks for.
    #[must_use]
    pub fn method(&self) -> &Method {
        &self.method
    }

    /// The path and the query.
    #[must_use]
    pub fn url(&self) -> &str {
        &self.url
    }

    /// Bytes of the body, if they were announced.
    #[must_use]
    pub fn body_length(&self) -> Option<usize> {
        header(self, "Content-Length")?.parse().ok()
    }

    /// The time by which the body must be read; past it, reading fails.
    pub fn set_read_deadline(&mut self, until: Option<Instant>) {
        self.body.until = until;
    }

    /// The body.
    pub fn as_reader(&mut self) -> &mut dyn Read {
        &mut self.body
    }

    /// Sends an answer. The request stays in progress as long as what is given
    /// back lives.
    pub(crate) fn answer(self, mut answer: Response<AnswerBody>) -> InProgress {
        if !self.body.ended {
            // What is left of the body is not read as the next request.
            let close = HeaderValue::from_static("close");
            answer.headers_mut().insert(CONNECTION, close);
        }
        // A caller that has gone away needs no answer.
        let _ = self.answer.send(answer);
        self.in_progress
    }
}

/// Bounds of a body.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// Most bytes.
    pub bytes: usize,
    /// Longest time to read it.
    pub time: Duration,
}

/// A header's value.
#[must_use]
pub fn header<'a>(req: &'a Request, name: &'static str) -> Option<&'a str> {
    req.head.headers.get(name)?.to_str().ok()
}

/// Reads a body whole.
///
/// # Errors
///
/// Gives the answer for a body that is too large, too slow or cut short.
pub fn read_body(req: &mut Request, limits: BodyLimits) -> Result<Vec<u8>, ApiError> {
    let announced = req.body_length();
    if announced.is_some_and(|length| length > limits.bytes) {
        return Err(too_large(limits.bytes));
    }
    // A caller that trickles its body, or sends half of it and then nothing,
    // must not hold a thread, or a stop, for ever.
    req.set_read_deadline(Some(Instant::now() + limits.time));
    let mut body = Vec::with_capacity(announced.unwrap_or(0).min(limits.bytes));
    let mut piece = vec![0; PIECE];
    let reader = req.as_reader();
    loop {
        let read = reader.read(&mut piece).map_err(|e| body_read_error(&e))?;
        if read == 0 {
            break;
        }
        body.extend_from_slice(&piece[..read]);
        if body.len() > limits.bytes {
            return Err(too_large(limits.bytes));
        }
    }
    Ok(body)
}

/// The answer for a body that cannot be read on.
#[must_use]
pub fn body_read_error(error: &io::Error) -> ApiError {
    if error.kind() == io::ErrorKind::TimedOut {
        return ApiError::new(408, "too_slow", "the body came too slowly");
    }
    ApiError::new(400, "cut_short", "the body ended early")
}

fn too_large(bytes: usize) -> ApiError {
    let message = format!("the body is larger than {bytes} bytes");
    ApiError::new(413, "too_large", message)
}
