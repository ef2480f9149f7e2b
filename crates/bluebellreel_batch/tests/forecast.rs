//! Forecasts of items, and the order of items by what can still be in time.

use bluebellreel_batch::{
    Forecast, ItemEnd, ItemPhase, ItemTiming, Job, JobPhase, JobRecord, NewItem, Owner, Progress,
    count_waiting, next_item, next_item_by_forecast,
};
use bluebellreel_types::{EntryName, Incarnation, JobId, Moment};
use proptest::prelude::*;
use std::sync::Arc;
use std::time::Duration;

const NOW: Moment = Moment(1_000_000_000);

fn secs(secs: u64) -> Moment {
    NOW + Duration::from_secs(secs)
}

/// A job whose items have this many events each.
fn job(id: &str, due_at: Moment, events: &[u64]) -> Job {
    let input = events.iter().enumerate().map(|(n, _)| NewItem {
        id: Arc::from(format!("{id}-{n}")),
        path: Arc::from("/v1"),
        headers: Vec::new(),
        body: bytes::Bytes::new(),
        tokens: 1,
    });
    let record = JobRecord {
        host: Arc::from("h"),
        route: Arc::from("r"),
        team: None,
        accepted_at: NOW,
        due_at,
        give_up_at: Moment::DISTANT_FUTURE,
        items: events.len(),
        tokens: 0,
        chunks: 1,
        phase: JobPhase::Open,
        owner: Owner {
            entry: EntryName::from("entry-1"),
            run: Incarnation(1),
        },
    };
    let mut job = Job::new(JobId::from(id), record, 1, input.collect(), Vec::new());
    for (item, events) in job.items.iter_mut().zip(events) {
        if *events > 0 {
            item.progress = Progress::restored(*events, *events, String::new(), None);
        }
    }
    job
}

/// A forecast of items of 200 events at 0.03 s, that waited for as long as they ran.
fn forecast() -> Forecast {
    let mut timing = ItemTiming::default();
    timing.start(0, NOW);
    timing.end(secs(3));
    timing.start(100, secs(9));
    let mut forecast = Forecast::default();
    forecast.completed(&Arc::from("r"), timing, 200, secs(12));
    forecast
}

fn next(jobs: &[Job], forecast: &Forecast) -> Option<(String, usize)> {
    let found = next_item_by_forecast(jobs.iter(), forecast, NOW, |_, _| true)?;
    Some((found.job.to_string(), found.item))
}

#[test]
fn items_need_their_remaining_events_at_the_mean_pace_and_stretch() {
    let forecast = forecast();
    let can = |events, due| forecast.can_be_in_time("r", events, secs(due), NOW);
    assert!(can(0, 12) && !can(0, 11));
    assert!(can(100, 6) && !can(100, 5));
    // A fifth of the mean is left at least.
    assert!(can(500, 3) && !can(500, 2));
    assert!(!can(500, 0), "a job that is due is late");
    assert!(forecast.can_be_in_time("other", 0, secs(1), NOW));
    assert!(forecast.is_nearly_done("r", 181) && !forecast.is_nearly_done("r", 180));
    assert!(!forecast.is_nearly_done("other", 181));
}

/// An item was taken over with output. Its pace must not count events of the former owner.
#[test]
fn events_of_a_former_owner_do_not_count_as_pace() {
    let mut timing = ItemTiming::default();
    timing.start(150, NOW);
    let mut forecast = Forecast::default();
    forecast.completed(&Arc::from("r"), timing, 200, secs(5));
    assert!(forecast.can_be_in_time("r", 0, secs(20), NOW));
    assert!(!forecast.can_be_in_time("r", 0, secs(19), NOW));
    // An item that never started here tells nothing.
    forecast.completed(&Arc::from("x"), ItemTiming::default(), 9, NOW);
    assert!(forecast.can_be_in_time("x", 0, secs(1), NOW));
}

#[test]
fn items_that_can_be_in_time_go_first() {
    let jobs = [
        job("late", secs(2), &[10, 20]),
        job("b", secs(14), &[0, 5]),
        job("a", secs(13), &[3, 7, 7]),
    ];
    assert_eq!(next(&jobs, &forecast()), Some(("a".into(), 1)));
    assert_eq!(next(&jobs[..2], &forecast()), Some(("b".into(), 1)));
    assert_eq!(next(&jobs[..1], &forecast()), Some(("late".into(), 1)));
    assert_eq!(next(&jobs, &Forecast::default()), Some(("late".into(), 1)));
    // Of jobs due at the same time, the item with the most output goes first.
    let equal = [job("a", secs(13), &[3]), job("b", secs(13), &[9])];
    assert_eq!(next(&equal, &forecast()), Some(("b".into(), 0)));
}

/// The service of a job's first item has no free slot. Its other items may need another
/// service, whose slots would stay free.
#[test]
fn an_item_that_may_not_start_does_not_hold_up_its_job() {
    let jobs = [job("a", secs(13), &[5, 1, 0])];
    let accepts = |_: &Job, item: usize| item != 0;
    let found = next_item_by_forecast(jobs.iter(), &forecast(), NOW, accepts);
    assert_eq!(found.map(|f| f.item), Some(1));
}

proptest! {
    #[test]
    fn the_next_item_waits_and_none_in_time_is_passed_over(
        specs in prop::collection::vec((0u64..25, prop::collection::vec((0u64..250, 0u8..3), 1..6)), 1..8),
    ) {
        let jobs: Vec<Job> = specs.iter().enumerate().map(|(n, (due, items))| {
            let events: Vec<u64> = items.iter().map(|(events, _)| *events).collect();
            let mut job = job(&format!("j{n}"), secs(*due), &events);
            for (item, (_, phase)) in job.items.iter_mut().zip(items) {
                item.phase = match phase {
                    0 => ItemPhase::Running,
                    1 => ItemPhase::Ended,
                    _ => item.phase,
                };
            }
            job
        }).collect();
        let forecast = forecast();
        let mut in_time = Vec::new();
        for job in &jobs {
            let waiting = count_waiting(job, &forecast, NOW, NOW);
            prop_assert_eq!(waiting.in_time + waiting.late, job.items_waiting(NOW));
            in_time.extend((waiting.in_time > 0).then_some(job.record.due_at));
        }
        let found = next_item_by_forecast(jobs.iter(), &forecast, NOW, |_, _| true);
        let before = next_item(jobs.iter(), NOW);
        prop_assert_eq!(found.is_some(), before.is_some());
        if let Some(found) = found {
            let job = jobs.iter().find(|j| j.id == found.job).expect("one of the jobs");
            let item = &job.items[found.item];
            let is_waiting = matches!(item.phase, ItemPhase::Waiting { .. });
            prop_assert!(is_waiting);
            let events = item.progress.events();
            let can = forecast.can_be_in_time("r", events, found.due_at, NOW);
            prop_assert_eq!(can.then_some(found.due_at), in_time.iter().min().copied());
        }
    }
}

/// A preempted item ran twice. Guards against time between its runs that counts as time in
/// slots, and against timings that survive the output that they belong to.
#[test]
fn timings_follow_the_runs_of_an_item() {
    let mut job = job("a", secs(60), &[0]);
    job.items[0].phase = ItemPhase::Running;
    job.items[0].timing.start(0, NOW);
    job.end_run(0, ItemEnd::Interrupted(secs(4)), u32::MAX, secs(3));
    let mut expected = ItemTiming::default();
    expected.start(0, NOW);
    expected.end(secs(3));
    assert_eq!(job.items[0].timing, expected);
    job.start_over(0);
    assert_eq!(job.items[0].timing, ItemTiming::default());
}
