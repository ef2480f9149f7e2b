//! HTTP helpers shared by the stand-ins.

use bluebellreel_http::{AccountLimits, ChunkedStream, HttpServer, Reply, Request, respond};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io::{self, Read};
use std::net::SocketAddr;

/// Maximum number of bytes that a stand-in reads of a request body.
const MAX_BODY_BYTES: u64 = 16 << 20;

/// Maximum number of requests that a stand-in serves concurrently.
const MAX_REQUESTS: usize = 4_096;

/// A running stand-in. Dropping the value stops it.
pub struct StandIn {
    /// The address at which the stand-in listens.
    pub address: SocketAddr,
    server: HttpServer,
}

impl StandIn {
    /// The base URL of the stand-in.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }
}

impl Drop for StandIn {
    fn drop(&mut self) {
        self.server.stop();
    }
}

/// Serves requests with `handle`, using one thread for each request in progress.
pub(crate) fn serve(
    address: SocketAddr,
    handle: impl Fn(Request) + Send + Sync + 'static,
) -> io::Result<StandIn> {
    let server = bluebellreel_http::serve(address, MAX_REQUESTS, AccountLimits::NONE, handle)?;
    let address = server.address;
    Ok(StandIn { address, server })
}

/// Reads a request body as JSON.
pub(crate) fn read_json<T: DeserializeOwned>(req: &mut Request) -> Result<T, String> {
    let mut body = Vec::new();
    req.as_reader()
        .take(MAX_BODY_BYTES)
        .read_to_end(&mut body)
        .map_err(|e| e.to_string())?;
    serde_json::from_slice(&body).map_err(|e| e.to_string())
}

/// Sends an answer with a JSON body.
pub(crate) fn answer(req: Request, status: u16, value: &impl Serialize) {
    respond(req, &Reply::json(status, value));
}

/// Sends an answer with an error message.
pub(crate) fn refuse(req: Request, status: u16, message: &str) {
    answer(
        req,
        status,
        &serde_json::json!({ "error": { "message": message } }),
    );
}

/// Sends the head of an answer and then closes the connection, so that the caller gets a
/// truncated answer.
pub(crate) fn abort_answer(req: Request) {
    if let Ok(answer) = ChunkedStream::open(req, "application/json") {
        answer.abandon();
    }
}
