//! Jobs of the fleet that are not over, by owner.

use crate::jobs::messages::JobsCount;
use bluebellreel_job::JobRecord;
use bluebellreel_routing::rendezvous_score;
use bluebellreel_types::{EntryName, Incarnation, JobId, Moment, TeamName};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// How long an owner must be gone before its jobs are taken over.
///
/// Guards against a stampede after an outage of the key-value service, when
/// all leases have lapsed and every daemon is about to take a new one.
const TAKE_OVER_GRACE: Duration = Duration::from_millis(1_500);

/// One job of the index.
#[derive(Clone, Debug)]
pub(crate) struct IndexedJob {
    pub(crate) record: JobRecord,
    pub(crate) revision: i64,
    /// When its owner was first missed.
    owner_missing_since: Option<Moment>,
    /// Whether a take-over is under way here.
    takeover_pending: bool,
}

/// The index.
#[derive(Clone, Debug, Default)]
pub(crate) struct JobIndex {
    pub(crate) jobs: BTreeMap<JobId, IndexedJob>,
    entries: HashMap<EntryName, Incarnation>,
}

impl JobIndex {
    /// Takes a record in, unless a later one is known.
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

    /// Takes a job out that is over.
    pub(crate) fn remove(&mut self, id: &JobId, revision: i64) {
        let known = self.jobs.get(id);
        if known.is_some_and(|job| job.revision <= revision) {
            self.jobs.remove(id);
        }
    }

    /// Jobs in all and of a team.
    pub(crate) fn count(&self, team: &TeamName) -> JobsCount {
        let jobs = self.jobs.values();
        JobsCount {
            all: self.jobs.len(),
            of_team: jobs.filter(|job| job.record.team == *team).count(),
        }
    }

    /// A take-over did not come about. The grace time begins anew, so that one
    /// that fails again and again costs few calls.
    pub(crate) fn on_takeover_failed(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.takeover_pending = false;
            job.owner_missing_since = None;
        }
    }

    /// A daemon is there.
    pub(crate) fn note_entry(&mut self, name: EntryName, run: Incarnation) {
        self.entries.insert(name, run);
    }

    /// A daemon is gone.
    pub(crate) fn forget_entry(&mut self, name: &EntryName) {
        self.entries.remove(name);
    }

    fn is_owner_live(&self, record: &JobRecord) -> bool {
        self.entries.get(&record.owner) == Some(&record.owner_run)
    }

    /// Jobs whose owner is not there.
    pub(crate) fn orphaned(&self) -> usize {
        let orphaned = self
            .jobs
            .values()
            .filter(|job| !self.is_owner_live(&job.record));
        orphaned.count()
    }

    /// The jobs that this daemon, in this run, should take over now. Each
    /// orphaned job has one daemon that ranks highest for it, so that they do
    /// not all try.
    ///
    /// Guard: a job that names this run and that it does not hold is taken over
    /// anew. It had let go of it by mistake, and nobody else would take it up
    /// while this run lives.
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
            let is_there = if is_mine {
                holds(&job.record.id)
            } else {
                entries.get(&job.record.owner) == Some(&job.record.owner_run)
            };
            if is_there {
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
