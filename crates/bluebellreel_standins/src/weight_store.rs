//! Stand-in for the weight store, with a limit of concurrent loads.

use crate::http::{self, StandIn};
use serde_json::json;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Starts a weight store. Each load takes `load_time`, and loads beyond `max_loads` concurrent
/// ones are refused.
///
/// # Errors
///
/// Returns the operating system's error if the address cannot be bound.
///
/// # Panics
///
/// Panics in the stand-in's threads if another thread panicked while it held the lock.
pub fn start_weight_store(
    address: SocketAddr,
    max_loads: u32,
    load_time: Duration,
) -> io::Result<StandIn> {
    let counts = Arc::new(Mutex::new((0_u32, 0_u64)));
    http::serve(address, move |req| {
        if req.url() == "/stand-in/refused" {
            let refused = counts.lock().expect("store lock").1;
            http::answer(req, 200, &refused);
            return;
        }
        {
            let mut counts = counts.lock().expect("store lock");
            if counts.0 >= max_loads {
                counts.1 += 1;
                drop(counts);
                http::refuse(req, 429, "too many loads");
                return;
            }
            counts.0 += 1;
        }
        thread::sleep(load_time);
        counts.lock().expect("store lock").0 -= 1;
        http::answer(req, 200, &json!({ "loaded": true }));
    })
}
