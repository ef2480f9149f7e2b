//! Keys and stored values.

use std::fmt;
use std::sync::Arc;

/// A key of the key-value service.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub Arc<str>);

impl Key {
    /// The key as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// The first key after all keys that start with this one.
    #[must_use]
    pub fn prefix_end(&self) -> Vec<u8> {
        let mut end = self.0.as_bytes().to_vec();
        while let Some(last) = end.pop() {
            if last < u8::MAX {
                end.push(last + 1);
                return end;
            }
        }
        vec![0]
    }
}

impl From<&str> for Key {
    fn from(text: &str) -> Self {
        Self(Arc::from(text))
    }
}

impl From<String> for Key {
    fn from(text: String) -> Self {
        Self(Arc::from(text))
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A stored value, with its write id removed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyValue {
    /// The key.
    pub key: Key,
    /// Revision of the key's last change; zero for a key that does not exist.
    pub revision: i64,
    /// Id of the write that stored the value.
    pub writer: String,
    /// The value.
    pub value: Vec<u8>,
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn prefix_ends_after_its_keys() {
        assert_eq!(Key::from("job/").prefix_end(), b"job0");
        assert!(b"job/zzz".to_vec() < Key::from("job/").prefix_end());
    }
}
