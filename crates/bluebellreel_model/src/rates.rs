//! The rate limits of one team over a fleet of gateways, with lost and delayed reports,
//! partitions, kills and suspensions.
//!
//! The gateways run the real [`Allowances`]. Time advances by milliseconds; callers prefer
//! the first gateways. Unlike the other models, this one plays random schedules instead of
//! exploring all states.
//!
//! ```
//! use bluebellreel_model::rates::Fleet;
//! use bluebellreel_teams::Limit;
//!
//! let mut fleet = Fleet::new(3, Limit { per_second: 20.0, burst: 20.0 }, 0.0, 1);
//! fleet.play(2000, 10.0, &[]);
//! fleet.assert_bound();
//! ```

use bluebellreel_teams::{Allowances, KeyDigest, Limit, Spending, Team, TeamTag, Teams, Tolerance};
use bluebellreel_types::{EntryName, Incarnation, Moment};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::VecDeque;

/// Interval between the reports of a gateway, in milliseconds.
const REPORT_MS: u64 = 40;
/// Interval between updates of the share, in milliseconds.
const UPDATE_MS: u64 = 250;
/// Time from a kill until the process runs again, in milliseconds.
const RESTART_MS: u64 = 1000;
/// Time from the start until a gateway knows the others, in milliseconds.
const DISCOVERY_MS: u64 = 300;

fn at(ms: u64) -> Moment {
    Moment(1_000_000_000 + ms * 1000)
}

fn teams(limit: Limit) -> Teams {
    Teams::from(vec![Team {
        name: "school".into(),
        keys: vec![KeyDigest::of(b"k")],
        priority: None,
        limit: Some(limit),
    }])
}

#[derive(Clone, Debug)]
struct Gateway {
    name: EntryName,
    run: u64,
    allowances: Allowances,
    /// Millisecond from which the process runs.
    running_from: u64,
    /// Millisecond from which it knows the other gateways.
    knows_from: u64,
}

/// A report on its way: arrival, receiver, sender, incarnation, gateways and counts.
type Report = (u64, usize, usize, u64, usize, Vec<Spending>);

/// A disturbance of the fleet. Times are in milliseconds.
#[derive(Clone, Debug)]
pub enum Fault {
    /// Some gateways are parted from the others.
    Cut {
        /// Number of these gateways, the first ones.
        below: usize,
        /// When it begins.
        from: u64,
        /// When it ends.
        until: u64,
    },
    /// Some gateways are killed and restart after a second.
    Kill {
        /// Number of these gateways, the first ones.
        below: usize,
        /// When it happens.
        at: u64,
    },
    /// One gateway is suspended.
    Suspend {
        /// The gateway.
        gateway: usize,
        /// When it begins.
        from: u64,
        /// When it ends.
        until: u64,
    },
}

/// Gateways, the reports between them, and what they have admitted.
#[derive(Clone, Debug)]
pub struct Fleet {
    gateways: Vec<Gateway>,
    reports: VecDeque<Report>,
    /// Milliseconds played so far.
    played: u64,
    /// Milliseconds at which requests were admitted.
    pub admitted: Vec<u64>,
    /// Number of requests that were refused.
    pub refused: u64,
    rng: SmallRng,
    limit: Limit,
    teams: Teams,
    loss: f64,
}

impl Fleet {
    /// A fleet of this size. `loss` is the share of reports that are lost.
    #[must_use]
    pub fn new(size: usize, limit: Limit, loss: f64, seed: u64) -> Self {
        let gateways = (0..size).map(|n| Gateway {
            name: EntryName::from(format!("gateway-{n}")),
            run: 1,
            allowances: Allowances::default(),
            knows_from: DISCOVERY_MS,
            running_from: 0,
        });
        Self {
            gateways: gateways.collect(),
            reports: VecDeque::new(),
            played: 0,
            admitted: Vec::new(),
            refused: 0,
            rng: SmallRng::seed_from_u64(seed),
            limit,
            teams: teams(limit),
            loss,
        }
    }

    /// Plays until `end` milliseconds with `demand` requests per second, most of them at
    /// the first gateways.
    pub fn play(&mut self, end: u64, demand: f64, faults: &[Fault]) {
        let size = self.gateways.len();
        for ms in std::mem::replace(&mut self.played, end)..end {
            for fault in faults {
                if let Fault::Kill { below, at } = fault
                    && *at == ms
                {
                    for gateway in self.gateways.iter_mut().take(*below) {
                        gateway.allowances = Allowances::default();
                        gateway.run += 1;
                        gateway.running_from = ms + RESTART_MS;
                        gateway.knows_from = ms + RESTART_MS + DISCOVERY_MS;
                    }
                }
            }
            self.deliver(ms, faults);
            for n in 0..size {
                if !self.is_running(n, ms, faults) {
                    continue;
                }
                let offset = u64::try_from(n).unwrap_or(0) * 7;
                if (ms + offset).is_multiple_of(UPDATE_MS) {
                    self.update(n, ms);
                }
                if (ms + offset).is_multiple_of(REPORT_MS) {
                    self.report(n, ms, faults);
                }
            }
            if self.rng.random_bool((demand / 1000.0).min(1.0)) {
                // The square of a uniform number prefers the first gateways.
                let draw: f64 = self.rng.random_range(0.0..1.0);
                let position = draw * draw * float(size);
                let n = (0..size).find(|n| position < float(n + 1)).unwrap_or(0);
                self.ask(n, ms, faults);
            }
        }
    }

    fn is_running(&self, n: usize, ms: u64, faults: &[Fault]) -> bool {
        let is_suspended = faults.iter().any(|fault| {
            matches!(fault, Fault::Suspend { gateway, from, until }
                if *gateway == n && (*from..*until).contains(&ms))
        });
        ms >= self.gateways[n].running_from && !is_suspended
    }

    fn update(&mut self, n: usize, ms: u64) {
        let size = self.gateways.len();
        let gateway = &mut self.gateways[n];
        let known = (ms >= gateway.knows_from).then_some(size);
        gateway.allowances.update(known, true, at(ms));
    }

    fn ask(&mut self, n: usize, ms: u64, faults: &[Fault]) {
        if !self.is_running(n, ms, faults) {
            return;
        }
        self.update(n, ms);
        let (limit, team) = (self.limit, TeamTag::of("school"));
        match self.gateways[n].allowances.admit(team, limit, 0.5, at(ms)) {
            Ok(()) => self.admitted.push(ms),
            Err(_) => self.refused += 1,
        }
    }

    fn report(&mut self, n: usize, ms: u64, faults: &[Fault]) {
        let size = self.gateways.len();
        let is_brief = !ms.is_multiple_of(UPDATE_MS);
        let counts = self.gateways[n].allowances.spending(is_brief, at(ms));
        for to in (0..size).filter(|to| *to != n) {
            let is_cut = faults.iter().any(|fault| {
                matches!(fault, Fault::Cut { below, from, until }
                    if (*from..*until).contains(&ms) && (n < *below) != (to < *below))
            });
            if is_cut || self.rng.random_bool(self.loss) {
                continue;
            }
            let arrival = ms + self.rng.random_range(1..8);
            let report = (arrival, to, n, self.gateways[n].run, size, counts.clone());
            self.reports.push_back(report);
        }
    }

    fn deliver(&mut self, ms: u64, faults: &[Fault]) {
        for _ in 0..self.reports.len() {
            let Some(report) = self.reports.pop_front() else {
                return;
            };
            let (arrival, to, from, run, gateways, counts) = report;
            if arrival > ms || !self.is_running(to, ms, faults) {
                if ms >= self.gateways[to].running_from {
                    self.reports
                        .push_back((arrival, to, from, run, gateways, counts));
                }
                continue;
            }
            let name = self.gateways[from].name.clone();
            self.gateways[to].allowances.hear(
                &name,
                Incarnation(run),
                (gateways, &counts),
                Some(&self.teams),
                at(ms),
            );
        }
    }

    /// The most requests admitted in any window of this length.
    fn most_in_a_window(&self, window_ms: u64) -> usize {
        let ends = self.admitted.iter().enumerate();
        let counts = ends.map(|(n, end)| {
            let begin = self.admitted.partition_point(|ms| ms + window_ms <= *end);
            n + 1 - begin
        });
        counts.max().unwrap_or(0)
    }

    /// Checks that no window holds more requests than the limit and the tolerance allow.
    ///
    /// # Panics
    ///
    /// If one does.
    pub fn assert_bound(&self) {
        let Limit { per_second, burst } = self.limit;
        let Tolerance {
            window,
            excess,
            slack,
        } = Tolerance::default();
        let allowed = (per_second * window.as_secs_f64() + burst) * (1.0 + excess) + slack;
        let window_ms = u64::try_from(window.as_millis()).unwrap_or(u64::MAX);
        let most = float(self.most_in_a_window(window_ms));
        assert!(most <= allowed, "{most} of {allowed}");
    }
}

fn float(n: usize) -> f64 {
    f64::from(u32::try_from(n).unwrap_or(u32::MAX))
}
