//! Calls to gateways.

use bluebellreel_members::Revisions;
use bluebellreel_net::{CallError, Pool};
use bluebellreel_snapshot::{GatewayState, SharedFacts};
use bluebellreel_types::DataCentre;
use bytes::Bytes;
use http::{Method, StatusCode};
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of a call; gateways answer from memory.
const TIMEOUT: Duration = Duration::from_millis(600);
async fn call(
    pool: &Pool,
    to: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<Bytes, CallError> {
    let answer = bluebellreel_net::call(pool, to, method, path, body, TIMEOUT).await?;
    expect_ok(answer)
}

fn expect_ok((status, body): (StatusCode, Bytes)) -> Result<Bytes, CallError> {
    match status {
        StatusCode::OK => Ok(body),
        status => Err(format!("status {status}")),
    }
}

/// Fetches the state of a gateway and the keepers that it knows, and gives it this keeper's address and data centre, and
/// the time until its next visit.
pub(crate) async fn state(
    pool: &Pool,
    to: SocketAddr,
    own: SocketAddr,
    data_centre: &DataCentre,
    next_in: Duration,
) -> Result<(GatewayState, Vec<SocketAddr>), CallError> {
    let query = form_urlencoded::Serializer::new(String::new())
        .append_pair("keeper", &own.to_string())
        .append_pair("data_centre", data_centre.as_str())
        .append_pair("next_in_ms", &next_in.as_millis().to_string())
        .finish();
    let body = call(
        pool,
        to,
        Method::GET,
        &format!("/state?{query}"),
        Bytes::new(),
    )
    .await?;
    let (state, rest) = postcard::take_from_bytes(&body).map_err(|e| e.to_string())?;
    // Gateways of an earlier build name no keepers.
    let keepers = if rest.is_empty() {
        Vec::new()
    } else {
        postcard::from_bytes(rest).map_err(|e| e.to_string())?
    };
    Ok((state, keepers))
}

/// Fetches the facts of a gateway that are newer than the revisions `newest`. If the
/// gateway has no record of the workers removed since, all of its workers are fetched.
pub(crate) async fn fetch_facts(
    pool: &Pool,
    to: SocketAddr,
    newest: Revisions,
) -> Result<SharedFacts, CallError> {
    let (status, body) = fetch_facts_after(pool, to, newest).await?;
    let is_full_list = status == StatusCode::CONFLICT;
    let body = if is_full_list {
        let all = Revisions {
            workers: 0,
            ..newest
        };
        expect_ok(fetch_facts_after(pool, to, all).await?)?
    } else {
        expect_ok((status, body))?
    };
    let facts = SharedFacts::decode(&body).map_err(|e| e.to_string())?;
    Ok(SharedFacts {
        is_full_list,
        ..facts
    })
}

async fn fetch_facts_after(
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

/// Sends a snapshot to a gateway.
pub(crate) async fn send_snapshot(
    pool: &Pool,
    to: SocketAddr,
    facts: &SharedFacts,
) -> Result<(), CallError> {
    let body = Bytes::from(facts.encode());
    call(pool, to, Method::PUT, "/facts", body).await?;
    Ok(())
}
