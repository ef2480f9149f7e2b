//! Claims in the key-value service.

use crate::platform::claim_key;
use bluebellreel_claim::{ClaimRecord, ClaimState, ResendAction, resend_action};
use bluebellreel_kv::{Commit, KeyValue, KvClient, KvError, Txn};
use bluebellreel_routing::{ClaimIntent, Outcome};
use bluebellreel_types::{EntryName, Incarnation, Moment, TeamName};
use std::sync::Arc;

/// A claim's fate.
#[derive(Clone, Debug)]
pub(crate) enum ClaimAnswer {
    /// It is ours, at this revision: the call may be sent.
    Recorded(i64),
    /// The key was used before.
    Taken(Box<ClaimRecord>),
    /// It could not be recorded: the call will not be sent.
    Unavailable,
}

/// What a claim says beside the router's intent.
#[derive(Clone, Debug)]
pub(crate) struct ClaimContext {
    pub(crate) team: TeamName,
    pub(crate) key: Arc<str>,
    pub(crate) digest: String,
    pub(crate) entry: EntryName,
    pub(crate) entry_run: Incarnation,
    pub(crate) deadline: Moment,
    /// Revision of our own claim of an earlier attempt, zero for none.
    pub(crate) revision: i64,
}

/// Records a claim. A claim whose call surely did not run gives way.
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

/// Reads the claim of a team's key.
pub(crate) fn find_claim(
    kv: &KvClient,
    team: &TeamName,
    key: &str,
) -> Result<Option<(ClaimRecord, i64)>, KvError> {
    let found = kv.get(&claim_key(&ClaimRecord::id(team, key)))?;
    Ok(found.as_ref().and_then(read))
}

/// Records what became of a claimed call. Whatever came first stays.
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

/// The state to record for a request's outcome.
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
