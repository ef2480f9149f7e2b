//! Rate limits over a fleet of gateways; see [`bluebellreel_model::rates`].

use bluebellreel_model::rates::{Fault, Fleet};
use bluebellreel_teams::Limit;
use proptest::prelude::*;

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

/// All gateways are killed twice under a flood of a team whose burst is ten times its rate.
/// Guards against a burst that each start grants again: the tolerance covers none of it.
#[test]
fn two_kills_of_all_under_a_flood_grant_no_further_burst() {
    let limit = Limit {
        per_second: 10.0,
        burst: 100.0,
    };
    let mut fleet = Fleet::new(27, limit, 0.02, 14);
    let kills = [16_000, 17_800].map(|at| Fault::Kill { below: 27, at });
    fleet.play(15_500, 0.0, &kills);
    fleet.play(24_000, 400.0, &kills);
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
