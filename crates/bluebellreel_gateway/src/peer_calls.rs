//! Calls to peers.

use crate::gateway::Gateway;
use bluebellreel_members::Revisions;
use bluebellreel_net::CallError;
use bluebellreel_snapshot::SharedFacts;
use bluebellreel_types::JobId;
use bytes::Bytes;
use http::{Method, StatusCode};
use std::net::SocketAddr;
use std::time::Duration;

/// Longest wait for a peer that should answer at once.
const TIMEOUT: Duration = Duration::from_millis(600);
/// Why a peer gave no answer.
pub(crate) type PeerError = CallError;

async fn call(
    gw: &Gateway,
    to: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
    longest: Duration,
) -> Result<(StatusCode, Bytes), PeerError> {
    bluebellreel_net::call(&gw.peers, to, method, path, body, longest).await
}

/// What a peer knows beyond `seen`; all that it knows of workers if it does not
/// know who has left since.
pub(crate) async fn facts(
    gw: &Gateway,
    to: SocketAddr,
    seen: Revisions,
) -> Result<SharedFacts, PeerError> {
    if let Some(facts) = facts_after(gw, to, seen).await? {
        return Ok(facts);
    }
    all_facts(gw, to, seen).await
}

/// All that a peer knows of workers, and a configuration that is newer than `seen`.
pub(crate) async fn all_facts(
    gw: &Gateway,
    to: SocketAddr,
    seen: Revisions,
) -> Result<SharedFacts, PeerError> {
    let all = Revisions { workers: 0, ..seen };
    let facts = facts_after(gw, to, all).await?;
    let facts = facts.ok_or("asked for all in vain")?;
    Ok(SharedFacts {
        is_full_list: true,
        ..facts
    })
}

async fn facts_after(
    gw: &Gateway,
    to: SocketAddr,
    seen: Revisions,
) -> Result<Option<SharedFacts>, PeerError> {
    let path = format!(
        "/facts?configuration={}&workers={}",
        seen.configuration, seen.workers
    );
    match call(gw, to, Method::GET, &path, Bytes::new(), TIMEOUT).await? {
        (StatusCode::OK, body) => {
            let facts = postcard::from_bytes::<SharedFacts>(&body);
            facts.map(Some).map_err(|e| e.to_string())
        }
        (StatusCode::CONFLICT, _) => Ok(None),
        (status, _) => Err(format!("status {status}")),
    }
}

/// Results of a job that the peer owns, in the form that callers get.
pub(crate) async fn results(
    gw: &Gateway,
    to: SocketAddr,
    id: &JobId,
    after: usize,
    wait: Duration,
) -> Result<(StatusCode, Bytes), PeerError> {
    let path = format!(
        "/jobs/{id}/results?after={after}&wait_ms={}",
        wait.as_millis()
    );
    call(gw, to, Method::GET, &path, Bytes::new(), TIMEOUT + wait).await
}

/// Body of an item of a job that the peer owns.
pub(crate) async fn item_body(
    gw: &Gateway,
    to: SocketAddr,
    id: &JobId,
    item: &str,
) -> Result<(StatusCode, Bytes), PeerError> {
    let path = format!("/jobs/{id}/items/{item}");
    call(gw, to, Method::GET, &path, Bytes::new(), TIMEOUT).await
}

/// Ends a job that the peer owns.
pub(crate) async fn cancel(
    gw: &Gateway,
    to: SocketAddr,
    id: &JobId,
) -> Result<(StatusCode, Bytes), PeerError> {
    let path = format!("/jobs/{id}");
    call(gw, to, Method::DELETE, &path, Bytes::new(), TIMEOUT).await
}

/// Has a peer go on with the end of a job.
pub(crate) async fn pass_end_on(gw: &Gateway, to: SocketAddr, id: &JobId) -> Result<(), PeerError> {
    let path = format!("/jobs/{id}/end");
    let (status, _) = call(gw, to, Method::PUT, &path, Bytes::new(), TIMEOUT).await?;
    if status != StatusCode::OK {
        return Err(format!("status {status}"));
    }
    Ok(())
}

/// Has a peer make a call to the store.
pub(crate) async fn store(
    gw: &Gateway,
    to: SocketAddr,
    body: Vec<u8>,
    longest: Duration,
) -> Result<Bytes, PeerError> {
    let body = Bytes::from(body);
    let longest = longest + TIMEOUT;
    let (status, body) = call(gw, to, Method::POST, "/store", body, longest).await?;
    if status != StatusCode::OK {
        return Err(format!("status {status}"));
    }
    Ok(body)
}

/// Tells a peer that it owns a job now, and what its items had generated.
pub(crate) async fn hand_over(
    gw: &Gateway,
    to: SocketAddr,
    id: &JobId,
    progress: Vec<u8>,
) -> Result<StatusCode, PeerError> {
    let path = format!("/jobs/{id}/owner");
    let body = Bytes::from(progress);
    let (status, _) = call(gw, to, Method::PUT, &path, body, TIMEOUT).await?;
    Ok(status)
}

/// How far the items of a job are, as a keeper knows it; empty if it does not.
pub(crate) async fn progress(gw: &Gateway, to: SocketAddr, id: &JobId) -> Result<Bytes, PeerError> {
    let path = format!("/jobs/{id}/progress");
    let (status, body) = call(gw, to, Method::GET, &path, Bytes::new(), TIMEOUT).await?;
    match status {
        StatusCode::OK => Ok(body),
        StatusCode::NOT_FOUND => Ok(Bytes::new()),
        other => Err(format!("status {other}")),
    }
}

/// Tells a keeper, or the peer that would take a job over, how far its items are.
pub(crate) async fn copy_progress(
    gw: &Gateway,
    to: SocketAddr,
    id: &JobId,
    progress: Vec<u8>,
) -> Result<(), PeerError> {
    let path = format!("/jobs/{id}/progress");
    let body = Bytes::from(progress);
    let (status, _) = call(gw, to, Method::PUT, &path, body, TIMEOUT).await?;
    if status != StatusCode::OK {
        return Err(format!("status {status}"));
    }
    Ok(())
}
