//! Settings of the disks that store chunks of large jobs.

use crate::SettingsError;
use crate::parts::Check;
use serde::Deserialize;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

/// Minimum length of the token by which daemons authenticate each other.
const MIN_TOKEN_LENGTH: usize = 16;

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

/// Where chunks of large jobs are stored. All daemons of a site have these settings,
/// but only those with a disk have a `folder`.
#[derive(Clone, Debug)]
pub struct DataSettings {
    /// The token by which daemons authenticate each other.
    pub peer_token: Arc<str>,
    /// This VM's folder for chunks, if it has a disk.
    pub folder: Option<PathBuf>,
    /// Limit on the bytes of chunks in the folder.
    pub bytes: u64,
    /// Chunks with fewer bytes are stored in the key-value service instead.
    pub kv_threshold: usize,
    /// How long a disk may be missing before its volumes are copied to another one.
    pub recopy_delay: Duration,
}

pub(crate) fn check_data(check: &Check<'_>, raw: RawData) -> Result<DataSettings, SettingsError> {
    if raw.peer_token.len() < MIN_TOKEN_LENGTH {
        let reason = format!("must be at least {MIN_TOKEN_LENGTH} characters");
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
