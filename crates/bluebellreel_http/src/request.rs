//! Requests and reading them.

use crate::head::{BodyKind, Head, find};
use crate::io::Io;
use crate::writer::ResponseWriter;
use crate::{ApiError, Method};
use chunked_transfer::Decoder;
use std::io::{self, Read};
use std::sync::mpsc::Sender;
use std::time::{Duration, Instant};

/// Bytes read at one time.
const PIECE: usize = 64 << 10;
/// Most bytes of a body that are read for nothing, so that its connection can
/// be kept.
const MOST_SKIPPED: u64 = 64 << 10;

/// A request. One that is dropped unanswered is answered with an error.
pub struct Request {
    head: Head,
    /// None once it is answered.
    body: Option<Body>,
    nothing: io::Empty,
    back: Sender<Io>,
}

/// Where the body is read from.
enum Body {
    Sized { io: Io, left: u64 },
    Chunked { decoder: Decoder<Io>, ended: bool },
}

impl Body {
    fn io(&mut self) -> &mut Io {
        match self {
            Self::Sized { io, .. } => io,
            Self::Chunked { decoder, .. } => decoder.get_mut(),
        }
    }

    /// The connection, and the bytes that are still to come, if that is known.
    fn into_io(self) -> (Io, Option<u64>) {
        match self {
            Self::Sized { io, left } => (io, Some(left)),
            Self::Chunked { decoder, ended } => (decoder.into_inner(), ended.then_some(0)),
        }
    }
}

impl Read for Body {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        match self {
            Self::Sized { left: 0, .. } | Self::Chunked { ended: true, .. } => Ok(0),
            Self::Sized { io, left } => {
                let read = io.take(*left).read(buf)?;
                *left -= u64::try_from(read).unwrap_or(*left);
                Ok(read)
            }
            Self::Chunked { decoder, ended } => {
                let read = decoder.read(buf)?;
                *ended = read == 0 && !buf.is_empty();
                Ok(read)
            }
        }
    }
}

impl Request {
    pub(crate) fn new(head: Head, io: Io, back: Sender<Io>) -> Self {
        let body = match head.body {
            BodyKind::None => Body::Sized { io, left: 0 },
            BodyKind::Sized(length) => Body::Sized {
                io,
                left: u64::try_from(length).unwrap_or(u64::MAX),
            },
            BodyKind::Chunked => Body::Chunked {
                decoder: Decoder::new(io),
                ended: false,
            },
        };
        let mut req = Self {
            head,
            body: Some(body),
            nothing: io::empty(),
            back,
        };
        req.set_read_deadline(None);
        req
    }

    /// What it asks for.
    #[must_use]
    pub fn method(&self) -> &Method {
        &self.head.method
    }

    /// The path and the query.
    #[must_use]
    pub fn url(&self) -> &str {
        &self.head.url
    }

    /// Bytes of the body, if they were announced.
    #[must_use]
    pub fn body_length(&self) -> Option<usize> {
        match self.head.body {
            BodyKind::Sized(length) => Some(length),
            BodyKind::None | BodyKind::Chunked => None,
        }
    }

    /// The time by which the body must be read; past it, reading fails.
    pub fn set_read_deadline(&mut self, until: Option<Instant>) {
        if let Some(body) = &mut self.body {
            body.io().read_until(until);
        }
    }

    /// The body.
    pub fn as_reader(&mut self) -> &mut dyn Read {
        let expects = std::mem::take(&mut self.head.expects);
        let Some(body) = &mut self.body else {
            return &mut self.nothing;
        };
        if expects {
            // A caller that has gone away shows when the body is read.
            body.io().write_all(b"HTTP/1.1 100 Continue\r\n\r\n").ok();
        }
        body
    }

    /// The raw connection, which is closed afterwards.
    #[must_use]
    pub fn into_writer(mut self) -> ResponseWriter {
        let mut io = self.take_io();
        if let Some(io) = &mut io {
            io.keep = false;
        }
        ResponseWriter::new(io, self.back.clone())
    }

    /// The connection, and whether another request may follow on it.
    fn take_io(&mut self) -> Option<Io> {
        let (mut io, left) = self.body.take()?.into_io();
        // Whoever waits for a word may or may not send the body.
        let skip = left.filter(|left| *left == 0 || !self.head.expects && *left <= MOST_SKIPPED);
        io.skip = skip.unwrap_or(0);
        io.keep = skip.is_some() && self.head.keeps && io.server_keeps();
        Some(io)
    }

    /// Sends a whole answer; `head` is its status line and headers but those
    /// that tell the length and what becomes of the connection.
    pub(crate) fn answer(&mut self, head: &str, body: &[u8]) {
        let Some(mut io) = self.take_io() else {
            return;
        };
        let close = if io.keep { "" } else { "Connection: close\r\n" };
        let length = body.len();
        let head = format!("{head}Content-Length: {length}\r\n{close}\r\n");
        let mut bytes = head.into_bytes();
        if self.head.method != Method::Head {
            bytes.extend_from_slice(body);
        }
        io.keep &= io.write_all(&bytes).is_ok();
        io.note_answered();
        self.back.send(io).ok();
    }
}

impl Drop for Request {
    fn drop(&mut self) {
        self.answer("HTTP/1.1 500 Internal Server Error\r\n", b"");
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
    find(&req.head.headers, name)
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
        let read = reader.read(&mut piece).map_err(|e| unread(&e))?;
        if read == 0 {
            break;
        }
        body.extend_from_slice(&piece[..read]);
        if body.len() > limits.bytes {
            return Err(too_large(limits.bytes));
        }
    }
    if announced.is_some_and(|length| length != body.len()) {
        return Err(cut_short());
    }
    Ok(body)
}

/// The answer for a body that cannot be read on.
#[must_use]
pub fn unread(error: &io::Error) -> ApiError {
    if error.kind() == io::ErrorKind::TimedOut {
        return ApiError::new(408, "too_slow", "the body came too slowly");
    }
    cut_short()
}

fn too_large(bytes: usize) -> ApiError {
    let message = format!("the body is larger than {bytes} bytes");
    ApiError::new(413, "too_large", message)
}

fn cut_short() -> ApiError {
    ApiError::new(400, "cut_short", "the body ended early")
}
