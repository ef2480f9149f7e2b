//! The entry daemon: callers' and operators' HTTP, routing of online requests,
//! ownership of batch jobs, and the manifest.
//!
//! One thread runs an actor that holds the parts (online requests, jobs, the
//! manifest), which drive the pure decision code of the other packages. HTTP
//! requests, connections to side processes and calls to the platform live on
//! threads at the rim and talk to the actor by channels. [`start_entry`] wires
//! all of it; [`bench`] drives the same code by hand.
//!
//! Files take only from those below them, from top to bottom: `run`, `bench`;
//! `actor`, `core`; `http`; the actor's parts and the threads that watch the
//! platform; `handles`; `message`; chunks, and jobs in the store; messages and
//! records; names of keys.
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
