//! A keeper's snapshot of the configuration, the workers and the gateways.

use crate::SharedFacts;
use bluebellreel_dispatch::{Catalog, WorkerRecord};
use bluebellreel_members::Revisions;
use bluebellreel_types::{DataCentre, EntryName, Moment};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// How long a snapshot is valid after a gateway that reaches the store confirmed it.
/// Outages last from seconds to minutes. In a fleet that changes its configuration
/// thousands of times a day, a snapshot of that age holds an outdated configuration.
pub const SNAPSHOT_TTL: Duration = Duration::from_mins(5);
/// Maximum number of known gateways; a fleet has a few hundred.
const MAX_GATEWAYS: usize = 4096;

/// A gateway that a keeper visits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownGateway {
    /// Address for calls from peers.
    pub calls: SocketAddr,
    /// Its data centre, if it has reported one.
    pub data_centre: Option<DataCentre>,
}

/// The facts and gateway addresses that a keeper holds.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    configuration: Option<(i64, Vec<u8>)>,
    operator_seen: i64,
    catalog: Catalog,
    gateways: BTreeMap<EntryName, KnownGateway>,
    confirmed_at: Option<Moment>,
}

/// Bytes that cannot be decoded as a snapshot or as progress backups.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotError(String);

impl fmt::Display for SnapshotError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "snapshot unreadable: {}", self.0)
    }
}

impl std::error::Error for SnapshotError {}

impl From<String> for SnapshotError {
    fn from(reason: String) -> Self {
        Self(reason)
    }
}

/// Stored form of a snapshot.
#[derive(Serialize, Deserialize)]
struct StoredSnapshot {
    facts: SharedFacts,
    gateways: BTreeMap<EntryName, KnownGateway>,
    confirmed_at: Option<Moment>,
}

impl Snapshot {
    /// Revisions of the newest facts.
    #[must_use]
    pub fn newest(&self) -> Revisions {
        Revisions {
            configuration: self.configuration.as_ref().map_or(0, |(r, _)| *r),
            workers: self.catalog.newest(),
        }
    }

    /// All listed workers.
    pub fn workers(&self) -> impl Iterator<Item = &WorkerRecord> {
        self.catalog.workers()
    }

    /// All known gateways.
    pub fn gateways(&self) -> impl Iterator<Item = (&EntryName, &KnownGateway)> {
        self.gateways.iter()
    }

    /// Merges facts that are newer than those held. Returns whether there were any.
    pub fn merge(&mut self, facts: SharedFacts) -> bool {
        let before = self.newest();
        let is_newer = |revision: i64| revision > before.configuration;
        if let Some((revision, text)) = facts.configuration
            && is_newer(revision)
        {
            self.configuration = Some((revision, text));
        }
        self.operator_seen = self.operator_seen.max(facts.operator_seen);
        self.catalog
            .learn(facts.workers_seen, facts.workers, facts.is_full_list);
        self.newest() != before
    }

    /// Adds a gateway or updates its address. Returns whether that changed anything.
    pub fn add_gateway(&mut self, name: EntryName, gateway: KnownGateway) -> bool {
        let known = self.gateways.get(&name);
        if known == Some(&gateway) {
            return false;
        }
        // Peers that report this gateway do not know its data centre.
        let same_address = known.is_some_and(|k| k.calls == gateway.calls);
        if same_address && gateway.data_centre.is_none() {
            return false;
        }
        if known.is_none() && self.gateways.len() >= MAX_GATEWAYS {
            return false;
        }
        self.gateways.insert(name, gateway);
        true
    }

    /// Removes a gateway.
    pub fn remove_gateway(&mut self, name: &EntryName) {
        self.gateways.remove(name);
    }

    /// Notes that a gateway which reaches the store has no newer facts, so this
    /// snapshot is current.
    pub fn confirm(&mut self, now: Moment) {
        self.confirmed_at = Some(now);
    }

    /// When the snapshot was last confirmed.
    #[must_use]
    pub fn confirmed_at(&self) -> Option<Moment> {
        self.confirmed_at
    }

    /// The facts for a gateway that the store does not answer; none if there is no
    /// configuration, or if the last confirmation is missing or older than
    /// `SNAPSHOT_TTL`.
    ///
    /// If the clock was set back since the confirmation, the age counts as zero.
    #[must_use]
    pub fn offer(&self, now: Moment) -> Option<SharedFacts> {
        let age = now.since(self.confirmed_at?);
        let left = SNAPSHOT_TTL
            .checked_sub(age)
            .filter(|left| !left.is_zero())?;
        self.configuration.as_ref()?;
        Some(SharedFacts {
            valid_for: Some(left),
            ..self.facts()
        })
    }

    fn facts(&self) -> SharedFacts {
        let workers = self.catalog.facts_after(0);
        SharedFacts {
            configuration: self.configuration.clone(),
            operator_seen: self.operator_seen,
            workers_seen: self.catalog.revision(),
            workers: workers
                .map(|(revision, id, record)| (revision, id.clone(), record.cloned()))
                .collect(),
            valid_for: None,
            is_full_list: false,
        }
    }

    /// Encodes the snapshot for the disk.
    ///
    /// # Panics
    ///
    /// Never: a snapshot always serializes to postcard.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let stored = StoredSnapshot {
            facts: self.facts(),
            gateways: self.gateways.clone(),
            confirmed_at: self.confirmed_at,
        };
        let encoded = stored.facts.encode_with(&stored);
        encoded.expect("a snapshot serializes to postcard")
    }
}

impl TryFrom<&[u8]> for Snapshot {
    type Error = SnapshotError;

    fn try_from(bytes: &[u8]) -> Result<Self, SnapshotError> {
        let unreadable = |e: postcard::Error| SnapshotError(e.to_string());
        let (mut stored, rest) =
            postcard::take_from_bytes::<StoredSnapshot>(bytes).map_err(unreadable)?;
        stored.facts.read_versions(rest).map_err(unreadable)?;
        let mut snapshot = Self {
            gateways: stored.gateways,
            confirmed_at: stored.confirmed_at,
            ..Self::default()
        };
        snapshot.merge(stored.facts);
        Ok(snapshot)
    }
}
