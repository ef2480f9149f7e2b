//! A job under any course of events.

use bluebellreel_job::{
    ChunkRef, ClaimedItem, ItemEnd, ItemLease, JobCounts, JobEffect, JobLimits, JobRecord,
    JobState, JobTarget, OwnedJob,
};
use bluebellreel_types::{
    AttemptEnd, AttemptId, AttemptVerdict, BrokenReason, EntryName, Incarnation, JobId, Moment,
    NotRunReason, RequestId, TeamName, WorkerName,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

const PER_CHUNK: u32 = 10;

fn chunk_bytes(first: u32, items: u32) -> Vec<u8> {
    let line = |n: u32| {
        format!(
            r#"{{"custom_id":"n{n}","method":"POST","url":"/v1/chat/completions","body":{{"model":"m","messages":[{{"role":"user","content":"{n}"}}]}}}}"#
        )
    };
    let lines: Vec<String> = (first..first + items).map(line).collect();
    lines.join("\n").into_bytes()
}

fn record(items: u32) -> JobRecord {
    let chunks = (0..items.div_ceil(PER_CHUNK)).map(|chunk| ChunkRef {
        first: chunk * PER_CHUNK,
        items: PER_CHUNK.min(items - chunk * PER_CHUNK),
        digest: String::new(),
        bytes: 0,
        volume: None,
    });
    JobRecord {
        id: JobId::from("job"),
        team: TeamName::from("school"),
        digest: String::new(),
        upload: String::new(),
        target: JobTarget::Chat("m".into()),
        accepted_at: Moment(0),
        deadline: Moment(0) + Duration::from_hours(1),
        items,
        chunks: chunks.collect(),
        state: JobState::Running,
        owner: EntryName::from("e"),
        owner_run: Incarnation(1),
        epoch: 1,
        counts: JobCounts::default(),
        ended_at: None,
    }
}

/// Drives a job and keeps what it records.
struct Bench {
    job: OwnedJob,
    now: Moment,
    recorded: BTreeMap<u32, ItemEnd>,
    doubled: bool,
    closed: Option<(JobState, JobCounts)>,
    out: Vec<(WorkerName, ItemLease)>,
}

impl Bench {
    fn new(items: u32, limits: JobLimits) -> Self {
        let job = OwnedJob::open(record(items), 1, true, limits, &[], &[]);
        Self {
            job,
            now: Moment(1_000_000),
            recorded: BTreeMap::new(),
            doubled: false,
            closed: None,
            out: Vec::new(),
        }
    }

    fn poll(&mut self, write_works: bool) {
        for effect in self.job.poll(self.now) {
            match effect {
                JobEffect::LoadChunk(chunk) => {
                    let place = self.job.record.chunks[chunk as usize].clone();
                    let bytes = chunk_bytes(place.first, place.items);
                    self.job.note_chunk(chunk, &bytes).expect("as accepted");
                }
                JobEffect::Record { seq, results } if write_works => {
                    for result in results.iter() {
                        let before = self.recorded.insert(result.index, result.end.clone());
                        self.doubled |= before.is_some();
                    }
                    self.job.note_recorded(seq, self.now);
                }
                JobEffect::Record { .. } => self.job.note_record_failed(self.now),
                JobEffect::Close { state, counts } => self.closed = Some((state, counts)),
                JobEffect::Withdraw { attempts, .. } => {
                    self.out.retain(|(_, l)| !attempts.contains(&l.attempt));
                }
                JobEffect::QueryAttempt { .. } => {}
            }
        }
    }

    /// Numbers of the writes that are due; all of them stay out.
    fn writes(&mut self) -> Vec<u64> {
        let effects = self.job.poll(self.now).into_iter();
        let writes = effects.filter_map(|effect| match effect {
            JobEffect::Record { seq, .. } => Some(seq),
            _ => None,
        });
        writes.collect()
    }

    fn pull(&mut self, worker: &str, room: usize) {
        let worker = WorkerName::from(worker);
        let held = self.job.held_by(&worker);
        let leases = self.job.take(room, &worker, Incarnation(1), held, self.now);
        self.out
            .extend(leases.into_iter().map(|l| (worker.clone(), l)));
    }

    fn end_all(&mut self, end: impl Fn(&ItemLease) -> AttemptEnd) {
        for (_, lease) in std::mem::take(&mut self.out) {
            self.job.report(lease.attempt, end(&lease), self.now);
        }
    }
}

fn completed() -> AttemptEnd {
    AttemptEnd::Completed {
        status: 200,
        body: Arc::from(*b"answer"),
        tokens: 1,
    }
}

fn lost() -> AttemptEnd {
    AttemptEnd::Broken {
        reason: BrokenReason::EngineLost,
        partial: Arc::from(""),
    }
}

/// One step of a random course.
#[derive(Clone, Debug)]
enum Step {
    Pull(u8, usize),
    Complete(usize),
    Lose(usize),
    Preempt(usize),
    Refuse(usize),
    Doubled(usize),
    WorkerGone(u8),
    Poll(bool),
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0_u8..3, 1_usize..9).prop_map(|(w, room)| Step::Pull(w, room)),
        4 => any::<usize>().prop_map(Step::Complete),
        1 => any::<usize>().prop_map(Step::Lose),
        1 => any::<usize>().prop_map(Step::Preempt),
        1 => any::<usize>().prop_map(Step::Refuse),
        1 => any::<usize>().prop_map(Step::Doubled),
        1 => (0_u8..3).prop_map(Step::WorkerGone),
        4 => any::<bool>().prop_map(Step::Poll),
        1 => (0_u64..40).prop_map(Step::Wait),
    ];
    proptest::collection::vec(step, 0..120)
}

impl Bench {
    fn take_out(&mut self, pick: usize) -> Option<(WorkerName, ItemLease)> {
        if self.out.is_empty() {
            return None;
        }
        let index = pick % self.out.len();
        Some(self.out.remove(index))
    }

    fn end_one(&mut self, pick: usize, end: AttemptEnd) {
        if let Some((_, lease)) = self.take_out(pick) {
            self.job.report(lease.attempt, end, self.now);
        }
    }

    fn run(&mut self, step: &Step) {
        match step {
            Step::Pull(worker, room) => self.pull(&format!("w{worker}"), *room),
            Step::Complete(pick) => self.end_one(*pick, completed()),
            Step::Lose(pick) => self.end_one(*pick, lost()),
            Step::Preempt(pick) => {
                let end = AttemptEnd::Broken {
                    reason: BrokenReason::Preempted,
                    partial: Arc::from("half"),
                };
                self.end_one(*pick, end);
            }
            Step::Refuse(pick) => {
                self.end_one(*pick, AttemptEnd::NotRun(NotRunReason::Overloaded));
            }
            Step::Doubled(pick) => {
                if let Some((_, lease)) = self.take_out(*pick) {
                    self.job.report(lease.attempt, completed(), self.now);
                    self.job.report(lease.attempt, completed(), self.now);
                    let other = AttemptId {
                        number: lease.attempt.number + 1,
                        ..lease.attempt
                    };
                    self.job.report(other, lost(), self.now);
                }
            }
            Step::WorkerGone(worker) => {
                let worker = WorkerName::from(format!("w{worker}"));
                self.job.lose_worker(&worker, self.now);
                self.out.retain(|(at, _)| *at != worker);
            }
            Step::Poll(works) => self.poll(*works),
            Step::Wait(seconds) => self.now = self.now + Duration::from_secs(*seconds),
        }
    }
}

/// Workers die, give way, answer twice; writes fail; time passes. In the end
/// each item has exactly one result and the counts agree.
#[test]
fn any_course_ends_with_each_item_once() {
    let config = Config {
        cases: 300,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..Config::default()
    };
    let outcome = TestRunner::new(config).run(&(1_u32..45, steps()), |(items, steps)| {
        let mut bench = Bench::new(items, JobLimits::default());
        for step in &steps {
            bench.run(step);
        }
        for _ in 0..2_000 {
            if bench.closed.is_some() {
                break;
            }
            bench.now = bench.now + Duration::from_millis(600);
            bench.poll(true);
            bench.pull("w9", 8);
            bench.end_all(|_| completed());
        }
        let (state, counts) = bench.closed.expect("the job ends");
        prop_assert!(!bench.doubled, "an item was recorded twice");
        prop_assert_eq!(state, JobState::Complete);
        prop_assert_eq!(bench.recorded.len(), items as usize);
        prop_assert_eq!(counts.succeeded + counts.failed, items);
        Ok(())
    });
    if let Err(failure) = outcome {
        panic!("{failure}");
    }
}

/// One note takes its worker down each time. It must not take good notes into
/// failure with it: after two breaks every suspect is tried alone, and only
/// the poisoned one is given up, with its reason.
#[test]
fn poisoned_item_fails_alone() {
    let mut bench = Bench::new(20, JobLimits::default());
    let is_poisoned = |lease: &ItemLease| &*lease.work.body == poisoned_body().as_slice();
    for _ in 0..200 {
        bench.now = bench.now + Duration::from_millis(100);
        bench.poll(true);
        bench.pull("w", 8);
        let poisoned = bench.out.iter().any(|(_, lease)| is_poisoned(lease));
        bench.end_all(|_| if poisoned { lost() } else { completed() });
    }
    bench.now = bench.now + Duration::from_secs(10);
    bench.poll(true);
    let failed: Vec<u32> = bench
        .recorded
        .iter()
        .filter(|(_, end)| matches!(end, ItemEnd::Failed { .. }))
        .map(|(index, _)| *index)
        .collect();
    assert_eq!(bench.recorded.len(), 20);
    assert_eq!(failed, [7]);
}

fn poisoned_body() -> Vec<u8> {
    br#"{"model":"m","messages":[{"role":"user","content":"7"}]}"#.to_vec()
}

/// A job of 64,000 items holds only a few input chunks in memory at any time.
#[test]
fn large_job_holds_few_chunks() {
    let limits = JobLimits::default();
    let mut bench = Bench::new(64_000, limits.clone());
    let mut most = 0;
    while bench.closed.is_none() {
        bench.now = bench.now + Duration::from_millis(10);
        bench.poll(true);
        bench.pull("w", 64);
        most = most.max(bench.job.chunks_held());
        bench.end_all(|_| completed());
    }
    assert!(most <= limits.chunks, "{most} chunks held");
    assert_eq!(bench.recorded.len(), 64_000);
}

/// An owner that takes a job over starts from what is recorded.
#[test]
fn new_owner_runs_only_what_is_not_recorded() {
    let recorded: Vec<(u32, bool)> = (0..15).map(|index| (index, true)).collect();
    let limits = JobLimits::default();
    let mut bench = Bench::new(20, limits.clone());
    bench.job = OwnedJob::open(record(20), 1, true, limits, &recorded, &[]);
    for _ in 0..5 {
        bench.poll(true);
        bench.pull("w", 64);
    }
    assert_eq!(bench.out.len(), 5, "five items are left");
}

/// A daemon that stops stood idle for five seconds: the last results of its
/// job waited for a group that could no longer fill. Once the last item that
/// is out has come back, they are recorded at once.
#[test]
fn handed_over_job_records_a_part_of_a_group_at_once() {
    let mut bench = Bench::new(20, JobLimits::default());
    bench.poll(true);
    bench.pull("w", 2);
    bench.end_one(0, completed());
    bench.poll(true);
    assert!(bench.recorded.is_empty(), "the group is not full");
    bench.job.hand_over();
    bench.poll(true);
    assert!(bench.recorded.is_empty(), "an item is still out");
    assert!(!bench.job.is_handed_over());
    bench.end_one(0, completed());
    bench.poll(true);
    assert_eq!(bench.recorded.len(), 2);
    assert!(bench.job.is_handed_over());
}

/// A disk was lost, and the next results waited seconds for it while items went
/// on ending. The same write was made once more beside the first one; the one
/// that came second was taken for another owner's work, and the daemon let go
/// of its job, which then lay for ever.
#[test]
fn results_that_take_long_to_write_are_not_written_beside_it() {
    let limits = JobLimits {
        group_items: 2,
        ..JobLimits::default()
    };
    let mut bench = Bench::new(20, limits.clone());
    bench.poll(true);
    bench.pull("w", 5);
    bench.end_one(0, completed());
    bench.end_one(0, completed());
    assert_eq!(bench.writes(), [0], "a group is full");
    bench.end_one(0, completed());
    bench.now = bench.now + limits.group_wait * 2;
    assert_eq!(bench.writes(), [0; 0], "the first is still out");
    bench.job.note_recorded(0, bench.now);
    bench.now = bench.now + limits.group_wait * 2;
    assert_eq!(bench.writes(), [1], "the others wait no longer");
}

/// A side process died with a call that may not be repeated. The daemon that
/// sent it can stop: its claim is recorded, and the next owner settles it.
#[test]
fn call_in_doubt_does_not_hold_up_a_stop() {
    let limits = JobLimits::default();
    let claim = ClaimedItem {
        index: 0,
        attempt: AttemptId {
            request: RequestId(9),
            number: 1,
        },
        worker: WorkerName::from("w"),
        incarnation: Incarnation(1),
        deadline: Moment(0),
    };
    let mut job = OwnedJob::open(record(20), 1, false, limits, &[], &[claim]);
    job.hand_over();
    assert_eq!(job.leased(), 1);
    assert!(job.is_handed_over());
}

/// Nobody could record for an hour that a booking had run. Its side process
/// has forgotten it and says "never seen"; the booking must not run again.
#[test]
fn never_seen_is_not_believed_of_an_old_claim() {
    let limits = JobLimits::default();
    let attempt = AttemptId {
        request: RequestId(9),
        number: 1,
    };
    let claim = ClaimedItem {
        index: 0,
        attempt,
        worker: WorkerName::from("w"),
        incarnation: Incarnation(1),
        deadline: Moment(0),
    };
    let mut young = OwnedJob::open(record(20), 1, false, limits, &[], &[claim]);
    let mut old = young.clone();
    young.note_verdict(attempt, AttemptVerdict::NeverSeen, Moment(0));
    assert_eq!(young.waiting(), 20, "it surely did not run");
    let later = Moment(0) + Duration::from_hours(1);
    old.note_verdict(attempt, AttemptVerdict::NeverSeen, later);
    assert_eq!(old.waiting(), 19, "it may have run");
}
