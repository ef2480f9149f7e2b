//! Stand-in for the platform's key-value service: etcd v3's JSON gateway.

use crate::http::{self, StandIn};
use crate::kv_store::{Change, KvStore, Stored};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bluebellreel_http::{ChunkedStream, Request};
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
    store: KvStore,
    faults: KvFaults,
    counts: Counts,
    writes: Bucket,
    reads: Bucket,
}

struct Kv {
    limits: KvLimits,
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
        limits,
        state: Mutex::new(State {
            store: KvStore::default(),
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
            if state.store.expire(Instant::now()) {
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
        let before = state.store.revision;
        let result = self.run(&mut state.store, path, body);
        let wrote = before != state.store.revision;
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
            http::garble(req);
            return;
        }
        match result {
            Ok(value) => http::answer(req, 200, &value),
            Err(e) => http::refuse(req, 400, &e),
        }
    }

    fn run(&self, store: &mut KvStore, path: &str, body: &Value) -> Result<Value, String> {
        match path {
            "/v3/kv/range" => range(store, body),
            "/v3/kv/put" => {
                let revision = store.revision + 1;
                self.put(store, body, revision)?;
                Ok(json!({ "header": header(store) }))
            }
            "/v3/kv/txn" => self.txn(store, body),
            "/v3/lease/grant" => {
                let ttl = number(body, "TTL").max(1).unsigned_abs();
                let id = store.grant(Duration::from_secs(ttl));
                Ok(json!({ "header": header(store), "ID": id.to_string(), "TTL": ttl.to_string() }))
            }
            "/v3/lease/keepalive" => {
                let id = number(body, "ID");
                let ttl = store.keep_alive(id).map_or(0, |ttl| ttl.as_secs());
                Ok(json!({ "result": { "ID": id.to_string(), "TTL": ttl.to_string() } }))
            }
            "/v3/lease/revoke" => {
                store.revoke(number(body, "ID"));
                Ok(json!({ "header": header(store) }))
            }
            _ => Err("no such call".into()),
        }
    }

    fn put(&self, store: &mut KvStore, put: &Value, revision: i64) -> Result<(), String> {
        let value = bytes(put, "value")?;
        if value.len() > self.limits.value_bytes {
            return Err("the value is too large".into());
        }
        let lease = number(put, "lease");
        if lease != 0 && !store.has_lease(lease) {
            return Err("requested lease not found".into());
        }
        store.put(&bytes(put, "key")?, &value, lease, revision);
        Ok(())
    }

    fn txn(&self, store: &mut KvStore, body: &Value) -> Result<Value, String> {
        let mut holds = true;
        for compare in list(body, "compare") {
            holds &= compare_holds(store, compare)?;
        }
        let branch = if holds { "success" } else { "failure" };
        let operations: Vec<Value> = list(body, branch).cloned().collect();
        for operation in &operations {
            let put = &operation["requestPut"];
            if put.is_object() && bytes(put, "value")?.len() > self.limits.value_bytes {
                return Err("the value is too large".into());
            }
        }
        let revision = store.revision + 1;
        let mut responses = Vec::new();
        for operation in &operations {
            if let Some(put) = operation.get("requestPut") {
                self.put(store, put, revision)?;
                responses.push(json!({ "response_put": {} }));
            } else if let Some(request) = operation.get("requestRange") {
                responses.push(json!({ "response_range": range(store, request)? }));
            } else if let Some(request) = operation.get("requestDeleteRange") {
                let end = bytes(request, "range_end")?;
                let deleted = store.delete(&bytes(request, "key")?, &end, revision);
                responses
                    .push(json!({ "response_delete_range": { "deleted": deleted.to_string() } }));
            }
        }
        Ok(json!({ "header": header(store), "succeeded": holds, "responses": responses }))
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
            state.store.revision + 1
        };
        let created = json!({ "result": { "header": header(&state.store), "created": true } });
        if stream.send(format!("{created}\n").as_bytes()).is_err() {
            return;
        }
        loop {
            if state.faults.down {
                return;
            }
            let changes = state.store.changes(&key, &end, next);
            next = state.store.revision + 1;
            let at = header(&state.store);
            drop(state);
            let events: Vec<Value> = changes.iter().map(event).collect();
            // An empty message is etcd's progress notice; it shows here
            // whether the watcher is still there.
            let message = json!({ "result": { "header": at, "events": events } });
            if stream.send(format!("{message}\n").as_bytes()).is_err() {
                return;
            }
            state = self.state.lock().expect("kv lock");
            if state.store.revision < next {
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

fn compare_holds(store: &KvStore, compare: &Value) -> Result<bool, String> {
    let stored = store.get(&bytes(compare, "key")?);
    let result = compare["result"].as_str().unwrap_or("EQUAL");
    let (have, want) = match compare["target"].as_str().unwrap_or("VERSION") {
        "MOD" => (
            stored.map_or(0, |s| s.mod_revision),
            number(compare, "mod_revision"),
        ),
        "CREATE" => (
            stored.map_or(0, |s| s.create_revision),
            number(compare, "create_revision"),
        ),
        "VERSION" => (stored.map_or(0, |s| s.version), number(compare, "version")),
        other => return Err(format!("compare target {other} is not supported")),
    };
    Ok(match result {
        "EQUAL" => have == want,
        "NOT_EQUAL" => have != want,
        "GREATER" => have > want,
        "LESS" => have < want,
        other => return Err(format!("compare result {other} is not supported")),
    })
}

fn range(store: &KvStore, body: &Value) -> Result<Value, String> {
    let found = store.range(&bytes(body, "key")?, &bytes(body, "range_end")?);
    let limit = usize::try_from(number(body, "limit")).unwrap_or(0);
    let keys_only = body["keys_only"].as_bool().unwrap_or(false);
    let count = found.len();
    let shown = if limit == 0 { count } else { limit.min(count) };
    let kvs: Vec<Value> = found
        .into_iter()
        .take(shown)
        .map(|(key, stored)| key_value(key, stored, keys_only))
        .collect();
    Ok(json!({
        "header": header(store),
        "kvs": kvs,
        "more": shown < count,
        "count": count.to_string(),
    }))
}

fn key_value(key: &[u8], stored: &Stored, keys_only: bool) -> Value {
    let mut value = json!({
        "key": STANDARD.encode(key),
        "create_revision": stored.create_revision.to_string(),
        "mod_revision": stored.mod_revision.to_string(),
        "version": stored.version.to_string(),
    });
    if !keys_only {
        value["value"] = STANDARD.encode(&stored.value).into();
    }
    if stored.lease != 0 {
        value["lease"] = stored.lease.to_string().into();
    }
    value
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

fn header(store: &KvStore) -> Value {
    json!({ "revision": store.revision.to_string() })
}

fn list<'a>(body: &'a Value, field: &str) -> impl Iterator<Item = &'a Value> + use<'a> {
    body[field].as_array().into_iter().flatten()
}

/// A proto3 JSON integer: a string or a number, zero when left out.
fn number(body: &Value, field: &str) -> i64 {
    let value = &body[field];
    value
        .as_i64()
        .or_else(|| value.as_str()?.parse().ok())
        .unwrap_or(0)
}

fn bytes(body: &Value, field: &str) -> Result<Vec<u8>, String> {
    let text = body[field].as_str().unwrap_or("");
    STANDARD.decode(text).map_err(|e| e.to_string())
}
