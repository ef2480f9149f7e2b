//! Stand-in for the platform's key-value service. It implements etcd v3's JSON gateway.

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

/// Interval at which leases are checked for expiry.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum wait of a watch for changes. After it the watch sends a progress notice.
const MAX_WATCH_WAIT: Duration = Duration::from_millis(500);

/// Rate and size limits of the service.
#[derive(Clone, Copy, Debug)]
pub struct KvLimits {
    /// Maximum writes per second.
    pub writes: u32,
    /// Maximum reads per second.
    pub reads: u32,
    /// Maximum size of a value in bytes.
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

/// Faults that the stand-in simulates.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct KvFaults {
    /// The service answers 503 to all calls and ends its watches. Leases still expire.
    pub down: bool,
    /// Additional latency of every call, in milliseconds.
    pub slow_ms: u64,
    /// Number of next writes that take effect but whose answers are lost.
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

struct TokenBucket {
    tokens: f64,
    rate: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    fn new(rate: u32) -> Self {
        let rate = f64::from(rate);
        Self {
            tokens: rate,
            rate,
            refilled_at: Instant::now(),
        }
    }

    fn take(&mut self) -> bool {
        let now = Instant::now();
        self.tokens += (now - self.refilled_at).as_secs_f64() * self.rate;
        self.tokens = self.tokens.min(self.rate);
        self.refilled_at = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

struct State {
    calls: KvCalls,
    clock: Clock,
    faults: KvFaults,
    counts: Counts,
    writes: TokenBucket,
    reads: TokenBucket,
}

struct Kv {
    state: Mutex<State>,
    changed: Condvar,
}

/// Starts a key-value service stand-in.
///
/// # Errors
///
/// Returns the operating system's error if the address cannot be bound.
///
/// # Panics
///
/// Panics in the stand-in's threads if another thread panicked while it held the lock.
pub fn start_kv(address: SocketAddr, limits: KvLimits) -> io::Result<StandIn> {
    let kv = Arc::new(Kv {
        state: Mutex::new(State {
            calls: KvCalls::new(limits.value_bytes),
            clock: Clock::start(),
            faults: KvFaults::default(),
            counts: Counts::default(),
            writes: TokenBucket::new(limits.writes),
            reads: TokenBucket::new(limits.reads),
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
            thread::sleep(LEASE_CHECK_INTERVAL);
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
            // The write stays in effect, but the caller gets a truncated answer.
            http::abort_answer(req);
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
            let header = header(&state.calls.store);
            drop(state);
            let events: Vec<Value> = changes.iter().map(event).collect();
            // A message without events is etcd's progress notice. Sending one detects that
            // the watcher has closed its connection.
            let message = json!({ "result": { "header": header, "events": events } });
            if stream.send(format!("{message}\n").as_bytes()).is_err() {
                return;
            }
            state = self.state.lock().expect("kv lock");
            if state.calls.store.revision < next {
                state = self
                    .changed
                    .wait_timeout(state, MAX_WATCH_WAIT)
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
