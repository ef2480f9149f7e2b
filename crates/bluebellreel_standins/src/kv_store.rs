//! State of the key-value stand-in: keys, revisions, leases and events.

use bluebellreel_types::Moment;
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum number of events retained for watches that resume. The older half is dropped
/// when it is exceeded.
const MAX_EVENTS: usize = 100_000;

/// Current value of a key, with its revisions and lease.
#[derive(Clone, Debug)]
pub(crate) struct Stored {
    pub(crate) value: Vec<u8>,
    pub(crate) create_revision: i64,
    pub(crate) mod_revision: i64,
    pub(crate) version: i64,
    pub(crate) lease: i64,
}

/// A change of a key. `stored` is `None` for a delete.
#[derive(Clone, Debug)]
pub(crate) struct Change {
    pub(crate) revision: i64,
    pub(crate) key: Vec<u8>,
    pub(crate) stored: Option<Stored>,
}

struct Lease {
    ttl: Duration,
    expires_at: Moment,
}

/// Keys, leases and the most recent changes.
#[derive(Default)]
pub(crate) struct KvStore {
    pub(crate) revision: i64,
    keys: BTreeMap<Vec<u8>, Stored>,
    leases: BTreeMap<i64, Lease>,
    changes: Vec<Change>,
    next_lease: i64,
}

impl KvStore {
    pub(crate) fn get(&self, key: &[u8]) -> Option<&Stored> {
        self.keys.get(key)
    }

    /// Total size of values in bytes, by the first segment of the key.
    pub(crate) fn space(&self) -> BTreeMap<String, u64> {
        let mut space = BTreeMap::new();
        for (key, stored) in &self.keys {
            let key = String::from_utf8_lossy(key);
            let part = key.split('/').next().unwrap_or_default();
            *space.entry(part.to_owned()).or_default() += stored.value.len() as u64;
        }
        space
    }

    /// Keys from `key` to `end`, exclusive. An empty `end` selects `key` alone, `[0]` all
    /// keys from `key` on.
    pub(crate) fn range(&self, key: &[u8], end: &[u8]) -> Vec<(&Vec<u8>, &Stored)> {
        if end.is_empty() {
            return self.keys.get_key_value(key).into_iter().collect();
        }
        self.keys
            .range(key.to_vec()..)
            .take_while(|(k, _)| end == [0] || k.as_slice() < end)
            .collect()
    }

    pub(crate) fn put(&mut self, key: &[u8], value: &[u8], lease: i64, revision: i64) {
        let before = self.keys.get(key);
        let stored = Stored {
            value: value.to_vec(),
            create_revision: before.map_or(revision, |s| s.create_revision),
            mod_revision: revision,
            version: before.map_or(1, |s| s.version + 1),
            lease,
        };
        self.keys.insert(key.to_vec(), stored.clone());
        self.record_change(key, Some(stored), revision);
    }

    pub(crate) fn delete(&mut self, key: &[u8], end: &[u8], revision: i64) -> usize {
        let deleted: Vec<Vec<u8>> = self
            .range(key, end)
            .into_iter()
            .map(|(k, _)| k.clone())
            .collect();
        for key in &deleted {
            self.keys.remove(key);
            self.record_change(key, None, revision);
        }
        deleted.len()
    }

    fn record_change(&mut self, key: &[u8], stored: Option<Stored>, revision: i64) {
        self.revision = revision;
        self.changes.push(Change {
            revision,
            key: key.to_vec(),
            stored,
        });
        if self.changes.len() > MAX_EVENTS {
            self.changes.drain(..MAX_EVENTS / 2);
        }
    }

    /// Changes of the keys in a range, starting at revision `from`.
    pub(crate) fn changes(&self, key: &[u8], end: &[u8], from: i64) -> Vec<Change> {
        let first = self.changes.partition_point(|c| c.revision < from);
        self.changes[first..]
            .iter()
            .filter(|c| in_range(&c.key, key, end))
            .cloned()
            .collect()
    }

    pub(crate) fn grant(&mut self, ttl: Duration, now: Moment) -> i64 {
        self.next_lease += 1;
        let expires_at = now + ttl;
        self.leases
            .insert(self.next_lease, Lease { ttl, expires_at });
        self.next_lease
    }

    /// Renews a lease and returns its time to live, or `None` if it has expired.
    pub(crate) fn keep_alive(&mut self, id: i64, now: Moment) -> Option<Duration> {
        let lease = self.leases.get_mut(&id)?;
        lease.expires_at = now + lease.ttl;
        Some(lease.ttl)
    }

    pub(crate) fn has_lease(&self, id: i64) -> bool {
        self.leases.contains_key(&id)
    }

    pub(crate) fn revoke(&mut self, id: i64) {
        self.leases.remove(&id);
        let deleted: Vec<Vec<u8>> = self
            .keys
            .iter()
            .filter(|(_, s)| s.lease == id)
            .map(|(k, _)| k.clone())
            .collect();
        if deleted.is_empty() {
            return;
        }
        let revision = self.revision + 1;
        for key in deleted {
            self.delete(&key, &[], revision);
        }
    }

    /// Ends expired leases. Returns whether any key was deleted.
    pub(crate) fn expire(&mut self, now: Moment) -> bool {
        let lapsed: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at.is_past(now))
            .map(|(id, _)| *id)
            .collect();
        let before = self.revision;
        for id in lapsed {
            self.revoke(id);
        }
        before != self.revision
    }
}

fn in_range(key: &[u8], from: &[u8], end: &[u8]) -> bool {
    if end.is_empty() {
        return key == from;
    }
    key >= from && (end == [0] || key < end)
}
