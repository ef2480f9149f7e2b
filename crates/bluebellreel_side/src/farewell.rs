//! What the entries must hear, and the process from them, before it may end.

use bluebellreel_types::EntryName;
use std::collections::BTreeSet;

/// What is under way to and from the entries.
///
/// Guards against an attempt that an entry sends while its connection is being
/// closed: the entry would not know whether it ran. One that knows of the stop
/// sends nothing more; ends, reports and pulled items that are under way are
/// waited for.
#[derive(Clone, Debug, Default)]
pub(crate) struct Farewell {
    connected: BTreeSet<EntryName>,
    told: BTreeSet<EntryName>,
    /// Ends and reports that have not yet arrived.
    words: u32,
    /// Pulls whose items have not yet come.
    pulls: u32,
}

impl Farewell {
    pub(crate) fn note_connected(&mut self, entry: EntryName) {
        self.told.remove(&entry);
        self.connected.insert(entry);
    }

    pub(crate) fn note_lost(&mut self, entry: &EntryName) {
        self.connected.remove(entry);
        self.told.remove(entry);
    }

    pub(crate) fn note_told(&mut self, entry: EntryName, leaving: bool) {
        if leaving {
            self.told.insert(entry);
        }
    }

    pub(crate) fn note_sent(&mut self) {
        self.words += 1;
    }

    pub(crate) fn note_delivered(&mut self) {
        self.words = self.words.saturating_sub(1);
    }

    pub(crate) fn note_pull(&mut self) {
        self.pulls += 1;
    }

    pub(crate) fn note_pulled(&mut self) {
        self.pulls = self.pulls.saturating_sub(1);
    }

    pub(crate) fn is_settled(&self) -> bool {
        self.words == 0 && self.pulls == 0 && self.connected.is_subset(&self.told)
    }
}
