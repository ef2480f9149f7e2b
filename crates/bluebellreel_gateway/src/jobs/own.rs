//! The jobs that this daemon owns or has information on.

use bluebellreel_batch::{
    Forecast, Job, JobRecord, NewItem, ProgressCopies, Stamp, StartLease, StartTerms, WaitingItems,
    count_waiting,
};
use bluebellreel_net::{Account, Hold};
use bluebellreel_teams::Caller;
use bluebellreel_types::{EntryName, Incarnation, JobId, Moment, WorkerName};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Mutex, Notify, watch};
use tokio::task::AbortHandle;

use super::archive::Archive;
use super::open::OpenJobs;

/// How soon an item must be due to claim a free slot. Items pause for a tenth of a second
/// between two runs; those held back for longer would keep other daemons' items off slots
/// that nobody uses.
const CLAIM_TIME: Duration = Duration::from_millis(500);

/// Memory of an item beside its input, in bytes.
const ITEM_BYTES: usize = 512;

/// Memory of an item's input, in bytes.
pub(super) fn input_bytes(input: &NewItem) -> usize {
    let headers = input.headers.iter();
    let headers: usize = headers.map(|(name, value)| name.len() + value.len()).sum();
    ITEM_BYTES + input.id.len() + input.path.len() + headers + input.body.len()
}

/// One owned job, with the notifications of the tasks that wait for its changes.
pub(crate) struct OwnedJob {
    pub(crate) job: RefCell<Job>,
    /// Wakes the task that records its results.
    pub(crate) record_due: Notify,
    /// Wakes readers when results are recorded.
    pub(crate) listed: Notify,
    /// The right to start its items, based on the store's last confirmation that
    /// this daemon owns the job.
    pub(super) lease: Cell<StartLease>,
    /// Whether an item could start if the ownership were confirmed.
    pub(super) wants_start: Cell<bool>,
    /// Held during a call to the store that reads which daemon owns the job.
    pub(super) confirming: Mutex<()>,
    /// Set once an item of the job has no route.
    pub(super) route_missing: Cell<Option<RouteMissing>>,
    /// Its input on the account of jobs.
    _hold: Hold,
}

impl OwnedJob {
    /// Creates the state of a job that the store confirmed by a call sent at `asked`. Its input
    /// counts on `account`, also where there is no room for it.
    pub(super) fn new(job: Job, asked: Stamp, terms: &StartTerms, account: &Account) -> Rc<Self> {
        // A job that this daemon owns is kept, also where there is no room for further ones.
        let inputs = job.items.iter().map(|item| &item.input);
        let hold = account.take(inputs.map(input_bytes).sum());
        Rc::new(Self {
            job: RefCell::new(job),
            record_due: Notify::new(),
            listed: Notify::new(),
            lease: Cell::new(StartLease::new(asked, terms)),
            wants_start: Cell::new(false),
            confirming: Mutex::new(()),
            route_missing: Cell::new(None),
            _hold: hold,
        })
    }

    /// Invalidates the start lease, as another daemon may own the job: none of its
    /// items starts before the store has confirmed the ownership again.
    pub(super) fn invalidate_lease(&self, terms: &StartTerms) {
        self.lease.set(StartLease::new(Stamp::default(), terms));
    }

    /// Renews the start lease after the store has confirmed the ownership again.
    pub(super) fn confirmed(&self, asked: Stamp, terms: &StartTerms) {
        if asked.at > self.lease.get().asked().at {
            self.lease.set(StartLease::new(asked, terms));
            self.wants_start.set(false);
        }
    }
}

/// State of a job that has an item without a route.
#[derive(Clone, Copy)]
pub(super) struct RouteMissing {
    /// Revision of the configuration that lacks the route.
    pub(super) configuration: i64,
    /// When to check with the store whether this is the newest configuration.
    pub(super) ask_at: Moment,
}

/// One execution of an item by a worker.
pub(crate) struct ItemRun {
    pub(crate) worker: WorkerName,
    pub(crate) abort: AbortHandle,
}

/// The owner of a job, as last known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct KnownOwner {
    pub(crate) entry: EntryName,
    pub(crate) run: Incarnation,
}

/// Which daemon recorded a job's cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CancelledBy {
    /// This daemon, which lists the job in its reports.
    Us,
    /// A peer.
    Peer,
}

/// A job that was cancelled.
#[derive(Clone, Copy, Debug)]
struct Tombstone {
    by: CancelledBy,
    until: Moment,
}

/// Outcome of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SubmissionOutcome {
    /// The outcome is not known yet.
    Pending,
    /// The job is stored.
    Stored,
    /// The job is certainly not stored and never will be.
    NotStored,
    /// As [`Self::NotStored`], because the job exceeds its quota.
    OverQuota,
    /// As [`Self::NotStored`], because a job of another team has the same id.
    OtherTeam,
}

/// A submission that is being written to the store.
#[derive(Clone)]
pub(crate) struct PendingSubmission {
    /// The team that the job will belong to.
    pub(super) team: Option<Arc<str>>,
    pub(super) outcome: watch::Receiver<SubmissionOutcome>,
}

/// All jobs that this daemon has information on.
pub(crate) struct Jobs {
    pub(crate) own: BTreeMap<JobId, Rc<OwnedJob>>,
    pub(crate) runs: HashMap<(JobId, usize), ItemRun>,
    /// Submissions that are being written to the store.
    pub(super) submissions: HashMap<JobId, PendingSubmission>,
    /// Number of uploads begun, which numbers them.
    uploads: u64,
    /// Number of copies of counts sent to keepers, which numbers them.
    counts_copies: u64,
    /// Owners of the jobs that peers own, as last read.
    pub(crate) owners: HashMap<JobId, KnownOwner>,
    /// Jobs without an owner that another daemon should take over, with the time at
    /// which this daemon first found them so.
    pub(crate) orphans: HashMap<JobId, Moment>,
    /// Open jobs in the store that no daemon reports.
    pub(crate) open: OpenJobs,
    /// Jobs that were owned here or that peers have reported as theirs.
    reported: HashSet<JobId>,
    pub(crate) archive: Archive,
    /// Recently cancelled jobs. If such a job is still being loaded from the store,
    /// it must not be run.
    tombstones: BTreeMap<JobId, Tombstone>,
    /// Jobs whose cancellation is still to be recorded.
    pub(crate) pending_cancellations: BTreeSet<(JobId, Caller)>,
    /// Those pending cancellations that this stopping daemon has forwarded or is forwarding.
    pub(super) forwarded_cancellations: BTreeSet<(JobId, Caller)>,
    /// Progress of the items of peers' jobs, for which this daemon is the successor.
    pub(crate) copies: ProgressCopies,
    /// Wakes the task that scans for jobs without an owner.
    pub(crate) orphans_due: Rc<Notify>,
    /// Since when the store has not decided on a write of counts that waits for it.
    pub(super) counts_write_began: Option<Moment>,
    /// Wakes the task that writes counts of items to the store.
    pub(super) counts_due: Rc<Notify>,
}

/// Limit on the owned jobs, and on the cancelled jobs, named in a report, at about 20
/// bytes each. For jobs beyond it, peers find the owner by reading the record, and a
/// cancellation by reading the store.
pub(super) const MAX_REPORTED: usize = 500;
/// Limit on the tombstones kept, at about 40 bytes each.
const MAX_TOMBSTONES: usize = 8192;
/// Limit on the owners remembered, at about a hundred bytes each.
const MAX_OWNERS: usize = 8192;

/// Limit on the stored progress of peers' items, in bytes, on a machine of any size: enough for
/// hundreds of half-finished items.
const MAX_COPIES_BYTES: usize = 8 * 1024 * 1024;

impl Jobs {
    /// No jobs. What is kept for others may take so many bytes of each kind.
    pub(crate) fn new(kept_for_others: usize) -> Self {
        Self {
            own: BTreeMap::new(),
            runs: HashMap::new(),
            submissions: HashMap::new(),
            uploads: 0,
            counts_copies: 0,
            owners: HashMap::new(),
            orphans: HashMap::new(),
            open: OpenJobs::default(),
            reported: HashSet::new(),
            archive: Archive::new(kept_for_others),
            tombstones: BTreeMap::new(),
            pending_cancellations: BTreeSet::new(),
            forwarded_cancellations: BTreeSet::new(),
            copies: ProgressCopies::new(kept_for_others.min(MAX_COPIES_BYTES)),
            orphans_due: Rc::default(),
            counts_write_began: None,
            counts_due: Rc::default(),
        }
    }
}

impl Jobs {
    /// Number of the next upload of this run.
    pub(super) fn next_upload(&mut self) -> u64 {
        self.uploads += 1;
        self.uploads
    }

    /// Number of the next copy of counts of this run.
    pub(super) fn next_counts_copy(&mut self) -> u64 {
        self.counts_copies += 1;
        self.counts_copies
    }

    /// Remembers who owns a job.
    pub(crate) fn note_owner(&mut self, id: &JobId, record: &JobRecord) {
        let owner = KnownOwner {
            entry: record.owner.entry.clone(),
            run: record.owner.run,
        };
        self.set_owner(id, owner);
    }

    /// Applies a peer's report that it owns a job, and that the job's tokens are
    /// among those that the peer reports.
    pub(crate) fn reported(&mut self, id: &JobId, owner: KnownOwner) {
        self.note_reported(id);
        self.set_owner(id, owner);
    }

    /// Remembers that a job's tokens are counted by its owner.
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

    /// Whether a job's tokens are or were counted here, or reported by a peer.
    pub(crate) fn is_counted(&self, id: &JobId) -> bool {
        self.reported.contains(id)
    }

    /// Whether this daemon owns a job, or knows that it has finished or was cancelled.
    pub(super) fn is_own_or_finished(&self, id: &JobId) -> bool {
        self.own.contains_key(id) || self.is_cancelled(id) || self.archive.get(id).is_some()
    }

    /// Owned jobs to name in reports.
    pub(crate) fn owned_ids(&self) -> Vec<JobId> {
        self.own.keys().take(MAX_REPORTED).cloned().collect()
    }

    /// Remembers until `until` that a job was cancelled, and which daemon recorded it.
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

    /// Whether a cancellation that may apply to a job of this team is still to be recorded.
    pub(super) fn is_cancellation_pending(&self, id: &JobId, team: Option<&str>) -> bool {
        let mut pending = self.pending_cancellations.iter();
        pending.any(|(job, caller)| job == id && caller.may_access(team))
    }

    /// Whether a job is known to be cancelled.
    pub(crate) fn is_cancelled(&self, id: &JobId) -> bool {
        self.tombstones.contains_key(id)
    }

    /// Jobs whose cancellation this daemon has recorded, to name in reports.
    pub(crate) fn cancelled_here(&self) -> Vec<JobId> {
        let here = self
            .tombstones
            .iter()
            .filter(|(_, t)| t.by == CancelledBy::Us);
        here.take(MAX_REPORTED).map(|(id, _)| id.clone()).collect()
    }

    /// Removes expired tombstones and progress copies.
    pub(crate) fn sweep(&mut self, now: Moment) {
        self.copies.sweep(now);
        self.tombstones.retain(|_, t| !t.until.is_past(now));
    }

    /// Number of own items that wait for a worker slot.
    pub(crate) fn items_waiting(&self, now: Moment) -> u32 {
        let open = self
            .own
            .values()
            .map(|owned| owned.job.borrow().items_waiting(now + CLAIM_TIME));
        u32::try_from(open.sum::<usize>()).unwrap_or(u32::MAX)
    }

    /// As [`Self::items_waiting`], by whether they can be in time.
    pub(crate) fn items_by_forecast(&self, forecast: &Forecast, now: Moment) -> WaitingItems {
        let mut waiting = WaitingItems::default();
        for owned in self.own.values() {
            let job = owned.job.borrow();
            let of_job = count_waiting(&job, forecast, now + CLAIM_TIME, now);
            waiting.in_time += of_job.in_time;
            waiting.late += of_job.late;
        }
        waiting
    }

    /// Tokens of own jobs that are still to be processed, by quota scope.
    pub(crate) fn tokens_by_scope(&self) -> BTreeMap<String, u64> {
        let mut tokens = BTreeMap::new();
        for owned in self.own.values() {
            let job = owned.job.borrow();
            let left = job.tokens_left();
            if left > 0 {
                *tokens
                    .entry(job.record.quota_scope().to_string())
                    .or_default() += left;
            }
        }
        tokens
    }

    /// Evicts a job that another daemon owns now or that has finished, and aborts its
    /// runs.
    pub(crate) fn evict(&mut self, id: &JobId) -> Option<Rc<OwnedJob>> {
        self.end_runs(id);
        let owned = self.own.remove(id)?;
        owned.record_due.notify_one();
        owned.listed.notify_waiters();
        Some(owned)
    }

    /// Aborts all runs of a job's items.
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
