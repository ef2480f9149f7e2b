//! Messages of etcd v3's JSON gateway.

use crate::{Compare, Key, KeyValue, Txn};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Deserializer};
use serde_json::{Value, json};

/// Separates the write id at the start of a stored value from the value.
const WRITER_END: u8 = b'\n';

#[derive(Debug, Default, Deserialize)]
pub(crate) struct Header {
    #[serde(default, deserialize_with = "number")]
    pub(crate) revision: i64,
}

#[derive(Debug, Deserialize)]
pub(crate) struct RawKeyValue {
    key: String,
    #[serde(default)]
    value: String,
    #[serde(default, deserialize_with = "number")]
    pub(crate) mod_revision: i64,
}

impl RawKeyValue {
    /// The first key after this one.
    pub(crate) fn next_key(&self) -> Result<Vec<u8>, String> {
        let mut key = STANDARD.decode(&self.key).map_err(|e| e.to_string())?;
        key.push(0);
        Ok(key)
    }
}

#[derive(Debug, Default, Deserialize)]
pub(crate) struct RangeAnswer {
    #[serde(default)]
    pub(crate) header: Header,
    #[serde(default)]
    pub(crate) kvs: Vec<RawKeyValue>,
    #[serde(default)]
    pub(crate) more: bool,
}

#[derive(Debug, Deserialize)]
pub(crate) struct TxnAnswer {
    #[serde(default)]
    pub(crate) header: Header,
    #[serde(default)]
    pub(crate) succeeded: bool,
    #[serde(default)]
    pub(crate) responses: Vec<TxnResponse>,
}

#[derive(Debug, Deserialize)]
pub(crate) struct TxnResponse {
    #[serde(default, alias = "responseRange")]
    pub(crate) response_range: Option<RangeAnswer>,
}

#[derive(Debug, Deserialize)]
pub(crate) struct LeaseAnswer {
    #[serde(default, rename = "ID", deserialize_with = "number")]
    pub(crate) id: i64,
    #[serde(default, rename = "TTL", deserialize_with = "number")]
    pub(crate) ttl: i64,
}

#[derive(Debug, Deserialize)]
pub(crate) struct StreamMessage<T> {
    pub(crate) result: T,
}

#[derive(Debug, Deserialize)]
pub(crate) struct WatchAnswer {
    #[serde(default)]
    pub(crate) header: Header,
    /// The watch is open; no change was looked for yet.
    #[serde(default)]
    pub(crate) created: bool,
    #[serde(default)]
    pub(crate) canceled: bool,
    #[serde(default)]
    pub(crate) events: Vec<RawEvent>,
}

#[derive(Debug, Deserialize)]
pub(crate) struct RawEvent {
    #[serde(default, rename = "type")]
    pub(crate) kind: String,
    pub(crate) kv: RawKeyValue,
}

/// Proto3 JSON encodes 64-bit numbers as strings.
fn number<'de, D: Deserializer<'de>>(from: D) -> Result<i64, D::Error> {
    let value = Value::deserialize(from)?;
    let parsed = match &value {
        Value::String(text) => text.parse().ok(),
        other => other.as_i64(),
    };
    parsed.ok_or_else(|| serde::de::Error::custom("expected a 64-bit number"))
}

impl TryFrom<RawKeyValue> for KeyValue {
    type Error = String;

    fn try_from(raw: RawKeyValue) -> Result<Self, Self::Error> {
        let key = STANDARD.decode(&raw.key).map_err(|e| e.to_string())?;
        let key = String::from_utf8(key).map_err(|e| e.to_string())?;
        let mut value = STANDARD.decode(&raw.value).map_err(|e| e.to_string())?;
        let end = value.iter().position(|byte| *byte == WRITER_END);
        let writer = match end {
            Some(end) => {
                let rest = value.split_off(end + 1);
                let writer = std::mem::replace(&mut value, rest);
                String::from_utf8_lossy(&writer[..end]).into_owned()
            }
            None => String::new(),
        };
        Ok(Self {
            key: Key::from(key),
            revision: raw.mod_revision,
            writer,
            value,
        })
    }
}

/// The keys and values that can be read. Another writer's key may be no text; an error would
/// make all others unavailable.
pub(crate) fn key_values(raw: Vec<RawKeyValue>) -> Vec<KeyValue> {
    let all = raw.into_iter();
    all.filter_map(|raw| KeyValue::try_from(raw).ok()).collect()
}

pub(crate) fn range_body(key: &[u8], end: &[u8], limit: usize, keys_only: bool) -> Value {
    json!({
        "key": STANDARD.encode(key),
        "range_end": STANDARD.encode(end),
        "limit": limit.to_string(),
        "keys_only": keys_only,
    })
}

pub(crate) fn watch_body(key: &Key, from: i64) -> Value {
    json!({ "create_request": {
        "key": STANDARD.encode(key.as_str()),
        "range_end": STANDARD.encode(key.prefix_end()),
        "start_revision": from.to_string(),
        "progress_notify": true,
    }})
}

pub(crate) fn txn_body(txn: &Txn, writer: &str) -> Value {
    let compare: Vec<Value> = txn.compares.iter().map(compare_body).collect();
    let puts = txn.puts.iter().map(|put| {
        let mut value = writer.as_bytes().to_vec();
        value.push(WRITER_END);
        value.extend_from_slice(&put.value);
        json!({ "requestPut": {
            "key": STANDARD.encode(put.key.as_str()),
            "value": STANDARD.encode(value),
            "lease": put.lease.to_string(),
        }})
    });
    let deletes = txn
        .deletes
        .iter()
        .map(|key| json!({ "requestDeleteRange": { "key": STANDARD.encode(key.as_str()) } }));
    let success: Vec<Value> = puts.chain(deletes).collect();
    let reads = txn.puts.first().map(|put| &put.key).into_iter();
    let failure: Vec<Value> = reads
        .chain(&txn.read_on_failure)
        .map(|key| json!({ "requestRange": { "key": STANDARD.encode(key.as_str()) } }))
        .collect();
    json!({ "compare": compare, "success": success, "failure": failure })
}

pub(crate) fn delete_body(prefix: &Key) -> Value {
    json!({ "success": [{ "requestDeleteRange": {
        "key": STANDARD.encode(prefix.as_str()),
        "range_end": STANDARD.encode(prefix.prefix_end()),
    }}]})
}

fn compare_body(compare: &Compare) -> Value {
    match compare {
        Compare::Unchanged(key, revision) => json!({
            "key": STANDARD.encode(key.as_str()),
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": revision.to_string(),
        }),
        Compare::Absent(key) => json!({
            "key": STANDARD.encode(key.as_str()),
            "target": "CREATE",
            "result": "EQUAL",
            "create_revision": "0",
        }),
    }
}
