//! Calls to gateways.

use bluebellreel_members::Revisions;
use bluebellreel_net::{CallError, Pool};
use bluebellreel_snapshot::{GatewayState, SharedFacts};
use bluebellreel_types::DataCentre;
use bytes::Bytes;
use http::{Method, StatusCode};
use std::net::SocketAddr;
use std::time::Duration;

/// Longest wait for an answer: a gateway answers from memory.
const TIMEOUT: Duration = Duration::from_millis(600);
async fn call(
    pool: &Pool,
    to: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<Bytes, CallError> {
    let answer = bluebellreel_net::call(pool, to, method, path, body, TIMEOUT).await?;
    good(answer)
}

fn good((status, body): (StatusCode, Bytes)) -> Result<Bytes, CallError> {
    match status {
        StatusCode::OK => Ok(body),
        status => Err(format!("status {status}")),
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

/// What a gateway knows beyond these revisions; all that it knows of workers if it
/// does not know who has left since.
pub(crate) async fn ask(
    pool: &Pool,
    to: SocketAddr,
    newest: Revisions,
) -> Result<SharedFacts, CallError> {
    let (status, body) = ask_after(pool, to, newest).await?;
    let is_full_list = status == StatusCode::CONFLICT;
    let body = if is_full_list {
        let all = Revisions {
            workers: 0,
            ..newest
        };
        good(ask_after(pool, to, all).await?)?
    } else {
        good((status, body))?
    };
    let facts = postcard::from_bytes(&body).map_err(|e| e.to_string())?;
    Ok(SharedFacts {
        is_full_list,
        ..facts
    })
}

async fn ask_after(
    pool: &Pool,
    to: SocketAddr,
    newest: Revisions,
) -> Result<(StatusCode, Bytes), CallError> {
    let path = format!(
        "/facts?configuration={}&workers={}",
        newest.configuration, newest.workers
    );
    bluebellreel_net::call(pool, to, Method::GET, &path, Bytes::new(), TIMEOUT).await
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
