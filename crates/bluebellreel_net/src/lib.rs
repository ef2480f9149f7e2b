//! HTTP on one event loop: serving, and calls over kept connections.
//!
//! A daemon runs on one thread. [`serve`] answers requests by a function;
//! [`Pool`] sends them on and keeps connections for the next one. What a
//! connection's end means is told precisely: [`SendError::Unsent`] says that
//! nothing reached the other side, [`SendError::Unknown`] that it may have.
//!
//! ```
//! use bluebellreel_net::Body;
//!
//! let answer = http::Response::new(Body::full("ok"));
//! assert_eq!(answer.status(), 200);
//! ```

mod body;
mod call;
mod line;
mod pool;
mod reply;
mod server;
mod tasks;

pub use body::{Body, Broken, read_body};
pub use call::{CallError, call};
pub use pool::{Pool, PoolLimits, ProbeResult, Reuse, SendError};
pub use reply::{Reply, ReplyBody};
pub use server::{ConnectionTracker, Stop, listen, serve};
pub use tasks::{Periodic, every};
