//! One job at its owner: items, segments, order.

use bluebellreel_batch::{
    ItemEnd, ItemPhase, Job, JobPhase, JobRecord, NewItem, OpenJob, Owner, Progress, QuotaLedger,
    ResultState, decode_items, encode_items, next_item, split_input,
};
use bluebellreel_types::{EntryName, Incarnation, JobId, Moment};
use bytes::Bytes;
use proptest::prelude::*;
use std::sync::Arc;
use std::time::Duration;

const NOW: Moment = Moment(1_000_000);
const BYTES: usize = 1000;

fn item(n: usize, size: usize) -> NewItem {
    NewItem {
        id: Arc::from(format!("i{n}")),
        path: Arc::from("/book/1"),
        headers: vec![(Arc::from("x-model"), Arc::from("m"))],
        body: Bytes::from(vec![b'x'; size]),
        tokens: 10,
    }
}

fn job(id: &str, items: usize, due_at: Moment) -> Job {
    let record = JobRecord {
        host: Arc::from("desk.example"),
        route: Arc::from("book"),
        accepted_at: NOW,
        due_at,
        give_up_at: NOW + Duration::from_mins(1),
        items,
        tokens: 10 * items as u64,
        chunks: 1,
        phase: JobPhase::Open,
        owner: Owner {
            entry: EntryName::from("entry-1"),
            run: Incarnation(7),
        },
    };
    let input = (0..items).map(|n| item(n, 10)).collect();
    Job::new(JobId::from(id), record, 5, input, Vec::new())
}

fn run(job: &mut Job, item: usize, text: &str, end: ItemEnd) {
    job.items[item].phase = ItemPhase::Running;
    if !text.is_empty() {
        let progress = &mut job.items[item].progress;
        let next = progress.last_id().map_or(1, |last| last + 1);
        progress.push(next, text).expect("events follow");
    }
    job.end_run(item, end, 3, NOW);
}

fn soon(since: Moment) -> Moment {
    since + Duration::from_secs(1)
}

/// A write's answer is lost and more results come meanwhile. The write may
/// have been done: with other content under the same number, readers would see
/// a position change.
#[test]
fn a_segment_in_doubt_is_repeated_unchanged() {
    let mut job = job("j", 3, NOW);
    run(&mut job, 0, "a", ItemEnd::Completed);
    let later = NOW + Duration::from_secs(2);
    let first = job.segment_to_write(soon, later, BYTES).expect("it is due");
    run(&mut job, 1, "b", ItemEnd::Completed);
    run(&mut job, 2, "c", ItemEnd::Completed);
    assert_eq!(
        job.segment_to_write(soon, later, BYTES),
        Some(first.clone())
    );
    assert!(!first.last);
    job.recorded(None);
    let second = job.segment_to_write(soon, later, BYTES).expect("the rest");
    assert_eq!(
        (second.number, second.results.len(), second.last),
        (1, 2, true)
    );
    job.recorded(Some(9));
    assert_eq!((job.listed.len(), job.revision), (3, 9));
    assert!(!job.is_open());
}

#[test]
fn results_gather_until_due_or_done() {
    let mut job = job("j", 2, NOW);
    run(&mut job, 0, "a", ItemEnd::Completed);
    assert_eq!(job.segment_to_write(soon, NOW, BYTES), None);
    assert!(
        job.listed.is_empty(),
        "nothing is readable before it is recorded"
    );
    run(&mut job, 1, "b", ItemEnd::Completed);
    assert!(job.segment_to_write(soon, NOW, BYTES).is_some());
}

/// One huge result among small ones: each segment stays within what the store
/// takes, and none is left out.
#[test]
fn segments_stay_within_their_size() {
    let mut job = job("j", 5, NOW);
    for n in 0..5 {
        let text = "x".repeat(if n == 2 { 1500 } else { 400 });
        run(&mut job, n, &text, ItemEnd::Completed);
    }
    let mut sizes = Vec::new();
    while let Some(segment) = job.segment_to_write(soon, NOW, BYTES) {
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
    let segment = job.segment_to_write(soon, NOW, BYTES).expect("both ended");
    assert!(segment.results.iter().all(|r| r.state == ResultState::Dead));
}

/// A run was thrown out and its item went on elsewhere; the first run's end
/// comes late and must change nothing.
#[test]
fn the_end_of_a_run_that_is_over_is_ignored() {
    let mut job = job("j", 1, NOW);
    run(&mut job, 0, "a", ItemEnd::Interrupted(NOW));
    job.end_run(0, ItemEnd::Completed, 3, NOW);
    assert!(matches!(job.items[0].phase, ItemPhase::Waiting { .. }));
    assert_eq!(job.items[0].progress.text(), "a");
}

/// Items that nobody could do would wait for ever. They are given up when the
/// time asked for is over by every daemon's clock, and not before.
#[test]
fn items_are_given_up_when_their_time_is_over() {
    let slack = Duration::from_secs(8);
    let mut job = job("j", 2, NOW);
    job.items[1].phase = ItemPhase::Running;
    job.give_up_overdue(slack, NOW + Duration::from_secs(67));
    assert_eq!(job.items_waiting(), 1);
    job.give_up_overdue(slack, NOW + Duration::from_secs(69));
    assert_eq!(job.items_waiting(), 0);
    assert_eq!(job.items[1].phase, ItemPhase::Running);
}

/// A fleet is upgraded while jobs run. Records that the version before wrote
/// lack the newer fields; unreadable, their jobs would lie until the end.
#[test]
fn a_record_of_an_earlier_version_is_read() {
    let record = job("j", 1, NOW).record;
    let mut stored: serde_json::Value =
        serde_json::from_slice(&record.encode()).expect("just encoded");
    stored
        .as_object_mut()
        .expect("a table")
        .remove("give_up_at");
    let bytes = stored.to_string().into_bytes();
    let read = JobRecord::try_from(bytes.as_slice()).expect("it is one");
    assert_eq!(read.owner, record.owner);
    assert_eq!(read.give_up_at, Moment::DISTANT_FUTURE);
}

/// Two daemons accept at the same moment, each seeing room for one job. The
/// second one's guarded write fails; it must see the first in the ledger, and
/// count it no longer once the reports contain it.
#[test]
fn a_ledger_tells_what_reports_do_not_contain_yet() {
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
        .segment_to_write(|since| since, NOW, BYTES)
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
    assert_eq!(second.items_waiting(), 2);
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

/// Two runs of one item are joined, or an event comes twice: the text would be
/// wrong though every item looks done.
#[test]
fn events_that_do_not_follow_are_refused() {
    let mut progress = Progress::default();
    progress.push(4, "a").expect("the first may be any");
    assert_eq!(progress.push(6, "c").map_err(|gap| gap.expected), Err(5));
    assert!(progress.push(4, "a").is_err());
    progress.push(5, "b").expect("it follows");
    assert_eq!(progress.text(), "a\nb");
}

proptest! {
    #[test]
    fn input_comes_back_from_its_chunks(sizes in prop::collection::vec(0usize..400, 1..30)) {
        let items: Vec<NewItem> = sizes.iter().enumerate().map(|(n, s)| item(n, *s)).collect();
        let chunks = split_input(&items, BYTES);
        let mut back = Vec::new();
        for chunk in chunks {
            let stored = encode_items(chunk);
            prop_assert!(stored.len() <= BYTES || chunk.len() == 1);
            back.extend(decode_items(&stored).expect("just encoded"));
        }
        prop_assert_eq!(back, items);
    }
}

/// A job is taken over with a copy that is older than what was recorded, and
/// items run again already. Nothing that is further is set back, and an item
/// that has ended stays so.
#[test]
fn a_copy_never_sets_an_item_back() {
    let mut dead = job("j", 3, NOW);
    for item in 0..3 {
        dead.items[item].phase = ItemPhase::Running;
        for event in 1..=4 {
            let pushed = dead.items[item].progress.push(event, "t");
            assert!(pushed.is_ok());
        }
    }
    let copy = dead.progress();
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

/// The store is away when items end, and their owner dies. What has ended is told
/// with what is under way, and whoever takes the job over need not run it again;
/// what the store has recorded after all stays as it is.
#[test]
fn results_that_are_not_recorded_are_told_too() {
    let mut dead = job("j", 3, NOW);
    for item in 0..2 {
        dead.items[item].phase = ItemPhase::Running;
        assert!(dead.items[item].progress.push(1, "t").is_ok());
        dead.end_run(item, ItemEnd::Completed, 3, NOW);
    }
    let segment = dead.segment_to_write(|since| since, NOW, BYTES);
    assert_eq!(segment.map(|s| s.results.len()), Some(2), "in doubt");
    let copy = dead.progress();
    assert_eq!(copy.len(), 2);

    let mut successor = job("j", 3, NOW);
    successor.items[0].phase = ItemPhase::Ended;
    successor.restore(copy, NOW);
    assert_eq!(successor.items[1].phase, ItemPhase::Ended);
    assert!(matches!(
        successor.items[2].phase,
        ItemPhase::Waiting { .. }
    ));
    let segment = successor.segment_to_write(|since| since, NOW, BYTES);
    let results = segment.expect("one result").results;
    assert_eq!(results.len(), 1);
    assert_eq!(&*results[0].text, "t");
}

/// Guards that failures of an item without events count on at its job's next owner.
#[test]
fn failures_without_events_go_with_a_copy() {
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

/// The index of open jobs is told from one that an earlier version has written.
#[test]
fn the_index_of_open_jobs_says_what_counts() {
    let waits = OpenJob::from(&job("a", 3, NOW).record);
    assert_eq!((&*waits.route, waits.tokens), ("book", 30));
    assert_eq!(OpenJob::try_from(waits.encode().as_slice()), Ok(waits));
    assert!(OpenJob::try_from([].as_slice()).is_err());
}
