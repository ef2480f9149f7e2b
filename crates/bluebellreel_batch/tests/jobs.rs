//! State of a job at its owner: items, segments, and the order of starts.

mod common;

use bluebellreel_batch::{
    ItemEnd, ItemPhase, Job, JobRecord, NewItem, OpenJob, Progress, QuotaLedger, ResultState,
    decode_items, encode_items, next_item, split_input,
};
use bluebellreel_types::{JobId, Moment};
use common::{NOW, item, job, run};
use proptest::prelude::*;
use std::sync::Arc;
use std::time::Duration;

const SEGMENT_BYTES: usize = 1000;

fn flush_after_a_second(since: Moment) -> Moment {
    since + Duration::from_secs(1)
}

/// The answer to a write is lost and more results arrive meanwhile. The write may have
/// succeeded: with other content under the same segment number, readers would see an
/// already listed result change.
#[test]
fn a_segment_in_doubt_is_repeated_unchanged() {
    let mut job = job("j", 3, NOW);
    run(&mut job, 0, "a", ItemEnd::Completed);
    let later = NOW + Duration::from_secs(2);
    let first = job
        .segment_to_write(flush_after_a_second, later, SEGMENT_BYTES)
        .expect("it is due");
    run(&mut job, 1, "b", ItemEnd::Completed);
    run(&mut job, 2, "c", ItemEnd::Completed);
    assert_eq!(
        job.segment_to_write(flush_after_a_second, later, SEGMENT_BYTES),
        Some(first.clone())
    );
    assert!(!first.last);
    job.recorded(None);
    let second = job
        .segment_to_write(flush_after_a_second, later, SEGMENT_BYTES)
        .expect("the rest");
    assert_eq!(
        (second.number, second.results.len(), second.last),
        (1, 2, true)
    );
    job.recorded(Some(9));
    assert_eq!((job.listed.len(), job.revision), (3, 9));
    assert!(!job.is_open());
}

/// Guards against a job that a write of results finishes while its end is pending.
#[test]
fn a_job_to_be_cancelled_stays_open_until_that_is_recorded() {
    let mut job = job("j", 2, NOW);
    run(&mut job, 0, "a", ItemEnd::Completed);
    let later = NOW + Duration::from_secs(2);
    let segment = job.segment_to_write(flush_after_a_second, later, SEGMENT_BYTES);
    assert!(segment.is_some_and(|s| !s.last));
    job.request_cancel();
    job.recorded(None);
    assert_eq!((job.listed.len(), job.is_open()), (1, true));
    assert!(!job.may_run());
    assert_eq!(next_item(std::iter::once(&job), NOW), None);
    assert_eq!(job.tokens_left(), 0);
}

#[test]
fn results_are_batched_until_due_or_done() {
    let mut job = job("j", 2, NOW);
    run(&mut job, 0, "a", ItemEnd::Completed);
    assert_eq!(
        job.segment_to_write(flush_after_a_second, NOW, SEGMENT_BYTES),
        None
    );
    assert!(
        job.listed.is_empty(),
        "nothing is readable before it is recorded"
    );
    run(&mut job, 1, "b", ItemEnd::Completed);
    assert!(
        job.segment_to_write(flush_after_a_second, NOW, SEGMENT_BYTES)
            .is_some()
    );
}

/// One huge result among small ones: each segment stays within the store's size limit,
/// except one with a single larger result, and no result is dropped.
#[test]
fn segments_stay_within_their_size() {
    let mut job = job("j", 5, NOW);
    for n in 0..5 {
        let text = "x".repeat(if n == 2 { 1500 } else { 400 });
        run(&mut job, n, &text, ItemEnd::Completed);
    }
    let mut sizes = Vec::new();
    while let Some(segment) = job.segment_to_write(flush_after_a_second, NOW, SEGMENT_BYTES) {
        sizes.push(segment.results.iter().map(|r| r.text.len()).sum::<usize>());
        job.recorded(None);
    }
    assert_eq!(sizes, [800, 1500, 800]);
    assert!(!job.is_open());
}

#[test]
fn failures_count_until_an_item_is_given_up() {
    let mut job = job("j", 2, NOW);
    run(&mut job, 0, "", ItemEnd::Failed);
    run(&mut job, 0, "", ItemEnd::Interrupted(NOW));
    run(&mut job, 0, "", ItemEnd::Failed);
    assert!(matches!(job.items[0].phase, ItemPhase::Waiting { .. }));
    run(&mut job, 0, "", ItemEnd::Failed);
    run(&mut job, 1, "", ItemEnd::Impossible);
    let segment = job
        .segment_to_write(flush_after_a_second, NOW, SEGMENT_BYTES)
        .expect("both ended");
    assert!(segment.results.iter().all(|r| r.state == ResultState::Dead));
}

/// A run was stopped and its item continued elsewhere. The late end of the first run
/// must change nothing.
#[test]
fn the_end_of_a_run_that_is_over_is_ignored() {
    let mut job = job("j", 1, NOW);
    run(&mut job, 0, "a", ItemEnd::Interrupted(NOW));
    job.end_run(0, ItemEnd::Completed, 3, NOW);
    assert!(matches!(job.items[0].phase, ItemPhase::Waiting { .. }));
    assert_eq!(job.items[0].progress.text(), "a");
}

/// An item that is held back for minutes must not claim free slots: other daemons leave
/// the slots of a worker to the one that has items waiting.
#[test]
fn an_item_that_is_held_back_does_not_count_as_waiting() {
    let mut job = job("j", 2, NOW);
    let soon = NOW + Duration::from_millis(500);
    assert_eq!(job.items_waiting(soon), 2);
    let from = NOW + Duration::from_mins(1);
    job.items[0].phase = ItemPhase::Waiting { from };
    assert_eq!(job.items_waiting(soon), 1);
    assert_eq!(job.items_waiting(from), 2);
}

/// Items that no worker can run would wait forever. They are given up once `give_up_at`
/// has passed on every daemon's clock, and not before.
#[test]
fn items_are_given_up_when_their_time_is_over() {
    let slack = Duration::from_secs(8);
    let mut job = job("j", 2, NOW);
    job.items[1].phase = ItemPhase::Running;
    job.give_up_overdue(slack, NOW + Duration::from_secs(67));
    assert_eq!(job.items_waiting(Moment::DISTANT_FUTURE), 1);
    job.give_up_overdue(slack, NOW + Duration::from_secs(69));
    assert_eq!(job.items_waiting(Moment::DISTANT_FUTURE), 0);
    assert_eq!(job.items[1].phase, ItemPhase::Running);
}

/// A fleet is upgraded while jobs run. Records written by the previous version lack
/// newer fields. If they could not be read, their jobs would stay idle until the end.
#[test]
fn a_record_of_an_earlier_version_is_read() {
    let record = job("j", 1, NOW).record;
    let mut stored: serde_json::Value =
        serde_json::from_slice(&record.encode()).expect("just encoded");
    stored
        .as_object_mut()
        .expect("a JSON object")
        .remove("give_up_at");
    let bytes = stored.to_string().into_bytes();
    let read = JobRecord::try_from(bytes.as_slice()).expect("a valid record");
    assert_eq!(read.owner, record.owner);
    assert_eq!(read.give_up_at, Moment::DISTANT_FUTURE);
}

/// Two daemons accept at the same moment, each seeing room for one job. The guarded
/// write of the second one fails. It must then see the first job in the ledger, and
/// stop counting it once the reports contain it.
#[test]
fn a_ledger_counts_jobs_that_reports_lack() {
    let mut ledger = QuotaLedger::default();
    ledger.add(JobId::from("a"), 300, NOW);
    ledger.add(JobId::from("b"), 200, NOW);
    let ledger = QuotaLedger::try_from(ledger.encode().as_slice()).expect("just encoded");
    assert_eq!(ledger.unreported(|_| false, NOW), 500);
    assert_eq!(ledger.unreported(|job| job.as_str() == "a", NOW), 200);
    let later = NOW + Duration::from_secs(20);
    assert_eq!(ledger.unreported(|_| false, later), 0);
}

#[test]
fn a_loaded_job_knows_what_is_listed() {
    let mut first = job("j", 3, NOW);
    run(&mut first, 1, "b", ItemEnd::Completed);
    let segment = first
        .segment_to_write(|since| since, NOW, SEGMENT_BYTES)
        .expect("at once");
    let input = first.items.iter().map(|i| i.input.clone()).collect();
    let second = Job::new(
        first.id.clone(),
        first.record.clone(),
        8,
        input,
        vec![segment.results.clone()],
    );
    assert_eq!(second.listed, segment.results);
    assert_eq!(second.items[1].phase, ItemPhase::Ended);
    assert_eq!(second.tokens_left(), 20);
    assert_eq!(second.items_waiting(Moment::DISTANT_FUTURE), 2);
    assert!(second.body("i0").is_some());
    assert!(second.body("i1").is_none(), "it is listed");
}

#[test]
fn the_job_due_first_goes_first_and_late_ones_last() {
    let in_time = |id, secs| job(id, 1, NOW + Duration::from_secs(secs));
    let late = job("late", 1, Moment(NOW.0 - 1));
    let jobs = [late, in_time("b", 9), in_time("a", 3)];
    let next = next_item(jobs.iter(), NOW).expect("one waits");
    assert_eq!(next.job, JobId::from("a"));
    let next = next_item(jobs[..1].iter(), NOW).expect("the late one");
    assert_eq!(next.job, JobId::from("late"));
}

#[test]
fn the_item_nearest_its_end_goes_first() {
    let mut job = job("j", 3, NOW);
    run(&mut job, 1, "a", ItemEnd::Interrupted(NOW));
    let next = next_item([&job].into_iter(), NOW).expect("all wait");
    assert_eq!(next.item, 1);
}

/// Two runs of one item are joined with a gap, or an event arrives twice. The text
/// would be wrong although the item looks complete.
#[test]
fn events_out_of_sequence_are_rejected() {
    let mut progress = Progress::default();
    progress.push(4, "a").expect("the first may be any");
    assert_eq!(progress.push(6, "c").map_err(|gap| gap.expected), Err(5));
    assert!(progress.push(4, "a").is_err());
    progress.push(5, "b").expect("it follows");
    assert_eq!(progress.text(), "a\nb");
}

proptest! {
    #[test]
    fn input_round_trips_through_chunks(sizes in prop::collection::vec(0usize..400, 1..30)) {
        let items: Vec<NewItem> = sizes.iter().enumerate().map(|(n, s)| item(n, *s)).collect();
        let chunks = split_input(&items, SEGMENT_BYTES);
        let mut decoded = Vec::new();
        for chunk in chunks {
            let stored = encode_items(chunk);
            prop_assert!(stored.len() <= SEGMENT_BYTES || chunk.len() == 1);
            decoded.extend(decode_items(&stored).expect("just encoded"));
        }
        prop_assert_eq!(decoded, items);
    }
}

/// A job is taken over with a copy older than the recorded results, and some of its
/// items already run again. The copy must not reset items that are further along, and
/// ended items stay ended.
#[test]
fn a_copy_never_resets_an_item() {
    let mut old_owner = job("j", 3, NOW);
    for item in 0..3 {
        old_owner.items[item].phase = ItemPhase::Running;
        for event in 1..=4 {
            let pushed = old_owner.items[item].progress.push(event, "t");
            assert!(pushed.is_ok());
        }
    }
    let copy = old_owner.progress();
    assert_eq!(copy.len(), 3);

    let mut successor = job("j", 3, NOW);
    successor.items[0].phase = ItemPhase::Running;
    successor.items[1].phase = ItemPhase::Running;
    successor.end_run(1, ItemEnd::Completed, 3, NOW);
    successor.restore(copy, NOW);
    assert_eq!(successor.items[0].progress.last_id(), None, "it runs");
    assert_eq!(successor.items[1].phase, ItemPhase::Ended);
    assert_eq!(successor.items[2].progress.last_id(), Some(4));
    assert_eq!(successor.items[2].progress.text(), "t\nt\nt\nt");
}

/// Items end while the store is unavailable, and then their owner dies. Ended items are
/// copied along with running ones, so the successor need not run them again. Results
/// that the store did record stay unchanged.
#[test]
fn unrecorded_results_are_copied_too() {
    let mut old_owner = job("j", 3, NOW);
    for item in 0..2 {
        old_owner.items[item].phase = ItemPhase::Running;
        assert!(old_owner.items[item].progress.push(1, "t").is_ok());
        old_owner.end_run(item, ItemEnd::Completed, 3, NOW);
    }
    let segment = old_owner.segment_to_write(|since| since, NOW, SEGMENT_BYTES);
    assert_eq!(segment.map(|s| s.results.len()), Some(2), "in doubt");
    let copy = old_owner.progress();
    assert_eq!(copy.len(), 2);

    let mut successor = job("j", 3, NOW);
    successor.items[0].phase = ItemPhase::Ended;
    successor.restore(copy, NOW);
    assert_eq!(successor.items[1].phase, ItemPhase::Ended);
    assert!(matches!(
        successor.items[2].phase,
        ItemPhase::Waiting { .. }
    ));
    let segment = successor.segment_to_write(|since| since, NOW, SEGMENT_BYTES);
    let results = segment.expect("one result").results;
    assert_eq!(results.len(), 1);
    assert_eq!(&*results[0].text, "t");
}

/// Guards that failures of an item without events still count at the job's next owner.
#[test]
fn failures_without_events_are_copied() {
    let mut owner = job("j", 2, NOW);
    run(&mut owner, 0, "", ItemEnd::Failed);
    let once = owner.progress();
    run(&mut owner, 0, "", ItemEnd::Failed);
    let copy = owner.progress();
    assert_eq!(copy.len(), 1);
    assert!(once[0].extent() < copy[0].extent(), "not copied again");

    let mut successor = job("j", 2, NOW);
    successor.restore(copy, NOW);
    assert_eq!(
        (successor.items[0].failures, successor.items[1].failures),
        (2, 0)
    );
    assert!(successor.items[0].progress.last_id().is_none());
    run(&mut successor, 0, "", ItemEnd::Failed);
    assert_eq!(successor.items[0].phase, ItemPhase::Ended);
}

/// Guards that index values carry the quota scope and the tokens, and that the empty values
/// of an earlier version are rejected.
#[test]
fn index_values_carry_scope_and_tokens() {
    let value = OpenJob::from(&job("a", 3, NOW).record);
    assert_eq!((&*value.scope, value.tokens), ("book", 30));
    assert_eq!(OpenJob::try_from(value.encode().as_slice()), Ok(value));
    assert!(OpenJob::try_from([].as_slice()).is_err());
    let mut record = job("a", 3, NOW).record;
    record.team = Some(Arc::from("school"));
    assert_eq!(&*OpenJob::from(&record).scope, "book school");
}

/// Guards that a record keeps its team, and that one of an earlier version is read.
#[test]
fn a_record_keeps_its_team() {
    let mut record = job("a", 3, NOW).record;
    let of_earlier_version = record.encode();
    assert!(!String::from_utf8_lossy(&of_earlier_version).contains("team"));
    assert_eq!(
        JobRecord::try_from(of_earlier_version.as_slice()),
        Ok(record.clone())
    );
    record.team = Some(Arc::from("school"));
    assert_eq!(JobRecord::try_from(record.encode().as_slice()), Ok(record));
}
