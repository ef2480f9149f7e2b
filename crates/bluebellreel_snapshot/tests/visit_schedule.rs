//! How often a keeper visits the gateways of a large fleet.

use bluebellreel_snapshot::{VisitResult, VisitSchedule};
use bluebellreel_types::Moment;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

const START: Moment = Moment(100_000_000);
const STEP: Duration = Duration::from_millis(10);
/// Number of gateways in the keeper's data centre; those after them are elsewhere.
const NEAR: usize = 55;

fn gateway(n: usize) -> SocketAddr {
    let octet = |n: usize| u8::try_from(n % 250).expect("small");
    SocketAddr::from(([10, 0, octet(n / 250), octet(n)], 80))
}

/// Plays two minutes. Returns the longest time between two visits to a near gateway, and
/// the number of all visits a second, both after the first half.
fn play(gateways: usize) -> (Duration, f64) {
    let mut schedule = VisitSchedule::default();
    schedule.set_gateways((0..gateways).map(gateway), START);
    let index: BTreeMap<SocketAddr, usize> = (0..gateways).map(|n| (gateway(n), n)).collect();
    let mut last = BTreeMap::new();
    let (mut longest, mut visits) = (Duration::ZERO, 0.0);
    for step in 0..12_000_u32 {
        let now = START + STEP * step;
        while let Some(at) = schedule.start_next(now) {
            let is_near = index[&at] < NEAR;
            let result = VisitResult {
                reached: true,
                is_near,
            };
            schedule.record_result(at, result, now);
            let before = last.insert(at, now);
            if step >= 6000 {
                visits += 1.0;
                let pause = before.map_or(Duration::ZERO, |before| now.since(before));
                longest = longest.max(if is_near { pause } else { Duration::ZERO });
            }
        }
    }
    (longest, visits / 60.0)
}

/// A gateway that takes jobs over soon after its start asks the keepers that have visited it.
/// Guards against visits to other data centres that are rarer than before in a small fleet.
#[test]
fn other_gateways_of_a_small_fleet_are_visited_as_often_as_before() {
    let mut schedule = VisitSchedule::default();
    schedule.set_gateways((0..24).map(gateway), START);
    for n in 0..24 {
        let result = VisitResult {
            reached: true,
            is_near: n < 8,
        };
        schedule.record_result(gateway(n), result, START);
    }
    assert!(schedule.interval(false) <= Duration::from_millis(1200));
}

/// All gateways shared the visits of a keeper: with 274 of them each was visited every 14 s,
/// and a gateway counts a keeper as present for 4 s after its visit. Most gateways that ran
/// jobs therefore had no keeper to which they could copy the progress of the items.
#[test]
fn near_gateways_are_visited_as_often_in_a_large_fleet() {
    for gateways in [NEAR, 274, 1000] {
        let (longest, per_second) = play(gateways);
        assert!(
            longest <= Duration::from_millis(2800),
            "{gateways}: {longest:?}"
        );
        assert!(per_second <= 41.0, "{gateways}: {per_second}");
    }
}
