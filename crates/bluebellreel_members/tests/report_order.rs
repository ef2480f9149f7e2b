//! Which of several reports of a sender counts.

use bluebellreel_members::{PEER_TIMEOUT, Path, ReportOrder};
use bluebellreel_types::{EntryName, Incarnation, Moment};
use std::time::Duration;

const NOW: Moment = Moment(100_000_000);
const OLD: Incarnation = Incarnation(1);
const NEW: Incarnation = Incarnation(2);

fn sender() -> EntryName {
    EntryName::from("entry-1")
}

fn known(run: Incarnation, sequence: u64) -> ReportOrder {
    let mut order = ReportOrder::default();
    order.accept(&sender(), (run, sequence), NOW);
    order
}

/// Two daemons forward the same report, and one of them is late.
#[test]
fn a_report_counts_once() {
    let order = known(OLD, 7);
    for path in [Path::Direct, Path::Forwarded] {
        assert!(!order.is_newer(&sender(), (OLD, 7), path, NOW));
        assert!(!order.is_newer(&sender(), (OLD, 6), path, NOW));
        assert!(order.is_newer(&sender(), (OLD, 8), path, NOW));
    }
}

/// The VM of a forwarder was suspended. It delivered a report of an incarnation that had
/// ended, and the jobs of the new incarnation seemed to have no owner.
#[test]
fn a_late_report_of_an_earlier_incarnation_does_not_count() {
    let order = known(NEW, 900);
    assert!(!order.is_newer(&sender(), (OLD, 800), Path::Forwarded, NOW));
}

/// The wall clock was set back before a restart, so that the sequence begins lower.
#[test]
fn a_new_incarnation_with_a_lower_sequence_counts() {
    let order = known(OLD, 900);
    let later = NOW + PEER_TIMEOUT;
    assert!(order.is_newer(&sender(), (NEW, 800), Path::Direct, NOW));
    assert!(!order.is_newer(&sender(), (NEW, 800), Path::Forwarded, NOW));
    assert!(order.is_newer(&sender(), (NEW, 800), Path::Forwarded, later));
}

/// Senders that are gone take no memory.
#[test]
fn silent_senders_are_evicted() {
    let mut order = known(OLD, 7);
    order.sweep(NOW + PEER_TIMEOUT + Duration::from_millis(1));
    assert!(order.is_newer(&sender(), (OLD, 1), Path::Forwarded, NOW));
}
