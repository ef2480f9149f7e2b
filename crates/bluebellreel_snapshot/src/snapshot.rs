//! The snapshot of one keeper.

use crate::SharedFacts;
use bluebellreel_dispatch::Catalog;
use bluebellreel_members::Revisions;
use bluebellreel_types::{DataCentre, EntryName, Moment};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// How long a snapshot is believed after a gateway with the store has confirmed
/// it. Outages last seconds to minutes; a fleet that changes its configuration
/// some thousand times a day has another one after that.
pub const BELIEVED: Duration = Duration::from_mins(5);
/// Gateways remembered; a fleet has some hundred.
const GATEWAYS: usize = 4096;

/// A gateway that a keeper visits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownGateway {
    /// Where it takes calls of peers.
    pub calls: SocketAddr,
    /// Where it stands, if it has said so.
    pub data_centre: Option<DataCentre>,
}

/// What a keeper holds.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    configuration: Option<(i64, Vec<u8>)>,
    operator_seen: i64,
    catalog: Catalog,
    gateways: BTreeMap<EntryName, KnownGateway>,
    confirmed_at: Option<Moment>,
}

/// Bytes that are no snapshot.
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

/// A snapshot as it is written.
#[derive(Serialize, Deserialize)]
struct Stored {
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

    /// The gateways that are known.
    pub fn gateways(&self) -> impl Iterator<Item = (&EntryName, &KnownGateway)> {
        self.gateways.iter()
    }

    /// Takes facts over that are newer than what is held; whether any is.
    pub fn learn(&mut self, facts: SharedFacts) -> bool {
        let before = self.newest();
        let newer = |revision: i64| revision > before.configuration;
        if let Some((revision, text)) = facts.configuration
            && newer(revision)
        {
            self.configuration = Some((revision, text));
        }
        self.operator_seen = self.operator_seen.max(facts.operator_seen);
        self.catalog
            .learn(facts.workers_seen, facts.workers, facts.is_full_list);
        self.newest() != before
    }

    /// Remembers where a gateway is; whether that has changed.
    pub fn meet(&mut self, name: EntryName, gateway: KnownGateway) -> bool {
        let known = self.gateways.get(&name);
        if known == Some(&gateway) {
            return false;
        }
        // A peer that names it does not say where it stands.
        let same_place = known.is_some_and(|k| k.calls == gateway.calls);
        if same_place && gateway.data_centre.is_none() {
            return false;
        }
        if known.is_none() && self.gateways.len() >= GATEWAYS {
            return false;
        }
        self.gateways.insert(name, gateway);
        true
    }

    /// Forgets a gateway.
    pub fn forget(&mut self, name: &EntryName) {
        self.gateways.remove(name);
    }

    /// A gateway that reaches the store knows no more than this: it is current.
    pub fn confirm(&mut self, now: Moment) {
        self.confirmed_at = Some(now);
    }

    /// When it was confirmed last.
    #[must_use]
    pub fn confirmed_at(&self) -> Option<Moment> {
        self.confirmed_at
    }

    /// What a gateway gets that the store does not answer; nothing if there is
    /// nothing, or if it has not been confirmed for too long.
    ///
    /// The clock may have stepped back since: an age of less than nothing is
    /// none.
    #[must_use]
    pub fn offer(&self, now: Moment) -> Option<SharedFacts> {
        let age = now.since(self.confirmed_at?);
        let left = BELIEVED.checked_sub(age).filter(|left| !left.is_zero())?;
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

    /// The snapshot as it is written.
    ///
    /// # Panics
    ///
    /// Never: a snapshot holds nothing that its format cannot.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let stored = Stored {
            facts: self.facts(),
            gateways: self.gateways.clone(),
            confirmed_at: self.confirmed_at,
        };
        postcard::to_allocvec(&stored).expect("a snapshot is plain data")
    }
}

impl TryFrom<&[u8]> for Snapshot {
    type Error = SnapshotError;

    fn try_from(bytes: &[u8]) -> Result<Self, SnapshotError> {
        let stored: Stored =
            postcard::from_bytes(bytes).map_err(|e| SnapshotError(e.to_string()))?;
        let mut snapshot = Self {
            gateways: stored.gateways,
            confirmed_at: stored.confirmed_at,
            ..Self::default()
        };
        snapshot.learn(stored.facts);
        Ok(snapshot)
    }
}
