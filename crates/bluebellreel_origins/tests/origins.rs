//! Records of streams' versions, and what the history of versions says without one.

use bluebellreel_origins::{OriginRecords, StreamTag, VersionHistory};
use bluebellreel_types::{Moment, WorkerVersion};
use proptest::prelude::*;
use std::sync::Arc;

fn version(n: u8) -> WorkerVersion {
    WorkerVersion::from(format!("v{n}"))
}

fn update(history: &mut VersionHistory, versions: &[u8], at: u64) {
    let service: Arc<str> = Arc::from("lm");
    let versions: Vec<WorkerVersion> = versions.iter().map(|n| version(*n)).collect();
    history.update(versions.iter().map(|v| (&service, Some(v))), Moment(at));
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
    update(&mut history, &[1], 100);
    assert_eq!(history.unrecorded("lm", Moment(99)), None);
    assert_eq!(history.unrecorded("lm", Moment(100)), Some(&version(1)));
    assert!(history.is_certain("lm", Moment(100)));
    update(&mut history, &[1, 2], 200);
    assert!(!history.is_certain("lm", Moment(150)));
    assert_eq!(history.unrecorded("lm", Moment(150)), Some(&version(1)));
    assert_eq!(history.unrecorded("lm", Moment(250)), None);
    update(&mut history, &[2], 300);
    assert_eq!(history.unrecorded("lm", Moment(250)), None);
    assert_eq!(history.unrecorded("lm", Moment(350)), Some(&version(2)));
    assert!(history.is_certain("lm", Moment(350)));
}
