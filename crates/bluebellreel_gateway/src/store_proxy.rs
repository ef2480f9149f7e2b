//! Calls to the store through a peer.
//!
//! The store may reject the calls of one daemon while it serves the others. That
//! daemon's jobs would then stall and its lease would expire, though nothing is wrong
//! with the daemon. A peer makes the call instead and returns the answer. The outcome of
//! a call that is lost between the daemons is as unknown as that of one lost at the
//! store.

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

/// A call to the store, as sent to a peer.
#[derive(Serialize, Deserialize)]
struct Call {
    method: String,
    path: String,
    body: Vec<u8>,
    longest_ms: u64,
}

/// The outcome of a call, as the peer returns it.
#[derive(Serialize, Deserialize)]
enum Outcome {
    Answered(u16, Vec<u8>),
    NotDone(String),
    Unknown(String),
}

/// Maximum duration of a call on behalf of a peer, which is the duration of a watch.
const MAX_CALL_TIME: Duration = Duration::from_secs(5);

/// Enables a daemon's store client to make calls through peers.
pub(crate) fn install(gw: &Rc<Gateway>) {
    let weak: Weak<Gateway> = Rc::downgrade(gw);
    gw.store.set_peer_proxy(Box::new(move |req, max_time| {
        let gw = weak.upgrade()?;
        let peer = choose_peer(&gw)?;
        Some(via_peer(gw, peer, req, max_time).boxed_local())
    }));
}

/// Chooses a peer that reaches the store. Stopping peers are a last resort: the outcome
/// of a call is unknown if the peer's process ends meanwhile.
fn choose_peer(gw: &Gateway) -> Option<SocketAddr> {
    let members = gw.members.borrow();
    let (stopping, staying): (Vec<_>, Vec<_>) = members
        .alive_with_store(gw.now())
        .map(|(_, peer)| peer)
        .partition(|peer| peer.stopping);
    let candidates = if staying.is_empty() {
        stopping
    } else {
        staying
    };
    if candidates.is_empty() {
        return None;
    }
    Some(candidates[gw.rng.borrow_mut().random_range(0..candidates.len())].calls)
}

async fn via_peer(
    gw: Rc<Gateway>,
    peer: SocketAddr,
    req: Request<Bytes>,
    max_time: Duration,
) -> StoreAnswer {
    let call = Call {
        method: req.method().to_string(),
        path: req.uri().to_string(),
        body: req.body().to_vec(),
        longest_ms: millis(max_time),
    };
    let call = postcard::to_allocvec(&call).map_err(|e| KvError::Refused(e.to_string()))?;
    let answer = peer_calls::store(&gw, peer, call, max_time).await;
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
/// Returns an error if the call cannot be decoded.
pub(crate) async fn call_for_peer(gw: &Gateway, call: &[u8]) -> Result<Vec<u8>, String> {
    let call: Call = postcard::from_bytes(call).map_err(|e| e.to_string())?;
    let mut req = Request::new(Bytes::from(call.body));
    *req.method_mut() = Method::from_bytes(call.method.as_bytes()).map_err(|e| e.to_string())?;
    *req.uri_mut() = call
        .path
        .parse()
        .map_err(|_| format!("path {}", call.path))?;
    let json = HeaderValue::from_static("application/json");
    req.headers_mut().insert(header::CONTENT_TYPE, json);
    let max_time = Duration::from_millis(call.longest_ms).min(MAX_CALL_TIME);
    let outcome = match gw.store.call_directly(req, max_time).await {
        Ok((status, body)) => Outcome::Answered(status.as_u16(), body.to_vec()),
        Err(KvError::NotDone(reason) | KvError::Refused(reason)) => Outcome::NotDone(reason),
        Err(KvError::Unknown(reason)) => Outcome::Unknown(reason),
    };
    postcard::to_allocvec(&outcome).map_err(|e| e.to_string())
}
