//! Bounds of what callers are told and of what gateways keep back.

use bluebellreel_teams::{
    Allowances, Claim, Decision, Kind, Limit, ReservationNotice, ReservationReport, Reservations,
    Team, TeamTag, Teams,
};
use bluebellreel_types::{EntryName, Incarnation, Moment};
use std::time::Duration;

const NOW: Moment = Moment(1_000_000_000);

fn tag() -> TeamTag {
    TeamTag::of("school")
}

fn limit(per_second: f64, burst: f64) -> Limit {
    Limit { per_second, burst }
}

/// A claim of a request that waits for 75 ms at most and returns within `return_in`.
fn request(n: u32, limit: Limit, return_in: Duration, now: Moment) -> Claim {
    Claim {
        team: tag(),
        limit,
        print: n.to_be_bytes(),
        wait_by: now + Duration::from_millis(75),
        return_by: now + return_in,
        waits_with: None,
    }
}

fn decide(
    allowances: &mut Allowances,
    held: &mut Reservations,
    claim: &Claim,
    now: Moment,
) -> Decision {
    allowances.update(Some(1), true, now);
    allowances.claim(held, claim, now)
}

/// Applies a report of a peer. Returns whether it is valid.
fn hear(held: &mut Reservations, limit: Limit, report: &ReservationReport) -> bool {
    let teams = Teams::from(vec![Team {
        name: "school".into(),
        keys: Vec::new(),
        priority: None,
        limit: Some(limit),
    }]);
    let (peer, order) = (EntryName::from("peer"), (Incarnation(1), 1));
    held.hear(&peer, order, report, Some(&teams), NOW).is_ok()
}

/// A route's deadline is a minute. Guards against a caller that is told to return so late
/// that peers reject the whole report with its reservation, and those of other teams.
#[test]
fn long_deadlines_do_not_make_implausible_reservations() {
    let limit = limit(0.08, 1.0);
    for wait in [0, 15].map(Duration::from_secs) {
        let (mut allowances, mut held) = (Allowances::default(), Reservations::new(7));
        for n in 0..10 {
            let mut claim = request(n, limit, Duration::from_secs(20), NOW);
            claim.wait_by = NOW + wait;
            let told = match decide(&mut allowances, &mut held, &claim, NOW) {
                Decision::Refused { return_at, .. } => return_at,
                Decision::Wait { until, .. } => until,
                Decision::Admitted { .. } => NOW,
            };
            assert!(told <= NOW + Duration::from_secs(5), "{told:?}");
        }
        let report = held.report(false, NOW);
        assert!(!report.made.is_empty());
        let mut other = Reservations::new(8);
        assert!(hear(&mut other, limit, &report));
        assert_eq!(other.len(NOW), held.len(NOW));
    }
}

/// Guards against one entry with an implausible time that hides the others of its report.
#[test]
fn only_an_implausible_entry_is_skipped() {
    let limit = limit(20.0, 20.0);
    let (mut allowances, mut held) = (Allowances::default(), Reservations::new(7));
    for n in 0..30 {
        let claim = request(n, limit, Duration::from_millis(1600), NOW);
        decide(&mut allowances, &mut held, &claim, NOW);
    }
    let mut report = held.report(false, NOW);
    let made = report.made.iter_mut();
    let reserved = made.filter(|m| m.kind != Kind::Unreserved);
    let first = reserved.take(1).next().expect("a reservation");
    *first = ReservationNotice {
        due_ms: 10_001,
        ..*first
    };
    let mut other = Reservations::new(8);
    assert!(hear(&mut other, limit, &report));
    assert_eq!(other.len(NOW), held.len(NOW) - 1);
    assert_eq!(other.take_skipped(), 1);
}

/// Takes all tokens for callers of which `held` does not know, as a gateway does before
/// its report arrives.
fn drain(allowances: &mut Allowances, limit: Limit, now: Moment) {
    let mut unknown = Reservations::new(99);
    for n in 1000..1100 {
        let mut claim = request(n, limit, Duration::ZERO, now);
        claim.wait_by = now;
        decide(allowances, &mut unknown, &claim, now);
    }
}

/// Others take each token of a caller that has returned to its reservation. Guards against
/// a wait beyond its fixed end, and against a refusal with which the caller returns at
/// once, before other gateways can know of it.
#[test]
fn a_returned_caller_waits_no_longer_than_its_end() {
    let limit = limit(20.0, 1.0);
    let (mut allowances, mut held) = (Allowances::default(), Reservations::new(7));
    drain(&mut allowances, limit, NOW);
    let mut claim = request(1, limit, Duration::from_secs(1), NOW);
    claim.wait_by = NOW;
    let first = decide(&mut allowances, &mut held, &claim, NOW);
    let Decision::Refused {
        return_at,
        is_reserved: true,
    } = first
    else {
        panic!("{first:?}");
    };
    let end = return_at + Duration::from_millis(300);
    let (mut now, mut waits_with) = (return_at, None);
    loop {
        drain(&mut allowances, limit, now);
        let claim = Claim {
            wait_by: now,
            return_by: end,
            waits_with,
            ..claim
        };
        match decide(&mut allowances, &mut held, &claim, now) {
            Decision::Wait { id, until } => (now, waits_with) = (until, Some(id)),
            Decision::Refused { return_at, .. } => {
                assert!(return_at >= now + Duration::from_millis(100));
                break;
            }
            Decision::Admitted { .. } => panic!("no token is left"),
        }
        assert!(now <= end, "waits beyond its end");
    }
    assert!(waits_with.is_some(), "it waits first");
}

/// A caller that was refused without a reservation returns to a full bucket. Guards against
/// tokens left to new requests that a small bucket can never hold, so that the caller is
/// refused at each return.
#[test]
fn a_small_burst_admits_callers_without_a_reservation() {
    for burst in [1.0, 2.0, 4.0] {
        let limit = limit(8.0, burst);
        let (mut allowances, mut held) = (Allowances::default(), Reservations::new(7));
        drain(&mut allowances, limit, NOW);
        let mut claim = request(1, limit, Duration::from_millis(100), NOW);
        claim.wait_by = NOW;
        let first = decide(&mut allowances, &mut held, &claim, NOW);
        let is_reserved = matches!(first, Decision::Refused { is_reserved, .. } if is_reserved);
        assert!(!is_reserved, "{first:?}");
        let later = NOW + Duration::from_secs(1);
        let mut claim = request(1, limit, Duration::from_millis(100), later);
        claim.wait_by = later;
        let returned = decide(&mut allowances, &mut held, &claim, later);
        let expected = Decision::Admitted { is_reserved: false };
        assert_eq!(returned, expected, "burst {burst}");
    }
}

/// Guards against a request that takes the only token of a small bucket while a
/// reservation for it is due.
#[test]
fn a_small_burst_keeps_a_due_reservation() {
    let limit = limit(8.0, 1.0);
    let (mut allowances, mut held) = (Allowances::default(), Reservations::new(7));
    drain(&mut allowances, limit, NOW);
    let mut claim = request(1, limit, Duration::from_secs(1), NOW);
    claim.wait_by = NOW;
    let first = decide(&mut allowances, &mut held, &claim, NOW);
    let Decision::Refused { return_at, .. } = first else {
        panic!("{first:?}");
    };
    for n in [2, 3, 1] {
        let mut claim = request(n, limit, Duration::from_secs(1), return_at);
        claim.wait_by = return_at;
        let decision = decide(&mut allowances, &mut held, &claim, return_at);
        let is_admitted = decision == Decision::Admitted { is_reserved: true };
        assert_eq!(is_admitted, n == 1, "{decision:?}");
    }
}

/// 200 requests come at one moment. Guards against callers that are told to return to a
/// reserved token of which no report tells the other gateways, because the entries of
/// callers without a reservation fill it.
#[test]
fn reservations_of_refused_callers_are_reported_first() {
    let limit = limit(100.0, 20.0);
    let (mut allowances, mut held) = (Allowances::default(), Reservations::new(7));
    let mut reserved = Vec::new();
    for n in 0..200 {
        let claim = request(n, limit, Duration::from_millis(1600), NOW);
        let decision = decide(&mut allowances, &mut held, &claim, NOW);
        if matches!(decision, Decision::Refused { is_reserved, .. } if is_reserved) {
            reserved.push(n.to_be_bytes());
        }
    }
    assert!(reserved.len() > 5, "{}", reserved.len());
    for is_brief in [true, false] {
        let report = held.report(is_brief, NOW);
        let returns = report.made.iter().filter(|m| m.kind == Kind::Return);
        let mut returns: Vec<_> = returns.map(|m| m.print).collect();
        returns.sort_unstable();
        assert_eq!(returns, reserved);
    }
}
