//! Settings of a keeper of snapshots.

use crate::SettingsError;
use crate::vm::{self, RawPeers, RawVm};
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

#[derive(Deserialize)]
struct RawStop {
    grace_s: f64,
}

impl Default for RawStop {
    fn default() -> Self {
        Self {
            grace_s: USUAL_GRACE_S,
        }
    }
}

/// Time to stop where the settings name none: half of what service managers
/// usually give.
const USUAL_GRACE_S: f64 = 5.0;
/// Shortest stop in which a disk can be written once more.
const LEAST_GRACE_S: f64 = 1.0;
/// Longest: an hour, beyond any service manager's.
const LONGEST_GRACE_S: f64 = 3600.0;

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
    if !(LEAST_GRACE_S..=LONGEST_GRACE_S).contains(&raw.stop.grace_s) {
        let reason = "must be from 1 to 3600";
        return Err(SettingsError::new(file, "stop.grace_s", reason));
    }
    Ok(KeeperSettings {
        name,
        data_centre,
        calls: SocketAddr::new(raw.vm.address, raw.listen.calls_port),
        folder: raw.data.folder,
        seeds: raw.peers.seeds,
        grace: Duration::from_secs_f64(raw.stop.grace_s),
    })
}
