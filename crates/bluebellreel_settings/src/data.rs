//! Settings of the disks for chunks.

use crate::SettingsError;
use crate::parts::Check;
use serde::Deserialize;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

/// Shortest token that peers know each other by.
const SHORTEST_TOKEN: usize = 16;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawData {
    peer_token: String,
    folder: Option<PathBuf>,
    #[serde(default = "default_mb")]
    max_mb: u64,
    #[serde(default = "default_kv_kb")]
    kv_below_kb: usize,
    #[serde(default = "default_patience")]
    patience_s: u64,
}

fn default_mb() -> u64 {
    4_096
}

fn default_kv_kb() -> usize {
    4
}

fn default_patience() -> u64 {
    60
}

/// Where chunks of large jobs go. All daemons of a site have these settings;
/// `folder` only those with a disk.
#[derive(Clone, Debug)]
pub struct DataSettings {
    /// The token that daemons know each other by.
    pub peer_token: Arc<str>,
    /// This VM's folder for chunks, if it has a disk.
    pub folder: Option<PathBuf>,
    /// Bytes of chunks in it at the most.
    pub bytes: u64,
    /// Chunks with fewer bytes stay in the key-value service.
    pub kv_threshold: usize,
    /// How long a holder may be gone before its volumes are copied elsewhere.
    pub recopy_delay: Duration,
}

pub(crate) fn check_data(check: &Check<'_>, raw: RawData) -> Result<DataSettings, SettingsError> {
    if raw.peer_token.len() < SHORTEST_TOKEN {
        let reason = format!("must be at least {SHORTEST_TOKEN} characters");
        return Err(check.fail("data.peer_token", reason));
    }
    Ok(DataSettings {
        peer_token: Arc::from(raw.peer_token),
        folder: raw.folder,
        bytes: check.at_least("data.max_mb", raw.max_mb, 1)? << 20,
        kv_threshold: raw.kv_below_kb << 10,
        recopy_delay: Duration::from_secs(raw.patience_s),
    })
}
