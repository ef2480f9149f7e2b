//! The configuration and the workers as known to this daemon, and what it shares of
//! them with peers.
//!
//! Every part carries the store's revision. A known part is never replaced by an older
//! one, no matter where that came from.

use bluebellreel_dispatch::{Catalog, Configuration};
use bluebellreel_members::{Revisions, WorkerList};
use bluebellreel_platform::{decode_configuration, without_keys};
use bluebellreel_snapshot::{SharedFacts, Validity};
use bluebellreel_teams::Teams;
use bluebellreel_types::Moment;
use log::{info, warn};
use std::rc::Rc;

/// A configuration in force.
#[derive(Clone)]
struct Configured {
    revision: i64,
    /// When it came into force in this daemon.
    since: Moment,
    text: Vec<u8>,
    parsed: Rc<Configuration>,
}

/// The configuration and the workers, from the store, from peers or from a snapshot.
#[derive(Default)]
pub(crate) struct ClusterState {
    configured: Option<Configured>,
    /// Revision of the configuration that was rejected last.
    rejected_revision: i64,
    validity: Validity,
    /// Newest revision of a configuration that was ever in force in this process.
    newest_in_force: i64,
    pub(crate) catalog: Catalog,
    /// Revision up to which all writes of operators are known.
    pub(crate) operator_seen: i64,
}

impl ClusterState {
    pub(crate) fn configuration(&self) -> Option<Rc<Configuration>> {
        self.configured.as_ref().map(|c| c.parsed.clone())
    }

    /// When the configuration came into force in this daemon.
    pub(crate) fn configured_since(&self) -> Option<Moment> {
        self.configured.as_ref().map(|c| c.since)
    }

    fn configuration_revision(&self) -> i64 {
        self.configured.as_ref().map_or(0, |c| c.revision)
    }

    /// Revision of the newest configuration read, even if it was rejected.
    pub(crate) fn held_revision(&self) -> i64 {
        self.configuration_revision().max(self.rejected_revision)
    }

    /// The newest known revisions, as reported to peers.
    pub(crate) fn revisions(&self) -> Revisions {
        Revisions {
            configuration: self.configuration_revision(),
            workers: self.catalog.newest(),
        }
    }

    /// The revisions up to which the state is complete.
    pub(crate) fn seen(&self) -> Revisions {
        Revisions {
            configuration: self.configuration_revision(),
            workers: self.catalog.revision(),
        }
    }

    /// A digest of the list of workers.
    pub(crate) fn list(&self) -> WorkerList {
        WorkerList {
            complete_to: self.catalog.revision(),
            digest: self.catalog.digest(),
        }
    }

    /// Whether a peer with the revisions `theirs` knows changes that this daemon lacks.
    pub(crate) fn lacks(&self, theirs: Revisions) -> bool {
        let own = self.seen();
        theirs.configuration > own.configuration || theirs.workers > own.workers
    }

    /// Puts a configuration into force unless a newer one is or was in force, or it is
    /// invalid.
    pub(crate) fn configure(&mut self, revision: i64, text: &[u8], source: &str, now: Moment) {
        if revision <= self.configuration_revision() || revision < self.newest_in_force {
            return;
        }
        // A rejected configuration remains in the store until the next one, and is
        // read again at each list.
        if revision == self.rejected_revision {
            return;
        }
        let text = without_keys(text);
        let (parsed, skipped) = match decode_configuration(&text) {
            Ok(decoded) => decoded,
            Err(e) => {
                self.rejected_revision = revision;
                warn!(target: "facts", revision, source, error:% = e; "configuration rejected");
                return;
            }
        };
        for e in skipped {
            warn!(target: "facts", revision, source, error:% = e; "route rejected");
        }
        let known = self.configured.as_ref().map_or(0, |c| c.parsed.version);
        if parsed.version < known {
            self.rejected_revision = revision;
            warn!(target: "facts", revision, source, version = parsed.version, known; "older configuration ignored");
            return;
        }
        info!(target: "facts", revision, source, version = parsed.version, routes = parsed.routes.len(), teams = parsed.teams.as_ref().map_or(0, Teams::len); "configuration in force");
        self.newest_in_force = revision;
        self.configured = Some(Configured {
            revision,
            since: now,
            text,
            parsed: Rc::new(parsed),
        });
    }

    /// The changes that a peer lacks whose state is complete up to `seen`.
    pub(crate) fn share(&self, seen: Revisions, now: Moment) -> SharedFacts {
        let newer = self.configured.as_ref();
        let newer = newer.filter(|c| c.revision > seen.configuration);
        let workers = self
            .catalog
            .facts_after(seen.workers)
            .map(|(revision, id, record)| (revision, id.clone(), record.cloned()));
        SharedFacts {
            configuration: newer.map(|c| (c.revision, c.text.clone())),
            operator_seen: self.operator_seen,
            workers_seen: self.catalog.revision(),
            workers: workers.collect(),
            valid_for: self.validity.left(now),
            is_full_list: false,
        }
    }

    /// Whether [`Self::share`] contains every change that a peer lacks whose state is
    /// complete up to `seen`.
    pub(crate) fn has_all_changes_after(&self, seen: Revisions) -> bool {
        self.catalog.has_all_changes_after(seen.workers)
    }

    /// Records that the store has confirmed all known writes of operators, so that the
    /// state no longer expires.
    pub(crate) fn confirmed_by_store(&mut self) {
        self.validity.confirm();
    }

    /// Whether the whole state comes from a snapshot.
    pub(crate) fn is_from_snapshot(&self) -> bool {
        self.validity.is_from_snapshot()
    }

    /// Discards state from a snapshot once it has expired. Returns whether there was
    /// any.
    ///
    /// Without expiry, an operator's change that was acknowledged meanwhile would never
    /// come into force here. The revision of a discarded configuration is still
    /// remembered, so that no older one comes into force in this process.
    pub(crate) fn expire(&mut self, now: Moment) -> bool {
        if !self.validity.is_over(now) {
            return false;
        }
        self.validity = Validity::default();
        self.configured = None;
        self.catalog = Catalog::default();
        self.operator_seen = 0;
        true
    }

    /// Merges newer state from a peer or a snapshot. Returns whether workers changed.
    pub(crate) fn merge(&mut self, shared: SharedFacts, source: &str, now: Moment) -> bool {
        let operator_seen = self.configured.as_ref().map(|_| self.operator_seen);
        self.validity.merge(operator_seen, &shared, now);
        if let Some((revision, text)) = shared.configuration {
            self.configure(revision, &text, source, now);
        }
        let changed = self
            .catalog
            .learn(shared.workers_seen, shared.workers, shared.is_full_list);
        self.operator_seen = self.operator_seen.max(shared.operator_seen);
        changed
    }
}
