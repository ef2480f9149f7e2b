//! Forwards the reports of other data centres to the peers of this one.

use bluebellreel_types::Moment;
use std::collections::VecDeque;
use std::time::Duration;

/// How long a report waits to be forwarded. It leaves with this daemon's next report,
/// unless the VM was suspended meanwhile.
const MAX_WAIT: Duration = Duration::from_millis(600);
/// Maximum size of all reports that wait. In each quarter of a second a daemon receives two
/// for each daemon of the other data centres, divided by the number of those in its own.
const MAX_QUEUE_BYTES: usize = 256 * 1024;
/// Maximum size of the reports in one datagram.
const MAX_BUNDLE_BYTES: usize = 16 * 1024;

/// Reports to forward, oldest first. Each is replaced by its sender's next one within a
/// quarter of a second, so those that do not fit are dropped.
#[derive(Default)]
pub(crate) struct ForwardQueue {
    waiting: VecDeque<(Vec<u8>, Moment)>,
    bytes: usize,
}

impl ForwardQueue {
    /// Adds a report. `now` is on a clock that also runs while the VM is suspended.
    /// Returns whether there was room.
    pub(super) fn push(&mut self, report: &[u8], now: Moment) -> bool {
        let bytes = self.bytes + report.len();
        if bytes > MAX_QUEUE_BYTES {
            return false;
        }
        self.bytes = bytes;
        self.waiting.push_back((report.to_vec(), now + MAX_WAIT));
        true
    }

    /// Takes all reports, in groups that fit into one datagram each.
    pub(super) fn take(&mut self, now: Moment) -> Vec<Vec<Vec<u8>>> {
        self.bytes = 0;
        let mut bundles: Vec<Vec<Vec<u8>>> = Vec::new();
        let mut free = 0;
        for (report, forward_by) in self.waiting.drain(..) {
            if forward_by.is_past(now) {
                continue;
            }
            if report.len() > free || bundles.is_empty() {
                bundles.push(Vec::new());
                free = MAX_BUNDLE_BYTES;
            }
            free = free.saturating_sub(report.len());
            if let Some(bundle) = bundles.last_mut() {
                bundle.push(report);
            }
        }
        bundles
    }
}
