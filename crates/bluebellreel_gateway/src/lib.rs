//! The gateway: an entry daemon that sends to workers directly.
//!
//! One process on each entry VM, one thread, one event loop. Callers' requests
//! go straight to workers; batch jobs are kept in the platform's store and run
//! by the daemon that owns them. Daemons report to each other what they run, so
//! that none piles work on a worker that another has filled.
//!
//! The way of a request, each file importing those after it: [`run_gateway`]
//! listens, `serve` tells calls apart, `online` answers, `relay` passes events on
//! and goes on elsewhere, `placement` chooses a worker, `upstream` sends; `jobs` holds
//! what happens to batch jobs. Decisions are in `bluebellreel_dispatch` and
//! `bluebellreel_batch`.
//!
//! ```no_run
//! let settings = bluebellreel_settings::load_gateway("gateway.toml".as_ref()).unwrap();
//! let around = bluebellreel_gateway::Surroundings::fixed(&settings);
//! let clean = bluebellreel_gateway::run_gateway(settings, around).unwrap();
//! assert!(clean);
//! ```

mod answers;
mod cluster_state;
mod crash;
mod events;
mod gateway;
mod in_progress;
mod jobs;
mod keeper_visits;
mod keepers;
mod lease;
mod metrics;
mod millis;
mod online;
mod peer_api;
mod peer_calls;
mod placement;
mod quarantine_gate;
mod quarantine_store;
mod registration;
mod relay;
mod reload;
mod reports;
mod request;
mod run;
mod serve;
mod server_handles;
mod shutdown;
mod store;
mod store_proxy;
mod stream_monitor;
mod suspension;
mod ticket;
mod unreadable;
mod upstream;
mod watching;
mod workers;

pub use reload::ProcessHooks;
pub use run::{run_gateway, run_gateway_until};
