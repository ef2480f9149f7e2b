//! Job data stored in the key-value service.

use crate::JobTarget;
use bluebellreel_chunk::VolumeId;
use bluebellreel_types::{AttemptId, EntryName, Incarnation, JobId, Moment, TeamName, WorkerName};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The state of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// Accepted; some items are running or waiting.
    Running,
    /// Every item has ended.
    Complete,
    /// Cancelled; results recorded before the cancellation stay readable.
    Cancelled,
    /// Its deadline passed; results recorded before it stay readable.
    Expired,
}

/// Numbers of ended items, by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobCounts {
    /// Items with an answer.
    pub succeeded: u32,
    /// Items recorded as failed, each with a reason.
    pub failed: u32,
}

/// The location of one input chunk and the range of items that it holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkRef {
    /// Index of its first item.
    pub first: u32,
    /// Number of items in the chunk.
    pub items: u32,
    /// SHA-256 of its bytes, in hexadecimal.
    pub digest: String,
    /// Size of the chunk in bytes.
    pub bytes: u64,
    /// The volume that holds it; none if the key-value service stores it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub volume: Option<VolumeId>,
}

/// A chunk that is stored on the disks of a volume's holders.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldChunk {
    /// The volume.
    pub volume: VolumeId,
    /// SHA-256 of its bytes, in hexadecimal.
    pub digest: String,
    /// Size of the chunk in bytes.
    pub bytes: u64,
}

impl ChunkRef {
    /// The chunk's location on disks; none if the key-value service stores it.
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
    /// The team that submitted it.
    pub team: TeamName,
    /// SHA-256 of the body as submitted, in hexadecimal.
    pub digest: String,
    /// Identifies this upload's chunks. A concurrent resend of the same job writes its
    /// chunks under another upload id.
    pub upload: String,
    /// The model or service that runs its items.
    pub target: JobTarget,
    /// When it was accepted.
    pub accepted_at: Moment,
    /// When its results are due.
    pub deadline: Moment,
    /// Number of items.
    pub items: u32,
    /// Its input chunks.
    pub chunks: Vec<ChunkRef>,
    /// The job's state.
    pub state: JobState,
    /// The entry daemon that owns it.
    pub owner: EntryName,
    /// The owner's incarnation.
    pub owner_run: Incarnation,
    /// Increases with every change of owner.
    pub epoch: u64,
    /// Numbers of ended items by outcome; exact once the job has ended.
    pub counts: JobCounts,
    /// When it ended.
    pub ended_at: Option<Moment>,
}

/// How one item ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum ItemEnd {
    /// The item has an answer.
    Succeeded {
        /// HTTP status of the answer.
        status: u16,
        /// The answer's text.
        body: Arc<str>,
    },
    /// The item failed for good.
    Failed {
        /// Why it failed.
        reason: Arc<str>,
        /// Number of attempts made.
        attempts: u32,
    },
}

/// One item's result.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemResult {
    /// The item's index in the job.
    pub index: u32,
    /// The caller's id for the item.
    pub custom_id: Arc<str>,
    /// How it ended.
    pub end: ItemEnd,
}

/// A group of results written together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultChunk {
    /// The owner's epoch.
    pub epoch: u64,
    /// The results; empty if they are stored on disks.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub results: Vec<ItemResult>,
    /// Location of the results on disks, where they are stored as a JSON list.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub held: Option<HeldChunk>,
}

/// A claim of an item whose call may not be repeated, written before the item is
/// sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimedItem {
    /// The item's index in the job.
    pub index: u32,
    /// The attempt.
    pub attempt: AttemptId,
    /// The worker that the attempt is sent to.
    pub worker: WorkerName,
    /// The incarnation of the side process that the attempt is sent to.
    pub incarnation: Incarnation,
    /// The attempt's deadline.
    pub deadline: Moment,
}

/// A group of claims written together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimChunk {
    /// The owner's epoch.
    pub epoch: u64,
    /// The claims.
    pub claims: Vec<ClaimedItem>,
}

impl JobRecord {
    /// Index of the chunk that holds an item.
    #[must_use]
    pub fn chunk_of(&self, index: u32) -> u32 {
        let after = self.chunks.partition_point(|chunk| chunk.first <= index);
        u32::try_from(after.saturating_sub(1)).unwrap_or(u32::MAX)
    }

    /// The record with a new owner and the next epoch.
    #[must_use]
    pub fn taken_over(&self, owner: EntryName, owner_run: Incarnation) -> Self {
        Self {
            owner,
            owner_run,
            epoch: self.epoch + 1,
            ..self.clone()
        }
    }

    /// The record of the ended job.
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
