//! Settings of a keeper of snapshots.

use crate::SettingsError;
use crate::vm::{self, RawPeers, RawStop, RawVm};
use bluebellreel_types::{DataCentre, EntryName};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Checked settings of a keeper.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeeperSettings {
    /// Its name, unique in the fleet.
    pub name: EntryName,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Where gateways call it.
    pub calls: SocketAddr,
    /// Folder that it writes to.
    pub folder: PathBuf,
    /// Gateways to begin with; they may be stale or down.
    pub seeds: Vec<SocketAddr>,
    /// Time from SIGTERM until the process is killed.
    pub grace: Duration,
}

#[derive(Deserialize)]
struct Raw {
    vm: RawVm,
    listen: RawListen,
    data: RawData,
    #[serde(default)]
    peers: RawPeers,
    #[serde(default)]
    stop: RawStop,
}

#[derive(Deserialize)]
struct RawListen {
    calls_port: u16,
}

#[derive(Deserialize)]
struct RawData {
    folder: PathBuf,
}

/// Reads and checks the settings file of a keeper.
///
/// # Errors
///
/// Names the file, the key and what is wrong.
pub fn load_keeper(path: &Path) -> Result<KeeperSettings, SettingsError> {
    vm::load(path, parse_keeper)
}

/// Checks the text of a keeper's settings; `file` names it in errors.
///
/// # Errors
///
/// Names the file, the key and what is wrong.
pub fn parse_keeper(file: &str, text: &str) -> Result<KeeperSettings, SettingsError> {
    let raw: Raw = toml::from_str(text).map_err(|e| SettingsError::new(file, "", e.to_string()))?;
    let (name, data_centre) = raw.vm.checked(file)?;
    if !raw.data.folder.is_absolute() {
        let reason = "must be an absolute path";
        return Err(SettingsError::new(file, "data.folder", reason));
    }
    let grace = raw.stop.checked(file)?;
    Ok(KeeperSettings {
        name,
        data_centre,
        calls: SocketAddr::new(raw.vm.address, raw.listen.calls_port),
        folder: raw.data.folder,
        seeds: raw.peers.seeds,
        grace,
    })
}
