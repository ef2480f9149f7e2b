//! When worker lists are compared, and that they converge.

use bluebellreel_dispatch::{Catalog, WorkerRecord, WorkerState};
use bluebellreel_members::{Divergence, SyncRequest, WorkerList};
use bluebellreel_types::{DataCentre, Moment, WorkerName};
use proptest::prelude::*;
use std::iter::once;
use std::sync::Arc;
use std::time::Duration;

const START: Moment = Moment(100_000_000);
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
        version: None,
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

/// Runs `ticks` comparisons and returns each request with its tick.
fn requests(
    ticks: u32,
    lists: impl Fn(u32) -> (WorkerList, Vec<WorkerList>),
) -> Vec<(u32, SyncRequest)> {
    let mut divergence = Divergence::default();
    let asked = (0..ticks).filter_map(|tick| {
        let (own, peers) = lists(tick);
        let now = START + TICK * tick;
        let request = divergence.next_request(own, peers.into_iter(), now);
        request.map(|request| (tick, request))
    });
    asked.collect()
}

/// Answers a request in the way that daemons do.
fn answer_request(peer: &Catalog, asker: &mut Catalog, request: SyncRequest) {
    let seen = asker.revision();
    let full = request == SyncRequest::All || !peer.has_all_changes_after(seen);
    let facts = peer.facts_after(if full { 0 } else { seen });
    let facts = facts.map(|(revision, id, record)| (revision, id.clone(), record.cloned()));
    asker.learn(peer.revision(), facts.collect(), full);
}

/// Lets one daemon send another the requests that `Divergence` decides on, for some
/// seconds.
fn compare(asker: &mut Catalog, peer: &Catalog) {
    let mut divergence = Divergence::default();
    for tick in 0..12 {
        let now = START + TICK * tick;
        let own = list_of(asker);
        if let Some(request) = divergence.next_request(own, once(list_of(peer)), now) {
            answer_request(peer, asker, request);
        }
    }
}

/// The revisions of watching daemons rise with every write to the store, also with
/// writes that do not concern workers.
#[test]
fn peers_with_equal_lists_are_not_asked() {
    let asked = requests(400, |tick| (list(9, 5), vec![list(9 + i64::from(tick), 5)]));
    assert_eq!(asked, []);
}

/// Changes reach daemons one after the other: lists differ for up to three ticks and
/// then agree.
#[test]
fn a_transient_difference_causes_no_request() {
    let asked = requests(400, |tick| {
        let (own, theirs) = (u64::from(tick / 4), u64::from(tick.div_ceil(4)));
        (list(9, own), vec![list(10, theirs)])
    });
    assert_eq!(asked, []);
}

/// Guards that a list which lacks a removal causes a request even while other workers
/// come and go.
#[test]
fn a_lasting_difference_causes_requests_despite_other_changes() {
    const STALE: u64 = 1 << 63;
    let asked = requests(400, |tick| {
        let change = u64::from(tick / 3);
        let revision = 10 + i64::from(tick);
        let own = list(revision - 1, change | STALE);
        (own, vec![list(revision, change)])
    });
    assert!(!asked.is_empty(), "no request in 100 s");
}

/// Guards that two daemons which overtake each other in turn still send requests.
#[test]
fn lists_that_overtake_each_other_cause_requests() {
    let asked = requests(400, |tick| {
        let ahead = 10 + i64::from(tick) + if tick % 2 == 0 { 1 } else { -1 };
        (list(10 + i64::from(tick), 5), vec![list(ahead, 6)])
    });
    assert!(!asked.is_empty(), "no request in 100 s");
}

/// A peer with an earlier revision sends a request itself and has no newer facts. Daemons
/// of earlier versions report no list.
#[test]
fn peers_behind_and_peers_without_a_list_are_not_asked() {
    let peers = vec![list(8, 4), list(7, 6), WorkerList::default()];
    assert_eq!(requests(400, |_| (list(9, 5), peers.clone())), []);
    let without_own_list = requests(400, |_| (WorkerList::default(), vec![list(9, 5)]));
    assert_eq!(without_own_list, []);
}

/// Of two daemons with the same revision, either one may have received a removal
/// late.
#[test]
fn peers_at_the_same_revision_are_asked_for_changes_only() {
    let asked = requests(400, |_| (list(9, 5), vec![list(9, 6)]));
    assert_eq!(asked.first(), Some(&(4, SyncRequest::Changes)));
    assert!(asked.iter().all(|(_, q)| *q == SyncRequest::Changes));
    assert!(asked.len() < 9, "{asked:?}");
}

/// A list that keeps differing causes a request soon, then one for all workers, and
/// then ever fewer.
#[test]
fn requests_without_effect_back_off() {
    let hour = 4 * 3600;
    let asked = requests(hour, |tick| {
        (list(9, 5), vec![list(10 + i64::from(tick), 6)])
    });
    let first = asked.first().expect("it asks");
    assert_eq!(*first, (4, SyncRequest::Changes));
    assert!(asked.len() < 70, "{} in an hour", asked.len());
    let changes = asked.iter().filter(|(_, q)| *q == SyncRequest::Changes);
    assert!(asked.len() > changes.count(), "all workers are asked for");
}

/// After an outage a peer keeps workers for some seconds that others have removed.
#[test]
fn workers_kept_after_an_outage_cause_no_full_request() {
    let asked = requests(400, |tick| {
        let theirs = if tick < 16 { 6 } else { 5 };
        (list(9, 5), vec![list(10 + i64::from(tick), theirs)])
    });
    let all = asked.iter().filter(|(_, q)| *q == SyncRequest::All);
    assert_eq!(all.count(), 0, "{asked:?}");
    assert!((1..=3).contains(&asked.len()), "{asked:?}");
}

/// A peer that does not answer must not make a daemon wait a minute for the next one, which
/// may know that a worker has left.
#[test]
fn requests_that_fail_do_not_back_off() {
    let mut divergence = Divergence::default();
    let mut asked = Vec::new();
    for tick in 0..240 {
        let now = START + TICK * tick;
        let peers = once(list(10, 6));
        if divergence.next_request(list(9, 5), peers, now).is_some() {
            divergence.request_failed(now);
            asked.push(tick);
        }
    }
    let pauses = asked.windows(2).map(|pair| TICK * (pair[1] - pair[0]));
    let longest = pauses.max().expect("several requests");
    assert!(longest <= Duration::from_secs(2), "{longest:?}");
}

/// After a difference is resolved, the next one starts again with an early request for
/// changes.
#[test]
fn a_later_difference_resets_the_backoff() {
    let asked = requests(800, |tick| {
        let theirs = if (40..400).contains(&tick) { 5 } else { 6 };
        (list(9, 5), vec![list(10 + i64::from(tick), theirs)])
    });
    let later: Vec<_> = asked.iter().filter(|(tick, _)| *tick >= 400).collect();
    assert_eq!(later.first(), Some(&&(404, SyncRequest::Changes)));
}

/// Guards against keeping a removed worker. Only a daemon that started after the removal
/// lacked the worker. The newest fact of that daemon was older than its peers' revision,
/// so the peers kept the worker until the next change.
#[test]
fn a_removal_without_a_newer_revision_is_found() {
    let mut stale = Catalog::default();
    stale.replace(5, vec![fact(3, "a", true), fact(4, "b", true)], None);
    let mut new = Catalog::default();
    new.replace(9, vec![fact(4, "b", true)], None);
    assert!(
        new.newest() <= stale.revision(),
        "peers see no newer revision"
    );
    compare(&mut stale, &new);
    assert_eq!(listed(&stale), ["b"]);
}

/// The digest depends on the listed workers only, and not on the sequence of changes.
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
    assert_ne!(watched.digest(), read.digest(), "b has been written again");
    watched.mark_missing(9, &WorkerName::from("b"), START);
    watched.expire(START);
    read.remove(10, &WorkerName::from("b"));
    assert_eq!(watched.digest(), read.digest());
}

proptest! {
    /// Daemons list, watch, restart and fetch facts from each other in any order, and
    /// then only compare lists. All of them end with the list of the one daemon that still
    /// watches the store.
    #[test]
    fn lists_converge(
        steps in prop::collection::vec((0u8..5, 0usize..3, 0usize..3), 1..60),
        leader in 0usize..3,
    ) {
        // Writes to the store; the index gives the revision.
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
                    answer_request(&peer, &mut daemons[who], SyncRequest::Changes);
                }
            }
        }
        // All daemons but one are cut off from the store, which gets one more write.
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

/// Adds a worker, or removes it if it exists.
fn write(writes: &mut Vec<Fact>, which: usize) {
    let id = IDS[which];
    let last = writes.iter().rev().find(|(_, of, _)| of.as_str() == id);
    let is_there = last.is_some_and(|(_, _, record)| record.is_some());
    let revision = i64::try_from(writes.len()).expect("few") + 1;
    writes.push(fact(revision, id, !is_there));
}

/// Replaces the catalog by the list in the store.
fn read(catalog: &mut Catalog, writes: &[Fact]) {
    let last = IDS.map(|id| writes.iter().rev().find(|(_, of, _)| of.as_str() == id));
    let there = last.into_iter().flatten().filter(|(.., r)| r.is_some());
    let revision = writes.last().map_or(0, |(revision, ..)| *revision);
    catalog.replace(revision, there.cloned().collect(), None);
}

/// Applies the changes since the catalog's revision.
fn watch(catalog: &mut Catalog, writes: &[Fact]) {
    let seen = catalog.revision();
    if seen == 0 {
        return;
    }
    for (revision, id, record) in writes.iter().filter(|(revision, ..)| *revision > seen) {
        catalog.take(*revision, id, record.clone());
        catalog.advance_to(*revision);
    }
}
