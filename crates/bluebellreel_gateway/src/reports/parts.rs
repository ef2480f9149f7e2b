//! What follows a report and its supplement. Each version of daemons adds parts at the
//! end, and reads as far as those that it knows.

use crate::gateway::Gateway;
use bluebellreel_dispatch::{CrashNotice, Fingerprint, Strike, Suspects, WorkerTag};
use bluebellreel_members::WorkerList;
use bluebellreel_types::Moment;
use rand::RngExt;
use serde::{Deserialize, Serialize};

/// How many daemons send, in each round of full reports, the notices that all have of
/// quarantined requests: enough for one that has just started, whatever is lost.
const FULL_NOTIFIERS: usize = 8;

/// All of them, in their order.
#[derive(Default, Serialize)]
pub(super) struct Rest {
    pub(super) warnings: Warnings,
    pub(super) freshness: Freshness,
    /// Which workers the sender lists.
    pub(super) list: WorkerList,
}

impl Rest {
    pub(super) fn own(gw: &Gateway) -> Self {
        Self {
            warnings: Warnings::own(gw),
            freshness: Freshness::own(gw),
            list: gw.facts.borrow().list(),
        }
    }
}

/// What follows a supplement: crashes of workers, and the requests that were there.
/// Some 500 bytes at the most.
#[derive(Default, Serialize, Deserialize)]
pub(super) struct Warnings {
    crashes: Vec<Crash>,
    /// Requests that are tried out now.
    trials: Vec<Fingerprint>,
}

/// What follows the warnings. Daemons of the version before read as far as those.
#[derive(Clone, Copy, Default, Serialize, Deserialize)]
pub(super) struct Freshness {
    /// How long ago the store answered its sender last.
    answered_ms_ago: Option<u32>,
}

impl Freshness {
    pub(super) fn own(gw: &Gateway) -> Self {
        let ago = gw.store.answered_ago();
        let ms = ago.map(|ago| u32::try_from(ago.as_millis()).unwrap_or(u32::MAX));
        Self {
            answered_ms_ago: ms,
        }
    }

    /// When the store answered a report's sender last.
    pub(super) fn answered_at(self, now: Moment) -> Option<Moment> {
        let ms = u64::from(self.answered_ms_ago?);
        Some(Moment(now.0.saturating_sub(ms * 1000)))
    }
}

/// One crash under one request; ages in milliseconds, as clocks differ.
#[derive(Serialize, Deserialize)]
struct Crash {
    fingerprint: Fingerprint,
    worker: WorkerTag,
    began_ms_ago: u32,
    crashed_ms_ago: u32,
    excused: bool,
}

impl Warnings {
    /// What this daemon warns of.
    pub(super) fn own(gw: &Gateway) -> Self {
        if gw.suspects.borrow().is_empty() {
            return Self::default();
        }
        let now = gw.now();
        let peers = gw.members.borrow().alive_peers(now).count().max(1);
        let notifies_all = gw.rng.borrow_mut().random_range(0..peers) < FULL_NOTIFIERS;
        let mut suspects = gw.suspects.borrow_mut();
        let crashes = suspects.notices(notifies_all, now).into_iter();
        Self {
            crashes: crashes.map(|notice| Crash::of(&notice, now)).collect(),
            trials: suspects.trials().collect(),
        }
    }

    /// Takes over what a peer warns of.
    pub(super) fn take(self, suspects: &mut Suspects, now: Moment) {
        for crash in self.crashes {
            suspects.note_crash(crash.notice(now), now);
        }
        for fingerprint in self.trials {
            suspects.note_trial(fingerprint, now);
        }
    }
}

impl Crash {
    fn of(notice: &CrashNotice, now: Moment) -> Self {
        let ago = |at| u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX);
        Self {
            fingerprint: notice.fingerprint,
            worker: notice.worker,
            began_ms_ago: ago(notice.strike.began),
            crashed_ms_ago: ago(notice.strike.crashed),
            excused: notice.strike.excused,
        }
    }

    fn notice(&self, now: Moment) -> CrashNotice {
        let at = |ms: u32| Moment(now.0.saturating_sub(u64::from(ms) * 1000));
        CrashNotice {
            fingerprint: self.fingerprint,
            worker: self.worker,
            strike: Strike {
                began: at(self.began_ms_ago),
                crashed: at(self.crashed_ms_ago),
                excused: self.excused,
            },
        }
    }
}
