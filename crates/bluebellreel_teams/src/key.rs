//! Digests of API keys. Keys themselves are never kept.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;

/// SHA-256 of an API key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyDigest([u8; 32]);

/// A text that is not a digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidDigest;

impl fmt::Display for InvalidDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("expected 64 hexadecimal digits")
    }
}

impl std::error::Error for InvalidDigest {}

impl KeyDigest {
    /// The digest of a key.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

impl TryFrom<String> for KeyDigest {
    type Error = InvalidDigest;

    fn try_from(text: String) -> Result<Self, InvalidDigest> {
        let mut digest = [0; 32];
        hex::decode_to_slice(text, &mut digest).map_err(|_| InvalidDigest)?;
        Ok(Self(digest))
    }
}

impl From<KeyDigest> for String {
    fn from(digest: KeyDigest) -> Self {
        hex::encode(digest.0)
    }
}
