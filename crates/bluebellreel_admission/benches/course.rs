//! Cost of the side process's admission decisions: an online request from its arrival to its end.

use bluebellreel_admission::{Admission, AdmissionLimits, EngineEnd, Event, step};
use bluebellreel_types::{
    AttemptId, Class, Dispatch, EntryName, Incarnation, Moment, RequestId, TeamName, TraceContext,
    Work, WorkKind,
};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use std::sync::Arc;
use std::time::Duration;

const TOKENS: u64 = 8;

fn dispatch(number: u64, now: Moment) -> Dispatch {
    Dispatch {
        attempt: AttemptId {
            request: RequestId(number),
            number: 1,
        },
        side: Incarnation(1),
        class: Class::Online,
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
        deadline: now + Duration::from_secs(10),
        resume: Arc::from(""),
        trace: TraceContext::fresh(),
    }
}

fn arrive(side: &mut Admission, number: u64, now: Moment) -> usize {
    let entry = EntryName::from("e");
    let dispatch = Box::new(dispatch(number, now));
    step(side, Event::Arrived { entry, dispatch }, now).len()
}

/// Plays one request's arrival, tokens and end; returns the number of effects.
fn run_through(side: &mut Admission, number: u64, now: Moment) -> usize {
    let attempt = dispatch(number, now).attempt;
    let mut effects = arrive(side, number, now);
    for _ in 0..TOKENS {
        let text = Arc::from("word ");
        let tokens = 1;
        let event = Event::EngineText {
            attempt,
            text,
            tokens,
        };
        effects += step(side, event, now).len();
    }
    let (status, body) = (200, Arc::from([]));
    let end = EngineEnd::Completed { status, body };
    effects + step(side, Event::EngineEnded { attempt, end }, now).len()
}

fn online_request(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("online request of 8 tokens");
    for others in [0_u64, 30, 300] {
        let limits = AdmissionLimits {
            window: 512,
            queue_count: 512,
            ..AdmissionLimits::default()
        };
        let mut side = Admission::new(Incarnation(1), limits);
        let mut now = Moment(1_000_000);
        for number in 0..others {
            arrive(&mut side, number, now + Duration::from_hours(24));
        }
        let mut number = others;
        group.bench_function(BenchmarkId::from_parameter(others), |b| {
            b.iter(|| {
                number += 1;
                now = now + Duration::from_millis(20);
                run_through(&mut side, number, now)
            });
        });
    }
    group.finish();
}

criterion_group!(benches, online_request);
criterion_main!(benches);
