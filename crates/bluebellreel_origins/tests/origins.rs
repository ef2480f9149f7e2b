//! Records of streams' versions, and what the history of versions says without one.

use bluebellreel_origins::{OriginRecords, StreamTag, VersionHistory};
use bluebellreel_types::{Moment, WorkerVersion};
use proptest::prelude::*;
use std::sync::Arc;
use std::time::Duration;

fn version(n: u8) -> WorkerVersion {
    WorkerVersion::from(format!("v{n}"))
}

/// A moment in seconds.
fn at(seconds: u64) -> Moment {
    Moment(0) + Duration::from_secs(seconds)
}

/// Applies a list that is known not to be complete.
fn learn(history: &mut VersionHistory, versions: &[u8], now: Moment) {
    let service: Arc<str> = Arc::from("lm");
    let versions: Vec<WorkerVersion> = versions.iter().map(|n| version(*n)).collect();
    history.update(versions.iter().map(|v| (&service, Some(v))), now);
}

/// The list is known to be complete, every other second until a moment.
fn keep_proven(history: &mut VersionHistory, until: Moment) {
    let mut proven = history.proven().expect("a list");
    while proven < until {
        proven = until.min(proven + Duration::from_secs(2));
        history.prove(proven);
    }
}

/// Applies a list at a daemon that is in step: its list was complete before and is after it.
fn update(history: &mut VersionHistory, versions: &[u8], now: Moment) {
    if history.proven().is_some() {
        keep_proven(history, now - Duration::from_millis(1));
    }
    learn(history, versions, now);
    history.prove(now);
}

proptest! {
    /// The number of records stays within the limit, the newest record of a stream counts,
    /// and records that were written to the disk are read back.
    #[test]
    fn records_are_bounded_and_survive_the_disk(
        kept in proptest::collection::vec((0_u64..40, 0_u8..4, 1_u64..1000), 1..120),
    ) {
        let mut records = OriginRecords::new(16);
        for (stream, n, expires_at) in &kept {
            records.keep(StreamTag(*stream), &version(*n), Moment(*expires_at));
            prop_assert!(records.len() <= 16);
        }
        let mut read = OriginRecords::new(16);
        read.read(&records.encode()).expect("records");
        prop_assert_eq!(read.len(), records.len());
        let newest = |stream: u64| kept.iter().rev().find(|(s, ..)| *s == stream);
        for stream in 0..40 {
            let found = records.get(StreamTag(stream), Moment(0));
            prop_assert_eq!(found, read.get(StreamTag(stream), Moment(0)));
            if let Some(found) = found {
                let expected = newest(stream).map(|(_, n, _)| version(*n));
                prop_assert_eq!(Some(found), expected.as_ref());
            }
        }
        records.sweep(Moment(1000));
        prop_assert!(records.is_empty());
    }
}

/// Guards that a daemon infers a version from a history that does not reach back to when the
/// stream may have begun, or in which several versions were listed by then.
#[test]
fn an_unrecorded_stream_has_the_version_that_was_listed_alone() {
    let mut history = VersionHistory::default();
    update(&mut history, &[1], at(100));
    assert_eq!(history.unrecorded("lm", at(99)), None);
    assert_eq!(history.unrecorded("lm", at(100)), Some(&version(1)));
    assert!(history.is_certain("lm", at(100)));
    update(&mut history, &[1, 2], at(120));
    assert!(!history.is_certain("lm", at(115)));
    assert_eq!(history.unrecorded("lm", at(115)), Some(&version(1)));
    assert_eq!(history.unrecorded("lm", at(124)), None);
    update(&mut history, &[2], at(130));
    assert_eq!(history.unrecorded("lm", at(125)), None);
    keep_proven(&mut history, at(139));
    assert_eq!(history.unrecorded("lm", at(136)), Some(&version(2)));
    assert!(history.is_certain("lm", at(136)));
}

/// Guards that a daemon which learned of a release late takes the version before for the one that
/// was listed alone until then.
#[test]
fn a_release_that_was_learned_late_may_have_been_earlier() {
    let mut history = VersionHistory::default();
    update(&mut history, &[1], at(100));
    keep_proven(&mut history, at(114));
    learn(&mut history, &[2], at(120));
    history.prove(at(120));
    assert_eq!(history.unrecorded("lm", at(113)), Some(&version(1)));
    assert_eq!(history.unrecorded("lm", at(118)), None);
    assert!(history.may_be_mistaken("lm", &version(1), at(119)));
    keep_proven(&mut history, at(126));
    assert_eq!(history.unrecorded("lm", at(126)), Some(&version(2)));
}

/// Guards that a daemon infers a version for a time after its list was last known to be complete.
#[test]
fn an_old_list_says_nothing_of_later_streams() {
    let mut history = VersionHistory::default();
    update(&mut history, &[1], at(100));
    history.prove(at(105));
    assert_eq!(history.unrecorded("lm", at(105)), Some(&version(1)));
    assert_eq!(history.unrecorded("lm", at(106)), None);
    assert!(!history.is_proven_at(at(106)));
}

/// Guards that a version which came and went while a daemon had no complete list counts as never
/// listed, or the one before as listed all the while.
#[test]
fn a_version_may_have_come_and_gone_in_a_gap() {
    let mut history = VersionHistory::default();
    update(&mut history, &[1], at(100));
    keep_proven(&mut history, at(120));
    assert!(history.is_certain("lm", at(100)));
    assert!(!history.may_be_mistaken("lm", &version(1), at(115)));
    history.prove(at(131));
    assert!(!history.is_certain("lm", at(125)));
    assert!(history.may_be_mistaken("lm", &version(1), at(125)));
    assert_eq!(history.unrecorded("lm", at(125)), None);
    keep_proven(&mut history, at(150));
    assert_eq!(history.unrecorded("lm", at(140)), Some(&version(1)));
    assert!(history.is_certain("lm", at(140)));
}

/// Guards the same for a gap in which no version can have been listed alone for long, and that its
/// streams, which were recorded, are refused then.
#[test]
fn a_version_in_a_short_gap_had_its_streams_recorded() {
    let mut history = VersionHistory::default();
    update(&mut history, &[1], at(100));
    keep_proven(&mut history, at(120));
    history.prove(at(127));
    assert_eq!(history.unrecorded("lm", at(125)), Some(&version(1)));
    assert_eq!(history.sole_since("lm", at(125)), None);
}

/// Guards that a version is overlooked which changes that arrive together list and remove.
#[test]
fn a_version_that_was_seen_in_passing_was_listed() {
    let mut history = VersionHistory::default();
    update(&mut history, &[1], at(100));
    keep_proven(&mut history, at(110));
    assert!(history.is_certain("lm", at(105)));
    history.saw(&Arc::from("lm"), Some(&version(2)), at(111));
    update(&mut history, &[1], at(111));
    assert!(!history.is_certain("lm", at(105)));
}
