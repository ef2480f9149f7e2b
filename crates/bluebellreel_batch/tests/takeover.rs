//! Jobs whose owner may be dead.

use bluebellreel_batch::{OwnerPresence, TakeoverDecision, decide_takeover};

/// An owner dies. A peer misses it, looks, and finds its entry still in the
/// store, where it stands for some seconds more. The peer took the job for
/// settled and looked again only at its next regular look: items that were due
/// in eighteen seconds lay for up to ten.
#[test]
fn a_silent_owner_is_looked_at_again() {
    for is_successor in [false, true] {
        assert_eq!(
            decide_takeover(OwnerPresence::Silent, is_successor),
            TakeoverDecision::RecheckSoon
        );
    }
}

/// The owner is only cut off from its peers, or has not been heard for a
/// moment. Nobody may take its jobs over: their items would run twice.
#[test]
fn nothing_is_taken_from_an_owner_that_may_live() {
    for sign in [
        OwnerPresence::Reporting,
        OwnerPresence::Silent,
        OwnerPresence::ThisDaemon,
    ] {
        for is_successor in [false, true] {
            assert_ne!(
                decide_takeover(sign, is_successor),
                TakeoverDecision::TakeOver
            );
        }
    }
}

/// The owner is gone. One daemon takes the job over; the others look again, as
/// that one may fail at it.
#[test]
fn the_heir_takes_over_and_the_others_look_again() {
    assert_eq!(
        decide_takeover(OwnerPresence::Gone, true),
        TakeoverDecision::TakeOver
    );
    assert_eq!(
        decide_takeover(OwnerPresence::Gone, false),
        TakeoverDecision::RecheckSoon
    );
}

/// The store names this run of this daemon: it missed that it became the owner.
#[test]
fn an_owner_that_was_not_told_runs_its_job() {
    assert_eq!(
        decide_takeover(OwnerPresence::ThisDaemon, false),
        TakeoverDecision::Run
    );
    assert_eq!(
        decide_takeover(OwnerPresence::Reporting, true),
        TakeoverDecision::LeaveToOwner
    );
}
