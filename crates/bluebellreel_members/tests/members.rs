//! Liveness of peers, and the division of duties among them.

use bluebellreel_members::{
    MemberEntry, Members, PEER_RETENTION, PEER_TIMEOUT, Peer, Presence, STORE_ANSWER_MAX_AGE,
};
use bluebellreel_types::{EntryName, Incarnation, JobId, Moment};
use std::net::SocketAddr;
use std::time::Duration;

const NOW: Moment = Moment(100_000_000);
/// Longer ago than any silence that still counts as alive.
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
        ..Peer::from_entry(entry(run))
    }
}

fn alive_members(count: usize) -> Members {
    let mut members = Members::default();
    for n in 1..=count {
        members.record_report(name(n), peer(1, NOW));
    }
    members
}

/// A job's owner is killed and restarts within half a second. Its peers never see it as
/// silent. If they did not notice its new incarnation, no daemon would check the jobs
/// of the previous one, which stayed open forever.
#[test]
fn the_first_report_of_a_new_incarnation_is_recognized() {
    let mut members = Members::default();
    assert!(members.record_report(name(1), peer(1, NOW)));
    assert!(!members.record_report(name(1), peer(1, NOW + TICK)));
    assert!(members.record_report(name(1), peer(2, NOW + TICK)));
    let run = |n| members.presence(&name(1), Incarnation(n), NOW + TICK);
    assert_eq!((run(1), run(2)), (Presence::Gone, Presence::Reporting));
}

/// The registration of a daemon was read before its first report. The report must still
/// be recognized as the first one, as the daemon may have jobs that no peer has listed.
#[test]
fn the_first_report_of_a_registered_daemon_is_recognized() {
    let mut members = Members::default();
    members.apply_registrations(vec![(name(1), entry(1))], 5);
    assert!(members.record_report(name(1), peer(1, NOW)));
}

/// A daemon becomes silent. While its registration exists it may only be cut off from
/// its peers and continue its jobs, and the store would not let them be taken over. It
/// counts as gone once its registration ends, and not before, however long that takes.
#[test]
fn a_silent_daemon_is_gone_once_its_registration_ends() {
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

/// A delayed list that arrives after a newer one must not restore a registration
/// that has ended. The jobs of the dead daemon would not be taken over.
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

/// Two daemons watch the store, and a third relies on them. A daemon that the store
/// refuses watches only if no other daemon can.
#[test]
fn two_daemons_watch_the_store() {
    let members = alive_members(6);
    let watchers = (1..=6).filter(|n| {
        let mut others = members.clone();
        others.record_report(name(*n), peer(1, LONG_AGO));
        others.is_watcher(&name(*n), true, NOW)
    });
    assert_eq!(watchers.count(), 2);
    assert!(!members.is_watcher(&name(7), false, NOW));
    assert!(Members::default().is_watcher(&name(7), false, NOW));
    let mut with_refused_peer = Members::default();
    let refused_peer = Peer {
        reaches_store: false,
        ..peer(1, NOW)
    };
    with_refused_peer.record_report(name(1), refused_peer);
    assert!(with_refused_peer.is_watcher(&name(7), true, NOW));
}

/// Both watching daemons were stopped at once, and no daemon watched until the others
/// noticed their silence: a new route got 404 for more than a second. Stopping daemons
/// do not count, and the next ones by rank watch at once.
#[test]
fn stopping_watchers_are_replaced_at_once() {
    let mut members = alive_members(6);
    let (watching, others): (Vec<usize>, Vec<usize>) = (1..=6).partition(|n| {
        let mut its_view = members.clone();
        its_view.record_report(name(*n), peer(1, LONG_AGO));
        its_view.is_watcher(&name(*n), true, NOW)
    });
    for n in watching {
        let stopping = Peer {
            stopping: true,
            ..peer(1, NOW)
        };
        members.record_report(name(n), stopping);
    }
    let next = others.iter().filter(|n| {
        let mut its_view = members.clone();
        its_view.record_report(name(**n), peer(1, LONG_AGO));
        its_view.is_watcher(&name(**n), true, NOW)
    });
    assert_eq!(next.count(), 2);
}

/// A daemon dies and its jobs go to the others. All must choose the same successor for
/// a job, never one that is stopping, and not the same one for all jobs.
#[test]
fn successors_are_agreed_on_and_spread() {
    let members = alive_members(4);
    let mut chosen = std::collections::BTreeSet::new();
    for job in 0..40 {
        let job = JobId::from(format!("job-{job}").as_str());
        let successor = members
            .successor(&job, None, NOW)
            .expect("four alive peers");
        // The successor itself reaches the same decision.
        let mut others = members.clone();
        others.record_report(successor.clone(), peer(1, LONG_AGO));
        assert_eq!(
            others.successor(&job, Some(&successor), NOW),
            Some(successor.clone())
        );
        chosen.insert(successor.clone());
        let mut with_stopping = members.clone();
        let stopping = Peer {
            stopping: true,
            ..peer(1, NOW)
        };
        with_stopping.record_report(successor.clone(), stopping);
        assert_ne!(with_stopping.successor(&job, None, NOW), Some(successor));
    }
    assert_eq!(chosen.len(), 4);
}

#[test]
fn a_lost_peer_is_reported_once() {
    let mut members = alive_members(2);
    assert!(!members.has_lost_peer(NOW));
    let later = NOW + PEER_TIMEOUT + TICK;
    members.record_report(name(1), peer(1, later));
    assert!(members.has_lost_peer(later));
    assert!(!members.has_lost_peer(later));
}

/// If they were kept, reports would be sent forever to addresses of daemons that are
/// gone.
#[test]
fn peers_that_are_gone_are_evicted() {
    let mut members = alive_members(2);
    members.apply_registrations(vec![(name(1), entry(1))], 5);
    members.sweep(NOW + PEER_RETENTION + TICK);
    let left: Vec<_> = members.peers().map(|(n, _)| n.clone()).collect();
    assert_eq!(left, [name(1)]);
}

/// A daemon that is cut off from its peers cannot know what they decide about it. It
/// must not assume that it is the only one left. The others must not assume that they
/// are cut off because one of them has died.
#[test]
fn a_daemon_that_sees_few_alive_peers_has_no_quorum() {
    let mut members = alive_members(5);
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

/// A peer that owns jobs with `tokens` waiting tokens on a route.
fn owner(run: u64, jobs: &[&str], tokens: u64, last_report_at: Moment) -> Peer {
    Peer {
        jobs: jobs.iter().map(|job| JobId::from(*job)).collect(),
        tokens: [("book".to_owned(), tokens)].into_iter().collect(),
        ..peer(run, last_report_at)
    }
}

/// Tokens of a killed incarnation count until all of its jobs are reported by other
/// owners.
#[test]
fn tokens_of_a_killed_incarnation_count_until_its_jobs_have_owners() {
    let mut members = alive_members(2);
    members.record_report(name(1), owner(1, &["a", "b"], 600, NOW));
    members.record_report(name(1), owner(2, &[], 0, NOW + TICK));
    assert_eq!(members.tokens("book", NOW + TICK), 600);
    members.record_report(name(2), owner(1, &["a"], 200, NOW + TICK * 2));
    assert_eq!(members.tokens("book", NOW + TICK * 2), 800);
    members.record_report(name(1), owner(2, &["b"], 400, NOW + TICK * 3));
    assert_eq!(members.tokens("book", NOW + TICK * 3), 600);
}

/// Tokens of a killed incarnation also count if the registration of the new incarnation
/// is read before its first report. They stop counting when the jobs end.
#[test]
fn tokens_of_a_killed_incarnation_outlast_its_new_registration() {
    let mut members = Members::default();
    members.record_report(name(1), owner(1, &["a"], 600, NOW));
    members.apply_registrations(vec![(name(1), entry(1))], 5);
    members.apply_registrations(vec![(name(1), entry(2))], 6);
    assert_eq!(members.tokens("book", NOW + TICK), 600);
    members.claimed(&JobId::from("a"), NOW + TICK);
    assert_eq!(members.tokens("book", NOW + TICK), 0);
}

/// Jobs of a killed incarnation that ended unobserved do not use up their quota for
/// good.
#[test]
fn tokens_of_jobs_that_are_never_found_expire() {
    let mut members = Members::default();
    members.record_report(name(1), owner(1, &["a"], 600, NOW));
    members.record_report(name(1), owner(2, &[], 0, NOW + TICK));
    assert_eq!(members.tokens("book", NOW + PEER_RETENTION * 2), 0);
}

/// Tokens of a job that is handed over count until the new owner reports it, whichever
/// of the two reports arrives first.
#[test]
fn tokens_of_a_job_that_is_handed_over_always_count() {
    let stopping_owner = |jobs: &[&str], tokens, at| Peer {
        stopping: true,
        ..owner(1, jobs, tokens, at)
    };
    let mut members = alive_members(2);
    members.record_report(name(1), owner(1, &["a", "b"], 600, NOW));
    members.record_report(name(1), stopping_owner(&["b"], 200, NOW + TICK));
    assert_eq!(members.tokens("book", NOW + TICK), 600);
    members.record_report(name(2), owner(1, &["a"], 400, NOW + TICK * 2));
    assert_eq!(members.tokens("book", NOW + TICK * 2), 600);
    members.record_report(name(2), owner(1, &["a", "b"], 600, NOW + TICK * 3));
    members.record_report(name(1), stopping_owner(&[], 0, NOW + TICK * 4));
    assert_eq!(members.tokens("book", NOW + TICK * 4), 600);
}

/// Tokens of a daemon that keeps running count once, whether its jobs continue or end.
#[test]
fn tokens_of_a_running_daemon_are_those_of_its_last_report() {
    let mut members = Members::default();
    members.record_report(name(1), owner(1, &["a", "b"], 600, NOW));
    members.record_report(name(1), owner(1, &["b"], 100, NOW + TICK));
    assert_eq!(members.tokens("book", NOW + TICK), 100);
}

/// A daemon that lacks the reports of a single peer treats its totals as incomplete.
#[test]
fn all_peers_are_alive_while_each_registration_has_a_report() {
    let mut members = alive_members(1);
    assert!(members.all_peers_alive(NOW));
    members.apply_registrations(vec![(name(1), entry(1)), (name(2), entry(1))], 5);
    assert!(!members.all_peers_alive(NOW), "one never reported");
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
        "its registration has ended"
    );
}

/// A job is listed as long as its tokens are part of the total of all peers, so that no
/// caller of the list counts them twice.
#[test]
fn jobs_are_listed_as_long_as_their_tokens_count() {
    let names = |members: &Members, now| {
        let mut jobs: Vec<String> = members
            .counted_jobs(now)
            .iter()
            .map(ToString::to_string)
            .collect();
        jobs.sort();
        jobs
    };
    let mut members = alive_members(2);
    members.record_report(name(1), owner(1, &["a", "b"], 600, NOW));
    members.record_report(name(2), owner(1, &["c"], 100, NOW));
    assert_eq!(names(&members, NOW + PEER_TIMEOUT + TICK), ["a", "b", "c"]);
    members.record_report(name(1), owner(2, &[], 0, NOW + TICK));
    assert_eq!(names(&members, NOW + TICK), ["a", "b", "c"]);
    members.claimed(&JobId::from("a"), NOW + TICK);
    assert_eq!(names(&members, NOW + TICK), ["b", "c"]);
    assert_eq!(names(&members, NOW + PEER_RETENTION * 2), ["c"]);
}

/// Watchers that are cut off from the store without noticing it are replaced by others.
#[test]
fn watchers_whose_last_store_answer_is_old_are_replaced() {
    let watchers = |members: &Members| -> Vec<usize> {
        let all = (1..=6).filter(|n| {
            let mut its_view = members.clone();
            its_view.record_report(name(*n), peer(1, LONG_AGO));
            its_view.is_watcher(&name(*n), true, NOW + STORE_ANSWER_MAX_AGE)
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

/// Guards that a silent peer which reached the store may still do so until its
/// registration is known to be gone.
#[test]
fn a_silent_peer_may_reach_the_store() {
    let later = NOW + PEER_RETENTION + TICK;
    let lost = |reaches_store| {
        let mut members = alive_members(0);
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
