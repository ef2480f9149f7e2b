//! Copies of progress at the successor of a job.

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
        version: None,
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

/// Many owners send copies to one small VM. Copies that exceed the limit are dropped,
/// and those already held stay intact.
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

/// An owner does not notify the successor when a job ends. Without an expiry the copies
/// would fill the limit for good.
#[test]
fn expired_copies_are_evicted() {
    let mut copies = ProgressCopies::new(100);
    copies.keep(JobId::from("j"), vec![progress("a", 90)], later());
    copies.sweep(NOW);
    assert!(copies.bytes() > 0);
    copies.sweep(later() + Duration::from_secs(1));
    assert_eq!(copies.bytes(), 0);
}
