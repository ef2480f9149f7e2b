//! Which workers there are, as the platform's store says.
//!
//! Each fact carries the store's revision, and the higher one wins, whichever
//! way it came: by a watch of our own, by a list, or by a peer.

use bluebellreel_types::{DataCentre, Moment, WorkerName};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use twox_hash::XxHash64;

/// Whether a worker takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkerState {
    /// It takes requests.
    Ready,
    /// It leaves: nothing new may be sent to it.
    Draining,
}

/// One life of a worker.
///
/// A worker may start again under the id that it had; it then holds nothing of
/// what it held before. Lives are equal or not, never earlier or later: the
/// number comes from the worker's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Boot(pub u64);

/// A short name of one life of a worker, for messages between daemons that all
/// know the worker.
///
/// Ids have some twelve bytes, and daemons name each worker to each other some
/// fifty times a second. Two of 1,900 workers have the same one once in 2,400
/// fleets; their runs are then counted at one of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WorkerTag(pub u32);

impl WorkerTag {
    /// The tag of a worker's life.
    #[must_use]
    pub fn of(id: &WorkerName, boot: Option<Boot>) -> Self {
        let seed = boot.map_or(0, |b| b.0);
        let hash = XxHash64::oneshot(seed, id.as_str().as_bytes());
        Self(u32::try_from(hash >> 32).unwrap_or(0))
    }
}

/// What a worker says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerRecord {
    /// The worker.
    pub id: WorkerName,
    /// Its life; none where workers do not say.
    pub boot: Option<Boot>,
    /// The service that it serves.
    pub service: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: WorkerState,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Entry {
    revision: i64,
    record: Option<WorkerRecord>,
    /// Until when a worker that is missing may register again, and the
    /// revision at which it was missing.
    missing: Option<(Moment, i64)>,
}

impl Entry {
    /// Its part of the digest; none of a worker that is not listed.
    fn digest(&self, id: &WorkerName) -> u64 {
        let seed = self.revision.cast_unsigned();
        let hash = || XxHash64::oneshot(seed, id.as_str().as_bytes());
        self.record.as_ref().map_or(0, |_| hash())
    }
}

/// All workers with the revision of what is known of each.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Catalog {
    entries: BTreeMap<WorkerName, Entry>,
    revision: i64,
    /// Revision after which every removal is known. A list shows who is there,
    /// and not who has left before it.
    removals_after: i64,
    /// Of the workers that are listed, kept up with each change.
    digest: u64,
}

/// Most tombstones kept, so that an older fact does not bring a removed worker
/// back.
const MAX_TOMBSTONES: usize = 4096;

impl Catalog {
    /// Revision up to which all changes are known.
    #[must_use]
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// Takes a fact over; whether it was news.
    pub fn put(&mut self, revision: i64, record: WorkerRecord) -> bool {
        if self.is_old(&record.id, revision) {
            return false;
        }
        let id = record.id.clone();
        let entry = Entry {
            revision,
            record: Some(record),
            missing: None,
        };
        let before = self.set(id, entry.clone());
        before.is_none_or(|b| b.record != entry.record || b.missing.is_some())
    }

    /// Takes over what stands at a worker's place at a revision: a worker, or
    /// nothing that could be used as one; whether it was news.
    ///
    /// An entry of another writer may stand where a worker's was. What the worker
    /// said before no longer holds then, so it gets nothing new, and no other
    /// worker is concerned.
    pub fn take(&mut self, revision: i64, id: &WorkerName, record: Option<WorkerRecord>) -> bool {
        match record {
            Some(record) => self.put(revision, record),
            None => self.remove(revision, id),
        }
    }

    /// A worker's entry is gone: it leaves, or it is dead.
    pub fn remove(&mut self, revision: i64, id: &WorkerName) -> bool {
        if self.is_old(id, revision) {
            return false;
        }
        let entry = Entry {
            revision,
            record: None,
            missing: None,
        };
        let before = self.set(id.clone(), entry);
        self.forget_some();
        before.is_some_and(|b| b.record.is_some())
    }

    /// Takes over what a peer knows, whose knowledge is complete up to a revision:
    /// all of it if `whole`, else what has changed after what is known here.
    /// Whether anything was news.
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
            self.removals_after = complete_to;
        }
        let mut changed = false;
        for (revision, id, record) in facts {
            changed |= self.take(revision, &id, record);
        }
        self.advance_to(complete_to);
        changed
    }

    /// Whether [`Catalog::facts_after`] a revision brings somebody who knows all up
    /// to there up to date. One who knows nothing has nobody to forget.
    ///
    /// Guard: a daemon that has just started knows of no worker that left before it
    /// read the list. A peer that was a moment behind, and took its facts for all
    /// that had happened, kept such a worker for good and sent it work until it was
    /// gone.
    #[must_use]
    pub fn has_all_changes_after(&self, revision: i64) -> bool {
        revision == 0 || revision >= self.removals_after
    }

    /// All changes up to this revision are known.
    pub fn advance_to(&mut self, revision: i64) {
        self.revision = self.revision.max(revision);
    }

    /// Takes a complete list over: what it lacks is gone. An entry that names no
    /// worker to use is there, with nothing in it.
    ///
    /// After an outage of the store the entries of live workers may have
    /// lapsed; they register again within about two seconds. `keep_until`
    /// holds on to those that are missing until then, so that an outage that
    /// has just ended does not leave the fleet without workers.
    pub fn replace(
        &mut self,
        revision: i64,
        list: Vec<(i64, WorkerName, Option<WorkerRecord>)>,
        keep_until: Option<Moment>,
    ) -> bool {
        if revision < self.revision {
            return false;
        }
        self.removals_after = revision;
        let mut changed = false;
        // A peer's tombstone may be older than what is known here.
        let there = list.iter().filter(|(.., record)| record.is_some());
        let listed: BTreeSet<WorkerName> = there.map(|(_, id, _)| id.clone()).collect();
        for (at, id, record) in list {
            changed |= self.take(at, &id, record);
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

    /// A worker's entry is gone just after an outage of the store, in which
    /// entries of live workers lapse: it is kept until it had time to register
    /// again. Nothing changes at once.
    pub fn mark_missing(&mut self, revision: i64, id: &WorkerName, until: Moment) -> bool {
        if let Some(entry) = self.entries.get_mut(id)
            && entry.revision <= revision
            && entry.record.is_some()
        {
            entry.missing.get_or_insert((until, revision));
        }
        false
    }

    /// Drops workers whose time to register again is over. The removal counts from the
    /// revision up to which all is known: they were not there, and peers that have
    /// learned all up to there meanwhile were told that they were.
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
                changed = true;
            }
        }
        changed
    }

    /// A digest of the workers that are listed, each with the revision of what is
    /// known of it. Equal lists have equal ones, whichever way facts came.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// All workers that are listed.
    pub fn workers(&self) -> impl Iterator<Item = &WorkerRecord> {
        self.entries.values().filter_map(|e| e.record.as_ref())
    }

    /// Revision of the newest fact; lies behind [`Catalog::revision`] while
    /// nothing changes.
    #[must_use]
    pub fn newest(&self) -> i64 {
        let revisions = self.entries.values().map(|e| e.revision);
        revisions.max().unwrap_or(0)
    }

    /// Facts after a revision, for a peer: removed ones without a record, and with those
    /// at the revision, which may have been learned after the peer was told of it.
    pub fn facts_after(
        &self,
        revision: i64,
    ) -> impl Iterator<Item = (i64, &WorkerName, Option<&WorkerRecord>)> {
        let newer = self.entries.iter().filter(move |(_, e)| {
            e.revision > revision || (e.revision == revision && e.record.is_none())
        });
        newer.map(|(id, e)| (e.revision, id, e.record.as_ref()))
    }

    /// Replaces what is known of a worker.
    fn set(&mut self, id: WorkerName, entry: Entry) -> Option<Entry> {
        self.digest ^= entry.digest(&id);
        let before = self.entries.get(&id);
        self.digest ^= before.map_or(0, |b| b.digest(&id));
        self.entries.insert(id, entry)
    }

    fn is_old(&self, id: &WorkerName, revision: i64) -> bool {
        self.entries.get(id).is_some_and(|e| {
            e.revision > revision || (e.revision == revision && e.missing.is_none())
        })
    }

    fn forget_some(&mut self) {
        let gone = self.entries.values().filter(|e| e.record.is_none()).count();
        if gone <= MAX_TOMBSTONES {
            return;
        }
        let oldest = self
            .entries
            .iter()
            .filter(|(_, e)| e.record.is_none())
            .min_by_key(|(_, e)| e.revision)
            .map(|(id, e)| (id.clone(), e.revision));
        if let Some((id, revision)) = oldest {
            self.entries.remove(&id);
            self.removals_after = self.removals_after.max(revision);
        }
    }
}
