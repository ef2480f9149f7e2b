//! Which versions of each service's workers were listed when.

use bluebellreel_types::{Moment, WorkerVersion};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// How long a version that is no longer listed is remembered.
const RETENTION: Duration = Duration::from_mins(30);

/// How much later than another daemon one may learn of a version.
const MAX_LAG: Duration = Duration::from_secs(5);
/// The smallest difference between two moments.
const TICK: Duration = Duration::from_micros(1);

/// A time during which workers of a version were listed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Span {
    /// None stands for workers whose version is not known.
    version: Option<WorkerVersion>,
    from: Moment,
    /// None while workers of the version are listed.
    until: Option<Moment>,
}

impl Span {
    fn overlaps(&self, since: Moment) -> bool {
        self.until.is_none_or(|until| until >= since)
    }
}

/// The versions that were listed lately, for each service.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct VersionHistory {
    services: BTreeMap<Arc<str>, Vec<Span>>,
    /// When this daemon first had a list of workers.
    since: Option<Moment>,
}

impl VersionHistory {
    /// Applies a list of all workers, each with its service and version.
    pub fn update<'a>(
        &mut self,
        workers: impl Iterator<Item = (&'a Arc<str>, Option<&'a WorkerVersion>)>,
        now: Moment,
    ) {
        let listed: BTreeSet<(&Arc<str>, Option<&WorkerVersion>)> = workers.collect();
        let mut listed: BTreeSet<(Arc<str>, Option<WorkerVersion>)> = listed
            .into_iter()
            .map(|(service, version)| (service.clone(), version.cloned()))
            .collect();
        if !listed.is_empty() {
            self.since.get_or_insert(now);
        }
        for (service, spans) in &mut self.services {
            for span in spans.iter_mut().filter(|s| s.until.is_none()) {
                if !listed.remove(&(service.clone(), span.version.clone())) {
                    span.until = Some(now);
                }
            }
            spans.retain(|s| {
                s.until
                    .is_none_or(|until| !(until + RETENTION).is_past(now))
            });
        }
        for (service, version) in listed {
            let span = Span {
                version,
                from: now,
                until: None,
            };
            self.services.entry(service).or_default().push(span);
        }
        self.services.retain(|_, spans| !spans.is_empty());
    }

    /// The version that began a stream of which there is no record, if it began at `since`
    /// or later; none if this daemon had no list by then.
    ///
    /// A daemon records each stream for which it is not certain of a single version, and no
    /// stream goes unrecorded that [`may_be_mistaken`](Self::may_be_mistaken).
    #[must_use]
    pub fn unrecorded(&self, service: &str, since: Moment) -> Option<&WorkerVersion> {
        if !self.reaches_back_to(since) {
            return None;
        }
        if let [version] = self.versions_since(service, since)[..] {
            return version;
        }
        self.sole_version(service, since)
    }

    /// The version that was listed alone at a moment.
    fn sole_version(&self, service: &str, at: Moment) -> Option<&WorkerVersion> {
        let spans = self.services.get(service)?;
        let mut listed = spans.iter().filter(|s| s.from <= at && s.overlaps(at));
        match (listed.next(), listed.next()) {
            (Some(sole), None) => sole.version.as_ref(),
            _ => None,
        }
    }

    /// Whether an unrecorded stream of `version` that begins now may be taken for one of
    /// another version, by a daemon with the same history, for as long as streams that began
    /// at `since` can be resumed now.
    #[must_use]
    pub fn may_be_mistaken(&self, service: &str, version: &WorkerVersion, since: Moment) -> bool {
        let since = since - MAX_LAG;
        if !self.reaches_back_to(since) {
            return true;
        }
        let spans = || self.services.get(service).into_iter().flatten();
        let ends = spans().filter_map(|s| s.until).map(|until| until + TICK);
        let changes = spans().map(|s| s.from).chain(ends).filter(|at| *at > since);
        let mut moments = std::iter::once(since).chain(changes);
        moments.any(|at| {
            let sole = self.sole_version(service, at);
            sole.is_some_and(|sole| sole != version)
        })
    }

    /// Whether another version of a service was listed since a moment.
    #[must_use]
    pub fn lists_other(&self, service: &str, version: &WorkerVersion, since: Moment) -> bool {
        let versions = self.versions_since(service, since);
        versions.into_iter().any(|listed| listed != Some(version))
    }

    /// Whether a single version of a service was listed since a moment, at which this daemon
    /// already had a list.
    #[must_use]
    pub fn is_certain(&self, service: &str, since: Moment) -> bool {
        self.reaches_back_to(since) && self.versions_since(service, since).len() == 1
    }

    fn reaches_back_to(&self, since: Moment) -> bool {
        self.since.is_some_and(|first| first <= since)
    }

    fn versions_since(&self, service: &str, since: Moment) -> Vec<Option<&WorkerVersion>> {
        let spans = self.services.get(service).into_iter().flatten();
        let listed = spans.filter(|s| s.overlaps(since));
        let versions: BTreeSet<_> = listed.map(|s| s.version.as_ref()).collect();
        versions.into_iter().collect()
    }
}
