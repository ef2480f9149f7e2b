//! Who lives, and who does what.

use bluebellreel_members::{
    MemberEntry, Members, PEER_RETENTION, PEER_TIMEOUT, Peer, Presence, STORE_ANSWER_MAX_AGE,
};
use bluebellreel_types::{EntryName, Incarnation, JobId, Moment};
use std::net::SocketAddr;
use std::time::Duration;

const NOW: Moment = Moment(100_000_000);
/// Longer ago than any silence that is forgiven.
const LONG_AGO: Moment = Moment(0);
const TICK: Duration = Duration::from_millis(1);

fn name(n: usize) -> EntryName {
    EntryName::from(format!("entry-{n}"))
}

fn entry(run: u64) -> MemberEntry {
    let address = SocketAddr::from(([127, 0, 0, 1], 8000));
    MemberEntry {
        run: Incarnation(run),
        calls: address,
        reports: address,
    }
}

fn peer(run: u64, last_report_at: Moment) -> Peer {
    Peer {
        last_report_at: Some(last_report_at),
        registered: false,
        ..Peer::entered(entry(run))
    }
}

fn heard(count: usize) -> Members {
    let mut members = Members::default();
    for n in 1..=count {
        members.record_report(name(n), peer(1, NOW));
    }
    members
}

/// A job's owner is killed and back within half a second. Its peers never miss
/// it, and if its new run were not news to them, nobody would look for the jobs
/// of the run before: they lay open for ever.
#[test]
fn a_new_run_of_a_known_daemon_is_news() {
    let mut members = Members::default();
    assert!(members.record_report(name(1), peer(1, NOW)));
    assert!(!members.record_report(name(1), peer(1, NOW + TICK)));
    assert!(members.record_report(name(1), peer(2, NOW + TICK)));
    let run = |n| members.presence(&name(1), Incarnation(n), NOW + TICK);
    assert_eq!((run(1), run(2)), (Presence::Gone, Presence::Reporting));
}

/// Its entry was read before it was heard; the first report is news all the
/// same, as it may have jobs that nobody asked it for.
#[test]
fn the_first_report_of_an_entered_daemon_is_news() {
    let mut members = Members::default();
    members.apply_registrations(vec![(name(1), entry(1))], 5);
    assert!(members.record_report(name(1), peer(1, NOW)));
}

/// A daemon falls silent. While its entry stands it may only be cut off from its
/// peers, and goes on with its jobs; the store would not let them be taken over.
/// It is gone with its entry, and not before, however long that takes.
#[test]
fn a_silent_daemon_is_gone_with_its_entry() {
    let mut members = Members::default();
    members.record_report(name(1), peer(1, NOW));
    members.apply_registrations(vec![(name(1), entry(1))], 5);
    let presence =
        |m: &Members, after: Duration| m.presence(&name(1), Incarnation(1), NOW + after + TICK);
    assert_eq!(presence(&members, Duration::ZERO), Presence::Reporting);
    assert_eq!(presence(&members, PEER_TIMEOUT), Presence::Silent);
    assert_eq!(presence(&members, PEER_RETENTION), Presence::Silent);
    assert_eq!(presence(&members, PEER_RETENTION * 10), Presence::Silent);
    members.apply_registrations(Vec::new(), 6);
    assert_eq!(presence(&members, PEER_TIMEOUT), Presence::Gone);
}

/// A list that was on its way while a newer one was read brings back an entry
/// that has ended: the dead daemon's jobs would wait for it.
#[test]
fn an_older_list_changes_nothing() {
    let mut members = Members::default();
    members.record_report(name(1), peer(1, NOW));
    members.apply_registrations(Vec::new(), 6);
    members.apply_registrations(vec![(name(1), entry(1))], 5);
    let later = NOW + PEER_TIMEOUT + TICK;
    assert_eq!(
        members.presence(&name(1), Incarnation(1), later),
        Presence::Gone
    );
}

/// Two watch for all; a third only takes their word. One that the store turns
/// away watches only where nobody else can.
#[test]
fn two_daemons_watch_the_store() {
    let members = heard(6);
    let watchers = (1..=6).filter(|n| {
        let mut others = members.clone();
        others.record_report(name(*n), peer(1, LONG_AGO));
        others.is_watcher(&name(*n), true, NOW)
    });
    assert_eq!(watchers.count(), 2);
    assert!(!members.is_watcher(&name(7), false, NOW));
    assert!(Members::default().is_watcher(&name(7), false, NOW));
    let mut turned_away = Members::default();
    let outcast = Peer {
        reaches_store: false,
        ..peer(1, NOW)
    };
    turned_away.record_report(name(1), outcast);
    assert!(turned_away.is_watcher(&name(7), true, NOW));
}

/// Both daemons that watch the store were stopped at once, and nobody watched
/// until the others had missed them: a new route got 404 for a second and more.
/// Whoever stops does not count; the next by rank watch at once.
#[test]
fn daemons_that_stop_leave_the_watch_to_others() {
    let mut members = heard(6);
    let (watching, others): (Vec<usize>, Vec<usize>) = (1..=6).partition(|n| {
        let mut as_it_sees = members.clone();
        as_it_sees.record_report(name(*n), peer(1, LONG_AGO));
        as_it_sees.is_watcher(&name(*n), true, NOW)
    });
    for n in watching {
        let stopping = Peer {
            stopping: true,
            ..peer(1, NOW)
        };
        members.record_report(name(n), stopping);
    }
    let next = others.iter().filter(|n| {
        let mut as_it_sees = members.clone();
        as_it_sees.record_report(name(**n), peer(1, LONG_AGO));
        as_it_sees.is_watcher(&name(**n), true, NOW)
    });
    assert_eq!(next.count(), 2);
}

/// A daemon dies and its jobs go to the others. All must name the same successor for
/// a job, never one that stops, and not the same for all jobs.
#[test]
fn heirs_are_agreed_on_and_spread() {
    let members = heard(4);
    let mut chosen = std::collections::BTreeSet::new();
    for job in 0..40 {
        let job = JobId::from(format!("job-{job}").as_str());
        let successor = members.successor(&job, None, NOW).expect("four live");
        // The successor, asked itself, comes to the same.
        let mut others = members.clone();
        others.record_report(successor.clone(), peer(1, LONG_AGO));
        assert_eq!(
            others.successor(&job, Some(&successor), NOW),
            Some(successor.clone())
        );
        chosen.insert(successor.clone());
        let mut stops = members.clone();
        let stopping = Peer {
            stopping: true,
            ..peer(1, NOW)
        };
        stops.record_report(successor.clone(), stopping);
        assert_ne!(stops.successor(&job, None, NOW), Some(successor));
    }
    assert_eq!(chosen.len(), 4);
}

#[test]
fn a_lost_peer_shows_once() {
    let mut members = heard(2);
    assert!(!members.has_lost_peer(NOW));
    let later = NOW + PEER_TIMEOUT + TICK;
    members.record_report(name(1), peer(1, later));
    assert!(members.has_lost_peer(later));
    assert!(!members.has_lost_peer(later));
}

/// Addresses of daemons that are gone for good would be sent reports for ever.
#[test]
fn daemons_that_are_gone_are_forgotten() {
    let mut members = heard(2);
    members.apply_registrations(vec![(name(1), entry(1))], 5);
    members.sweep(NOW + PEER_RETENTION + TICK);
    let left: Vec<_> = members.peers().map(|(n, _)| n.clone()).collect();
    assert_eq!(left, [name(1)]);
}

/// A daemon is cut off from its peers and cannot know what they make of it. It
/// must not take itself for the only one left; nor may the others doubt
/// themselves because one of them has died.
#[test]
fn a_daemon_that_hears_few_peers_is_cut_off() {
    let mut members = heard(5);
    let all = (1..=5).map(|n| (name(n), entry(1))).collect();
    members.apply_registrations(all, 5);
    assert!(members.has_quorum(NOW));
    let later = NOW + PEER_TIMEOUT + TICK;
    assert!(!members.has_quorum(later));
    for n in 1..=3 {
        members.record_report(name(n), peer(1, later));
    }
    assert!(members.has_quorum(later));
    assert!(Members::default().has_quorum(NOW), "alone");
}

/// A peer that owns jobs with so many tokens on a route.
fn owner(run: u64, jobs: &[&str], tokens: u64, last_report_at: Moment) -> Peer {
    Peer {
        jobs: jobs.iter().map(|job| JobId::from(*job)).collect(),
        tokens: [("book".to_owned(), tokens)].into_iter().collect(),
        ..peer(run, last_report_at)
    }
}

/// Tokens of a run that was killed count until all its jobs are found elsewhere.
#[test]
fn tokens_of_a_killed_run_count_until_its_jobs_have_owners() {
    let mut members = heard(2);
    members.record_report(name(1), owner(1, &["a", "b"], 600, NOW));
    members.record_report(name(1), owner(2, &[], 0, NOW + TICK));
    assert_eq!(members.tokens("book", NOW + TICK), 600);
    members.record_report(name(2), owner(1, &["a"], 200, NOW + TICK * 2));
    assert_eq!(members.tokens("book", NOW + TICK * 2), 800);
    members.record_report(name(1), owner(2, &["b"], 400, NOW + TICK * 3));
    assert_eq!(members.tokens("book", NOW + TICK * 3), 600);
}

/// The same, if the new run's entry is read before it is heard, and its jobs end.
#[test]
fn tokens_of_a_killed_run_outlast_the_read_of_its_new_entry() {
    let mut members = Members::default();
    members.record_report(name(1), owner(1, &["a"], 600, NOW));
    members.apply_registrations(vec![(name(1), entry(1))], 5);
    members.apply_registrations(vec![(name(1), entry(2))], 6);
    assert_eq!(members.tokens("book", NOW + TICK), 600);
    members.claimed(&JobId::from("a"), NOW + TICK);
    assert_eq!(members.tokens("book", NOW + TICK), 0);
}

/// Jobs of a killed run that were done unseen do not fill their quota for good.
#[test]
fn tokens_of_jobs_that_nobody_finds_are_forgotten() {
    let mut members = Members::default();
    members.record_report(name(1), owner(1, &["a"], 600, NOW));
    members.record_report(name(1), owner(2, &[], 0, NOW + TICK));
    assert_eq!(members.tokens("book", NOW + PEER_RETENTION * 2), 0);
}

/// A job that is handed over counts until its new owner reports it, in either order.
#[test]
fn tokens_of_a_job_that_is_handed_over_count_all_along() {
    let stops = |jobs: &[&str], tokens, at| Peer {
        stopping: true,
        ..owner(1, jobs, tokens, at)
    };
    let mut members = heard(2);
    members.record_report(name(1), owner(1, &["a", "b"], 600, NOW));
    members.record_report(name(1), stops(&["b"], 200, NOW + TICK));
    assert_eq!(members.tokens("book", NOW + TICK), 600);
    members.record_report(name(2), owner(1, &["a"], 400, NOW + TICK * 2));
    assert_eq!(members.tokens("book", NOW + TICK * 2), 600);
    members.record_report(name(2), owner(1, &["a", "b"], 600, NOW + TICK * 3));
    members.record_report(name(1), stops(&[], 0, NOW + TICK * 4));
    assert_eq!(members.tokens("book", NOW + TICK * 4), 600);
}

/// Tokens of jobs that go on or are done at a daemon that stays count once.
#[test]
fn tokens_of_a_daemon_that_goes_on_are_those_of_its_last_report() {
    let mut members = Members::default();
    members.record_report(name(1), owner(1, &["a", "b"], 600, NOW));
    members.record_report(name(1), owner(1, &["b"], 100, NOW + TICK));
    assert_eq!(members.tokens("book", NOW + TICK), 100);
}

/// A daemon that misses a single one knows that it does not know all.
#[test]
fn all_are_heard_while_each_entry_has_a_report() {
    let mut members = heard(1);
    assert!(members.all_peers_alive(NOW));
    members.apply_registrations(vec![(name(1), entry(1)), (name(2), entry(1))], 5);
    assert!(!members.all_peers_alive(NOW), "one never heard");
    members.record_report(name(2), peer(1, NOW));
    assert!(members.all_peers_alive(NOW));
    members.record_report(name(1), peer(1, NOW + PEER_TIMEOUT));
    assert!(
        !members.all_peers_alive(NOW + PEER_TIMEOUT + TICK),
        "one silent"
    );
    members.apply_registrations(vec![(name(1), entry(1))], 6);
    assert!(
        members.all_peers_alive(NOW + PEER_TIMEOUT + TICK),
        "its entry has ended"
    );
}

/// Jobs whose tokens count are named, so that nobody counts them twice.
#[test]
fn jobs_are_named_as_long_as_their_tokens_count() {
    let names = |members: &Members, now| {
        let mut jobs: Vec<String> = members
            .counted_jobs(now)
            .iter()
            .map(ToString::to_string)
            .collect();
        jobs.sort();
        jobs
    };
    let mut members = heard(2);
    members.record_report(name(1), owner(1, &["a", "b"], 600, NOW));
    members.record_report(name(2), owner(1, &["c"], 100, NOW));
    assert_eq!(names(&members, NOW + PEER_TIMEOUT + TICK), ["a", "b", "c"]);
    members.record_report(name(1), owner(2, &[], 0, NOW + TICK));
    assert_eq!(names(&members, NOW + TICK), ["a", "b", "c"]);
    members.claimed(&JobId::from("a"), NOW + TICK);
    assert_eq!(names(&members, NOW + TICK), ["b", "c"]);
    assert_eq!(names(&members, NOW + PEER_RETENTION * 2), ["c"]);
}

/// Watchers that are cut off from the store without knowing leave the watch to others.
#[test]
fn daemons_whose_last_answer_is_old_leave_the_watch_to_others() {
    let watchers = |members: &Members| -> Vec<usize> {
        let all = (1..=6).filter(|n| {
            let mut as_it_sees = members.clone();
            as_it_sees.record_report(name(*n), peer(1, LONG_AGO));
            as_it_sees.is_watcher(&name(*n), true, NOW + STORE_ANSWER_MAX_AGE)
        });
        all.collect()
    };
    let answered = |at| Peer {
        answered_at: Some(at),
        ..peer(1, NOW + STORE_ANSWER_MAX_AGE)
    };
    let mut members = Members::default();
    for n in 1..=6 {
        members.record_report(name(n), answered(NOW + TICK));
    }
    let first = watchers(&members);
    assert_eq!(first.len(), 2);
    for n in &first {
        members.record_report(name(*n), answered(NOW));
    }
    let next = watchers(&members);
    let others = next.iter().filter(|n| !first.contains(n));
    assert_eq!(others.count(), 2, "{first:?} {next:?}");
}

/// Guards that a silent peer which reached the store may still do so, until its entry is known to be gone.
#[test]
fn a_peer_that_fell_silent_may_reach_the_store() {
    let later = NOW + PEER_RETENTION + TICK;
    let lost = |reaches_store| {
        let mut members = heard(0);
        let peer = Peer {
            reaches_store,
            ..peer(1, NOW)
        };
        members.record_report(name(1), peer);
        members.sweep(later);
        members
    };
    assert!(!lost(false).may_reach_store(later));
    let mut members = lost(true);
    assert!(members.may_reach_store(later));
    members.apply_registrations(vec![(name(1), entry(1))], 5);
    assert!(members.may_reach_store(later));
    members.apply_registrations(vec![], 6);
    assert!(!members.may_reach_store(later));
}
