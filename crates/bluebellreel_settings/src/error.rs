//! Errors of settings files.

use std::fmt;

/// An error in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The file's name.
    pub file: String,
    /// The key with the wrong value; empty for syntax errors.
    pub key: String,
    /// What is wrong.
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
