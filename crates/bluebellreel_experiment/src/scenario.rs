//! What an experiment does.

use bluebellreel_admission::Priority;
use bluebellreel_standins::EngineCosts;
use bluebellreel_types::Moment;
use serde::Deserialize;
use std::time::Duration;

/// Longest scenario, in seconds.
const LONGEST_S: f64 = 3_600.0;

/// Which of the four runs of a scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Online and batch, with all decisions.
    Full,
    /// Online only: the tail's limit.
    NoBatch,
    /// Batch only: throughput's limit.
    BatchAlone,
    /// Online and batch, first come first served into the engine.
    FirstCome,
}

impl Mode {
    /// Its name in tables.
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

/// Times at which online load is higher.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// When it begins, in seconds.
    pub at: f64,
    /// How long it lasts, in seconds.
    pub seconds: f64,
    /// How much higher.
    pub factor: f64,
}

/// A team with batch work.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BatchTeam {
    /// Its name.
    pub name: String,
    /// Items of its job.
    pub items: u32,
    /// When it submits the job, in seconds.
    #[serde(default)]
    pub at: f64,
    /// Seconds until the job is due.
    #[serde(default = "default_due")]
    pub due: f64,
    /// When the end of its job is acknowledged, in seconds; without it the job is not ended.
    pub ends: Option<f64>,
    /// Seconds from then on until the job's owner hears of it.
    #[serde(default)]
    pub heard_after: f64,
}

impl BatchTeam {
    /// Its job's id.
    pub(crate) fn job(&self) -> String {
        format!("job-{}", self.name)
    }

    /// When the end of its job is acknowledged.
    pub(crate) fn ended_at(&self) -> Option<Moment> {
        let ends = Duration::from_secs_f64(self.ends?);
        Some(Moment(0) + ends)
    }

    /// When the job's owner hears of it.
    pub(crate) fn end_heard_at(&self) -> Option<Moment> {
        Some(self.ended_at()? + Duration::from_secs_f64(self.heard_after))
    }

    fn check(&self) -> Result<(), String> {
        let times = [self.at, self.ends.unwrap_or(0.0), self.heard_after];
        if times.iter().all(|t| (0.0..=LONGEST_S).contains(t)) {
            return Ok(());
        }
        Err(format!(
            "team {:?}: times must be from 0 to 3600",
            self.name
        ))
    }
}

fn default_due() -> f64 {
    86_400.0
}

/// A worker's trouble.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    /// The worker.
    pub worker: usize,
    /// When it begins, in seconds.
    pub at: f64,
    /// How long it lasts, in seconds.
    pub seconds: f64,
    /// Steps take so much longer, in percent; zero for a worker that is dead.
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
    troubles: Vec<Trouble>,
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

/// A checked scenario.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// Which measure goes first.
    pub priority: Priority,
    /// How long it lasts.
    pub length: Duration,
    /// Seed of all that is random.
    pub seed: u64,
    /// Workers.
    pub workers: usize,
    /// Attempts at an engine at one time.
    pub window: u32,
    /// Online requests that a worker takes before the next one is used.
    pub online_per_worker: u32,
    /// Costs of an engine's step.
    pub costs: EngineCosts,
    /// Online requests a second.
    pub online_rate: f64,
    /// Tokens of an online answer, least and most.
    pub online_tokens: [u32; 2],
    /// Tokens of a prompt, least and most.
    pub prompt_tokens: [u32; 2],
    /// Different prompt prefixes.
    pub prefixes: u32,
    /// Time for an online answer.
    pub deadline: Duration,
    /// Time for a first token that counts as in time.
    pub first_token: Duration,
    /// Time between tokens that the side processes keep to.
    pub inter_token: Duration,
    /// Period of the day's swing; zero for none.
    pub diurnal: Duration,
    /// Times of higher load.
    pub bursts: Vec<Burst>,
    /// Tokens of a batch item, least and most.
    pub batch_tokens: [u32; 2],
    /// Teams with batch work.
    pub teams: Vec<BatchTeam>,
    /// Every so many batch items takes its engine's streams down; zero for none.
    pub poison_every: u32,
    /// Every so many online requests crashes its engine; zero for none.
    pub crash_every: u32,
    /// How long a crashed engine is away.
    pub crash_span: Duration,
    /// Troubles of workers.
    pub troubles: Vec<Trouble>,
    /// Times that a refused caller asks again.
    pub client_retries: u32,
    /// Pause before it does.
    pub client_pause: Duration,
}

impl TryFrom<&str> for Scenario {
    type Error = String;

    fn try_from(text: &str) -> Result<Self, String> {
        let raw: RawScenario = toml::from_str(text).map_err(|e| e.message().to_owned())?;
        let (priority, workers, online_per_worker) = match raw.deployment.as_str() {
            "rental" => (Priority::Throughput, 12, 48),
            "booking-desk" => (Priority::Tail, 9, 32),
            other => return Err(format!("deployment: {other:?} is none of ours")),
        };
        if raw.seconds <= 0.0 || raw.seconds > LONGEST_S {
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
            crash_span: Duration::from_secs_f64(raw.crash_seconds.max(0.0)),
            troubles: raw.troubles,
            client_retries: raw.client_retries,
            client_pause: Duration::from_millis(raw.client_pause_ms),
        })
    }
}
