//! Settings of a keeper, which stores snapshots for gateways.

use crate::machine::RawMachine;
use crate::vm::{self, RawPeers, RawStop, RawVm};
use crate::{Machine, SettingsError};
use bluebellreel_types::{DataCentre, EntryName};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Checked settings of a keeper.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeeperSettings {
    /// The keeper's name, unique in the fleet.
    pub name: EntryName,
    /// The data centre that the keeper runs in.
    pub data_centre: DataCentre,
    /// The address for calls of gateways.
    pub calls: SocketAddr,
    /// The folder that the keeper writes to.
    pub folder: PathBuf,
    /// Gateways to contact at the start. The list may be stale, and the gateways may be
    /// down.
    pub seeds: Vec<SocketAddr>,
    /// Time from SIGTERM until the process is killed.
    pub grace: Duration,
    /// The machine that the keeper runs on.
    pub machine: Machine,
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
    #[serde(default)]
    machine: RawMachine,
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
/// Returns an error that names the file, the key and what is wrong.
pub fn load_keeper(path: &Path) -> Result<KeeperSettings, SettingsError> {
    vm::load(path, parse_keeper)
}

/// Checks the text of a keeper's settings; `file` names it in errors.
///
/// # Errors
///
/// Returns an error that names the file, the key and what is wrong.
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
        machine: raw.machine.checked(file)?,
    })
}
