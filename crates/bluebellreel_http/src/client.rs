//! Interpretation of failed HTTP calls, and limits of what is read of their responses.

use std::io::{self, BufRead, Read};

/// Whether a call failed before anything was sent, so that it certainly did not
/// run. After any other failure it is unknown whether the call ran.
#[must_use]
pub fn is_unsent(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::HostNotFound
        | ureq::Error::ConnectionFailed
        | ureq::Error::Timeout(ureq::Timeout::Connect) => true,
        ureq::Error::Io(e) => e.kind() == io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}

/// Reads a line without its end; `None` at the end of the response.
///
/// # Errors
///
/// Fails if the line is longer than `limit` bytes, is not valid text, or cannot be read.
pub fn read_line(reader: &mut impl BufRead, limit: usize) -> io::Result<Option<String>> {
    let mut line = String::new();
    // One byte more, so that a line of exactly this length still has its end.
    let mut limited = reader.take(limit as u64 + 1);
    if limited.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    if line.ends_with('\n') {
        line.pop();
        if line.ends_with('\r') {
            line.pop();
        }
    } else if line.len() > limit {
        let reason = format!("a line is longer than {limit} bytes");
        return Err(io::Error::new(io::ErrorKind::InvalidData, reason));
    }
    Ok(Some(line))
}
