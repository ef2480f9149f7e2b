//! Backend servers of a world: engines and a plain service.

use bluebellreel_admission::EngineEnd;
use bluebellreel_standins::word;
use bluebellreel_types::{AttemptId, Dispatch, Moment, WorkKind};
use serde_json::Value;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Time of an engine's step.
const STEP: Duration = Duration::from_millis(40);
/// Time of a plain call.
const CALL: Duration = Duration::from_millis(120);
/// How long a backend server that died stays away.
const AWAY: Duration = Duration::from_secs(2);
/// A prompt with this word can never be answered.
const IMPOSSIBLE: &str = "impossible";

/// What a backend server is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendKind {
    /// A model engine.
    Engine,
    /// A plain service whose calls must not be repeated.
    Service,
}

#[derive(Clone, Debug)]
struct Running {
    prompt: String,
    next: u32,
    tokens: u32,
    due: Moment,
}

/// What a backend server tells its side process.
#[derive(Clone, Debug)]
pub enum BackendEvent {
    /// Text of an attempt.
    Text(AttemptId, String),
    /// The end of an attempt.
    End(AttemptId, EngineEnd),
}

/// One backend server.
#[derive(Clone, Debug)]
pub struct Backend {
    /// What it is.
    pub kind: BackendKind,
    running: BTreeMap<AttemptId, Running>,
    away_until: Moment,
    /// Runs of each key (plain service).
    pub runs: BTreeMap<String, u32>,
}

impl Backend {
    /// An idle server.
    #[must_use]
    pub fn new(kind: BackendKind) -> Self {
        Self {
            kind,
            running: BTreeMap::new(),
            away_until: Moment(0),
            runs: BTreeMap::new(),
        }
    }

    /// Takes an attempt; its end, if that is known at once.
    pub fn start(&mut self, dispatch: &Dispatch, now: Moment) -> Option<EngineEnd> {
        if !self.away_until.is_past(now) {
            return Some(EngineEnd::Unreachable);
        }
        let running = match &dispatch.work.kind {
            WorkKind::Call { .. } => {
                let key = dispatch.work.key.to_string();
                *self.runs.entry(key).or_default() += 1;
                Running {
                    prompt: String::new(),
                    next: 0,
                    tokens: 0,
                    due: now + CALL,
                }
            }
            WorkKind::Chat => {
                let body: Value = serde_json::from_slice(&dispatch.work.body).unwrap_or_default();
                let prompt = body["messages"][0]["content"].as_str().unwrap_or("");
                if prompt.contains(IMPOSSIBLE) {
                    return Some(EngineEnd::Rejected {
                        status: 422,
                        message: Arc::from("can never be answered"),
                    });
                }
                let delivered = dispatch.resume.split_whitespace().count();
                Running {
                    prompt: prompt.to_owned(),
                    next: u32::try_from(delivered).unwrap_or(0),
                    tokens: dispatch.work.tokens,
                    due: now + STEP,
                }
            }
        };
        self.running.insert(dispatch.attempt, running);
        None
    }

    /// Cancels an attempt.
    pub fn cancel(&mut self, attempt: AttemptId) -> Option<BackendEvent> {
        // A plain call that has been sent cannot be called back.
        if self.kind == BackendKind::Service {
            return None;
        }
        self.running.remove(&attempt)?;
        Some(BackendEvent::End(attempt, EngineEnd::Broken))
    }

    /// Dies with all its attempts.
    pub fn die(&mut self, now: Moment) -> Vec<BackendEvent> {
        self.away_until = now + AWAY;
        let lost = std::mem::take(&mut self.running);
        let broken = |attempt| BackendEvent::End(attempt, EngineEnd::Broken);
        lost.into_keys().map(broken).collect()
    }

    /// Forgets all attempts: its side process died, and their streams with it.
    pub fn drop_streams(&mut self) {
        self.running.clear();
    }

    /// What has come about by now.
    pub fn step(&mut self, now: Moment) -> Vec<BackendEvent> {
        let mut events = Vec::new();
        let mut over = Vec::new();
        for (attempt, running) in &mut self.running {
            if !running.due.is_past(now) {
                continue;
            }
            running.due = now + STEP;
            if running.next < running.tokens {
                let text = word(&running.prompt, running.next);
                running.next += 1;
                events.push(BackendEvent::Text(*attempt, text));
            }
            if running.next >= running.tokens {
                over.push(*attempt);
            }
        }
        for attempt in over {
            self.running.remove(&attempt);
            let (status, body) = match self.kind {
                BackendKind::Engine => (200, Arc::from([])),
                BackendKind::Service => (201, Arc::from(*b"booked")),
            };
            let end = EngineEnd::Completed { status, body };
            events.push(BackendEvent::End(attempt, end));
        }
        events
    }
}
