//! Leases for starting items, with an injected clock.

use bluebellreel_batch::{JOBS_PER_CHECK, Stamp, StartLease, StartTerms, jobs_to_check};
use bluebellreel_types::Moment;
use std::time::Duration;

const BOUND: Duration = Duration::from_secs(3);

fn at(ms: u64) -> Stamp {
    after_suspension(ms, 0)
}

fn after_suspension(ms: u64, suspended_ms: u64) -> Stamp {
    Stamp {
        at: Moment(ms * 1000),
        suspended: Duration::from_millis(suspended_ms),
    }
}

fn lease(asked: u64) -> StartLease {
    StartLease::new(at(asked), &StartTerms::within(BOUND))
}

/// Guards that items start for 2.5 s after the request to the store, and not later.
#[test]
fn a_lease_runs_from_when_the_store_was_asked() {
    let lease = lease(1000);
    assert!(lease.allows_start(at(3499)));
    assert!(!lease.allows_start(at(3500)));
    assert_eq!(lease.age(at(3500)), Duration::from_millis(2500));
}

/// Guards that an owner requests a new confirmation from the store after its VM was
/// suspended, before it starts an item.
#[test]
fn a_lease_does_not_outlive_a_suspension() {
    let lease = lease(1000);
    let woken = after_suspension(1010, 5000);
    assert!(!lease.allows_start(woken));
    assert!(!lease.was_valid_at(Moment(1_005_000), woken));
    assert!(lease.is_due(false, woken));
    assert_eq!(lease.age(woken), Duration::from_millis(5010));
}

/// Guards that a lease is renewed before it expires, and less often when no item
/// could start.
#[test]
fn a_lease_is_renewed_when_an_item_wants_to_start() {
    let lease = lease(1000);
    assert!(!lease.is_due(true, at(2249)));
    assert!(lease.is_due(true, at(2250)));
    assert!(!lease.is_due(false, at(5999)));
    assert!(lease.is_due(false, at(6000)));
}

/// Guards that in an outage only those jobs continue whose lease was valid when the
/// outage began.
#[test]
fn a_lease_that_expired_before_an_outage_does_not_count() {
    let lease = lease(1000);
    assert!(lease.was_valid_at(Moment(3_499_000), at(9000)));
    assert!(!lease.was_valid_at(Moment(3_500_000), at(9000)));
}

/// Guards that there is time between two calls even if the bound is shorter than the
/// time to send an item.
#[test]
fn a_bound_below_the_send_time_still_spaces_calls() {
    let terms = StartTerms::within(Duration::from_millis(1));
    let lease = StartLease::new(at(1000), &terms);
    assert!(lease.allows_start(at(1249)));
    assert!(!lease.is_due(true, at(1124)));
}

/// Guards that a call confirms the jobs with the oldest confirmations, and that no call
/// is made if no job is due.
#[test]
fn a_call_takes_the_jobs_that_were_confirmed_longest_ago() {
    let jobs = || (0..100u64).map(|n| (n, lease(1000 + (n * 37) % 100), n == 50));
    assert!(jobs_to_check(jobs(), at(2000)).is_empty());
    let asked = jobs_to_check(jobs(), at(2400));
    let oldest: Vec<u64> = asked.iter().map(|n| (n * 37) % 100).collect();
    let expected: Vec<u64> = (0..JOBS_PER_CHECK as u64).collect();
    assert_eq!(oldest, expected);
}
