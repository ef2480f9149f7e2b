//! What a failed call tells.

use std::io;

/// Whether a call failed before anything was sent, so that it surely did not
/// run. All other failures leave it open.
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
