//! Decisions from an existing claim and from a side process's verdict.

use crate::ClaimState;
use bluebellreel_types::{AttemptEnd, AttemptVerdict, Moment, NEVER_SEEN_VALIDITY};
use std::sync::Arc;

/// How a resend of a claimed call is handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResendAction {
    /// The first call certainly did not run, so the resend may run.
    MayRun,
    /// The caller gets the recorded outcome.
    ReturnRecorded,
    /// The side process named in the claim must be queried first.
    QuerySideProcess,
}

/// Decides how a resend of a call in this state is handled.
#[must_use]
pub fn resend_action(state: &ClaimState) -> ResendAction {
    match state {
        ClaimState::NotRun => ResendAction::MayRun,
        ClaimState::Pending => ResendAction::QuerySideProcess,
        ClaimState::Completed { .. } | ClaimState::Rejected { .. } | ClaimState::Unknown => {
            ResendAction::ReturnRecorded
        }
    }
}

/// The state to record for a side process's verdict; none while the call runs.
///
/// `NotRun` is recorded only for an attempt that the side process refused, or that
/// it has never seen and will refuse from now on. "Never seen" is accepted only
/// while the side process cannot have evicted the attempt from its ledger;
/// afterwards the outcome is unknown.
#[must_use]
pub fn state_after_verdict(
    verdict: &AttemptVerdict,
    deadline: Moment,
    now: Moment,
) -> Option<ClaimState> {
    let verdict_expired = (deadline + NEVER_SEEN_VALIDITY).is_past(now);
    Some(match verdict {
        AttemptVerdict::Running => return None,
        AttemptVerdict::NeverSeen if verdict_expired => ClaimState::Unknown,
        AttemptVerdict::NeverSeen => ClaimState::NotRun,
        AttemptVerdict::Ended(AttemptEnd::NotRun(reason)) if reason.is_certain() => {
            ClaimState::NotRun
        }
        AttemptVerdict::Ended(AttemptEnd::Completed { status, body, .. }) => {
            ClaimState::Completed {
                status: *status,
                body: Arc::from(String::from_utf8_lossy(body)),
            }
        }
        AttemptVerdict::Ended(AttemptEnd::Rejected { status, message }) => ClaimState::Rejected {
            status: *status,
            message: message.clone(),
        },
        AttemptVerdict::Ended(AttemptEnd::NotRun(_) | AttemptEnd::Broken { .. }) => {
            ClaimState::Unknown
        }
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use bluebellreel_types::BrokenReason;

    /// A booking call broke off before its answer was complete, so it is unknown
    /// whether the booking was made. The caller must never get "not run".
    #[test]
    fn broken_call_is_never_reported_as_not_run() {
        let verdict = AttemptVerdict::Ended(AttemptEnd::Broken {
            reason: BrokenReason::EngineLost,
            partial: Arc::from(""),
        });
        let now = Moment(0);
        let state = state_after_verdict(&verdict, now, now);
        assert_eq!(state, Some(ClaimState::Unknown));
        assert_eq!(
            state_after_verdict(&AttemptVerdict::Running, now, now),
            None
        );
    }

    /// For an hour the outcome of a booking could not be recorded. Meanwhile the
    /// side process evicted the call and answers "never seen". The caller must not
    /// get "not run", or it would book twice.
    #[test]
    fn never_seen_is_accepted_for_a_limited_time() {
        let verdict = AttemptVerdict::NeverSeen;
        let deadline = Moment(0);
        let soon = deadline + NEVER_SEEN_VALIDITY;
        let state = state_after_verdict(&verdict, deadline, deadline);
        assert_eq!(state, Some(ClaimState::NotRun));
        let state = state_after_verdict(&verdict, deadline, soon + NEVER_SEEN_VALIDITY);
        assert_eq!(state, Some(ClaimState::Unknown));
    }
}
