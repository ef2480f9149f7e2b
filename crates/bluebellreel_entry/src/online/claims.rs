//! Claims of non-repeatable calls in the key-value service.
//!
//! A claim ties an idempotency key to one attempt, so that the call runs at most
//! once.

use crate::platform::claim_key;
use bluebellreel_claim::{ClaimRecord, ClaimState, ResendAction, resend_action};
use bluebellreel_kv::{Commit, KeyValue, KvClient, KvError, Txn};
use bluebellreel_routing::{ClaimIntent, Outcome};
use bluebellreel_types::{EntryName, Incarnation, Moment, TeamName};
use std::sync::Arc;

/// The result of writing a claim.
#[derive(Clone, Debug)]
pub(crate) enum ClaimAnswer {
    /// The claim was written at this revision: the call may be sent.
    Recorded(i64),
    /// The key already has this claim.
    Taken(Box<ClaimRecord>),
    /// The claim could not be confirmed: the call will not be sent.
    Unavailable,
}

/// Fields of a claim that do not come from the router's intent.
#[derive(Clone, Debug)]
pub(crate) struct ClaimContext {
    pub(crate) team: TeamName,
    pub(crate) key: Arc<str>,
    pub(crate) digest: String,
    pub(crate) entry: EntryName,
    pub(crate) entry_run: Incarnation,
    pub(crate) deadline: Moment,
    /// Revision of this request's claim for an earlier attempt, zero for none.
    pub(crate) revision: i64,
}

/// Writes a claim. An existing claim is replaced only if its digest is the same
/// and its call certainly did not run.
pub(crate) fn claim(
    kv: &KvClient,
    cx: &ClaimContext,
    intent: &ClaimIntent,
    until: Moment,
) -> ClaimAnswer {
    let record = ClaimRecord {
        team: cx.team.clone(),
        key: cx.key.clone(),
        digest: cx.digest.clone(),
        attempt: intent.attempt,
        worker: intent.worker.clone(),
        incarnation: intent.incarnation,
        entry: cx.entry.clone(),
        entry_run: cx.entry_run,
        deadline: cx.deadline,
        state: ClaimState::Pending,
    };
    match write(kv, &record, cx.revision, until) {
        Commit::Applied { revision } => ClaimAnswer::Recorded(revision),
        Commit::Beaten(found) => match found.first().and_then(read) {
            Some((before, revision)) => replace(kv, &record, before, revision, until),
            None => ClaimAnswer::Unavailable,
        },
        Commit::NotDone(_) | Commit::Unknown(_) => ClaimAnswer::Unavailable,
    }
}

fn replace(
    kv: &KvClient,
    record: &ClaimRecord,
    before: ClaimRecord,
    revision: i64,
    until: Moment,
) -> ClaimAnswer {
    let same = before.digest == record.digest;
    if !same || resend_action(&before.state) != ResendAction::MayRun {
        return ClaimAnswer::Taken(Box::new(before));
    }
    match write(kv, record, revision, until) {
        Commit::Applied { revision } => ClaimAnswer::Recorded(revision),
        Commit::Beaten(found) => match found.first().and_then(read) {
            Some((winner, _)) => ClaimAnswer::Taken(Box::new(winner)),
            None => ClaimAnswer::Unavailable,
        },
        Commit::NotDone(_) | Commit::Unknown(_) => ClaimAnswer::Unavailable,
    }
}

fn write(kv: &KvClient, record: &ClaimRecord, revision: i64, until: Moment) -> Commit {
    let key = claim_key(&ClaimRecord::id(&record.team, &record.key));
    let value = serde_json::to_vec(record).unwrap_or_default();
    let txn = if revision == 0 {
        Txn::create(key, value)
    } else {
        Txn::replace(key, revision, value)
    };
    kv.commit(&txn, until)
}

fn read(kv: &KeyValue) -> Option<(ClaimRecord, i64)> {
    let record = serde_json::from_slice(&kv.value).ok()?;
    Some((record, kv.revision))
}

/// Reads the claim of a team's idempotency key.
pub(crate) fn find_claim(
    kv: &KvClient,
    team: &TeamName,
    key: &str,
) -> Result<Option<(ClaimRecord, i64)>, KvError> {
    let found = kv.get(&claim_key(&ClaimRecord::id(team, key)))?;
    Ok(found.as_ref().and_then(read))
}

/// Records the outcome of a claimed call. An outcome that was recorded first is
/// kept and counts as success.
pub(crate) fn record_state(
    kv: &KvClient,
    record: &ClaimRecord,
    revision: i64,
    until: Moment,
) -> bool {
    matches!(
        write(kv, record, revision, until),
        Commit::Applied { .. } | Commit::Beaten(_)
    )
}

/// The claim state that corresponds to a request's outcome.
pub(crate) fn state_of(outcome: &Outcome) -> ClaimState {
    match outcome {
        Outcome::Completed { status, body, .. } => ClaimState::Completed {
            status: *status,
            body: Arc::from(String::from_utf8_lossy(body)),
        },
        Outcome::Rejected { status, message } => ClaimState::Rejected {
            status: *status,
            message: message.clone(),
        },
        Outcome::NotRun { .. } => ClaimState::NotRun,
        Outcome::Failed { .. } | Outcome::Unknown => ClaimState::Unknown,
    }
}
