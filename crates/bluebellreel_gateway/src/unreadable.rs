//! Entries of the store that cannot be used.
//!
//! Others may write where workers, operators and daemons do. Such an entry is
//! passed over, whichever it is, and those beside it hold. It is read again at
//! each list, so it is told of once for each of its revisions.

use bluebellreel_kv::{Key, KeyValue};
use std::collections::BTreeMap;

/// Entries remembered. Past this all are forgotten, and told of once more.
const REMEMBERED: usize = 1024;

/// Entries that were told of, with their revisions.
#[derive(Debug, Default)]
pub(crate) struct Unreadable {
    told: BTreeMap<Key, i64>,
}

impl Unreadable {
    /// Notes an entry that cannot be used; whether it is news.
    pub(crate) fn note(&mut self, kv: &KeyValue) -> bool {
        if self.told.len() >= REMEMBERED {
            self.told.clear();
        }
        let before = self.told.insert(kv.key.clone(), kv.revision);
        before != Some(kv.revision)
    }
}
