//! Open jobs of the store that no report tells of.
//!
//! They are read in the background: once as soon as this daemon starts, and at each
//! look for jobs without an owner. Acceptances count them from memory.

use super::own::{Jobs, REPORTED};
use crate::gateway::Gateway;
use bluebellreel_batch::{JobPhase, JobRecord, OpenJob, keys};
use bluebellreel_kv::{Key, KvError};
use bluebellreel_members::Peer;
use bluebellreel_types::{EntryName, JobId};
use log::warn;
use std::collections::HashMap;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout_at};

/// Jobs remembered, some hundred bytes each. More are not counted.
const UNREPORTED: usize = 8192;
/// Pause after a first list that failed.
const RETRY: Duration = Duration::from_millis(300);

/// Open jobs that nobody reports, and what they count.
#[derive(Default)]
pub(crate) struct OpenJobs {
    /// Without a value if the index does not tell and the record was not read.
    unreported: HashMap<JobId, Option<OpenJob>>,
    /// Whether the index was read since the start.
    is_listed: watch::Sender<bool>,
}

impl OpenJobs {
    /// Tokens of a route's jobs.
    pub(super) fn tokens(&self, route: &str) -> u64 {
        let known = self.unreported.values().flatten();
        known.filter(|o| *o.route == *route).map(|o| o.tokens).sum()
    }

    /// Whether a job is among those whose tokens are counted.
    pub(super) fn counts(&self, id: &JobId) -> bool {
        self.unreported.get(id).is_some_and(Option::is_some)
    }

    /// Whether a job is listed, and its record has to be read for what it counts.
    pub(super) fn needs_record(&self, id: &JobId) -> bool {
        self.unreported.get(id).is_some_and(Option::is_none)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.unreported.is_empty()
    }

    /// A job is counted elsewhere, or is over.
    pub(super) fn remove(&mut self, id: &JobId) {
        self.unreported.remove(id);
    }

    /// A listed job's record was read.
    pub(super) fn note_record(&mut self, id: &JobId, record: &JobRecord) {
        if record.phase != JobPhase::Open {
            self.remove(id);
        } else if let Some(open) = self.unreported.get_mut(id) {
            *open = Some(OpenJob::from(record));
        }
    }

    /// Takes a list over. What was read of a job's record before is kept.
    fn replace(&mut self, listed: impl Iterator<Item = (JobId, Option<OpenJob>)>) {
        let mut before = std::mem::take(&mut self.unreported);
        let listed = listed.take(UNREPORTED);
        self.unreported = listed
            .map(|(id, open)| {
                let open = open.or_else(|| before.remove(&id).flatten());
                (id, open)
            })
            .collect();
        self.is_listed.send_replace(true);
    }
}

/// Reads the index until that has succeeded once. One that the store refuses to tell
/// will not be had later either: nobody waits for it.
pub(super) async fn list_first(gw: &Gateway) {
    while let Err(e) = list(gw).await {
        warn!(target: "jobs", error:% = e; "open jobs not listed");
        if let KvError::Refused(_) = e {
            gw.jobs.borrow().open.is_listed.send_replace(true);
            return;
        }
        sleep(RETRY).await;
    }
}

/// All open jobs; those that nobody reports are counted from now on.
pub(super) async fn list(gw: &Gateway) -> Result<Vec<JobId>, KvError> {
    let (all, _) = gw.store.list(&Key::from(keys::OPEN_JOBS_PREFIX)).await?;
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
    let full: Vec<_> = members
        .peers()
        .filter(|(_, p)| p.jobs.len() >= REPORTED)
        .collect();
    let unreported: Vec<_> = all
        .into_iter()
        .filter(|(id, _)| !counted.contains(id) && !jobs.is_own_or_ended(id))
        .filter(|(id, _)| !may_be_left_out(&full, &jobs, id))
        .collect();
    jobs.open.replace(unreported.into_iter());
    Ok(ids)
}

/// Whether a job may be one that its owner counts and has no room to name, given the
/// peers whose reports are full.
fn may_be_left_out(full: &[(&EntryName, &Peer)], jobs: &Jobs, id: &JobId) -> bool {
    let owner = jobs.owners.get(id);
    full.iter()
        .any(|(name, p)| owner.is_none_or(|o| o.entry == **name && o.run == p.run))
}

/// Waits until the index was read since the start; whether it was in time.
pub(super) async fn wait_until_listed(gw: &Gateway, deadline: Instant) -> bool {
    let mut listed = gw.jobs.borrow().open.is_listed.subscribe();
    let listed = timeout_at(deadline, listed.wait_for(|l| *l)).await;
    matches!(listed, Ok(Ok(_)))
}
