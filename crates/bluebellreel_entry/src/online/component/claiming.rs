//! Writes, resolves and queries claims of non-repeatable calls.

use super::{Claim, OnlineComponent, VerdictWaiter};
use crate::message::Message;
use crate::online::caller::{ClaimQueryResult, OnlineMessage};
use crate::online::claims;
use bluebellreel_claim::{ClaimRecord, ClaimState};
use bluebellreel_routing::{ClaimIntent, Event, Outcome};
use bluebellreel_rpc::EntryCommand;
use bluebellreel_types::{AttemptVerdict, EntryName, Incarnation, Moment, RequestId};
use crossbeam_channel::Sender;
use std::time::Duration;

/// Timeout for writing a claim. It is short so that a caller whose claim fails
/// gets "not run" early enough to try elsewhere.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for recording an outcome.
const RECORD_TIMEOUT: Duration = Duration::from_mins(2);

impl OnlineComponent {
    /// Adds a live entry daemon.
    pub(crate) fn note_entry(&mut self, name: EntryName, run: Incarnation) {
        self.entries.insert(name, run);
    }

    /// Removes an entry daemon whose lease has ended.
    pub(crate) fn forget_entry(&mut self, name: &EntryName) {
        self.entries.remove(name);
    }

    pub(super) fn write_claim(&mut self, intent: ClaimIntent, now: Moment) {
        let attempt = intent.attempt;
        let kv_down = self.handles.kv.seems_down();
        let Some(claim) = self.claim_of(intent.request) else {
            return;
        };
        if kv_down {
            return self.handle_event(Event::ClaimFailed(attempt));
        }
        claim.intent = Some(intent.clone());
        let cx = claim.cx.clone();
        let until = cx.deadline.min(now + CLAIM_TIMEOUT);
        let handles = self.handles.clone();
        let queued = self.handles.pool.run(move |kv| {
            let answer = claims::claim(kv, &cx, &intent, until);
            let message = OnlineMessage::Claim { attempt, answer };
            handles.send_message(Message::Online(message));
        });
        if !queued {
            self.handle_event(Event::ClaimFailed(attempt));
        }
    }

    pub(super) fn record(&mut self, request: RequestId, outcome: &Outcome) {
        let state = claims::state_of(outcome);
        let Some(claim) = self.claim_of(request) else {
            return;
        };
        let Some(record) = claim_record(claim, state) else {
            self.handle_event(Event::OutcomeRecorded(request));
            return;
        };
        let revision = claim.cx.revision;
        let handles = self.handles.clone();
        let until = self.now() + RECORD_TIMEOUT;
        let queued = self.handles.pool.run(move |kv| {
            claims::record_state(kv, &record, revision, until);
            let message = OnlineMessage::OutcomeRecorded(request);
            handles.send_message(Message::Online(message));
        });
        if !queued {
            self.handle_event(Event::OutcomeRecorded(request));
        }
    }

    /// Whether the daemon that claimed a call is live and will record its outcome.
    fn is_in_progress(&self, record: &ClaimRecord) -> bool {
        if record.deadline.is_past(self.now()) {
            return false;
        }
        if record.entry_run == self.handles.run {
            return self.router.requests.contains_key(&record.attempt.request);
        }
        self.entries.get(&record.entry) == Some(&record.entry_run)
    }

    /// Queries the side process that a claim names.
    pub(super) fn query_claim(&mut self, record: &ClaimRecord, answer: Sender<ClaimQueryResult>) {
        // A query that reaches the side process before the call itself ends the
        // call: the side process answers that it has never seen the attempt and
        // refuses it from then on. Without this check, eight simultaneous
        // confirmations were all answered "not run".
        if self.is_in_progress(record) {
            answer
                .send(ClaimQueryResult::Verdict(AttemptVerdict::Running))
                .ok();
            return;
        }
        let present = self
            .router
            .workers
            .get(&record.worker)
            .and_then(|w| w.incarnation);
        match present {
            Some(run) if run == record.incarnation => {
                let until = self.now() + Duration::from_secs(2);
                let waiter = VerdictWaiter { until, answer };
                let attempt = record.attempt;
                self.verdict_waiters
                    .entry(attempt)
                    .or_default()
                    .push(waiter);
                let worker = record.worker.clone();
                self.handles
                    .send_command(EntryCommand::Cancel { worker, attempt });
            }
            Some(_) => {
                answer.send(ClaimQueryResult::Gone).ok();
            }
            None => {
                answer.send(ClaimQueryResult::Unreachable).ok();
            }
        }
    }
}

fn claim_record(claim: &Claim, state: ClaimState) -> Option<ClaimRecord> {
    let intent = claim.intent.as_ref()?;
    // No claim was written, so there is none to update.
    if claim.cx.revision == 0 {
        return None;
    }
    Some(ClaimRecord {
        team: claim.cx.team.clone(),
        key: claim.cx.key.clone(),
        digest: claim.cx.digest.clone(),
        attempt: intent.attempt,
        worker: intent.worker.clone(),
        incarnation: intent.incarnation,
        entry: claim.cx.entry.clone(),
        entry_run: claim.cx.entry_run,
        deadline: claim.cx.deadline,
        state,
    })
}
