//! Metrics and health of the side process over HTTP.

use crate::message::Message;
use bluebellreel_http::{ApiError, HttpServer, Reply, Request, respond, serve};
use crossbeam_channel::{Sender, bounded};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// Requests at one time.
const THREADS: usize = 8;
/// Longest wait for the actor.
const ACTOR_TIMEOUT: Duration = Duration::from_secs(2);

pub(crate) fn serve_metrics(address: SocketAddr, tx: Sender<Message>) -> io::Result<HttpServer> {
    serve(address, THREADS, move |req| answer(req, &tx))
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
    tx.send(Message::MetricsAsked(answer)).ok();
    match text.recv_timeout(ACTOR_TIMEOUT) {
        Ok(text) => Reply::bytes(200, "text/plain; version=0.0.4", text.into_bytes()),
        Err(_) => ApiError::new(503, "stuck", "the process does not answer").into(),
    }
}
