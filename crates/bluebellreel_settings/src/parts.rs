//! Settings that both programs share.

use crate::SettingsError;
use serde::Deserialize;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

/// Levels of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Only what needs a person.
    Error,
    /// What may come to need one.
    Warn,
    /// Changes of state.
    #[default]
    Info,
    /// Every decision.
    Debug,
}

/// Where log lines go.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogTarget {
    /// The least level written.
    #[serde(default)]
    pub level: LogLevel,
    /// A file, instead of standard error.
    pub file: Option<PathBuf>,
}

/// Where spans go: a file, an OTLP collector or, when neither is given,
/// nowhere.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceTarget {
    /// A file for OTLP JSON, one message a line.
    pub file: Option<PathBuf>,
    /// A collector's URL for OTLP JSON.
    pub otlp: Option<String>,
}

/// Settings of one file while they are checked.
pub(crate) struct Check<'a> {
    pub(crate) file: &'a str,
}

impl Check<'_> {
    pub(crate) fn fail(&self, key: &str, reason: impl Into<String>) -> SettingsError {
        SettingsError::new(self.file, key, reason)
    }

    pub(crate) fn name(&self, key: &str, value: &str) -> Result<(), SettingsError> {
        let plain = |c: char| c.is_alphanumeric() || "-_.".contains(c);
        if value.is_empty() || !value.chars().all(plain) {
            return Err(self.fail(key, "must be letters, digits, '-', '_' and '.' only"));
        }
        Ok(())
    }

    pub(crate) fn listen(&self, key: &str, value: &str) -> Result<SocketAddr, SettingsError> {
        let address: SocketAddr = value
            .parse()
            .map_err(|_| self.fail(key, format!("{value:?} is not IP:PORT")))?;
        Ok(address)
    }

    pub(crate) fn peer(&self, key: &str, value: &str) -> Result<SocketAddr, SettingsError> {
        let address = self.listen(key, value)?;
        let unspecified = matches!(address.ip(), IpAddr::V4(ip) if ip.is_unspecified());
        if unspecified || address.port() == 0 {
            return Err(self.fail(key, "must name an address and a port"));
        }
        Ok(address)
    }

    pub(crate) fn url(&self, key: &str, value: &str) -> Result<String, SettingsError> {
        let Some(rest) = value.strip_prefix("http://") else {
            return Err(self.fail(key, "must start with http://"));
        };
        self.peer(key, rest.trim_end_matches('/'))?;
        Ok(value.trim_end_matches('/').to_owned())
    }

    pub(crate) fn at_least<T: Copy + PartialOrd + std::fmt::Display>(
        &self,
        key: &str,
        value: T,
        least: T,
    ) -> Result<T, SettingsError> {
        if value < least {
            return Err(self.fail(key, format!("must be at least {least}")));
        }
        Ok(value)
    }
}
