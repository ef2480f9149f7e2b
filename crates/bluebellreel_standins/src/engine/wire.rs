//! What an engine stand-in is set up with, asked and told.

use crate::engine_model::EngineCosts;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// How an engine stand-in is set up.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// What its steps cost.
    pub costs: EngineCosts,
    /// Models it holds at the start.
    pub models: Vec<String>,
    /// Whether it refuses orders with an old fencing number.
    pub fences: bool,
    /// Lag of its load report.
    pub load_lag: Duration,
    /// The weight store that it loads models from, if any.
    pub weight_store: Option<String>,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            costs: EngineCosts::default(),
            models: vec!["rental-assistant".into()],
            fences: true,
            load_lag: Duration::from_millis(200),
            weight_store: None,
        }
    }
}

/// Faults that can be switched on.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct EngineFaults {
    /// Steps take this many times as long, in percent; zero for normal.
    pub slow_percent: u32,
    /// Every stream breaks after this many tokens; zero for never.
    pub break_after: u32,
    /// The engine answers nothing and generates nothing.
    pub frozen: bool,
    /// Loads of models fail.
    pub fail_loads: bool,
}

#[derive(Deserialize)]
pub(super) struct Completion {
    pub(super) model: String,
    pub(super) messages: Vec<Message>,
    #[serde(default = "default_tokens")]
    pub(super) max_tokens: u32,
    #[serde(default)]
    pub(super) request_id: String,
    #[serde(default)]
    pub(super) resume: String,
}

#[derive(Deserialize)]
pub(super) struct Message {
    pub(super) content: String,
}

fn default_tokens() -> u32 {
    16
}

#[derive(Deserialize)]
pub(super) struct Cancel {
    pub(super) request_id: String,
}

/// An order to the engine.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct Order {
    pub(super) kind: String,
    pub(super) name: String,
    #[serde(default)]
    pub(super) version: String,
    pub(super) fence: u64,
}

#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct Load {
    pub(super) running: usize,
    pub(super) waiting: usize,
    pub(super) cache_hits: u64,
    pub(super) cache_misses: u64,
}
