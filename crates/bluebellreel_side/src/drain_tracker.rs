//! Tracks which messages must be delivered before a draining process may end.

use bluebellreel_types::EntryName;
use std::collections::BTreeSet;

/// Messages in transit between this side process and its entry daemons, and the
/// entry daemons that have been notified of its drain.
///
/// Guards against an attempt that an entry daemon sends while its connection is
/// being closed: the entry daemon would not know whether the attempt ran. An
/// entry daemon that has been notified of the drain sends no more attempts. The
/// process also waits for attempt ends, reports and pulled items in transit.
#[derive(Clone, Debug, Default)]
pub(crate) struct DrainTracker {
    connected: BTreeSet<EntryName>,
    /// Entry daemons that have received a load report marked as leaving.
    notified: BTreeSet<EntryName>,
    /// Attempt ends and reports whose delivery has neither succeeded nor failed
    /// yet.
    unacknowledged: u32,
    /// Pulls that have not yet been answered.
    pending_pulls: u32,
}

impl DrainTracker {
    pub(crate) fn record_connected(&mut self, entry: EntryName) {
        self.notified.remove(&entry);
        self.connected.insert(entry);
    }

    pub(crate) fn record_lost(&mut self, entry: &EntryName) {
        self.connected.remove(entry);
        self.notified.remove(entry);
    }

    pub(crate) fn record_load(&mut self, entry: EntryName, leaving: bool) {
        if leaving {
            self.notified.insert(entry);
        }
    }

    pub(crate) fn record_sent(&mut self) {
        self.unacknowledged += 1;
    }

    pub(crate) fn record_delivered(&mut self) {
        self.unacknowledged = self.unacknowledged.saturating_sub(1);
    }

    pub(crate) fn record_pull(&mut self) {
        self.pending_pulls += 1;
    }

    pub(crate) fn record_pull_answered(&mut self) {
        self.pending_pulls = self.pending_pulls.saturating_sub(1);
    }

    pub(crate) fn is_settled(&self) -> bool {
        self.unacknowledged == 0
            && self.pending_pulls == 0
            && self.connected.is_subset(&self.notified)
    }
}
