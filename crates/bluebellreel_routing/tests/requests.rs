//! The course of online requests.

use bluebellreel_routing::{Effect, Event, NewRequest, Outcome, Router, RouterLimits, step};
use bluebellreel_types::{
    AttemptEnd, AttemptId, AttemptVerdict, BrokenReason, DataCentre, Incarnation, LoadReport,
    Moment, NotRunReason, RequestId, SideHello, TeamName, TraceContext, Work, WorkKind, WorkerName,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::sync::Arc;
use std::time::Duration;

struct Bench {
    router: Router,
    rng: SmallRng,
    now: Moment,
}

impl Bench {
    fn new(workers: &[&str]) -> Self {
        let router = Router::new(RouterLimits::default(), DataCentre::from("Sligo"));
        let rng = SmallRng::seed_from_u64(7);
        let now = Moment(1_000_000);
        let mut bench = Self { router, rng, now };
        for worker in workers {
            bench.connect(worker, 1);
        }
        bench
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

    fn ask(&mut self, id: u64, repeatable: bool) -> Vec<Effect> {
        let deadline = self.now + Duration::from_secs(10);
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

/// A stream breaks; the second attempt goes on from the delivered text. Then
/// text of the first attempt arrives after all. The caller must not see it.
#[test]
fn late_text_of_an_earlier_attempt_reaches_nobody() {
    let mut bench = Bench::new(&["w1", "w2"]);
    let (worker, first, _) = sent(&bench.ask(1, true));
    let part = |attempt, text: &str| Event::PartArrived {
        attempt,
        text: Arc::from(text),
    };
    assert_eq!(bench.step(part(first, "one ")).len(), 1);
    let effects = bench.end(&worker, first, broken(BrokenReason::EngineLost));
    let (other, second, resume) = sent(&effects);
    assert_ne!(other, worker, "another worker is tried");
    assert_eq!(&*resume, "one ");
    assert!(bench.step(part(first, "stray ")).is_empty());
    assert_eq!(bench.step(part(second, "two ")).len(), 1);
    let late = AttemptEnd::Completed {
        status: 200,
        body: Arc::from([]),
        tokens: 1,
    };
    assert!(bench.end(&other, first, late).is_empty());
}

/// A slot confirmation is out when its worker's connection is lost. It must
/// not go to another worker, and the member must not hear "not run".
#[test]
fn unrepeatable_call_in_doubt_is_never_sent_again() {
    let mut bench = Bench::new(&["w1", "w2"]);
    let effects = bench.ask(1, false);
    let Effect::Claim(intent) = &effects[0] else {
        panic!("claimed before it is sent: {effects:?}");
    };
    let effects = bench.step(Event::ClaimRecorded(intent.attempt));
    let (worker, attempt, _) = sent(&effects);
    assert!(bench.step(Event::WorkerLost(worker.clone())).is_empty());
    bench.now = bench.now + Duration::from_secs(1);
    assert!(bench.step(Event::Ticked).is_empty(), "nobody can be asked");
    bench.connect(worker.as_str(), 1);
    bench.now = bench.now + Duration::from_secs(1);
    let asked = bench.step(Event::Ticked);
    assert_eq!(asked, [Effect::Cancel { worker, attempt }]);
    let verdict = AttemptVerdict::NeverSeen;
    let effects = bench.step(Event::VerdictArrived { attempt, verdict });
    assert!(matches!(outcome(&effects), Some(Outcome::NotRun { .. })));
}

/// The same, but the side process has restarted: nobody can tell any more.
#[test]
fn restarted_side_process_leaves_it_unknown() {
    let mut bench = Bench::new(&["w1"]);
    let effects = bench.ask(1, false);
    let Effect::Claim(intent) = &effects[0] else {
        panic!("claimed");
    };
    let (worker, ..) = sent(&bench.step(Event::ClaimRecorded(intent.attempt)));
    bench.step(Event::WorkerLost(worker.clone()));
    bench.connect(worker.as_str(), 2);
    bench.now = bench.now + Duration::from_secs(1);
    let effects = bench.step(Event::Ticked);
    assert_eq!(outcome(&effects), Some(&Outcome::Unknown));
}

/// Every worker fails every attempt: retries stay within their budget, so the
/// fault does not become a storm.
#[test]
fn failing_fleet_gets_few_retries() {
    let mut bench = Bench::new(&["w1", "w2", "w3", "w4"]);
    let mut sent_attempts = 0;
    for id in 0..2_000 {
        bench.now = bench.now + Duration::from_millis(100);
        let mut effects = bench.ask(id, true);
        while let Some(Effect::Dispatch { worker, dispatch }) = effects.first().cloned() {
            sent_attempts += 1;
            effects = bench.end(&worker, dispatch.attempt, broken(BrokenReason::Preempted));
        }
    }
    let retries = sent_attempts - 2_000;
    assert!(retries <= 2_000 / 10 + 64, "{retries} retries");
}

/// A worker leaves by its own notice; it gets nothing new from then on.
#[test]
fn leaving_worker_gets_nothing_new() {
    let mut bench = Bench::new(&["w1", "w2"]);
    let load = LoadReport {
        leaving: true,
        models: vec!["m".into()],
        ..LoadReport::default()
    };
    let worker = WorkerName::from("w1");
    bench.step(Event::LoadArrived { worker, load });
    for id in 0..50 {
        let (worker, ..) = sent(&bench.ask(id, true));
        assert_eq!(worker.as_str(), "w2");
    }
}

/// One team sends without end; another one's question still gets in.
#[test]
fn one_team_cannot_fill_the_daemon() {
    let mut bench = Bench::new(&["w1"]);
    let limit = bench.router.limits.team_requests;
    for id in 0..limit {
        sent(&bench.ask(id as u64, true));
    }
    let refused = bench.ask(9_999, true);
    let reason = NotRunReason::Overloaded;
    assert!(matches!(outcome(&refused), Some(Outcome::NotRun { reason: r, .. }) if *r == reason));
    let mut other = work(true);
    other.team = TeamName::from("member");
    let effects = bench.step(Event::Arrived(NewRequest {
        id: RequestId(10_000),
        work: Arc::new(other),
        deadline: bench.now + Duration::from_secs(1),
        trace: TraceContext::fresh(),
    }));
    sent(&effects);
}

/// All side processes were restarted one after another. For a moment every
/// worker was on its way back, set aside or at its probe's share, and people
/// were refused with "no worker serves this model" though all were connected.
#[test]
fn fleet_on_its_way_back_refuses_nobody() {
    let workers = ["w1", "w2", "w3"];
    let mut bench = Bench::new(&workers);
    for worker in workers {
        bench.step(Event::WorkerLost(worker.into()));
        bench.connect(worker, 2);
    }
    for id in 0..20 {
        let effects = bench.ask(id, true);
        assert!(outcome(&effects).is_none(), "{:?}", outcome(&effects));
        sent(&effects);
    }
}

/// A worker that fails is still passed over while another one is trusted.
#[test]
fn distrusted_worker_is_passed_over_while_another_is_trusted() {
    let mut bench = Bench::new(&["w1", "w2"]);
    bench.step(Event::WorkerLost("w1".into()));
    bench.connect("w1", 2);
    for id in 0..20 {
        let (worker, ..) = sent(&bench.ask(id, true));
        assert_eq!(worker, WorkerName::from("w2"));
    }
}
