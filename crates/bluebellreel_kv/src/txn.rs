//! Guarded transactions.

use crate::Key;

/// A condition that must hold for a transaction to take effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Compare {
    /// The key was last changed at this revision.
    Unchanged(Key, i64),
    /// The key does not exist.
    Absent(Key),
}

/// A write of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Put {
    /// The key.
    pub key: Key,
    /// The value, without the write id, which the client adds.
    pub value: Vec<u8>,
    /// Lease with which the key expires; zero for none.
    pub lease: i64,
}

impl Put {
    /// A write without a lease: the value stays until it is replaced or deleted.
    #[must_use]
    pub fn lasting(key: Key, value: Vec<u8>) -> Self {
        Self {
            key,
            value,
            lease: 0,
        }
    }
}

/// Writes that take effect together if all guards hold. The first put resolves a
/// lost response by its write id, so one of the guards must fail once the
/// transaction has taken effect.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Txn {
    /// The guards.
    pub compares: Vec<Compare>,
    /// Keys written.
    pub puts: Vec<Put>,
    /// Keys deleted.
    pub deletes: Vec<Key>,
    /// Keys read when a guard fails, in addition to the key of the first put, which
    /// is read before them.
    pub read_on_failure: Vec<Key>,
}

impl Txn {
    /// Creates a key that must not exist yet.
    #[must_use]
    pub fn create(key: Key, value: Vec<u8>) -> Self {
        Self {
            compares: vec![Compare::Absent(key.clone())],
            puts: vec![Put::lasting(key, value)],
            ..Self::default()
        }
    }

    /// Replaces a value whose key was last changed at `revision`.
    #[must_use]
    pub fn replace(key: Key, revision: i64, value: Vec<u8>) -> Self {
        Self {
            compares: vec![Compare::Unchanged(key.clone(), revision)],
            puts: vec![Put::lasting(key, value)],
            ..Self::default()
        }
    }

    /// Adds a guard.
    #[must_use]
    pub fn and(mut self, compare: Compare) -> Self {
        self.compares.push(compare);
        self
    }

    /// Adds a key to delete.
    #[must_use]
    pub fn deleting(mut self, key: Key) -> Self {
        self.deletes.push(key);
        self
    }

    /// Attaches the first put to a lease.
    #[must_use]
    pub fn leased(mut self, lease: i64) -> Self {
        if let Some(put) = self.puts.first_mut() {
            put.lease = lease;
        }
        self
    }

    /// Adds a key to read when a guard fails.
    #[must_use]
    pub fn reading(mut self, key: Key) -> Self {
        self.read_on_failure.push(key);
        self
    }
}
