//! The manifest in the key-value service.

use crate::fleet::FleetMessage;
use crate::handles::DaemonHandles;
use crate::message::Message;
use crate::platform::{follow_prefix, manifest_key};
use bluebellreel_fleet::{AcceptedManifest, Manifest};
use bluebellreel_kv::{Commit, KeyValue, KvClient, KvError, Txn, WatchEvent};
use serde::{Deserialize, Serialize};
use std::io;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Longest time to put a manifest.
const PUT_TIMEOUT: Duration = Duration::from_secs(5);

/// A manifest as it is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StoredManifest {
    /// Grows with every acceptance.
    pub(crate) generation: u64,
    /// As it was put.
    pub(crate) text: Arc<str>,
}

/// How a put came out.
#[derive(Clone, Debug)]
pub(crate) enum PutAnswer {
    /// Accepted.
    Accepted(StoredManifest),
    /// Another was accepted first; this is the one that stands.
    Beaten(Option<StoredManifest>),
    /// It was not accepted.
    NotDone(String),
    /// It may have been accepted.
    Unknown(String),
}

fn parse(kv: &KeyValue) -> Option<StoredManifest> {
    serde_json::from_slice(&kv.value).ok()
}

/// Reads the manifest that stands.
pub(crate) fn get_manifest(kv: &KvClient) -> Result<Option<StoredManifest>, KvError> {
    Ok(kv.get(&manifest_key())?.as_ref().and_then(parse))
}

/// Accepts a checked manifest if the one that stands has the generation that
/// the operator saw.
pub(crate) fn put_manifest(kv: &KvClient, seen: u64, text: &str) -> PutAnswer {
    let found = match kv.get(&manifest_key()) {
        Ok(found) => found,
        Err(e) => return PutAnswer::NotDone(e.to_string()),
    };
    let current = found.as_ref().and_then(parse);
    let generation = current.as_ref().map_or(0, |m| m.generation);
    if generation != seen {
        return PutAnswer::Beaten(current);
    }
    let next = StoredManifest {
        generation: generation + 1,
        text: Arc::from(text),
    };
    let value = serde_json::to_vec(&next).unwrap_or_default();
    let txn = match &found {
        Some(found) => Txn::replace(manifest_key(), found.revision, value),
        None => Txn::create(manifest_key(), value),
    };
    match kv.commit(&txn, kv.now() + PUT_TIMEOUT) {
        Commit::Applied { .. } => PutAnswer::Accepted(next),
        Commit::Beaten(found) => PutAnswer::Beaten(found.first().and_then(parse)),
        Commit::NotDone(reason) => PutAnswer::NotDone(reason),
        Commit::Unknown(reason) => PutAnswer::Unknown(reason),
    }
}

/// Checks a stored manifest again, as every process does for itself.
pub(crate) fn accepted(stored: &StoredManifest) -> Option<AcceptedManifest> {
    match Manifest::try_from(&*stored.text) {
        Ok(manifest) => Some(AcceptedManifest {
            generation: stored.generation,
            text: stored.text.clone(),
            manifest: Arc::new(manifest),
        }),
        Err(errors) => {
            let error = errors.first().map(ToString::to_string).unwrap_or_default();
            log::error!(target: "fleet", generation = stored.generation, error; "The stored manifest cannot be read.");
            None
        }
    }
}

/// Follows the manifest and offers each one to the fleet part.
pub(crate) fn watch_manifest(handles: &DaemonHandles) -> io::Result<()> {
    let handles = handles.clone();
    thread::Builder::new()
        .name("manifest-watch".into())
        .spawn(move || {
            let offer = |kv: &KeyValue| {
                let Some(accepted) = parse(kv).as_ref().and_then(accepted) else {
                    return true;
                };
                handles.send_message(Message::Fleet(FleetMessage::ManifestAccepted(accepted)))
            };
            follow_prefix(
                &handles.kv,
                &manifest_key(),
                |all| all.iter().all(offer) && handles.send_message(Message::ManifestRead),
                |event| match event {
                    WatchEvent::Put(kv) => offer(&kv),
                    WatchEvent::Deleted { .. } => true,
                },
            );
        })?;
    Ok(())
}
