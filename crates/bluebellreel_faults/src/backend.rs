//! The backend servers of a simulation: model engines and a plain service.

use bluebellreel_admission::EngineEnd;
use bluebellreel_standins::word;
use bluebellreel_types::{AttemptId, Dispatch, Moment, WorkKind};
use serde_json::Value;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Duration of an engine's step.
const STEP_DURATION: Duration = Duration::from_millis(40);
/// Duration of a call to the plain service.
const CALL_DURATION: Duration = Duration::from_millis(120);
/// Time until a crashed backend server accepts attempts again.
const DOWNTIME: Duration = Duration::from_secs(2);
/// Engines reject prompts that contain this word.
const IMPOSSIBLE: &str = "impossible";

/// The kind of a backend server.
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

/// An event that a backend server reports to its side process.
#[derive(Clone, Debug)]
pub enum BackendEvent {
    /// Text generated for an attempt.
    Text(AttemptId, String),
    /// The end of an attempt.
    End(AttemptId, EngineEnd),
}

/// A backend server.
#[derive(Clone, Debug)]
pub struct Backend {
    /// The kind of server.
    pub kind: BackendKind,
    running: BTreeMap<AttemptId, Running>,
    down_until: Moment,
    /// Number of runs of each key, at the plain service.
    pub runs: BTreeMap<String, u32>,
}

impl Backend {
    /// Creates an idle server.
    #[must_use]
    pub fn new(kind: BackendKind) -> Self {
        Self {
            kind,
            running: BTreeMap::new(),
            down_until: Moment(0),
            runs: BTreeMap::new(),
        }
    }

    /// Starts an attempt. Returns its end if the server refuses it immediately.
    pub fn start(&mut self, dispatch: &Dispatch, now: Moment) -> Option<EngineEnd> {
        if !self.down_until.is_past(now) {
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
                    due: now + CALL_DURATION,
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
                    due: now + STEP_DURATION,
                }
            }
        };
        self.running.insert(dispatch.attempt, running);
        None
    }

    /// Cancels an attempt.
    pub fn cancel(&mut self, attempt: AttemptId) -> Option<BackendEvent> {
        // The plain service cannot cancel a call that it has received.
        if self.kind == BackendKind::Service {
            return None;
        }
        self.running.remove(&attempt)?;
        Some(BackendEvent::End(attempt, EngineEnd::Broken))
    }

    /// Crashes, which breaks off all attempts.
    pub fn crash(&mut self, now: Moment) -> Vec<BackendEvent> {
        self.down_until = now + DOWNTIME;
        let lost = std::mem::take(&mut self.running);
        let broken = |attempt| BackendEvent::End(attempt, EngineEnd::Broken);
        lost.into_keys().map(broken).collect()
    }

    /// Drops all attempts, whose streams were lost in a crash of the side process.
    pub fn drop_streams(&mut self) {
        self.running.clear();
    }

    /// Advances the attempts that are due and returns their events.
    pub fn step(&mut self, now: Moment) -> Vec<BackendEvent> {
        let mut events = Vec::new();
        let mut finished = Vec::new();
        for (attempt, running) in &mut self.running {
            if !running.due.is_past(now) {
                continue;
            }
            running.due = now + STEP_DURATION;
            if running.next < running.tokens {
                let text = word(&running.prompt, running.next);
                running.next += 1;
                events.push(BackendEvent::Text(*attempt, text));
            }
            if running.next >= running.tokens {
                finished.push(*attempt);
            }
        }
        for attempt in finished {
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
