//! Stand-in for the platform's list of live and leaving VMs, whose changes become visible
//! after a delay.

use crate::http::{self, StandIn};
use bluebellreel_http::{Reply, Request, header, respond};
use bluebellreel_types::content_digest;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// State of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// The VM runs and is not to be removed.
    Live,
    /// The platform will remove the VM.
    Leaving,
}

/// A VM in the list.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Vm {
    /// Name of the VM; the worker's name if the VM runs a backend server.
    pub name: String,
    /// Address at which its side process listens.
    pub side: SocketAddr,
    /// Data centre of the VM.
    pub data_centre: String,
    /// Whether the platform will remove the VM.
    pub state: VmState,
}

/// Sends the list, or 304 if the caller's `If-None-Match` matches it.
fn answer_unless_unchanged(req: Request, vms: &[Vm]) {
    let reply = Reply::json(200, &vms);
    let tag = content_digest(&reply.body);
    let is_current =
        header(&req, "If-None-Match").is_some_and(|etag| etag.trim_matches('"') == tag);
    if is_current {
        respond(
            req,
            &Reply::bytes(304, "application/json", *b"").tagged(tag),
        );
    } else {
        respond(req, &reply.tagged(tag));
    }
}

/// Starts a VM list. `GET /vms` returns the list as it was `lag` ago, and a `PUT` of a list
/// replaces it.
///
/// # Errors
///
/// Returns the operating system's error if the address cannot be bound.
///
/// # Panics
///
/// Panics in the stand-in's threads if another thread panicked while it held the lock.
pub fn start_vm_list(address: SocketAddr, vms: Vec<Vm>, lag: Duration) -> io::Result<StandIn> {
    let versions = VecDeque::from([(Instant::now(), vms)]);
    let versions = Arc::new(Mutex::new(versions));
    http::serve(address, move |mut req| {
        if req.method() == &bluebellreel_http::Method::Put {
            match http::read_json::<Vec<Vm>>(&mut req) {
                Ok(vms) => {
                    let mut versions = versions.lock().expect("list lock");
                    versions.push_back((Instant::now(), vms));
                    drop(versions);
                    http::answer(req, 200, &());
                }
                Err(e) => http::refuse(req, 400, &e),
            }
            return;
        }
        let mut versions = versions.lock().expect("list lock");
        while versions.len() > 1 && versions[1].0.elapsed() >= lag {
            versions.pop_front();
        }
        let vms = versions[0].1.clone();
        drop(versions);
        answer_unless_unchanged(req, &vms);
    })
}
