//! HTTP plumbing shared by the stand-ins.

use bluebellreel_http::{ChunkedStream, HttpServer, Reply, Request, respond};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io::{self, Read};
use std::net::SocketAddr;

/// Most bytes that a stand-in reads of one body.
const MOST_BODY: u64 = 16 << 20;

/// Requests that a stand-in serves at one time.
const THREADS: usize = 4_096;

/// A stand-in that is running. Dropping it stops it.
pub struct StandIn {
    /// Where it listens.
    pub address: SocketAddr,
    server: HttpServer,
}

impl StandIn {
    /// Its address as a URL.
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

/// Serves `handle` at an address, one thread for each request in progress.
pub(crate) fn serve(
    address: SocketAddr,
    handle: impl Fn(Request) + Send + Sync + 'static,
) -> io::Result<StandIn> {
    let server = bluebellreel_http::serve(address, THREADS, handle)?;
    let address = server.address;
    Ok(StandIn { address, server })
}

/// Reads a body as JSON.
pub(crate) fn read_json<T: DeserializeOwned>(req: &mut Request) -> Result<T, String> {
    let mut body = Vec::new();
    req.as_reader()
        .take(MOST_BODY)
        .read_to_end(&mut body)
        .map_err(|e| e.to_string())?;
    serde_json::from_slice(&body).map_err(|e| e.to_string())
}

/// Answers with JSON.
pub(crate) fn answer(req: Request, status: u16, value: &impl Serialize) {
    respond(req, &Reply::json(status, value));
}

/// Answers with an error message.
pub(crate) fn refuse(req: Request, status: u16, message: &str) {
    answer(
        req,
        status,
        &serde_json::json!({ "error": { "message": message } }),
    );
}

/// Answers with the beginning of an answer that breaks off at once.
pub(crate) fn lose(req: Request) {
    if let Ok(answer) = ChunkedStream::open(req, "application/json") {
        answer.abandon();
    }
}
