//! What workers have written on which parts of prompts.

use super::{Depth, VersionTag};
use crate::Fingerprint;
use bluebellreel_types::Moment;
use std::collections::HashMap;

/// Maximum number of parts, some 500 KB. Callers choose the ids of parts; beyond this
/// number those that were not answered for the longest time are evicted.
const MAX_PARTS: usize = 4096;
/// Maximum number of versions that are remembered for a part.
const MAX_VERSIONS: usize = 4;

/// What workers of one version have written on one part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ByVersion {
    version: VersionTag,
    /// When an answer last went beyond each depth; not so far if zero.
    beyond: [Moment; Depth::COUNT],
    /// When an answer was last complete; none so far if zero.
    answer: Moment,
}

/// What workers have written on one part.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Written {
    /// When an answer first went beyond each depth; none so far if zero.
    since: [Moment; Depth::COUNT],
    /// The same for each version, the latest one last.
    versions: Vec<ByVersion>,
}

impl Written {
    fn last(&self) -> Moment {
        let latest = self.versions.last();
        latest.map_or(Moment(0), |v| v.beyond[0])
    }

    fn of_version(&self, version: VersionTag) -> Option<&ByVersion> {
        self.versions.iter().find(|v| v.version == version)
    }
}

/// What workers have written on each part.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Answers(HashMap<Fingerprint, Written>);

impl Answers {
    /// Records a complete answer.
    pub(super) fn note(&mut self, part: Fingerprint, version: VersionTag, now: Moment) {
        self.note_beyond(part, version, Depth::COUNT, now);
        let versions = self.0.get_mut(&part).map(|written| &mut written.versions);
        if let Some(latest) = versions.and_then(|versions| versions.last_mut()) {
            latest.answer = now;
        }
    }

    /// Records that a worker has written an answer up to a depth.
    pub(super) fn note_progress(
        &mut self,
        part: Fingerprint,
        version: VersionTag,
        depth: Depth,
        now: Moment,
    ) {
        self.note_beyond(part, version, depth.index(), now);
    }

    /// Records that an answer has gone beyond the first `depths`.
    fn note_beyond(&mut self, part: Fingerprint, version: VersionTag, depths: usize, now: Moment) {
        if self.0.len() >= MAX_PARTS && !self.0.contains_key(&part) {
            self.evict_older_half();
        }
        let written = self.0.entry(part).or_default();
        for since in &mut written.since[..depths] {
            if *since == Moment(0) {
                *since = now;
            }
        }
        let known = written.of_version(version).copied();
        let mut by_version = known.unwrap_or(ByVersion {
            version,
            beyond: [Moment(0); Depth::COUNT],
            answer: Moment(0),
        });
        by_version.beyond[..depths].fill(now);
        let versions = &mut written.versions;
        versions.retain(|v| v.version != version);
        if versions.len() >= MAX_VERSIONS {
            versions.remove(0);
        }
        versions.push(by_version);
    }

    fn evict_older_half(&mut self) {
        let mut times: Vec<Moment> = self.0.values().map(Written::last).collect();
        let (_, median, _) = times.select_nth_unstable(MAX_PARTS / 2);
        let oldest_kept = *median;
        self.0.retain(|_, written| written.last() > oldest_kept);
    }

    /// Whether a worker of any version had gone beyond a depth on a part by a moment.
    pub(super) fn was_written(&self, part: Fingerprint, depth: Depth, by: Moment) -> bool {
        let since = self.0.get(&part).map(|w| w.since[depth.index()]);
        since.is_some_and(|since| since != Moment(0) && since < by)
    }

    /// When workers of a version last went beyond a depth on a part.
    pub(super) fn last_beyond(
        &self,
        part: Fingerprint,
        version: VersionTag,
        depth: Depth,
    ) -> Option<Moment> {
        let at = self.0.get(&part)?.of_version(version)?.beyond[depth.index()];
        (at != Moment(0)).then_some(at)
    }

    /// When workers of a version last gave a complete answer on a part.
    pub(super) fn last(&self, part: Fingerprint, version: VersionTag) -> Option<Moment> {
        let answer = self.0.get(&part)?.of_version(version)?.answer;
        (answer != Moment(0)).then_some(answer)
    }
}
