//! Reading requests.

use crate::ApiError;
use std::time::{Duration, Instant};
use tiny_http::Request;

/// Bytes read at one time.
const PIECE: usize = 64 << 10;

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
    req.headers()
        .iter()
        .find(|h| h.field.equiv(name))
        .map(|h| h.value.as_str())
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
    let until = Instant::now() + limits.time;
    let mut body = Vec::with_capacity(announced.unwrap_or(0).min(limits.bytes));
    let mut piece = vec![0; PIECE];
    let reader = req.as_reader();
    loop {
        let read = reader.read(&mut piece).map_err(|_| cut_short())?;
        if read == 0 {
            break;
        }
        body.extend_from_slice(&piece[..read]);
        if body.len() > limits.bytes {
            return Err(too_large(limits.bytes));
        }
        // A caller that trickles its body must not hold a thread for ever.
        if Instant::now() >= until {
            return Err(ApiError::new(408, "too_slow", "the body came too slowly"));
        }
    }
    if announced.is_some_and(|length| length != body.len()) {
        return Err(cut_short());
    }
    Ok(body)
}

fn too_large(bytes: usize) -> ApiError {
    let message = format!("the body is larger than {bytes} bytes");
    ApiError::new(413, "too_large", message)
}

fn cut_short() -> ApiError {
    ApiError::new(400, "cut_short", "the body ended early")
}
