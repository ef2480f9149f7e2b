//! How often daemons call the store for their registrations.

use bluebellreel_members::Upkeep;
use std::time::Duration;

/// Calls per second of a fleet whose daemons each make one per interval.
fn per_second(daemons: usize, interval: Duration) -> f64 {
    f64::from(u32::try_from(daemons).expect("few")) / interval.as_secs_f64()
}

/// Each daemon renewed its registration every 1.1 s, whatever the number of daemons: 250
/// calls per second at 274.
#[test]
fn calls_do_not_grow_with_a_large_fleet() {
    for daemons in [110, 274, 410, 1000, 2000] {
        let upkeep = Upkeep::of_fleet(daemons);
        assert!(
            per_second(daemons, upkeep.renew_interval) <= 100.1,
            "{daemons}"
        );
        assert!(
            per_second(daemons, upkeep.list_interval) <= 22.1,
            "{daemons}"
        );
    }
}

/// Jobs of a dead daemon wait for the end of its registration.
#[test]
fn small_fleets_notice_a_death_within_seconds() {
    let upkeep = Upkeep::of_fleet(60);
    assert_eq!(upkeep.ttl, Duration::from_millis(3600));
    assert_eq!(upkeep.renew_interval, Duration::from_millis(1100));
}

/// One renewal may be lost or late.
#[test]
fn a_registration_outlives_two_renewals() {
    for daemons in [1, 100, 1000] {
        let upkeep = Upkeep::of_fleet(daemons);
        assert!(upkeep.ttl > upkeep.renew_interval * 3, "{daemons}");
    }
}
