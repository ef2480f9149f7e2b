//! A part of prompts that crashes workers, in fleets of several sizes.
//!
//! Each daemon observes only the crashes under its own runs, shares them in reports of
//! which one in five is lost, and draws its own conclusions. Requests with the part come at
//! any daemon, no two alike; all prompts share their first part.

use bluebellreel_dispatch::{
    CrashedRun, Depth, Fingerprint, PartCrash, PartNotice, PartSuspects, QuarantineStatus,
    VersionTag, WorkerTag, may_try,
};
use bluebellreel_types::{EntryName, Moment};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// Time between two rounds of reports.
const REPORT_INTERVAL_MS: u64 = 250;
/// Number of daemons that send notices of quarantined parts in each round.
const FULL_NOTIFIERS: usize = 8;
/// Time from the start of a run until its worker crashes, or has written the first part of
/// an answer.
const RUN_MS: u64 = 50;
/// Number of other requests that run at the same worker.
const CONCURRENT_RUNS: usize = 7;
/// Time after the fifth crash by which all daemons know of the part, and the number of runs
/// with it that may follow.
const CONVERGENCE_MS: u64 = 3000;
const MAX_LATE_RUNS: usize = 3;

const VERSION: VersionTag = VersionTag(1);

fn at(ms: u64) -> Moment {
    Moment(1_000_000_000) + Duration::from_millis(ms)
}

fn part(name: &str) -> Fingerprint {
    Fingerprint::of(&[name.as_bytes()])
}

struct Fleet {
    rng: SmallRng,
    now: u64,
    daemons: Vec<PartSuspects>,
    /// Times of the crashes.
    crashes: Vec<u64>,
    /// Requests without the part that were asked for, and that were held back, later than
    /// twice the convergence time after the fifth crash.
    late_sound: usize,
    late_held: usize,
}

impl Fleet {
    fn of(daemons: usize, seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            now: 0,
            daemons: vec![PartSuspects::default(); daemons],
            crashes: Vec::new(),
            late_sound: 0,
            late_held: 0,
        }
    }

    fn any_daemon(&mut self) -> usize {
        self.rng.random_range(0..self.daemons.len())
    }

    /// Whether a daemon sends a request, and the parts of which that is a trial.
    fn may_send(&mut self, daemon: usize, parts: &[Fingerprint]) -> Option<Vec<Fingerprint>> {
        let now = at(self.now);
        let verdict = self.daemons[daemon].verdict(parts, VERSION, now);
        match verdict.status {
            QuarantineStatus::Clear | QuarantineStatus::Suspect => Some(Vec::new()),
            QuarantineStatus::Quarantined(_) => None,
            QuarantineStatus::TrialOnly(since) => {
                let me = EntryName::from(format!("entry-{daemon}"));
                may_try(verdict.parts[0], &me, self.daemons.len(), since, now).then(|| {
                    for part in &verdict.parts {
                        self.daemons[daemon].begin_trial(*part, now);
                    }
                    verdict.parts
                })
            }
        }
    }

    /// A request with the part that crashes workers.
    fn ask_bad(&mut self) {
        let daemon = self.any_daemon();
        let parts = [part("first"), part("bad")];
        let Some(trial) = self.may_send(daemon, &parts) else {
            return;
        };
        let began = self.now;
        self.now += RUN_MS;
        let worker = WorkerTag(u32::try_from(self.crashes.len()).unwrap_or(0));
        self.crashes.push(self.now);
        self.crash_at(daemon, &parts, worker, began, &trial);
        for _ in 0..CONCURRENT_RUNS {
            let beside = [part("first"), self.other_part()];
            let of = self.any_daemon();
            self.crash_at(of, &beside, worker, began, &[]);
        }
        for part in trial {
            self.daemons[daemon].end_trial(part);
        }
    }

    fn other_part(&mut self) -> Fingerprint {
        part(&format!("other {}", self.rng.random_range(0..200)))
    }

    fn crash_at(
        &mut self,
        daemon: usize,
        parts: &[Fingerprint],
        worker: WorkerTag,
        began: u64,
        trial: &[Fingerprint],
    ) {
        let run = CrashedRun {
            began: at(began),
            crashed: at(self.now),
            cleared: false,
        };
        for part in parts {
            let crash = PartCrash {
                run,
                version: VERSION,
                depth: Depth::default(),
                written: false,
                progressed: false,
                trial: trial.contains(part),
            };
            let notice = PartNotice {
                part: *part,
                worker,
                crash,
            };
            self.daemons[daemon].note_own_crash(notice, at(self.now));
        }
    }

    /// A request without the part; its answer is complete at once.
    fn ask_sound(&mut self) {
        let daemon = self.any_daemon();
        let parts = [part("first"), self.other_part()];
        let sent = self.may_send(daemon, &parts).is_some();
        let is_late = self
            .crashes
            .get(4)
            .is_some_and(|t| self.now > t + 2 * CONVERGENCE_MS);
        if is_late {
            self.late_sound += 1;
            self.late_held += usize::from(!sent);
        }
        if sent {
            self.daemons[daemon].note_answer(&parts, VERSION, at(self.now));
        }
    }

    /// All daemons report to all others.
    fn report(&mut self) {
        let now = at(self.now);
        for from in 0..self.daemons.len() {
            let all = self.rng.random_range(0..self.daemons.len()) < FULL_NOTIFIERS;
            let notices = self.daemons[from].notices(all, now);
            let trials: Vec<Fingerprint> = self.daemons[from].trials().collect();
            if notices.is_empty() && trials.is_empty() {
                continue;
            }
            for to in 0..self.daemons.len() {
                if to != from && self.rng.random_bool(0.8) {
                    for notice in &notices {
                        self.daemons[to].note_crash(*notice, now);
                    }
                    for part in &trials {
                        self.daemons[to].note_trial(*part, now);
                    }
                }
            }
        }
    }
}

fn check_fleet(daemons: usize, seeds: u64) {
    for seed in 0..seeds {
        let mut fleet = Fleet::of(daemons, seed);
        let mut next_report = REPORT_INTERVAL_MS;
        while fleet.now < 20_000 {
            fleet.ask_bad();
            for _ in 0..4 {
                fleet.ask_sound();
            }
            fleet.now += fleet.rng.random_range(20..60);
            if fleet.now >= next_report {
                fleet.report();
                next_report = fleet.now + REPORT_INTERVAL_MS;
            }
        }
        let known = fleet
            .crashes
            .get(4)
            .map_or(u64::MAX, |t| t + CONVERGENCE_MS);
        let late = fleet.crashes.iter().filter(|t| **t > known).count();
        println!(
            "{daemons} daemons, seed {seed}: {} crashes",
            fleet.crashes.len()
        );
        assert!(late <= MAX_LATE_RUNS, "seed {seed}: {:?}", fleet.crashes);
        assert!(
            fleet.late_held * 2 < fleet.late_sound.max(1),
            "seed {seed}: {} of {} held back",
            fleet.late_held,
            fleet.late_sound
        );
        let now = at(fleet.now);
        for daemon in &fleet.daemons {
            let bad = daemon.verdict(&[part("first"), part("bad")], VERSION, now);
            assert!(
                matches!(bad.status, QuarantineStatus::Quarantined(_)),
                "seed {seed}: {bad:?}"
            );
        }
    }
}

#[test]
fn five_daemons_quarantine_the_part_alone() {
    check_fleet(5, 8);
}

#[test]
fn fifty_eight_daemons_quarantine_the_part_alone() {
    check_fleet(58, 4);
}

#[test]
fn four_hundred_and_ten_daemons_quarantine_the_part_alone() {
    check_fleet(410, 2);
}
