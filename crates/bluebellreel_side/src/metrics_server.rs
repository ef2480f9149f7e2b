//! HTTP server for the side process's metrics and health check.

use crate::message::Message;
use bluebellreel_http::{AccountLimits, ApiError, HttpServer, Reply, Request, respond, serve};
use crossbeam_channel::{Sender, bounded};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of concurrent requests.
const MAX_REQUESTS: usize = 8;
/// Time that the actor has to produce the metrics.
const ACTOR_TIMEOUT: Duration = Duration::from_secs(2);

pub(crate) fn serve_metrics(
    address: SocketAddr,
    account: AccountLimits,
    tx: Sender<Message>,
) -> io::Result<HttpServer> {
    serve(address, MAX_REQUESTS, account, move |req| answer(req, &tx))
}

fn answer(req: Request, tx: &Sender<Message>) {
    let reply = match req.url() {
        "/healthz" => Reply::bytes(200, "text/plain", *b"ok\n"),
        "/metrics" => metrics(tx),
        _ => ApiError::new(404, "not_found", "no such path").into(),
    };
    respond(req, &reply);
}

fn metrics(tx: &Sender<Message>) -> Reply {
    let (answer, text) = bounded(1);
    tx.send(Message::MetricsRequested(answer)).ok();
    match text.recv_timeout(ACTOR_TIMEOUT) {
        Ok(text) => Reply::bytes(200, "text/plain; version=0.0.4", text.into_bytes()),
        Err(_) => ApiError::new(503, "stuck", "the process does not answer").into(),
    }
}
