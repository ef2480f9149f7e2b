//! Entries of the store that cannot be used.
//!
//! Foreign programs may write under the prefixes of workers, operators and daemons.
//! An entry that cannot be parsed is skipped, and the others remain in effect. It is
//! read again at each list, and reported once per revision.

use bluebellreel_kv::{Key, KeyValue};
use std::collections::BTreeMap;

/// Maximum number of reported entries remembered. When it is reached all are evicted,
/// and are reported once more.
const MAX_ENTRIES: usize = 1024;

/// Entries that were already reported, with their revisions.
#[derive(Debug, Default)]
pub(crate) struct Unreadable {
    reported: BTreeMap<Key, i64>,
}

impl Unreadable {
    /// Records an entry that cannot be used. Returns whether this revision is new.
    pub(crate) fn note(&mut self, kv: &KeyValue) -> bool {
        if self.reported.len() >= MAX_ENTRIES {
            self.reported.clear();
        }
        let before = self.reported.insert(kv.key.clone(), kv.revision);
        before != Some(kv.revision)
    }
}
