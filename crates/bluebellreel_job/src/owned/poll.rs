//! The actions that are due for a job: chunks to read, results to write, its end.

use super::{ItemState, JobEffect, OwnedJob, QUERY_INTERVAL, result_size};
use crate::{ItemResult, JobState};
use bluebellreel_types::{AttemptEnd, AttemptId, BrokenReason, Moment, WorkerName};
use std::collections::BTreeMap;
use std::sync::Arc;

impl OwnedJob {
    /// Expires overdue leases and returns the actions due at `now`.
    pub fn poll(&mut self, now: Moment) -> Vec<JobEffect> {
        let mut effects = Vec::new();
        if !self.retry_at.is_past(now) {
            return effects;
        }
        self.expire_leases(now, &mut effects);
        self.query_in_doubt(now, &mut effects);
        self.load_next_chunk(&mut effects);
        self.flush(now, &mut effects);
        self.close(now, &mut effects);
        effects
    }

    /// Ends leases that have expired without a report. Their items are requeued;
    /// items that may not be repeated become in doubt instead.
    fn expire_leases(&mut self, now: Moment, effects: &mut Vec<JobEffect>) {
        let mut expired: Vec<(WorkerName, AttemptId)> = self
            .leases
            .iter()
            .filter(|(_, lease)| !lease.in_doubt && lease.expires_at.is_past(now))
            .map(|(request, lease)| {
                let number = lease.number;
                let request = *request;
                (lease.worker.clone(), AttemptId { request, number })
            })
            .collect();
        expired.sort_unstable();
        for (worker, attempt) in expired {
            let end = AttemptEnd::Broken {
                reason: BrokenReason::SideLost,
                partial: Arc::from(""),
            };
            self.report(attempt, end, now);
            let attempts = vec![attempt];
            effects.push(JobEffect::Withdraw { worker, attempts });
        }
    }

    fn query_in_doubt(&mut self, now: Moment, effects: &mut Vec<JobEffect>) {
        if !self.next_query_at.is_past(now) {
            return;
        }
        self.next_query_at = now + QUERY_INTERVAL;
        for (request, lease) in self.leases.iter().filter(|(_, lease)| lease.in_doubt) {
            effects.push(JobEffect::QueryAttempt {
                worker: lease.worker.clone(),
                incarnation: lease.incarnation,
                attempt: AttemptId {
                    request: *request,
                    number: lease.number,
                },
            });
        }
    }

    /// Requests the next input chunk with items to lease, within the memory limit.
    fn load_next_chunk(&mut self, effects: &mut Vec<JobEffect>) {
        if self.loading.is_some() || self.closing || self.handing_over {
            return;
        }
        let wanted = [self.isolated.front(), self.retry_queue.front()]
            .into_iter()
            .flatten()
            .map(|index| self.record.chunk_of(*index))
            .find(|chunk| !self.chunks.contains_key(chunk))
            .or_else(|| self.next_new_chunk());
        let Some(chunk) = wanted else { return };
        if self.chunks.len() >= self.limits.chunks && !self.evict_oldest_chunk() {
            return;
        }
        self.loading = Some(chunk);
        effects.push(JobEffect::LoadChunk(chunk));
    }

    /// The next chunk with new items that is not in memory, prefetching one chunk
    /// ahead.
    fn next_new_chunk(&self) -> Option<u32> {
        let mut index = self.next_new;
        while index < self.record.items && self.items[index as usize].state != ItemState::Waiting {
            index += 1;
        }
        if index >= self.record.items {
            return None;
        }
        let chunk = self.record.chunk_of(index);
        let last = u32::try_from(self.record.chunks.len()).ok()?;
        [chunk, chunk + 1]
            .into_iter()
            .find(|c| *c < last && !self.chunks.contains_key(c))
    }

    /// Evicts the oldest input chunk from memory. It is read again if one of its items is retried.
    fn evict_oldest_chunk(&mut self) -> bool {
        let needed = self
            .record
            .chunk_of(self.next_new.min(self.record.items - 1));
        let Some(oldest) = self.chunks.keys().copied().find(|chunk| *chunk < needed) else {
            return false;
        };
        let range = &self.record.chunks[oldest as usize];
        let leased = self
            .leases
            .values()
            .any(|l| (range.first..range.first + range.items).contains(&l.index));
        if leased && self.chunks.len() < self.limits.chunks * 2 {
            // Its `custom_id`s are still needed for results. The limit is
            // exceeded, up to twice its value, rather than stalling the job.
            return true;
        }
        self.chunks.remove(&oldest);
        true
    }

    fn flush(&mut self, now: Moment, effects: &mut Vec<JobEffect>) {
        if let Some((seq, results)) = &self.recording {
            // A failed write is retried under the same sequence number, so that
            // a write whose answer was lost is found instead of written twice.
            if self.flush_at.is_past(now) {
                let (seq, results) = (*seq, results.clone());
                self.flush_at = Moment::DISTANT_FUTURE;
                effects.push(JobEffect::Record { seq, results });
            }
            return;
        }
        if self.unrecorded.is_empty() {
            return;
        }
        let full = self.unrecorded.len() >= self.limits.group_items
            || self.unrecorded_bytes >= self.limits.group_bytes;
        let last = self.is_done()
            || self.record.deadline.is_past(now)
            || self.handing_over && !self.has_active_leases();
        if !(full || last || self.flush_at.is_past(now)) {
            return;
        }
        let results = self.next_group();
        let seq = self.next_seq;
        self.recording = Some((seq, results.clone()));
        self.flush_at = Moment::DISTANT_FUTURE;
        effects.push(JobEffect::Record { seq, results });
    }

    fn next_group(&mut self) -> Arc<[ItemResult]> {
        let mut bytes = 0;
        let mut count = 0;
        for result in self.unrecorded.iter().take(self.limits.group_items * 2) {
            bytes += result_size(result);
            if count > 0 && bytes > self.limits.group_bytes {
                break;
            }
            count += 1;
        }
        self.unrecorded.drain(..count).collect()
    }

    fn close(&mut self, now: Moment, effects: &mut Vec<JobEffect>) {
        if self.closing || self.unrecorded() > 0 {
            return;
        }
        let state = if self.is_done() {
            JobState::Complete
        } else if self.record.deadline.is_past(now) {
            JobState::Expired
        } else {
            return;
        };
        self.withdraw_all(effects);
        self.closing = true;
        effects.push(JobEffect::Close {
            state,
            counts: self.counts,
        });
    }

    /// Withdraws all leased items, for a job that has ended or has another owner.
    pub fn withdraw_all(&mut self, effects: &mut Vec<JobEffect>) {
        let mut by_worker: BTreeMap<WorkerName, Vec<AttemptId>> = BTreeMap::new();
        for (request, lease) in self.leases.drain() {
            by_worker.entry(lease.worker).or_default().push(AttemptId {
                request,
                number: lease.number,
            });
        }
        for (worker, attempts) in by_worker {
            effects.push(JobEffect::Withdraw { worker, attempts });
        }
    }
}
