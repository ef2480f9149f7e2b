//! Index of all running jobs in the fleet and of the entry daemons that may own
//! them.

use crate::jobs::messages::JobsCount;
use bluebellreel_job::JobRecord;
use bluebellreel_routing::rendezvous_score;
use bluebellreel_types::{EntryName, Incarnation, JobId, Moment, TeamName};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// How long an owner's lease must be missing before its jobs are taken over.
///
/// Prevents mass take-overs after an outage of the key-value service: all leases
/// have expired by then, and every daemon is about to acquire a new one.
const TAKE_OVER_GRACE: Duration = Duration::from_millis(1_500);

/// A running job.
#[derive(Clone, Debug)]
pub(crate) struct IndexedJob {
    pub(crate) record: JobRecord,
    pub(crate) revision: i64,
    /// When the job was first seen without a live owner.
    owner_missing_since: Option<Moment>,
    /// Whether this daemon is trying to take the job over.
    takeover_pending: bool,
}

/// Running jobs by id, and live entry daemons by name.
#[derive(Clone, Debug, Default)]
pub(crate) struct JobIndex {
    pub(crate) jobs: BTreeMap<JobId, IndexedJob>,
    entries: HashMap<EntryName, Incarnation>,
}

impl JobIndex {
    /// Adds or replaces a job, unless a record of the same or a later revision is
    /// known.
    pub(crate) fn put(&mut self, record: JobRecord, revision: i64) {
        let known = self.jobs.get(&record.id);
        if known.is_some_and(|job| job.revision >= revision) {
            return;
        }
        let job = IndexedJob {
            revision,
            owner_missing_since: None,
            takeover_pending: false,
            record,
        };
        self.jobs.insert(job.record.id.clone(), job);
    }

    /// Removes a job that has ended, unless a record of a later revision is known.
    pub(crate) fn remove(&mut self, id: &JobId, revision: i64) {
        let known = self.jobs.get(id);
        if known.is_some_and(|job| job.revision <= revision) {
            self.jobs.remove(id);
        }
    }

    /// Counts all running jobs and those of a team.
    pub(crate) fn count(&self, team: &TeamName) -> JobsCount {
        let jobs = self.jobs.values();
        JobsCount {
            all: self.jobs.len(),
            of_team: jobs.filter(|job| job.record.team == *team).count(),
        }
    }

    /// Records that a take-over failed. The grace period starts again, so that a
    /// take-over that keeps failing makes few calls to the key-value service.
    pub(crate) fn on_takeover_failed(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.takeover_pending = false;
            job.owner_missing_since = None;
        }
    }

    /// Adds a live entry daemon.
    pub(crate) fn note_entry(&mut self, name: EntryName, run: Incarnation) {
        self.entries.insert(name, run);
    }

    /// Removes an entry daemon whose lease has ended.
    pub(crate) fn forget_entry(&mut self, name: &EntryName) {
        self.entries.remove(name);
    }

    fn is_owner_live(&self, record: &JobRecord) -> bool {
        self.entries.get(&record.owner) == Some(&record.owner_run)
    }

    /// Number of jobs without a live owner.
    pub(crate) fn orphaned(&self) -> usize {
        let orphaned = self
            .jobs
            .values()
            .filter(|job| !self.is_owner_live(&job.record));
        orphaned.count()
    }

    /// Jobs that this incarnation of the daemon should take over now. Only the
    /// live daemon that ranks highest for an orphaned job is its successor, so
    /// that not all daemons try.
    ///
    /// A job whose record names this incarnation but that the daemon does not
    /// hold is taken over again: the daemon dropped it by mistake, and no other
    /// daemon takes it over while this incarnation is live.
    pub(crate) fn due_takeovers(
        &mut self,
        (me, run): (&EntryName, Incarnation),
        holds: impl Fn(&JobId) -> bool,
        now: Moment,
    ) -> Vec<(JobRecord, i64)> {
        let mut due = Vec::new();
        let entries = &self.entries;
        for job in self.jobs.values_mut() {
            let is_mine = job.record.owner == *me && job.record.owner_run == run;
            let is_live = if is_mine {
                holds(&job.record.id)
            } else {
                entries.get(&job.record.owner) == Some(&job.record.owner_run)
            };
            if is_live {
                job.owner_missing_since = None;
                continue;
            }
            let owner_missing_since = *job.owner_missing_since.get_or_insert(now);
            let waited = (owner_missing_since + TAKE_OVER_GRACE).is_past(now);
            let is_successor = is_mine || successor(entries, &job.record.id) == Some(me);
            if !waited || job.takeover_pending || !is_successor {
                continue;
            }
            job.takeover_pending = true;
            due.push((job.record.clone(), job.revision));
        }
        due
    }
}

fn successor<'a>(
    entries: &'a HashMap<EntryName, Incarnation>,
    job: &JobId,
) -> Option<&'a EntryName> {
    entries
        .keys()
        .max_by_key(|entry| (rendezvous_score(hash_of(job), entry.as_str()), *entry))
}

fn hash_of(job: &JobId) -> u64 {
    rendezvous_score(0, job.as_str())
}
