//! The parts of a full report that follow the report proper and its supplement. Each
//! version of the daemon adds parts at the end, and ignores those after the last one that
//! it defines.

use super::scheduling::Scheduling;
use crate::gateway::Gateway;
use bluebellreel_dispatch::{
    CrashNotice, CrashedRun, Depth, Fingerprint, PartCrash, PartNotice, PartSuspects, Suspects,
    VersionTag, WorkerTag,
};
use bluebellreel_members::WorkerList;
use bluebellreel_teams::Spending;
use bluebellreel_types::{EntryName, Incarnation, Moment};
use rand::RngExt;
use serde::{Deserialize, Serialize};
use std::iter;

/// Mean number of daemons that include all notices of quarantined requests in a full
/// report, per round of full reports. All daemons know these notices; this number is
/// enough for a daemon that has just started to receive them despite lost datagrams.
const FULL_NOTICE_SENDERS: usize = 8;

/// All these parts, in the order of encoding.
#[derive(Default, Serialize)]
pub(super) struct Extensions {
    pub(super) crash_notices: CrashNotices,
    pub(super) freshness: Freshness,
    /// Digest of the sender's list of workers.
    pub(super) list: WorkerList,
    pub(super) limits: Limits,
    pub(super) roles: Roles,
    pub(super) part_notices: PartNotices,
    pub(super) scheduling: Scheduling,
    pub(super) part_depths: PartDepths,
}

impl Extensions {
    pub(super) fn own(gw: &Gateway) -> Self {
        let (part_notices, part_depths) = PartNotices::own(gw);
        Self {
            crash_notices: CrashNotices::own(gw),
            freshness: Freshness::own(gw),
            list: gw.cluster_state.borrow().list(),
            limits: Limits::own(gw, false),
            roles: Roles::own(gw),
            part_notices,
            scheduling: Scheduling::own(gw, false),
            part_depths,
        }
    }
}

/// The part after the supplement: crashes of workers, and the requests that ran there. At
/// most about 500 bytes.
#[derive(Default, Serialize, Deserialize)]
pub(super) struct CrashNotices {
    crashes: Vec<Crash>,
    /// Requests of which trial runs are in progress.
    trials: Vec<Fingerprint>,
}

/// The part after the crash notices. Daemons of the previous version ignore it.
#[derive(Clone, Copy, Default, Serialize, Deserialize)]
pub(super) struct Freshness {
    /// How long ago the store last answered the sender.
    answered_ms_ago: Option<u32>,
}

/// The part after the list, which also follows a brief: requests admitted by the sender
/// that count against their teams' rate limits.
#[derive(Default, Serialize, Deserialize)]
pub(super) struct Limits {
    /// Number of gateways that the sender knows, itself included; zero if unknown.
    gateways: u32,
    spending: Vec<Spending>,
}

impl Limits {
    pub(super) fn own(gw: &Gateway, is_brief: bool) -> Self {
        let gateways = gw.members.borrow().expected_gateways(gw.now());
        let mut allowances = gw.allowances.borrow_mut();
        Self {
            gateways: gateways.map_or(0, |n| u32::try_from(n).unwrap_or(u32::MAX)),
            spending: allowances.spending(is_brief, gw.elapsed()),
        }
    }

    /// Records what a peer has admitted.
    pub(super) fn take(&self, gw: &Gateway, peer: &EntryName, run: Incarnation) {
        let configuration = gw.configuration();
        let teams = configuration.as_ref().and_then(|c| c.teams.as_ref());
        let gateways = usize::try_from(self.gateways).unwrap_or(0);
        let mut allowances = gw.allowances.borrow_mut();
        allowances.hear(peer, run, (gateways, &self.spending), teams, gw.elapsed());
    }
}

/// The part after the limits: what the sender does for its peers.
#[derive(Clone, Copy, Default, Serialize, Deserialize)]
pub(super) struct Roles {
    /// Whether the sender forwards reports.
    pub(super) forwards: bool,
    /// Whether the sender takes part in elections of watchers; none if it does not say.
    is_candidate: Option<bool>,
}

impl Roles {
    fn own(gw: &Gateway) -> Self {
        Self {
            forwards: true,
            is_candidate: Some(gw.watch_duty.borrow().is_candidate()),
        }
    }

    pub(super) fn is_candidate(self) -> bool {
        self.is_candidate.unwrap_or(true)
    }
}

impl Freshness {
    pub(super) fn own(gw: &Gateway) -> Self {
        let ago = gw.store.since_last_answer();
        let ms = ago.map(|ago| u32::try_from(ago.as_millis()).unwrap_or(u32::MAX));
        Self {
            answered_ms_ago: ms,
        }
    }

    /// When the store last answered the report's sender.
    pub(super) fn answered_at(self, now: Moment) -> Option<Moment> {
        let ms = u64::from(self.answered_ms_ago?);
        Some(Moment(now.0.saturating_sub(ms * 1000)))
    }
}

/// One crash during a run of one request. Times are sent as ages in milliseconds, as the
/// daemons' clocks differ.
#[derive(Serialize, Deserialize)]
struct Crash {
    fingerprint: Fingerprint,
    worker: WorkerTag,
    began_ms_ago: u32,
    crashed_ms_ago: u32,
    cleared: bool,
}

impl CrashNotices {
    /// The crashes and trials that this daemon reports.
    pub(super) fn own(gw: &Gateway) -> Self {
        if gw.suspects.borrow().is_empty() {
            return Self::default();
        }
        let now = gw.now();
        let notifies_all = notifies_all(gw, now);
        let mut suspects = gw.suspects.borrow_mut();
        let crashes = suspects.notices(notifies_all, now).into_iter();
        Self {
            crashes: crashes.map(|notice| Crash::of(&notice, now)).collect(),
            trials: suspects.trials().collect(),
        }
    }

    /// Records the crashes and trials that a peer reports.
    pub(super) fn take(self, suspects: &mut Suspects, now: Moment) {
        for crash in self.crashes {
            suspects.note_crash(crash.notice(now), now);
        }
        for fingerprint in self.trials {
            suspects.note_trial(fingerprint, now);
        }
    }
}

/// Whether this report includes all notices of what is quarantined.
fn notifies_all(gw: &Gateway, now: Moment) -> bool {
    let peers = gw.members.borrow().alive_peers(now).count().max(1);
    gw.rng.borrow_mut().random_range(0..peers) < FULL_NOTICE_SENDERS
}

/// The part after the roles: crashes of workers, and the parts of the prompts that ran
/// there. At most about 600 bytes.
#[derive(Default, Serialize, Deserialize)]
pub(super) struct PartNotices {
    crashes: Vec<PartCrashed>,
    /// Parts of which trial runs are in progress.
    trials: Vec<Fingerprint>,
}

/// One crash during a run with one part.
#[derive(Serialize, Deserialize)]
struct PartCrashed {
    crash: Crash,
    version: VersionTag,
    written: bool,
    progressed: bool,
    trial: bool,
}

/// The part after those of the scheduling features: how far each of the runs in
/// [`PartNotices`] had written its answer, in the same order.
#[derive(Default, Serialize, Deserialize)]
pub(super) struct PartDepths(Vec<Depth>);

impl PartNotices {
    /// The crashes and trials that this daemon reports, and the depths of the crashes.
    fn own(gw: &Gateway) -> (Self, PartDepths) {
        if gw.part_suspects.borrow().is_empty() {
            return Default::default();
        }
        let now = gw.now();
        let notifies_all = notifies_all(gw, now);
        let mut suspects = gw.part_suspects.borrow_mut();
        let notices = suspects.notices(notifies_all, now);
        let depths = notices.iter().map(|n| n.crash.depth).collect();
        let crashes = notices.into_iter().map(|notice| PartCrashed {
            crash: Crash::of(
                &CrashNotice {
                    fingerprint: notice.part,
                    worker: notice.worker,
                    crashed_run: notice.crash.run,
                },
                now,
            ),
            version: notice.crash.version,
            written: notice.crash.written,
            progressed: notice.crash.progressed,
            trial: notice.crash.trial,
        });
        let notices = Self {
            crashes: crashes.collect(),
            trials: suspects.trials().collect(),
        };
        (notices, PartDepths(depths))
    }

    /// Records the crashes and trials that a peer reports. Peers of earlier versions do not
    /// report depths.
    pub(super) fn take(self, depths: PartDepths, suspects: &mut PartSuspects, now: Moment) {
        let depths = depths.0.into_iter().chain(iter::repeat(Depth::default()));
        for (reported, depth) in self.crashes.into_iter().zip(depths) {
            let PartCrashed {
                crash,
                version,
                written,
                progressed,
                trial,
            } = reported;
            let CrashNotice {
                fingerprint,
                worker,
                crashed_run,
            } = crash.notice(now);
            let notice = PartNotice {
                part: fingerprint,
                worker,
                crash: PartCrash {
                    run: crashed_run,
                    version,
                    depth,
                    written,
                    progressed,
                    trial,
                },
            };
            suspects.note_crash(notice, now);
        }
        for part in self.trials {
            suspects.note_trial(part, now);
        }
    }
}

impl Crash {
    fn of(notice: &CrashNotice, now: Moment) -> Self {
        let ago = |at| u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX);
        Self {
            fingerprint: notice.fingerprint,
            worker: notice.worker,
            began_ms_ago: ago(notice.crashed_run.began),
            crashed_ms_ago: ago(notice.crashed_run.crashed),
            cleared: notice.crashed_run.cleared,
        }
    }

    fn notice(&self, now: Moment) -> CrashNotice {
        let at = |ms: u32| Moment(now.0.saturating_sub(u64::from(ms) * 1000));
        CrashNotice {
            fingerprint: self.fingerprint,
            worker: self.worker,
            crashed_run: CrashedRun {
                began: at(self.began_ms_ago),
                crashed: at(self.crashed_ms_ago),
                cleared: self.cleared,
            },
        }
    }
}
