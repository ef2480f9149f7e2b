//! Stand-in for the platform's list of VMs: live and leaving, with a lag.

use crate::http::{self, StandIn};
use bluebellreel_http::{Reply, Request, header, respond};
use bluebellreel_types::content_digest;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Whether a VM stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// It runs.
    Live,
    /// It will be taken away.
    Leaving,
}

/// One VM of the list.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Vm {
    /// Its name; the worker's name where it holds a backend server.
    pub name: String,
    /// Where its side process listens.
    pub side: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// Whether it stays.
    pub state: VmState,
}

/// Gives the list, or says that the caller has it.
fn answer_unless_known(req: Request, vms: &[Vm]) {
    let reply = Reply::json(200, &vms);
    let tag = content_digest(&reply.body);
    let known = header(&req, "If-None-Match").is_some_and(|seen| seen.trim_matches('"') == tag);
    if known {
        respond(
            req,
            &Reply::bytes(304, "application/json", *b"").tagged(tag),
        );
    } else {
        respond(req, &reply.tagged(tag));
    }
}

/// Starts a VM list. `GET /vms` gives the list as it was `lag` ago; a `PUT` of
/// a list replaces it.
///
/// # Errors
///
/// Gives the operating system's error when the address cannot be bound.
///
/// # Panics
///
/// A thread that panicked while it held the state ends the stand-in.
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
        answer_unless_known(req, &vms);
    })
}
