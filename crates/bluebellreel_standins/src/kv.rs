//! Stand-in for the platform's key-value service: etcd v3's JSON gateway.

use crate::http::{self, StandIn};
use crate::kv_calls::{KvCalls, bytes, header, key_value, list, number};
use crate::kv_store::Change;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bluebellreel_http::{ChunkedStream, Request};
use bluebellreel_types::Clock;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How often leases are looked through.
const LEASE_TICK: Duration = Duration::from_millis(100);
/// Longest sleep of a watch between two looks.
const WATCH_TICK: Duration = Duration::from_millis(500);

/// The service's limits.
#[derive(Clone, Copy, Debug)]
pub struct KvLimits {
    /// Writes a second.
    pub writes: u32,
    /// Reads a second.
    pub reads: u32,
    /// Bytes of a value.
    pub value_bytes: usize,
}

impl Default for KvLimits {
    fn default() -> Self {
        Self {
            writes: 400,
            reads: 2_000,
            value_bytes: 1 << 20,
        }
    }
}

/// Faults that can be switched on.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct KvFaults {
    /// Nothing is answered or done; leases go on lapsing.
    pub down: bool,
    /// Every call takes this much longer, in milliseconds.
    pub slow_ms: u64,
    /// So many of the next writes take effect, but their answers are lost.
    pub lose_answers: u32,
}

#[derive(Clone, Debug, Default, Serialize)]
struct Counts {
    writes: u64,
    reads: u64,
    watches: u64,
    refused: u64,
    by_path: BTreeMap<String, u64>,
}

struct Bucket {
    left: f64,
    rate: f64,
    at: Instant,
}

impl Bucket {
    fn new(rate: u32) -> Self {
        let rate = f64::from(rate);
        Self {
            left: rate,
            rate,
            at: Instant::now(),
        }
    }

    fn take(&mut self) -> bool {
        let now = Instant::now();
        self.left += (now - self.at).as_secs_f64() * self.rate;
        self.left = self.left.min(self.rate);
        self.at = now;
        if self.left < 1.0 {
            return false;
        }
        self.left -= 1.0;
        true
    }
}

struct State {
    calls: KvCalls,
    clock: Clock,
    faults: KvFaults,
    counts: Counts,
    writes: Bucket,
    reads: Bucket,
}

struct Kv {
    state: Mutex<State>,
    changed: Condvar,
}

/// Starts a key-value stand-in.
///
/// # Errors
///
/// Gives the operating system's error when the address cannot be bound.
///
/// # Panics
///
/// A thread that panicked while it held the state ends the stand-in.
pub fn start_kv(address: SocketAddr, limits: KvLimits) -> io::Result<StandIn> {
    let kv = Arc::new(Kv {
        state: Mutex::new(State {
            calls: KvCalls::new(limits.value_bytes),
            clock: Clock::start(),
            faults: KvFaults::default(),
            counts: Counts::default(),
            writes: Bucket::new(limits.writes),
            reads: Bucket::new(limits.reads),
        }),
        changed: Condvar::new(),
    });
    let expiring = Arc::downgrade(&kv);
    thread::spawn(move || {
        while let Some(kv) = expiring.upgrade() {
            let mut state = kv.state.lock().expect("kv lock");
            let now = state.clock.now();
            if state.calls.expire(now) {
                kv.changed.notify_all();
            }
            drop(state);
            drop(kv);
            thread::sleep(LEASE_TICK);
        }
    });
    http::serve(address, move |req| kv.handle(req))
}

impl Kv {
    fn handle(&self, mut req: Request) {
        let path = req.url().to_owned();
        if path == "/stand-in/faults" {
            match http::read_json(&mut req) {
                Ok(faults) => {
                    self.state.lock().expect("kv lock").faults = faults;
                    self.changed.notify_all();
                    http::answer(req, 200, &());
                }
                Err(e) => http::refuse(req, 400, &e),
            }
            return;
        }
        if path == "/stand-in/counts" {
            let counts = self.state.lock().expect("kv lock").counts.clone();
            http::answer(req, 200, &counts);
            return;
        }
        if path == "/stand-in/space" {
            let space = self.state.lock().expect("kv lock").calls.store.space();
            http::answer(req, 200, &space);
            return;
        }
        let body: Value = match http::read_json(&mut req) {
            Ok(body) => body,
            Err(e) => return http::refuse(req, 400, &e),
        };
        let faults = self.state.lock().expect("kv lock").faults.clone();
        thread::sleep(Duration::from_millis(faults.slow_ms));
        if faults.down {
            return http::refuse(req, 503, "unavailable");
        }
        if path == "/v3/watch" {
            self.state.lock().expect("kv lock").counts.watches += 1;
            self.watch(req, &body);
            return;
        }
        self.answer_call(req, &path, &body);
    }

    fn answer_call(&self, req: Request, path: &str, body: &Value) {
        let mut state = self.state.lock().expect("kv lock");
        let is_write = path != "/v3/kv/range" && !is_read_only(body);
        *state.counts.by_path.entry(path.to_owned()).or_default() += 1;
        let admitted = if is_write {
            state.counts.writes += 1;
            state.writes.take()
        } else {
            state.counts.reads += 1;
            state.reads.take()
        };
        if !admitted {
            state.counts.refused += 1;
            drop(state);
            return http::refuse(req, 429, "too many requests");
        }
        let before = state.calls.revision();
        let now = state.clock.now();
        let result = state.calls.call(path, body, now);
        let wrote = before != state.calls.revision();
        let lost = wrote && state.faults.lose_answers > 0;
        if lost {
            state.faults.lose_answers -= 1;
        }
        drop(state);
        if wrote {
            self.changed.notify_all();
        }
        if lost {
            // The effect stays; the answer does not come through.
            http::lose(req);
            return;
        }
        match result {
            Ok(value) => http::answer(req, 200, &value),
            Err(e) => http::refuse(req, 400, &e),
        }
    }

    fn watch(&self, req: Request, body: &Value) {
        let create = &body["create_request"];
        let (Ok(key), Ok(end)) = (bytes(create, "key"), bytes(create, "range_end")) else {
            return http::refuse(req, 400, "bad key");
        };
        let Ok(mut stream) = ChunkedStream::open(req, "application/json") else {
            return;
        };
        let mut state = self.state.lock().expect("kv lock");
        let asked = number(create, "start_revision");
        let mut next = if asked > 0 {
            asked
        } else {
            state.calls.store.revision + 1
        };
        let created =
            json!({ "result": { "header": header(&state.calls.store), "created": true } });
        if stream.send(format!("{created}\n").as_bytes()).is_err() {
            return;
        }
        loop {
            if state.faults.down {
                return;
            }
            let changes = state.calls.store.changes(&key, &end, next);
            next = state.calls.store.revision + 1;
            let at = header(&state.calls.store);
            drop(state);
            let events: Vec<Value> = changes.iter().map(event).collect();
            // An empty message is etcd's progress notice; it shows here
            // whether the watcher is still there.
            let message = json!({ "result": { "header": at, "events": events } });
            if stream.send(format!("{message}\n").as_bytes()).is_err() {
                return;
            }
            state = self.state.lock().expect("kv lock");
            if state.calls.store.revision < next {
                state = self
                    .changed
                    .wait_timeout(state, WATCH_TICK)
                    .expect("kv lock")
                    .0;
            }
        }
    }
}

fn is_read_only(body: &Value) -> bool {
    let operations = list(body, "success").chain(list(body, "failure"));
    let mut count = 0;
    for operation in operations {
        count += 1;
        if operation.get("requestRange").is_none() {
            return false;
        }
    }
    count > 0
}

fn event(change: &Change) -> Value {
    match &change.stored {
        Some(stored) => json!({ "kv": key_value(&change.key, stored, false) }),
        None => json!({
            "type": "DELETE",
            "kv": {
                "key": STANDARD.encode(&change.key),
                "mod_revision": change.revision.to_string(),
            },
        }),
    }
}
