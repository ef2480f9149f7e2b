//! What is wrong with a settings file.

use std::fmt;

/// One error: file, key and reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The file.
    pub file: String,
    /// The key, empty for errors of syntax.
    pub key: String,
    /// The reason.
    pub reason: String,
}

impl SettingsError {
    pub(crate) fn new(file: &str, key: &str, reason: impl Into<String>) -> Self {
        Self {
            file: file.to_owned(),
            key: key.to_owned(),
            reason: reason.into(),
        }
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let reason = self.reason.trim().replace('\n', " ");
        if self.key.is_empty() {
            write!(f, "{}: {reason}", self.file)
        } else {
            write!(f, "{}: {}: {reason}", self.file, self.key)
        }
    }
}

impl std::error::Error for SettingsError {}
