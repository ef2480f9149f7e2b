//! Scenarios of the experiment tool.

use bluebellreel_admission::Priority;
use bluebellreel_standins::EngineCosts;
use bluebellreel_types::Moment;
use serde::Deserialize;
use std::time::Duration;

/// Maximum length of a scenario and latest time of an event, in seconds.
const MAX_SECONDS: f64 = 3_600.0;

/// The mode of a run; each scenario runs in all four.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Online and batch, with all decisions.
    Full,
    /// Online only: the lower bound of tail latency.
    NoBatch,
    /// Batch only: the upper bound of batch throughput.
    BatchAlone,
    /// Online and batch, first come first served into the engine.
    FirstCome,
}

impl Mode {
    /// The mode's name in tables.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Full => "bluebellreel",
            Self::NoBatch => "no batch",
            Self::BatchAlone => "batch alone",
            Self::FirstCome => "first come",
        }
    }
}

/// A period of higher online load.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// Start, in seconds.
    pub at: f64,
    /// Duration, in seconds.
    pub seconds: f64,
    /// Factor by which the load is multiplied.
    pub factor: f64,
}

/// A team with batch work.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BatchTeam {
    /// Its name.
    pub name: String,
    /// Number of items of the team's job.
    pub items: u32,
    /// Time at which the team submits the job, in seconds.
    #[serde(default)]
    pub at: f64,
    /// Time from submission to the job's deadline, in seconds.
    #[serde(default = "default_due")]
    pub due: f64,
    /// Time at which the job's end is acknowledged, in seconds. If absent, the job is
    /// not ended.
    pub ends: Option<f64>,
    /// Time from that acknowledgement until the job's owner receives the end, in
    /// seconds.
    #[serde(default)]
    pub heard_after: f64,
}

impl BatchTeam {
    /// The job's id.
    pub(crate) fn job(&self) -> String {
        format!("job-{}", self.name)
    }

    /// The time at which the job's end is acknowledged.
    pub(crate) fn ended_at(&self) -> Option<Moment> {
        let ends = Duration::from_secs_f64(self.ends?);
        Some(Moment(0) + ends)
    }

    /// The time at which the job's owner receives the job's end.
    pub(crate) fn end_received_at(&self) -> Option<Moment> {
        Some(self.ended_at()? + Duration::from_secs_f64(self.heard_after))
    }

    fn check(&self) -> Result<(), String> {
        let times = [self.at, self.ends.unwrap_or(0.0), self.heard_after];
        if times.iter().all(|t| (0.0..=MAX_SECONDS).contains(t)) {
            return Ok(());
        }
        Err(format!(
            "team {:?}: times must be from 0 to 3600 seconds",
            self.name
        ))
    }
}

fn default_due() -> f64 {
    86_400.0
}

/// A fault of a worker.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerFault {
    /// Index of the worker.
    pub worker: usize,
    /// Start, in seconds.
    pub at: f64,
    /// Duration, in seconds.
    pub seconds: f64,
    /// Duration of the engine's steps in percent of the normal duration; zero for a
    /// worker that is down.
    #[serde(default)]
    pub slow_percent: u32,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawScenario {
    name: String,
    deployment: String,
    seconds: f64,
    seed: u64,
    workers: usize,
    window: u32,
    online_per_worker: u32,
    step_micros: u64,
    sequence_micros: u64,
    prompt_token_micros: u64,
    online_rate: f64,
    online_tokens: [u32; 2],
    prompt_tokens: [u32; 2],
    prefixes: u32,
    deadline_ms: u64,
    first_token_ms: u64,
    inter_token_ms: f64,
    diurnal_seconds: f64,
    bursts: Vec<Burst>,
    batch_tokens: [u32; 2],
    teams: Vec<BatchTeam>,
    poison_every: u32,
    crash_every: u32,
    crash_seconds: f64,
    troubles: Vec<WorkerFault>,
    client_retries: u32,
    client_pause_ms: u64,
}

impl Default for RawScenario {
    fn default() -> Self {
        Self {
            name: "scenario".into(),
            deployment: "rental".into(),
            seconds: 30.0,
            seed: 1,
            workers: 0,
            window: 64,
            online_per_worker: 0,
            step_micros: 4_000,
            sequence_micros: 20,
            prompt_token_micros: 10,
            online_rate: 40.0,
            online_tokens: [16, 48],
            prompt_tokens: [20, 200],
            prefixes: 200,
            deadline_ms: 10_000,
            first_token_ms: 1_200,
            inter_token_ms: 0.0,
            diurnal_seconds: 0.0,
            bursts: Vec::new(),
            batch_tokens: [32, 96],
            teams: Vec::new(),
            poison_every: 0,
            crash_every: 0,
            crash_seconds: 3.0,
            troubles: Vec::new(),
            client_retries: 0,
            client_pause_ms: 500,
        }
    }
}

/// A validated scenario.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// Whether the deployment puts tail latency or throughput first.
    pub priority: Priority,
    /// Duration of the scenario.
    pub length: Duration,
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of workers.
    pub workers: usize,
    /// Maximum number of attempts at an engine.
    pub window: u32,
    /// Number of online requests at a worker from which the router uses the next
    /// worker.
    pub online_per_worker: u32,
    /// Costs of an engine's step.
    pub costs: EngineCosts,
    /// Online requests per second.
    pub online_rate: f64,
    /// Minimum and maximum number of tokens of an online response.
    pub online_tokens: [u32; 2],
    /// Minimum and maximum number of tokens of a prompt.
    pub prompt_tokens: [u32; 2],
    /// Number of different prompt prefixes.
    pub prefixes: u32,
    /// Time limit of an online request.
    pub deadline: Duration,
    /// Maximum time to first token of a request that counts as in time.
    pub first_token: Duration,
    /// The side processes' target for the time between two tokens.
    pub inter_token: Duration,
    /// Period of the diurnal variation of the load; zero for none.
    pub diurnal: Duration,
    /// Periods of higher load.
    pub bursts: Vec<Burst>,
    /// Minimum and maximum number of tokens of a batch item.
    pub batch_tokens: [u32; 2],
    /// Teams with batch work.
    pub teams: Vec<BatchTeam>,
    /// One batch item in this many breaks all streams of its engine; zero for none.
    pub poison_every: u32,
    /// One online request in this many crashes its engine; zero for none.
    pub crash_every: u32,
    /// Time until a crashed engine restarts.
    pub crash_duration: Duration,
    /// Faults of workers.
    pub worker_faults: Vec<WorkerFault>,
    /// Maximum number of times that a refused caller sends its request again.
    pub client_retries: u32,
    /// Maximum time that a refused caller waits before it sends its request again.
    pub client_pause: Duration,
}

impl TryFrom<&str> for Scenario {
    type Error = String;

    fn try_from(text: &str) -> Result<Self, String> {
        let raw: RawScenario = toml::from_str(text).map_err(|e| e.message().to_owned())?;
        let (priority, workers, online_per_worker) = match raw.deployment.as_str() {
            "rental" => (Priority::Throughput, 12, 48),
            "booking-desk" => (Priority::Tail, 9, 32),
            other => return Err(format!("deployment: {other:?} is not supported")),
        };
        if raw.seconds <= 0.0 || raw.seconds > MAX_SECONDS {
            return Err("seconds: must be more than 0 and at most 3600".into());
        }
        raw.teams.iter().try_for_each(BatchTeam::check)?;
        let costs = EngineCosts {
            base: Duration::from_micros(raw.step_micros),
            per_sequence: Duration::from_micros(raw.sequence_micros),
            per_prompt_token: Duration::from_micros(raw.prompt_token_micros),
            ..EngineCosts::default()
        };
        let inter_token = if raw.inter_token_ms > 0.0 {
            Duration::from_secs_f64(raw.inter_token_ms / 1_000.0)
        } else {
            Duration::from_millis(34)
        };
        Ok(Self {
            name: raw.name,
            priority,
            length: Duration::from_secs_f64(raw.seconds),
            seed: raw.seed,
            workers: if raw.workers == 0 {
                workers
            } else {
                raw.workers
            },
            window: raw.window,
            online_per_worker: if raw.online_per_worker == 0 {
                online_per_worker
            } else {
                raw.online_per_worker
            },
            costs,
            online_rate: raw.online_rate,
            online_tokens: raw.online_tokens,
            prompt_tokens: raw.prompt_tokens,
            prefixes: raw.prefixes.max(1),
            deadline: Duration::from_millis(raw.deadline_ms),
            first_token: Duration::from_millis(raw.first_token_ms),
            inter_token,
            diurnal: Duration::from_secs_f64(raw.diurnal_seconds.max(0.0)),
            bursts: raw.bursts,
            batch_tokens: raw.batch_tokens,
            teams: raw.teams,
            poison_every: raw.poison_every,
            crash_every: raw.crash_every,
            crash_duration: Duration::from_secs_f64(raw.crash_seconds.max(0.0)),
            worker_faults: raw.troubles,
            client_retries: raw.client_retries,
            client_pause: Duration::from_millis(raw.client_pause_ms),
        })
    }
}
