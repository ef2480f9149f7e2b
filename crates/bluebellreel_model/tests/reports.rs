//! What daemons know of each other; see [`bluebellreel_model::reports`].

use bluebellreel_model::reports::{Fault, FaultKind, Figures, Fleet, Plan};
use proptest::prelude::*;
use std::ops::Range;

/// Time, in milliseconds, after which all daemons of a fleet that starts at once hear each
/// other.
const SETTLED_MS: u32 = 3000;

fn plan(daemons: usize) -> Plan {
    Plan {
        daemons,
        data_centres: 5,
        ..Plan::default()
    }
}

fn fault(kind: FaultKind, daemons: Range<usize>, (from, until): (u32, u32)) -> Fault {
    Fault {
        daemons,
        from,
        until,
        kind,
    }
}

/// Figures of two seconds of a calm fleet.
fn calm(plan: Plan) -> Figures {
    let mut fleet = Fleet::new(plan);
    fleet.play(SETTLED_MS, &[]);
    fleet.reset();
    fleet.play(SETTLED_MS + 2000, &[]);
    fleet.figures()
}

/// Guards against reports of all to all, of which most cross data centres: the bytes that
/// a daemon sends to other data centres may not grow with the fleet.
#[test]
fn remote_bytes_do_not_grow_with_the_fleet() {
    let each = |n: usize| calm(plan(n)).remote_bytes / n as u64;
    let (hundred, three_hundred) = (each(100), each(300));
    assert!(
        three_hundred * 10 <= hundred * 11,
        "{hundred} {three_hundred}"
    );
    let all_to_all = Plan {
        all_to_all: true,
        ..plan(100)
    };
    assert!(calm(all_to_all).remote_bytes / 100 > hundred * 4);
}

/// Guards against daemons that count as silent though they run: one datagram in fifty is
/// lost.
#[test]
fn lossy_links_kill_nobody() {
    let figures = calm(Plan {
        loss: 0.02,
        ..plan(150)
    });
    assert_eq!(figures.false_deaths, 0);
    assert!(figures.oldest_ms < 1400, "{}", figures.oldest_ms);
}

/// A third of the fleet is cut off, among them many that forward for others. Guards
/// against daemons that lose those who are not cut off, and against ones that do not find
/// each other again.
#[test]
fn a_cut_of_a_third_heals() {
    let cut = fault(FaultKind::Cut, 0..40, (SETTLED_MS, SETTLED_MS + 4000));
    let faults = [cut];
    let mut fleet = Fleet::new(plan(120));
    fleet.play(SETTLED_MS, &[]);
    fleet.reset();
    let lost = fleet.converges(&(0..40), false, 4000, &faults);
    assert!(lost.is_some_and(|ms| ms <= 2000), "{lost:?}");
    fleet.play(SETTLED_MS + 4000, &faults);
    let back = fleet.converges(&(0..40), true, 4000, &faults);
    assert!(back.is_some_and(|ms| ms <= 2000), "{back:?}");
    assert_eq!(fleet.figures().false_deaths, 0);
}

/// Daemons that crash are noticed by all, and found by all when they are back.
#[test]
fn a_crash_is_known_everywhere_within_two_seconds() {
    for daemons in [30, 140] {
        let down = fault(FaultKind::Down, 7..9, (SETTLED_MS, SETTLED_MS + 3000));
        let faults = [down];
        let mut fleet = Fleet::new(plan(daemons));
        fleet.play(SETTLED_MS, &[]);
        let lost = fleet.converges(&(7..9), false, 3000, &faults);
        assert!(lost.is_some_and(|ms| ms <= 2000), "{daemons}: {lost:?}");
        fleet.play(SETTLED_MS + 3000, &faults);
        let back = fleet.converges(&(7..9), true, 3000, &faults);
        assert!(back.is_some_and(|ms| ms <= 2000), "{daemons}: {back:?}");
    }
}

/// Prints the figures of the page on capacity; run with `--release --ignored --nocapture`.
#[test]
#[ignore = "takes minutes without optimization"]
fn figures_by_size() {
    for daemons in [30, 100, 300, 1000, 2000] {
        for all_to_all in [true, false] {
            let plan = Plan {
                all_to_all,
                ..plan(daemons)
            };
            let mut fleet = Fleet::new(plan);
            fleet.play(SETTLED_MS + 2000, &[]);
            fleet.reset();
            fleet.play(SETTLED_MS + 4000, &[]);
            let calm = fleet.figures();
            let n = daemons as u64 * 2;
            let from = SETTLED_MS + 4000;
            let faults = [
                fault(FaultKind::Down, 3..4, (from, from + 4000)),
                fault(FaultKind::Cut, 10..20, (from, from + 4000)),
                fault(FaultKind::Paused, 20..22, (from, from + 2500)),
            ];
            let lost = fleet.converges(&(3..4), false, 4000, &faults);
            fleet.play(from + 4000, &faults);
            let back = fleet.converges(&(10..20), true, 6000, &faults);
            println!(
                "{daemons} all to all {all_to_all}: datagrams {} remote bytes {} a daemon and second, oldest {} ms, crash known {lost:?}, cut healed {back:?}, false deaths {}",
                calm.datagrams / n,
                calm.remote_bytes / n,
                calm.oldest_ms,
                fleet.figures().false_deaths,
            );
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(12))]

    /// Whatever happens to a part of the fleet, the others go on hearing each other, and
    /// all are found again.
    #[test]
    fn the_rest_of_the_fleet_is_not_disturbed(
        seed in 0_u64..1000,
        daemons in 66_usize..90,
        first in 0_usize..60,
        count in 1_usize..6,
        kind in prop_oneof![
            Just(FaultKind::Down),
            Just(FaultKind::Cut),
            Just(FaultKind::Paused)
        ],
    ) {
        let affected = first..first + count;
        let until = SETTLED_MS + 2500;
        let faults = [fault(kind, affected.clone(), (SETTLED_MS, until))];
        let mut fleet = Fleet::new(Plan { seed, ..plan(daemons) });
        fleet.play(SETTLED_MS, &[]);
        fleet.reset();
        fleet.play(until, &faults);
        let back = fleet.converges(&affected, true, 3000, &faults);
        prop_assert!(back.is_some(), "not found again");
        prop_assert_eq!(fleet.figures().false_deaths, 0);
    }
}
