//! Settings of the side process.

use crate::machine::RawMachine;
use crate::parts::Check;
use crate::{LogTarget, Machine, SettingsError, TraceTarget};
use bluebellreel_types::{DataCentre, ModelName, WorkerName};
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

/// Which measure the deployment gives priority to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum SidePriority {
    /// Batch throughput.
    #[default]
    Throughput,
    /// Tail latency of online requests.
    Tail,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawSide {
    worker: String,
    data_centre: String,
    listen: String,
    metrics: Option<String>,
    backend: RawBackend,
    #[serde(default)]
    limits: RawLimits,
    #[serde(default)]
    lean: SidePriority,
    #[serde(default)]
    machine: RawMachine,
    #[serde(default = "default_stop")]
    stop_s: u64,
    #[serde(default)]
    log: LogTarget,
    #[serde(default)]
    trace: TraceTarget,
}

fn default_stop() -> u64 {
    30
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawBackend {
    url: String,
    service: Option<String>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawLimits {
    window: u32,
    queue_count: usize,
    queue_bytes: usize,
    inter_token_ms: u64,
}

impl Default for RawLimits {
    fn default() -> Self {
        Self {
            window: 32,
            queue_count: 256,
            queue_bytes: 8 << 20,
            inter_token_ms: 34,
        }
    }
}

/// Checked settings of a side process.
#[derive(Clone, Debug)]
pub struct SideSettings {
    /// The worker that the side process runs next to.
    pub worker: WorkerName,
    /// The data centre that the side process runs in.
    pub data_centre: DataCentre,
    /// The address on which the side process serves entry daemons.
    pub listen: SocketAddr,
    /// The address on which metrics and health are served, if any.
    pub metrics: Option<SocketAddr>,
    /// URL of the backend server.
    pub backend: String,
    /// Name of the service if the backend server is a plain HTTP service; `None` for a
    /// model engine.
    pub service: Option<ModelName>,
    /// Limit on the concurrent attempts at the backend server.
    pub window: u32,
    /// Limit on the queued online attempts.
    pub queue_count: usize,
    /// Limit on the bytes of the queued online attempts.
    pub queue_bytes: usize,
    /// Target for the time between two tokens of an online stream.
    pub inter_token_target: Duration,
    /// The machine that the side process runs on.
    pub machine: Machine,
    /// Which measure has priority.
    pub priority: SidePriority,
    /// Limit on the graceful stop.
    pub stop: Duration,
    /// Destination of log lines.
    pub log: LogTarget,
    /// Destination of spans.
    pub trace: TraceTarget,
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// Returns the first error, with file, key and reason.
pub fn load_side(path: &str) -> Result<SideSettings, SettingsError> {
    let text =
        std::fs::read_to_string(path).map_err(|e| SettingsError::new(path, "", e.to_string()))?;
    parse_side(path, &text)
}

/// Checks settings given as text; `file` names them in errors.
///
/// # Errors
///
/// Returns the first error, with file, key and reason.
pub fn parse_side(file: &str, text: &str) -> Result<SideSettings, SettingsError> {
    let raw: RawSide =
        toml::from_str(text).map_err(|e| SettingsError::new(file, "", e.message()))?;
    let check = Check { file };
    SideSettings::try_from((&check, raw))
}

impl TryFrom<(&Check<'_>, RawSide)> for SideSettings {
    type Error = SettingsError;

    fn try_from((check, raw): (&Check<'_>, RawSide)) -> Result<Self, SettingsError> {
        check.name("worker", &raw.worker)?;
        check.name("data_centre", &raw.data_centre)?;
        if let Some(service) = &raw.backend.service {
            check.name("backend.service", service)?;
        }
        let metrics = raw.metrics.as_deref();
        let metrics = metrics.map(|m| check.listen("metrics", m)).transpose()?;
        let limits = raw.limits;
        Ok(Self {
            worker: WorkerName::from(raw.worker),
            data_centre: DataCentre::from(raw.data_centre),
            listen: check.listen("listen", &raw.listen)?,
            metrics,
            backend: check.url("backend.url", &raw.backend.url)?,
            service: raw.backend.service.map(ModelName::from),
            window: check.at_least("limits.window", limits.window, 1)?,
            queue_count: check.at_least("limits.queue_count", limits.queue_count, 1)?,
            queue_bytes: check.at_least("limits.queue_bytes", limits.queue_bytes, 1_024)?,
            inter_token_target: Duration::from_millis(check.at_least(
                "limits.inter_token_ms",
                limits.inter_token_ms,
                1,
            )?),
            machine: raw.machine.checked(check.file)?,
            priority: raw.lean,
            stop: Duration::from_secs(check.at_least("stop_s", raw.stop_s, 1)?),
            log: raw.log,
            trace: raw.trace,
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn bad_backend_is_named() {
        let text = r#"
            worker = "w1"
            data_centre = "Bilbao"
            listen = "127.0.0.1:0"
            [backend]
            url = "ftp://x"
        "#;
        let error = parse_side("s.toml", text).unwrap_err().to_string();
        assert_eq!(error, "s.toml: backend.url: must start with http://");
    }
}
