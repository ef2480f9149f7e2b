//! The gateway: an entry daemon that sends requests directly to workers.
//!
//! One process runs on each entry VM, with one thread and one event loop. It sends
//! callers' requests directly to workers. Batch jobs are stored in the platform's
//! store and run by the daemon that owns them. Daemons report their running work to
//! each other, so that none overloads a worker that another has already filled.
//!
//! The modules on the path of a request, each importing those after it:
//! [`run_gateway`] listens, `serve` distinguishes the kinds of calls, `online` answers
//! a request, `relay` forwards a stream's events and resumes it at another worker,
//! `placement` chooses a worker, `upstream` sends; `jobs` handles batch jobs. The
//! decisions are made by `bluebellreel_dispatch` and `bluebellreel_batch`.
//!
//! ```no_run
//! let settings = bluebellreel_settings::load_gateway("gateway.toml".as_ref()).unwrap();
//! let hooks = bluebellreel_gateway::ProcessHooks::fixed(&settings);
//! let clean = bluebellreel_gateway::run_gateway(settings, hooks).unwrap();
//! assert!(clean);
//! ```

mod admission;
mod answer_buffers;
mod answer_limits;
mod answers;
mod cluster_state;
mod confirmation;
mod crash;
mod events;
mod evidence;
mod gateway;
mod health;
mod in_progress;
mod item_gate;
mod jobs;
mod join;
mod keeper_visits;
mod keepers;
mod lease;
mod list_check;
mod metrics;
mod millis;
mod online;
mod origin_lookup;
mod origins;
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
mod teams;
mod ticket;
mod token_wait;
mod unreadable;
mod upstream;
mod watching;
mod workers;

pub use reload::ProcessHooks;
pub use run::{run_gateway, run_gateway_until};
