//! Who looks after a job whose owner may be dead.
//!
//! A dead owner falls silent at once, but its entry in the store stands until
//! its lease ends, some seconds later. In between nobody may take the job over,
//! as the owner may only be cut off from its peers, and nobody may take the job
//! for settled either.

/// What a daemon knows of a job's owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnerPresence {
    /// The owner is this run of this daemon.
    ThisDaemon,
    /// It reports.
    Reporting,
    /// It has fallen silent, and its entry in the store stands.
    Silent,
    /// Its entry is gone, or another run has taken its place.
    Gone,
}

/// What a daemon does about a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeoverDecision {
    /// Nothing: its owner is there.
    LeaveToOwner,
    /// It looks again soon.
    RecheckSoon,
    /// It runs the job, which is its own by the store's word.
    Run,
    /// It takes the job over.
    TakeOver,
}

/// Decides what a daemon does about a job. `is_successor` says whether it is the one
/// that takes the job over first, or its successor has left it too long.
///
/// A silent owner means another look, soon: when it was taken for a live one,
/// its job waited for the next regular look, six seconds of a job that is due in
/// eighteen.
#[must_use]
pub fn decide_takeover(owner: OwnerPresence, is_successor: bool) -> TakeoverDecision {
    match owner {
        OwnerPresence::ThisDaemon => TakeoverDecision::Run,
        OwnerPresence::Reporting => TakeoverDecision::LeaveToOwner,
        OwnerPresence::Gone if is_successor => TakeoverDecision::TakeOver,
        OwnerPresence::Silent | OwnerPresence::Gone => TakeoverDecision::RecheckSoon,
    }
}
