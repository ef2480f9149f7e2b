//! Open jobs in the store that no daemon reports as its own.
//!
//! They are read in the background: once when this daemon starts, and with each scan
//! for jobs without an owner. When a submission is checked against its route's quota,
//! they are counted from memory.

use super::own::{Jobs, MAX_REPORTED};
use crate::gateway::Gateway;
use crate::store::MAX_SMALL_ENTRY_BYTES;
use bluebellreel_batch::{JobPhase, JobRecord, OpenJob, keys};
use bluebellreel_kv::{Key, KeyValue, KvError};
use bluebellreel_members::Peer;
use bluebellreel_types::{EntryName, JobId};
use log::warn;
use std::collections::HashMap;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout_at};

/// Limit on the jobs remembered, at about a hundred bytes each. Jobs beyond it are not
/// counted.
const MAX_UNREPORTED: usize = 8192;
/// Pause after a failed attempt to read the initial list.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Open jobs that no daemon reports, with their routes and tokens.
#[derive(Default)]
pub(crate) struct OpenJobs {
    /// `None` for a job whose index entry is not readable and whose record was not
    /// read yet.
    unreported: HashMap<JobId, Option<OpenJob>>,
    /// Whether the index was read since this daemon started.
    is_listed: watch::Sender<bool>,
}

impl OpenJobs {
    /// Total tokens of a quota scope's unreported jobs.
    pub(super) fn tokens(&self, scope: &str) -> u64 {
        let known = self.unreported.values().flatten();
        known.filter(|o| *o.scope == *scope).map(|o| o.tokens).sum()
    }

    /// Whether the tokens of a job are counted here.
    pub(super) fn counts(&self, id: &JobId) -> bool {
        self.unreported.get(id).is_some_and(Option::is_some)
    }

    /// Whether a job is unreported and its record must be read to know its tokens.
    pub(super) fn needs_record(&self, id: &JobId) -> bool {
        self.unreported.get(id).is_some_and(Option::is_none)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.unreported.is_empty()
    }

    /// Removes a job that is counted elsewhere or has finished.
    pub(super) fn remove(&mut self, id: &JobId) {
        self.unreported.remove(id);
    }

    /// Updates an unreported job from its record.
    pub(super) fn note_record(&mut self, id: &JobId, record: &JobRecord) {
        if record.phase != JobPhase::Open {
            self.remove(id);
        } else if let Some(open) = self.unreported.get_mut(id) {
            *open = Some(OpenJob::from(record));
        }
    }

    /// Replaces the list. Jobs that stay in it keep what was read from their records.
    fn replace(&mut self, listed: impl Iterator<Item = (JobId, Option<OpenJob>)>) {
        let mut before = std::mem::take(&mut self.unreported);
        let listed = listed.take(MAX_UNREPORTED);
        self.unreported = listed
            .map(|(id, open)| {
                let open = open.or_else(|| before.remove(&id).flatten());
                (id, open)
            })
            .collect();
        self.is_listed.send_replace(true);
    }
}

/// Reads the index of open jobs, with retries until the first success. If the store
/// refuses the read, later attempts would be refused as well, so the index counts as
/// read and submissions do not wait for it.
pub(super) async fn list_initially(gw: &Gateway) {
    while let Err(e) = list(gw).await {
        warn!(target: "jobs", error:% = e; "open jobs not listed");
        if let KvError::Refused(_) = e {
            gw.jobs.borrow().open.is_listed.send_replace(true);
            return;
        }
        sleep(RETRY_PAUSE).await;
    }
}

/// Lists all open jobs in the store. Those that no daemon reports are counted here
/// from now on.
async fn list(gw: &Gateway) -> Result<(), KvError> {
    let prefix = Key::from(keys::OPEN_JOBS_PREFIX);
    let (all, _) = gw.store.list(&prefix, MAX_SMALL_ENTRY_BYTES).await?;
    note_listed(gw, &all);
    Ok(())
}

/// As [`list`], but the list may be seconds old. Also returns the ids of the jobs.
pub(super) async fn list_stale(gw: &Gateway) -> Result<Vec<JobId>, KvError> {
    let prefix = Key::from(keys::OPEN_JOBS_PREFIX);
    let (all, _) = gw.store.list_stale(&prefix, MAX_SMALL_ENTRY_BYTES).await?;
    Ok(note_listed(gw, &all))
}

fn note_listed(gw: &Gateway, all: &[KeyValue]) -> Vec<JobId> {
    let all: Vec<(JobId, Option<OpenJob>)> = all
        .iter()
        .filter_map(|kv| {
            let id = JobId::from(kv.key.as_str().strip_prefix(keys::OPEN_JOBS_PREFIX)?);
            Some((id, OpenJob::try_from(kv.value.as_slice()).ok()))
        })
        .collect();
    let ids = all.iter().map(|(id, _)| id.clone()).collect();
    let members = gw.members.borrow();
    let mut jobs = gw.jobs.borrow_mut();
    let counted = members.counted_jobs(gw.now());
    let full_reports: Vec<_> = members
        .peers()
        .filter(|(_, p)| p.jobs.len() >= MAX_REPORTED)
        .collect();
    let unreported: Vec<_> = all
        .into_iter()
        .filter(|(id, _)| !counted.contains(id) && !jobs.is_own_or_finished(id))
        .filter(|(id, _)| !may_be_omitted(&full_reports, &jobs, id))
        .collect();
    jobs.open.replace(unreported.into_iter());
    ids
}

/// Whether the report of a job's owner may include the job's tokens without naming the
/// job, given the peers whose reports have reached the limit on named jobs.
fn may_be_omitted(full_reports: &[(&EntryName, &Peer)], jobs: &Jobs, id: &JobId) -> bool {
    let owner = jobs.owners.get(id);
    full_reports
        .iter()
        .any(|(name, p)| owner.is_none_or(|o| o.entry == **name && o.run == p.run))
}

/// Waits until the index was read since this daemon started. Returns whether this
/// happened before the deadline.
pub(super) async fn wait_until_listed(gw: &Gateway, deadline: Instant) -> bool {
    let mut listed = gw.jobs.borrow().open.is_listed.subscribe();
    let listed = timeout_at(deadline, listed.wait_for(|l| *l)).await;
    matches!(listed, Ok(Ok(_)))
}
