//! Calls to the store by way of a peer.
//!
//! The store may turn a daemon away while it serves the others. The daemon's
//! jobs would then stand still and its lease would end, though nothing is
//! wrong with it. A peer makes the call and hands the answer back; a call
//! that is lost on the way is as much in doubt as one lost at the store.

use crate::gateway::Gateway;
use crate::millis::millis;
use crate::peer_calls;
use crate::store::StoreAnswer;
use bluebellreel_kv::KvError;
use bytes::Bytes;
use futures::FutureExt;
use http::{HeaderValue, Method, Request, StatusCode, header};
use rand::RngExt;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

/// A call as peers send it.
#[derive(Serialize, Deserialize)]
struct Call {
    method: String,
    path: String,
    body: Vec<u8>,
    longest_ms: u64,
}

/// What came of it.
#[derive(Serialize, Deserialize)]
enum Outcome {
    Answered(u16, Vec<u8>),
    NotDone(String),
    Unknown(String),
}

/// Longest that a peer's call may take; that of a watch.
const CALL_LONGEST: Duration = Duration::from_secs(5);

/// Lets a daemon's store client go by way of its peers.
pub(crate) fn install(gw: &Rc<Gateway>) {
    let weak: Weak<Gateway> = Rc::downgrade(gw);
    gw.store.set_detour(Box::new(move |req, longest| {
        let gw = weak.upgrade()?;
        let peer = choose_peer(&gw)?;
        Some(by_peer(gw, peer, req, longest).boxed_local())
    }));
}

/// A peer that reaches the store. One that stops is the last resort: a call that
/// it makes is in doubt if its process ends meanwhile.
fn choose_peer(gw: &Gateway) -> Option<SocketAddr> {
    let members = gw.members.borrow();
    let (stopping, staying): (Vec<_>, Vec<_>) = members
        .alive_with_store(gw.now())
        .map(|(_, peer)| peer)
        .partition(|peer| peer.stopping);
    let able = if staying.is_empty() {
        stopping
    } else {
        staying
    };
    if able.is_empty() {
        return None;
    }
    Some(able[gw.rng.borrow_mut().random_range(0..able.len())].calls)
}

async fn by_peer(
    gw: Rc<Gateway>,
    peer: SocketAddr,
    req: Request<Bytes>,
    longest: Duration,
) -> StoreAnswer {
    let call = Call {
        method: req.method().to_string(),
        path: req.uri().to_string(),
        body: req.body().to_vec(),
        longest_ms: millis(longest),
    };
    let call = postcard::to_allocvec(&call).map_err(|e| KvError::Refused(e.to_string()))?;
    let answer = peer_calls::store(&gw, peer, call, longest).await;
    let answer = answer.map_err(KvError::Unknown)?;
    let outcome = postcard::from_bytes(&answer).map_err(|e| KvError::Unknown(e.to_string()))?;
    match outcome {
        Outcome::Answered(status, body) => {
            let status = StatusCode::from_u16(status);
            let status = status.map_err(|e| KvError::Unknown(e.to_string()))?;
            Ok((status, Bytes::from(body)))
        }
        Outcome::NotDone(reason) => Err(KvError::NotDone(reason)),
        Outcome::Unknown(reason) => Err(KvError::Unknown(reason)),
    }
}

/// Makes a peer's call from this VM.
///
/// # Errors
///
/// Gives the reason when the call cannot be read.
pub(crate) async fn make_for_peer(gw: &Gateway, call: &[u8]) -> Result<Vec<u8>, String> {
    let call: Call = postcard::from_bytes(call).map_err(|e| e.to_string())?;
    let mut req = Request::new(Bytes::from(call.body));
    *req.method_mut() = Method::from_bytes(call.method.as_bytes()).map_err(|e| e.to_string())?;
    *req.uri_mut() = call
        .path
        .parse()
        .map_err(|_| format!("path {}", call.path))?;
    let json = HeaderValue::from_static("application/json");
    req.headers_mut().insert(header::CONTENT_TYPE, json);
    let longest = Duration::from_millis(call.longest_ms).min(CALL_LONGEST);
    let outcome = match gw.store.straight(req, longest).await {
        Ok((status, body)) => Outcome::Answered(status.as_u16(), body.to_vec()),
        Err(KvError::NotDone(reason) | KvError::Refused(reason)) => Outcome::NotDone(reason),
        Err(KvError::Unknown(reason)) => Outcome::Unknown(reason),
    };
    postcard::to_allocvec(&outcome).map_err(|e| e.to_string())
}
