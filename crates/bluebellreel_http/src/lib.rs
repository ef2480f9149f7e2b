//! HTTP at the rim of the system, over `httparse` and `ureq`.
//!
//! Each connection has a thread, which handles its requests one after another;
//! requests in progress are bounded in number. Heads and bodies are bounded in
//! bytes and in time, so that a caller that sends too much, too slowly or not
//! all of it harms nobody else. A request counts from its first byte to the
//! last byte of its answer, so that a stop can wait for all of them.
//!
//! ```
//! let error = bluebellreel_http::ApiError::new(404, "not_found", "no such path");
//! assert_eq!(error.status, 404);
//! ```

mod answer;
mod client;
mod connection;
mod error;
mod gate;
mod head;
mod io;
mod listen;
mod method;
mod request;
mod server;
mod stream;
mod wait;
mod writer;

pub use answer::{Reply, respond};
pub use client::is_unsent;
pub use error::ApiError;
pub use method::Method;
pub use request::{BodyLimits, Request, header, read_body, unread};
pub use server::{HttpServer, serve};
pub use stream::ChunkedStream;
pub use writer::ResponseWriter;
