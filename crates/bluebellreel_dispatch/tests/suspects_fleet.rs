//! A request that crashes workers, in fleets of several sizes.
//!
//! Each daemon observes only the crashes under its own runs, shares them in reports of
//! which one in five is lost, and draws its own conclusions. The parameters model a severe
//! case: the request comes back every 20 to 60 ms at any daemon, each attempt goes to
//! two workers, every worker is fully occupied by other requests, and half of the
//! requests that a crash interrupts are present at the next crash as well.

use bluebellreel_dispatch::{
    CrashNotice, CrashedRun, Fingerprint, QuarantineStatus, Suspects, WorkerTag, may_try,
};
use bluebellreel_types::{EntryName, Moment};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// Time between two rounds of reports.
const REPORT_INTERVAL_MS: u64 = 250;
/// Number of daemons that send notices of quarantined requests in each round.
const FULL_NOTIFIERS: usize = 8;
/// Time from the start of a run until its worker crashes.
const RUN_MS: u64 = 60;
/// Number of other requests that run at the same worker.
const CONCURRENT_RUNS: usize = 7;
/// Time after the third crash by which all daemons know of the request.
const CONVERGENCE_MS: u64 = 3000;

struct Fleet {
    rng: SmallRng,
    now: u64,
    daemons: Vec<Suspects>,
    workers: u32,
    /// Times of the crashes.
    crashes: Vec<u64>,
    /// Other requests that the last crash interrupted, with their daemons.
    interrupted: Vec<(Fingerprint, usize)>,
    others: Vec<Fingerprint>,
}

fn at(ms: u64) -> Moment {
    Moment(1_000_000_000) + Duration::from_millis(ms)
}

impl Fleet {
    fn of(daemons: usize, workers: u32, seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            now: 0,
            daemons: vec![Suspects::default(); daemons],
            workers,
            crashes: Vec::new(),
            interrupted: Vec::new(),
            others: Vec::new(),
        }
    }

    fn any_daemon(&mut self) -> usize {
        self.rng.random_range(0..self.daemons.len())
    }

    /// Whether a daemon sends a request, on trial if its status requires one.
    fn may_send(&mut self, daemon: usize, request: Fingerprint) -> bool {
        let now = at(self.now);
        match self.daemons[daemon].quarantine_status(request, now) {
            QuarantineStatus::Clear | QuarantineStatus::Suspect => true,
            QuarantineStatus::Quarantined(_) => false,
            QuarantineStatus::TrialOnly(since) => {
                let me = EntryName::from(format!("entry-{daemon}"));
                let may = may_try(request, &me, self.daemons.len(), since, now);
                if may {
                    self.daemons[daemon].begin_trial(request, now);
                }
                may
            }
        }
    }

    fn is_quarantined(&self, daemon: usize, request: Fingerprint) -> bool {
        let quarantine_status = self.daemons[daemon].quarantine_status(request, at(self.now));
        matches!(quarantine_status, QuarantineStatus::Quarantined(_))
    }

    /// Runs a request until its worker has crashed.
    fn run(&mut self, daemon: usize, request: Fingerprint) {
        let began = self.now;
        self.now += RUN_MS;
        let worker = self.rng.random_range(0..self.workers);
        let incarnation =
            WorkerTag(worker * 10_000 + u32::try_from(self.crashes.len()).unwrap_or(0));
        self.crashes.push(self.now);
        self.note_crash_at(daemon, request, incarnation, began);
        let mut affected = Vec::new();
        for (other, of) in std::mem::take(&mut self.interrupted) {
            if self.rng.random_bool(0.5) && !self.is_quarantined(of, other) {
                affected.push((other, of));
            }
        }
        while affected.len() < CONCURRENT_RUNS {
            let other = Fingerprint::of(&[&self.others.len().to_le_bytes()]);
            self.others.push(other);
            affected.push((other, self.any_daemon()));
        }
        for (other, of) in &affected {
            let before = self.rng.random_range(0..60);
            self.note_crash_at(*of, *other, incarnation, began.saturating_sub(before));
        }
        self.interrupted = affected;
    }

    fn note_crash_at(
        &mut self,
        daemon: usize,
        request: Fingerprint,
        incarnation: WorkerTag,
        began: u64,
    ) {
        let crashed_run = CrashedRun {
            began: at(began),
            crashed: at(self.now),
            cleared: false,
        };
        let notice = CrashNotice {
            fingerprint: request,
            worker: incarnation,
            crashed_run,
        };
        self.daemons[daemon].note_own_crash(notice, at(self.now));
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
                    for one in &notices {
                        self.daemons[to].note_crash(*one, now);
                    }
                    for one in &trials {
                        self.daemons[to].note_trial(*one, now);
                    }
                }
            }
        }
    }

    /// Sends a request repeatedly for this duration.
    fn repeat(&mut self, request: Fingerprint, duration: u64) {
        let until = self.now + duration;
        let mut next_report = self.now + REPORT_INTERVAL_MS;
        while self.now < until {
            let daemon = self.any_daemon();
            for _ in 0..2 {
                if self.may_send(daemon, request) {
                    self.run(daemon, request);
                    self.daemons[daemon].end_trial(request);
                }
            }
            self.now += self.rng.random_range(20..60);
            if self.now >= next_report {
                self.report();
                next_report = self.now + REPORT_INTERVAL_MS;
            }
        }
    }
}

fn check_fleet(daemons: usize, workers: u32) {
    for seed in 0..4 {
        let bad = Fingerprint::of(&[b"bad"]);
        let mut fleet = Fleet::of(daemons, workers, seed);
        fleet.repeat(bad, 8000);
        let known = fleet.crashes[2] + CONVERGENCE_MS;
        let late_crashes = fleet.crashes.iter().filter(|t| **t > known).count();
        assert!(
            late_crashes <= 3,
            "seed {seed}: {late_crashes} late crashes, {:?}",
            fleet.crashes
        );
        for daemon in 0..daemons {
            assert!(
                fleet.is_quarantined(daemon, bad),
                "seed {seed}: daemon {daemon}"
            );
        }
        let sampled = [0, daemons / 2, daemons - 1];
        let quarantined_others =
            |other: &&Fingerprint| sampled.iter().any(|d| fleet.is_quarantined(*d, **other));
        let quarantined_others = fleet.others.iter().filter(quarantined_others).count();
        println!("{daemons} daemons: {} crashes", fleet.crashes.len());
        assert_eq!(
            quarantined_others, 0,
            "seed {seed}: other requests are quarantined"
        );
    }
}

#[test]
fn four_daemons_quarantine_the_request() {
    check_fleet(4, 9);
}

#[test]
fn fifty_eight_daemons_quarantine_the_request() {
    check_fleet(58, 76);
}

#[test]
fn four_hundred_and_ten_daemons_quarantine_the_request() {
    check_fleet(410, 1900);
}

/// A daemon that starts in a large fleet receives the quarantine within seconds.
#[test]
fn a_daemon_that_starts_later_learns_of_the_quarantine() {
    let bad = Fingerprint::of(&[b"bad"]);
    let mut fleet = Fleet::of(410, 1900, 7);
    fleet.repeat(bad, 6000);
    fleet.daemons[17] = Suspects::default();
    fleet.now += 20_000;
    for _ in 0..4 {
        fleet.report();
    }
    assert!(fleet.is_quarantined(17, bad));
}
