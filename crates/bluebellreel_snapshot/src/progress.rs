//! Backups of the progress of job items and of the counts of those that have failed, for the
//! daemon that takes a job over.
//!
//! The bytes are in the format of the job's owner; a keeper does not decode them. Counts begin
//! with their [`CountsOrder`], as older ones must not replace newer ones.

use crate::SnapshotError;
use bluebellreel_types::{JobId, Moment};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Backup {
    expires_at: Moment,
    progress: Vec<u8>,
}

/// The order of the copies of a job's counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CountsOrder {
    /// Revision of the job's record, which increases with each change of its owner.
    pub record: i64,
    /// Number of the copy among those of this owner.
    pub number: u64,
}

impl CountsOrder {
    /// Reads the order at the begin of a copy. Also returns the rest.
    ///
    /// # Errors
    ///
    /// Returns the decoding error if the bytes do not begin with one.
    pub fn take(copy: &[u8]) -> Result<(Self, &[u8]), SnapshotError> {
        postcard::take_from_bytes(copy).map_err(|e| SnapshotError::from(e.to_string()))
    }
}

/// Backups of the progress of jobs and of counts. Each backup has an expiry time, and all backups
/// together are limited in bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProgressBackups {
    jobs: BTreeMap<JobId, Backup>,
    counts: BTreeMap<JobId, Backup>,
    bytes: usize,
    limit: usize,
}

impl ProgressBackups {
    /// Creates an empty collection that holds at most `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            jobs: BTreeMap::new(),
            counts: BTreeMap::new(),
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

    /// Replaces the backup of a job's counts. Returns whether it is kept: it must begin with its
    /// order, not be older than the one that is held, and not exceed the limit.
    pub fn keep_counts(&mut self, id: JobId, counts: Vec<u8>, expires_at: Moment) -> bool {
        let Ok((order, _)) = CountsOrder::take(&counts) else {
            return false;
        };
        let held = self.counts.get(&id);
        let is_older = held
            .and_then(|held| CountsOrder::take(&held.progress).ok())
            .is_some_and(|(held, _)| order < held);
        let freed = held.map_or(0, |held| held.progress.len());
        if is_older || self.bytes - freed + counts.len() > self.limit {
            return false;
        }
        self.bytes = self.bytes - freed + counts.len();
        let progress = counts;
        self.counts.insert(
            id,
            Backup {
                expires_at,
                progress,
            },
        );
        true
    }

    /// The backup of a job's counts.
    #[must_use]
    pub fn counts(&self, id: &JobId) -> Option<&[u8]> {
        self.counts.get(id).map(|backup| backup.progress.as_slice())
    }

    /// The backup of a job's progress.
    #[must_use]
    pub fn get(&self, id: &JobId) -> Option<&[u8]> {
        self.jobs.get(id).map(|backup| backup.progress.as_slice())
    }

    /// Evicts expired backups. Returns whether there were any.
    pub fn sweep(&mut self, now: Moment) -> bool {
        let before = self.jobs.len() + self.counts.len();
        self.jobs
            .retain(|_, backup| !backup.expires_at.is_past(now));
        self.counts
            .retain(|_, backup| !backup.expires_at.is_past(now));
        let all = self.jobs.values().chain(self.counts.values());
        self.bytes = all.map(|k| k.progress.len()).sum();
        self.jobs.len() + self.counts.len() != before
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
        // Keepers of earlier builds read the first part.
        postcard::to_allocvec(&(&self.jobs, &self.counts)).expect("backups serialize to postcard")
    }

    /// Adds the backups that were written to the disk. Backups that exceed the limit
    /// are dropped.
    ///
    /// # Errors
    ///
    /// Returns the decoding error if the bytes are not encoded backups.
    pub fn read(&mut self, bytes: &[u8]) -> Result<(), SnapshotError> {
        let error = |e: postcard::Error| SnapshotError::from(e.to_string());
        let (jobs, rest): (BTreeMap<JobId, Backup>, _) =
            postcard::take_from_bytes(bytes).map_err(error)?;
        for (id, backup) in jobs {
            self.keep(id, backup.progress, backup.expires_at);
        }
        if !rest.is_empty() {
            let counts: BTreeMap<JobId, Backup> = postcard::from_bytes(rest).map_err(error)?;
            for (id, backup) in counts {
                self.keep_counts(id, backup.progress, backup.expires_at);
            }
        }
        Ok(())
    }
}
