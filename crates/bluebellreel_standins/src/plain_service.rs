//! Stand-in for a plain service with bookings, which must not run twice.

use crate::http::{self, StandIn};
use bluebellreel_http::{Request, header};
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Faults that the stand-in simulates.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct ServiceFaults {
    /// Number of next calls that run but whose answers are lost.
    pub lose_answers: u32,
    /// Latency of every booking, in milliseconds.
    pub slow_ms: u64,
}

#[derive(Default)]
struct State {
    runs: BTreeMap<String, u32>,
    faults: ServiceFaults,
}

/// Starts a plain service. `POST /bookings` counts a run of the request's
/// `Idempotency-Key`, and `GET /stand-in/runs` returns the counts by key.
///
/// # Errors
///
/// Returns the operating system's error if the address cannot be bound.
pub fn start_plain_service(address: SocketAddr) -> io::Result<StandIn> {
    let state = Arc::new(Mutex::new(State::default()));
    http::serve(address, move |req| handle(&state, req))
}

fn handle(state: &Mutex<State>, mut req: Request) {
    let path = req.url().to_owned();
    match path.as_str() {
        "/stand-in/runs" => {
            let runs = state.lock().expect("service lock").runs.clone();
            http::answer(req, 200, &runs);
        }
        "/stand-in/faults" => match http::read_json(&mut req) {
            Ok(faults) => {
                state.lock().expect("service lock").faults = faults;
                http::answer(req, 200, &());
            }
            Err(e) => http::refuse(req, 400, &e),
        },
        _ if path.starts_with("/bookings") => book(state, req),
        _ if path.starts_with("/slots") => http::answer(req, 200, &json!({ "free": 3 })),
        _ => http::refuse(req, 404, "no such path"),
    }
}

fn book(state: &Mutex<State>, req: Request) {
    let key = header(&req, "Idempotency-Key").unwrap_or("").to_owned();
    let (lost, slow) = {
        let mut state = state.lock().expect("service lock");
        *state.runs.entry(key.clone()).or_default() += 1;
        let lost = state.faults.lose_answers > 0;
        state.faults.lose_answers = state.faults.lose_answers.saturating_sub(1);
        (lost, state.faults.slow_ms)
    };
    thread::sleep(Duration::from_millis(slow));
    if lost {
        http::abort_answer(req);
        return;
    }
    http::answer(req, 201, &json!({ "booked": key }));
}
