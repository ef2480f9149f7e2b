//! The jobs that this daemon owns.

use bluebellreel_batch::{Job, JobRecord, ProgressCopies, Stamp, StartLease, StartTerms};
use bluebellreel_types::{EntryName, Incarnation, JobId, Moment, WorkerName};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::rc::Rc;
use tokio::sync::{Mutex, Notify, watch};
use tokio::task::AbortHandle;

use super::archive::Archive;
use super::open::OpenJobs;

/// One job, with what wakes those that wait for it.
pub(crate) struct OwnedJob {
    pub(crate) job: RefCell<Job>,
    /// Wakes the task that records its results.
    pub(crate) record_due: Notify,
    /// Wakes readers.
    pub(crate) listed: Notify,
    /// The right to start its items, by the store's last confirmation that the
    /// job is this daemon's.
    pub(super) lease: Cell<StartLease>,
    /// Whether an item waits for a confirmation only.
    pub(super) wants_start: Cell<bool>,
    /// Held while the store is asked whose the job is.
    pub(super) confirming: Mutex<()>,
    /// Set once an item had no route.
    pub(super) route_missing: Cell<Option<RouteMissing>>,
}

impl OwnedJob {
    /// A job that the store has confirmed to a call that was sent at `asked`.
    pub(super) fn new(job: Job, asked: Stamp, terms: &StartTerms) -> Rc<Self> {
        Rc::new(Self {
            job: RefCell::new(job),
            record_due: Notify::new(),
            listed: Notify::new(),
            lease: Cell::new(StartLease::new(asked, terms)),
            wants_start: Cell::new(false),
            confirming: Mutex::new(()),
            route_missing: Cell::new(None),
        })
    }

    /// Something speaks against the job's being this daemon's: none of its items
    /// starts before the store has confirmed it again.
    pub(super) fn invalidate_lease(&self, terms: &StartTerms) {
        self.lease.set(StartLease::new(Stamp::default(), terms));
    }

    /// The store has confirmed the job once more.
    pub(super) fn confirmed(&self, asked: Stamp, terms: &StartTerms) {
        if asked.at > self.lease.get().asked().at {
            self.lease.set(StartLease::new(asked, terms));
            self.wants_start.set(false);
        }
    }
}

/// A job of which an item has no route.
#[derive(Clone, Copy)]
pub(super) struct RouteMissing {
    /// Revision of the configuration that lacks it.
    pub(super) configuration: i64,
    /// When the store is asked whether that is the newest one.
    pub(super) ask_at: Moment,
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

/// Who recorded the end of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CancelledBy {
    /// This daemon, whose reports name the job.
    Us,
    /// A peer.
    Peer,
}

/// A job that was ended.
#[derive(Clone, Copy, Debug)]
struct Tombstone {
    by: CancelledBy,
    until: Moment,
}

/// How a submission came out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SubmissionOutcome {
    /// Not decided yet.
    Pending,
    /// The job is kept.
    Stored,
    /// It is certainly not kept, and never will be.
    NotStored,
    /// The same, as it does not fit its route's quota.
    OverQuota,
}

/// All jobs that this daemon knows of.
pub(crate) struct Jobs {
    pub(crate) own: BTreeMap<JobId, Rc<OwnedJob>>,
    pub(crate) runs: HashMap<(JobId, usize), ItemRun>,
    /// Submissions on their way to the store.
    pub(crate) submissions: HashMap<JobId, watch::Receiver<SubmissionOutcome>>,
    /// Owners of other jobs, as last read.
    pub(crate) owners: HashMap<JobId, KnownOwner>,
    /// Jobs without an owner that another daemon should take over, and since
    /// when they are known.
    pub(crate) orphans: HashMap<JobId, Moment>,
    /// Jobs that lie open in the store and that nobody reports.
    pub(crate) open: OpenJobs,
    /// Jobs that were owned here or that peers have reported as theirs.
    reported: HashSet<JobId>,
    pub(crate) archive: Archive,
    /// Jobs that were ended lately. One that is still being read from the store
    /// must not be run.
    tombstones: BTreeMap<JobId, Tombstone>,
    /// Jobs whose end is still to be recorded.
    pub(crate) pending_cancellations: BTreeSet<JobId>,
    /// Those of them that a stopping daemon has passed on, or is passing on.
    pub(super) forwarded_cancellations: BTreeSet<JobId>,
    /// How far the items of peers' jobs are that this daemon would take over.
    pub(crate) copies: ProgressCopies,
    /// Wakes the task that looks for jobs without an owner.
    pub(crate) orphans_due: Rc<Notify>,
}

/// Jobs named in a report as owned, and as ended, some 20 bytes each. Owners of
/// more are found by reading records, ends of more by asking the store.
pub(super) const MAX_REPORTED: usize = 500;
/// Tombstones kept, some 40 bytes each.
const MAX_TOMBSTONES: usize = 8192;
/// Owners remembered; each takes some hundred bytes.
const MAX_OWNERS: usize = 8192;

/// Bytes of peers' progress that are kept: some hundred items half done, of
/// a VM that may have 88 MB.
const MAX_COPIES_BYTES: usize = 8 * 1024 * 1024;

impl Default for Jobs {
    fn default() -> Self {
        Self {
            own: BTreeMap::new(),
            runs: HashMap::new(),
            submissions: HashMap::new(),
            owners: HashMap::new(),
            orphans: HashMap::new(),
            open: OpenJobs::default(),
            reported: HashSet::new(),
            archive: Archive::default(),
            tombstones: BTreeMap::new(),
            pending_cancellations: BTreeSet::new(),
            forwarded_cancellations: BTreeSet::new(),
            copies: ProgressCopies::new(MAX_COPIES_BYTES),
            orphans_due: Rc::default(),
        }
    }
}

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

    /// Remembers that a job's tokens are counted somewhere.
    pub(crate) fn note_reported(&mut self, id: &JobId) {
        if self.reported.len() >= MAX_OWNERS {
            self.reported.clear();
        }
        self.reported.insert(id.clone());
        self.open.remove(id);
    }

    fn set_owner(&mut self, id: &JobId, owner: KnownOwner) {
        if self.owners.len() >= MAX_OWNERS {
            self.owners.clear();
        }
        self.owners.insert(id.clone(), owner);
    }

    /// Whether a job's tokens are, or were, among those counted here or reported
    /// by peers.
    pub(crate) fn is_counted(&self, id: &JobId) -> bool {
        self.reported.contains(id)
    }

    /// Whether a job is counted as this daemon's, or is over as far as is known here.
    pub(super) fn is_own_or_finished(&self, id: &JobId) -> bool {
        self.own.contains_key(id) || self.is_cancelled(id) || self.archive.get(id).is_some()
    }

    /// Jobs owned here that reports name.
    pub(crate) fn owned_ids(&self) -> Vec<JobId> {
        self.own.keys().take(MAX_REPORTED).cloned().collect()
    }

    /// Remembers that a job was ended, by whom, until a moment.
    pub(crate) fn add_tombstone(&mut self, id: &JobId, by: CancelledBy, until: Moment) {
        if self.tombstones.len() >= MAX_TOMBSTONES {
            self.tombstones.clear();
        }
        let known = self.tombstones.get(id).map(|t| t.by);
        let by = if known == Some(CancelledBy::Us) {
            CancelledBy::Us
        } else {
            by
        };
        self.tombstones.insert(id.clone(), Tombstone { by, until });
        self.open.remove(id);
    }

    /// Whether a job is known to be ended.
    pub(crate) fn is_cancelled(&self, id: &JobId) -> bool {
        self.tombstones.contains_key(id)
    }

    /// Jobs that reports name as ended.
    pub(crate) fn cancelled_here(&self) -> Vec<JobId> {
        let here = self
            .tombstones
            .iter()
            .filter(|(_, t)| t.by == CancelledBy::Us);
        here.take(MAX_REPORTED).map(|(id, _)| id.clone()).collect()
    }

    /// Forgets what has outlived its time.
    pub(crate) fn sweep(&mut self, now: Moment) {
        self.copies.sweep(now);
        self.tombstones.retain(|_, t| !t.until.is_past(now));
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

    /// Evicts a job that another daemon owns now, or that is over, and aborts its
    /// runs.
    pub(crate) fn evict(&mut self, id: &JobId) -> Option<Rc<OwnedJob>> {
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
