//! What is to be done for a job now: chunks to read, results to write, its end.

use super::{ASK_PAUSE, ItemState, JobEffect, OwnedJob, result_size};
use crate::{ItemResult, JobState};
use bluebellreel_types::{AttemptEnd, AttemptId, BrokenReason, Moment, WorkerName};
use std::collections::BTreeMap;
use std::sync::Arc;

impl OwnedJob {
    /// Says what is to be done now: chunks to read, results to write, the end.
    pub fn poll(&mut self, now: Moment) -> Vec<JobEffect> {
        let mut effects = Vec::new();
        if !self.retry_at.is_past(now) {
            return effects;
        }
        self.lapse(now, &mut effects);
        self.ask(now, &mut effects);
        self.want_chunk(&mut effects);
        self.flush(now, &mut effects);
        self.close(now, &mut effects);
        effects
    }

    /// Leases that were not heard of in time go back; an unrepeatable one is
    /// in doubt instead.
    fn lapse(&mut self, now: Moment, effects: &mut Vec<JobEffect>) {
        let mut late: Vec<(WorkerName, AttemptId)> = self
            .leases
            .iter()
            .filter(|(_, lease)| !lease.in_doubt && lease.until.is_past(now))
            .map(|(request, lease)| {
                let number = lease.number;
                let request = *request;
                (lease.worker.clone(), AttemptId { request, number })
            })
            .collect();
        late.sort_unstable();
        for (worker, attempt) in late {
            let end = AttemptEnd::Broken {
                reason: BrokenReason::SideLost,
                partial: Arc::from(""),
            };
            self.report(attempt, end, now);
            let attempts = vec![attempt];
            effects.push(JobEffect::Withdraw { worker, attempts });
        }
    }

    fn ask(&mut self, now: Moment, effects: &mut Vec<JobEffect>) {
        if !self.ask_at.is_past(now) {
            return;
        }
        self.ask_at = now + ASK_PAUSE;
        for (request, lease) in self.leases.iter().filter(|(_, lease)| lease.in_doubt) {
            effects.push(JobEffect::Ask {
                worker: lease.worker.clone(),
                incarnation: lease.incarnation,
                attempt: AttemptId {
                    request: *request,
                    number: lease.number,
                },
            });
        }
    }

    /// The next chunk that items are needed from, within the memory bound.
    fn want_chunk(&mut self, effects: &mut Vec<JobEffect>) {
        if self.loading.is_some() || self.closing || self.handing_over {
            return;
        }
        let wanted = [self.alone.front(), self.again.front()]
            .into_iter()
            .flatten()
            .map(|index| self.record.chunk_of(*index))
            .find(|chunk| !self.chunks.contains_key(chunk))
            .or_else(|| self.next_fresh_chunk());
        let Some(chunk) = wanted else { return };
        if self.chunks.len() >= self.limits.chunks && !self.make_room() {
            return;
        }
        self.loading = Some(chunk);
        effects.push(JobEffect::LoadChunk(chunk));
    }

    /// The chunk after the fresh items in memory, one ahead of need.
    fn next_fresh_chunk(&self) -> Option<u32> {
        let mut index = self.next_fresh;
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

    /// Drops the oldest chunk; it is read again if one of its items fails.
    fn make_room(&mut self) -> bool {
        let needed = self
            .record
            .chunk_of(self.next_fresh.min(self.record.items - 1));
        let Some(oldest) = self.chunks.keys().copied().find(|chunk| *chunk < needed) else {
            return false;
        };
        let range = &self.record.chunks[oldest as usize];
        let leased = self
            .leases
            .values()
            .any(|l| (range.first..range.first + range.items).contains(&l.index));
        if leased && self.chunks.len() < self.limits.chunks * 2 {
            // Its names are still needed for results; go over the bound a
            // little rather than stall.
            return true;
        }
        self.chunks.remove(&oldest);
        true
    }

    fn flush(&mut self, now: Moment, effects: &mut Vec<JobEffect>) {
        if let Some((seq, results)) = &self.recording {
            // A write that failed is made again under the same number, so that
            // one whose answer was lost is found instead of doubled.
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
            || self.handing_over && !self.has_items_out();
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

    /// Stops everything that is out, for a job that is over or is another's.
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
