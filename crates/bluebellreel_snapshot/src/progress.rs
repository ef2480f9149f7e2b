//! How far the items of jobs are, kept for whoever takes a job over.
//!
//! The bytes are those of the job's owner; a keeper does not read them.

use crate::SnapshotError;
use bluebellreel_types::{JobId, Moment};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Kept {
    until: Moment,
    progress: Vec<u8>,
}

/// Progress of jobs, each until a moment, within a bound of bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProgressBackups {
    jobs: BTreeMap<JobId, Kept>,
    bytes: usize,
    limit: usize,
}

impl ProgressBackups {
    /// Nothing yet; at most `limit` bytes are kept.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            jobs: BTreeMap::new(),
            bytes: 0,
            limit,
        }
    }

    /// Keeps a job's progress in place of what was known of it. What does not
    /// fit is not kept: its items begin anew, which is right if slower.
    pub fn keep(&mut self, id: JobId, progress: Vec<u8>, until: Moment) {
        if let Some(before) = self.jobs.remove(&id) {
            self.bytes -= before.progress.len();
        }
        if self.bytes + progress.len() > self.limit {
            return;
        }
        self.bytes += progress.len();
        self.jobs.insert(id, Kept { until, progress });
    }

    /// What is known of a job.
    #[must_use]
    pub fn get(&self, id: &JobId) -> Option<&[u8]> {
        self.jobs.get(id).map(|kept| kept.progress.as_slice())
    }

    /// Forgets what was kept until now; whether there was any.
    pub fn sweep(&mut self, now: Moment) -> bool {
        let before = self.jobs.len();
        self.jobs.retain(|_, kept| !kept.until.is_past(now));
        self.bytes = self.jobs.values().map(|k| k.progress.len()).sum();
        self.jobs.len() != before
    }

    /// Bytes that are kept.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// All of it, as it is written.
    ///
    /// # Panics
    ///
    /// Never: it holds nothing that its format cannot.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(&self.jobs).expect("plain data")
    }

    /// Takes over what was written. What does not fit the bound is left.
    ///
    /// # Errors
    ///
    /// Gives the reason when the bytes are none of this.
    pub fn read(&mut self, bytes: &[u8]) -> Result<(), SnapshotError> {
        let jobs: BTreeMap<JobId, Kept> =
            postcard::from_bytes(bytes).map_err(|e| SnapshotError::from(e.to_string()))?;
        for (id, kept) in jobs {
            self.keep(id, kept.progress, kept.until);
        }
        Ok(())
    }
}
