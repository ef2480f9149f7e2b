//! When a daemon that receives changes from its peers lags.

use bluebellreel_members::Lag;
use bluebellreel_types::Moment;
use std::time::Duration;

const START: Moment = Moment(100_000_000);
const TICK: Duration = Duration::from_millis(250);

/// Workers register for seconds without a pause, and each daemon fetches their entries
/// from a peer with some delay: none of them may turn to the store.
#[test]
fn a_steady_stream_of_changes_is_no_lag() {
    let mut lag = Lag::default();
    for tick in 1..100_u32 {
        let newest = i64::from(tick) * 40;
        let own = newest - 60;
        assert!(
            !lag.is_overdue(own, newest, Duration::ZERO, START + TICK * tick),
            "{tick}"
        );
    }
}

/// A peer reports a change and no peer delivers it, while newer ones are reported.
#[test]
fn a_change_that_does_not_arrive_is_overdue_after_a_second() {
    let mut lag = Lag::default();
    let overdue = (0..8)
        .map(|tick| lag.is_overdue(5, 6 + i64::from(tick), Duration::ZERO, START + TICK * tick));
    let overdue: Vec<bool> = overdue.collect();
    assert_eq!(
        overdue,
        [false, false, false, false, true, true, true, true]
    );
}

/// A revision that was reached late must not count against the next one.
#[test]
fn each_revision_has_its_own_deadline() {
    let mut lag = Lag::default();
    assert!(!lag.is_overdue(5, 6, Duration::ZERO, START));
    assert!(lag.is_overdue(5, 6, Duration::ZERO, START + TICK * 5));
    assert!(!lag.is_overdue(6, 7, Duration::ZERO, START + TICK * 6));
    assert!(!lag.is_overdue(7, 7, Duration::ZERO, START + TICK * 7));
    assert!(!lag.is_overdue(7, 8, Duration::ZERO, START + TICK * 20));
}

/// With a thousand peers a change takes longer to spread than a second. Guards against
/// daemons that all turn to the store then.
#[test]
fn a_large_fleet_has_longer_to_spread_a_change() {
    let report_time = Duration::from_millis(2500);
    let mut lag = Lag::default();
    assert!(!lag.is_overdue(5, 6, report_time, START));
    assert!(!lag.is_overdue(5, 6, report_time, START + TICK * 9));
    assert!(lag.is_overdue(5, 6, report_time, START + TICK * 10));
}
