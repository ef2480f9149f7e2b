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

/// Timeout for writing a manifest.
const PUT_TIMEOUT: Duration = Duration::from_secs(5);

/// The stored form of a manifest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StoredManifest {
    /// Incremented with every accepted manifest.
    pub(crate) generation: u64,
    /// The manifest's text as the operator sent it.
    pub(crate) text: Arc<str>,
}

/// The result of putting a manifest.
#[derive(Clone, Debug)]
pub(crate) enum PutAnswer {
    /// The manifest was accepted.
    Accepted(StoredManifest),
    /// Another manifest was accepted first; contains the current one.
    Beaten(Option<StoredManifest>),
    /// The manifest was not accepted, for this reason.
    NotDone(String),
    /// The manifest may have been accepted; contains why this is unknown.
    Unknown(String),
}

fn parse(kv: &KeyValue) -> Option<StoredManifest> {
    serde_json::from_slice(&kv.value).ok()
}

/// Reads the current manifest.
pub(crate) fn get_manifest(kv: &KvClient) -> Result<Option<StoredManifest>, KvError> {
    Ok(kv.get(&manifest_key())?.as_ref().and_then(parse))
}

/// Accepts a validated manifest if the current one has the generation that the
/// operator saw.
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

/// Validates a stored manifest, as every process does for itself.
pub(crate) fn accepted(stored: &StoredManifest) -> Option<AcceptedManifest> {
    match Manifest::try_from(&*stored.text) {
        Ok(manifest) => Some(AcceptedManifest {
            generation: stored.generation,
            text: stored.text.clone(),
            manifest: Arc::new(manifest),
        }),
        Err(errors) => {
            let error = errors.first().map(ToString::to_string).unwrap_or_default();
            log::error!(target: "fleet", generation = stored.generation, error; "Stored manifest is invalid.");
            None
        }
    }
}

/// Starts the thread that watches the manifest and sends each new one to the fleet
/// component.
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
