//! Entries of the store that cannot be used.
//!
//! Others may write where workers, operators and daemons do. Such an entry is
//! passed over, whichever it is, and those beside it hold. It is read again at
//! each list, and reported once for each of its revisions.

use bluebellreel_kv::{Key, KeyValue};
use std::collections::BTreeMap;

/// Entries remembered. Past this all are evicted, and reported once more.
const MAX_ENTRIES: usize = 1024;

/// Entries that were reported, with their revisions.
#[derive(Debug, Default)]
pub(crate) struct Unreadable {
    reported: BTreeMap<Key, i64>,
}

impl Unreadable {
    /// Notes an entry that cannot be used; whether this revision is new.
    pub(crate) fn note(&mut self, kv: &KeyValue) -> bool {
        if self.reported.len() >= MAX_ENTRIES {
            self.reported.clear();
        }
        let before = self.reported.insert(kv.key.clone(), kv.revision);
        before != Some(kv.revision)
    }
}
