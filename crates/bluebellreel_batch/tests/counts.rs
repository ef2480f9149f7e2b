//! Counts of failures that outlive the owner of a job.

mod common;

use bluebellreel_batch::{
    ItemCounts, ItemEnd, ItemPhase, Job, StoredCounts, decode_counts, encode_counts, keys,
    next_item,
};
use bluebellreel_types::{JobId, Moment};
use common::{NOW, job, run};
use std::time::Duration;

const LATER: Moment = Moment(9_000_000);

fn starts(job: &Job) -> Option<usize> {
    next_item(std::iter::once(job), LATER).map(|found| found.item)
}

/// Writes the next chunk of counts as a store at `revision` would.
fn save(job: &mut Job, revision: i64) -> StoredCounts {
    let write = job.counts_to_write().expect("counts to write");
    job.counts_stored(&write, revision);
    StoredCounts {
        chunk: write.chunk,
        revision,
        counts: decode_counts(&encode_counts(&write.counts)).expect("encoded counts"),
    }
}

/// An item ran again before its failure was stored.
#[test]
fn an_item_waits_until_its_failure_is_stored() {
    let mut job = job("a", 1, LATER);
    assert!(
        job.counts_to_write().is_none(),
        "a first run needs no write"
    );
    run(&mut job, 0, "", ItemEnd::Failed);
    assert_eq!(starts(&job), None);
    assert_eq!(job.items_waiting(LATER), 0);
    save(&mut job, 7);
    assert_eq!(starts(&job), Some(0));
    assert!(job.counts_to_write().is_none());
}

/// A failure that came during a write counted as stored with it.
#[test]
fn a_failure_during_a_write_is_written_by_the_next() {
    let mut job = job("a", 2, LATER);
    run(&mut job, 0, "", ItemEnd::Failed);
    let write = job.counts_to_write().expect("counts to write");
    run(&mut job, 1, "", ItemEnd::Failed);
    job.counts_stored(&write, 7);
    assert_eq!(starts(&job), Some(0));
    let write = job.counts_to_write().expect("the second failure");
    assert_eq!((write.counts.len(), write.revision), (2, Some(7)));
}

/// Each owner gave an item all attempts of its route.
#[test]
fn the_next_owner_continues_the_count() {
    let mut first = job("a", 2, LATER);
    run(&mut first, 0, "", ItemEnd::Failed);
    run(&mut first, 1, "", ItemEnd::Unanswered(NOW));
    let stored = save(&mut first, 7);
    let mut next = job("a", 2, LATER).with_counts(vec![stored], NOW);
    let counts: Vec<_> = next
        .items
        .iter()
        .map(|i| (i.failures, i.unanswered))
        .collect();
    assert_eq!(counts, [(1, 0), (0, 1)]);
    assert!(starts(&next).is_some(), "these counts are stored");
    run(&mut next, 0, "", ItemEnd::Failed);
    assert_eq!(next.items[0].phase, ItemPhase::Waiting { from: NOW });
    assert_eq!(next.counts_to_write().expect("counts").revision, Some(7));
    save(&mut next, 8);
    run(&mut next, 0, "", ItemEnd::Failed);
    assert_eq!(next.items[0].phase, ItemPhase::Ended);
}

/// The next owner ran an item that had been given up, as its result was not recorded yet.
#[test]
fn the_next_owner_gives_up_what_was_given_up() {
    for ends in [vec![ItemEnd::Impossible], vec![ItemEnd::Failed; 3]] {
        let mut first = job("a", 2, LATER);
        for end in ends {
            run(&mut first, 0, "", end);
        }
        let stored = save(&mut first, 7);
        let mut next = job("a", 2, LATER).with_counts(vec![stored], NOW);
        assert_eq!(next.items[0].phase, ItemPhase::Ended);
        let flush_now = |_| Moment(0);
        let segment = next.segment_to_write(flush_now, NOW, 1000);
        assert_eq!(segment.expect("its result").results.len(), 1);
    }
}

/// Failures that only a keeper knew were not passed on to the store.
#[test]
fn counts_from_a_keeper_are_stored_before_the_item_runs() {
    let mut job = job("a", 1, LATER);
    let kept = ItemCounts {
        item: 0,
        failures: 2,
        unanswered: 0,
        given_up: false,
    };
    let unknown = ItemCounts { item: 9, ..kept };
    job.restore_counts(vec![kept, unknown], NOW);
    assert_eq!(starts(&job), None);
    save(&mut job, 7);
    assert_eq!(starts(&job), Some(0));
    job.restore_counts(vec![kept], NOW);
    assert_eq!(starts(&job), Some(0), "nothing new");
}

/// During an outage a keeper's copy is enough for the next run, and the store still gets the
/// counts.
#[test]
fn a_copy_lets_an_item_run_and_is_stored_later() {
    let mut job = job("a", 1, LATER);
    run(&mut job, 0, "", ItemEnd::Failed);
    assert!(job.counts_to_copy(NOW - Duration::from_millis(1)).is_none());
    let copy = job.counts_to_copy(NOW).expect("an uncounted item");
    job.counts_kept(&copy);
    assert_eq!(starts(&job), Some(0));
    assert!(job.counts_to_write().is_some());
}

/// A write that the store refused expected a revision that was never there again.
#[test]
fn a_write_follows_the_revision_that_was_found() {
    let mut job = job("a", 1, LATER);
    run(&mut job, 0, "", ItemEnd::Failed);
    for found in [Some(9), None] {
        job.counts_found(0, found);
        assert_eq!(job.counts_to_write().expect("counts").revision, found);
    }
}

/// Readers of segments must not take counts for one.
#[test]
fn keys_of_counts_are_no_segments() {
    let id = JobId::from("a");
    let prefix = keys::segments(&id);
    let counts = keys::counts(&id, 3);
    assert_eq!(keys::number(&prefix, counts.as_str()), None);
    assert_eq!(keys::counts_number(&prefix, counts.as_str()), Some(3));
    let segment = keys::segment(&id, 3);
    assert_eq!(keys::counts_number(&prefix, segment.as_str()), None);
}
