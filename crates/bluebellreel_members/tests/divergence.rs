//! When lists of workers are compared, and that they converge by it.

use bluebellreel_dispatch::{Catalog, WorkerRecord, WorkerState};
use bluebellreel_members::{Divergence, SyncRequest, WorkerList};
use bluebellreel_types::{DataCentre, Moment, WorkerName};
use proptest::prelude::*;
use std::iter::once;
use std::sync::Arc;
use std::time::Duration;

const BEGIN: Moment = Moment(100_000_000);
/// Time between comparisons.
const TICK: Duration = Duration::from_millis(250);
const IDS: [&str; 3] = ["a", "b", "c"];

type Fact = (i64, WorkerName, Option<WorkerRecord>);

fn list(complete_to: i64, digest: u64) -> WorkerList {
    WorkerList {
        complete_to,
        digest,
    }
}

fn list_of(catalog: &Catalog) -> WorkerList {
    list(catalog.revision(), catalog.digest())
}

fn record(id: &str) -> WorkerRecord {
    WorkerRecord {
        id: WorkerName::from(id),
        boot: None,
        service: Arc::from("lm"),
        address: "10.0.0.1:80".parse().expect("an address"),
        data_centre: DataCentre::from("hall"),
        slots: 8,
        state: WorkerState::Ready,
    }
}

fn fact(revision: i64, id: &str, is_there: bool) -> Fact {
    let record = is_there.then(|| record(id));
    (revision, WorkerName::from(id), record)
}

fn listed(catalog: &Catalog) -> Vec<&str> {
    catalog.workers().map(|w| w.id.as_str()).collect()
}

/// Questions in so many ticks, each with the tick at which it was asked.
fn questions(
    ticks: u32,
    lists: impl Fn(u32) -> (WorkerList, Vec<WorkerList>),
) -> Vec<(u32, SyncRequest)> {
    let mut divergence = Divergence::default();
    let asked = (0..ticks).filter_map(|tick| {
        let (own, peers) = lists(tick);
        let now = BEGIN + TICK * tick;
        let question = divergence.next_request(own, peers.into_iter(), now);
        question.map(|question| (tick, question))
    });
    asked.collect()
}

/// What a peer answers that is asked, as daemons answer.
fn answer(peer: &Catalog, asker: &mut Catalog, question: SyncRequest) {
    let seen = asker.revision();
    let whole = question == SyncRequest::All || !peer.tells_all_after(seen);
    let facts = peer.facts_after(if whole { 0 } else { seen });
    let facts = facts.map(|(revision, id, record)| (revision, id.clone(), record.cloned()));
    asker.learn(peer.revision(), facts.collect(), whole);
}

/// Has a daemon ask another by the rule for some seconds.
fn compare(asker: &mut Catalog, peer: &Catalog) {
    let mut divergence = Divergence::default();
    for tick in 0..12 {
        let now = BEGIN + TICK * tick;
        let own = list_of(asker);
        if let Some(question) = divergence.next_request(own, once(list_of(peer)), now) {
            answer(peer, asker, question);
        }
    }
}

/// Revisions of those that watch rise with each write to the store, whatever it concerns.
#[test]
fn peers_that_list_the_same_are_not_asked() {
    let asked = questions(400, |tick| (list(9, 5), vec![list(9 + i64::from(tick), 5)]));
    assert_eq!(asked, []);
}

/// News reaches daemons one after the other: lists differ for up to three looks, and agree then.
#[test]
fn lists_that_differ_for_a_moment_are_not_asked_for() {
    let asked = questions(400, |tick| {
        let (own, theirs) = (u64::from(tick / 4), u64::from(tick.div_ceil(4)));
        (list(9, own), vec![list(10, theirs)])
    });
    assert_eq!(asked, []);
}

/// Guards that a list which lacks a removal is asked for also while workers come and go elsewhere.
#[test]
fn a_list_that_stays_anothers_is_asked_for_though_others_change() {
    const STALE: u64 = 1 << 63;
    let asked = questions(400, |tick| {
        let change = u64::from(tick / 3);
        let revision = 10 + i64::from(tick);
        let own = list(revision - 1, change | STALE);
        (own, vec![list(revision, change)])
    });
    assert!(!asked.is_empty(), "a hundred seconds without a question");
}

/// Guards that two which pass each other at each look ask each other all the same.
#[test]
fn lists_that_pass_each_other_are_asked_for() {
    let asked = questions(400, |tick| {
        let ahead = 10 + i64::from(tick) + if tick % 2 == 0 { 1 } else { -1 };
        (list(10 + i64::from(tick), 5), vec![list(ahead, 6)])
    });
    assert!(!asked.is_empty(), "a hundred seconds without a question");
}

/// One that knows less asks, and has nothing to tell; an earlier version tells no list.
#[test]
fn peers_behind_and_those_that_tell_no_list_are_not_asked() {
    let peers = vec![list(8, 4), list(7, 6), WorkerList::default()];
    assert_eq!(questions(400, |_| (list(9, 5), peers.clone())), []);
    let told_by_none = questions(400, |_| (WorkerList::default(), vec![list(9, 5)]));
    assert_eq!(told_by_none, []);
}

/// Of two that know all up to one revision, one may have learned of a removal late.
#[test]
fn peers_that_know_as_much_are_asked_for_changes_only() {
    let asked = questions(400, |_| (list(9, 5), vec![list(9, 6)]));
    assert_eq!(asked.first(), Some(&(4, SyncRequest::Changes)));
    assert!(asked.iter().all(|(_, q)| *q == SyncRequest::Changes));
    assert!(asked.len() < 9, "{asked:?}");
}

/// A list that stays another's is asked for soon, then in full, and ever more rarely.
#[test]
fn questions_in_vain_are_further_and_further_apart() {
    let hour = 4 * 3600;
    let asked = questions(hour, |tick| {
        (list(9, 5), vec![list(10 + i64::from(tick), 6)])
    });
    let first = asked.first().expect("it asks");
    assert_eq!(*first, (4, SyncRequest::Changes));
    assert!(asked.len() < 70, "{} in an hour", asked.len());
    let changes = asked.iter().filter(|(_, q)| *q == SyncRequest::Changes);
    assert!(asked.len() > changes.count(), "all workers are asked for");
}

/// A peer keeps workers for some seconds that others know to be gone after an outage.
#[test]
fn what_a_peer_keeps_after_an_outage_is_not_asked_for_in_full() {
    let asked = questions(400, |tick| {
        let theirs = if tick < 16 { 6 } else { 5 };
        (list(9, 5), vec![list(10 + i64::from(tick), theirs)])
    });
    let all = asked.iter().filter(|(_, q)| *q == SyncRequest::All);
    assert_eq!(all.count(), 0, "{asked:?}");
    assert!((1..=3).contains(&asked.len()), "{asked:?}");
}

/// Where one difference is gone, the next one is asked about as soon, and for little.
#[test]
fn a_later_difference_begins_anew() {
    let asked = questions(800, |tick| {
        let theirs = if (40..400).contains(&tick) { 5 } else { 6 };
        (list(9, 5), vec![list(10 + i64::from(tick), theirs)])
    });
    let later: Vec<_> = asked.iter().filter(|(tick, _)| *tick >= 400).collect();
    assert_eq!(later.first(), Some(&&(404, SyncRequest::Changes)));
}

/// A worker leaves, and only one that starts after that knows: its newest fact is older
/// than what its peers know, and they kept the worker until the next news.
#[test]
fn a_removal_that_no_revision_tells_of_is_found() {
    let mut kept = Catalog::default();
    kept.replace(5, vec![fact(3, "a", true), fact(4, "b", true)], None);
    let mut new = Catalog::default();
    new.replace(9, vec![fact(4, "b", true)], None);
    assert!(new.newest() <= kept.revision(), "no news for its peers");
    compare(&mut kept, &new);
    assert_eq!(listed(&kept), ["b"]);
}

/// The digest tells of what is listed, and nothing of the way there.
#[test]
fn equal_lists_have_equal_digests() {
    let mut watched = Catalog::default();
    for (revision, id, record) in [
        fact(1, "a", true),
        fact(2, "b", true),
        fact(3, "c", true),
        fact(6, "a", false),
        fact(7, "c", true),
    ] {
        watched.take(revision, &id, record);
    }
    let mut read = Catalog::default();
    read.replace(8, vec![fact(2, "b", true), fact(7, "c", true)], None);
    assert_eq!(watched.digest(), read.digest());
    read.take(9, &WorkerName::from("b"), Some(record("b")));
    assert_ne!(watched.digest(), read.digest(), "b is another's now");
    watched.miss(9, &WorkerName::from("b"), BEGIN);
    watched.expire(BEGIN);
    read.remove(10, &WorkerName::from("b"));
    assert_eq!(watched.digest(), read.digest());
}

proptest! {
    /// Daemons list, watch, start again and learn from each other in any order, then
    /// only the rule is left: they all list what the one lists that watches on.
    #[test]
    fn lists_converge_by_the_rule(
        steps in prop::collection::vec((0u8..5, 0usize..3, 0usize..3), 1..60),
        leader in 0usize..3,
    ) {
        // What was written to the store; the revision is the place.
        let mut writes: Vec<Fact> = Vec::new();
        let mut daemons = [Catalog::default(), Catalog::default(), Catalog::default()];
        for (kind, who, which) in steps {
            match kind {
                0 => write(&mut writes, which),
                1 => {
                    daemons[who] = Catalog::default();
                    read(&mut daemons[who], &writes);
                }
                2 => read(&mut daemons[who], &writes),
                3 => watch(&mut daemons[who], &writes),
                _ => {
                    let peer = daemons[which].clone();
                    answer(&peer, &mut daemons[who], SyncRequest::Changes);
                }
            }
        }
        // All but one are cut off from the store, which is written to once more.
        write(&mut writes, 0);
        if daemons[leader].revision() == 0 {
            read(&mut daemons[leader], &writes);
        }
        watch(&mut daemons[leader], &writes);
        let leading = daemons[leader].clone();
        for daemon in daemons.iter_mut().filter(|d| d.revision() > 0) {
            compare(daemon, &leading);
            prop_assert_eq!(listed(daemon), listed(&leading));
            prop_assert_eq!(daemon.digest(), leading.digest());
        }
    }
}

/// Another worker is there, or one is not any more.
fn write(writes: &mut Vec<Fact>, which: usize) {
    let id = IDS[which];
    let last = writes.iter().rev().find(|(_, of, _)| of.as_str() == id);
    let is_there = last.is_some_and(|(_, _, record)| record.is_some());
    let revision = i64::try_from(writes.len()).expect("few") + 1;
    writes.push(fact(revision, id, !is_there));
}

/// Takes the store's list over.
fn read(catalog: &mut Catalog, writes: &[Fact]) {
    let last = IDS.map(|id| writes.iter().rev().find(|(_, of, _)| of.as_str() == id));
    let there = last.into_iter().flatten().filter(|(.., r)| r.is_some());
    let revision = writes.last().map_or(0, |(revision, ..)| *revision);
    catalog.replace(revision, there.cloned().collect(), None);
}

/// Takes over what has changed since the own revision.
fn watch(catalog: &mut Catalog, writes: &[Fact]) {
    let seen = catalog.revision();
    if seen == 0 {
        return;
    }
    for (revision, id, record) in writes.iter().filter(|(revision, ..)| *revision > seen) {
        catalog.take(*revision, id, record.clone());
        catalog.seen_to(*revision);
    }
}
