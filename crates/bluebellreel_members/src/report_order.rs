//! Decides whether a report is newer than those received before it.
//!
//! Reports that are forwarded arrive several times and after different delays. A forwarder
//! whose VM was suspended may even deliver one of an incarnation that has ended since.

use crate::PEER_TIMEOUT;
use bluebellreel_types::{EntryName, Incarnation, Moment};
use std::collections::HashMap;

/// How a report arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Path {
    /// From its sender.
    Direct,
    /// Through another daemon.
    Forwarded,
}

/// The newest report of each sender.
#[derive(Clone, Debug, Default)]
pub struct ReportOrder {
    newest: HashMap<EntryName, Newest>,
}

#[derive(Clone, Copy, Debug)]
struct Newest {
    run: Incarnation,
    sequence: u64,
    /// Until when an older report is rejected.
    counts_until: Moment,
}

impl ReportOrder {
    /// Whether a report is newer than those received before.
    ///
    /// Sequences start at the wall clock's time, so that a later incarnation normally has
    /// higher ones. If the clock was set back meanwhile, forwarded reports of the later
    /// incarnation count once the earlier one has been silent for [`PEER_TIMEOUT`].
    #[must_use]
    pub fn is_newer(
        &self,
        sender: &EntryName,
        (run, sequence): (Incarnation, u64),
        path: Path,
        now: Moment,
    ) -> bool {
        let known = self.newest.get(sender);
        let known = known.filter(|newest| !newest.counts_until.is_past(now));
        known.is_none_or(|newest| {
            let is_new_run = path == Path::Direct && newest.run != run;
            is_new_run || sequence > newest.sequence
        })
    }

    /// Records a report as the newest one of its sender.
    pub fn accept(&mut self, sender: &EntryName, (run, sequence): (Incarnation, u64), now: Moment) {
        let newest = Newest {
            run,
            sequence,
            counts_until: now + PEER_TIMEOUT,
        };
        self.newest.insert(sender.clone(), newest);
    }

    /// Evicts senders whose reports no longer count.
    pub fn sweep(&mut self, now: Moment) {
        self.newest
            .retain(|_, newest| !newest.counts_until.is_past(now));
    }
}
