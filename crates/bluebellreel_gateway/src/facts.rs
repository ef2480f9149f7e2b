//! What the store says of configuration and workers, as this daemon believes
//! it, and what it hands on to peers.
//!
//! Every fact carries the store's revision. Nothing known is ever replaced by
//! an older fact, whichever way it came.

use bluebellreel_dispatch::{Catalog, Configuration};
use bluebellreel_members::{Revisions, WorkerList};
use bluebellreel_platform::decode_configuration;
use bluebellreel_snapshot::SharedFacts;
use bluebellreel_types::Moment;
use log::{info, warn};
use std::rc::Rc;
use std::time::Duration;

/// The configuration with its origin.
#[derive(Clone)]
struct Configured {
    revision: i64,
    /// Since when it is in force here.
    since: Moment,
    text: Vec<u8>,
    checked: Rc<Configuration>,
}

/// Facts of the store.
#[derive(Default)]
pub(crate) struct Facts {
    configured: Option<Configured>,
    /// Revision of the configuration that was not taken last.
    refused: i64,
    /// Until when facts are believed that a snapshot brought; no bound for what
    /// the store has said, itself or by way of peers.
    believed_until: Option<Moment>,
    /// Newest revision of a configuration that was ever in force in this run.
    in_force_to: i64,
    pub(crate) catalog: Catalog,
    /// Revision up to which all that operators wrote is known.
    pub(crate) operator_seen: i64,
}

impl Facts {
    pub(crate) fn configuration(&self) -> Option<Rc<Configuration>> {
        self.configured.as_ref().map(|c| c.checked.clone())
    }

    /// Since when the configuration is in force here.
    pub(crate) fn configured_since(&self) -> Option<Moment> {
        self.configured.as_ref().map(|c| c.since)
    }

    fn configuration_revision(&self) -> i64 {
        self.configured.as_ref().map_or(0, |c| c.revision)
    }

    /// What is reported to peers of the facts known here.
    pub(crate) fn revisions(&self) -> Revisions {
        Revisions {
            configuration: self.configuration_revision(),
            workers: self.catalog.newest(),
        }
    }

    /// Up to where everything is known here.
    pub(crate) fn seen(&self) -> Revisions {
        Revisions {
            configuration: self.configuration_revision(),
            workers: self.catalog.revision(),
        }
    }

    /// Which workers are listed here.
    pub(crate) fn list(&self) -> WorkerList {
        WorkerList {
            complete_to: self.catalog.revision(),
            digest: self.catalog.digest(),
        }
    }

    /// Whether a peer knows something that is not known here.
    pub(crate) fn lacks(&self, theirs: Revisions) -> bool {
        let own = self.seen();
        theirs.configuration > own.configuration || theirs.workers > own.workers
    }

    /// Takes a configuration over unless a newer one is in force.
    pub(crate) fn configure(&mut self, revision: i64, text: &[u8], source: &str, now: Moment) {
        if revision <= self.configuration_revision() || revision < self.in_force_to {
            return;
        }
        // It stands in the store until the next one, and is read at each list.
        if revision == self.refused {
            return;
        }
        let (checked, passed_over) = match decode_configuration(text) {
            Ok(decoded) => decoded,
            Err(e) => {
                self.refused = revision;
                warn!(target: "facts", revision, source, error:% = e; "configuration not taken");
                return;
            }
        };
        for e in passed_over {
            warn!(target: "facts", revision, source, error:% = e; "route not taken");
        }
        let known = self.configured.as_ref().map_or(0, |c| c.checked.version);
        if checked.version < known {
            self.refused = revision;
            warn!(target: "facts", revision, source, version = checked.version, known; "older configuration not taken");
            return;
        }
        info!(target: "facts", revision, source, version = checked.version, routes = checked.routes.len(); "configuration in force");
        self.in_force_to = revision;
        self.configured = Some(Configured {
            revision,
            since: now,
            text: text.to_vec(),
            checked: Rc::new(checked),
        });
    }

    /// What a peer lacks that knows everything up to `seen`.
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
            valid_for: self.believed_until.map(|until| until.since(now)),
            is_full_list: false,
        }
    }

    /// Whether what is shared with a peer that knows all up to `seen` is all that
    /// it lacks.
    pub(crate) fn tells_all_after(&self, seen: Revisions) -> bool {
        self.catalog.tells_all_after(seen.workers)
    }

    /// Notes how long facts may be believed that are about to be taken over.
    /// What the store has said is not made less sure by what a snapshot adds.
    fn believe(&mut self, valid_for: Option<Duration>, now: Moment) {
        let knows_nothing = self.configured.is_none();
        match valid_for {
            None => self.believed_until = None,
            Some(left) if knows_nothing || self.believed_until.is_some() => {
                let until = now + left;
                let before = self.believed_until.unwrap_or(until);
                self.believed_until = Some(before.max(until));
            }
            Some(_) => {}
        }
    }

    /// All that is known of what operators wrote comes from the store.
    pub(crate) fn confirmed_by_store(&mut self) {
        self.believed_until = None;
    }

    /// Whether all that is known comes from a snapshot.
    pub(crate) fn is_from_snapshot(&self) -> bool {
        self.believed_until.is_some()
    }

    /// Forgets what a snapshot brought once it is no longer believed; whether
    /// there was any.
    ///
    /// An operator's change that was acknowledged meanwhile would never come into
    /// force here. A configuration that was in force is not forgotten as such:
    /// no older one follows it in this run.
    pub(crate) fn expire(&mut self, now: Moment) -> bool {
        if !self.believed_until.is_some_and(|until| until.is_past(now)) {
            return false;
        }
        self.believed_until = None;
        self.configured = None;
        self.catalog = Catalog::default();
        self.operator_seen = 0;
        true
    }

    /// Takes over what a peer knows better; whether workers changed.
    pub(crate) fn learn(&mut self, shared: SharedFacts, source: &str, now: Moment) -> bool {
        self.believe(shared.valid_for, now);
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
