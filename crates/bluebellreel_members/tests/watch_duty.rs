//! How many daemons watch the store for all, at a start and when watchers restart.

use bluebellreel_members::{MemberEntry, Members, Peer, WatchDuty};
use bluebellreel_types::{EntryName, Incarnation, Moment};
use std::net::SocketAddr;
use std::time::Duration;

const START: Moment = Moment(100_000_000);
const TICK: Duration = Duration::from_millis(50);
/// Time after which a starting daemon has read the registrations twice.
const STANDS_AFTER: Duration = Duration::from_millis(1500);
/// Time within which each daemon's reports reach all others.
const REPORT_TIME: Duration = Duration::from_secs(1);

fn name(n: usize) -> EntryName {
    EntryName::from(format!("entry-{n}"))
}

fn peer(is_candidate: bool, now: Moment) -> Peer {
    let address = SocketAddr::from(([127, 0, 0, 1], 8000));
    Peer {
        last_report_at: Some(now),
        is_candidate,
        ..Peer::from_entry(MemberEntry {
            run: Incarnation(1),
            calls: address,
            reports: address,
        })
    }
}

/// Runs the start of a fleet. Each daemon hears the others half a report time late.
/// Returns the largest number of daemons that watched at the same time, and the number of
/// those that watch at the end.
fn start(daemons: usize, started: impl Fn(usize) -> Moment) -> (usize, usize) {
    let mut duties = vec![WatchDuty::default(); daemons];
    let stands_at = |n: usize| started(n) + STANDS_AFTER;
    let (mut most, mut last) = (0, 0);
    for tick in 0..100_u32 {
        let now = START + TICK * tick;
        let mut watching = 0;
        for (n, duty) in duties.iter_mut().enumerate() {
            if stands_at(n).is_past(now) {
                duty.stand(REPORT_TIME, now);
            }
            let mut members = Members::default();
            for other in (0..daemons).filter(|other| *other != n) {
                if (started(other) + REPORT_TIME / 2).is_past(now) {
                    let is_candidate = (stands_at(other) + REPORT_TIME / 2).is_past(now);
                    members.record_report(name(other), peer(is_candidate, now));
                }
            }
            let is_elected = members.is_watcher(&name(n), true, now);
            watching += usize::from(duty.watches(is_elected, now));
        }
        most = most.max(watching);
        last = watching;
    }
    (most, last)
}

/// A fleet starts within 0.3 s. Each daemon elected itself until it knew the others, and
/// watched the store for seconds.
#[test]
fn few_daemons_watch_while_a_fleet_starts() {
    for daemons in [3, 30, 60] {
        let started =
            |n: usize| START + Duration::from_millis(300) * u32::from(n.is_multiple_of(2));
        let (most, last) = start(daemons, started);
        assert!(most <= 3, "{most} of {daemons}");
        assert_eq!(last, 2, "of {daemons}");
    }
}

/// Without peers there is nobody to wait for.
#[test]
fn a_single_daemon_watches_at_once() {
    let mut duty = WatchDuty::default();
    assert!(!duty.watches(true, START));
    duty.stand(Duration::ZERO, START);
    assert!(duty.watches(true, START));
}

/// Both watchers restart at the same time. Those that they relieve go on until the new
/// incarnations are electable.
#[test]
fn a_relieved_watcher_goes_on_for_a_moment() {
    let mut duty = WatchDuty::default();
    duty.stand(Duration::ZERO, START);
    assert!(duty.watches(true, START));
    assert!(duty.watches(false, START + REPORT_TIME));
    assert!(!duty.watches(false, START + REPORT_TIME * 2));
}
