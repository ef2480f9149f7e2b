//! Hands out items to side processes that pull.

use super::{JobsComponent, OFFER_REPEAT_PERIOD, dispatch_of, send_pull_answer};
use crate::jobs::messages::{ClaimedDispatches, JobWrite, JobsMessage, PendingPull};
use crate::jobs::store;
use crate::message::Message;
use bluebellreel_job::JobLeases;
use bluebellreel_rpc::{EntryCommand, PullAnswer};
use bluebellreel_types::{Dispatch, Moment, WorkerName};

impl JobsComponent {
    pub(super) fn pull(&mut self, worker: &WorkerName, room: u32, answer: PullAnswer, now: Moment) {
        let leased_jobs = match self.pullers.get_mut(worker) {
            Some(puller) if !self.stopping => {
                puller.offered = 0;
                puller.offer_at = now;
                let room = usize::try_from(room).unwrap_or(0);
                let run = puller.incarnation;
                self.scheduler.pull(room, worker, run, &puller.models, now)
            }
            _ => Vec::new(),
        };
        let Some(puller) = self.pullers.get(worker) else {
            answer.0.send(Vec::new()).ok();
            return;
        };
        let run = puller.incarnation;
        let mut pull = PendingPull {
            answer,
            ready: Vec::new(),
            claimed: Vec::new(),
        };
        for JobLeases { job, leases } in leased_jobs {
            let dispatches = leases.iter().map(|lease| dispatch_of(lease, run)).collect();
            if self.scheduler.jobs[&job].repeatable {
                pull.ready.extend(dispatches);
            } else {
                pull.claimed.push(ClaimedDispatches { job, dispatches });
            }
        }
        if pull.claimed.is_empty() {
            send_pull_answer(pull);
        } else {
            self.write_claims(pull);
        }
    }

    /// Non-repeatable items are sent only after their claims are recorded under
    /// this owner's epoch, so that an owner that was paused while another took
    /// over cannot send any of them.
    pub(super) fn write_claims(&mut self, pull: PendingPull) {
        let mut writes = Vec::new();
        for claimed in &pull.claimed {
            let Some(job) = self.scheduler.jobs.get(&claimed.job) else {
                continue;
            };
            let seq = self.claim_seqs.entry(claimed.job.clone()).or_default();
            *seq += 1;
            let attempts = claimed.dispatches.iter().map(|d| d.attempt);
            let claims = job.claims_of(attempts);
            writes.push((job.record.clone(), job.revision, *seq, claims));
        }
        let handles = self.handles.clone();
        let pull = Box::new(pull);
        // A pull that cannot be queued is dropped: the side process pulls again,
        // and the items are released when their leases expire.
        self.handles.pool.run(move |kv| {
            let written = writes
                .into_iter()
                .map(|(record, revision, seq, claims)| {
                    store::record_claims(kv, &record, revision, seq, claims)
                })
                .collect();
            handles.send_message(Message::Jobs(JobsMessage::Claimed { pull, written }));
        });
    }

    pub(super) fn note_claimed(&mut self, mut pull: PendingPull, written: &[JobWrite]) {
        let claimed = std::mem::take(&mut pull.claimed);
        for (group, write) in claimed.into_iter().zip(written) {
            match write {
                JobWrite::Done => pull.ready.extend(group.dispatches),
                JobWrite::Failed => self.release(&group),
                JobWrite::Fenced => self.drop_job(&group.job),
            }
        }
        // The job may have been cancelled or taken over while the claims were written.
        let jobs = &self.scheduler.jobs;
        let is_held = |d: &Dispatch| jobs.values().any(|job| job.holds(d.attempt.request));
        pull.ready.retain(is_held);
        send_pull_answer(pull);
    }

    /// Releases items whose claims may or may not have been written. None of
    /// them was sent: they stay claimed by attempts that never run, and are
    /// claimed again for later attempts.
    pub(super) fn release(&mut self, claimed: &ClaimedDispatches) {
        if let Some(job) = self.scheduler.jobs.get_mut(&claimed.job) {
            for dispatch in &claimed.dispatches {
                job.release(dispatch.attempt);
            }
        }
    }

    /// Offers waiting batch work to workers, so that they pull.
    pub(super) fn offer_all(&mut self, now: Moment) {
        if self.stopping {
            return;
        }
        for (worker, puller) in &mut self.pullers {
            let waiting = self.scheduler.waiting(&puller.models);
            let became_nonzero = puller.offered == 0 && waiting > 0;
            if !(became_nonzero || waiting > 0 && puller.offer_at.is_past(now)) {
                continue;
            }
            puller.offered = waiting;
            puller.offer_at = now + OFFER_REPEAT_PERIOD;
            let worker = worker.clone();
            self.handles
                .send_command(EntryCommand::Offer { worker, waiting });
        }
    }
}
