//! Backups of the progress of job items, for the daemon that takes a job over.
//!
//! The bytes are in the format of the job's owner; a keeper does not decode them.

use crate::SnapshotError;
use bluebellreel_types::{JobId, Moment};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Backup {
    expires_at: Moment,
    progress: Vec<u8>,
}

/// Progress of jobs. Each backup has an expiry time, and all backups together are
/// limited in bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProgressBackups {
    jobs: BTreeMap<JobId, Backup>,
    bytes: usize,
    limit: usize,
}

impl ProgressBackups {
    /// Creates an empty collection that holds at most `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            jobs: BTreeMap::new(),
            bytes: 0,
            limit,
        }
    }

    /// Replaces the backup of a job's progress. A backup that exceeds the limit is
    /// dropped; the items then restart from the beginning, which is correct but slower.
    pub fn keep(&mut self, id: JobId, progress: Vec<u8>, expires_at: Moment) {
        if let Some(before) = self.jobs.remove(&id) {
            self.bytes -= before.progress.len();
        }
        if self.bytes + progress.len() > self.limit {
            return;
        }
        self.bytes += progress.len();
        self.jobs.insert(
            id,
            Backup {
                expires_at,
                progress,
            },
        );
    }

    /// The backup of a job's progress.
    #[must_use]
    pub fn get(&self, id: &JobId) -> Option<&[u8]> {
        self.jobs.get(id).map(|backup| backup.progress.as_slice())
    }

    /// Evicts expired backups. Returns whether there were any.
    pub fn sweep(&mut self, now: Moment) -> bool {
        let before = self.jobs.len();
        self.jobs
            .retain(|_, backup| !backup.expires_at.is_past(now));
        self.bytes = self.jobs.values().map(|k| k.progress.len()).sum();
        self.jobs.len() != before
    }

    /// Bytes held.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Encodes all backups for the disk.
    ///
    /// # Panics
    ///
    /// Never: backups always serialize to postcard.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(&self.jobs).expect("backups serialize to postcard")
    }

    /// Adds the backups that were written to the disk. Backups that exceed the limit
    /// are dropped.
    ///
    /// # Errors
    ///
    /// Returns the decoding error if the bytes are not encoded backups.
    pub fn read(&mut self, bytes: &[u8]) -> Result<(), SnapshotError> {
        let jobs: BTreeMap<JobId, Backup> =
            postcard::from_bytes(bytes).map_err(|e| SnapshotError::from(e.to_string()))?;
        for (id, backup) in jobs {
            self.keep(id, backup.progress, backup.expires_at);
        }
        Ok(())
    }
}
