//! Calls to gateways.

use bluebellreel_net::{Pool, Reuse};
use bluebellreel_snapshot::{GatewayState, SharedFacts, Snapshot};
use bluebellreel_types::DataCentre;
use bytes::Bytes;
use http::{HeaderValue, Method, Request, StatusCode, header};
use http_body_util::Full;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::timeout;

/// Longest wait for an answer: a gateway answers from memory.
const TIMEOUT: Duration = Duration::from_millis(600);
/// Longest answer read; a configuration has at most a megabyte.
const ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Why a gateway gave no answer.
pub(crate) type CallError = String;

async fn call(
    pool: &Pool,
    to: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<Bytes, CallError> {
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
    let answer: Result<_, CallError> = timeout(TIMEOUT, sent).await.unwrap_or_else(|_| {
        // Its kept connections may all have fallen silent.
        pool.drop_idle(to);
        Err("no answer in time".into())
    });
    match answer? {
        (StatusCode::OK, body) => Ok(body),
        (status, _) => Err(format!("status {status}")),
    }
}

/// What a gateway says of itself. It is told where this keeper is called, and
/// where it stands.
pub(crate) async fn state(
    pool: &Pool,
    to: SocketAddr,
    own: SocketAddr,
    place: &DataCentre,
) -> Result<GatewayState, CallError> {
    let query = form_urlencoded::Serializer::new(String::new())
        .append_pair("keeper", &own.to_string())
        .append_pair("data_centre", place.as_str())
        .finish();
    let body = call(
        pool,
        to,
        Method::GET,
        &format!("/state?{query}"),
        Bytes::new(),
    )
    .await?;
    postcard::from_bytes(&body).map_err(|e| e.to_string())
}

/// What a gateway knows beyond a snapshot.
pub(crate) async fn ask(
    pool: &Pool,
    to: SocketAddr,
    snapshot: &Snapshot,
) -> Result<SharedFacts, CallError> {
    let newest = snapshot.newest();
    let path = format!(
        "/facts?configuration={}&workers={}",
        newest.configuration, newest.workers
    );
    let body = call(pool, to, Method::GET, &path, Bytes::new()).await?;
    postcard::from_bytes(&body).map_err(|e| e.to_string())
}

/// Brings a snapshot to a gateway.
pub(crate) async fn offer(
    pool: &Pool,
    to: SocketAddr,
    facts: &SharedFacts,
) -> Result<(), CallError> {
    let body = postcard::to_allocvec(facts).map_err(|e| e.to_string())?;
    call(pool, to, Method::PUT, "/facts", Bytes::from(body)).await?;
    Ok(())
}
