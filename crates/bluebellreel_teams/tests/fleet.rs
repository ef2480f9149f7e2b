//! Rate limits over a fleet of gateways with lost and delayed reports, partitions,
//! restarts, joins and suspensions.

use bluebellreel_teams::{Allowances, KeyDigest, Limit, Spending, Team, TeamTag, Teams};
use bluebellreel_types::{EntryName, Incarnation, Moment};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::collections::VecDeque;

/// Length of the windows in which admitted requests are counted, in milliseconds.
const WINDOW_MS: u64 = 5000;
/// Share by which the limit may be exceeded.
const EXCESS: f64 = 0.1;
/// Requests by which the limit may be exceeded.
const SLACK: f64 = 20.0;
/// Interval between the reports of a gateway.
const REPORT_MS: u64 = 40;
/// Interval between updates of the share.
const UPDATE_MS: u64 = 250;

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

struct Gateway {
    name: EntryName,
    run: u64,
    allowances: Allowances,
    /// When the process has started and knows the other gateways.
    knows_from: u64,
    running_from: u64,
}

/// A report on its way: arrival, receiver, sender, incarnation, gateways and counts.
type Report = (u64, usize, usize, u64, usize, Vec<Spending>);

/// A disturbance of the fleet.
#[derive(Clone, Debug)]
enum Fault {
    /// The gateways below this number are parted from the others.
    Cut { below: usize, from: u64, until: u64 },
    /// These gateways are killed and restart after a second.
    Kill { below: usize, at: u64 },
    /// One gateway is suspended.
    Suspend {
        gateway: usize,
        from: u64,
        until: u64,
    },
}

struct Fleet {
    gateways: Vec<Gateway>,
    reports: VecDeque<Report>,
    /// Milliseconds played so far.
    played: u64,
    admitted: Vec<u64>,
    refused: u64,
    rng: SmallRng,
    limit: Limit,
    teams: Teams,
    loss: f64,
}

impl Fleet {
    fn new(size: usize, limit: Limit, loss: f64, seed: u64) -> Self {
        let gateways = (0..size).map(|n| Gateway {
            name: EntryName::from(format!("gateway-{n}")),
            run: 1,
            allowances: Allowances::default(),
            knows_from: 300,
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
    fn play(&mut self, end: u64, demand: f64, faults: &[Fault]) {
        let size = self.gateways.len();
        for ms in std::mem::replace(&mut self.played, end)..end {
            for fault in faults {
                if let Fault::Kill { below, at } = fault
                    && *at == ms
                {
                    for gateway in self.gateways.iter_mut().take(*below) {
                        gateway.allowances = Allowances::default();
                        gateway.run += 1;
                        gateway.running_from = ms + 1000;
                        gateway.knows_from = ms + 1300;
                    }
                }
            }
            self.deliver(ms, faults);
            for n in 0..size {
                if !self.is_running(n, ms, faults) {
                    continue;
                }
                let offset = u64::try_from(n).expect("few gateways") * 7;
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
                let position = draw * draw * f64::from(u32::try_from(size).expect("few"));
                let n = (0..size)
                    .find(|n| position < f64::from(u32::try_from(n + 1).expect("few")))
                    .unwrap_or(0);
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

    /// The most requests admitted in any window.
    fn most_in_a_window(&self) -> usize {
        let ends = self.admitted.iter().enumerate();
        let counts = ends.map(|(n, end)| {
            let begin = self.admitted.partition_point(|ms| ms + WINDOW_MS <= *end);
            n + 1 - begin
        });
        counts.max().unwrap_or(0)
    }

    fn assert_bound(&self) {
        let Limit { per_second, burst } = self.limit;
        let allowed = (per_second * 5.0 + burst) * (1.0 + EXCESS) + SLACK;
        let most = self.most_in_a_window();
        let most = f64::from(u32::try_from(most).expect("few requests"));
        assert!(most <= allowed, "{most} of {allowed}");
    }
}

const LARGE: Limit = Limit {
    per_second: 40.0,
    burst: 40.0,
};

/// Guards against refusals within the limit, with demand at half of it that reaches the
/// gateways unevenly.
#[test]
fn demand_within_the_limit_is_admitted() {
    let mut fleet = Fleet::new(27, LARGE, 0.02, 1);
    fleet.play(3000, 0.0, &[]);
    fleet.play(63_000, 20.0, &[]);
    let all = fleet.refused + u64::try_from(fleet.admitted.len()).expect("few");
    assert!(fleet.refused * 1000 <= all, "{} of {all}", fleet.refused);
}

/// Guards against limits of which a part is lost: a flood gets nearly the whole rate.
#[test]
fn a_flood_gets_the_rate() {
    let mut fleet = Fleet::new(27, LARGE, 0.02, 2);
    fleet.play(30_000, 300.0, &[]);
    assert!(fleet.admitted.len() >= 1150, "{}", fleet.admitted.len());
    fleet.assert_bound();
}

/// All gateways are killed under a flood. Guards against a burst that is granted again by
/// buckets that start full.
#[test]
fn a_kill_of_all_under_a_flood_grants_no_second_burst() {
    let mut fleet = Fleet::new(27, LARGE, 0.02, 3);
    let kill = Fault::Kill {
        below: 27,
        at: 4000,
    };
    fleet.play(12_000, 300.0, &[kill]);
    fleet.assert_bound();
}

/// All gateways are killed while a small team makes few requests. Guards against refusals
/// within the limit after the restart.
#[test]
fn a_small_team_is_admitted_right_after_a_kill_of_all() {
    let small = Limit {
        per_second: 4.0,
        burst: 4.0,
    };
    let mut fleet = Fleet::new(27, small, 0.02, 13);
    let kill = Fault::Kill {
        below: 27,
        at: 4000,
    };
    fleet.play(5400, 0.0, std::slice::from_ref(&kill));
    fleet.play(9000, 2.0, &[kill]);
    assert_eq!(fleet.refused, 0);
}

/// Two in five gateways are parted from the others, with a flood on both sides. Guards
/// against a limit that each side grants for itself.
#[test]
fn a_partition_under_a_flood_keeps_the_limit() {
    for from in [0, 500, 3000, 6000] {
        let mut fleet = Fleet::new(27, LARGE, 0.02, 4 + from);
        let cut = Fault::Cut {
            below: 11,
            from,
            until: from + 6000,
        };
        fleet.play(16_000, 300.0, &[cut]);
        fleet.assert_bound();
    }
}

/// A partition begins while the whole burst is unused, and the flood with it. Guards
/// against a burst that each side grants for itself.
#[test]
fn a_partition_before_a_flood_keeps_the_limit() {
    let mut fleet = Fleet::new(27, LARGE, 0.02, 11);
    let cut = Fault::Cut {
        below: 11,
        from: 5000,
        until: 11_000,
    };
    for demand in [0.0, 300.0] {
        let end = if demand > 0.0 { 16_000 } else { 5100 };
        fleet.play(end, demand, std::slice::from_ref(&cut));
    }
    fleet.assert_bound();
}

/// A gateway is suspended and resumes in a flood. Guards against admission by what it
/// knew before.
#[test]
fn a_suspended_gateway_does_not_spend_an_old_level() {
    let mut fleet = Fleet::new(5, LARGE, 0.02, 12);
    let suspend = Fault::Suspend {
        gateway: 0,
        from: 3000,
        until: 9000,
    };
    fleet.play(14_000, 300.0, &[suspend]);
    fleet.assert_bound();
}

fn fault(size: usize) -> impl Strategy<Value = Fault> {
    let cut = (1..size, 0..12_000u64, 500..6000u64).prop_map(|(below, from, length)| Fault::Cut {
        below,
        from,
        until: from + length,
    });
    let kill = (1..=size, 500..12_000u64).prop_map(|(below, at)| Fault::Kill { below, at });
    let suspend =
        (0..size, 0..12_000u64, 500..6000u64).prop_map(|(gateway, from, length)| Fault::Suspend {
            gateway,
            from,
            until: from + length,
        });
    prop_oneof![cut, kill, suspend]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

    /// Guards that no mixture of partitions, kills, suspensions and losses lets a flood
    /// exceed the limit.
    #[test]
    fn no_mixture_of_faults_exceeds_the_limit(
        (size, faults) in (2..28usize)
            .prop_flat_map(|size| (Just(size), prop::collection::vec(fault(size), 0..4))),
        demand in 20.0..300.0f64,
        per_second in 1.0..60.0f64,
        loss in 0.0..0.1f64,
        seed in any::<u64>(),
    ) {
        let limit = Limit { per_second, burst: per_second };
        let mut fleet = Fleet::new(size, limit, loss, seed);
        fleet.play(14_000, demand, &faults);
        fleet.assert_bound();
    }
}
