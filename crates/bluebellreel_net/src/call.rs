//! Small calls between the system's own processes.

use crate::{Pool, Reuse};
use bytes::Bytes;
use http::{HeaderValue, Method, Request, StatusCode, header};
use http_body_util::Full;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::timeout;

/// Longest answer read. A configuration has at most a megabyte, the results of a
/// job some more.
const ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Why a process gave no answer.
pub type CallError = String;

/// Makes a call over a kept connection, and reads its whole answer.
///
/// # Errors
///
/// Gives the reason when there was no whole answer within `longest`; the call may
/// have taken effect all the same.
pub async fn call(
    pool: &Pool,
    to: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
    longest: Duration,
) -> Result<(StatusCode, Bytes), CallError> {
    let mut req = Request::new(Full::new(body));
    *req.method_mut() = method;
    *req.uri_mut() = path.parse().map_err(|_| format!("path {path}"))?;
    let host = HeaderValue::try_from(to.to_string()).map_err(|e| e.to_string())?;
    req.headers_mut().insert(header::HOST, host);
    let sent = async {
        let mut reply = pool
            .send(to, req, Reuse::Any)
            .await
            .map_err(|e| e.to_string())?;
        let body = reply.body.whole(ANSWER_BYTES).await;
        Ok((reply.head.status, body.map_err(|e| e.to_string())?))
    };
    timeout(longest, sent).await.unwrap_or_else(|_| {
        // Its kept connections may all have fallen silent.
        pool.drop_idle(to);
        Err("no answer in time".into())
    })
}
