//! Progress that the successor of a job keeps.

use bluebellreel_batch::{ItemProgress, ProgressCopies};
use bluebellreel_types::{JobId, Moment};
use std::sync::Arc;
use std::time::Duration;

const NOW: Moment = Moment(1_000_000);

fn progress(item: &str, events: u64) -> ItemProgress {
    ItemProgress {
        item: Arc::from(item),
        failures: 0,
        last_id: events,
        events,
        text: "x".repeat(usize::try_from(events).unwrap_or(0)),
        ended: None,
    }
}

fn later() -> Moment {
    NOW + Duration::from_secs(20)
}

#[test]
fn the_newest_copy_is_handed_out_once() {
    let mut copies = ProgressCopies::new(1000);
    let id = JobId::from("j");
    copies.keep(id.clone(), vec![progress("a", 5)], later());
    copies.keep(id.clone(), vec![progress("a", 9)], later());
    assert_eq!(copies.take(&id), vec![progress("a", 9)]);
    assert!(copies.take(&id).is_empty());
    assert_eq!(copies.bytes(), 0);
}

/// Many owners send copies to one small VM. What is over the bound is not kept,
/// and what has been kept stays whole.
#[test]
fn copies_stay_within_their_bound() {
    let mut copies = ProgressCopies::new(100);
    for n in 0..50 {
        let id = JobId::from(format!("j{n}").as_str());
        copies.keep(id, vec![progress("a", 20)], later());
        assert!(copies.bytes() <= 100, "{}", copies.bytes());
    }
    assert_eq!(copies.take(&JobId::from("j0")), vec![progress("a", 20)]);
}

/// Jobs end at their owner without a word to the successor. Their copies would fill
/// the bound for good.
#[test]
fn copies_are_forgotten_in_time() {
    let mut copies = ProgressCopies::new(100);
    copies.keep(JobId::from("j"), vec![progress("a", 90)], later());
    copies.sweep(NOW);
    assert!(copies.bytes() > 0);
    copies.sweep(later() + Duration::from_secs(1));
    assert_eq!(copies.bytes(), 0);
}
