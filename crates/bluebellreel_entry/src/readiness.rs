//! Whether the platform's balancer may send people here.

use bluebellreel_types::Moment;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Longest time that a daemon stays away from the balancer while it looks for
/// its workers and its manifest: with the VM list down it can still take jobs.
const MAX_DISCOVERY_TIME: Duration = Duration::from_secs(10);

/// Whether this daemon serves, as told at `/readyz`.
///
/// Shared by the actors, which know the workers, and the HTTP threads.
#[derive(Clone, Debug, Default)]
pub(crate) struct Readiness {
    started: Arc<AtomicBool>,
    manifest_read: Arc<AtomicBool>,
    stopping: Arc<AtomicBool>,
}

impl Readiness {
    /// Whether people may be sent here.
    pub(crate) fn is_ready(&self) -> bool {
        self.started.load(Ordering::SeqCst) && !self.stopping.load(Ordering::SeqCst)
    }

    /// The manifest has been read for the first time, or there is none yet.
    pub(crate) fn note_manifest(&self) {
        self.manifest_read.store(true, Ordering::SeqCst);
    }

    /// Whether it is known which models and services there are.
    pub(crate) fn knows_manifest(&self) -> bool {
        self.manifest_read.load(Ordering::SeqCst)
    }

    /// Takes in whether every listed worker has been tried once.
    ///
    /// A daemon that said "ready" before that, or before it has read the
    /// manifest, would refuse people with "no worker serves this model" or "no
    /// such service" right after a restart, though the fleet is whole.
    pub(crate) fn update(&self, all_tried: bool, started_at: Moment, now: Moment) {
        let waited = (started_at + MAX_DISCOVERY_TIME).is_past(now);
        let manifest = self.knows_manifest();
        let found = all_tried && manifest;
        if (found || waited) && !self.started.swap(true, Ordering::SeqCst) {
            log::info!(target: "entry", all_tried, manifest; "Ready: workers and manifest have been looked for.");
        }
    }

    /// Takes nothing new from the balancer from now on.
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
