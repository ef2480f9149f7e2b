//! An owned job under random sequences of events.

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

/// Drives a job and collects the results that it records.
struct Harness {
    job: OwnedJob,
    now: Moment,
    recorded: BTreeMap<u32, ItemEnd>,
    duplicated: bool,
    closed: Option<(JobState, JobCounts)>,
    leased_items: Vec<(WorkerName, ItemLease)>,
}

impl Harness {
    fn new(items: u32, limits: JobLimits) -> Self {
        let job = OwnedJob::open(record(items), 1, true, limits, &[], &[]);
        Self {
            job,
            now: Moment(1_000_000),
            recorded: BTreeMap::new(),
            duplicated: false,
            closed: None,
            leased_items: Vec::new(),
        }
    }

    fn poll(&mut self, write_succeeds: bool) {
        for effect in self.job.poll(self.now) {
            match effect {
                JobEffect::LoadChunk(chunk) => {
                    let chunk_ref = self.job.record.chunks[chunk as usize].clone();
                    let bytes = chunk_bytes(chunk_ref.first, chunk_ref.items);
                    self.job.note_chunk(chunk, &bytes).expect("as accepted");
                }
                JobEffect::Record { seq, results } if write_succeeds => {
                    for result in results.iter() {
                        let before = self.recorded.insert(result.index, result.end.clone());
                        self.duplicated |= before.is_some();
                    }
                    self.job.note_recorded(seq, self.now);
                }
                JobEffect::Record { .. } => self.job.note_record_failed(self.now),
                JobEffect::Close { state, counts } => self.closed = Some((state, counts)),
                JobEffect::Withdraw { attempts, .. } => {
                    self.leased_items
                        .retain(|(_, l)| !attempts.contains(&l.attempt));
                }
                JobEffect::QueryAttempt { .. } => {}
            }
        }
    }

    /// Sequence numbers of the writes that are due; none of them completes.
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
        let leases = self
            .job
            .lease_items(room, &worker, Incarnation(1), held, self.now);
        self.leased_items
            .extend(leases.into_iter().map(|l| (worker.clone(), l)));
    }

    fn end_all(&mut self, end: impl Fn(&ItemLease) -> AttemptEnd) {
        for (_, lease) in std::mem::take(&mut self.leased_items) {
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

/// One step of a random sequence of events.
#[derive(Clone, Debug)]
enum Step {
    Pull(u8, usize),
    Complete(usize),
    Crash(usize),
    Preempt(usize),
    Refuse(usize),
    Duplicate(usize),
    WorkerLost(u8),
    Poll(bool),
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0_u8..3, 1_usize..9).prop_map(|(w, room)| Step::Pull(w, room)),
        4 => any::<usize>().prop_map(Step::Complete),
        1 => any::<usize>().prop_map(Step::Crash),
        1 => any::<usize>().prop_map(Step::Preempt),
        1 => any::<usize>().prop_map(Step::Refuse),
        1 => any::<usize>().prop_map(Step::Duplicate),
        1 => (0_u8..3).prop_map(Step::WorkerLost),
        4 => any::<bool>().prop_map(Step::Poll),
        1 => (0_u64..40).prop_map(Step::Wait),
    ];
    proptest::collection::vec(step, 0..120)
}

impl Harness {
    fn take_leased(&mut self, pick: usize) -> Option<(WorkerName, ItemLease)> {
        if self.leased_items.is_empty() {
            return None;
        }
        let index = pick % self.leased_items.len();
        Some(self.leased_items.remove(index))
    }

    fn end_one(&mut self, pick: usize, end: AttemptEnd) {
        if let Some((_, lease)) = self.take_leased(pick) {
            self.job.report(lease.attempt, end, self.now);
        }
    }

    fn run(&mut self, step: &Step) {
        match step {
            Step::Pull(worker, room) => self.pull(&format!("w{worker}"), *room),
            Step::Complete(pick) => self.end_one(*pick, completed()),
            Step::Crash(pick) => self.end_one(*pick, lost()),
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
            Step::Duplicate(pick) => {
                if let Some((_, lease)) = self.take_leased(*pick) {
                    self.job.report(lease.attempt, completed(), self.now);
                    self.job.report(lease.attempt, completed(), self.now);
                    let other = AttemptId {
                        number: lease.attempt.number + 1,
                        ..lease.attempt
                    };
                    self.job.report(other, lost(), self.now);
                }
            }
            Step::WorkerLost(worker) => {
                let worker = WorkerName::from(format!("w{worker}"));
                self.job.lose_worker(&worker, self.now);
                self.leased_items.retain(|(at, _)| *at != worker);
            }
            Step::Poll(succeeds) => self.poll(*succeeds),
            Step::Wait(seconds) => self.now = self.now + Duration::from_secs(*seconds),
        }
    }
}

/// Workers are lost, preempt items and report twice; writes fail; time passes. In
/// the end each item must have exactly one result, and the counts must agree.
#[test]
fn every_item_ends_once_under_random_events() {
    let config = Config {
        cases: 300,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..Config::default()
    };
    let outcome = TestRunner::new(config).run(&(1_u32..45, steps()), |(items, steps)| {
        let mut harness = Harness::new(items, JobLimits::default());
        for step in &steps {
            harness.run(step);
        }
        for _ in 0..2_000 {
            if harness.closed.is_some() {
                break;
            }
            harness.now = harness.now + Duration::from_millis(600);
            harness.poll(true);
            harness.pull("w9", 8);
            harness.end_all(|_| completed());
        }
        let (state, counts) = harness.closed.expect("the job ends");
        prop_assert!(!harness.duplicated, "an item was recorded twice");
        prop_assert_eq!(state, JobState::Complete);
        prop_assert_eq!(harness.recorded.len(), items as usize);
        prop_assert_eq!(counts.succeeded + counts.failed, items);
        Ok(())
    });
    if let Err(failure) = outcome {
        panic!("{failure}");
    }
}

/// One item crashes its worker at every attempt. Other items on that worker must
/// not fail with it: after two crashes, each suspect item is leased alone, and
/// only the poisoned one is recorded as failed, with its reason.
#[test]
fn poisoned_item_fails_alone() {
    let mut harness = Harness::new(20, JobLimits::default());
    let is_poisoned = |lease: &ItemLease| &*lease.work.body == poisoned_body().as_slice();
    for _ in 0..200 {
        harness.now = harness.now + Duration::from_millis(100);
        harness.poll(true);
        harness.pull("w", 8);
        let poisoned = harness
            .leased_items
            .iter()
            .any(|(_, lease)| is_poisoned(lease));
        harness.end_all(|_| if poisoned { lost() } else { completed() });
    }
    harness.now = harness.now + Duration::from_secs(10);
    harness.poll(true);
    let failed: Vec<u32> = harness
        .recorded
        .iter()
        .filter(|(_, end)| matches!(end, ItemEnd::Failed { .. }))
        .map(|(index, _)| *index)
        .collect();
    assert_eq!(harness.recorded.len(), 20);
    assert_eq!(failed, [7]);
}

fn poisoned_body() -> Vec<u8> {
    br#"{"model":"m","messages":[{"role":"user","content":"7"}]}"#.to_vec()
}

/// A job of 64,000 items must keep only a few input chunks in memory at any time.
#[test]
fn large_job_holds_few_chunks() {
    let limits = JobLimits::default();
    let mut harness = Harness::new(64_000, limits.clone());
    let mut max_chunks = 0;
    while harness.closed.is_none() {
        harness.now = harness.now + Duration::from_millis(10);
        harness.poll(true);
        harness.pull("w", 64);
        max_chunks = max_chunks.max(harness.job.chunks_held());
        harness.end_all(|_| completed());
    }
    assert!(max_chunks <= limits.chunks, "{max_chunks} chunks held");
    assert_eq!(harness.recorded.len(), 64_000);
}

/// An owner that takes over a job must not run items whose results are recorded.
#[test]
fn new_owner_runs_only_what_is_not_recorded() {
    let recorded: Vec<(u32, bool)> = (0..15).map(|index| (index, true)).collect();
    let limits = JobLimits::default();
    let mut harness = Harness::new(20, limits.clone());
    harness.job = OwnedJob::open(record(20), 1, true, limits, &recorded, &[]);
    for _ in 0..5 {
        harness.poll(true);
        harness.pull("w", 64);
    }
    assert_eq!(harness.leased_items.len(), 5, "five items are left");
}

/// A stopping daemon waited idle for five seconds, since the last results of its
/// job waited for a group that could no longer fill. Once the last leased item has
/// been returned, they must be recorded at once.
#[test]
fn handover_records_a_partial_group_at_once() {
    let mut harness = Harness::new(20, JobLimits::default());
    harness.poll(true);
    harness.pull("w", 2);
    harness.end_one(0, completed());
    harness.poll(true);
    assert!(harness.recorded.is_empty(), "the group is not full");
    harness.job.hand_over();
    harness.poll(true);
    assert!(harness.recorded.is_empty(), "an item is still leased");
    assert!(!harness.job.is_handed_over());
    harness.end_one(0, completed());
    harness.poll(true);
    assert_eq!(harness.recorded.len(), 2);
    assert!(harness.job.is_handed_over());
}

/// A write took seconds because a disk was lost, while more items ended. The same
/// write was then sent a second time. The later of the two was taken for a write
/// of another owner, so the daemon dropped its job, which then never ended.
#[test]
fn slow_result_write_is_not_sent_twice() {
    let limits = JobLimits {
        group_items: 2,
        ..JobLimits::default()
    };
    let mut harness = Harness::new(20, limits.clone());
    harness.poll(true);
    harness.pull("w", 5);
    harness.end_one(0, completed());
    harness.end_one(0, completed());
    assert_eq!(harness.writes(), [0], "a group is full");
    harness.end_one(0, completed());
    harness.now = harness.now + limits.group_wait * 2;
    assert_eq!(
        harness.writes(),
        [0; 0],
        "the first write is still in progress"
    );
    harness.job.note_recorded(0, harness.now);
    harness.now = harness.now + limits.group_wait * 2;
    assert_eq!(harness.writes(), [1], "the remaining result is written");
}

/// A side process was lost while it ran a call that may not be repeated. The daemon
/// that sent the call must still be able to stop: the claim is recorded, and the
/// next owner resolves it.
#[test]
fn call_in_doubt_does_not_block_handover() {
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

/// For an hour the outcome of a booking could not be recorded. Meanwhile its side
/// process evicted it and answers "never seen". The booking must not run again.
#[test]
fn never_seen_is_not_accepted_for_an_old_claim() {
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
    let mut recent = OwnedJob::open(record(20), 1, false, limits, &[], &[claim]);
    let mut old = recent.clone();
    recent.note_verdict(attempt, AttemptVerdict::NeverSeen, Moment(0));
    assert_eq!(recent.waiting(), 20, "it did not run");
    let later = Moment(0) + Duration::from_hours(1);
    old.note_verdict(attempt, AttemptVerdict::NeverSeen, later);
    assert_eq!(old.waiting(), 19, "it may have run");
}
