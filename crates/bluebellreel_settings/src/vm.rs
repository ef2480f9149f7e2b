//! What the settings of all programs on the users' platform share.

use crate::SettingsError;
use bluebellreel_types::{DataCentre, EntryName};
use serde::Deserialize;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;

/// The VM that a program runs on.
#[derive(Deserialize)]
pub(crate) struct RawVm {
    pub(crate) name: String,
    pub(crate) address: IpAddr,
    pub(crate) data_centre: String,
}

/// Gateways to begin with.
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
        let place = DataCentre::from(self.data_centre.as_str());
        Ok((name, place))
    }
}

/// Reads a settings file; `parse` gets its name and text.
pub(crate) fn load<T>(
    path: &Path,
    parse: impl Fn(&str, &str) -> Result<T, SettingsError>,
) -> Result<T, SettingsError> {
    let file = path.display().to_string();
    let text =
        std::fs::read_to_string(path).map_err(|e| SettingsError::new(&file, "", e.to_string()))?;
    parse(&file, &text)
}
