//! Which versions of each service's workers were listed when.
//!
//! A daemon learns of a change later than it was made. The history therefore holds, for the
//! begin and the end of each version's time, the earliest and the latest moment that are
//! possible: the list was known to be complete before a change, see
//! [`prove`](VersionHistory::prove), and the change was learned after it. What two daemons are
//! certain of does not contradict, however late one of them learned of it.

use bluebellreel_types::{Moment, WorkerVersion};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// How long a version that is no longer listed is remembered.
const RETENTION: Duration = Duration::from_mins(30);

/// How much later than another daemon one that is in step may learn of a version. In a longer
/// time without a complete list a version may have come and gone.
pub const MAX_LAG: Duration = Duration::from_secs(5);
/// Time without a complete list in which a version may have been listed alone for as long as
/// streams can be resumed, so that streams of it went unrecorded.
const MAX_GAP: Duration = Duration::from_secs(10);
/// The smallest difference between two moments.
const TICK: Duration = Duration::from_micros(1);

/// A time during which workers of a version were listed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Span {
    /// None stands for workers whose version is not known.
    version: Option<WorkerVersion>,
    /// When the version was first seen.
    from: Moment,
    /// When it was no longer seen; none while workers of the version are listed.
    until: Option<Moment>,
    /// When the list was last known to be complete without the version; none after a restart.
    #[serde(skip)]
    absent_at: Option<Moment>,
    /// When the list was last known to hold the version; none after a restart.
    #[serde(skip)]
    present_at: Option<Moment>,
    /// Whether this stands for versions that may have come and gone too fast for a stream of
    /// theirs to go unrecorded.
    #[serde(skip)]
    is_short: bool,
}

impl Span {
    /// The time of a version that may have come and gone after `proven`.
    fn passing(version: Option<WorkerVersion>, proven: Option<Moment>, now: Moment) -> Self {
        Self {
            version,
            from: now,
            until: Some(now),
            absent_at: proven,
            present_at: proven,
            is_short: false,
        }
    }

    /// The earliest moment at which workers of the version may have been listed.
    fn earliest(&self) -> Moment {
        self.absent_at.unwrap_or(self.from - MAX_LAG)
    }

    /// Whether workers of the version may have been listed at some time since a moment.
    fn may_reach(&self, since: Moment) -> bool {
        self.until.is_none_or(|until| until >= since)
    }

    /// Whether workers of the version may have been listed at some time from `since` to `until`.
    fn is_possible(&self, since: Moment, until: Moment) -> bool {
        self.earliest() <= until && self.may_reach(since)
    }

    /// Whether workers of the version were listed at a moment for certain.
    fn is_certain(&self, at: Moment) -> bool {
        let last = self
            .until
            .map(|until| self.present_at.unwrap_or(until - MAX_LAG));
        self.from <= at && last.is_none_or(|last| at <= last)
    }
}

/// The versions that were listed lately, for each service.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct VersionHistory {
    services: BTreeMap<Arc<str>, Vec<Span>>,
    /// When this daemon first had a list of workers.
    since: Option<Moment>,
    /// When the list was last known to be complete.
    #[serde(skip)]
    proven: Option<Moment>,
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
        let is_first = self.since.is_none();
        if !listed.is_empty() {
            self.since.get_or_insert(now);
        }
        let absent_at = if is_first {
            Some(now)
        } else {
            self.note_gap(now);
            self.proven
        };
        for (service, spans) in &mut self.services {
            for span in spans.iter_mut().filter(|s| s.until.is_none()) {
                if !listed.remove(&(service.clone(), span.version.clone())) {
                    span.until = Some(now);
                    span.present_at = self.proven;
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
                absent_at,
                present_at: None,
                is_short: false,
            };
            self.services.entry(service).or_default().push(span);
        }
        self.services.retain(|_, spans| !spans.is_empty());
    }

    /// Records that the list was complete at a moment: each version that was listed then is in
    /// the history.
    pub fn prove(&mut self, at: Moment) {
        if self.since.is_none() {
            return;
        }
        self.note_gap(at);
        self.proven = self.proven.max(Some(at));
    }

    /// Records that a version was listed at some time since the list was last known to be
    /// complete: changes that arrive together may list it and remove it.
    pub fn saw(&mut self, service: &Arc<str>, version: Option<&WorkerVersion>, now: Moment) {
        let spans = self.services.entry(service.clone()).or_default();
        let is_open = |s: &Span| s.until.is_none() && s.version.as_ref() == version;
        if !spans.iter().any(is_open) {
            spans.push(Span::passing(version.cloned(), self.proven, now));
        }
    }

    /// Adds the versions that may have come and gone, in each service, since the list was last
    /// known to be complete.
    fn note_gap(&mut self, now: Moment) {
        let Some(proven) = self.proven.filter(|p| (*p + MAX_LAG).is_past(now)) else {
            return;
        };
        let is_short = !(proven + MAX_GAP).is_past(now);
        for spans in self.services.values_mut() {
            spans.retain(|s| s.version.is_some() || s.absent_at != Some(proven));
            spans.push(Span {
                is_short,
                ..Span::passing(None, Some(proven), now)
            });
        }
    }

    /// When the list was last known to be complete.
    #[must_use]
    pub fn proven(&self) -> Option<Moment> {
        self.proven
    }

    /// Restores what [`proven`](Self::proven) returned when the history was written to a disk.
    pub fn restore_proven(&mut self, proven: Option<Moment>) {
        self.proven = proven;
    }

    /// The version that began a stream of which there is no record, if it began at `since`
    /// or later; none if this daemon had no list by then, or may have missed a version.
    ///
    /// A daemon records each stream for which it is not certain of a single version, and no
    /// stream goes unrecorded that [`may_be_mistaken`](Self::may_be_mistaken).
    #[must_use]
    pub fn unrecorded(&self, service: &str, since: Moment) -> Option<&WorkerVersion> {
        if !self.reaches_back_to(since) || self.proven < Some(since) {
            return None;
        }
        let sole = |until| {
            let listed = self.spans(service).filter(|s| !s.is_short);
            sole_possible(listed, since - MAX_LAG, until)
        };
        sole(since).or_else(|| sole(self.proven?))
    }

    fn spans(&self, service: &str) -> impl Iterator<Item = &Span> {
        self.services.get(service).into_iter().flatten()
    }

    /// Whether an unrecorded stream of `version` that begins now may be taken for one of
    /// another version, by a daemon that is in step, for as long as streams that began at
    /// `since` can be resumed now.
    #[must_use]
    pub fn may_be_mistaken(&self, service: &str, version: &WorkerVersion, since: Moment) -> bool {
        let since = since - MAX_LAG;
        if !self.reaches_back_to(since) {
            return true;
        }
        let spans = || self.spans(service);
        let ends = spans().flat_map(|s| {
            let last = s.present_at.map(|last| last + TICK);
            [last, s.until.map(|until| until + TICK)]
        });
        let begins = spans().flat_map(|s| [Some(s.earliest()), Some(s.from)]);
        let changes = ends.chain(begins).flatten().filter(|at| *at > since);
        let mut moments = std::iter::once(since).chain(changes);
        moments.any(|at| self.may_be_listed_alone(service, version, at))
    }

    /// Whether some version other than `but` may have been listed alone at a moment: any may,
    /// while the list was not known to be complete for long.
    fn may_be_listed_alone(&self, service: &str, but: &WorkerVersion, at: Moment) -> bool {
        let spans = self.spans(service);
        let (mut certain, mut possible) = (BTreeSet::new(), BTreeSet::new());
        for span in spans {
            if span.is_certain(at) {
                certain.insert(span.version.as_ref());
            }
            if span.is_possible(at, at) {
                possible.insert(span.version.as_ref());
            }
        }
        let mut others = possible.into_iter().filter(|v| *v != Some(but));
        others.any(|other| other.is_none() || certain.iter().all(|v| *v == other))
    }

    /// Whether a single version of a service can have been listed since a moment, at which this
    /// daemon already had a list.
    #[must_use]
    pub fn is_certain(&self, service: &str, since: Moment) -> bool {
        self.reaches_back_to(since) && self.sole_since(service, since).is_some()
    }

    /// The only version that can have been listed since a moment, however far back the history
    /// reaches.
    #[must_use]
    pub fn sole_since(&self, service: &str, since: Moment) -> Option<&WorkerVersion> {
        sole_possible(self.spans(service), since, Moment::DISTANT_FUTURE)
    }

    /// Whether the list was known to be complete at a moment or later.
    #[must_use]
    pub fn is_proven_at(&self, at: Moment) -> bool {
        self.proven >= Some(at)
    }

    /// Since when this daemon has had a list of workers.
    #[must_use]
    pub fn since(&self) -> Option<Moment> {
        self.since
    }

    fn reaches_back_to(&self, since: Moment) -> bool {
        self.since.is_some_and(|first| first <= since)
    }
}

/// The only version that may have been listed in a time.
fn sole_possible<'a>(
    spans: impl Iterator<Item = &'a Span>,
    since: Moment,
    until: Moment,
) -> Option<&'a WorkerVersion> {
    let listed = spans.filter(|s| s.is_possible(since, until));
    let versions: BTreeSet<_> = listed.map(|s| s.version.as_ref()).collect();
    versions
        .first()
        .copied()
        .flatten()
        .filter(|_| versions.len() == 1)
}
