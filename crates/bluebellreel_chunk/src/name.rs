//! Names of disks, volumes and upload folders.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// The id of a disk, generated once and stored on the disk. A VM that returns with
/// an empty disk therefore counts as a different holder.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct DiskId(pub Arc<str>);

impl fmt::Display for DiskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A volume's number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct VolumeId(pub u32);

impl fmt::Display for VolumeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:04}", self.0)
    }
}

/// The folder for the chunks of one upload in a volume.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ChunkFolder {
    /// The volume.
    pub volume: VolumeId,
    /// The job.
    pub job: Arc<str>,
    /// The upload of the job's body.
    pub upload: Arc<str>,
}

impl ChunkFolder {
    /// The folder of an upload.
    #[must_use]
    pub fn new(volume: VolumeId, job: &str, upload: &str) -> Self {
        Self {
            volume,
            job: Arc::from(job),
            upload: Arc::from(upload),
        }
    }

    /// The folder's path below a disk's root; none if the names could lead out of
    /// the root.
    #[must_use]
    pub fn path_in(&self, root: &Path) -> Option<PathBuf> {
        let plain = is_safe_segment(&self.job) && is_safe_segment(&self.upload);
        plain.then(|| {
            root.join(self.volume.to_string())
                .join(&*self.job)
                .join(&*self.upload)
        })
    }
}

/// Whether a name is a single path segment that is not hidden.
pub(crate) fn is_safe_segment(name: &str) -> bool {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    !name.is_empty() && name.len() <= 128 && name.bytes().all(plain)
}
