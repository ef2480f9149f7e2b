//! The side process: the only sender to its backend server.
//!
//! An actor owns the admission state and executes its effects. Entry daemons
//! connect to it over `capnp-rpc`. Each attempt at the backend server has its own
//! thread, which reads the response stream. [`start_side`] starts all of these.
//!
//! ```no_run
//! let settings = bluebellreel_settings::load_side("side.toml").unwrap();
//! let side = bluebellreel_side::start_side(&settings).unwrap();
//! side.stop();
//! ```

mod actor;
mod backend;
pub mod bench;
mod core;
mod drain_tracker;
mod fence;
mod handles;
mod message;
mod metrics_server;
mod run;
mod stop;

pub use handles::BackendOrder;
pub use run::{Side, start_side};
