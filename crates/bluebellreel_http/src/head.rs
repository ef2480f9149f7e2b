//! Reading a request's head.

use crate::io::Io;
use crate::{ApiError, Method};
use std::io;

/// Bytes of a whole head.
const MOST_HEAD_BYTES: usize = 32 << 10;
/// Headers of one request.
const MOST_HEADERS: usize = 128;

/// What a request says before its body.
#[derive(Debug)]
pub(crate) struct Head {
    pub(crate) method: Method,
    pub(crate) url: String,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: BodyKind,
    /// Whether the caller may send another request on this connection.
    pub(crate) keeps: bool,
    /// Whether the caller waits for a word before it sends the body.
    pub(crate) expects: bool,
}

/// How a body's end is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyKind {
    None,
    Sized(usize),
    Chunked,
}

/// Reads a head; none when the caller closed the connection before it.
pub(crate) fn read_head(io: &mut Io) -> Result<Option<Head>, ApiError> {
    let mut text = Vec::new();
    loop {
        let most = MOST_HEAD_BYTES + 1 - text.len();
        let read = io.read_line(&mut text, u64::try_from(most).unwrap_or(u64::MAX));
        match read {
            Ok(0) if text.is_empty() => return Ok(None),
            Ok(0) => return Err(ApiError::new(400, "cut_short", "the head ended early")),
            Ok(_) => {}
            Err(e) if e.kind() == io::ErrorKind::TimedOut => {
                return Err(ApiError::new(408, "too_slow", "the head came too slowly"));
            }
            // Nobody is there to be told.
            Err(_) => return Ok(None),
        }
        if text.len() > MOST_HEAD_BYTES {
            return Err(too_large());
        }
        if text == b"\r\n" || text == b"\n" {
            text.clear();
        } else if text.ends_with(b"\n\r\n") || text.ends_with(b"\n\n") {
            return parse(&text).map(Some);
        }
    }
}

fn too_large() -> ApiError {
    ApiError::new(431, "headers_too_large", "too many headers")
}

fn bad(reason: impl Into<String>) -> ApiError {
    ApiError::new(400, "bad_request", reason)
}

fn parse(text: &[u8]) -> Result<Head, ApiError> {
    let mut fields = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut parsed = httparse::Request::new(&mut fields);
    match parsed.parse(text) {
        Ok(httparse::Status::Complete(_)) => {}
        Ok(httparse::Status::Partial) => return Err(bad("the head is not whole")),
        Err(httparse::Error::TooManyHeaders) => return Err(too_large()),
        Err(e) => return Err(bad(e.to_string())),
    }
    let headers: Vec<(String, String)> = parsed
        .headers
        .iter()
        .map(|h| (h.name.to_owned(), String::from_utf8_lossy(h.value).into()))
        .collect();
    let connection = find(&headers, "Connection").unwrap_or("").to_lowercase();
    let keeps = match parsed.version {
        Some(0) => connection.contains("keep-alive"),
        _ => !connection.contains("close"),
    };
    let expects = find(&headers, "Expect").is_some_and(|v| v.eq_ignore_ascii_case("100-continue"));
    Ok(Head {
        method: Method::from(parsed.method.unwrap_or("")),
        url: parsed.path.unwrap_or("").to_owned(),
        body: body_kind(&headers)?,
        keeps,
        expects,
        headers,
    })
}

/// A header's value.
pub(crate) fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let mut named = headers
        .iter()
        .filter(|(key, _)| key.eq_ignore_ascii_case(name));
    named.next().map(|(_, value)| value.as_str())
}

/// A body whose end can be read in two ways is refused: whoever stands before
/// this server may read it in the other one and take its rest for a request.
fn body_kind(headers: &[(String, String)]) -> Result<BodyKind, ApiError> {
    let mut lengths = headers
        .iter()
        .filter(|(key, _)| key.eq_ignore_ascii_case("Content-Length"))
        .map(|(_, value)| value.as_str());
    let length = lengths.next();
    if lengths.any(|other| Some(other) != length) {
        return Err(bad("two lengths of the body"));
    }
    match (find(headers, "Transfer-Encoding"), length) {
        (None, None) => Ok(BodyKind::None),
        (None, Some(length)) if length.bytes().all(|byte| byte.is_ascii_digit()) => {
            let length = length.parse().map_err(|_| bad("bad length of the body"))?;
            Ok(BodyKind::Sized(length))
        }
        (Some(encoding), None) if encoding.eq_ignore_ascii_case("chunked") => Ok(BodyKind::Chunked),
        _ => Err(bad("bad length of the body")),
    }
}
