//! What a claim that is found means.

use crate::ClaimState;
use bluebellreel_types::{AttemptEnd, AttemptVerdict, Moment, NEVER_SEEN_VALIDITY};
use std::sync::Arc;

/// What a resend of a claimed call may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resend {
    /// The first one surely did not run: this one may.
    MayRun,
    /// The caller is told what is recorded.
    ReadRecorded,
    /// The side process named in the claim must be asked first.
    AskSide,
}

/// Decides what a resend may do.
#[must_use]
pub fn decide(state: &ClaimState) -> Resend {
    match state {
        ClaimState::NotRun => Resend::MayRun,
        ClaimState::Pending => Resend::AskSide,
        ClaimState::Completed { .. } | ClaimState::Rejected { .. } | ClaimState::Unknown => {
            Resend::ReadRecorded
        }
    }
}

/// The state to record once a side process has spoken; none while it runs.
///
/// "Not run" is recorded only for an attempt that the side process has never
/// seen and refuses from now on, or that it refused itself; and only as long as
/// the side process cannot have forgotten it.
#[must_use]
pub fn state_after_verdict(
    verdict: &AttemptVerdict,
    deadline: Moment,
    now: Moment,
) -> Option<ClaimState> {
    let may_be_forgotten = (deadline + NEVER_SEEN_VALIDITY).is_past(now);
    Some(match verdict {
        AttemptVerdict::Running => return None,
        AttemptVerdict::NeverSeen if may_be_forgotten => ClaimState::Unknown,
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

    /// A slot confirmation broke off in the middle. Nobody can tell whether
    /// the antenna was booked, so the member must never be told "not run".
    #[test]
    fn broken_call_is_never_called_not_run() {
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

    /// A harp was booked, and for an hour nobody could record it. The side
    /// process has forgotten the call and would say "never seen"; the member
    /// must not be told "not run", or the harp is booked twice.
    #[test]
    fn never_seen_is_not_believed_for_ever() {
        let verdict = AttemptVerdict::NeverSeen;
        let deadline = Moment(0);
        let soon = deadline + NEVER_SEEN_VALIDITY;
        let state = state_after_verdict(&verdict, deadline, deadline);
        assert_eq!(state, Some(ClaimState::NotRun));
        let state = state_after_verdict(&verdict, deadline, soon + NEVER_SEEN_VALIDITY);
        assert_eq!(state, Some(ClaimState::Unknown));
    }
}
