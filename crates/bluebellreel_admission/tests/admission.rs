//! What a side process admits to its engine.

use bluebellreel_admission::{Admission, AdmissionLimits, Effect, EngineEnd, Event, step};
use bluebellreel_types::{
    AttemptEnd, AttemptId, AttemptVerdict, BrokenReason, Class, Dispatch, EntryName, Incarnation,
    Moment, NotRunReason, RequestId, TeamName, TraceContext, Work, WorkKind,
};
use std::sync::Arc;
use std::time::Duration;

const NOW: Moment = Moment(1_000_000);

fn side(window: u32) -> Admission {
    let limits = AdmissionLimits {
        window,
        queue_count: 4,
        ..AdmissionLimits::default()
    };
    Admission::new(Incarnation(1), limits)
}

fn id(number: u64) -> AttemptId {
    AttemptId {
        request: RequestId(number),
        number: 1,
    }
}

fn dispatch(number: u64, class: Class) -> Dispatch {
    Dispatch {
        attempt: id(number),
        side: Incarnation(1),
        class,
        work: Arc::new(Work {
            kind: WorkKind::Chat,
            model: "m".into(),
            body: Arc::from(*b"{}"),
            tokens: 8,
            prefix: 0,
            repeatable: true,
            key: Arc::from(""),
            team: TeamName::from("school"),
        }),
        deadline: NOW + Duration::from_secs(10),
        resume: Arc::from(""),
        trace: TraceContext::fresh(),
    }
}

fn arrive(side: &mut Admission, dispatch: Dispatch) -> Vec<Effect> {
    let entry = EntryName::from("e");
    let dispatch = Box::new(dispatch);
    step(side, Event::Arrived { entry, dispatch }, NOW)
}

/// Applies an event whose effects do not matter to the test.
fn apply(side: &mut Admission, event: Event, now: Moment) {
    drop(step(side, event, now));
}

fn fill_with_batch(side: &mut Admission, count: u64) {
    let entry = EntryName::from("e");
    let waiting = 1_000;
    apply(
        side,
        Event::Offered {
            entry: entry.clone(),
            waiting,
        },
        NOW,
    );
    let items = (100..100 + count)
        .map(|number| dispatch(number, Class::Batch))
        .collect();
    apply(side, Event::Pulled { entry, items }, NOW);
}

fn not_run(effects: &[Effect]) -> Option<NotRunReason> {
    effects.iter().find_map(|effect| match effect {
        Effect::SendEnd {
            end: AttemptEnd::NotRun(reason),
            ..
        } => Some(*reason),
        _ => None,
    })
}

/// An online request arrives while batch items fill the window. It must go to the
/// engine in the same step in which one batch item is cancelled, namely the one
/// with the least progress.
#[test]
fn online_preempts_batch_at_once() {
    let mut side = side(4);
    fill_with_batch(&mut side, 4);
    let text = |number: u64, tokens| Event::EngineText {
        attempt: id(number),
        text: Arc::from("word "),
        tokens,
    };
    for (number, tokens) in [(100, 5), (101, 1), (102, 7), (103, 3)] {
        apply(&mut side, text(number, tokens), NOW);
    }
    let effects = arrive(&mut side, dispatch(1, Class::Online));
    let started = effects
        .iter()
        .any(|e| matches!(e, Effect::StartEngine(d) if d.attempt == id(1)));
    assert!(started, "{effects:?}");
    assert!(
        effects.contains(&Effect::CancelEngine(id(101))),
        "{effects:?}"
    );
    let end = EngineEnd::Broken;
    let attempt = id(101);
    let effects = step(&mut side, Event::EngineEnded { attempt, end }, NOW);
    let Some(Effect::Report { report, .. }) = effects.first() else {
        panic!("reported to its owner: {effects:?}");
    };
    let AttemptEnd::Broken { reason, partial } = &report.end else {
        panic!("{report:?}");
    };
    assert_eq!(*reason, BrokenReason::Preempted);
    assert_eq!(&**partial, "word ", "its progress is kept");
}

/// A batch item was preempted twice. Its answer must be the whole text, not only
/// what the last engine generated.
#[test]
fn resumed_item_answers_with_all_of_its_text() {
    let mut side = side(4);
    let entry = EntryName::from("e");
    let mut item = dispatch(100, Class::Batch);
    item.resume = Arc::from("one two ");
    let waiting = 1;
    apply(
        &mut side,
        Event::Offered {
            entry: entry.clone(),
            waiting,
        },
        NOW,
    );
    let items = vec![item];
    apply(&mut side, Event::Pulled { entry, items }, NOW);
    let attempt = id(100);
    let text = Arc::from("three ");
    let tokens = 1;
    apply(
        &mut side,
        Event::EngineText {
            attempt,
            text,
            tokens,
        },
        NOW,
    );
    let end = EngineEnd::Completed {
        status: 200,
        body: Arc::from([]),
    };
    let effects = step(&mut side, Event::EngineEnded { attempt, end }, NOW);
    let Some(Effect::Report { report, .. }) = effects.first() else {
        panic!("{effects:?}");
    };
    let AttemptEnd::Completed { body, .. } = &report.end else {
        panic!("{report:?}");
    };
    assert_eq!(&**body, b"one two three ");
}

/// An entry daemon cancels an attempt that has not arrived yet and gets the
/// verdict "never seen". The delayed attempt arrives later and must not run.
#[test]
fn attempt_cancelled_before_it_arrived_is_refused() {
    let mut side = side(4);
    let attempt = id(1);
    let effects = step(&mut side, Event::CancelAsked { attempt }, NOW);
    let verdict = AttemptVerdict::NeverSeen;
    assert_eq!(effects, [Effect::SendVerdict { attempt, verdict }]);
    let effects = arrive(&mut side, dispatch(1, Class::Online));
    assert_eq!(not_run(&effects), Some(NotRunReason::Cancelled));
    assert!(side.running.is_empty());
}

#[test]
fn duplicate_dispatch_runs_once() {
    let mut side = side(4);
    arrive(&mut side, dispatch(1, Class::Online));
    assert!(arrive(&mut side, dispatch(1, Class::Online)).is_empty());
    assert_eq!(side.running.len(), 1);
}

#[test]
fn dispatch_for_an_earlier_incarnation_is_refused() {
    let mut side = side(4);
    let mut stray = dispatch(1, Class::Online);
    stray.side = Incarnation(9);
    let effects = arrive(&mut side, stray);
    assert_eq!(not_run(&effects), Some(NotRunReason::StaleIncarnation));
}

#[test]
fn queue_is_bounded_and_refuses_at_once() {
    let mut side = side(1);
    for number in 0..5 {
        let effects = arrive(&mut side, dispatch(number, Class::Online));
        assert_eq!(not_run(&effects), None);
    }
    let effects = arrive(&mut side, dispatch(9, Class::Online));
    assert_eq!(not_run(&effects), Some(NotRunReason::Overloaded));
}

/// While a worker drains, admitted online requests finish, batch items return to
/// their owner, and no new work is accepted.
#[test]
fn drained_worker_finishes_online_and_returns_batch() {
    // Wide enough that batch has a share alongside online work.
    let mut side = side(32);
    arrive(&mut side, dispatch(1, Class::Online));
    fill_with_batch(&mut side, 2);
    let effects = step(&mut side, Event::DrainAsked, NOW);
    assert!(effects.contains(&Effect::CancelEngine(id(100))));
    assert!(effects.contains(&Effect::CancelEngine(id(101))));
    assert!(!effects.contains(&Effect::CancelEngine(id(1))));
    let effects = arrive(&mut side, dispatch(2, Class::Online));
    assert_eq!(not_run(&effects), Some(NotRunReason::Leaving));
    let entry = EntryName::from("e");
    let effects = step(&mut side, Event::Offered { entry, waiting: 5 }, NOW);
    assert!(effects.is_empty(), "{effects:?}");
}

/// Work whose deadline passes in the queue must not reach the engine.
#[test]
fn expired_work_is_dropped_before_it_is_sent() {
    let mut side = side(1);
    arrive(&mut side, dispatch(1, Class::Online));
    arrive(&mut side, dispatch(2, Class::Online));
    let later = NOW + Duration::from_secs(11);
    let effects = step(&mut side, Event::Ticked, later);
    assert_eq!(not_run(&effects), Some(NotRunReason::Expired));
}

/// The engine is unreachable. Batch items must not be pulled and returned in a
/// tight loop, so nothing is pulled during a pause.
#[test]
fn no_batch_is_pulled_while_the_engine_is_unreachable() {
    let mut side = side(4);
    fill_with_batch(&mut side, 1);
    let attempt = id(100);
    let end = EngineEnd::Unreachable;
    let effects = step(&mut side, Event::EngineEnded { attempt, end }, NOW);
    let pulls = |effects: &[Effect]| effects.iter().any(|e| matches!(e, Effect::Pull { .. }));
    assert!(!pulls(&effects), "{effects:?}");
    let entry = EntryName::from("e");
    let offer = Event::Offered { entry, waiting: 9 };
    assert!(!pulls(&step(&mut side, offer.clone(), NOW)));
    let later = NOW + Duration::from_secs(1);
    assert!(pulls(&step(&mut side, offer, later)));
}
