//! Decides what to do about a job whose owner may be dead.
//!
//! A dead owner stops reporting at once, but its registration in the store remains
//! until its lease expires some seconds later. Until then no daemon may take the job
//! over, as the owner may only be cut off from its peers, and no daemon may treat the
//! job as having a working owner either.

/// What a daemon knows about a job's owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnerPresence {
    /// The owner is this incarnation of this daemon.
    ThisDaemon,
    /// The owner sends reports.
    Reporting,
    /// The owner has stopped reporting, but its registration is still in the store.
    Silent,
    /// The owner's registration is gone or belongs to another incarnation.
    Gone,
}

/// What a daemon does about a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeoverDecision {
    /// Do nothing: the owner is working.
    LeaveToOwner,
    /// Check the job again soon.
    RecheckSoon,
    /// Run the job: the store names this daemon as its owner.
    Run,
    /// Take the job over.
    TakeOver,
}

/// Decides what a daemon does about a job. `is_successor` is true for the successor,
/// and for the daemon that steps in when the successor does not take the job over in
/// time.
///
/// A silent owner leads to a recheck soon. If it were treated as working, its jobs
/// would wait for the next regular check, which is up to six seconds for a job that is
/// due in eighteen.
#[must_use]
pub fn decide_takeover(owner: OwnerPresence, is_successor: bool) -> TakeoverDecision {
    match owner {
        OwnerPresence::ThisDaemon => TakeoverDecision::Run,
        OwnerPresence::Reporting => TakeoverDecision::LeaveToOwner,
        OwnerPresence::Gone if is_successor => TakeoverDecision::TakeOver,
        OwnerPresence::Silent | OwnerPresence::Gone => TakeoverDecision::RecheckSoon,
    }
}
