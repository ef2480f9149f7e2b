//! Small stand-ins for the external systems that bluebellreel uses; never shipped.
//!
//! Each stand-in implements the published protocol of the system that it replaces on a
//! loopback address. A `POST` of faults as JSON to `/stand-in/faults` makes it simulate
//! them. Engines generate words that depend on the prompt alone ([`expected_answer`]), so
//! that a test can detect truncated and mixed-up answers.
//!
//! ```
//! let answer = bluebellreel_standins::expected_answer("fiddle for a child of six", 3);
//! assert_eq!(answer.split_whitespace().count(), 3);
//! ```

mod engine;
mod engine_model;
mod http;
mod kv;
mod kv_calls;
mod kv_store;
mod plain_service;
pub mod program;
mod vm_list;
mod weight_store;
mod words;

pub use engine::{Engine, EngineFaults, EngineSettings, start_engine};
pub use engine_model::{EngineCosts, EngineModel, Sequence, Step};
pub use http::StandIn;
pub use kv::{KvFaults, KvLimits, start_kv};
pub use kv_calls::KvCalls;
pub use plain_service::{ServiceFaults, start_plain_service};
pub use vm_list::{Vm, VmState, start_vm_list};
pub use weight_store::start_weight_store;
pub use words::{expected_answer, word};
