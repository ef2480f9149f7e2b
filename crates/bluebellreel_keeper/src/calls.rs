//! Calls to gateways.

use bluebellreel_members::Revisions;
use bluebellreel_net::{CallError, Pool};
use bluebellreel_snapshot::{GatewayState, SharedFacts};
use bluebellreel_types::DataCentre;
use bytes::Bytes;
use http::{Method, StatusCode};
use serde::Deserialize;
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

/// What a gateway answers to a visit.
pub(crate) struct Visited {
    pub(crate) state: GatewayState,
    /// The keepers that it knows.
    pub(crate) keepers: Vec<SocketAddr>,
    /// How long ago its list of workers was known to be complete.
    pub(crate) list_age: Option<Duration>,
}

/// Visits a gateway: gives it this keeper's address and data centre, and the time until its
/// next visit.
pub(crate) async fn state(
    pool: &Pool,
    to: SocketAddr,
    own: SocketAddr,
    data_centre: &DataCentre,
    next_in: Duration,
) -> Result<Visited, CallError> {
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
    let (keepers, rest) = take_or_default(rest)?;
    let (list_age, _) = take_or_default(rest)?;
    Ok(Visited {
        state,
        keepers,
        list_age,
    })
}

/// Decodes a part that gateways of an earlier build do not send. Also returns the rest.
fn take_or_default<'a, T: Deserialize<'a> + Default>(
    bytes: &'a [u8],
) -> Result<(T, &'a [u8]), CallError> {
    if bytes.is_empty() {
        return Ok((T::default(), bytes));
    }
    postcard::take_from_bytes(bytes).map_err(|e| e.to_string())
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
