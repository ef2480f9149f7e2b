//! HTTP/1.1 server and client for a single-threaded event loop.
//!
//! [`serve`] passes each request to a handler function; [`Pool`] sends requests and
//! reuses connections. Failed calls say whether the server may have got the request:
//! [`SendError::Unsent`] means that no byte of it was sent, [`SendError::Unknown`]
//! that it may have arrived.
//!
//! ```
//! use bluebellreel_net::Body;
//!
//! let answer = http::Response::new(Body::full("ok"));
//! assert_eq!(answer.status(), 200);
//! ```

mod account;
mod allowance;
mod body;
mod body_memory;
mod call;
mod connection;
mod framing;
mod intake;
mod machine;
mod paged_buf;
mod pool;
mod reply;
mod saturation;
mod server;
mod tasks;

pub use account::{Account, AccountLimits, Hold, NoRoom, Stage};
pub use body::{Body, Broken, Keep, ReadError, RequestBody, read_body};
pub use call::{CallError, call, exchange};
pub use intake::{CallerLimits, Intake, Refused};
pub use machine::Machine;
pub use pool::{DedicatedConnection, Pool, PoolLimits, ProbeResult, Reuse, SendError};
pub use reply::{Reply, ReplyBody};
pub use saturation::{LoopLag, sample_lag};
pub use server::{ConnectionTracker, Stop, listen, serve};
pub use tasks::{Periodic, every};
