//! Decisions about jobs whose owner may be dead.

use bluebellreel_batch::{OwnerPresence, TakeoverDecision, decide_takeover};

/// An owner dies. A peer notices the silence, checks the job, and finds the owner's
/// registration still in the store, where it remains for some seconds. The peer treated
/// the owner as working and rechecked the job only at its next regular check, so that
/// items due in eighteen seconds did not run for up to ten.
#[test]
fn a_silent_owner_is_rechecked_soon() {
    for is_successor in [false, true] {
        assert_eq!(
            decide_takeover(OwnerPresence::Silent, is_successor),
            TakeoverDecision::RecheckSoon
        );
    }
}

/// The owner is only cut off from its peers, or its reports are late. No daemon may
/// take its jobs over, as their items would run twice.
#[test]
fn jobs_of_an_owner_that_may_be_alive_are_not_taken_over() {
    for presence in [
        OwnerPresence::Reporting,
        OwnerPresence::Silent,
        OwnerPresence::ThisDaemon,
    ] {
        for is_successor in [false, true] {
            assert_ne!(
                decide_takeover(presence, is_successor),
                TakeoverDecision::TakeOver
            );
        }
    }
}

/// The owner is gone. One daemon takes the job over. The others recheck soon, as that
/// one may fail to do so.
#[test]
fn the_successor_takes_over_and_the_others_recheck() {
    assert_eq!(
        decide_takeover(OwnerPresence::Gone, true),
        TakeoverDecision::TakeOver
    );
    assert_eq!(
        decide_takeover(OwnerPresence::Gone, false),
        TakeoverDecision::RecheckSoon
    );
}

/// The store names this incarnation of this daemon, which missed the notification that
/// it became the owner.
#[test]
fn an_owner_that_was_not_notified_runs_its_job() {
    assert_eq!(
        decide_takeover(OwnerPresence::ThisDaemon, false),
        TakeoverDecision::Run
    );
    assert_eq!(
        decide_takeover(OwnerPresence::Reporting, true),
        TakeoverDecision::LeaveToOwner
    );
}
