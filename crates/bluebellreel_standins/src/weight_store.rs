//! Stand-in for the weight store: rate-limited.

use crate::http::{self, StandIn};
use serde_json::json;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Starts a weight store. Each load takes `load_time`; more than `at_once`
/// loads at one time are refused.
///
/// # Errors
///
/// Gives the operating system's error when the address cannot be bound.
///
/// # Panics
///
/// A thread that panicked while it held the state ends the stand-in.
pub fn start_weight_store(
    address: SocketAddr,
    at_once: u32,
    load_time: Duration,
) -> io::Result<StandIn> {
    let loading = Arc::new(Mutex::new((0_u32, 0_u64)));
    http::serve(address, move |req| {
        if req.url() == "/stand-in/refused" {
            let refused = loading.lock().expect("store lock").1;
            http::answer(req, 200, &refused);
            return;
        }
        {
            let mut counts = loading.lock().expect("store lock");
            if counts.0 >= at_once {
                counts.1 += 1;
                drop(counts);
                http::refuse(req, 429, "too many loads");
                return;
            }
            counts.0 += 1;
        }
        thread::sleep(load_time);
        loading.lock().expect("store lock").0 -= 1;
        http::answer(req, 200, &json!({ "loaded": true }));
    })
}
