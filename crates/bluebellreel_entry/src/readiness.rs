//! Whether the platform's load balancer may send callers to this daemon.

use bluebellreel_types::Moment;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// How long after its start a daemon may stay unready while it connects to its
/// workers and reads the manifest. It then becomes ready anyway: with the VM list
/// unavailable it can still accept jobs.
const MAX_DISCOVERY_TIME: Duration = Duration::from_secs(10);

/// The readiness that `/readyz` reports.
///
/// Shared by the actor, which tracks the workers, and the HTTP threads.
#[derive(Clone, Debug, Default)]
pub(crate) struct Readiness {
    started: Arc<AtomicBool>,
    manifest_read: Arc<AtomicBool>,
    stopping: Arc<AtomicBool>,
}

impl Readiness {
    /// Whether the load balancer may send callers here.
    pub(crate) fn is_ready(&self) -> bool {
        self.started.load(Ordering::SeqCst) && !self.stopping.load(Ordering::SeqCst)
    }

    /// Records that the manifest was read for the first time or does not exist yet.
    pub(crate) fn note_manifest(&self) {
        self.manifest_read.store(true, Ordering::SeqCst);
    }

    /// Whether the models and services of the fleet are known.
    pub(crate) fn knows_manifest(&self) -> bool {
        self.manifest_read.load(Ordering::SeqCst)
    }

    /// Updates readiness. `all_tried` states whether a connection to every worker that
    /// the daemon needs has been attempted once.
    ///
    /// A daemon that became ready earlier, or before it has read the manifest, would
    /// refuse callers with "no worker serves this model" or "no such service" right
    /// after a restart, although the fleet is complete.
    pub(crate) fn update(&self, all_tried: bool, started_at: Moment, now: Moment) {
        let waited = (started_at + MAX_DISCOVERY_TIME).is_past(now);
        let manifest = self.knows_manifest();
        let found = all_tried && manifest;
        if (found || waited) && !self.started.swap(true, Ordering::SeqCst) {
            log::info!(target: "entry", all_tried, manifest; "Ready: worker connections and manifest checked.");
        }
    }

    /// Makes the daemon unready from now on, so that the load balancer stops sending
    /// callers.
    pub(crate) fn stop(&self) {
        self.stopping.store(true, Ordering::SeqCst);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn waits_for_workers_but_not_for_ever() {
        let start = Moment(1_000_000);
        let readiness = Readiness::default();
        readiness.update(false, start, start);
        assert!(!readiness.is_ready());
        readiness.update(
            false,
            start,
            start + MAX_DISCOVERY_TIME + Duration::from_millis(1),
        );
        assert!(readiness.is_ready());
        readiness.stop();
        assert!(!readiness.is_ready());
    }

    #[test]
    fn stays_ready_when_a_worker_is_new() {
        let start = Moment(1_000_000);
        let readiness = Readiness::default();
        readiness.note_manifest();
        readiness.update(true, start, start);
        readiness.update(false, start, start);
        assert!(readiness.is_ready());
    }

    #[test]
    fn waits_for_the_manifest_as_well() {
        let start = Moment(1_000_000);
        let readiness = Readiness::default();
        readiness.update(true, start, start);
        assert!(!readiness.is_ready());
        readiness.note_manifest();
        readiness.update(true, start, start);
        assert!(readiness.is_ready());
    }
}
