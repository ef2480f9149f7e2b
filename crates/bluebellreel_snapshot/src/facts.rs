//! Facts from the store as daemons pass them on.
//!
//! The versions of workers follow the facts in the encoded form. Daemons of an earlier build
//! ignore the bytes after the facts, and send none.

use bluebellreel_dispatch::WorkerRecord;
use bluebellreel_types::{WorkerName, WorkerVersion};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// State of a worker and the revision of its last change; no record if the worker was
/// removed.
pub type WorkerFact = (i64, WorkerName, Option<WorkerRecord>);

/// Facts that the requesting daemon does not have yet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedFacts {
    /// Revision and stored text of the configuration.
    pub configuration: Option<(i64, Vec<u8>)>,
    /// Revision up to which all operator writes are known.
    pub operator_seen: i64,
    /// Revision up to which all worker changes are known.
    pub workers_seen: i64,
    /// Changed workers.
    pub workers: Vec<WorkerFact>,
    /// How much longer these facts are valid without the store; none, for no limit, if
    /// the sending daemon has them from the store.
    pub valid_for: Option<Duration>,
    /// Whether `workers` lists all workers and not only the changed ones. The receiver
    /// sets it by its request; it is not sent.
    #[serde(skip)]
    pub is_full_list: bool,
}

/// Versions of the workers in a list of facts, in the same order.
type Versions = Vec<Option<WorkerVersion>>;

impl SharedFacts {
    /// Encodes the facts for a daemon or for the disk.
    ///
    /// # Panics
    ///
    /// Never: facts always serialize to postcard.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        self.encode_with(self).expect("facts serialize to postcard")
    }

    /// Decodes facts.
    ///
    /// # Errors
    ///
    /// Returns the decoding error if the bytes are not encoded facts.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let (mut facts, rest) = postcard::take_from_bytes::<Self>(bytes)?;
        facts.read_versions(rest)?;
        Ok(facts)
    }

    /// Encodes a value that contains these facts, followed by the versions of the workers.
    pub(crate) fn encode_with(&self, value: &impl Serialize) -> Result<Vec<u8>, postcard::Error> {
        let records = self.workers.iter().map(|(.., record)| record.as_ref());
        let versions: Versions = records.map(|r| r?.version.clone()).collect();
        postcard::to_extend(&versions, postcard::to_allocvec(value)?)
    }

    /// Sets the versions of the workers from the bytes that follow the facts.
    pub(crate) fn read_versions(&mut self, bytes: &[u8]) -> Result<(), postcard::Error> {
        if bytes.is_empty() {
            return Ok(());
        }
        let versions: Versions = postcard::from_bytes(bytes)?;
        for ((.., record), version) in self.workers.iter_mut().zip(versions) {
            if let Some(record) = record {
                record.version = version;
            }
        }
        Ok(())
    }
}
