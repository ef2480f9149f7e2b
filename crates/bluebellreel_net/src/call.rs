//! Small HTTP calls between the system's own processes.

use crate::{Pool, Reuse};
use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::Full;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::error::Elapsed;
use tokio::time::{Instant, timeout_at};

/// Size limit of a response body, in bytes. A configuration is at most a megabyte,
/// the results of a job somewhat more.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// Why a call returned no response.
pub type CallError = String;

/// Makes a call over a pooled connection and reads the whole response body.
///
/// # Errors
///
/// Fails if no complete response arrives within `max_wait`. The call may have taken
/// effect nevertheless.
pub async fn call(
    pool: &Pool,
    to: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
    max_wait: Duration,
) -> Result<(StatusCode, Bytes), CallError> {
    let response = exchange(pool, to, method, path, body, max_wait).await?;
    Ok((response.status(), response.into_body()))
}

/// Makes a call as [`call`] does. Returns the response with its headers.
///
/// # Errors
///
/// Fails if no complete response arrives within `max_wait`. The call may have taken
/// effect nevertheless.
pub async fn exchange(
    pool: &Pool,
    to: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
    max_wait: Duration,
) -> Result<Response<Bytes>, CallError> {
    let mut req = Request::new(Full::new(body));
    *req.method_mut() = method;
    *req.uri_mut() = path.parse().map_err(|_| format!("path {path}"))?;
    let host = HeaderValue::try_from(to.to_string()).map_err(|e| e.to_string())?;
    req.headers_mut().insert(header::HOST, host);
    let until = Instant::now() + max_wait;
    let sent = async {
        let mut reply = match timeout_at(until, pool.send(to, req, Reuse::Any)).await? {
            Ok(reply) => reply,
            Err(e) => return Ok(Err(e.to_string())),
        };
        if reply.body.is_unframed() {
            return Ok(Err("response without a length".into()));
        }
        let body = reply.body.whole_by(MAX_RESPONSE_BYTES, until).await?;
        let body = body.map_err(|e| e.to_string());
        Ok::<_, Elapsed>(body.map(|body| Response::from_parts(reply.head, body)))
    };
    sent.await.unwrap_or_else(|_| {
        // All pooled connections to this address may be broken.
        pool.drop_idle(to);
        Err("no complete response before the timeout".into())
    })
}
