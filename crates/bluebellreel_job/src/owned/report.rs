//! Handling of ended attempts.

use super::{ItemState, OwnedJob, RESULT_OVERHEAD, is_final};
use crate::{ItemEnd, ItemResult, LeaseState};
use bluebellreel_types::{
    AttemptEnd, AttemptId, AttemptVerdict, BrokenReason, Moment, NEVER_SEEN_VALIDITY, NotRunReason,
    WorkerName,
};
use std::sync::Arc;

impl OwnedJob {
    /// Records how an attempt ended.
    pub fn report(&mut self, attempt: AttemptId, end: AttemptEnd, now: Moment) {
        let is_current = self
            .leases
            .get(&attempt.request)
            .is_some_and(|lease| lease.number == attempt.number);
        if !is_current {
            return;
        }
        let Some(lease) = self.leases.remove(&attempt.request) else {
            return;
        };
        let index = lease.index;
        match end {
            AttemptEnd::Completed { status, body, .. } => {
                let body = Arc::from(String::from_utf8_lossy(&body));
                self.end_item(index, ItemEnd::Succeeded { status, body }, now);
            }
            AttemptEnd::Rejected { status, message } if is_final(status) => {
                self.fail_item(index, &message, now);
            }
            AttemptEnd::Rejected { message, .. } => self.fail_attempt(index, &message, now),
            AttemptEnd::NotRun(reason) if !reason.is_certain() && !self.repeatable => {
                self.fail_item(index, "it may have run: the worker restarted", now);
            }
            AttemptEnd::NotRun(_) => self.requeue(index),
            AttemptEnd::Broken { reason, partial } => {
                self.handle_broken(lease, attempt, reason, partial, now);
            }
        }
    }

    fn handle_broken(
        &mut self,
        lease: LeaseState,
        attempt: AttemptId,
        reason: BrokenReason,
        partial: Arc<str>,
        now: Moment,
    ) {
        let index = lease.index;
        if !self.repeatable {
            if reason == BrokenReason::SideLost {
                let in_doubt = LeaseState {
                    in_doubt: true,
                    ..lease
                };
                self.leases.insert(attempt.request, in_doubt);
            } else {
                self.fail_item(index, "it may have run: the call broke off", now);
            }
            return;
        }
        if !partial.is_empty() && self.partials.len() < self.limits.partials {
            self.partials.insert(index, partial);
        }
        match reason {
            BrokenReason::EngineLost | BrokenReason::SideLost => {
                self.fail_attempt(index, &reason.to_string(), now);
            }
            // Neither a preemption nor a lost answer counts as a failed attempt.
            BrokenReason::Preempted
            | BrokenReason::Cancelled
            | BrokenReason::Expired
            | BrokenReason::Forgotten => self.requeue(index),
        }
    }

    pub(super) fn requeue(&mut self, index: u32) {
        let item = &mut self.items[index as usize];
        item.state = ItemState::Waiting;
        if item.failures >= self.limits.isolate_after {
            self.isolated.push_back(index);
        } else {
            self.retry_queue.push_back(index);
        }
    }

    fn fail_attempt(&mut self, index: u32, reason: &str, now: Moment) {
        let item = &mut self.items[index as usize];
        item.failures += 1;
        if item.failures >= self.limits.max_failures {
            self.fail_item(index, reason, now);
        } else {
            self.requeue(index);
        }
    }

    fn fail_item(&mut self, index: u32, reason: &str, now: Moment) {
        let attempts = u32::from(self.items[index as usize].attempts);
        let reason = Arc::from(reason);
        self.end_item(index, ItemEnd::Failed { reason, attempts }, now);
    }

    fn end_item(&mut self, index: u32, end: ItemEnd, now: Moment) {
        if self.items[index as usize].state == ItemState::Ended {
            return;
        }
        self.mark_ended(index, matches!(end, ItemEnd::Succeeded { .. }));
        self.partials.remove(&index);
        let custom_id = self.custom_id(index);
        let size = match &end {
            ItemEnd::Succeeded { body, .. } => body.len(),
            ItemEnd::Failed { reason, .. } => reason.len(),
        };
        // While a write is in progress, `flush_at` is the time of its retry. Setting
        // it here would send the same write a second time, and the later of the two
        // would be taken for a write of another owner.
        if self.unrecorded.is_empty() && self.recording.is_none() {
            self.flush_at = now + self.limits.group_wait;
        }
        self.unrecorded_bytes += size + custom_id.len() + RESULT_OVERHEAD;
        self.unrecorded.push(ItemResult {
            index,
            custom_id,
            end,
        });
        self.drop_finished_chunk(index);
    }

    /// The caller's id for an item; empty if its chunk is not in memory. The item of
    /// a claim taken over from an earlier owner may end before its chunk is loaded;
    /// the id is then looked up when the results are read.
    fn custom_id(&self, index: u32) -> Arc<str> {
        let chunk = self.record.chunk_of(index);
        let first = self.record.chunks[chunk as usize].first;
        self.chunks
            .get(&chunk)
            .and_then(|items| items.get((index - first) as usize))
            .map(|item| item.custom_id.clone())
            .unwrap_or_default()
    }

    fn drop_finished_chunk(&mut self, index: u32) {
        let chunk = self.record.chunk_of(index);
        let chunk_ref = &self.record.chunks[chunk as usize];
        let range = chunk_ref.first as usize..(chunk_ref.first + chunk_ref.items) as usize;
        let finished = self.items[range]
            .iter()
            .all(|item| item.state == ItemState::Ended);
        if finished {
            self.chunks.remove(&chunk);
        }
    }

    /// Handles the loss of a worker: its items are requeued, or become in doubt if
    /// they may not be repeated.
    pub fn lose_worker(&mut self, worker: &WorkerName, now: Moment) {
        let mut lost: Vec<AttemptId> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.worker == *worker && !lease.in_doubt)
            .map(|(request, lease)| AttemptId {
                request: *request,
                number: lease.number,
            })
            .collect();
        lost.sort_unstable();
        for attempt in lost {
            let end = AttemptEnd::Broken {
                reason: BrokenReason::SideLost,
                partial: Arc::from(""),
            };
            self.report(attempt, end, now);
        }
    }

    /// Applies a side process's verdict on an attempt in doubt.
    pub fn note_verdict(&mut self, attempt: AttemptId, verdict: AttemptVerdict, now: Moment) {
        let lease = self.leases.get(&attempt.request);
        let in_doubt = lease.filter(|lease| lease.in_doubt && lease.number == attempt.number);
        let Some(lease) = in_doubt else {
            return;
        };
        let verdict_expired = (lease.expires_at + NEVER_SEEN_VALIDITY).is_past(now);
        match verdict {
            AttemptVerdict::Running => {}
            AttemptVerdict::NeverSeen if verdict_expired => self.note_outcome_lost(attempt, now),
            AttemptVerdict::NeverSeen => {
                let end = AttemptEnd::NotRun(NotRunReason::Cancelled);
                self.report(attempt, end, now);
            }
            AttemptVerdict::Ended(end) => self.report(attempt, end, now),
        }
    }

    /// Fails an item in doubt whose outcome can no longer be found, since the
    /// incarnation of the side process that held it has ended.
    pub fn note_outcome_lost(&mut self, attempt: AttemptId, now: Moment) {
        let Some(lease) = self.leases.remove(&attempt.request) else {
            return;
        };
        self.fail_item(lease.index, "it may have run: the worker was lost", now);
    }

    /// Requeues a leased item that was not sent, since its claim could not be
    /// written.
    pub fn release(&mut self, attempt: AttemptId) {
        if let Some(lease) = self.leases.remove(&attempt.request) {
            self.requeue(lease.index);
        }
    }
}
