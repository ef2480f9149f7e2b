//! HTTP server and client helpers, over `hyper` and `ureq`.
//!
//! One event loop reads request heads and writes responses on the connections of
//! `bluebellreel_net`. Each request is handled on its own thread, and the number
//! of these threads is limited. Heads and bodies are limited in size and in time,
//! so that a caller that sends too much, too slowly or only a part of a request
//! does not affect others.
//!
//! ```
//! let error = bluebellreel_http::ApiError::new(404, "not_found", "no such path");
//! assert_eq!(error.status, 404);
//! ```

mod client;
mod error;
mod method;
mod request;
mod response;
mod server;
mod stream;

pub use bluebellreel_net::{AccountLimits, Machine};
pub use client::{is_unsent, read_line};
pub use error::ApiError;
pub use method::Method;
pub use request::{BodyLimits, Request, body_read_error, header, read_body};
pub use response::{Reply, respond};
pub use server::{HttpServer, serve};
pub use stream::ChunkedStream;
