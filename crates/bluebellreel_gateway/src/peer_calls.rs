//! Calls to peers and keepers.

use crate::confirmation::Confirmed;
use crate::gateway::Gateway;
use crate::list_check::Completeness;
use bluebellreel_members::Revisions;
use bluebellreel_net::{CallError, exchange};
use bluebellreel_origins::{
    KNOWN_KEEPERS, LIST_AGE_MS, Origin, RECORDS_LOST, SOLE_VERSION, StreamTag, parse_keepers,
};
use bluebellreel_snapshot::SharedFacts;
use bluebellreel_teams::Caller;
use bluebellreel_types::{JobId, WorkerVersion};
use bytes::Bytes;
use http::{Method, StatusCode};
use percent_encoding::{AsciiSet, CONTROLS, NON_ALPHANUMERIC, PercentEncode, utf8_percent_encode};
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of calls that a peer should answer at once.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Timeout of calls that are answered after a write to a disk.
const DISK_CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Characters that would end a segment of a path. The others stay as they are, as peers of
/// earlier builds do not decode ids.
const SEGMENT_ENDS: &AsciiSet = &CONTROLS.add(b' ').add(b'%').add(b'/').add(b'?').add(b'#');
/// Why a call to a peer failed.
pub(crate) type PeerError = CallError;

async fn call(
    gw: &Gateway,
    to: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
    max_wait: Duration,
) -> Result<(StatusCode, Bytes), PeerError> {
    bluebellreel_net::call(&gw.peers, to, method, path, body, max_wait).await
}

/// Fetches the part of a peer's cluster state that is newer than `seen`. If the peer
/// no longer has the record of the workers that have left since then, fetches all its
/// workers.
pub(crate) async fn cluster_state(
    gw: &Gateway,
    to: SocketAddr,
    seen: Revisions,
) -> Result<SharedFacts, PeerError> {
    if let Some(cluster_state) = cluster_state_after(gw, to, seen).await? {
        return Ok(cluster_state);
    }
    full_cluster_state(gw, to, seen).await
}

/// Fetches all workers that a peer knows, and its configuration if that is newer than
/// `seen`.
pub(crate) async fn full_cluster_state(
    gw: &Gateway,
    to: SocketAddr,
    seen: Revisions,
) -> Result<SharedFacts, PeerError> {
    let all = Revisions { workers: 0, ..seen };
    let cluster_state = cluster_state_after(gw, to, all).await?;
    let cluster_state = cluster_state.ok_or("peer refuses to send its full state")?;
    Ok(SharedFacts {
        is_full_list: true,
        ..cluster_state
    })
}

/// Asks a peer which configuration was the newest one, and how long ago; at most `max_age`
/// ago if given and if the peer reaches the store.
pub(crate) async fn confirmation(
    gw: &Gateway,
    to: SocketAddr,
    max_age: Option<Duration>,
) -> Result<Confirmed, PeerError> {
    let path = max_age.map_or_else(
        || "/confirmation".to_owned(),
        |age| format!("/confirmation?max_age_ms={}", age.as_millis()),
    );
    let (status, body) = call(gw, to, Method::GET, &path, Bytes::new(), CALL_TIMEOUT).await?;
    if status != StatusCode::OK {
        return Err(format!("status {status}"));
    }
    postcard::from_bytes(&body).map_err(|e| e.to_string())
}

/// Asks a peer up to which revision its list of workers is complete, as of at most `max_age`
/// ago if given and if the peer reaches the store.
pub(crate) async fn completeness(
    gw: &Gateway,
    to: SocketAddr,
    max_age: Option<Duration>,
) -> Result<Completeness, PeerError> {
    let path = max_age.map_or_else(
        || "/completeness".to_owned(),
        |age| format!("/completeness?max_age_ms={}", age.as_millis()),
    );
    let (status, body) = call(gw, to, Method::GET, &path, Bytes::new(), CALL_TIMEOUT).await?;
    if status != StatusCode::OK {
        return Err(format!("status {status}"));
    }
    postcard::from_bytes(&body).map_err(|e| e.to_string())
}

async fn cluster_state_after(
    gw: &Gateway,
    to: SocketAddr,
    seen: Revisions,
) -> Result<Option<SharedFacts>, PeerError> {
    let path = format!(
        "/facts?configuration={}&workers={}",
        seen.configuration, seen.workers
    );
    match call(gw, to, Method::GET, &path, Bytes::new(), CALL_TIMEOUT).await? {
        (StatusCode::OK, body) => {
            let cluster_state = SharedFacts::decode(&body);
            cluster_state.map(Some).map_err(|e| e.to_string())
        }
        (StatusCode::CONFLICT, _) => Ok(None),
        (status, _) => Err(format!("status {status}")),
    }
}

/// An id as one segment of a path. Ids are chosen by callers.
fn segment(id: &str) -> PercentEncode<'_> {
    utf8_percent_encode(id, SEGMENT_ENDS)
}

/// Names the caller on whose behalf a job is accessed. A peer of a version that does not
/// know teams rejects such a path, and the call is then answered from the store.
fn path_prefix(caller: &Caller) -> String {
    match caller {
        Caller::Unrestricted => String::new(),
        Caller::Anonymous => "/anonymous".to_owned(),
        Caller::Team(name) => format!("/team/{}", utf8_percent_encode(name, NON_ALPHANUMERIC)),
    }
}

/// Fetches results of a job that the peer owns, in the form that callers receive.
pub(crate) async fn results(
    gw: &Gateway,
    to: SocketAddr,
    caller: &Caller,
    id: &JobId,
    after: usize,
    wait: Duration,
) -> Result<(StatusCode, Bytes), PeerError> {
    let path = format!(
        "{}/jobs/{}/results?after={after}&wait_ms={}",
        path_prefix(caller),
        segment(id.as_str()),
        wait.as_millis()
    );
    call(
        gw,
        to,
        Method::GET,
        &path,
        Bytes::new(),
        CALL_TIMEOUT + wait,
    )
    .await
}

/// Fetches the body of an item of a job that the peer owns.
pub(crate) async fn item_body(
    gw: &Gateway,
    to: SocketAddr,
    caller: &Caller,
    id: &JobId,
    item: &str,
) -> Result<(StatusCode, Bytes), PeerError> {
    let path = format!(
        "{}/jobs/{}/items/{}",
        path_prefix(caller),
        segment(id.as_str()),
        segment(item)
    );
    call(gw, to, Method::GET, &path, Bytes::new(), CALL_TIMEOUT).await
}

/// Cancels a job that the peer owns.
pub(crate) async fn cancel(
    gw: &Gateway,
    to: SocketAddr,
    caller: &Caller,
    id: &JobId,
) -> Result<(StatusCode, Bytes), PeerError> {
    let path = format!("{}/jobs/{}", path_prefix(caller), segment(id.as_str()));
    call(gw, to, Method::DELETE, &path, Bytes::new(), CALL_TIMEOUT).await
}

/// Requests a peer to complete the cancellation of a job.
pub(crate) async fn forward_end(
    gw: &Gateway,
    to: SocketAddr,
    caller: &Caller,
    id: &JobId,
) -> Result<(), PeerError> {
    let path = format!("{}/jobs/{}/end", path_prefix(caller), segment(id.as_str()));
    let (status, _) = call(gw, to, Method::PUT, &path, Bytes::new(), CALL_TIMEOUT).await?;
    if status != StatusCode::OK {
        return Err(format!("status {status}"));
    }
    Ok(())
}

/// Requests a peer to make a call to the store on this daemon's behalf.
pub(crate) async fn store(
    gw: &Gateway,
    to: SocketAddr,
    body: Vec<u8>,
    max_wait: Duration,
) -> Result<Bytes, PeerError> {
    let body = Bytes::from(body);
    let max_wait = max_wait + CALL_TIMEOUT;
    let (status, body) = call(gw, to, Method::POST, "/store", body, max_wait).await?;
    if status != StatusCode::OK {
        return Err(format!("status {status}"));
    }
    Ok(body)
}

/// Notifies a peer that it now owns a job, with the progress of the job's items.
pub(crate) async fn hand_over(
    gw: &Gateway,
    to: SocketAddr,
    id: &JobId,
    progress: Vec<u8>,
) -> Result<StatusCode, PeerError> {
    let path = format!("/jobs/{}/owner", segment(id.as_str()));
    let body = Bytes::from(progress);
    let (status, _) = call(gw, to, Method::PUT, &path, body, CALL_TIMEOUT).await?;
    Ok(status)
}

/// Fetches the progress of a job's items from a keeper; empty if it has none.
pub(crate) async fn progress(gw: &Gateway, to: SocketAddr, id: &JobId) -> Result<Bytes, PeerError> {
    let path = format!("/jobs/{}/progress", segment(id.as_str()));
    let (status, body) = call(gw, to, Method::GET, &path, Bytes::new(), CALL_TIMEOUT).await?;
    match status {
        StatusCode::OK => Ok(body),
        StatusCode::NOT_FOUND => Ok(Bytes::new()),
        other => Err(format!("status {other}")),
    }
}

/// Sends the progress of a job's items to a keeper or to the job's successor.
pub(crate) async fn copy_progress(
    gw: &Gateway,
    to: SocketAddr,
    id: &JobId,
    progress: Vec<u8>,
) -> Result<(), PeerError> {
    let path = format!("/jobs/{}/progress", segment(id.as_str()));
    let body = Bytes::from(progress);
    let (status, _) = call(gw, to, Method::PUT, &path, body, CALL_TIMEOUT).await?;
    if status != StatusCode::OK {
        return Err(format!("status {status}"));
    }
    Ok(())
}

/// Fetches the counts of a job's items from a keeper; empty if it has none.
pub(crate) async fn counts(gw: &Gateway, to: SocketAddr, id: &JobId) -> Result<Bytes, PeerError> {
    let path = format!("/jobs/{}/counts", segment(id.as_str()));
    let (status, body) = call(gw, to, Method::GET, &path, Bytes::new(), CALL_TIMEOUT).await?;
    match status {
        StatusCode::OK => Ok(body),
        StatusCode::NOT_FOUND => Ok(Bytes::new()),
        other => Err(format!("status {other}")),
    }
}

/// Sends the counts of a job's items to a keeper, which answers once they are on its disk.
pub(crate) async fn copy_counts(
    gw: &Gateway,
    to: SocketAddr,
    id: &JobId,
    counts: Vec<u8>,
) -> Result<(), PeerError> {
    let path = format!("/jobs/{}/counts", segment(id.as_str()));
    let body = Bytes::from(counts);
    let (status, _) = call(gw, to, Method::PUT, &path, body, DISK_CALL_TIMEOUT).await?;
    if status != StatusCode::OK {
        return Err(format!("status {status}"));
    }
    Ok(())
}

/// Sends the record of the version that began a stream to a keeper or peer.
pub(crate) async fn record_origin(
    gw: &Gateway,
    to: SocketAddr,
    origin: &Origin,
) -> Result<(), PeerError> {
    let body = postcard::to_allocvec(origin).map_err(|e| e.to_string())?;
    let body = Bytes::from(body);
    let (status, _) = call(gw, to, Method::PUT, "/origins", body, CALL_TIMEOUT).await?;
    if status != StatusCode::OK {
        return Err(format!("status {status}"));
    }
    Ok(())
}

/// What a keeper or peer knows of the version that began a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum KnownOrigin {
    /// It has a record.
    Recorded(WorkerVersion),
    /// It has no record, and knew a single version when the stream may have begun.
    Inferred {
        version: WorkerVersion,
        /// How old its list is, if it has known no other version since.
        sole_age: Option<Duration>,
    },
    Nothing,
}

/// The answer of a keeper or peer to the question for a stream's version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct OriginAnswer {
    pub(crate) origin: KnownOrigin,
    /// Whether it may lack a record, as it has lost its disk since the stream may have begun.
    pub(crate) records_lost: bool,
    /// The keepers that it knows.
    pub(crate) keepers: Vec<SocketAddr>,
}

/// Asks a keeper or peer for the version that began a stream of a service, at most `within`
/// ago.
pub(crate) async fn origin(
    gw: &Gateway,
    to: SocketAddr,
    stream: StreamTag,
    service: &str,
    within: Duration,
) -> Result<OriginAnswer, PeerError> {
    let service = utf8_percent_encode(service, NON_ALPHANUMERIC);
    let path = format!(
        "/origins/{stream}?service={service}&within_ms={}",
        within.as_millis()
    );
    let (peers, body) = (&gw.peers, Bytes::new());
    let answer = exchange(peers, to, Method::GET, &path, body, CALL_TIMEOUT).await?;
    let (head, body) = answer.into_parts();
    let version = || {
        let text = std::str::from_utf8(&body).map_err(|e| e.to_string())?;
        Ok::<_, PeerError>(WorkerVersion::from(text))
    };
    // Daemons of an earlier build do not state the age.
    let list_age = head.headers.get(LIST_AGE_MS);
    let list_age = list_age.and_then(|value| value.to_str().ok()?.parse().ok());
    let list_age = list_age.map(Duration::from_millis);
    let origin = match head.status {
        StatusCode::OK => KnownOrigin::Recorded(version()?),
        StatusCode::NON_AUTHORITATIVE_INFORMATION => KnownOrigin::Inferred {
            version: version()?,
            sole_age: list_age.filter(|_| head.headers.contains_key(SOLE_VERSION)),
        },
        StatusCode::NOT_FOUND => KnownOrigin::Nothing,
        other => return Err(format!("status {other}")),
    };
    // Keepers of an earlier build name no others.
    let keepers = head.headers.get(KNOWN_KEEPERS);
    let keepers = keepers.and_then(|value| value.to_str().ok());
    Ok(OriginAnswer {
        origin,
        records_lost: head.headers.contains_key(RECORDS_LOST),
        keepers: keepers.map(parse_keepers).unwrap_or_default(),
    })
}
