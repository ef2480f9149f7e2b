//! Jobs at a daemon whose calls to the key-value service queue up.

use super::*;
use crate::data::ChunkAccess;
use crate::jobs::messages::{ClaimedDispatches, JobWrite, PendingPull};
use crate::platform::KvPool;
use crate::platform::job_key;
use crate::readiness::Readiness;
use bluebellreel_job::{ChunkRef, JobCounts, JobState, JobTarget};
use bluebellreel_kv::{KeyValue, KvClient, KvError, KvSettings, WatchEvent};
use bluebellreel_rpc::PullAnswer;
use bluebellreel_settings::parse_entry;
use bluebellreel_telemetry::{EntryMetrics, Tracer};
use bluebellreel_types::{
    AttemptId, Clock, Dispatch, ModelName, RequestId, TeamName, Work, WorkKind,
};
use crossbeam_channel::{Receiver, bounded, unbounded};
use std::sync::Arc;
use tokio::sync::{mpsc::unbounded_channel, oneshot};

/// Longer than any pause before something is tried again.
const LONGER_THAN_ANY_DELAY: Duration = Duration::from_secs(5);

type Task = Box<dyn FnOnce(&KvClient) + Send>;

/// The part, and the queue of its calls, which takes one.
struct Fixture {
    part: JobsComponent,
    queue: Receiver<Task>,
    clock: Clock,
}

impl Fixture {
    /// A daemon whose queue is full.
    fn full() -> Self {
        let clock = Clock::standing_at(Moment(1_000_000));
        let (tx, queue) = bounded::<Task>(1);
        let handles = handles(KvPool::Threads(tx), &clock);
        assert!(handles.pool.run(|_| ()), "one fits");
        let mut part = JobsComponent::new(handles);
        let (name, run) = (part.handles.settings.name.clone(), part.handles.run);
        part.index.note_entry(name, run);
        Self { part, queue, clock }
    }

    /// A daemon with nothing queued.
    fn idle() -> Self {
        let fixture = Self::full();
        fixture.run_queued();
        fixture
    }

    /// The calls that were queued are made; whether there were any.
    fn run_queued(&self) -> bool {
        self.queue.try_iter().map(drop).count() > 0
    }

    /// There is room again; whether something is tried soon.
    fn tries_once_there_is_room(&mut self) -> bool {
        assert!(self.run_queued(), "the one that fitted");
        for _ in 0..2 {
            self.clock.advance(LONGER_THAN_ANY_DELAY);
            self.part.tick();
        }
        self.run_queued()
    }
}

fn handles(pool: KvPool, clock: &Clock) -> DaemonHandles {
    let settings = "name = \"e\"\ndata_centre = \"Sligo\"\nlisten = \"127.0.0.1:0\"\n\
         [platform]\nkv = \"http://127.0.0.1:1\"\nvm_list = \"http://127.0.0.1:1\"\n\
         [[teams]]\nname = \"school\"\ntoken_sha256 = \"HASH\"\n";
    let settings = settings.replace("HASH", &"0".repeat(64));
    let settings = parse_entry("test", &settings).expect("valid settings");
    let kv_settings = KvSettings {
        url: String::new(),
        call_timeout: Duration::from_secs(1),
        calls_per_second: 1_000,
    };
    let send = |_: &str, _: &serde_json::Value| Err(KvError::NotDone("no service".into()));
    let run = Incarnation(1);
    let kv = KvClient::over(Box::new(send), kv_settings, run, clock.clone());
    DaemonHandles {
        run,
        clock: clock.clone(),
        lease: Arc::default(),
        kv: Arc::new(kv),
        pool,
        rpc: unbounded_channel().0,
        tx: unbounded().0,
        tracer: Tracer::disabled(),
        metrics: Arc::new(EntryMetrics::default()),
        readiness: Readiness::default(),
        data: ChunkAccess::default(),
        settings: Arc::new(settings),
    }
}

fn record(owner: &str) -> JobRecord {
    JobRecord {
        id: JobId::from("job"),
        team: TeamName::from("school"),
        digest: String::new(),
        upload: String::new(),
        target: JobTarget::Chat("m".into()),
        accepted_at: Moment(0),
        deadline: Moment(0) + Duration::from_hours(1),
        items: 1,
        chunks: vec![ChunkRef {
            first: 0,
            items: 1,
            digest: String::new(),
            bytes: 0,
            volume: None,
        }],
        state: JobState::Running,
        owner: EntryName::from(owner),
        owner_run: Incarnation(1),
        epoch: 1,
        counts: JobCounts::default(),
        ended_at: None,
    }
}

/// A daemon died while too many calls waited at its successor. The take-over was not
/// queued and never tried again: the dead daemon's job lay for ever.
#[test]
fn a_take_over_that_found_no_room_is_tried_again() {
    let mut fixture = Fixture::full();
    let jobs = vec![(record("dead"), 1)];
    fixture.part.on_message(JobsMessage::AllJobs(jobs));
    fixture.part.tick();
    fixture.clock.advance(LONGER_THAN_ANY_DELAY);
    fixture.part.tick();
    assert!(fixture.tries_once_there_is_room());
}

/// The same for a job that is taken over and not read yet.
#[test]
fn a_job_that_found_no_room_to_be_opened_is_opened_later() {
    let mut fixture = Fixture::full();
    let (id, result) = (JobId::from("job"), Some((Box::new(record("e")), 1)));
    let taken = JobsMessage::TakenOver { id, result };
    fixture.part.on_message(taken);
    assert!(fixture.tries_once_there_is_room());
}

/// All jobs were listed, one was accepted, and then the list was handed in: the
/// daemon let go of the job, and the watch's word of it changed nothing. Its
/// record names a daemon that lives, so nobody took it over.
#[test]
fn a_job_that_its_owner_let_go_of_is_taken_over_anew() {
    let mut fixture = Fixture::idle();
    let record = record("e");
    let value = store::job_value(&record);
    let accepted = JobsMessage::Accepted(Box::new(record.clone()), 5);
    fixture.part.on_message(accepted);
    fixture.part.on_message(JobsMessage::AllJobs(Vec::new()));
    let changed = WatchEvent::Put(KeyValue {
        key: job_key(&record.id),
        revision: 5,
        writer: String::new(),
        value,
    });
    fixture.part.on_message(JobsMessage::Changed(changed));
    fixture.run_queued();
    fixture.part.tick();
    fixture.clock.advance(LONGER_THAN_ANY_DELAY);
    fixture.part.tick();
    assert!(fixture.run_queued(), "nobody tries");
}

/// The owner of a job that it holds does not take it from itself: what is out
/// with workers would run twice.
#[test]
fn a_job_that_its_owner_holds_stays_as_it_is() {
    let mut fixture = Fixture::idle();
    let accepted = JobsMessage::Accepted(Box::new(record("e")), 5);
    fixture.part.on_message(accepted);
    assert!(fixture.run_queued(), "its chunk is read");
    for _ in 0..3 {
        fixture.clock.advance(LONGER_THAN_ANY_DELAY);
        fixture.part.tick();
        assert!(!fixture.run_queued(), "nothing else is to be done");
    }
}

fn dispatch() -> Dispatch {
    let work = Work {
        kind: WorkKind::Chat,
        model: ModelName::from("m"),
        body: Arc::default(),
        tokens: 1,
        prefix: 0,
        repeatable: false,
        key: Arc::default(),
        team: TeamName::from("school"),
    };
    Dispatch {
        attempt: AttemptId {
            request: RequestId(7),
            number: 1,
        },
        side: Incarnation(2),
        class: Class::Batch,
        work: Arc::new(work),
        deadline: Moment::FAR,
        resume: Arc::default(),
        trace: TraceContext::fresh(),
    }
}

/// Guards that nothing is handed out of a job that was dropped while its claims were written.
#[test]
fn items_of_a_job_that_was_dropped_meanwhile_are_not_handed_out() {
    let mut fixture = Fixture::idle();
    let (tx, mut rx) = oneshot::channel();
    let part = ClaimedDispatches {
        job: JobId::from("cancelled"),
        dispatches: vec![dispatch()],
    };
    let pull = PendingPull {
        answer: PullAnswer(tx),
        ready: vec![dispatch()],
        claimed: vec![part],
    };
    fixture.part.on_message(JobsMessage::Claimed {
        pull: Box::new(pull),
        written: vec![JobWrite::Done],
    });
    assert_eq!(rx.try_recv().ok(), Some(Vec::new()));
}
