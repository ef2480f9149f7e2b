//! Settings that the entry daemon and the side process share.

use crate::SettingsError;
use serde::Deserialize;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

/// Levels of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Only errors that need an operator.
    Error,
    /// Also problems that may need an operator later.
    Warn,
    /// Also changes of state.
    #[default]
    Info,
    /// Also each decision.
    Debug,
}

/// Level and destination of log lines.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogTarget {
    /// The lowest level that is written.
    #[serde(default)]
    pub level: LogLevel,
    /// The file to write to instead of standard error.
    pub file: Option<PathBuf>,
}

/// Destination of spans: a file or an OTLP collector. Without either, spans are
/// dropped.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceTarget {
    /// A file for OTLP JSON, one message per line.
    pub file: Option<PathBuf>,
    /// A collector's URL for OTLP JSON.
    pub otlp: Option<String>,
}

/// Validates the settings of one file.
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
        min: T,
    ) -> Result<T, SettingsError> {
        if value < min {
            return Err(self.fail(key, format!("must be at least {min}")));
        }
        Ok(value)
    }
}
