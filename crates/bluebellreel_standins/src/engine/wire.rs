//! Settings, faults and wire messages of the engine stand-in.

use crate::engine_model::EngineCosts;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Settings of an engine stand-in.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Cost model of its steps.
    pub costs: EngineCosts,
    /// Models that are loaded at the start.
    pub models: Vec<String>,
    /// Whether orders with a stale fencing number are refused.
    pub fences: bool,
    /// Delay of its load report.
    pub load_lag: Duration,
    /// URL of the weight store from which models are loaded, if any.
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

/// Faults that the stand-in simulates.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct EngineFaults {
    /// Duration of steps in percent of the normal one; 0 for normal.
    pub slow_percent: u32,
    /// Number of tokens after which every stream breaks; 0 for never.
    pub break_after: u32,
    /// The engine neither answers nor generates tokens.
    pub frozen: bool,
    /// Orders to load a model fail.
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

/// An order to load or unload a model.
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
