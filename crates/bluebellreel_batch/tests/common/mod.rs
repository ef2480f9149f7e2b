//! Jobs for tests.

use bluebellreel_batch::{ItemEnd, ItemPhase, Job, JobPhase, JobRecord, NewItem, Owner};
use bluebellreel_types::{EntryName, Incarnation, JobId, Moment};
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;

pub const NOW: Moment = Moment(1_000_000);

pub fn item(n: usize, size: usize) -> NewItem {
    NewItem {
        id: Arc::from(format!("i{n}")),
        path: Arc::from("/book/1"),
        headers: vec![(Arc::from("x-model"), Arc::from("m"))],
        body: Bytes::from(vec![b'x'; size]),
        tokens: 10,
    }
}

pub fn job(id: &str, items: usize, due_at: Moment) -> Job {
    let record = JobRecord {
        host: Arc::from("desk.example"),
        route: Arc::from("book"),
        team: None,
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

pub fn run(job: &mut Job, item: usize, text: &str, end: ItemEnd) {
    job.items[item].phase = ItemPhase::Running;
    if !text.is_empty() {
        let progress = &mut job.items[item].progress;
        let next = progress.last_id().map_or(1, |last| last + 1);
        progress.push(next, text).expect("events follow");
    }
    job.end_run(item, end, 3, NOW);
}
