//! One run of a scenario: its clock, its event queue and its figures.

mod batch;
mod ends;
mod online;
mod sides;
mod worker_faults;

use crate::engine::{Engine, StepResult};
use crate::jobs::Jobs;
use crate::load::{Arrival, arrivals};
use crate::measure::{Latencies, Outcome, Sample};
use crate::{Mode, Scenario};
use bluebellreel_admission::{self as admission, Admission, AdmissionLimits};
use bluebellreel_routing::{self as routing, Router, RouterLimits};
use bluebellreel_types::{
    AttemptId, DataCentre, EntryName, Incarnation, ModelName, ModelVersion, Moment, RequestId,
    SideHello, WorkerName,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// Interval at which deadlines are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between a side process's load reports.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between two points of the plot.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);
/// Time after the scenario's end for which requests may still finish.
const DRAIN_TIME: Duration = Duration::from_secs(12);
/// A window so large that it never limits the attempts at an engine.
const UNLIMITED_WINDOW: u32 = 1 << 20;
/// Number of attempts up to which batch work fills an engine in first-come mode.
const FIRST_COME_DEPTH: usize = 96;

/// An event of the simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    Arrive(usize),
    StepDone(usize, u64),
    Tick,
    Report(usize),
    Sample,
    Submit(usize),
    EndReceived(usize),
    FaultBegins(usize),
    FaultEnds(usize),
    EngineRestarted(usize),
}

struct Side {
    admission: Admission,
    engine: Engine,
    steps: HashMap<u64, StepResult>,
}

/// A request from its caller's point of view.
struct Followed {
    arrival: usize,
    arrived_at: Moment,
    first_token_at: Option<Moment>,
    last_at: Option<Moment>,
    longest_gap: Duration,
    stream_broke: bool,
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    mode: Mode,
    now: Moment,
    queue: BinaryHeap<Reverse<(Moment, u64, SimEvent)>>,
    next_event: u64,
    next_step: u64,
    next_request: u64,
    rng: SmallRng,
    router: Router,
    jobs: Jobs,
    sides: Vec<Side>,
    arrivals: Vec<Arrival>,
    followed: HashMap<RequestId, Followed>,
    prompts: HashMap<RequestId, u32>,
    cancelled_at: HashMap<AttemptId, Moment>,
    first_token: Latencies,
    inter_token: Latencies,
    broken_gap: Latencies,
    preemption: Latencies,
    recent: Latencies,
    batch_tokens: u64,
    batch_wasted: u64,
    batch_at_sample: u64,
    online_tokens: u64,
    outcome: Outcome,
    models: BTreeSet<ModelName>,
}

/// Runs a scenario in a mode.
#[must_use]
pub fn simulate(scenario: &Scenario, mode: Mode) -> Outcome {
    bluebellreel_types::seed_ids(scenario.seed);
    let mut simulation = Simulation::new(scenario, mode);
    simulation.prepare();
    simulation.run();
    simulation.finish()
}

fn worker_name(index: usize) -> WorkerName {
    WorkerName::from(format!("w{index:04}"))
}

fn worker_index(name: &WorkerName) -> usize {
    name.as_str()[1..]
        .parse()
        .expect("a worker name of this simulation")
}

fn entry() -> EntryName {
    EntryName::from("e")
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario, mode: Mode) -> Self {
        let limits = AdmissionLimits {
            window: scenario.window,
            priority: scenario.priority,
            inter_token_target: scenario.inter_token,
            ..AdmissionLimits::default()
        };
        let limits = match mode {
            Mode::FirstCome => AdmissionLimits {
                window: UNLIMITED_WINDOW,
                ..limits
            },
            _ => limits,
        };
        let router_limits = RouterLimits {
            online_per_worker: scenario.online_per_worker,
            ..RouterLimits::default()
        };
        let side = |index: usize| Side {
            admission: Admission::new(Incarnation(index as u64 + 1), limits.clone()),
            engine: Engine::new(scenario.costs),
            steps: HashMap::new(),
        };
        Self {
            scenario,
            mode,
            now: Moment(0),
            queue: BinaryHeap::new(),
            next_event: 0,
            next_step: 0,
            next_request: 1 << 40,
            rng: SmallRng::seed_from_u64(scenario.seed),
            router: Router::new(router_limits, DataCentre::from("Sligo")),
            jobs: Jobs::new(scenario),
            sides: (0..scenario.workers).map(side).collect(),
            arrivals: Vec::new(),
            followed: HashMap::new(),
            prompts: HashMap::new(),
            cancelled_at: HashMap::new(),
            first_token: Latencies::new(),
            inter_token: Latencies::new(),
            broken_gap: Latencies::new(),
            preemption: Latencies::new(),
            recent: Latencies::new(),
            batch_tokens: 0,
            batch_wasted: 0,
            batch_at_sample: 0,
            online_tokens: 0,
            outcome: Outcome {
                mode: mode.name(),
                ..Outcome::default()
            },
            models: BTreeSet::from([ModelName::from("m")]),
        }
    }

    fn schedule(&mut self, at: Moment, event: SimEvent) {
        self.next_event += 1;
        self.queue.push(Reverse((at, self.next_event, event)));
    }

    fn prepare(&mut self) {
        for index in 0..self.sides.len() {
            let incarnation = self.sides[index].admission.incarnation;
            let loaded = vec![ModelVersion {
                name: "m".into(),
                version: Arc::from("1"),
            }];
            self.admit(index, admission::Event::ModelsChanged(loaded));
            self.route(routing::Event::WorkerConnected(SideHello {
                worker: worker_name(index),
                incarnation,
                data_centre: DataCentre::from("Sligo"),
                models: vec!["m".into()],
            }));
            // The side processes' reports are spread over time.
            let offset = LOAD_REPORT_INTERVAL * u32::try_from(index).unwrap_or(0) / 16;
            self.schedule(Moment(0) + offset, SimEvent::Report(index));
        }
        if self.mode != Mode::BatchAlone {
            self.arrivals = arrivals(self.scenario);
            for index in 0..self.arrivals.len() {
                self.schedule(self.arrivals[index].at, SimEvent::Arrive(index));
            }
            self.outcome.online.arrived = self.arrivals.len() as u64;
        }
        if self.mode != Mode::NoBatch {
            for (index, team) in self.scenario.teams.iter().enumerate() {
                let at = Moment(0) + Duration::from_secs_f64(team.at);
                self.schedule(at, SimEvent::Submit(index));
                if let Some(received_at) = team.end_received_at() {
                    self.schedule(received_at, SimEvent::EndReceived(index));
                }
            }
        }
        for (index, fault) in self.scenario.worker_faults.iter().enumerate() {
            let at = Moment(0) + Duration::from_secs_f64(fault.at);
            let end = at + Duration::from_secs_f64(fault.seconds);
            self.schedule(at, SimEvent::FaultBegins(index));
            self.schedule(end, SimEvent::FaultEnds(index));
        }
        self.schedule(Moment(0), SimEvent::Tick);
        self.schedule(Moment(0) + SAMPLE_INTERVAL, SimEvent::Sample);
    }

    fn run(&mut self) {
        let end = Moment(0) + self.scenario.length + DRAIN_TIME;
        while let Some(Reverse((at, _, event))) = self.queue.pop() {
            if end.is_past(at) {
                return;
            }
            self.now = at;
            self.handle(event);
        }
    }

    /// Whether the simulated time is within the scenario, and not after its end.
    fn is_measuring(&self) -> bool {
        !(Moment(0) + self.scenario.length).is_past(self.now)
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrive(index) => self.arrive(index),
            SimEvent::StepDone(side, step) => self.step_done(side, step),
            SimEvent::Tick => {
                self.route(routing::Event::Ticked);
                for index in 0..self.sides.len() {
                    self.admit(index, admission::Event::Ticked);
                }
                self.jobs.poll(self.now);
                self.offer_batch();
                self.schedule(self.now + TICK_INTERVAL, SimEvent::Tick);
            }
            SimEvent::Report(index) => {
                let load = self.sides[index].admission.load(self.now);
                let bytes = self.sides[index].admission.queue.bytes();
                self.outcome.most_queued_bytes = self.outcome.most_queued_bytes.max(bytes);
                let worker = worker_name(index);
                if !self.sides[index].engine.dead {
                    self.route(routing::Event::LoadArrived { worker, load });
                }
                self.schedule(self.now + LOAD_REPORT_INTERVAL, SimEvent::Report(index));
            }
            SimEvent::Sample => self.sample(),
            SimEvent::Submit(index) => {
                let team = self.scenario.teams[index].clone();
                self.jobs.submit(&team, self.now);
                self.jobs.poll(self.now);
                self.offer_batch();
            }
            SimEvent::FaultBegins(index) => self.begin_fault(index),
            SimEvent::FaultEnds(index) => self.end_fault(index),
            SimEvent::EndReceived(index) => self.receive_job_end(index),
            SimEvent::EngineRestarted(index) => self.sides[index].engine.dead = false,
        }
    }

    fn sample(&mut self) {
        let seconds = SAMPLE_INTERVAL.as_secs_f64();
        let tokens = self.batch_tokens - self.batch_at_sample;
        self.batch_at_sample = self.batch_tokens;
        let figures = self.recent.figures();
        self.recent = Latencies::new();
        if self.is_measuring() {
            self.outcome.samples.push(Sample {
                at: self.now.since(Moment(0)).as_secs_f64(),
                first_token_ms: figures.p95_ms,
                batch_tokens: to_f64(tokens) / seconds,
            });
        }
        self.schedule(self.now + SAMPLE_INTERVAL, SimEvent::Sample);
    }

    fn finish(mut self) -> Outcome {
        let seconds = self.scenario.length.as_secs_f64();
        let online = &mut self.outcome.online;
        online.first_token = self.first_token.figures();
        online.inter_token = self.inter_token.figures();
        online.broken_gap = self.broken_gap.figures();
        online.preemption = self.preemption.figures();
        let batch = &mut self.outcome.batch;
        batch.items = self.jobs.recorded;
        batch.failed = self.jobs.failed;
        let useful = self.batch_tokens.saturating_sub(self.batch_wasted);
        batch.tokens_per_second = to_f64(useful) / seconds;
        let mean = f64::from(self.scenario.batch_tokens[0] + self.scenario.batch_tokens[1]) / 2.0;
        batch.items_per_second = batch.tokens_per_second / mean;
        let all = to_f64(self.batch_tokens.max(1));
        batch.wasted_percent = to_f64(self.batch_wasted) * 100.0 / all;
        self.outcome.online_tokens_per_second = to_f64(self.online_tokens) / seconds;
        self.outcome
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts of a run are far below 2^52"
)]
pub(crate) fn to_f64(count: u64) -> f64 {
    count as f64
}
