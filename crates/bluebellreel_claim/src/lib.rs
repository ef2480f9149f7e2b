//! Claims of calls that may not be repeated.
//!
//! Before such a call is sent, a claim record is created in the key-value service
//! under a key derived from the team and the call's idempotency key. If a caller
//! resends the call through any entry daemon, that daemon finds the record and
//! answers with the outcome of the first call.
//!
//! ```
//! use bluebellreel_claim::{ClaimState, ResendAction, resend_action};
//!
//! assert_eq!(resend_action(&ClaimState::NotRun), ResendAction::MayRun);
//! ```

mod record;
mod resolve;

pub use record::{ClaimRecord, ClaimState};
pub use resolve::{ResendAction, resend_action, state_after_verdict};
