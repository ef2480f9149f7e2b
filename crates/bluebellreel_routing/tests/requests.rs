//! Processing of online requests.

use bluebellreel_routing::{Effect, Event, NewRequest, Outcome, Router, RouterLimits, step};
use bluebellreel_types::{
    AttemptEnd, AttemptId, AttemptVerdict, BrokenReason, DataCentre, Incarnation, LoadReport,
    Moment, NotRunReason, RequestId, SideHello, TeamName, TraceContext, Work, WorkKind, WorkerName,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::sync::Arc;
use std::time::Duration;

struct Harness {
    router: Router,
    rng: SmallRng,
    now: Moment,
}

impl Harness {
    fn new(workers: &[&str]) -> Self {
        let router = Router::new(RouterLimits::default(), DataCentre::from("Sligo"));
        let rng = SmallRng::seed_from_u64(7);
        let now = Moment(1_000_000);
        let mut harness = Self { router, rng, now };
        for worker in workers {
            harness.connect(worker, 1);
        }
        harness
    }

    fn step(&mut self, event: Event) -> Vec<Effect> {
        step(&mut self.router, event, self.now, &mut self.rng)
    }

    fn connect(&mut self, worker: &str, run: u64) {
        self.step(Event::WorkerConnected(SideHello {
            worker: worker.into(),
            incarnation: Incarnation(run),
            data_centre: "Sligo".into(),
            models: vec!["m".into()],
        }));
    }

    fn submit(&mut self, id: u64, repeatable: bool) -> Vec<Effect> {
        self.submit_until(id, repeatable, self.now + Duration::from_secs(10))
    }

    fn submit_until(&mut self, id: u64, repeatable: bool, deadline: Moment) -> Vec<Effect> {
        self.step(Event::Arrived(NewRequest {
            id: RequestId(id),
            work: Arc::new(work(repeatable)),
            deadline,
            trace: TraceContext::fresh(),
        }))
    }

    fn end(&mut self, worker: &WorkerName, attempt: AttemptId, end: AttemptEnd) -> Vec<Effect> {
        let worker = worker.clone();
        let load = None;
        self.step(Event::AttemptEnded {
            worker,
            attempt,
            end,
            load,
        })
    }
}

fn work(repeatable: bool) -> Work {
    Work {
        kind: WorkKind::Chat,
        model: "m".into(),
        body: Arc::from(*b"{}"),
        tokens: 8,
        prefix: 3,
        repeatable,
        key: Arc::from(""),
        team: TeamName::from("school"),
    }
}

fn sent(effects: &[Effect]) -> (WorkerName, AttemptId, Arc<str>) {
    effects
        .iter()
        .find_map(|effect| match effect {
            Effect::Dispatch { worker, dispatch } => {
                Some((worker.clone(), dispatch.attempt, dispatch.resume.clone()))
            }
            _ => None,
        })
        .expect("an attempt is sent")
}

fn outcome(effects: &[Effect]) -> Option<&Outcome> {
    effects.iter().find_map(|effect| match effect {
        Effect::Finish { outcome, .. } | Effect::RecordOutcome { outcome, .. } => Some(outcome),
        _ => None,
    })
}

fn broken(reason: BrokenReason) -> AttemptEnd {
    AttemptEnd::Broken {
        reason,
        partial: Arc::from(""),
    }
}

/// Guards against requests that the end of the daemon cuts off.
#[test]
fn request_that_could_outlast_the_daemon_is_refused() {
    let mut harness = Harness::new(&["w1"]);
    let end = harness.now + Duration::from_secs(5);
    harness.router.ends_at = Some(end);
    let effects = harness.submit_until(1, true, end + Duration::from_millis(1));
    let leaving = |o: &Outcome| {
        matches!(
            o,
            Outcome::NotRun {
                reason: NotRunReason::Leaving,
                ..
            }
        )
    };
    assert!(outcome(&effects).is_some_and(leaving), "{effects:?}");
    sent(&harness.submit_until(2, true, end));
}

/// A stream is interrupted and the second attempt resumes after the delivered text. Text
/// of the first attempt that arrives later must not reach the caller.
#[test]
fn late_text_of_an_earlier_attempt_is_dropped() {
    let mut harness = Harness::new(&["w1", "w2"]);
    let (worker, first, _) = sent(&harness.submit(1, true));
    let part = |attempt, text: &str| Event::PartArrived {
        attempt,
        text: Arc::from(text),
    };
    assert_eq!(harness.step(part(first, "one ")).len(), 1);
    let effects = harness.end(&worker, first, broken(BrokenReason::EngineLost));
    let (other, second, resume) = sent(&effects);
    assert_ne!(other, worker, "another worker is tried");
    assert_eq!(&*resume, "one ");
    assert!(harness.step(part(first, "stray ")).is_empty());
    assert_eq!(harness.step(part(second, "two ")).len(), 1);
    let late = AttemptEnd::Completed {
        status: 200,
        body: Arc::from([]),
        tokens: 1,
    };
    assert!(harness.end(&other, first, late).is_empty());
}

/// The connection to a worker is lost while a slot confirmation, a call that is not
/// repeatable, is in flight. The call must not be sent to another worker, and must not
/// be reported as "not run" before the side process has confirmed that.
#[test]
fn unrepeatable_call_in_doubt_is_never_sent_again() {
    let mut harness = Harness::new(&["w1", "w2"]);
    let effects = harness.submit(1, false);
    let Effect::Claim(intent) = &effects[0] else {
        panic!("claimed before it is sent: {effects:?}");
    };
    let effects = harness.step(Event::ClaimRecorded(intent.attempt));
    let (worker, attempt, _) = sent(&effects);
    assert!(harness.step(Event::WorkerLost(worker.clone())).is_empty());
    harness.now = harness.now + Duration::from_secs(1);
    assert!(
        harness.step(Event::Ticked).is_empty(),
        "no side process can be queried"
    );
    harness.connect(worker.as_str(), 1);
    harness.now = harness.now + Duration::from_secs(1);
    let asked = harness.step(Event::Ticked);
    assert_eq!(asked, [Effect::Cancel { worker, attempt }]);
    let verdict = AttemptVerdict::NeverSeen;
    let effects = harness.step(Event::VerdictArrived { attempt, verdict });
    assert!(matches!(outcome(&effects), Some(Outcome::NotRun { .. })));
}

/// The side process has restarted, so that it is not known whether the call ran.
#[test]
fn restarted_side_process_makes_the_outcome_unknown() {
    let mut harness = Harness::new(&["w1"]);
    let effects = harness.submit(1, false);
    let Effect::Claim(intent) = &effects[0] else {
        panic!("claimed");
    };
    let (worker, ..) = sent(&harness.step(Event::ClaimRecorded(intent.attempt)));
    harness.step(Event::WorkerLost(worker.clone()));
    harness.connect(worker.as_str(), 2);
    harness.now = harness.now + Duration::from_secs(1);
    let effects = harness.step(Event::Ticked);
    assert_eq!(outcome(&effects), Some(&Outcome::Unknown));
}

/// Every attempt fails at every worker: retries must stay within their budget, so that
/// the fault does not become a retry storm.
#[test]
fn failing_fleet_gets_few_retries() {
    let mut harness = Harness::new(&["w1", "w2", "w3", "w4"]);
    let mut sent_attempts = 0;
    for id in 0..2_000 {
        harness.now = harness.now + Duration::from_millis(100);
        let mut effects = harness.submit(id, true);
        while let Some(Effect::Dispatch { worker, dispatch }) = effects.first().cloned() {
            sent_attempts += 1;
            effects = harness.end(&worker, dispatch.attempt, broken(BrokenReason::Preempted));
        }
    }
    let retries = sent_attempts - 2_000;
    assert!(retries <= 2_000 / 10 + 64, "{retries} retries");
}

/// A worker that reports that it is leaving gets nothing new.
#[test]
fn leaving_worker_gets_nothing_new() {
    let mut harness = Harness::new(&["w1", "w2"]);
    let load = LoadReport {
        leaving: true,
        models: vec!["m".into()],
        ..LoadReport::default()
    };
    let worker = WorkerName::from("w1");
    harness.step(Event::LoadArrived { worker, load });
    for id in 0..50 {
        let (worker, ..) = sent(&harness.submit(id, true));
        assert_eq!(worker.as_str(), "w2");
    }
}

/// While one team sends requests without limit, the request of another team must be
/// accepted.
#[test]
fn one_team_cannot_fill_the_daemon() {
    let mut harness = Harness::new(&["w1"]);
    let limit = harness.router.limits.team_requests;
    for id in 0..limit {
        sent(&harness.submit(id as u64, true));
    }
    let refused = harness.submit(9_999, true);
    let reason = NotRunReason::Overloaded;
    assert!(matches!(outcome(&refused), Some(Outcome::NotRun { reason: r, .. }) if *r == reason));
    let mut other = work(true);
    other.team = TeamName::from("member");
    let effects = harness.step(Event::Arrived(NewRequest {
        id: RequestId(10_000),
        work: Arc::new(other),
        deadline: harness.now + Duration::from_secs(1),
        trace: TraceContext::fresh(),
    }));
    sent(&effects);
}

/// All side processes were restarted one after another. For a moment every worker was
/// recovering, either ejected or limited to a probe, and requests were refused with "no
/// worker serves this model" though all workers were connected.
#[test]
fn recovering_fleet_refuses_no_request() {
    let workers = ["w1", "w2", "w3"];
    let mut harness = Harness::new(&workers);
    for worker in workers {
        harness.step(Event::WorkerLost(worker.into()));
        harness.connect(worker, 2);
    }
    for id in 0..20 {
        let effects = harness.submit(id, true);
        assert!(outcome(&effects).is_none(), "{:?}", outcome(&effects));
        sent(&effects);
    }
}

/// An ejected worker is skipped while another one is healthy.
#[test]
fn ejected_worker_is_skipped_while_another_is_healthy() {
    let mut harness = Harness::new(&["w1", "w2"]);
    harness.step(Event::WorkerLost("w1".into()));
    harness.connect("w1", 2);
    for id in 0..20 {
        let (worker, ..) = sent(&harness.submit(id, true));
        assert_eq!(worker, WorkerName::from("w2"));
    }
}
