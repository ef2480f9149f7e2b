//! Settings that all programs on the users' platform share.

use crate::SettingsError;
use bluebellreel_types::{DataCentre, EntryName};
use serde::Deserialize;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::time::Duration;

/// The VM that a program runs on.
#[derive(Deserialize)]
pub(crate) struct RawVm {
    pub(crate) name: String,
    pub(crate) address: IpAddr,
    pub(crate) data_centre: String,
}

/// Gateways to contact at the start.
#[derive(Default, Deserialize)]
pub(crate) struct RawPeers {
    #[serde(default)]
    pub(crate) seeds: Vec<SocketAddr>,
}

impl RawVm {
    /// The VM's name and data centre.
    pub(crate) fn checked(&self, file: &str) -> Result<(EntryName, DataCentre), SettingsError> {
        if self.name.is_empty() {
            return Err(SettingsError::new(file, "vm.name", "must not be empty"));
        }
        let name = EntryName::from(self.name.as_str());
        let data_centre = DataCentre::from(self.data_centre.as_str());
        Ok((name, data_centre))
    }
}

/// How a program stops.
#[derive(Deserialize)]
pub(crate) struct RawStop {
    grace_s: f64,
}

/// Default of `grace_s`: half of what service managers usually allow.
const DEFAULT_GRACE_S: f64 = 5.0;
/// Minimum of `grace_s`: enough for a request to end and for a last write to the disk.
const MIN_GRACE_S: f64 = 1.0;
/// Limit on `grace_s`: an hour, longer than any service manager allows.
const MAX_GRACE_S: f64 = 3600.0;

impl Default for RawStop {
    fn default() -> Self {
        Self {
            grace_s: DEFAULT_GRACE_S,
        }
    }
}

impl RawStop {
    /// Time from SIGTERM until the process is killed.
    pub(crate) fn checked(&self, file: &str) -> Result<Duration, SettingsError> {
        if !(MIN_GRACE_S..=MAX_GRACE_S).contains(&self.grace_s) {
            let reason = "must be from 1 to 3600";
            return Err(SettingsError::new(file, "stop.grace_s", reason));
        }
        Ok(Duration::from_secs_f64(self.grace_s))
    }
}

/// Reads a settings file and passes its name and text to `parse`.
pub(crate) fn load<T>(
    path: &Path,
    parse: impl Fn(&str, &str) -> Result<T, SettingsError>,
) -> Result<T, SettingsError> {
    let file = path.display().to_string();
    let text =
        std::fs::read_to_string(path).map_err(|e| SettingsError::new(&file, "", e.to_string()))?;
    parse(&file, &text)
}
