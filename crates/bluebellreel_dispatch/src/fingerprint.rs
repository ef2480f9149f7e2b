//! Recognises repeated attempts of the same request.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;

/// A hash of a request's content, independent of the attempt and of the daemon that
/// receives it.
///
/// Each attempt has an id of its own, so ids cannot identify the request. The hash is
/// cryptographic, so that nobody can craft a request that is taken for another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub [u8; 8]);

impl Fingerprint {
    /// The fingerprint of a request with these parts, in this order.
    #[must_use]
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hash = Sha256::new();
        for part in parts {
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        let mut short = [0; 8];
        for (to, from) in short.iter_mut().zip(hash.finalize()) {
            *to = from;
        }
        Self(short)
    }
}

/// The text is not a fingerprint of 16 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidFingerprint;

impl TryFrom<&str> for Fingerprint {
    type Error = InvalidFingerprint;

    fn try_from(text: &str) -> Result<Self, InvalidFingerprint> {
        let is_hex = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
        let number = is_hex.then(|| u64::from_str_radix(text, 16).ok()).flatten();
        number
            .map(|n| Self(n.to_be_bytes()))
            .ok_or(InvalidFingerprint)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
