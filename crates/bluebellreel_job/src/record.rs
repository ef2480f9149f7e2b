//! What is kept of a job in the key-value service.

use crate::JobTarget;
use bluebellreel_chunk::VolumeId;
use bluebellreel_types::{AttemptId, EntryName, Incarnation, JobId, Moment, TeamName, WorkerName};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Where a job stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// Accepted; items run or wait.
    Running,
    /// Every item has ended.
    Complete,
    /// Cancelled; what had finished before stays readable.
    Cancelled,
    /// Its deadline passed; what had finished before stays readable.
    Expired,
}

/// Items by their end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobCounts {
    /// Answered.
    pub succeeded: u32,
    /// Recorded as failed, with a reason.
    pub failed: u32,
}

/// Where one input chunk lies and which items it holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkRef {
    /// Index of its first item.
    pub first: u32,
    /// Items in it.
    pub items: u32,
    /// SHA-256 of its bytes, in hexadecimal.
    pub digest: String,
    /// Bytes in it.
    pub bytes: u64,
    /// The volume that holds it; none if the key-value service does.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub volume: Option<VolumeId>,
}

/// A chunk that lies on the disks of a volume's holders.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldChunk {
    /// The volume.
    pub volume: VolumeId,
    /// SHA-256 of its bytes, in hexadecimal.
    pub digest: String,
    /// Bytes in it.
    pub bytes: u64,
}

impl ChunkRef {
    /// Where it lies, if on disks.
    #[must_use]
    pub fn held(&self) -> Option<HeldChunk> {
        Some(HeldChunk {
            volume: self.volume?,
            digest: self.digest.clone(),
            bytes: self.bytes,
        })
    }
}

/// A job's record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Its id.
    pub id: JobId,
    /// Whose it is.
    pub team: TeamName,
    /// SHA-256 of the body as submitted, in hexadecimal.
    pub digest: String,
    /// Names this upload's chunks: a resend at the same moment writes others.
    pub upload: String,
    /// What its items ask.
    pub target: JobTarget,
    /// When it was accepted.
    pub accepted_at: Moment,
    /// When its results are due.
    pub deadline: Moment,
    /// Items in it.
    pub items: u32,
    /// Its input chunks.
    pub chunks: Vec<ChunkRef>,
    /// Where it stands.
    pub state: JobState,
    /// Who works on it.
    pub owner: EntryName,
    /// The owner's run.
    pub owner_run: Incarnation,
    /// Grows with every change of owner.
    pub epoch: u64,
    /// Items by their end, exact once the job has ended.
    pub counts: JobCounts,
    /// When it ended.
    pub ended_at: Option<Moment>,
}

/// How one item ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum ItemEnd {
    /// Answered.
    Succeeded {
        /// HTTP status of the answer.
        status: u16,
        /// The answer's text.
        body: Arc<str>,
    },
    /// Given up.
    Failed {
        /// Why.
        reason: Arc<str>,
        /// Attempts made.
        attempts: u32,
    },
}

/// One item's result.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemResult {
    /// The item's place in the job.
    pub index: u32,
    /// The caller's name for it.
    pub custom_id: Arc<str>,
    /// How it ended.
    pub end: ItemEnd,
}

/// Results that are written together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultChunk {
    /// The owner's epoch.
    pub epoch: u64,
    /// The results, unless they lie on disks.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub results: Vec<ItemResult>,
    /// Where the results lie, as a JSON list.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub held: Option<HeldChunk>,
}

/// One item of a call that may not be repeated, claimed before it is sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimedItem {
    /// The item's place in the job.
    pub index: u32,
    /// The attempt.
    pub attempt: AttemptId,
    /// Where it goes.
    pub worker: WorkerName,
    /// The run of the side process that it is meant for.
    pub incarnation: Incarnation,
    /// The attempt's deadline.
    pub deadline: Moment,
}

/// Claims that are written together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimChunk {
    /// The owner's epoch.
    pub epoch: u64,
    /// The claims.
    pub claims: Vec<ClaimedItem>,
}

impl JobRecord {
    /// The chunk that holds an item.
    #[must_use]
    pub fn chunk_of(&self, index: u32) -> u32 {
        let after = self.chunks.partition_point(|chunk| chunk.first <= index);
        u32::try_from(after.saturating_sub(1)).unwrap_or(u32::MAX)
    }

    /// The record under a new owner.
    #[must_use]
    pub fn taken_over(&self, owner: EntryName, owner_run: Incarnation) -> Self {
        Self {
            owner,
            owner_run,
            epoch: self.epoch + 1,
            ..self.clone()
        }
    }

    /// The record at its end.
    #[must_use]
    pub fn ended(&self, state: JobState, counts: JobCounts, now: Moment) -> Self {
        Self {
            state,
            counts,
            ended_at: Some(now),
            ..self.clone()
        }
    }
}
