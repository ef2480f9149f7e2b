//! The entry daemon: the HTTP API for callers and operators, routing of online
//! requests, ownership of batch jobs, and distribution of the manifest.
//!
//! One thread runs an actor that contains the components (online requests, jobs,
//! fleet, connections), which drive the pure decision code of the other crates. HTTP
//! requests, connections to side processes, and calls to the platform run on their
//! own threads and communicate with the actor through channels. [`start_entry`]
//! starts all of them; [`mod@bench`] drives the same code step by step in tests.
//!
//! Modules depend only on those in later groups of this list: `run`, `bench`;
//! `actor`, `core`; `http`; the actor's components and the threads that watch the
//! platform; `handles`; `message`; chunk access and storage of jobs; messages and
//! records; key names.
//!
//! ```no_run
//! let settings = bluebellreel_settings::load_entry("entry.toml").unwrap();
//! let entry = bluebellreel_entry::start_entry(settings).unwrap();
//! assert!(entry.stop());
//! ```

mod actor;
pub mod bench;
mod core;
mod data;
mod fleet;
mod handles;
mod http;
mod jobs;
mod message;
mod online;
mod platform;
mod readiness;
mod run;

pub use run::{Entry, start_entry};
