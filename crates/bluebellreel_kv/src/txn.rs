//! Guarded writes.

use crate::Key;

/// A guard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Compare {
    /// The key was last changed at this revision.
    Unchanged(Key, i64),
    /// The key is not there.
    Absent(Key),
}

/// One write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Put {
    /// The key.
    pub key: Key,
    /// The value, without the write id.
    pub value: Vec<u8>,
    /// Lease that the key ends with; zero for none.
    pub lease: i64,
}

impl Put {
    /// A write that stays until it is replaced or removed.
    #[must_use]
    pub fn lasting(key: Key, value: Vec<u8>) -> Self {
        Self {
            key,
            value,
            lease: 0,
        }
    }
}

/// Writes that take effect together if all guards hold. The first put is the
/// one by which a lost answer is resolved, so its guard must fail once the
/// transaction has taken effect.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Txn {
    /// The guards.
    pub compares: Vec<Compare>,
    /// The writes.
    pub puts: Vec<Put>,
    /// Keys deleted.
    pub deletes: Vec<Key>,
    /// Keys read when a guard fails, after that of the first put.
    pub read_on_failure: Vec<Key>,
}

impl Txn {
    /// Creates a key that must not be there yet.
    #[must_use]
    pub fn create(key: Key, value: Vec<u8>) -> Self {
        Self {
            compares: vec![Compare::Absent(key.clone())],
            puts: vec![Put::lasting(key, value)],
            ..Self::default()
        }
    }

    /// Replaces a value that was last changed at `revision`.
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

    /// Ties the first put to a lease.
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
