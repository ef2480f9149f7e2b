//! HTTP at the rim of the system, over `hyper` and `ureq`.
//!
//! One loop reads heads and writes answers, with the connections of
//! `bluebellreel_net`; each request is handled on a thread of its own, and their
//! number is bounded. Heads and bodies are bounded in bytes and in time, so that
//! a caller that sends too much, too slowly or not all of it harms nobody else.
//!
//! ```
//! let error = bluebellreel_http::ApiError::new(404, "not_found", "no such path");
//! assert_eq!(error.status, 404);
//! ```

mod answer;
mod client;
mod error;
mod method;
mod request;
mod server;
mod stream;

pub use answer::{Reply, respond};
pub use client::is_unsent;
pub use error::ApiError;
pub use method::Method;
pub use request::{BodyLimits, Request, body_read_error, header, read_body};
pub use server::{HttpServer, serve};
pub use stream::ChunkedStream;
