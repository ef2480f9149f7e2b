//! Tests of job ownership while calls to the key-value service are queued.

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

/// Longer than any retry delay.
const LONGER_THAN_ANY_DELAY: Duration = Duration::from_secs(5);

type Task = Box<dyn FnOnce(&KvClient) + Send>;

/// The component and its call queue, which has a capacity of one.
struct Fixture {
    component: JobsComponent,
    queue: Receiver<Task>,
    clock: Clock,
}

impl Fixture {
    /// A component whose call queue is full.
    fn full() -> Self {
        let clock = Clock::manual_at(Moment(1_000_000));
        let (tx, queue) = bounded::<Task>(1);
        let handles = handles(KvPool::Threads(tx), &clock);
        assert!(handles.pool.run(|_| ()), "the queue takes one call");
        let mut component = JobsComponent::new(handles);
        let (name, run) = (
            component.handles.settings.name.clone(),
            component.handles.run,
        );
        component.index.note_entry(name, run);
        Self {
            component,
            queue,
            clock,
        }
    }

    /// A component whose call queue is empty.
    fn idle() -> Self {
        let fixture = Self::full();
        fixture.run_queued();
        fixture
    }

    /// Empties the call queue without running the calls. Returns whether there were
    /// any.
    fn run_queued(&self) -> bool {
        self.queue.try_iter().map(drop).count() > 0
    }

    /// Empties the full queue, then returns whether the component queues a call
    /// within its retry delay.
    fn retries_with_a_free_queue(&mut self) -> bool {
        assert!(self.run_queued(), "the queue held one call");
        for _ in 0..2 {
            self.clock.advance(LONGER_THAN_ANY_DELAY);
            self.component.tick();
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
    let kv = KvClient::with_transport(Box::new(send), kv_settings, run, clock.clone());
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

/// A daemon crashed while its successor's call queue was full. The take-over was not
/// queued and never retried, so the job never continued.
#[test]
fn a_take_over_that_could_not_be_queued_is_retried() {
    let mut fixture = Fixture::full();
    let jobs = vec![(record("dead"), 1)];
    fixture.component.on_message(JobsMessage::AllJobs(jobs));
    fixture.component.tick();
    fixture.clock.advance(LONGER_THAN_ANY_DELAY);
    fixture.component.tick();
    assert!(fixture.retries_with_a_free_queue());
}

/// The same fault for a job that was taken over but whose recorded state could not be
/// read because the queue was full.
#[test]
fn a_job_whose_opening_could_not_be_queued_is_opened_later() {
    let mut fixture = Fixture::full();
    let (id, result) = (JobId::from("job"), Some((Box::new(record("e")), 1)));
    let taken = JobsMessage::TakenOver { id, result };
    fixture.component.on_message(taken);
    assert!(fixture.retries_with_a_free_queue());
}

/// The daemon accepted a job after the list of all jobs was read but before the
/// list was processed. It dropped the job as missing from the list, and the later
/// watch event did not restore it. The job's record named a live daemon, so no
/// daemon took it over.
#[test]
fn a_job_that_its_owner_dropped_is_taken_over_again() {
    let mut fixture = Fixture::idle();
    let record = record("e");
    let value = store::job_value(&record);
    let accepted = JobsMessage::Accepted(Box::new(record.clone()), 5);
    fixture.component.on_message(accepted);
    fixture
        .component
        .on_message(JobsMessage::AllJobs(Vec::new()));
    let changed = WatchEvent::Put(KeyValue {
        key: job_key(&record.id),
        revision: 5,
        writer: String::new(),
        value,
    });
    fixture.component.on_message(JobsMessage::Changed(changed));
    fixture.run_queued();
    fixture.component.tick();
    fixture.clock.advance(LONGER_THAN_ANY_DELAY);
    fixture.component.tick();
    assert!(fixture.run_queued(), "no take-over was queued");
}

/// A daemon must not take over a job that it holds already: items leased to
/// workers would run twice.
#[test]
fn a_job_that_its_owner_holds_is_not_taken_over() {
    let mut fixture = Fixture::idle();
    let accepted = JobsMessage::Accepted(Box::new(record("e")), 5);
    fixture.component.on_message(accepted);
    assert!(fixture.run_queued(), "a read of the input chunk was queued");
    for _ in 0..3 {
        fixture.clock.advance(LONGER_THAN_ANY_DELAY);
        fixture.component.tick();
        assert!(!fixture.run_queued(), "no other call must be queued");
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
        deadline: Moment::DISTANT_FUTURE,
        resume: Arc::default(),
        trace: TraceContext::fresh(),
    }
}

/// Items of a job that was dropped while its claims were written are not handed
/// out.
#[test]
fn items_of_a_dropped_job_are_not_handed_out() {
    let mut fixture = Fixture::idle();
    let (tx, mut rx) = oneshot::channel();
    let dispatches = ClaimedDispatches {
        job: JobId::from("cancelled"),
        dispatches: vec![dispatch()],
    };
    let pull = PendingPull {
        answer: PullAnswer(tx),
        ready: vec![dispatch()],
        claimed: vec![dispatches],
    };
    fixture.component.on_message(JobsMessage::Claimed {
        pull: Box::new(pull),
        written: vec![JobWrite::Done],
    });
    assert_eq!(rx.try_recv().ok(), Some(Vec::new()));
}
