//! Tests of writes to a job.

use super::*;
use bluebellreel_kv::KvSettings;
use bluebellreel_standins::KvCalls;
use bluebellreel_types::{Clock, TeamName};
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};

/// Total size of values that the key-value stand-in accepts.
const VALUE_BYTES: usize = 1 << 20;

struct Fixture {
    kv: KvClient,
    data: ChunkAccess,
    /// Whether calls are executed but their responses are lost.
    drops_answers: Arc<AtomicBool>,
    clock: Clock,
}

impl Fixture {
    fn new() -> Self {
        let clock = Clock::manual_at(Moment(1_000_000));
        let calls = Mutex::new(KvCalls::new(VALUE_BYTES));
        let drops_answers = Arc::new(AtomicBool::new(false));
        let (time, is_lost) = (clock.clone(), drops_answers.clone());
        let send = move |path: &str, body: &serde_json::Value| {
            let mut calls = calls.lock().expect("no test thread panicked");
            let answer = calls.call(path, body, time.now());
            if is_lost.load(Ordering::Relaxed) {
                return Err(KvError::Unknown("the answer is lost".into()));
            }
            answer.map_err(KvError::Refused)
        };
        let settings = KvSettings {
            url: String::new(),
            call_timeout: Duration::from_secs(1),
            calls_per_second: 1_000_000,
        };
        let kv = KvClient::with_transport(Box::new(send), settings, Incarnation(1), clock.clone());
        Self {
            kv,
            data: ChunkAccess::default(),
            drops_answers,
            clock,
        }
    }

    fn put(&self, record: &JobRecord) -> i64 {
        let txn = Txn::create(job_key(&record.id), job_value(record));
        match self.kv.commit(&txn, self.clock.now() + WRITE_TIMEOUT) {
            Commit::Applied { revision } => revision,
            other => panic!("{other:?}"),
        }
    }

    fn write(&self, record: &JobRecord, revision: i64, seq: u64) -> JobWrite {
        self.write_item(record, revision, seq, 0)
    }

    fn write_item(&self, record: &JobRecord, revision: i64, seq: u64, index: u32) -> JobWrite {
        let storage = JobStorage {
            kv: &self.kv,
            data: &self.data,
        };
        let result = ItemResult {
            index,
            custom_id: Arc::from("a"),
            end: ItemEnd::Succeeded {
                status: 200,
                body: Arc::from("answer"),
            },
        };
        record_results(storage, record, revision, seq, &[result])
    }
}

fn record() -> JobRecord {
    JobRecord {
        id: JobId::from("job"),
        team: TeamName::from("school"),
        digest: String::new(),
        upload: String::new(),
        target: bluebellreel_job::JobTarget::Chat("m".into()),
        accepted_at: Moment(0),
        deadline: Moment(0) + Duration::from_hours(1),
        items: 2,
        chunks: Vec::new(),
        state: JobState::Running,
        owner: EntryName::from("e"),
        owner_run: Incarnation(1),
        epoch: 1,
        counts: JobCounts::default(),
        ended_at: None,
    }
}

/// Results were written, but every response was lost until the write timed out.
/// The retry found the results and took them for another owner's, so the daemon
/// dropped its job, which never continued.
#[test]
fn results_whose_response_was_lost_are_found() {
    let fixture = Fixture::new();
    let record = record();
    let revision = fixture.put(&record);
    fixture.drops_answers.store(true, Ordering::Relaxed);
    assert_eq!(fixture.write(&record, revision, 0), JobWrite::Failed);
    fixture.drops_answers.store(false, Ordering::Relaxed);
    assert_eq!(fixture.write(&record, revision, 0), JobWrite::Done);
    assert_eq!(fixture.write(&record, revision, 1), JobWrite::Done);
}

/// Different results under the same sequence number are not a retry after a lost
/// response. If accepted as one, the later results would be lost.
#[test]
fn different_results_under_a_sequence_number_are_fenced() {
    let fixture = Fixture::new();
    let record = record();
    let revision = fixture.put(&record);
    let first = fixture.write_item(&record, revision, 0, 0);
    assert_eq!(first, JobWrite::Done);
    let other = fixture.write_item(&record, revision, 0, 1);
    assert_eq!(other, JobWrite::Fenced);
}

/// An owner whose job another daemon has taken over cannot write to it.
#[test]
fn a_former_owner_is_fenced() {
    let fixture = Fixture::new();
    let record = record();
    let revision = fixture.put(&record);
    let taken = take_over(
        &fixture.kv,
        &record,
        revision,
        EntryName::from("f"),
        Incarnation(2),
    );
    assert!(taken.is_some());
    assert_eq!(fixture.write(&record, revision, 0), JobWrite::Fenced);
}
