//! Cost of a job owner's decisions: leasing, reporting and recording items.

use bluebellreel_job::{
    ChunkRef, JobCounts, JobEffect, JobLimits, JobRecord, JobScheduler, JobState, JobTarget,
    OwnedJob, SchedulerLimits,
};
use bluebellreel_types::{
    AttemptEnd, EntryName, Incarnation, JobId, ModelName, Moment, TeamName, WorkerName,
};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

const ITEMS: u32 = 64_000;
const PER_CHUNK: u32 = 500;
const ROOM: usize = 16;

fn chunk_bytes(first: u32) -> Vec<u8> {
    let line = |n: u32| {
        format!(
            r#"{{"custom_id":"n{n}","method":"POST","url":"/v1/chat/completions","body":{{"model":"m","messages":[{{"role":"user","content":"{n}"}}]}}}}"#
        )
    };
    let lines: Vec<String> = (first..first + PER_CHUNK).map(line).collect();
    lines.join("\n").into_bytes()
}

fn record(number: usize) -> JobRecord {
    let chunk = |chunk: u32| ChunkRef {
        first: chunk * PER_CHUNK,
        items: PER_CHUNK,
        digest: String::new(),
        bytes: 0,
        volume: None,
    };
    JobRecord {
        id: JobId::from(format!("job-{number}")),
        team: TeamName::from(format!("team-{}", number % 7)),
        digest: String::new(),
        upload: String::new(),
        target: JobTarget::Chat("m".into()),
        accepted_at: Moment(0),
        deadline: Moment(0) + Duration::from_hours(1),
        items: ITEMS,
        chunks: (0..ITEMS / PER_CHUNK).map(chunk).collect(),
        state: JobState::Running,
        owner: EntryName::from("e"),
        owner_run: Incarnation(1),
        epoch: 1,
        counts: JobCounts::default(),
        ended_at: None,
    }
}

fn apply_effects(job: &mut OwnedJob, now: Moment) {
    for effect in job.poll(now) {
        match effect {
            JobEffect::LoadChunk(chunk) => {
                let bytes = chunk_bytes(chunk * PER_CHUNK);
                job.note_chunk(chunk, &bytes).expect("as accepted");
            }
            JobEffect::Record { seq, .. } => job.note_recorded(seq, now),
            _ => {}
        }
    }
}

fn scheduler(jobs: usize) -> JobScheduler {
    let mut scheduler = JobScheduler::new(SchedulerLimits::default());
    for number in 0..jobs {
        let record = record(number);
        let id = record.id.clone();
        let mut job = OwnedJob::open(record, 1, true, JobLimits::default(), &[], &[]);
        apply_effects(&mut job, Moment(1));
        scheduler.jobs.insert(id, job);
    }
    scheduler
}

fn completed() -> AttemptEnd {
    AttemptEnd::Completed {
        status: 200,
        body: Arc::from(*b"an answer of some length"),
        tokens: 8,
    }
}

fn pull_and_report(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("16 items pulled, reported, recorded");
    let models = BTreeSet::from([ModelName::from("m")]);
    let worker = WorkerName::from("w");
    for jobs in [1, 13, 130] {
        let mut jobs_scheduler = scheduler(jobs);
        let mut now = Moment(1);
        group.bench_function(BenchmarkId::from_parameter(jobs), |b| {
            b.iter(|| {
                now = now + Duration::from_micros(10);
                let leased_jobs = jobs_scheduler.pull(ROOM, &worker, Incarnation(1), &models, now);
                if leased_jobs.is_empty() {
                    jobs_scheduler = scheduler(jobs);
                }
                for lease in leased_jobs.iter().flat_map(|handout| &handout.leases) {
                    jobs_scheduler.report(lease.attempt, completed(), now);
                }
                for job in jobs_scheduler.jobs.values_mut() {
                    apply_effects(job, now);
                }
            });
        });
    }
    group.finish();
}

criterion_group!(benches, pull_and_report);
criterion_main!(benches);
