//! HTTP at the rim of the system, over `tiny_http` and `ureq`.
//!
//! Requests are handled on threads, one for each in progress and bounded in
//! number; bodies are bounded in bytes and in time, so that a caller that
//! sends too much, too slowly or not all of it harms nobody else.
//!
//! ```
//! let error = bluebellreel_http::ApiError::new(404, "not_found", "no such path");
//! assert_eq!(error.status, 404);
//! ```

mod answer;
mod client;
mod error;
mod request;
mod server;
mod stream;

pub use answer::{Reply, respond};
pub use client::is_unsent;
pub use error::ApiError;
pub use request::{BodyLimits, header, read_body};
pub use server::{HttpServer, serve};
pub use stream::ChunkedStream;
pub use tiny_http::{Method, Request};
