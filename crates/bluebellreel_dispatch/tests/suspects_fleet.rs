//! One request that crashes workers, at fleets of several sizes.
//!
//! What answers it: daemons that each see only the crashes under their own runs, tell
//! them in reports of which one in five is lost, and conclude by themselves. The figures
//! are those of a bad hour: the request comes back every 20 to 60 ms, at any daemon, each
//! attempt goes to two workers, every worker is full of others' requests, and of those
//! that a crash cuts, half meet the next crash as well.

use bluebellreel_dispatch::{
    CrashNotice, CrashedRun, Fingerprint, QuarantineStatus, Sender, Suspects, WorkerTag, may_try,
};
use bluebellreel_types::{EntryName, Moment};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// Time between two rounds of reports.
const ROUND: u64 = 250;
/// Daemons that send notices of quarantined requests, in each round.
const FULL_NOTIFIERS: usize = 8;
/// How long a run takes to end its worker.
const RUN: u64 = 60;
/// Others that run beside it.
const BESIDE: usize = 7;
/// After this time all have heard of what has crashed three workers.
const KNOWN: u64 = 3000;

struct Fleet {
    rng: SmallRng,
    now: u64,
    daemons: Vec<Suspects>,
    workers: u32,
    /// When each crash came.
    crashes: Vec<u64>,
    /// Others that the last crash has cut, with their daemons.
    cut: Vec<(Fingerprint, usize)>,
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
            cut: Vec::new(),
            others: Vec::new(),
        }
    }

    fn any_daemon(&mut self) -> usize {
        self.rng.random_range(0..self.daemons.len())
    }

    /// Whether a daemon sends a request on, as a trial if that is asked for.
    fn lets_run(&mut self, daemon: usize, request: Fingerprint) -> bool {
        let now = at(self.now);
        match self.daemons[daemon].quarantine_status(request, Sender::Caller, now) {
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

    fn holds(&self, daemon: usize, request: Fingerprint) -> bool {
        let quarantine_status =
            self.daemons[daemon].quarantine_status(request, Sender::Caller, at(self.now));
        matches!(quarantine_status, QuarantineStatus::Quarantined(_))
    }

    /// Runs a request until its worker has crashed.
    fn run(&mut self, daemon: usize, request: Fingerprint) {
        let began = self.now;
        self.now += RUN;
        let worker = self.rng.random_range(0..self.workers);
        let life = WorkerTag(worker * 10_000 + u32::try_from(self.crashes.len()).unwrap_or(0));
        self.crashes.push(self.now);
        self.see(daemon, request, life, began);
        let mut there = Vec::new();
        for (other, of) in std::mem::take(&mut self.cut) {
            if self.rng.random_bool(0.5) && !self.holds(of, other) {
                there.push((other, of));
            }
        }
        while there.len() < BESIDE {
            let other = Fingerprint::of(&[&self.others.len().to_le_bytes()]);
            self.others.push(other);
            there.push((other, self.any_daemon()));
        }
        for (other, of) in &there {
            let before = self.rng.random_range(0..60);
            self.see(*of, *other, life, began.saturating_sub(before));
        }
        self.cut = there;
    }

    fn see(&mut self, daemon: usize, request: Fingerprint, life: WorkerTag, began: u64) {
        let crashed_run = CrashedRun {
            began: at(began),
            crashed: at(self.now),
            cleared: false,
        };
        let notice = CrashNotice {
            fingerprint: request,
            worker: life,
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

    /// Sends a request again and again for so long.
    fn repeat(&mut self, request: Fingerprint, lasts: u64) {
        let until = self.now + lasts;
        let mut next_report = self.now + ROUND;
        while self.now < until {
            let daemon = self.any_daemon();
            for _ in 0..2 {
                if self.lets_run(daemon, request) {
                    self.run(daemon, request);
                    self.daemons[daemon].end_trial(request);
                }
            }
            self.now += self.rng.random_range(20..60);
            if self.now >= next_report {
                self.report();
                next_report = self.now + ROUND;
            }
        }
    }
}

fn play(daemons: usize, workers: u32) {
    for seed in 0..4 {
        let bad = Fingerprint::of(&[b"bad"]);
        let mut fleet = Fleet::of(daemons, workers, seed);
        fleet.repeat(bad, 8000);
        let known = fleet.crashes[2] + KNOWN;
        let late = fleet.crashes.iter().filter(|t| **t > known).count();
        assert!(
            late <= 3,
            "seed {seed}: {late} crashes late, {:?}",
            fleet.crashes
        );
        for daemon in 0..daemons {
            assert!(fleet.holds(daemon, bad), "seed {seed}: daemon {daemon}");
        }
        let asked = [0, daemons / 2, daemons - 1];
        let held = |other: &&Fingerprint| asked.iter().any(|d| fleet.holds(*d, **other));
        let held = fleet.others.iter().filter(held).count();
        println!("{daemons} daemons: {} crashes", fleet.crashes.len());
        assert_eq!(held, 0, "seed {seed}: others are held back");
    }
}

#[test]
fn four_daemons_hold_it_back() {
    play(4, 9);
}

#[test]
fn fifty_eight_daemons_hold_it_back() {
    play(58, 76);
}

#[test]
fn four_hundred_and_ten_daemons_hold_it_back() {
    play(410, 1900);
}

/// A daemon starts in the middle of a large fleet, and hears of it within seconds.
#[test]
fn a_daemon_that_starts_later_hears_of_it() {
    let bad = Fingerprint::of(&[b"bad"]);
    let mut fleet = Fleet::of(410, 1900, 7);
    fleet.repeat(bad, 6000);
    fleet.daemons[17] = Suspects::default();
    fleet.now += 20_000;
    for _ in 0..4 {
        fleet.report();
    }
    assert!(fleet.holds(17, bad));
}
