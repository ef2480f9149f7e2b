//! The jobs that this daemon owns.

use bluebellreel_batch::{Job, JobRecord};
use bluebellreel_types::{EntryName, Incarnation, JobId, Moment, WorkerName};
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, watch};
use tokio::task::AbortHandle;

use super::archive::Archive;

/// One job, with what wakes those that wait for it.
pub(crate) struct OwnedJob {
    pub(crate) job: RefCell<Job>,
    /// Wakes the task that records its results.
    pub(crate) record_due: Notify,
    /// Wakes readers.
    pub(crate) listed: Notify,
}

impl OwnedJob {
    pub(crate) fn new(job: Job) -> Rc<Self> {
        Rc::new(Self {
            job: RefCell::new(job),
            record_due: Notify::new(),
            listed: Notify::new(),
        })
    }
}

/// A run of an item at a worker.
pub(crate) struct ItemRun {
    pub(crate) worker: WorkerName,
    pub(crate) abort: AbortHandle,
}

/// Where a job is known to be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct KnownOwner {
    pub(crate) entry: EntryName,
    pub(crate) run: Incarnation,
}

/// How a submission came out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Accepted {
    /// Not decided yet.
    Open,
    /// The job is kept.
    Kept,
    /// It is certainly not kept, and never will be.
    NotKept,
    /// The same, as it does not fit its route's quota.
    NoRoom,
}

/// All jobs that this daemon knows of.
#[derive(Default)]
pub(crate) struct Jobs {
    pub(crate) own: BTreeMap<JobId, Rc<OwnedJob>>,
    pub(crate) runs: HashMap<(JobId, usize), ItemRun>,
    /// Submissions on their way to the store.
    pub(crate) submissions: HashMap<JobId, watch::Receiver<Accepted>>,
    /// Jobs that came to be owned here lately, and until when peers are told.
    pub(crate) lately: VecDeque<(JobId, Moment)>,
    /// Owners of other jobs, as last read.
    pub(crate) owners: HashMap<JobId, KnownOwner>,
    /// Jobs without an owner that another daemon should take over, and since
    /// when they are known.
    pub(crate) orphans: HashMap<JobId, Moment>,
    /// Jobs that were owned here or that peers have reported as theirs.
    reported: HashSet<JobId>,
    pub(crate) archive: Archive,
    /// Wakes the task that looks for jobs without an owner.
    pub(crate) orphans_due: Rc<Notify>,
}

/// How long peers are told of a job; a caller comes to read it within a second.
const TELL_OWNED: Duration = Duration::from_secs(2);
/// Owners remembered; each takes some hundred bytes.
const OWNERS: usize = 8192;

impl Jobs {
    /// Remembers who owns a job.
    pub(crate) fn note_owner(&mut self, id: &JobId, record: &JobRecord) {
        let owner = KnownOwner {
            entry: record.owner.entry.clone(),
            run: record.owner.run,
        };
        self.set_owner(id, owner);
    }

    /// Takes a peer's report over that it owns a job, whose tokens are among
    /// those that it reports.
    pub(crate) fn reported(&mut self, id: &JobId, owner: KnownOwner) {
        self.note_reported(id);
        self.set_owner(id, owner);
    }

    fn note_reported(&mut self, id: &JobId) {
        if self.reported.len() >= OWNERS {
            self.reported.clear();
        }
        self.reported.insert(id.clone());
    }

    fn set_owner(&mut self, id: &JobId, owner: KnownOwner) {
        if self.owners.len() >= OWNERS {
            self.owners.clear();
        }
        self.owners.insert(id.clone(), owner);
    }

    /// Has peers told of a job that is owned here now.
    pub(crate) fn tell_owned(&mut self, id: &JobId, now: Moment) {
        self.note_reported(id);
        self.lately.push_back((id.clone(), now + TELL_OWNED));
        self.lately.retain(|(_, until)| !until.is_past(now));
    }

    /// Whether a job's tokens are, or were, among those counted here or reported
    /// by peers.
    pub(crate) fn is_counted(&self, id: &JobId) -> bool {
        self.reported.contains(id)
    }

    /// Jobs that peers are told of, as far as they are still owned here.
    pub(crate) fn owned_lately(&self, now: Moment) -> Vec<JobId> {
        let lately = self.lately.iter().filter(|(_, until)| !until.is_past(now));
        let own = lately.filter(|(id, _)| self.own.contains_key(id));
        own.map(|(id, _)| id.clone()).collect()
    }

    /// Items that wait for a slot.
    pub(crate) fn items_waiting(&self) -> u32 {
        let open = self
            .own
            .values()
            .map(|owned| owned.job.borrow().items_waiting());
        u32::try_from(open.sum::<usize>()).unwrap_or(u32::MAX)
    }

    /// Tokens of own jobs that wait, by route.
    pub(crate) fn tokens_by_route(&self) -> BTreeMap<String, u64> {
        let mut tokens = BTreeMap::new();
        for owned in self.own.values() {
            let job = owned.job.borrow();
            let left = job.tokens_left();
            if left > 0 {
                *tokens.entry(job.record.route.to_string()).or_default() += left;
            }
        }
        tokens
    }

    /// Drops a job that another daemon owns now, or that is over, and ends its
    /// runs.
    pub(crate) fn let_go(&mut self, id: &JobId) -> Option<Rc<OwnedJob>> {
        self.end_runs(id);
        let owned = self.own.remove(id)?;
        owned.record_due.notify_one();
        owned.listed.notify_waiters();
        Some(owned)
    }

    /// Ends all runs of a job's items.
    pub(crate) fn end_runs(&mut self, id: &JobId) {
        let of_job = |(job, _): &(JobId, usize)| job == id;
        self.runs.retain(|key, run| {
            if of_job(key) {
                run.abort.abort();
            }
            !of_job(key)
        });
    }
}
