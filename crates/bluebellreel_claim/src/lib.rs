//! Claims of calls that may not be repeated.
//!
//! Before such a call is sent, a record of it is created in the key-value
//! service under a key that follows from the team and its idempotency key.
//! Whoever sends the call again, through whichever entry, finds the record and
//! is told what became of the first one.
//!
//! ```
//! use bluebellreel_claim::{ClaimState, decide, Resend};
//!
//! assert_eq!(decide(&ClaimState::NotRun), Resend::MayRun);
//! ```

mod record;
mod resolve;

pub use record::{ClaimRecord, ClaimState};
pub use resolve::{ResendAction, resend_action, state_after_verdict};
