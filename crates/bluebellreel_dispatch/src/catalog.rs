//! The list of workers, as recorded in the platform's key-value store.
//!
//! A fact is a worker's record or its removal. Each fact carries the store's revision,
//! and the higher revision wins, whether the fact came from this daemon's own watch,
//! from a list or from a peer.

use bluebellreel_types::{DataCentre, Moment, WorkerName, WorkerVersion};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use twox_hash::XxHash64;

/// Whether a worker takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkerState {
    /// Accepts requests.
    Ready,
    /// Shutting down: nothing new may be sent to it.
    Draining,
}

/// Identifies one incarnation of a worker.
///
/// A worker may restart under the same id; its earlier runs are then lost.
/// Incarnations are only equal or different, never earlier or later: the number is taken
/// from the worker's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Boot(pub u64);

/// A short hash that identifies one incarnation of a worker in messages between daemons
/// that all know the worker.
///
/// Ids have some twelve bytes, and daemons send them to each other some fifty times
/// a second. In one of 2,400 fleets of 1,900 workers, two workers have the same tag;
/// the runs of both are then counted for one of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WorkerTag(pub u32);

impl WorkerTag {
    /// The tag of a worker's incarnation.
    #[must_use]
    pub fn of(id: &WorkerName, boot: Option<Boot>) -> Self {
        let seed = boot.map_or(0, |b| b.0);
        let hash = XxHash64::oneshot(seed, id.as_str().as_bytes());
        Self(u32::try_from(hash >> 32).unwrap_or(0))
    }
}

/// A worker's registration, as written by the worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerRecord {
    /// The worker's id.
    pub id: WorkerName,
    /// Its incarnation; none if the worker does not report it.
    pub boot: Option<Boot>,
    /// Version of its software; none if the fact came from a daemon of an earlier build,
    /// which does not pass versions on.
    #[serde(skip)]
    pub version: Option<WorkerVersion>,
    /// The service that the worker runs.
    pub service: Arc<str>,
    /// Address that the worker listens on.
    pub address: SocketAddr,
    /// Data centre of the worker.
    pub data_centre: DataCentre,
    /// Number of requests that the worker runs concurrently.
    pub slots: u32,
    /// Whether the worker accepts new work.
    pub state: WorkerState,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Entry {
    revision: i64,
    record: Option<WorkerRecord>,
    /// Deadline by which a worker whose entry is missing may register again, and the
    /// revision at which the entry was missing.
    missing: Option<(Moment, i64)>,
}

impl Entry {
    /// The entry's part of the catalog digest; 0 if the worker is not listed.
    fn digest(&self, id: &WorkerName) -> u64 {
        let seed = self.revision.cast_unsigned();
        let hash = || XxHash64::oneshot(seed, id.as_str().as_bytes());
        self.record.as_ref().map_or(0, |_| hash())
    }
}

/// All workers, each with the revision of its latest known fact.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Catalog {
    entries: BTreeMap<WorkerName, Entry>,
    /// The entries without a record, oldest first.
    tombstones: BTreeSet<(i64, WorkerName)>,
    revision: i64,
    /// Revision after which every removal is known. A list shows which workers exist at
    /// its revision, not which ones were removed before it.
    removals_known_after: i64,
    /// Digest of the listed workers, updated with each change.
    digest: u64,
}

/// Maximum number of tombstones. A tombstone keeps an older fact from restoring a
/// removed worker.
const MAX_TOMBSTONES: usize = 4096;

impl Catalog {
    /// Revision up to which all changes are known.
    #[must_use]
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// Stores a worker's record unless a newer fact is known. Returns whether anything
    /// changed.
    pub fn put(&mut self, revision: i64, record: WorkerRecord) -> bool {
        if self.is_stale(&record.id, revision) && !self.adds_version(revision, &record) {
            return false;
        }
        let id = record.id.clone();
        let entry = Entry {
            revision,
            record: Some(record),
            missing: None,
        };
        let before = self.replace_entry(id, entry.clone());
        before.is_none_or(|b| b.record != entry.record || b.missing.is_some())
    }

    /// Applies the value of a worker's key at a revision: a worker, or none if the value
    /// is not a usable record. Returns whether anything changed.
    ///
    /// Another writer may have overwritten the worker's key. The worker's previous
    /// record is then no longer valid, so the worker gets no new work; other workers are
    /// unaffected.
    pub fn take(&mut self, revision: i64, id: &WorkerName, record: Option<WorkerRecord>) -> bool {
        match record {
            Some(record) => self.put(revision, record),
            None => self.remove(revision, id),
        }
    }

    /// Removes a worker whose entry was deleted because it left or died.
    pub fn remove(&mut self, revision: i64, id: &WorkerName) -> bool {
        if self.is_stale(id, revision) {
            return false;
        }
        let entry = Entry {
            revision,
            record: None,
            missing: None,
        };
        let before = self.replace_entry(id.clone(), entry);
        self.evict_oldest_tombstone();
        before.is_some_and(|b| b.record.is_some())
    }

    /// Merges the facts of a peer that knows all changes up to `complete_to`: the peer's
    /// whole catalog if `whole`, otherwise the changes after this catalog's revision.
    /// Returns whether anything changed.
    pub fn learn(
        &mut self,
        complete_to: i64,
        facts: Vec<(i64, WorkerName, Option<WorkerRecord>)>,
        whole: bool,
    ) -> bool {
        if whole {
            return self.replace(complete_to, facts, None);
        }
        if self.revision == 0 {
            self.removals_known_after = complete_to;
        }
        let mut changed = false;
        for (revision, id, record) in facts {
            changed |= self.take(revision, &id, record);
        }
        self.advance_to(complete_to);
        changed
    }

    /// Whether [`Catalog::facts_after`] a revision brings a peer up to date that knows
    /// all changes up to that revision. At revision 0 it always does, as such a peer has
    /// no worker to remove.
    ///
    /// This guards against the following fault: a daemon that has just started does not
    /// know which workers were removed before it read the list. A peer that was slightly
    /// behind took the daemon's facts for the complete changes, kept a removed worker
    /// indefinitely and went on sending work to it.
    #[must_use]
    pub fn has_all_changes_after(&self, revision: i64) -> bool {
        revision == 0 || revision >= self.removals_known_after
    }

    /// Records that all changes up to this revision are known.
    pub fn advance_to(&mut self, revision: i64) {
        self.revision = self.revision.max(revision);
    }

    /// Replaces the catalog by a complete list: workers that are not in the list are
    /// removed. An entry without a usable record counts as a removed worker,
    /// without a grace period.
    ///
    /// After an outage of the store the entries of live workers may have expired; the
    /// workers register again within about two seconds. `keep_until` keeps missing
    /// workers until that moment, so that an outage that has just ended does not leave
    /// the fleet without workers.
    pub fn replace(
        &mut self,
        revision: i64,
        list: Vec<(i64, WorkerName, Option<WorkerRecord>)>,
        keep_until: Option<Moment>,
    ) -> bool {
        if revision < self.revision {
            return false;
        }
        self.removals_known_after = revision;
        let mut changed = false;
        // A tombstone in a peer's list may be older than the entry that is known here.
        let present = list.iter().filter(|(.., record)| record.is_some());
        let listed: BTreeSet<WorkerName> = present.map(|(_, id, _)| id.clone()).collect();
        for (at, id, record) in list {
            // A fact that is known already is no sign that a missing worker is back.
            let is_newer = self.entries.get(&id).is_none_or(|e| e.revision < at);
            if is_newer || record.as_ref().is_some_and(|r| self.adds_version(at, r)) {
                changed |= self.take(at, &id, record);
            }
        }
        let missing: Vec<WorkerName> = self
            .entries
            .iter()
            .filter(|(id, e)| e.record.is_some() && e.revision <= revision && !listed.contains(id))
            .map(|(id, _)| id.clone())
            .collect();
        for id in missing {
            changed |= match keep_until {
                Some(until) => self.mark_missing(revision, &id, until),
                None => self.remove(revision, &id),
            };
        }
        self.advance_to(revision);
        changed
    }

    /// Marks a worker whose entry is gone just after an outage of the store, in which
    /// entries of live workers expire: the worker is kept until `until`, so that it can
    /// register again. The list of workers does not change yet.
    pub fn mark_missing(&mut self, revision: i64, id: &WorkerName, until: Moment) -> bool {
        if let Some(entry) = self.entries.get_mut(id)
            && entry.revision <= revision
            && entry.record.is_some()
        {
            entry.missing.get_or_insert((until, revision));
        }
        false
    }

    /// Removes the workers whose time to register again has passed. A removal counts from
    /// the revision up to which everything is known: the workers were absent by then,
    /// and peers that have synchronised up to that revision in the meantime were sent
    /// them as listed. A removal with a lower revision would not reach these peers.
    pub fn expire(&mut self, now: Moment) -> bool {
        let mut changed = false;
        for (id, entry) in &mut self.entries {
            if let Some((until, revision)) = entry.missing
                && until.is_past(now)
            {
                self.digest ^= entry.digest(id);
                entry.record = None;
                entry.missing = None;
                entry.revision = entry.revision.max(revision).max(self.revision);
                self.tombstones.insert((entry.revision, id.clone()));
                changed = true;
            }
        }
        changed
    }

    /// A digest of the listed workers and of the revision of each one's fact. Equal
    /// lists have equal digests, whatever the source of the facts.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// All workers that are listed.
    pub fn workers(&self) -> impl Iterator<Item = &WorkerRecord> {
        self.entries.values().filter_map(|e| e.record.as_ref())
    }

    /// Whether the version of some listed worker is not known.
    #[must_use]
    pub fn lacks_versions(&self) -> bool {
        self.workers().any(|r| r.version.is_none())
    }

    /// Revision of the newest fact; less than [`Catalog::revision`] while nothing
    /// changes.
    #[must_use]
    pub fn newest(&self) -> i64 {
        let revisions = self.entries.values().map(|e| e.revision);
        revisions.max().unwrap_or(0)
    }

    /// Facts after a revision, for a peer: removed workers come without a record.
    /// Removals at that same revision are included, as this daemon may have received
    /// them after the peer synchronised up to it.
    pub fn facts_after(
        &self,
        revision: i64,
    ) -> impl Iterator<Item = (i64, &WorkerName, Option<&WorkerRecord>)> {
        let newer = self.entries.iter().filter(move |(_, e)| {
            e.revision > revision || (e.revision == revision && e.record.is_none())
        });
        newer.map(|(id, e)| (e.revision, id, e.record.as_ref()))
    }

    /// Replaces the entry of a worker and updates the digest.
    fn replace_entry(&mut self, id: WorkerName, entry: Entry) -> Option<Entry> {
        self.digest ^= entry.digest(&id);
        let tombstone = entry.record.is_none().then(|| (entry.revision, id.clone()));
        let before = self.entries.insert(id.clone(), entry);
        if let Some(before) = &before {
            self.digest ^= before.digest(&id);
            self.tombstones.remove(&(before.revision, id));
        }
        self.tombstones.extend(tombstone);
        before
    }

    fn is_stale(&self, id: &WorkerName, revision: i64) -> bool {
        self.entries.get(id).is_some_and(|e| {
            e.revision > revision || (e.revision == revision && e.missing.is_none())
        })
    }

    /// Whether a record is the known one, with the version that this catalog lacks.
    fn adds_version(&self, revision: i64, record: &WorkerRecord) -> bool {
        let known = self.entries.get(&record.id);
        let same = known.filter(|e| e.revision == revision);
        let held = same.and_then(|e| e.record.as_ref());
        record.version.is_some() && held.is_some_and(|r| r.version.is_none())
    }

    fn evict_oldest_tombstone(&mut self) {
        if self.tombstones.len() > MAX_TOMBSTONES
            && let Some((revision, id)) = self.tombstones.pop_first()
        {
            self.entries.remove(&id);
            self.removals_known_after = self.removals_known_after.max(revision);
        }
    }
}
