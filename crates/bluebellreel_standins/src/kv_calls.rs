//! Calls of the key-value stand-in, independent of HTTP and clocks.

use crate::kv_store::{KvStore, Stored};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bluebellreel_types::Moment;
use serde_json::{Value, json};
use std::time::Duration;

/// A key-value service without HTTP and rate limits, which maps calls to answers.
pub struct KvCalls {
    pub(crate) store: KvStore,
    value_bytes: usize,
}

impl KvCalls {
    /// Creates an empty service that accepts values of at most `value_bytes` bytes.
    #[must_use]
    pub fn new(value_bytes: usize) -> Self {
        Self {
            store: KvStore::default(),
            value_bytes,
        }
    }

    /// Ends expired leases. Returns whether any key was deleted.
    pub fn expire(&mut self, now: Moment) -> bool {
        self.store.expire(now)
    }

    /// Revision of the last change.
    #[must_use]
    pub fn revision(&self) -> i64 {
        self.store.revision
    }

    /// Executes a call of the JSON gateway.
    ///
    /// # Errors
    ///
    /// Returns the reason if the call is malformed, unknown or too large, or names an unknown
    /// lease.
    pub fn call(&mut self, path: &str, body: &Value, now: Moment) -> Result<Value, String> {
        match path {
            "/v3/kv/range" => range(&self.store, body),
            "/v3/kv/put" => {
                let revision = self.store.revision + 1;
                self.put(body, revision)?;
                Ok(json!({ "header": header(&self.store) }))
            }
            "/v3/kv/txn" => self.txn(body),
            "/v3/lease/grant" => {
                let ttl = number(body, "TTL").max(1).unsigned_abs();
                let id = self.store.grant(Duration::from_secs(ttl), now);
                Ok(
                    json!({ "header": header(&self.store), "ID": id.to_string(), "TTL": ttl.to_string() }),
                )
            }
            "/v3/lease/keepalive" => {
                let id = number(body, "ID");
                let ttl = self
                    .store
                    .keep_alive(id, now)
                    .map_or(0, |ttl| ttl.as_secs());
                Ok(json!({ "result": { "ID": id.to_string(), "TTL": ttl.to_string() } }))
            }
            "/v3/lease/revoke" => {
                self.store.revoke(number(body, "ID"));
                Ok(json!({ "header": header(&self.store) }))
            }
            _ => Err("no such call".into()),
        }
    }

    fn put(&mut self, put: &Value, revision: i64) -> Result<(), String> {
        let value = bytes(put, "value")?;
        if value.len() > self.value_bytes {
            return Err("the value is too large".into());
        }
        let lease = number(put, "lease");
        if lease != 0 && !self.store.has_lease(lease) {
            return Err("requested lease not found".into());
        }
        self.store.put(&bytes(put, "key")?, &value, lease, revision);
        Ok(())
    }

    fn txn(&mut self, body: &Value) -> Result<Value, String> {
        let mut holds = true;
        for compare in list(body, "compare") {
            holds &= compare_holds(&self.store, compare)?;
        }
        let branch = if holds { "success" } else { "failure" };
        let operations: Vec<Value> = list(body, branch).cloned().collect();
        for operation in &operations {
            let put = &operation["requestPut"];
            if put.is_object() && bytes(put, "value")?.len() > self.value_bytes {
                return Err("the value is too large".into());
            }
        }
        let revision = self.store.revision + 1;
        let mut responses = Vec::new();
        for operation in &operations {
            if let Some(put) = operation.get("requestPut") {
                self.put(put, revision)?;
                responses.push(json!({ "response_put": {} }));
            } else if let Some(request) = operation.get("requestRange") {
                responses.push(json!({ "response_range": range(&self.store, request)? }));
            } else if let Some(request) = operation.get("requestDeleteRange") {
                let end = bytes(request, "range_end")?;
                let deleted = self.store.delete(&bytes(request, "key")?, &end, revision);
                responses
                    .push(json!({ "response_delete_range": { "deleted": deleted.to_string() } }));
            }
        }
        Ok(json!({ "header": header(&self.store), "succeeded": holds, "responses": responses }))
    }
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

pub(crate) fn key_value(key: &[u8], stored: &Stored, keys_only: bool) -> Value {
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

pub(crate) fn header(store: &KvStore) -> Value {
    json!({ "revision": store.revision.to_string() })
}

pub(crate) fn list<'a>(body: &'a Value, field: &str) -> impl Iterator<Item = &'a Value> + use<'a> {
    body[field].as_array().into_iter().flatten()
}

/// Reads a proto3 JSON integer: a string or a number, 0 if it is absent.
pub(crate) fn number(body: &Value, field: &str) -> i64 {
    let value = &body[field];
    value
        .as_i64()
        .or_else(|| value.as_str()?.parse().ok())
        .unwrap_or(0)
}

pub(crate) fn bytes(body: &Value, field: &str) -> Result<Vec<u8>, String> {
    let text = body[field].as_str().unwrap_or("");
    STANDARD.decode(text).map_err(|e| e.to_string())
}
