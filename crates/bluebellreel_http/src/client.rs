//! Interpretation of failed HTTP calls.

use std::io;

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
