//! The side process: the only sender to its backend server.
//!
//! An actor holds the admission state and carries out its effects; entries
//! reach it by `capnp-rpc`, and each attempt at the backend server has a
//! thread that reads its stream. [`start_side`] wires the parts.
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
mod farewell;
mod fence;
mod message;
mod parts;
mod rim;
mod run;
mod stop;

pub use parts::BackendOrder;
pub use run::{Side, start_side};
