//! What gateways report of reserved tokens.

use bluebellreel_teams::{
    Allowances, Claim, Decision, InvalidReport, Kind, Limit, MAX_REPORTED, MAX_WAITING,
    ReservationId, ReservationNotice, ReservationReport, Reservations, Team, TeamTag, Teams,
};
use bluebellreel_types::{EntryName, Incarnation, Moment};
use std::time::Duration;

const LIMIT: Limit = Limit {
    per_second: 20.0,
    burst: 20.0,
};
const NOW: Moment = Moment(1_000_000_000);

fn tag() -> TeamTag {
    TeamTag::of("school")
}

fn teams(limit: Limit) -> Teams {
    Teams::from(vec![Team {
        name: "school".into(),
        keys: Vec::new(),
        priority: None,
        limit: Some(limit),
    }])
}

/// Claims a token; `n` is the request's number.
fn claim(allowances: &mut Allowances, held: &mut Reservations, n: u32, now: Moment) -> Decision {
    allowances.update(Some(1), true, now);
    let claim = Claim {
        team: tag(),
        limit: LIMIT,
        print: n.to_be_bytes(),
        wait_by: now + Duration::from_millis(75),
        return_by: now + Duration::from_millis(1600),
        waits_with: None,
    };
    allowances.claim(held, &claim, now)
}

/// A gateway's reservations after a number of requests at once.
fn reserved(requests: u32) -> Reservations {
    let (mut allowances, mut held) = (Allowances::default(), Reservations::new(7));
    for n in 0..requests {
        claim(&mut allowances, &mut held, n, NOW);
    }
    held
}

fn hear(held: &mut Reservations, n: u64, report: &ReservationReport) -> Result<(), InvalidReport> {
    let order = (Incarnation(1), n);
    let peer = EntryName::from("peer");
    held.hear(&peer, order, report, Some(&teams(LIMIT)), NOW)
}

fn notice(report: &ReservationReport) -> ReservationNotice {
    *report.made.first().expect("a reservation")
}

/// Guards against reservations that a peer cannot have made: too many, one twice, or due
/// at a time for which no caller waits.
#[test]
fn impossible_reports_are_ignored() {
    let report = reserved(30).report(false, NOW);
    let first = notice(&report);
    let with_due = |due_ms| ReservationNotice { due_ms, ..first };
    let mut all = vec![vec![first, first]];
    all.extend([10_001, -1001, i32::MAX, i32::MIN].map(|ms| vec![with_due(ms)]));
    all.push(vec![first; MAX_REPORTED + 1]);
    let mut held = Reservations::new(8);
    for made in all {
        let used = Vec::new();
        let impossible = ReservationReport { made, used };
        assert_eq!(hear(&mut held, 1, &impossible), Err(InvalidReport));
    }
    let id: ReservationId = first.id;
    let made = Vec::new();
    let used = vec![(tag(), id); 2];
    let impossible = ReservationReport { made, used };
    assert_eq!(hear(&mut held, 1, &impossible), Err(InvalidReport));
    assert_eq!(held.len(NOW), 0);
    assert_eq!(hear(&mut held, 1, &report), Ok(()));
    assert!(held.len(NOW) > 0);
}

/// Guards against reservations that count twice or become valid again, because datagrams
/// are duplicated, arrive late, or in another order than they were sent.
#[test]
fn duplicates_and_reordering_do_no_harm() {
    let report = reserved(30).report(false, NOW);
    let mut held = Reservations::new(8);
    let used = ReservationReport {
        made: Vec::new(),
        used: vec![(tag(), notice(&report).id)],
    };
    assert_eq!(hear(&mut held, 5, &used), Ok(()));
    assert_eq!(hear(&mut held, 4, &report), Ok(()));
    assert_eq!(held.len(NOW), 0, "an older report");
    for n in [6, 6, 7] {
        assert_eq!(hear(&mut held, n, &report), Ok(()));
    }
    let valid = report.made.iter().filter(|m| m.kind != Kind::Unreserved);
    assert_eq!(held.len(NOW), valid.count() - 1);
}

/// Guards against reservations under a limit that does not hold any more, and of teams that
/// the receiver does not know.
#[test]
fn another_limit_drops_reservations() {
    let mut held = reserved(30);
    let before = held.report(false, NOW);
    assert!(held.len(NOW) > 0);
    let other = Limit {
        per_second: 30.0,
        ..LIMIT
    };
    held.sweep(Some(&teams(other)), NOW);
    assert_eq!(held.len(NOW), 0);
    let order = (Incarnation(1), 1);
    let heard = held.hear(&EntryName::from("peer"), order, &before, None, NOW);
    assert_eq!((heard, held.len(NOW)), (Ok(()), 0));
}

/// Guards against reservations, reports and waits without bound under a flood, and against
/// reservations that stay after their time.
#[test]
fn numbers_are_bounded() {
    let mut held = reserved(2000);
    let report = held.report(false, NOW);
    assert!(report.made.len() <= MAX_REPORTED, "{}", report.made.len());
    assert!(held.waiting() <= MAX_WAITING);
    let later = NOW + Duration::from_millis(2700);
    assert_eq!(held.len(later), 0);
    held.sweep(Some(&teams(LIMIT)), NOW + Duration::from_secs(5));
    assert_eq!(held.report(false, NOW).made.len(), 0);
}

/// A caller returns at the time that it was told, to another gateway. Guards against a
/// request in between that takes the token.
#[test]
fn a_returning_caller_finds_its_token_at_another_gateway() {
    let (mut allowances, mut held) = (Allowances::default(), Reservations::new(7));
    let asked = (0..30).map(|n| (n, claim(&mut allowances, &mut held, n, NOW)));
    let mut asked = asked.collect::<Vec<_>>().into_iter();
    let reserved = asked.find_map(|(n, decision)| match decision {
        Decision::Refused {
            return_at,
            is_reserved: true,
        } => Some((n, return_at)),
        _ => None,
    });
    let (n, return_at) = reserved.expect("a refused caller");
    let mut other = Reservations::new(8);
    assert_eq!(hear(&mut other, 1, &held.report(true, NOW)), Ok(()));
    let early = return_at - Duration::from_millis(20);
    for new in 100..200 {
        claim(&mut allowances, &mut other, new, early);
    }
    let returned = claim(&mut allowances, &mut other, n, return_at);
    assert_eq!(returned, Decision::Admitted { is_reserved: true });
}
